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

// crash ends a core like a crash: attempts in flight have no outcome, and nothing more is written.
func (r *rig) crash() {
	r.t.Helper()
	r.stop()
	r.store.Close()
}

// A wait that was requested before a restart applies after it.
func TestWaitOutlivesRestart(t *testing.T) {
	dir, cfg := t.TempDir(), testConfig()
	cfg.PersistWaits = true
	r := newRig(t, dir, cfg).run()
	r.submitAndWait(newMessage("a", "unsafe"))
	attempt := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	const wait = 1500 * time.Millisecond
	requestedAt := time.Now()
	attempt.result <- Result{Outcome: logic.Overloaded, RequestedWait: wait}
	for r.stateName("a") != StateAccepted { // until the outcome is in the journal
	}
	r.crash()
	r = newRig(t, dir, cfg).run()
	byhand.Await(t, r.fakeTransport.attempts, "attempt after the restart").result <- Result{Outcome: logic.Completed}
	if d := time.Since(requestedAt); d < wait {
		t.Errorf("sent again %v after a wait of %v was requested", d, wait)
	}
	if x := byhand.Await(t, r.fakeSink.added, "end"); x.State != message.Delivered || x.Attempts != 2 {
		t.Errorf("end %+v", x)
	}
	r.fakeSink.confirm <- "a"
	r.shutDown()
}

// Calls right before a restart are not known after it. A rate limiter therefore starts without tokens, so that the
// first call comes after one interval of the rate.
func TestRateLimitHoldsOverRestart(t *testing.T) {
	dir, cfg := t.TempDir(), testConfig()
	cfg.PersistWaits = true
	cfg.CachedEndpoints.Endpoints[0].Weight = 2
	r := newRig(t, dir, cfg).run()
	r.submitAndWait(newMessage("a", "unsafe"))
	byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.fakeSink.added, "end")
	r.fakeSink.confirm <- "a"
	r.shutDown()
	start := time.Now()
	r = newRig(t, dir, cfg).run()
	r.submitAndWait(newMessage("b", "unsafe"))
	byhand.Await(t, r.fakeTransport.attempts, "attempt after the restart").result <- Result{Outcome: logic.Completed}
	if d := time.Since(start); d < 500*time.Millisecond {
		t.Errorf("sent %v after the restart, at 2 a second", d)
	}
	byhand.Await(t, r.fakeSink.added, "end")
	r.fakeSink.confirm <- "b"
	r.shutDown()
}

// A message whose class is not configured any more ends at once: returned if it has not run, failed if it may have run.
func TestRemovedClassEndsMessages(t *testing.T) {
	dir := t.TempDir()
	j, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	never, mayHaveRun := newMessage("never", "gone"), newMessage("may", "gone")
	if err := j.Append([]journal.Record{{Op: journal.OpAccept, Entry: &journal.Entry{Message: *never}},
		{Op: journal.OpAccept, Entry: &journal.Entry{Message: *mayHaveRun}},
		{Op: journal.OpSend, ID: "may", At: 1, Zone: "a"}}); err != nil {
		t.Fatal(err)
	}
	j.Close()
	r := newRig(t, dir, testConfig()).run()
	for range 2 {
		x := byhand.Await(t, r.fakeSink.added, "end")
		if want := map[string]string{"never": message.Returned, "may": message.Failed}[x.ID]; x.State != want {
			t.Errorf("%s is %s, want %s", x.ID, x.State, want)
		}
		r.fakeSink.confirm <- x.ID
	}
	r.shutDown()
}

// A front may use the pending limit except for the share that is reserved for the other fronts.
func TestFrontsKeepShareOfPendingLimit(t *testing.T) {
	cfg := testConfig() // pending limit 8
	r := newRig(t, t.TempDir(), cfg)
	a, b := r.NewFrontLimiter(2), r.NewFrontLimiter(2)
	accepted := 0
	for a.pending = 0; r.hasRoomFor(a) && accepted < 100; accepted++ {
		a.pending++
		r.pendingCount++
	}
	if accepted != 6 {
		t.Errorf("one front has %d of 8 pending messages", accepted)
	}
	for r.hasRoomFor(b) && accepted < 100 {
		b.pending++
		r.pendingCount++
		accepted++
	}
	if b.pending != 2 {
		t.Errorf("the other one has room for %d", b.pending)
	}
}

