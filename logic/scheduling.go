package logic

import (
	"math"
	"slices"
)

// The order in which messages are sent, and the choice of an endpoint.

// priority orders the queue: the worth that a message would lose by waiting a little longer, per second that
// it occupies a slot.
func (s *Sender) priority(m *message) float64 {
	if m.inherited { // before all others, by deadline, so that as many as possible are tried
		return inheritedPriority - float64(m.deadline)
	}
	usual := max(s.usualLatency(m), minUsualLatency)
	soon := s.worthAt(m, s.now+usual)
	loss := soon - s.worthAt(m, s.now+usual+lossHorizon)
	if s.worthAt(m, s.now) < m.class.Worth {
		loss *= lateWeight
	}
	return m.quotaFactor * (loss + 0.02*soon) / (float64(usual) * m.dest.load)
}

// usualLatency is the median latency of m's destination, otherwise that of its class, or unknownLatency if
// there are too few samples of either.
func (s *Sender) usualLatency(m *message) Micros {
	if m.inherited { // never sent before the restart: it is tried however little time is left
		return unknownLatency
	}
	if m.dest.latencies.total >= minSamples {
		return m.dest.latencies.median
	}
	if h := m.classLatencies; h.total >= minSamples {
		return h.median
	}
	return unknownLatency
}

// trySend sends m to the best endpoint that admits it, in rotation among equals, and reports whether there
// was one.
func (s *Sender) trySend(m *message) bool {
	d := m.dest
	fastest := math.Inf(1)
	for _, e := range d.endpoints {
		if e.latency > 0 && !e.suspect {
			fastest = min(fastest, e.latency)
		}
	}
	var chosen *endpoint
	rank := 99
	for i := range d.endpoints {
		e := d.endpoints[(d.nextEndpoint+i)%len(d.endpoints)]
		ok, at := s.admit(m, e)
		if !ok {
			d.revisitAt = min(d.revisitAt, at)
			continue
		}
		endpointRank := 0
		if !s.joinsCall(m, e) {
			endpointRank++ // joining an open call is preferred
		}
		if s.manySenders && (s.now >= e.idleConnUntil || e.inFlight >= max(s.settings.ConnCalls, 1)) {
			endpointRank++ // with many senders, a connection rarely stays open until the rotation returns to it
		}
		if e == m.lastEndpoint {
			endpointRank += 4 // a repeat goes to another endpoint if possible
		}
		if e.overloads > 1 {
			endpointRank += 2 // rejects calls while others may not: it drains, or is at its own limit
		}
		if e.latency > slowEndpointFactor*fastest && s.now < e.lastSent+slowEndpointRetry {
			endpointRank += 2
		}
		if endpointRank < rank || endpointRank == rank && e.limiter != d.limiter &&
			e.deficit+e.limiter.limit > chosen.deficit+chosen.limiter.limit+1e-9 {
			rank, chosen = endpointRank, e
		}
	}
	if chosen == nil {
		return false
	}
	if m.attempts == 0 && rank > 0 {
		d.nextEndpoint = (slices.Index(d.endpoints, chosen) + 1) % len(d.endpoints)
	}
	if chosen.limiter != d.limiter {
		sum := 0.0
		for _, e := range d.endpoints {
			sum += e.limiter.limit
			e.deficit += e.limiter.limit
		}
		chosen.deficit -= sum
	}
	s.sendTo(m, chosen)
	return true
}

// sendTo starts an attempt of m at e, in the open call if m may join it.
func (s *Sender) sendTo(m *message, e *endpoint) {
	if !s.joinsCall(m, e) {
		e.openCall = &call{step: s.step, deadline: m.deadline}
		s.usedSlots++
		s.refillTokens(e.limiter)
		e.limiter.tokens--
		e.limiter.inFlight++
		e.inFlight++
		s.recordCall(e)
		e.limiter.phase = s.rng.Float64()
		if e.suspect {
			s.backOffTrial(e)
		}
	}
	e.openCall.deadline = min(e.openCall.deadline, m.deadline)
	a, timeout := s.recordAttempt(m, e), m.deadline-s.now
	if !s.settings.MayCancel && m.class.Effect != Unsafe {
		timeout = min(timeout, 2*s.stuckAfter(e.dest, m)) // attempts cannot be cancelled, so they time out
	}
	s.emit(StartAttempt{ID: a.msg.id, Timeout: timeout, Endpoint: e.id})
	s.wakeBy(s.now + s.stuckAfter(e.dest, m) + 1) // detects a stuck call even if nothing else happens
}
