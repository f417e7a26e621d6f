package backlog

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// message is a message as the model knows it.
type message struct {
	entry   Entry
	lane    Queue
	order   uint64
	arrived int
	state   state
}

type state int

const (
	stateBehind state = iota
	stateIn
	stateOver      // it has ended, in the window or behind it
	stateForgotten // before a restart: it was in the window and is the journal's
)

// model is a plain list of all messages, with a disk that does what it is told late, in
// any order and not always.
type model struct {
	t        *rapid.T
	b        *Backlog
	window   int
	now      int64
	all      []*message
	bySeq    map[uint64]*message
	seq      uint64
	written  uint64 // the first number of the segment that is written; 0 for none
	files    map[uint64]*file
	reads    []RefillRead
	dues     []ExpiryRead
	failed   []QueueID
	arrivals int
	skipped  map[QueueID]int // reads of the destination since this lane had one, while it could have
}

type file struct {
	entries            []Entry
	closed, sealed     bool
	byLane, byDeadline []uint32
	runs               []Run
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, window: rapid.IntRange(1, 6).Draw(t, "window"), now: 1_000_000, bySeq: map[uint64]*message{}, files: map[uint64]*file{}, seq: 1,
		skipped: map[QueueID]int{}}
	m.b = New(m.opts())
	return m
}

func (m *model) opts() Options { return Options{Window: m.window, Batch: 3, MaxInFlight: 12} }

// put hands a message in.
func (m *model) put() {
	lane := Queue{fmt.Sprint("d", rapid.IntRange(0, 2).Draw(m.t, "destination")), fmt.Sprint("t", rapid.IntRange(0, 1).Draw(m.t, "tenant")),
		fmt.Sprint("c", rapid.IntRange(0, 1).Draw(m.t, "class"))}
	order := uint64(0)
	if lane.Class == "c1" {
		order = uint64(rapid.IntRange(0, 3).Draw(m.t, "order"))
	}
	msg := &message{lane: lane, order: order, arrived: m.arrivals}
	elsewhere := slices.ContainsFunc(m.all, func(x *message) bool {
		return x.state == stateBehind && x.order == order && order != 0 && x.lane != lane
	})
	verdict := m.b.Place(lane.Destination, lane, order)
	if (verdict == Rejected) != elsewhere {
		m.t.Fatalf("verdict %v of a message of %v with key %d", verdict, lane, order)
	}
	m.arrivals++
	switch verdict {
	case InWindow:
		if n := m.count(lane.Destination, stateBehind); n > 0 {
			m.t.Fatalf("a message went into the window past %d", n)
		}
		m.b.EnterWindow(lane.Destination)
		msg.state = stateIn
		m.all = append(m.all, msg)
	case InBacklog:
		if m.written == 0 || len(m.files[m.written].entries) == 7 {
			m.written = (m.seq + 15) / 16 * 16
			m.seq = m.written
			if first, entries := m.b.Close(); entries != nil {
				m.files[first].closed = true
			}
			m.b.Open(m.written)
			m.files[m.written] = &file{}
		}
		msg.entry = Entry{Seq: m.seq, IDHash: m.seq * 0x9e3779b97f4a7c15, OrderHash: order, Queue: m.b.Queue(lane), Terms: int64(m.seq % 2),
			Deadline: m.now + int64(rapid.IntRange(0, 4_000_000).Draw(m.t, "time"))}
		m.seq++
		f := m.files[m.written]
		f.entries = append(f.entries, msg.entry)
		m.b.Add(msg.entry)
		m.bySeq[msg.entry.Seq] = msg
		m.all = append(m.all, msg)
	}
}

func (m *model) count(destination string, s state) (n int) {
	for _, x := range m.all {
		if x.lane.Destination == destination && x.state == s {
			n++
		}
	}
	return n
}

