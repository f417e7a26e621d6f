package spill

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"cometrack/internal/backlog"
	"cometrack/internal/backlog/disk"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// room is a folder within one that crashes as a whole: its files have a prefix there.
type room struct {
	vfs.FS
	prefix string
}

func (r room) Open(name string, create bool) (vfs.File, error) {
	return r.FS.Open(r.prefix+name, create)
}
func (r room) Remove(name string) error            { return r.FS.Remove(r.prefix + name) }
func (r room) Rename(from, to string) error        { return r.FS.Rename(r.prefix+from, r.prefix+to) }
func (r room) Lock(name string) (io.Closer, error) { return r.FS.Lock(r.prefix + name) }
func (r room) List() ([]string, error) {
	list, err := r.FS.List()
	var out []string
	for _, n := range list {
		if rest, ok := strings.CutPrefix(n, r.prefix); ok {
			out = append(out, rest)
		}
	}
	return out, err
}

// life is what a test knows of a message.
type life struct {
	acked bool // it was acknowledged
	begun bool // its end was begun
	over  bool // its end is in the journal
	seq   int  // of its acknowledgement, to hold order against
}

// daemon is a process without a module: it takes messages on, lets them into their
// windows and ends them.
type daemon struct {
	j      *journal.Journal
	s      *Spill
	events chan any
	now    int64 // Unix microseconds, as the test has it
	lives  map[string]*life
	window []string // in the module, in order
	acks   int
}

var testOptions = Options{Window: 3, MaxBytes: 1 << 20, SegmentBytes: 1500, Log: slog.New(slog.DiscardHandler)}

const begin = int64(1_000_000_000_000)

// far is a time in which the journal forgets no end.
var far = journal.Options{MaxBytes: 1 << 20, MaxEnded: 10_000, EndRetention: 1 << 62}

// start opens what an earlier process has left. known is what a test knows of the
// messages.
func start(fs vfs.FS, sync store.Sync, now int64, known map[string]*life) (*daemon, error) {
	opts := far
	opts.Sync, opts.Log = sync, slog.New(slog.DiscardHandler)
	j, err := journal.OpenOn(room{fs, "j-"}, opts)
	if err != nil {
		return nil, err
	}
	d := &daemon{j: j, events: make(chan any, 100), now: now, lives: known}
	behind := testOptions
	behind.Sync = sync
	d.s, err = Open(room{fs, "b-"}, j, behind, func(ev any, quit <-chan struct{}) {
		select {
		case d.events <- ev:
		case <-quit:
		}
	})
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	j.SetTermsInUse(d.s.Terms)
	for _, e := range j.Entries() {
		if e.End == nil {
			d.window = append(d.window, e.ID)
			d.s.EnterWindow(e.Partner)
		}
	}
	return d, nil
}

func (d *daemon) close() {
	d.s.Close()
	d.j.Close()
}

func messageOf(i int) *message.Message {
	return &message.Message{ID: fmt.Sprint("m", i), Class: "c", Tenant: fmt.Sprint("t", i%2), Partner: fmt.Sprint("p", i%3/2),
		Deadline: begin + int64(20+i*29%60)*1_000_000, Body: bytes.Repeat([]byte{byte(i)}, 100+i%50)}
}

// put takes messages on, as one step does.
func (d *daemon) put(list ...int) error {
	var recs []journal.Record
	var ids []string
	for _, i := range list {
		m := messageOf(i)
		d.lives[m.ID] = &life{}
		switch d.s.Place(m, false) {
		case backlog.InWindow:
			d.s.EnterWindow(m.Partner)
			recs = append(recs, journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{Message: *m, AcceptedAt: d.now}})
			d.window = append(d.window, m.ID)
		case backlog.InBacklog:
			d.s.Stage(&disk.Record{Message: *m, Accepted: d.now, Digest: m.Digest()})
		}
		ids = append(ids, m.ID)
	}
	if err := d.s.Commit(); err != nil {
		return err
	}
	if err := d.j.Append(recs); err != nil {
		return err
	}
	for _, id := range ids {
		d.acks++
		d.lives[id].acked, d.lives[id].seq = true, d.acks
	}
	return nil
}

// settle has all that is to be read come in, and what is over end.
func (d *daemon) settle() error {
	rounds := 0
	for {
		if err := d.end(); err != nil {
			return err
		}
		d.s.StartReads(d.now)
		done := make(chan struct{})
		d.s.work.add(barrier{done})
		var recs []journal.Record
		for waiting := true; waiting || len(d.events) > 0; {
			select {
			case ev := <-d.events:
				more, err := d.take(ev)
				if err != nil {
					return err
				}
				recs = append(recs, more...)
			case <-done:
				waiting, done = false, nil
			}
		}
		if rounds++; rounds > 10_000 {
			return errors.New("it does not come to rest")
		}
		if len(recs) == 0 && d.s.WakeTime() > d.now {
			return nil
		}
		if err := d.j.Append(recs); err != nil {
			return err
		}
	}
}

// barrier is a job that says when those before it are done.
type barrier struct{ done chan struct{} }

func (b barrier) do(*worker) any { close(b.done); return nil }

func (d *daemon) take(ev any) (recs []journal.Record, err error) {
	switch ev := ev.(told).event.(type) {
	case cameEvent:
		err = ev.err
	case dueEvent:
		err = ev.err
	}
	if err != nil {
		return nil, err
	}
	in, first, count, ok := d.s.HandleEvent(ev)
	if !ok {
		return nil, fmt.Errorf("%T is none of its events", ev)
	}
	if count > 0 {
		recs = append(recs, journal.Record{Op: journal.OpBacklogReclaimed, BacklogSeq: first, Count: count})
	}
	for _, x := range in {
		if x.Err != nil {
			return nil, x.Err
		}
		if x.Body == nil || x.Digest != x.Record.Message.Digest() {
			return nil, fmt.Errorf("%s came with another body", x.ID)
		}
		recs = append(recs, journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{Message: x.Message, AcceptedAt: x.Accepted, BacklogSeq: x.Seq}})
		d.window = append(d.window, x.ID)
	}
	return recs, nil
}

