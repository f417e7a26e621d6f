package logic

// What the outcome of an attempt means for its message, its endpoint and its lane.

func (s *Sender) reply(r AttemptResult) {
	m := s.msgs[r.ID]
	if m == nil || m.out == nil || m.out.n != r.Attempt {
		return
	}
	a, e := m.out, m.out.ep
	lastOfCall := s.landed(a)
	s.touch(e.dest)
	s.report(e, r.Load)
	m.owed = m.owed && r.Outcome == NotSent
	if r.RetryAfter > 0 { // an answer to several messages may tell one beside those that were delivered
		e.lane.until = max(e.lane.until, s.now+r.RetryAfter)
	}
	// Many on a thin lane: one sign may be all that this sender sees of an outage. A restart is to know it.
	sign := s.many && s.share(e.lane) < paceFloor && r.Outcome >= Errored && r.Outcome <= ConnectionBroken
	if s.note(e.dest, sign); sign {
		s.refused(e.lane)
	}
	if r.Outcome == Completed || r.Outcome == Overloaded || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome != Overloaded && r.Outcome != ConnectionRefused && r.Outcome != NotSent {
		m.mayRun = true
	}
	if m.line != nil && (r.Outcome == TimedOut || r.Outcome == ConnectionBroken || r.Outcome == Cancelled) {
		m.line.quiet, m.line.by = max(m.line.quiet, s.now+s.set.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*hist{&e.dest.hist, m.seen} {
			if a.late {
				h.cuts--
			}
			h.add(s.now, r.Latency, false)
		}
		s.learn(e.dest, m.seen)
		e.slow += badAlpha * (float64(r.Latency) - e.slow)
		s.succeeded(e, a.at)
		s.creep(e.lane)
	case Overloaded:
		if lastOfCall { // a batch is one call: one refusal
			s.full(e, r.RetryAfter)
		}
	case Cancelled, TimedOut:
		if a.cut {
			if !a.late {
				e.dest.hist.add(s.now, s.now-a.at, true)
				s.learn(e.dest, m.seen)
			}
			e.slow += badAlpha * max(0, float64(s.now-a.at)-e.slow)
		} else if a.stuck && e.lastOK < a.at {
			s.failed(e, "silent")
		}
	case InvalidResponse: // from any endpoint alike, so it tells nothing of health unless nothing else comes
		if e.spoilt++; e.spoilt >= spoiltDown {
			s.failed(e, "spoilt answers")
		}
	case ConnectionRefused:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-lately {
			s.failed(e, "refuses connections")
		}
	case ConnectionBroken:
		// The connection itself may be at fault; an endpoint that is down breaks all, and takes no new ones.
		if e.resets++; e.resets >= resetsDown || e.suspect {
			s.failed(e, "resets")
		}
		m.rest = s.now + errorRest
	case Errored:
		s.failed(e, "errors")
		m.rest = s.now + errorRest<<min(m.tries, 5)
	}
	// Idle connections of many senders fill an endpoint: rarely used ones go back, unless new ones are dear.
	e.warm = s.now + s.set.ConnIdle
	if n := len(e.sent); s.many && s.set.ConnCost < dearConn && e.inflight == 0 &&
		(n < 2 || s.now-e.sent[n-2] > reuse) {
		e.warm = s.now
		s.do(CloseIdle{e.id})
	}
	if r.MessageEnded || m.over {
		s.close(m)
		return
	}
	if s.endIfStuck(m); !m.over {
		s.enqueue(m)
	}
}
