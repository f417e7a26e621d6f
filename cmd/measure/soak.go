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

// soaks plays runs of the soak test: the real program as a fleet of processes, under
// faults drawn from seeds.
func soaks(args []string) error {
	flags := flag.NewFlagSet("soak", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "of the first run")
	seeds := flags.Int("seeds", 1, "how many runs, each with the next seed")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 12*time.Second, "for which faults come")
	faults := flags.String("faults", "", "kinds of faults to draw from, separated by commas; empty for all")
	dir := flags.String("dir", "", "for logs and folders, which are kept; empty for a temporary one")
	binary := flags.String("bin", "", "a program built by package faultbuild; empty to build it")
	verbose := flags.Bool("v", false, "print the script of each run")
	flags.Parse(args)
	top, err := workDir(*dir)
	if err != nil {
		return err
	}
	if *dir == "" {
		defer os.RemoveAll(top)
	}
	path := *binary
	if path == "" {
		path = filepath.Join(top, "cometrack")
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
		r, err := playSeed(top, o, func(r *soak.Result) []string { return r.Script }, *verbose)
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

// playSeed plays a run in a folder of its own below top and prints what came of it; with
// verbose, or if an invariant is broken, what happened in it as well.
func playSeed(top string, o soak.Options, happened func(*soak.Result) []string, verbose bool) (*soak.Result, error) {
	o.Dir = filepath.Join(top, fmt.Sprint("seed-", o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	r, err := soak.Run(o)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	fmt.Println(r.Summary(o.Seed))
	if verbose || len(r.Violations) > 0 {
		fmt.Println("  " + strings.Join(happened(&r), "\n  "))
	}
	for _, v := range r.Violations {
		fmt.Println("  violation:", v)
	}
	return &r, nil
}

func workDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "soak")
	}
	return dir, os.MkdirAll(dir, 0o700)
}

// plants has the soak look for faults that were put into the program on purpose, each
// until it is found.
func plants(args []string) error {
	flags := flag.NewFlagSet("plants", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "of the first run")
	seeds := flags.Int("seeds", 10, "after so many runs a fault counts as not found")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 12*time.Second, "for which faults come")
	only := flags.String("only", "", "the name of one fault; empty for all")
	flags.Parse(args)
	top, err := workDir("")
	if err != nil {
		return err
	}
	defer os.RemoveAll(top)
	missed := 0
	for i, p := range soak.Plants {
		if *only != "" && p.Name != *only {
			continue
		}
		path := filepath.Join(top, fmt.Sprint("cometrack-", i))
		if err := faultbuild.Build(path, "./cmd/cometrack", p.Changes...); err != nil {
			return err
		}
		found := false
		for n := range *seeds {
			o := soak.Options{Seed: *seed + uint64(n), Senders: *senders, Length: *length, Binary: path, Dir: filepath.Join(top, fmt.Sprint(i, "-", n)),
				LoseFolder: p.LoseFolder, Faults: p.Faults}
			if err := os.MkdirAll(o.Dir, 0o700); err != nil {
				return err
			}
			r, err := soak.Run(o)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", p.Name, o.Seed, err)
			}
			if found = len(r.Violations) > 0; found {
				fmt.Printf("%s: found at seed %d, run %d, %d violations, the first: %s\n", p.Name, o.Seed, n+1, len(r.Violations), r.Violations[0])
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
