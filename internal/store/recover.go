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
	// damagedPrefix begins the names of files with saved damage.
	damagedPrefix = "damaged-"
	// maxSavedDamage is the fraction of a segment's size up to which damaged bytes are saved.
	maxSavedDamage = 0.5
)

// Recovery describes what was found when a store was opened.
type Recovery struct {
	Segments       int
	Records        int
	TruncatedBytes int64 // end of the last write, which was incomplete or not synced
	Damaged        []Damage
}

// Damage is a range of a segment that can't be read although it was once written completely.
type Damage struct {
	Segment  string
	From, To int64  // byte offsets in the segment
	SavedAs  string // file with a copy of the bytes; empty if there was no space for one
}

// RecordsLost reports whether records are lost, so that the latest value or deletion of any key may be missing.
func (r Recovery) RecordsLost() bool { return len(r.Damaged) > 0 }

// recover builds the index from the checkpoint and the segments written since, if possible, and else from all segments,
// in order.
func (s *Store) recover() error {
	rec, err := s.listFiles()
	if err != nil {
		return err
	}
	if s.checkpointBytes > 0 {
		if ok, err := s.recoverFromCheckpoint(rec); ok || err != nil {
			return err
		}
		s.opts.Log.Warn("store: the checkpoint is invalid; reading all segments")
		for _, g := range s.segments {
			if err := g.file.Close(); err != nil {
				return err
			}
		}
		s.segments, s.index, s.seq, s.syncedSize, s.usedBytes, s.liveBytes, s.recovery = nil, index.New[location](),
			0, 0, 0, 0, Recovery{}
		if err := s.remove(checkpointName); err != nil { // later writes must not make it match the log
			return err
		}
		if s.opts.Sync != SyncNever {
			if err := s.fs.SyncDir(); err != nil {
				return err
			}
		}
		s.checkpointBytes, s.bytesSinceCheckpoint = 0, 1<<62 // makes a new one due
		if rec, err = s.listFiles(); err != nil {
			return err
		}
	}
	return s.recoverSegments(rec.numbers, rec)
}

// listFiles lists the files of the store and accounts for those that are not segments.
func (s *Store) listFiles() (*recoveryState, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, err
	}
	rec := &recoveryState{expectedSizes: map[uint32]int64{}}
	for _, name := range names {
		if n, ok := parseSegmentName(name); ok {
			rec.numbers = append(rec.numbers, n)
			continue
		}
		if name == checkpointNew { // it was incomplete when the process ended
			if err := s.remove(name); err != nil {
				return nil, err
			}
			continue
		}
		size, err := s.fileSize(name)
		if err != nil {
			return nil, err
		}
		s.usedBytes += plan.RoundToBlocks(size)
		switch {
		case name == checkpointName:
			s.checkpointBytes = plan.RoundToBlocks(size)
		case strings.HasPrefix(name, damagedPrefix):
			rec.savedBytes += plan.RoundToBlocks(size)
		}
	}
	return rec, nil
}

// recoverSegments reads segments and updates the index with them.
func (s *Store) recoverSegments(numbers []uint32, rec *recoveryState) error {
	for i, n := range numbers {
		if err := s.recoverSegment(n, i == len(numbers)-1, rec); err != nil {
			return err
		}
	}
	for _, g := range s.segments {
		if want := rec.expectedSizes[g.number]; g.size < want { // its end is missing
			s.recovery.Damaged = append(s.recovery.Damaged,
				Damage{Segment: segmentName(g.number), From: g.size, To: want})
		}
	}
	if rec.fromCheckpoint && s.recovery.RecordsLost() {
		return nil // all segments will be read
	}
	if g := s.active(); g != nil && s.syncedSize == 0 { // the last file was only being created
		if err := s.syncRecovered(g); err != nil {
			return err
		}
	}
	s.countLive(rec)
	if s.recovery.RecordsLost() {
		if err := s.applyTombstoneSums(rec); err != nil {
			return err
		}
	}
	s.recovery.Segments = len(s.segments)
	if s.recovery.TruncatedBytes > 0 {
		s.opts.Log.Info("store: truncated an incomplete last write", "bytes", s.recovery.TruncatedBytes)
	}
	for _, damage := range s.recovery.Damaged {
		s.opts.Log.Error("store: damaged bytes", "segment", damage.Segment, "from", damage.From, "to", damage.To,
			"aside", damage.SavedAs)
	}
	return nil
}

