package main

import (
	"flag"
	"fmt"
	"syscall"
	"time"

	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/untried"
)

// measureUntried restarts the program with pending messages that have had no attempt
// yet, and counts their attempts and ends.
func measureUntried(args []string) error {
	fs := flag.NewFlagSet("untried", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the sender")
	maxHeld := fs.Int("most", 5000, "leave out rows with more messages than this")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%-8s %6s %-22s %6s %6s %18s %10s\n", "signal", "held", "partner", "over", "tried", "ended with no call",
		"delivered")
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		for _, held := range []int{1, 100, 5000} {
			if held > *maxHeld {
				continue
			}
			for _, x := range []struct {
				name string
				untried.Scenario
			}{
				{"alive", untried.Scenario{Latency: 20 * time.Millisecond}},
				{"slow (0.6 s)", untried.Scenario{Latency: 600 * time.Millisecond}},
				{"shut (503)", untried.Scenario{Partner: partner.Overloaded}},
				{"out (answers nothing)", untried.Scenario{Partner: partner.Hanging}},
				{"listed after 2 s", untried.Scenario{Latency: 20 * time.Millisecond, ListedAfter: 2 * time.Second}},
			} {
				p := x.Scenario
				p.Program, p.Pending, p.Signal = *bin, held, sig
				p.ShortRemaining, p.LongRemaining = 500*time.Millisecond+p.ListedAfter+time.Duration(held)*400*time.Microsecond, 12*time.Second
				c, err := p.Run()
				if err != nil {
					return err
				}
				fmt.Printf("%-8s %6d %-22s %6d %6d %18d %10d\n", sig, c.Pending, x.name, c.Expired, c.Attempted, c.EndedUntried, c.Delivered)
				for i, f := range c.Faults {
					if i < 5 {
						fmt.Println("   fault:", f)
					}
				}
			}
		}
	}
	return nil
}
