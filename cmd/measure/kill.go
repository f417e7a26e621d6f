package main

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"cometrack/internal/standin/kill"
)

// runKills runs rounds in which the program is killed again and again under traffic, and
// prints the ends and the faults of each. It returns an error if there was any fault.
func runKills(args []string) error {
	fs := flag.NewFlagSet("kill", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the program")
	total := fs.Int("kills", 300, "SIGKILLs in all")
	killsPerRound := fs.Int("each", 10, "SIGKILLs in a round")
	seed := fs.Uint64("seed", 1, "seed of the first round; each further round uses the next")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *total < 1 || *killsPerRound < 1 {
		return errors.New("--kills and --each must be at least 1")
	}
	start, accepted, faults, ends := time.Now(), 0, 0, map[string]int{}
	for done := 0; done < *total; *seed++ {
		n := min(*killsPerRound, *total-done)
		r, err := kill.Draw(*bin, *seed, n).Play()
		if err != nil {
			return fmt.Errorf("seed %d: %w", *seed, err)
		}
		done += n
		accepted, faults = accepted+r.Accepted, faults+len(r.Violations)
		for state, k := range r.Ends {
			ends[state] += k
		}
		fmt.Printf("seed %d: %d kills, %d messages taken on, ends %v, %d faults\n", *seed, n, r.Accepted, r.Ends, len(r.Violations))
		for _, f := range r.Violations {
			fmt.Println("   ", f)
		}
	}
	fmt.Printf("%d kills in %.0f s, %d messages taken on, ends %v, %d faults\n", *total, time.Since(start).Seconds(),
		accepted, ends, faults)
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	return nil
}
