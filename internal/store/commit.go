package store

import (
	"errors"
	"fmt"

	"cometrack/internal/store/plan"
)

// Batch is a list of changes that are written together: a process that dies
// leaves a first part of them, in order.
type Batch struct {
	// UseReserve says that the changes belong to something that was taken on before: they
	// may use the room that is kept for it.
	UseReserve bool
	ops        []op
	size       int64
}

type op struct {
	kind  byte // kindPut, kindDel, or opForget
	key   string
	value []byte
}

const opForget byte = 0xff

// Put gives a key a value. The bytes must stay as they are until Commit returns.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, op{kindPut, key, value})
	b.size += MaxFrameSize(len(key), len(value))
}

// Delete takes a key away for good. Its record is written twice: were one alone
// damaged, the key would have its old value again.
func (b *Batch) Delete(key string) {
	b.ops = append(b.ops, op{kind: kindDel, key: key})
	b.size += 2 * MaxFrameSize(len(key), 10)
}

// DeleteWeak takes a key away, if it can without a record of it: after a restart, a key
// without a value may have the one again that it had when it was forgotten, never
// one that was replaced or deleted. It is for keys whose values tell that they are
// out of date.
func (b *Batch) DeleteWeak(key string) {
	b.ops = append(b.ops, op{kind: opForget, key: key})
	b.size += 2 * MaxFrameSize(len(key), 10) // at most
}

// Len is the number of changes.
func (b *Batch) Len() int { return len(b.ops) }

// Size is about how many bytes the changes take.
func (b *Batch) Size() int64 { return b.size }

// Reset empties the batch.
func (b *Batch) Reset() {
	clear(b.ops)
	b.ops, b.size = b.ops[:0], 0
}

// MaxFrameSize is how many bytes a record takes at most.
func MaxFrameSize(key, value int) int64 { return int64(frameHead + 10 + 2 + key + value) }

// MaxBatch is how many bytes of changes fit into one batch.
func (s *Store) MaxBatch() int64 { return s.opts.SegmentBytes * 6 / 10 }

type waiter struct {
	batch *Batch
	err   error
	// turn wakes one that waits: true if its batch is done with, false if it is to
	// lead the next group. One that leads at once has none.
	turn chan bool
}

// Commit writes a batch, and whatever others commit at the same time with it:
// who comes first writes for all that wait, in one call and with one sync. After
// an error none of the batch is there.
func (s *Store) Commit(b *Batch) error {
	if len(b.ops) == 0 {
		return nil
	}
	w := &waiter{batch: b}
	s.queueMu.Lock()
	s.queue = append(s.queue, w)
	lead := !s.leading
	s.leading = true
	if !lead {
		w.turn = make(chan bool, 1)
	}
	s.queueMu.Unlock()
	if lead || !<-w.turn {
		s.lead(w)
	}
	if w.err != nil {
		return fmt.Errorf("store: %w", w.err)
	}
	return nil
}

// lead commits all that waits, has the next one lead those that have come
// meanwhile, and wakes the others.
func (s *Store) lead(self *waiter) {
	s.writer.Lock()
	s.queueMu.Lock()
	group := s.queue
	s.queue = s.spare[:0]
	s.queueMu.Unlock()
	s.writeGroup(group)
	s.writer.Unlock()
	s.queueMu.Lock()
	s.leading = len(s.queue) > 0
	if s.leading {
		s.queue[0].turn <- false
	}
	for _, w := range group {
		if w != self {
			w.turn <- true
		}
	}
	clear(group)
	s.spare = group
	s.queueMu.Unlock()
}

// writeGroup commits a group. The caller holds writer, as for all below.
func (s *Store) writeGroup(group []*waiter) {
	p := s.pending()
	for _, w := range group {
		w.err = p.add(w)
	}
	p.flush() // the waiters have its error
	if s.opts.Sync == SyncAlways && s.failure == nil && !s.clean() {
		if err := s.sync(); err != nil {
			// What is refused now is better not found at the next start. It is no loss if this fails too.
			s.active().file.Truncate(s.synced)
			for _, w := range group {
				w.err = errors.Join(w.err, err)
			}
		}
	}
	s.mu.Lock()
	s.counts.Commits += int64(len(group))
	s.mu.Unlock()
	if s.bounds.ShouldCompact(s.used, s.live) || s.checkpointDue() {
		select {
		case s.kick <- struct{}{}:
		default:
		}
	}
}

