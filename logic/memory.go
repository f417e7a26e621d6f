package logic

// Snapshots of the state of destinations for a later process, and their restore.

import (
	"math"
	"slices"
)

// noteChange marks a destination as changed since its last snapshot, if changes are tracked. A change of
// health makes the next snapshot due earlier.
func (s *Sender) noteChange(d *destination, health bool) {
	if !s.settings.TrackChanges {
		return
	}
	if !d.changed {
		d.changed = true
		s.changed = append(s.changed, d)
	}
	d.healthChanged = d.healthChanged || health
	s.changesDue = min(s.changesDue, d.changeDue())
}

// changeDue is the time at which the next snapshot of a changed destination is due.
func (d *destination) changeDue() Micros {
	if d.healthChanged {
		return d.reportedAt + healthChangeInterval
	}
	return d.reportedAt + stateChangeInterval
}

// ChangedStates returns the states of changed destinations whose next snapshot is due, up to the given
// number, changes of health first. It returns none unless Settings.TrackChanges is set. It is called between
// two Steps.
func (s *Sender) ChangedStates(now Micros, limit int) []DestinationState {
	s.now = max(s.now, now)
	if s.now < s.changesDue {
		return nil
	}
	var out []DestinationState
	for _, health := range [...]bool{true, false} {
		for _, d := range s.changed {
			if len(out) < limit && d.changed && d.healthChanged == health && s.now >= d.changeDue() {
				out = append(out, s.destinationState(d))
				d.changed, d.healthChanged, d.reportedAt = false, false, s.now
			}
		}
	}
	s.changed = slices.DeleteFunc(s.changed, func(d *destination) bool { return !d.changed })
	s.changesDue = never
	for _, d := range s.changed {
		s.changesDue = min(s.changesDue, d.changeDue())
	}
	return out
}

// timeSince is the time since t, for a snapshot: SinceNever if it is longer, 0 if t is in the future.
func (s *Sender) timeSince(t Micros) Micros {
	if t < s.now-SinceNever {
		return SinceNever
	}
	return max(s.now-t, 0)
}

// timeBefore is the point in time that lies the given span before a snapshot of the given age; distantPast if
// the span is SinceNever or impossible.
func (s *Sender) timeBefore(span, age Micros) Micros {
	if span < 0 || span >= SinceNever {
		return distantPast
	}
	return s.now - span - min(age, SinceNever)
}

// destinationState returns a snapshot of the state of a destination.
func (s *Sender) destinationState(d *destination) DestinationState {
	state := DestinationState{Dest: d.id, SinceUsed: s.timeSince(d.lastUsed), Arrivals: d.arrivals,
		SinceOutage: s.timeSince(d.outageAt)}
	state.Limiter = s.limiterState(d.limiter)
	for _, e := range d.endpoints {
		x := EndpointState{Endpoint: e.id, Outage: e.suspect, Cold: s.isCold(e),
			SinceRecovery: s.timeSince(e.recoveredAt), SinceSuccess: s.timeSince(e.lastSuccess),
			SinceFailure:            s.timeSince(e.lastFailure),
			SinceIndependentSuccess: s.timeSince(e.independentSuccess), TrialInterval: e.trialInterval,
			FailureRatio: e.failureRatio, Latency: Micros(e.latency),
			Failures: e.failures, Overloads: e.overloads, Resets: e.resets}
		if e.limiter != d.limiter {
			x.Limiter = s.limiterState(e.limiter)
		}
		state.Unhealthy = state.Unhealthy || x.Outage || x.Cold
		state.Endpoints = append(state.Endpoints, x)
	}
	for i, w := range d.latencies.weights {
		if n := sixteenths(w); n > 0 {
			state.Latencies.Bins, state.Latencies.Weights =
				append(state.Latencies.Bins, uint8(i)), append(state.Latencies.Weights, n)
		}
	}
	state.Latencies.Censored, state.Latencies.SinceSample =
		sixteenths(d.latencies.censored), s.timeSince(d.latencies.updatedAt)
	return state
}

// sixteenths rounds a weight to a number of sixteenths.
func sixteenths(w float64) uint16 { return uint16(min(max(math.Round(16*w), 0), math.MaxUint16)) }

