package backlog

import (
	"math"
	"slices"
)

// QueueID is the number of a lane in one process.
type QueueID int32

// Queue is what is kept in order behind the window: the messages of one tenant and
// class for one destination.
type Queue struct{ Destination, Tenant, Class string }

// Options bound a backlog.
type Options struct {
	Window      int // messages of a destination in the module; at least 1
	Batch       int // messages in one read at most; 0 for a default
	MaxInFlight int // messages that reads may have out at once; 0 for a default
}

const (
	defaultBatch = 64
	defaultOut   = 1024
	// lowPart is the part of the window that has to be free before a read is worth it.
	lowPart = 8
	// LookaheadMicros is how long before its time is over a message's end is read, in
	// microseconds.
	LookaheadMicros = 1_000_000
	// dueBatch is the most ends that are read at once.
	dueBatch = 1024
)

// Placement says where a new message goes.
type Placement int

// The verdicts.
const (
	InWindow  Placement = iota // into the module
	InBacklog                  // to the disk
	// Rejected is that of a message whose order key has messages behind the window of
	// another lane: no order over lanes is kept behind it, so it is not taken on yet.
	Rejected
)

// Backlog decides what comes into the window. It is not safe for concurrent use.
type Backlog struct {
	opts     Options
	lanes    []*lane
	byName   map[Queue]QueueID
	dests    map[string]*destination
	keys     map[uint64]*keyCount // order keys that have messages behind the window
	ids      ids
	segments []*segment     // by number; only the last one is not closed
	wanting  []*destination // may have room for a read, in turn
	out      int            // messages that reads have out
	near     []Item         // a heap by deadline: messages whose time is over soon
	soonest  int64          // no deadline that has not been asked for comes before
	behind   int
}

type destination struct {
	name    string
	in      int // messages in the module
	coming  int // room that reads have out
	behind  int
	lanes   []*lane // those that ever had messages behind the window
	turn    int     // the lane after the one that was read last
	wanting bool
	named   bool // by a lane
}

type lane struct {
	id      QueueID
	name    Queue
	dest    *destination
	runs    []run // those that are not read, in order
	behind  int
	reading bool
	listed  bool // among the destination's
	stale   bool // nothing that the read that is out brings is behind the window any more
}

// run is a lane's messages in a segment, or those that came back.
type run struct {
	seg  *segment
	back []Entry // came back: they could not be taken into the window
	from uint32  // in the order of lanes, once the segment has an index block
	n    uint32
	next uint32
}

// keyCount is where the messages of an order key are that wait behind the window.
type keyCount struct {
	lane QueueID
	n    int
}

// New makes an empty one.
func New(opts Options) *Backlog {
	opts.Window = max(opts.Window, 1)
	if opts.Batch <= 0 {
		opts.Batch = defaultBatch
	}
	if opts.MaxInFlight <= 0 {
		opts.MaxInFlight = defaultOut
	}
	return &Backlog{opts: opts, byName: map[Queue]QueueID{}, dests: map[string]*destination{}, keys: map[uint64]*keyCount{}, soonest: math.MaxInt64}
}

// Len is the number of messages behind the window.
func (b *Backlog) Len() int { return b.behind }

// BacklogLen is the number of messages behind the window of a destination, and In of
// those in it.
func (b *Backlog) BacklogLen(destination string) int {
	if d := b.dests[destination]; d != nil {
		return d.behind
	}
	return 0
}

// WindowLen is the number of messages of a destination that the module has.
func (b *Backlog) WindowLen(destination string) int {
	if d := b.dests[destination]; d != nil {
		return d.in
	}
	return 0
}

// Queue gives a lane its number.
func (b *Backlog) Queue(name Queue) QueueID {
	id, ok := b.byName[name]
	if !ok {
		id = QueueID(len(b.lanes))
		b.byName[name] = id
		d := b.dest(name.Destination)
		d.named = true
		b.lanes = append(b.lanes, &lane{id: id, name: name, dest: d})
	}
	return id
}

// Name is the lane of a number.
func (b *Backlog) Name(id QueueID) Queue { return b.lanes[id].name }

func (b *Backlog) dest(name string) *destination {
	d := b.dests[name]
	if d == nil {
		d = &destination{name: name}
		b.dests[name] = d
	}
	return d
}

// Place says where a new message goes. One of a destination that has messages
// behind its window goes behind it too: what came first goes first.
func (b *Backlog) Place(destination string, name Queue, order uint64) Placement {
	if order != 0 {
		if k := b.keys[order]; k != nil && b.lanes[k.lane].name != name {
			return Rejected
		}
	}
	d := b.dests[destination]
	if d == nil || d.behind == 0 && d.in+d.coming < b.opts.Window {
		return InWindow
	}
	return InBacklog
}

