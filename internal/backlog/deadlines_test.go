package backlog

import (
	"math"
	"testing"
)

// An expiry read that fails is requested again each time, also if its segment was sealed while it was in flight.
// Otherwise its messages would never expire.
func TestExpiryReadIsRetriedAfterFailure(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		b := New(Options{Window: 1})
		b.EnterWindow("d")
		id := b.Queue(Queue{Destination: "d"})
		b.Open(16)
		for i := range uint64(5) {
			b.Add(Entry{Seq: 16 + i, IDHash: i, Queue: id, Deadline: int64(100 - i)})
		}
		first := b.ExpiryReads(0)
		if len(first) != 1 || len(first[0].Entries) != 5 || first[0].Entries[0].Seq != 20 {
			t.Fatalf("requested %+v", first)
		}
		_, entries := b.Close()
		_, byDeadline, runs := SortEntries(entries)
		if sealed {
			b.Seal(16, byDeadline, runs)
		}
		b.ExpiryReadFailed(first[0])
		again := b.ExpiryReads(0)
		if len(again) != 1 || !sealed && len(again[0].Entries) != 5 || sealed && (again[0].From != 0 || again[0].N != 5) {
			t.Fatalf("sealed %v: requested again %+v", sealed, again)
		}
		b.ExpiryReadFailed(again[0])
		if again = b.ExpiryReads(0); len(again) != 1 {
			t.Fatalf("sealed %v: after the second failure requested %+v", sealed, again)
		}
		b.ExpiryReadDone(again[0], itemsOf(entries), math.MaxInt64)
		for want := uint64(20); want >= 16; want-- {
			if e, ok := b.PopExpired(100); !ok || e.Seq != want {
				t.Fatalf("%+v expires, want %d", e, want)
			}
		}
	}
}