// limiterState returns a snapshot of the state of a limiter.
func (s *Sender) limiterState(l *limiter) LimiterState {
	state := LimiterState{Rate: l.rate, PeakRate: l.peakRate}
	if l.rate > 0 {
		state.SinceDecrease = s.timeSince(l.decreasedAt)
	}
	if l.limitReported {
		state.Limit = l.limit
	}
	return state
}

// restoreState restores the state of a destination from a snapshot. Impossible values are ignored.
func (s *Sender) restoreState(r RestoreState) {
	d := s.destinations[r.State.Dest]
	if d == nil || d.restored {
		return
	}
	d.restored = true
	s.activate(d)
	state, age := r.State, max(r.Age, 0)
	fresh := func(e *endpoint) bool { return e.lastSent == distantPast }
	used := slices.ContainsFunc(d.endpoints, func(e *endpoint) bool { return !fresh(e) })
	if !used {
		d.lastUsed, d.arrivals, d.outageAt =
			s.timeBefore(state.SinceUsed, age), max(state.Arrivals, 0), s.timeBefore(state.SinceOutage, age)
		s.restoreLimiter(d.limiter, state.Limiter, age)
		d.latencies.restore(state.Latencies, s.timeBefore(state.Latencies.SinceSample, age))
		s.updateExpiries(d)
	}
	unhealthy, restored := false, map[*endpoint]bool{}
	for _, x := range state.Endpoints {
		e := s.endpoints[x.Endpoint]
		if e == nil || e.dest != d || !fresh(e) {
			continue
		}
		restored[e] = true
		e.recoveredAt, e.lastSuccess = s.timeBefore(x.SinceRecovery, age), s.timeBefore(x.SinceSuccess, age)
		e.lastFailure, e.independentSuccess =
			s.timeBefore(x.SinceFailure, age), s.timeBefore(x.SinceIndependentSuccess, age)
		e.failures, e.overloads, e.resets = max(x.Failures, 0), max(x.Overloads, 0), max(x.Resets, 0)
		e.suspect, e.cold = x.Outage, x.Cold || x.Outage
		if x.FailureRatio > 0 && x.FailureRatio <= 1 {
			e.failureRatio = x.FailureRatio
		}
		e.latency = float64(max(x.Latency, 0))
		if e.limiter != d.limiter {
			s.restoreLimiter(e.limiter, x.Limiter, age)
		}
		if e.suspect { // single trials, and not of all processes that restart at the same time
			e.trialInterval = min(max(x.TrialInterval, firstTrialInterval), maxTrialInterval)
			e.trialAt = s.now + Micros(s.rng.Float64()*float64(e.trialInterval))
		}
		unhealthy = unhealthy || s.isCold(e)
	}
	for _, e := range d.endpoints { // endpoints that have joined since
		if fresh(e) && !restored[e] {
			s.inheritOutage(e)
		}
	}
	if state.Exact {
		s.restoreHandover(d, state)
	} else if unhealthy { // the previous process may have used the budget of the present window
		d.pausedUntil, d.arrivals = s.now+s.settings.FallWindow, max(d.arrivals, 1)
		if d.outageAt == distantPast {
			d.outageAt = s.now
		}
	}
}

// restoreLimiter restores the state of a limiter from a snapshot of the given age.
func (s *Sender) restoreLimiter(l *limiter, state LimiterState, age Micros) {
	if state.Limit > 0 && !math.IsInf(state.Limit, 0) && s.settings.LimitIndex >= 0 {
		l.limit, l.limitReported = state.Limit, true
	}
	if state.Rate > 0 && !math.IsInf(state.Rate, 0) {
		l.rate, l.decreasedAt, l.refilledAt, l.tokens = state.Rate, s.timeBefore(state.SinceDecrease, age), s.now, 0
	}
	if state.PeakRate > 0 && !math.IsInf(state.PeakRate, 0) {
		l.peakRate = state.PeakRate
	}
}

// restore restores a histogram whose last sample was added at the given time.
func (h *histogram) restore(m LatencyHistogram, at Micros) {
	if len(m.Bins) != len(m.Weights) || h.total > 0 || at == distantPast {
		return
	}
	for i, b := range m.Bins {
		if int(b) < len(h.weights) {
			h.weights[b] = float64(m.Weights[i]) / 16
			h.total += h.weights[b]
		}
	}
	h.censored, h.updatedAt = float64(m.Censored)/16, at
	if h.total > 0 {
		h.update()
	}
}
