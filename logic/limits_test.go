package logic

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleLimits keeps the module as short and narrow as its readers were promised.
func TestModuleLimits(t *testing.T) {
	policy := 0 // filled lines of the files that deploy/balancer.toml names as policy
	for i, name := range []string{"logic.go", "gate.go", "outcomes.go", "memory.go", "types.go", "state.go", "settings.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		filled := 0
		for at, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				filled++
			}
			if n := utf8.RuneCountInString(line); n > 110 {
				t.Errorf("%s:%d has %d characters, want at most 110", name, at+1, n)
			}
		}
		if i < 4 {
			policy += filled
		}
	}
	if policy > 1200 {
		t.Errorf("the decisions have %d filled lines, want at most 1200", policy)
	}
	text, _ := os.ReadFile("logic.go")
	top, _, _ := strings.Cut(string(text), "import")
	if !strings.Contains(top, "logic/types.go") {
		t.Error("the top of logic.go does not name logic/types.go")
	}
}
