package logic

import "testing"

// A draining endpoint is not tried, so the time of its recovery is outdated. It must not count as nearly warm
// in the second outage of its limiter, which would double the budget.
func TestDrainingEndpointSharesSlowStart(t *testing.T) {
	for _, x := range []struct {
		state Readiness
		back  Micros // time since the recovery of the endpoint in that state
		sends int    // in the fall window: 2 x share x 4 per second / 2 senders x 2 s
	}{
		{Ready, 10 * Second, 5},     // share 0.2 + 0.8 x (3/14 + 12/14)/2
		{Draining, 10 * Second, 2},  // 0.2 + 0.8 x 3/14
		{Draining, Second / 100, 2}, // it may be the coldest itself: 0.2 + 0.8 x 2/14
	} {
		m := unhealthyState(false)
		m.Endpoints = append(m.Endpoints, m.Endpoints[0])
		m.Endpoints[1].Endpoint, m.Endpoints[1].SinceRecovery = 2, x.back
		set := base()
		set.Slots = 20
		r := newRig(t, set)
		ev := list(2)
		ev.Entries[1].State = x.state
		evs := []Event{ev, RestoreState{State: m}}
		for range 12 {
			evs = append(evs, r.message(0))
		}
		r.step(100, evs...)
		if n := len(only[StartAttempt](r.step(102, TimerFired{}))); n != x.sends {
			t.Errorf("state %d, recovered %d ago: %d sends, want %d", x.state, x.back, n, x.sends)
		}
	}
}

// When a failed endpoint is removed from the list, its outage must be kept for a sibling that was not tried
// meanwhile. Otherwise the sibling gets all queued messages at once.
func TestOutageOutlivesRemovedEndpoint(t *testing.T) {
	for _, x := range []struct {
		name  string
		tried bool // the sibling has answered since
		sends int
	}{{"not tried since", false, 1}, {"answers", true, 8}} {
		set := base()
		set.Slots, set.MaxAttempts = 16, 1
		r := newRig(t, set)
		r.step(90, list(2))
		for i := range 8 { // the capacity of the limiter
			at := 91 + float64(i)/10
			c := only[StartAttempt](r.step(at, r.message(0)))[0]
			r.step(at+0.05, answer(c.ID, c.Endpoint, 0, Completed))
		}
		c := r.message(0)
		bad := only[StartAttempt](r.step(99, c))[0].Endpoint
		r.step(99.1, answer(c.ID, bad, 0, ConnectionRefused))
		if x.tried {
			c = r.message(0)
			r.step(99.3, c)
			r.step(99.4, answer(c.ID, 3-bad, 0, Completed))
		}
		gone := Entry{Endpoint: bad, Dest: 9, State: Gone}
		r.step(99.5, Endpoints{Form: ListDelta, Entries: []Entry{gone}})
		var evs []Event
		for range 12 {
			evs = append(evs, r.message(0))
		}
		if n := len(only[StartAttempt](r.step(102, evs...))); n != x.sends {
			t.Errorf("%s: %d sends, want %d", x.name, n, x.sends)
		}
	}
}
