package logic

import (
	"cmp"
	"cometrack/internal/permit"
	"slices"
	"time"
)

// When an attempt is cancelled, whether a message is tried again, and when it ends.

// endMessage ends a message that was not delivered: it is returned if no attempt may have run, and fails
// otherwise. No other function ends a message by a decision of the Sender.
func (s *Sender) endMessage(m *message) {
	if m.ended {
		return
	}
	if m.mayHaveRun || m.inFlight != nil {
		s.emit(FailMessage{ID: m.id})
		if m.inFlight != nil {
			s.cancelAttempt(m.inFlight)
		}
	} else {
		// The advised delay is the longest that clients accept, as the cause of the return lasts.
		s.emit(ReturnMessage{ID: m.id, RetryIn: s.settings.MaxRetryAfter})
	}
	s.closeMessage(m)
}

// restoreHistory restores the attempts of a message from before a restart. An attempt without an outcome may
// have run. A message that may not be sent again ends at once.
func (s *Sender) restoreHistory(m *message, history History) {
	if history.Attempts == 0 {
		return
	}
	m.attempts = history.Attempts
	if m.mayHaveRun = history.MayHaveRun; m.mayHaveRun || history.InFlight != nil {
		m.mayHaveRunAt, m.mayHaveRunZone = s.now-history.SinceFirst, history.Zone
	}
	if history.InFlight != nil && s.adoptAttempt(m, history) {
		return
	}
	if history.Ended {
		s.closeMessage(m)
		return
	}
	m.mayHaveRun = m.mayHaveRun || history.InFlight != nil
	s.endIfUndeliverable(m)
}

// endIfUndeliverable ends m, as endMessage does, if the rules permit no further attempt of it, now or later.
// It leaves alone a message that has an attempt in flight, as its outcome is still to come.
func (s *Sender) endIfUndeliverable(m *message) {
	if m.inFlight == nil && !m.ended && s.checkPermit(m, nil).Final() {
		s.endMessage(m)
	}
}

// minRemaining is the minimum time left of a message for an attempt to start, as a process may stall right
// before it writes the request.
const minRemaining = Micros(permit.MinRemaining / time.Microsecond)

// minTimeToSend is the time before its deadline at which a message ends undelivered: the usual latency of a
// call, or less if an attempt is in flight.
func (s *Sender) minTimeToSend(m *message) Micros {
	last := 2 * max(s.settings.Tick, 1000)
	if m.inFlight != nil {
		return last
	}
	return max(last, s.usualLatency(m), minRemaining)
}

// endExpiring ends the messages whose time is nearly up, in order of arrival.
func (s *Sender) endExpiring() {
	groups, expiring := s.fireTimers(), []*message(nil)
	for _, a := range s.inFlight {
		if m := a.msg; !m.ended && !m.streaming {
			if left := m.deadline - s.now - s.minTimeToSend(m); left > 0 {
				s.wakeBy(s.now + left)
			} else {
				expiring = append(expiring, m)
			}
		}
	}
	for _, g := range groups {
		s.updateExpiry(g)
		for p := (position{}); p.chunk < len(g.byExpiry.chunks); p = g.byExpiry.next(p) {
			x, _ := g.byExpiry.get(p)
			if x.key-s.now > s.minTimeToSend(x.msg) {
				break
			}
			expiring = append(expiring, x.msg)
		}
	}
	slices.SortFunc(expiring, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range expiring {
		s.endMessage(m)
	}
}

// stuckAfter is the age at which an unanswered call indicates an outage.
func (s *Sender) stuckAfter(d *destination, m *message) Micros {
	h := &d.latencies
	if h.total < minSamples {
		h = m.classLatencies
	}
	if h.total < minSamples {
		return stuckAfterUnknown
	}
	return max(Micros(stuckP95Factor*float64(h.p95)), 3*h.median, minStuckAfter)
}

// cancelSlowAttempts cancels attempts that last longer than τ, and stuck attempts at endpoints that do not
// answer.
func (s *Sender) cancelSlowAttempts() {
	var oldest *attempt
	for _, a := range s.inFlight {
		if a.cancelled || a.msg.streaming {
			continue
		}
		e, age := a.endpoint, s.now-a.startedAt
		stuckAfter := s.stuckAfter(e.dest, a.msg)
		if !a.stuck && e.lastSuccess < a.startedAt {
			if a.stuck = age > stuckAfter; a.stuck {
				// There is no outcome yet, so the failure is not certain: hold messages back, but do not
				// start an outage with its slow start.
				s.markSuspect(e, "silent")
			}
		}
		if !a.censored && age > stuckCancelFactor*stuckAfter {
			// A call that lasts longer than usual counts as longer than τ until it is answered. Otherwise
			// lost answers, while all others are fast, would never appear in the histogram, and their calls
			// would occupy slots until the deadline.
			a.censored = true
			e.dest.latencies.add(s.now, age, true)
			a.msg.classLatencies.add(s.now, age, true)
			s.latenciesChanged(e.dest, a.msg.classLatencies)
		}
		if age <= stuckCancelFactor*stuckAfter {
			s.wakeBy(a.startedAt + 1 + stuckAfter*Micros(1+min(age/max(stuckAfter, 1), stuckCancelFactor-1)))
		}
		if a.msg.ended || !s.settings.MayCancel {
			continue
		}
		if a.msg.class.Effect == Unsafe {
			if age > stuckCancelFactor*stuckAfter && (oldest == nil || a.startedAt < oldest.startedAt) {
				oldest = a
			}
			continue
		}
		cancelAfter := stuckAfter << a.msg.restarts
		if a.stuck && e.suspect &&
			(age > stuckCancelFactor*cancelAfter || age > cancelAfter && s.hasHealthySibling(e)) {
			a.msg.restarts = min(a.msg.restarts+1, maxRestarts)
			s.cancelAttempt(a)
			continue
		}
		h := &e.dest.latencies
		if h.total < minRestartSamples {
			h = a.msg.classLatencies
		}
		if h.restartTime > 0 && s.mayRestart(a) {
			limit := max(h.restartTime<<a.msg.restarts, cancelAfter)
			if age > limit {
				a.restart = true
				a.msg.restarts++
				s.cancelAttempt(a)
			} else {
				s.wakeBy(a.startedAt + limit + 1)
			}
		}
	}
	// An unsafe call may not be repeated, so it is left to finish, unless it occupies the last slot while
	// messages to other destinations wait.
	if oldest != nil && s.usedSlots >= s.settings.Slots && s.settings.Slots > 0 &&
		s.queued > oldest.msg.dest.queued {
		s.cancelAttempt(oldest)
	}
}

// mayRestart reports whether an attempt may be cancelled in order to start another one. The message needs
// attempts and time for it, and the restart must not add load to a destination that rejects calls or is in
// slow start, unless all slots are in use.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.msg, a.endpoint
	if m.restarts >= maxRestarts || m.maxAttempts > 0 && m.attempts >= m.maxAttempts {
		return false
	}
	if s.usedSlots < s.settings.Slots && (e.limiter.rate > 0 || s.isCold(e)) {
		return false
	}
	if m.class.Effect == Keyed && s.now > m.mayHaveRunAt+m.class.Window-Second {
		return false
	}
	return m.deadline-s.now > 2*max(s.usualLatency(m), e.dest.latencies.restartTime)
}
