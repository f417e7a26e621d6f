package logic

import "testing"

// An endpoint that is still in outage must not limit its siblings, which recovered seconds ago, to the
// capacity right after a recovery until it is tried itself.
func TestBudgetGrowsWithEachRecovery(t *testing.T) {
	set := base()
	set.Weights, set.Senders = WeightsNominal, 1
	r := newRig(t, set)
	ev := list(2)
	ev.Entries[0].NominalRate, ev.Entries[1].NominalRate = 20, 20
	r.step(0, ev)
	budget := func(now float64, back bool) (n int) {
		r.s.now = sec(now)
		for _, e := range r.s.destinations[9].endpoints {
			e.cold, e.suspect, e.lastFailure, e.callTimes = true, true, sec(1), nil
		}
		e := r.s.endpoints[1]
		if back {
			e.suspect, e.recoveredAt = false, sec(2)
		}
		for r.s.budgetAvailableAt(e) <= r.s.now {
			e.callTimes = append(e.callTimes, r.s.now)
			n++
		}
		return n
	}
	inOutage, back, later := budget(9, false), budget(2, true), budget(9, true)
	if inOutage != 16 { // 2 x 0.2 x 20 a second for 2 s
		t.Errorf("%d calls while all are in outage, want 16", inOutage)
	}
	if back != 16 || later != 32 { // 1 of 2 is half warm: 2 x (0.6 + 0.2)/2 x 20 x 2
		t.Errorf("%d calls at the recovery, %d once one of two is half warm, want 16 and 32", back, later)
	}
}

// Four rejections in a row by a destination at its limit must not count as an outage, which would reduce it
// to single trials and then to a slow start.
func TestUsedUpLimitIsNoOutage(t *testing.T) {
	set := base()
	set.RemainingIndex, set.LimitIndex = 0, 1
	for _, x := range []struct {
		name   string
		load   []float64
		wait   float64
		outage bool
	}{
		{"nothing left", []float64{0.1, 5}, 0, false},
		{"nothing left, long wait", []float64{0.1, 5}, 3, true},
		{"much left", []float64{0.9, 5}, 0, true},
		{"no report", nil, 0, true},
	} {
		r := newRig(t, set)
		r.step(0, list(1))
		e := r.s.endpoints[1]
		r.s.recordLoadReport(e, []float64{0.1, 5}) // an old report, which the next answer replaces
		for i := range 5 {
			r.s.now = sec(1 + 0.5*float64(i))
			r.s.recordLoadReport(e, x.load)
			r.s.recordOverload(e, sec(x.wait))
		}
		if e.suspect != x.outage {
			t.Errorf("%s: outage: %v", x.name, e.suspect)
		}
	}
}

// A call with several messages has one timeout, that of the message with the least time left. A message that
// is about to expire must not shorten the time of the others, which would end unsafe ones. Everything that
// one step sends to an endpoint travels together, so that message goes in the next step; otherwise more calls
// would be in flight than the package counts.
func TestExpiringMessageDoesNotJoinBatch(t *testing.T) {
	set := base()
	set.Kinds[0].MaxBatch = 10
	for _, late := range []float64{0.3, 9} {
		r := newRig(t, set)
		r.step(0, list(1))
		for range 5 { // the usual latency is 0.2 s
			for i := range r.s.classLatencies {
				r.s.classLatencies[i].add(0, sec(0.2), false)
			}
		}
		old := r.message(0)
		old.Remaining = sec(late)
		out := only[StartAttempt](r.step(1, r.message(2), old, r.message(2)))
		if (len(out) == 3) != (late > 1) || r.s.usedSlots != 1 {
			t.Errorf("%v s left: %d sends in %d calls, want one, without the short one beside others", late, len(out),
				r.s.usedSlots)
		}
		calls := 1
		if late < 1 {
			calls = 2
		}
		if next := only[StartAttempt](r.step(1.005)); len(out)+len(next) != 3 || r.s.usedSlots != calls {
			t.Errorf("%v s left: %d sends in the next step, %d calls in flight, want %d", late, len(next),
				r.s.usedSlots, calls)
		}
	}
}

// A requested wait applies whatever else the answer says: the answer to a batch may request one although it
// delivered some messages.
func TestRequestedWaitWithDelivery(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(2))
	c := only[StartAttempt](r.step(1, r.message(0)))[0]
	done := answer(c.ID, c.Endpoint, 0, Completed)
	done.RetryAfter = sec(2)
	r.step(1.1, done)
	if out := only[StartAttempt](r.step(2, r.message(0))); len(out) != 0 {
		t.Error("sent inside a wait")
	}
	if out := only[StartAttempt](r.step(3.2)); len(out) != 1 {
		t.Error("not sent after the wait")
	}
}