// countLive computes the live bytes of each segment. Keys whose segment is gone are removed from the index: a segment
// is removed only after all its current records have been copied to the log after the checkpoint's position.
func (s *Store) countLive(rec *recoveryState) {
	byNumber, deadKeys := map[uint32]*segment{}, [][]byte(nil)
	for _, g := range s.segments {
		byNumber[g.number] = g
	}
	s.index.Visit(func(key []byte, loc location) bool {
		g := byNumber[loc.segment]
		if g == nil {
			deadKeys = append(deadKeys, append([]byte(nil), key...))
			return true
		}
		rec.pastEnd = rec.pastEnd || int64(loc.offset)+int64(loc.size) > g.size
		g.liveBytes += int64(loc.size)
		s.liveBytes += int64(loc.size)
		return true
	})
	for _, key := range deadKeys {
		s.index.Delete(key)
	}
}

// fileSize returns the size of a file in bytes.
func (s *Store) fileSize(name string) (int64, error) {
	f, err := s.fs.Open(name, false)
	if err != nil {
		return 0, err
	}
	size, err := f.Size()
	return size, errors.Join(err, f.Close())
}

// recoverSegment reads one segment.
func (s *Store) recoverSegment(number uint32, last bool, rec *recoveryState) error {
	name := segmentName(number)
	file, err := s.fs.Open(name, false)
	if err != nil {
		return err
	}
	g := &segment{number: number, file: file, minCovered: 1}
	b, err := readAll(file)
	var h segmentHeader
	var ok bool
	if err == nil {
		h, ok, err = parseHeader(b, number)
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	if !ok || len(b) < headerLen {
		return errors.Join(s.handleBadHeader(name, b, last, rec), file.Close())
	}
	g.salt = h.salt
	rec.expectedSizes[h.prevNumber] = h.prevSize
	size := len(b)
	if last {
		size = lastWriteEnd(b, g.salt)
	}
	s.segments = append(s.segments, g)
	s.tombstones = s.tombstones[:0]
	damage, end := scanFrames(b[:size], g.salt, headerLen, func(f *frame) bool {
		s.recovery.Records++
		s.replay(g, f, rec)
		return true
	})
	if end < size { // only the last segment may end within a record
		damage = append(damage, span{end, size})
	}
	g.size = int64(size)
	s.usedBytes += plan.RoundToBlocks(g.size)
	for _, unreadable := range damage {
		if err := s.saveDamaged(name, b, unreadable, rec); err != nil {
			return err
		}
	}
	if size < len(b) {
		s.recovery.TruncatedBytes += int64(len(b) - size)
		if err := file.Truncate(g.size); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	return s.syncRecovered(g) // the truncation too: the truncated bytes must not come back under new records
}

// syncRecovered syncs what the last process wrote, since it is part of the store from now on.
func (s *Store) syncRecovered(g *segment) error {
	if s.opts.Sync != SyncNever {
		if err := g.file.Sync(); err != nil {
			return err
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
	}
	s.syncedSize = g.size
	return nil
}

// lastWriteEnd returns the end of the last write of the last segment that is known to be complete: damage after which
// no later write was begun belongs to a write that a crash has cut short. If the sequence numbers around the damage
// have no gap, the unreadable range is one of the two records of a deletion, and nothing is lost.
func lastWriteEnd(b []byte, salt uint64) int {
	lastStart, maxSeq := 0, uint64(0)
	gapless := map[int]bool{} // by the offset of the frame after the damage
	prevEnd := headerLen
	damage, end := scanFrames(b, salt, headerLen, func(f *frame) bool {
		if f.startsWrite {
			lastStart = f.offset
		}
		if f.offset > prevEnd {
			gapless[f.offset] = f.seq == maxSeq+1
		}
		prevEnd, maxSeq = f.offset+f.size, max(maxSeq, f.seq)
		return true
	})
	for _, d := range damage {
		if d.to > lastStart && !gapless[d.to] {
			return d.from
		}
	}
	return end
}

// recoveryState is the state of a recovery in progress.
type recoveryState struct {
	numbers        []uint32         // of the existing segments
	savedBytes     int64            // size of saved damage, in whole blocks
	pastEnd        bool             // an index entry points past the end of its segment
	fromCheckpoint bool             // the index came from a checkpoint; after any fault all segments are read
	expectedSizes  map[uint32]int64 // of segments, from the headers of the next ones
	sums           []sumRecord
}

// sumRecord is the location of a tombstone sum found during recovery. A tombstone sum is a record that repeats the
// deletions of a segment; see sums.go.
type sumRecord struct {
	segment  *segment // the segment whose file holds the sum
	location location // offset and size of the sum in that file
}

// replay updates the index with a record. Of two values the later one in the log is current; a deletion may have been
// copied to the log after a later value.
func (s *Store) replay(g *segment, f *frame, rec *recoveryState) {
	s.seq = max(s.seq, f.seq)
	switch f.kind {
	case kindDelete:
		g.addTombstone(f)
		s.addTombstone(f)
		if old, existed := s.index.Get(f.key); existed && old.seq < f.seq {
			s.index.Delete(f.key)
		}
	case kindSum:
		g.addTombstone(f)
		rec.sums = append(rec.sums, sumRecord{g, location{offset: uint32(f.offset), size: uint32(f.size)}})
	case kindPut:
		loc := location{seq: f.seq, segment: g.number, offset: uint32(f.offset), size: uint32(f.size),
			firstSegment: g.number}
		if old, existed := s.index.Get(f.key); existed {
			loc.firstSegment = old.firstSegment
		}
		s.index.Set(f.key, loc)
	}
}

// handleBadHeader removes or renames a segment whose header can't be read.
func (s *Store) handleBadHeader(name string, b []byte, last bool, rec *recoveryState) error {
	if last && (len(b) <= headerLen || len(bytes.Trim(b, "\x00")) == 0) {
		s.recovery.TruncatedBytes += int64(len(b)) // it was being created
		return s.remove(name)
	}
	if rec.fromCheckpoint { // all segments will be read
		s.recovery.Damaged = append(s.recovery.Damaged, Damage{Segment: name})
		return nil
	}
	s.usedBytes += plan.RoundToBlocks(int64(len(b)))
	rec.savedBytes += plan.RoundToBlocks(int64(len(b)))
	savedAs := damagedPrefix + name
	if err := s.fs.Rename(name, savedAs); err != nil {
		return err
	}
	s.recovery.Damaged = append(s.recovery.Damaged, Damage{name, 0, int64(len(b)), savedAs})
	if s.opts.Sync == SyncNever {
		return nil
	}
	return s.fs.SyncDir()
}

// saveDamaged copies a damaged range to a file of its own.
func (s *Store) saveDamaged(name string, b []byte, unreadable span, rec *recoveryState) error {
	savedAs := fmt.Sprintf("%s%s-%d", damagedPrefix, name, unreadable.from)
	report := Damage{Segment: name, From: int64(unreadable.from), To: int64(unreadable.to)}
	size := int64(unreadable.to - unreadable.from)
	if rec.fromCheckpoint { // all segments will be read
	} else if savedSize, err := s.fileSize(savedAs); err == nil && savedSize == size {
		report.SavedAs = savedAs // by an earlier start
	} else if s.bounds.MaxBytes == 0 ||
		rec.savedBytes+plan.RoundToBlocks(size) <= int64(maxSavedDamage*float64(s.opts.SegmentBytes)) {
		if err := s.writeFile(savedAs, b[unreadable.from:unreadable.to]); err != nil {
			return err
		}
		report.SavedAs = savedAs
		rec.savedBytes += plan.RoundToBlocks(size)
		s.usedBytes += plan.RoundToBlocks(size)
	}
	s.recovery.Damaged = append(s.recovery.Damaged, report)
	return nil
}

// writeFile writes a whole file and, unless the policy is SyncNever, syncs it.
func (s *Store) writeFile(name string, b []byte) error {
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
