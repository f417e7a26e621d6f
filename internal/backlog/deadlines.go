package backlog

import "math"

// DueRead asks for messages whose time is over soon: N from the place From on of
// the order of deadlines, or, of a segment without an index block, Entries.
type DueRead struct {
	Segment uint64
	From, N uint32
	Entries []Entry
}

// DueReads tells which ends are to be read, as their time comes within [Ahead]. Each
// is to be answered by [Backlog.DueCame].
func (b *Backlog) DueReads(now int64) (out []DueRead) {
	if b.soonest > now+Ahead {
		return nil
	}
	b.soonest = math.MaxInt64
	for _, s := range b.segments {
		if s.next() > now+Ahead {
			b.soonest = min(b.soonest, s.next())
			continue
		}
		r := DueRead{Segment: s.first}
		if s.sealed {
			r.From, r.N = s.asked, min(s.n-s.asked, dueBatch)
			s.asked += r.N
		} else {
			for len(s.waiting) > 0 && len(r.Entries) < dueBatch && s.next() <= now+Ahead {
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

// DueCame takes the ends that were read: the messages that were asked for, and the
// deadline of the one after them in a segment with an index block, if there is one.
func (b *Backlog) DueCame(r DueRead, items []Item, after int64) {
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

// DueFailed takes a read of ends that could not be made. It is made again.
func (b *Backlog) DueFailed(r DueRead) {
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

// Over returns the next message behind the window whose time is over by now, as no
// longer behind it; false if there is none.
func (b *Backlog) Over(now int64) (Item, bool) {
	for len(b.near) > 0 && b.near[0].Deadline <= now {
		var e Item
		if e, b.near = pop(b.near, sooner); b.take(&e.Entry) {
			return e, true
		}
	}
	return Item{}, false
}

// Wake is when something is to be done next for the ends of messages, Unix time in
// microseconds; the largest number if nothing is.
func (b *Backlog) Wake() int64 {
	at := int64(math.MaxInt64)
	if b.soonest != math.MaxInt64 {
		at = b.soonest - Ahead
	}
	if len(b.near) > 0 {
		at = min(at, b.near[0].Deadline)
	}
	return at
}
