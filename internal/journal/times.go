package journal

import "cometrack/internal/clock"

// How the times in the records are to be read.

// startClock makes the clock that the times of the records are of, and says whether the time that has passed since they
// were written is known. If it is not, no window for repeats is taken to be open.
func (j *Journal) startClock(kept *clock.Epoch, over []*Ended) (known bool) {
	latest := int64(0)
	for _, e := range j.entries {
		latest = max(latest, e.AcceptedAt, e.MayHaveRunSince)
		if e.End != nil {
			latest = max(latest, e.End.At)
		}
	}
	for _, x := range over {
		latest = max(latest, x.EndedAt)
	}
	j.clock, j.epoch, known = clock.Start(kept, latest)
	j.newEpoch = kept == nil || *kept != j.epoch
	if known {
		return true
	}
	j.log.Warn("journal: how long ago it was written is not known; the wall clock is taken, and nothing that may have run is repeated by its key")
	j.doubtWindows()
	return false
}

// doubtWindows takes the windows for repeats of all that may have run for over.
func (j *Journal) doubtWindows() {
	for _, e := range j.entries {
		if e.MayHaveRun || e.InFlight {
			e.MayHaveRunSince = longAgo
			j.mark(e.ID, markState)
		}
	}
}

// longAgo is a time before all others.
const longAgo = 1

// Clock is the clock that the times in the journal are of.
func (j *Journal) Clock() *clock.Clock { return j.clock }
