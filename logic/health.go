package logic

import "slices"

// Which endpoints are out or unreliable, by what attempts and other senders tell.

// health holds messages back from an endpoint that seems out: single trials only.
func (s *Sender) health(e *endpoint) Micros {
	switch {
	case e.suspect && (e.inflight > 0 || s.crowded()):
		return never
	case e.suspect:
		return e.trialAt
	case e.inflight > 0 && e.doubt > e.good: // others say that it is out: singly, until an answer
		return never
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inflight > 0 && e.lane == e.dest.lane {
		for _, x := range e.dest.eps {
			if x.suspect && x.lastBad > e.lastOK {
				return never
			}
		}
	}
	return 0
}

// unreliable says that an endpoint fails too often for unsafe messages, which go elsewhere while they are
// in time.
func (e *endpoint) unreliable() bool { return e.suspect || e.bad > badUnsafe }

// unreliable says that none of d's endpoints that would take a call is good enough for unsafe messages,
// and none takes them along in one.
func (s *Sender) unreliable(d *dest) bool {
	return !slices.ContainsFunc(d.eps, func(e *endpoint) bool {
		return !e.unreliable() && s.opensAt(e) <= s.now || e.open != nil && e.open.step == s.step
	})
}

// crowded says that trials hold the slots that they may.
func (s *Sender) crowded() bool { return s.onTrial() >= max(1, s.set.Slots*2/3) }

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

// noteOutage notes when e was last seen to be out. A sibling that has answered between two such times is
// well for itself; an answer after the last may be of the return of both.
func (s *Sender) noteOutage(e *endpoint) {
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
	s.noteOutage(e)
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
		s.noteOutage(e)
		s.takeOut(e, "refuses all")
		s.learnt(e, true)
	}
}

// heard takes what another sender has found. One that had an answer a moment ago believes that, and goes on
// singly until the next. What answers others, or is ours to try, gets a trial.
func (s *Sender) heard(e *endpoint, h PeerHealth) {
	if e.doubt = s.now; h.Outage && (e.suspect || e.lastOK < s.now-lately) {
		s.noteOutage(e)
		s.takeOut(e, "others say so")
	} else if h.TryNow && e.suspect {
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
