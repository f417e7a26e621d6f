package spill

import (
	"testing"

	"cometrack/internal/backlog/disk"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// The files keep within their bound, an index block that is owed included, and messages that are not written yet count.
func TestRoom(t *testing.T) {
	fs := vfs.NewMem()
	d, err := start(fs, store.SyncNever, begin, map[string]*life{})
	if err != nil {
		t.Fatal(err)
	}
	d.close()
	opts := testOptions
	opts.SegmentBytes, opts.MaxBytes, opts.Sync = 4096, 4096+2000, store.SyncNever
	s, err := Open(room{fs, "b-"}, d.j, opts, func(any, <-chan struct{}) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if !s.HasRoom(1400) || s.HasRoom(1500) {
		t.Errorf("room for 1400: %v, for 1500: %v", s.HasRoom(1400), s.HasRoom(1500))
	}
	m := messageOf(1)
	s.Stage(&disk.Record{Message: *m})
	if s.HasRoom(1400) || !s.HasRoom(800) {
		t.Errorf("beside one that is not written: room for 1400: %v, for 800: %v", s.HasRoom(1400), s.HasRoom(800))
	}
	if err := s.Commit(); err != nil {
		t.Fatal(err)
	}
	if s.HasRoom(1400) || !s.HasRoom(800) {
		t.Errorf("beside one that is written: room for 1400: %v, for 800: %v", s.HasRoom(1400), s.HasRoom(800))
	}
}

// Taking messages on behind a window reads nothing: each step is one write.
func TestIntakeNeverReads(t *testing.T) {
	fs := vfs.NewMem()
	d, err := start(fs, store.SyncNever, begin, map[string]*life{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	if err := d.put(0, 3, 6, 9, 12); err != nil { // the window of p0 is full, and a segment is begun
		t.Fatal(err)
	}
	before := fs.Calls()
	for i := range 4 { // of p0 too, within the segment
		if err := d.put(15 + 3*i); err != nil {
			t.Fatal(err)
		}
		d.s.StartReads(d.now)
	}
	if n := fs.Calls() - before; n != 4 || d.s.Len() != 6 {
		t.Errorf("%d calls for 4 steps, %d behind", n, d.s.Len())
	}
}
