package main

import (
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// diskRun is a journal in a real folder that fills up, and what it has acknowledged.
type diskRun struct {
	folder  *vfs.Limited
	opts    journal.Options
	j       *journal.Journal
	rng     *rand.Rand
	held    map[string]int // tries, by id
	n       int
	refused int
}

// disk fills a real folder under a limit over and over, at random sizes, and gives
// it room again. What was acknowledged must be there after each restart, what was
// refused must not, and with room again work must go on by itself.
func disk(args []string) error {
	fs := flag.NewFlagSet("disk", flag.ContinueOnError)
	rounds := fs.Int("rounds", 200, "times that the folder fills up")
	seed := fs.Uint64("seed", 1, "of sizes and steps")
	sync := fs.Bool("sync", false, "sync always")
	if err := fs.Parse(args); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "disk")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	folder, err := vfs.NewLimited(vfs.Dir(dir), 1<<40)
	if err != nil {
		return err
	}
	r := &diskRun{folder: folder, rng: rand.New(rand.NewPCG(*seed, 1)), held: map[string]int{},
		opts: journal.Options{MaxBytes: 8e6, MaxEnded: 1000, Sync: store.SyncNever, Log: slog.New(slog.DiscardHandler)}}
	if *sync {
		r.opts.Sync = store.SyncAlways
	}
	start, acked := time.Now(), 0
	for round := range *rounds {
		n, err := r.round()
		if acked += n; err != nil {
			return fmt.Errorf("seed %d, round %d: %w", *seed, round, err)
		}
	}
	fmt.Printf("%d rounds in %.1f s: %d messages taken on, %d writes refused for want of room, nothing lost, nothing refused found later\n",
		*rounds, time.Since(start).Seconds(), acked, r.refused)
	if r.refused < *rounds {
		return fmt.Errorf("only %d writes were refused", r.refused)
	}
	return nil
}

// round fills the folder until writes are refused, gives it room, works on, and
// restarts.
func (r *diskRun) round() (acked int, err error) {
	if r.j, err = journal.OpenOn(r.folder, r.opts); err != nil {
		return 0, err
	}
	r.folder.SetLimit(r.folder.UsedBytes() + int64(r.rng.IntN(200_000)))
	for refused := 0; refused < 5; {
		if ok := r.step(); !ok {
			refused++
			r.refused++
		} else {
			acked++
		}
	}
	if err := r.check("with the disk full"); err != nil {
		return acked, err
	}
	r.folder.SetLimit(1 << 40)
	for range 50 {
		if !r.step() {
			return acked, fmt.Errorf("refused with room again")
		}
		acked++
	}
	for id := range maps.Clone(r.held) { // the next round begins with few
		if r.rng.IntN(10) > 0 {
			if err := r.j.Append([]journal.Record{{Op: journal.OpDone, ID: id, At: time.Now().UnixMicro()}}); err != nil {
				return acked, err
			}
			delete(r.held, id)
		}
	}
	if err := r.j.Close(); err != nil {
		return acked, err
	}
	if r.j, err = journal.OpenOn(r.folder, r.opts); err != nil {
		return acked, err
	}
	if err := r.check("after the restart"); err != nil {
		return acked, err
	}
	return acked, r.j.Close()
}

// step takes a message on and sends one that is held; false if it was refused.
func (r *diskRun) step() bool {
	r.n++
	id := fmt.Sprint("m", r.n)
	recs := []journal.Record{{Op: journal.OpAccept, Entry: &journal.Entry{Message: message.Message{ID: id, Class: "safe", Partner: "p",
		Deadline: time.Now().Add(time.Hour).UnixMicro(), Body: make([]byte, r.rng.IntN(3000))}}}}
	sent := ""
	for sent = range r.held {
		recs = append(recs, journal.Record{Op: journal.OpSend, ID: sent, At: 1}, journal.Record{Op: journal.OpOutcome, ID: sent})
		break
	}
	if r.j.Append(recs) != nil {
		return false
	}
	r.held[id] = 0
	if sent != "" {
		r.held[sent]++
	}
	return true
}

// check holds the journal against what was acknowledged.
func (r *diskRun) check(when string) error {
	if n := r.j.Len(); n != len(r.held) {
		return fmt.Errorf("%s: %d are held, want %d", when, n, len(r.held))
	}
	for id, tries := range r.held {
		if e := r.j.Entry(id); e == nil || e.Attempts != tries {
			return fmt.Errorf("%s: %s is %+v, want %d tries", when, id, e, tries)
		}
	}
	return nil
}
