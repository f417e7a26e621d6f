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

// diskRun is a journal in a real folder of limited size, and the state that the journal
// has acknowledged.
type diskRun struct {
	folder   *vfs.Limited     // holds the journal; its limit changes within a round
	opts     journal.Options  // with which the journal is opened
	journal  *journal.Journal // open during a round
	rng      *rand.Rand       // draws limits, sizes and steps
	pending  map[string]int   // number of attempts of each pending message, by id
	lastID   int              // number in the id of the last message
	rejected int              // writes that the journal rejected in all rounds
}

// testFullDisk fills a real folder up to random limits and lifts the limit again, many
// times. After each restart the journal must contain what it acknowledged and nothing
// that it rejected, and it must accept messages again once there is space.
func testFullDisk(args []string) error {
	fs := flag.NewFlagSet("disk", flag.ContinueOnError)
	rounds := fs.Int("rounds", 200, "number of times that the folder fills up")
	seed := fs.Uint64("seed", 1, "seed of sizes and steps")
	syncAlways := fs.Bool("sync", false, "sync each append")
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
	r := &diskRun{folder: folder, rng: rand.New(rand.NewPCG(*seed, 1)), pending: map[string]int{},
		opts: journal.Options{MaxBytes: 8e6, MaxEnded: 1000, Sync: store.SyncNever, Log: slog.New(slog.DiscardHandler)}}
	if *syncAlways {
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
		*rounds, time.Since(start).Seconds(), acked, r.rejected)
	if r.rejected < *rounds {
		return fmt.Errorf("only %d writes were rejected", r.rejected)
	}
	return nil
}

// round opens the journal, fills the folder until writes are rejected, lifts the limit,
// appends more, and reopens the journal. It returns how many messages the journal
// acknowledged, and an error if its content is ever wrong or it rejects a write that fits.
func (r *diskRun) round() (acked int, err error) {
	if r.journal, err = journal.OpenOn(r.folder, r.opts); err != nil {
		return 0, err
	}
	r.folder.SetLimit(r.folder.UsedBytes() + int64(r.rng.IntN(200_000)))
	for rejected := 0; rejected < 5; {
		if ok := r.submitAndSend(); !ok {
			rejected++
			r.rejected++
		} else {
			acked++
		}
	}
	if err := r.verify("with the disk full"); err != nil {
		return acked, err
	}
	r.folder.SetLimit(1 << 40)
	for range 50 {
		if !r.submitAndSend() {
			return acked, fmt.Errorf("write rejected after the limit was lifted")
		}
		acked++
	}
	for id := range maps.Clone(r.pending) { // so that the next round starts with few pending messages
		if r.rng.IntN(10) > 0 {
			if err := r.journal.Append([]journal.Record{{Op: journal.OpDone, ID: id, At: time.Now().UnixMicro()}}); err != nil {
				return acked, err
			}
			delete(r.pending, id)
		}
	}
	if err := r.journal.Close(); err != nil {
		return acked, err
	}
	if r.journal, err = journal.OpenOn(r.folder, r.opts); err != nil {
		return acked, err
	}
	if err := r.verify("after the restart"); err != nil {
		return acked, err
	}
	return acked, r.journal.Close()
}

// submitAndSend appends an accepted message and an attempt of a pending one. It reports
// whether the journal acknowledged them.
func (r *diskRun) submitAndSend() bool {
	r.lastID++
	id := fmt.Sprint("m", r.lastID)
	recs := []journal.Record{{Op: journal.OpAccept, Entry: &journal.Entry{Message: message.Message{ID: id,
		Class: "safe", Partner: "p",
		Deadline: time.Now().Add(time.Hour).UnixMicro(), Body: make([]byte, r.rng.IntN(3000))}}}}
	sent := ""
	for sent = range r.pending {
		recs = append(recs, journal.Record{Op: journal.OpSend, ID: sent, At: 1},
			journal.Record{Op: journal.OpOutcome, ID: sent})
		break
	}
	if r.journal.Append(recs) != nil {
		return false
	}
	r.pending[id] = 0
	if sent != "" {
		r.pending[sent]++
	}
	return true
}

// verify returns an error if the journal differs from the acknowledged state. when names the
// step in the error.
func (r *diskRun) verify(when string) error {
	if n := r.journal.Len(); n != len(r.pending) {
		return fmt.Errorf("%s: %d pending messages, want %d", when, n, len(r.pending))
	}
	for id, attempts := range r.pending {
		if e := r.journal.Entry(id); e == nil || e.Attempts != attempts {
			return fmt.Errorf("%s: %s is %+v, want %d attempts", when, id, e, attempts)
		}
	}
	return nil
}
