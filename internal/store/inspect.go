package store

import (
	"errors"
	"fmt"
	"io"

	"cometrack/internal/vfs"
)

// Record is one record of a segment.
type Record struct {
	Segment string
	Offset  int64
	Size    int
	Kind    string // put, delete, sum or close
	Seq     uint64
	Key     string
	Value   []byte // put
}

// SegmentReport tells what a segment holds.
type SegmentReport struct {
	Segment       string
	Size          int64
	Records       int
	TailBytes     int64 // bytes at its end that hold no record
	ClosedCleanly bool  // it ends with the mark of a store that was closed in good order
	Damaged       []Damage
	Error         string // why nothing of it can be read
}

// Lock keeps others out of a store that is not open here: see [vfs.FS.Lock].
func Lock(dir vfs.FS) (io.Closer, error) { return dir.Lock(lockName) }

// Inspect reads the segments of a folder in order, without changing any and
// without the lock: of a store in use it sees what is there at the moment. Visit
// may be nil; the bytes are its to keep.
func Inspect(dir vfs.FS, visit func(Record) error) ([]SegmentReport, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var out []SegmentReport
	sizes := map[string]int64{}
	for _, name := range names {
		number, ok := segNumber(name)
		if !ok {
			continue
		}
		r, err := inspect(dir, name, number, sizes, visit)
		if err != nil {
			return out, err
		}
		out = append(out, r)
	}
	for i := range out {
		r := &out[i]
		if r.TailBytes > 0 && i < len(out)-1 {
			r.Damaged = append(r.Damaged, Damage{Segment: r.Segment, From: r.Size - r.TailBytes, To: r.Size})
		}
		if want := sizes[r.Segment]; r.Size < want {
			r.Damaged = append(r.Damaged, Damage{Segment: r.Segment, From: r.Size, To: want})
		}
	}
	return out, nil
}

func inspect(dir vfs.FS, name string, number uint32, sizes map[string]int64, visit func(Record) error) (SegmentReport, error) {
	r := SegmentReport{Segment: name}
	f, err := dir.Open(name, false)
	if err != nil {
		return r, fmt.Errorf("store: %w", err)
	}
	b, err := read(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return r, fmt.Errorf("store: %s: %w", name, err)
	}
	r.Size = int64(len(b))
	h, ok, err := readHeader(b, number)
	switch {
	case err != nil:
		r.Error = err.Error()
	case !ok || len(b) < headerLen:
		r.Error = "its header can't be read"
	}
	if r.Error != "" {
		return r, nil
	}
	sizes[segName(h.before)] = h.sizeThen
	var stopped error
	damage, end := walk(b, h.salt, headerLen, func(f *frame) bool {
		r.Records++
		r.ClosedCleanly = f.kind == kindClose
		if visit != nil {
			it := Record{Segment: name, Offset: int64(f.off), Size: f.size, Kind: kindNames[f.kind], Seq: f.seq, Key: string(f.key)}
			if f.kind == kindPut {
				it.Value = append([]byte{}, f.value...)
			}
			stopped = visit(it)
		}
		return stopped == nil
	})
	r.TailBytes = int64(len(b) - end)
	for _, d := range damage {
		r.Damaged = append(r.Damaged, Damage{Segment: name, From: int64(d.from), To: int64(d.to)})
	}
	return r, stopped
}

var kindNames = map[byte]string{kindPut: "put", kindDel: "delete", kindSum: "sum", kindClose: "close"}

// LiveRecords finds the records that count among those that Inspect has visited.
type LiveRecords struct{ latest map[string]Record }

// Add takes a record.
func (l *LiveRecords) Add(it Record) {
	if it.Key == "" {
		return
	}
	if l.latest == nil {
		l.latest = map[string]Record{}
	}
	if had, ok := l.latest[it.Key]; !ok || it.Seq >= had.Seq {
		l.latest[it.Key] = it
	}
}

// Visit calls visit for each record that counts.
func (l *LiveRecords) Visit(visit func(Record)) {
	for _, it := range l.latest {
		if it.Kind == "put" {
			visit(it)
		}
	}
}

// Repair makes a sound store in the empty folder to out of what can be read of
// from, which it does not change, and tells what was found.
func Repair(from, to vfs.FS, opts Options) (Recovery, error) {
	found, err := repair(from, to, opts)
	if err != nil {
		return found, fmt.Errorf("store: repair: %w", err)
	}
	return found, nil
}

func repair(from, to vfs.FS, opts Options) (Recovery, error) {
	if names, err := to.List(); err != nil || len(names) > 0 {
		return Recovery{}, errors.Join(err, fmt.Errorf("the folder is not empty"))
	}
	names, err := from.List()
	if err != nil {
		return Recovery{}, err
	}
	for _, name := range names {
		if _, ok := segNumber(name); !ok {
			continue
		}
		f, err := from.Open(name, false)
		if err != nil {
			return Recovery{}, err
		}
		b, err := read(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return Recovery{}, err
		}
		if err := (&Store{fs: to, opts: opts}).save(name, b); err != nil {
			return Recovery{}, err
		}
	}
	opts.Manual, opts.MaxBytes = true, 0
	s, err := Open(to, opts)
	if err != nil {
		return Recovery{}, err
	}
	return s.found, errors.Join(s.rewrite(), s.Close())
}

// rewrite copies what counts in all segments to new ones.
func (s *Store) rewrite() error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if s.active() == nil {
		return nil
	}
	old := append([]*segment{}, s.segs...)
	if err := s.rotate(); err != nil {
		return err
	}
	for _, g := range old {
		b, err := read(g.file)
		if err != nil {
			return err
		}
		s.victim = &victim{seg: g, data: b, at: headerLen}
		for done := false; !done; {
			if done, err = s.copy(int(s.opts.SegmentBytes)); err != nil {
				return err
			}
		}
		s.victim = nil
		s.drop(g)
	}
	return s.reapNow()
}
