package backlog

import "slices"

// RefillRead asks for messages that are next in a lane: N from the place From on of the
// order of lanes, or, of a segment without an index block, Entries.
type RefillRead struct {
	Queue   QueueID
	Segment uint64 // its first number
	From, N uint32
	Entries []Entry
}

// RefillReads tells what is to be read now, fairly over destinations, and over the lanes
// of each. Each is to be answered by [Backlog.RefillDone] or [Backlog.RefillFailed].
func (b *Backlog) RefillReads() (out []RefillRead) {
	for len(b.wanting) > 0 && b.out+b.opts.Batch <= b.opts.MaxInFlight {
		d := b.wanting[0]
		b.wanting = b.wanting[1:]
		d.wanting = false
		if r, ok := b.read(d); ok {
			out = append(out, r)
			b.want(d) // once more, after the others
		}
	}
	return out
}

// read picks the next lane of a destination in turn.
func (b *Backlog) read(d *destination) (RefillRead, bool) {
	free := b.opts.Window - d.in - d.coming
	if free <= 0 {
		return RefillRead{}, false
	}
	waiting := 0
	for _, l := range d.lanes {
		if l.behind > 0 {
			waiting++
		}
	}
	most := min(b.opts.Batch, max(free/max(waiting, 1), 1))
	for i := range d.lanes {
		l := d.lanes[(d.turn+i)%len(d.lanes)]
		for len(l.runs) > 0 && l.runs[0].next >= l.runs[0].n && l.runs[0].done() {
			l.runs = l.runs[1:]
		}
		if l.reading || len(l.runs) == 0 || l.runs[0].next >= l.runs[0].n {
			continue
		}
		d.turn = (d.turn + i + 1) % len(d.lanes)
		return b.readLane(l, uint32(most)), true
	}
	return RefillRead{}, false
}

// done says whether nothing is added to a run any more.
func (r *run) done() bool { return r.back != nil || r.seg.closed }

func (b *Backlog) readLane(l *lane, most uint32) RefillRead {
	r := &l.runs[0]
	n := min(r.n-r.next, most)
	out := RefillRead{Queue: l.id, Segment: r.seg.first, From: r.from + r.next, N: n}
	switch {
	case r.back != nil:
		out.Entries = r.back[r.next : r.next+n]
	case !r.seg.sealed:
		for _, at := range r.seg.lists[l.id][r.next : r.next+n] {
			out.Entries = append(out.Entries, r.seg.entries[at])
		}
	}
	l.reading = true
	r.seg.out++
	l.dest.coming += int(n)
	b.out += int(n)
	return out
}

// RefillDone takes what has been read: the entries of the first so many messages that were
// asked for. It returns which of them come into the window now; the others have
// ended meanwhile.
func (b *Backlog) RefillDone(r RefillRead, entries []Entry) (in []bool) {
	l := b.lanes[r.Queue]
	in = make([]bool, len(entries))
	stale := l.stale
	b.answered(r)
	if stale {
		b.want(l.dest)
		return in
	}
	l.runs[0].next += uint32(len(entries))
	for i := range entries {
		if in[i] = b.take(&entries[i]); in[i] {
			l.dest.in++
		}
	}
	b.want(l.dest)
	return in
}

// RefillFailed takes a read that could not be made. It is made again after a
// [Backlog.Retry].
func (b *Backlog) RefillFailed(r RefillRead) { b.answered(r) }

// Retry has a lane's destination looked at again.
func (b *Backlog) Retry(id QueueID) { b.want(b.lanes[id].dest) }

func (b *Backlog) answered(r RefillRead) {
	l := b.lanes[r.Queue]
	l.reading, l.stale = false, false
	l.dest.coming -= int(r.N)
	b.out -= int(r.N)
	if s := b.exact(r.Segment); s != nil {
		s.out--
	}
}

// PutBack takes messages of one lane back, in order, that came and could not be taken
// into the module. It is called before the next [Backlog.RefillReads]. They are the next
// ones of their lane again, after a [Backlog.Retry].
func (b *Backlog) PutBack(id QueueID, items []Item) {
	l := b.lanes[id]
	entries := make([]Entry, len(items))
	for i := range items {
		entries[i] = items[i].Entry
		s := b.segment(entries[i].Seq)
		s.setGone(entries[i].Seq, false)
		b.count(&entries[i])
		b.near = push(b.near, items[i], sooner) // its end may have been read before
		l.dest.in--
	}
	l.runs = slices.Insert(l.runs, 0, run{seg: b.segment(entries[0].Seq), back: entries, n: uint32(len(entries))})
}
