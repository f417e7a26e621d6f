package load

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Difference is the difference of one figure between two sets of runs.
type Difference struct {
	Figure        string
	Before, After float64 // medians
	Noise         float64 // the larger spread of the two sets: how much the figure varies without a change
	Verdict       string  // one of the verdicts below
}

// The verdicts. A difference within the noise is not significant, and the noise is unknown with
// a single run on a side.
const (
	Better      = "better"                                   // a significant change for the better
	Worse       = "worse"                                    // a significant change for the worse
	WithinNoise = "within the noise"                         // not significant
	Unknown     = "unknown: one run does not show the noise" // a side has a single run
)

// figures are the compared figures. Lower is better unless higherIsBetter is set.
var figures = []struct {
	name           string
	higherIsBetter bool
	of             func(r *Report) (float64, bool)
}{
	{"accepted p50, µs", false, func(r *Report) (float64, bool) { return latency(r.Accepted, func(s Summary) float64 { return s.P50 }) }},
	{"accepted p99, µs", false, func(r *Report) (float64, bool) { return latency(r.Accepted, func(s Summary) float64 { return s.P99 }) }},
	{"accepted p99.9, µs", false, func(r *Report) (float64, bool) { return latency(r.Accepted, func(s Summary) float64 { return s.P999 }) }},
	{"delivered p50, µs", false, func(r *Report) (float64, bool) { return latency(r.Delivered, func(s Summary) float64 { return s.P50 }) }},
	{"delivered p99, µs", false, func(r *Report) (float64, bool) { return latency(r.Delivered, func(s Summary) float64 { return s.P99 }) }},
	{"delivered p99.9, µs", false, func(r *Report) (float64, bool) {
		return latency(r.Delivered, func(s Summary) float64 { return s.P999 })
	}},
	{"accepted, % of due", true, func(r *Report) (float64, bool) { return share(r, r.Account.Accepted) }},
	{"delivered, % of due", true, func(r *Report) (float64, bool) { return share(r, r.Account.Delivered) }},
}

// latency returns a figure of the summary of all messages. It returns false if there is none.
func latency(list []Summary, of func(Summary) float64) (float64, bool) {
	for _, s := range list {
		if s.By == "all" {
			return of(s), true
		}
	}
	return 0, false
}

// share returns n as a percentage of the messages that were due.
func share(r *Report, n int) (float64, bool) {
	due := r.Account.Sent + int(r.Dropped)
	return 100 * float64(n) / float64(max(due, 1)), due > 0
}

// Compare compares the runs of one program with those of another. It returns an error if a run
// is not valid or the runs are of different scenarios.
func Compare(before, after []*Report) ([]Difference, error) {
	if len(before) == 0 || len(after) == 0 {
		return nil, errors.New("there must be at least one run on each side")
	}
	first := before[0]
	for _, r := range slices.Concat(before, after) {
		switch {
		case r.Format != first.Format || r.Format != 1:
			return nil, fmt.Errorf("a report of format %d; this program reads 1", r.Format)
		case !r.Valid:
			return nil, fmt.Errorf("a run that is not valid: %s", r.Reason)
		case r.Seed != first.Seed || r.Account.Sent+int(r.Dropped) != first.Account.Sent+int(first.Dropped):
			return nil, errors.New("runs of different scenarios")
		}
	}
	var out []Difference
	for _, f := range figures {
		a, okA := values(before, f.of)
		b, okB := values(after, f.of)
		if !okA || !okB {
			continue
		}
		d := Difference{Figure: f.name, Before: median(a), After: median(b), Noise: max(spread(a), spread(b))}
		switch change := d.After - d.Before; {
		case len(a) < 2 || len(b) < 2:
			d.Verdict = Unknown
		case math.Abs(change) <= d.Noise:
			d.Verdict = WithinNoise
		case change > 0 == f.higherIsBetter:
			d.Verdict = Better
		default:
			d.Verdict = Worse
		}
		out = append(out, d)
	}
	return out, nil
}

// values returns a figure of all reports in increasing order; false if a report lacks it.
func values(list []*Report, of func(*Report) (float64, bool)) (out []float64, ok bool) {
	for _, r := range list {
		v, ok := of(r)
		if !ok {
			return nil, false
		}
		out = append(out, v)
	}
	slices.Sort(out)
	return out, true
}

// median returns the median of sorted values.
func median(v []float64) float64 { return (v[(len(v)-1)/2] + v[len(v)/2]) / 2 }

// spread returns the difference of the largest and the smallest of sorted values.
func spread(v []float64) float64 { return v[len(v)-1] - v[0] }

// WriteTable writes the differences as a table for people.
func WriteTable(out io.Writer, list []Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tbefore\tafter\tnoise\tverdict")
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%s\n", d.Figure, d.Before, d.After, d.Noise, d.Verdict)
	}
	return w.Flush()
}
