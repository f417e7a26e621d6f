package backlog

import "math"

// ExpiryRead is a request for the heads of messages that expire soon: N messages from
// position From of the segment's by-deadline order, or Entries if the segment has no
// index block yet.
type ExpiryRead struct {
	Segment uint64 // its first sequence number
	From, N uint32
	Entries []Entry
}

// ExpiryReads returns the reads of messages whose deadline is within [LookaheadMicros] of
// now, Unix time in microseconds. The caller must complete each by
// [Backlog.ExpiryReadDone] or [Backlog.ExpiryReadFailed].
func (b *Backlog) ExpiryReads(now int64) (out []ExpiryRead) {
	if b.minUnreadDeadline > now+LookaheadMicros {
		return nil
	}
	b.minUnreadDeadline = math.MaxInt64
	for _, s := range b.segments {
		if s.nextUnreadDeadline() > now+LookaheadMicros {
			b.minUnreadDeadline = min(b.minUnreadDeadline, s.nextUnreadDeadline())
			continue
		}
		r := ExpiryRead{Segment: s.first}
		if s.sealed {
			r.From, r.N = s.requested, min(s.n-s.requested, maxExpiryBatch)
			s.requested += r.N
		} else {
			for len(s.expiryHeap) > 0 && len(r.Entries) < maxExpiryBatch && s.nextUnreadDeadline() <= now+LookaheadMicros {
				var at uint32
				at, s.expiryHeap = pop(s.expiryHeap, s.earlier)
				if e := s.entries[at]; !s.isRemoved(e.Seq) {
					r.Entries = append(r.Entries, e)
				}
			}
			if len(r.Entries) == 0 {
				b.minUnreadDeadline = min(b.minUnreadDeadline, s.nextUnreadDeadline())
				continue
			}
		}
		s.readingExpiry = true
		out = append(out, r)
	}
	return out
}

// ExpiryReadDone completes an expiry read with the requested messages. after is the
// deadline of the message that follows them in the index block, math.MaxInt64 if there
// is none; it is ignored for a read of Entries.
func (b *Backlog) ExpiryReadDone(r ExpiryRead, items []Item, after int64) {
	s := b.segmentStartingAt(r.Segment)
	if s == nil {
		return
	}
	s.readingExpiry = false
	if r.Entries == nil {
		s.nextDeadline = after
	}
	for _, e := range items {
		if !s.isRemoved(e.Seq) {
			b.expiring = push(b.expiring, e, earlier)
		}
	}
	b.minUnreadDeadline = min(b.minUnreadDeadline, s.nextUnreadDeadline())
}

// ExpiryReadFailed completes an expiry read that failed. Its messages are requested again
// by the next [Backlog.ExpiryReads].
func (b *Backlog) ExpiryReadFailed(r ExpiryRead) {
	s := b.segmentStartingAt(r.Segment)
	if s == nil {
		return
	}
	s.readingExpiry = false
	switch {
	case r.Entries == nil:
		s.requested = r.From
	case s.sealed: // since the read was requested: start again from the first entry
		s.requested, s.nextDeadline = 0, r.Entries[0].Deadline
	default:
		for _, e := range r.Entries {
			s.expiryHeap = push(s.expiryHeap, uint32(e.Seq-s.first), s.earlier)
		}
	}
	b.minUnreadDeadline = min(b.minUnreadDeadline, s.nextUnreadDeadline())
}

// PopExpired removes a message whose deadline is at or before now from the backlog and
// returns it, earliest deadline first. It returns false if there is none.
func (b *Backlog) PopExpired(now int64) (Item, bool) {
	for len(b.expiring) > 0 && b.expiring[0].Deadline <= now {
		var e Item
		if e, b.expiring = pop(b.expiring, earlier); b.removeSpilled(&e.Entry) {
			return e, true
		}
	}
	return Item{}, false
}

// WakeTime returns when [Backlog.ExpiryReads] or [Backlog.PopExpired] is to be called
// next, Unix time in microseconds; math.MaxInt64 if there is no such time.
func (b *Backlog) WakeTime() int64 {
	at := int64(math.MaxInt64)
	if b.minUnreadDeadline != math.MaxInt64 {
		at = b.minUnreadDeadline - LookaheadMicros
	}
	if len(b.expiring) > 0 {
		at = min(at, b.expiring[0].Deadline)
	}
	return at
}
