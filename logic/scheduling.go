package logic

import (
	"math"
	"slices"
)

// Which message goes first, and to which endpoint.

// rate orders the queue: the worth that waiting a little longer would lose, for each second of a slot.
func (s *Sender) rate(m *msg) float64 {
	if m.owed { // before all else, the first to run out of time first: so most are tried
		return owedFirst - float64(m.deadline)
	}
	u := max(s.usual(m), leastUsual)
	soon := s.value(m, s.now+u)
	loss := soon - s.value(m, s.now+u+lossAhead)
	if s.value(m, s.now) < m.class.Worth {
		loss *= lateLess
	}
	return m.share * (loss + 0.02*soon) / (float64(u) * m.dest.load)
}

// usual is the median served latency of m's destination, else of its class; blind if neither is known.
func (s *Sender) usual(m *msg) Micros {
	if m.owed { // a restart found it untried: it is tried however little time is left
		return unknownLatency
	}
	if m.dest.hist.total >= minWeight {
		return m.dest.hist.median
	}
	if h := m.seen; h.total >= minWeight {
		return h.median
	}
	return unknownLatency
}

// send tries the endpoints of m's destination in rotation and reports whether one took it.
func (s *Sender) send(m *msg) bool {
	d := m.dest
	best := math.Inf(1)
	for _, e := range d.eps {
		if e.slow > 0 && !e.suspect {
			best = min(best, e.slow)
		}
	}
	var pick *endpoint
	rank := 99
	for i := range d.eps {
		e := d.eps[(d.next+i)%len(d.eps)]
		ok, at := s.gate(m, e)
		if !ok {
			d.again = min(d.again, at)
			continue
		}
		r := 0
		if !s.joins(m, e) {
			r++ // a call that leaves anyway comes first
		}
		if s.many && (s.now >= e.warm || e.inflight >= max(s.set.ConnCalls, 1)) {
			r++ // among many senders connections rarely last until the rotation comes round again
		}
		if e == m.last {
			r += 4 // a resend goes elsewhere where it can
		}
		if e.fulls > 1 {
			r += 2 // refuses while others may not: draining, or a route at its limit
		}
		if e.slow > slowTimes*best && s.now < e.lastSent+slowProbe {
			r += 2
		}
		if r < rank || r == rank && e.lane != d.lane && e.due+e.lane.limit > pick.due+pick.lane.limit+1e-9 {
			rank, pick = r, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && rank > 0 {
		d.next = (slices.Index(d.eps, pick) + 1) % len(d.eps)
	}
	if pick.lane != d.lane {
		sum := 0.0
		for _, e := range d.eps {
			sum += e.lane.limit
			e.due += e.lane.limit
		}
		pick.due -= sum
	}
	s.launch(m, pick)
	return true
}

func (s *Sender) launch(m *msg, e *endpoint) {
	if !s.joins(m, e) {
		e.open = &call{step: s.step, by: m.deadline}
		s.busy++
		s.settle(e.lane)
		e.lane.tokens--
		e.lane.inflight++
		e.inflight++
		s.mark(e)
		e.lane.phase = s.rng.Float64()
		if e.suspect {
			s.backOff(e)
		}
	}
	e.open.by = min(e.open.by, m.deadline)
	a, give := s.fly(m, e), m.deadline-s.now
	if !s.set.MayCancel && m.class.Effect != Unsafe {
		give = min(give, 2*s.stuckAfter(e.dest, m)) // nothing can be called off here: let it time out
	}
	s.do(StartAttempt{ID: a.m.id, Timeout: give, Endpoint: e.id})
	s.at(s.now + s.stuckAfter(e.dest, m) + 1) // looked at in time even if nothing else happens until then
}
