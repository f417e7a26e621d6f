package capacity

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// tinySizes are sizes at which each bench, by its name, is as short as possible.
var tinySizes = map[string][]int{"held": {20}, "backlog": {20}, "out": {5}, "rate": {50}, "spread": {10},
	"ends": {50}, "partners": {50}, "senders": {2}, "view": {3},
	"facts-senders": {3}, "facts-number": {20}, "facts-memory": {1000}, "facts-catchup": {100}}

// Each bench must run with the current program at a tiny size, and give a value for each of its
// quantities.
func TestBenchesRun(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "cometrack")
	if text, err := exec.Command("go", "build", "-o", bin, "cometrack/cmd/cometrack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	type outcome struct {
		slopes []Slope
		err    error
	}
	benches := Benches()
	outcomes := make([]outcome, len(benches))
	var all sync.WaitGroup // concurrently: they mostly wait
	for i, b := range benches {
		sizes, ok := tinySizes[b.Name]
		if !ok {
			t.Fatalf("%s has no tiny size", b.Name)
		}
		b.Sizes = sizes
		all.Go(func() {
			outcomes[i].slopes, outcomes[i].err = b.measure(&Setup{Program: bin,
				ObservationTime: 100 * time.Millisecond, Minimal: true}, 1, slog.New(slog.DiscardHandler))
		})
	}
	all.Wait()
	names := map[string]bool{}
	for i, b := range benches {
		if err := outcomes[i].err; err != nil {
			t.Errorf("%s: %v", b.Name, err)
		}
		for _, s := range outcomes[i].slopes {
			if names[s.Name] {
				t.Errorf("two slopes have the name %s", s.Name)
			}
			names[s.Name] = true
			if len(s.Points) != 1 || len(s.Points[0].Values) != 1 {
				t.Errorf("%s: %v", s.Name, s.Points)
			}
			s.Command, s.Commit, s.Machine = "c", "c", "m"
			s.Points = nil
			for _, size := range b.Sizes { // as in a real measurement
				s.Points = append(s.Points, Point{float64(size), []float64{1}})
			}
			if err := s.check(); err != nil {
				t.Errorf("%s: %v", s.Name, err)
			}
		}
	}
}
