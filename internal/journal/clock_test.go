package journal

import (
	"testing"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

// Times keep their meaning over a restart of the same boot, however the wall clock was set in between: what is read is
// what was written.
func TestClockOutlivesProcess(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	mustAppend(t, j, accept("a", 10), Record{Op: OpSend, ID: "a", At: j.Clock().Now()})
	epoch, sent := j.epoch, j.Entry("a").MayHaveRunSince
	j = reopen(t, j, fs)
	if j.epoch != epoch || j.newEpoch || j.Entry("a").MayHaveRunSince != sent {
		t.Errorf("epoch %+v, was %+v; first attempt at %d, was %d", j.epoch, epoch, j.Entry("a").MayHaveRunSince, sent)
	}
	if j.Clock().Now() < sent {
		t.Error("the clock went back")
	}
	j.Close()
}

// After another boot nobody knows how long ago an attempt was sent: its window for repeats counts as over, an end is
// remembered for its whole window from now on, and the clock does not go back behind what was written.
func TestClockAfterAnotherBoot(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	over := j.Clock().Now() + time.Hour.Microseconds() // the wall clock was an hour ahead then, say
	mustAppend(t, j, accept("a", 10), Record{Op: OpSend, ID: "a", At: j.Clock().Now()}, accept("fresh", 10),
		accept("done", 10), Record{Op: OpDone, ID: "done", At: over},
		accept("back", 10), Record{Op: OpEnd, ID: "back", End: &message.End{ID: "back", State: message.Returned, At: over + 1}})
	keep := j.Ended("done").RetainUntil - over
	j.epoch, j.newEpoch = clock.Epoch{BootID: "another", Offset: 3}, true
	mustAppend(t, j, accept("b", 10))
	for range 2 { // the first start in a boot says what the next one knows
		j = reopen(t, j, fs)
		if e := j.Entry("a"); e.MayHaveRunSince != earliestTime || !e.InFlight {
			t.Errorf("the attempt is %+v", e)
		}
		if e := j.Entry("fresh"); e.MayHaveRunSince != 0 || e.Attempts != 0 {
			t.Errorf("what was never tried is %+v", e)
		}
		if now := j.Clock().Now(); now < over || j.Ended("done").RetainUntil < now+keep-time.Minute.Microseconds() {
			t.Errorf("now %d, ended %+v", now, j.Ended("done"))
		}
		if j.Entry("back") == nil || j.Entry("back").End == nil {
			t.Error("an end that is owed is gone")
		}
		mustAppend(t, j, accept("c", 10))
	}
	j.Close()
}
