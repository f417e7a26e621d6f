package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/backlog"
	"cometrack/internal/store"
)

// An index block is a file beside a full segment. A header with the checksums of its
// parts is followed by the parts: the entries by position, the by-queue order, the
// by-deadline order, the runs, a copy of the heads of the records, and the names of the
// queues. Numbers are little-endian.
const (
	dataSuffix      = ".msgs" // of a segment's data file
	indexSuffix     = ".idx"  // of a segment's index file
	indexMagic      = "cmtrkbki"
	entrySize       = 4*8 + 5*4 // bytes of an entry
	runSize         = 3 * 4     // bytes of a run
	numParts        = 6
	indexHeaderSize = 8 + 4 + 4 + 8 + 8 + numParts*8 + 4 // bytes
)

// fileName returns the name of a segment's data or index file.
func fileName(first uint64, suffix string) string { return fmt.Sprintf("%016x%s", first, suffix) }

// layout has the offsets of the parts of an index block.
type layout struct {
	n     uint32              // number of entries
	parts [numParts + 1]int64 // offset of each part, and of the end
}

func (x *layout) size() int64 { return x.parts[numParts] }

// The parts of an index block, in order.
const (
	partEntries    = iota // the entries, by position
	partByQueue           // the positions, in by-queue order
	partByDeadline        // the positions, in by-deadline order
	partRuns              // the runs
	partHeads             // a copy of the heads of the records
	partQueues            // the names of the queues
)

// appendEntry appends an entry to b. queue is its queue's number in the index block, head
// the offset of its record's head in the part of the heads.
func (g *segmentFile) appendEntry(b []byte, e *backlog.Entry, queue, head uint32) []byte {
	for _, v := range []uint64{e.IDHash, e.OrderHash, uint64(e.Deadline), uint64(e.Terms)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range []uint32{e.Offset, e.HeadSize, e.Size, queue, head} {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

// parseEntry parses the entry at a position, and the offset of its head in the part of the
// heads.
func (g *segmentFile) parseEntry(b []byte, at uint32) (e backlog.Entry, head uint32, ok bool) {
	u64 := func(i int) uint64 { return binary.LittleEndian.Uint64(b[i:]) }
	u32 := func(i int) uint32 { return binary.LittleEndian.Uint32(b[i:]) }
	queue := u32(44)
	if int(queue) >= len(g.queues) {
		return e, 0, false
	}
	return backlog.Entry{Seq: g.first + uint64(at), IDHash: u64(0), OrderHash: u64(8), Deadline: int64(u64(16)),
		Terms: int64(u64(24)), Offset: u32(32), HeadSize: u32(36), Size: u32(40), Queue: g.queues[queue]}, u32(48), true
}

// Seal writes the index block of a closed segment. queueNames has the queues of its
// entries. Seal returns the by-deadline order and the runs of the index block.
func (l *Log) Seal(first uint64, entries []backlog.Entry, queueNames map[backlog.QueueID]backlog.Queue) (
	byDeadline []uint32, runs []backlog.Run, err error) {
	g := l.segment(first)
	if g == nil {
		return nil, nil, fmt.Errorf("backlog: no segment %d", first)
	}
	byQueue, byDeadline, runs := backlog.SortEntries(entries)
	if err := l.buildIndex(g, entries, byQueue, byDeadline, runs, queueNames); err != nil {
		return nil, nil, fmt.Errorf("backlog: %w", err)
	}
	return byDeadline, runs, nil
}

// segment returns the segment with that first sequence number; nil if there is none.
func (l *Log) segment(first uint64) *segmentFile {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.files[first]
}

// buildIndex builds the index block of a segment and writes it.
func (l *Log) buildIndex(g *segmentFile, entries []backlog.Entry, byQueue, byDeadline []uint32, runs []backlog.Run,
	queueNames map[backlog.QueueID]backlog.Queue) error {
	local := map[backlog.QueueID]uint32{}
	var names []backlog.Queue
	g.queues = nil
	for _, r := range runs {
		local[r.Queue] = uint32(len(g.queues))
		g.queues = append(g.queues, r.Queue)
		names = append(names, queueNames[r.Queue])
	}
	data := make([]byte, g.size)
	if _, err := readAvailable(g.data, data, 0); err != nil {
		return err
	}
	var sections [numParts][]byte
	for i := range entries {
		e := &entries[i]
		at := len(sections[partHeads])
		if end := int64(e.Offset) + int64(e.HeadSize); end <= int64(len(data)) && e.HeadSize >= recordPrefixSize {
			raw := data[e.Offset:end]
			sections[partHeads] = append(sections[partHeads], raw...)
		}
		sections[partEntries] = g.appendEntry(sections[partEntries], e, local[e.Queue], uint32(at))
	}
	for _, at := range byQueue {
		sections[partByQueue] = binary.LittleEndian.AppendUint32(sections[partByQueue], at)
	}
	for _, at := range byDeadline {
		sections[partByDeadline] = binary.LittleEndian.AppendUint32(sections[partByDeadline], at)
	}
	for _, r := range runs {
		for _, v := range []uint32{local[r.Queue], r.From, r.N} {
			sections[partRuns] = binary.LittleEndian.AppendUint32(sections[partRuns], v)
		}
	}
	var err error
	if sections[partQueues], err = cbor.Marshal(names); err != nil {
		return err
	}
	b := []byte(indexMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entries)))
	b = binary.LittleEndian.AppendUint64(b, g.first)
	b = binary.LittleEndian.AppendUint64(b, g.salt)
	for _, s := range sections {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(s)))
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(s, castagnoli))
	}
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	x := layout{n: uint32(len(entries))}
	for i, s := range sections {
		x.parts[i] = int64(len(b))
		b = append(b, s...)
	}
	x.parts[numParts] = int64(len(b))
	return l.writeIndexFile(g, x, b)
}

