package core

import (
	"bytes"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// kill ends a core as a crash would: what is out has no outcome, and nobody is asked.
func (r *rig) kill() {
	r.t.Helper()
	r.stop()
	r.store.Close()
}

// A wait that was told before a restart is heeded after it.
func TestWaitOutlivesRestart(t *testing.T) {
	dir, cfg := t.TempDir(), testConfig()
	cfg.PersistWaits = true
	r := newRig(t, dir, cfg).run()
	r.put(newMessage("a", "unsafe"))
	in := byhand.Await(t, r.hand.attempts, "attempt")
	const wait = 1500 * time.Millisecond
	told := time.Now()
	in.result <- Result{Outcome: logic.Overloaded, RequestedWait: wait}
	for r.state("a") != StateAccepted { // until the outcome is in the journal
	}
	r.kill()
	r = newRig(t, dir, cfg).run()
	byhand.Await(t, r.hand.attempts, "attempt after the restart").result <- Result{Outcome: logic.Completed}
	if d := time.Since(told); d < wait {
		t.Errorf("sent again %v after a wait of %v was told", d, wait)
	}
	if x := byhand.Await(t, r.ends.told, "end"); x.State != message.Delivered || x.Attempts != 2 {
		t.Errorf("told %+v", x)
	}
	r.ends.confirm <- "a"
	r.halt()
}

// What was sent right before a restart is not known after it: a pace saves
// nothing up from before the start, so that the first call comes after one span of it.
func TestPaceHoldsOverRestart(t *testing.T) {
	dir, cfg := t.TempDir(), testConfig()
	cfg.PersistWaits = true
	cfg.CachedEndpoints.Endpoints[0].Weight = 2
	r := newRig(t, dir, cfg).run()
	r.put(newMessage("a", "unsafe"))
	byhand.Await(t, r.hand.attempts, "attempt").result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "a"
	r.halt()
	start := time.Now()
	r = newRig(t, dir, cfg).run()
	r.put(newMessage("b", "unsafe"))
	byhand.Await(t, r.hand.attempts, "attempt after the restart").result <- Result{Outcome: logic.Completed}
	if d := time.Since(start); d < 500*time.Millisecond {
		t.Errorf("sent %v after the restart, at 2 a second", d)
	}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "b"
	r.halt()
}

// A message whose class is not configured any more ends by its past, at once.
func TestVanishedClass(t *testing.T) {
	dir := t.TempDir()
	j, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	never, may := newMessage("never", "gone"), newMessage("may", "gone")
	if err := j.Append([]journal.Record{{Op: journal.OpAccept, Entry: &journal.Entry{Message: *never}}, {Op: journal.OpAccept, Entry: &journal.Entry{Message: *may}},
		{Op: journal.OpSend, ID: "may", At: 1, Zone: "a"}}); err != nil {
		t.Fatal(err)
	}
	j.Close()
	r := newRig(t, dir, testConfig()).run()
	for range 2 {
		x := byhand.Await(t, r.ends.told, "end")
		if want := map[string]string{"never": message.Returned, "may": message.Failed}[x.ID]; x.State != want {
			t.Errorf("%s is %s, want %s", x.ID, x.State, want)
		}
		r.ends.confirm <- x.ID
	}
	r.halt()
}

// A front may fill no more than the hold less what is kept for the others.
func TestDoorShares(t *testing.T) {
	cfg := testConfig() // holds 8
	r := newRig(t, t.TempDir(), cfg)
	a, b := r.NewFrontLimiter(2), r.NewFrontLimiter(2)
	taken := 0
	for a.open = 0; r.roomFor(a) && taken < 100; taken++ {
		a.open++
		r.open++
	}
	if taken != 6 {
		t.Errorf("one front holds %d of 8", taken)
	}
	for r.roomFor(b) && taken < 100 {
		b.open++
		r.open++
		taken++
	}
	if b.open != 2 {
		t.Errorf("the other one has room for %d", b.open)
	}
}

// A partner that was out when the process died is tried with one call by the next
// one, whether its list is there at the start or comes later; without the memory
// all messages would go out at once.
func TestOutageOutlivesRestart(t *testing.T) {
	for _, x := range []struct {
		name        string
		known, late bool
		want        int // attempts out at once
	}{{"known", true, false, 1}, {"known, its list comes late", true, true, 1}, {"not known", false, false, 3}} {
		t.Run(x.name, func(t *testing.T) {
			dir, cfg := t.TempDir(), testConfig()
			cfg.Settings.TrackChanges = x.known
			r := newRig(t, dir, cfg).run()
			r.put(newMessage("a", "safe"))
			byhand.Await(t, r.hand.attempts, "attempt").result <- Result{Outcome: logic.ConnectionRefused}
			for r.state("a") != StateAccepted { // until the outcome is known
			}
			deadline := time.Now().Add(byhand.Patience)
			for x.known && !r.store.knows("acme") { // changes of health are written within a second or two
				if time.Now().After(deadline) {
					t.Fatal("nothing is written of the outage")
				}
				r.put(newMessage("a", "safe"))
			}
			r.kill()
			list := *cfg.CachedEndpoints
			if x.late {
				cfg.CachedEndpoints = nil
			}
			r = newRig(t, dir, cfg).run()
			if x.late {
				r.post(EndpointUpdate{List: list})
			}
			for _, id := range []string{"b", "c"} {
				r.put(newMessage(id, "safe"))
			}
			byhand.Await(t, r.hand.attempts, "attempt after the restart")
			sending := 0
			for _, id := range []string{"a", "b", "c"} {
				if r.state(id) == StateSending {
					sending++
				}
			}
			if sending != x.want {
				t.Errorf("%d messages are out, want %d", sending, x.want)
			}
		})
	}
}

// A large body that is left on the disk is in each attempt, of a new message and of
// one that is sent again, before and after a restart; what comes again is known by
// it. One that can't be read back is never sent, and the message has its end.
func TestLargeBodyIsReadBack(t *testing.T) {
	dir := t.TempDir()
	r := newRig(t, dir, testConfig()).run()
	big := func(fill string) *message.Message {
		m := newMessage("a", "unsafe")
		m.Body = bytes.Repeat([]byte(fill), 3000)
		return m
	}
	attempt := func(o logic.Outcome) {
		t.Helper()
		in := byhand.Await(t, r.hand.attempts, "attempt")
		if !bytes.Equal(in.Message.Body, big("x").Body) {
			t.Errorf("attempt %d has a body of %d bytes", in.Number, len(in.Message.Body))
		}
		in.result <- Result{Outcome: o}
	}
	r.put(big("x"))
	attempt(logic.ConnectionRefused)
	attempt(logic.ConnectionRefused)
	if e := r.store.Entry("a"); e.StoredBodySize != 3000 || e.Body != nil {
		t.Errorf("%d bytes left on the disk, %d in memory", e.StoredBodySize, len(e.Body))
	}
	if a, b := r.put(big("x")), r.put(big("y")); a.Status != Accepted || !a.Duplicate || b.Status != Conflict {
		t.Errorf("again: %+v, with another body: %+v", a, b)
	}
	r.kill()
	r = newRig(t, dir, testConfig()).run()
	if a, b := r.put(big("x")), r.put(big("y")); a.Status != Accepted || b.Status != Conflict {
		t.Errorf("after the restart, again: %+v, with another body: %+v", a, b)
	}
	attempt(logic.Completed)
	if x := byhand.Await(t, r.ends.told, "end"); x.State != message.Delivered {
		t.Errorf("told %+v", x)
	}
	r.ends.confirm <- "a"
	r.store.lose(true)
	b := big("x")
	b.ID = "b"
	r.put(b)
	byhand.Await(t, r.hand.attempts, "attempt").result <- Result{Outcome: logic.ConnectionRefused}
	if x := byhand.Await(t, r.ends.told, "end"); x.ID != "b" || x.State != message.Returned {
		t.Errorf("told %+v", x)
	}
	select {
	case in := <-r.hand.attempts:
		t.Errorf("attempt %d was made without its body", in.Number)
	default:
	}
	r.ends.confirm <- "b"
	r.halt()
}
