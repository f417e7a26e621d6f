package vfs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"pgregory.net/rapid"
)

// must fails the test on an error.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// writeAll writes all of a text at an offset.
func writeAll(t testing.TB, f File, text string, at int64) {
	t.Helper()
	if n, err := f.WriteAt([]byte(text), at); err != nil || n != len(text) {
		t.Fatalf("%d, %v", n, err)
	}
}

// read returns the contents of a file.
func read(t testing.TB, f File) string {
	t.Helper()
	size, err := f.Size()
	must(t, err)
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); int64(n) != size || err != nil && !errors.Is(err, io.EOF) {
		t.Fatalf("%d of %d, %v", n, size, err)
	}
	return string(b)
}

// Checks that the real and the simulated file system behave alike.
func TestSameBehavior(t *testing.T) {
	dir, err := OpenDir(filepath.Join(t.TempDir(), "a", "b"))
	must(t, err)
	for name, sys := range map[string]FS{"dir": dir, "mem": NewMem()} {
		t.Run(name, func(t *testing.T) {
			if _, err := sys.Open("x", false); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("open: %v", err)
			}
			f, err := sys.Open("x", true)
			must(t, err)
			writeAll(t, f, "hello", 0)
			writeAll(t, f, "!", 7)
			if got := read(t, f); got != "hello\x00\x00!" {
				t.Errorf("%q", got)
			}
			must(t, f.Truncate(4))
			must(t, f.Truncate(6))
			if got := read(t, f); got != "hell\x00\x00" {
				t.Errorf("%q", got)
			}
			if n, err := f.ReadAt(make([]byte, 4), 4); n != 2 || !errors.Is(err, io.EOF) {
				t.Errorf("read past the end: %d, %v", n, err)
			}
			must(t, f.Sync())
			must(t, sys.SyncDir())
			if _, err := sys.Open("y", true); err != nil {
				t.Fatal(err)
			}
			must(t, sys.Rename("x", "y"))
			if list, err := sys.List(); err != nil || fmt.Sprint(list) != "[y]" {
				t.Errorf("%v, %v", list, err)
			}
			if got := read(t, f); got != "hell\x00\x00" { // the open file is the same under its new name
				t.Errorf("%q", got)
			}
			must(t, f.Close())
			if _, err := f.Size(); !errors.Is(err, fs.ErrClosed) {
				t.Errorf("after the close: %v", err)
			}
			must(t, sys.Remove("y"))
			if err := sys.Remove("y"); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("removed twice: %v", err)
			}
			if err := sys.Rename("y", "z"); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("renamed: %v", err)
			}
			lock, err := sys.Lock("lock")
			must(t, err)
			if _, err := sys.Lock("lock"); !errors.Is(err, ErrLocked) {
				t.Errorf("locked twice: %v", err)
			}
			must(t, lock.Close())
			lock, err = sys.Lock("lock")
			must(t, err)
			lock.Close()
		})
	}
}

// Checks that opening a folder as a file fails at once, not at a later call.
func TestFolderAsFile(t *testing.T) {
	path := t.TempDir()
	must(t, os.Mkdir(filepath.Join(path, "x"), 0o700))
	if _, err := Dir(path).Open("x", true); err == nil {
		t.Error("a folder is opened as a file")
	}
}

// Checks that names and data are durable only once each of them is synced.
func TestSyncedNamesAndData(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := NewMem()
	f, _ := m.Open("kept", true)
	writeAll(t, f, "old", 0)
	must(t, f.Sync())
	must(t, m.SyncDir())
	writeAll(t, f, "new", 0)
	g, _ := m.Open("unnamed", true)
	writeAll(t, g, "x", 0)
	must(t, g.Sync())
	after := m.Restart(LoseUnsynced, rng)
	if got := string(after.Data("kept")); got != "old" || after.Data("unnamed") != nil {
		t.Errorf("left: %q, %q", got, after.Data("unnamed"))
	}
	if _, err := m.List(); !errors.Is(err, ErrCrashed) {
		t.Errorf("the old file system still works: %v", err)
	}
	if got := string(m.Restart(LoseNone, rng).Data("kept")); got != "new" {
		t.Errorf("only the process died: %q", got)
	}
	// A rename that replaces a file leaves the old or the new one.
	seen := map[string]bool{}
	for range 50 {
		m := NewMem()
		m.SetFile("x", []byte("old"))
		f, _ := m.Open("x.new", true)
		writeAll(t, f, "new", 0)
		must(t, f.Sync())
		must(t, m.Rename("x.new", "x"))
		seen[string(m.Restart(LoseTail, rng).Data("x"))] = true
	}
	if len(seen) != 2 || !seen["old"] || !seen["new"] {
		t.Errorf("seen %v", seen)
	}
}

