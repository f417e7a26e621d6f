// Package permit decides whether an action is still permitted: whether an attempt may be started or repeated,
// whether the end of a message may be notified, and whether a connection may be closed. It is the only
// package that contains these conditions. The scheduler checks them when it plans, the core and the front
// ends check them again right before they act, and [Monitor] counts violations that happen nevertheless.
//
// The package has no clock, no I/O and no goroutines; the caller passes all durations.
package permit
