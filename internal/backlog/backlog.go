package backlog

import (
	"math"
	"slices"
)

// QueueID identifies a [Queue] within one process.
type QueueID int32

// Queue names a FIFO queue of spilled messages: those of one tenant and class for one
// destination. Index blocks store it as CBOR under these field names.
type Queue struct{ Destination, Tenant, Class string }

// Options sets the bounds of a [Backlog].
type Options struct {
	Window      int // max messages of a destination in memory; at least 1
	Batch       int // max messages of one refill read; 0 for a default
	MaxInFlight int // max messages of all refill reads in flight; 0 for a default
}

const (
	defaultBatch       = 64   // of Options.Batch, in messages
	defaultMaxInFlight = 1024 // of Options.MaxInFlight, in messages
	// minFreeDivisor sets the part of a window, 1/8, that must be free for a refill
	// read: smaller reads are not worth their cost.
	minFreeDivisor = 8
	// LookaheadMicros is how long before its deadline a spilled message is read from
	// disk to expire it in time, in microseconds.
	LookaheadMicros = 1_000_000
	// maxExpiryBatch is the max number of messages of one expiry read.
	maxExpiryBatch = 1024
)

// Placement is where a new message goes.
type Placement int

// The placements.
const (
	InWindow  Placement = iota // into memory
	InBacklog                  // to disk
	// Rejected is the placement of a message whose order key has spilled messages in
	// another queue: the backlog keeps no order across queues, so the message can't be
	// accepted until those have left the backlog.
	Rejected
)

// Backlog decides which messages are in the windows and which are spilled. It is not
// safe for concurrent use.
type Backlog struct {
	opts              Options
	queues            []*queue
	queueIDs          map[Queue]QueueID
	destinations      map[string]*destination
	orderKeys         map[uint64]*orderKeyCount // order keys of spilled messages, by hash
	ids               idSet                     // of the spilled messages
	segments          []*segment                // by first sequence number; only the last one may be open
	refillable        []*destination            // FIFO of those that may have room for a refill read
	inFlight          int                       // messages of the refill reads in flight
	expiring          []Item                    // a heap by deadline: messages from expiry reads
	minUnreadDeadline int64                     // lower bound of the deadlines that no expiry read has requested
	spilled           int                       // number of spilled messages
}

// destination is the state of one destination.
type destination struct {
	name       string
	inWindow   int      // number of messages in the window
	reserved   int      // window room reserved for refill reads in flight
	spilled    int      // number of spilled messages
	queues     []*queue // those that have had messages since the backlog of the destination was last empty
	nextQueue  int      // index of the queue after the one read last
	refillable bool     // is in Backlog.refillable
	hasQueue   bool     // a queue refers to it
}

// queue is the state of one queue.
type queue struct {
	id      QueueID
	name    Queue
	dest    *destination
	runs    []run // those with unread messages, in order
	spilled int   // number of spilled messages
	reading bool  // a refill read is in flight
	listed  bool  // is in destination.queues
	stale   bool  // the queue became empty during the read in flight, whose result is dropped
}

// run is the messages of a queue in one segment, or messages that were put back.
type run struct {
	seg     *segment
	putBack []Entry // messages that were refilled and put back; nil for a run of a segment
	from    uint32  // its first position in the by-queue order, once the segment is sealed
	n       uint32  // number of its messages
	next    uint32  // number of those that have been read
}

// orderKeyCount counts the spilled messages of an order key, which are all in one queue.
type orderKeyCount struct {
	queue QueueID
	n     int
}

// New returns an empty Backlog.
func New(opts Options) *Backlog {
	opts.Window = max(opts.Window, 1)
	if opts.Batch <= 0 {
		opts.Batch = defaultBatch
	}
	if opts.MaxInFlight <= 0 {
		opts.MaxInFlight = defaultMaxInFlight
	}
	return &Backlog{opts: opts, queueIDs: map[Queue]QueueID{}, destinations: map[string]*destination{},
		orderKeys: map[uint64]*orderKeyCount{}, minUnreadDeadline: math.MaxInt64}
}

// Len returns the number of spilled messages.
func (b *Backlog) Len() int { return b.spilled }

