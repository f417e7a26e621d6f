package main

import (
	"flag"
	"fmt"
	"time"

	"cometrack/internal/source/platform/poll/play"
)

// discoveryTroubles plays fleets at a discovery in trouble, in virtual time, and prints what calls they make and how
// long a change takes to be in hand, with the program's decisions and with those before them.
func discoveryTroubles(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "of the plays")
	flags.Parse(args)
	type trouble struct {
		name string
		play.Fault
		lasts time.Duration
	}
	var troubles []trouble
	for _, lasts := range []time.Duration{8 * time.Second, 30 * time.Second, 60 * time.Second} {
		troubles = append(troubles, trouble{fmt.Sprintf("down, %v", lasts), play.Fault{Down: true}, lasts})
	}
	for _, turn := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		troubles = append(troubles, trouble{fmt.Sprintf("in turn, %v", turn), play.Fault{ServiceTime: turn}, 30 * time.Second})
	}
	for _, part := range []float64{0.2, 0.35, 0.5, 0.8} {
		troubles = append(troubles, trouble{fmt.Sprintf("fails %v", part), play.Fault{FailureRatio: part}, 30 * time.Second})
	}
	fmt.Println("| senders | trouble | asker | calls for each sender | calls a second, mean | busiest | after it: busiest, mean | in hand p50 | p99 | most | over 6 s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, senders := range []int{5, 30, 300, 900} {
		for _, t := range troubles {
			for _, asker := range []struct {
				name string
				make func(int, uint64) play.Client
			}{{"before", play.NewSequential}, {"after", play.NewPoller}} {
				r := play.Run(play.Options{Senders: senders, Seed: *seed, Fault: t.Fault, FaultDuration: t.lasts, NewClient: asker.make})
				round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
				fmt.Printf("| %d | %s | %s | %.1f | %.1f | %d | %d, %.1f | %v | %v | %v | %d of %d |\n", senders, t.name, asker.name, float64(r.Calls)/float64(senders),
					float64(r.Calls)/t.lasts.Seconds(), r.PeakDuringFault, r.PeakAfterFault, r.MeanAfterFault, round(r.Quantile(0.5)), round(r.Quantile(0.99)),
					round(r.Quantile(1)), r.LateChanges, r.Changes)
			}
		}
	}
	return nil
}
