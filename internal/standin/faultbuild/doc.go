// Package faultbuild builds the real program with fault injection: patched copies
// of some files of the Go standard library make the clock, accepts, connects, writes
// and syncs fail on demand.
//
// The copies are written to a temporary folder and passed to the compiler with go
// build -overlay, so the tool chain and the repository stay unchanged. A running
// program reads its faults from a page of shared memory, see [Controls], so a test
// can turn them on and off at any time.
package faultbuild
