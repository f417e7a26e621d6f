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
	Value   []byte // put only
}

// SegmentReport describes the contents of a segment.
type SegmentReport struct {
	Segment       string
	Size          int64
	Records       int
	TailBytes     int64 // bytes at its end that hold no record
	ClosedCleanly bool  // its last record marks a clean close of the store
	Damaged       []Damage
	Error         string // why it could not be read at all
}

// Lock takes the lock of a store that this process has not opened, and keeps other processes out: see [vfs.FS.Lock].
func Lock(dir vfs.FS) (io.Closer, error) { return dir.Lock(lockName) }

// Inspect reads the segments of a folder in order, without changing them and without the lock: if the store is in use,
// it sees the current contents. visit may be nil; it may keep the bytes.
func Inspect(dir vfs.FS, visit func(Record) error) ([]SegmentReport, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var reports []SegmentReport
	sizes := map[string]int64{}
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		r, err := inspect(dir, name, number, sizes, visit)
		if err != nil {
			return reports, err
		}
		reports = append(reports, r)
	}
	for i := range reports {
		r := &reports[i]
		if r.TailBytes > 0 && i < len(reports)-1 {
			r.Damaged = append(r.Damaged, Damage{Segment: r.Segment, From: r.Size - r.TailBytes, To: r.Size})
		}
		if want := sizes[r.Segment]; r.Size < want {
			r.Damaged = append(r.Damaged, Damage{Segment: r.Segment, From: r.Size, To: want})
		}
	}
	return reports, nil
}

// inspect reads one segment, and adds the size of the previous one from its header to sizes.
func inspect(dir vfs.FS, name string, number uint32, sizes map[string]int64,
	visit func(Record) error) (SegmentReport, error) {
	r := SegmentReport{Segment: name}
	f, err := dir.Open(name, false)
	if err != nil {
		return r, fmt.Errorf("store: %w", err)
	}
	b, err := readAll(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return r, fmt.Errorf("store: %s: %w", name, err)
	}
	r.Size = int64(len(b))
	h, ok, err := parseHeader(b, number)
	switch {
	case err != nil:
		r.Error = err.Error()
	case !ok || len(b) < headerLen:
		r.Error = "its header can't be read"
	}
	if r.Error != "" {
		return r, nil
	}
	sizes[segmentName(h.prevNumber)] = h.prevSize
	var visitErr error
	damage, end := scanFrames(b, h.salt, headerLen, func(f *frame) bool {
		r.Records++
		r.ClosedCleanly = f.kind == kindClose
		if visit != nil {
			record := Record{Segment: name, Offset: int64(f.offset), Size: f.size, Kind: kindNames[f.kind],
				Seq: f.seq, Key: string(f.key)}
			if f.kind == kindPut {
				record.Value = append([]byte{}, f.value...)
			}
			visitErr = visit(record)
		}
		return visitErr == nil
	})
	r.TailBytes = int64(len(b) - end)
	for _, d := range damage {
		r.Damaged = append(r.Damaged, Damage{Segment: name, From: int64(d.from), To: int64(d.to)})
	}
	return r, visitErr
}

// kindNames are the kinds of records as [Record].Kind names them.
var kindNames = map[byte]string{kindPut: "put", kindDelete: "delete", kindSum: "sum", kindClose: "close"}

// LiveRecords selects the current records from those that Inspect has visited.
type LiveRecords struct{ latest map[string]Record }

// Add adds a record.
func (l *LiveRecords) Add(record Record) {
	if record.Key == "" {
		return
	}
	if l.latest == nil {
		l.latest = map[string]Record{}
	}
	if old, ok := l.latest[record.Key]; !ok || record.Seq >= old.Seq {
		l.latest[record.Key] = record
	}
}

// Visit calls visit for each current record, in no order.
func (l *LiveRecords) Visit(visit func(Record)) {
	for _, record := range l.latest {
		if record.Kind == "put" {
			visit(record)
		}
	}
}

// Repair creates an undamaged store in the empty folder to from what can be read in the folder from, which it does not
// change. It returns what recovery found.
func Repair(from, to vfs.FS, opts Options) (Recovery, error) {
	found, err := repair(from, to, opts)
	if err != nil {
		return found, fmt.Errorf("store: repair: %w", err)
	}
	return found, nil
}

// repair copies the segments to the new folder, recovers them there, and moves the current records to new segments.
func repair(from, to vfs.FS, opts Options) (Recovery, error) {
	if names, err := to.List(); err != nil || len(names) > 0 {
		return Recovery{}, errors.Join(err, fmt.Errorf("the folder is not empty"))
	}
	names, err := from.List()
	if err != nil {
		return Recovery{}, err
	}
	for _, name := range names {
		if _, ok := parseSegmentName(name); !ok {
			continue
		}
		f, err := from.Open(name, false)
		if err != nil {
			return Recovery{}, err
		}
		b, err := readAll(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return Recovery{}, err
		}
		if err := (&Store{fs: to, opts: opts}).writeFile(name, b); err != nil {
			return Recovery{}, err
		}
	}
	opts.Manual, opts.MaxBytes = true, 0
	s, err := Open(to, opts)
	if err != nil {
		return Recovery{}, err
	}
	return s.recovery, errors.Join(s.rewriteLive(), s.Close())
}

// rewriteLive copies the current records of all segments to new ones.
func (s *Store) rewriteLive() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.active() == nil {
		return nil
	}
	old := append([]*segment{}, s.segments...)
	if err := s.rotate(); err != nil {
		return err
	}
	for _, g := range old {
		b, err := readAll(g.file)
		if err != nil {
			return err
		}
		s.victim = &victim{segment: g, data: b, offset: headerLen}
		for done := false; !done; {
			if done, err = s.copyLive(int(s.opts.SegmentBytes)); err != nil {
				return err
			}
		}
		s.victim = nil
		s.retireSegment(g)
	}
	return s.unlinkObsolete()
}
