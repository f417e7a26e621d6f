package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/store"
)

// journalWaits measures how long a loop waits for the journal. Messages are taken
// on, sent and delivered at a rate, some of them held for long; each step is one
// append, as in the core.
func journalWaits(args []string) error {
	flags := flag.NewFlagSet("journal", flag.ExitOnError)
	disk := flags.Int64("disk", 3_000_000, "bytes of the folder")
	rate := flags.Int("rate", 360, "messages a second")
	held := flags.Int("held", 300, "messages held for long beside them")
	body := flags.Int("body", 600, "bytes of a body")
	span := flags.Duration("span", 20*time.Second, "how long")
	sync := flags.String("sync", "never", "always or never")
	flags.Parse(args)
	dir, err := os.MkdirTemp("", "journal-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opts := journal.Options{MaxBytes: *disk, MaxEnded: 16384, Sync: store.SyncNever}
	if *sync == "always" {
		opts.Sync = store.SyncAlways
	}
	j, err := journal.Open(dir, opts)
	if err != nil {
		return err
	}
	defer j.Close()
	accept := func(id string) journal.Record {
		return journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{Message: message.Message{ID: id, Class: "imbalance", Partner: "17",
			Tenant: "lakes", Key: "key-" + id, Deadline: time.Now().Add(10 * time.Second).UnixMicro(), Body: make([]byte, *body)}}}
	}
	var took []time.Duration
	refused := 0
	add := func(recs ...journal.Record) error {
		at := time.Now()
		err := j.Append(recs)
		took = append(took, time.Since(at))
		return err
	}
	before := folderSize(dir)
	for i := range *held {
		if err := add(accept(fmt.Sprint("held-", i))); err != nil {
			return err
		}
	}
	each := float64(folderSize(dir)-before) / float64(max(*held, 1))
	took = took[:0]
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu := usage.Utime.Nano() + usage.Stime.Nano()
	start := time.Now()
	made, largest := 0, int64(0)
	for time.Since(start) < *span {
		now := time.Now()
		for due := int(now.Sub(start).Seconds() * float64(*rate)); made < due; made++ {
			id := fmt.Sprint("m-", made)
			if !j.Reserve(*body) {
				refused++
				continue
			}
			if err := add(accept(id), journal.Record{Op: journal.OpSend, ID: id, At: now.UnixMicro(), Zone: "a"}); err != nil {
				return err
			}
			if err := add(journal.Record{Op: journal.OpDone, ID: id, At: now.UnixMicro()}); err != nil {
				return err
			}
		}
		if made%200 == 0 {
			j.DropExpired(j.Clock().At(now))
			largest = max(largest, folderSize(dir))
		}
		time.Sleep(time.Millisecond)
	}
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu = usage.Utime.Nano() + usage.Stime.Nano() - cpu
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(100 * time.Nanosecond) }
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	fmt.Printf("%d messages, %d refused; append p50 %v, p99 %v, p99.9 %v, longest %v; CPU %.1f µs a message; "+
		"%.0f bytes on the disk for a held one; folder at most %d bytes; heap %.1f MB\n",
		made, refused, at(0.5), at(0.99), at(0.999), at(1), float64(cpu)/1e3/float64(max(made, 1)), each, largest, float64(mem.HeapAlloc)/1e6)
	return nil
}

// folderSize counts each file in whole blocks of 512.
func folderSize(dir string) (sum int64) {
	list, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, name := range list {
		if info, err := os.Stat(name); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}
