package logic

// The list of endpoints: what is on it, and when to ask for it.

func (s *Sender) list(ev Endpoints) {
	if ev.Form == ListFailed {
		// Asked in vain or subscription broken: ask again before it counts as told, and not when all others do.
		s.askAt = s.now - ev.Elapsed + Micros((1-s.askJitter*s.rng.Float64())*float64(s.askAgain))
		s.askJitter = askJitter / 8 // they are apart by now
		return
	}
	if s.askAt == never {
		s.askJitter = askJitter
	}
	if ev.Form != ListDelta {
		s.keepOnly(ev.Entries)
	}
	for _, row := range ev.Entries {
		s.entry(row)
	}
}

func (s *Sender) entry(row Entry) {
	e := s.eps[row.Endpoint]
	if row.State == Gone {
		if e != nil {
			s.unlist(e)
		}
		return
	}
	d := s.dest(row.Dest)
	s.touch(d)
	d.kind = row.Kind
	if e == nil || e.dest != d {
		if e != nil {
			s.unlist(e)
		}
		e = &endpoint{id: row.Endpoint, dest: d, lane: d.lane, state: Gone}
		e.lastOK, e.lastBad, e.lastSent = longAgo, longAgo, longAgo
		e.well, e.good, e.doubt = longAgo, longAgo, longAgo
		if s.kind(d).Independent {
			e.lane = &lane{dest: d}
		}
		s.eps[e.id] = e
		s.inherit(e)
	}
	if e.state == Gone {
		d.eps = append(d.eps, e)
		if len(d.eps) > 1 {
			d.next = s.rng.IntN(len(d.eps))
		}
	}
	e.zone, e.state = row.Zone, row.State
	if s.set.Weights != WeightsOff && row.NominalRate > 0 && !e.lane.told {
		if e.lane.limit == 0 && row.NominalRate < paceFloor*float64(s.set.Senders) {
			e.lane.tokens, e.lane.filled = 1, s.now // thin: one call at the start, not after a span
		}
		e.lane.limit = row.NominalRate
	}
}

// inherit takes a machine that joins a destination in trouble for as cold as the others: what topples it is
// shared.
func (s *Sender) inherit(e *endpoint) {
	for _, x := range e.dest.eps {
		if s.isCold(x) && e.lane == x.lane {
			e.cold, e.suspect, e.backAt, e.trialAt, e.lastBad = true, x.suspect, x.backAt, x.trialAt, x.lastBad
		}
	}
}

// subscribe asks for the list where it comes only on request.
func (s *Sender) subscribe() {
	if s.askAt == never {
		return
	}
	if s.now < s.askAt {
		s.at(s.askAt)
		return
	}
	s.do(RequestEndpoints{})
	s.askAt = never
}
