package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Ways of measuring, from the most to the least complete part of the real system.
const (
	Processes = "processes"  // the program itself
	Hollow    = "hollow"     // the packages that decide, over real sockets, many senders to a process
	Virtual   = "virtual"    // the packages that decide, in virtual time
	InProcess = "in process" // one package, called by the measuring process
)

// Slope is one quantity, measured over sizes.
type Slope struct {
	Name     string `json:"name"`     // also of its file: lower-case letters, digits and hyphens
	Measures string `json:"measures"` // what the values describe
	Way      string `json:"way"`      // [Processes], [Hollow], [Virtual] or [InProcess]
	Command  string `json:"command"`  // command that measured it
	Commit   string `json:"commit"`   // of the program, short; with "+" if the tree was modified
	Machine  string `json:"machine"`  // cores, processor, kernel, Go
	SizeOf   string `json:"size_of"`  // what the size counts
	Unit     string `json:"unit"`     // of the values, the base and the bound

	// Base is the median of the values measured at size 0. It is subtracted before the fit
	// and added to its result. 0 if size 0 is meaningless.
	Base float64 `json:"base"`
	// Points are in order of size. The last one is omitted from the fit and predicted by it.
	Points []Point `json:"points"`

	Target float64 `json:"target"`         // size that must be supported
	Bound  float64 `json:"bound"`          // maximum permitted value; 0 for none
	Source string  `json:"from"`           // origin of the target and the bound
	Note   string  `json:"note,omitempty"` // what a reader of the file should know besides
}

// Point is a size with the values measured there, one for each repeat.
type Point struct {
	Size   float64   `json:"size"`   // counts what Slope.SizeOf says
	Values []float64 `json:"values"` // in Slope.Unit
}

// Median returns the middle value of the repeats, or the mean of the two middle ones.
func (p Point) Median() float64 { return median(p.Values) }

// median returns the middle value, or the mean of the two middle ones; 0 for no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(values))
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// check returns an error that joins one for each invalid field: a missing text, an unknown way, no target,
// fewer than four sizes, or sizes that are less than about a factor of two apart.
func (s Slope) check() error {
	var wrong []error
	for name, text := range map[string]string{"name": s.Name, "measures": s.Measures, "command": s.Command, "commit": s.Commit,
		"machine": s.Machine, "size_of": s.SizeOf, "unit": s.Unit, "from": s.Source} {
		if text == "" || strings.ContainsAny(text, "|\n") {
			wrong = append(wrong, fmt.Errorf("%s: %q is empty or contains | or a line break", name, text))
		}
	}
	if !slices.Contains([]string{Processes, Hollow, Virtual, InProcess}, s.Way) {
		wrong = append(wrong, fmt.Errorf("way: %q is unknown", s.Way))
	}
	if strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		wrong = append(wrong, fmt.Errorf("name: %q is not a valid file name", s.Name))
	}
	if len(s.Points) < 4 {
		wrong = append(wrong, fmt.Errorf("%d sizes; at least four are required", len(s.Points)))
	}
	for i, p := range s.Points {
		switch {
		case p.Size <= 0 || len(p.Values) == 0:
			wrong = append(wrong, fmt.Errorf("size %v has %d values", p.Size, len(p.Values)))
		case i > 0 && p.Size < 1.9*s.Points[i-1].Size:
			wrong = append(wrong, fmt.Errorf("sizes %v and %v are less than a factor of two apart",
				s.Points[i-1].Size, p.Size))
		}
	}
	if s.Target <= 0 || s.Bound < 0 {
		wrong = append(wrong, fmt.Errorf("target %v, bound %v", s.Target, s.Bound))
	}
	return errors.Join(wrong...)
}

// Write writes a slope to a folder, as NAME.COMMIT.json, and replaces an earlier one of that name
// and commit.
func (s Slope) Write(dir string) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	text, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, s.Name+"."+s.Commit+".json"), append(text, '\n'), 0o644)
}

// ReadSlopes reads all slopes of a folder, in order of their file names.
func ReadSlopes(dir string) ([]Slope, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.SortFunc(names, cmp.Compare)
	var out []Slope
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var s Slope
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if err := s.check(); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if filepath.Base(name) != s.Name+"."+s.Commit+".json" {
			return nil, fmt.Errorf("%s holds the slope %s of commit %s", name, s.Name, s.Commit)
		}
		out = append(out, s)
	}
	return out, nil
}
