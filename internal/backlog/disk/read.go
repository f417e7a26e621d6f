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

// ReadResult is a message that was read.
type ReadResult struct {
	Entry  backlog.Entry
	Record *Record // nil if not even its head can be read
	Err    error   // it is damaged: the record has no body
}

const (
	// mostRead is about how many bytes one read brings at most.
	mostRead = 256 << 10
	// gap is how many bytes that were not asked for are read along rather than in two calls.
	gap = 4 << 10
)

// Read reads messages back, bodies included: those that were asked for, or the first
// of them if they are large.
func (l *Log) Read(r backlog.RefillRead) ([]ReadResult, error) {
	entries, heads, err := l.entries(r.Segment, r.Entries, partByLane, r.From, r.N)
	if err != nil {
		return nil, err
	}
	g := l.file(r.Segment)
	total := 0
	for i := range entries {
		if total += int(entries[i].Size); total > mostRead && i > 0 {
			entries, heads = entries[:i], heads[:min(i, len(heads))]
			break
		}
	}
	out := make([]ReadResult, len(entries))
	for i := 0; i < len(entries); {
		to := i + 1
		end := int64(entries[i].Offset) + int64(entries[i].Size)
		for ; to < len(entries); to++ { // they may lie close to each other
			if from := int64(entries[to].Offset); from < end || from > end+gap {
				break
			}
			end = int64(entries[to].Offset) + int64(entries[to].Size)
		}
		b := make([]byte, end-int64(entries[i].Offset))
		n, err := readFull(g.data, b, int64(entries[i].Offset))
		if err != nil {
			return nil, fmt.Errorf("backlog: %s: %w", name(g.first, dataSuffix), err)
		}
		b = b[:n]
		base := int64(entries[i].Offset)
		for ; i < to; i++ {
			out[i] = l.got(g, entries[i], heads, i, b[min(int64(entries[i].Offset)-base, int64(n)):])
		}
	}
	return out, nil
}

// got makes a message of its record's bytes, or names it by its head in the index block.
func (l *Log) got(g *file, e backlog.Entry, heads []uint32, i int, b []byte) ReadResult {
	p, ok := parseHead(b, g.salt, int64(e.Offset))
	if ok = ok && p.Seq == e.Seq; ok && p.body(b) {
		return ReadResult{Entry: e, Record: &p.Record}
	}
	out := ReadResult{Entry: e, Err: fmt.Errorf("backlog: %s at %d: %w", name(g.first, dataSuffix), e.Offset, ErrDamaged)}
	if ok {
		out.Record = &p.Record
	} else if i < len(heads) {
		if h := l.head(g, e, heads[i]); h != nil {
			out.Record = h
		}
	}
	return out
}

// head reads the head of a record from the index block; nil if it can't be read.
func (l *Log) head(g *file, e backlog.Entry, at uint32) *Record {
	if g.index == nil || e.HeadSize < recordHead || e.HeadSize > recordHead+mostHead {
		return nil
	}
	b := make([]byte, e.HeadSize)
	if n, err := readFull(g.index, b, g.layout.parts[partHeads]+int64(at)); err != nil || n < len(b) {
		return nil
	}
	if p, ok := parseHead(b, g.salt, int64(e.Offset)); ok && p.Seq == e.Seq {
		return &p.Record
	}
	return nil
}

// entries reads entries, in one of the orders of an index block, unless they are
// given.
func (l *Log) entries(first uint64, given []backlog.Entry, part int, from, n uint32) (list []backlog.Entry, heads []uint32, err error) {
	g := l.file(first)
	if g == nil {
		return nil, nil, fmt.Errorf("backlog: no segment %d", first)
	}
	if given != nil {
		return given, nil, nil
	}
	if g.index == nil || from+n > g.layout.n {
		return nil, nil, fmt.Errorf("backlog: segment %d has no index block, or a smaller one", first)
	}
	places := make([]byte, 4*n)
	if err := readAll(g.index, places, g.layout.parts[part]+4*int64(from)); err != nil {
		return nil, nil, fmt.Errorf("backlog: %s: %w", name(first, indexSuffix), err)
	}
	low, high := uint32(math.MaxUint32), uint32(0)
	at := make([]uint32, n)
	for i := range at {
		at[i] = binary.LittleEndian.Uint32(places[4*i:])
		if at[i] >= g.layout.n {
			return nil, nil, fmt.Errorf("backlog: %s: place %d: %w", name(first, indexSuffix), at[i], ErrDamaged)
		}
		low, high = min(low, at[i]), max(high, at[i])
	}
	base := g.layout.parts[partEntries]
	var all []byte
	if n > 0 && high-low < 4*n { // they lie close to each other
		all = make([]byte, int(high-low+1)*entrySize)
		if err := readAll(g.index, all, base+int64(low)*entrySize); err != nil {
			return nil, nil, fmt.Errorf("backlog: %s: %w", name(first, indexSuffix), err)
		}
	}
	var one [entrySize]byte
	for _, p := range at {
		raw := one[:]
		if all != nil {
			raw = all[int(p-low)*entrySize:]
		} else if err := readAll(g.index, raw, base+int64(p)*entrySize); err != nil {
			return nil, nil, fmt.Errorf("backlog: %s: %w", name(first, indexSuffix), err)
		}
		e, head, ok := g.parseEntry(raw, p)
		if !ok {
			return nil, nil, fmt.Errorf("backlog: %s: entry %d: %w", name(first, indexSuffix), p, ErrDamaged)
		}
		list, heads = append(list, e), append(heads, head)
	}
	return list, heads, nil
}

