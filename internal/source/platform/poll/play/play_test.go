package play

import (
	"testing"
	"time"
)

// A retry budget: many senders do not hold a discovery down that is crowded, and at its return no second gets more calls
// than one a sender and one more for its watch. Failures call by call leave few changes late.
func TestFleetsAtADiscoveryInTrouble(t *testing.T) {
	for _, x := range []struct {
		name    string
		senders int
		Fault
		lasts time.Duration
		each  float64 // calls for each sender and second of the trouble, at most
		late  float64 // part of the changes that are in hand later than 6 s, at most
	}{
		{"few, down", 5, Fault{Down: true}, 30 * time.Second, 4, 0},
		{"few, every second call fails", 5, Fault{FailureRatio: 0.5}, 30 * time.Second, 4, 0.001},
		{"many, down", 300, Fault{Down: true}, 60 * time.Second, 0.5, 0},
		{"many, every second call fails", 300, Fault{FailureRatio: 0.5}, 30 * time.Second, 0.6, 0.02},
		{"many, a third of the calls fails", 300, Fault{FailureRatio: 0.35}, 30 * time.Second, 0.6, 0.005},
		{"many, in turn", 300, Fault{ServiceTime: 15 * time.Millisecond}, 30 * time.Second, 0.4, 0},
		{"very many, in turn", 900, Fault{ServiceTime: 5 * time.Millisecond}, 30 * time.Second, 0.4, 0},
	} {
		changes, late, calls, busiest := 0, 0, 0, 0
		const seeds = 10
		for seed := range uint64(seeds) {
			r := Run(Options{Senders: x.senders, Seed: seed + 1, Fault: x.Fault, FaultDuration: x.lasts, NewClient: NewPoller})
			changes, late, calls, busiest = changes+r.Changes, late+r.LateChanges, calls+r.Calls, max(busiest, r.PeakAfterFault)
		}
		each := float64(calls) / seeds / float64(x.senders) / x.lasts.Seconds()
		if share := float64(late) / float64(changes); each > x.each || share > x.late || busiest > 2*x.senders {
			t.Errorf("%s: %.2f calls for each sender and second, %.4f of the changes late, %d calls in a second after it; want %.2f, %.4f, %d",
				x.name, each, share, busiest, x.each, x.late, 2*x.senders)
		}
	}
}