// writeIndexFile writes an index block to its file, atomically.
func (l *Log) writeIndexFile(g *segmentFile, x layout, b []byte) error {
	const temporary = "index.new"
	if err := l.removeFile(temporary); err != nil {
		return err
	}
	f, err := l.fs.Open(temporary, true)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err == nil && l.opts.Sync != store.SyncNever {
		if err = g.data.Sync(); err == nil { // an index block must not refer to records that a crash loses
			err = f.Sync()
		}
	}
	if err == nil {
		err = l.fs.Rename(temporary, fileName(g.first, indexSuffix))
	}
	if err == nil && l.opts.Sync != store.SyncNever {
		err = l.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.index != nil {
		g.index.Close()
	}
	l.usedBytes += x.size() - g.layout.size()
	g.index, g.layout = f, x
	return nil
}

// parseIndex parses an index block and verifies its checksums; ok is false if it is
// damaged. queueID returns the ID of a queue. The error wraps [ErrNewer].
func (l *Log) parseIndex(g *segmentFile, b []byte, queueID func(backlog.Queue) backlog.QueueID) (s RestoredSegment,
	ok bool, err error) {
	if len(b) < indexHeaderSize || string(b[:8]) != indexMagic ||
		crc32.Checksum(b[:indexHeaderSize-4], castagnoli) != binary.LittleEndian.Uint32(b[indexHeaderSize-4:]) {
		return s, false, nil
	}
	if binary.LittleEndian.Uint32(b[8:]) > formatVersion {
		return s, false, fmt.Errorf("%s: %w", fileName(g.first, indexSuffix), ErrNewer)
	}
	x := layout{n: binary.LittleEndian.Uint32(b[12:])}
	if binary.LittleEndian.Uint64(b[16:]) != g.first || !g.headerDamaged && binary.LittleEndian.Uint64(b[24:]) != g.salt {
		return s, false, nil
	}
	at := int64(indexHeaderSize)
	var sections [numParts][]byte
	for i := range sections {
		size, sum := int64(binary.LittleEndian.Uint32(b[32+8*i:])), binary.LittleEndian.Uint32(b[36+8*i:])
		if at+size > int64(len(b)) {
			return s, false, nil
		}
		sections[i] = b[at : at+size]
		if crc32.Checksum(sections[i], castagnoli) != sum {
			return s, false, nil
		}
		x.parts[i] = at
		at += size
	}
	x.parts[numParts] = at
	n := int(x.n)
	if len(sections[partEntries]) != n*entrySize || len(sections[partByQueue]) != n*4 ||
		len(sections[partByDeadline]) != n*4 {
		return s, false, nil
	}
	var names []backlog.Queue
	if err := cbor.Unmarshal(sections[partQueues], &names); err != nil {
		return s, false, nil
	}
	g.queues = make([]backlog.QueueID, len(names))
	for i := range names {
		g.queues[i] = queueID(names[i])
	}
	g.salt, g.n, g.layout = binary.LittleEndian.Uint64(b[24:]), x.n, x
	s = RestoredSegment{First: g.first, Entries: make([]backlog.Entry, n), ByDeadline: make([]uint32, n)}
	for i := range n {
		e, _, ok := g.parseEntry(sections[partEntries][i*entrySize:], uint32(i))
		if !ok {
			return s, false, nil
		}
		s.Entries[i] = e
		s.ByDeadline[i] = binary.LittleEndian.Uint32(sections[partByDeadline][4*i:])
	}
	for raw := range slices.Chunk(sections[partRuns], runSize) {
		local := binary.LittleEndian.Uint32(raw)
		if int(local) >= len(g.queues) {
			return s, false, nil
		}
		s.Runs = append(s.Runs, backlog.Run{Queue: g.queues[local],
			From: binary.LittleEndian.Uint32(raw[4:]), N: binary.LittleEndian.Uint32(raw[8:])})
	}
	return s, true, nil
}
