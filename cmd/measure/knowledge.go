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

// knowledge measures what senders tell each other of partners: calls inside told
// waits, random plays in virtual time, how long copies differ, catching up.
func knowledge(args []string) error {
	fs := flag.NewFlagSet("knowledge", flag.ContinueOnError)
	what := fs.String("what", "waits", "waits, outage, plays, virtual, equal, catchup or bytes")
	bin := fs.String("bin", "bin/cometrack", "the program")
	plays := fs.Int("plays", 3, "of each kind, or in all")
	parallel := fs.Int("parallel", 1, "at a time")
	seed := fs.Uint64("seed", 1, "of the first play")
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
		return knowledgeWaits(path, *sizes, *plays, *parallel, *seed)
	case "outage":
		return knowledgeOutage(path, *sizes, *plays)
	case "plays":
		return knowledgePlays(path, *plays, *parallel, *seed)
	case "virtual":
		return knowledgeVirtual(*plays, *parallel, *seed)
	case "equal":
		return knowledgeEqual(*sizes, *plays, *seed)
	case "catchup":
		return knowledgeCatchUp(*seed)
	case "bytes":
		return knowledgeBytes(*sizes, *seed)
	}
	return fmt.Errorf("--what %s: none of waits, outage, plays, virtual, equal, catchup, bytes", *what)
}

// sideBySide plays plays, so many at a time.
func sideBySide(plays, parallel int, play func(i uint64)) {
	var group sync.WaitGroup
	places := make(chan struct{}, parallel)
	for i := range uint64(plays) {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			play(i)
		})
	}
	group.Wait()
}

// knowledgeWaits counts by a partner's record the calls that came inside a wait that
// it had told to one of the senders, over eight seconds of light traffic.
func knowledgeWaits(bin, sizes string, plays, parallel int, seed uint64) error {
	const wait, length, early = 3 * time.Second, 8 * time.Second, 250 * time.Millisecond
	const all = 16.0 // messages a second over the fleet
	fmt.Println("| senders | links | facts | waits told | calls inside one, over 250 ms late (each play) | latest of all inside |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	list, err := numbers(sizes)
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
				var wrong error
				told, inside, latest := 0, []int(nil), time.Duration(0)
				sideBySide(plays, parallel, func(i uint64) {
					w, err := waitPlay(bin, n, link, shared, all, wait, length, early, seed+i)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						wrong = err
						return
					}
					told, inside, latest = told+w.Told, append(inside, w.Inside), max(latest, w.Latest)
				})
				if wrong != nil {
					return wrong
				}
				fmt.Printf("| %d | %s | %v | %d | %v | %v |\n", n, link, shared, told, inside, latest.Round(time.Millisecond/10))
			}
		}
	}
	return nil
}

// inFleet starts senders that share a partner, and facts or not, and has them meet.
// One alone knows of no others.
func inFleet(bin string, n int, seed uint64, shared bool, p *partner.Partner, play func(*fleet.Fleet) error) error {
	opts := fleet.Options{Program: bin, Senders: n, Seed: seed, Config: fleet.PartnerConfig(p), Cluster: fmt.Sprintf("lease = \"1s\"\nfacts = %v", shared)}
	if n == 1 {
		opts.Cluster = "off"
	}
	return inDir(opts, func(opts fleet.Options) error {
		f, err := fleet.Start(opts)
		if err != nil {
			return err
		}
		defer f.Close()
		if n > 1 {
			if _, ok := f.WaitUntil(clusterPatience, fleet.AllReachable); !ok {
				return fmt.Errorf("the senders did not meet")
			}
		}
		return play(f)
	})
}

func waitPlay(bin string, n int, link string, shared bool, all float64, wait, length, early time.Duration, seed uint64) (out fleet.Waits, err error) {
	p, err := partner.Start(partner.Options{Name: "acme", Wait: wait, Seconds: true, Phases: []partner.Phase{
		{Mode: partner.Well, For: 700 * time.Millisecond}, {Mode: partner.Full, For: 150 * time.Millisecond}}})
	if err != nil {
		return out, err
	}
	defer p.Close()
	err = inFleet(bin, n, seed, shared, p, func(f *fleet.Fleet) error {
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
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: all / float64(n)}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		f.WaitUntil(length, func([]fleet.SenderView) bool { return false })
		close(stop)
		<-done
		out = fleet.CheckWaits(p.Calls(), wait, early)
		return nil
	})
	return out, err
}

