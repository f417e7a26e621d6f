package logic

import (
	"container/heap"
	"slices"
)

// A step visits the destinations for which something has changed or is due: it sends their messages by
// priority until nothing more can be sent. [Sender.priority] sets the order, [Sender.admit] whether a message
// may be sent. queue_test.go checks that each step sends what a pass over all queued messages would send.

// dispatch sends the messages that are admitted, in order of priority. It visits the active destinations, and
// of each the messages in order until none can be sent any more.
func (s *Sender) dispatch() {
	var visited []*destination
	if s.usedSlots < s.settings.Slots { // otherwise no destination is visited until a call ends
		visited = slices.Clone(s.active[:min(len(s.active), maxVisits)])
		if s.active = slices.Delete(s.active, 0, len(visited)); len(s.active) > 0 {
			s.wakeBy(s.now) // the next step visits the remaining destinations first
		}
	}
	var cursors cursorHeap
	for _, d := range visited {
		d.active, d.revisitAt, d.visitedStep = false, never, s.step
		d.load = float64(1 + d.limiter.inFlight)
		if d.revisitAt = s.destinationAvailableAt(d); d.revisitAt > s.now {
			continue
		}
		d.revisitAt = never
		for _, g := range d.groups {
			if !s.stopsTooSoon(g) {
				cursors = s.appendCursors(cursors, g)
			}
		}
	}
	heap.Init(&cursors)
	var sent []*message
	for len(cursors) > 0 {
		c := cursors[0]
		m, d := c.msg, c.msg.dest
		if d.blockedStep == s.step {
			heap.Pop(&cursors)
			continue
		}
		switch {
		case s.trySend(m):
			sent = append(sent, m)
			s.advance(c)
		case s.destinationAvailableAt(d) > s.now:
			d.blockedStep, d.revisitAt = s.step, s.destinationAvailableAt(d)
			c.msg = nil
		case m.class.Effect != Unsafe || s.now >= m.submittedAt+m.class.Aim || !s.allUnreliable(d) ||
			s.kindOf(d).MaxBatch > 1 && c.heldBack < maxVisits: // it may join a call opened later in this pass
			c.heldBack++
			s.advance(c)
		default: // newer messages of the group are not admitted for the same reason
			d.revisitAt = min(d.revisitAt, s.skipNewer(c, s.now-m.class.Aim))
		}
		if c.msg == nil {
			heap.Pop(&cursors)
		} else {
			heap.Fix(&cursors, 0)
		}
	}
	for _, m := range sent {
		s.dequeue(m)
	}
	for _, d := range visited {
		if d.queued > 0 {
			s.scheduleVisit(d, d.revisitAt)
		}
	}
	s.shed(sent)
	s.arrivals = s.arrivals[:0]
}

// stopsTooSoon reports whether this sender stops before a call with a message of the group could end, at any
// endpoint.
func (s *Sender) stopsTooSoon(g *group) bool {
	first, _ := g.byExpiry.first()
	return s.stopAt != 0 && !slices.ContainsFunc(g.dest.endpoints, func(e *endpoint) bool {
		return s.now+s.timeNeeded(first.msg, e) <= s.stopAt
	})
}

// scheduleVisit makes a later step visit d again, that is, look for messages that it can send there: at the
// given time, or if that is never, once something changes for d. The next step visits d whenever it comes if
// the time cannot be determined in advance: all slots are in use, an endpoint is in slow start or due for a
// trial, or the trials occupy all their slots.
func (s *Sender) scheduleVisit(d *destination, at Micros) {
	if d.active {
		return
	}
	if s.usedSlots >= s.settings.Slots || slices.ContainsFunc(d.endpoints, func(e *endpoint) bool {
		return e.cold && (!e.suspect || s.now >= e.trialAt) || // slow start budgets change with time
			e.suspect && e.inFlight == 0 && s.trialSlotsUsed()
	}) {
		s.activate(d)
	}
	s.wakeBy(at)
	if !d.active {
		s.timers.set(&d.timer, at-1) // times computed from a rate are rounded up
	}
}

// destinationAvailableAt returns the time at which a call to d may start, regardless of the message. A time
// in the past means that one may start now.
func (s *Sender) destinationAvailableAt(d *destination) Micros {
	at := never
	for _, e := range d.endpoints {
		endpointAt := s.availableAt(e)
		if o := e.openCall; o != nil && o.step == s.step && o.size < s.kindOf(d).MaxBatch {
			endpointAt = s.now + 1
			for _, g := range d.groups { // the open call may take more messages
				if first, _ := g.byExpiry.first(); o.deadline-s.now >= 2*s.usualLatency(first.msg) {
					return s.now
				}
			}
		}
		at = min(at, endpointAt)
	}
	return at
}
