package backlog

import (
	"testing"

	"pgregory.net/rapid"
)

// The id set finds exactly its members while shards grow and shrink and tags collide.
func TestIDSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, have := &idSet{}, map[uint64]uint64{}
		hash := rapid.Custom(func(t *rapid.T) uint64 { // few shards and clustered tags, so that searches probe several slots
			return uint64(rapid.IntRange(0, 1).Draw(t, "shard"))<<56 | uint64(rapid.IntRange(0, 60).Draw(t, "tag"))<<42 | 1
		})
		for seq := uint64(1); seq < uint64(rapid.IntRange(1, 150).Draw(t, "steps")); seq++ {
			h := hash.Draw(t, "hash")
			if at, ok := have[h]; ok {
				if !x.remove(h, at) || x.remove(h, at) {
					t.Fatalf("%x can't be removed exactly once", h)
				}
				delete(have, h)
			} else {
				x.add(h, seq)
				have[h] = seq
			}
			for h, seq := range have {
				if x.find(h) != foldSeq(seq) {
					t.Fatalf("%x is found at %d, want %d", h, x.find(h), foldSeq(seq))
				}
			}
			if x.n != len(have) {
				t.Fatalf("the set counts %d, want %d", x.n, len(have))
			}
		}
	})
}