// EnterWindow counts a message that the module has been given past the backlog.
func (b *Backlog) EnterWindow(destination string) { b.dest(destination).in++ }

// LeaveWindow counts a message out that the module has had, whichever way it came.
func (b *Backlog) LeaveWindow(destination string) {
	d := b.dests[destination]
	if d == nil || d.in == 0 {
		return
	}
	d.in--
	b.want(d)
	if d.in == 0 && !d.named {
		delete(b.dests, d.name)
	}
}

// want has a destination looked at for reads, if it may have room for one.
func (b *Backlog) want(d *destination) {
	if d.wanting || d.behind == 0 || !b.room(d) {
		return
	}
	d.wanting = true
	b.wanting = append(b.wanting, d)
}

// room says whether so much of a window is free that a read is worth it.
func (b *Backlog) room(d *destination) bool {
	free := b.opts.Window - d.in - d.coming
	return free > 0 && (free >= b.opts.Window/lowPart || d.in+d.coming == 0)
}

// Open begins a segment whose first message has the number first. The one before is
// closed with it.
func (b *Backlog) Open(first uint64) {
	b.Close()
	b.segments = append(b.segments, &segment{first: first, lists: map[QueueID][]uint32{}})
}

// Close closes the segment that is written: nothing is added to it any more. Its
// entries, by place, are to be sorted and sealed; nil if there is none.
func (b *Backlog) Close() (first uint64, entries []Entry) {
	if s := b.last(); s != nil && !s.closed {
		s.closed = true
		return s.first, s.entries
	}
	return 0, nil
}

func (b *Backlog) last() *segment {
	if len(b.segments) == 0 {
		return nil
	}
	return b.segments[len(b.segments)-1]
}

// Add takes a message on behind the window that is on the disk, as safe as was
// promised. Its number is the next one of the segment that is written.
func (b *Backlog) Add(e Entry) {
	s := b.last()
	at := s.n
	s.n++
	s.left++
	if int(at/64) >= len(s.gone) {
		s.gone = append(s.gone, 0)
	}
	s.entries = append(s.entries, e)
	l := b.lanes[e.Queue]
	if len(s.lists[e.Queue]) == 0 {
		l.runs = append(l.runs, run{seg: s})
	}
	l.runs[len(l.runs)-1].n++ // that of the segment: it is the last one as long as it is written
	s.lists[e.Queue] = append(s.lists[e.Queue], at)
	s.waiting = push(s.waiting, at, s.sooner)
	b.noteTerms(s, e.Terms)
	b.count(&e)
	b.soonest = min(b.soonest, e.Deadline)
	b.want(l.dest)
}

func (b *Backlog) noteTerms(s *segment, terms int64) {
	if !slices.Contains(s.terms, terms) {
		s.terms = append(s.terms, terms)
	}
}

// Terms are the numbers of terms that messages behind the window may be held to.
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

// count books a message as behind the window.
func (b *Backlog) count(e *Entry) {
	b.ids.add(e.IDHash, e.Seq)
	if e.OrderHash != 0 {
		k := b.keys[e.OrderHash]
		if k == nil {
			k = &keyCount{lane: e.Queue}
			b.keys[e.OrderHash] = k
		}
		k.n++
	}
	l := b.lanes[e.Queue]
	if !l.listed {
		l.listed = true
		l.dest.lanes = append(l.dest.lanes, l)
	}
	l.behind++
	l.dest.behind++
	b.behind++
}

// take books a message as no longer behind the window; false if it is not.
func (b *Backlog) take(e *Entry) bool {
	s := b.segment(e.Seq)
	if s == nil || s.isGone(e.Seq) {
		return false
	}
	s.setGone(e.Seq, true)
	b.ids.remove(e.IDHash, e.Seq)
	if k := b.keys[e.OrderHash]; e.OrderHash != 0 && k != nil {
		if k.n--; k.n == 0 {
			delete(b.keys, e.OrderHash)
		}
	}
	l := b.lanes[e.Queue]
	l.behind--
	l.dest.behind--
	b.behind--
	if l.behind == 0 {
		l.clear()
	}
	if l.dest.behind == 0 { // their order begins anew with the next backlog
		for _, l := range l.dest.lanes {
			l.listed = false
		}
		l.dest.lanes, l.dest.turn = nil, 0
	}
	return true
}

// clear drops the runs of a lane that has nothing behind the window any more, but for
// that of the segment that is written.
func (l *lane) clear() {
	l.stale = l.reading
	if n := len(l.runs); n > 0 && !l.runs[n-1].done() {
		r := l.runs[n-1]
		r.next = r.n
		l.runs = append(l.runs[:0], r)
		return
	}
	l.runs = nil
}

