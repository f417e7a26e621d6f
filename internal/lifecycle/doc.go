// Package lifecycle decides how a sender process serves its clients from its start to its end: whether it reports
// itself ready, whether it accepts new connections, when it closes idle ones, and when it may exit. The [Machine] has
// no clock, does no I/O and starts no goroutines: times are passed in. A [Controller] runs one by the clock of the
// process.
package lifecycle
