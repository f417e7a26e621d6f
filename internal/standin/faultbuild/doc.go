// Package faultbuild builds the real program against a copy of the Go standard
// library whose clock, accepts, connects, writes and syncs fail on command.
//
// The copies are made in a temporary folder and handed to the compiler by go
// build -overlay: the tool chain itself is not changed and nothing of the copies
// enters the repository. A running program is commanded through a page of shared
// memory, see [Controls], so that a test may turn faults on and off at any time.
package faultbuild
