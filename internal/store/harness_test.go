package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"cometrack/internal/vfs"
)

// small makes segments change and compaction run every few commits.
var small = Options{MaxBytes: 24 << 10, SegmentBytes: 2 << 10, Manual: true}

// change is one Put, or a Delete if the value is empty.
type change struct{ key, value string }

// script is a list of batches; the same seed gives the same script. A few keys
// change all the time and many seldom, so that old segments stay beside new ones,
// deletions outlive the segments that they stood in, and keys come back.
func script(seed uint64, batches int) (out [][]change) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range batches {
		var b []change
		for range 1 + rng.IntN(3) {
			c := change{key: fmt.Sprint("hot-", rng.IntN(4))}
			most := 400
			if rng.IntN(4) == 0 {
				c.key, most = fmt.Sprint("cold-", rng.IntN(24)), 150
			}
			if rng.IntN(3) > 0 {
				c.value = fmt.Sprintf("%d:%0*d", rng.Uint32(), 1+rng.IntN(most), 7)
			}
			b = append(b, c)
		}
		out = append(out, b)
	}
	return out
}

type state map[string]string

func (m state) apply(c change) {
	if c.value == "" {
		delete(m, c.key)
	} else {
		m[c.key] = c.value
	}
}

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

// play commits a script and compacts beside it. It returns what was acknowledged,
// and the batch that was under way when it failed.
func (s *Store) play(m state, list [][]change) (under []change, err error) {
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

// content reads all that is there, by both ways that there are.
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
	sums(t, s)
	return m
}

// sums checks the books: what the segments say of themselves adds up.
func sums(t testing.TB, s *Store) {
	t.Helper()
	live, bySeg := int64(0), map[uint32]int64{}
	s.index.Visit(func(_ []byte, at loc) bool {
		live += int64(at.size)
		bySeg[at.seg] += int64(at.size)
		return true
	})
	for _, g := range s.segs {
		if g.live != bySeg[g.number] {
			t.Fatalf("segment %d says that %d bytes live, the index %d", g.number, g.live, bySeg[g.number])
		}
	}
	if m, ok := s.fs.(*vfs.Mem); ok && m.Used() != s.used || s.live != live {
		t.Fatalf("%d bytes used, files have %d; %d live, index has %d", s.used, m.Used(), s.live, live)
	}
}

func mustOpen(t testing.TB, fs vfs.FS, opts Options) *Store {
	t.Helper()
	s, err := Open(fs, opts)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// among says whether have is want with some first part of under applied.
func among(have, want state, under []change) bool {
	m := maps.Clone(want)
	for i := 0; ; i++ {
		if maps.Equal(have, m) {
			return true
		}
		if i == len(under) {
			return false
		}
		m.apply(under[i])
	}
}

var errInjected = errors.New("injected")
