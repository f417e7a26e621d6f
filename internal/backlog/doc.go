// Package backlog decides which pending messages are in memory, in the window of
// their destination, and which are spilled to disk; it refills the windows from disk
// in order.
//
// A [Backlog] places each new message in the window or in the backlog, lists the reads
// that refill windows with free room, and yields the spilled messages that expire. It
// has no clock, no I/O and no goroutines: its caller does the reads and writes and
// reports those that have succeeded or failed. It keeps neither ids nor bodies; a
// spilled message takes about ten bytes of memory, see docs/design/backlog.md. Package
// disk stores the spilled messages.
package backlog
