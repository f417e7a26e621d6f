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

// A checkpoint is a copy of the index, written concurrently with commits, together with the segment from which on the
// log must be replayed: replay corrects each entry that changed while the checkpoint was written, whichever of its
// states was saved. The file is a sequence of blocks: CRC-32C seeded with the block's number, length, payload. The
// first block holds the position in the log and the segments up to it, the last one only the number of keys. A
// checkpoint that is incomplete or does not match the segments is ignored.
const (
	checkpointName  = "checkpoint"     // the complete checkpoint
	checkpointNew   = "checkpoint.new" // a checkpoint being written
	checkpointMagic = "cmtrkidx"
	checkpointBlock = 32 << 10 // payload bytes from which on a block is written
	// checkpointEntriesPerLock entries are copied while commits are blocked.
	checkpointEntriesPerLock = 256
	// defaultCheckpointKeys keys are read from segments in a few milliseconds.
	defaultCheckpointKeys = 16 << 10
)

// checkpointDue reports whether a checkpoint should be written. The caller holds writeMu or mu.
func (s *Store) checkpointDue() bool {
	return s.index.Len() >= s.opts.MinCheckpointKeys &&
		s.bounds.CheckpointDue(s.bytesSinceCheckpoint, s.checkpointBytes) && !s.bounds.LowSpace(s.usedBytes)
}

// checkpointWriter writes a checkpoint file.
type checkpointWriter struct {
	s     *Store
	file  vfs.File
	buf   []byte
	block uint32
	size  int64
	keys  uint64
}

// checkpoint writes a checkpoint while commits go on. It is abandoned with [ErrFull] if there is no space for it.
func (s *Store) checkpoint() error {
	s.checkpointMu.Lock()
	defer s.checkpointMu.Unlock()
	// also if it fails: the next one is due after the usual amount of writes
	s.withLocks(func() { s.bytesSinceCheckpoint = 0 })
	file, err := s.fs.Open(checkpointNew, true)
	if err != nil {
		return err
	}
	w := &checkpointWriter{s: s, file: file}
	err = w.write()
	err = errors.Join(err, file.Close())
	// sync the log first: a checkpoint must not refer to records that a crash may lose
	if err == nil && s.opts.Sync != SyncNever {
		err = s.syncWithoutBlocking()
	}
	if err == nil {
		err = s.fs.Rename(checkpointNew, checkpointName)
	}
	if err == nil && s.opts.Sync != SyncNever {
		err = s.fs.SyncDir()
	}
	if err == nil {
		s.withLocks(func() {
			s.usedBytes -= s.checkpointBytes
			s.checkpointBytes = plan.RoundToBlocks(w.size)
		})
		return nil
	}
	if removeErr := s.remove(checkpointNew); removeErr == nil {
		s.withLocks(func() { s.usedBytes -= plan.RoundToBlocks(w.size) })
	}
	return err
}

// withLocks runs a change of fields that both writeMu and mu guard.
func (s *Store) withLocks(change func()) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// write writes all blocks of the checkpoint and, unless the policy is SyncNever, syncs the file.
func (w *checkpointWriter) write() error {
	s := w.s
	if err := w.file.Truncate(0); err != nil {
		return err
	}
	s.writeMu.Lock()
	if err := s.checkWritable(); err != nil || s.active() == nil {
		s.writeMu.Unlock()
		return errors.Join(err, errors.New("there is no segment"))
	}
	w.appendHead()
	s.writeMu.Unlock()
	if err := w.writeBlock(); err != nil {
		return err
	}
	for position := 0; position >= 0; {
		s.mu.RLock()
		position = s.index.VisitRange(position, checkpointEntriesPerLock, func(key []byte, loc location) bool {
			w.keys++
			w.buf = binary.AppendUvarint(w.buf, uint64(len(key)))
			w.buf = append(w.buf, key...)
			for _, number := range [...]uint64{loc.seq, uint64(loc.segment), uint64(loc.offset), uint64(loc.size),
				uint64(loc.firstSegment)} {
				w.buf = binary.AppendUvarint(w.buf, number)
			}
			return true
		})
		s.mu.RUnlock()
		if len(w.buf) >= checkpointBlock {
			if err := w.writeBlock(); err != nil {
				return err
			}
		}
	}
	if err := w.writeBlock(); err != nil {
		return err
	}
	w.buf = binary.AppendUvarint(w.buf, w.keys)
	if err := w.writeBlock(); err != nil {
		return err
	}
	if s.opts.Sync != SyncNever {
		return w.file.Sync()
	}
	return nil
}

