package hollow

import (
	"slices"
	"time"
)

// sample is what one look has seen.
type sample struct {
	at      time.Duration
	sides   [2]float64 // sums of parts: of those that a fault leaves alone, and of those it hits
	running int
	bytes   int64 // sent by all so far
}

func (s sample) sum() float64 { return s.sides[0] + s.sides[1] }

// watch looks at a stage from outside, all along a play.
type watch struct {
	stage   stage
	hit     []bool // by sender, of the present fault
	parts   []float64
	tally   []Count
	samples []sample
	peak    float64 // the largest sum
	over    int     // looks that have seen more than one rate
	notes   []note
}

// note is something that the play did.
type note struct {
	at   time.Duration
	text string
}

func newWatch(s stage) *watch {
	return &watch{stage: s, hit: make([]bool, s.size()), parts: make([]float64, s.size()), tally: make([]Count, s.size())}
}

func (w *watch) note(text string) { w.notes = append(w.notes, note{w.stage.now(), text}) }

// look takes a sample.
func (w *watch) look() {
	w.stage.parts(w.parts)
	s := sample{at: w.stage.now()}
	for i, p := range w.parts {
		if p < 0 {
			continue
		}
		s.running++
		if w.hit[i] {
			s.sides[1] += p
		} else {
			s.sides[0] += p
		}
	}
	w.stage.counts(w.tally)
	s.bytes = sum(w.tally, nil).OutBytes
	w.peak = max(w.peak, s.sum())
	if s.sum() > most {
		w.over++
	}
	w.samples = append(w.samples, s)
}

func (w *watch) last() sample { return w.samples[len(w.samples)-1] }

// until lets time pass until something holds after a look, at most d.
func (w *watch) until(d time.Duration, holds func() bool) (time.Duration, bool) {
	from := w.stage.now()
	for {
		w.look()
		if holds() {
			return w.stage.now() - from, true
		}
		if w.stage.now()-from >= d {
			return w.stage.now() - from, false
		}
		w.stage.run(lookEvery, func() {})
	}
}

// whole holds once all run and each has an even part of the whole rate: it is taken in
// by all, and counts all.
func (w *watch) whole() bool {
	return slices.Min(w.parts) > 0.999/float64(w.stage.size())
}

// counts is what each has sent and taken so far.
func (w *watch) counts() []Count {
	out := make([]Count, w.stage.size())
	w.stage.counts(out)
	return out
}

// under is for how long the sum was below a bound within a span, its lowest, and when
// it last was below, from the span's beginning; 0 for never.
func (w *watch) under(from, to time.Duration, bound float64) (below time.Duration, lowest float64, last time.Duration) {
	lowest = most
	before := from
	for _, s := range w.samples {
		if s.at < from || s.at > to {
			continue
		}
		lowest = min(lowest, s.sum())
		if s.sum() < bound-1e-9 {
			below += s.at - before
			last = s.at - from
		}
		before = s.at
	}
	return below, lowest, last
}

// Row is a second of a time line.
type Row struct {
	At      float64    `json:"at_s"`
	Lowest  float64    `json:"lowest_sum"`
	Highest float64    `json:"highest_sum"`
	Sides   [2]float64 `json:"sides"` // at its end: of those that a fault leaves alone, and of those it hits
	Running int        `json:"running"`
	Bytes   int64      `json:"bytes_sent"` // by all, within it
	Did     []string   `json:"did,omitempty"`
}

// rows is the time line by seconds.
func (w *watch) rows() (out []Row) {
	bytes := int64(0)
	notes := w.notes
	for i := 0; i < len(w.samples); {
		second := w.samples[i].at / time.Second
		r := Row{At: float64(second), Lowest: w.samples[i].sum()}
		for ; i < len(w.samples) && w.samples[i].at/time.Second == second; i++ {
			s := w.samples[i]
			r.Lowest, r.Highest = min(r.Lowest, s.sum()), max(r.Highest, s.sum())
			r.Sides, r.Running, r.Bytes = s.sides, s.running, s.bytes-bytes
		}
		bytes += r.Bytes
		for len(notes) > 0 && notes[0].at/time.Second <= second {
			r.Did = append(r.Did, notes[0].text)
			notes = notes[1:]
		}
		out = append(out, r)
	}
	return out
}

// busiest is the most bytes that all have sent in a second of a span.
func (w *watch) busiest(from, to time.Duration) (best int64) {
	k := 0
	for i, s := range w.samples {
		if s.at < from || s.at > to {
			continue
		}
		for k < i && (w.samples[k].at < from || s.at-w.samples[k].at > time.Second) {
			k++
		}
		best = max(best, s.bytes-w.samples[k].bytes)
	}
	return best
}
