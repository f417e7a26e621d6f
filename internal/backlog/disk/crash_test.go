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

var smallOptions = Options{MaxBytes: 1 << 20, SegmentBytes: 1500}

// expectation has the messages that a workload has written, by id: whether they were
// acknowledged, and whether the removal of their segment was started and has returned.
type expectation struct {
	acked, removing, removed map[string]bool
	rejected                 map[string]bool // false if unknown, since a sync has failed
	seqs                     map[string]uint64
	queues                   *queueIDs
	unsealed                 map[uint64][]backlog.Entry // segments without an index block
	firsts                   []uint64                   // first sequence numbers of the segments
	ids                      map[uint64][]string        // of the messages of each segment
}

func newExpectation() *expectation {
	return &expectation{acked: map[string]bool{}, rejected: map[string]bool{}, removing: map[string]bool{},
		removed: map[string]bool{}, seqs: map[string]uint64{}, queues: newQueueIDs(),
		unsealed: map[uint64][]backlog.Entry{}, ids: map[uint64][]string{}}
}

func testRecord(i int) *Record {
	r := &Record{Message: message.Message{ID: fmt.Sprint("m", i), Order: fmt.Sprint("k", i%3),
		Class: fmt.Sprint("c", i%2), Tenant: "t", Partner: fmt.Sprint("p", i%4),
		Deadline: int64(1000 - i*37%500), Body: bytes.Repeat([]byte{byte(i)}, 40+i*53%200)},
		Accepted: int64(i), Terms: 1, Ordered: i%2 == 1}
	r.Digest = r.Message.Digest()
	return r
}

// queueIDs assigns IDs to queues.
type queueIDs struct {
	byName map[backlog.Queue]backlog.QueueID
	names  map[backlog.QueueID]backlog.Queue
}

func newQueueIDs() *queueIDs {
	return &queueIDs{byName: map[backlog.Queue]backlog.QueueID{}, names: map[backlog.QueueID]backlog.Queue{}}
}

func (x *queueIDs) id(name backlog.Queue) backlog.QueueID {
	id, ok := x.byName[name]
	if !ok {
		id = backlog.QueueID(len(x.byName))
		x.byName[name], x.names[id] = id, name
	}
	return id
}

// runWorkload appends batches, seals full segments and removes old ones.
func runWorkload(l *Log, expected *expectation, from, batches int) error {
	n := from
	for b := range batches {
		var list []*Record
		for range 1 + b%3 {
			list = append(list, testRecord(n))
			n++
		}
		first, starts := l.StartsSegment()
		entries, err := l.Append(list)
		if err != nil {
			for _, r := range list {
				expected.rejected[r.ID] = !l.Stats().Failed && !errors.Is(err, vfs.ErrCrashed)
			}
			return err
		}
		if starts {
			expected.firsts = append(expected.firsts, first)
		}
		active := expected.firsts[len(expected.firsts)-1]
		for i := range entries {
			entries[i].IDHash, entries[i].OrderHash, entries[i].Queue = HashID(list[i].ID), list[i].OrderHash(),
				expected.queues.id(list[i].Queue())
			expected.acked[list[i].ID], expected.seqs[list[i].ID] = true, entries[i].Seq
			expected.ids[active] = append(expected.ids[active], list[i].ID)
		}
		expected.unsealed[active] = append(expected.unsealed[active], entries...)
		if len(expected.firsts) > 1 && b%2 == 0 {
			if old := expected.firsts[len(expected.firsts)-2]; expected.unsealed[old] != nil {
				if _, _, err := l.Seal(old, expected.unsealed[old], expected.queues.names); err != nil {
					return err
				}
				delete(expected.unsealed, old)
			}
		}
		if len(expected.firsts) > 3 && b%3 == 0 && expected.unsealed[expected.firsts[0]] == nil {
			for _, id := range expected.ids[expected.firsts[0]] {
				expected.removing[id] = true
			}
			if err := l.Remove(expected.firsts[0]); err != nil {
				return err
			}
			for _, id := range expected.ids[expected.firsts[0]] {
				expected.removed[id] = true
			}
			expected.firsts = expected.firsts[1:]
		}
		if err := l.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// withErrorLog returns options whose logger writes errors to the returned buffer.
func withErrorLog(opts Options) (Options, *bytes.Buffer) {
	var b bytes.Buffer
	opts.Log = slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{Level: slog.LevelError}))
	return opts, &b
}

