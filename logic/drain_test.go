package logic

import "testing"

// Found by random plays: an endpoint that drains is not tried, so what is known of its return is old. It counted as
// nearly warm in the second outage of its lane, and the lane's budget was twice what it takes.
func TestDrainingEndpointIsAsColdAsItsLane(t *testing.T) {
	for _, x := range []struct {
		state Readiness
		back  Micros // since the return of the endpoint in that state
		sends int    // in the fall window: 2 x share x 4 a second / 2 senders x 2 s
	}{
		{Ready, 10 * Second, 5},     // share 0.2 + 0.8 x (3/14 + 12/14)/2
		{Draining, 10 * Second, 2},  // 0.2 + 0.8 x 3/14
		{Draining, Second / 100, 2}, // it may be the coldest itself: 0.2 + 0.8 x 2/14
	} {
		m := sickOf(false)
		m.Endpoints = append(m.Endpoints, m.Endpoints[0])
		m.Endpoints[1].Endpoint, m.Endpoints[1].Back = 2, x.back
		set := base()
		set.Slots = 20
		r := newRig(t, set)
		ev := list(2)
		ev.Entries[1].State = x.state
		evs := []Event{ev, Recall{Memory: m}}
		for range 12 {
			evs = append(evs, r.call(0))
		}
		r.step(100, evs...)
		if n := len(only[CallOut](r.step(102, Due{}))); n != x.sends {
			t.Errorf("state %d, back for %d: %d sends, want %d", x.state, x.back, n, x.sends)
		}
	}
}
