package core

import (
	"bytes"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The core imports no fronts, transports, sources or sinks, and its files stay short.
func TestStructure(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) < 8 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if n := bytes.Count(text, []byte("\n")); n > 500 && !strings.HasSuffix(name, "_test.go") {
			t.Errorf("%s has %d lines", name, n)
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, text, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range f.Imports {
			for _, part := range []string{"/front", "/transport", "/source", "/sink", "/daemon", "/config"} {
				if strings.Contains(imp.Path.Value, "cometrack/internal"+part) {
					t.Errorf("%s imports %s", name, imp.Path.Value)
				}
			}
		}
	}
}
