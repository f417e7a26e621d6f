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

// prefixFS is a folder as a file name prefix within another one, so that several folders
// crash together.
type prefixFS struct {
	vfs.FS
	prefix string
}

func (r prefixFS) Open(name string, create bool) (vfs.File, error) {
	return r.FS.Open(r.prefix+name, create)
}
func (r prefixFS) Remove(name string) error            { return r.FS.Remove(r.prefix + name) }
func (r prefixFS) Rename(from, to string) error        { return r.FS.Rename(r.prefix+from, r.prefix+to) }
func (r prefixFS) Lock(name string) (io.Closer, error) { return r.FS.Lock(r.prefix + name) }
func (r prefixFS) List() ([]string, error) {
	list, err := r.FS.List()
	var out []string
	for _, n := range list {
		if rest, ok := strings.CutPrefix(n, r.prefix); ok {
			out = append(out, rest)
		}
	}
	return out, err
}

// expectation is the state of a message that a test expects.
type expectation struct {
	acked    bool // it was acknowledged
	endBegun bool // writing its end to the journal was started
	ended    bool // its end is in the journal
	seq      int  // its place in the order of acknowledgements
}

// testProcess is a process with a journal and a Spill, but without the delivery logic: it
// accepts messages, lets them enter their windows and ends them.
type testProcess struct {
	j        *journal.Journal
	s        *Spill
	events   chan any
	now      int64                   // simulated Unix time in microseconds
	messages map[string]*expectation // by id
	window   []string                // ids of the messages in windows, in order
	acks     int                     // number of acknowledged messages
}

var testOptions = Options{Window: 3, MaxBytes: 1 << 20, SegmentBytes: 1500, Log: slog.New(slog.DiscardHandler)}

const startTime = int64(1_000_000_000_000)

// journalOptions has the journal remember the ends of all messages.
var journalOptions = journal.Options{MaxBytes: 1 << 20, MaxEnded: 10_000, EndRetention: 1 << 62}

// start opens what an earlier process has left. known has the expected state of the
// messages.
func start(fs vfs.FS, sync store.SyncPolicy, now int64, known map[string]*expectation) (*testProcess, error) {
	opts := journalOptions
	opts.Sync, opts.Log = sync, slog.New(slog.DiscardHandler)
	j, err := journal.OpenOn(prefixFS{fs, "j-"}, opts)
	if err != nil {
		return nil, err
	}
	p := &testProcess{j: j, events: make(chan any, 100), now: now, messages: known}
	options := testOptions
	options.Sync = sync
	p.s, err = Open(prefixFS{fs, "b-"}, j, options, func(ev any, quit <-chan struct{}) {
		select {
		case p.events <- ev:
		case <-quit:
		}
	})
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	j.SetTermsInUse(p.s.Terms)
	for _, e := range j.Entries() {
		if e.End == nil {
			p.window = append(p.window, e.ID)
			p.s.EnterWindow(e.Partner)
		}
	}
	return p, nil
}

func (p *testProcess) close() {
	p.s.Close()
	p.j.Close()
}

// testMessage returns the message with a number.
func testMessage(i int) *message.Message {
	return &message.Message{ID: fmt.Sprint("m", i), Class: "c", Tenant: fmt.Sprint("t", i%2),
		Partner: fmt.Sprint("p", i%3/2), Deadline: startTime + int64(20+i*29%60)*1_000_000,
		Body: bytes.Repeat([]byte{byte(i)}, 100+i%50)}
}

// submit submits messages and commits them together.
func (p *testProcess) submit(list ...int) error {
	var records []journal.Record
	var ids []string
	for _, i := range list {
		m := testMessage(i)
		p.messages[m.ID] = &expectation{}
		switch p.s.Place(m, false) {
		case backlog.InWindow:
			p.s.EnterWindow(m.Partner)
			records = append(records, journal.Record{Op: journal.OpAccept,
				Entry: &journal.Entry{Message: *m, AcceptedAt: p.now}})
			p.window = append(p.window, m.ID)
		case backlog.InBacklog:
			p.s.Stage(&disk.Record{Message: *m, Accepted: p.now, Digest: m.Digest()})
		}
		ids = append(ids, m.ID)
	}
	if err := p.s.Commit(); err != nil {
		return err
	}
	if err := p.j.Append(records); err != nil {
		return err
	}
	for _, id := range ids {
		p.acks++
		p.messages[id].acked, p.messages[id].seq = true, p.acks
	}
	return nil
}