// segment is the one that a number lies in; nil if there is none.
func (b *Backlog) segment(seq uint64) *segment {
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

// Find says where a message may be that has this hash of its id, by the number that
// [Backlog.Resolve] takes; 0 if none is behind the window. It reads nothing: a
// message that is found may prove to be another one.
func (b *Backlog) Find(id uint64) uint32 { return b.ids.find(id) }

// Resolve tells the segment and the place in it of what Find has found, and the
// entry if it is in memory; false if it is gone.
func (b *Backlog) Resolve(found uint32) (first uint64, at uint32, e *Entry, ok bool) {
	for _, s := range b.segments {
		// Numbers are folded: in one backlog there are fewer than would meet themselves.
		at := uint64(found) - uint64(fold(s.first))
		if found < fold(s.first) {
			at += 1<<32 - 1
		}
		if at >= uint64(s.n) || s.isGone(s.first+at) {
			continue
		}
		if !s.sealed {
			e = &s.entries[at]
		}
		return s.first, uint32(at), e, true
	}
	return 0, 0, nil, false
}

// Seal tells that a closed segment's index block is on the disk, with what [SortEntries]
// has made of its entries. Its entries are forgotten.
func (b *Backlog) Seal(first uint64, byDeadline []uint32, runs []Run) {
	s := b.exact(first)
	if s == nil || s.sealed || !s.closed {
		return
	}
	for _, r := range runs {
		l := b.lanes[r.Queue]
		for i := range l.runs {
			if l.runs[i].seg == s && l.runs[i].back == nil {
				l.runs[i].from = r.From
			}
		}
	}
	// Those that were asked for are the first ones of the order, but for equal deadlines: from the first that
	// may not have been, all are asked for again. One that is told twice ends once.
	s.asked, s.due = s.n, math.MaxInt64
	if len(s.waiting) > 0 {
		s.due = s.entries[s.waiting[0]].Deadline
		for i, at := range byDeadline {
			if s.entries[at].Deadline >= s.due {
				s.asked = uint32(i)
				break
			}
		}
	}
	s.sealed, s.entries, s.lists, s.waiting = true, nil, nil, nil
}

func (b *Backlog) exact(first uint64) *segment {
	if s := b.segment(first); s != nil && s.first == first {
		return s
	}
	return nil
}

// Restore takes on a segment that an earlier process has left, and that has its
// index block. Segments come in the order of their numbers. gone says which messages
// are no longer behind the window; byLane is the order of lanes.
func (b *Backlog) Restore(first uint64, entries []Entry, gone func(seq uint64) bool, byDeadline []uint32, runs []Run) {
	s := &segment{first: first, n: uint32(len(entries)), gone: make([]uint64, (len(entries)+63)/64), left: uint32(len(entries)), closed: true, sealed: true}
	b.segments = append(b.segments, s)
	for i := range entries {
		if gone(entries[i].Seq) {
			s.setGone(entries[i].Seq, true)
			continue
		}
		b.noteTerms(s, entries[i].Terms)
		b.count(&entries[i])
	}
	for _, r := range runs {
		l := b.lanes[r.Queue]
		l.runs = append(l.runs, run{seg: s, from: r.From, n: r.N})
		b.want(l.dest)
	}
	s.due = math.MaxInt64
	if len(byDeadline) > 0 {
		s.due = entries[byDeadline[0]].Deadline
	}
	b.soonest = min(b.soonest, s.due)
}

// Overlaps says whether a segment has one of the numbers from first to last.
func (b *Backlog) Overlaps(first, last uint64) bool {
	return slices.ContainsFunc(b.segments, func(s *segment) bool { return s.first <= last && first < s.first+uint64(s.n) })
}

// ReclaimedSegment is a segment of which nothing is behind the window any more: its first
// number, and how many it has.
type ReclaimedSegment struct{ First, N uint64 }

// Reclaim lists the closed segments of which nothing is behind the window any more,
// and that no read is out for: their files may go. They are forgotten.
func (b *Backlog) Reclaim() (list []ReclaimedSegment) {
	b.segments = slices.DeleteFunc(b.segments, func(s *segment) bool {
		if s.left > 0 || !s.closed || s.reading || s.out > 0 || !s.sealed {
			return false
		}
		for _, l := range b.lanes {
			l.runs = slices.DeleteFunc(l.runs, func(r run) bool { return r.seg == s })
		}
		list = append(list, ReclaimedSegment{s.first, uint64(s.n)})
		return true
	})
	return list
}
