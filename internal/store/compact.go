package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cometrack/internal/store/plan"
	"cometrack/internal/vfs"
)

// victim is the segment that is being compacted.
type victim struct {
	segment *segment
	data    []byte
	offset  int
}

// CompactStep does a bounded part of the pending compaction work, and reports whether there is more. Commits wait while
// records are copied, but not for syncs nor for the removal of a segment's file, which may take the file system long.
func (s *Store) CompactStep() (more bool, err error) {
	more, obsolete, err := s.stepLocked()
	if err == nil && len(obsolete) > 0 {
		err = s.unlinkSegments(obsolete)
	}
	if err != nil {
		return false, fmt.Errorf("store: compaction: %w", err)
	}
	return more, nil
}

// stepLocked does the part of a step that holds writeMu, and returns the segments to be unlinked.
func (s *Store) stepLocked() (more bool, obsolete []*segment, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.checkWritable(); err != nil {
		return false, nil, err
	}
	if s.victim != nil || s.bounds.ShouldCompact(s.usedBytes, s.liveBytes) {
		if more, err = s.compactVictim(compactStepBytes, s.bounds.LowSpace(s.usedBytes)); err != nil {
			return false, nil, err
		}
	}
	obsolete, s.obsolete = s.obsolete, nil
	return more, obsolete, nil
}

// unlinkSegments syncs the copies and removes obsolete segments without blocking commits.
func (s *Store) unlinkSegments(obsolete []*segment) error {
	err := s.syncWithoutBlocking()
	for _, g := range obsolete {
		if err == nil {
			err = s.unlinkFile(g)
		}
		s.writeMu.Lock()
		var file vfs.File
		if err == nil {
			file = s.removeSegment(g)
		} else {
			s.obsolete = append(s.obsolete, g) // to be retried
		}
		s.writeMu.Unlock()
		if file != nil {
			err = errors.Join(err, file.Close())
		}
	}
	return err
}

// unlinkObsolete removes all obsolete segments. It is for a caller that holds writeMu and needs the space at once.
func (s *Store) unlinkObsolete() error {
	if s.opts.Sync != SyncNever && s.syncedSize != s.active().size {
		if err := s.sync(); err != nil {
			return err
		}
	}
	for _, g := range slices.Clone(s.segments) {
		if !g.obsolete {
			continue
		}
		if err := s.unlinkFile(g); err != nil {
			return err
		}
		if err := s.removeSegment(g).Close(); err != nil {
			return err
		}
	}
	s.obsolete = nil
	return nil
}

// unlinkFile removes the name of a segment's file. Its space is freed once the file is closed.
func (s *Store) unlinkFile(g *segment) error {
	if err := s.remove(segmentName(g.number)); err != nil || s.opts.Sync == SyncNever {
		return err
	}
	// The removal must be durable: if the file came back after a tombstone for it was dropped, its records would be
	// current again.
	return s.fs.SyncDir()
}

// removeSegment takes a segment off the list and returns its file, which the caller closes; nil if it is already off
// the list.
func (s *Store) removeSegment(g *segment) vfs.File {
	if !slices.Contains(s.segments, g) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = slices.DeleteFunc(s.segments, func(x *segment) bool { return x == g })
	s.usedBytes -= plan.RoundToBlocks(g.size)
	s.counts.SegmentsCompacted++
	return g.file
}

// syncWithoutBlocking syncs what has been written so far, without blocking commits meanwhile.
func (s *Store) syncWithoutBlocking() error {
	if s.opts.Sync == SyncNever {
		return nil
	}
	s.writeMu.Lock()
	g := s.active()
	err := s.checkWritable()
	if err != nil || g == nil || s.syncedSize == g.size {
		s.writeMu.Unlock()
		return err
	}
	size := g.size
	s.writeMu.Unlock()
	err = g.file.Sync()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.active() != g { // rotate synced all of g before it began the next segment
		return s.syncFailure
	}
	return s.syncDone(g, size, err)
}

// makeRoom compacts until so many bytes more may be written. It goes on as long as space is gained, since writes from
// the reserve must find their space.
func (s *Store) makeRoom(more int64, useReserve bool) error {
	// without a checkpoint only the next start is slower
	if s.checkpointBytes > 0 && !s.bounds.Fits(s.usedBytes, more, useReserve) {
		if err := s.removeCheckpoint(); err != nil {
			return err
		}
	}
	minUsed, stepsWithoutGain := s.usedBytes, 0
	for !s.bounds.Fits(s.usedBytes, more, useReserve) {
		progressed, err := s.compactVictim(int(s.opts.SegmentBytes), true)
		if err != nil {
			return err
		}
		if err := s.unlinkObsolete(); err != nil {
			return err
		}
		if stepsWithoutGain++; s.usedBytes < minUsed {
			minUsed, stepsWithoutGain = s.usedBytes, 0
		}
		// The space still to be gained may be less than what the copies lose by whole blocks: without this bound the
		// loop would not end.
		if (!progressed || stepsWithoutGain > 2*len(s.segments)) && !s.bounds.Fits(s.usedBytes, more, useReserve) {
			return fmt.Errorf("%d of %d bytes are used: %w", s.usedBytes, s.opts.MaxBytes, ErrFull)
		}
	}
	return nil
}

