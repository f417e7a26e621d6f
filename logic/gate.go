package logic

// Whether and when a message may go to an endpoint: every send passes here.

import (
	"time"

	"cometrack/internal/permit"
)

// gate says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) gate(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || s.permitted(m, e) != permit.Granted: // drain; rules of the message
		return false, never
	case s.now < max(e.lane.until, m.rest): // told wait
		return false, max(e.lane.until, m.rest)
	case m.deadline-s.now <= max(s.usual(m), 2*s.set.Tick): // median gate
		return false, never
	case s.closeAt != 0 && s.now+s.lasts(m, e) > s.closeAt: // it stays in the journal for the next start
		return false, never
	}
	if l := m.line; l != nil { // order of its key
		if l.q[0] != m {
			return false, never
		}
		if s.now < l.quiet && l.by != m {
			return false, l.quiet
		}
	}
	if s.joins(m, e) {
		return true, 0
	}
	if o := e.open; o != nil && o.step == s.step && o.n < s.kind(e.dest).MaxBatch { // it would join that
		return false, s.now + 1
	}
	if e.unreliable() && m.class.Effect == Unsafe && s.now < m.first+m.class.Aim { // unsafe messages last
		return false, m.first + m.class.Aim
	}
	at := s.opensAt(e)
	return at <= s.now, at
}

// permitted says whether the rules of m allow it another attempt now, at e or, if that is nil, at any
// endpoint.
func (s *Sender) permitted(m *msg, e *endpoint) permit.Reason {
	x := permit.Message{Ended: m.over, InFlight: m.out != nil, Attempts: m.tries, MaxAttempts: m.most,
		Remaining: span(m.deadline - s.now)}
	if c := m.class; m.mayRun {
		x.Repeat = permit.Repeat{MayHaveRun: true, Effect: c.Effect, Window: span(c.Window),
			Age:       span(s.now - m.firstMay + s.set.Tick),
			OtherZone: c.ByZone && e != nil && e.zone != m.mayZone}
	}
	return permit.Send(x)
}

func span(t Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// opensAt says when e may take a call, whatever the message: a time that is past if now, never if nobody
// knows.
func (s *Sender) opensAt(e *endpoint) Micros {
	switch {
	case e.state != Ready:
		return never
	case s.now < e.lane.until:
		return e.lane.until
	case s.busy >= s.set.Slots || e.lane.inflight >= (s.set.Slots+1)/2: // slots
		return never
	}
	if at := s.health(e); at > s.now {
		return at
	}
	if at := s.budget(e); at > s.now {
		return at
	}
	return s.paced(e.lane)
}

// lasts is the time that an attempt needs before this sender stops. One that is cut off by the stop is resent
// if its class allows it, but an unsafe one is lost.
func (s *Sender) lasts(m *msg, e *endpoint) Micros {
	if h := &e.dest.hist; m.class.Effect != Unsafe && h.total >= minWeight {
		return h.p95
	}
	return s.stuckAfter(e.dest, m)
}
