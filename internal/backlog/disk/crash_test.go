package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cometrack/internal/backlog"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

var small = Options{MaxBytes: 1 << 20, SegmentBytes: 1500}

// held is what a test knows of the messages: by id, whether they were acknowledged, and
// which are in a segment whose removal was begun, and has returned.
type held struct {
	acked, removing, removed map[string]bool
	refused                  map[string]bool // for good: not in doubt after a sync that failed
	seqs                     map[string]uint64
	lanes                    *lanes
	open                     map[uint64][]backlog.Entry // segments without an index block
	firsts                   []uint64
	ids                      map[uint64][]string
}

func newHeld() *held {
	return &held{acked: map[string]bool{}, refused: map[string]bool{}, removing: map[string]bool{}, removed: map[string]bool{}, seqs: map[string]uint64{},
		lanes: newLanes(), open: map[uint64][]backlog.Entry{}, ids: map[uint64][]string{}}
}

func record(i int) *Record {
	r := &Record{Message: message.Message{ID: fmt.Sprint("m", i), Order: fmt.Sprint("k", i%3), Class: fmt.Sprint("c", i%2), Tenant: "t",
		Partner: fmt.Sprint("p", i%4), Deadline: int64(1000 - i*37%500), Body: bytes.Repeat([]byte{byte(i)}, 40+i*53%200)},
		Accepted: int64(i), Terms: 1, Ordered: i%2 == 1}
	r.Digest = r.Message.Digest()
	return r
}

// lanes gives lanes their numbers.
type lanes struct {
	by    map[backlog.Queue]backlog.QueueID
	names map[backlog.QueueID]backlog.Queue
}

func newLanes() *lanes {
	return &lanes{by: map[backlog.Queue]backlog.QueueID{}, names: map[backlog.QueueID]backlog.Queue{}}
}

func (x *lanes) id(l backlog.Queue) backlog.QueueID {
	id, ok := x.by[l]
	if !ok {
		id = backlog.QueueID(len(x.by))
		x.by[l], x.names[id] = id, l
	}
	return id
}

// play appends batches, seals what is full and removes what is old.
func play(l *Log, h *held, from, batches int) error {
	n := from
	for b := range batches {
		var list []*Record
		for range 1 + b%3 {
			list = append(list, record(n))
			n++
		}
		first, begins := l.StartsSegment()
		entries, err := l.Append(list)
		if err != nil {
			for _, r := range list {
				h.refused[r.ID] = !l.Stats().Failed && !errors.Is(err, vfs.ErrCrashed)
			}
			return err
		}
		if begins {
			h.firsts = append(h.firsts, first)
		}
		now := h.firsts[len(h.firsts)-1]
		for i := range entries {
			entries[i].IDHash, entries[i].OrderHash, entries[i].Queue = HashID(list[i].ID), list[i].OrderHash(), h.lanes.id(list[i].Queue())
			h.acked[list[i].ID], h.seqs[list[i].ID] = true, entries[i].Seq
			h.ids[now] = append(h.ids[now], list[i].ID)
		}
		h.open[now] = append(h.open[now], entries...)
		if len(h.firsts) > 1 && b%2 == 0 {
			if old := h.firsts[len(h.firsts)-2]; h.open[old] != nil {
				if _, _, err := l.Seal(old, h.open[old], h.lanes.names); err != nil {
					return err
				}
				delete(h.open, old)
			}
		}
		if len(h.firsts) > 3 && b%3 == 0 && h.open[h.firsts[0]] == nil {
			for _, id := range h.ids[h.firsts[0]] {
				h.removing[id] = true
			}
			if err := l.Remove(h.firsts[0]); err != nil {
				return err
			}
			for _, id := range h.ids[h.firsts[0]] {
				h.removed[id] = true
			}
			h.firsts = h.firsts[1:]
		}
		if err := l.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// logged collects what is logged.
func logged(opts Options) (Options, *bytes.Buffer) {
	var b bytes.Buffer
	opts.Log = slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{Level: slog.LevelError}))
	return opts, &b
}

