package logic

import "slices"

// The records of messages and calls, from acceptance to the end.

// acceptMessage records a new message.
func (s *Sender) acceptMessage(c NewMessage) {
	if s.messages[c.ID] != nil {
		return
	}
	var class *Class
	maxAttempts := s.settings.MaxAttempts
	switch {
	case c.Terms != nil:
		class, maxAttempts = &c.Terms.Class, c.Terms.MaxAttempts
	case c.Class >= 0 && c.Class < len(s.settings.Classes):
		class = &s.settings.Classes[c.Class]
	default:
		if c.History.MayHaveRun {
			s.emit(FailMessage{ID: c.ID})
		} else {
			s.emit(ReturnMessage{ID: c.ID})
		}
		return
	}
	latencies := s.classLatencies[class.Name]
	if latencies == nil { // class of earlier settings
		latencies = &histogram{}
		s.classLatencies[class.Name] = latencies
	}
	s.seq++
	m := &message{id: c.ID, class: class, classLatencies: latencies, maxAttempts: maxAttempts,
		dest: s.destinationFor(c.Dest), seq: s.seq, arrivalStep: s.step,
		initialTime: c.Remaining, deadline: s.now + c.Remaining,
		submittedAt: min(s.now, s.now+c.Remaining-class.Deadline)}
	s.resetIfIdle(m.dest)
	if d := m.dest; s.now-d.outageAt > idleStateAge { // demand is the mean over the last minutes
		d.arrivals, d.outageAt = d.arrivals/2, s.now-idleStateAge/2
	}
	m.dest.arrivals++
	m.quotaFactor, m.inherited = s.quotaFactor(c.Tenant), c.History.Inherited && c.History.Attempts == 0
	s.messages[m.id] = m
	s.pending++
	m.dest.pending++
	m.dest.messages++
	s.arrivals = append(s.arrivals, m)
	if class.KeepOrder && c.Key != "" {
		queue := s.keyQueues[c.Key]
		if queue == nil {
			queue = &keyQueue{key: c.Key}
			s.keyQueues[c.Key] = queue
		}
		queue.messages = append(queue.messages, m)
		m.keyQueue = queue
	}
	if s.restoreHistory(m, c.History); m.inFlight == nil && !m.ended {
		s.enqueue(m)
	}
}

// closeMessage marks a message as ended, and removes it once no attempt of it is in flight.
func (s *Sender) closeMessage(m *message) {
	if !m.ended {
		m.ended = true
		s.pending--
		m.dest.pending--
		if m.group != nil {
			s.dequeue(m)
		}
	}
	if m.inFlight != nil {
		return
	}
	delete(s.messages, m.id)
	m.dest.messages--
	if m.keyQueue != nil {
		s.leaveKeyQueue(m)
	}
}

// leaveKeyQueue removes a message from the queue of its order key.
func (s *Sender) leaveKeyQueue(m *message) {
	queue := m.keyQueue
	m.keyQueue = nil
	if queue.messages[0] != m {
		queue.messages = slices.DeleteFunc(queue.messages, func(x *message) bool { return x == m })
		return
	}
	queue.messages[0] = nil
	if queue.messages = queue.messages[1:]; len(queue.messages) == 0 {
		queue.messages = nil
		s.idleKeys = append(s.idleKeys, queue.key)
	} else if x := queue.messages[0]; x.group != nil {
		s.makeEligible(x)
	}
}

// recordAttempt records a new attempt of m at e.
func (s *Sender) recordAttempt(m *message, e *endpoint) *attempt {
	e.openCall.size++
	e.openCall.unresolved++
	e.lastSent = s.now
	a := &attempt{msg: m, number: m.attempts, endpoint: e, startedAt: s.now, call: e.openCall}
	m.attempts++
	m.inFlight, m.lastEndpoint = a, e
	if !m.mayHaveRun {
		m.mayHaveRunAt, m.mayHaveRunZone = s.now, e.zone
	}
	s.inFlight = append(s.inFlight, a)
	return a
}

// finishAttempt removes an attempt that has its outcome, and reports whether all attempts of its call have
// theirs.
func (s *Sender) finishAttempt(a *attempt) bool {
	a.msg.inFlight, a.msg.streaming = nil, false
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *attempt) bool { return x == a })
	if a.call.unresolved--; a.call.unresolved > 0 {
		return false
	}
	s.usedSlots--
	a.endpoint.inFlight--
	a.endpoint.limiter.inFlight--
	return true
}

// joinsCall reports whether m, sent to e now, would travel in a call that this step has already opened. A
// call ends when the first of its messages expires, so a message may not join if that would leave the others
// too little time.
func (s *Sender) joinsCall(m *message, e *endpoint) bool {
	return e.openCall != nil && e.openCall.step == s.step && e.openCall.size < s.kindOf(e.dest).MaxBatch &&
		min(e.openCall.deadline, m.deadline)-s.now >= 2*s.usualLatency(m)
}

// recordCall records the time of a call to e for slow start and for the rate.
func (s *Sender) recordCall(e *endpoint) {
	l := e.limiter
	keepFrom := s.now - max(s.settings.FallWindow, Second) - 1
	e.callTimes, l.callTimes =
		append(trimBefore(e.callTimes, keepFrom), s.now), append(trimBefore(l.callTimes, keepFrom), s.now)
	// The rate of a cold limiter shows nothing about its capacity. Counting it would raise the peak, and
	// thereby the slow start budget, with each call that the budget allows.
	if !slices.ContainsFunc(e.dest.endpoints, func(x *endpoint) bool { return s.isCold(x) && x.limiter == l }) {
		l.peakRate = max(l.peakRate, float64(countAfter(l.callTimes, s.now-Second)))
	}
}

// cancelAttempt cancels an attempt, at most once.
func (s *Sender) cancelAttempt(a *attempt) {
	if !a.cancelled && s.settings.MayCancel && !a.msg.streaming {
		a.cancelled = true
		s.emit(Cancel{ID: a.msg.id, Attempt: a.number})
	}
}
