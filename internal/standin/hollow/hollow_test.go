package hollow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// small is a fleet that meets within a second, for a play whose every step waits for
// what is to come about.
func small(senders int, faults ...Fault) Play {
	return Play{Options: Options{Senders: senders, Lease: 500 * time.Millisecond, Drift: 0.01, Seed: 1}, Calm: 300 * time.Millisecond,
		Lasts: 1200 * time.Millisecond, Patience: 20 * time.Second, Faults: faults}
}

// Hollow senders meet over sockets, take over from two that were killed, and are
// whole again after two regions had lost each other; never more than one rate is in
// use.
func TestHollow(t *testing.T) {
	t.Parallel()
	p := small(5, Killed, Regions)
	p.Dir = t.TempDir()
	p.Options.Facts = 50
	r, err := Measure(p)
	if err != nil {
		t.Fatal(err)
	}
	if r.Met < 0 || r.Over > 0 || !r.Agree || r.Mute > 0 {
		t.Errorf("%v", r.Wrongs())
	}
	if len(r.Faults) != 2 || r.Faults[0].Hit != 2 || r.Faults[1].Hit != 2 {
		t.Fatalf("faults %+v", r.Faults)
	}
	for _, f := range r.Faults {
		if f.Whole < 0 || f.ReturnHit <= 0 || f.ReturnOther <= 0 {
			t.Errorf("%+v", f)
		}
	}
	if k := r.Faults[0]; k.Lowest > 0.7 {
		t.Errorf("two of five were killed, and the sum was %.3f at its lowest", k.Lowest)
	}
	if !slices.ContainsFunc(r.Timeline, func(x Row) bool { return x.Running == 3 }) {
		t.Errorf("two of five were killed for over a second, and the time line has no second with three: %+v", r.Timeline)
	}
	if x := r.Rates; x.Out < 20 || x.Lore <= 0 || x.BytesOut <= x.Lore || x.BytesIn <= 0 {
		t.Errorf("rates %+v", x)
	}
	if r.Kernel.DatagramsOut == 0 || r.Kernel.LoopbackOut == 0 {
		t.Errorf("the kernel counted %+v", r.Kernel)
	}
}

// A clock far slower than drift allows has a sender that is cut off use its part for
// longer than the others leave it: the looks see that, over sockets and in virtual
// time.
func TestLooksSeeMoreThanOneRate(t *testing.T) {
	t.Parallel()
	for _, virtual := range []bool{false, true} {
		t.Run(fmt.Sprint("virtual=", virtual), func(t *testing.T) {
			t.Parallel()
			p := small(4, Rack)
			p.Dir, p.Calm, p.Virtual = t.TempDir(), 0, virtual
			p.Lasts, p.Patience = 1600*time.Millisecond, 10*time.Second
			p.Pace = func(i int) float64 {
				if i == 1 { // whom the fault hits
					return 0.25
				}
				return 1
			}
			r, err := Measure(p)
			if err != nil {
				t.Fatal(err)
			}
			if r.Over == 0 || r.Highest < 1.1 {
				t.Errorf("%d looks of %d saw more than one rate, %.3f at the most", r.Over, r.Looks, r.Highest)
			}
			if list := r.Wrongs(); len(list) == 0 || !strings.Contains(list[0], "more than one rate") {
				t.Errorf("the verdict is %q", list)
			}
		})
	}
}

// All faults in virtual time: each is over with all whole again.
func TestVirtual(t *testing.T) {
	t.Parallel()
	r, err := Measure(Play{Options: Options{Senders: 6, Lease: 3 * time.Second, Drift: 0.01, Seed: 2}, Virtual: true, Calm: time.Second,
		Lasts: 8 * time.Second, Patience: time.Minute, Faults: Faults})
	if err != nil {
		t.Fatal(err)
	}
	if wrong := r.Wrongs(); len(wrong) > 0 {
		t.Errorf("%v", wrong)
	}
	if len(r.Faults) != len(Faults) {
		t.Fatalf("%d faults were played", len(r.Faults))
	}
	again := map[Fault]float64{}
	for _, f := range r.Faults {
		again[f.Fault] = f.Again
		if f.Fault == Killed && (f.Sides[1] != 0 || f.Sides[0] < Floor) {
			t.Errorf("%+v", f)
		}
		if f.Highest > most {
			t.Errorf("%+v", f)
		}
	}
	if again[Zone] < again[Killed]+1 { // there nothing proves that they have ended
		t.Errorf("a zone without power was made up for after %v s, two whose addresses refuse after %v s", again[Zone], again[Killed])
	}
}

// The shares of the target, at the sizes that are played.
func TestHits(t *testing.T) {
	for _, c := range []struct {
		fault         Fault
		senders, hits int
	}{{Restarts, 560, 100}, {Killed, 560, 2}, {Rack, 560, 56}, {Zone, 560, 112}, {Regions, 560, 224}, {Halves, 560, 280}, {Restarts, 3, 1}, {Killed, 3, 2}} {
		list := c.fault.hits(c.senders)
		if len(list) != c.hits || !slices.IsSorted(list) || list[0] < 0 || list[len(list)-1] >= c.senders {
			t.Errorf("%s of %d hits %v", c.fault, c.senders, list)
		}
	}
}

// Slopes and time lines come from results.
func TestBusiestAndUnder(t *testing.T) {
	w := &watch{stage: &world{}}
	for i := range 100 { // two seconds at 20 ms: 100 bytes a look, in the second 300
		s := sample{at: time.Duration(i) * lookEvery, sides: [2]float64{0.5, 0.5}, bytes: int64(100 * i)}
		if i >= 50 {
			s.bytes = int64(100*50 + 300*(i-50))
		}
		if i >= 10 && i < 20 {
			s.sides[1] = 0.1
		}
		w.samples = append(w.samples, s)
	}
	below, lowest, last := w.under(0, 2*time.Second, Floor)
	if below != 10*lookEvery || lowest != 0.6 || last != 19*lookEvery {
		t.Errorf("below for %v, %v at the lowest, last at %v", below, lowest, last)
	}
	if got := w.busiest(0, 2*time.Second); got < 14_000 || got > 15_000 {
		t.Errorf("%d bytes in the busiest second; 300 in each 20 ms", got)
	}
	if rows := w.rows(); len(rows) != 2 || rows[0].Lowest != 0.6 || rows[1].Lowest != 1 {
		t.Errorf("rows %+v", rows)
	}
}
