package backlog

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// message is a message of the model.
type message struct {
	entry   Entry
	queue   Queue
	order   uint64
	arrived int
	state   state
}

type state int

const (
	stateSpilled state = iota
	stateInWindow
	stateEnded     // it ended in the window or in the backlog
	stateForgotten // it was in the window before a restart, and only the journal has it
)

// model is a list of all messages, and a disk that answers reads late, in any order, or
// with a failure.
type model struct {
	t              *rapid.T
	b              *Backlog
	window         int
	now            int64
	all            []*message
	bySeq          map[uint64]*message
	seq            uint64
	currentSegment uint64 // first sequence number of the open segment; 0 for none
	files          map[uint64]*segmentFile
	refillReads    []RefillRead
	expiryReads    []ExpiryRead
	retries        []QueueID
	arrivals       int
	skipped        map[QueueID]int // reads of other queues of the destination while this one could be read
}

type segmentFile struct {
	entries             []Entry
	closed, sealed      bool
	byQueue, byDeadline []uint32
	runs                []Run
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, window: rapid.IntRange(1, 6).Draw(t, "window"), now: 1_000_000,
		bySeq: map[uint64]*message{}, files: map[uint64]*segmentFile{}, seq: 1, skipped: map[QueueID]int{}}
	m.b = New(m.options())
	return m
}

func (m *model) options() Options { return Options{Window: m.window, Batch: 3, MaxInFlight: 12} }

// submit submits a message of a random queue and order key.
func (m *model) submit() {
	name := Queue{fmt.Sprint("d", rapid.IntRange(0, 2).Draw(m.t, "destination")),
		fmt.Sprint("t", rapid.IntRange(0, 1).Draw(m.t, "tenant")),
		fmt.Sprint("c", rapid.IntRange(0, 1).Draw(m.t, "class"))}
	order := uint64(0)
	if name.Class == "c1" {
		order = uint64(rapid.IntRange(0, 3).Draw(m.t, "order"))
	}
	msg := &message{queue: name, order: order, arrived: m.arrivals}
	inOtherQueue := slices.ContainsFunc(m.all, func(x *message) bool {
		return x.state == stateSpilled && x.order == order && order != 0 && x.queue != name
	})
	placement := m.b.Place(name.Destination, name, order)
	if (placement == Rejected) != inOtherQueue {
		m.t.Fatalf("placement %v of a message of %v with order key %d", placement, name, order)
	}
	m.arrivals++
	switch placement {
	case InWindow:
		if n := m.count(name.Destination, stateSpilled); n > 0 {
			m.t.Fatalf("a message entered the window ahead of %d spilled ones", n)
		}
		m.b.EnterWindow(name.Destination)
		msg.state = stateInWindow
		m.all = append(m.all, msg)
	case InBacklog:
		if m.currentSegment == 0 || len(m.files[m.currentSegment].entries) == 7 {
			m.currentSegment = (m.seq + 15) / 16 * 16
			m.seq = m.currentSegment
			if first, entries := m.b.Close(); entries != nil {
				m.files[first].closed = true
			}
			m.b.Open(m.currentSegment)
			m.files[m.currentSegment] = &segmentFile{}
		}
		msg.entry = Entry{Seq: m.seq, IDHash: m.seq * 0x9e3779b97f4a7c15, OrderHash: order,
			Queue: m.b.Queue(name), Terms: int64(m.seq % 2),
			Deadline: m.now + int64(rapid.IntRange(0, 4_000_000).Draw(m.t, "time"))}
		m.seq++
		f := m.files[m.currentSegment]
		f.entries = append(f.entries, msg.entry)
		m.b.Add(msg.entry)
		m.bySeq[msg.entry.Seq] = msg
		m.all = append(m.all, msg)
	}
}

// count returns the number of messages of a destination in a state.
func (m *model) count(destination string, s state) (n int) {
	for _, x := range m.all {
		if x.queue.Destination == destination && x.state == s {
			n++
		}
	}
	return n
}

// seal writes the index block of one closed segment.
func (m *model) seal() {
	for first, f := range m.files {
		if f.closed && !f.sealed {
			f.byQueue, f.byDeadline, f.runs = SortEntries(f.entries)
			f.sealed = true
			m.b.Seal(first, f.byDeadline, f.runs)
			return
		}
	}
}

