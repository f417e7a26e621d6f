package main

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"cometrack/internal/standin/kill"
)

// kills plays rounds of kills until there were so many, and prints what came of
// each. A fault ends it with an error.
func kills(args []string) error {
	fs := flag.NewFlagSet("kill", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the program")
	total := fs.Int("kills", 300, "SIGKILLs in all")
	each := fs.Int("each", 10, "SIGKILLs in a round")
	seed := fs.Uint64("seed", 1, "of the first round; each further one has the next")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *total < 1 || *each < 1 {
		return errors.New("--kills and --each must be at least 1")
	}
	start, taken, faults, ends := time.Now(), 0, 0, map[string]int{}
	for done := 0; done < *total; *seed++ {
		n := min(*each, *total-done)
		r, err := kill.Draw(*bin, *seed, n).Play()
		if err != nil {
			return fmt.Errorf("seed %d: %w", *seed, err)
		}
		done += n
		taken, faults = taken+r.Accepted, faults+len(r.Violations)
		for state, k := range r.Ends {
			ends[state] += k
		}
		fmt.Printf("seed %d: %d kills, %d messages taken on, ends %v, %d faults\n", *seed, n, r.Accepted, r.Ends, len(r.Violations))
		for _, f := range r.Violations {
			fmt.Println("   ", f)
		}
	}
	fmt.Printf("%d kills in %.0f s, %d messages taken on, ends %v, %d faults\n", *total, time.Since(start).Seconds(), taken, ends, faults)
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	return nil
}
