package logic

import "slices"

// How much an endpoint that returns from an outage gets until it is warm.

// budget keeps what goes to a destination after an outage under this sender's share of what topples it. The
// endpoints of a lane that are cold share one budget: the lane falls over as a whole.
func (s *Sender) budget(e *endpoint) Micros {
	if e.cold && !e.suspect && s.now >= e.backAt+s.set.WarmAfter {
		e.cold = false
	}
	if !e.cold && !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		return s.isCold(x) && x.lane == e.lane && x.lastBad > e.well // e did not answer while x was out
	}) {
		return 0
	}
	if s.now < e.dest.restTo {
		return e.dest.restTo
	}
	// Each cold endpoint counts by the time since its return; one that is out still, as if it returned now; and
	// those not tried meanwhile, e itself or such as drain, as the coldest.
	ups, least, tried, cold, last, long := 0.0, 1.0, 0.0, 0, []Micros(nil), s.set.FallWindow
	for _, x := range e.dest.eps {
		if (!s.isCold(x) && x != e) || x.lane != e.lane { // a mark on one that drains outlasts its cold
			continue
		}
		cold++
		last = append(last, x.sent...)
		if up := 0.0; x.cold {
			if !x.suspect {
				up = min(1, seconds(s.now-x.backAt)/seconds(s.set.WarmAfter))
			}
			if least = min(least, up); x.state == Ready {
				ups, tried = ups+up, tried+1
			}
		}
	}
	c := s.capacity(e) * float64(cold)
	share := s.set.ColdFrom + (1-s.set.ColdFrom)*(ups+least*(float64(cold)-tried))/float64(cold)
	k := s.set.FallMultiple * share * seconds(long)
	most := k * c / float64(s.set.Senders)
	slices.Sort(last)
	if most < 1 {
		// Many senders: ours is our messages' share of all since the outage began: one call in a longer span.
		most = max(most, k*min(sendAgain*s.asked(e.lane), c/2))
		long = Micros(float64(long) / min(most, 1))
		at := max(e.lane.until, e.dest.downAt)
		if n := len(last); n > 0 {
			at = max(at, last[n-1]+long/2)
		}
		if most < 1 {
			return at + Micros(e.lane.phase*float64(long))
		}
	}
	if n := since(last, s.now-long); float64(n+1) > most {
		return last[len(last)-n] + long + 1
	}
	return 0
}

// capacity is a low guess of the calls a second that an endpoint takes.
func (s *Sender) capacity(e *endpoint) float64 {
	c := e.lane.limit
	if c == 0 {
		c = max(e.lane.peak, paceFloor)
	} else if s.set.Weights == WeightsRough && !e.lane.told {
		c /= 1.5
	}
	if e.lane == e.dest.lane {
		c /= float64(max(len(e.dest.eps), 1))
	}
	return c
}

func (s *Sender) isCold(e *endpoint) bool {
	return e.cold && (e.suspect || s.now < e.backAt+s.set.WarmAfter)
}
