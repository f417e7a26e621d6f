package backlog

import "slices"

// RefillRead is a request for the next messages of a queue: N messages from position From
// of the segment's by-queue order, or Entries if the segment has no index block yet or
// the messages were put back.
type RefillRead struct {
	Queue   QueueID
	Segment uint64 // its first sequence number
	From, N uint32
	Entries []Entry
}

// RefillReads returns the reads to start now, in turns among the destinations and among
// the queues of each. The caller must complete each by [Backlog.RefillDone] or
// [Backlog.RefillFailed].
func (b *Backlog) RefillReads() (out []RefillRead) {
	for len(b.refillable) > 0 && b.inFlight+b.opts.Batch <= b.opts.MaxInFlight {
		d := b.refillable[0]
		b.refillable = b.refillable[1:]
		d.refillable = false
		if r, ok := b.nextRead(d); ok {
			out = append(out, r)
			b.markRefillable(d) // again, after the other destinations
		}
	}
	return out
}

// nextRead returns a read of the next queue, in turn, of a destination; false if none of
// its queues can be read or its window has no room.
func (b *Backlog) nextRead(d *destination) (RefillRead, bool) {
	free := b.opts.Window - d.inWindow - d.reserved
	if free <= 0 {
		return RefillRead{}, false
	}
	waiting := 0
	for _, q := range d.queues {
		if q.spilled > 0 {
			waiting++
		}
	}
	maxMessages := min(b.opts.Batch, max(free/max(waiting, 1), 1))
	for i := range d.queues {
		q := d.queues[(d.nextQueue+i)%len(d.queues)]
		for len(q.runs) > 0 && q.runs[0].next >= q.runs[0].n && q.runs[0].isComplete() {
			q.runs = q.runs[1:]
		}
		if q.reading || len(q.runs) == 0 || q.runs[0].next >= q.runs[0].n {
			continue
		}
		d.nextQueue = (d.nextQueue + i + 1) % len(d.queues)
		return b.readQueue(q, uint32(maxMessages)), true
	}
	return RefillRead{}, false
}

// isComplete reports whether no more messages will be added to a run.
func (r *run) isComplete() bool { return r.putBack != nil || r.seg.closed }

// readQueue returns a read of the first run of a queue and reserves window room for it.
func (b *Backlog) readQueue(q *queue, maxMessages uint32) RefillRead {
	r := &q.runs[0]
	n := min(r.n-r.next, maxMessages)
	out := RefillRead{Queue: q.id, Segment: r.seg.first, From: r.from + r.next, N: n}
	switch {
	case r.putBack != nil:
		out.Entries = r.putBack[r.next : r.next+n]
	case !r.seg.sealed:
		for _, at := range r.seg.byQueue[q.id][r.next : r.next+n] {
			out.Entries = append(out.Entries, r.seg.entries[at])
		}
	}
	q.reading = true
	r.seg.refillReads++
	q.dest.reserved += int(n)
	b.inFlight += int(n)
	return out
}

// RefillDone completes a refill read with the entries that were read: all of the
// requested messages, or the first of them. in reports which of these enter the window;
// the others have left the backlog since the read was requested.
func (b *Backlog) RefillDone(r RefillRead, entries []Entry) (in []bool) {
	q := b.queues[r.Queue]
	in = make([]bool, len(entries))
	stale := q.stale
	b.releaseRead(r)
	if stale {
		b.markRefillable(q.dest)
		return in
	}
	q.runs[0].next += uint32(len(entries))
	for i := range entries {
		if in[i] = b.removeSpilled(&entries[i]); in[i] {
			q.dest.inWindow++
		}
	}
	b.markRefillable(q.dest)
	return in
}

// RefillFailed completes a refill read that failed. Its messages are requested again after
// [Backlog.Retry].
func (b *Backlog) RefillFailed(r RefillRead) { b.releaseRead(r) }

// Retry makes the destination of a queue eligible for refill reads again.
func (b *Backlog) Retry(id QueueID) { b.markRefillable(b.queues[id].dest) }

// releaseRead ends a refill read and releases the window room reserved for it.
func (b *Backlog) releaseRead(r RefillRead) {
	q := b.queues[r.Queue]
	q.reading, q.stale = false, false
	q.dest.reserved -= int(r.N)
	b.inFlight -= int(r.N)
	if s := b.segmentStartingAt(r.Segment); s != nil {
		s.refillReads--
	}
}

// PutBack spills messages of one queue again that were refilled but could not be taken
// into memory. They must be in order, and PutBack must be called before the next
// [Backlog.RefillReads]. After [Backlog.Retry] they are the next messages of their queue.
func (b *Backlog) PutBack(id QueueID, items []Item) {
	q := b.queues[id]
	entries := make([]Entry, len(items))
	for i := range items {
		entries[i] = items[i].Entry
		s := b.segmentOf(entries[i].Seq)
		s.setRemoved(entries[i].Seq, false)
		b.addSpilled(&entries[i])
		b.expiring = push(b.expiring, items[i], earlier) // its expiry read may be done already
		q.dest.inWindow--
	}
	q.runs = slices.Insert(q.runs, 0,
		run{seg: b.segmentOf(entries[0].Seq), putBack: entries, n: uint32(len(entries))})
}
