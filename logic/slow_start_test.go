package logic

import "math"

// checkCold compares the calls to destination 1 after its outage with the bound of the rule, for one sender
// that takes no more than its share, plus six calls for chance and for an endpoint not tried during the
// outage.
func (w *world) checkCold(e *wep) {
	if e.row.Dest == 1 && w.now < w.outage[0] {
		w.wellSent = append(w.wellSent, w.now)
		w.peak = max(w.peak, float64(countAfter(w.wellSent, w.now-Second)))
	}
	if e.row.Dest != 1 || !w.knows || w.now < w.outage[1] || w.now > w.outage[1]+w.set.WarmAfter {
		return
	}
	up := w.set.ColdFrom + (1-w.set.ColdFrom)*seconds(w.now-w.outage[1])/seconds(w.set.WarmAfter)
	routes := 1.0
	if w.set.Kinds[e.row.Kind].Independent {
		routes = 2
	}
	limit := 8.0 // the highest limit that a report gives; without reports, the sender's best second
	if w.set.Weights == WeightsOff && w.set.LimitIndex < 0 {
		limit = max(limit, w.peak)
	}
	most := w.set.FallMultiple*up*limit*routes*seconds(w.set.FallWindow)/float64(w.set.Senders) + 6*routes
	w.coldSent = append(w.coldSent, w.now)
	n := countAfter(w.coldSent, w.now-w.set.FallWindow)
	own, given := n, slowStartBudget(most-6*routes)
	if routes > 1 { // the rule holds for each
		if w.coldRoute == nil {
			w.coldRoute = map[EndpointID][]Micros{}
		}
		w.coldRoute[e.row.Endpoint] = append(w.coldRoute[e.row.Endpoint], w.now)
		own, given = countAfter(w.coldRoute[e.row.Endpoint], w.now-w.set.FallWindow), slowStartBudget((most-6*routes)/routes)
	}
	switch {
	case float64(own) > given && (routes == 1 || w.knowsRoute[e.row.Endpoint]):
		w.bad("%d calls in a fall window to a cold destination, and the rule allows %.1f", own, given)
	case float64(n) > most:
		w.bad("%d calls in a fall window to a cold destination, want at most %.1f", n, most)
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
