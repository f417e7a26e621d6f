package logic

import "slices"

// The books of messages and calls: taken on, out, landed, over.

// accept takes a new message into the books.
func (s *Sender) accept(c NewMessage) {
	if s.msgs[c.ID] != nil {
		return
	}
	var class *Class
	most := s.set.MaxTries
	switch {
	case c.Terms != nil:
		class, most = &c.Terms.Class, c.Terms.MaxTries
	case c.Class >= 0 && c.Class < len(s.set.Classes):
		class = &s.set.Classes[c.Class]
	default:
		if c.History.MayHaveRun {
			s.do(FailMessage{ID: c.ID})
		} else {
			s.do(ReturnMessage{ID: c.ID})
		}
		return
	}
	seen := s.byClass[class.Name]
	if seen == nil { // of earlier settings
		seen = &hist{}
		s.byClass[class.Name] = seen
	}
	s.seq++
	m := &msg{id: c.ID, class: class, seen: seen, most: most, dest: s.dest(c.Dest), seq: s.seq, step: s.step,
		span: c.Remaining, deadline: s.now + c.Remaining, first: min(s.now, s.now+c.Remaining-class.Deadline)}
	s.ageOut(m.dest)
	if d := m.dest; s.now-d.downAt > idleAge { // what comes is a mean of the last minutes
		d.came, d.downAt = d.came/2, s.now-idleAge/2
	}
	m.dest.came++
	m.share, m.owed = s.shareOf(c.Tenant), c.History.Inherited && c.History.Attempts == 0
	s.msgs[m.id] = m
	s.held++
	m.dest.held++
	m.dest.msgs++
	s.came = append(s.came, m)
	if class.KeepOrder && c.Key != "" {
		line := s.keys[c.Key]
		if line == nil {
			line = &keyLine{key: c.Key}
			s.keys[c.Key] = line
		}
		line.q = append(line.q, m)
		m.line = line
	}
	if s.resume(m, c.History); m.out == nil && !m.over {
		s.enqueue(m)
	}
}

// close forgets a message that is over, once nothing of it is out.
func (s *Sender) close(m *msg) {
	if !m.over {
		m.over = true
		s.held--
		m.dest.held--
		if m.group != nil {
			s.dequeue(m)
		}
	}
	if m.out != nil {
		return
	}
	delete(s.msgs, m.id)
	m.dest.msgs--
	if m.line != nil {
		s.leaveLine(m)
	}
}

// leaveLine takes a message off the line of its key.
func (s *Sender) leaveLine(m *msg) {
	l := m.line
	m.line = nil
	if l.q[0] != m {
		l.q = slices.DeleteFunc(l.q, func(x *msg) bool { return x == m })
		return
	}
	l.q[0] = nil
	if l.q = l.q[1:]; len(l.q) == 0 {
		l.q = nil
		s.emptied = append(s.emptied, l.key)
	} else if x := l.q[0]; x.group != nil {
		s.ready(x)
	}
}

// fly books an attempt of m at e.
func (s *Sender) fly(m *msg, e *endpoint) *attempt {
	e.open.n++
	e.open.left++
	e.lastSent = s.now
	a := &attempt{m: m, n: m.tries, ep: e, at: s.now, call: e.open}
	m.tries++
	m.out, m.last = a, e
	if !m.mayRun {
		m.firstMay, m.mayZone = s.now, e.zone
	}
	s.flying = append(s.flying, a)
	return a
}

// landed takes an attempt that has its outcome off the books and reports whether its call is over with it.
func (s *Sender) landed(a *attempt) bool {
	a.m.out, a.m.flows = nil, false
	s.flying = slices.DeleteFunc(s.flying, func(x *attempt) bool { return x == a })
	if a.call.left--; a.call.left > 0 {
		return false
	}
	s.busy--
	a.ep.inflight--
	a.ep.lane.inflight--
	return true
}

// joins says whether m, sent to e now, would travel in a call that this step opens anyway. A call ends when
// the first of its messages runs out of time, so none joins that may leave the others too little.
func (s *Sender) joins(m *msg, e *endpoint) bool {
	return e.open != nil && e.open.step == s.step && e.open.n < s.kind(e.dest).MaxBatch &&
		min(e.open.by, m.deadline)-s.now >= 2*s.usual(m)
}

// mark notes a call to e for the budget and the pace.
func (s *Sender) mark(e *endpoint) {
	l := e.lane
	keep := s.now - max(s.set.FallWindow, Second) - 1
	e.sent, l.sent = append(trim(e.sent, keep), s.now), append(trim(l.sent, keep), s.now)
	// What goes to a lane that is cold shows nothing of what it takes: the budget rests on the peak, and would
	// rise with each call that it lets through.
	if !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool { return s.isCold(x) && x.lane == l }) {
		l.peak = max(l.peak, float64(since(l.sent, s.now-Second)))
	}
}

// cancel calls an attempt off, once.
func (s *Sender) cancel(a *attempt) {
	if !a.cancelled && s.set.MayCancel && !a.m.flows {
		a.cancelled = true
		s.do(Cancel{ID: a.m.id, Attempt: a.n})
	}
}
