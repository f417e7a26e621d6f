package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"cometrack/internal/vfs"
)

// Crashes a workload at every call, with each kind of loss. What was acknowledged must be there, what was deleted must
// not, recovery must report no damage, and the store must accept further writes. For some of the crashes recovery
// itself is crashed at every call, and so is the recovery from that.
func TestCrashAtEveryCall(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncAlways, SyncNever} {
		opts := small
		opts.Sync = sync
		t.Run(fmt.Sprint("sync=", sync), func(t *testing.T) { t.Parallel(); crashAtEveryCall(t, opts, 110) })
		saving := opts
		saving.MinCheckpointKeys = 1
		t.Run(fmt.Sprint("checkpoints, sync=", sync), func(t *testing.T) {
			t.Parallel()
			crashAtEveryCall(t, saving, 45)
		})
	}
}

// crashAtEveryCall runs the workload of that many batches once for each call and kind of loss.
func crashAtEveryCall(t *testing.T, opts Options, batches int) {
	sync := opts.Sync
	list := script(7, batches)
	whole := vfs.NewMem()
	s := mustOpen(t, whole, opts)
	if _, err := s.play(state{}, list); err != nil {
		t.Fatal(err)
	}
	if s.counts.SegmentsCompacted < int64(batches)/22 {
		t.Fatalf("only %d segments were compacted", s.counts.SegmentsCompacted)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	losses := vfs.Losses()
	if sync == SyncNever {
		losses = []vfs.Loss{vfs.LoseNone} // SyncNever covers only the end of the process
	}
	for n := 1; n <= whole.Calls(); n++ {
		for _, loss := range losses {
			m := vfs.NewMem()
			m.CrashAt(n)
			acked := state{}
			var inProgress []change
			if s, err := Open(m, opts); err == nil {
				if inProgress, err = s.play(acked, list); err == nil {
					s.Close()
				}
			}
			label := fmt.Sprintf("crash at call %d, loss %d", n, loss)
			left := m.Restart(loss, rand.New(rand.NewPCG(uint64(n), uint64(loss))))
			if (n+int(loss))%23 == 0 {
				recoverCrashing(t, label, left, opts, acked, inProgress, 2)
			}
			checkRecovered(t, label, left, opts, acked, inProgress, list)
			if t.Failed() {
				return
			}
		}
	}
}

// checkRecovered opens what a crash left, checks it and commits more batches.
func checkRecovered(t *testing.T, label string, m *vfs.Mem, opts Options, acked state, inProgress []change,
	list [][]change) {
	t.Helper()
	s, err := Open(m, opts)
	if err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	have := content(t, s)
	if !isPrefixApplied(have, acked, inProgress) {
		t.Fatalf("%s: recovered\n%v\nacknowledged\n%v\nin progress %v", label, have, acked, inProgress)
	}
	if s.recovery.RecordsLost() {
		t.Fatalf("%s: damage is reported where there is none: %+v", label, s.recovery)
	}
	if _, err := s.play(have, list[:20]); err != nil {
		t.Fatalf("%s: afterwards: %v", label, err)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("%s: close: %v", label, err)
	}
	s = mustOpen(t, m, opts)
	if now := content(t, s); !maps.Equal(now, have) || s.recovery.TruncatedBytes > 0 {
		t.Fatalf("%s: after more work\n%v\nwant\n%v\n%+v", label, now, have, s.recovery)
	}
	s.Close()
}

// recoverCrashing crashes recovery at every call, recursively to a depth.
func recoverCrashing(t *testing.T, label string, m *vfs.Mem, opts Options, acked state, inProgress []change, deep int) {
	t.Helper()
	files := filesOf(t, m)
	for n := 1; ; n++ {
		rng := rand.New(rand.NewPCG(uint64(n), uint64(deep)))
		m2 := vfs.NewMem()
		for name, b := range files {
			m2.SetFile(name, b)
		}
		m2.CrashAt(n)
		s, err := Open(m2, opts)
		if !m2.Crashed() {
			m2.CrashAt(1 << 30)
			if err != nil {
				t.Fatalf("%s: %v", label, err)
			}
			if have := content(t, s); !isPrefixApplied(have, acked, inProgress) {
				t.Fatalf("%s, recovery: %v\nwant %v", label, have, acked)
			}
			s.Close()
			return
		}
		loss := vfs.Loss(n % len(vfs.Losses()))
		if opts.Sync == SyncNever {
			loss = vfs.LoseNone
		}
		if deep > 1 {
			recoverCrashing(t, fmt.Sprintf("%s, recovery at %d", label, n), m2.Restart(loss, rng), opts, acked,
				inProgress,
				deep-1)
		}
	}
}

// Checks that an error of any call loses nothing that was acknowledged, that rejected batches leave nothing behind, and
// that nothing is accepted after a failed sync.
func TestFailAtEveryCall(t *testing.T) {
	for _, opts := range []Options{small, {MaxBytes: small.MaxBytes, SegmentBytes: small.SegmentBytes, Manual: true,
		MinCheckpointKeys: 1}} {
		failAtEveryCall(t, opts)
	}
}

// failAtEveryCall runs a workload once for each call, with an error at that call.
func failAtEveryCall(t *testing.T, opts Options) {
	list := script(3, 60)
	whole := vfs.NewMem()
	s := mustOpen(t, whole, opts)
	from := whole.Calls()
	if _, err := s.play(state{}, list); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= whole.Calls()-from; n++ {
		m := vfs.NewMem()
		s := mustOpen(t, m, opts)
		m.FailAt(n, errInjected)
		have := state{}
		failed := 0
		for rest := list; len(rest) > 0; rest = rest[1:] {
			if err := s.commit(rest[0]); err != nil {
				failed++
				if !errors.Is(err, errInjected) && !errors.Is(err, ErrSyncFailed) {
					t.Fatalf("call %d: %v", n, err)
				}
			} else {
				for _, c := range rest[0] {
					have.apply(c)
				}
			}
			s.CompactStep()
			if opts.MinCheckpointKeys == 1 && len(rest)%7 == 0 {
				s.checkpoint()
			}
		}
		if failed > 1 && s.syncFailure == nil {
			t.Fatalf("call %d: %d commits failed", n, failed)
		}
		if s.syncFailure == nil {
			if now := content(t, s); !maps.Equal(now, have) {
				t.Fatalf("call %d: before the restart\n%v\nwant\n%v", n, now, have)
			}
		}
		s.Close()
		s = mustOpen(t, m, opts)
		if now := content(t, s); !maps.Equal(now, have) || s.recovery.RecordsLost() {
			t.Fatalf("call %d: after the restart\n%v\nwant\n%v\n%+v", n, now, have, s.recovery)
		}
		s.Close()
	}
}

// Lets the disk fill up after any number of blocks: a commit without space must be rejected and leave nothing behind,
// and the store must accept commits again once there is space.
func TestDiskFillsAtEveryByte(t *testing.T) {
	list := script(5, 25)
	opts := small
	opts.MaxBytes = 0
	step := int64(512) // allocation unit of a disk
	for room := step; ; room += step {
		m := vfs.NewMem()
		m.SetLimit(room)
		s, err := Open(m, opts)
		if err != nil {
			continue
		}
		have := state{}
		rejected := 0
		for i, b := range list {
			if i == 20 {
				m.SetLimit(0)
			}
			if err := s.commit(b); err == nil {
				for _, c := range b {
					have.apply(c)
				}
			} else if rejected++; i >= 20 {
				t.Fatalf("space for %d bytes: rejected although there is space again: %v", room, err)
			}
			s.CompactStep()
		}
		if now := content(t, s); !maps.Equal(now, have) {
			t.Fatalf("space for %d bytes:\n%v\nwant\n%v", room, now, have)
		}
		s.Close()
		s = mustOpen(t, m, opts)
		if now := content(t, s); !maps.Equal(now, have) || s.recovery.RecordsLost() {
			t.Fatalf("space for %d bytes, after the restart:\n%v\nwant\n%v", room, now, have)
		}
		if rejected == 0 {
			return
		}
	}
}
