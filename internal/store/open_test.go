package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/vfs"
)

// Checks that a folder that can't be opened is rejected with an error that names the cause.
func TestRefusedFolders(t *testing.T) {
	realDir := func(t *testing.T) vfs.FS {
		d, err := vfs.OpenDir(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	for name, newFolder := range map[string]func(t *testing.T) (vfs.FS, string){
		"two processes": func(t *testing.T) (vfs.FS, string) {
			d := realDir(t)
			s := mustOpen(t, d, small)
			t.Cleanup(func() { s.Close() })
			return d, "locked"
		},
		"a newer version": func(t *testing.T) (vfs.FS, string) {
			m := vfs.NewMem()
			h := encodeHeader(1, segmentHeader{salt: 5})[:headerCopyLen]
			binary.LittleEndian.PutUint32(h[8:], formatVersion+1)
			binary.LittleEndian.PutUint32(h[headerCopyLen-4:], crc32.Checksum(h[:headerCopyLen-4], castagnoli))
			m.SetFile(segmentName(1), append(h, h...))
			return m, "later format"
		},
		"a folder in the place of the lock": func(t *testing.T) (vfs.FS, string) {
			dir := t.TempDir()
			if err := os.Mkdir(filepath.Join(dir, lockName), 0o700); err != nil {
				t.Fatal(err)
			}
			return vfs.Dir(dir), "directory"
		},
		"a folder that is read-only": func(t *testing.T) (vfs.FS, string) {
			return vfs.Dir("/sys"), "permission denied" // also for root
		},
		"no folder": func(t *testing.T) (vfs.FS, string) {
			return vfs.Dir(filepath.Join(t.TempDir(), "none")), "no such file"
		},
	} {
		t.Run(name, func(t *testing.T) {
			fs, want := newFolder(t)
			if s, err := Open(fs, small); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q in it", err, want)
			} else if s != nil {
				t.Error("Open returned a store together with an error")
			}
		})
	}
}

// Checks that a valid record at another offset, or of another file, is not read.
func TestStaleRecords(t *testing.T) {
	m := vfs.NewMem()
	s := mustOpen(t, m, small)
	for _, v := range []string{"one", "two"} {
		if err := s.commit([]change{{"key", v}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	b := m.Data(segmentName(1))
	var frames []frame
	scanFrames(b, s.segments[0].salt, headerLen, func(f *frame) bool { frames = append(frames, *f); return true })
	one, two := frames[0], frames[1]
	swapped := append([]byte(nil), b...)
	copy(swapped[one.offset:], b[two.offset:two.offset+two.size])
	copy(swapped[two.offset:], b[one.offset:one.offset+one.size])
	other := append(encodeHeader(1, segmentHeader{salt: 77}), b[headerLen:]...)
	for what, data := range map[string][]byte{"at another place": swapped, "under another salt": other} {
		m := vfs.NewMem()
		m.SetFile(segmentName(1), data)
		s := mustOpen(t, m, small)
		if have := content(t, s); len(have) != 0 {
			t.Errorf("%s: %v", what, have)
		}
		s.Close()
	}
}

// hookedFS is a file system that calls a function before each sync of a file.
type hookedFS struct {
	vfs.FS
	beforeSync func()
}

// hookedFile is a file of a hookedFS.
type hookedFile struct {
	vfs.File
	beforeSync func()
}

func (g hookedFS) Open(name string, create bool) (vfs.File, error) {
	f, err := g.FS.Open(name, create)
	return hookedFile{f, g.beforeSync}, err
}

func (f hookedFile) Sync() error { f.beforeSync(); return f.File.Sync() }

// Checks that batches committed while a sync is in progress share the next one.
func TestSharedSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const more = 20
		fs := hookedFS{vfs.NewMem(), func() {}}
		s := mustOpen(t, fs.FS, Options{Manual: true})
		put := func(i int) {
			if err := s.commit([]change{{fmt.Sprint("k", i), "x"}}); err != nil {
				t.Error(err)
			}
		}
		put(0) // creates the segment
		s.Close()
		blockSyncs, release := false, make(chan bool)
		fs.beforeSync = func() {
			if blockSyncs {
				<-release
			}
		}
		s = mustOpen(t, fs, Options{Manual: true})
		blockSyncs = true
		go put(1)
		synctest.Wait() // its sync is in progress
		for i := range more {
			go put(2 + i)
		}
		synctest.Wait()
		close(release)
		synctest.Wait()
		if st := s.Stats(); st.Syncs != 2 || st.Writes != 2 || st.Commits != more+1 {
			t.Errorf("%+v", st)
		}
		s.Close()
	})
}

// Checks that each of many concurrent commits gets its own result, while compaction runs in the background.
func TestGroupCommit(t *testing.T) {
	d, err := vfs.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opts := small
	opts.Manual, opts.MaxBytes = false, 64<<10
	s := mustOpen(t, d, opts)
	var wg sync.WaitGroup
	const writers, each = 16, 60
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				var b Batch
				b.UseReserve = true
				b.Put(fmt.Sprint("k", w), fmt.Appendf(nil, "%d:%0200d", i, 0))
				if w%4 == 3 && i%2 == 1 {
					b.Delete(fmt.Sprint("k", w))
				}
				if err := s.Commit(&b); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	var big Batch
	big.Put("big", make([]byte, small.SegmentBytes))
	if err := s.Commit(&big); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a batch larger than a segment: %v", err)
	}
	wg.Wait()
	st := s.Stats()
	if st.SegmentsCompacted == 0 {
		t.Errorf("no compaction: %+v", st)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = mustOpen(t, d, opts)
	have := content(t, s)
	for w := range writers {
		got, ok := have[fmt.Sprint("k", w)]
		if last := fmt.Sprint(each-1, ":"); w%4 == 3 && ok || w%4 != 3 && !strings.HasPrefix(got, last) {
			t.Errorf("writer %d: %.10q", w, got)
		}
	}
	s.Close()
}

// Checks that with SyncInterval a committed batch is on the disk after the interval, without another call.
func TestSyncInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := vfs.NewMem()
		opts := small
		opts.Manual, opts.Sync, opts.FlushInterval = false, SyncInterval, time.Second
		s := mustOpen(t, m, opts)
		if err := s.commit([]change{{"key", "value"}}); err != nil {
			t.Fatal(err)
		}
		<-time.After(opts.FlushInterval)
		synctest.Wait()
		left := m.Restart(vfs.LoseUnsynced, nil)
		s.Close() // fails, since the machine has crashed; ends the background goroutine
		s = mustOpen(t, left, small)
		if have := content(t, s); have["key"] != "value" {
			t.Errorf("%v", have)
		}
		s.Close()
	})
}
