package journal

import (
	"strconv"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// BenchmarkMessageLifecycle accepts, sends and delivers messages one after another, with 3 MB on the
// disk and without syncs.
func BenchmarkMessageLifecycle(b *testing.B) {
	dir, err := vfs.OpenDir(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	j := openJournal(b, dir, Options{MaxBytes: 3e6, MaxEnded: 16384, Sync: store.SyncNever})
	body := make([]byte, 256)
	b.ReportAllocs()
	for i := range b.N {
		id := "m-" + strconv.Itoa(i)
		now := time.Now()
		mustAppend(b, j, Record{Op: OpAccept, Entry: &Entry{Message: message.Message{ID: id, Class: "imbalance",
			Partner: "17", Tenant: "lakes", Key: "key-" + id, Deadline: now.Add(10 * time.Second).UnixMicro(),
			Body: body}}}, Record{Op: OpSend, ID: id, At: now.UnixMicro(), Zone: "a"})
		mustAppend(b, j, Record{Op: OpDone, ID: id, At: now.UnixMicro()})
	}
	j.Close()
}
