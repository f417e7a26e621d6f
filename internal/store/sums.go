package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The deletions in a segment are told once more at the beginning of the next one,
// as hashes of the keys: were only one place for them, damage there would make
// the keys come alive. A sum frame is read when damage was found, else never.

// tombstone is one deletion.
type tombstone struct{ hash, seq uint64 }

const (
	tombstoneSize = 16
	// sumMost deletions stand in one sum frame: copies of it stay small.
	sumMost = 1024
)

func hashOf(seed uint64, key []byte) uint64 {
	h := xxhash.NewWithSeed(seed)
	h.Write(key)
	return h.Sum64()
}

// addTombstone notes a deletion in the active segment.
func (s *Store) addTombstone(f *frame) {
	if n := len(s.tombstones); n > 0 && s.tombstones[n-1].seq == f.seq { // written twice
		return
	}
	s.tombstones = append(s.tombstones, tombstone{hashOf(s.seed, f.key), f.seq})
}

// appendSums frames the deletions of segment number, to stand in g.
func (s *Store) appendSums(b []byte, g *segment, base int, number uint32) []byte {
	for list := s.tombstones; len(list) > 0; {
		n := min(len(list), sumMost)
		value := binary.LittleEndian.AppendUint64(nil, s.seed)
		for _, x := range list[:n] {
			value = binary.LittleEndian.AppendUint64(value, x.hash)
			value = binary.LittleEndian.AppendUint64(value, x.seq)
		}
		f := frame{kind: kindSum, seq: list[n-1].seq, value: value, first: number, last: number, start: len(b) == 0 && s.clean()}
		b = appendFrame(b, g.salt, base, &f)
		if number != g.number {
			g.addTombstone(&f)
		}
		list = list[n:]
	}
	return b
}

// rewriteTombstones takes keys out of the index whose deletion is lost and stands in a sum
// only.
func (s *Store) rewriteTombstones(d *scan) error {
	bySeed := map[uint64]map[uint64]uint64{}
	for _, x := range d.sums {
		f, err := x.g.frameAt(x.at)
		if err != nil {
			return err
		}
		if len(f.value) < 8 || len(f.value)%8 != 0 {
			return fmt.Errorf("%s at %d: %w", segName(x.g.number), x.at.off, ErrDamaged)
		}
		seed := binary.LittleEndian.Uint64(f.value)
		if bySeed[seed] == nil {
			bySeed[seed] = map[uint64]uint64{}
		}
		for v := f.value[8:]; len(v) >= tombstoneSize; v = v[tombstoneSize:] {
			h := binary.LittleEndian.Uint64(v)
			bySeed[seed][h] = max(bySeed[seed][h], binary.LittleEndian.Uint64(v[8:]))
		}
	}
	lost := map[string]loc{}
	s.index.Visit(func(key []byte, at loc) bool {
		for seed, dead := range bySeed {
			if dead[hashOf(seed, key)] > at.seq {
				lost[string(key)] = at
				break
			}
		}
		return true
	})
	for key, at := range lost {
		s.unlink([]byte(key), at)
	}
	return nil
}
