package play

import (
	"testing"
	"time"
)

// The retry budget keeps many senders from holding an overloaded discovery down: after its recovery no second has more
// calls than one per sender and one more for its watch. Failures of single calls make few changes late.
func TestFleetsDuringDiscoveryFaults(t *testing.T) {
	for _, x := range []struct {
		name    string
		senders int
		Fault
		lasts time.Duration
		each  float64 // largest number of calls per sender and second of the fault
		late  float64 // largest fraction of the changes that arrive after more than 6 s
	}{
		{"few, down", 5, Fault{Down: true}, 30 * time.Second, 4, 0},
		{"few, every second call fails", 5, Fault{FailureRatio: 0.5}, 30 * time.Second, 4, 0.001},
		{"many, down", 300, Fault{Down: true}, 60 * time.Second, 0.5, 0},
		{"many, every second call fails", 300, Fault{FailureRatio: 0.5}, 30 * time.Second, 0.6, 0.02},
		{"many, a third of the calls fails", 300, Fault{FailureRatio: 0.35}, 30 * time.Second, 0.6, 0.005},
		{"many, one at a time", 300, Fault{ServiceTime: 15 * time.Millisecond}, 30 * time.Second, 0.4, 0},
		{"very many, one at a time", 900, Fault{ServiceTime: 5 * time.Millisecond}, 30 * time.Second, 0.4, 0},
	} {
		changes, late, calls, busiest := 0, 0, 0, 0
		const seeds = 10
		for seed := range uint64(seeds) {
			r := Run(Options{Senders: x.senders, Seed: seed + 1, Fault: x.Fault, FaultDuration: x.lasts, NewClient: NewPoller})
			changes, late, calls, busiest = changes+r.Changes, late+r.LateChanges, calls+r.Calls, max(busiest, r.PeakAfterFault)
		}
		each := float64(calls) / seeds / float64(x.senders) / x.lasts.Seconds()
		if share := float64(late) / float64(changes); each > x.each || share > x.late || busiest > 2*x.senders {
			t.Errorf("%s: %.2f calls per sender and second, %.4f of the changes late, %d calls in a second after the fault; want %.2f, %.4f, %d",
				x.name, each, share, busiest, x.each, x.late, 2*x.senders)
		}
	}
}
