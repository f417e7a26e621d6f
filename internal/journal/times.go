package journal

import "cometrack/internal/clock"

// startClock starts the clock of the records' times, and reports whether the time that has passed since they were
// written is known. If not, it treats every idempotency window as closed.
func (j *Journal) startClock(savedEpoch *clock.Epoch, ended []*Ended) (known bool) {
	latest := int64(0)
	for _, e := range j.entries {
		latest = max(latest, e.AcceptedAt, e.MayHaveRunSince)
		if e.End != nil {
			latest = max(latest, e.End.At)
		}
	}
	for _, x := range ended {
		latest = max(latest, x.EndedAt)
	}
	j.clock, j.epoch, known = clock.Start(savedEpoch, latest)
	j.newEpoch = savedEpoch == nil || *savedEpoch != j.epoch
	if known {
		return true
	}
	j.log.Warn("journal: time since the last write is unknown: using the wall clock, and not retrying by idempotency key")
	j.expireKeyWindows()
	return false
}

// expireKeyWindows closes the idempotency windows of all messages that may have run, so that they are not repeated.
func (j *Journal) expireKeyWindows() {
	for _, e := range j.entries {
		if e.MayHaveRun || e.InFlight {
			e.MayHaveRunSince = earliestTime
			j.markDirty(e.ID, stateDirty)
		}
	}
}

// earliestTime is the earliest time, in microseconds of package clock; 0 stands for none. As the time of the first
// attempt that may have run, it puts the end of the idempotency window into the past.
const earliestTime = 1

// Clock returns the clock of the times in the journal.
func (j *Journal) Clock() *clock.Clock { return j.clock }
