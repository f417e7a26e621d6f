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

// Rig is what measurements run with.
type Rig struct {
	Bin   string        // the program
	Span  time.Duration // of what is watched for a while
	Least bool          // as short as it can be, to see that it works
}

// Quantity is a slope before it is measured.
type Quantity struct {
	Slope
	Above bool    // size 0 is measured and taken off as the base
	Times float64 // the bound is so many times the base; 0 for Bound as it is
}

// Bench measures some quantities at once at a size.
type Bench struct {
	Name       string
	Way        string
	SizeOf     string
	Sizes      []int
	Quantities []Quantity
	// Run returns a value for each quantity, at size 0 too if one of them is Above.
	Run func(r *Rig, size int) ([]float64, error)
}

// Benches are all of them, in order of what the issue asks.
func Benches() []Bench {
	return []Bench{held(), backlog(), out(), rate(), spread(), ends(), partners(), senders(), viewPlay(), factsBySenders(), factsByNumber(), factsMemory(), factsCatchUp()}
}

// measure runs a bench over its sizes, all of them once in each turn.
func (b Bench) measure(r *Rig, repeats int, log *slog.Logger) ([]Slope, error) {
	sizes := slices.Clone(b.Sizes)
	if slices.ContainsFunc(b.Quantities, func(q Quantity) bool { return q.Above }) {
		sizes = append([]int{0}, sizes...)
	}
	values := make([][][]float64, len(b.Quantities)) // by quantity, size, repeat
	for i := range values {
		values[i] = make([][]float64, len(sizes))
	}
	if b.Way == Virtual {
		repeats = 1 // the same seed gives the same figures
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
			} else if q.Above {
				s.Base = median(values[i][k])
			}
		}
		if q.Times > 0 {
			s.Bound = rounded(q.Times * s.Base)
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// rounded keeps four digits: no measurement here has more.
func rounded(v float64) float64 {
	var out float64
	fmt.Sscan(fmt.Sprintf("%.4g", v), &out)
	return out
}

// machine is what a measurement ran on.
func machine() string {
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

// commit is the tree's, with "+" if files that are known to it have changed.
func commit() string {
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

// quantile of values.
func quantile(list []float64, q float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
