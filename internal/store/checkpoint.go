package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"cometrack/internal/store/plan"
	"cometrack/internal/vfs"
)

// A checkpoint is the index as it was while it was written, beside the traffic, and
// the segment from which on all is to be read: an entry that has changed meanwhile
// is brought up to date by that, whichever of its states was saved. It is
// a file of blocks: CRC-32C that begins from the block's number, length, payload.
// The first one names the place and the segments up to there, the last one is
// empty but for the number of keys. One that is not whole, or does not fit the
// segments, is of no use and does no harm.
const (
	checkpointName  = "checkpoint"
	checkpointNew   = "checkpoint.new"
	checkpointMagic = "cmtrkidx"
	checkpointBlock = 32 << 10
	// checkpointStretch entries are looked at while no commit can be.
	checkpointStretch = 256
	// leastCheckpoint keys are read from segments in a few milliseconds.
	leastCheckpoint = 16 << 10
)

// checkpointDue says whether a checkpoint is to be written. The caller holds writer
// or mu.
func (s *Store) checkpointDue() bool {
	return s.index.Len() >= s.opts.MinCheckpointKeys && s.bounds.CheckpointDue(s.since, s.checkpointed) && !s.bounds.LowSpace(s.used)
}

// saver writes a checkpoint.
type saver struct {
	s     *Store
	file  vfs.File
	buf   []byte
	block uint32
	size  int64
	keys  uint64
}

// checkpoint writes a checkpoint. Commits go on meanwhile. One that finds no room
// is given up.
func (s *Store) checkpoint() error {
	s.saving.Lock()
	defer s.saving.Unlock()
	s.books(func() { s.since = 0 }) // if it fails, the next one is due as if it had not
	file, err := s.fs.Open(checkpointNew, true)
	if err != nil {
		return err
	}
	w := &saver{s: s, file: file}
	err = w.save()
	err = errors.Join(err, file.Close())
	if err == nil && s.opts.Sync != SyncNever { // the log first: a checkpoint must not know more than it does
		err = s.syncBeside()
	}
	if err == nil {
		err = s.fs.Rename(checkpointNew, checkpointName)
	}
	if err == nil && s.opts.Sync != SyncNever {
		err = s.fs.SyncDir()
	}
	if err == nil {
		s.books(func() {
			s.used -= s.checkpointed
			s.checkpointed = plan.RoundToBlocks(w.size)
		})
		return nil
	}
	if gone := s.remove(checkpointNew); gone == nil {
		s.books(func() { s.used -= plan.RoundToBlocks(w.size) })
	}
	return err
}

