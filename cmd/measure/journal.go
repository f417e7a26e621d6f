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

// measureJournal measures how long an event loop waits for the journal. Messages are
// accepted, sent and delivered at a fixed rate beside others that stay pending; each
// step is one append, as in the core.
func measureJournal(args []string) error {
	flags := flag.NewFlagSet("journal", flag.ExitOnError)
	disk := flags.Int64("disk", 3_000_000, "limit of the folder in bytes")
	rate := flags.Int("rate", 360, "messages a second")
	pending := flags.Int("held", 300, "messages that stay pending all the time")
	bodySize := flags.Int("body", 600, "bytes of a body")
	duration := flags.Duration("span", 20*time.Second, "duration of the measurement")
	syncPolicy := flags.String("sync", "never", "store.sync of the journal: always or never")
	flags.Parse(args)
	dir, err := os.MkdirTemp("", "journal-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opts := journal.Options{MaxBytes: *disk, MaxEnded: 16384, Sync: store.SyncNever}
	if *syncPolicy == "always" {
		opts.Sync = store.SyncAlways
	}
	j, err := journal.Open(dir, opts)
	if err != nil {
		return err
	}
	defer j.Close()
	accept := func(id string) journal.Record {
		return journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{Message: message.Message{
			ID: id, Class: "imbalance", Partner: "17", Tenant: "lakes", Key: "key-" + id,
			Deadline: time.Now().Add(10 * time.Second).UnixMicro(), Body: make([]byte, *bodySize)}}}
	}
	var latencies []time.Duration
	rejected := 0
	appendTimed := func(recs ...journal.Record) error {
		began := time.Now()
		err := j.Append(recs)
		latencies = append(latencies, time.Since(began))
		return err
	}
	before := folderSize(dir)
	for i := range *pending {
		if err := appendTimed(accept(fmt.Sprint("held-", i))); err != nil {
			return err
		}
	}
	bytesPerPending := float64(folderSize(dir)-before) / float64(max(*pending, 1))
	latencies = latencies[:0]
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu := usage.Utime.Nano() + usage.Stime.Nano()
	start := time.Now()
	submitted, maxFolderSize := 0, int64(0)
	for time.Since(start) < *duration {
		now := time.Now()
		for due := int(now.Sub(start).Seconds() * float64(*rate)); submitted < due; submitted++ {
			id := fmt.Sprint("m-", submitted)
			if !j.Reserve(*bodySize) {
				rejected++
				continue
			}
			if err := appendTimed(accept(id), journal.Record{Op: journal.OpSend, ID: id, At: now.UnixMicro(),
				Zone: "a"}); err != nil {
				return err
			}
			if err := appendTimed(journal.Record{Op: journal.OpDone, ID: id, At: now.UnixMicro()}); err != nil {
				return err
			}
		}
		if submitted%200 == 0 {
			j.DropExpired(j.Clock().At(now))
			maxFolderSize = max(maxFolderSize, folderSize(dir))
		}
		time.Sleep(time.Millisecond)
	}
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu = usage.Utime.Nano() + usage.Stime.Nano() - cpu
	slices.Sort(latencies)
	quantile := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(100 * time.Nanosecond)
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	fmt.Printf("%d messages, %d refused; append p50 %v, p99 %v, p99.9 %v, longest %v; CPU %.1f µs a message; "+
		"%.0f bytes on the disk for a held one; folder at most %d bytes; heap %.1f MB\n",
		submitted, rejected, quantile(0.5), quantile(0.99), quantile(0.999), quantile(1),
		float64(cpu)/1e3/float64(max(submitted, 1)), bytesPerPending, maxFolderSize, float64(mem.HeapAlloc)/1e6)
	return nil
}

// folderSize returns the size in bytes of the files in dir, each rounded up to blocks of 512
// bytes.
func folderSize(dir string) (sum int64) {
	list, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, name := range list {
		if info, err := os.Stat(name); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}
