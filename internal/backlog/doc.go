// Package backlog decides which messages the decision module sees and which wait
// behind it, on the disk: the module has a window by destination, and what is
// behind the window comes into it in turn.
//
// A [Backlog] says of each new message whether it goes into the window or behind
// it, what is to be read to fill a window that has room, and whose time is over. It
// has no clock, no I/O and no goroutines; what it is told has been done on the disk
// counts. It keeps no names and no bodies: of a message behind the window it keeps
// some ten bytes, see docs/design/backlog.md. Package disk is the room behind it.
package backlog