// end ends what is over behind the windows.
func (d *daemon) end() error {
	var recs []journal.Record
	var ids []string
	for {
		r, seq, ok := d.s.PopExpired(d.now)
		if !ok {
			break
		}
		if l := d.lives[r.ID]; l == nil || l.over || r.Deadline > d.now {
			return fmt.Errorf("%s ends: %+v, %d before its time", r.ID, l, r.Deadline-d.now)
		}
		d.lives[r.ID].begun = true
		recs = append(recs, journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{Message: r.Message, BacklogSeq: seq, StoredBodySize: 1, StoredDigest: r.Digest}},
			journal.Record{Op: journal.OpEnd, ID: r.ID, End: &message.End{ID: r.ID, State: message.Returned, At: d.now}},
			journal.Record{Op: journal.OpNotified, ID: r.ID, At: d.now})
		ids = append(ids, r.ID)
	}
	if err := d.j.Append(recs); err != nil {
		return err
	}
	for _, id := range ids {
		d.lives[id].over = true
	}
	return nil
}

// deliver ends the first so many messages in the windows.
func (d *daemon) deliver(n int) error {
	for range min(n, len(d.window)) {
		id := d.window[0]
		if l := d.lives[id]; l.over {
			return fmt.Errorf("%s is delivered twice", id)
		}
		d.lives[id].begun = true
		partner := d.j.Entry(id).Partner
		if err := d.j.Append([]journal.Record{{Op: journal.OpSend, ID: id, At: d.now}}); err != nil {
			return err
		}
		if err := d.j.Append([]journal.Record{{Op: journal.OpDone, ID: id, At: d.now}}); err != nil {
			return err
		}
		d.window = d.window[1:]
		d.lives[id].over = true
		d.s.LeaveWindow(partner)
	}
	return nil
}

// play is a life of a daemon: it spills, refills, ends and removes.
func (d *daemon) play() error {
	n := 0
	for step := range 30 {
		if step < 20 {
			var list []int
			for range 1 + step%4 {
				list = append(list, n)
				n++
			}
			if err := d.put(list...); err != nil {
				return err
			}
		}
		if step%3 == 0 {
			if err := d.deliver(2); err != nil {
				return err
			}
		}
		d.now += 1_500_000
		if err := d.settle(); err != nil {
			return err
		}
		d.s.ReclaimSegments()
		if err := d.settle(); err != nil {
			return err
		}
	}
	return nil
}

// check holds what a start has found against what is known: each message that was
// acknowledged and is not over is in one place, and what is over in none.
func (d *daemon) check(t *testing.T, what string) {
	t.Helper()
	behind := map[string]bool{}
	for id := range d.lives {
		if d.s.MayContain(id) {
			found := false
			d.s.Lookup(id, func(r *disk.Record, _ error) { behind[id], found = r != nil, true })
			for !found {
				if _, err := d.take(<-d.events); err != nil {
					t.Fatalf("%s: %v", what, err)
				}
			}
		}
	}
	for id, l := range d.lives {
		e := d.j.Entry(id)
		inWindow := e != nil && e.End == nil
		switch {
		case inWindow && behind[id]:
			t.Fatalf("%s: %s is in its window and behind it", what, id)
		case l.over && (e != nil || behind[id]):
			t.Fatalf("%s: %s is over and lives: %+v, behind %v", what, id, e, behind[id])
		case l.acked && !l.begun && !inWindow && !behind[id]:
			t.Fatalf("%s: %s is lost", what, id)
		case l.begun && !l.over && e == nil && !behind[id] && d.j.Ended(id) == nil:
			t.Fatalf("%s: %s was about to end and is lost", what, id)
		}
		if d.s.MayContain(id) != behind[id] {
			t.Fatalf("%s: %s is behind its window: %v, and found: %v", what, id, behind[id], d.s.MayContain(id))
		}
	}
}

// drain ends all that there is, and sees that the messages of a partner and tenant are in order.
func (d *daemon) drain(t *testing.T, what string) {
	t.Helper()
	for id, l := range d.lives { // what the dead process did not know
		e := d.j.Entry(id)
		l.over = l.over || d.j.Ended(id) != nil
		if e == nil && !l.over && !d.s.MayContain(id) {
			delete(d.lives, id)
		}
	}
	var order []string
	for range 1000 {
		if err := d.settle(); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if len(d.window) == 0 {
			break
		}
		order = append(order, d.window[0])
		if err := d.deliver(1); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
	}
	if d.s.Len() > 0 || d.j.Len() > 0 {
		t.Fatalf("%s: %d are left behind, %d in the journal", what, d.s.Len(), d.j.Len())
	}
	for id, l := range d.lives {
		if !l.over {
			t.Fatalf("%s: %s has no end", what, id)
		}
	}
	last := map[string]int{}
	for _, id := range order {
		i := 0
		fmt.Sscanf(id, "m%d", &i)
		m := messageOf(i)
		lane := m.Partner + m.Tenant
		if i < last[lane] {
			t.Fatalf("%s: %s comes after m%d", what, id, last[lane])
		}
		last[lane] = i
	}
	d.s.ReclaimSegments()
	if err := d.settle(); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}