// A partner in outage at a crash is tested with one call by the next process, whether its list is cached or arrives
// later. Without the saved partner state all messages would be sent at once.
func TestOutageOutlivesRestart(t *testing.T) {
	for _, x := range []struct {
		name        string
		known, late bool
		want        int // attempts in flight
	}{{"known", true, false, 1}, {"known, its list comes late", true, true, 1}, {"not known", false, false, 3}} {
		t.Run(x.name, func(t *testing.T) {
			dir, cfg := t.TempDir(), testConfig()
			cfg.Settings.TrackChanges = x.known
			r := newRig(t, dir, cfg).run()
			r.submitAndWait(newMessage("a", "safe"))
			byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.ConnectionRefused}
			for r.stateName("a") != StateAccepted { // until the outcome has been handled
			}
			deadline := time.Now().Add(byhand.Timeout)
			for x.known && !r.store.recordedUnhealthy("acme") { // changes of health are written within two seconds
				if time.Now().After(deadline) {
					t.Fatal("the outage is not written")
				}
				r.submitAndWait(newMessage("a", "safe"))
			}
			r.crash()
			list := *cfg.CachedEndpoints
			if x.late {
				cfg.CachedEndpoints = nil
			}
			r = newRig(t, dir, cfg).run()
			if x.late {
				r.post(EndpointUpdate{List: list})
			}
			for _, id := range []string{"b", "c"} {
				r.submitAndWait(newMessage(id, "safe"))
			}
			byhand.Await(t, r.fakeTransport.attempts, "attempt after the restart")
			sending := 0
			for _, id := range []string{"a", "b", "c"} {
				if r.stateName(id) == StateSending {
					sending++
				}
			}
			if sending != x.want {
				t.Errorf("%d messages are in flight, want %d", sending, x.want)
			}
		})
	}
}

// A large body that is kept on disk only is in each attempt, the first and later ones, before and after a restart, and
// duplicates are recognized by it. If it can't be read, the message is not sent and is returned.
func TestLargeBodyIsReadBack(t *testing.T) {
	dir := t.TempDir()
	r := newRig(t, dir, testConfig()).run()
	big := func(fill string) *message.Message {
		m := newMessage("a", "unsafe")
		m.Body = bytes.Repeat([]byte(fill), 3000)
		return m
	}
	answer := func(o logic.Outcome) {
		t.Helper()
		attempt := byhand.Await(t, r.fakeTransport.attempts, "attempt")
		if !bytes.Equal(attempt.Message.Body, big("x").Body) {
			t.Errorf("attempt %d has a body of %d bytes", attempt.Number, len(attempt.Message.Body))
		}
		attempt.result <- Result{Outcome: o}
	}
	r.submitAndWait(big("x"))
	answer(logic.ConnectionRefused)
	answer(logic.ConnectionRefused)
	if e := r.store.Entry("a"); e.StoredBodySize != 3000 || e.Body != nil {
		t.Errorf("%d bytes on disk, %d in memory", e.StoredBodySize, len(e.Body))
	}
	if a, b := r.submitAndWait(big("x")), r.submitAndWait(big("y")); a.Status != Accepted || !a.Duplicate ||
		b.Status != Conflict {
		t.Errorf("submitted again: %+v, with another body: %+v", a, b)
	}
	r.crash()
	r = newRig(t, dir, testConfig()).run()
	if a, b := r.submitAndWait(big("x")), r.submitAndWait(big("y")); a.Status != Accepted || b.Status != Conflict {
		t.Errorf("submitted again after the restart: %+v, with another body: %+v", a, b)
	}
	answer(logic.Completed)
	if x := byhand.Await(t, r.fakeSink.added, "end"); x.State != message.Delivered {
		t.Errorf("end %+v", x)
	}
	r.fakeSink.confirm <- "a"
	r.store.loseBodies(true)
	b := big("x")
	b.ID = "b"
	r.submitAndWait(b)
	byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.ConnectionRefused}
	if x := byhand.Await(t, r.fakeSink.added, "end"); x.ID != "b" || x.State != message.Returned {
		t.Errorf("end %+v", x)
	}
	select {
	case attempt := <-r.fakeTransport.attempts:
		t.Errorf("attempt %d was made without its body", attempt.Number)
	default:
	}
	r.fakeSink.confirm <- "b"
	r.shutDown()
}
