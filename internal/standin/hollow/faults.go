package hollow

import (
	"fmt"
	"slices"
	"time"
)

// Fault is a temporary fault of a fleet.
type Fault string

// Faults, with the shares of the target: 100 of 560 senders restarted, 2 killed, a rack of
// a tenth, a zone of a fifth.
const (
	Restarts Fault = "restarts" // 18% are killed and restarted immediately, one after another
	Killed   Fault = "killed"   // two are killed, and started at the end; their addresses refuse connections
	Rack     Fault = "rack"     // a tenth loses its switch: the senders run but reach no other
	Zone     Fault = "zone"     // a fifth loses its power, and starts at the end; no address refuses or answers
	Regions  Fault = "regions"  // three zones are partitioned from the other two
	Halves   Fault = "halves"   // two halves are partitioned
)

// Faults lists all faults in the order in which they are run.
var Faults = []Fault{Restarts, Killed, Rack, Zone, Regions, Halves}

// restartShare is the fraction of the senders that [Restarts] restarts.
const restartShare = 100.0 / 560

// affected returns the indexes, in order, of the senders that a fault affects in a fleet of that many.
func (f Fault) affected(senders int) (list []int) {
	hit := func(i int) bool {
		switch f {
		case Rack:
			return i%Racks == 1
		case Zone:
			return i%Zones == 1
		case Regions:
			return i%Zones >= FirstRegion
		case Halves:
			return i >= (senders+1)/2
		}
		return false
	}
	for i := range senders {
		if hit(i) {
			list = append(list, i)
		}
	}
	n := 0
	switch f {
	case Restarts:
		n = max(int(float64(senders)*restartShare+0.5), 1)
	case Killed:
		n = min(2, senders-1)
	}
	for i := range n { // spread over the zones
		list = append(list, (1+i*Zones/max(n, 1)+i*Zones)%senders)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// FaultResult is the outcome of a fault. Times are in seconds; -1 stands for an event that did not
// occur.
type FaultResult struct {
	Fault      Fault   `json:"fault"`
	Hit        int     `json:"hit"`         // number of affected senders
	Duration   float64 `json:"lasted_s"`    // until the recovery began
	LowestSum  float64 `json:"lowest_sum"`  // of the shares, during the fault and the recovery
	HighestSum float64 `json:"highest_sum"` // likewise
	// UnderFloor is the time for which the sum was below [Floor] during the fault;
	// RecoveredAfter is the time from its start after which the sum stayed above: 0 if it was
	// never below, -1 if it was below when the fault ended.
	UnderFloor     float64 `json:"under_s"`
	RecoveredAfter float64 `json:"again_s"`
	// SumsAtEnd are the sums at the end of the fault, of the senders not affected and of
	// those affected.
	SumsAtEnd [2]float64 `json:"sides"`
	// ConvergenceTime is the time from the end of the fault until each sender counted all.
	ConvergenceTime  float64 `json:"whole_s"`
	UnderFloorAfter  float64 `json:"under_after_s"`      // time below [Floor] until then
	ReturnBytesHit   float64 `json:"return_hit_bytes"`   // sent and received until then per affected sender
	ReturnBytesOther float64 `json:"return_other_bytes"` // and per other sender
	PeakRate         float64 `json:"busiest_bytes_s"`    // mean per sender, in the busiest second from the start of the fault
}

// Floor is the sum of the shares below which too much of each rate is left unused; the time below it is
// counted.
const Floor = 0.9

// runFault applies a fault for a duration, ends it, and measures the recovery, which may take up to
// timeout. An error means that a sender could not be started, or that the fault is unknown.
func (w *monitor) runFault(f Fault, duration, timeout time.Duration) (FaultResult, error) {
	n := w.env.size()
	affected := f.affected(n)
	for i := range w.hit {
		w.hit[i] = slices.Contains(affected, i)
	}
	r := FaultResult{Fault: f, Hit: len(affected), RecoveredAfter: -1, ConvergenceTime: -1}
	from := w.env.now()
	w.sample()
	w.addEvent(fmt.Sprintf("%s: %d of %d", f, len(affected), n))
	cut := func(cut, within bool) {
		for _, i := range affected {
			for k := range n {
				if k != i && (within || !w.hit[k]) {
					w.env.cut(i, k, cut)
					w.env.cut(k, i, cut)
				}
			}
		}
	}
	switch f {
	case Restarts:
		for _, i := range affected {
			w.env.kill([]int{i})
			w.sample()
			if err := w.env.start([]int{i}); err != nil {
				return r, err
			}
			w.env.run(duration/time.Duration(len(affected)), w.sample)
		}
	case Killed:
		w.env.kill(affected)
	case Rack:
		cut(true, true)
	case Zone:
		cut(true, true)
		w.env.kill(affected)
	case Regions, Halves:
		cut(true, false)
	default:
		return r, fmt.Errorf("hollow: %q is no fault", f)
	}
	if f != Restarts {
		w.sample()
		w.env.run(duration, w.sample)
	}
	end := w.env.now()
	r.Duration = (end - from).Seconds()
	below, lowest, last := w.timeUnder(from, end, Floor)
	r.UnderFloor, r.LowestSum, r.SumsAtEnd = below.Seconds(), lowest, w.last().sums
	if w.last().sum() >= Floor {
		r.RecoveredAfter = last.Seconds()
	}
	w.addEvent(string(f) + " is over")
	before := w.counts()
	switch f {
	case Rack:
		cut(false, true)
	case Zone:
		cut(false, true)
		fallthrough
	case Killed:
		if err := w.env.start(affected); err != nil {
			return r, err
		}
	case Regions, Halves:
		cut(false, false)
	}
	took, ok := w.runUntil(timeout, w.converged)
	if ok {
		r.ConvergenceTime = took.Seconds()
		w.addEvent("whole again")
	}
	after := w.counts()
	for i := range after {
		c := after[i].minus(before[i])
		each := &r.ReturnBytesOther
		share := n - len(affected)
		if w.hit[i] {
			each, share = &r.ReturnBytesHit, len(affected)
		}
		*each += float64(c.BytesOut+c.BytesIn) / float64(share)
	}
	below, lowest, _ = w.timeUnder(end, w.env.now(), Floor)
	r.UnderFloorAfter, r.LowestSum = below.Seconds(), min(r.LowestSum, lowest)
	for _, s := range w.samples {
		if s.at >= from {
			r.HighestSum = max(r.HighestSum, s.sum())
		}
	}
	r.PeakRate = float64(w.peakBytes(from, w.env.now())) / float64(n)
	return r, nil
}