// seal writes an index block.
func (m *model) seal() {
	for first, f := range m.files {
		if f.closed && !f.sealed {
			f.byLane, f.byDeadline, f.runs = SortEntries(f.entries)
			f.sealed = true
			m.b.Seal(first, f.byDeadline, f.runs)
			return
		}
	}
}

// ask takes what is to be read.
func (m *model) ask() {
	for _, r := range m.b.RefillReads() {
		m.fair(r)
		m.reads = append(m.reads, r)
	}
	m.dues = append(m.dues, m.b.ExpiryReads(m.now)...)
	for d, n := range m.inFlight() {
		if in := m.count(d, stateIn); in+n > max(m.window, in) {
			m.t.Fatalf("%s has %d in the window of %d and %d coming", d, in, m.window, n)
		}
	}
}

func (m *model) inFlight() map[string]int {
	out := map[string]int{}
	for _, r := range m.reads {
		out[m.b.Name(r.Queue).Destination] += int(r.N)
	}
	return out
}

// fair sees that no lane waits while the others of its destination are read again and again.
func (m *model) fair(r RefillRead) {
	d := m.b.Name(r.Queue).Destination
	for _, l := range m.b.lanes {
		switch {
		case l.name.Destination != d:
		case l.id == r.Queue || l.reading || l.behind == 0:
			m.skipped[l.id] = 0
		default:
			if m.skipped[l.id]++; m.skipped[l.id] > 4 {
				m.t.Fatalf("%v waits while others of its destination are read", l.name)
			}
		}
	}
}

// entries are what a read finds on the disk.
func (m *model) entries(r RefillRead) []Entry {
	if r.Entries != nil {
		return r.Entries
	}
	f := m.files[r.Segment]
	if f == nil {
		m.t.Fatalf("a read of a segment that is gone: %+v", r)
	}
	var out []Entry
	for _, at := range f.byLane[r.From : r.From+r.N] {
		out = append(out, f.entries[at])
	}
	return out
}

// answer answers one of the reads, in part or with a failure, or takes what has come back.
func (m *model) answer() {
	if len(m.reads) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reads)-1).Draw(m.t, "read")
	r := m.reads[i]
	m.reads = slices.Delete(m.reads, i, i+1)
	switch rapid.IntRange(0, 5).Draw(m.t, "answer") {
	case 0:
		m.b.RefillFailed(r)
		m.failed = append(m.failed, r.Queue)
	case 1:
		m.came(r, m.entries(r)[:1], true)
	default:
		m.came(r, m.entries(r), false)
	}
}

func (m *model) came(r RefillRead, entries []Entry, back bool) {
	var returned []Item
	for i, in := range m.b.RefillDone(r, entries) {
		e := entries[i]
		x := m.bySeq[e.Seq]
		if !in {
			continue
		}
		if x.state != stateBehind {
			m.t.Fatalf("message %d comes in state %d", e.Seq, x.state)
		}
		for _, y := range m.all {
			if y.state == stateBehind && y.entry.Seq < e.Seq && (y.lane == x.lane || y.order == x.order && x.order != 0) {
				m.t.Fatalf("message %d comes before %d, which came first", e.Seq, y.entry.Seq)
			}
		}
		if back && x.entry.Seq%2 == 0 || len(returned) > 0 { // it can't be taken into the module, nor can what follows
			returned = append(returned, Item{e, e.Seq})
		}
		x.state = stateIn
	}
	if len(returned) > 0 {
		if len(m.dues) > 0 {
			m.answerDue()
		}
		m.end()
		m.b.PutBack(r.Queue, returned)
		for _, e := range returned {
			m.bySeq[e.Seq].state = stateBehind
		}
		m.failed = append(m.failed, r.Queue)
	}
}

