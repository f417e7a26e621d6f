package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// progress counts the records of a message that the journal has acknowledged, and those passed to
// Append.
type progress struct{ acked, begun int }

// recordsOf returns the records of message i; each is appended by its own call.
func recordsOf(i int) []Record {
	id := fmt.Sprint("m", i)
	list := []Record{accept(id, 200+i*37%900), {Op: OpSend, ID: id, At: 100},
		{Op: OpOutcome, ID: id, MayHaveRun: i%2 == 0}, {Op: OpSend, ID: id, At: 200}}
	at := time.Now().UnixMicro()
	if i%3 == 0 {
		return append(list, Record{Op: OpEnd, ID: id, End: &message.End{ID: id, State: message.Failed, At: at}},
			Record{Op: OpNotified, ID: id, At: at})
	}
	return append(list, Record{Op: OpDone, ID: id, At: at})
}

// appendRecords appends the records of many messages in so many calls, several messages in each.
func appendRecords(j *Journal, messages []progress, calls int) error {
	for n := 0; n < calls; n++ {
		var recs []Record
		var of []int
		for i := range messages {
			// Some messages stay pending for long, so that their segments are compacted.
			if i > n/2 || messages[i].acked == len(recordsOf(i)) || i%5 == 4 && messages[i].acked > 1 && n < calls*3/4 || (n+i)%3 == 0 {
				continue
			}
			recs = append(recs, recordsOf(i)[messages[i].acked])
			of = append(of, i)
			messages[i].begun = messages[i].acked + 1
		}
		if err := j.Append(recs); err != nil {
			return err
		}
		for _, i := range of {
			messages[i].acked = messages[i].begun
		}
	}
	return nil
}

// checkRecovered compares the recovered messages with the acknowledged records.
func checkRecovered(t *testing.T, what string, j *Journal, messages []progress) {
	t.Helper()
	for i, l := range messages {
		id := fmt.Sprint("m", i)
		e, x := j.Entry(id), j.Ended(id)
		all := len(recordsOf(i))
		switch {
		case e != nil && x != nil:
			t.Fatalf("%s: %s is both pending and ended", what, id)
		case l.acked == all && (e != nil || x == nil):
			t.Fatalf("%s: %s had ended and is pending: %+v", what, id, e)
		case l.acked > 0 && l.acked < all && e == nil && x == nil:
			t.Fatalf("%s: %s is lost after %d of %d records", what, id, l.acked, all)
		case l.begun == 0 && (e != nil || x != nil):
			t.Fatalf("%s: %s was never appended", what, id)
		case e == nil:
			continue
		}
		// The number of recovered records lies between those acknowledged and those begun.
		at := 1 + 2*e.Attempts - 1
		switch {
		case e.Attempts == 0:
			at = 1
		case e.End != nil:
			at = 5
		case !e.InFlight:
			at++
		}
		if at < l.acked || at > l.begun || e.End == nil && len(e.Body) != 200+i*37%900 ||
			e.MayHaveRun != (at > 2 && i%2 == 0) {
			t.Fatalf("%s: %s is at record %d, not from %d to %d: %+v", what, id, at, l.acked, l.begun, e)
		}
	}
}

// The process dies at each call of the file system in turn. No acknowledged record may be lost, at most the last one
// appended may be there in addition, and the next process must be able to continue from there.
func TestCrashAtEveryCall(t *testing.T) {
	const rounds = 90
	opts := Options{MaxBytes: 900_000, MaxEnded: 1000, EndRetention: time.Hour, Sync: store.SyncAlways}
	whole := vfs.NewMem()
	j := openJournal(t, whole, opts)
	if err := appendRecords(j, make([]progress, 40), rounds); err != nil {
		t.Fatal(err)
	}
	calls := whole.Calls()
	j.Close()
	for n := 1; n <= calls; n++ {
		m := vfs.NewMem()
		m.CrashAt(n)
		messages := make([]progress, 40)
		if j, err := OpenOn(m, opts); err == nil {
			appendRecords(j, messages, rounds)
			j.store.Close()
		}
		loss := vfs.Loss(n % len(vfs.Losses()))
		left := m.Restart(loss, rand.New(rand.NewPCG(uint64(n), 1)))
		what := fmt.Sprintf("crash at %d, loss %d", n, loss)
		j, err := OpenOn(left, opts)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		checkRecovered(t, what, j, messages)
		if n%10 == 0 { // continue from the recovered state
			for i := range messages {
				messages[i].acked = 0
				if e := j.Entry(fmt.Sprint("m", i)); e != nil || j.Ended(fmt.Sprint("m", i)) != nil {
					messages[i].acked = len(recordsOf(i))
				}
				messages[i].begun = messages[i].acked
			}
			before := j.Len()
			if err := appendRecords(j, messages, rounds); err != nil {
				t.Fatalf("%s: continue: %v", what, err)
			}
			if j = reopen(t, j, left); j.Len() < before {
				t.Fatalf("%s: %d of %d messages are left", what, j.Len(), before)
			}
		}
		j.Close()
	}
}

// A failed write must undo acceptances and sends, also for the next process, but keep records of past events: a message
// whose delivery is forgotten would be sent again.
func TestWriteFails(t *testing.T) {
	fs := vfs.NewMem()
	opts := testOptions
	opts.Sync = store.SyncNever
	j := openJournal(t, fs, opts)
	mustAppend(t, j, accept("a", 10), accept("b", 10))
	fs.SetLimit(512)
	err := j.Append([]Record{{Op: OpDone, ID: "a"}, accept("c", 2000), {Op: OpSend, ID: "b", At: 1}})
	if err == nil {
		t.Fatal("no error")
	}
	if j.Entry("c") != nil || j.Entry("b").Attempts != 0 || j.Entry("a") != nil {
		t.Errorf("after the failed write: a %v, b %+v, c %v", j.Entry("a"), j.Entry("b"), j.Entry("c"))
	}
	fs.SetLimit(0)
	mustAppend(t, j, accept("d", 10))
	j = reopen(t, j, fs)
	if j.Entry("a") != nil || j.Entry("b") == nil || j.Entry("b").Attempts != 0 ||
		j.Entry("c") != nil || j.Entry("d") == nil {
		t.Errorf("after the restart: %v", j.entries)
	}
	j.Close()
}

// A damaged record may have held the state of any message. Messages without an attempt in flight must then count as
// possibly run, or they might run twice.
func TestDamagedRecordMayHaveRun(t *testing.T) {
	fs := vfs.NewMem()
	j := openJournal(t, fs, testOptions)
	mustAppend(t, j, accept("a", 100))
	mustAppend(t, j, Record{Op: OpSend, ID: "a", At: 5})
	at := len(fs.Data("00000001.seg")) - 3
	mustAppend(t, j, accept("b", 100))
	j.Close()
	b := fs.Data("00000001.seg")
	b[at] ^= 1
	fs.SetFile("00000001.seg", b)
	j = openJournal(t, fs, testOptions)
	for _, id := range []string{"a", "b"} {
		if e := j.Entry(id); e == nil || !e.MayHaveRun || e.MayHaveRunSince != e.AcceptedAt {
			t.Errorf("%s: %+v", id, e)
		}
	}
	j.Close()
}
