package main

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/standin/ready"
)

// measureReady kills processes at the same time, starts them again while discovery is
// down, and prints the times until they were ready.
func measureReady(args []string) error {
	fs := flag.NewFlagSet("ready", flag.ContinueOnError)
	p := ready.Scenario{RestartDelay: 600 * time.Millisecond}
	fs.StringVar(&p.Program, "bin", "bin/cometrack", "the sender")
	fs.StringVar(&p.Cores, "cores", "", "cores that the processes share, in the form of taskset; empty for all")
	fs.IntVar(&p.Processes, "processes", 20, "number of processes killed and started at the same time")
	fs.DurationVar(&p.DiscoveryOutage, "down", 8*time.Second, "how long discovery is down after the kill")
	held := fs.String("held", "0,1000,20000", "pending messages of each process, a row for each number")
	turns := fs.Int("turns", 1, "runs of each row")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%7s %9s   %8s %8s %13s %8s   %s\n", "held", "processes", "least", "median", "ninth decile", "most",
		"first message answered after, at most")
	for _, text := range strings.Split(*held, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		p.Pending = n
		for range *turns {
			starts, err := p.Run()
			if err != nil {
				return err
			}
			var durations []time.Duration
			pending, first := 0, time.Duration(0)
			for _, s := range starts {
				durations = append(durations, s.Ready)
				pending, first = pending+s.Pending, max(first, s.FirstReply)
			}
			slices.Sort(durations)
			seconds := func(quantile float64) float64 {
				return durations[int(quantile*float64(len(durations)-1)+0.999999)].Seconds()
			}
			fmt.Printf("%7d %9d   %7.2fs %7.2fs %12.2fs %7.2fs   %.2fs\n", pending/len(starts), len(starts), seconds(0),
				seconds(0.5), seconds(0.9), seconds(1), first.Seconds())
		}
	}
	return nil
}
