package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// tombstone is one deletion in a tombstone sum: the seeded hash of the deleted key (see hashKey) and the sequence
// number of the deletion's record.
type tombstone struct{ hash, seq uint64 }

// A tombstone sum repeats the deletions of a segment at the beginning of the next one, as hashes of the keys: if they
// were recorded in one place only, damage there would bring the deleted keys back. Sums are read only if damage was
// found.
const (
	// tombstoneSize is the size in bytes of one deletion in a sum: hash and sequence number.
	tombstoneSize = 16
	// maxSumTombstones is the number of deletions in one sum frame; it keeps the copies made by compaction small.
	maxSumTombstones = 1024
)

// hashKey returns the seeded hash of a key for a tombstone sum.
func hashKey(seed uint64, key []byte) uint64 {
	h := xxhash.NewWithSeed(seed)
	h.Write(key)
	return h.Sum64()
}

// addTombstone records a deletion in the active segment.
func (s *Store) addTombstone(f *frame) {
	if n := len(s.tombstones); n > 0 && s.tombstones[n-1].seq == f.seq { // each deletion is written twice
		return
	}
	s.tombstones = append(s.tombstones, tombstone{hashKey(s.tombstoneSeed, f.key), f.seq})
}

// appendTombstoneSums appends the sum frames for the deletions of the segment with that number, to be written to g.
func (s *Store) appendTombstoneSums(b []byte, g *segment, base int, number uint32) []byte {
	for remaining := s.tombstones; len(remaining) > 0; {
		n := min(len(remaining), maxSumTombstones)
		value := binary.LittleEndian.AppendUint64(nil, s.tombstoneSeed)
		for _, t := range remaining[:n] {
			value = binary.LittleEndian.AppendUint64(value, t.hash)
			value = binary.LittleEndian.AppendUint64(value, t.seq)
		}
		f := frame{kind: kindSum, seq: remaining[n-1].seq, value: value, firstSegment: number, lastSegment: number,
			startsWrite: len(b) == 0 && s.allSynced()}
		b = appendFrame(b, g.salt, base, &f)
		if number != g.number {
			g.addTombstone(&f)
		}
		remaining = remaining[n:]
	}
	return b
}

// applyTombstoneSums removes keys from the index whose deletion record is lost and remains only in a sum.
func (s *Store) applyTombstoneSums(rec *recoveryState) error {
	bySeed := map[uint64]map[uint64]uint64{}
	for _, sum := range rec.sums {
		f, err := sum.segment.readFrame(sum.location)
		if err != nil {
			return err
		}
		if len(f.value) < 8 || len(f.value)%8 != 0 {
			return fmt.Errorf("%s at %d: %w", segmentName(sum.segment.number), sum.location.offset, ErrDamaged)
		}
		seed := binary.LittleEndian.Uint64(f.value)
		if bySeed[seed] == nil {
			bySeed[seed] = map[uint64]uint64{}
		}
		for v := f.value[8:]; len(v) >= tombstoneSize; v = v[tombstoneSize:] {
			hash := binary.LittleEndian.Uint64(v)
			bySeed[seed][hash] = max(bySeed[seed][hash], binary.LittleEndian.Uint64(v[8:]))
		}
	}
	deletedKeys := map[string]location{}
	s.index.Visit(func(key []byte, loc location) bool {
		for seed, deleted := range bySeed {
			if deleted[hashKey(seed, key)] > loc.seq {
				deletedKeys[string(key)] = loc
				break
			}
		}
		return true
	})
	for key, loc := range deletedKeys {
		s.removeKey([]byte(key), loc)
	}
	return nil
}
