package logic

import "slices"

// The state that a Sender hands over to another one that continues in its place, beyond the snapshots of
// destinations. It is valid only if nothing happens in between.

// LimiterHandover is the part of a [LimiterState] that only a handover includes. Durations are times since an
// event.
type LimiterHandover struct {
	Sent               []Micros // times since the calls that still count
	Tokens             float64  // tokens of the rate limiter
	RequestedWait      Micros   // time left of a requested wait
	Overloads          int      // rejections for overload in a row
	SinceFirstOverload Micros   // time since the first of them
	NearLimit          bool     // the last load report said that little of the limit is left
}

// EndpointHandover is the part of an [EndpointState] that only a handover includes.
type EndpointHandover struct {
	Sent          []Micros // times since the calls that still count
	SinceLastSent Micros   // time since its last attempt started
	UntilTrial    Micros   // time until the next trial; negative if it is due
	RequestedWait Micros   // time left of a requested wait of its limiter
}

// HandOver returns all state that another Sender needs to continue in this one's place at once: the states of
// the destinations and the paused order keys. This Sender must not step again unless the other one never has.
func (s *Sender) HandOver(now Micros) (states []DestinationState, keys []QuietKey) {
	s.now = max(s.now, now)
	for _, d := range s.destinationOrder {
		state := s.destinationState(d)
		state.Exact = true
		state.Arrivals = max(d.arrivals-d.pending, 0) // pending messages count when they are submitted again
		state.Limiter.LimiterHandover = s.limiterHandover(d.limiter)
		for i := range state.Endpoints {
			e, x := d.endpoints[i], &state.Endpoints[i]
			x.EndpointHandover = EndpointHandover{Sent: s.timesSince(e.callTimes),
				SinceLastSent: s.timeSince(e.lastSent),
				UntilTrial:    e.trialAt - s.now,
				RequestedWait: max(e.limiter.waitUntil-s.now, 0)}
			if e.limiter != d.limiter {
				x.Limiter.LimiterHandover = s.limiterHandover(e.limiter)
			}
		}
		states = append(states, state)
	}
	for key, l := range s.keyQueues {
		if l.quietUntil > s.now {
			keys = append(keys, QuietKey{Key: key, Remaining: l.quietUntil - s.now})
		}
	}
	return states, keys
}

// timesSince returns the times since the given times of calls, without those that no longer count.
func (s *Sender) timesSince(times []Micros) []Micros {
	keepFrom := s.now - max(s.settings.FallWindow, Second) - 1
	var out []Micros
	for _, t := range times {
		if t >= keepFrom {
			out = append(out, s.now-t)
		}
	}
	return out
}

// timesBefore returns the points in time that lie the given spans before now, in order.
func (s *Sender) timesBefore(spans []Micros) []Micros {
	var out []Micros
	for _, span := range spans {
		if span >= 0 {
			out = append(out, s.now-span)
		}
	}
	slices.Sort(out)
	return out
}

// limiterHandover returns the part of a limiter's state that only a handover includes.
func (s *Sender) limiterHandover(l *limiter) LimiterHandover {
	s.refillTokens(l)
	return LimiterHandover{Sent: s.timesSince(l.callTimes), Tokens: l.tokens,
		RequestedWait: max(l.waitUntil-s.now, 0), Overloads: l.overloads,
		SinceFirstOverload: s.timeSince(l.firstOverload),
		NearLimit:          l.nearLimit}
}

// restoreHandover restores the parts of a snapshot that only a handover includes.
func (s *Sender) restoreHandover(d *destination, m DestinationState) {
	restore := func(l *limiter, m LimiterState) {
		l.callTimes, l.tokens, l.refilledAt = s.timesBefore(m.Sent), m.Tokens, s.now
		l.waitUntil = max(l.waitUntil, s.now+m.RequestedWait)
		l.overloads, l.firstOverload, l.nearLimit = m.Overloads, s.timeBefore(m.SinceFirstOverload, 0), m.NearLimit
	}
	restore(d.limiter, m.Limiter)
	for _, x := range m.Endpoints {
		e := s.endpoints[x.Endpoint]
		if e == nil || e.dest != d {
			continue
		}
		e.callTimes, e.lastSent, e.trialAt =
			s.timesBefore(x.Sent), s.timeBefore(x.SinceLastSent, 0), s.now+x.UntilTrial
		if e.limiter != d.limiter {
			restore(e.limiter, x.Limiter)
		}
		e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+x.RequestedWait)
	}
}

// adoptAttempt records an attempt that another process has in flight. It returns false if the endpoint is
// unknown.
func (s *Sender) adoptAttempt(m *message, history History) bool {
	e := s.endpoints[history.InFlight.Endpoint]
	if e == nil {
		return false
	}
	var c *call
	if other := s.messages[history.InFlight.BatchedWith]; other != nil && other != m &&
		other.inFlight != nil && other.inFlight.endpoint == e {
		c = other.inFlight.call
	} else {
		c = &call{deadline: m.deadline}
		s.usedSlots++
		e.inFlight++
		e.limiter.inFlight++
	}
	c.size++
	c.unresolved++
	a := &attempt{msg: m, number: m.attempts - 1, endpoint: e, startedAt: s.now - max(history.InFlight.Age, 0),
		call: c}
	m.inFlight, m.lastEndpoint = a, e
	s.inFlight = append(s.inFlight, a)
	if history.Ended { // the client has been notified; the attempt still occupies a slot
		s.closeMessage(m)
	}
	s.wakeBy(s.now + s.stuckAfter(e.dest, m) + 1)
	return true
}