// knowledgeOutage counts the calls at a partner that refuses all for a while, and how
// soon they come once it is back.
func knowledgeOutage(bin, sizes string, plays int) error {
	const out, settled = 12 * time.Second, 4 * time.Second // until it counts as out and trials have their longest pause
	fmt.Println("| senders | facts | calls a second while it is out, after the first four seconds (each play) | from its return to the first call | to half of its rate |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	list, err := numbers(sizes)
	if err != nil {
		return err
	}
	for _, n := range list {
		for _, shared := range []bool{false, true} {
			if n == 1 && shared {
				continue
			}
			var rates []string
			var first, half []time.Duration
			for range plays {
				p, err := partner.Start(partner.Options{Name: "acme", Rate: 100})
				if err != nil {
					return err
				}
				err = inFleet(bin, n, 1, shared, p, func(f *fleet.Fleet) error {
					feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 120 / float64(n)}, make(chan struct{}), make(chan struct{})
					go func() { feed.Run(f, stop); close(done) }()
					span := func(d time.Duration) { f.WaitUntil(d, func([]fleet.SenderView) bool { return false }) }
					span(2 * time.Second)
					p.Set(partner.Full)
					span(settled)
					from := time.Now()
					span(out - settled)
					back := time.Now()
					p.Set(partner.Well)
					span(15 * time.Second)
					close(stop)
					<-done
					calls := p.Calls()
					rates = append(rates, fmt.Sprintf("%.1f", fleet.MeanRate(calls, "", from, back)))
					at, busy := 20*time.Second, 20*time.Second
					for _, c := range calls {
						if d := c.At.Sub(back); d > 0 && c.Status == 200 {
							at = min(at, d)
							if fleet.MeanRate(calls, "", c.At, c.At.Add(500*time.Millisecond)) >= 50 {
								busy = min(busy, d)
							}
						}
					}
					first, half = append(first, at), append(half, busy)
					return nil
				})
				p.Close()
				if err != nil {
					return err
				}
			}
			fmt.Printf("| %d | %v | %s | %s | %s |\n", n, shared, strings.Join(rates, ", "), fine(first), fine(half))
		}
	}
	return nil
}

// knowledgePlays plays random faults over four processes while partners tell waits,
// then heals all: the copies must come to be equal, and then nobody may call inside a
// wait that another was told.
func knowledgePlays(bin string, plays, parallel int, seed uint64) error {
	const senders, length, wait, early = 4, 10 * time.Second, 3 * time.Second, 250 * time.Millisecond
	var mu sync.Mutex
	equal, never, told, inside, failed := []time.Duration(nil), 0, 0, 0, 0
	sideBySide(plays, parallel, func(i uint64) {
		err := onePlay(bin, senders, length, wait, seed+i, func(took time.Duration, ok bool, w fleet.Waits) {
			mu.Lock()
			defer mu.Unlock()
			told, inside = told+w.Told, inside+w.Inside
			if equal = append(equal, took); !ok || w.Inside > 0 {
				fmt.Printf("seed %d: equal %v after %v; %+v\n", seed+i, ok, took, w)
			}
			if !ok {
				never++
			}
		}, early)
		if err != nil {
			mu.Lock()
			defer mu.Unlock()
			failed++
			fmt.Printf("seed %d: %v\n", seed+i, err)
		}
	})
	fmt.Printf("%d plays, %d that did not come about; copies that did not become equal: %d; equal after the faults: %s; of %d waits told afterwards, calls inside: %d\n",
		plays, failed, never, fine(equal), told, inside)
	return nil
}

func onePlay(bin string, senders int, length, wait time.Duration, seed uint64, tell func(time.Duration, bool, fleet.Waits), early time.Duration) error {
	phases := []partner.Phase{{Mode: partner.Well, For: 500 * time.Millisecond}, {Mode: partner.Full, For: 60 * time.Millisecond}}
	p, err := partner.Start(partner.Options{Name: "acme", Wait: wait, Phases: phases})
	if err != nil {
		return err
	}
	defer p.Close()
	return inFleet(bin, senders, seed, true, p, func(f *fleet.Fleet) error {
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 5}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		defer func() { close(stop); <-done }()
		script := fleet.RandomScript(seed, senders, length)
		if err := f.Play(&script); err != nil {
			return err
		}
		took, ok := f.WaitForEqualFacts(20 * time.Second)
		if _, ok := f.WaitUntil(clusterPatience, fleet.AllReachable); !ok {
			return fmt.Errorf("the senders did not meet again")
		}
		until := time.Now().Add(wait) // those that were told before may still hold
		f.WaitUntil(wait, func([]fleet.SenderView) bool { return time.Now().After(until) })
		n := len(p.Calls())
		f.WaitUntil(2*wait, func([]fleet.SenderView) bool { return false })
		tell(took, ok, fleet.CheckWaits(p.Calls()[n:], wait, early))
		return nil
	})
}

func numbers(text string) (out []int, err error) {
	for x := range strings.SplitSeq(text, ",") {
		var n int
		if _, err := fmt.Sscan(x, &n); err != nil || n < 1 {
			return nil, fmt.Errorf("--senders %s: %q is no size", text, x)
		}
		out = append(out, n)
	}
	return out, nil
}
