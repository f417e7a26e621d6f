package logic

import "testing"

// stepAfterRestart submits a message of a class as after a restart and returns the actions of that step.
func stepAfterRestart(t *testing.T, class int, history History) []Action {
	t.Helper()
	r := newRig(t, base())
	c := r.message(class)
	c.History = history
	return r.step(100, list(2), c)
}

// An attempt that may have run before a restart restricts the class in the same way as one after it.
func TestHistoryRestrictsClass(t *testing.T) {
	mayHaveRun := History{Attempts: 1, MayHaveRun: true, SinceFirst: Second}
	outOfWindow := History{Attempts: 1, MayHaveRun: true, SinceFirst: 8 * Second} // as old as the keyed window
	for _, x := range []struct {
		name  string
		class int
		past  History
		sent  bool
	}{
		{"safe, may have run", 0, mayHaveRun, true},
		{"keyed, may have run", 1, mayHaveRun, true},
		{"keyed, out of its window", 1, outOfWindow, false},
		{"unsafe, may have run", 2, mayHaveRun, false},
		{"unsafe, never ran", 2, History{Attempts: 5}, true},
		{"safe, no attempt left", 0, History{Attempts: 6, MayHaveRun: true}, false},
	} {
		acts := stepAfterRestart(t, x.class, x.past)
		if n := len(only[StartAttempt](acts)); (n == 1) != x.sent {
			t.Errorf("%s: %d sends", x.name, n)
		}
		if n := len(only[FailMessage](acts)); (n == 1) == x.sent {
			t.Errorf("%s: %d failures", x.name, n)
		}
	}
	// Without an attempt that may have run the message is returned: the client may submit it again.
	if acts := stepAfterRestart(t, 2, History{Attempts: 6}); len(only[ReturnMessage](acts)) != 1 ||
		len(only[FailMessage](acts)) != 0 {
		t.Errorf("no attempt left, never ran: %v", acts)
	}
}

// Repeats of keyed messages are recognized only by endpoints of the zone of the first attempt.
func TestHistoryKeepsZone(t *testing.T) {
	set := base()
	set.Zones, set.Classes[1].ByZone = 2, true
	r := newRig(t, set)
	eps := list(2)
	eps.Entries[0].Zone, eps.Entries[1].Zone = 0, 1
	c := r.message(1)
	c.History = History{Attempts: 1, MayHaveRun: true, Zone: 1}
	out := only[StartAttempt](r.step(100, eps, c))
	if len(out) != 1 || out[0].Endpoint != 2 {
		t.Errorf("sent %v, want one to endpoint 2", out)
	}
}

// The numbers of attempts continue those of the previous process, as results refer to them.
func TestHistoryAttemptNumber(t *testing.T) {
	r := newRig(t, base())
	c := r.message(0)
	c.History = History{Attempts: 5, MayHaveRun: true}
	r.step(100, list(1), c)
	acts := r.step(100.1, answer(c.ID, 1, 5, Errored))
	if len(only[FailMessage](acts)) != 1 {
		t.Errorf("after the sixth attempt: %v", acts)
	}
}

// A stop must not cut off calls that began after it was announced: an unsafe message would be lost.
func TestStopping(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(1))
	for i := range 8 { // the usual latency is 0.1 s
		c := r.message(2)
		r.step(float64(i), c)
		r.step(float64(i)+0.1, answer(c.ID, 1, 0, Completed))
	}
	r.step(10, Stopping{Remaining: 3 * Second})
	early, late := r.message(2), r.message(2)
	if n := len(only[StartAttempt](r.step(10.1, early))); n != 1 {
		t.Errorf("%d sends with time enough", n)
	}
	r.step(10.2, answer(early.ID, 1, 0, Completed))
	acts := r.step(12.7, late)
	if len(acts) > 0 && len(only[StartAttempt](acts))+len(only[ReturnMessage](acts))+len(only[FailMessage](acts)) != 0 {
		t.Errorf("shortly before the stop: %v", acts)
	}
}

// A stuck call is detected even if nothing else happens.
func TestStuckCallIsDetected(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(2))
	acts := r.step(1, r.message(0))
	at, end := 1.0, 0.0
	for i := 0; i < 20 && len(only[Cancel](acts)) == 0; i++ {
		timers := only[SetTimer](acts)
		if len(timers) == 0 {
			t.Fatal("no timer set")
		}
		at += seconds(timers[0].Wait)
		acts = r.step(at, TimerFired{Token: timers[0].Token})
		end = at
	}
	if end == 0 || end > 6 {
		t.Errorf("cancelled at %v s", end)
	}
}

// A call whose message has ended occupies its slot over a handover, until its outcome comes.
func TestHandOverCountsEndedMessages(t *testing.T) {
	set := base()
	set.Slots, set.MayCancel = 1, false
	old := newRig(t, set)
	gone := old.message(0)
	out := only[StartAttempt](old.step(1, list(1), gone))[0]
	old.step(1.1, ClientGone{gone.ID})
	all, _ := old.s.HandOver(sec(1.2))
	r := newRig(t, set)
	gone.History = History{Attempts: 1, Ended: true, InFlight: &InFlightAttempt{Endpoint: out.Endpoint, Age: sec(0.2)}}
	next := r.message(0)
	next.ID, next.Dest = "next", 10 // another destination: only the slot delays it
	two := list(2)
	two.Entries[1].Dest = 10
	if acts := r.step(1.2, two, RestoreState{State: all[0]}, gone, next); len(only[StartAttempt](acts)) != 0 {
		t.Errorf("sent beside a call that holds the only slot: %v", acts)
	}
	if acts := r.step(1.5, answer(gone.ID, out.Endpoint, 0, Completed)); len(only[StartAttempt](acts)) != 1 {
		t.Errorf("not sent once the slot is free: %v", acts)
	}
}
