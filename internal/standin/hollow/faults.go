package hollow

import (
	"fmt"
	"slices"
	"time"
)

// Fault is something that happens to a fleet, and is over after a while.
type Fault string

// The faults. Their shares are those of the target: 100 of 560 restarted, 2 killed, a
// rack a tenth, a zone a fifth.
const (
	Restarts Fault = "restarts" // 18% are killed and started again at once, one after another
	Killed   Fault = "killed"   // two die; their addresses refuse; then they are started
	Rack     Fault = "rack"     // a tenth loses its switch: each of it runs, and reaches nobody
	Zone     Fault = "zone"     // a fifth loses its power: nothing refuses, nothing answers; then all of it starts
	Regions  Fault = "regions"  // three zones and two lose each other
	Halves   Fault = "halves"   // two even parts lose each other
)

// Faults are all faults, in the order in which they are played.
var Faults = []Fault{Restarts, Killed, Rack, Zone, Regions, Halves}

const restartShare = 100.0 / 560

// hits is whom a fault concerns.
func (f Fault) hits(senders int) (list []int) {
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
	for i := range n { // spread over zones
		list = append(list, (1+i*Zones/max(n, 1)+i*Zones)%senders)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// FaultResult is what came of a fault. Times are -1 for what did not come about.
type FaultResult struct {
	Fault   Fault   `json:"fault"`
	Hit     int     `json:"hit"`      // senders
	Lasted  float64 `json:"lasted_s"` // before the return began
	Lowest  float64 `json:"lowest_sum"`
	Highest float64 `json:"highest_sum"`
	// Under is for how long the sum was below [Floor] while the fault lasted, and Again
	// after which time from its begin it was not below again.
	Under float64 `json:"under_s"`
	Again float64 `json:"again_s"`
	// Sides are the sums at its end, of those that it left alone and of those it hit.
	Sides [2]float64 `json:"sides"`
	// Whole is the time from the end of the fault until each counted all again.
	Whole       float64 `json:"whole_s"`
	UnderAfter  float64 `json:"under_after_s"`      // below [Floor] in that time
	ReturnHit   float64 `json:"return_hit_bytes"`   // each of those it hit, sent and taken in that time
	ReturnOther float64 `json:"return_other_bytes"` // each other one
	Busiest     float64 `json:"busiest_bytes_s"`    // sent by each in the mean, in the second with the most, from the fault's begin on
}

// Floor is below which part of a rate in use seconds are counted.
const Floor = 0.9

// play has a fault happen, last for a while, and be over.
func (w *watch) play(f Fault, lasts, patience time.Duration) (FaultResult, error) {
	n := w.stage.size()
	list := f.hits(n)
	for i := range w.hit {
		w.hit[i] = slices.Contains(list, i)
	}
	r := FaultResult{Fault: f, Hit: len(list), Again: -1, Whole: -1}
	from := w.stage.now()
	w.look()
	w.note(fmt.Sprintf("%s: %d of %d", f, len(list), n))
	cut := func(cut, within bool) {
		for _, i := range list {
			for k := range n {
				if k != i && (within || !w.hit[k]) {
					w.stage.cut(i, k, cut)
					w.stage.cut(k, i, cut)
				}
			}
		}
	}
	switch f {
	case Restarts:
		for _, i := range list {
			w.stage.kill([]int{i})
			w.look()
			if err := w.stage.start([]int{i}); err != nil {
				return r, err
			}
			w.stage.run(lasts/time.Duration(len(list)), w.look)
		}
	case Killed:
		w.stage.kill(list)
	case Rack:
		cut(true, true)
	case Zone:
		cut(true, true)
		w.stage.kill(list)
	case Regions, Halves:
		cut(true, false)
	default:
		return r, fmt.Errorf("hollow: %q is no fault", f)
	}
	if f != Restarts {
		w.look()
		w.stage.run(lasts, w.look)
	}
	end := w.stage.now()
	r.Lasted = (end - from).Seconds()
	below, lowest, last := w.under(from, end, Floor)
	r.Under, r.Lowest, r.Sides = below.Seconds(), lowest, w.last().sides
	if w.last().sum() >= Floor {
		r.Again = last.Seconds()
	}
	w.note(string(f) + " is over")
	before := w.counts()
	switch f {
	case Rack:
		cut(false, true)
	case Zone:
		cut(false, true)
		fallthrough
	case Killed:
		if err := w.stage.start(list); err != nil {
			return r, err
		}
	case Regions, Halves:
		cut(false, false)
	}
	took, ok := w.until(patience, w.whole)
	if ok {
		r.Whole = took.Seconds()
		w.note("whole again")
	}
	after := w.counts()
	for i := range after {
		c := after[i].minus(before[i])
		each := &r.ReturnOther
		share := n - len(list)
		if w.hit[i] {
			each, share = &r.ReturnHit, len(list)
		}
		*each += float64(c.OutBytes+c.InBytes) / float64(share)
	}
	below, lowest, _ = w.under(end, w.stage.now(), Floor)
	r.UnderAfter, r.Lowest = below.Seconds(), min(r.Lowest, lowest)
	for _, s := range w.samples {
		if s.at >= from {
			r.Highest = max(r.Highest, s.sum())
		}
	}
	r.Busiest = float64(w.busiest(from, w.stage.now())) / float64(n)
	return r, nil
}
