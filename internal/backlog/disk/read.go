package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"cometrack/internal/backlog"
	"cometrack/internal/vfs"
)

// ReadResult is the result of reading one message.
type ReadResult struct {
	Entry  backlog.Entry
	Record *Record // nil if not even its head can be read
	Err    error   // wraps ErrDamaged; a Record beside it has no body
}

const (
	// maxReadBytes is about the max number of bytes of one refill read.
	maxReadBytes = 256 << 10
	// maxGapBytes is the max number of bytes between two records that are read with one
	// call, which is cheaper than two calls.
	maxGapBytes = 4 << 10
)

// Read reads the messages of a refill read, with their bodies: all of them, or the first
// ones if they are large. A damaged message is a result with an error.
func (l *Log) Read(r backlog.RefillRead) ([]ReadResult, error) {
	entries, heads, err := l.readEntries(r.Segment, r.Entries, partByQueue, r.From, r.N)
	if err != nil {
		return nil, err
	}
	g := l.segment(r.Segment)
	total := 0
	for i := range entries {
		if total += int(entries[i].Size); total > maxReadBytes && i > 0 {
			entries, heads = entries[:i], heads[:min(i, len(heads))]
			break
		}
	}
	out := make([]ReadResult, len(entries))
	for i := 0; i < len(entries); {
		to := i + 1
		end := int64(entries[i].Offset) + int64(entries[i].Size)
		for ; to < len(entries); to++ { // read records close to each other with one call
			if from := int64(entries[to].Offset); from < end || from > end+maxGapBytes {
				break
			}
			end = int64(entries[to].Offset) + int64(entries[to].Size)
		}
		b := make([]byte, end-int64(entries[i].Offset))
		n, err := readAvailable(g.data, b, int64(entries[i].Offset))
		if err != nil {
			return nil, fmt.Errorf("backlog: %s: %w", fileName(g.first, dataSuffix), err)
		}
		b = b[:n]
		base := int64(entries[i].Offset)
		for ; i < to; i++ {
			out[i] = l.parseResult(g, entries[i], heads, i, b[min(int64(entries[i].Offset)-base, int64(n)):])
		}
	}
	return out, nil
}

// parseResult parses a record, which b begins with. If it is damaged, the head comes from
// the index block if possible; heads has the offset of it at i.
func (l *Log) parseResult(g *segmentFile, e backlog.Entry, heads []uint32, i int, b []byte) ReadResult {
	p, ok := parseHead(b, g.salt, int64(e.Offset))
	if ok = ok && p.Seq == e.Seq; ok && p.parseBody(b) {
		return ReadResult{Entry: e, Record: &p.Record}
	}
	out := ReadResult{Entry: e,
		Err: fmt.Errorf("backlog: %s at %d: %w", fileName(g.first, dataSuffix), e.Offset, ErrDamaged)}
	if ok {
		out.Record = &p.Record
	} else if i < len(heads) {
		if h := l.readIndexedHead(g, e, heads[i]); h != nil {
			out.Record = h
		}
	}
	return out
}

// readIndexedHead reads the head of a record from the index block; nil if it can't.
func (l *Log) readIndexedHead(g *segmentFile, e backlog.Entry, at uint32) *Record {
	if g.index == nil || e.HeadSize < recordPrefixSize || e.HeadSize > recordPrefixSize+maxHeadSize {
		return nil
	}
	b := make([]byte, e.HeadSize)
	if n, err := readAvailable(g.index, b, g.layout.parts[partHeads]+int64(at)); err != nil || n < len(b) {
		return nil
	}
	if p, ok := parseHead(b, g.salt, int64(e.Offset)); ok && p.Seq == e.Seq {
		return &p.Record
	}
	return nil
}