// answerDue answers one of the reads of ends.
func (m *model) answerDue() {
	if len(m.dues) == 0 {
		return
	}
	r := m.dues[0]
	m.dues = m.dues[1:]
	if rapid.IntRange(0, 4).Draw(m.t, "fails") == 0 {
		m.b.ExpiryReadFailed(r)
		return
	}
	if r.Entries != nil {
		m.b.ExpiryReadDone(r, items(r.Entries), math.MaxInt64)
		return
	}
	f := m.files[r.Segment]
	if f == nil {
		m.t.Fatalf("ends are read of a segment that is gone: %+v", r)
	}
	var list []Entry
	for _, at := range f.byDeadline[r.From : r.From+r.N] {
		list = append(list, f.entries[at])
	}
	after := int64(math.MaxInt64)
	if int(r.From+r.N) < len(f.byDeadline) {
		after = f.entries[f.byDeadline[r.From+r.N]].Deadline
	}
	m.b.ExpiryReadDone(r, items(list), after)
}

// items has the number wanted back of each message.
func items(list []Entry) (out []Item) {
	for _, e := range list {
		out = append(out, Item{e, e.Seq})
	}
	return out
}

// end ends what is over behind the window.
func (m *model) end() {
	for {
		e, ok := m.b.PopExpired(m.now)
		if !ok {
			return
		}
		x := m.bySeq[e.Seq]
		if e.Payload != e.Seq {
			m.t.Fatalf("message %d ends with what is wanted back of %v", e.Seq, e.Payload)
		}
		if x.state != stateBehind || x.entry.Deadline > m.now {
			m.t.Fatalf("message %d ends in state %d, %d before its time", e.Seq, x.state, x.entry.Deadline-m.now)
		}
		x.state = stateOver
	}
}

// leave ends a message in the window.
func (m *model) leave() {
	for _, x := range m.all {
		if x.state == stateIn && rapid.IntRange(0, 2).Draw(m.t, "ends") == 0 {
			x.state = stateOver
			m.b.LeaveWindow(x.lane.Destination)
			return
		}
	}
}

func (m *model) retry() {
	for _, l := range m.failed {
		m.b.Retry(l)
	}
	m.failed = nil
}

func (m *model) tidy() {
	for _, x := range m.b.Reclaim() {
		first := x.First
		delete(m.files, first)
		for _, r := range m.reads {
			if r.Segment == first {
				m.t.Fatalf("a segment may go that a read is out for")
			}
		}
	}
}

