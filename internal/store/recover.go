package store

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"cometrack/internal/store/index"
	"cometrack/internal/store/plan"
)

const (
	damagedPrefix = "damaged-"
	// keptDamage of a segment's size is how much of what can't be read is set aside.
	keptDamage = 0.5
)

// Recovery tells what was found when a store was opened.
type Recovery struct {
	Segments       int
	Records        int
	TruncatedBytes int64 // bytes of a last write that was not whole, or not synced
	Damaged        []Damage
}

// Damage is a stretch of a segment that can't be read though it was written whole
// once.
type Damage struct {
	Segment  string
	From, To int64  // bytes of the segment
	SavedAs  string // file that holds the bytes; empty if there was no room for them
}

// RecordsLost says that records are lost, so that the latest word on any key may be
// missing.
func (r Recovery) RecordsLost() bool { return len(r.Damaged) > 0 }

// recover builds the index: from the checkpoint and the segments written since, if
// that can be, else from all segments, in order.
func (s *Store) recover() error {
	d, err := s.survey()
	if err != nil {
		return err
	}
	if s.checkpointed > 0 {
		if ok, err := s.recoverFast(d); ok || err != nil {
			return err
		}
		s.opts.Log.Warn("store: the checkpoint is no good; all segments are read")
		for _, g := range s.segs {
			if err := g.file.Close(); err != nil {
				return err
			}
		}
		s.segs, s.index, s.seq, s.synced, s.used, s.live, s.found = nil, index.New[loc](), 0, 0, 0, 0, Recovery{}
		if err := s.remove(checkpointName); err != nil { // what is written from now on must not make it fit
			return err
		}
		if s.opts.Sync != SyncNever {
			if err := s.fs.SyncDir(); err != nil {
				return err
			}
		}
		s.checkpointed, s.since = 0, 1<<62 // a new one is due
		if d, err = s.survey(); err != nil {
			return err
		}
	}
	return s.recoverSegments(d.numbers, d)
}

// survey looks at what files there are.
func (s *Store) survey() (*scan, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, err
	}
	d := &scan{sizes: map[uint32]int64{}}
	for _, name := range names {
		if n, ok := segNumber(name); ok {
			d.numbers = append(d.numbers, n)
			continue
		}
		if name == checkpointNew { // was being written
			if err := s.remove(name); err != nil {
				return nil, err
			}
			continue
		}
		size, err := s.sizeOf(name)
		if err != nil {
			return nil, err
		}
		s.used += plan.RoundToBlocks(size)
		switch {
		case name == checkpointName:
			s.checkpointed = plan.RoundToBlocks(size)
		case strings.HasPrefix(name, damagedPrefix):
			d.kept += plan.RoundToBlocks(size)
		}
	}
	return d, nil
}

// recoverSegments reads segments and brings the index up to date with them.
func (s *Store) recoverSegments(numbers []uint32, d *scan) error {
	for i, n := range numbers {
		if err := s.recoverSegment(n, i == len(numbers)-1, d); err != nil {
			return err
		}
	}
	for _, g := range s.segs {
		if want := d.sizes[g.number]; g.size < want { // its end is gone
			s.found.Damaged = append(s.found.Damaged, Damage{Segment: segName(g.number), From: g.size, To: want})
		}
	}
	if d.fast && s.found.RecordsLost() {
		return nil // all are to be read
	}
	if g := s.active(); g != nil && s.synced == 0 { // the file of the last one was only being made
		if err := s.settle(g); err != nil {
			return err
		}
	}
	s.account(d)
	if s.found.RecordsLost() {
		if err := s.rewriteTombstones(d); err != nil {
			return err
		}
	}
	s.found.Segments = len(s.segs)
	if s.found.TruncatedBytes > 0 {
		s.opts.Log.Info("store: the last write was not whole and has been cut off", "bytes", s.found.TruncatedBytes)
	}
	for _, d := range s.found.Damaged {
		s.opts.Log.Error("store: damaged bytes", "segment", d.Segment, "from", d.From, "to", d.To, "aside", d.SavedAs)
	}
	return nil
}

// account counts what lives in each segment. What stood in one that is gone is
// dead: a segment goes once all that counts has been copied behind the checkpoint.
func (s *Store) account(d *scan) {
	by, dead := map[uint32]*segment{}, [][]byte(nil)
	for _, g := range s.segs {
		by[g.number] = g
	}
	s.index.Visit(func(key []byte, at loc) bool {
		g := by[at.seg]
		if g == nil {
			dead = append(dead, append([]byte(nil), key...))
			return true
		}
		d.beyond = d.beyond || int64(at.off)+int64(at.size) > g.size
		g.live += int64(at.size)
		s.live += int64(at.size)
		return true
	})
	for _, key := range dead {
		s.index.Delete(key)
	}
}

func (s *Store) sizeOf(name string) (int64, error) {
	f, err := s.fs.Open(name, false)
	if err != nil {
		return 0, err
	}
	size, err := f.Size()
	return size, errors.Join(err, f.Close())
}

