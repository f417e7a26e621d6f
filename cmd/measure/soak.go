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

// runSoak runs the soak test: the real program as a fleet of processes, under random
// faults drawn from seeds.
func runSoak(args []string) error {
	flags := flag.NewFlagSet("soak", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "seed of the first run")
	seeds := flags.Int("seeds", 1, "how many runs, each with the next seed")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 12*time.Second, "time during which faults occur")
	faults := flags.String("faults", "", "kinds of faults to draw from, separated by commas; empty for all")
	dir := flags.String("dir", "", "folder for logs and state, which is kept; empty for a temporary one")
	binary := flags.String("bin", "", "a program built by package faultbuild; empty to build one")
	verbose := flags.Bool("v", false, "print the script of each run")
	flags.Parse(args)
	workFolder, err := workDir(*dir)
	if err != nil {
		return err
	}
	if *dir == "" {
		defer os.RemoveAll(workFolder)
	}
	path := *binary
	if path == "" {
		path = filepath.Join(workFolder, "cometrack")
		if err := faultbuild.Build(path, "./cmd/cometrack"); err != nil {
			return err
		}
	}
	failed := 0
	for i := range *seeds {
		o := soak.Options{Seed: *seed + uint64(i), Senders: *senders, Length: *length, Binary: path}
		if *faults != "" {
			o.Faults = strings.Split(*faults, ",")
		}
		r, err := runSeed(workFolder, o, func(r *soak.Result) []string { return r.Script }, *verbose)
		if err != nil {
			return err
		}
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs broke an invariant", failed, *seeds)
	}
	return nil
}

// runSeed runs the soak test with one seed in its own folder below workFolder and prints
// its result; with verbose, or if an invariant is broken, the lines that details returns as
// well. Broken invariants are in the result and are no error.
func runSeed(workFolder string, o soak.Options, details func(*soak.Result) []string,
	verbose bool) (*soak.Result, error) {
	o.Dir = filepath.Join(workFolder, fmt.Sprint("seed-", o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	r, err := soak.Run(o)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	fmt.Println(r.Summary(o.Seed))
	if verbose || len(r.Violations) > 0 {
		fmt.Println("  " + strings.Join(details(&r), "\n  "))
	}
	for _, v := range r.Violations {
		fmt.Println("  violation:", v)
	}
	return &r, nil
}

// workDir creates dir and returns it, or a new temporary folder, which the caller removes, if dir is
// empty.
func workDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "soak")
	}
	return dir, os.MkdirAll(dir, 0o700)
}

// runPlants checks that the soak test finds faults that are planted in the program: it
// runs a build with each fault until an invariant breaks.
func runPlants(args []string) error {
	flags := flag.NewFlagSet("plants", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "seed of the first run")
	seeds := flags.Int("seeds", 10, "number of runs after which a fault counts as not found")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 12*time.Second, "time during which faults occur")
	only := flags.String("only", "", "the name of one fault; empty for all")
	flags.Parse(args)
	workFolder, err := workDir("")
	if err != nil {
		return err
	}
	defer os.RemoveAll(workFolder)
	missed := 0
	for i, p := range soak.Plants {
		if *only != "" && p.Name != *only {
			continue
		}
		path := filepath.Join(workFolder, fmt.Sprint("cometrack-", i))
		if err := faultbuild.Build(path, "./cmd/cometrack", p.Changes...); err != nil {
			return err
		}
		found := false
		for n := range *seeds {
			o := soak.Options{Seed: *seed + uint64(n), Senders: *senders, Length: *length, Binary: path,
				Dir:        filepath.Join(workFolder, fmt.Sprint(i, "-", n)),
				LoseFolder: p.LoseFolder, Faults: p.Faults}
			if err := os.MkdirAll(o.Dir, 0o700); err != nil {
				return err
			}
			r, err := soak.Run(o)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", p.Name, o.Seed, err)
			}
			if found = len(r.Violations) > 0; found {
				fmt.Printf("%s: found at seed %d, run %d, %d violations, the first: %s\n", p.Name, o.Seed, n+1, len(r.Violations),
					r.Violations[0])
				break
			}
		}
		if !found {
			missed++
			fmt.Printf("%s: NOT found in %d runs\n", p.Name, *seeds)
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d planted faults were not found", missed)
	}
	return nil
}
