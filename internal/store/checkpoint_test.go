package store

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/vfs"
)

// fast says whether a store was opened from its checkpoint.
func fast(s *Store) bool { return s.checkpointed > 0 }

// A checkpoint that is not whole, or of other segments, is of no use and does no
// harm: whatever bit of it is flipped and wherever it is cut, all is there.
func TestDamagedCheckpoint(t *testing.T) {
	m, end, _ := history(t, 40, true)
	opts := small
	opts.MinCheckpointKeys = 1
	s := mustOpen(t, m, opts)
	if _, err := s.play(end, script(5, 9)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := filesOf(t, m)
	whole := files[checkpointName]
	check := func(what string, data []byte, want bool) {
		t.Helper()
		m := vfs.NewMem()
		for name, b := range files {
			m.Set(name, b)
		}
		m.Set(checkpointName, data)
		s := mustOpen(t, m, small)
		if fast(s) != want {
			t.Fatalf("%s: from the checkpoint: %v", what, fast(s))
		}
		if have := content(t, s); !maps.Equal(have, end) || s.found.RecordsLost() {
			t.Fatalf("%s:\n%v\nwant\n%v\n%+v", what, have, end, s.found)
		}
		s.Close()
	}
	check("whole", whole, true)
	for bit := range len(whole) * 8 {
		b := append([]byte(nil), whole...)
		b[bit/8] ^= 1 << (bit % 8)
		check(fmt.Sprint("bit ", bit), b, false)
	}
	for n := range whole {
		check(fmt.Sprint("cut at ", n), whole[:n], false)
	}
	check("twice", append(append([]byte(nil), whole...), whole...), false)
	other, _, _ := history(t, 70, true)
	s = mustOpen(t, other, opts)
	if err := s.checkpoint(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	check("of another store", other.Data(checkpointName), false)
	check("whole", whole, true)
}

// With a checkpoint old segments are not read at the start. Damage there is found
// where it is read: told, and never a wrong value.
func TestDamageBehindACheckpoint(t *testing.T) {
	m, end, _ := history(t, 24, true)
	opts := small
	opts.MinCheckpointKeys = 1
	s := mustOpen(t, m, opts)
	if err := s.checkpoint(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := filesOf(t, m)
	first, told := "", 0
	for name := range files {
		if _, ok := segNumber(name); ok && (first == "" || name < first) {
			first = name
		}
	}
	for bit := headerLen * 8; bit < len(files[first])*8; bit++ {
		files[first][bit/8] ^= 1 << (bit % 8)
		m := vfs.NewMem()
		for name, b := range files {
			m.Set(name, b)
		}
		s := mustOpen(t, m, small)
		lost, have := 0, state{}
		for key, want := range end {
			if v, err := s.Get(key); errors.Is(err, ErrDamaged) {
				lost++
			} else if err != nil || string(v) != want {
				t.Fatalf("bit %d: %s is %q, %v; want %q", bit, key, v, err, want)
			}
		}
		unread, err := s.Range(func(key string, v []byte) error { have[key] = string(v); return nil })
		if !fast(s) || err != nil || unread != lost || lost > 1 || len(have) != len(end)-lost {
			t.Fatalf("bit %d: %d lost, %d can't be read, %d of %d are there, %v", bit, lost, unread, len(have), len(end), err)
		}
		told += lost
		s.Close()
		files[first][bit/8] ^= 1 << (bit % 8)
	}
	if told == 0 {
		t.Error("no damage was of any account")
	}
}

// What a checkpoint says is taken for true only of the segments that it was made of.
func TestCheckpointOfOtherSegments(t *testing.T) {
	for name, spoil := range map[string]func(s *Store, m *vfs.Mem){
		"an entry behind the end": func(s *Store, m *vfs.Mem) {
			at, _ := s.index.Get([]byte("cold-3"))
			at.off += 4000
			s.index.Set([]byte("cold-3"), at)
		},
		"another salt": func(s *Store, m *vfs.Mem) {
			g := s.segs[0]
			m.Set(segName(g.number), append(header(g.number, head{salt: g.salt + 1}), m.Data(segName(g.number))[headerLen:]...))
		},
		"a segment that was cut": func(s *Store, m *vfs.Mem) {
			name := segName(s.segs[1].number)
			m.Set(name, m.Data(name)[:600])
		},
		"a segment that is not known": func(s *Store, m *vfs.Mem) {
			m.Set(segName(s.segs[0].number-1), m.Data(segName(s.segs[0].number)))
		},
	} {
		m, _, _ := history(t, 70, true)
		s := mustOpen(t, m, small)
		if name == "an entry behind the end" {
			spoil(s, m)
		}
		if err := s.checkpoint(); err != nil {
			t.Fatal(err)
		}
		s.Close()
		spoil(s, m)
		s = mustOpen(t, m, small)
		if fast(s) || m.Data(checkpointName) != nil {
			t.Errorf("%s: the checkpoint was believed, or is there still", name)
		}
		s.Close()
	}
}

// A checkpoint never knows more than what is on the disk, where syncs come later
// than commits too.
func TestCheckpointSyncsTheLog(t *testing.T) {
	m := vfs.NewMem()
	s := mustOpen(t, m, Options{Manual: true, Sync: SyncInterval})
	for i := range 50 {
		if err := s.commit([]change{{fmt.Sprint(i), "v"}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.checkpoint(); err != nil {
		t.Fatal(err)
	}
	left := m.Restart(vfs.LoseAll, nil)
	s = mustOpen(t, left, small)
	if have := content(t, s); len(have) != 50 || !fast(s) {
		t.Errorf("%d of 50 keys, from the checkpoint: %v", len(have), fast(s))
	}
	s.Close()
}

// Checkpoints are written beside the traffic, from time to time, and each start from
// one finds what a start from all segments finds.
func TestCheckpointsBesideTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := vfs.NewMem()
		opts := Options{SegmentBytes: 8 << 10, MinCheckpointKeys: 64, Sync: SyncAlways}
		for round := range 4 {
			s := mustOpen(t, m, opts)
			if round > 0 && !fast(s) {
				t.Errorf("round %d: all segments were read", round)
			}
			want := content(t, s)
			var writers sync.WaitGroup
			var mu sync.Mutex
			for w := range 4 {
				writers.Go(func() {
					for i := range 400 {
						list := []change{{fmt.Sprint(w, "-", i%97), fmt.Sprintf("%d %0*d", round, i%50, i)}, {key: fmt.Sprint(w, "-", (i*7)%97)}}
						if err := s.commit(list); err != nil {
							t.Error(err)
						}
						mu.Lock()
						for _, c := range list {
							want.apply(c)
						}
						mu.Unlock()
					}
				})
			}
			writers.Wait()
			time.Sleep(time.Minute) // until the background rests
			s.books(func() {
				if s.checkpointed == 0 {
					t.Fatal("no checkpoint")
				}
			})
			if round%2 == 1 { // else its process dies
				s.Close()
			} else {
				m = m.Restart(vfs.LoseAll, nil)
				s.Close()
			}
			slow := opts
			slow.Manual = true
			copied := vfs.NewMem()
			for name, b := range filesOf(t, m) {
				if name != checkpointName {
					copied.Set(name, b)
				}
			}
			all := mustOpen(t, copied, slow)
			if have := content(t, all); !maps.Equal(have, want) {
				t.Fatalf("round %d: %d keys from all segments, want %d", round, len(have), len(want))
			}
			all.Close()
		}
	})
}

// A checkpoint needs room that nothing else wants, and gives it back when records do.
func TestCheckpointGivesWay(t *testing.T) {
	opts := small
	opts.MinCheckpointKeys = 1
	m := vfs.NewMem()
	s := mustOpen(t, m, opts)
	var full error
	for i := 0; full == nil; i++ {
		full = s.commit([]change{{fmt.Sprint("key-", i), fmt.Sprintf("%0100d", i)}})
		if i == 20 {
			if err := s.checkpoint(); err != nil || s.checkpointed == 0 {
				t.Fatalf("%v, %d bytes", err, s.checkpointed)
			}
		}
		sums(t, s)
	}
	if !errors.Is(full, ErrFull) || s.checkpointed != 0 {
		t.Errorf("%v with a checkpoint of %d bytes", full, s.checkpointed)
	}
	if err := s.checkpoint(); !errors.Is(err, ErrFull) {
		t.Errorf("a checkpoint of a full store: %v", err)
	}
	sums(t, s)
	s.Close()
}