// requestReads takes the reads that the backlog requests.
func (m *model) requestReads() {
	for _, r := range m.b.RefillReads() {
		m.checkFairness(r)
		m.refillReads = append(m.refillReads, r)
	}
	m.expiryReads = append(m.expiryReads, m.b.ExpiryReads(m.now)...)
	for d, n := range m.inFlight() {
		if in := m.count(d, stateInWindow); in+n > max(m.window, in) {
			m.t.Fatalf("%s has %d messages in its window of %d and %d in refill reads", d, in, m.window, n)
		}
	}
}

func (m *model) inFlight() map[string]int {
	out := map[string]int{}
	for _, r := range m.refillReads {
		out[m.b.Name(r.Queue).Destination] += int(r.N)
	}
	return out
}

// checkFairness fails if a queue that can be read is passed over for more than 4 reads of its destination.
func (m *model) checkFairness(r RefillRead) {
	d := m.b.Name(r.Queue).Destination
	for _, q := range m.b.queues {
		switch {
		case q.name.Destination != d:
		case q.id == r.Queue || q.reading || q.spilled == 0:
			m.skipped[q.id] = 0
		default:
			if m.skipped[q.id]++; m.skipped[q.id] > 4 {
				m.t.Fatalf("%v is not read while others of its destination are", q.name)
			}
		}
	}
}

// entries returns the entries that a refill read finds on disk.
func (m *model) entries(r RefillRead) []Entry {
	if r.Entries != nil {
		return r.Entries
	}
	f := m.files[r.Segment]
	if f == nil {
		m.t.Fatalf("a refill read of a removed segment: %+v", r)
	}
	var out []Entry
	for _, at := range f.byQueue[r.From : r.From+r.N] {
		out = append(out, f.entries[at])
	}
	return out
}

// answerRefill completes one of the refill reads, in whole, in part or with a failure.
func (m *model) answerRefill() {
	if len(m.refillReads) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.refillReads)-1).Draw(m.t, "read")
	r := m.refillReads[i]
	m.refillReads = slices.Delete(m.refillReads, i, i+1)
	switch rapid.IntRange(0, 5).Draw(m.t, "answer") {
	case 0:
		m.b.RefillFailed(r)
		m.retries = append(m.retries, r.Queue)
	case 1:
		m.completeRefill(r, m.entries(r)[:1], true)
	default:
		m.completeRefill(r, m.entries(r), false)
	}
}

// completeRefill completes a refill read. With putBack, those that can't be taken into memory are put back.
func (m *model) completeRefill(r RefillRead, entries []Entry, putBack bool) {
	var rejected []Item
	for i, in := range m.b.RefillDone(r, entries) {
		e := entries[i]
		x := m.bySeq[e.Seq]
		if !in {
			continue
		}
		if x.state != stateSpilled {
			m.t.Fatalf("message %d is refilled in state %d", e.Seq, x.state)
		}
		for _, y := range m.all {
			if y.state == stateSpilled && y.entry.Seq < e.Seq && (y.queue == x.queue || y.order == x.order && x.order != 0) {
				m.t.Fatalf("message %d is refilled before %d, which was submitted first", e.Seq, y.entry.Seq)
			}
		}
		if putBack && x.entry.Seq%2 == 0 || len(rejected) > 0 { // neither it nor those after it can be taken into memory
			rejected = append(rejected, Item{e, e.Seq})
		}
		x.state = stateInWindow
	}
	if len(rejected) > 0 {
		if len(m.expiryReads) > 0 {
			m.answerExpiry()
		}
		m.endExpired()
		m.b.PutBack(r.Queue, rejected)
		for _, e := range rejected {
			m.bySeq[e.Seq].state = stateSpilled
		}
		m.retries = append(m.retries, r.Queue)
	}
}

