package hollow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// smallPlan is a plan for a fleet that converges within a second.
func smallPlan(senders int, faults ...Fault) Plan {
	return Plan{Options: Options{Senders: senders, Lease: 500 * time.Millisecond, Drift: 0.01, Seed: 1},
		CalmDuration:  300 * time.Millisecond,
		FaultDuration: 1200 * time.Millisecond, Timeout: 20 * time.Second, Faults: faults}
}

// Senders over sockets must converge, take over the shares of two killed senders, and converge
// again after a partition of two regions. The shares in use must never exceed one rate.
func TestHollow(t *testing.T) {
	t.Parallel()
	p := smallPlan(5, Killed, Regions)
	p.Dir = t.TempDir()
	p.Options.FactRate = 50
	r, err := Measure(p)
	if err != nil {
		t.Fatal(err)
	}
	if r.ConvergenceTime < 0 || r.SamplesOverOne > 0 || !r.ViewsAgree || r.Unresponsive > 0 {
		t.Errorf("%v", r.Failures())
	}
	if len(r.Faults) != 2 || r.Faults[0].Hit != 2 || r.Faults[1].Hit != 2 {
		t.Fatalf("faults %+v", r.Faults)
	}
	for _, f := range r.Faults {
		if f.ConvergenceTime < 0 || f.ReturnBytesHit <= 0 || f.ReturnBytesOther <= 0 {
			t.Errorf("%+v", f)
		}
	}
	if k := r.Faults[0]; k.LowestSum > 0.7 {
		t.Errorf("two of five were killed, and the lowest sum was %.3f", k.LowestSum)
	}
	if !slices.ContainsFunc(r.Timeline, func(x Row) bool { return x.Running == 3 }) {
		t.Errorf("two of five were killed for over a second, and the timeline has no second with three: %+v", r.Timeline)
	}
	if x := r.Rates; x.DatagramsOut < 20 || x.FactsBytesOut <= 0 || x.BytesOut <= x.FactsBytesOut || x.BytesIn <= 0 {
		t.Errorf("rates %+v", x)
	}
	if r.Kernel.DatagramsOut == 0 || r.Kernel.LoopbackOut == 0 {
		t.Errorf("the kernel counted %+v", r.Kernel)
	}
}

// With a clock far slower than the drift allows, an isolated sender uses its share for longer than
// the others leave it. The samples must detect this, over sockets and in virtual time.
func TestSamplesDetectMoreThanOneRate(t *testing.T) {
	t.Parallel()
	for _, virtual := range []bool{false, true} {
		t.Run(fmt.Sprint("virtual=", virtual), func(t *testing.T) {
			t.Parallel()
			p := smallPlan(4, Rack)
			p.Dir, p.CalmDuration, p.Virtual = t.TempDir(), 0, virtual
			p.FaultDuration, p.Timeout = 1600*time.Millisecond, 10*time.Second
			p.ClockRate = func(i int) float64 {
				if i == 1 { // affected by the fault
					return 0.25
				}
				return 1
			}
			r, err := Measure(p)
			if err != nil {
				t.Fatal(err)
			}
			if r.SamplesOverOne == 0 || r.HighestSum < 1.1 {
				t.Errorf("%d samples of %d with more than one rate, at most %.3f", r.SamplesOverOne, r.Samples,
					r.HighestSum)
			}
			if list := r.Failures(); len(list) == 0 || !strings.Contains(list[0], "more than one rate") {
				t.Errorf("failures: %q", list)
			}
		})
	}
}

// In virtual time the fleet must recover from each fault.
func TestVirtual(t *testing.T) {
	t.Parallel()
	r, err := Measure(Plan{Options: Options{Senders: 6, Lease: 3 * time.Second, Drift: 0.01, Seed: 2},
		Virtual: true, CalmDuration: time.Second,
		FaultDuration: 8 * time.Second, Timeout: time.Minute, Faults: Faults})
	if err != nil {
		t.Fatal(err)
	}
	if failures := r.Failures(); len(failures) > 0 {
		t.Errorf("%v", failures)
	}
	if len(r.Faults) != len(Faults) {
		t.Fatalf("%d faults were run", len(r.Faults))
	}
	recoveredAfter := map[Fault]float64{}
	for _, f := range r.Faults {
		recoveredAfter[f.Fault] = f.RecoveredAfter
		if f.Fault == Killed && (f.SumsAtEnd[1] != 0 || f.SumsAtEnd[0] < Floor) {
			t.Errorf("%+v", f)
		}
		if f.HighestSum > maxSum {
			t.Errorf("%+v", f)
		}
	}
	if recoveredAfter[Zone] < recoveredAfter[Killed]+1 { // no refused connection proves there that the senders have ended
		t.Errorf("recovered from a zone without power after %v s, from two senders whose addresses refuse after %v s", recoveredAfter[Zone], recoveredAfter[Killed])
	}
}

// Each fault must affect the share of senders that the target gives.
func TestAffectedSenders(t *testing.T) {
	for _, c := range []struct {
		fault         Fault
		senders, hits int
	}{{Restarts, 560, 100}, {Killed, 560, 2}, {Rack, 560, 56}, {Zone, 560, 112}, {Regions, 560, 224}, {Halves, 560, 280}, {Restarts, 3, 1}, {Killed, 3, 2}} {
		list := c.fault.affected(c.senders)
		if len(list) != c.hits || !slices.IsSorted(list) || list[0] < 0 || list[len(list)-1] >= c.senders {
			t.Errorf("%s of %d affects %v", c.fault, c.senders, list)
		}
	}
}

// Peak, time below the floor and timeline must follow from the samples.
func TestPeakAndTimeUnder(t *testing.T) {
	w := &monitor{env: &world{}}
	for i := range 100 { // two seconds of samples at 20 ms: 100 bytes each, 300 in the second one
		s := sample{at: time.Duration(i) * sampleInterval, sums: [2]float64{0.5, 0.5}, bytes: int64(100 * i)}
		if i >= 50 {
			s.bytes = int64(100*50 + 300*(i-50))
		}
		if i >= 10 && i < 20 {
			s.sums[1] = 0.1
		}
		w.samples = append(w.samples, s)
	}
	below, lowest, last := w.timeUnder(0, 2*time.Second, Floor)
	if below != 10*sampleInterval || lowest != 0.6 || last != 19*sampleInterval {
		t.Errorf("below for %v, lowest %v, last at %v", below, lowest, last)
	}
	if got := w.peakBytes(0, 2*time.Second); got < 14_000 || got > 15_000 {
		t.Errorf("%d bytes in the busiest second, at 300 per 20 ms", got)
	}
	if rows := w.rows(); len(rows) != 2 || rows[0].LowestSum != 0.6 || rows[1].LowestSum != 1 {
		t.Errorf("rows %+v", rows)
	}
}