// Checks that a failed sync loses the written data, although the next sync succeeds.
func TestFailedSync(t *testing.T) {
	m := NewMem()
	f, _ := m.Open("x", true)
	must(t, m.SyncDir())
	writeAll(t, f, "hello", 0)
	m.FailAt(1, syscall.EIO)
	if err := f.Sync(); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	must(t, f.Sync())
	if got := m.Restart(LoseUnsynced, rand.New(rand.NewPCG(1, 1))).Data("x"); len(got) != 0 {
		t.Errorf("left: %q", got)
	}
}

// Checks that a full disk takes what fits, in whole blocks.
func TestFullDisk(t *testing.T) {
	m := NewMem()
	m.SetLimit(3 * block)
	f, _ := m.Open("x", true)
	g, _ := m.Open("y", true)
	writeAll(t, f, "x", 0)
	if n, err := g.WriteAt(make([]byte, 5000), 0); n != 2*block || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("%d, %v", n, err)
	}
	if n, err := f.WriteAt(make([]byte, block), 0); n != block || err != nil { // within the file's own block
		t.Errorf("%d, %v", n, err)
	}
	if m.UsedBytes() != 3*block {
		t.Errorf("%d used", m.UsedBytes())
	}
	must(t, m.Remove("y"))
	writeAll(t, f, string(make([]byte, 2*block)), block)
}

// Checks for any writes, syncs and losses: reads before the crash see each write; after it a file holds what was synced
// last, changed only by later writes, and with LoseTail by a prefix of them.
func TestCrashContents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewMem()
		f, _ := m.Open("x", true)
		must(t, m.SyncDir())
		var now, synced []byte
		states := [][]byte{nil} // since the last sync
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				must(t, f.Sync())
				synced, states = bytes.Clone(now), [][]byte{bytes.Clone(now)}
			case 1:
				size := rapid.Int64Range(0, 1500).Draw(rt, "size")
				must(t, f.Truncate(size))
				now = append(now, make([]byte, max(size-int64(len(now)), 0))...)[:size]
				states = append(states, bytes.Clone(now))
			default:
				at, n := rapid.IntRange(0, 1200).Draw(rt, "at"), rapid.IntRange(1, 700).Draw(rt, "n")
				b := bytes.Repeat([]byte{byte(rapid.IntRange(1, 255).Draw(rt, "byte"))}, n)
				writeAll(t, f, string(b), int64(at))
				now = append(now, make([]byte, max(at+n-len(now), 0))...)
				copy(now[at:], b)
				states = append(states, bytes.Clone(now))
			}
			if got := read(t, f); got != string(now) {
				rt.Fatalf("read %q, want %q", got, now)
			}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		if got := m.Restart(LoseUnsynced, rng).Data("x"); !bytes.Equal(got, synced) {
			rt.Fatalf("LoseUnsynced leaves %q, want %q", got, synced)
		}
		if got := m.Restart(LoseNone, rng).Data("x"); !bytes.Equal(got, now) {
			rt.Fatalf("LoseNone leaves %q, want %q", got, now)
		}
		got := m.Restart(LoseTail, rng).Data("x")
		fits := false
		for i, s := range states { // between one state and the next, where a write is torn
			next := s
			if i+1 < len(states) {
				next = states[i+1]
			}
			fits = fits || between(got, s, next)
		}
		if !fits {
			rt.Fatalf("LoseTail leaves %q, which no prefix of the writes makes", got)
		}
	})
}

// between reports whether each byte of got is that of a or of b.
func between(got, a, b []byte) bool {
	if len(got) < min(len(a), len(b)) || len(got) > max(len(a), len(b)) {
		return false
	}
	at := func(x []byte, i int) byte {
		if i < len(x) {
			return x[i]
		}
		return 0
	}
	for i, c := range got {
		if c != at(a, i) && c != at(b, i) {
			return false
		}
	}
	return true
}

// Checks that each call can be made to crash: a crashing write is made in part, and all later calls fail.
func TestCrashAt(t *testing.T) {
	run := func(m *Mem) error {
		f, err := m.Open("x", true)
		if err != nil {
			return err
		}
		if err := m.SyncDir(); err != nil {
			return err
		}
		if _, err := f.WriteAt([]byte("hello"), 0); err != nil {
			return err
		}
		return f.Sync()
	}
	whole := NewMem()
	must(t, run(whole))
	if whole.Calls() != 4 {
		t.Fatalf("%d calls", whole.Calls())
	}
	for n := 1; n <= whole.Calls(); n++ {
		m := NewMem()
		m.CrashAt(n)
		if err := run(m); !errors.Is(err, ErrCrashed) || !m.Crashed() {
			t.Errorf("call %d: %v", n, err)
		}
		for _, loss := range Losses() {
			got := m.Restart(loss, rand.New(rand.NewPCG(1, uint64(n)))).Data("x")
			if !bytes.HasPrefix([]byte("hello"), got) || n == 3 && loss == LoseNone && string(got) != "he" {
				t.Errorf("call %d, loss %d leaves %q", n, loss, got)
			}
		}
	}
}
