package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold latencies in microseconds up to maxLatency. A longer one counts as maxLatency
// and in OutOfRange.
const (
	maxLatency        = int64(10 * time.Minute / time.Microsecond) // microseconds
	significantDigits = 3                                          // decimal digits to which a latency is recorded
)

// Key has the properties by which latencies are recorded separately.
type Key struct {
	Phase                  int
	Class, Partner, Tenant string
}

// Group is the property of a key by which histograms are merged.
type Group int

// The groups.
const (
	All       Group = iota // all messages in one histogram
	ByPhase                // one for each phase
	ByClass                // one for each class
	ByPartner              // one for each partner
	ByTenant               // one for each tenant
)

// Histogram is a histogram of latencies.
type Histogram struct {
	h          *hdrhistogram.Histogram
	OutOfRange int64 // number of latencies over the maximum
}

func newHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxLatency, significantDigits)}
}

// Add records a latency. One below a microsecond counts as a microsecond.
func (h *Histogram) Add(d time.Duration) {
	us := max(int64(d/time.Microsecond), 1)
	if us > maxLatency {
		us = maxLatency
		h.OutOfRange++
	}
	h.h.RecordValue(us) // within the range, so it can't fail
}

// Merge adds the latencies of another histogram.
func (h *Histogram) Merge(other *Histogram) {
	h.h.Merge(other.h)
	h.OutOfRange += other.OutOfRange
}

// Count returns the number of latencies.
func (h *Histogram) Count() int64 { return h.h.TotalCount() }

// Percentile returns the latency that the given percentage of all latencies does not exceed,
// accurate to a thousandth; 0 if there are none.
func (h *Histogram) Percentile(percent float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the longest latency.
func (h *Histogram) Max() time.Duration { return time.Duration(h.h.Max()) * time.Microsecond }

// Mean returns the mean latency.
func (h *Histogram) Mean() time.Duration {
	return time.Duration(h.h.Mean() * float64(time.Microsecond))
}

// Window counts the messages that were due in one second by their state.
type Window struct {
	Due, Accepted, Refused, Unanswered, Delivered, Returned, Failed int64
	InFlight                                                        int64         // maximum at any time
	Worst                                                           time.Duration // from due to acceptance
}

// Recorder holds the latencies of a run. Each worker has its own, and they are merged at the end.
type Recorder struct {
	Accepted  map[Key]*Histogram // from due to acceptance
	Delivered map[Key]*Histogram // from due to delivery
	Lateness  *Histogram         // of the generator: from due to the first byte of the request
	Windows   []Window           // by the second in which messages were due
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{Accepted: map[Key]*Histogram{}, Delivered: map[Key]*Histogram{}, Lateness: newHistogram()}
}

// histogramOf returns the histogram of a key and creates it if there is none.
func histogramOf(m map[Key]*Histogram, k Key) *Histogram {
	h := m[k]
	if h == nil {
		h = newHistogram()
		m[k] = h
	}
	return h
}

// Window returns the window of a message that is due at a time of the run.
func (r *Recorder) Window(due time.Duration) *Window {
	i := int(due / time.Second)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[i]
}

// RecordAcceptance records that a message was accepted, and how long after it was due.
func (r *Recorder) RecordAcceptance(k Key, due, latency time.Duration) {
	histogramOf(r.Accepted, k).Add(latency)
	w := r.Window(due)
	w.Accepted++
	w.Worst = max(w.Worst, latency)
}

// RecordDelivery records that a message was delivered, and how long after it was due.
func (r *Recorder) RecordDelivery(k Key, due, latency time.Duration) {
	histogramOf(r.Delivered, k).Add(latency)
	r.Window(due).Delivered++
}

// Merge adds the content of another recorder.
func (r *Recorder) Merge(other *Recorder) {
	for k, h := range other.Accepted {
		histogramOf(r.Accepted, k).Merge(h)
	}
	for k, h := range other.Delivered {
		histogramOf(r.Delivered, k).Merge(h)
	}
	r.Lateness.Merge(other.Lateness)
	for i, x := range other.Windows {
		w := r.Window(time.Duration(i) * time.Second)
		w.Due, w.Accepted, w.Refused, w.Unanswered =
			w.Due+x.Due, w.Accepted+x.Accepted, w.Refused+x.Refused, w.Unanswered+x.Unanswered
		w.Delivered, w.Returned, w.Failed = w.Delivered+x.Delivered, w.Returned+x.Returned, w.Failed+x.Failed
		w.InFlight, w.Worst = max(w.InFlight, x.InFlight), max(w.Worst, x.Worst)
	}
}

// MergeByGroup merges the histograms that have the same value of a property. The result has
// them by that value, or under "" for [All]. phase returns the name of a phase.
func MergeByGroup(m map[Key]*Histogram, by Group, phase func(int) string) map[string]*Histogram {
	out := map[string]*Histogram{}
	for k, h := range m {
		name := ""
		switch by {
		case ByPhase:
			name = phase(k.Phase)
		case ByClass:
			name = k.Class
		case ByPartner:
			name = k.Partner
		case ByTenant:
			name = k.Tenant
		}
		if out[name] == nil {
			out[name] = newHistogram()
		}
		out[name].Merge(h)
	}
	return out
}

// Verdict is the validity of the figures of a run.
type Verdict struct {
	Valid    bool
	Reason   string        // why it is not valid
	Lateness time.Duration // the generator's lateness at its 99.9th percentile
}

// CheckLateness returns whether a run is valid: the generator itself must not be late by more
// than the scenario allows, or the latencies are not those of the system.
func (s *Scenario) CheckLateness(r *Recorder) Verdict {
	v := Verdict{Valid: true, Lateness: r.Lateness.Percentile(99.9)}
	if bound := time.Duration(s.Late); v.Lateness > bound {
		v.Valid, v.Reason = false, "the generator, not the system, was late: "+v.Lateness.String()+" at the 99.9th percentile, "+bound.String()+" at most"
	}
	return v
}

// WorstWindows returns the numbers of the n windows with the longest latencies of acceptance,
// longest first.
func (r *Recorder) WorstWindows(n int) []int {
	out := make([]int, len(r.Windows))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(r.Windows[b].Worst, r.Windows[a].Worst) })
	return out[:min(n, len(out))]
}
