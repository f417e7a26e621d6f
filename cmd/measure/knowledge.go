package main

import (
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cometrack/internal/standin/fleet"
	"cometrack/internal/standin/partner"
)

// measureFacts measures the facts about partners that senders publish to each other:
// calls during requested waits, outages, random faults, the time until replicas
// converge, catch-up after a start, and traffic.
func measureFacts(args []string) error {
	fs := flag.NewFlagSet("knowledge", flag.ContinueOnError)
	what := fs.String("what", "waits", "waits, outage, plays, virtual, equal, catchup or bytes")
	bin := fs.String("bin", "bin/cometrack", "the program")
	plays := fs.Int("plays", 3, "runs of each kind, or in all")
	parallel := fs.Int("parallel", 1, "runs at a time")
	seed := fs.Uint64("seed", 1, "seed of the first run")
	sizes := fs.String("senders", "1,4,12,20", "sizes of fleets")
	if err := fs.Parse(args); err != nil {
		return err
	}
	path, err := filepath.Abs(*bin)
	if err != nil {
		return err
	}
	switch *what {
	case "waits":
		return measureWaits(path, *sizes, *plays, *parallel, *seed)
	case "outage":
		return measureOutage(path, *sizes, *plays)
	case "plays":
		return runRandomFactFaults(path, *plays, *parallel, *seed)
	case "virtual":
		return runVirtualFacts(*plays, *parallel, *seed)
	case "equal":
		return measureConvergence(*sizes, *plays, *seed)
	case "catchup":
		return measureCatchUp(*seed)
	case "bytes":
		return measureFactTraffic(*sizes, *seed)
	}
	return fmt.Errorf("unknown --what %s; use waits, outage, plays, virtual, equal, catchup or bytes", *what)
}

// runParallel calls play for each index below plays, up to parallel at a time.
func runParallel(plays, parallel int, play func(i uint64)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range uint64(plays) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			play(i)
		})
	}
	group.Wait()
}

// measureWaits counts in a partner's record the calls that arrived during a wait that
// it had requested from one of the senders, over eight seconds of light traffic. It prints a
// row for each size of fleet, with and without shared facts and with faulty links.
func measureWaits(bin, sizes string, plays, parallel int, seed uint64) error {
	const wait, length, tolerance = 3 * time.Second, 8 * time.Second, 250 * time.Millisecond
	const totalRate = 16.0 // messages a second over the fleet
	fmt.Println("| senders | links | facts | waits told | calls inside one, over 250 ms late (each play) | latest of all inside |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	list, err := parseSizes(sizes)
	if err != nil {
		return err
	}
	for _, n := range list {
		for _, link := range []string{"well", "20% lost", "s0 is heard by nobody"} {
			for _, shared := range []bool{false, true} {
				if n == 1 && (shared || link != "well") || link != "well" && !shared {
					continue
				}
				var mu sync.Mutex
				var failure error
				requested, inside, latest := 0, []int(nil), time.Duration(0)
				runParallel(plays, parallel, func(i uint64) {
					w, err := playWaits(bin, n, link, shared, totalRate, wait, length, tolerance, seed+i)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failure = err
						return
					}
					requested, inside, latest = requested+w.Told, append(inside, w.Inside), max(latest, w.Latest)
				})
				if failure != nil {
					return failure
				}
				fmt.Printf("| %d | %s | %v | %d | %v | %v |\n", n, link, shared, requested, inside,
					latest.Round(time.Millisecond/10))
			}
		}
	}
	return nil
}

// withFleet starts n senders with a common partner, with or without shared facts, waits
// until their views converge, and calls play. A single sender runs without a cluster.
func withFleet(bin string, n int, seed uint64, shared bool, p *partner.Partner, play func(*fleet.Fleet) error) error {
	opts := fleet.Options{Program: bin, Senders: n, Seed: seed, Config: fleet.PartnerConfig(p),
		Cluster: fmt.Sprintf("lease = \"1s\"\nfacts = %v", shared)}
	if n == 1 {
		opts.Cluster = "off"
	}
	return withTempDir(opts, func(opts fleet.Options) error {
		f, err := fleet.Start(opts)
		if err != nil {
			return err
		}
		defer f.Close()
		if n > 1 {
			if _, ok := f.WaitUntil(clusterTimeout, fleet.AllReachable); !ok {
				return fmt.Errorf("the views of the senders did not converge")
			}
		}
		return play(f)
	})
}

