package disk

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cometrack/internal/backlog"
)

// RestoredSegment is a segment of an earlier process and the contents of its index block.
// An entry with a HeadSize of 0 is of a message that can't be read at all.
type RestoredSegment struct {
	First      uint64
	Entries    []backlog.Entry
	ByDeadline []uint32
	Runs       []backlog.Run
}

// Restore reads the segments of an earlier process in the order of their sequence
// numbers, and passes each to take. It writes the index block of segments that have none
// or a damaged one. queueID returns the ID of a queue.
func (l *Log) Restore(queueID func(backlog.Queue) backlog.QueueID, take func(RestoredSegment)) error {
	names, err := l.fs.List()
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	var firsts []uint64
	for _, n := range names {
		if first, ok := parseFileName(n, dataSuffix); ok {
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	for _, n := range names {
		if first, ok := parseFileName(n, indexSuffix); ok && !slices.Contains(firsts, first) { // a crash interrupted Remove
			if err := l.removeFile(n); err != nil {
				return fmt.Errorf("backlog: %w", err)
			}
		}
	}
	for i, first := range firsts {
		if err := l.restoreSegment(first, i == len(firsts)-1, slices.Contains(names, fileName(first, indexSuffix)),
			queueID, take); err != nil {
			return fmt.Errorf("backlog: %s: %w", fileName(first, dataSuffix), err)
		}
	}
	return nil
}

// parseFileName parses the first sequence number of a file with that suffix; false if the
// file is not one of a segment.
func parseFileName(file, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(file, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil && fileName(n, suffix) == file
}

// restoreSegment opens a segment and passes it to take. last marks the newest segment,
// which a crash may have left incomplete; indexed reports whether it has an index file.
func (l *Log) restoreSegment(first uint64, last, indexed bool, queueID func(backlog.Queue) backlog.QueueID,
	take func(RestoredSegment)) error {
	f, err := l.fs.Open(fileName(first, dataSuffix), false)
	if err != nil {
		return err
	}
	g := &segmentFile{first: first, data: f}
	l.mu.Lock()
	l.files[first] = g
	l.mu.Unlock()
	if g.size, err = f.Size(); err != nil {
		return err
	}
	head := make([]byte, headerSize)
	n, err := readAvailable(f, head, 0)
	if err != nil {
		return err
	}
	salt, ok, err := parseSegmentHeader(head[:n], first)
	if err != nil {
		return err
	}
	g.salt, g.headerDamaged = salt, !ok
	var s RestoredSegment
	if good := false; indexed {
		if s, good, err = l.openIndex(g, queueID); err != nil {
			return err
		}
		indexed = good
	}
	if !indexed {
		if g.headerDamaged {
			return l.quarantine(g, last)
		}
		if s, err = l.recoverSegment(g, last, queueID); err != nil {
			return err
		}
	}
	g.synced = g.size
	l.mu.Lock()
	l.usedBytes += g.size
	l.nextSeq = max(l.nextSeq, first+uint64(len(s.Entries)))
	l.mu.Unlock()
	take(s)
	return nil
}

// openIndex reads the index block of a segment; ok is false if it is damaged.
func (l *Log) openIndex(g *segmentFile, queueID func(backlog.Queue) backlog.QueueID) (s RestoredSegment,
	ok bool, err error) {
	f, err := l.fs.Open(fileName(g.first, indexSuffix), false)
	if err != nil {
		return s, false, err
	}
	size, err := f.Size()
	b := make([]byte, size)
	if err == nil {
		_, err = readAvailable(f, b, 0)
	}
	if err == nil {
		s, ok, err = l.parseIndex(g, b, queueID)
	}
	if err != nil || !ok {
		f.Close()
		if err == nil {
			l.opts.Log.Error("backlog: an index block is damaged and rebuilt", "file", fileName(g.first, indexSuffix))
		}
		return s, false, err
	}
	g.index = f
	l.mu.Lock()
	l.usedBytes += g.layout.size()
	l.mu.Unlock()
	return s, true, nil
}

// quarantine takes a segment with neither a valid header nor an index block out of use.
// The newest one or an empty one is removed: a crash interrupted its creation, and none
// of its messages was accepted. Any other is damaged, and is kept under another name.
func (l *Log) quarantine(g *segmentFile, last bool) error {
	g.data.Close()
	l.mu.Lock()
	delete(l.files, g.first)
	l.mu.Unlock()
	if last || g.size == 0 {
		return l.removeFile(fileName(g.first, dataSuffix))
	}
	to := "damaged-" + fileName(g.first, dataSuffix)
	l.opts.Log.Error("backlog: a segment can't be read and is renamed", "file", to, "bytes", g.size)
	return l.fs.Rename(fileName(g.first, dataSuffix), to)
}

// recoverSegment reads a segment that has no index block, truncates the incomplete write
// that a crash may have left at the end of the newest segment, and writes the index block.
func (l *Log) recoverSegment(g *segmentFile, last bool, queueID func(backlog.Queue) backlog.QueueID) (
	s RestoredSegment, err error) {
	b := make([]byte, g.size)
	if _, err := readAvailable(g.data, b, 0); err != nil {
		return s, err
	}
	list, bad := scanRecords(b, g.salt)
	cut := int64(len(b))
	if last {
		// All data before a record with priorSynced was synced. From the last such record on, unreadable data
		// belongs to a write that was interrupted, whose messages were not accepted.
		lastSynced := int64(0)
		for i := range list {
			if list[i].priorSynced {
				lastSynced = list[i].off
			}
		}
		for _, at := range bad {
			if at >= lastSynced {
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
			l.opts.Log.Error("backlog: a damaged record", "file", fileName(g.first, dataSuffix), "at", at)
		}
	}
	names := map[backlog.QueueID]backlog.Queue{}
	for i := range list {
		p := &list[i]
		if p.off >= cut || p.Seq < g.first+uint64(len(s.Entries)) {
			continue
		}
		for g.first+uint64(len(s.Entries)) < p.Seq { // messages whose heads can't be read
			s.Entries = append(s.Entries, backlog.Entry{Seq: g.first + uint64(len(s.Entries)),
				Queue: queueID(p.Queue()), Deadline: p.Deadline})
		}
		id := queueID(p.Queue())
		names[id] = p.Queue()
		s.Entries = append(s.Entries, backlog.Entry{Seq: p.Seq, IDHash: HashID(p.ID), OrderHash: p.OrderHash(),
			Queue: id, Deadline: p.Deadline, Offset: uint32(p.off), HeadSize: uint32(p.headSize),
			Size: uint32(p.size), Terms: p.Terms})
	}
	g.n, s.First = uint32(len(s.Entries)), g.first
	byQueue, byDeadline, runs := backlog.SortEntries(s.Entries)
	s.ByDeadline, s.Runs = byDeadline, runs
	return s, l.buildIndex(g, s.Entries, byQueue, byDeadline, runs, names)
}

// placedRecord is a record and its offset in the segment.
type placedRecord struct {
	parsedRecord
	off int64
}

// scanRecords returns the records of a segment, without bodies, and the offsets at which
// a damaged range or a record with a damaged body begins, both in order.
func scanRecords(b []byte, salt uint64) (list []placedRecord, bad []int64) {
	seq, inDamage := uint64(0), false // inDamage: the preceding bytes can't be read
	for off := min(headerSize, len(b)); off < len(b); {
		p, ok := parseHead(b[off:], salt, int64(off))
		if !ok || p.Seq <= seq {
			if !inDamage {
				bad = append(bad, int64(off))
			}
			inDamage = true
			off++
			continue
		}
		seq, inDamage = p.Seq, false
		if !p.parseBody(b[off:]) {
			bad = append(bad, int64(off))
		}
		p.Body = nil
		list = append(list, placedRecord{p, int64(off)})
		off += p.size
	}
	return list, bad
}
