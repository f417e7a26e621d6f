package logic

import "slices"

// What a Sender hands to the one that decides in its place from then on, beside
// its memory: what is of use only if nothing happens in between.

// LaneExact is the part of a [LaneMemory] that a handover adds. Spans are those
// since something was.
type LaneExact struct {
	Sent   []Micros // calls within the spans that are counted
	Tokens float64  // that the pace has saved up
	Wait   Micros   // that is left of one that was told
	Fulls  int      // refusals in a row
	First  Micros   // since the first of them
	Spent  bool     // the last report told that little of the limit is left
}

// EndpointExact is the part of an [EndpointMemory] that a handover adds.
type EndpointExact struct {
	Sent     []Micros
	LastSent Micros
	Trial    Micros // until the next trial; less than 0 if it is due
	Told     Micros // that is left of a wait that was told to its lane
}

// HandOver tells all that another Sender needs to decide in this one's place at
// once: of each destination, and of keys at rest. This one must not step again
// unless the other never has.
func (s *Sender) HandOver(now Micros) (all []Memory, keys []KeyRest) {
	s.now = max(s.now, now)
	for _, d := range s.order {
		m := s.memory(d)
		m.Exact = true
		m.Came = max(d.came-d.held, 0) // those that are held are counted when they are handed in
		m.Lane.LaneExact = s.laneExact(d.lane)
		for i := range m.Endpoints {
			e, x := d.eps[i], &m.Endpoints[i]
			x.EndpointExact = EndpointExact{Sent: s.agos(e.sent), LastSent: s.ago(e.lastSent),
				Trial: e.trialAt - s.now,
				Told:  max(e.lane.until-s.now, 0)}
			if e.lane != d.lane {
				x.Lane.LaneExact = s.laneExact(e.lane)
			}
		}
		all = append(all, m)
	}
	for key, l := range s.keys {
		if l.quiet > s.now {
			keys = append(keys, KeyRest{Key: key, Left: l.quiet - s.now})
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

func (s *Sender) laneExact(l *lane) LaneExact {
	s.settle(l)
	return LaneExact{Sent: s.agos(l.sent), Tokens: l.tokens, Wait: max(l.until-s.now, 0), Fulls: l.fulls,
		First: s.ago(l.firstFull),
		Spent: l.spent}
}

// recallExact adds to a memory that has been taken up what a handover told.
func (s *Sender) recallExact(d *dest, m Memory) {
	lane := func(l *lane, m LaneMemory) {
		l.sent, l.tokens, l.filled = s.thens(m.Sent), m.Tokens, s.now
		l.until = max(l.until, s.now+m.Wait)
		l.fulls, l.firstFull, l.spent = m.Fulls, s.then(m.First, 0), m.Spent
	}
	lane(d.lane, m.Lane)
	for _, x := range m.Endpoints {
		e := s.eps[x.Endpoint]
		if e == nil || e.dest != d {
			continue
		}
		e.sent, e.lastSent, e.trialAt = s.thens(x.Sent), s.then(x.LastSent, 0), s.now+x.Trial
		if e.lane != d.lane {
			lane(e.lane, x.Lane)
		}
		e.lane.until = max(e.lane.until, s.now+x.Told)
	}
}

// adopt books an attempt that another process has out; false if its endpoint is not
// known.
func (s *Sender) adopt(m *msg, p Past) bool {
	e := s.eps[p.Out.Endpoint]
	if e == nil {
		return false
	}
	var c *call
	if with := s.msgs[p.Out.With]; with != nil && with != m && with.out != nil && with.out.ep == e {
		c = with.out.call
	} else {
		c = &call{by: m.deadline}
		s.busy++
		e.inflight++
		e.lane.inflight++
	}
	c.n++
	c.left++
	a := &attempt{m: m, n: m.tries - 1, ep: e, at: s.now - max(p.Out.Age, 0), call: c}
	m.out, m.last = a, e
	s.flying = append(s.flying, a)
	if p.Over { // its end is told; what is left of it holds a slot
		s.close(m)
	}
	s.at(s.now + s.stuckAfter(e.dest, m) + 1)
	return true
}