// books changes what both the writer and readers count on.
func (s *Store) books(change func()) {
	s.writer.Lock()
	defer s.writer.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (w *saver) save() error {
	s := w.s
	if err := w.file.Truncate(0); err != nil {
		return err
	}
	s.writer.Lock()
	if err := s.usable(); err != nil || s.active() == nil {
		s.writer.Unlock()
		return errors.Join(err, errors.New("there is no segment"))
	}
	w.head()
	s.writer.Unlock()
	if err := w.flush(); err != nil {
		return err
	}
	for at := 0; at >= 0; {
		s.mu.RLock()
		at = s.index.VisitRange(at, checkpointStretch, func(key []byte, at loc) bool {
			w.keys++
			w.buf = binary.AppendUvarint(w.buf, uint64(len(key)))
			w.buf = append(w.buf, key...)
			for _, x := range [...]uint64{at.seq, uint64(at.seg), uint64(at.off), uint64(at.size), uint64(at.first)} {
				w.buf = binary.AppendUvarint(w.buf, x)
			}
			return true
		})
		s.mu.RUnlock()
		if len(w.buf) >= checkpointBlock {
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
	if err := w.flush(); err != nil {
		return err
	}
	w.buf = binary.AppendUvarint(w.buf, w.keys)
	if err := w.flush(); err != nil {
		return err
	}
	if s.opts.Sync != SyncNever {
		return w.file.Sync()
	}
	return nil
}

// head puts the place in the log and the segments up to there into the first block.
func (w *saver) head() {
	s, g := w.s, w.s.active()
	w.buf = append(w.buf, checkpointMagic...)
	put := func(list ...uint64) {
		for _, x := range list {
			w.buf = binary.AppendUvarint(w.buf, x)
		}
	}
	put(version, uint64(s.index.Len()), s.seq, uint64(g.number), uint64(len(s.segs)))
	for _, g := range s.segs {
		put(uint64(g.number), g.salt, uint64(g.size), uint64(g.tombs), uint64(g.lo), uint64(g.hi))
	}
}

// flush writes a block.
func (w *saver) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(w.buf)))
	b := binary.LittleEndian.AppendUint32(nil, blockSum(w.block, head, w.buf))
	b = append(append(b, head...), w.buf...)
	s, more := w.s, plan.RoundToBlocks(w.size+int64(len(b)))-plan.RoundToBlocks(w.size)
	var err error
	s.books(func() {
		if !s.bounds.Fits(s.used, more, false) {
			err = ErrFull
			return
		}
		s.used += more
	})
	if err != nil {
		return err
	}
	_, err = w.file.WriteAt(b, w.size)
	w.size += int64(len(b))
	w.block++
	w.buf = w.buf[:0]
	return err
}

func blockSum(block uint32, head, payload []byte) uint32 {
	return crc32.Update(crc32.Update(block, castagnoli, head), castagnoli, payload)
}

// dropCheckpoint gives its room back. The caller holds writer.
func (s *Store) dropCheckpoint() error {
	if err := s.remove(checkpointName); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= s.checkpointed
	s.checkpointed = 0
	return nil
}

var errCheckpoint = errors.New("not a whole checkpoint")

// saved is the first block of a checkpoint.
type saved struct {
	keys, seq uint64
	active    uint32 // the segment that was written: all from there on is to be read
	segments  map[uint32]*segment
}

// reader takes numbers off a payload. The first that is missing sets bad.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uint(most uint64) uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || x > most {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return x
}

// blocks calls visit for each payload of a checkpoint's bytes, in order.
func blocks(b []byte, visit func(block uint32, payload []byte) error) error {
	for n := uint32(0); len(b) > 0; n++ {
		if len(b) < 8 {
			return errCheckpoint
		}
		size := int64(binary.LittleEndian.Uint32(b[4:]))
		if size > int64(len(b)-8) || blockSum(n, b[4:8], b[8:8+size]) != binary.LittleEndian.Uint32(b) {
			return errCheckpoint
		}
		if err := visit(n, b[8:8+size]); err != nil {
			return err
		}
		b = b[8+size:]
	}
	return nil
}

