package logic

import "testing"

// Reports of peers: a sender without a recent answer of its own sends single trials and holds back the rest;
// one with a recent answer sends one call at a time; an answer ends the outage only if its call began after
// the report; a reported recovery brings the next trial forward. Without PublishHealth nothing is published.
func TestPeerHealth(t *testing.T) {
	set := base()
	set.PublishHealth = true
	outage, recovered := PeerHealth{Endpoint: 1, Outage: true}, PeerHealth{Endpoint: 1, TryNow: true}
	calls := func(r *rig, at float64, n int) (ids []StartAttempt) {
		var evs []Event
		for range n {
			evs = append(evs, r.message(0))
		}
		return only[StartAttempt](r.step(at, evs...))
	}

	r := newRig(t, set) // idle
	r.step(0, list(1), outage)
	if n := len(calls(r, 0.01, 3)); n != 0 {
		t.Errorf("idle: %d calls right after the report", n)
	}
	trial := only[StartAttempt](r.step(0.5))
	if len(trial) != 1 {
		t.Fatalf("idle: %d trials", len(trial))
	}
	r.step(0.55, outage) // again while the trial is in flight, whose answer does not count for it
	if l := only[HealthChange](r.step(0.6, answer(trial[0].ID, 1, 0, Completed))); len(l) != 0 {
		t.Errorf("an answer to a call that began before the report: %+v", l)
	}
	at := 0.7
	for trial = nil; len(trial) == 0 && at < 8; at += 0.1 {
		trial = only[StartAttempt](r.step(at))
	}
	if len(trial) != 1 {
		t.Fatalf("idle: %d trials after the second report", len(trial))
	}
	if l := only[HealthChange](r.step(at, answer(trial[0].ID, 1, 0, Completed))); len(l) != 1 || l[0].Outage {
		t.Errorf("an answer to a call that began after the report: %+v", l)
	}

	r = newRig(t, set) // with traffic
	r.step(0, list(1))
	at = r.warm(0, 3)
	first := calls(r, at, 1)
	if l := only[HealthChange](r.step(at+0.1, outage, answer(first[0].ID, 1, 0, Completed))); len(l) != 0 {
		t.Errorf("with traffic, an answer to a call that began before the report: %+v", l)
	}
	first = calls(r, at+0.1, 3)
	if len(first) != 1 {
		t.Fatalf("with traffic: %d calls at once after the report", len(first))
	}
	acts := r.step(at+0.2, answer(first[0].ID, 1, 0, Completed))
	if l := only[HealthChange](acts); len(l) != 1 || l[0].Outage || len(only[StartAttempt](acts)) != 2 {
		t.Errorf("with traffic, after an answer: %+v", acts)
	}

	r = newRig(t, set) // with an outage that it detected itself
	r.step(0, list(1))
	first = calls(r, 0, 1)
	if l := only[HealthChange](r.step(0.1, answer(first[0].ID, 1, 0, ConnectionRefused))); len(l) != 1 || !l[0].Outage {
		t.Errorf("own detection: %+v", l)
	}
	next := r.s.endpoints[1].trialAt
	if r.step(0.12, recovered); r.s.endpoints[1].trialAt >= next || r.s.endpoints[1].trialAt < sec(0.12) {
		t.Errorf("the next trial is at %d, was at %d", r.s.endpoints[1].trialAt, next)
	}

	nextTrial := func(factor int) (all Micros) { // between trials at an endpoint that stays in outage
		r := newRig(t, set)
		r.step(0, list(1), PeerHealth{Endpoint: 1, TrialFactor: factor})
		var last Micros
		r.step(0, r.message(0))
		for at := 0.1; at < 9.9; at += 0.1 {
			for _, m := range r.s.messages {
				if m.inFlight != nil {
					last = r.s.now
					r.step(at, AttemptResult{ID: m.id, Endpoint: 1, Attempt: m.inFlight.number,
						Outcome: ConnectionRefused})
				}
			}
			r.step(at)
		}
		return r.s.endpoints[1].trialAt - last
	}
	if one, eight := nextTrial(1), nextTrial(8); one > sec(2.5) || eight < sec(2.9) {
		t.Errorf("the next trial comes after %d with one sender, and %d with others", one, eight)
	}

	r = newRig(t, base())
	r.step(0, list(1))
	first = calls(r, 0, 1)
	if l := only[HealthChange](r.step(0.1, answer(first[0].ID, 1, 0, ConnectionRefused))); len(l) != 0 {
		t.Errorf("published without PublishHealth: %+v", l)
	}
}
