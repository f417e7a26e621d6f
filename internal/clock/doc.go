// Package clock owns the time of a sender: microseconds on a line of its own that
// no step of the wall clock moves, in this process and over restarts.
//
// All that outlives a process is written in it: deadlines, the times of attempts
// and ends, waits. Within a process it follows the monotonic clock. From one
// process to the next it follows the clock of the machine's boot, as long as the
// machine has not been started anew: the distance between the two is kept with the
// journal ([Epoch]). A new folder begins with the wall clock, so that the numbers
// are close to Unix time as long as nobody steps that.
//
// Where the distance can't be known, because the machine was started anew or the
// journal is of an older version, the wall clock is the best guess, but time never
// goes back behind what was written ([Start] says so by known = false). Whoever
// reads spans then has to err to the safe side: see package journal.
//
// Ways not taken: a stamp that is written now and then tells only when the process
// was last alive, and the time for which it was away is what matters; the wall
// clock with checks for jumps can't see a step that comes between two processes.
package clock
