package journal

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// failingSyncFS is a file system whose syncs fail while fail is set.
type failingSyncFS struct {
	vfs.FS
	fail *atomic.Bool
}

func (f failingSyncFS) Open(name string, create bool) (vfs.File, error) {
	file, err := f.FS.Open(name, create)
	return failingSyncFile{file, f.fail}, err
}

func (f failingSyncFS) SyncDir() error {
	if f.fail.Load() {
		return syscall.EIO
	}
	return f.FS.SyncDir()
}

type failingSyncFile struct {
	vfs.File
	fail *atomic.Bool
}

func (f failingSyncFile) Sync() error {
	if f.fail.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// After a failed sync, data written before may be lost. The journal must reopen the store once the disk works again and
// write everything again, with bodies that are only in the store, so that it survives a crash of the machine.
func TestReopenAfterFailedSync(t *testing.T) {
	mem, fail := vfs.NewMem(), &atomic.Bool{}
	opts := testOptions
	opts.Sync, opts.MaxBodyInMemory, opts.EndRetention = store.SyncAlways, 100, time.Hour
	j, err := OpenOn(failingSyncFS{mem, fail}, opts)
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, j, accept("small", 10), accept("large", 500), accept("done", 10),
		Record{Op: OpDone, ID: "done", At: j.Clock().Now()})
	fail.Store(true)
	if err := j.Append([]Record{accept("refused", 10)}); !errors.Is(err, store.ErrSyncFailed) {
		t.Fatalf("append with a failing sync: %v", err)
	}
	if j.Entry("refused") != nil {
		t.Error("a message that could not be synced counts as accepted")
	}
	for range 3 {
		if err := j.Append([]Record{accept("again", 10)}); err == nil {
			t.Fatal("accepted a message with a failing disk")
		}
		j.DropExpired(j.Clock().Now())
	}
	fail.Store(false)
	mustAppend(t, j, accept("after", 10))
	if body, err := j.Body("large"); err != nil || len(body) != 500 {
		t.Errorf("the body is read back as %d bytes: %v", len(body), err)
	}
	for _, loss := range vfs.Losses() {
		lost := mem.Restart(loss, rand.New(rand.NewPCG(1, uint64(loss))))
		j, err := OpenOn(lost, opts)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"small", "large", "after"} {
			if j.Entry(id) == nil {
				t.Errorf("loss %d: %s is lost", loss, id)
			}
		}
		if body, err := j.Body("large"); err != nil || len(body) != 500 {
			t.Errorf("loss %d: after the crash the body is %d bytes: %v", loss, len(body), err)
		}
		if j.Ended("done") == nil || j.Entry("refused") != nil || j.Entry("again") != nil {
			t.Errorf("loss %d: ended %v, refused %v, again %v", loss, j.Ended("done"), j.Entry("refused"), j.Entry("again"))
		}
		j.Close()
	}
}
