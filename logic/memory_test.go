package logic

import (
	"reflect"
	"testing"
)

// A Sender with a restored snapshot takes the same snapshot again, whatever happened before it.
func TestMemoryComesBackWhole(t *testing.T) {
	for _, name := range []string{"plain", "apart", "reports", "weights"} {
		set := variants()[name]
		set.TrackChanges = true
		seen, sick := 0, 0
		for seed := uint64(1); seed <= 4; seed++ {
			w := newWorld(t, set, seed)
			w.play()
			again, err := New(set, 5)
			if err != nil {
				t.Fatal(err)
			}
			list := Endpoints{Form: ListCached}
			for _, id := range w.order {
				row := w.eps[id].row
				row.State = Ready
				list.Entries = append(list.Entries, row)
			}
			again.Step(w.now, []Event{list})
			for _, d := range w.s.destinationOrder {
				if len(d.endpoints) == 0 {
					continue
				}
				m := w.s.destinationState(d)
				if m.Unhealthy {
					sick++
				}
				again.Step(w.now, []Event{RestoreState{State: m}, RestoreState{State: DestinationState{Dest: d.id, Arrivals: 99}}}) // only the first counts
				got := again.destinationState(again.destinations[d.id])
				got.Endpoints, m.Endpoints = byEndpoint(got), byEndpoint(m)
				if !reflect.DeepEqual(got, m) {
					t.Errorf("%s: destination %d:\n%+v, had\n%+v", name, d.id, got, m)
				}
				seen += len(m.Latencies.Bins)
			}
		}
		if seen == 0 || sick == 0 {
			t.Errorf("%s: the memories tell of %d bins and %d sick destinations", name, seen, sick)
		}
	}
}

// byEndpoint returns the endpoints that both the snapshot and the list of the test contain.
func byEndpoint(m DestinationState) []EndpointState {
	var out []EndpointState
	for id := EndpointID(100); id < 108; id++ {
		for _, x := range m.Endpoints {
			if x.Endpoint == id && x.SinceSuccess < SinceNever {
				x.TrialInterval = 0 // bounded
				out = append(out, x)
			}
		}
	}
	return out
}

// sickOf is a snapshot of destination 9, whose endpoint 1 is in outage or recovered from one a second ago.
func sickOf(out bool) DestinationState {
	return DestinationState{Dest: 9, Unhealthy: true, Arrivals: 3, SinceOutage: 20 * Second, Limiter: LimiterState{PeakRate: 4}, Endpoints: []EndpointState{
		{Endpoint: 1, Outage: out, Cold: true, SinceRecovery: Second, SinceSuccess: Second, SinceFailure: 2 * Second, SinceIndependentSuccess: 3 * Second, TrialInterval: Second}}}
}

// A restart begins the window of a cold destination anew, as the previous process may have used it up. Then
// the budget continues from the known recovery, and an endpoint in outage gets single trials.
func TestRecallOfTheSick(t *testing.T) {
	for _, x := range []struct {
		name        string
		memory      DestinationState
		age         float64 // of the snapshot, seconds
		early, late int     // sends within the fall window, and right after it
	}{
		{"cold", sickOf(false), 0, 0, 3}, // 2 x (0.2 + 0.8 x 3.1 s / 14 s) x 4 per second / 2 senders x 2 s: 3.0
		{"out", sickOf(true), 0, 0, 1},
		{"warm since", sickOf(false), 20, 4, 4},
		{"out long ago", sickOf(true), 1e6, 0, 1},
		{"of another", DestinationState{Dest: 8, Unhealthy: true}, 0, 4, 4},
	} {
		set := base()
		r := newRig(t, set)
		evs := []Event{list(1), RestoreState{Age: sec(x.age), State: x.memory}}
		for range 12 {
			evs = append(evs, r.call(0))
		}
		early := len(only[StartAttempt](r.step(100, evs...)))
		early += len(only[StartAttempt](r.step(101.9, TimerFired{})))
		late := early + len(only[StartAttempt](r.step(102.1, TimerFired{})))
		late += len(only[StartAttempt](r.step(103.2, TimerFired{})))
		if early != x.early || late != x.late {
			t.Errorf("%s: %d sends within the fall window, %d with those after; want %d, %d", x.name, early, late, x.early, x.late)
		}
	}
}

// State that this process has gathered itself takes precedence, and impossible values are harmless.
func TestRecallComesLate(t *testing.T) {
	r := newRig(t, base())
	c := r.call(0)
	r.step(100, list(1), c)
	r.step(100.1, answer(c.ID, 1, 0, Completed))
	if n := len(only[StartAttempt](r.step(100.2, RestoreState{State: sickOf(true)}, r.call(0), r.call(0)))); n != 2 {
		t.Errorf("%d sends to an endpoint that answers, want 2", n)
	}
	odd := sickOf(false)
	odd.SinceUsed, odd.Arrivals, odd.Latencies = -1, -5, LatencyHistogram{Bins: []uint8{255, 3}, Weights: []uint16{9}}
	odd.Endpoints[0].Endpoint, odd.Limiter.Rate = 77, -3
	r = newRig(t, base())
	if n := len(only[StartAttempt](r.step(100, list(1), RestoreState{Age: -5, State: odd}, r.call(0)))); n != 1 {
		t.Errorf("%d sends after a memory that makes no sense, want 1", n)
	}
}

// Of two destinations the one whose health has changed comes first, although the other changed earlier. No
// more states are returned than requested.
func TestRememberTheSickFirst(t *testing.T) {
	set := base()
	set.TrackChanges = true
	r := newRig(t, set)
	both := list(1)
	both.Entries = append(both.Entries, Entry{Endpoint: 2, Dest: 10})
	r.step(0, both)
	well, sick := r.call(0), r.call(0)
	sick.Dest = 10
	r.step(1, well)
	r.step(1.1, answer(well.ID, 1, 0, Completed))
	r.step(12, sick)
	r.step(12.1, answer(sick.ID, 2, 0, ConnectionRefused))
	for _, want := range []int64{10, 9} {
		if got := r.s.ChangedStates(sec(13), 1); len(got) != 1 || got[0].Dest != want || got[0].Unhealthy != (want == 10) {
			t.Errorf("told %+v, want destination %d", got, want)
		}
	}
	if got := r.s.ChangedStates(sec(13), 1); len(got) != 0 {
		t.Errorf("told again: %+v", got)
	}
}

// Changes of health are returned first and soon, others every ten seconds, each once, and none unless they
// are tracked.
func TestRememberIsBounded(t *testing.T) {
	for _, on := range []bool{true, false} {
		set := base()
		set.TrackChanges = on
		r := newRig(t, set)
		r.step(0, list(1))
		told, sick, out := 0, 0.0, 0.0
		for at := 0.1; at < 40; at += 0.1 {
			c := r.call(0)
			outcome := Completed
			if at > 25 {
				outcome = ConnectionRefused
				if sick == 0 {
					sick = at
				}
			}
			for _, a := range only[StartAttempt](r.step(at, c)) {
				r.step(at, answer(a.ID, 1, 0, outcome))
			}
			for _, m := range r.s.ChangedStates(sec(at), 1) {
				if told++; m.Unhealthy && out == 0 {
					out = at
				}
			}
		}
		switch {
		case !on && told > 0:
			t.Errorf("%d memories without a wish for any", told)
		case on && (told < 3 || told > 5 || out-sick > 1.2):
			t.Errorf("%d memories in 40 s, an outage of %.1f s told at %.1f s", told, sick, out)
		}
	}
}
