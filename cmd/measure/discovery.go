package main

import (
	"flag"
	"fmt"
	"time"

	"cometrack/internal/source/platform/poll/play"
)

// measureDiscovery simulates fleets whose discovery has faults, in virtual time. It prints
// the calls made and the delay until a change is received, with the current poller and
// with the sequential one that it replaced.
func measureDiscovery(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	seed := flags.Uint64("seed", 1, "seed of the simulations")
	flags.Parse(args)
	type scenario struct {
		name string
		play.Fault
		duration time.Duration
	}
	var scenarios []scenario
	for _, duration := range []time.Duration{8 * time.Second, 30 * time.Second, 60 * time.Second} {
		scenarios = append(scenarios, scenario{fmt.Sprintf("down, %v", duration), play.Fault{Down: true}, duration})
	}
	for _, serviceTime := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		scenarios = append(scenarios, scenario{fmt.Sprintf("in turn, %v", serviceTime),
			play.Fault{ServiceTime: serviceTime}, 30 * time.Second})
	}
	for _, ratio := range []float64{0.2, 0.35, 0.5, 0.8} {
		scenarios = append(scenarios, scenario{fmt.Sprintf("fails %v", ratio),
			play.Fault{FailureRatio: ratio}, 30 * time.Second})
	}
	fmt.Println("| senders | trouble | asker | calls for each sender | calls a second, mean | busiest | after it: busiest, mean | in hand p50 | p99 | most | over 6 s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, senders := range []int{5, 30, 300, 900} {
		for _, t := range scenarios {
			for _, client := range []struct {
				name string
				make func(int, uint64) play.Client
			}{{"before", play.NewSequential}, {"after", play.NewPoller}} {
				r := play.Run(play.Options{Senders: senders, Seed: *seed, Fault: t.Fault, FaultDuration: t.duration,
					NewClient: client.make})
				round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
				fmt.Printf("| %d | %s | %s | %.1f | %.1f | %d | %d, %.1f | %v | %v | %v | %d of %d |\n",
					senders, t.name, client.name, float64(r.Calls)/float64(senders), float64(r.Calls)/t.duration.Seconds(),
					r.PeakDuringFault, r.PeakAfterFault, r.MeanAfterFault, round(r.Quantile(0.5)), round(r.Quantile(0.99)),
					round(r.Quantile(1)), r.LateChanges, r.Changes)
			}
		}
	}
	return nil
}