// settle handles events and expires messages until no more reads are requested.
func (p *testProcess) settle() error {
	rounds := 0
	for {
		if err := p.endExpired(); err != nil {
			return err
		}
		p.s.StartReads(p.now)
		done := make(chan struct{})
		p.s.worker.enqueue(barrier{done})
		var records []journal.Record
		for waiting := true; waiting || len(p.events) > 0; {
			select {
			case ev := <-p.events:
				more, err := p.handle(ev)
				if err != nil {
					return err
				}
				records = append(records, more...)
			case <-done:
				waiting, done = false, nil
			}
		}
		if rounds++; rounds > 10_000 {
			return errors.New("reads are still requested after 10000 rounds")
		}
		if len(records) == 0 && p.s.WakeTime() > p.now {
			return nil
		}
		if err := p.j.Append(records); err != nil {
			return err
		}
	}
}

// barrier is a job that closes a channel once the jobs before it are done.
type barrier struct{ done chan struct{} }

func (b barrier) do(*worker) any { close(b.done); return nil }

// handle handles an event. It returns the journal records that the event results in.
func (p *testProcess) handle(ev any) (records []journal.Record, err error) {
	switch ev := ev.(workerEvent).event.(type) {
	case refillReadEvent:
		err = ev.err
	case expiryReadEvent:
		err = ev.err
	}
	if err != nil {
		return nil, err
	}
	in, first, count, ok := p.s.HandleEvent(ev)
	if !ok {
		return nil, fmt.Errorf("HandleEvent does not handle %T", ev)
	}
	if count > 0 {
		records = append(records, journal.Record{Op: journal.OpBacklogReclaimed, BacklogSeq: first, Count: count})
	}
	for _, x := range in {
		if x.Err != nil {
			return nil, x.Err
		}
		if x.Body == nil || x.Digest != x.Record.Message.Digest() {
			return nil, fmt.Errorf("%s is refilled with another body", x.ID)
		}
		records = append(records, journal.Record{Op: journal.OpAccept,
			Entry: &journal.Entry{Message: x.Message, AcceptedAt: x.Accepted, BacklogSeq: x.Seq}})
		p.window = append(p.window, x.ID)
	}
	return records, nil
}

// endExpired ends the spilled messages that have expired.
func (p *testProcess) endExpired() error {
	var records []journal.Record
	var ids []string
	for {
		r, seq, ok := p.s.PopExpired(p.now)
		if !ok {
			break
		}
		if want := p.messages[r.ID]; want == nil || want.ended || r.Deadline > p.now {
			return fmt.Errorf("%s expires: %+v, %d µs before its deadline", r.ID, want, r.Deadline-p.now)
		}
		p.messages[r.ID].endBegun = true
		records = append(records, journal.Record{Op: journal.OpAccept,
			Entry: &journal.Entry{Message: r.Message, BacklogSeq: seq, StoredBodySize: 1, StoredDigest: r.Digest}},
			journal.Record{Op: journal.OpEnd, ID: r.ID, End: &message.End{ID: r.ID, State: message.Returned, At: p.now}},
			journal.Record{Op: journal.OpNotified, ID: r.ID, At: p.now})
		ids = append(ids, r.ID)
	}
	if err := p.j.Append(records); err != nil {
		return err
	}
	for _, id := range ids {
		p.messages[id].ended = true
	}
	return nil
}

// deliver delivers the first n messages of the windows.
func (p *testProcess) deliver(n int) error {
	for range min(n, len(p.window)) {
		id := p.window[0]
		if want := p.messages[id]; want.ended {
			return fmt.Errorf("%s is delivered twice", id)
		}
		p.messages[id].endBegun = true
		partner := p.j.Entry(id).Partner
		if err := p.j.Append([]journal.Record{{Op: journal.OpSend, ID: id, At: p.now}}); err != nil {
			return err
		}
		if err := p.j.Append([]journal.Record{{Op: journal.OpDone, ID: id, At: p.now}}); err != nil {
			return err
		}
		p.window = p.window[1:]
		p.messages[id].ended = true
		p.s.LeaveWindow(partner)
	}
	return nil
}

