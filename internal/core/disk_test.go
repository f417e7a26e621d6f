package core

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/vfs"
	"cometrack/logic"
)

// flaky is a folder whose writes fail while it is told so, after half of their bytes.
type flaky struct {
	vfs.Dir
	fail *atomic.Bool
}

func (f flaky) Open(name string, create bool) (vfs.File, error) {
	file, err := f.Dir.Open(name, create)
	return flakyFile{file, f.fail}, err
}

type flakyFile struct {
	vfs.File
	fail *atomic.Bool
}

func (f flakyFile) WriteAt(b []byte, at int64) (int, error) {
	if f.fail.Load() {
		n, err := f.File.WriteAt(b[:len(b)/2], at)
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.File.WriteAt(b, at)
}

// flakyRig is a rig whose journal is in such a folder.
func flakyRig(t *testing.T, dir string) (r *rig, fail *atomic.Bool) {
	t.Helper()
	fail = &atomic.Bool{}
	r = newRig(t, t.TempDir(), testConfig(), func(p *Dependencies) {
		p.Store.Close()
		j, err := journal.OpenOn(flaky{vfs.Dir(dir), fail}, journal.Options{MaxBytes: 3e6, EndRetention: time.Hour, MaxEnded: 100, MaxBodyInMemory: 100})
		if err != nil {
			t.Fatal(err)
		}
		p.Store = j
	})
	return r, fail
}

// An end that can't be written is not told, neither to the sink nor to those who wait for the state, as long as another
// process might still send the message: it would take it up as open. It is told once the disk is well, by itself.
func TestEndThatIsNotWrittenIsNotTold(t *testing.T) {
	r, fail := flakyRig(t, t.TempDir())
	r.run()
	if a := r.put(newMessage("a", "unsafe")); a.Status != Accepted {
		t.Fatalf("%+v", a)
	}
	call := byhand.Await(t, r.hand.attempts, "attempt")
	waits := make(chan State, 1)
	go func() {
		s, _ := r.State(t.Context(), "a", true)
		waits <- s
	}()
	fail.Store(true)
	call.result <- Result{Outcome: logic.Errored} // unsafe: it has failed
	if a := r.put(newMessage("b", "safe")); a.Status != Busy {
		t.Errorf("taken on without a journal: %+v", a)
	}
	byhand.Until(t, "end of the attempt", func() bool { return r.state("a") == StateAccepted })
	select {
	case e := <-r.ends.told:
		t.Errorf("told, and not written: %+v", e)
	case s := <-waits:
		t.Errorf("told to one who waits, and not written: %+v", s)
	case <-time.After(3 * retryPause):
	}
	fail.Store(false)
	if e := byhand.Await(t, r.ends.told, "end"); e.ID != "a" || e.State != message.Failed {
		t.Errorf("%+v", e)
	}
	if s := byhand.Await(t, waits, "state"); s.Name != message.Failed {
		t.Errorf("%+v", s)
	}
	r.ends.confirm <- "a"
	r.halt()
}

// Once its time is up nobody sends a message any more, so its end is told also if it can't be written.
func TestEndIsToldAtItsTimeWithoutDisk(t *testing.T) {
	r, fail := flakyRig(t, t.TempDir())
	r.run()
	m := newMessage("a", "unsafe")
	m.Deadline = time.Now().Add(time.Second).UnixMicro()
	if a := r.put(m); a.Status != Accepted {
		t.Fatalf("%+v", a)
	}
	call := byhand.Await(t, r.hand.attempts, "attempt")
	fail.Store(true)
	call.result <- Result{Outcome: logic.Errored}
	e := byhand.Await(t, r.ends.told, "end")
	if late := time.Since(time.UnixMicro(m.Deadline)); e.ID != "a" || late < 0 || late > 2*retryPause {
		t.Errorf("%+v, %v after its time", e, late)
	}
	fail.Store(false)
	r.ends.confirm <- "a"
	r.halt()
}

// A process that dies while its disk fails leaves nothing that was told to be sent again: the next one takes up what
// was open, and what it sends was not told to have ended.
func TestKilledWhileDiskFails(t *testing.T) {
	dir := t.TempDir()
	r, fail := flakyRig(t, dir)
	r.run()
	for _, id := range []string{"a", "b"} {
		if a := r.put(newMessage(id, "unsafe")); a.Status != Accepted {
			t.Fatalf("%+v", a)
		}
	}
	first := byhand.Await(t, r.hand.attempts, "attempt")
	second := byhand.Await(t, r.hand.attempts, "attempt")
	fail.Store(true)
	first.result <- Result{Outcome: logic.Errored}
	second.result <- Result{Outcome: logic.Overloaded} // it has not run, and would be sent again
	byhand.Until(t, "end of the attempts", func() bool { return r.state("a") == StateAccepted && r.state("b") == StateAccepted })
	r.stop() // as a kill leaves it: nothing more is written
	byhand.Await(t, r.done, "end of the core")
	select {
	case e := <-r.ends.told:
		t.Errorf("told, and not written: %+v", e)
	default:
	}
	fail.Store(false)
	next, _ := flakyRig(t, dir)
	next.run()
	for range 2 { // both may have run, as far as the journal knows
		if e := byhand.Await(t, next.ends.told, "end"); e.State != message.Failed {
			t.Errorf("%+v", e)
		}
	}
	for _, id := range []string{"a", "b"} {
		next.ends.confirm <- id
	}
	next.halt()
}
