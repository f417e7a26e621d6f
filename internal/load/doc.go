// Package load plans and records load: when each message is due whatever was
// answered before, what it is, and how long after that it was accepted and ended.
// It has no clock and does no I/O.
package load
