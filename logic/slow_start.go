package logic

import "slices"

// How much an endpoint that returns from an outage gets until it is warm.

// budget keeps what goes to a destination after an outage under this sender's share of what topples it: it
// tells when e may have its next call, 0 for now. The endpoints of a lane that are cold share one budget: the
// lane falls over as a whole.
func (s *Sender) budget(e *endpoint) Micros {
	if e.cold && !e.suspect && s.now >= e.backAt+s.set.WarmAfter {
		e.cold = false
	}
	if !e.cold && !s.siblingIsCold(e) {
		return 0
	}
	if s.now < e.dest.restTo {
		return e.dest.restTo
	}
	lane := s.coldLane(e)
	window := s.set.FallWindow
	// Calls in a window for each call a second of capacity.
	perCapacity := s.set.FallMultiple * lane.share * seconds(window)
	most := perCapacity * lane.capacity / float64(s.set.Senders)
	slices.Sort(lane.sent)
	if most < 1 {
		// Many senders: ours is our messages' share of all since the outage began: one call in a longer span.
		most = max(most, perCapacity*min(sendAgain*s.asked(e.lane), lane.capacity/2))
		window = Micros(float64(window) / min(most, 1))
		if most < 1 {
			return s.singleCallAt(e, lane.sent, window)
		}
	}
	if n := since(lane.sent, s.now-window); float64(n+1) > most {
		return lane.sent[len(lane.sent)-n] + window + 1
	}
	return 0
}

// siblingIsCold says whether an endpoint of e's lane is cold that has failed since e last answered beside
// it.
func (s *Sender) siblingIsCold(e *endpoint) bool {
	return slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		return s.isCold(x) && x.lane == e.lane && x.lastBad > e.well // e did not answer while x was out
	})
}

// coldLane is what the cold endpoints of a lane have in common.
type coldLane struct {
	share    float64  // of their capacity that they have by now
	capacity float64  // in calls a second, once they are warm
	sent     []Micros // calls to them
}

// coldLane looks at the cold endpoints of e's lane, e among them. Each counts by the time since its return;
// one that is out still, as if it returned now; and those not tried meanwhile, e itself or such as drain, as
// the coldest.
func (s *Sender) coldLane(e *endpoint) coldLane {
	warmth, coldest, tried, cold := 0.0, 1.0, 0.0, 0 // warmth is the sum over those that were tried
	lane := coldLane{}
	for _, x := range e.dest.eps {
		if (!s.isCold(x) && x != e) || x.lane != e.lane { // a mark on one that drains outlasts its cold
			continue
		}
		cold++
		lane.sent = append(lane.sent, x.sent...)
		if !x.cold {
			continue
		}
		warm := 0.0
		if !x.suspect {
			warm = min(1, seconds(s.now-x.backAt)/seconds(s.set.WarmAfter))
		}
		if coldest = min(coldest, warm); x.state == Ready {
			warmth, tried = warmth+warm, tried+1
		}
	}
	lane.capacity = s.capacity(e) * float64(cold)
	lane.share = s.set.ColdFrom + (1-s.set.ColdFrom)*(warmth+coldest*(float64(cold)-tried))/float64(cold)
	return lane
}

// singleCallAt is when e may have a call where the budget allows less than one in a window: half a window
// after the last, and at a time within it that senders have each for themselves.
func (s *Sender) singleCallAt(e *endpoint, sent []Micros, window Micros) Micros {
	at := max(e.lane.until, e.dest.downAt)
	if n := len(sent); n > 0 {
		at = max(at, sent[n-1]+window/2)
	}
	return at + Micros(e.lane.phase*float64(window))
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