// checkRestored opens the log that is left, and compares it with what was acknowledged.
func checkRestored(t *testing.T, label string, m *vfs.Mem, opts Options, expected *expectation) {
	t.Helper()
	opts, errs := withErrorLog(opts)
	l, err := Open(m, 0, opts)
	if err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	defer l.Close()
	found := map[string]bool{}
	queues := newQueueIDs()
	var list []RestoredSegment
	if err := l.Restore(queues.id, func(s RestoredSegment) { list = append(list, s) }); err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	for _, s := range list {
		for _, run := range s.Runs {
			last := uint64(0)
			for from := uint32(0); from < run.N; {
				got, err := l.Read(backlog.RefillRead{Queue: run.Queue, Segment: s.First,
					From: run.From + from, N: run.N - from})
				if err != nil || len(got) == 0 {
					t.Fatalf("%s: %d read, %v", label, len(got), err)
				}
				for _, g := range got {
					i := 0
					if g.Err != nil {
						t.Fatalf("%s: %v", label, g.Err)
					}
					fmt.Sscanf(g.Record.ID, "m%d", &i)
					want := testRecord(i)
					want.Seq = g.Record.Seq
					if !sameRecord(g.Record, want) || g.Entry.Queue != queues.id(want.Queue()) ||
						g.Entry.Seq <= last || g.Entry.IDHash != HashID(want.ID) ||
						g.Entry.OrderHash != want.OrderHash() || g.Entry.Terms != 1 || found[want.ID] || run.Queue != g.Entry.Queue {
						t.Fatalf("%s: read %+v %+v", label, g.Entry, g.Record)
					}
					if n, ok := expected.seqs[want.ID]; ok && n != want.Seq {
						t.Fatalf("%s: %s has the sequence number %d, and had %d", label, want.ID, want.Seq, n)
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
			t.Fatalf("%s: %d expiring, %d after, %v", label, len(due), after, err)
		}
		if !slices.IsSortedFunc(due, func(a, b ReadResult) int { return int(a.Record.Deadline - b.Record.Deadline) }) {
			t.Fatalf("%s: expiring messages are out of order", label)
		}
	}
	for id := range expected.acked {
		if !found[id] && !expected.removing[id] {
			t.Fatalf("%s: %s is lost", label, id)
		}
	}
	for id := range found {
		if expected.removed[id] || expected.rejected[id] {
			t.Fatalf("%s: %s is restored (it was rejected: %v)", label, id, expected.rejected[id])
		}
	}
	if errs.Len() > 0 {
		t.Fatalf("%s: damage is logged where there is none: %s", label, errs)
	}
	// The log still takes messages, and assigns no sequence number twice.
	more := newExpectation()
	if err := runWorkload(l, more, 10_000, 3); err != nil {
		t.Fatalf("%s: afterwards: %v", label, err)
	}
	for id, n := range more.seqs {
		for old, was := range expected.seqs {
			if n == was && found[old] {
				t.Fatalf("%s: %s has the sequence number of %s", label, id, old)
			}
		}
	}
}

func sameRecord(a, b *Record) bool {
	return a.Seq == b.Seq && a.ID == b.ID && a.Order == b.Order && a.Class == b.Class && a.Tenant == b.Tenant &&
		a.Partner == b.Partner && a.Deadline == b.Deadline && bytes.Equal(a.Body, b.Body) && a.Accepted == b.Accepted &&
		a.Terms == b.Terms && a.Digest == b.Digest && a.Ordered == b.Ordered
}

// restore opens a log and restores its segments, like a process that ends after its start.
func restore(m *vfs.Mem, opts Options) error {
	l, err := Open(m, 0, opts)
	if err != nil {
		return err
	}
	defer l.Close()
	return l.Restore(newQueueIDs().id, func(RestoredSegment) {})
}

// A crash at any file system call, with each kind of data loss, loses no acknowledged message and restores none whose
// segment was removed. The same holds for a second crash at any call of the following start.
func TestCrashAtEveryCall(t *testing.T) {
	for _, sync := range []store.SyncPolicy{store.SyncAlways, store.SyncNever} {
		opts := smallOptions
		opts.Sync = sync
		const batches = 50
		whole := vfs.NewMem()
		l, err := Open(whole, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		if err := runWorkload(l, newExpectation(), 0, batches); err != nil {
			t.Fatal(err)
		}
		l.Close()
		losses := vfs.Losses()
		if sync == store.SyncNever {
			losses = []vfs.Loss{vfs.LoseNone} // without syncs only the loss of the process is covered
		}
		for n := 1; n <= whole.Calls(); n++ {
			for i, loss := range losses {
				if len(losses) > 1 && (n+i)%2 == 0 { // every other kind at this call, the rest at the next
					continue
				}
				m, expected := vfs.NewMem(), newExpectation()
				m.CrashAt(n)
				if l, err := Open(m, 0, opts); err == nil {
					if err := l.Restore(newQueueIDs().id, func(RestoredSegment) {}); err == nil {
						runWorkload(l, expected, 0, batches)
					}
				}
				label := fmt.Sprintf("sync %v, crash at call %d, loss %d", sync, n, loss)
				rng := rand.New(rand.NewPCG(uint64(n), uint64(loss)))
				left := m.Restart(loss, rng)
				if (n+int(loss))%13 == 0 {
					for again := 1; ; again++ {
						deep := left.Restart(vfs.LoseNone, rng)
						deep.CrashAt(again)
						if restore(deep, opts); !deep.Crashed() {
							break
						}
						checkRestored(t, fmt.Sprint(label, ", start at ", again), deep.Restart(loss, rng), opts, expected)
					}
					left = left.Restart(vfs.LoseNone, rng)
				}
				checkRestored(t, label, left, opts, expected)
			}
		}
	}
}

var errInjected = errors.New("injected")

// A file system call that fails, whichever it is, loses no acknowledged message. A rejected message is not restored,
// unless a sync has failed: then it is unknown which writes have reached the disk.
func TestFailAtEveryCall(t *testing.T) {
	opts := smallOptions
	opts.Sync = store.SyncAlways
	opts.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	whole := vfs.NewMem()
	l, _ := Open(whole, 0, opts)
	runWorkload(l, newExpectation(), 0, 30)
	calls := whole.Calls()
	l.Close()
	for n := 2; n <= calls; n++ {
		m, expected := vfs.NewMem(), newExpectation()
		m.FailAt(n, errInjected)
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		if err := runWorkload(l, expected, 0, 30); !errors.Is(err, errInjected) {
			t.Fatalf("call %d: %v", n, err)
		}
		before := len(expected.acked)
		err = runWorkload(l, expected, 500, 5) // later messages
		if failed := l.Stats().Failed; failed != errors.Is(err, ErrSyncFailed) ||
			!failed && (err != nil || len(expected.acked) <= before) {
			t.Fatalf("call %d: then %v", n, err)
		}
		l.Close()
		checkRestored(t, fmt.Sprint("call ", n, ", the machine crashes"), m.Restart(vfs.LoseUnsynced, nil), opts, expected)
	}
}

// A full disk rejects messages and keeps nothing of them; once there is room again, the log takes messages.
func TestDiskFull(t *testing.T) {
	opts := smallOptions
	opts.Sync = store.SyncAlways
	for room := int64(512); room < 12_000; room += 512 {
		m, expected := vfs.NewMem(), newExpectation()
		m.SetLimit(room)
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		err = runWorkload(l, expected, 0, 40)
		if room < 8192 && err == nil {
			t.Fatalf("room for %d: all messages are taken", room)
		}
		m.SetLimit(0)
		if err := runWorkload(l, expected, 500, 1+int(room/512)%2*5); err != nil {
			t.Fatalf("room for %d: with more room: %v", room, err)
		}
		l.Close()
		checkRestored(t, fmt.Sprint("room for ", room), m, opts, expected)
	}
}

// Messages whose write was rejected in part are not restored. The next message overwrites the first of them at the same
// size, so that the rest would follow it as valid records if it were not truncated.
func TestPartialWriteIsNotRestored(t *testing.T) {
	opts := smallOptions
	opts.SegmentBytes = 1 << 20
	for room := int64(512); room <= 2048; room += 512 {
		m := vfs.NewMem()
		l, _ := Open(m, 0, opts)
		var list []*Record
		for i := range 5 {
			r := testRecord(i)
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
		if err := l.Restore(newQueueIDs().id, func(s RestoredSegment) {
			if want := 2; err != nil && len(s.Entries) != want {
				t.Fatalf("room for %d: %d messages, want %d", room, len(s.Entries), want)
			}
		}); err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
}

// lastWrite returns the offset of the first record of a segment's last write.
func lastWrite(b []byte) (off int) {
	salt, _, _ := parseSegmentHeader(b, SegmentAlignment)
	list, _ := scanRecords(b, salt)
	for _, p := range list {
		if p.priorSynced {
			off = int(p.off)
		}
	}
	return off
}

// A flipped bit anywhere in a segment damages at most the message that it is in, and that message is still identified,
// with an index block even if its head is damaged.
func TestDamagedSegment(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		opts, _ := withErrorLog(smallOptions)
		opts.SegmentBytes, opts.Sync = 1<<20, store.SyncAlways
		m := vfs.NewMem()
		l, err := Open(m, 0, opts)
		if err != nil {
			t.Fatal(err)
		}
		expected := newExpectation()
		if err := runWorkload(l, expected, 0, 12); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if sealed {
			if err := restore(m, opts); err != nil {
				t.Fatal(err)
			}
		}
		data := fileName(SegmentAlignment, dataSuffix)
		last := lastWrite(m.Data(data)) // without an index block, damage to it looks like a write that a crash interrupted
		if sealed {
			last = len(m.Data(data))
		}
		for at := 0; at < last; at += 3 {
			m2 := m.Restart(vfs.LoseNone, nil)
			b := m2.Data(data)
			b[at] ^= 1 << (at % 8)
			m2.SetFile(data, b)
			opts, errs := withErrorLog(opts)
			l, err := Open(m2, 0, opts)
			if err != nil {
				t.Fatal(err)
			}
			whole, identified := map[string]bool{}, map[string]bool{}
			if err := l.Restore(newQueueIDs().id, func(s RestoredSegment) {
				got, err := l.Read(backlog.RefillRead{Segment: s.First, N: uint32(len(s.Entries))})
				if err != nil {
					t.Fatal(err)
				}
				for _, g := range got {
					switch {
					case g.Record == nil:
					case g.Err != nil && g.Record.Body == nil:
						identified[g.Record.ID] = true
					case g.Err == nil:
						i := 0
						fmt.Sscanf(g.Record.ID, "m%d", &i)
						want := testRecord(i)
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
			lost := len(expected.acked) - len(whole)
			if lost > 1 || lost > 0 && sealed && len(identified) != lost || lost > 0 && !sealed && errs.Len() == 0 {
				t.Fatalf("sealed %v, at %d: %d of %d are whole, %v identified; %s",
					sealed, at, len(whole), len(expected.acked), identified, errs)
			}
		}
	}
}

// An index block that is damaged anywhere is rebuilt, also that of a segment whose end was truncated after a crash.
func TestDamagedIndexIsRebuilt(t *testing.T) {
	opts := smallOptions
	opts.Sync = store.SyncAlways
	m, expected := vfs.NewMem(), newExpectation()
	l, _ := Open(m, 0, opts)
	if err := runWorkload(l, expected, 0, 20); err != nil {
		t.Fatal(err)
	}
	l.Close()
	torn := fileName(expected.firsts[len(expected.firsts)-1], dataSuffix)
	m.SetFile(torn, append(m.Data(torn), make([]byte, 99)...))
	l, _ = Open(m, 0, opts)
	if err := l.Restore(newQueueIDs().id, func(RestoredSegment) {}); err != nil {
		t.Fatal(err)
	}
	if err := runWorkload(l, expected, 700, 1); err != nil {
		t.Fatal(err)
	}
	l.Close()
	index := strings.TrimSuffix(torn, dataSuffix) + indexSuffix
	for at := 0; at < len(m.Data(index)); at += 7 {
		m2 := m.Restart(vfs.LoseNone, nil)
		b := m2.Data(index)
		b[at] ^= 1 << (at % 8)
		m2.SetFile(index, b)
		quiet, errs := withErrorLog(opts)
		if err := restore(m2, quiet); err != nil && !errors.Is(err, ErrNewer) {
			t.Fatalf("at %d: %v", at, err)
		} else if strings.Contains(errs.String(), dataSuffix) || err == nil && !strings.Contains(errs.String(), index) {
			t.Fatalf("at %d: %s", at, errs)
		}
		if !strings.Contains(errs.String(), ErrNewer.Error()) {
			checkRestored(t, fmt.Sprint("at ", at), m2, opts, expected)
		}
	}
}