// BacklogLen returns the number of spilled messages of a destination.
func (b *Backlog) BacklogLen(destination string) int {
	if d := b.destinations[destination]; d != nil {
		return d.spilled
	}
	return 0
}

// WindowLen returns the number of messages in the window of a destination.
func (b *Backlog) WindowLen(destination string) int {
	if d := b.destinations[destination]; d != nil {
		return d.inWindow
	}
	return 0
}

// Queue returns the ID of a queue, and assigns one if it has none.
func (b *Backlog) Queue(name Queue) QueueID {
	id, ok := b.queueIDs[name]
	if !ok {
		id = QueueID(len(b.queues))
		b.queueIDs[name] = id
		d := b.ensureDestination(name.Destination)
		d.hasQueue = true
		b.queues = append(b.queues, &queue{id: id, name: name, dest: d})
	}
	return id
}

// Name returns the queue that an ID identifies.
func (b *Backlog) Name(id QueueID) Queue { return b.queues[id].name }

// ensureDestination returns a destination, and adds it if there is none.
func (b *Backlog) ensureDestination(name string) *destination {
	d := b.destinations[name]
	if d == nil {
		d = &destination{name: name}
		b.destinations[name] = d
	}
	return d
}

// Place decides where a new message goes. While a destination has spilled messages,
// its new ones are spilled as well, so that older messages enter the window first.
// order is the hash of the order key, 0 for none.
func (b *Backlog) Place(destination string, name Queue, order uint64) Placement {
	if order != 0 {
		if k := b.orderKeys[order]; k != nil && b.queues[k.queue].name != name {
			return Rejected
		}
	}
	d := b.destinations[destination]
	if d == nil || d.spilled == 0 && d.inWindow+d.reserved < b.opts.Window {
		return InWindow
	}
	return InBacklog
}

// EnterWindow counts a message that entered the window of its destination without
// having been spilled.
func (b *Backlog) EnterWindow(destination string) { b.ensureDestination(destination).inWindow++ }

// LeaveWindow counts out a message that left the window of its destination, however
// it had entered it.
func (b *Backlog) LeaveWindow(destination string) {
	d := b.destinations[destination]
	if d == nil || d.inWindow == 0 {
		return
	}
	d.inWindow--
	b.markRefillable(d)
	if d.inWindow == 0 && !d.hasQueue {
		delete(b.destinations, d.name)
	}
}

// markRefillable lists a destination for refill reads, if it has spilled messages and
// room for them.
func (b *Backlog) markRefillable(d *destination) {
	if d.refillable || d.spilled == 0 || !b.hasRefillRoom(d) {
		return
	}
	d.refillable = true
	b.refillable = append(b.refillable, d)
}

// hasRefillRoom reports whether enough of a window is free for a refill read.
func (b *Backlog) hasRefillRoom(d *destination) bool {
	free := b.opts.Window - d.inWindow - d.reserved
	return free > 0 && (free >= b.opts.Window/minFreeDivisor || d.inWindow+d.reserved == 0)
}

// Open starts the segment whose first message has the sequence number first, and
// closes the one before.
func (b *Backlog) Open(first uint64) {
	b.Close()
	b.segments = append(b.segments, &segment{first: first, byQueue: map[QueueID][]uint32{}})
}

// Close closes the open segment, to which no message is added from then on. It returns
// the segment's entries by position, which the caller sorts with [SortEntries] and
// seals with [Backlog.Seal]; nil if no segment is open.
func (b *Backlog) Close() (first uint64, entries []Entry) {
	if s := b.lastSegment(); s != nil && !s.closed {
		s.closed = true
		return s.first, s.entries
	}
	return 0, nil
}

// lastSegment returns the newest segment; nil if there is none.
func (b *Backlog) lastSegment() *segment {
	if len(b.segments) == 0 {
		return nil
	}
	return b.segments[len(b.segments)-1]
}

