package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/standin/hollow"
)

// hollows measures fleets of hollow senders, or of senders in virtual time, calm and
// in faults.
func hollows(args []string) error {
	fs := flag.NewFlagSet("hollow", flag.ContinueOnError)
	sizes := fs.String("senders", "3,6,12,24,48", "sizes of fleets")
	calm := fs.Float64("seconds", 10, "that rates are measured over")
	fault := fs.String("fault", "", "faults, by commas: restarts, killed, rack, zone, regions, halves; all for each")
	lasts := fs.Float64("lasts", 15, "seconds that each fault lasts")
	patience := fs.Duration("patience", time.Minute, "for each thing that is waited for")
	lease := fs.Duration("lease", 3*time.Second, "as in [cluster]")
	facts := fs.Float64("facts", 0, "waits told in a second, over the fleet")
	virtual := fs.Bool("virtual", false, "in virtual time")
	repeats := fs.Int("repeats", 1, "of each size")
	cores := fs.Int("cores", 2, "that may be used")
	seed := fs.Uint64("seed", 1, "of the first fleet of each size")
	dir := fs.String("dir", "", "folder for the senders' folders")
	out := fs.String("out", "", "folder for each fleet's result as JSON")
	slopes := fs.String("slopes", "", "folder for the slopes as JSON")
	from := fs.Bool("from", false, "measure nothing: read the results whose files are given, and write the slopes")
	name := fs.String("commit", "", "of the program; empty for what its build says")
	line := fs.Bool("timeline", true, "print each fleet's time line")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *from {
		results, err := hollow.ReadResults(fs.Args())
		if err != nil {
			return err
		}
		for _, r := range results {
			fmt.Println(strings.Join(append([]string{r.Row()}, r.FaultRows()...), "\n"))
		}
		if *slopes == "" || len(results) == 0 {
			return nil
		}
		return hollow.WriteSlopes(*slopes, results[0].Command, results)
	}
	command := "measure hollow"
	fs.Visit(func(f *flag.Flag) { // but where things lie
		if !slices.Contains([]string{"dir", "out", "slopes", "commit", "timeline"}, f.Name) {
			command += fmt.Sprintf(" -%s %s", f.Name, f.Value)
		}
	})
	runtime.GOMAXPROCS(*cores)
	var faults []hollow.Fault
	for _, name := range strings.FieldsFunc(*fault, func(r rune) bool { return r == ',' }) {
		if name == "all" {
			faults = hollow.Faults
			break
		}
		if !slices.Contains(hollow.Faults, hollow.Fault(name)) {
			return fmt.Errorf("--fault %s: none of %v", name, hollow.Faults)
		}
		faults = append(faults, hollow.Fault(name))
	}
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	var results []hollow.Result
	var wrong error
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		for i := range *repeats {
			r, err := hollow.Measure(hollow.Plan{Virtual: *virtual, CalmDuration: second(*calm), FaultDuration: second(*lasts), Timeout: *patience, Faults: faults, Commit: *name, Command: command,
				Options: hollow.Options{Senders: n, Lease: *lease, Drift: 0.01, Dir: *dir, FactRate: *facts, Seed: *seed + uint64(i)}})
			if *line {
				r.WriteTimeline(os.Stdout)
			}
			fmt.Println(hollow.RowHead)
			fmt.Println(r.Row())
			if len(r.Faults) > 0 {
				fmt.Printf("\n%s\n%s\n", hollow.FaultHead, strings.Join(r.FaultRows(), "\n"))
			}
			fmt.Printf("\n%d cores, commit %s, %s; took %.0f s; the kernel counted, of the whole machine, calm: %+v\n\n", r.Cores, r.Commit, r.Machine, r.Duration, r.Kernel)
			results = append(results, r)
			if *out != "" {
				wrong = errors.Join(wrong, writeResult(*out, r, *seed+uint64(i)))
			}
			if err != nil {
				return errors.Join(wrong, err)
			}
		}
	}
	if *slopes != "" {
		wrong = errors.Join(wrong, hollow.WriteSlopes(*slopes, command, results))
	}
	return wrong
}

func writeResult(dir string, r hollow.Result, seed uint64) error {
	text, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%d-%d.%s.json", r.Way, r.Senders, seed, r.Commit)), append(text, '\n'), 0o644)
}
