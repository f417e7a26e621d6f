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

// An index block is a file beside a segment that is full: a head with the sums of
// its parts, then the entries by place, the order of lanes, the order of deadlines,
// the runs, the heads of the records once more, and the names of the lanes.
const (
	dataSuffix  = ".msgs"
	indexSuffix = ".idx"
	indexMagic  = "cmtrkbki"
	entrySize   = 4*8 + 5*4
	runSize     = 3 * 4
	parts       = 6
	indexHead   = 8 + 4 + 4 + 8 + 8 + parts*8 + 4
)

func name(first uint64, suffix string) string { return fmt.Sprintf("%016x%s", first, suffix) }

// layout is where the parts of an index block lie.
type layout struct {
	n     uint32
	parts [parts + 1]int64 // where each begins, and the end
}

func (x *layout) size() int64 { return x.parts[parts] }

// The parts.
const (
	partEntries = iota
	partByLane
	partByDeadline
	partRuns
	partHeads
	partLanes
)

func (g *file) appendEntry(b []byte, e *backlog.Entry, lane, head uint32) []byte {
	for _, v := range []uint64{e.IDHash, e.OrderHash, uint64(e.Deadline), uint64(e.Terms)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range []uint32{e.Offset, e.HeadSize, e.Size, lane, head} {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

// parseEntry reads the entry at a place, and where its head lies among the heads.
func (g *file) parseEntry(b []byte, at uint32) (e backlog.Entry, head uint32, ok bool) {
	u64 := func(i int) uint64 { return binary.LittleEndian.Uint64(b[i:]) }
	u32 := func(i int) uint32 { return binary.LittleEndian.Uint32(b[i:]) }
	lane := u32(44)
	if int(lane) >= len(g.lanes) {
		return e, 0, false
	}
	return backlog.Entry{Seq: g.first + uint64(at), IDHash: u64(0), OrderHash: u64(8), Deadline: int64(u64(16)), Terms: int64(u64(24)), Offset: u32(32),
		HeadSize: u32(36), Size: u32(40), Queue: g.lanes[lane]}, u32(48), true
}

// Seal writes the index block of a segment that is not written any more. lanes names
// the lanes of its entries.
func (l *Log) Seal(first uint64, entries []backlog.Entry, lanes map[backlog.QueueID]backlog.Queue) (byDeadline []uint32, runs []backlog.Run, err error) {
	g := l.file(first)
	if g == nil {
		return nil, nil, fmt.Errorf("backlog: no segment %d", first)
	}
	byLane, byDeadline, runs := backlog.SortEntries(entries)
	if err := l.seal(g, entries, byLane, byDeadline, runs, lanes); err != nil {
		return nil, nil, fmt.Errorf("backlog: %w", err)
	}
	return byDeadline, runs, nil
}

func (l *Log) file(first uint64) *file {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.files[first]
}

func (l *Log) seal(g *file, entries []backlog.Entry, byLane, byDeadline []uint32, runs []backlog.Run, lanes map[backlog.QueueID]backlog.Queue) error {
	local := map[backlog.QueueID]uint32{}
	var names []backlog.Queue
	g.lanes = nil
	for _, r := range runs {
		local[r.Queue] = uint32(len(g.lanes))
		g.lanes = append(g.lanes, r.Queue)
		names = append(names, lanes[r.Queue])
	}
	data := make([]byte, g.size)
	if _, err := readFull(g.data, data, 0); err != nil {
		return err
	}
	var sections [parts][]byte
	for i := range entries {
		e := &entries[i]
		at := len(sections[partHeads])
		if end := int64(e.Offset) + int64(e.HeadSize); end <= int64(len(data)) && e.HeadSize >= recordHead {
			raw := data[e.Offset:end]
			sections[partHeads] = append(sections[partHeads], raw...)
		}
		sections[partEntries] = g.appendEntry(sections[partEntries], e, local[e.Queue], uint32(at))
	}
	for _, at := range byLane {
		sections[partByLane] = binary.LittleEndian.AppendUint32(sections[partByLane], at)
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
	if sections[partLanes], err = cbor.Marshal(names); err != nil {
		return err
	}
	b := []byte(indexMagic)
	b = binary.LittleEndian.AppendUint32(b, version)
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
	x.parts[parts] = int64(len(b))
	return l.writeIndex(g, x, b)
}

// writeIndex puts an index block beside its segment, whole or not at all.
func (l *Log) writeIndex(g *file, x layout, b []byte) error {
	const draft = "index.new"
	if err := l.remove(draft); err != nil {
		return err
	}
	f, err := l.fs.Open(draft, true)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err == nil && l.opts.Sync != store.SyncNever {
		if err = g.data.Sync(); err == nil { // it must not tell of what is not there
			err = f.Sync()
		}
	}
	if err == nil {
		err = l.fs.Rename(draft, name(g.first, indexSuffix))
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
	l.used += x.size() - g.layout.size()
	g.index, g.layout = f, x
	return nil
}

// loadIndex reads an index block whole and checks it; false if there is none that
// is good. lane gives a lane its number.
func (l *Log) loadIndex(g *file, b []byte, lane func(backlog.Queue) backlog.QueueID) (s RestoredSegment, ok bool, err error) {
	if len(b) < indexHead || string(b[:8]) != indexMagic || crc32.Checksum(b[:indexHead-4], castagnoli) != binary.LittleEndian.Uint32(b[indexHead-4:]) {
		return s, false, nil
	}
	if binary.LittleEndian.Uint32(b[8:]) > version {
		return s, false, fmt.Errorf("%s: %w", name(g.first, indexSuffix), ErrNewer)
	}
	x := layout{n: binary.LittleEndian.Uint32(b[12:])}
	if binary.LittleEndian.Uint64(b[16:]) != g.first || !g.lost && binary.LittleEndian.Uint64(b[24:]) != g.salt {
		return s, false, nil
	}
	at := int64(indexHead)
	var sections [parts][]byte
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
	x.parts[parts] = at
	n := int(x.n)
	if len(sections[partEntries]) != n*entrySize || len(sections[partByLane]) != n*4 || len(sections[partByDeadline]) != n*4 {
		return s, false, nil
	}
	var names []backlog.Queue
	if err := cbor.Unmarshal(sections[partLanes], &names); err != nil {
		return s, false, nil
	}
	g.lanes = make([]backlog.QueueID, len(names))
	for i := range names {
		g.lanes[i] = lane(names[i])
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
		if int(local) >= len(g.lanes) {
			return s, false, nil
		}
		s.Runs = append(s.Runs, backlog.Run{Queue: g.lanes[local], From: binary.LittleEndian.Uint32(raw[4:]), N: binary.LittleEndian.Uint32(raw[8:])})
	}
	return s, true, nil
}
