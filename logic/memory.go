package logic

// What a Sender tells of destinations for a later process, and takes from an earlier one.

import (
	"math"
	"slices"
)

// note marks a destination as one with news, if anybody asks for them.
func (s *Sender) note(d *dest, health bool) {
	if !s.set.Remember {
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

// Remember tells of destinations with news, of at most so many: of changes of health first, of others
// from time to time. It is empty unless Settings.Remember is set. It is called between two Steps.
func (s *Sender) Remember(now Micros, most int) []Memory {
	s.now = max(s.now, now)
	if s.now < s.newsAt {
		return nil
	}
	var out []Memory
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
	if t < s.now-Unseen {
		return Unseen
	}
	return max(s.now-t, 0)
}

// then is when it was a span before a memory of some age.
func (s *Sender) then(span, age Micros) Micros {
	if span < 0 || span >= Unseen {
		return longAgo
	}
	return s.now - span - min(age, Unseen)
}

func (s *Sender) memory(d *dest) Memory {
	m := Memory{Dest: d.id, Used: s.ago(d.used), Came: d.came, Down: s.ago(d.downAt)}
	m.Lane = s.laneMemory(d.lane)
	for _, e := range d.eps {
		x := EndpointMemory{Endpoint: e.id, Out: e.suspect, Cold: s.isCold(e), Back: s.ago(e.backAt),
			Good: s.ago(e.lastOK), Bad: s.ago(e.lastBad), Well: s.ago(e.well), Gap: e.trialGap,
			Failing: e.bad, Slow: Micros(e.slow), Fails: e.fails, Fulls: e.fulls, Resets: e.resets}
		if e.lane != d.lane {
			x.Lane = s.laneMemory(e.lane)
		}
		m.Sick = m.Sick || x.Out || x.Cold
		m.Endpoints = append(m.Endpoints, x)
	}
	for i, w := range d.hist.w {
		if n := sixteenths(w); n > 0 {
			m.Took.Bins, m.Took.Weights = append(m.Took.Bins, uint8(i)), append(m.Took.Weights, n)
		}
	}
	m.Took.Cuts, m.Took.Since = sixteenths(d.hist.cuts), s.ago(d.hist.at)
	return m
}

func sixteenths(w float64) uint16 { return uint16(min(max(math.Round(16*w), 0), math.MaxUint16)) }

func (s *Sender) laneMemory(l *lane) LaneMemory {
	m := LaneMemory{Pace: l.pace, Peak: l.peak}
	if l.pace > 0 {
		m.Halved = s.ago(l.halved)
	}
	if l.told {
		m.Limit = l.limit
	}
	return m
}

// recall takes up what an earlier Sender knew. What cannot be is left out.
func (s *Sender) recall(r Recall) {
	d := s.dests[r.Memory.Dest]
	if d == nil || d.recalled {
		return
	}
	d.recalled = true
	s.touch(d)
	m, age := r.Memory, max(r.Age, 0)
	fresh := func(e *endpoint) bool { return e.lastSent == longAgo }
	used := slices.ContainsFunc(d.eps, func(e *endpoint) bool { return !fresh(e) })
	if !used {
		d.used, d.came, d.downAt = s.then(m.Used, age), max(m.Came, 0), s.then(m.Down, age)
		s.recallLane(d.lane, m.Lane, age)
		d.hist.recall(m.Took, s.then(m.Took.Since, age))
		s.refreshAll(d)
	}
	sick, told := false, map[*endpoint]bool{}
	for _, x := range m.Endpoints {
		e := s.eps[x.Endpoint]
		if e == nil || e.dest != d || !fresh(e) {
			continue
		}
		told[e] = true
		e.backAt, e.lastOK = s.then(x.Back, age), s.then(x.Good, age)
		e.lastBad, e.well = s.then(x.Bad, age), s.then(x.Well, age)
		e.fails, e.fulls, e.resets = max(x.Fails, 0), max(x.Fulls, 0), max(x.Resets, 0)
		e.suspect, e.cold = x.Out, x.Cold || x.Out
		if x.Failing > 0 && x.Failing <= 1 {
			e.bad = x.Failing
		}
		e.slow = float64(max(x.Slow, 0))
		if e.lane != d.lane {
			s.recallLane(e.lane, x.Lane, age)
		}
		if e.suspect { // tried singly, not by all that restart in the same instant
			e.trialGap = min(max(x.Gap, trialGap), trialMost)
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

func (s *Sender) recallLane(l *lane, m LaneMemory, age Micros) {
	if m.Limit > 0 && !math.IsInf(m.Limit, 0) && s.set.ReportLimit >= 0 {
		l.limit, l.told = m.Limit, true
	}
	if m.Pace > 0 && !math.IsInf(m.Pace, 0) {
		l.pace, l.halved, l.filled, l.tokens = m.Pace, s.then(m.Halved, age), s.now, 0
	}
	if m.Peak > 0 && !math.IsInf(m.Peak, 0) {
		l.peak = m.Peak
	}
}

func (h *hist) recall(m TookMemory, at Micros) {
	if len(m.Bins) != len(m.Weights) || h.total > 0 || at == longAgo {
		return
	}
	for i, b := range m.Bins {
		if int(b) < len(h.w) {
			h.w[b] = float64(m.Weights[i]) / 16
			h.total += h.w[b]
		}
	}
	h.cuts, h.at = float64(m.Cuts)/16, at
	if h.total > 0 {
		h.update()
	}
}
