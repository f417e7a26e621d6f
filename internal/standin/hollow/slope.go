package hollow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// slope is one quantity measured over sizes, in the format of docs/measurements/capacity. Package
// lab/capacity reads it as a Slope.
type slope struct {
	Name     string  `json:"name"`     // of the quantity and its file
	Measures string  `json:"measures"` // what the values describe
	Way      string  `json:"way"`      // as in [Result]
	Command  string  `json:"command"`  // that measured
	Commit   string  `json:"commit"`   // of the program, short; with "+" if the tree was modified
	Machine  string  `json:"machine"`  // cores, processor, kernel and Go version
	SizeOf   string  `json:"size_of"`  // what the size counts
	Unit     string  `json:"unit"`     // of the values and the bound
	Base     float64 `json:"base"`     // value at size 0; always 0 here
	Points   []point `json:"points"`   // in order of size
	Target   float64 `json:"target"`   // size that must be supported
	Bound    float64 `json:"bound"`    // maximum permitted value; 0 for none
	From     string  `json:"from"`     // origin of the target and the bound
	Note     string  `json:"note,omitempty"`
}

// point is a size with the values measured there, one for each repeat.
type point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// targetSenders is the number of senders that a fleet must support.
const targetSenders = 560

// ReadResults reads results, one from each JSON file, and sorts them by the number of senders.
func ReadResults(names []string) (list []Result, err error) {
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var r Result
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b Result) int { return cmp.Compare(a.Senders, b.Senders) })
	return list, nil
}

// WriteSlopes writes each quantity that grows with the number of senders to a file of the folder dir.
// command is recorded as the one that measured. The results must be sorted by size; equal sizes are
// repeats. A slope needs at least four sizes, each at least twice the previous one; package
// lab/capacity checks this when it reads the file.
func WriteSlopes(dir, command string, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	first := results[0]
	newSlope := func(name, measures, unit string, bound float64, of func(Result) float64) slope {
		s := slope{Name: first.Way + "-" + name, Measures: measures, Way: first.Way, Command: command, Commit: first.Commit, Machine: first.Machine,
			SizeOf: "senders", Unit: unit, Target: targetSenders, Bound: bound, From: "the operators' size of two years: 560 senders"}
		if first.Way == "hollow" {
			s.Note = fmt.Sprintf("the process could use %d cores; its looks at the parts are in it, some 0.01 of a core over all", first.Cores)
		}
		for _, r := range results {
			if n := len(s.Points); n == 0 || s.Points[n-1].Size != float64(r.Senders) {
				s.Points = append(s.Points, point{Size: float64(r.Senders)})
			}
			p := &s.Points[len(s.Points)-1]
			p.Values = append(p.Values, of(r))
		}
		return s
	}
	list := []slope{
		newSlope("control-bytes", "bytes a second that a sender sends for control, calm, with 28 of each datagram",
			"B/s", MaxControlBytes, func(r Result) float64 { return r.Rates.BytesOut }),
		newSlope("control-datagrams", "datagrams a second that a sender sends, calm", "1/s", 0,
			func(r Result) float64 { return r.Rates.DatagramsOut }),
	}
	if first.Way == "hollow" {
		list = append(list,
			newSlope("control-core", "processor time of the process over senders, calm", "cores", MaxControlCore,
				func(r Result) float64 { return r.Rates.Core }),
			newSlope("control-memory", "resident memory of the process above its base over senders", "B",
				MaxControlMemory, func(r Result) float64 { return r.Rates.Memory }))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, s := range list {
		text, err := json.MarshalIndent(s, "", "\t")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, s.Name+"."+s.Commit+".json"), append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}
