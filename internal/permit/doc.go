// Package permit decides whether something may still be done now: whether an
// attempt may be sent or repeated, whether an end may be told, whether a
// connection may be closed, and whether a new attempt may start. It is the only
// place that holds these conditions. The decision module asks when it plans, the
// core and the fronts ask again right before they act, and [Monitor] counts what
// was done all the same.
//
// The package has no clock, no I/O and no goroutines: spans are passed in.
package permit
