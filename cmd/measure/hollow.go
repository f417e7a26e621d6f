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

// measureHollow measures fleets of hollow senders (without messages), or of senders in
// virtual time, without faults and during faults.
func measureHollow(args []string) error {
	fs := flag.NewFlagSet("hollow", flag.ContinueOnError)
	sizes := fs.String("senders", "3,6,12,24,48", "sizes of fleets")
	calmSeconds := fs.Float64("seconds", 10, "seconds without faults over which rates are measured")
	fault := fs.String("fault", "", "faults, separated by commas: restarts, killed, rack, zone, regions, halves; or all")
	faultSeconds := fs.Float64("lasts", 15, "duration of each fault in seconds")
	timeout := fs.Duration("patience", time.Minute, "timeout of each wait for convergence")
	lease := fs.Duration("lease", 3*time.Second, "as in [cluster]")
	facts := fs.Float64("facts", 0, "requested waits published a second, over the fleet")
	virtual := fs.Bool("virtual", false, "simulate the fleet in virtual time")
	repeats := fs.Int("repeats", 1, "runs of each size")
	cores := fs.Int("cores", 2, "number of cores to use")
	seed := fs.Uint64("seed", 1, "seed of the first fleet of each size")
	dir := fs.String("dir", "", "folder for the state folders of the senders")
	out := fs.String("out", "", "folder for each fleet's result as JSON")
	slopes := fs.String("slopes", "", "folder for the slopes as JSON")
	fromFiles := fs.Bool("from", false, "measure nothing: read the given result files, and write the slopes")
	commit := fs.String("commit", "", "commit of the program; empty for the one in its build information")
	printTimeline := fs.Bool("timeline", true, "print each fleet's time line")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *fromFiles {
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
	fs.Visit(func(f *flag.Flag) { // without flags that only name folders or output
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
			return fmt.Errorf("unknown --fault %s; use some of %v", name, hollow.Faults)
		}
		faults = append(faults, hollow.Fault(name))
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	var results []hollow.Result
	var failure error
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		for i := range *repeats {
			r, err := hollow.Measure(hollow.Plan{Virtual: *virtual, CalmDuration: seconds(*calmSeconds), FaultDuration: seconds(*faultSeconds),
				Timeout: *timeout, Faults: faults, Commit: *commit, Command: command,
				Options: hollow.Options{Senders: n, Lease: *lease, Drift: 0.01, Dir: *dir, FactRate: *facts, Seed: *seed + uint64(i)}})
			if *printTimeline {
				r.WriteTimeline(os.Stdout)
			}
			fmt.Println(hollow.RowHead)
			fmt.Println(r.Row())
			if len(r.Faults) > 0 {
				fmt.Printf("\n%s\n%s\n", hollow.FaultHead, strings.Join(r.FaultRows(), "\n"))
			}
			fmt.Printf("\n%d cores, commit %s, %s; took %.0f s; the kernel counted, of the whole machine, calm: %+v\n\n",
				r.Cores, r.Commit, r.Machine, r.Duration, r.Kernel)
			results = append(results, r)
			if *out != "" {
				failure = errors.Join(failure, writeResult(*out, r, *seed+uint64(i)))
			}
			if err != nil {
				return errors.Join(failure, err)
			}
		}
	}
	if *slopes != "" {
		failure = errors.Join(failure, hollow.WriteSlopes(*slopes, command, results))
	}
	return failure
}

// writeResult writes a result as JSON into dir, which it creates if need be. The name of the file has
// the way, the number of senders, the seed and the commit.
func writeResult(dir string, r hollow.Result, seed uint64) error {
	text, err := json.MarshalIndent(r, "", "\t")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%d-%d.%s.json", r.Way, r.Senders, seed, r.Commit)),
		append(text, '\n'), 0o644)
}
