package logic

// What attempts tell: latencies and τ, calls that hang, health. The tuned values are in logic.go.

import "math"

// ---- Restart time τ ------------------------------------------------------------------

var edges = func() (e [binCount]Micros) {
	x := float64(binBase)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

func (h *hist) add(now, took Micros, cut bool) {
	f := math.Exp2(-float64(now-h.at) / float64(halfLife))
	h.at = now
	for i := range h.w {
		h.w[i] *= f
	}
	h.total, h.cuts = h.total*f, h.cuts*f
	if cut {
		h.cuts++
	} else {
		h.w[bin(took)]++
		h.total++
	}
	h.update()
}

// update finds τ, the edge with the least mean time to an answer under unlimited restarts, and percentiles.
func (h *hist) update() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.cuts, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range edges {
		low := Micros(0)
		if i > 0 {
			low = edges[i-1]
		}
		m0 += h.w[i]
		m1 += h.w[i] * float64(low+edge) / 2
		if h.median == 0 && m0 >= h.total/2 {
			h.median = edge
		}
		if h.p95 == 0 && m0 >= 0.95*h.total {
			h.p95 = edge
		}
		if m0 == 0 {
			continue
		}
		p := m0 / all
		wait = (m1/all + float64(edge)*(1-p)) / p
		if wait < best {
			best, bestAt = wait, edge
		}
	}
	if h.total >= tauWeight && best < tauGain*wait {
		h.tau = bestAt
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

// ---- Outcomes ------------------------------------------------------------------------

func (s *Sender) reply(r Reply) {
	m := s.msgs[r.ID]
	if m == nil || m.out == nil || m.out.n != r.Attempt {
		return
	}
	a, e := m.out, m.out.ep
	lastOfCall := s.landed(a)
	s.touch(e.dest)
	s.report(e, r.Load)
	m.owed = m.owed && r.Outcome == Moot
	if r.Wait > 0 { // an answer to several messages may tell one beside those that were delivered
		e.lane.until = max(e.lane.until, s.now+r.Wait)
	}
	// Many on a thin lane: one sign may be all that this sender sees of an outage. A restart is to know it.
	sign := s.many && s.share(e.lane) < paceFloor && r.Outcome >= Errored && r.Outcome <= Severed
	if s.note(e.dest, sign); sign {
		s.refused(e.lane)
	}
	if r.Outcome == Completed || r.Outcome == Full || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome != Full && r.Outcome != RefusedConn && r.Outcome != Moot {
		m.mayRun = true
	}
	if m.line != nil && (r.Outcome == Overdue || r.Outcome == Severed || r.Outcome == Recalled) {
		m.line.quiet, m.line.by = max(m.line.quiet, s.now+s.set.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*hist{&e.dest.hist, m.seen} {
			if a.late {
				h.cuts--
			}
			h.add(s.now, r.Took, false)
		}
		s.learn(e.dest, m.seen)
		e.slow += badAlpha * (float64(r.Took) - e.slow)
		s.succeeded(e, a.at)
		s.creep(e.lane)
	case Full:
		if lastOfCall { // a batch is one call: one refusal
			s.full(e, r.Wait)
		}
	case Recalled, Overdue:
		if a.cut {
			if !a.late {
				e.dest.hist.add(s.now, s.now-a.at, true)
				s.learn(e.dest, m.seen)
			}
			e.slow += badAlpha * max(0, float64(s.now-a.at)-e.slow)
		} else if a.stuck && e.lastOK < a.at {
			s.failed(e, "silent")
		}
	case Spoilt: // from any endpoint alike, so it tells nothing of health unless nothing else comes
		if e.spoilt++; e.spoilt >= spoiltDown {
			s.failed(e, "spoilt answers")
		}
	case RefusedConn:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-lately {
			s.failed(e, "refuses connections")
		}
	case Severed:
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
	if n := len(e.sent); s.many && s.set.ConnPrice < dearConn && e.inflight == 0 &&
		(n < 2 || s.now-e.sent[n-2] > reuse) {
		e.warm = s.now
		s.do(Release{e.id})
	}
	if r.NoMore || m.over {
		s.close(m)
		return
	}
	if s.endIfStuck(m); !m.over {
		s.enqueue(m)
	}
}

// succeeded notes an answer to what was sent at a time. One sent before the last failure tells nothing of a
// return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) succeeded(e *endpoint, sent Micros) {
	if e.suspect && sent < e.lastBad {
		return
	}
	if e.suspect || e.doubt > e.good && sent >= e.doubt {
		s.learnt(e, false)
	}
	if e.suspect {
		s.log("endpoint %d answers again", e.id)
		s.note(e.dest, true)
		e.suspect, e.backAt, e.trialGap = false, s.now, 0
	}
	e.good, e.lastOK = max(e.good, sent), s.now
	e.fails, e.fulls, e.spoilt, e.lane.fulls = 0, 0, 0, 0
	e.bad *= 1 - badAlpha
}

// ill notes when e was last seen to be out. A sibling that has answered between two such times is well for
// itself; an answer after the last may be of the return of both.
func (s *Sender) ill(e *endpoint) {
	for _, x := range e.dest.eps {
		if x != e && e.suspect && x.good > e.lastBad {
			x.well = s.now
		}
	}
	e.lastBad = s.now
}

// failed notes a sign of an outage at e: an error, a reset, no connection or no answer.
func (s *Sender) failed(e *endpoint, how string) {
	e.fails++
	s.ill(e)
	e.bad += badAlpha * (1 - e.bad)
	if e.fails >= 2 || e.bad > badShare || how != "errors" {
		s.takeOut(e, how)
		s.learnt(e, true)
	}
}

// full notes a refusal; refusals in a row over longer than a limit's window, or a long told wait, mean shut.
// While the last report says that the limit is used up, only the latter does: a cold budget costs more.
func (s *Sender) full(e *endpoint, wait Micros) {
	s.refused(e.lane)
	for _, x := range e.dest.eps { // routes apart take their parts of the same traffic
		if share := s.share(x.lane); share < paceFloor && x.lane.pace == 0 {
			x.lane.pace = share
		}
	}
	e.fulls++
	l := e.lane
	if l.fulls++; l.fulls == 1 {
		l.firstFull = s.now
	}
	if e.suspect || wait > longWait || !l.spent && l.fulls >= fullsDown && s.now-l.firstFull > fullsSpan {
		s.ill(e)
		s.takeOut(e, "refuses all")
		s.learnt(e, true)
	}
}

// heard takes what another sender has found. One that had an answer a moment ago believes that, and goes on
// singly until the next. What answers others, or is ours to try, gets a trial.
func (s *Sender) heard(e *endpoint, h Heard) {
	if e.doubt = s.now; h.Out && (e.suspect || e.lastOK < s.now-lately) {
		s.ill(e)
		s.takeOut(e, "others say so")
	} else if h.Try && e.suspect {
		e.trialAt = min(e.trialAt, s.now+Micros(s.rng.Float64()*float64(trialGap)))
	}
}

// takeOut takes an endpoint for out: from now on single trials, and after its return a budget.
func (s *Sender) takeOut(e *endpoint, how string) {
	s.suspect(e, how)
	if !s.isCold(e) {
		s.note(e.dest, true)
		e.cold = true
		e.dest.came, e.dest.downAt = 1, s.now
	}
}

// leave has those that were not tried since an endpoint failed keep its outage when it goes off the list.
func (s *Sender) leave(e *endpoint) {
	for _, x := range e.dest.eps {
		if e.suspect && !x.cold && x.good < e.lastBad {
			s.inherit(x)
		}
	}
}

func (s *Sender) suspect(e *endpoint, how string) {
	if !e.suspect {
		s.log("endpoint %d out: %s", e.id, how)
		s.note(e.dest, true)
		e.suspect, e.trialGap, e.trialAt = true, trialGap, s.now+trialGap
	}
}

func (s *Sender) backOff(e *endpoint) {
	e.trialGap = min(2*max(e.trialGap, trialGap), trialMost)
	e.trialAt = s.now + e.trialGap*Micros(max(e.turn, 1)*(80+s.rng.IntN(40)))/100
}
