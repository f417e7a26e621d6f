package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Tables returns the tables of docs/CAPACITY.md in Markdown by the name of their marker: "shares" and
// "slopes".
func Tables(list []Slope) map[string]string {
	return map[string]string{"shares": sharesTable(list), "slopes": slopesTable(list)}
}

// FillTables inserts tables into a page: it replaces the text between the lines "<!-- capacity:NAME
// -->" and "<!-- /capacity:NAME -->". A page without exactly one such pair for a table is an error.
func FillTables(page string, tables map[string]string) (string, error) {
	for name, table := range tables {
		open, end := "<!-- capacity:"+name+" -->\n", "<!-- /capacity:"+name+" -->"
		before, rest, ok := strings.Cut(page, open)
		_, after, ended := strings.Cut(rest, end)
		if !ok || !ended || strings.Contains(after, open) {
			return "", fmt.Errorf("the page does not have the marker %q once, with its end", strings.TrimSpace(open))
		}
		page = before + open + table + end + after
	}
	return page, nil
}

// sharesTable returns the table of the slopes, sorted by the share of the target at which the bound
// is reached; slopes without a bound come last.
func sharesTable(list []Slope) string {
	key := func(s Slope) float64 {
		share, _ := s.ShareAtBound()
		if s.Bound == 0 || math.IsNaN(share) {
			return math.Inf(1)
		}
		return share
	}
	list = slices.SortedStableFunc(slices.Values(list), func(a, b Slope) int {
		return cmp.Or(cmp.Compare(key(a), key(b)), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Commit, b.Commit))
	})
	var b strings.Builder
	b.WriteString("| share of the target | slope, commit | the bound is met at | target | value at target | bound |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range list {
		at, by := s.ValueAt(s.Target)
		if s.Target <= s.Points[len(s.Points)-1].Size {
			at, by = s.interpolate(s.Target), Interpolated
		}
		value := formatNumber(at) + " " + s.Unit + " (" + by + ")"
		if math.IsNaN(at) {
			value = "not said"
		}
		share, met, bound := "-", "-", "none"
		if s.Bound > 0 {
			size, how := s.SizeAtBound()
			bound = formatNumber(s.Bound) + " " + s.Unit
			switch {
			case math.IsNaN(size):
				share, met = "not said", "not said"
			case math.IsInf(size, 1):
				share, met = "not met", "it does not grow ("+how+")"
			default:
				share, met = formatShare(size/s.Target), formatNumber(size)+" ("+how+")"
				if size/s.Target >= 1000 {
					met = "far beyond (" + how + ")"
				}
			}
		}
		fmt.Fprintf(&b, "| %s | `%s` %s | %s | %s %s | %s | %s |\n", share, s.Name, s.Commit, met,
			formatNumber(s.Target), s.SizeOf, value, bound)
	}
	return b.String()
}

// interpolate returns the value at a size among the measured ones, on a line between its neighbors
// over the logarithm of the size; below the smallest size, the value there. It is NaN above the largest.
func (s Slope) interpolate(size float64) float64 {
	for i, p := range s.Points {
		if p.Size < size {
			continue
		}
		if i == 0 || p.Size == size {
			return p.Median()
		}
		before := s.Points[i-1]
		part := math.Log(size/before.Size) / math.Log(p.Size/before.Size)
		return before.Median() + part*(p.Median()-before.Median())
	}
	return math.NaN()
}

// slopesTable returns the table of the measured values and their fits, by name.
func slopesTable(list []Slope) string {
	list = slices.SortedStableFunc(slices.Values(list), func(a, b Slope) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Commit, b.Commit))
	})
	var b strings.Builder
	b.WriteString("| slope, commit | measures, by size | way, repeats, `bin/measure` with | sizes | medians | grows as | left out: said, measured, error |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range list {
		f := s.Fit()
		var sizes, medians []string
		for _, p := range s.Points {
			sizes, medians = append(sizes, formatNumber(p.Size)), append(medians, formatNumber(p.Median()))
		}
		power := fmt.Sprintf("size^%.2f ± %.2f", f.Power, f.StdErr)
		if !f.IsPowerLaw {
			var steps []string
			for _, x := range f.StepPowers {
				if math.IsNaN(x) {
					steps = append(steps, "?")
				} else {
					steps = append(steps, fmt.Sprintf("%.2f", x))
				}
			}
			power = "no power; by steps " + strings.Join(steps, ", ")
		}
		if s.Base != 0 {
			power += ", above " + formatNumber(s.Base)
		}
		left := "-"
		if !math.IsNaN(f.Predicted) {
			left = fmt.Sprintf("%s, %s, %+.0f%%", formatNumber(f.Predicted), formatNumber(f.Measured), 100*f.Error)
		}
		repeats := len(s.Points[0].Values)
		how := strings.TrimPrefix(s.Command, "measure ")
		fmt.Fprintf(&b, "| `%s` %s | %s, by %s | %s, %d each, `%s` | %s | %s %s | %s | %s |\n", s.Name, s.Commit, s.Measures, s.SizeOf, s.Way, repeats, how,
			strings.Join(sizes, ", "), strings.Join(medians, ", "), s.Unit, power, left)
	}
	return b.String()
}

// formatNumber formats a number with three significant digits and commas.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1e12:
		return fmt.Sprintf("%.2e", v)
	case a >= 100:
		digits := strconv.FormatFloat(math.Round(a), 'f', 0, 64)
		for i := len(digits) - 3; i > 0; i -= 3 {
			digits = digits[:i] + "," + digits[i:]
		}
		if v < 0 {
			return "-" + digits
		}
		return digits
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// formatShare formats a share as a percentage, or as a factor from ten times the target on.
func formatShare(share float64) string {
	switch p := 100 * share; {
	case share >= 1000:
		return "over 1,000 times"
	case share >= 10:
		return formatNumber(share) + " times"
	case p >= 10:
		return fmt.Sprintf("%.0f%%", p)
	default:
		return strconv.FormatFloat(p, 'g', 2, 64) + "%"
	}
}
