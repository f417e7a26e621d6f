package logic

import "slices"

// Slow start: the number of calls that an endpoint gets after an outage until it is warm, that is, until its
// full capacity is back after WarmAfter. Until then, it is cold.

// budgetAvailableAt returns the time at which e may have its next call during a slow start, 0 for now. It
// limits the calls to a destination after an outage to this sender's share of the number that would overload
// it. The cold endpoints of a limiter share one budget, as they are overloaded together.
func (s *Sender) budgetAvailableAt(e *endpoint) Micros {
	if e.cold && !e.suspect && s.now >= e.recoveredAt+s.settings.WarmAfter {
		e.cold = false
	}
	if !e.cold && !s.siblingIsCold(e) {
		return 0
	}
	if s.now < e.dest.pausedUntil {
		return e.dest.pausedUntil
	}
	joint := s.coldEndpointsOf(e)
	window := s.settings.FallWindow
	// Calls per window for each call per second of capacity.
	perCapacity := s.settings.FallMultiple * joint.capacityShare * seconds(window)
	budget := perCapacity * joint.capacity / float64(s.settings.Senders)
	slices.Sort(joint.callTimes)
	if budget < 1 {
		// With many senders, the share of this one is that of its messages in all messages since the outage
		// began: one call in a longer window.
		budget = max(budget, perCapacity*min(resentShare*s.demand(e.limiter), joint.capacity/2))
		window = Micros(float64(window) / min(budget, 1))
		if budget < 1 {
			return s.singleCallAt(e, joint.callTimes, window)
		}
	}
	if n := countAfter(joint.callTimes, s.now-window); float64(n+1) > budget {
		return joint.callTimes[len(joint.callTimes)-n] + window + 1
	}
	return 0
}

// siblingIsCold reports whether an endpoint with the limiter of e is cold and has failed since e was last
// known to be healthy independently of it.
func (s *Sender) siblingIsCold(e *endpoint) bool {
	return slices.ContainsFunc(e.dest.endpoints, func(x *endpoint) bool {
		// e has not answered during the outage of x
		return s.isCold(x) && x.limiter == e.limiter && x.lastFailure > e.independentSuccess
	})
}

// coldEndpoints is the joint state of the cold endpoints of a limiter.
type coldEndpoints struct {
	capacityShare float64  // fraction of their capacity that they have by now
	capacity      float64  // of them together, in calls per second, when they are warm
	callTimes     []Micros // of the calls to them
}

// coldEndpointsOf returns the joint state of the cold endpoints with the limiter of e, including e. The
// warmth of each rises from 0 at its recovery to 1 at WarmAfter later. An endpoint still in outage counts as
// if it recovered now. Those that have not been tried since the outage, such as e itself or draining ones,
// count as the coldest.
func (s *Sender) coldEndpointsOf(e *endpoint) coldEndpoints {
	warmth, coldest, tried, count := 0.0, 1.0, 0.0, 0 // warmth is the sum over the endpoints that were tried
	joint := coldEndpoints{}
	for _, x := range e.dest.endpoints {
		// x.cold is not enough: for a draining endpoint it remains set after the slow start.
		if (!s.isCold(x) && x != e) || x.limiter != e.limiter {
			continue
		}
		count++
		joint.callTimes = append(joint.callTimes, x.callTimes...)
		if !x.cold {
			continue
		}
		warm := 0.0
		if !x.suspect {
			warm = min(1, seconds(s.now-x.recoveredAt)/seconds(s.settings.WarmAfter))
		}
		if coldest = min(coldest, warm); x.state == Ready {
			warmth, tried = warmth+warm, tried+1
		}
	}
	joint.capacity = s.estimatedCapacity(e) * float64(count)
	joint.capacityShare = s.settings.ColdFrom +
		(1-s.settings.ColdFrom)*(warmth+coldest*(float64(count)-tried))/float64(count)
	return joint
}

// singleCallAt returns the time at which e may have a call if the budget allows less than one call per
// window: half a window after the last call, plus a part of the window (limiter.phase) that each sender draws
// at random for each call.
func (s *Sender) singleCallAt(e *endpoint, callTimes []Micros, window Micros) Micros {
	at := max(e.limiter.waitUntil, e.dest.outageAt)
	if n := len(callTimes); n > 0 {
		at = max(at, callTimes[n-1]+window/2)
	}
	return at + Micros(e.limiter.phase*float64(window))
}

// estimatedCapacity is a low estimate of the calls per second that an endpoint can take.
func (s *Sender) estimatedCapacity(e *endpoint) float64 {
	c := e.limiter.limit
	if c == 0 {
		c = max(e.limiter.peakRate, minRate)
	} else if s.settings.Weights == WeightsRough && !e.limiter.limitReported {
		c /= 1.5
	}
	if e.limiter == e.dest.limiter {
		c /= float64(max(len(e.dest.endpoints), 1))
	}
	return c
}

// isCold reports whether an endpoint is in outage or in slow start.
func (s *Sender) isCold(e *endpoint) bool {
	return e.cold && (e.suspect || s.now < e.recoveredAt+s.settings.WarmAfter)
}
