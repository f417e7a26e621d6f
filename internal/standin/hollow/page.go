package hollow

import (
	"fmt"
	"io"
	"strings"
)

// Heads of the tables that [Result.Row] and [Result.FaultRows] fill.
const (
	RowHead = "| senders, way | met after (processor time each) | KB/s out, in (facts) | datagrams/s out, in | of a core | MB each (live heap) | calm: lowest sum, s under 0.9 | kernel dropped | verdict |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
	FaultHead = "| senders, way | fault (hit) | lasted | sums at its end: left alone, hit | lowest, highest sum | s under 0.9 (not again after) | whole again after, s under 0.9 | KB sent and taken at the return: each hit, each other | busiest KB/s |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)

func seconds(v float64) string {
	if v < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", v)
}

// Row is the calm figures as a row of a table in Markdown.
func (r *Result) Row() string {
	core, memory, dropped := fmt.Sprintf("%.2f%%", 100*r.Rates.Core), "-", "-"
	if r.Way == "hollow" {
		memory = fmt.Sprintf("%.2f (%.2f)", r.Rates.Memory/(1<<20), r.Rates.Heap/(1<<20))
		dropped = fmt.Sprint(r.Kernel.Dropped)
	}
	verdict := strings.Join(r.Verdict(), "; ")
	if verdict == "" {
		verdict = "nothing to object to"
	}
	return fmt.Sprintf("| %d, %s | %s (%.0f ms) | %.1f, %.1f (%.1f) | %.0f, %.0f | %s | %s | %.3f, %.1f | %s | %s |", r.Senders, r.Way, seconds(r.Met), 1000*r.MetCPU, r.Rates.BytesOut/1000,
		r.Rates.BytesIn/1000, r.Rates.Lore/1000, r.Rates.Out, r.Rates.In, core, memory, r.Lowest, r.Under, dropped, verdict)
}

// FaultRows are the faults as rows.
func (r *Result) FaultRows() (out []string) {
	for _, f := range r.Faults {
		out = append(out, fmt.Sprintf("| %d, %s | %s (%d) | %.1f s | %.3f, %.3f | %.3f, %.3f | %.1f (%s) | %s, %.1f | %.0f, %.0f | %.1f |", r.Senders, r.Way, f.Fault, f.Hit,
			f.Lasted, f.Sides[0], f.Sides[1], f.Lowest, f.Highest, f.Under, seconds(f.Again), seconds(f.Whole), f.UnderAfter, f.ReturnHit/1000, f.ReturnOther/1000,
			f.Busiest/1000))
	}
	return out
}

// WriteTimeline writes a line for each second.
func (r *Result) WriteTimeline(w io.Writer) {
	fmt.Fprintln(w, "    s  running  sum lowest, highest   left alone, hit    KB sent by each")
	for _, x := range r.Timeline {
		fmt.Fprintf(w, "%5.0f  %7d       %.3f, %.3f          %.3f, %.3f  %12.1f   %s\n", x.At, x.Running, x.Lowest, x.Highest, x.Sides[0], x.Sides[1],
			float64(x.Bytes)/float64(r.Senders)/1000, strings.Join(x.Did, "; "))
	}
}
