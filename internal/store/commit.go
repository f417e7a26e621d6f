package store

import (
	"errors"
	"fmt"

	"cometrack/internal/store/plan"
)

// Batch is a list of changes that are written together. If the process dies during the write, a prefix of the changes
// remains.
type Batch struct {
	// UseReserve lets the batch use the space that is reserved for changes to entries accepted before.
	UseReserve bool
	ops        []op
	size       int64
}

// op is one change of a batch.
type op struct {
	kind  byte // kindPut, kindDelete or opDeleteWeak
	key   string
	value []byte
}

// opDeleteWeak is the kind of a DeleteWeak, which has no record kind of its own.
const opDeleteWeak byte = 0xff

// Put sets the value of a key. The bytes must not change until Commit returns.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, op{kindPut, key, value})
	b.size += MaxFrameSize(len(key), len(value))
}

// Delete removes a key. Its record is written twice: if a single record were damaged, the key would have its old value
// again.
func (b *Batch) Delete(key string) {
	b.ops = append(b.ops, op{kind: kindDelete, key: key})
	b.size += 2 * MaxFrameSize(len(key), 10)
}

// DeleteWeak removes a key, and writes no record of it if possible: after a restart a key without a value may have the
// value again that it had at this removal, but never one that was replaced or deleted. It is meant for keys whose
// values show by themselves that they are out of date.
func (b *Batch) DeleteWeak(key string) {
	b.ops = append(b.ops, op{kind: opDeleteWeak, key: key})
	b.size += 2 * MaxFrameSize(len(key), 10) // upper bound
}

// Len returns the number of changes.
func (b *Batch) Len() int { return len(b.ops) }

// Size returns about how many bytes the changes take in the log.
func (b *Batch) Size() int64 { return b.size }

// Reset empties the batch and keeps its memory.
func (b *Batch) Reset() {
	clear(b.ops)
	b.ops, b.size = b.ops[:0], 0
}

// MaxFrameSize returns the largest size in bytes of a record with a key and a value of these lengths.
func MaxFrameSize(key, value int) int64 { return int64(frameHeaderLen + 10 + 2 + key + value) }

// MaxBatch returns the largest size in bytes of a batch.
func (s *Store) MaxBatch() int64 { return s.opts.SegmentBytes * 6 / 10 }

// waiter is a goroutine that waits for its batch to be committed.
type waiter struct {
	batch *Batch
	err   error
	// wake receives true once the batch is committed, and false if this waiter is to lead the next group. It is nil
	// for a waiter that leads at once.
	wake chan bool
}

// Commit writes a batch by group commit: the first of several concurrent callers becomes the leader and writes the
// batches of all that wait, in one write and with one sync. After an error none of the batch's changes are in the
// store.
func (s *Store) Commit(b *Batch) error {
	if len(b.ops) == 0 {
		return nil
	}
	w := &waiter{batch: b}
	s.queueMu.Lock()
	s.queue = append(s.queue, w)
	isLeader := !s.hasLeader
	s.hasLeader = true
	if !isLeader {
		w.wake = make(chan bool, 1)
	}
	s.queueMu.Unlock()
	if isLeader || !<-w.wake {
		s.commitGroup(w)
	}
	if w.err != nil {
		return fmt.Errorf("store: %w", w.err)
	}
	return nil
}

// commitGroup commits the batches of all waiters, makes the first of those that have arrived meanwhile the next leader,
// and wakes the others of its own group.
func (s *Store) commitGroup(self *waiter) {
	s.writeMu.Lock()
	s.queueMu.Lock()
	group := s.queue
	s.queue = s.spareQueue[:0]
	s.queueMu.Unlock()
	s.writeGroup(group)
	s.writeMu.Unlock()
	s.queueMu.Lock()
	s.hasLeader = len(s.queue) > 0
	if s.hasLeader {
		s.queue[0].wake <- false
	}
	for _, w := range group {
		if w != self {
			w.wake <- true
		}
	}
	clear(group)
	s.spareQueue = group
	s.queueMu.Unlock()
}

// writeGroup commits a group. The caller holds writeMu, as for all functions below.
func (s *Store) writeGroup(group []*waiter) {
	p := s.nextWrite()
	for _, w := range group {
		w.err = p.addBatch(w)
	}
	p.flush() // an error is set on the waiters
	if s.opts.Sync == SyncAlways && s.syncFailure == nil && !s.allSynced() {
		if err := s.sync(); err != nil {
			// Rejected batches should not be recovered at the next start. Nothing is lost if the truncation
			// fails as well.
			s.active().file.Truncate(s.syncedSize)
			for _, w := range group {
				w.err = errors.Join(w.err, err)
			}
		}
	}
	s.mu.Lock()
	s.counts.Commits += int64(len(group))
	s.mu.Unlock()
	if s.bounds.ShouldCompact(s.usedBytes, s.liveBytes) || s.checkpointDue() {
		select {
		case s.wakeBackground <- struct{}{}:
		default:
		}
	}
}

