package hollow

import (
	"fmt"
	"io"
	"strings"
)

// Heads of the tables with the rows of [Result.Row] and [Result.FaultRows].
const (
	RowHead = "| senders, way | met after (processor time each) | KB/s out, in (facts) | datagrams/s out, in | of a core | MB each (live heap) | calm: lowest sum, s under 0.9 | kernel dropped | verdict |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
	FaultHead = "| senders, way | fault (hit) | lasted | sums at its end: left alone, hit | lowest, highest sum | s under 0.9 (not again after) | whole again after, s under 0.9 | KB sent and taken at the return: each hit, each other | busiest KB/s |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)

// seconds formats a time in seconds; a negative one stands for an event that did not occur.
func seconds(v float64) string {
	if v < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", v)
}

// Row returns the results without faults as a row of a Markdown table.
func (r *Result) Row() string {
	core, memory, dropped := fmt.Sprintf("%.2f%%", 100*r.Rates.Core), "-", "-"
	if r.Way == "hollow" {
		memory = fmt.Sprintf("%.2f (%.2f)", r.Rates.Memory/(1<<20), r.Rates.Heap/(1<<20))
		dropped = fmt.Sprint(r.Kernel.Dropped)
	}
	verdict := strings.Join(r.Violations(), "; ")
	if verdict == "" {
		verdict = "nothing to object to"
	}
	return fmt.Sprintf("| %d, %s | %s (%.0f ms) | %.1f, %.1f (%.1f) | %.0f, %.0f | %s | %s | %.3f, %.1f | %s | %s |", r.Senders, r.Way, seconds(r.ConvergenceTime), 1000*r.ConvergenceCPU, r.Rates.BytesOut/1000,
		r.Rates.BytesIn/1000, r.Rates.FactsBytesOut/1000, r.Rates.DatagramsOut, r.Rates.DatagramsIn, core, memory,
		r.LowestSum, r.UnderFloor, dropped, verdict)
}

// FaultRows returns the results of the faults as rows of a Markdown table.
func (r *Result) FaultRows() (out []string) {
	for _, f := range r.Faults {
		out = append(out, fmt.Sprintf("| %d, %s | %s (%d) | %.1f s | %.3f, %.3f | %.3f, %.3f | %.1f (%s) | %s, %.1f | %.0f, %.0f | %.1f |", r.Senders, r.Way, f.Fault, f.Hit,
			f.Duration, f.SumsAtEnd[0], f.SumsAtEnd[1], f.LowestSum, f.HighestSum, f.UnderFloor,
			seconds(f.RecoveredAfter), seconds(f.ConvergenceTime), f.UnderFloorAfter, f.ReturnBytesHit/1000,
			f.ReturnBytesOther/1000,
			f.PeakRate/1000))
	}
	return out
}

// WriteTimeline writes the timeline as text with a head and a line for each second.
func (r *Result) WriteTimeline(w io.Writer) {
	fmt.Fprintln(w, "    s  running  sum lowest, highest   left alone, hit    KB sent by each")
	for _, x := range r.Timeline {
		fmt.Fprintf(w, "%5.0f  %7d       %.3f, %.3f          %.3f, %.3f  %12.1f   %s\n", x.At, x.Running,
			x.LowestSum, x.HighestSum, x.Sums[0], x.Sums[1],
			float64(x.BytesSent)/float64(r.Senders)/1000, strings.Join(x.Events, "; "))
	}
}