// readCheckpoint fills the index from the checkpoint; [errCheckpoint] if there is none that is
// whole.
func (s *Store) readCheckpoint() (*saved, error) {
	f, err := s.fs.Open(checkpointName, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errCheckpoint
	}
	if err != nil {
		return nil, err
	}
	b, err := read(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	var c *saved
	var found, told uint64
	whole := false
	err = blocks(b, func(block uint32, payload []byte) error {
		if whole {
			return errCheckpoint
		}
		if block == 0 {
			c, err = readSaved(payload)
			if err == nil {
				s.index.Reserve(int(min(c.keys, uint64(len(b)))))
			}
			return err
		}
		r := reader{b: payload}
		if told = r.uint(1 << 62); len(r.b) == 0 && !r.bad {
			whole = true
			return nil
		}
		for r.b = payload; len(r.b) > 0; found++ {
			n := r.uint(MaxKeyBytes)
			if r.bad || n > uint64(len(r.b)) {
				return errCheckpoint
			}
			key := r.b[:n]
			r.b = r.b[n:]
			at := loc{seq: r.uint(1 << 63), seg: uint32(r.uint(1<<32 - 1)), off: uint32(r.uint(1<<32 - 1)),
				size: uint32(r.uint(1<<32 - 1)), first: uint32(r.uint(1<<32 - 1))}
			if r.bad {
				return errCheckpoint
			}
			s.index.Set(key, at)
			s.seq = max(s.seq, at.seq)
		}
		return nil
	})
	if err == nil && (!whole || told != found) {
		err = errCheckpoint
	}
	return c, err
}

func readSaved(b []byte) (*saved, error) {
	if !bytes.HasPrefix(b, []byte(checkpointMagic)) {
		return nil, errCheckpoint
	}
	r := reader{b: b[len(checkpointMagic):]}
	if r.uint(1<<32) != version {
		return nil, errCheckpoint
	}
	const all = 1<<64 - 1
	c := &saved{keys: r.uint(all), seq: r.uint(all), active: uint32(r.uint(1<<32 - 1)), segments: map[uint32]*segment{}}
	for n := r.uint(1 << 32); n > 0 && !r.bad; n-- {
		g := &segment{number: uint32(r.uint(1<<32 - 1)), salt: r.uint(all), size: int64(r.uint(1 << 62)), tombs: int64(r.uint(1 << 62)),
			lo: uint32(r.uint(1<<32 - 1)), hi: uint32(r.uint(1<<32 - 1))}
		c.segments[g.number] = g
	}
	if r.bad || len(r.b) > 0 {
		return nil, errCheckpoint
	}
	return c, nil
}

// recoverFast recovers from the checkpoint and the segments from its place on; ok is
// false if that can't be, and everything is to be read.
func (s *Store) recoverFast(d *scan) (ok bool, err error) {
	c, err := s.readCheckpoint()
	if errors.Is(err, errCheckpoint) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	d.fast = true
	numbers := d.numbers
	s.seq = max(s.seq, c.seq)
	for len(numbers) > 0 && numbers[0] < c.active {
		ok, err := s.adopt(c.segments[numbers[0]], numbers[0], d)
		if !ok || err != nil {
			return false, err
		}
		numbers = numbers[1:]
	}
	if len(numbers) == 0 {
		return false, nil // there is always one that is written
	}
	if g := c.segments[c.active]; numbers[0] == c.active && (g == nil || !s.sameSegment(g)) {
		return false, nil
	}
	if err := s.recoverSegments(numbers, d); err != nil {
		return false, err
	}
	if s.found.RecordsLost() || len(s.segs) == 0 || d.beyond {
		return false, nil // the log has lost what the checkpoint had seen
	}
	for _, g := range s.segs {
		if g.number >= c.active {
			s.since += g.size
		}
	}
	return true, nil
}

// adopt takes over a segment as the checkpoint knows it, if it is the same one.
func (s *Store) adopt(g *segment, number uint32, d *scan) (bool, error) {
	if g == nil {
		return false, nil
	}
	file, err := s.fs.Open(segName(number), false)
	if err != nil {
		return false, err
	}
	b := make([]byte, headerLen)
	n, _ := file.ReadAt(b, 0)
	size, err := file.Size()
	h, ok, newer := readHeader(b[:n], number)
	if err = errors.Join(err, newer); err != nil || !ok || h.salt != g.salt || size != g.size {
		return false, errors.Join(err, file.Close())
	}
	g.file = file
	d.sizes[h.before] = h.sizeThen
	s.used += plan.RoundToBlocks(size)
	s.segs = append(s.segs, g)
	return true, nil
}

// sameSegment says whether the file of that name is the segment.
func (s *Store) sameSegment(g *segment) bool {
	file, err := s.fs.Open(segName(g.number), false)
	if err != nil {
		return false
	}
	defer file.Close()
	b := make([]byte, headerLen)
	n, _ := file.ReadAt(b, 0)
	h, ok, _ := readHeader(b[:n], g.number)
	return ok && h.salt == g.salt
}
