package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cometrack/internal/soak"
)

// crossings has every event come at every named point of the real program, as a fleet of
// processes under traffic, and prints how often each came and what broke.
func crossings(args []string) error {
	flags := flag.NewFlagSet("crossings", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "of the first run")
	seeds := flags.Int("seeds", 1, "how many runs, each with the next seed")
	senders := flags.Int("senders", 24, "processes of the program")
	length := flags.Duration("length", 40*time.Second, "for which endpoints fail")
	faults := flags.String("faults", "endpoint,connections,drain,notices,late", "kinds of faults beside the crossings, separated by commas")
	dir := flags.String("dir", "", "for logs and folders, which are kept; empty for a temporary one")
	verbose := flags.Bool("v", false, "print the crossings of each run in their order")
	flags.Parse(args)
	top, err := workDir(*dir)
	if err != nil {
		return err
	}
	if *dir == "" {
		defer os.RemoveAll(top)
	}
	path := filepath.Join(top, "cometrack")
	if err := soak.Build(path); err != nil {
		return err
	}
	failed, all := 0, soak.NewCrossings()
	for i := range *seeds {
		r, err := playSeed(top, soak.Options{Seed: *seed + uint64(i), Senders: *senders, Length: *length, Binary: path, Crossings: true,
			Faults: strings.Split(*faults, ",")}, func(r *soak.Result) []string { return r.Crossings.Log() }, *verbose)
		if err != nil {
			return err
		}
		all.Add(r.Crossings)
		if len(r.Violations) > 0 {
			failed++
		}
	}
	missing := all.Missing()
	fmt.Printf("%s\n%d pairs; %d crossings never came: %s\n", all.Table(), all.PairCount(), len(missing), strings.Join(missing, "; "))
	if failed+len(missing) > 0 {
		return fmt.Errorf("%d of %d runs broke an invariant, %d crossings never came", failed, *seeds, len(missing))
	}
	return nil
}