// restart makes a new backlog from the files. What was in the window is the journal's, and goes into the
// window first.
func (m *model) restart() {
	m.b = New(m.opts())
	m.reads, m.dues, m.failed, m.written, m.skipped = nil, nil, nil, 0, map[QueueID]int{}
	firsts := []uint64{}
	for first := range m.files {
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	for _, first := range firsts {
		f := m.files[first]
		for i := range f.entries {
			f.entries[i].Queue = m.b.Queue(m.bySeq[f.entries[i].Seq].lane)
		}
		f.closed, f.sealed = true, true
		f.byLane, f.byDeadline, f.runs = SortEntries(f.entries)
		m.b.Restore(first, f.entries, func(seq uint64) bool { return m.bySeq[seq].state != stateBehind }, f.byDeadline, f.runs)
	}
	for _, x := range m.all {
		if x.state == stateIn {
			m.b.EnterWindow(x.lane.Destination)
		}
	}
}

// check holds the books against the list.
func (m *model) check() {
	behind := map[string]int{}
	terms := map[int64]bool{}
	for _, x := range m.all {
		if x.state != stateBehind {
			if first, at, _, ok := m.b.Resolve(m.b.Find(x.entry.IDHash)); x.entry.IDHash != 0 && ok {
				m.t.Fatalf("message %d is found at %d of %d and is in state %d", x.entry.Seq, at, first, x.state)
			}
			continue
		}
		behind[x.lane.Destination]++
		terms[x.entry.Terms] = true
		first, at, e, ok := m.b.Resolve(m.b.Find(x.entry.IDHash))
		if !ok || first+uint64(at) != x.entry.Seq || e != nil && e.Seq != x.entry.Seq {
			m.t.Fatalf("message %d is found at %d of %d, %v", x.entry.Seq, at, first, ok)
		}
	}
	total := 0
	for i := range 3 {
		d := fmt.Sprint("d", i)
		total += behind[d]
		if m.b.BacklogLen(d) != behind[d] || m.b.WindowLen(d) != m.count(d, stateIn) {
			m.t.Fatalf("%s has %d behind and %d in the window, want %d and %d", d, m.b.BacklogLen(d), m.b.WindowLen(d), behind[d], m.count(d, stateIn))
		}
	}
	if m.b.Len() != total || m.b.ids.n != total {
		m.t.Fatalf("%d behind, %d ids, want %d", m.b.Len(), m.b.ids.n, total)
	}
	for n := range terms {
		if !slices.Contains(m.b.Terms(), n) {
			m.t.Fatalf("terms %d are forgotten", n)
		}
	}
}

// drain answers everything until nothing moves any more.
func (m *model) drain() {
	for range 10_000 {
		m.retry()
		m.ask()
		m.end()
		if len(m.reads)+len(m.dues) == 0 {
			return
		}
		for _, r := range m.reads {
			m.reads = m.reads[1:]
			m.came(r, m.entries(r), false)
		}
		for len(m.dues) > 0 {
			m.answerDue()
		}
	}
	m.t.Fatalf("it does not come to rest")
}

// What comes into the window is the oldest of its lane, no more than the window has room for; what ends behind it
// ends at its time and once; each lane has its turn; and in the end all have been in the window or are over.
func TestAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { m.t = t; m.put() },
			"put 3":   func(t *rapid.T) { m.t = t; m.put(); m.put(); m.put() },
			"seal":    func(t *rapid.T) { m.t = t; m.seal() },
			"ask":     func(t *rapid.T) { m.t = t; m.ask() },
			"answer":  func(t *rapid.T) { m.t = t; m.answer() },
			"due":     func(t *rapid.T) { m.t = t; m.answerDue() },
			"end":     func(t *rapid.T) { m.t = t; m.end() },
			"leave":   func(t *rapid.T) { m.t = t; m.leave() },
			"leave 2": func(t *rapid.T) { m.t = t; m.leave(); m.leave() },
			"retry":   func(t *rapid.T) { m.t = t; m.retry() },
			"tidy":    func(t *rapid.T) { m.t = t; m.tidy() },
			"restart": func(t *rapid.T) {
				m.t = t
				if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					m.restart()
				}
			},
			"time": func(t *rapid.T) { m.t = t; m.now += int64(rapid.IntRange(0, 900_000).Draw(t, "passes")) },
			"":     func(t *rapid.T) { m.t = t; m.check() },
		})
		m.t = t
		m.drain()
		m.check()
		for _, x := range m.all {
			if x.state == stateBehind && x.entry.Deadline <= m.now {
				t.Fatalf("message %d is over and was forgotten", x.entry.Seq)
			}
		}
		if wake := m.b.WakeTime(); m.b.Len() > 0 && wake <= m.now {
			t.Fatalf("it wants to be woken at %d, it is %d", wake, m.now)
		}
		for range 2000 { // the partner takes all
			moved := false
			for _, x := range m.all {
				if x.state == stateIn {
					x.state, moved = stateOver, true
					m.b.LeaveWindow(x.lane.Destination)
				}
			}
			m.drain()
			if !moved {
				break
			}
		}
		if m.b.Len() > 0 {
			t.Fatalf("%d are left behind windows that are empty", m.b.Len())
		}
		m.check()
		if m.written != 0 {
			if first, entries := m.b.Close(); entries != nil {
				m.files[first].closed = true
			}
		}
		for range len(m.files) {
			m.seal()
		}
		m.tidy()
		if len(m.files) > 0 {
			t.Fatalf("%d segments are left", len(m.files))
		}
	})
}
