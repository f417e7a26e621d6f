package logic

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleLimits keeps each production file of the package short and narrow enough to read.
func TestModuleLimits(t *testing.T) {
	const (
		mostLines = 500
		widest    = 110
	)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > mostLines {
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), mostLines)
		}
		for i, line := range lines {
			if n := utf8.RuneCountInString(line); n > widest {
				t.Errorf("%s:%d has %d characters, want at most %d", name, i+1, n, widest)
			}
		}
	}
}
