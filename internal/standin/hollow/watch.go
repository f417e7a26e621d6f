package hollow

import (
	"slices"
	"time"
)

// sample is one observation of all senders.
type sample struct {
	at      time.Duration // in the time of the environment
	sums    [2]float64    // of the shares: of the senders not affected by the fault, and of those affected
	running int           // number of running senders
	bytes   int64         // sent by all senders so far
}

// sum returns the sum of the shares of all senders.
func (s sample) sum() float64 { return s.sums[0] + s.sums[1] }

// monitor samples an environment throughout a run.
type monitor struct {
	env            environment
	hit            []bool    // by sender: affected by the current fault, or by the last one after it
	shares         []float64 // by sender, in the last sample; -1 for one that is not running
	latestCounts   []Count   // by sender, in the last sample
	samples        []sample  // in order
	highestSum     float64   // of the shares
	samplesOverOne int       // samples with a sum above one rate
	events         []event   // in order
}

// event is a step of the run, for the timeline.
type event struct {
	at   time.Duration // in the time of the environment
	text string
}

// newMonitor returns a monitor without samples.
func newMonitor(s environment) *monitor {
	return &monitor{env: s, hit: make([]bool, s.size()), shares: make([]float64, s.size()),
		latestCounts: make([]Count, s.size())}
}

// addEvent adds an event that occurs now to the timeline.
func (w *monitor) addEvent(text string) { w.events = append(w.events, event{w.env.now(), text}) }

// sample takes a sample of the shares and the traffic of all senders.
func (w *monitor) sample() {
	w.env.shares(w.shares)
	s := sample{at: w.env.now()}
	for i, p := range w.shares {
		if p < 0 {
			continue
		}
		s.running++
		if w.hit[i] {
			s.sums[1] += p
		} else {
			s.sums[0] += p
		}
	}
	w.env.counts(w.latestCounts)
	s.bytes = sumCounts(w.latestCounts, nil).BytesOut
	w.highestSum = max(w.highestSum, s.sum())
	if s.sum() > maxSum {
		w.samplesOverOne++
	}
	w.samples = append(w.samples, s)
}

// last returns the last sample; there must be one.
func (w *monitor) last() sample { return w.samples[len(w.samples)-1] }

// runUntil lets time pass, at most d, until condition holds after a sample. It returns the time
// taken and whether the condition held.
func (w *monitor) runUntil(d time.Duration, condition func() bool) (time.Duration, bool) {
	from := w.env.now()
	for {
		w.sample()
		if condition() {
			return w.env.now() - from, true
		}
		if w.env.now()-from >= d {
			return w.env.now() - from, false
		}
		w.env.run(sampleInterval, func() {})
	}
}

// converged reports whether, in the last sample, all senders are running and each has an even share of
// the whole rate, so that each counts all and is counted by all.
func (w *monitor) converged() bool {
	return slices.Min(w.shares) > 0.999/float64(w.env.size())
}

// counts returns the traffic of each sender so far.
func (w *monitor) counts() []Count {
	out := make([]Count, w.env.size())
	w.env.counts(out)
	return out
}

// timeUnder returns how long the sum was below a bound within an interval, the lowest sum, and when
// it was last below the bound, relative to from; 0 for never.
func (w *monitor) timeUnder(from, to time.Duration, bound float64) (below time.Duration, lowest float64,
	last time.Duration) {
	lowest = maxSum
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

// Row is one second of the timeline.
type Row struct {
	At         float64    `json:"at_s"`          // its start, in whole seconds since that of the run
	LowestSum  float64    `json:"lowest_sum"`    // of the shares, within it
	HighestSum float64    `json:"highest_sum"`   // likewise
	Sums       [2]float64 `json:"sides"`         // at its end: of senders the fault does not affect, and of others
	Running    int        `json:"running"`       // senders that are running at its end
	BytesSent  int64      `json:"bytes_sent"`    // by all senders in this second
	Events     []string   `json:"did,omitempty"` // steps of the run, in order
}

// rows returns the timeline by seconds.
func (w *monitor) rows() (out []Row) {
	bytes := int64(0)
	events := w.events
	for i := 0; i < len(w.samples); {
		second := w.samples[i].at / time.Second
		r := Row{At: float64(second), LowestSum: w.samples[i].sum()}
		for ; i < len(w.samples) && w.samples[i].at/time.Second == second; i++ {
			s := w.samples[i]
			r.LowestSum, r.HighestSum = min(r.LowestSum, s.sum()), max(r.HighestSum, s.sum())
			r.Sums, r.Running, r.BytesSent = s.sums, s.running, s.bytes-bytes
		}
		bytes += r.BytesSent
		for len(events) > 0 && events[0].at/time.Second <= second {
			r.Events = append(r.Events, events[0].text)
			events = events[1:]
		}
		out = append(out, r)
	}
	return out
}

// peakBytes returns the most bytes that all senders together sent within one second of an interval.
func (w *monitor) peakBytes(from, to time.Duration) (best int64) {
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
