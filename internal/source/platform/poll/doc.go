// Package poll decides when a sender requests the list of endpoints from discovery, and how long it waits for a
// response. It does no I/O: its methods take events with their times and return the calls to make.
//
// While discovery responds, one long poll is in flight, the watch. When a watch fails or is overdue, the list may be
// out of date. Then short calls, the checks, are repeated until one is answered. A slow check doesn't delay the next
// one, which is made in parallel; the first response counts, and the other calls are abandoned.
//
// A retry budget bounds the rate of checks: all senders of a fleet together stay below a rate, unless that would leave
// a sender too few attempts within the time in which it must receive a change.
package poll
