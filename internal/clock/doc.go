// Package clock provides the time of a sender: microseconds on a time line of its own that steps of the wall clock do
// not affect, neither within a process nor over restarts.
//
// All times that outlive a process are stored in it: deadlines, the times of attempts and ends, waits. Within a process
// it follows the monotonic clock. From one process to the next it follows the boot clock of the machine, as long as the
// machine was not rebooted: the offset between the two is stored with the journal ([Epoch]). A new state folder starts
// at the time of the wall clock, so that the numbers are close to Unix time as long as nobody steps the wall clock.
//
// If the offset is not known, because the machine was rebooted or the journal is of an older version, the wall clock is
// the best estimate, but time never goes back behind the latest stored time ([Start] then returns known = false).
// Code that evaluates durations must then err on the safe side: see package journal.
//
// Rejected alternatives: a timestamp written periodically only tells when the process was last alive, but not how long
// it was away, which is what matters; the wall clock with checks for jumps can't detect a step between two processes.
package clock
