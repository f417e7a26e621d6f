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

// readyTimes kills processes at once, starts them again while discovery is down, and
// prints how long each took until it was ready.
func readyTimes(args []string) error {
	fs := flag.NewFlagSet("ready", flag.ContinueOnError)
	p := ready.Scenario{RestartDelay: 600 * time.Millisecond}
	fs.StringVar(&p.Program, "bin", "bin/cometrack", "the sender")
	fs.StringVar(&p.Cores, "cores", "", "that the processes share, as taskset lists them; all if empty")
	fs.IntVar(&p.Processes, "processes", 20, "killed and started at once")
	fs.DurationVar(&p.DiscoveryOutage, "down", 8*time.Second, "how long discovery is down, from the kill on")
	held := fs.String("held", "0,1000,20000", "messages that each holds, a row for each number")
	turns := fs.Int("turns", 1, "how often each row is played")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%7s %9s   %8s %8s %13s %8s   %s\n", "held", "processes", "least", "median", "ninth decile", "most", "first message answered after, at most")
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
			var took []time.Duration
			found, first := 0, time.Duration(0)
			for _, s := range starts {
				took = append(took, s.Ready)
				found, first = found+s.Pending, max(first, s.FirstReply)
			}
			slices.Sort(took)
			at := func(part float64) float64 { return took[int(part*float64(len(took)-1)+0.999999)].Seconds() }
			fmt.Printf("%7d %9d   %7.2fs %7.2fs %12.2fs %7.2fs   %.2fs\n", found/len(starts), len(starts), at(0), at(0.5), at(0.9), at(1), first.Seconds())
		}
	}
	return nil
}
