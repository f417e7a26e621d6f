package backlog

import (
	"fmt"
	"slices"
	"testing"
)

// Refill reads take turns among the destinations, and among the queues of each, when MaxInFlight allows fewer reads
// than the destinations have room for. Otherwise a long queue would starve the others.
func TestRefillReadsTakeTurns(t *testing.T) {
	b := New(Options{Window: 1000, Batch: 3, MaxInFlight: 3})
	b.Open(16)
	seq := uint64(16)
	for i := range 120 { // most are in the first queue of the first destination
		name := Queue{Destination: "d0", Tenant: "t0"}
		if i >= 80 {
			name = Queue{Destination: fmt.Sprint("d", i%2), Tenant: fmt.Sprint("t", i/2%2)}
		}
		b.Add(Entry{Seq: seq, IDHash: seq << 40, Queue: b.Queue(name), Deadline: 1 << 50})
		seq++
	}
	var order []Queue
	for {
		reads := b.RefillReads()
		if len(reads) == 0 {
			break
		}
		if len(reads) != 1 {
			t.Fatalf("%d reads at once", len(reads))
		}
		order = append(order, b.Name(reads[0].Queue))
		b.RefillDone(reads[0], reads[0].Entries)
	}
	if b.Len() != 0 {
		t.Fatalf("%d are still spilled", b.Len())
	}
	for i, want := range []Queue{{"d0", "t0", ""}, {"d1", "t0", ""}, {"d0", "t1", ""}, {"d1", "t1", ""},
		{"d0", "t0", ""}, {"d1", "t0", ""}} {
		if order[i] != want {
			t.Fatalf("read %d is of %v, want %v: %v", i, order[i], want, slices.Clip(order[:6]))
		}
	}
}