// recoverSegment reads one segment.
func (s *Store) recoverSegment(number uint32, last bool, d *scan) error {
	name := segName(number)
	file, err := s.fs.Open(name, false)
	if err != nil {
		return err
	}
	g := &segment{number: number, file: file, lo: 1}
	b, err := read(file)
	var h head
	var ok bool
	if err == nil {
		h, ok, err = readHeader(b, number)
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	if !ok || len(b) < headerLen {
		return errors.Join(s.noHeader(name, b, last, d), file.Close())
	}
	g.salt = h.salt
	d.sizes[h.before] = h.sizeThen
	size := len(b)
	if last {
		size = lastWhole(b, g.salt)
	}
	s.segs = append(s.segs, g)
	s.tombstones = s.tombstones[:0]
	damage, end := walk(b[:size], g.salt, headerLen, func(f *frame) bool {
		s.found.Records++
		s.replay(g, f, d)
		return true
	})
	if end < size { // nothing but the last segment may end within a record
		damage = append(damage, span{end, size})
	}
	g.size = int64(size)
	s.used += plan.RoundToBlocks(g.size)
	for _, x := range damage {
		if err := s.setAside(name, b, x, d); err != nil {
			return err
		}
	}
	if size < len(b) {
		s.found.TruncatedBytes += int64(len(b) - size)
		if err := file.Truncate(g.size); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	return s.settle(g) // the cut too: what was cut off must not come back beneath new records
}

// settle makes what the last process wrote last: it counts from now on.
func (s *Store) settle(g *segment) error {
	if s.opts.Sync != SyncNever {
		if err := g.file.Sync(); err != nil {
			return err
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
	}
	s.synced = g.size
	return nil
}

// lastWhole is where the last segment's last write ends that can be told to be
// whole: damage behind which no later write was begun is that of a write which a
// crash has cut short. If the sequence numbers have no gap there, what can't be
// read is one of two records of a deletion, and nothing is lost.
func lastWhole(b []byte, salt uint64) int {
	begun, seq := 0, uint64(0)
	gapless := map[int]bool{} // by the offset of the frame behind the damage
	off := headerLen
	damage, end := walk(b, salt, headerLen, func(f *frame) bool {
		if f.start {
			begun = f.off
		}
		if f.off > off {
			gapless[f.off] = f.seq == seq+1
		}
		off, seq = f.off+f.size, max(seq, f.seq)
		return true
	})
	for _, d := range damage {
		if d.to > begun && !gapless[d.to] {
			return d.from
		}
	}
	return end
}

// scan is what recovery learns on its way.
type scan struct {
	numbers []uint32         // of the segments that there are
	kept    int64            // bytes set aside
	beyond  bool             // an entry is for what lies behind the end of its segment
	fast    bool             // the index came from a checkpoint; if anything is wrong, all is read
	sizes   map[uint32]int64 // of segments, as the next ones tell
	sums    []sumAt
}

type sumAt struct {
	g  *segment
	at loc
}

// replay brings the index up to date with a record. Of two values the later one in
// the log counts; a deletion may have been copied behind a later value.
func (s *Store) replay(g *segment, f *frame, d *scan) {
	s.seq = max(s.seq, f.seq)
	switch f.kind {
	case kindDel:
		g.addTombstone(f)
		s.addTombstone(f)
		if at, had := s.index.Get(f.key); had && at.seq < f.seq {
			s.index.Delete(f.key)
		}
	case kindSum:
		g.addTombstone(f)
		d.sums = append(d.sums, sumAt{g, loc{off: uint32(f.off), size: uint32(f.size)}})
	case kindPut:
		now := loc{seq: f.seq, seg: g.number, off: uint32(f.off), size: uint32(f.size), first: g.number}
		if at, had := s.index.Get(f.key); had {
			now.first = at.first
		}
		s.index.Set(f.key, now)
	}
}

// noHeader takes a segment away whose header can't be read.
func (s *Store) noHeader(name string, b []byte, last bool, d *scan) error {
	if last && (len(b) <= headerLen || len(bytes.Trim(b, "\x00")) == 0) {
		s.found.TruncatedBytes += int64(len(b)) // it was being made
		return s.remove(name)
	}
	if d.fast { // all segments are going to be read
		s.found.Damaged = append(s.found.Damaged, Damage{Segment: name})
		return nil
	}
	s.used += plan.RoundToBlocks(int64(len(b)))
	d.kept += plan.RoundToBlocks(int64(len(b)))
	aside := damagedPrefix + name
	if err := s.fs.Rename(name, aside); err != nil {
		return err
	}
	s.found.Damaged = append(s.found.Damaged, Damage{name, 0, int64(len(b)), aside})
	if s.opts.Sync == SyncNever {
		return nil
	}
	return s.fs.SyncDir()
}

// setAside copies a damaged stretch to a file of its own.
func (s *Store) setAside(name string, b []byte, x span, d *scan) error {
	aside := fmt.Sprintf("%s%s-%d", damagedPrefix, name, x.from)
	report := Damage{Segment: name, From: int64(x.from), To: int64(x.to)}
	size := int64(x.to - x.from)
	if d.fast { // all segments are going to be read
	} else if had, err := s.sizeOf(aside); err == nil && had == size {
		report.SavedAs = aside // by an earlier start
	} else if s.bounds.MaxBytes == 0 || d.kept+plan.RoundToBlocks(size) <= int64(keptDamage*float64(s.opts.SegmentBytes)) {
		if err := s.save(aside, b[x.from:x.to]); err != nil {
			return err
		}
		report.SavedAs = aside
		d.kept += plan.RoundToBlocks(size)
		s.used += plan.RoundToBlocks(size)
	}
	s.found.Damaged = append(s.found.Damaged, report)
	return nil
}

func (s *Store) save(name string, b []byte) error {
	f, err := s.fs.Open(name, true)
	if err != nil {
		return err
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(b, 0)
	}
	if err == nil && s.opts.Sync != SyncNever {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