// check opens what is left and holds it against what was acknowledged.
func check(t *testing.T, what string, m *vfs.Mem, opts Options, h *held) {
	t.Helper()
	opts, errs := logged(opts)
	l, err := Open(m, 0, opts)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer l.Close()
	found := map[string]bool{}
	ln := newLanes()
	var list []RestoredSegment
	if err := l.Restore(ln.id, func(s RestoredSegment) { list = append(list, s) }); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	for _, s := range list {
		for _, run := range s.Runs {
			last := uint64(0)
			for from := uint32(0); from < run.N; {
				got, err := l.Read(backlog.RefillRead{Queue: run.Queue, Segment: s.First, From: run.From + from, N: run.N - from})
				if err != nil || len(got) == 0 {
					t.Fatalf("%s: %d read, %v", what, len(got), err)
				}
				for _, g := range got {
					i := 0
					if g.Err != nil {
						t.Fatalf("%s: %v", what, g.Err)
					}
					fmt.Sscanf(g.Record.ID, "m%d", &i)
					want := record(i)
					want.Seq = g.Record.Seq
					if !sameRecord(g.Record, want) || g.Entry.Queue != ln.id(want.Queue()) || g.Entry.Seq <= last || g.Entry.IDHash != HashID(want.ID) ||
						g.Entry.OrderHash != want.OrderHash() || g.Entry.Terms != 1 || found[want.ID] || run.Queue != g.Entry.Queue {
						t.Fatalf("%s: read %+v %+v", what, g.Entry, g.Record)
					}
					if n, ok := h.seqs[want.ID]; ok && n != want.Seq {
						t.Fatalf("%s: %s has the number %d, and had %d", what, want.ID, want.Seq, n)
					}
					found[want.ID], last = true, g.Entry.Seq
				}
				from += uint32(len(got))
			}
		}
		if len(s.Entries) == 0 {
			continue
		}
		due, after, err := l.ReadExpiring(backlog.ExpiryRead{Segment: s.First, N: uint32(len(s.Entries)) - 1})
		if err != nil || len(due) != len(s.Entries)-1 || after != s.Entries[s.ByDeadline[len(due)]].Deadline {
			t.Fatalf("%s: %d ends, %d after, %v", what, len(due), after, err)
		}
		if !slices.IsSortedFunc(due, func(a, b ReadResult) int { return int(a.Record.Deadline - b.Record.Deadline) }) {
			t.Fatalf("%s: ends out of order", what)
		}
	}
	for id := range h.acked {
		if !found[id] && !h.removing[id] {
			t.Fatalf("%s: %s is lost", what, id)
		}
	}
	for id := range found {
		if h.removed[id] || h.refused[id] {
			t.Fatalf("%s: %s has come back (it was refused: %v)", what, id, h.refused[id])
		}
	}
	if errs.Len() > 0 {
		t.Fatalf("%s: damage is seen where there is none: %s", what, errs)
	}
	// It works on, and numbers are not given twice.
	more := newHeld()
	if err := play(l, more, 10_000, 3); err != nil {
		t.Fatalf("%s: afterwards: %v", what, err)
	}
	for id, n := range more.seqs {
		for old, was := range h.seqs {
			if n == was && found[old] {
				t.Fatalf("%s: %s has the number of %s", what, id, old)
			}
		}
	}
}

func sameRecord(a, b *Record) bool {
	return a.Seq == b.Seq && a.ID == b.ID && a.Order == b.Order && a.Class == b.Class && a.Tenant == b.Tenant && a.Partner == b.Partner && a.Deadline == b.Deadline &&
		bytes.Equal(a.Body, b.Body) && a.Accepted == b.Accepted && a.Terms == b.Terms && a.Digest == b.Digest && a.Ordered == b.Ordered
}

// restore opens a log and reads what was left, as a process does that only comes up.
func restore(m *vfs.Mem, opts Options) error {
	l, err := Open(m, 0, opts)
	if err != nil {
		return err
	}
	defer l.Close()
	return l.Restore(newLanes().id, func(RestoredSegment) {})
}

