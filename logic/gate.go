package logic

// Whether and when a message may be sent to an endpoint.

import (
	"time"

	"cometrack/internal/permit"
)

// admit reports whether m may be sent to e now, and if not, when to check again: never if the time is not
// known. Each message is checked here before it is sent.
func (s *Sender) admit(m *message, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || s.checkPermit(m, e) != permit.Granted: // draining, or not permitted
		return false, never
	case s.now < max(e.limiter.waitUntil, m.backoffUntil): // requested wait or backoff
		return false, max(e.limiter.waitUntil, m.backoffUntil)
	case m.deadline-s.now <= max(s.usualLatency(m), 2*s.settings.Tick): // too little time left
		return false, never
	case s.stopAt != 0 && s.now+s.timeNeeded(m, e) > s.stopAt: // the journal keeps m for the next start
		return false, never
	}
	if l := m.keyQueue; l != nil { // order of the key
		if l.messages[0] != m {
			return false, never
		}
		if s.now < l.quietUntil && l.quietMessage != m {
			return false, l.quietUntil
		}
	}
	if s.joinsCall(m, e) {
		return true, 0
	}
	// A step opens only one call to an endpoint at a time; m may join a call in the next step.
	if o := e.openCall; o != nil && o.step == s.step && o.size < s.kindOf(e.dest).MaxBatch {
		return false, s.now + 1
	}
	// Unsafe messages avoid unreliable endpoints until their Aim.
	if e.unreliable() && m.class.Effect == Unsafe && s.now < m.submittedAt+m.class.Aim {
		return false, m.submittedAt + m.class.Aim
	}
	at := s.availableAt(e)
	return at <= s.now, at
}

// checkPermit returns why the rules of m forbid another attempt now, at e or, if e is nil, at any endpoint;
// permit.Granted if they do not.
func (s *Sender) checkPermit(m *message, e *endpoint) permit.Reason {
	state := permit.Message{Ended: m.ended, InFlight: m.inFlight != nil, Attempts: m.attempts,
		MaxAttempts: m.maxAttempts, Remaining: duration(m.deadline - s.now)}
	if c := m.class; m.mayHaveRun {
		state.Repeat = permit.Repeat{MayHaveRun: true, Effect: c.Effect, Window: duration(c.Window),
			Age:       duration(s.now - m.mayHaveRunAt + s.settings.Tick),
			OtherZone: c.ByZone && e != nil && e.zone != m.mayHaveRunZone}
	}
	return permit.Send(state)
}

// duration converts t to a time.Duration.
func duration(t Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// availableAt returns the time at which e may take a call, regardless of the message. A time in the past
// means now; never means that the time is not known.
func (s *Sender) availableAt(e *endpoint) Micros {
	switch {
	case e.state != Ready:
		return never
	case s.now < s.listUsableAt():
		return s.listUsableAt()
	case s.now < e.limiter.waitUntil:
		return e.limiter.waitUntil
	case s.usedSlots >= s.settings.Slots || e.limiter.inFlight >= (s.settings.Slots+1)/2: // half per limiter
		return never
	}
	if at := s.trialAvailableAt(e); at > s.now {
		return at
	}
	if at := s.budgetAvailableAt(e); at > s.now {
		return at
	}
	return s.rateAvailableAt(e.limiter)
}

// timeNeeded estimates how long an attempt of m at e takes, to tell whether it would end before this sender
// stops: the 95th percentile of the destination's latencies for a message that may be repeated, and the age
// at which a call counts as stuck for an unsafe one or with too few samples. An attempt that is cut off by
// the stop is repeated if its class allows it, but an unsafe message would be lost.
func (s *Sender) timeNeeded(m *message, e *endpoint) Micros {
	if h := &e.dest.latencies; m.class.Effect != Unsafe && h.total >= minSamples {
		return h.p95
	}
	return s.stuckAfter(e.dest, m)
}
