package logic

import "slices"

// What a Sender hands to the one that decides in its place from then on, beside
// its memory: what is of use only if nothing happens in between.

// LimiterHandover is the part of a [LimiterState] that a handover adds. Spans are those
// since something was.
type LimiterHandover struct {
	Sent               []Micros // calls within the spans that are counted
	Tokens             float64  // that the pace has saved up
	RequestedWait      Micros   // that is left of one that was told
	Overloads          int      // refusals in a row
	SinceFirstOverload Micros   // since the first of them
	NearLimit          bool     // the last report told that little of the limit is left
}

// EndpointHandover is the part of an [EndpointState] that a handover adds.
type EndpointHandover struct {
	Sent          []Micros
	SinceLastSent Micros
	UntilTrial    Micros // until the next trial; less than 0 if it is due
	RequestedWait Micros // that is left of a wait that was told to its lane
}

// HandOver tells all that another Sender needs to decide in this one's place at
// once: of each destination, and of keys at rest. This one must not step again
// unless the other never has.
func (s *Sender) HandOver(now Micros) (all []DestinationState, keys []QuietKey) {
	s.now = max(s.now, now)
	for _, d := range s.order {
		m := s.memory(d)
		m.Exact = true
		m.Arrivals = max(d.came-d.held, 0) // those that are held are counted when they are handed in
		m.Limiter.LimiterHandover = s.laneExact(d.lane)
		for i := range m.Endpoints {
			e, x := d.eps[i], &m.Endpoints[i]
			x.EndpointHandover = EndpointHandover{Sent: s.agos(e.sent), SinceLastSent: s.ago(e.lastSent),
				UntilTrial:    e.trialAt - s.now,
				RequestedWait: max(e.lane.until-s.now, 0)}
			if e.lane != d.lane {
				x.Limiter.LimiterHandover = s.laneExact(e.lane)
			}
		}
		all = append(all, m)
	}
	for key, l := range s.keys {
		if l.quiet > s.now {
			keys = append(keys, QuietKey{Key: key, Remaining: l.quiet - s.now})
		}
	}
	return all, keys
}

func (s *Sender) agos(marks []Micros) []Micros {
	keep := s.now - max(s.set.FallWindow, Second) - 1
	var out []Micros
	for _, t := range marks {
		if t >= keep {
			out = append(out, s.now-t)
		}
	}
	return out
}

func (s *Sender) thens(agos []Micros) []Micros {
	var out []Micros
	for _, t := range agos {
		if t >= 0 {
			out = append(out, s.now-t)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Sender) laneExact(l *lane) LimiterHandover {
	s.settle(l)
	return LimiterHandover{Sent: s.agos(l.sent), Tokens: l.tokens,
		RequestedWait: max(l.until-s.now, 0), Overloads: l.fulls,
		SinceFirstOverload: s.ago(l.firstFull),
		NearLimit:          l.spent}
}

// recallExact adds to a memory that has been taken up what a handover told.
func (s *Sender) recallExact(d *dest, m DestinationState) {
	lane := func(l *lane, m LimiterState) {
		l.sent, l.tokens, l.filled = s.thens(m.Sent), m.Tokens, s.now
		l.until = max(l.until, s.now+m.RequestedWait)
		l.fulls, l.firstFull, l.spent = m.Overloads, s.then(m.SinceFirstOverload, 0), m.NearLimit
	}
	lane(d.lane, m.Limiter)
	for _, x := range m.Endpoints {
		e := s.eps[x.Endpoint]
		if e == nil || e.dest != d {
			continue
		}
		e.sent, e.lastSent, e.trialAt = s.thens(x.Sent), s.then(x.SinceLastSent, 0), s.now+x.UntilTrial
		if e.lane != d.lane {
			lane(e.lane, x.Limiter)
		}
		e.lane.until = max(e.lane.until, s.now+x.RequestedWait)
	}
}

// adopt books an attempt that another process has out; false if its endpoint is not
// known.
func (s *Sender) adopt(m *msg, p History) bool {
	e := s.eps[p.InFlight.Endpoint]
	if e == nil {
		return false
	}
	var c *call
	if with := s.msgs[p.InFlight.BatchedWith]; with != nil && with != m && with.out != nil && with.out.ep == e {
		c = with.out.call
	} else {
		c = &call{by: m.deadline}
		s.busy++
		e.inflight++
		e.lane.inflight++
	}
	c.n++
	c.left++
	a := &attempt{m: m, n: m.tries - 1, ep: e, at: s.now - max(p.InFlight.Age, 0), call: c}
	m.out, m.last = a, e
	s.flying = append(s.flying, a)
	if p.Ended { // its end is told; what is left of it holds a slot
		s.close(m)
	}
	s.at(s.now + s.stuckAfter(e.dest, m) + 1)
	return true
}
