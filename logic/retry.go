package logic

import (
	"cmp"
	"cometrack/internal/permit"
	"slices"
	"time"
)

// When an attempt is called off, whether a message is tried again, and when it ends.

// end is the one place where a message ends by our word: refused if no attempt may have run, else failed.
func (s *Sender) end(m *msg) {
	if m.over {
		return
	}
	if m.mayRun || m.out != nil {
		s.do(FailMessage{ID: m.id})
		if m.out != nil {
			s.cancel(m.out)
		}
	} else {
		s.do(ReturnMessage{ID: m.id, RetryIn: s.set.MaxRetryAfter}) // the longest: the cause lasts
	}
	s.close(m)
}

// resume takes up a message where a restart cut it off: its attempts count, and one without an outcome may
// have run. What may not be sent again ends at once.
func (s *Sender) resume(m *msg, p History) {
	if p.Attempts == 0 {
		return
	}
	m.tries = p.Attempts
	if m.mayRun = p.MayHaveRun; m.mayRun || p.InFlight != nil {
		m.firstMay, m.mayZone = s.now-p.SinceFirst, p.Zone
	}
	if p.InFlight != nil && s.adopt(m, p) {
		return
	}
	if p.Ended {
		s.close(m)
		return
	}
	m.mayRun = m.mayRun || p.InFlight != nil
	s.endIfStuck(m)
}

// endIfStuck ends a message that no further attempt can help.
func (s *Sender) endIfStuck(m *msg) {
	if m.out == nil && !m.over && s.permitted(m, nil).Final() {
		s.end(m)
	}
}

// leastLeft is the least time before its end at which a message may be sent: a process may be held up right
// before it writes.
const leastLeft = Micros(permit.MinRemaining / time.Microsecond)

// needs is the time before its end at which a message is hopeless: a usual call's, if none is out.
func (s *Sender) needs(m *msg) Micros {
	last := 2 * max(s.set.Tick, 1000)
	if m.out != nil {
		return last
	}
	return max(last, s.usual(m), leastLeft)
}

// endHopeless ends messages whose time is nearly up, in the order in which they came.
func (s *Sender) endHopeless() {
	groups, q := s.ring(), []*msg(nil)
	for _, a := range s.flying {
		if m := a.m; !m.over && !m.flows {
			if left := m.deadline - s.now - s.needs(m); left > 0 {
				s.at(s.now + left)
			} else {
				q = append(q, m)
			}
		}
	}
	for _, g := range groups {
		s.refresh(g)
		for p := (place{}); p.chunk < len(g.ends.chunks); p = g.ends.next(p) {
			x, _ := g.ends.get(p)
			if x.at-s.now > s.needs(x.m) {
				break
			}
			q = append(q, x.m)
		}
	}
	slices.SortFunc(q, func(a, b *msg) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range q {
		s.end(m)
	}
}

// stuckAfter is the time after which an unanswered call speaks for an outage.
func (s *Sender) stuckAfter(d *dest, m *msg) Micros {
	h := &d.hist
	if h.total < minWeight {
		h = m.seen
	}
	if h.total < minWeight {
		return stuckBlind
	}
	return max(Micros(stuckTimes*float64(h.p95)), 3*h.median, stuckLeast)
}

// cutLong calls off attempts at τ, and those that hang at an endpoint that answers nothing.
func (s *Sender) cutLong() {
	var oldest *attempt
	for _, a := range s.flying {
		if a.cancelled || a.m.flows {
			continue
		}
		e, age := a.ep, s.now-a.at
		stuck := s.stuckAfter(e.dest, a.m)
		if !a.stuck && e.lastOK < a.at {
			if a.stuck = age > stuck; a.stuck {
				// No outcome yet, so nothing is known to have failed: hold back, but set no budget.
				s.suspect(e, "silent")
			}
		}
		if !a.late && age > patience*stuck {
			// Ours: a call still out past what is usual counts as lasting past τ until it answers. Else lost
			// answers, with all others quick, never show in the histogram and hold slots to their deadline.
			a.late = true
			e.dest.hist.add(s.now, age, true)
			a.m.seen.add(s.now, age, true)
			s.learn(e.dest, a.m.seen)
		}
		if age <= patience*stuck {
			s.at(a.at + 1 + stuck*Micros(1+min(age/max(stuck, 1), patience-1)))
		}
		if a.m.over || !s.set.MayCancel {
			continue
		}
		if a.m.class.Effect == Unsafe {
			if age > patience*stuck && (oldest == nil || a.at < oldest.at) {
				oldest = a
			}
			continue
		}
		long := stuck << a.m.cuts
		if a.stuck && e.suspect && (age > patience*long || age > long && s.elsewhere(e)) {
			a.m.cuts = min(a.m.cuts+1, maxCuts)
			s.cancel(a)
			continue
		}
		h := &e.dest.hist
		if h.total < tauWeight {
			h = a.m.seen
		}
		if h.tau > 0 && s.mayRestart(a) {
			limit := max(h.tau<<a.m.cuts, long)
			if age > limit {
				a.cut = true
				a.m.cuts++
				s.cancel(a)
			} else {
				s.at(a.at + limit + 1)
			}
		}
	}
	// An unsafe call cannot be sent again, so it may wait; but not with the last slot, while others could go.
	if oldest != nil && s.busy >= s.set.Slots && s.set.Slots > 0 && s.waiting > oldest.m.dest.waiting {
		s.cancel(oldest)
	}
}

// mayRestart: a restart must have attempts and time left, and must not add to the load of a destination that
// refuses or recovers, unless the call holds one of the last slots.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.m, a.ep
	if m.cuts >= maxCuts || m.most > 0 && m.tries >= m.most {
		return false
	}
	if s.busy < s.set.Slots && (e.lane.pace > 0 || s.isCold(e)) {
		return false
	}
	if m.class.Effect == Keyed && s.now > m.firstMay+m.class.Window-Second {
		return false
	}
	return m.deadline-s.now > 2*max(s.usual(m), e.dest.hist.tau)
}
