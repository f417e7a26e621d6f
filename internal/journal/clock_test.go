package journal

import (
	"testing"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

// After a restart within the same boot, stored times must be read as they were written, however the wall clock was set
// in between.
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
		t.Error("the clock went backwards")
	}
	j.Close()
}

// After a reboot the time since an attempt is unknown. Its idempotency window must then count as closed, or the message
// might be repeated too late; the retention of an ended message starts again; and the clock must not go back behind a
// stored time.
func TestClockAfterAnotherBoot(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	endedAt := j.Clock().Now() + time.Hour.Microseconds() // as if the wall clock was an hour ahead then
	mustAppend(t, j, accept("a", 10), Record{Op: OpSend, ID: "a", At: j.Clock().Now()}, accept("fresh", 10),
		accept("done", 10), Record{Op: OpDone, ID: "done", At: endedAt},
		accept("back", 10),
		Record{Op: OpEnd, ID: "back", End: &message.End{ID: "back", State: message.Returned, At: endedAt + 1}})
	retention := j.Ended("done").RetainUntil - endedAt
	j.epoch, j.newEpoch = clock.Epoch{BootID: "another", Offset: 3}, true
	mustAppend(t, j, accept("b", 10))
	for range 2 { // the second start reads what the first one stored
		j = reopen(t, j, fs)
		if e := j.Entry("a"); e.MayHaveRunSince != earliestTime || !e.InFlight {
			t.Errorf("message with an attempt in flight: %+v", e)
		}
		if e := j.Entry("fresh"); e.MayHaveRunSince != 0 || e.Attempts != 0 {
			t.Errorf("message without an attempt: %+v", e)
		}
		if now := j.Clock().Now(); now < endedAt || j.Ended("done").RetainUntil < now+retention-time.Minute.Microseconds() {
			t.Errorf("now %d, ended message %+v", now, j.Ended("done"))
		}
		if j.Entry("back") == nil || j.Entry("back").End == nil {
			t.Error("an unconfirmed end is lost")
		}
		mustAppend(t, j, accept("c", 10))
	}
	j.Close()
}