// playWaits runs n senders for length against a partner that requests waits of the duration wait,
// and counts the calls that arrived during them, later than tolerance after the request. link is
// "well", "20% lost" or "s0 is heard by nobody"; totalRate is in messages a second over the fleet.
func playWaits(bin string, n int, link string, shared bool, totalRate float64, wait, length, tolerance time.Duration,
	seed uint64) (result fleet.Waits, err error) {
	p, err := partner.Start(partner.Options{Name: "acme", RequestedWait: wait, WaitInSeconds: true, Phases: []partner.Phase{
		{Mode: partner.Healthy, Duration: 700 * time.Millisecond}, {Mode: partner.Overloaded, Duration: 150 * time.Millisecond}}})
	if err != nil {
		return result, err
	}
	defer p.Close()
	err = withFleet(bin, n, seed, shared, p, func(f *fleet.Fleet) error {
		for i := range n {
			for k := range n {
				switch {
				case i == k:
				case link == "20% lost":
					f.SetFaults(i, k, fleet.Faults{Loss: 0.2})
				case link == "s0 is heard by nobody" && i == 0:
					f.SetFaults(i, k, fleet.Faults{Cut: true})
				}
			}
		}
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: totalRate / float64(n)}, make(chan struct{}),
			make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		f.WaitUntil(length, func([]fleet.SenderView) bool { return false })
		close(stop)
		<-done
		result = fleet.CheckWaits(p.Calls(), wait, tolerance)
		return nil
	})
	return result, err
}

// measureOutage counts the calls at a partner during an outage in which it rejects all
// for overload, and measures how soon calls resume once it has recovered. It prints a row for
// each of the sizes of fleets, without and with shared facts.
func measureOutage(bin, sizes string, plays int) error {
	// settleTime is the time until the outage is detected and trials have reached their longest interval.
	const outage, settleTime = 12 * time.Second, 4 * time.Second
	fmt.Println("| senders | facts | calls a second while it is out, after the first four seconds (each play) | from its return to the first call | to half of its rate |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	list, err := parseSizes(sizes)
	if err != nil {
		return err
	}
	for _, n := range list {
		for _, shared := range []bool{false, true} {
			if n == 1 && shared {
				continue
			}
			var rates []string
			var firstCalls, halfRates []time.Duration
			for range plays {
				p, err := partner.Start(partner.Options{Name: "acme", Rate: 100})
				if err != nil {
					return err
				}
				err = withFleet(bin, n, 1, shared, p, func(f *fleet.Fleet) error {
					feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 120 / float64(n)}, make(chan struct{}),
						make(chan struct{})
					go func() { feed.Run(f, stop); close(done) }()
					run := func(d time.Duration) { f.WaitUntil(d, func([]fleet.SenderView) bool { return false }) }
					run(2 * time.Second)
					p.SetMode(partner.Overloaded)
					run(settleTime)
					from := time.Now()
					run(outage - settleTime)
					recoveredAt := time.Now()
					p.SetMode(partner.Healthy)
					run(15 * time.Second)
					close(stop)
					<-done
					calls := p.Calls()
					rates = append(rates, fmt.Sprintf("%.1f", fleet.MeanRate(calls, "", from, recoveredAt)))
					firstCall, halfRate := 20*time.Second, 20*time.Second
					for _, c := range calls {
						if d := c.At.Sub(recoveredAt); d > 0 && c.Status == 200 {
							firstCall = min(firstCall, d)
							if fleet.MeanRate(calls, "", c.At, c.At.Add(500*time.Millisecond)) >= 50 {
								halfRate = min(halfRate, d)
							}
						}
					}
					firstCalls, halfRates = append(firstCalls, firstCall), append(halfRates, halfRate)
					return nil
				})
				p.Close()
				if err != nil {
					return err
				}
			}
			fmt.Printf("| %d | %v | %s | %s | %s |\n", n, shared, strings.Join(rates, ", "), summarizeMilliseconds(firstCalls),
				summarizeMilliseconds(halfRates))
		}
	}
	return nil
}

