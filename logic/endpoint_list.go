package logic

// The endpoint list: its entries, when it is requested, and how long attempts wait for its confirmation.

import "cometrack/internal/permit"

// listState says when the endpoint list was received and when it is requested.
type listState struct {
	requestAt   Micros  // when to request it; never if it has been requested
	retryJitter float64 // part of maxRetry by which a retry may come earlier
	maxRetry    Micros  // longest time from a failed request to the next
	unconfirmed bool    // it is of an earlier process, see Endpoints.Unconfirmed
	receivedAt  Micros  // when it was received
}

// handleList processes an update of the endpoint list.
func (s *Sender) handleList(ev Endpoints) {
	if ev.Form == ListFailed {
		// The request failed or the subscription broke. Retry within the time limit, and not at the same time
		// as all other senders.
		delay := (1 - s.list.retryJitter*s.rng.Float64()) * float64(s.list.maxRetry)
		s.list.requestAt = s.now - ev.Elapsed + Micros(delay)
		s.list.retryJitter = listRetryJitter / 8 // the first retry has spread the senders
		return
	}
	if s.list.requestAt == never {
		s.list.retryJitter = listRetryJitter
	}
	if ev.Form != ListDelta {
		s.removeUnlisted(ev.Entries)
	}
	for _, entry := range ev.Entries {
		s.applyEntry(entry)
	}
	if s.list.unconfirmed {
		for _, g := range s.groups { // their destinations may have waited for this list
			s.activate(g.dest)
		}
	}
	s.list.unconfirmed, s.list.receivedAt = ev.Form == ListCached && ev.Unconfirmed, s.now
}

// listUsableAt returns the time from which attempts may start by the list. A time in the past means now.
func (s *Sender) listUsableAt() Micros {
	list := permit.List{Unconfirmed: s.list.unconfirmed, Waited: duration(s.now - s.list.receivedAt)}
	if permit.UseList(list) == permit.Granted {
		return s.now
	}
	return s.list.receivedAt + Micros(permit.MaxListWait.Microseconds())
}

// applyEntry adds, changes or removes an endpoint as its entry says.
func (s *Sender) applyEntry(entry Entry) {
	e := s.endpoints[entry.Endpoint]
	if entry.State == Gone {
		if e != nil {
			s.removeEndpoint(e)
		}
		return
	}
	d := s.destinationFor(entry.Dest)
	s.activate(d)
	d.kind = entry.Kind
	if e == nil || e.dest != d {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = &endpoint{id: entry.Endpoint, dest: d, limiter: d.limiter, state: Gone}
		e.lastSuccess, e.lastFailure, e.lastSent = distantPast, distantPast, distantPast
		e.independentSuccess, e.lastSuccessSent, e.peerReportAt = distantPast, distantPast, distantPast
		if s.kindOf(d).Independent {
			e.limiter = &limiter{dest: d}
		}
		s.endpoints[e.id] = e
		s.inheritOutage(e)
	}
	if e.state == Gone {
		d.endpoints = append(d.endpoints, e)
		if len(d.endpoints) > 1 {
			d.nextEndpoint = s.rng.IntN(len(d.endpoints))
		}
	}
	e.zone, e.state = entry.Zone, entry.State
	if s.settings.Weights != WeightsOff && entry.NominalRate > 0 && !e.limiter.limitReported {
		if e.limiter.limit == 0 && entry.NominalRate < minRate*float64(s.settings.Senders) {
			e.limiter.tokens, e.limiter.refilledAt = 1, s.now // small share: the first call needs no wait
		}
		e.limiter.limit = entry.NominalRate
	}
}

// inheritOutage makes an endpoint that joins a destination in outage as cold as the others, as they are
// overloaded together.
func (s *Sender) inheritOutage(e *endpoint) {
	for _, x := range e.dest.endpoints {
		if s.isCold(x) && e.limiter == x.limiter {
			e.cold, e.suspect, e.recoveredAt, e.trialAt, e.lastFailure =
				true, x.suspect, x.recoveredAt, x.trialAt, x.lastFailure
		}
	}
}

// requestList requests the endpoint list if it is sent only on request.
func (s *Sender) requestList() {
	if s.list.requestAt == never {
		return
	}
	if s.now < s.list.requestAt {
		s.wakeBy(s.list.requestAt)
		return
	}
	s.emit(RequestEndpoints{})
	s.list.requestAt = never
}
