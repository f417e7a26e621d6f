package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cometrack/internal/soak"
	"cometrack/internal/standin/faultbuild"
)

// runCrossings runs the program as a fleet of processes under traffic, triggers every
// event at every named point of the source, and prints how often each pair occurred
// and which invariants broke.
func runCrossings(args []string) error {
	flags := flag.NewFlagSet("crossings", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "seed of the first run")
	seeds := flags.Int("seeds", 1, "how many runs, each with the next seed")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 40*time.Second, "time during which endpoints fail")
	faults := flags.String("faults", "endpoint,connections,drain,notices,late",
		"kinds of faults beside the crossings, separated by commas")
	dir := flags.String("dir", "", "folder for logs and state, which is kept; empty for a temporary one")
	plant := flags.String("plant", "", "the name of a fault to plant in the program, see measure plants; empty for none")
	verbose := flags.Bool("v", false, "print the crossings of each run in order")
	flags.Parse(args)
	workFolder, err := workDir(*dir)
	if err != nil {
		return err
	}
	if *dir == "" {
		defer os.RemoveAll(workFolder)
	}
	changes, err := plantedChanges(*plant)
	if err != nil {
		return err
	}
	path := filepath.Join(workFolder, "cometrack")
	if err := soak.Build(path, changes...); err != nil {
		return err
	}
	failed, total := 0, soak.NewCrossings()
	for i := range *seeds {
		r, err := runSeed(workFolder, soak.Options{Seed: *seed + uint64(i), Senders: *senders, Length: *length, Binary: path,
			Crossings: true, Faults: strings.Split(*faults, ",")}, func(r *soak.Result) []string { return r.Crossings.Log() },
			*verbose)
		if err != nil {
			return err
		}
		total.Add(r.Crossings)
		if len(r.Violations) > 0 {
			failed++
		}
	}
	missing := total.Missing()
	fmt.Printf("%s\n%d pairs; %d crossings never came: %s\n", total.Table(), total.PairCount(), len(missing),
		strings.Join(missing, "; "))
	if failed+len(missing) > 0 {
		return fmt.Errorf("%d of %d runs broke an invariant, %d crossings never came", failed, *seeds, len(missing))
	}
	return nil
}

// plantedChanges returns the source changes of the planted fault with a name; none for the empty name.
func plantedChanges(name string) ([]faultbuild.Change, error) {
	if name == "" {
		return nil, nil
	}
	for _, p := range soak.Plants {
		if p.Name == name && len(p.Changes) > 0 {
			return p.Changes, nil
		}
	}
	return nil, fmt.Errorf("no fault named %q is planted by changes of the source", name)
}
