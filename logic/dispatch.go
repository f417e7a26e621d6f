package logic

import (
	"container/heap"
	"slices"
)

// How a step goes over what is held: which destinations it looks at, and of each what goes first, until
// nothing more can go there. Who goes first is rate's word, whether anything goes the gate's; that each
// step sends what a pass over all that is held would send is what queue_test.go holds it to.

// dispatch sends what the gate lets through, the most urgent first. It looks at destinations of which
// something has happened or is due, and of each at what goes first, until nothing more can go there.
func (s *Sender) dispatch() {
	var looked []*dest
	if s.busy < s.set.Slots { // else until a call is over
		looked = slices.Clone(s.active[:min(len(s.active), lookMost)])
		if s.active = slices.Delete(s.active, 0, len(looked)); len(s.active) > 0 {
			s.at(s.now) // those that this step has no time for come first in the next
		}
	}
	var next merge
	for _, d := range looked {
		d.active, d.again, d.lookedIn = false, never, s.step
		d.load = float64(1 + d.lane.inflight)
		if d.again = s.shut(d); d.again > s.now {
			continue
		}
		d.again = never
		for _, g := range d.groups {
			if !s.tooLate(g) {
				next = s.cursors(next, g)
			}
		}
	}
	heap.Init(&next)
	var sent []*msg
	for len(next) > 0 {
		c := next[0]
		m, d := c.m, c.m.dest
		if d.shutIn == s.step {
			heap.Pop(&next)
			continue
		}
		switch {
		case s.send(m):
			sent = append(sent, m)
			s.advance(c)
		case s.shut(d) > s.now:
			d.shutIn, d.again = s.step, s.shut(d)
			c.m = nil
		case m.class.Effect != Unsafe || s.now >= m.first+m.class.Aim || !s.unreliable(d) ||
			s.kind(d).MaxBatch > 1 && c.passed < lookMost: // it may join a call that opens later in this pass
			c.passed++
			s.advance(c)
		default: // what keeps this one back keeps the younger ones back too
			d.again = min(d.again, s.skip(c, s.now-m.class.Aim))
		}
		if c.m == nil {
			heap.Pop(&next)
		} else {
			heap.Fix(&next, 0)
		}
	}
	for _, m := range sent {
		s.dequeue(m)
	}
	for _, d := range looked {
		if d.waiting > 0 {
			s.sleep(d, d.again)
		}
	}
	s.shed(sent)
	s.came = s.came[:0]
}

// tooLate says that this sender stops before a call of the group's would be over, whichever endpoint takes
// it.
func (s *Sender) tooLate(g *group) bool {
	first, _ := g.ends.first()
	return s.closeAt != 0 && !slices.ContainsFunc(g.dest.eps, func(e *endpoint) bool {
		return s.now+s.lasts(first.m, e) <= s.closeAt
	})
}

// sleep looks at a destination again at a time, or in the next step where that can't be told.
func (s *Sender) sleep(d *dest, at Micros) {
	if d.active {
		return
	}
	if s.busy >= s.set.Slots || slices.ContainsFunc(d.eps, func(e *endpoint) bool {
		return e.cold && (!e.suspect || s.now >= e.trialAt) || // budgets change with time
			e.suspect && e.inflight == 0 && s.crowded()
	}) {
		s.touch(d)
	}
	s.at(at)
	if !d.active {
		s.alarms.set(&d.wake, at-1) // a time of a pace is rounded up
	}
}

// shut says when a call to d may begin again, whatever the message; a time that is past if one may now.
func (s *Sender) shut(d *dest) Micros {
	at := never
	for _, e := range d.eps {
		x := s.opensAt(e)
		if o := e.open; o != nil && o.step == s.step && o.n < s.kind(d).MaxBatch {
			x = s.now + 1
			for _, g := range d.groups { // it may take more
				if first, _ := g.ends.first(); o.by-s.now >= 2*s.usual(first.m) {
					return s.now
				}
			}
		}
		at = min(at, x)
	}
	return at
}
