package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"cometrack/internal/vfs"
)

// small has limits so low that segments rotate and compaction runs every few commits.
var small = Options{MaxBytes: 24 << 10, SegmentBytes: 2 << 10, Manual: true}

// change is one Put, or a Delete if the value is empty.
type change struct{ key, value string }

// script returns a list of batches, the same for the same seed. A few keys change all the time and many seldom, so that
// old segments coexist with new ones, deletions outlive the segments they were written to, and keys are set again.
func script(seed uint64, batches int) (out [][]change) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range batches {
		var b []change
		for range 1 + rng.IntN(3) {
			c := change{key: fmt.Sprint("hot-", rng.IntN(4))}
			maxSize := 400
			if rng.IntN(4) == 0 {
				c.key, maxSize = fmt.Sprint("cold-", rng.IntN(24)), 150
			}
			if rng.IntN(3) > 0 {
				c.value = fmt.Sprintf("%d:%0*d", rng.Uint32(), 1+rng.IntN(maxSize), 7)
			}
			b = append(b, c)
		}
		out = append(out, b)
	}
	return out
}

// state is the expected contents of a store.
type state map[string]string

func (m state) apply(c change) {
	if c.value == "" {
		delete(m, c.key)
	} else {
		m[c.key] = c.value
	}
}

// commit commits a list of changes, using the reserve.
func (s *Store) commit(list []change) error {
	var b Batch
	b.UseReserve = true
	for _, c := range list {
		if c.value == "" {
			b.Delete(c.key)
		} else {
			b.Put(c.key, []byte(c.value))
		}
	}
	return s.Commit(&b)
}

// play commits a script, and compacts and writes checkpoints in between. It applies what was acknowledged to m, and
// returns the batch that was in progress when an error occurred.
func (s *Store) play(m state, list [][]change) (inProgress []change, err error) {
	for i, b := range list {
		if err := s.commit(b); err != nil {
			return b, err
		}
		for _, c := range b {
			m.apply(c)
		}
		if s.opts.MinCheckpointKeys == 1 && i%7 == 6 {
			if err := s.checkpoint(); err != nil && !errors.Is(err, ErrFull) {
				return nil, err
			}
		}
		if _, err := s.CompactStep(); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// content reads all keys and values, by Range and by Get.
func content(t testing.TB, s *Store) state {
	t.Helper()
	m := state{}
	unread, err := s.Range(func(key string, value []byte) error { m[key] = string(value); return nil })
	if err != nil || unread != 0 {
		t.Fatalf("range: %v, %d can't be read", err, unread)
	}
	for key, want := range m {
		if v, err := s.Get(key); err != nil || string(v) != want {
			t.Fatalf("get %s: %q, %v; range has %q", key, v, err, want)
		}
	}
	checkAccounting(t, s)
	return m
}

// checkAccounting checks that the live and used bytes that the store counts match the index and the files.
func checkAccounting(t testing.TB, s *Store) {
	t.Helper()
	live, bySeg := int64(0), map[uint32]int64{}
	s.index.Visit(func(_ []byte, loc location) bool {
		live += int64(loc.size)
		bySeg[loc.segment] += int64(loc.size)
		return true
	})
	for _, g := range s.segments {
		if g.liveBytes != bySeg[g.number] {
			t.Fatalf("segment %d counts %d live bytes, the index %d", g.number, g.liveBytes, bySeg[g.number])
		}
	}
	if m, ok := s.fs.(*vfs.Mem); ok && m.UsedBytes() != s.usedBytes || s.liveBytes != live {
		t.Fatalf("%d bytes used, files have %d; %d live, index has %d", s.usedBytes, m.UsedBytes(), s.liveBytes, live)
	}
}

// mustOpen opens a store and fails the test on an error.
func mustOpen(t testing.TB, fs vfs.FS, opts Options) *Store {
	t.Helper()
	s, err := Open(fs, opts)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// isPrefixApplied reports whether have is want with some prefix of the changes applied.
func isPrefixApplied(have, want state, inProgress []change) bool {
	m := maps.Clone(want)
	for i := 0; ; i++ {
		if maps.Equal(have, m) {
			return true
		}
		if i == len(inProgress) {
			return false
		}
		m.apply(inProgress[i])
	}
}

var errInjected = errors.New("injected")
