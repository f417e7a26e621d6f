package spill

import (
	"testing"

	"cometrack/internal/backlog/disk"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// The files stay within MaxBytes: HasRoom counts staged messages and leaves room for an index block.
func TestHasRoom(t *testing.T) {
	fs := vfs.NewMem()
	p, err := start(fs, store.SyncNever, startTime, map[string]*expectation{})
	if err != nil {
		t.Fatal(err)
	}
	p.close()
	opts := testOptions
	opts.SegmentBytes, opts.MaxBytes, opts.Sync = 4096, 4096+2000, store.SyncNever
	s, err := Open(prefixFS{fs, "b-"}, p.j, opts, func(any, <-chan struct{}) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if !s.HasRoom(1400) || s.HasRoom(1500) {
		t.Errorf("room for 1400: %v, for 1500: %v", s.HasRoom(1400), s.HasRoom(1500))
	}
	m := testMessage(1)
	s.Stage(&disk.Record{Message: *m})
	if s.HasRoom(1400) || !s.HasRoom(800) {
		t.Errorf("with a staged message: room for 1400: %v, for 800: %v", s.HasRoom(1400), s.HasRoom(800))
	}
	if err := s.Commit(); err != nil {
		t.Fatal(err)
	}
	if s.HasRoom(1400) || !s.HasRoom(800) {
		t.Errorf("with a committed message: room for 1400: %v, for 800: %v", s.HasRoom(1400), s.HasRoom(800))
	}
}

// Spilling messages reads nothing from disk: each commit is one write.
func TestSpillingReadsNothing(t *testing.T) {
	fs := vfs.NewMem()
	p, err := start(fs, store.SyncNever, startTime, map[string]*expectation{})
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	if err := p.submit(0, 3, 6, 9, 12); err != nil { // fills the window of p0 and starts a segment
		t.Fatal(err)
	}
	before := fs.Calls()
	for i := range 4 { // also of p0, in the same segment
		if err := p.submit(15 + 3*i); err != nil {
			t.Fatal(err)
		}
		p.s.StartReads(p.now)
	}
	if n := fs.Calls() - before; n != 4 || p.s.Len() != 6 {
		t.Errorf("%d calls for 4 commits, %d spilled", n, p.s.Len())
	}
}
