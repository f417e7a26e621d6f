package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the machine-readable result of a run. Other programs read it: the names of its
// fields in JSON must not change. Latencies are in microseconds from when messages were due.
type Report struct {
	Format            int     `json:"format"` // 1
	Valid             bool    `json:"valid"`
	Reason            string  `json:"reason,omitempty"` // why it is not valid
	Seconds           float64 `json:"seconds"`
	Seed              uint64  `json:"seed"`
	Account           Account `json:"account"`
	Dropped           int64   `json:"dropped"` // due and not submitted: too many were unanswered
	BrokenConnections int64   `json:"broken"`  // number of connections that broke
	Faults            []Fault `json:"faults"`
	FaultCount        int     `json:"faults_found"`
	// Lateness is that of the load generator: from when messages were due until they were
	// written.
	Lateness  Summary   `json:"lateness"`
	Accepted  []Summary `json:"accepted"`  // from due to acceptance
	Delivered []Summary `json:"delivered"` // from due to delivery
	Windows   []Window  `json:"windows"`   // by the second in which messages were due
	Curves    []Curve   `json:"curves"`    // histograms of all messages
}

// Curve is a histogram as points.
type Curve struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is the latency that a percentage of all messages does not exceed.
type Point struct {
	Percent float64 `json:"percent"`
	Micros  float64 `json:"us"`
}

// curveOf returns the points of a histogram at equal steps of the logarithm of the remaining
// part: as many between 90 and 99 percent as between 99 and 99.9.
func curveOf(name string, h *Histogram) Curve {
	c := Curve{Name: name}
	for i := 0; i <= 50; i++ {
		q := 100 * (1 - math.Pow(10, -float64(i)/10))
		c.Points = append(c.Points, Point{q, float64(h.Percentile(q)) / float64(time.Microsecond)})
	}
	return c
}

// Summary has the main figures of a histogram.
type Summary struct {
	By         string  `json:"by"` // all, phase, class, partner or tenant
	Name       string  `json:"name"`
	Count      int64   `json:"count"`
	Mean       float64 `json:"mean"`
	P50        float64 `json:"p50"`
	P90        float64 `json:"p90"`
	P99        float64 `json:"p99"`
	P999       float64 `json:"p999"`
	Max        float64 `json:"max"`
	OutOfRange int64   `json:"over,omitempty"` // number of latencies over the maximum of the histogram
}

// summary returns the figures of a histogram.
func summary(by, name string, h *Histogram) Summary {
	us := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	return Summary{By: by, Name: name, Count: h.Count(), Mean: us(h.Mean()),
		P50: us(h.Percentile(50)), P90: us(h.Percentile(90)), P99: us(h.Percentile(99)),
		P999: us(h.Percentile(99.9)), Max: us(h.Max()), OutOfRange: h.OutOfRange}
}

// groups has the name of each group in reports.
var groups = []struct {
	name string
	by   Group
}{{"all", All}, {"phase", ByPhase}, {"class", ByClass}, {"partner", ByPartner}, {"tenant", ByTenant}}

// summaries returns the figures by each group that has more than one member.
func (s *Scenario) summaries(m map[Key]*Histogram) (out []Summary) {
	for _, g := range groups {
		sums := MergeByGroup(m, g.by, func(i int) string { return s.Phases[i].Name })
		if g.by != All && len(sums) < 2 {
			continue
		}
		for _, name := range slices.SortedFunc(maps.Keys(sums), cmp.Compare[string]) {
			out = append(out, summary(g.name, name, sums[name]))
		}
	}
	return out
}

// Report returns the result of a run. The caller adds the account and the faults.
func (s *Scenario) Report(r *Recorder, elapsed time.Duration) *Report {
	v := s.CheckLateness(r)
	out := &Report{Format: 1, Valid: v.Valid, Reason: v.Reason, Seconds: elapsed.Seconds(), Seed: s.Seed,
		Lateness: summary("all", "", r.Lateness),
		Accepted: s.summaries(r.Accepted), Delivered: s.summaries(r.Delivered), Windows: r.Windows}
	for name, m := range map[string]map[Key]*Histogram{"accepted": r.Accepted, "delivered": r.Delivered} {
		if h := MergeByGroup(m, All, nil)[""]; h != nil {
			out.Curves = append(out.Curves, curveOf(name, h))
		}
	}
	slices.SortFunc(out.Curves, func(a, b Curve) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// WriteText writes the report as text for people.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !r.Valid {
		fmt.Fprintf(out, "NOT VALID: %s\n", r.Reason)
	}
	if r.Dropped > 0 {
		fmt.Fprintf(out,
			"THE SYSTEM FELL BEHIND: %d messages were due while too many were unanswered, and were not handed in\n", r.Dropped)
	}
	a := r.Account
	fmt.Fprintf(out, "%.1f s: %d handed in, %d accepted, %d refused, %d without an answer; %d delivered, %d returned, %d failed, %d without an end\n",
		r.Seconds, a.Sent, a.Accepted, a.Refused, a.Unknown, a.Delivered, a.Returned, a.Failed, a.Open)
	fmt.Fprintln(out, "latencies in ms, from when messages were due")
	fmt.Fprintln(w, "\t\tcount\tmean\tp50\tp90\tp99\tp99.9\tlongest\t")
	line := func(what string, s Summary) {
		fmt.Fprintf(w, "%s\t%s %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			what, s.By, s.Name, s.Count, s.Mean/1e3, s.P50/1e3, s.P90/1e3, s.P99/1e3, s.P999/1e3, s.Max/1e3)
	}
	for _, s := range r.Accepted {
		line("accepted", s)
	}
	for _, s := range r.Delivered {
		line("delivered", s)
	}
	line("generator", r.Lateness)
	if err := w.Flush(); err != nil {
		return err
	}
	if i := worstWindow(r.Windows); i >= 0 {
		x := r.Windows[i]
		fmt.Fprintf(out, "worst second: %d, %d due, %d accepted, %d refused, at most %d unanswered, longest wait %v\n",
			i, x.Due, x.Accepted, x.Refused, x.InFlight, x.Worst.Round(10*time.Microsecond))
	}
	for _, f := range r.Faults {
		fmt.Fprintf(out, "FAULT: message %d: %s\n", f.N, f.What)
	}
	if more := r.FaultCount - len(r.Faults); more > 0 {
		fmt.Fprintf(out, "and %d faults more\n", more)
	}
	return nil
}

// worstWindow returns the number of the window with the longest latency of acceptance; -1 if
// there is none.
func worstWindow(list []Window) int {
	out := -1
	for i, x := range list {
		if out < 0 || x.Worst > list[out].Worst {
			out = i
		}
	}
	return out
}