// runWorkload submits, spills, refills, expires and delivers messages, and reclaims
// segments.
func (p *testProcess) runWorkload() error {
	n := 0
	for step := range 30 {
		if step < 20 {
			var list []int
			for range 1 + step%4 {
				list = append(list, n)
				n++
			}
			if err := p.submit(list...); err != nil {
				return err
			}
		}
		if step%3 == 0 {
			if err := p.deliver(2); err != nil {
				return err
			}
		}
		p.now += 1_500_000
		if err := p.settle(); err != nil {
			return err
		}
		p.s.ReclaimSegments()
		if err := p.settle(); err != nil {
			return err
		}
	}
	return nil
}

// check compares what a start has restored with what is expected: each acknowledged
// message that has not ended is either in its window or spilled, and an ended one neither.
func (p *testProcess) check(t *testing.T, label string) {
	t.Helper()
	spilled := map[string]bool{}
	for id := range p.messages {
		if p.s.MayContain(id) {
			found := false
			p.s.Lookup(id, func(r *disk.Record, _ error) { spilled[id], found = r != nil, true })
			for !found {
				if _, err := p.handle(<-p.events); err != nil {
					t.Fatalf("%s: %v", label, err)
				}
			}
		}
	}
	for id, want := range p.messages {
		e := p.j.Entry(id)
		inWindow := e != nil && e.End == nil
		switch {
		case inWindow && spilled[id]:
			t.Fatalf("%s: %s is in its window and spilled", label, id)
		case want.ended && (e != nil || spilled[id]):
			t.Fatalf("%s: %s has ended and is pending: %+v, spilled %v", label, id, e, spilled[id])
		case want.acked && !want.endBegun && !inWindow && !spilled[id]:
			t.Fatalf("%s: %s is lost", label, id)
		case want.endBegun && !want.ended && e == nil && !spilled[id] && p.j.Ended(id) == nil:
			t.Fatalf("%s: %s was being ended and is lost", label, id)
		}
		if p.s.MayContain(id) != spilled[id] {
			t.Fatalf("%s: %s is spilled: %v, and found: %v", label, id, spilled[id], p.s.MayContain(id))
		}
	}
}

// drain ends all messages, and checks that those of a partner and tenant are in order.
func (p *testProcess) drain(t *testing.T, label string) {
	t.Helper()
	for id, want := range p.messages { // what the crashed process could not record
		e := p.j.Entry(id)
		want.ended = want.ended || p.j.Ended(id) != nil
		if e == nil && !want.ended && !p.s.MayContain(id) {
			delete(p.messages, id)
		}
	}
	var order []string
	for range 1000 {
		if err := p.settle(); err != nil {
			t.Fatalf("%s: %v", label, err)
		}
		if len(p.window) == 0 {
			break
		}
		order = append(order, p.window[0])
		if err := p.deliver(1); err != nil {
			t.Fatalf("%s: %v", label, err)
		}
	}
	if p.s.Len() > 0 || p.j.Len() > 0 {
		t.Fatalf("%s: %d are still spilled, %d in the journal", label, p.s.Len(), p.j.Len())
	}
	for id, want := range p.messages {
		if !want.ended {
			t.Fatalf("%s: %s has not ended", label, id)
		}
	}
	last := map[string]int{}
	for _, id := range order {
		i := 0
		fmt.Sscanf(id, "m%d", &i)
		m := testMessage(i)
		queue := m.Partner + m.Tenant
		if i < last[queue] {
			t.Fatalf("%s: %s is delivered after m%d", label, id, last[queue])
		}
		last[queue] = i
	}
	p.s.ReclaimSegments()
	if err := p.settle(); err != nil {
		t.Fatalf("%s: %v", label, err)
	}
}