// answerExpiry completes the oldest expiry read, or fails it.
func (m *model) answerExpiry() {
	if len(m.expiryReads) == 0 {
		return
	}
	r := m.expiryReads[0]
	m.expiryReads = m.expiryReads[1:]
	if rapid.IntRange(0, 4).Draw(m.t, "fails") == 0 {
		m.b.ExpiryReadFailed(r)
		return
	}
	if r.Entries != nil {
		m.b.ExpiryReadDone(r, itemsOf(r.Entries), math.MaxInt64)
		return
	}
	f := m.files[r.Segment]
	if f == nil {
		m.t.Fatalf("an expiry read of a removed segment: %+v", r)
	}
	var list []Entry
	for _, at := range f.byDeadline[r.From : r.From+r.N] {
		list = append(list, f.entries[at])
	}
	after := int64(math.MaxInt64)
	if int(r.From+r.N) < len(f.byDeadline) {
		after = f.entries[f.byDeadline[r.From+r.N]].Deadline
	}
	m.b.ExpiryReadDone(r, itemsOf(list), after)
}

// itemsOf returns items whose payload is the sequence number.
func itemsOf(list []Entry) (out []Item) {
	for _, e := range list {
		out = append(out, Item{e, e.Seq})
	}
	return out
}

// endExpired ends the spilled messages that have expired.
func (m *model) endExpired() {
	for {
		e, ok := m.b.PopExpired(m.now)
		if !ok {
			return
		}
		x := m.bySeq[e.Seq]
		if e.Payload != e.Seq {
			m.t.Fatalf("message %d expires with the payload of %v", e.Seq, e.Payload)
		}
		if x.state != stateSpilled || x.entry.Deadline > m.now {
			m.t.Fatalf("message %d expires in state %d, %d µs before its deadline", e.Seq, x.state, x.entry.Deadline-m.now)
		}
		x.state = stateEnded
	}
}

// endInWindow ends a message in its window.
func (m *model) endInWindow() {
	for _, x := range m.all {
		if x.state == stateInWindow && rapid.IntRange(0, 2).Draw(m.t, "ends") == 0 {
			x.state = stateEnded
			m.b.LeaveWindow(x.queue.Destination)
			return
		}
	}
}

func (m *model) retry() {
	for _, q := range m.retries {
		m.b.Retry(q)
	}
	m.retries = nil
}

func (m *model) reclaim() {
	for _, x := range m.b.Reclaim() {
		first := x.First
		delete(m.files, first)
		for _, r := range m.refillReads {
			if r.Segment == first {
				m.t.Fatalf("a segment is reclaimed that a read is in flight for")
			}
		}
	}
}

