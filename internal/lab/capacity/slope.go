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

// Ways of measuring, in order of how much of the real thing they run.
const (
	Processes = "processes"  // the program itself
	Hollow    = "hollow"     // the deciding packages over real sockets, many to a process
	Virtual   = "virtual"    // the deciding packages in virtual time
	InProcess = "in process" // one package, called by the measuring process
)

// Slope is one quantity, measured over sizes.
type Slope struct {
	Name     string `json:"name"`     // of its file too: small letters, digits and hyphens
	Measures string `json:"measures"` // what the values are of
	Way      string `json:"way"`      // [Processes], [Hollow], [Virtual] or [InProcess]
	Command  string `json:"command"`  // that measured it
	Commit   string `json:"commit"`   // of the program, short; with "+" if the tree was changed
	Machine  string `json:"machine"`  // cores, processor, kernel, Go
	SizeOf   string `json:"size_of"`  // what a size counts
	Unit     string `json:"unit"`     // of values, base and bound

	// Base is the value at size 0, the median of what was measured there. It is taken
	// off before the fit and added to what the fit says. 0 if size 0 means nothing.
	Base float64 `json:"base"`
	// Points are in order of size. The last one is left out of the fit and predicted.
	Points []Point `json:"points"`

	Target float64 `json:"target"` // size that has to be carried
	Bound  float64 `json:"bound"`  // the most that the value may be; 0 for none
	From   string  `json:"from"`   // where target and bound come from
	Note   string  `json:"note,omitempty"`
}

// Point is a size with what was measured there, a value for each repeat.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median is the middle value, or the mean of both middle ones.
func (p Point) Median() float64 { return median(p.Values) }

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(values))
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// check says what a slope lacks.
func (s Slope) check() error {
	var wrong []error
	for name, text := range map[string]string{"name": s.Name, "measures": s.Measures, "command": s.Command, "commit": s.Commit,
		"machine": s.Machine, "size_of": s.SizeOf, "unit": s.Unit, "from": s.From} {
		if text == "" || strings.ContainsAny(text, "|\n") {
			wrong = append(wrong, fmt.Errorf("%s: %q is empty or cannot stand in a table", name, text))
		}
	}
	if !slices.Contains([]string{Processes, Hollow, Virtual, InProcess}, s.Way) {
		wrong = append(wrong, fmt.Errorf("way: %q is none", s.Way))
	}
	if strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		wrong = append(wrong, fmt.Errorf("name: %q is no name of a file", s.Name))
	}
	if len(s.Points) < 4 {
		wrong = append(wrong, fmt.Errorf("%d sizes; four at least", len(s.Points)))
	}
	for i, p := range s.Points {
		switch {
		case p.Size <= 0 || len(p.Values) == 0:
			wrong = append(wrong, fmt.Errorf("size %v has %d values", p.Size, len(p.Values)))
		case i > 0 && p.Size < 1.9*s.Points[i-1].Size:
			wrong = append(wrong, fmt.Errorf("sizes %v and %v are not twofold apart", s.Points[i-1].Size, p.Size))
		}
	}
	if s.Target <= 0 || s.Bound < 0 {
		wrong = append(wrong, fmt.Errorf("target %v, bound %v", s.Target, s.Bound))
	}
	return errors.Join(wrong...)
}

// Write puts a slope into a folder, as NAME.COMMIT.json, in the place of an earlier
// one of that name and commit.
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

// Read reads all slopes of a folder, in order of their files' names.
func Read(dir string) ([]Slope, error) {
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
