package disk

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cometrack/internal/backlog"
)

// RestoredSegment is what an earlier process has left, with its index block. An entry
// without a head is of a message that can't be read at all.
type RestoredSegment struct {
	First      uint64
	Entries    []backlog.Entry
	ByDeadline []uint32
	Runs       []backlog.Run
}

// Restore reads what an earlier process has left, segment by segment in the order of
// their numbers, and gives each an index block that has none. Lanes get their numbers
// from lane.
func (l *Log) Restore(lane func(backlog.Queue) backlog.QueueID, take func(RestoredSegment)) error {
	names, err := l.fs.List()
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	var firsts []uint64
	for _, n := range names {
		if first, ok := number(n, dataSuffix); ok {
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	for _, n := range names {
		if first, ok := number(n, indexSuffix); ok && !slices.Contains(firsts, first) { // its segment was being removed
			if err := l.remove(n); err != nil {
				return fmt.Errorf("backlog: %w", err)
			}
		}
	}
	for i, first := range firsts {
		if err := l.restore(first, i == len(firsts)-1, slices.Contains(names, name(first, indexSuffix)), lane, take); err != nil {
			return fmt.Errorf("backlog: %s: %w", name(first, dataSuffix), err)
		}
	}
	return nil
}

func number(file, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(file, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil && name(n, suffix) == file
}

func (l *Log) restore(first uint64, last, indexed bool, lane func(backlog.Queue) backlog.QueueID, take func(RestoredSegment)) error {
	f, err := l.fs.Open(name(first, dataSuffix), false)
	if err != nil {
		return err
	}
	g := &file{first: first, data: f}
	l.mu.Lock()
	l.files[first] = g
	l.mu.Unlock()
	if g.size, err = f.Size(); err != nil {
		return err
	}
	head := make([]byte, headerLen)
	n, err := readFull(f, head, 0)
	if err != nil {
		return err
	}
	salt, ok, err := parseHeader(head[:n], first)
	if err != nil {
		return err
	}
	g.salt, g.lost = salt, !ok
	var s RestoredSegment
	if good := false; indexed {
		if s, good, err = l.openIndex(g, lane); err != nil {
			return err
		}
		indexed = good
	}
	if !indexed {
		if g.lost {
			return l.setAside(g, last)
		}
		if s, err = l.scan(g, last, lane); err != nil {
			return err
		}
	}
	g.safe = g.size
	l.mu.Lock()
	l.used += g.size
	l.next = max(l.next, first+uint64(len(s.Entries)))
	l.mu.Unlock()
	take(s)
	return nil
}

func (l *Log) openIndex(g *file, lane func(backlog.Queue) backlog.QueueID) (s RestoredSegment, ok bool, err error) {
	f, err := l.fs.Open(name(g.first, indexSuffix), false)
	if err != nil {
		return s, false, err
	}
	size, err := f.Size()
	b := make([]byte, size)
	if err == nil {
		_, err = readFull(f, b, 0)
	}
	if err == nil {
		s, ok, err = l.loadIndex(g, b, lane)
	}
	if err != nil || !ok {
		f.Close()
		if err == nil {
			l.opts.Log.Error("backlog: an index block is damaged and made again", "file", name(g.first, indexSuffix))
		}
		return s, false, err
	}
	g.index = f
	l.mu.Lock()
	l.used += g.layout.size()
	l.mu.Unlock()
	return s, true, nil
}

// setAside takes away a segment without a header or an index block: a crash has cut
// its making short, and nothing in it was acknowledged, or it is damaged and is kept.
func (l *Log) setAside(g *file, last bool) error {
	g.data.Close()
	l.mu.Lock()
	delete(l.files, g.first)
	l.mu.Unlock()
	if last || g.size == 0 {
		return l.remove(name(g.first, dataSuffix))
	}
	to := "damaged-" + name(g.first, dataSuffix)
	l.opts.Log.Error("backlog: a segment can't be read and is set aside", "file", to, "bytes", g.size)
	return l.fs.Rename(name(g.first, dataSuffix), to)
}

// scan reads a segment that has no index block, cuts off what a crash has left of a
// write at its end, and makes the index block.
func (l *Log) scan(g *file, last bool, lane func(backlog.Queue) backlog.QueueID) (s RestoredSegment, err error) {
	b := make([]byte, g.size)
	if _, err := readFull(g.data, b, 0); err != nil {
		return s, err
	}
	list, bad := walk(b, g.salt)
	cut := int64(len(b))
	if last {
		// Before what begins a write all was safe; from there on what can't be read is of a write that was not
		// acknowledged.
		begun := int64(0)
		for i := range list {
			if list[i].start {
				begun = list[i].off
			}
		}
		for _, at := range bad {
			if at >= begun {
				cut = at
				break
			}
		}
	}
	if cut < int64(len(b)) {
		if err := g.data.Truncate(cut); err != nil {
			return s, err
		}
		g.size = cut
	}
	for _, at := range bad {
		if at < cut {
			l.opts.Log.Error("backlog: damage", "file", name(g.first, dataSuffix), "at", at)
		}
	}
	names := map[backlog.QueueID]backlog.Queue{}
	for i := range list {
		p := &list[i]
		if p.off >= cut || p.Seq < g.first+uint64(len(s.Entries)) {
			continue
		}
		for g.first+uint64(len(s.Entries)) < p.Seq { // not even its head can be read
			s.Entries = append(s.Entries, backlog.Entry{Seq: g.first + uint64(len(s.Entries)), Queue: lane(p.Queue()), Deadline: p.Deadline})
		}
		id := lane(p.Queue())
		names[id] = p.Queue()
		s.Entries = append(s.Entries, backlog.Entry{Seq: p.Seq, IDHash: HashID(p.ID), OrderHash: p.OrderHash(), Queue: id, Deadline: p.Deadline, Offset: uint32(p.off),
			HeadSize: uint32(p.head), Size: uint32(p.size), Terms: p.Terms})
	}
	g.n, s.First = uint32(len(s.Entries)), g.first
	byLane, byDeadline, runs := backlog.SortEntries(s.Entries)
	s.ByDeadline, s.Runs = byDeadline, runs
	return s, l.seal(g, s.Entries, byLane, byDeadline, runs, names)
}

// placed is a record in a segment's bytes.
type placed struct {
	parsed
	off int64
}

// walk finds the records of a segment, and where something can't be read, in order.
func walk(b []byte, salt uint64) (list []placed, bad []int64) {
	seq, within := uint64(0), false // a stretch that can't be read
	for off := min(headerLen, len(b)); off < len(b); {
		p, ok := parseHead(b[off:], salt, int64(off))
		if !ok || p.Seq <= seq {
			if !within {
				bad = append(bad, int64(off))
			}
			within = true
			off++
			continue
		}
		seq, within = p.Seq, false
		if !p.body(b[off:]) {
			bad = append(bad, int64(off))
		}
		p.Body = nil
		list = append(list, placed{p, int64(off)})
		off += p.size
	}
	return list, bad
}