// appendHead adds the position in the log and the segments up to it to the first block.
func (w *checkpointWriter) appendHead() {
	s, g := w.s, w.s.active()
	w.buf = append(w.buf, checkpointMagic...)
	put := func(numbers ...uint64) {
		for _, number := range numbers {
			w.buf = binary.AppendUvarint(w.buf, number)
		}
	}
	put(formatVersion, uint64(s.index.Len()), s.seq, uint64(g.number), uint64(len(s.segments)))
	for _, g := range s.segments {
		put(uint64(g.number), g.salt, uint64(g.size), uint64(g.tombstoneBytes), uint64(g.minCovered),
			uint64(g.maxCovered))
	}
}

// writeBlock writes the buffered payload as a block.
func (w *checkpointWriter) writeBlock() error {
	if len(w.buf) == 0 {
		return nil
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(w.buf)))
	b := binary.LittleEndian.AppendUint32(nil, blockChecksum(w.block, head, w.buf))
	b = append(append(b, head...), w.buf...)
	s, more := w.s, plan.RoundToBlocks(w.size+int64(len(b)))-plan.RoundToBlocks(w.size)
	var err error
	s.withLocks(func() {
		if !s.bounds.Fits(s.usedBytes, more, false) {
			err = ErrFull
			return
		}
		s.usedBytes += more
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

// blockChecksum returns the checksum of a block, seeded with the block's number.
func blockChecksum(block uint32, head, payload []byte) uint32 {
	return crc32.Update(crc32.Update(block, castagnoli, head), castagnoli, payload)
}

// removeCheckpoint removes the checkpoint to free its space. The caller holds writeMu.
func (s *Store) removeCheckpoint() error {
	if err := s.remove(checkpointName); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedBytes -= s.checkpointBytes
	s.checkpointBytes = 0
	return nil
}

// errInvalidCheckpoint reports that a checkpoint is missing, incomplete or damaged.
var errInvalidCheckpoint = errors.New("invalid checkpoint")

// checkpointHead is the decoded first block of a checkpoint.
type checkpointHead struct {
	keys, seq uint64
	active    uint32 // the active segment at the time: the log must be replayed from its beginning
	segments  map[uint32]*segment
}

// uvarintReader decodes numbers from a payload. The first one that is missing or too large sets failed.
type uvarintReader struct {
	b      []byte
	failed bool
}

// uvarint returns the next number. If none is left, or if it is larger than maxValue, it sets failed and returns 0.
func (r *uvarintReader) uvarint(maxValue uint64) uint64 {
	value, n := binary.Uvarint(r.b)
	if n <= 0 || value > maxValue {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return value
}

// visitBlocks calls visit for each payload of a checkpoint's bytes, in order.
func visitBlocks(b []byte, visit func(block uint32, payload []byte) error) error {
	for n := uint32(0); len(b) > 0; n++ {
		if len(b) < 8 {
			return errInvalidCheckpoint
		}
		size := int64(binary.LittleEndian.Uint32(b[4:]))
		if size > int64(len(b)-8) || blockChecksum(n, b[4:8], b[8:8+size]) != binary.LittleEndian.Uint32(b) {
			return errInvalidCheckpoint
		}
		if err := visit(n, b[8:8+size]); err != nil {
			return err
		}
		b = b[8+size:]
	}
	return nil
}

// readCheckpoint fills the index from the checkpoint. The error is [errInvalidCheckpoint] if there is no complete one.
func (s *Store) readCheckpoint() (*checkpointHead, error) {
	f, err := s.fs.Open(checkpointName, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errInvalidCheckpoint
	}
	if err != nil {
		return nil, err
	}
	b, err := readAll(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	var head *checkpointHead
	var readKeys, recordedKeys uint64
	complete := false
	err = visitBlocks(b, func(block uint32, payload []byte) error {
		if complete {
			return errInvalidCheckpoint
		}
		if block == 0 {
			head, err = parseCheckpointHead(payload)
			if err == nil {
				s.index.Reserve(int(min(head.keys, uint64(len(b)))))
			}
			return err
		}
		r := uvarintReader{b: payload}
		if recordedKeys = r.uvarint(1 << 62); len(r.b) == 0 && !r.failed {
			complete = true
			return nil
		}
		for r.b = payload; len(r.b) > 0; readKeys++ {
			keyLen := r.uvarint(MaxKeyBytes)
			if r.failed || keyLen > uint64(len(r.b)) {
				return errInvalidCheckpoint
			}
			key := r.b[:keyLen]
			r.b = r.b[keyLen:]
			loc := location{seq: r.uvarint(1 << 63), segment: uint32(r.uvarint(1<<32 - 1)),
				offset: uint32(r.uvarint(1<<32 - 1)), size: uint32(r.uvarint(1<<32 - 1)),
				firstSegment: uint32(r.uvarint(1<<32 - 1))}
			if r.failed {
				return errInvalidCheckpoint
			}
			s.index.Set(key, loc)
			s.seq = max(s.seq, loc.seq)
		}
		return nil
	})
	if err == nil && (!complete || recordedKeys != readKeys) {
		err = errInvalidCheckpoint
	}
	return head, err
}

// parseCheckpointHead decodes the payload of the first block.
func parseCheckpointHead(b []byte) (*checkpointHead, error) {
	if !bytes.HasPrefix(b, []byte(checkpointMagic)) {
		return nil, errInvalidCheckpoint
	}
	r := uvarintReader{b: b[len(checkpointMagic):]}
	if r.uvarint(1<<32) != formatVersion {
		return nil, errInvalidCheckpoint
	}
	const maxUint64 = 1<<64 - 1
	head := &checkpointHead{keys: r.uvarint(maxUint64), seq: r.uvarint(maxUint64),
		active: uint32(r.uvarint(1<<32 - 1)), segments: map[uint32]*segment{}}
	for n := r.uvarint(1 << 32); n > 0 && !r.failed; n-- {
		g := &segment{number: uint32(r.uvarint(1<<32 - 1)), salt: r.uvarint(maxUint64),
			size: int64(r.uvarint(1 << 62)), tombstoneBytes: int64(r.uvarint(1 << 62)),
			minCovered: uint32(r.uvarint(1<<32 - 1)), maxCovered: uint32(r.uvarint(1<<32 - 1))}
		head.segments[g.number] = g
	}
	if r.failed || len(r.b) > 0 {
		return nil, errInvalidCheckpoint
	}
	return head, nil
}

// recoverFromCheckpoint recovers from the checkpoint and the segments from its position on. It returns false if that is
// not possible and all segments must be read.
func (s *Store) recoverFromCheckpoint(rec *recoveryState) (ok bool, err error) {
	head, err := s.readCheckpoint()
	if errors.Is(err, errInvalidCheckpoint) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	rec.fromCheckpoint = true
	numbers := rec.numbers
	s.seq = max(s.seq, head.seq)
	for len(numbers) > 0 && numbers[0] < head.active {
		ok, err := s.adoptSegment(head.segments[numbers[0]], numbers[0], rec)
		if !ok || err != nil {
			return false, err
		}
		numbers = numbers[1:]
	}
	if len(numbers) == 0 {
		return false, nil // the log always has an active segment
	}
	if g := head.segments[head.active]; numbers[0] == head.active && (g == nil || !s.matchesFile(g)) {
		return false, nil
	}
	if err := s.recoverSegments(numbers, rec); err != nil {
		return false, err
	}
	if s.recovery.RecordsLost() || len(s.segments) == 0 || rec.pastEnd {
		return false, nil // the log has lost records that the checkpoint refers to
	}
	for _, g := range s.segments {
		if g.number >= head.active {
			s.bytesSinceCheckpoint += g.size
		}
	}
	return true, nil
}

// adoptSegment opens a segment with the state that the checkpoint recorded; false if the file is not the same segment.
func (s *Store) adoptSegment(g *segment, number uint32, rec *recoveryState) (bool, error) {
	if g == nil {
		return false, nil
	}
	file, err := s.fs.Open(segmentName(number), false)
	if err != nil {
		return false, err
	}
	b := make([]byte, headerLen)
	n, _ := file.ReadAt(b, 0)
	size, err := file.Size()
	h, ok, newer := parseHeader(b[:n], number)
	if err = errors.Join(err, newer); err != nil || !ok || h.salt != g.salt || size != g.size {
		return false, errors.Join(err, file.Close())
	}
	g.file = file
	rec.expectedSizes[h.prevNumber] = h.prevSize
	s.usedBytes += plan.RoundToBlocks(size)
	s.segments = append(s.segments, g)
	return true, nil
}

// matchesFile reports whether the file with the segment's name is that segment.
func (s *Store) matchesFile(g *segment) bool {
	file, err := s.fs.Open(segmentName(g.number), false)
	if err != nil {
		return false
	}
	defer file.Close()
	b := make([]byte, headerLen)
	n, _ := file.ReadAt(b, 0)
	h, ok, _ := parseHeader(b[:n], g.number)
	return ok && h.salt == g.salt
}