// ReadExpiring reads the messages whose ends were asked for, without their bodies, and the
// deadline of the one after them; the largest number if there is none.
func (l *Log) ReadExpiring(r backlog.ExpiryRead) (list []ReadResult, after int64, err error) {
	n := r.N
	g := l.file(r.Segment)
	if r.Entries == nil && g != nil && r.From+n < g.layout.n {
		n++ // the one after
	}
	entries, heads, err := l.entries(r.Segment, r.Entries, partByDeadline, r.From, n)
	if err != nil {
		return nil, 0, err
	}
	after = math.MaxInt64
	if r.Entries == nil && n > r.N {
		after = entries[r.N].Deadline
		entries = entries[:r.N]
	}
	for i := range entries {
		got, err := l.gotHead(g, entries[i], heads, i)
		if err != nil {
			return nil, 0, err
		}
		list = append(list, got)
	}
	return list, after, nil
}

// gotHead makes a message of a record's head. What the disk does not give now is an
// error; what it gives and is no record is damage.
func (l *Log) gotHead(g *file, e backlog.Entry, heads []uint32, i int) (ReadResult, error) {
	if i < len(heads) {
		if h := l.head(g, e, heads[i]); h != nil {
			return ReadResult{Entry: e, Record: h}, nil
		}
	}
	b := make([]byte, e.HeadSize)
	n, err := readFull(g.data, b, int64(e.Offset))
	if err != nil {
		return ReadResult{}, fmt.Errorf("backlog: %s: %w", name(g.first, dataSuffix), err)
	}
	if p, ok := parseHead(b[:n], g.salt, int64(e.Offset)); ok && p.Seq == e.Seq {
		return ReadResult{Entry: e, Record: &p.Record}, nil
	}
	return ReadResult{Entry: e, Err: fmt.Errorf("backlog: %s at %d: %w", name(g.first, dataSuffix), e.Offset, ErrDamaged)}, nil
}

// Lookup reads the head of the message at a place of a segment, of which the entry is
// given if there is no index block yet.
func (l *Log) Lookup(first uint64, at uint32, given *backlog.Entry) (ReadResult, error) {
	g := l.file(first)
	if g == nil {
		return ReadResult{}, fmt.Errorf("backlog: no segment %d", first)
	}
	if given != nil {
		return l.gotHead(g, *given, nil, 0)
	}
	if g.index == nil || at >= g.layout.n {
		return ReadResult{}, fmt.Errorf("backlog: segment %d has no index block, or a smaller one", first)
	}
	var raw [entrySize]byte
	if err := readAll(g.index, raw[:], g.layout.parts[partEntries]+int64(at)*entrySize); err != nil {
		return ReadResult{}, fmt.Errorf("backlog: %s: %w", name(first, indexSuffix), err)
	}
	e, head, ok := g.parseEntry(raw[:], at)
	if !ok {
		return ReadResult{}, fmt.Errorf("backlog: %s: entry %d: %w", name(first, indexSuffix), at, ErrDamaged)
	}
	return l.gotHead(g, e, []uint32{head}, 0)
}

// readFull reads as much of b as there is.
func readFull(f vfs.File, b []byte, at int64) (n int, err error) {
	n, err = f.ReadAt(b, at)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// readAll reads all of b.
func readAll(f vfs.File, b []byte, at int64) error {
	if n, err := f.ReadAt(b, at); n < len(b) {
		return err
	}
	return nil
}