// pending is a write that is being put together.
type pending struct {
	s    *Store
	open bool // something is in it, and mu is held
	key  []byte
	buf  []byte
	of   []*waiter
	undo []undo
	old  segment // the active one as it was
	dug  int     // deletions in it
	seq  uint64
	live int64
}

// pending returns the one that is used for all writes, empty.
func (s *Store) pending() *pending {
	s.write1.s = s
	return &s.write1
}

// undo is what a key had.
type undo struct {
	key string
	at  loc
	had bool
}

// add puts a batch into the write, first flushing it if the batch needs another
// segment.
func (p *pending) add(w *waiter) error {
	s, need := p.s, w.batch.size
	if err := s.usable(); err != nil {
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
	rest := headerLen + 2*plan.BlockSize + int64(len(s.tombstones)+len(w.batch.ops))*tombstoneSize
	if more := need + int64(len(p.buf)) + rest; !s.bounds.Fits(s.used, more, w.batch.UseReserve) {
		p.flush()
		if err := s.makeRoom(need+rest, w.batch.UseReserve); err != nil {
			return err
		}
	}
	if g := s.active(); g == nil || g.size+int64(len(p.buf))+need > s.opts.SegmentBytes {
		p.flush()
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if err := s.mend(); err != nil {
		return err
	}
	p.begin()
	for _, o := range w.batch.ops {
		p.apply(o)
	}
	p.of = append(p.of, w)
	return nil
}

func (p *pending) begin() {
	if p.open {
		return
	}
	p.open = true
	p.s.mu.Lock() // until flush
	p.old, p.seq, p.live = *p.s.active(), p.s.seq, p.s.live
	p.dug = len(p.s.tombstones)
}

// apply frames a change and brings the index up to date.
func (p *pending) apply(o op) {
	s := p.s
	g := s.active()
	p.key = append(p.key[:0], o.key...)
	at, had := s.index.Get(p.key)
	if o.kind == kindPut {
		s.seq++
		f := frame{kind: kindPut, seq: s.seq, key: p.key, value: o.value, first: g.number}
		if had {
			f.first = at.first
		}
		p.undo = append(p.undo, undo{o.key, at, had})
		p.frame(&f)
		s.link(p.key, at, had, loc{seq: f.seq, seg: g.number, off: uint32(f.off), size: uint32(f.size), first: f.first})
		return
	}
	if !had {
		return
	}
	p.undo = append(p.undo, undo{o.key, at, had})
	s.unlink(p.key, at)
	if o.kind == kindDel || s.holds(at.first, at.seg, at.seg) { // older values are elsewhere
		s.seq++
		for range 2 {
			p.frame(&frame{kind: kindDel, seq: s.seq, key: p.key, first: at.first, last: g.number})
		}
	}
}

// frame appends a record to the write.
func (p *pending) frame(f *frame) {
	g := p.s.active()
	f.start = len(p.buf) == 0 && p.s.clean()
	p.buf = appendFrame(p.buf, g.salt, int(g.size), f)
	if f.kind == kindDel {
		g.addTombstone(f)
		p.s.addTombstone(f)
	} else if f.kind == kindSum {
		g.addTombstone(f)
	}
}

// flush writes what was put together. If that fails, nothing of it counts.
func (p *pending) flush() error {
	if !p.open {
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
			if !u.had {
				s.index.Delete([]byte(u.key))
				continue
			}
			s.index.Set([]byte(u.key), u.at)
			if u.at.seg != g.number {
				s.segment(u.at.seg).live += int64(u.at.size)
			}
		}
		g.live, g.tombs, g.lo, g.hi = p.old.live, p.old.tombs, p.old.lo, p.old.hi
		s.seq, s.live = p.seq, p.live
		s.tombstones = s.tombstones[:p.dug]
		for _, w := range p.of {
			w.err = err
		}
	}
	s.mu.Unlock()
	clear(p.of)
	clear(p.undo)
	p.open, p.buf, p.of, p.undo = false, p.buf[:0], p.of[:0], p.undo[:0]
	return err
}

// link makes at the place of a key that had another one before.
func (s *Store) link(key []byte, old loc, had bool, at loc) {
	if had {
		s.segment(old.seg).live -= int64(old.size)
		s.live -= int64(old.size)
	}
	s.index.Set(key, at)
	s.segment(at.seg).live += int64(at.size)
	s.live += int64(at.size)
}

// unlink takes a key out of the index.
func (s *Store) unlink(key []byte, at loc) {
	s.index.Delete(key)
	s.segment(at.seg).live -= int64(at.size)
	s.live -= int64(at.size)
}

// usable says why nothing can be written.
func (s *Store) usable() error {
	if s.closed {
		return ErrClosed
	}
	return s.failure
}

// clean says whether all that was written is as safe as the store makes it before
// it goes on.
func (s *Store) clean() bool {
	g := s.active()
	return s.opts.Sync == SyncNever || g == nil || s.synced == g.size
}

// mend cuts off what an earlier write that failed has left.
func (s *Store) mend() error {
	if !s.torn {
		return nil
	}
	if err := s.active().file.Truncate(s.active().size); err != nil {
		return err
	}
	s.torn = false
	return nil
}

// write appends bytes to the active segment. The caller holds mu, or is the only
// one about.
func (s *Store) write(b []byte) error {
	g := s.active()
	if err := s.mend(); err != nil {
		return err
	}
	if _, err := g.file.WriteAt(b, g.size); err != nil {
		s.torn = true // must not stand before later records: it would pass for damage
		return errors.Join(err, s.mend())
	}
	s.used += plan.RoundToBlocks(g.size+int64(len(b))) - plan.RoundToBlocks(g.size)
	g.size += int64(len(b))
	s.counts.Writes++
	s.counts.BytesWritten += int64(len(b))
	s.since += int64(len(b))
	return nil
}

// sync makes the active segment last. If that fails the store is done for until it
// is opened again: the system may have dropped what it could not write.
func (s *Store) sync() error {
	g := s.active()
	return s.settled(g, g.size, g.file.Sync())
}

// settled takes the outcome of a sync of a segment that had so many bytes.
func (s *Store) settled(g *segment, size int64, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Syncs++
	if err != nil {
		s.failure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
		s.opts.Log.Error("store: a sync failed; nothing is taken on until the next start", "segment", segName(g.number), "err", err)
		return s.failure
	}
	s.synced = max(s.synced, size)
	return nil
}

// Flush syncs what was written and is not synced.
func (s *Store) Flush() error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if err := s.usable(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if s.active() == nil || s.synced == s.active().size {
		return nil
	}
	return s.sync()
}

// rotate begins a new segment.
func (s *Store) rotate() error {
	number, h := uint32(1), head{salt: newSalt()}
	if g := s.active(); g != nil {
		if err := s.mend(); err != nil {
			return err
		}
		if s.opts.Sync != SyncNever && s.synced != g.size {
			if err := s.sync(); err != nil {
				return err
			}
		}
		number, h.before, h.sizeThen = g.number+1, g.number, g.size
	}
	g := &segment{number: number, salt: h.salt, size: headerLen, lo: 1}
	f, err := s.fs.Open(segName(number), true)
	if err != nil {
		return err
	}
	g.file = f
	b := header(number, h)
	if number > 1 {
		b = s.appendSums(b, g, 0, number-1)
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
		return errors.Join(err, f.Close(), s.remove(segName(number)))
	}
	g.size = int64(len(b))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segs = append(s.segs, g)
	s.used += plan.RoundToBlocks(g.size)
	s.counts.BytesWritten += g.size
	s.synced = g.size
	s.tombstones = s.tombstones[:0]
	return nil
}
