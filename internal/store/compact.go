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
	seg  *segment
	data []byte
	at   int
}

// CompactStep does a bounded part of what compaction has to do, and says whether there
// is more. Commits wait for the copying, not for syncs nor for the file system to
// take a segment away, which may take it long.
func (s *Store) CompactStep() (more bool, err error) {
	more, doomed, err := s.stepLocked()
	if err == nil && len(doomed) > 0 {
		err = s.reap(doomed)
	}
	if err != nil {
		return false, fmt.Errorf("store: compaction: %w", err)
	}
	return more, nil
}

func (s *Store) stepLocked() (more bool, doomed []*segment, err error) {
	s.writer.Lock()
	defer s.writer.Unlock()
	if err := s.usable(); err != nil {
		return false, nil, err
	}
	if s.victim != nil || s.bounds.ShouldCompact(s.used, s.live) {
		if more, err = s.step(stepBytes, s.bounds.LowSpace(s.used)); err != nil {
			return false, nil, err
		}
	}
	doomed, s.doomed = s.doomed, nil
	return more, doomed, nil
}

// reap takes segments away without holding commits up.
func (s *Store) reap(doomed []*segment) error {
	err := s.syncBeside()
	for _, g := range doomed {
		if err == nil {
			err = s.unname(g)
		}
		s.writer.Lock()
		var file vfs.File
		if err == nil {
			file = s.forget(g)
		} else {
			s.doomed = append(s.doomed, g) // to be tried again
		}
		s.writer.Unlock()
		if file != nil {
			err = errors.Join(err, file.Close())
		}
	}
	return err
}

// reapNow is reap for one who holds writer and needs the room.
func (s *Store) reapNow() error {
	if s.opts.Sync != SyncNever && s.synced != s.active().size {
		if err := s.sync(); err != nil {
			return err
		}
	}
	for _, g := range slices.Clone(s.segs) {
		if !g.doomed {
			continue
		}
		if err := s.unname(g); err != nil {
			return err
		}
		if err := s.forget(g).Close(); err != nil {
			return err
		}
	}
	s.doomed = nil
	return nil
}

// unname removes a segment's file. Its bytes stay until it is closed.
func (s *Store) unname(g *segment) error {
	if err := s.remove(segName(g.number)); err != nil || s.opts.Sync == SyncNever {
		return err
	}
	// Were it to come back after a deletion that it needs was dropped, its records would be alive again.
	return s.fs.SyncDir()
}

// forget takes a segment off the list and returns its file to be closed; nil if
// somebody has done so.
func (s *Store) forget(g *segment) vfs.File {
	if !slices.Contains(s.segs, g) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segs = slices.DeleteFunc(s.segs, func(x *segment) bool { return x == g })
	s.used -= plan.RoundToBlocks(g.size)
	s.counts.SegmentsCompacted++
	return g.file
}

// syncBeside syncs what has been written so far while commits go on.
func (s *Store) syncBeside() error {
	if s.opts.Sync == SyncNever {
		return nil
	}
	s.writer.Lock()
	g := s.active()
	err := s.usable()
	if err != nil || g == nil || s.synced == g.size {
		s.writer.Unlock()
		return err
	}
	size := g.size
	s.writer.Unlock()
	err = g.file.Sync()
	s.writer.Lock()
	defer s.writer.Unlock()
	if s.active() != g { // it was synced whole when the next one was begun
		return s.failure
	}
	return s.settled(g, size, err)
}

// makeRoom compacts until so many bytes more may be written. It goes on for as
// long as there is a gain: what is owed must find its room.
func (s *Store) makeRoom(more int64, owed bool) error {
	if s.checkpointed > 0 && !s.bounds.Fits(s.used, more, owed) { // the next start takes longer
		if err := s.dropCheckpoint(); err != nil {
			return err
		}
	}
	least, vain := s.used, 0
	for !s.bounds.Fits(s.used, more, owed) {
		went, err := s.step(int(s.opts.SegmentBytes), true)
		if err != nil {
			return err
		}
		if err := s.reapNow(); err != nil {
			return err
		}
		if vain++; s.used < least {
			least, vain = s.used, 0
		}
		// All that is left to gain may be less than the copies take by whole blocks: then it would go on for ever.
		if (!went || vain > 2*len(s.segs)) && !s.bounds.Fits(s.used, more, owed) {
			return fmt.Errorf("%d of %d bytes are used: %w", s.used, s.opts.MaxBytes, ErrFull)
		}
	}
	return nil
}

