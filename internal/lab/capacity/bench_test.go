package capacity

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// tiny are sizes at which each bench takes as little time as it can.
var tiny = map[string][]int{"held": {20}, "backlog": {20}, "out": {5}, "rate": {50}, "spread": {10}, "ends": {50}, "partners": {50}, "senders": {2}, "view": {3},
	"facts-senders": {3}, "facts-number": {20}, "facts-memory": {1000}, "facts-catchup": {100}}

// Each measurement still runs with the program as it is, at a tiny size, and gives a
// value for each of its quantities.
func TestBenchesRun(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "cometrack")
	if text, err := exec.Command("go", "build", "-o", bin, "cometrack/cmd/cometrack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	names := map[string]bool{}
	for _, b := range Benches() {
		sizes, ok := tiny[b.Name]
		if !ok {
			t.Errorf("%s has no tiny size", b.Name)
			continue
		}
		for _, q := range b.Quantities {
			if names[q.Name] {
				t.Errorf("two slopes are called %s", q.Name)
			}
			names[q.Name] = true
		}
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			whole := b
			b.Sizes = sizes
			list, err := b.measure(&Rig{Bin: bin, Span: 100 * time.Millisecond, Least: true}, 1, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range list {
				if len(s.Points) != 1 || len(s.Points[0].Values) != 1 {
					t.Errorf("%s: %v", s.Name, s.Points)
				}
				s.Command, s.Commit, s.Machine = "c", "c", "m"
				s.Points = nil
				for _, size := range whole.Sizes { // as it would be measured
					s.Points = append(s.Points, Point{float64(size), []float64{1}})
				}
				if err := s.check(); err != nil {
					t.Errorf("%s: %v", s.Name, err)
				}
			}
		})
	}
}
