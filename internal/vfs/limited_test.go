package vfs

import (
	"errors"
	"syscall"
	"testing"
)

// Checks that a folder with a limit fills up as a disk does: what fits is written, the rest fails, removing a file
// frees its space, and existing blocks may be overwritten.
func TestLimitedFolder(t *testing.T) {
	dir := Dir(t.TempDir())
	before, err := dir.Open("before", true)
	if err != nil {
		t.Fatal(err)
	}
	before.WriteAt(make([]byte, 100), 0)
	before.Close()
	l, err := NewLimited(dir, 2048)
	if err != nil || l.UsedBytes() != 512 {
		t.Fatalf("%d bytes used, %v", l.UsedBytes(), err)
	}
	f, err := l.Open("a", true)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	write := func(b, off, want int, full bool) {
		t.Helper()
		n, err := f.WriteAt(make([]byte, b), int64(off))
		if n != want || errors.Is(err, syscall.ENOSPC) != full || err != nil && !full {
			t.Errorf("%d bytes at %d: %d written, %v", b, off, n, err)
		}
	}
	write(1000, 0, 1000, false)
	write(1000, 1000, 536, true)
	write(10, 1600, 0, true)
	write(1536, 0, 1536, false)
	if size, _ := f.Size(); size != 1536 || l.UsedBytes() != 2048 {
		t.Errorf("%d bytes in the file, %d used", size, l.UsedBytes())
	}
	l.Rename("before", "b")
	if err := l.Remove("b"); err != nil {
		t.Fatal(err)
	}
	write(600, 1536, 512, true)
	f.Truncate(0)
	l.SetLimit(512)
	write(600, 0, 512, true)
}