// restart makes a new backlog from the files. Messages that were in a window are in the journal, and enter
// their window first.
func (m *model) restart() {
	m.b = New(m.options())
	m.refillReads, m.expiryReads, m.retries, m.currentSegment, m.skipped = nil, nil, nil, 0, map[QueueID]int{}
	firsts := []uint64{}
	for first := range m.files {
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	for _, first := range firsts {
		f := m.files[first]
		for i := range f.entries {
			f.entries[i].Queue = m.b.Queue(m.bySeq[f.entries[i].Seq].queue)
		}
		f.closed, f.sealed = true, true
		f.byQueue, f.byDeadline, f.runs = SortEntries(f.entries)
		m.b.Restore(first, f.entries,
			func(seq uint64) bool { return m.bySeq[seq].state != stateSpilled }, f.byDeadline, f.runs)
	}
	for _, x := range m.all {
		if x.state == stateInWindow {
			m.b.EnterWindow(x.queue.Destination)
		}
	}
}

// check compares the counts and lookups of the backlog with the list.
func (m *model) check() {
	spilled := map[string]int{}
	terms := map[int64]bool{}
	for _, x := range m.all {
		if x.state != stateSpilled {
			if first, at, _, ok := m.b.Resolve(m.b.Find(x.entry.IDHash)); x.entry.IDHash != 0 && ok {
				m.t.Fatalf("message %d is found at position %d of segment %d and is in state %d", x.entry.Seq, at, first, x.state)
			}
			continue
		}
		spilled[x.queue.Destination]++
		terms[x.entry.Terms] = true
		first, at, e, ok := m.b.Resolve(m.b.Find(x.entry.IDHash))
		if !ok || first+uint64(at) != x.entry.Seq || e != nil && e.Seq != x.entry.Seq {
			m.t.Fatalf("message %d is found at position %d of segment %d, %v", x.entry.Seq, at, first, ok)
		}
	}
	total := 0
	for i := range 3 {
		d := fmt.Sprint("d", i)
		total += spilled[d]
		if m.b.BacklogLen(d) != spilled[d] || m.b.WindowLen(d) != m.count(d, stateInWindow) {
			m.t.Fatalf("%s has %d spilled and %d in the window, want %d and %d",
				d, m.b.BacklogLen(d), m.b.WindowLen(d), spilled[d], m.count(d, stateInWindow))
		}
	}
	if m.b.Len() != total || m.b.ids.n != total {
		m.t.Fatalf("%d spilled, %d ids, want %d", m.b.Len(), m.b.ids.n, total)
	}
	for n := range terms {
		if !slices.Contains(m.b.Terms(), n) {
			m.t.Fatalf("terms %d are missing", n)
		}
	}
}

// drain completes all reads until no more are requested.
func (m *model) drain() {
	for range 10_000 {
		m.retry()
		m.requestReads()
		m.endExpired()
		if len(m.refillReads)+len(m.expiryReads) == 0 {
			return
		}
		for _, r := range m.refillReads {
			m.refillReads = m.refillReads[1:]
			m.completeRefill(r, m.entries(r), false)
		}
		for len(m.expiryReads) > 0 {
			m.answerExpiry()
		}
	}
	m.t.Fatalf("reads are still requested after 10000 rounds")
}

// A model-based test of the backlog with random operations: messages are refilled in the order of their queue and
// order key and within the room of the window, spilled messages expire once and not before their deadline, no
// queue starves, and finally every message has been in the window or has ended.
func TestBacklogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":          func(t *rapid.T) { m.t = t; m.submit() },
			"submit 3":        func(t *rapid.T) { m.t = t; m.submit(); m.submit(); m.submit() },
			"seal":            func(t *rapid.T) { m.t = t; m.seal() },
			"request reads":   func(t *rapid.T) { m.t = t; m.requestReads() },
			"answer refill":   func(t *rapid.T) { m.t = t; m.answerRefill() },
			"answer expiry":   func(t *rapid.T) { m.t = t; m.answerExpiry() },
			"end expired":     func(t *rapid.T) { m.t = t; m.endExpired() },
			"end in window":   func(t *rapid.T) { m.t = t; m.endInWindow() },
			"end 2 in window": func(t *rapid.T) { m.t = t; m.endInWindow(); m.endInWindow() },
			"retry":           func(t *rapid.T) { m.t = t; m.retry() },
			"reclaim":         func(t *rapid.T) { m.t = t; m.reclaim() },
			"restart": func(t *rapid.T) {
				m.t = t
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					m.restart()
				}
			},
			"advance": func(t *rapid.T) { m.t = t; m.now += int64(rapid.IntRange(0, 900_000).Draw(t, "microseconds")) },
			"":        func(t *rapid.T) { m.t = t; m.check() },
		})
		m.t = t
		m.drain()
		m.check()
		for _, x := range m.all {
			if x.state == stateSpilled && x.entry.Deadline <= m.now {
				t.Fatalf("message %d is past its deadline and has not expired", x.entry.Seq)
			}
		}
		if wake := m.b.WakeTime(); m.b.Len() > 0 && wake <= m.now {
			t.Fatalf("wake time %d, but it is %d and all is done", wake, m.now)
		}
		for range 2000 { // all messages in windows are delivered
			moved := false
			for _, x := range m.all {
				if x.state == stateInWindow {
					x.state, moved = stateEnded, true
					m.b.LeaveWindow(x.queue.Destination)
				}
			}
			m.drain()
			if !moved {
				break
			}
		}
		if m.b.Len() > 0 {
			t.Fatalf("%d messages are still spilled although the windows are empty", m.b.Len())
		}
		m.check()
		if m.currentSegment != 0 {
			if first, entries := m.b.Close(); entries != nil {
				m.files[first].closed = true
			}
		}
		for range len(m.files) {
			m.seal()
		}
		m.reclaim()
		if len(m.files) > 0 {
			t.Fatalf("%d segments are not reclaimed", len(m.files))
		}
	})
}
