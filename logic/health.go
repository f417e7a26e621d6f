package logic

import "slices"

// Outage detection: which endpoints are suspected or unreliable, from the outcomes of attempts and the
// reports of peers.

// trialAvailableAt returns the time at which e may take a call as far as its health is concerned: 0 for now,
// and never if that depends on the outcome of a call. A suspected endpoint takes single trials only.
func (s *Sender) trialAvailableAt(e *endpoint) Micros {
	switch {
	case e.suspect && (e.inFlight > 0 || s.trialSlotsUsed()):
		return never
	case e.suspect:
		return e.trialAt
	case e.inFlight > 0 && e.peerReportAt > e.lastSuccessSent: // reported by a peer: one call until an answer
		return never
	}
	// Most outages affect all endpoints of a destination. After one has failed, the others take one call at a
	// time until they answer.
	if e.inFlight > 0 && e.limiter == e.dest.limiter {
		for _, x := range e.dest.endpoints {
			if x.suspect && x.lastFailure > e.lastSuccess {
				return never
			}
		}
	}
	return 0
}

// unreliable reports whether an endpoint fails too often for unsafe messages, which are sent elsewhere until
// their Aim.
func (e *endpoint) unreliable() bool { return e.suspect || e.failureRatio > maxUnsafeFailureRatio }

// allUnreliable reports whether no endpoint of d is reliable enough for an unsafe message and can take a call
// now, and no call is open that the message could join.
func (s *Sender) allUnreliable(d *destination) bool {
	return !slices.ContainsFunc(d.endpoints, func(e *endpoint) bool {
		return !e.unreliable() && s.availableAt(e) <= s.now || e.openCall != nil && e.openCall.step == s.step
	})
}

// trialSlotsUsed reports whether trials occupy all the slots that they may.
func (s *Sender) trialSlotsUsed() bool { return s.slotsOnTrial() >= max(1, s.settings.Slots*2/3) }

// recordSuccess records that the endpoint e has answered a call that was sent at the given time, and ends an
// outage of e. An answer to a call from before e's last failure does not end it: a call that was in flight
// when the endpoint failed may still be answered.
func (s *Sender) recordSuccess(e *endpoint, sent Micros) {
	if e.suspect && sent < e.lastFailure {
		return
	}
	if e.suspect || e.peerReportAt > e.lastSuccessSent && sent >= e.peerReportAt {
		s.publishHealth(e, false)
	}
	if e.suspect {
		s.log("endpoint %d answers again", e.id)
		s.noteChange(e.dest, true)
		e.suspect, e.recoveredAt, e.trialInterval = false, s.now, 0
	}
	e.lastSuccessSent, e.lastSuccess = max(e.lastSuccessSent, sent), s.now
	e.failures, e.overloads, e.invalidResponses, e.limiter.overloads = 0, 0, 0, 0
	e.failureRatio *= 1 - ewmaWeight
}

// noteOutage records the time at which e was last seen to be in outage. A sibling that has answered between
// two such times is healthy on its own. An answer after the last one may be due to the recovery of both.
func (s *Sender) noteOutage(e *endpoint) {
	for _, x := range e.dest.endpoints {
		if x != e && e.suspect && x.lastSuccessSent > e.lastFailure {
			x.independentSuccess = s.now
		}
	}
	e.lastFailure = s.now
}

// recordFailure records a failure that indicates an outage of e: an error, a broken or refused connection, or
// a missing answer. The reason is one of those that handleResult gives; it goes to the log, and errors need
// two in a row or a high ratio of failures to start an outage.
func (s *Sender) recordFailure(e *endpoint, reason string) {
	e.failures++
	s.noteOutage(e)
	e.failureRatio += ewmaWeight * (1 - e.failureRatio)
	if e.failures >= 2 || e.failureRatio > outageFailureRatio || reason != "errors" {
		s.startOutage(e, reason)
		s.publishHealth(e, true)
	}
}

// recordOverload records a rejection for overload. Rejections in a row over longer than the window of a
// limit, or a long requested wait, indicate an outage. While the last load report says that the limit is
// nearly used up, only the wait does, as the slow start after a falsely detected outage costs more than the
// rejections.
func (s *Sender) recordOverload(e *endpoint, wait Micros) {
	s.decreaseRate(e.limiter)
	for _, x := range e.dest.endpoints { // independent endpoints get parts of the same traffic
		if share := s.evenShare(x.limiter); share < minRate && x.limiter.rate == 0 {
			x.limiter.rate = share
		}
	}
	e.overloads++
	l := e.limiter
	if l.overloads++; l.overloads == 1 {
		l.firstOverload = s.now
	}
	if e.suspect || wait > outageWait ||
		!l.nearLimit && l.overloads >= outageOverloads && s.now-l.firstOverload > outageOverloadSpan {
		s.noteOutage(e)
		s.startOutage(e, "refuses all")
		s.publishHealth(e, true)
	}
}

// handlePeerHealth processes a report of a peer. An endpoint that has just answered this sender is not
// suspected, but takes one call at a time until the next answer. An endpoint that has answered a peer, or
// that this sender is to test, gets a trial.
func (s *Sender) handlePeerHealth(e *endpoint, report PeerHealth) {
	if e.peerReportAt = s.now; report.Outage && (e.suspect || e.lastSuccess < s.now-recentSuccess) {
		s.noteOutage(e)
		s.startOutage(e, "reported by a peer")
	} else if report.TryNow && e.suspect {
		e.trialAt = min(e.trialAt, s.now+Micros(s.rng.Float64()*float64(firstTrialInterval)))
	}
}

// startOutage marks an endpoint as in outage: it takes single trials only, and is in slow start after its
// recovery. The reason goes to the log.
func (s *Sender) startOutage(e *endpoint, reason string) {
	s.markSuspect(e, reason)
	if !s.isCold(e) {
		s.noteChange(e.dest, true)
		e.cold = true
		e.dest.arrivals, e.dest.outageAt = 1, s.now
	}
}

// propagateOutage applies the outage of an endpoint that leaves the list to the siblings that have not been
// tried since it failed.
func (s *Sender) propagateOutage(e *endpoint) {
	for _, x := range e.dest.endpoints {
		if e.suspect && !x.cold && x.lastSuccessSent < e.lastFailure {
			s.inheritOutage(x)
		}
	}
}

// markSuspect suspects an endpoint of an outage: it takes single trials only. Only startOutage makes a
// slow start follow. The reason goes to the log.
func (s *Sender) markSuspect(e *endpoint, reason string) {
	if !e.suspect {
		s.log("endpoint %d out: %s", e.id, reason)
		s.noteChange(e.dest, true)
		e.suspect, e.trialInterval, e.trialAt = true, firstTrialInterval, s.now+firstTrialInterval
	}
}

// backOffTrial sets the time of the next trial. The interval doubles with each trial, with a random deviation
// that spreads the trials of several senders.
func (s *Sender) backOffTrial(e *endpoint) {
	e.trialInterval = min(2*max(e.trialInterval, firstTrialInterval), maxTrialInterval)
	e.trialAt = s.now + e.trialInterval*Micros(max(e.trialFactor, 1)*(80+s.rng.IntN(40)))/100
}
