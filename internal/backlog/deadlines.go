package backlog

import "math"

// ExpiryRead asks for messages whose time is over soon: N from the place From on of
// the order of deadlines, or, of a segment without an index block, Entries.
type ExpiryRead struct {
	Segment uint64
	From, N uint32
	Entries []Entry
}

// ExpiryReads tells which ends are to be read, as their time comes within [LookaheadMicros]. Each
// is to be answered by [Backlog.ExpiryReadDone].
func (b *Backlog) ExpiryReads(now int64) (out []ExpiryRead) {
	if b.soonest > now+LookaheadMicros {
		return nil
	}
	b.soonest = math.MaxInt64
	for _, s := range b.segments {
		if s.next() > now+LookaheadMicros {
			b.soonest = min(b.soonest, s.next())
			continue
		}
		r := ExpiryRead{Segment: s.first}
		if s.sealed {
			r.From, r.N = s.asked, min(s.n-s.asked, dueBatch)
			s.asked += r.N
		} else {
			for len(s.waiting) > 0 && len(r.Entries) < dueBatch && s.next() <= now+LookaheadMicros {
				var at uint32
				at, s.waiting = pop(s.waiting, s.sooner)
				if e := s.entries[at]; !s.isGone(e.Seq) {
					r.Entries = append(r.Entries, e)
				}
			}
			if len(r.Entries) == 0 {
				b.soonest = min(b.soonest, s.next())
				continue
			}
		}
		s.reading = true
		out = append(out, r)
	}
	return out
}

// ExpiryReadDone takes the ends that were read: the messages that were asked for, and the
// deadline of the one after them in a segment with an index block, if there is one.
func (b *Backlog) ExpiryReadDone(r ExpiryRead, items []Item, after int64) {
	s := b.exact(r.Segment)
	if s == nil {
		return
	}
	s.reading = false
	if r.Entries == nil {
		s.due = after
	}
	for _, e := range items {
		if !s.isGone(e.Seq) {
			b.near = push(b.near, e, sooner)
		}
	}
	b.soonest = min(b.soonest, s.next())
}

// ExpiryReadFailed takes a read of ends that could not be made. It is made again.
func (b *Backlog) ExpiryReadFailed(r ExpiryRead) {
	s := b.exact(r.Segment)
	if s == nil {
		return
	}
	s.reading = false
	switch {
	case r.Entries == nil:
		s.asked = r.From
	case s.sealed: // meanwhile: from the first on again
		s.asked, s.due = 0, r.Entries[0].Deadline
	default:
		for _, e := range r.Entries {
			s.waiting = push(s.waiting, uint32(e.Seq-s.first), s.sooner)
		}
	}
	b.soonest = min(b.soonest, s.next())
}

// PopExpired returns the next message behind the window whose time is over by now, as no
// longer behind it; false if there is none.
func (b *Backlog) PopExpired(now int64) (Item, bool) {
	for len(b.near) > 0 && b.near[0].Deadline <= now {
		var e Item
		if e, b.near = pop(b.near, sooner); b.take(&e.Entry) {
			return e, true
		}
	}
	return Item{}, false
}

// WakeTime is when something is to be done next for the ends of messages, Unix time in
// microseconds; the largest number if nothing is.
func (b *Backlog) WakeTime() int64 {
	at := int64(math.MaxInt64)
	if b.soonest != math.MaxInt64 {
		at = b.soonest - LookaheadMicros
	}
	if len(b.near) > 0 {
		at = min(at, b.near[0].Deadline)
	}
	return at
}
