package logic

// The effect of an attempt's outcome on its message, its endpoint and the rate limiter.

// handleResult processes the outcome of an attempt.
func (s *Sender) handleResult(r AttemptResult) {
	m := s.messages[r.ID]
	if m == nil || m.inFlight == nil || m.inFlight.number != r.Attempt {
		return
	}
	a, e := m.inFlight, m.inFlight.endpoint
	lastOfCall := s.finishAttempt(a)
	s.activate(e.dest)
	s.recordLoadReport(e, r.Load)
	m.inherited = m.inherited && r.Outcome == NotSent
	if r.RetryAfter > 0 { // also in the answer to a batch that delivered other messages
		e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+r.RetryAfter)
	}
	// With many senders and a small share each, one failure may be all that this sender sees of an outage.
	// The snapshot for a restart must include it.
	failed := s.manySenders && s.evenShare(e.limiter) < minRate &&
		r.Outcome >= Errored && r.Outcome <= ConnectionBroken
	if s.noteChange(e.dest, failed); failed {
		s.decreaseRate(e.limiter)
	}
	if r.Outcome == Completed || r.Outcome == Overloaded || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome != Overloaded && r.Outcome != ConnectionRefused && r.Outcome != NotSent {
		m.mayHaveRun = true
	}
	if m.keyQueue != nil && (r.Outcome == TimedOut || r.Outcome == ConnectionBroken || r.Outcome == Cancelled) {
		m.keyQueue.quietUntil, m.keyQueue.quietMessage = max(m.keyQueue.quietUntil, s.now+s.settings.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*histogram{&e.dest.latencies, m.classLatencies} {
			if a.censored {
				h.censored--
			}
			h.add(s.now, r.Latency, false)
		}
		s.latenciesChanged(e.dest, m.classLatencies)
		e.latency += ewmaWeight * (float64(r.Latency) - e.latency)
		s.recordSuccess(e, a.startedAt)
		s.increaseRate(e.limiter)
	case Overloaded:
		if lastOfCall { // a batch is one call, so it counts as one rejection
			s.recordOverload(e, r.RetryAfter)
		}
	case Cancelled, TimedOut:
		if a.restart {
			if !a.censored {
				e.dest.latencies.add(s.now, s.now-a.startedAt, true)
				s.latenciesChanged(e.dest, m.classLatencies)
			}
			e.latency += ewmaWeight * max(0, float64(s.now-a.startedAt)-e.latency)
		} else if a.stuck && e.lastSuccess < a.startedAt {
			s.recordFailure(e, "silent")
		}
	case InvalidResponse: // healthy endpoints send these as well, so only several in a row are an outage
		if e.invalidResponses++; e.invalidResponses >= outageInvalidResponses {
			s.recordFailure(e, "invalid responses")
		}
	case ConnectionRefused:
		if e.resets++; e.resets > 1 || e.lastSuccess < s.now-recentSuccess {
			s.recordFailure(e, "refuses connections")
		}
	case ConnectionBroken:
		// The fault may be in the connection only. An endpoint in outage breaks all connections and accepts
		// no new ones.
		if e.resets++; e.resets >= outageResets || e.suspect {
			s.recordFailure(e, "resets")
		}
		m.backoffUntil = s.now + errorBackoff
	case Errored:
		s.recordFailure(e, "errors")
		m.backoffUntil = s.now + errorBackoff<<min(m.attempts, 5)
	}
	// The idle connections of many senders exhaust an endpoint, so rarely used ones are closed unless a new
	// connection is expensive.
	e.idleConnUntil = s.now + s.settings.ConnIdle
	if n := len(e.callTimes); s.manySenders && s.settings.ConnCost < expensiveConn && e.inFlight == 0 &&
		(n < 2 || s.now-e.callTimes[n-2] > connReuseInterval) {
		e.idleConnUntil = s.now
		s.emit(CloseIdle{e.id})
	}
	if r.MessageEnded || m.ended {
		s.closeMessage(m)
		return
	}
	if s.endIfUndeliverable(m); !m.ended {
		s.enqueue(m)
	}
}
