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

// Report is what a run has shown, for machines: its fields stay as they are.
// Latencies are in microseconds, from when messages were due.
type Report struct {
	Format  int     `json:"format"` // 1
	Valid   bool    `json:"valid"`
	Reason  string  `json:"reason,omitempty"` // why it is not
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	Account Account `json:"account"`
	Dropped int64   `json:"dropped"` // due, and not handed in: too many were unanswered
	Broken  int64   `json:"broken"`  // connections
	Faults  []Fault `json:"faults"`
	Found   int     `json:"faults_found"`
	// Lateness is the generator's own, from when messages were due until they were
	// written.
	Lateness Summary   `json:"lateness"`
	Accepted []Summary `json:"accepted"`  // from due to acceptance
	Ended    []Summary `json:"delivered"` // from due to delivery
	Windows  []Window  `json:"windows"`   // by the second in which messages were due
	Curves   []Curve   `json:"curves"`    // of all messages
}

// Curve is a histogram as points.
type Curve struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is the latency that so many percent do not pass.
type Point struct {
	Percent float64 `json:"percent"`
	Micros  float64 `json:"us"`
}

// curveOf has points at even steps of the nines: as many between 90 and 99 percent as
// between 99 and 99.9.
func curveOf(name string, h *Hist) Curve {
	c := Curve{Name: name}
	for i := 0; i <= 50; i++ {
		q := 100 * (1 - math.Pow(10, -float64(i)/10))
		c.Points = append(c.Points, Point{q, float64(h.At(q)) / float64(time.Microsecond)})
	}
	return c
}

// Summary is a histogram in short.
type Summary struct {
	By    string  `json:"by"` // all, phase, class, partner or tenant
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
	Over  int64   `json:"over,omitempty"` // longer than can be told
}

func summary(by, name string, h *Hist) Summary {
	us := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	return Summary{By: by, Name: name, Count: h.Count(), Mean: us(h.Mean()), P50: us(h.At(50)), P90: us(h.At(90)), P99: us(h.At(99)),
		P999: us(h.At(99.9)), Max: us(h.Max()), Over: h.Over}
}

var groups = []struct {
	name string
	by   Group
}{{"all", All}, {"phase", ByPhase}, {"class", ByClass}, {"partner", ByPartner}, {"tenant", ByTenant}}

// summaries are those of each group that tells anything apart.
func (s *Scenario) summaries(m map[Key]*Hist) (out []Summary) {
	for _, g := range groups {
		sums := Sum(m, g.by, func(i int) string { return s.Phases[i].Name })
		if g.by != All && len(sums) < 2 {
			continue
		}
		for _, name := range slices.SortedFunc(maps.Keys(sums), cmp.Compare[string]) {
			out = append(out, summary(g.name, name, sums[name]))
		}
	}
	return out
}

// Report puts together what a run has shown.
func (s *Scenario) Report(r *Recorder, took time.Duration) *Report {
	v := s.Judge(r)
	out := &Report{Format: 1, Valid: v.Valid, Reason: v.Reason, Seconds: took.Seconds(), Seed: s.Seed, Lateness: summary("all", "", r.Late),
		Accepted: s.summaries(r.Accepted), Ended: s.summaries(r.Ended), Windows: r.Windows}
	for name, m := range map[string]map[Key]*Hist{"accepted": r.Accepted, "delivered": r.Ended} {
		if h := Sum(m, All, nil)[""]; h != nil {
			out.Curves = append(out.Curves, curveOf(name, h))
		}
	}
	slices.SortFunc(out.Curves, func(a, b Curve) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Text writes the report for people.
func (r *Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !r.Valid {
		fmt.Fprintf(out, "NOT VALID: %s\n", r.Reason)
	}
	if r.Dropped > 0 {
		fmt.Fprintf(out, "THE SYSTEM FELL BEHIND: %d messages were due while too many were unanswered, and were not handed in\n", r.Dropped)
	}
	a := r.Account
	fmt.Fprintf(out, "%.1f s: %d handed in, %d accepted, %d refused, %d without an answer; %d delivered, %d returned, %d failed, %d without an end\n",
		r.Seconds, a.Sent, a.Accepted, a.Refused, a.Unknown, a.Delivered, a.Returned, a.Failed, a.Open)
	fmt.Fprintln(out, "latencies in ms, from when messages were due")
	fmt.Fprintln(w, "\t\tcount\tmean\tp50\tp90\tp99\tp99.9\tlongest\t")
	line := func(what string, s Summary) {
		fmt.Fprintf(w, "%s\t%s %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", what, s.By, s.Name, s.Count, s.Mean/1e3, s.P50/1e3, s.P90/1e3, s.P99/1e3, s.P999/1e3, s.Max/1e3)
	}
	for _, s := range r.Accepted {
		line("accepted", s)
	}
	for _, s := range r.Ended {
		line("delivered", s)
	}
	line("generator", r.Lateness)
	if err := w.Flush(); err != nil {
		return err
	}
	if i := worst(r.Windows); i >= 0 {
		x := r.Windows[i]
		fmt.Fprintf(out, "worst second: %d, %d due, %d accepted, %d refused, at most %d unanswered, longest wait %v\n",
			i, x.Due, x.Accepted, x.Refused, x.InFlight, x.Worst.Round(10*time.Microsecond))
	}
	for _, f := range r.Faults {
		fmt.Fprintf(out, "FAULT: message %d: %s\n", f.N, f.What)
	}
	if more := r.Found - len(r.Faults); more > 0 {
		fmt.Fprintf(out, "and %d faults more\n", more)
	}
	return nil
}

func worst(list []Window) int {
	out := -1
	for i, x := range list {
		if out < 0 || x.Worst > list[out].Worst {
			out = i
		}
	}
	return out
}
