// Package spill combines the decisions of package backlog with the files of package disk.
// It spills messages in the caller's goroutine; a worker goroutine reads, seals and removes
// segments, and passes the results back as events.
package spill