// A crash at any call, under each kind of loss, loses nothing that was acknowledged and brings nothing back whose
// segment was removed; nor does one at any call of the start after it.
func TestCrashAtEveryCall(t *testing.T) {
	for _, sync := range []store.SyncPolicy{store.SyncAlways, store.SyncNever} {
		opts := small
		opts.Sync = sync
		const batches = 50
		whole := vfs.NewMem()
		l, err := Open(whole, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		if err := play(l, newHeld(), 0, batches); err != nil {
			t.Fatal(err)
		}
		l.Close()
		losses := vfs.Losses()
		if sync == store.SyncNever {
			losses = []vfs.Loss{vfs.LoseNone} // it promises to outlive the process only
		}
		for n := 1; n <= whole.Calls(); n++ {
			for i, loss := range losses {
				if len(losses) > 1 && (n+i)%2 == 0 { // two kinds at each call, the others at the next
					continue
				}
				m, h := vfs.NewMem(), newHeld()
				m.CrashAt(n)
				if l, err := Open(m, 0, opts); err == nil {
					if err := l.Restore(newLanes().id, func(RestoredSegment) {}); err == nil {
						play(l, h, 0, batches)
					}
				}
				what := fmt.Sprintf("sync %v, crash at call %d, loss %d", sync, n, loss)
				rng := rand.New(rand.NewPCG(uint64(n), uint64(loss)))
				left := m.Restart(loss, rng)
				if (n+int(loss))%13 == 0 {
					for again := 1; ; again++ {
						deep := left.Restart(vfs.LoseNone, rng)
						deep.CrashAt(again)
						if restore(deep, opts); !deep.Crashed() {
							break
						}
						check(t, fmt.Sprint(what, ", start at ", again), deep.Restart(loss, rng), opts, h)
					}
					left = left.Restart(vfs.LoseNone, rng)
				}
				check(t, what, left, opts, h)
			}
		}
	}
}

var errInjected = errors.New("injected")

// A call that fails, whichever it is, loses nothing that was acknowledged, and what was refused is not there unless a
// sync has failed.
func TestFailAtEveryCall(t *testing.T) {
	opts := small
	opts.Sync = store.SyncAlways
	opts.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	whole := vfs.NewMem()
	l, _ := Open(whole, 0, opts)
	play(l, newHeld(), 0, 30)
	calls := whole.Calls()
	l.Close()
	for n := 2; n <= calls; n++ {
		m, h := vfs.NewMem(), newHeld()
		m.FailAt(n, errInjected)
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		if err := play(l, h, 0, 30); !errors.Is(err, errInjected) {
			t.Fatalf("call %d: %v", n, err)
		}
		before := len(h.acked)
		err = play(l, h, 500, 5) // on it goes
		if failed := l.Stats().Failed; failed != errors.Is(err, ErrSyncFailed) || !failed && (err != nil || len(h.acked) <= before) {
			t.Fatalf("call %d: then %v", n, err)
		}
		l.Close()
		check(t, fmt.Sprint("call ", n, ", the machine dies"), m.Restart(vfs.LoseUnsynced, nil), opts, h)
	}
}

// A full disk refuses and leaves nothing; with room again it goes on.
func TestDiskFull(t *testing.T) {
	opts := small
	opts.Sync = store.SyncAlways
	for room := int64(512); room < 12_000; room += 512 {
		m, h := vfs.NewMem(), newHeld()
		m.SetLimit(room)
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		err = play(l, h, 0, 40)
		if room < 8192 && err == nil {
			t.Fatalf("room for %d: all is taken", room)
		}
		m.SetLimit(0)
		if err := play(l, h, 500, 1+int(room/512)%2*5); err != nil {
			t.Fatalf("room for %d: with room again: %v", room, err)
		}
		l.Close()
		check(t, fmt.Sprint("room for ", room), m, opts, h)
	}
}

// What a write that was refused has left in part does not come back behind a message of the size of its first.
func TestRefusedInPart(t *testing.T) {
	opts := small
	opts.SegmentBytes = 1 << 20
	for room := int64(512); room <= 2048; room += 512 {
		m := vfs.NewMem()
		l, _ := Open(m, 0, opts)
		var list []*Record
		for i := range 5 {
			r := record(i)
			r.Partner, r.Class, r.Order, r.Ordered, r.Accepted, r.Deadline, r.Body = "p", "c", "", false, 1, 1, make([]byte, 200)
			r.Digest = 1
			list = append(list, r)
		}
		if _, err := l.Append(list[:1]); err != nil {
			t.Fatal(err)
		}
		m.SetLimit(room)
		_, err := l.Append(list[1:4])
		m.SetLimit(0)
		if _, again := l.Append(list[4:]); again != nil {
			t.Fatal(again)
		}
		l.Close()
		l, _ = Open(m, 0, opts)
		if err := l.Restore(newLanes().id, func(s RestoredSegment) {
			if want := 2; err != nil && len(s.Entries) != want {
				t.Fatalf("room for %d: %d messages, want %d", room, len(s.Entries), want)
			}
		}); err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
}

// lastWrite is where the last write of a segment begins.
func lastWrite(b []byte) (off int) {
	salt, _, _ := parseHeader(b, SegmentAlignment)
	list, _ := walk(b, salt)
	for _, p := range list {
		if p.start {
			off = int(p.off)
		}
	}
	return off
}

// A bit that flips anywhere costs no more than the message that it is in, and that one is named. In a segment that
// has its index block it is named by that if even its head is damaged.
func TestDamage(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		opts, _ := logged(small)
		opts.SegmentBytes, opts.Sync = 1<<20, store.SyncAlways
		m := vfs.NewMem()
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		h := newHeld()
		if err := play(l, h, 0, 12); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if sealed {
			if err := restore(m, opts); err != nil {
				t.Fatal(err)
			}
		}
		data := name(SegmentAlignment, dataSuffix)
		last := lastWrite(m.Data(data)) // it can't be told from one that a crash cut short, until there is an index block
		if sealed {
			last = len(m.Data(data))
		}
		for at := 0; at < last; at += 3 {
			m2 := m.Restart(vfs.LoseNone, nil)
			b := m2.Data(data)
			b[at] ^= 1 << (at % 8)
			m2.SetFile(data, b)
			opts, errs := logged(opts)
			l, err := Open(m2, 0, opts)
			if err != nil {
				t.Fatal(err)
			}
			whole, named := map[string]bool{}, map[string]bool{}
			if err := l.Restore(newLanes().id, func(s RestoredSegment) {
				got, err := l.Read(backlog.RefillRead{Segment: s.First, N: uint32(len(s.Entries))})
				if err != nil {
					t.Fatal(err)
				}
				for _, g := range got {
					switch {
					case g.Record == nil:
					case g.Err != nil && g.Record.Body == nil:
						named[g.Record.ID] = true
					case g.Err == nil:
						i := 0
						fmt.Sscanf(g.Record.ID, "m%d", &i)
						want := record(i)
						if want.Seq = g.Entry.Seq; !sameRecord(g.Record, want) {
							t.Fatalf("at %d: read %+v", at, g.Record)
						}
						whole[g.Record.ID] = true
					}
				}
			}); err != nil {
				t.Fatal(err)
			}
			l.Close()
			lost := len(h.acked) - len(whole)
			if lost > 1 || lost > 0 && sealed && len(named) != lost || lost > 0 && !sealed && errs.Len() == 0 {
				t.Fatalf("sealed %v, at %d: %d of %d are whole, %v named; %s", sealed, at, len(whole), len(h.acked), named, errs)
			}
		}
	}
}

// An index block that is damaged anywhere is made again, also that of a segment whose end a crash has torn.
func TestDamagedIndexIsMadeAgain(t *testing.T) {
	opts := small
	opts.Sync = store.SyncAlways
	m, h := vfs.NewMem(), newHeld()
	l, _ := Open(m, 0, opts)
	if err := play(l, h, 0, 20); err != nil {
		t.Fatal(err)
	}
	l.Close()
	torn := name(h.firsts[len(h.firsts)-1], dataSuffix)
	m.SetFile(torn, append(m.Data(torn), make([]byte, 99)...))
	l, _ = Open(m, 0, opts)
	if err := l.Restore(newLanes().id, func(RestoredSegment) {}); err != nil {
		t.Fatal(err)
	}
	if err := play(l, h, 700, 1); err != nil {
		t.Fatal(err)
	}
	l.Close()
	index := strings.TrimSuffix(torn, dataSuffix) + indexSuffix
	for at := 0; at < len(m.Data(index)); at += 7 {
		m2 := m.Restart(vfs.LoseNone, nil)
		b := m2.Data(index)
		b[at] ^= 1 << (at % 8)
		m2.SetFile(index, b)
		quiet, errs := logged(opts)
		if err := restore(m2, quiet); err != nil && !errors.Is(err, ErrNewer) {
			t.Fatalf("at %d: %v", at, err)
		} else if strings.Contains(errs.String(), dataSuffix) || err == nil && !strings.Contains(errs.String(), index) {
			t.Fatalf("at %d: %s", at, errs)
		}
		if !strings.Contains(errs.String(), ErrNewer.Error()) {
			check(t, fmt.Sprint("at ", at), m2, opts, h)
		}
	}
}
