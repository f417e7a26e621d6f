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

// fromCheckpoint reports whether a store was opened from its checkpoint.
func fromCheckpoint(s *Store) bool { return s.checkpointBytes > 0 }

// Checks that a checkpoint that is incomplete, or belongs to another store, is ignored: with any flipped bit and any
// truncation all keys are recovered from the segments.
func TestDamagedCheckpoint(t *testing.T) {
	m, end, _ := playHistory(t, 40, true)
	opts := small
	opts.MinCheckpointKeys = 1
	s := mustOpen(t, m, opts)
	if _, err := s.play(end, script(5, 9)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := filesOf(t, m)
	whole := files[checkpointName]
	check := func(label string, data []byte, want bool) {
		t.Helper()
		m := vfs.NewMem()
		for name, b := range files {
			m.SetFile(name, b)
		}
		m.SetFile(checkpointName, data)
		s := mustOpen(t, m, small)
		if fromCheckpoint(s) != want {
			t.Fatalf("%s: from the checkpoint: %v", label, fromCheckpoint(s))
		}
		if have := content(t, s); !maps.Equal(have, end) || s.recovery.RecordsLost() {
			t.Fatalf("%s:\n%v\nwant\n%v\n%+v", label, have, end, s.recovery)
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
	other, _, _ := playHistory(t, 70, true)
	s = mustOpen(t, other, opts)
	if err := s.checkpoint(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	check("of another store", other.Data(checkpointName), false)
	check("whole", whole, true)
}

// With a checkpoint old segments are not read at the start. Checks that damage there is reported when the record is
// read, and that no read returns a wrong value.
func TestDamageBeforeCheckpoint(t *testing.T) {
	m, end, _ := playHistory(t, 24, true)
	opts := small
	opts.MinCheckpointKeys = 1
	s := mustOpen(t, m, opts)
	if err := s.checkpoint(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	files := filesOf(t, m)
	first, reported := "", 0
	for name := range files {
		if _, ok := parseSegmentName(name); ok && (first == "" || name < first) {
			first = name
		}
	}
	for bit := headerLen * 8; bit < len(files[first])*8; bit++ {
		files[first][bit/8] ^= 1 << (bit % 8)
		m := vfs.NewMem()
		for name, b := range files {
			m.SetFile(name, b)
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
		if !fromCheckpoint(s) || err != nil || unread != lost || lost > 1 || len(have) != len(end)-lost {
			t.Fatalf("bit %d: %d lost, %d can't be read, %d of %d are there, %v", bit, lost, unread, len(have),
				len(end), err)
		}
		reported += lost
		s.Close()
		files[first][bit/8] ^= 1 << (bit % 8)
	}
	if reported == 0 {
		t.Error("no damage had an effect")
	}
}

// Checks that a checkpoint is used only with the segments it was made from.
func TestCheckpointOfOtherSegments(t *testing.T) {
	for name, damage := range map[string]func(s *Store, m *vfs.Mem){
		"an entry past the end": func(s *Store, m *vfs.Mem) {
			loc, _ := s.index.Get([]byte("cold-3"))
			loc.offset += 4000
			s.index.Set([]byte("cold-3"), loc)
		},
		"another salt": func(s *Store, m *vfs.Mem) {
			g := s.segments[0]
			m.SetFile(segmentName(g.number), append(encodeHeader(g.number, segmentHeader{salt: g.salt + 1}),
				m.Data(segmentName(g.number))[headerLen:]...))
		},
		"a segment that was cut": func(s *Store, m *vfs.Mem) {
			name := segmentName(s.segments[1].number)
			m.SetFile(name, m.Data(name)[:600])
		},
		"an unknown segment": func(s *Store, m *vfs.Mem) {
			m.SetFile(segmentName(s.segments[0].number-1), m.Data(segmentName(s.segments[0].number)))
		},
	} {
		m, _, _ := playHistory(t, 70, true)
		s := mustOpen(t, m, small)
		if name == "an entry past the end" {
			damage(s, m)
		}
		if err := s.checkpoint(); err != nil {
			t.Fatal(err)
		}
		s.Close()
		damage(s, m)
		s = mustOpen(t, m, small)
		if fromCheckpoint(s) || m.Data(checkpointName) != nil {
			t.Errorf("%s: the checkpoint was used, or was not removed", name)
		}
		s.Close()
	}
}

// Checks that a checkpoint never refers to records that are not on the disk yet, although syncs come later than
// commits.
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
	left := m.Restart(vfs.LoseUnsynced, nil)
	s = mustOpen(t, left, small)
	if have := content(t, s); len(have) != 50 || !fromCheckpoint(s) {
		t.Errorf("%d of 50 keys, from the checkpoint: %v", len(have), fromCheckpoint(s))
	}
	s.Close()
}

// Checks that checkpoints are written concurrently with commits, and that a start from one finds what a start from all
// segments finds.
func TestCheckpointsDuringTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := vfs.NewMem()
		opts := Options{SegmentBytes: 8 << 10, MinCheckpointKeys: 64, Sync: SyncAlways}
		for round := range 4 {
			s := mustOpen(t, m, opts)
			if round > 0 && !fromCheckpoint(s) {
				t.Errorf("round %d: all segments were read", round)
			}
			want := content(t, s)
			var writers sync.WaitGroup
			var mu sync.Mutex
			for w := range 4 {
				writers.Go(func() {
					for i := range 400 {
						list := []change{{fmt.Sprint(w, "-", i%97), fmt.Sprintf("%d %0*d", round, i%50, i)},
							{key: fmt.Sprint(w, "-", (i*7)%97)}}
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
			time.Sleep(time.Minute) // until the background goroutine is idle
			s.withLocks(func() {
				if s.checkpointBytes == 0 {
					t.Fatal("no checkpoint")
				}
			})
			if round%2 == 1 { // else the process dies
				s.Close()
			} else {
				m = m.Restart(vfs.LoseUnsynced, nil)
				s.Close()
			}
			slow := opts
			slow.Manual = true
			copied := vfs.NewMem()
			for name, b := range filesOf(t, m) {
				if name != checkpointName {
					copied.SetFile(name, b)
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

// Checks that a checkpoint uses only spare space, and is removed when records need the space.
func TestCheckpointYieldsSpace(t *testing.T) {
	opts := small
	opts.MinCheckpointKeys = 1
	m := vfs.NewMem()
	s := mustOpen(t, m, opts)
	var full error
	for i := 0; full == nil; i++ {
		full = s.commit([]change{{fmt.Sprint("key-", i), fmt.Sprintf("%0100d", i)}})
		if i == 20 {
			if err := s.checkpoint(); err != nil || s.checkpointBytes == 0 {
				t.Fatalf("%v, %d bytes", err, s.checkpointBytes)
			}
		}
		checkAccounting(t, s)
	}
	if !errors.Is(full, ErrFull) || s.checkpointBytes != 0 {
		t.Errorf("%v with a checkpoint of %d bytes", full, s.checkpointBytes)
	}
	if err := s.checkpoint(); !errors.Is(err, ErrFull) {
		t.Errorf("a checkpoint of a full store: %v", err)
	}
	checkAccounting(t, s)
	s.Close()
}
