package logic

import "math"

// checkCold compares the calls to destination 1 after its outage with the bound of the rule, for one sender
// that takes no more than its share, plus six calls for chance and for an endpoint not tried during the
// outage.
func (w *world) checkCold(e *worldEndpoint) {
	if e.entry.Dest == 1 && w.now < w.outage[0] {
		w.callsBefore = append(w.callsBefore, w.now)
		w.peak = max(w.peak, float64(countAfter(w.callsBefore, w.now-Second)))
	}
	if e.entry.Dest != 1 || !w.outageSeen || w.now < w.outage[1] || w.now > w.outage[1]+w.settings.WarmAfter {
		return
	}
	capacity := w.settings.ColdFrom + (1-w.settings.ColdFrom)*seconds(w.now-w.outage[1])/seconds(w.settings.WarmAfter)
	routes := 1.0
	if w.settings.Kinds[e.entry.Kind].Independent {
		routes = 2
	}
	limit := 8.0 // the highest limit that a report gives; without reports, the sender's best second
	if w.settings.Weights == WeightsOff && w.settings.LimitIndex < 0 {
		limit = max(limit, w.peak)
	}
	bound := w.settings.FallMultiple*capacity*limit*routes*seconds(w.settings.FallWindow)/
		float64(w.settings.Senders) + 6*routes
	w.coldCalls = append(w.coldCalls, w.now)
	n := countAfter(w.coldCalls, w.now-w.settings.FallWindow)
	own, allowed := n, slowStartBudget(bound-6*routes)
	if routes > 1 { // the rule holds for each
		if w.coldCallsAt == nil {
			w.coldCallsAt = map[EndpointID][]Micros{}
		}
		w.coldCallsAt[e.entry.Endpoint] = append(w.coldCallsAt[e.entry.Endpoint], w.now)
		own, allowed = countAfter(w.coldCallsAt[e.entry.Endpoint], w.now-w.settings.FallWindow),
			slowStartBudget((bound-6*routes)/routes)
	}
	switch {
	case float64(own) > allowed && (routes == 1 || w.outageSeenAt[e.entry.Endpoint]):
		w.fail("%d calls in a fall window to a cold destination, and the rule allows %.1f", own, allowed)
	case float64(n) > bound:
		w.fail("%d calls in a fall window to a cold destination, want at most %.1f", n, bound)
	}
}

// slowStartBudget is the maximum number of calls that a cold destination may get in a fall window where its
// settings allow n, according to the operators' acceptance test.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