// Add adds a spilled message once it is on disk, as durable as the sync setting
// requires. Its sequence number must be the next one of the open segment.
func (b *Backlog) Add(e Entry) {
	s := b.lastSegment()
	at := s.n
	s.n++
	s.live++
	if int(at/64) >= len(s.removed) {
		s.removed = append(s.removed, 0)
	}
	s.entries = append(s.entries, e)
	q := b.queues[e.Queue]
	if len(s.byQueue[e.Queue]) == 0 {
		q.runs = append(q.runs, run{seg: s})
	}
	q.runs[len(q.runs)-1].n++ // the run of the open segment is the last one
	s.byQueue[e.Queue] = append(s.byQueue[e.Queue], at)
	s.expiryHeap = push(s.expiryHeap, at, s.earlier)
	b.addTerms(s, e.Terms)
	b.addSpilled(&e)
	b.minUnreadDeadline = min(b.minUnreadDeadline, e.Deadline)
	b.markRefillable(q.dest)
}

// addTerms records the settings (terms) of a message with its segment.
func (b *Backlog) addTerms(s *segment, terms int64) {
	if !slices.Contains(s.terms, terms) {
		s.terms = append(s.terms, terms)
	}
}

// Terms returns the numbers of the settings (terms) under which spilled messages may
// have been accepted.
func (b *Backlog) Terms() (out []int64) {
	for _, s := range b.segments {
		for _, n := range s.terms {
			if !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// addSpilled counts a message as spilled.
func (b *Backlog) addSpilled(e *Entry) {
	b.ids.add(e.IDHash, e.Seq)
	if e.OrderHash != 0 {
		k := b.orderKeys[e.OrderHash]
		if k == nil {
			k = &orderKeyCount{queue: e.Queue}
			b.orderKeys[e.OrderHash] = k
		}
		k.n++
	}
	q := b.queues[e.Queue]
	if !q.listed {
		q.listed = true
		q.dest.queues = append(q.dest.queues, q)
	}
	q.spilled++
	q.dest.spilled++
	b.spilled++
}

// removeSpilled counts a message as no longer spilled. It reports whether it was.
func (b *Backlog) removeSpilled(e *Entry) bool {
	s := b.segmentOf(e.Seq)
	if s == nil || s.isRemoved(e.Seq) {
		return false
	}
	s.setRemoved(e.Seq, true)
	b.ids.remove(e.IDHash, e.Seq)
	if k := b.orderKeys[e.OrderHash]; e.OrderHash != 0 && k != nil {
		if k.n--; k.n == 0 {
			delete(b.orderKeys, e.OrderHash)
		}
	}
	q := b.queues[e.Queue]
	q.spilled--
	q.dest.spilled--
	b.spilled--
	if q.spilled == 0 {
		q.clearRuns()
	}
	if q.dest.spilled == 0 { // the next backlog of the destination lists its queues anew
		for _, q := range q.dest.queues {
			q.listed = false
		}
		q.dest.queues, q.dest.nextQueue = nil, 0
	}
	return true
}

// clearRuns drops the runs of a queue that has no spilled messages left, except for the
// run of the open segment.
func (q *queue) clearRuns() {
	q.stale = q.reading
	if n := len(q.runs); n > 0 && !q.runs[n-1].isComplete() {
		r := q.runs[n-1]
		r.next = r.n
		q.runs = append(q.runs[:0], r)
		return
	}
	q.runs = nil
}

// segmentOf returns the segment that has a sequence number; nil if there is none.
func (b *Backlog) segmentOf(seq uint64) *segment {
	i, ok := slices.BinarySearchFunc(b.segments, seq, func(s *segment, seq uint64) int {
		switch {
		case s.first > seq:
			return 1
		case s.first < seq:
			return -1
		}
		return 0
	})
	if !ok {
		i--
	}
	if i < 0 || seq-b.segments[i].first >= uint64(b.segments[i].n) {
		return nil
	}
	return b.segments[i]
}

// Find returns the location, for [Backlog.Resolve], of a spilled message whose id has
// this hash; 0 if there is none. It reads nothing: the message may turn out to have
// another id.
func (b *Backlog) Find(idHash uint64) uint32 { return b.ids.find(idHash) }

// Resolve returns the segment and the position in it of a message that Find has found,
// and its entry if that is in memory. ok is false if the message is no longer spilled.
func (b *Backlog) Resolve(location uint32) (first uint64, at uint32, e *Entry, ok bool) {
	for _, s := range b.segments {
		// Folded sequence numbers are unambiguous as long as a backlog spans fewer than 2³²−1 of them.
		at := uint64(location) - uint64(foldSeq(s.first))
		if location < foldSeq(s.first) {
			at += 1<<32 - 1
		}
		if at >= uint64(s.n) || s.isRemoved(s.first+at) {
			continue
		}
		if !s.sealed {
			e = &s.entries[at]
		}
		return s.first, uint32(at), e, true
	}
	return 0, 0, nil, false
}

// Seal marks a closed segment as sealed: its index block is on disk. byDeadline and
// runs are the results of [SortEntries]. The segment's entries are dropped from memory.
func (b *Backlog) Seal(first uint64, byDeadline []uint32, runs []Run) {
	s := b.segmentStartingAt(first)
	if s == nil || s.sealed || !s.closed {
		return
	}
	for _, r := range runs {
		q := b.queues[r.Queue]
		for i := range q.runs {
			if q.runs[i].seg == s && q.runs[i].putBack == nil {
				q.runs[i].from = r.From
			}
		}
	}
	// The requested messages are the first of the order, except among equal deadlines: all from the first one that
	// may not have been requested are requested again. A message that is read twice still expires once.
	s.requested, s.nextDeadline = s.n, math.MaxInt64
	if len(s.expiryHeap) > 0 {
		s.nextDeadline = s.entries[s.expiryHeap[0]].Deadline
		for i, at := range byDeadline {
			if s.entries[at].Deadline >= s.nextDeadline {
				s.requested = uint32(i)
				break
			}
		}
	}
	s.sealed, s.entries, s.byQueue, s.expiryHeap = true, nil, nil, nil
}

// segmentStartingAt returns the segment with that first sequence number; nil if there is none.
func (b *Backlog) segmentStartingAt(first uint64) *segment {
	if s := b.segmentOf(first); s != nil && s.first == first {
		return s
	}
	return nil
}

// Restore adds a sealed segment of an earlier process. Segments must be restored in the
// order of their sequence numbers. removed reports whether a message is no longer
// spilled; byDeadline and runs are those of the segment's index block.
func (b *Backlog) Restore(first uint64, entries []Entry, removed func(seq uint64) bool, byDeadline []uint32,
	runs []Run) {
	s := &segment{first: first, n: uint32(len(entries)), removed: make([]uint64, (len(entries)+63)/64),
		live: uint32(len(entries)), closed: true, sealed: true}
	b.segments = append(b.segments, s)
	for i := range entries {
		if removed(entries[i].Seq) {
			s.setRemoved(entries[i].Seq, true)
			continue
		}
		b.addTerms(s, entries[i].Terms)
		b.addSpilled(&entries[i])
	}
	for _, r := range runs {
		q := b.queues[r.Queue]
		q.runs = append(q.runs, run{seg: s, from: r.From, n: r.N})
		b.markRefillable(q.dest)
	}
	s.nextDeadline = math.MaxInt64
	if len(byDeadline) > 0 {
		s.nextDeadline = entries[byDeadline[0]].Deadline
	}
	b.minUnreadDeadline = min(b.minUnreadDeadline, s.nextDeadline)
}

// Overlaps reports whether a segment has any of the sequence numbers first to last.
func (b *Backlog) Overlaps(first, last uint64) bool {
	return slices.ContainsFunc(b.segments,
		func(s *segment) bool { return s.first <= last && first < s.first+uint64(s.n) })
}

// ReclaimedSegment is a segment without spilled messages: its first sequence number and
// the number of its messages.
type ReclaimedSegment struct{ First, N uint64 }

// Reclaim drops and returns the sealed segments that have no spilled message and no read
// in flight: their files may be removed.
func (b *Backlog) Reclaim() (list []ReclaimedSegment) {
	b.segments = slices.DeleteFunc(b.segments, func(s *segment) bool {
		if s.live > 0 || !s.closed || s.readingExpiry || s.refillReads > 0 || !s.sealed {
			return false
		}
		for _, q := range b.queues {
			q.runs = slices.DeleteFunc(q.runs, func(r run) bool { return r.seg == s })
		}
		list = append(list, ReclaimedSegment{s.first, uint64(s.n)})
		return true
	})
	return list
}
