package logic

import (
	"reflect"
	"testing"
)

// A Sender with a restored snapshot takes the same snapshot again, whatever happened before it.
func TestSnapshotRoundTrip(t *testing.T) {
	for _, name := range []string{"plain", "apart", "reports", "weights"} {
		set := variants()[name]
		set.TrackChanges = true
		bins, unhealthy := 0, 0
		for seed := uint64(1); seed <= 4; seed++ {
			w := newWorld(t, set, seed)
			w.play()
			restored, err := New(set, 5)
			if err != nil {
				t.Fatal(err)
			}
			list := Endpoints{Form: ListCached}
			for _, id := range w.endpointOrder {
				entry := w.endpoints[id].entry
				entry.State = Ready
				list.Entries = append(list.Entries, entry)
			}
			restored.Step(w.now, []Event{list})
			for _, d := range w.s.destinationOrder {
				if len(d.endpoints) == 0 {
					continue
				}
				m := w.s.destinationState(d)
				if m.Unhealthy {
					unhealthy++
				}
				restored.Step(w.now, []Event{RestoreState{State: m},
					RestoreState{State: DestinationState{Dest: d.id, Arrivals: 99}}}) // only the first counts
				got := restored.destinationState(restored.destinations[d.id])
				got.Endpoints, m.Endpoints = byEndpoint(got), byEndpoint(m)
				if !reflect.DeepEqual(got, m) {
					t.Errorf("%s: destination %d:\n%+v, had\n%+v", name, d.id, got, m)
				}
				bins += len(m.Latencies.Bins)
			}
		}
		if bins == 0 || unhealthy == 0 {
			t.Errorf("%s: the snapshots hold %d bins and %d unhealthy destinations", name, bins, unhealthy)
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

// unhealthyState is a snapshot of destination 9, whose endpoint 1 is in outage or recovered from one a second ago.
func unhealthyState(outage bool) DestinationState {
	return DestinationState{Dest: 9, Unhealthy: true, Arrivals: 3, SinceOutage: 20 * Second,
		Limiter: LimiterState{PeakRate: 4}, Endpoints: []EndpointState{
			{Endpoint: 1, Outage: outage, Cold: true, SinceRecovery: Second, SinceSuccess: Second,
				SinceFailure: 2 * Second, SinceIndependentSuccess: 3 * Second, TrialInterval: Second}}}
}

// A restart begins the window of a cold destination anew, as the previous process may have used it up. Then
// the budget continues from the known recovery, and an endpoint in outage gets single trials.
func TestRestoreUnhealthyState(t *testing.T) {
	for _, x := range []struct {
		name        string
		memory      DestinationState
		age         float64 // of the snapshot, seconds
		early, late int     // sends within the fall window, and right after it
	}{
		{"cold", unhealthyState(false), 0, 0, 3}, // 2 x (0.2 + 0.8 x 3.1/14) x 4 per second / 2 senders x 2 s: 3.0
		{"out", unhealthyState(true), 0, 0, 1},
		{"warm since", unhealthyState(false), 20, 4, 4},
		{"out long ago", unhealthyState(true), 1e6, 0, 1},
		{"of another destination", DestinationState{Dest: 8, Unhealthy: true}, 0, 4, 4},
	} {
		set := base()
		r := newRig(t, set)
		evs := []Event{list(1), RestoreState{Age: sec(x.age), State: x.memory}}
		for range 12 {
			evs = append(evs, r.message(0))
		}
		early := len(only[StartAttempt](r.step(100, evs...)))
		early += len(only[StartAttempt](r.step(101.9, TimerFired{})))
		late := early + len(only[StartAttempt](r.step(102.1, TimerFired{})))
		late += len(only[StartAttempt](r.step(103.2, TimerFired{})))
		if early != x.early || late != x.late {
			t.Errorf("%s: %d sends within the fall window, %d with those after; want %d, %d", x.name, early, late,
				x.early, x.late)
		}
	}
}

// State that this process has gathered itself takes precedence, and impossible values are harmless.
func TestRestoreKeepsOwnState(t *testing.T) {
	r := newRig(t, base())
	c := r.message(0)
	r.step(100, list(1), c)
	r.step(100.1, answer(c.ID, 1, 0, Completed))
	if n := len(only[StartAttempt](r.step(100.2, RestoreState{State: unhealthyState(true)}, r.message(0),
		r.message(0)))); n != 2 {
		t.Errorf("%d sends to an endpoint that answers, want 2", n)
	}
	odd := unhealthyState(false)
	odd.SinceUsed, odd.Arrivals, odd.Latencies = -1, -5, LatencyHistogram{Bins: []uint8{255, 3}, Weights: []uint16{9}}
	odd.Endpoints[0].Endpoint, odd.Limiter.Rate = 77, -3
	r = newRig(t, base())
	if n := len(only[StartAttempt](r.step(100, list(1), RestoreState{Age: -5, State: odd}, r.message(0)))); n != 1 {
		t.Errorf("%d sends after an invalid snapshot, want 1", n)
	}
}

// Of two destinations the one whose health has changed comes first, although the other changed earlier. No
// more states are returned than requested.
func TestChangedStatesHealthFirst(t *testing.T) {
	set := base()
	set.TrackChanges = true
	r := newRig(t, set)
	both := list(1)
	both.Entries = append(both.Entries, Entry{Endpoint: 2, Dest: 10})
	r.step(0, both)
	healthy, failing := r.message(0), r.message(0)
	failing.Dest = 10
	r.step(1, healthy)
	r.step(1.1, answer(healthy.ID, 1, 0, Completed))
	r.step(12, failing)
	r.step(12.1, answer(failing.ID, 2, 0, ConnectionRefused))
	for _, want := range []int64{10, 9} {
		if got := r.s.ChangedStates(sec(13), 1); len(got) != 1 || got[0].Dest != want ||
			got[0].Unhealthy != (want == 10) {
			t.Errorf("got %+v, want destination %d", got, want)
		}
	}
	if got := r.s.ChangedStates(sec(13), 1); len(got) != 0 {
		t.Errorf("returned again: %+v", got)
	}
}

// Changes of health are returned first and soon, others every ten seconds, each once, and none unless they
// are tracked.
func TestChangedStatesIntervals(t *testing.T) {
	for _, tracked := range []bool{true, false} {
		set := base()
		set.TrackChanges = tracked
		r := newRig(t, set)
		r.step(0, list(1))
		count, outageAt, returnedAt := 0, 0.0, 0.0
		for at := 0.1; at < 40; at += 0.1 {
			c := r.message(0)
			outcome := Completed
			if at > 25 {
				outcome = ConnectionRefused
				if outageAt == 0 {
					outageAt = at
				}
			}
			for _, a := range only[StartAttempt](r.step(at, c)) {
				r.step(at, answer(a.ID, 1, 0, outcome))
			}
			for _, m := range r.s.ChangedStates(sec(at), 1) {
				if count++; m.Unhealthy && returnedAt == 0 {
					returnedAt = at
				}
			}
		}
		switch {
		case !tracked && count > 0:
			t.Errorf("%d snapshots without tracking", count)
		case tracked && (count < 3 || count > 5 || returnedAt-outageAt > 1.2):
			t.Errorf("%d snapshots in 40 s, an outage at %.1f s returned at %.1f s", count, outageAt, returnedAt)
		}
	}
}
