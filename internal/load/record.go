package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are kept in microseconds up to this, to three digits. What lasts longer
// counts as that long, and is counted apart.
const (
	longest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Key is what latencies are told apart by.
type Key struct {
	Phase                  int
	Class, Partner, Tenant string
}

// Group is a part of a key to sum by.
type Group int

// The groups.
const (
	All Group = iota
	ByPhase
	ByClass
	ByPartner
	ByTenant
)

// Hist is a histogram of latencies.
type Hist struct {
	h    *hdrhistogram.Histogram
	Over int64 // longer than can be told
}

func newHist() *Hist { return &Hist{h: hdrhistogram.New(1, longest, digits)} }

// Add notes a latency; one below a microsecond counts as one.
func (h *Hist) Add(d time.Duration) {
	us := max(int64(d/time.Microsecond), 1)
	if us > longest {
		us = longest
		h.Over++
	}
	h.h.RecordValue(us) // within the range, so it can't fail
}

// Merge adds another one's counts: percentiles are those of both together.
func (h *Hist) Merge(other *Hist) {
	h.h.Merge(other.h)
	h.Over += other.Over
}

// Count is how many latencies there are.
func (h *Hist) Count() int64 { return h.h.TotalCount() }

// At is the latency that so many percent do not pass, to a thousandth; 0 if there
// are none.
func (h *Hist) At(percent float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(percent)) * time.Microsecond
}

// Max is the longest one.
func (h *Hist) Max() time.Duration { return time.Duration(h.h.Max()) * time.Microsecond }

// Mean is the mean.
func (h *Hist) Mean() time.Duration { return time.Duration(h.h.Mean() * float64(time.Microsecond)) }

// Window is what became of the messages that were due in one second.
type Window struct {
	Due, Accepted, Refused, Unanswered, Delivered, Returned, Failed int64
	InFlight                                                        int64         // most at once
	Worst                                                           time.Duration // from due to acceptance
}

// Recorder holds latencies. Each worker has one of its own; they are merged at the
// end.
type Recorder struct {
	Accepted map[Key]*Hist // from due to acceptance
	Ended    map[Key]*Hist // from due to delivery
	Late     *Hist         // from due to the first byte of the request: the generator's own
	Windows  []Window      // by the second in which messages were due
}

// NewRecorder makes one.
func NewRecorder() *Recorder {
	return &Recorder{Accepted: map[Key]*Hist{}, Ended: map[Key]*Hist{}, Late: newHist()}
}

func of(m map[Key]*Hist, k Key) *Hist {
	h := m[k]
	if h == nil {
		h = newHist()
		m[k] = h
	}
	return h
}

// Window is that of a message that is due then.
func (r *Recorder) Window(due time.Duration) *Window {
	i := int(due / time.Second)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[i]
}

// Accept notes an acceptance so long after a message was due.
func (r *Recorder) Accept(k Key, due, took time.Duration) {
	of(r.Accepted, k).Add(took)
	w := r.Window(due)
	w.Accepted++
	w.Worst = max(w.Worst, took)
}

// Deliver notes a delivery so long after a message was due.
func (r *Recorder) Deliver(k Key, due, took time.Duration) {
	of(r.Ended, k).Add(took)
	r.Window(due).Delivered++
}

// Merge adds what another one holds.
func (r *Recorder) Merge(other *Recorder) {
	for k, h := range other.Accepted {
		of(r.Accepted, k).Merge(h)
	}
	for k, h := range other.Ended {
		of(r.Ended, k).Merge(h)
	}
	r.Late.Merge(other.Late)
	for i, x := range other.Windows {
		w := r.Window(time.Duration(i) * time.Second)
		w.Due, w.Accepted, w.Refused, w.Unanswered = w.Due+x.Due, w.Accepted+x.Accepted, w.Refused+x.Refused, w.Unanswered+x.Unanswered
		w.Delivered, w.Returned, w.Failed = w.Delivered+x.Delivered, w.Returned+x.Returned, w.Failed+x.Failed
		w.InFlight, w.Worst = max(w.InFlight, x.InFlight), max(w.Worst, x.Worst)
	}
}

// Sum merges the histograms of a group: one by its name, for all "".
func Sum(m map[Key]*Hist, by Group, phase func(int) string) map[string]*Hist {
	out := map[string]*Hist{}
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
			out[name] = newHist()
		}
		out[name].Merge(h)
	}
	return out
}

// Verdict says whether a run tells anything of the system.
type Verdict struct {
	Valid  bool
	Reason string        // why not
	Late   time.Duration // the generator's lateness at its 99.9th percentile
}

// Judge judges a run by the generator's own lateness.
func (s *Scenario) Judge(r *Recorder) Verdict {
	v := Verdict{Valid: true, Late: r.Late.At(99.9)}
	if bound := time.Duration(s.Late); v.Late > bound {
		v.Valid, v.Reason = false, "the generator, not the system, was late: "+v.Late.String()+" at the 99.9th percentile, "+bound.String()+" at most"
	}
	return v
}

// Worst lists the windows with the longest waits for acceptance, the worst first.
func (r *Recorder) Worst(n int) []int {
	out := make([]int, len(r.Windows))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(r.Windows[b].Worst, r.Windows[a].Worst) })
	return out[:min(n, len(out))]
}