// step goes on with a victim, or picks one; false if there is none.
func (s *Store) step(budget int, haste bool) (bool, error) {
	if s.victim == nil {
		g := s.pick(haste)
		if g == nil {
			return false, nil
		}
		v := &victim{seg: g, at: headerLen}
		if view := s.view(g); view.LiveBytes > 0 || view.TombstoneBytes > 0 {
			b, err := readInto(s.scratch, g.file)
			if err != nil {
				return false, err
			}
			s.scratch, v.data = b, b
		}
		s.victim = v
	}
	done, err := s.copy(budget)
	if err != nil || !done {
		return err == nil, err
	}
	g := s.victim.seg
	s.victim = nil
	s.drop(g)
	return true, nil
}

func (s *Store) pick(haste bool) *segment {
	if len(s.segs) < 2 {
		return nil
	}
	var views []plan.Segment
	for _, g := range s.segs[:len(s.segs)-1] {
		if !g.doomed {
			views = append(views, s.view(g))
		}
	}
	number, ok := plan.PickVictim(views, haste)
	if !ok {
		return nil
	}
	return s.segment(number)
}

// copy copies what counts in the victim to the end of the log, about budget bytes
// of it; done says that it was all.
func (s *Store) copy(budget int) (done bool, err error) {
	v := s.victim
	if err := s.mend(); err != nil {
		return false, err
	}
	p := s.pending()
	done = true
	scanned := 0
	from := v.at
	walk(v.data, v.seg.salt, v.at, func(f *frame) bool {
		scanned += f.size
		if len(p.buf) >= budget || scanned > 8*budget {
			done = false
			return false
		}
		v.at = f.off + f.size
		at, ok := s.index.Get(f.key)
		current := f.kind == kindPut && ok && at.seg == v.seg.number && int(at.off) == f.off
		needed := (f.kind == kindDel || f.kind == kindSum) && s.holds(f.first, f.last, v.seg.number)
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
			from = f.off
		}
		p.begin()
		to := frame{kind: f.kind, seq: f.seq, key: f.key, value: f.value, first: f.first, last: f.last}
		p.frame(&to)
		if current {
			p.undo = append(p.undo, undo{string(f.key), at, true})
			s.link(f.key, at, true, loc{seq: f.seq, seg: s.active().number, off: uint32(to.off), size: uint32(to.size), first: at.first})
		}
		s.counts.BytesCopied += int64(to.size)
		return true
	})
	if err == nil {
		err = p.flush()
	}
	if err != nil {
		v.at = from // what is there already does not count as current any more
	}
	return done, err
}

// drop gives up a segment that has been emptied.
func (s *Store) drop(g *segment) {
	if g.live != 0 {
		// Its bytes can't be read any more; what counts in them stays as long as the store does.
		g.pinned = true
		s.opts.Log.Error("store: records can't be read back; their segment is kept", "segment", segName(g.number), "bytes", g.live)
		return
	}
	g.doomed = true
	s.doomed = append(s.doomed, g)
}

// background compacts and, where asked, syncs beside the traffic. Commits that
// wait go first unless room is short.
func (s *Store) background() {
	every := time.Duration(1<<63 - 1)
	if s.opts.Sync == SyncInterval {
		every = s.opts.FlushInterval
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			if err := s.syncBeside(); err != nil && !errors.Is(err, ErrClosed) && !errors.Is(err, ErrSyncFailed) {
				s.opts.Log.Error("store", "err", err)
			}
			continue
		case <-s.kick:
		}
		for more := true; more; {
			var err error
			if more, err = s.CompactStep(); err != nil && !errors.Is(err, ErrClosed) {
				s.opts.Log.Error("store", "err", err)
			}
			s.mu.RLock()
			pause := stepPause
			if s.bounds.LowSpace(s.used) {
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

// stepPause leaves the disk to commits between two steps.
const stepPause = time.Millisecond