// pendingWrite is a write to the active segment that is being assembled.
type pendingWrite struct {
	s             *Store
	started       bool // the write has records, and mu is held
	key           []byte
	buf           []byte
	waiters       []*waiter
	undo          []undoEntry
	oldActive     segment // the active segment before the write
	oldTombstones int     // number of Store.tombstones before the write
	oldSeq        uint64  // sequence number before the write
	oldLiveBytes  int64   // Store.liveBytes before the write
}

// nextWrite returns the empty pendingWrite that is reused for all writes.
func (s *Store) nextWrite() *pendingWrite {
	s.pending.s = s
	return &s.pending
}

// undoEntry is the state of a key before the write.
type undoEntry struct {
	key     string
	old     location
	existed bool
}

// addBatch adds a batch to the write. If the batch needs compaction or another segment, the write is flushed first.
func (p *pendingWrite) addBatch(w *waiter) error {
	s, need := p.s, w.batch.size
	if err := s.checkWritable(); err != nil {
		return err
	}
	if need > s.MaxBatch() {
		return fmt.Errorf("a batch of %d bytes: %w", need, ErrTooLarge)
	}
	for _, o := range w.batch.ops {
		if len(o.key) == 0 || len(o.key) > MaxKeyBytes {
			return fmt.Errorf("a key of %d bytes: %w", len(o.key), ErrTooLarge)
		}
	}
	overhead := headerLen + 2*plan.BlockSize + int64(len(s.tombstones)+len(w.batch.ops))*tombstoneSize
	if more := need + int64(len(p.buf)) + overhead; !s.bounds.Fits(s.usedBytes, more, w.batch.UseReserve) {
		p.flush()
		if err := s.makeRoom(need+overhead, w.batch.UseReserve); err != nil {
			return err
		}
	}
	if g := s.active(); g == nil || g.size+int64(len(p.buf))+need > s.opts.SegmentBytes {
		p.flush()
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if err := s.truncateTornTail(); err != nil {
		return err
	}
	p.begin()
	for _, o := range w.batch.ops {
		p.apply(o)
	}
	p.waiters = append(p.waiters, w)
	return nil
}

// begin prepares the write and locks mu.
func (p *pendingWrite) begin() {
	if p.started {
		return
	}
	p.started = true
	p.s.mu.Lock() // until flush
	p.oldActive, p.oldSeq, p.oldLiveBytes = *p.s.active(), p.s.seq, p.s.liveBytes
	p.oldTombstones = len(p.s.tombstones)
}

// apply appends the record of a change and updates the index.
func (p *pendingWrite) apply(o op) {
	s := p.s
	g := s.active()
	p.key = append(p.key[:0], o.key...)
	old, existed := s.index.Get(p.key)
	if o.kind == kindPut {
		s.seq++
		f := frame{kind: kindPut, seq: s.seq, key: p.key, value: o.value, firstSegment: g.number}
		if existed {
			f.firstSegment = old.firstSegment
		}
		p.undo = append(p.undo, undoEntry{o.key, old, existed})
		p.appendRecord(&f)
		s.setLocation(p.key, old, existed, location{seq: f.seq, segment: g.number, offset: uint32(f.offset),
			size: uint32(f.size), firstSegment: f.firstSegment})
		return
	}
	if !existed {
		return
	}
	p.undo = append(p.undo, undoEntry{o.key, old, existed})
	s.removeKey(p.key, old)
	// older values are in other segments
	if o.kind == kindDelete || s.hasSegmentInRange(old.firstSegment, old.segment, old.segment) {
		s.seq++
		for range 2 {
			p.appendRecord(&frame{kind: kindDelete, seq: s.seq, key: p.key, firstSegment: old.firstSegment,
				lastSegment: g.number})
		}
	}
}

// appendRecord appends a record to the write.
func (p *pendingWrite) appendRecord(f *frame) {
	g := p.s.active()
	f.startsWrite = len(p.buf) == 0 && p.s.allSynced()
	p.buf = appendFrame(p.buf, g.salt, int(g.size), f)
	if f.kind == kindDelete {
		g.addTombstone(f)
		p.s.addTombstone(f)
	} else if f.kind == kindSum {
		g.addTombstone(f)
	}
}

// flush writes the assembled records. If the write fails, all its changes are undone.
func (p *pendingWrite) flush() error {
	if !p.started {
		return nil
	}
	s := p.s
	var err error
	if len(p.buf) > 0 {
		err = s.write(p.buf)
	}
	if err != nil {
		g := s.active()
		for i := len(p.undo) - 1; i >= 0; i-- {
			u := p.undo[i]
			if !u.existed {
				s.index.Delete([]byte(u.key))
				continue
			}
			s.index.Set([]byte(u.key), u.old)
			if u.old.segment != g.number {
				s.segment(u.old.segment).liveBytes += int64(u.old.size)
			}
		}
		g.liveBytes, g.tombstoneBytes, g.minCovered, g.maxCovered = p.oldActive.liveBytes, p.oldActive.tombstoneBytes,
			p.oldActive.minCovered, p.oldActive.maxCovered
		s.seq, s.liveBytes = p.oldSeq, p.oldLiveBytes
		s.tombstones = s.tombstones[:p.oldTombstones]
		for _, w := range p.waiters {
			w.err = err
		}
	}
	s.mu.Unlock()
	clear(p.waiters)
	clear(p.undo)
	p.started, p.buf, p.waiters, p.undo = false, p.buf[:0], p.waiters[:0], p.undo[:0]
	return err
}

// setLocation moves a key to a new location; old is the previous one if the key existed.
func (s *Store) setLocation(key []byte, old location, existed bool, loc location) {
	if existed {
		s.segment(old.segment).liveBytes -= int64(old.size)
		s.liveBytes -= int64(old.size)
	}
	s.index.Set(key, loc)
	s.segment(loc.segment).liveBytes += int64(loc.size)
	s.liveBytes += int64(loc.size)
}

// removeKey removes a key from the index.
func (s *Store) removeKey(key []byte, loc location) {
	s.index.Delete(key)
	s.segment(loc.segment).liveBytes -= int64(loc.size)
	s.liveBytes -= int64(loc.size)
}

// checkWritable returns the reason why nothing can be written, or nil.
func (s *Store) checkWritable() error {
	if s.closed {
		return ErrClosed
	}
	return s.syncFailure
}

// allSynced reports whether all that was written is as durable as the sync policy makes it before the next write.
func (s *Store) allSynced() bool {
	g := s.active()
	return s.opts.Sync == SyncNever || g == nil || s.syncedSize == g.size
}

// truncateTornTail truncates the bytes that a failed write has left.
func (s *Store) truncateTornTail() error {
	if !s.tornTail {
		return nil
	}
	if err := s.active().file.Truncate(s.active().size); err != nil {
		return err
	}
	s.tornTail = false
	return nil
}

// write appends bytes to the active segment. The caller holds mu, or no other goroutine uses the store.
func (s *Store) write(b []byte) error {
	g := s.active()
	if err := s.truncateTornTail(); err != nil {
		return err
	}
	if _, err := g.file.WriteAt(b, g.size); err != nil {
		s.tornTail = true // partial records in front of later ones would be taken for damage
		return errors.Join(err, s.truncateTornTail())
	}
	s.usedBytes += plan.RoundToBlocks(g.size+int64(len(b))) - plan.RoundToBlocks(g.size)
	g.size += int64(len(b))
	s.counts.Writes++
	s.counts.BytesWritten += int64(len(b))
	s.bytesSinceCheckpoint += int64(len(b))
	return nil
}

// sync syncs the active segment. After an error the store rejects writes until it is opened again: the operating system
// may have dropped the pages that it could not write.
func (s *Store) sync() error {
	g := s.active()
	return s.syncDone(g, g.size, g.file.Sync())
}

// syncDone records the outcome of a sync of a segment that had size bytes when the sync started.
func (s *Store) syncDone(g *segment, size int64, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Syncs++
	if err != nil {
		s.syncFailure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
		s.opts.Log.Error("store: sync failed; all writes are rejected until the next start", "segment",
			segmentName(g.number), "err", err)
		return s.syncFailure
	}
	s.syncedSize = max(s.syncedSize, size)
	return nil
}

// Flush syncs what has been written and not yet synced.
func (s *Store) Flush() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.checkWritable(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if s.active() == nil || s.syncedSize == s.active().size {
		return nil
	}
	return s.sync()
}

// rotate starts a new segment.
func (s *Store) rotate() error {
	number, h := uint32(1), segmentHeader{salt: newSalt()}
	if g := s.active(); g != nil {
		if err := s.truncateTornTail(); err != nil {
			return err
		}
		if s.opts.Sync != SyncNever && s.syncedSize != g.size {
			if err := s.sync(); err != nil {
				return err
			}
		}
		number, h.prevNumber, h.prevSize = g.number+1, g.number, g.size
	}
	g := &segment{number: number, salt: h.salt, size: headerLen, minCovered: 1}
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	g.file = f
	b := encodeHeader(number, h)
	if number > 1 {
		b = s.appendTombstoneSums(b, g, 0, number-1)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(b, 0)
	}
	if err == nil && s.opts.Sync != SyncNever {
		if err = f.Sync(); err == nil {
			err = s.fs.SyncDir()
		}
	}
	if err != nil {
		return errors.Join(err, f.Close(), s.remove(segmentName(number)))
	}
	g.size = int64(len(b))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments, g)
	s.usedBytes += plan.RoundToBlocks(g.size)
	s.counts.BytesWritten += g.size
	s.syncedSize = g.size
	s.tombstones = s.tombstones[:0]
	return nil
}
