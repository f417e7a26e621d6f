package capacity

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Setup holds the settings that all measurements share.
type Setup struct {
	Program         string        // path of the program
	ObservationTime time.Duration // of one observation; a measurement may take a multiple or a part of it
	Minimal         bool          // shortens the measurement, to test that it works; the values mean nothing
}

// Quantity is a slope before it is measured: its name, what it measures, its unit, target, bound and
// source are set.
type Quantity struct {
	Slope
	SubtractBase bool    // size 0 is measured and subtracted as the base
	BaseMultiple float64 // if not 0, the bound is this multiple of the base
}

// Bench measures some quantities together at several sizes.
type Bench struct {
	Name       string     // as given to --only
	Way        string     // Slope.Way of its slopes
	SizeOf     string     // Slope.SizeOf of its slopes: what a size counts
	Sizes      []int      // in ascending order, each about twice the one before
	Quantities []Quantity // a slope each
	// Run returns a value for each quantity at a size, in order. It is also called with size 0
	// if SubtractBase is set for one of them.
	Run func(r *Setup, size int) ([]float64, error)
}

// Benches returns all benches.
func Benches() []Bench {
	return []Bench{heldBench(), backlogBench(), outageBench(), rateBench(), spreadBench(), endsBench(),
		partnersBench(), sendersBench(), viewBench(), factsBySendersBench(), factsByNumberBench(),
		factsMemoryBench(), factsCatchUpBench()}
}

// measure runs a bench over its sizes, all sizes once per repeat, and returns a slope for each quantity,
// without command, commit and machine.
func (b Bench) measure(r *Setup, repeats int, log *slog.Logger) ([]Slope, error) {
	sizes := slices.Clone(b.Sizes)
	if slices.ContainsFunc(b.Quantities, func(q Quantity) bool { return q.SubtractBase }) {
		sizes = append([]int{0}, sizes...)
	}
	values := make([][][]float64, len(b.Quantities)) // by quantity, size, repeat
	for i := range values {
		values[i] = make([][]float64, len(sizes))
	}
	if b.Way == Virtual {
		repeats = 1 // the same seed gives the same values
	}
	for turn := range repeats {
		for k, size := range sizes {
			from := time.Now()
			list, err := b.Run(r, size)
			if err != nil {
				return nil, fmt.Errorf("%s at %d: %w", b.Name, size, err)
			}
			if len(list) != len(b.Quantities) {
				return nil, fmt.Errorf("%s at %d: %d values for %d quantities", b.Name, size, len(list), len(b.Quantities))
			}
			for i, v := range list {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					return nil, fmt.Errorf("%s at %d: %s is %v", b.Name, size, b.Quantities[i].Name, v)
				}
				values[i][k] = append(values[i][k], rounded(v))
			}
			log.Info("measured", "bench", b.Name, "turn", turn+1, "size", size, "values", list, "took", time.Since(from).Round(time.Millisecond))
		}
	}
	var slopes []Slope
	for i, q := range b.Quantities {
		s := q.Slope
		s.Way, s.SizeOf = b.Way, b.SizeOf
		for k, size := range sizes {
			if size > 0 {
				s.Points = append(s.Points, Point{float64(size), values[i][k]})
			} else if q.SubtractBase {
				s.Base = median(values[i][k])
			}
		}
		if q.BaseMultiple > 0 {
			s.Bound = rounded(q.BaseMultiple * s.Base)
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// rounded rounds to four significant digits, which is more than any measurement here resolves.
func rounded(v float64) float64 {
	var out float64
	fmt.Sscan(fmt.Sprintf("%.4g", v), &out)
	return out
}

// machineName describes this machine for Slope.Machine.
func machineName() string {
	name := "unknown processor"
	text, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(key) == "model name" {
			name = strings.TrimSpace(value)
			break
		}
	}
	release, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	return fmt.Sprintf("%d cores of %s, Linux %s, %s", runtime.NumCPU(), name, strings.TrimSpace(string(release)), runtime.Version())
}

// treeCommit returns the short commit of the tree, with "+" if tracked files have changed; empty
// without a repository.
func treeCommit() string {
	text, err := exec.Command("git", "rev-parse", "--short=7", "HEAD").Output()
	if err != nil {
		return ""
	}
	name := strings.TrimSpace(string(text))
	if changed, err := exec.Command("git", "status", "--porcelain", "-uno").Output(); err != nil || len(changed) > 0 {
		name += "+"
	}
	return name
}

// quantile returns the q-quantile of the values, for q from 0 to 1. There must be a value.
func quantile(list []float64, q float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