// runRandomFactFaults runs random faults over four processes while a partner requests
// waits, and then heals all links: the replicas must converge, and afterwards no sender
// may call during a wait that was requested from another.
func runRandomFactFaults(bin string, plays, parallel int, seed uint64) error {
	const senders, length, wait, tolerance = 4, 10 * time.Second, 3 * time.Second, 250 * time.Millisecond
	var mu sync.Mutex
	convergenceTimes, notConverged, requested, inside, failed := []time.Duration(nil), 0, 0, 0, 0
	runParallel(plays, parallel, func(i uint64) {
		err := playRandomFaults(bin, senders, length, wait, seed+i, func(took time.Duration, ok bool, w fleet.Waits) {
			mu.Lock()
			defer mu.Unlock()
			requested, inside = requested+w.Told, inside+w.Inside
			if convergenceTimes = append(convergenceTimes, took); !ok || w.Inside > 0 {
				fmt.Printf("seed %d: equal %v after %v; %+v\n", seed+i, ok, took, w)
			}
			if !ok {
				notConverged++
			}
		}, tolerance)
		if err != nil {
			mu.Lock()
			defer mu.Unlock()
			failed++
			fmt.Printf("seed %d: %v\n", seed+i, err)
		}
	})
	fmt.Printf("%d plays, %d that did not come about; copies that did not become equal: %d; equal after the faults: %s; of %d waits told afterwards, calls inside: %d\n",
		plays, failed, notConverged, summarizeMilliseconds(convergenceTimes), requested, inside)
	return nil
}

// playRandomFaults runs one script of random faults of a length, and calls report with the time
// until the replicas converged, whether they did, and the calls during later waits, of which those
// within tolerance of the request are allowed.
func playRandomFaults(bin string, senders int, length, wait time.Duration, seed uint64,
	report func(time.Duration, bool, fleet.Waits), tolerance time.Duration) error {
	phases := []partner.Phase{{Mode: partner.Healthy, Duration: 500 * time.Millisecond},
		{Mode: partner.Overloaded, Duration: 60 * time.Millisecond}}
	p, err := partner.Start(partner.Options{Name: "acme", RequestedWait: wait, Phases: phases})
	if err != nil {
		return err
	}
	defer p.Close()
	return withFleet(bin, senders, seed, true, p, func(f *fleet.Fleet) error {
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 5}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		defer func() { close(stop); <-done }()
		script := fleet.RandomScript(seed, senders, length)
		if err := f.Play(&script); err != nil {
			return err
		}
		took, ok := f.WaitForEqualFacts(20 * time.Second)
		if _, ok := f.WaitUntil(clusterTimeout, fleet.AllReachable); !ok {
			return fmt.Errorf("the views of the senders did not converge again")
		}
		until := time.Now().Add(wait) // until waits requested before the convergence have ended
		f.WaitUntil(wait, func([]fleet.SenderView) bool { return time.Now().After(until) })
		n := len(p.Calls())
		f.WaitUntil(2*wait, func([]fleet.SenderView) bool { return false })
		report(took, ok, fleet.CheckWaits(p.Calls()[n:], wait, tolerance))
		return nil
	})
}

// parseSizes parses the flag --senders: sizes of fleets above 0, separated by commas.
func parseSizes(text string) (out []int, err error) {
	for x := range strings.SplitSeq(text, ",") {
		var n int
		if _, err := fmt.Sscan(x, &n); err != nil || n < 1 {
			return nil, fmt.Errorf("--senders %s: %q is not a number above 0", text, x)
		}
		out = append(out, n)
	}
	return out, nil
}