// compactVictim continues with the current victim, or picks one; it returns false if there is none.
func (s *Store) compactVictim(budget int, urgent bool) (bool, error) {
	if s.victim == nil {
		g := s.pickVictim(urgent)
		if g == nil {
			return false, nil
		}
		v := &victim{segment: g, offset: headerLen}
		if view := s.planView(g); view.LiveBytes > 0 || view.TombstoneBytes > 0 {
			b, err := readInto(s.victimBuf, g.file)
			if err != nil {
				return false, err
			}
			s.victimBuf, v.data = b, b
		}
		s.victim = v
	}
	done, err := s.copyLive(budget)
	if err != nil || !done {
		return err == nil, err
	}
	g := s.victim.segment
	s.victim = nil
	s.retireSegment(g)
	return true, nil
}

// pickVictim returns the segment to compact next; nil for none.
func (s *Store) pickVictim(urgent bool) *segment {
	if len(s.segments) < 2 {
		return nil
	}
	var candidates []plan.Segment
	for _, g := range s.segments[:len(s.segments)-1] {
		if !g.obsolete {
			candidates = append(candidates, s.planView(g))
		}
	}
	number, ok := plan.PickVictim(candidates, urgent)
	if !ok {
		return nil
	}
	return s.segment(number)
}

// copyLive copies the current records and needed tombstones of the victim to the end of the log, about budget bytes of
// them; done reports that the victim is finished.
func (s *Store) copyLive(budget int) (done bool, err error) {
	v := s.victim
	if err := s.truncateTornTail(); err != nil {
		return false, err
	}
	p := s.nextWrite()
	done = true
	scanned := 0
	retryFrom := v.offset
	scanFrames(v.data, v.segment.salt, v.offset, func(f *frame) bool {
		scanned += f.size
		if len(p.buf) >= budget || scanned > 8*budget {
			done = false
			return false
		}
		v.offset = f.offset + f.size
		loc, ok := s.index.Get(f.key)
		current := f.kind == kindPut && ok && loc.segment == v.segment.number && int(loc.offset) == f.offset
		needed := (f.kind == kindDelete || f.kind == kindSum) &&
			s.hasSegmentInRange(f.firstSegment, f.lastSegment, v.segment.number)
		if !current && !needed {
			return true
		}
		if g := s.active(); g.size+int64(len(p.buf))+int64(f.size)+16 > s.opts.SegmentBytes {
			if err = p.flush(); err == nil {
				err = s.rotate()
			}
			if err != nil {
				return false
			}
			retryFrom = f.offset
		}
		p.begin()
		copied := frame{kind: f.kind, seq: f.seq, key: f.key, value: f.value, firstSegment: f.firstSegment,
			lastSegment: f.lastSegment}
		p.appendRecord(&copied)
		if current {
			p.undo = append(p.undo, undoEntry{string(f.key), loc, true})
			s.setLocation(f.key, loc, true, location{seq: f.seq, segment: s.active().number,
				offset: uint32(copied.offset), size: uint32(copied.size), firstSegment: loc.firstSegment})
		}
		s.counts.BytesCopied += int64(copied.size)
		return true
	})
	if err == nil {
		err = p.flush()
	}
	if err != nil {
		v.offset = retryFrom // the next pass skips records already copied, since the index refers to the copies
	}
	return done, err
}

// retireSegment marks a compacted segment as obsolete, or as pinned if current records remain.
func (s *Store) retireSegment(g *segment) {
	if g.liveBytes != 0 {
		// These records can't be read any more. They stay as long as the store does.
		g.pinned = true
		s.opts.Log.Error("store: records can't be read back; their segment is kept", "segment", segmentName(g.number),
			"bytes", g.liveBytes)
		return
	}
	g.obsolete = true
	s.obsolete = append(s.obsolete, g)
}

// background runs compaction and, with SyncInterval, syncs concurrently with commits. It pauses between steps so that
// waiting commits go first, unless space is low.
func (s *Store) background() {
	interval := time.Duration(1<<63 - 1)
	if s.opts.Sync == SyncInterval {
		interval = s.opts.FlushInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			if err := s.syncWithoutBlocking(); err != nil && !errors.Is(err, ErrClosed) &&
				!errors.Is(err, ErrSyncFailed) {
				s.opts.Log.Error("store", "err", err)
			}
			continue
		case <-s.wakeBackground:
		}
		for more := true; more; {
			var err error
			if more, err = s.CompactStep(); err != nil && !errors.Is(err, ErrClosed) {
				s.opts.Log.Error("store", "err", err)
			}
			s.mu.RLock()
			pause := stepPause
			if s.bounds.LowSpace(s.usedBytes) {
				pause = 0
			}
			s.mu.RUnlock()
			select {
			case <-s.stop:
				return
			case <-time.After(pause):
			}
		}
		s.mu.RLock()
		due := s.checkpointDue()
		s.mu.RUnlock()
		if due {
			if err := s.checkpoint(); err != nil && !errors.Is(err, ErrClosed) && !errors.Is(err, ErrFull) {
				s.opts.Log.Error("store: checkpoint", "err", err)
			}
		}
	}
}

// stepPause leaves the disk to commits between two steps of compaction.
const stepPause = time.Millisecond