// readEntries returns given, unless it is nil. Otherwise it reads n entries of a segment
// from its index block, starting at position from of the order that part holds. heads has
// the offsets of their heads in the part of the heads.
func (l *Log) readEntries(first uint64, given []backlog.Entry, part int, from, n uint32) (list []backlog.Entry,
	heads []uint32, err error) {
	g := l.segment(first)
	if g == nil {
		return nil, nil, fmt.Errorf("backlog: no segment %d", first)
	}
	if given != nil {
		return given, nil, nil
	}
	if g.index == nil || from+n > g.layout.n {
		return nil, nil, fmt.Errorf("backlog: segment %d has no index block, or a smaller one", first)
	}
	positions := make([]byte, 4*n)
	if err := readExactly(g.index, positions, g.layout.parts[part]+4*int64(from)); err != nil {
		return nil, nil, fmt.Errorf("backlog: %s: %w", fileName(first, indexSuffix), err)
	}
	low, high := uint32(math.MaxUint32), uint32(0)
	at := make([]uint32, n)
	for i := range at {
		at[i] = binary.LittleEndian.Uint32(positions[4*i:])
		if at[i] >= g.layout.n {
			return nil, nil, fmt.Errorf("backlog: %s: position %d: %w", fileName(first, indexSuffix), at[i], ErrDamaged)
		}
		low, high = min(low, at[i]), max(high, at[i])
	}
	base := g.layout.parts[partEntries]
	var all []byte
	if n > 0 && high-low < 4*n { // read entries close to each other with one call
		all = make([]byte, int(high-low+1)*entrySize)
		if err := readExactly(g.index, all, base+int64(low)*entrySize); err != nil {
			return nil, nil, fmt.Errorf("backlog: %s: %w", fileName(first, indexSuffix), err)
		}
	}
	var one [entrySize]byte
	for _, p := range at {
		raw := one[:]
		if all != nil {
			raw = all[int(p-low)*entrySize:]
		} else if err := readExactly(g.index, raw, base+int64(p)*entrySize); err != nil {
			return nil, nil, fmt.Errorf("backlog: %s: %w", fileName(first, indexSuffix), err)
		}
		e, head, ok := g.parseEntry(raw, p)
		if !ok {
			return nil, nil, fmt.Errorf("backlog: %s: entry %d: %w", fileName(first, indexSuffix), p, ErrDamaged)
		}
		list, heads = append(list, e), append(heads, head)
	}
	return list, heads, nil
}

// ReadExpiring reads the messages of an expiry read, without their bodies. after is the
// deadline of the message that follows them in the by-deadline order; math.MaxInt64 if
// there is none.
func (l *Log) ReadExpiring(r backlog.ExpiryRead) (list []ReadResult, after int64, err error) {
	n := r.N
	g := l.segment(r.Segment)
	if r.Entries == nil && g != nil && r.From+n < g.layout.n {
		n++ // the message that follows
	}
	entries, heads, err := l.readEntries(r.Segment, r.Entries, partByDeadline, r.From, n)
	if err != nil {
		return nil, 0, err
	}
	after = math.MaxInt64
	if r.Entries == nil && n > r.N {
		after = entries[r.N].Deadline
		entries = entries[:r.N]
	}
	for i := range entries {
		got, err := l.readHead(g, entries[i], heads, i)
		if err != nil {
			return nil, 0, err
		}
		list = append(list, got)
	}
	return list, after, nil
}

// readHead reads the head of a record, from the index block if possible. A read that
// fails is an error; data that is not a valid record is a result with an error.
func (l *Log) readHead(g *segmentFile, e backlog.Entry, heads []uint32, i int) (ReadResult, error) {
	if i < len(heads) {
		if h := l.readIndexedHead(g, e, heads[i]); h != nil {
			return ReadResult{Entry: e, Record: h}, nil
		}
	}
	b := make([]byte, e.HeadSize)
	n, err := readAvailable(g.data, b, int64(e.Offset))
	if err != nil {
		return ReadResult{}, fmt.Errorf("backlog: %s: %w", fileName(g.first, dataSuffix), err)
	}
	if p, ok := parseHead(b[:n], g.salt, int64(e.Offset)); ok && p.Seq == e.Seq {
		return ReadResult{Entry: e, Record: &p.Record}, nil
	}
	return ReadResult{Entry: e,
		Err: fmt.Errorf("backlog: %s at %d: %w", fileName(g.first, dataSuffix), e.Offset, ErrDamaged)}, nil
}

// Lookup reads the head of the message at a position of a segment. given is its entry if
// the segment has no index block yet, else nil.
func (l *Log) Lookup(first uint64, at uint32, given *backlog.Entry) (ReadResult, error) {
	g := l.segment(first)
	if g == nil {
		return ReadResult{}, fmt.Errorf("backlog: no segment %d", first)
	}
	if given != nil {
		return l.readHead(g, *given, nil, 0)
	}
	if g.index == nil || at >= g.layout.n {
		return ReadResult{}, fmt.Errorf("backlog: segment %d has no index block, or a smaller one", first)
	}
	var raw [entrySize]byte
	if err := readExactly(g.index, raw[:], g.layout.parts[partEntries]+int64(at)*entrySize); err != nil {
		return ReadResult{}, fmt.Errorf("backlog: %s: %w", fileName(first, indexSuffix), err)
	}
	e, head, ok := g.parseEntry(raw[:], at)
	if !ok {
		return ReadResult{}, fmt.Errorf("backlog: %s: entry %d: %w", fileName(first, indexSuffix), at, ErrDamaged)
	}
	return l.readHead(g, e, []uint32{head}, 0)
}

// readAvailable reads into b until it is full or the file ends.
func readAvailable(f vfs.File, b []byte, at int64) (n int, err error) {
	n, err = f.ReadAt(b, at)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// readExactly reads into b until it is full. The end of the file before that is an error.
func readExactly(f vfs.File, b []byte, at int64) error {
	if n, err := f.ReadAt(b, at); n < len(b) {
		return err
	}
	return nil
}
