package logic

// What a Sender tells of destinations for a later process, and takes from an earlier one.

import (
	"math"
	"slices"
)

// note marks a destination as one with news, if anybody asks for them.
func (s *Sender) note(d *dest, health bool) {
	if !s.set.TrackChanges {
		return
	}
	if !d.noted {
		d.noted = true
		s.news = append(s.news, d)
	}
	d.urgent = d.urgent || health
	s.newsAt = min(s.newsAt, d.newsDue())
}

// newsDue is when a destination's news are to be told.
func (d *dest) newsDue() Micros {
	if d.urgent {
		return d.toldAt + tellHealth
	}
	return d.toldAt + tellRest
}

// ChangedStates tells of destinations with news, of at most so many: of changes of health first, of others
// from time to time. It is empty unless Settings.ChangedStates is set. It is called between two Steps.
func (s *Sender) ChangedStates(now Micros, most int) []DestinationState {
	s.now = max(s.now, now)
	if s.now < s.newsAt {
		return nil
	}
	var out []DestinationState
	for _, urgent := range [...]bool{true, false} {
		for _, d := range s.news {
			if len(out) < most && d.noted && d.urgent == urgent && s.now >= d.newsDue() {
				out = append(out, s.memory(d))
				d.noted, d.urgent, d.toldAt = false, false, s.now
			}
		}
	}
	s.news = slices.DeleteFunc(s.news, func(d *dest) bool { return !d.noted })
	s.newsAt = never
	for _, d := range s.news {
		s.newsAt = min(s.newsAt, d.newsDue())
	}
	return out
}

// ago is the span since t.
func (s *Sender) ago(t Micros) Micros {
	if t < s.now-SinceNever {
		return SinceNever
	}
	return max(s.now-t, 0)
}

// then is when it was a span before a memory of some age.
func (s *Sender) then(span, age Micros) Micros {
	if span < 0 || span >= SinceNever {
		return longAgo
	}
	return s.now - span - min(age, SinceNever)
}

func (s *Sender) memory(d *dest) DestinationState {
	m := DestinationState{Dest: d.id, SinceUsed: s.ago(d.used), Arrivals: d.came, SinceOutage: s.ago(d.downAt)}
	m.Limiter = s.laneMemory(d.lane)
	for _, e := range d.eps {
		x := EndpointState{Endpoint: e.id, Outage: e.suspect, Cold: s.isCold(e), SinceRecovery: s.ago(e.backAt),
			SinceSuccess: s.ago(e.lastOK), SinceFailure: s.ago(e.lastBad),
			SinceIndependentSuccess: s.ago(e.well), TrialInterval: e.trialGap,
			FailureRatio: e.bad, Latency: Micros(e.slow), Failures: e.fails, Overloads: e.fulls, Resets: e.resets}
		if e.lane != d.lane {
			x.Limiter = s.laneMemory(e.lane)
		}
		m.Unhealthy = m.Unhealthy || x.Outage || x.Cold
		m.Endpoints = append(m.Endpoints, x)
	}
	for i, w := range d.hist.w {
		if n := sixteenths(w); n > 0 {
			m.Latencies.Bins, m.Latencies.Weights = append(m.Latencies.Bins, uint8(i)), append(m.Latencies.Weights, n)
		}
	}
	m.Latencies.Censored, m.Latencies.SinceSample = sixteenths(d.hist.cuts), s.ago(d.hist.at)
	return m
}

func sixteenths(w float64) uint16 { return uint16(min(max(math.Round(16*w), 0), math.MaxUint16)) }

func (s *Sender) laneMemory(l *lane) LimiterState {
	m := LimiterState{Rate: l.pace, PeakRate: l.peak}
	if l.pace > 0 {
		m.SinceDecrease = s.ago(l.halved)
	}
	if l.told {
		m.Limit = l.limit
	}
	return m
}

// recall takes up what an earlier Sender knew. What cannot be is left out.
func (s *Sender) recall(r RestoreState) {
	d := s.dests[r.State.Dest]
	if d == nil || d.recalled {
		return
	}
	d.recalled = true
	s.touch(d)
	m, age := r.State, max(r.Age, 0)
	fresh := func(e *endpoint) bool { return e.lastSent == longAgo }
	used := slices.ContainsFunc(d.eps, func(e *endpoint) bool { return !fresh(e) })
	if !used {
		d.used, d.came, d.downAt = s.then(m.SinceUsed, age), max(m.Arrivals, 0), s.then(m.SinceOutage, age)
		s.recallLane(d.lane, m.Limiter, age)
		d.hist.recall(m.Latencies, s.then(m.Latencies.SinceSample, age))
		s.refreshAll(d)
	}
	sick, told := false, map[*endpoint]bool{}
	for _, x := range m.Endpoints {
		e := s.eps[x.Endpoint]
		if e == nil || e.dest != d || !fresh(e) {
			continue
		}
		told[e] = true
		e.backAt, e.lastOK = s.then(x.SinceRecovery, age), s.then(x.SinceSuccess, age)
		e.lastBad, e.well = s.then(x.SinceFailure, age), s.then(x.SinceIndependentSuccess, age)
		e.fails, e.fulls, e.resets = max(x.Failures, 0), max(x.Overloads, 0), max(x.Resets, 0)
		e.suspect, e.cold = x.Outage, x.Cold || x.Outage
		if x.FailureRatio > 0 && x.FailureRatio <= 1 {
			e.bad = x.FailureRatio
		}
		e.slow = float64(max(x.Latency, 0))
		if e.lane != d.lane {
			s.recallLane(e.lane, x.Limiter, age)
		}
		if e.suspect { // tried singly, not by all that restart in the same instant
			e.trialGap = min(max(x.TrialInterval, trialGap), trialMost)
			e.trialAt = s.now + Micros(s.rng.Float64()*float64(e.trialGap))
		}
		sick = sick || s.isCold(e)
	}
	for _, e := range d.eps { // one that has joined meanwhile
		if fresh(e) && !told[e] {
			s.inherit(e)
		}
	}
	if m.Exact {
		s.recallExact(d, m)
	} else if sick { // the one before may have used up the window that this restart fell into
		d.restTo, d.came = s.now+s.set.FallWindow, max(d.came, 1)
		if d.downAt == longAgo {
			d.downAt = s.now
		}
	}
}

func (s *Sender) recallLane(l *lane, m LimiterState, age Micros) {
	if m.Limit > 0 && !math.IsInf(m.Limit, 0) && s.set.LimitIndex >= 0 {
		l.limit, l.told = m.Limit, true
	}
	if m.Rate > 0 && !math.IsInf(m.Rate, 0) {
		l.pace, l.halved, l.filled, l.tokens = m.Rate, s.then(m.SinceDecrease, age), s.now, 0
	}
	if m.PeakRate > 0 && !math.IsInf(m.PeakRate, 0) {
		l.peak = m.PeakRate
	}
}

func (h *hist) recall(m LatencyHistogram, at Micros) {
	if len(m.Bins) != len(m.Weights) || h.total > 0 || at == longAgo {
		return
	}
	for i, b := range m.Bins {
		if int(b) < len(h.w) {
			h.w[b] = float64(m.Weights[i]) / 16
			h.total += h.w[b]
		}
	}
	h.cuts, h.at = float64(m.Censored)/16, at
	if h.total > 0 {
		h.update()
	}
}
