package main

import (
	"flag"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	"cometrack/internal/replicate/play"
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
				var group sync.WaitGroup
				var wrong error
				told, inside, latest := 0, []int(nil), time.Duration(0)
				places := make(chan struct{}, parallel)
				for i := range plays {
					places <- struct{}{}
					group.Go(func() {
						defer func() { <-places }()
						w, err := waitPlay(bin, n, link, shared, all, wait, length, early, seed+uint64(i))
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							wrong = err
							return
						}
						told, inside, latest = told+w.Told, append(inside, w.Inside), max(latest, w.Latest)
					})
				}
				group.Wait()
				if wrong != nil {
					return wrong
				}
				fmt.Printf("| %d | %s | %v | %d | %v | %v |\n", n, link, shared, told, inside, latest.Round(time.Millisecond/10))
			}
		}
	}
	return nil
}

func waitPlay(bin string, n int, link string, shared bool, all float64, wait, length, early time.Duration, seed uint64) (out fleet.Waits, err error) {
	p, err := partner.Start(partner.Options{Name: "acme", Wait: wait, Seconds: true, Phases: []partner.Phase{
		{Mode: partner.Well, For: 700 * time.Millisecond}, {Mode: partner.Full, For: 150 * time.Millisecond}}})
	if err != nil {
		return out, err
	}
	defer p.Close()
	opts := fleet.Options{Program: bin, Senders: n, Seed: seed, Config: fleet.Partners(p), Cluster: fmt.Sprintf("lease = \"1s\"\nfacts = %v", shared)}
	if n == 1 {
		opts.Cluster = "off"
	}
	err = inDir(opts, func(opts fleet.Options) error {
		f, err := fleet.Start(opts)
		if err != nil {
			return err
		}
		defer f.Close()
		if n > 1 {
			if _, ok := f.Until(clusterPatience, fleet.AllHere); !ok {
				return fmt.Errorf("the senders did not meet")
			}
		}
		for i := range n {
			for k := range n {
				switch {
				case i == k:
				case link == "20% lost":
					f.Fault(i, k, fleet.Faults{Loss: 0.2})
				case link == "s0 is heard by nobody" && i == 0:
					f.Fault(i, k, fleet.Faults{Cut: true})
				}
			}
		}
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: all / float64(n)}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		f.Until(length, func([]fleet.Seen) bool { return false })
		close(stop)
		<-done
		out = fleet.InWaits(p.Calls(), wait, early)
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
				opts := fleet.Options{Program: bin, Senders: n, Config: fleet.Partners(p), Cluster: fmt.Sprintf("lease = \"1s\"\nfacts = %v", shared)}
				if n == 1 {
					opts.Cluster = "off"
				}
				err = inDir(opts, func(opts fleet.Options) error {
					f, err := fleet.Start(opts)
					if err != nil {
						return err
					}
					defer f.Close()
					if n > 1 {
						if _, ok := f.Until(clusterPatience, fleet.AllHere); !ok {
							return fmt.Errorf("the senders did not meet")
						}
					}
					feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 120 / float64(n)}, make(chan struct{}), make(chan struct{})
					go func() { feed.Run(f, stop); close(done) }()
					span := func(d time.Duration) { f.Until(d, func([]fleet.Seen) bool { return false }) }
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
					rates = append(rates, fmt.Sprintf("%.1f", fleet.Took(calls, "", from, back)))
					at, busy := 20*time.Second, 20*time.Second
					for _, c := range calls {
						if d := c.At.Sub(back); d > 0 && c.Status == 200 {
							at = min(at, d)
							if fleet.Took(calls, "", c.At, c.At.Add(500*time.Millisecond)) >= 50 {
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
	var group sync.WaitGroup
	equal, never, told, inside, failed := []time.Duration(nil), 0, 0, 0, 0
	places := make(chan struct{}, parallel)
	for i := range uint64(plays) {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
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
	}
	group.Wait()
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
	opts := fleet.Options{Program: bin, Senders: senders, Seed: seed, Cluster: `lease = "1s"`, Config: fleet.Partners(p)}
	return inDir(opts, func(opts fleet.Options) error {
		f, err := fleet.Start(opts)
		if err != nil {
			return err
		}
		defer f.Close()
		if _, ok := f.Until(clusterPatience, fleet.AllHere); !ok {
			return fmt.Errorf("the senders did not meet")
		}
		feed, stop, done := &fleet.Feed{Partner: "acme", Class: "safe", Rate: 5}, make(chan struct{}), make(chan struct{})
		go func() { feed.Run(f, stop); close(done) }()
		defer func() { close(stop); <-done }()
		script := fleet.DrawScript(seed, senders, length)
		if err := f.Play(&script); err != nil {
			return err
		}
		took, ok := f.TellAlike(20 * time.Second)
		if _, ok := f.Until(clusterPatience, fleet.AllHere); !ok {
			return fmt.Errorf("the senders did not meet again")
		}
		until := time.Now().Add(wait) // those that were told before may still hold
		f.Until(wait, func([]fleet.Seen) bool { return time.Now().After(until) })
		n := len(p.Calls())
		f.Until(2*wait, func([]fleet.Seen) bool { return false })
		tell(took, ok, fleet.InWaits(p.Calls()[n:], wait, early))
		return nil
	})
}

// knowledgeOptions are those of plays in virtual time.
func knowledgeOptions(seed uint64) play.Options {
	return play.Options{Seed: seed, Senders: 2 + int(seed%5), Every: 100 * time.Millisecond, Rate: 1 << 20, Drift: 0.01,
		Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Zones: 1 + int(seed%2)}
}

func knowledgeVirtual(plays, parallel int, seed uint64) error {
	var mu sync.Mutex
	var group sync.WaitGroup
	bad, equal, caught := 0, []time.Duration(nil), []time.Duration(nil)
	places := make(chan struct{}, parallel)
	for i := range uint64(plays) {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			o := play.Draw(knowledgeOptions(seed+i), 20*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if text := o.Bad(); text != "" {
				bad++
				fmt.Printf("seed %d: %s\n", seed+i, text)
			}
			equal, caught = append(equal, o.Equal), append(caught, o.Caught)
		})
	}
	group.Wait()
	fmt.Printf("%d plays, %d of which broke something; copies equal after the faults: %s; caught up after a return or 1 s of pause: %s\n",
		plays, bad, fine(equal), fine(caught))
	return nil
}

// fine is a row of spans in order: median, 99th percentile, longest.
func fine(list []time.Duration) string {
	slices.Sort(list)
	ms := func(i int) float64 { return float64(list[i].Microseconds()) / 1000 }
	return fmt.Sprintf("%.1f, %.1f, %.1f ms", ms(len(list)/2), ms(min(len(list)*99/100, len(list)-1)), ms(len(list)-1))
}

// knowledgeEqual measures how long copies differ after a wait was told, by size and
// loss, and after a cut of 30 s in which both halves have learnt.
func knowledgeEqual(sizes string, plays int, seed uint64) error {
	list, err := numbers(sizes)
	if err != nil {
		return err
	}
	fmt.Println("| senders | loss | all have a wait that was told (median, p99, longest) | copies equal after 30 s in two pieces |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range list {
		if n < 2 {
			continue
		}
		for _, loss := range []float64{0, 0.01, 0.1, 0.3} {
			var known, healed []time.Duration
			for i := range plays {
				o := knowledgeOptions(seed + uint64(i))
				o.Senders = n
				w := play.New(o)
				w.Run(time.Second)
				lose := func() {
					for a := range n {
						for b := range n {
							w.Lose(a, b, loss)
						}
					}
				}
				lose()
				for k := range 10 {
					w.Wait(k%n, fmt.Sprint("e", k), 100*time.Second)
					from := w.Now
					for !w.Equal() && w.Now-from < 20*time.Second {
						w.Run(time.Millisecond / 2)
					}
					known = append(known, w.Now-from)
				}
				for a := range n {
					for b := range n {
						if (a < n/2) != (b < n/2) {
							w.Cut(a, b, true)
						}
					}
				}
				for k := range 60 {
					w.Wait(k%n, fmt.Sprint("x", k), 100*time.Second)
					w.Run(500 * time.Millisecond)
				}
				w.Heal()
				lose()
				from := w.Now
				for !w.Equal() && w.Now-from < 60*time.Second {
					w.Run(time.Millisecond)
				}
				healed = append(healed, w.Now-from)
			}
			fmt.Printf("| %d | %.0f%% | %s | %s |\n", n, 100*loss, fine(known), fine(healed))
		}
	}
	return nil
}

func sizeInCBOR(m *replicate.Message) int {
	b, _ := cbor.Marshal(m)
	return len(b) + 21 // and its head
}

// knowledgeCatchUp measures in virtual time how long one that starts with nothing
// takes to catch up, and what is sent for it.
func knowledgeCatchUp(seed uint64) error {
	fmt.Println("| facts | caught up after | bytes sent by all meanwhile | a fact | givers killed half-way: caught up after |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	if err := knowledgeFlood(seed); err != nil {
		return err
	}
	for _, n := range []int{100, 10_000, 100_000} {
		took := [2]time.Duration{}
		bytes := int64(0)
		for k := range 2 {
			o := knowledgeOptions(seed)
			o.Senders, o.Drift, o.Jitter = 5, 0, 0 // datagrams of one link stay in order
			w := play.New(o)
			w.Run(time.Second)
			w.Fill(0, n, time.Hour)
			w.Run(time.Duration(n) * 2 * time.Millisecond / 4 * 2)
			w.Run(5 * time.Second)
			if !w.Full(n) {
				return fmt.Errorf("the others do not have %d facts", n)
			}
			w.SizeOf = sizeInCBOR
			from := w.Now
			p := w.Start(4)
			if k == 1 {
				for i := range 2 { // one after another
					w.Run(took[0] / 6)
					w.Kill(1 + i)
				}
			}
			before := w.Bytes
			for p.Caught == 0 && w.Now-from < 10*time.Minute {
				w.Run(time.Millisecond)
			}
			took[k] = w.Now - from
			if k == 0 {
				bytes = w.Bytes - before
			}
		}
		fmt.Printf("| %d | %v | %d | %.0f bytes | %v |\n", n, took[0].Round(time.Millisecond), bytes, float64(bytes)/float64(n), took[1].Round(time.Millisecond))
	}
	return nil
}

// knowledgeFlood has 10,000 facts told in a second, and a wait in the midst of them.
func knowledgeFlood(seed uint64) error {
	const all = 10_000
	o := knowledgeOptions(seed)
	o.Senders, o.Drift = 5, 0
	w := play.New(o)
	w.Run(time.Second)
	var known []time.Duration
	from := w.Now
	for i := range 100 {
		w.Fill(0, all/100*(i+1), time.Hour) // and all before once more
		at := w.Now
		w.Wait(1, fmt.Sprint("now", i), time.Hour)
		took, _ := w.Until(10*time.Second, func() bool { return w.Knows(1) })
		known = append(known, took)
		w.Run(max(10*time.Millisecond-(w.Now-at), 0))
	}
	told := w.Now - from
	if _, ok := w.Until(time.Minute, func() bool { return w.Full(all + 100) }); !ok {
		return fmt.Errorf("not all have %d facts", all)
	}
	fmt.Printf("%d facts and half a million changes of them told within %v by one sender of five: all have all after %v; a wait told meanwhile by another is known by all after %s\n\n",
		all, told.Round(time.Millisecond), (w.Now - from).Round(time.Millisecond), fine(known))
	return nil
}

// knowledgeBytes measures what is sent in a calm minute, and the memory of a copy.
func knowledgeBytes(sizes string, seed uint64) error {
	list, err := numbers(sizes)
	if err != nil {
		return err
	}
	fmt.Println("| senders | facts | bytes a second sent by each, calm | messages a second, all |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range list {
		for _, held := range []int{0, 100, 1000} {
			if n < 2 {
				continue
			}
			o := knowledgeOptions(seed)
			o.Senders, o.Every = n, 300*time.Millisecond
			w := play.New(o)
			w.Run(time.Second)
			for i := range n {
				w.Fill(i, held/n+1, time.Hour)
			}
			w.Run(20 * time.Second)
			w.SizeOf = sizeInCBOR
			bytes, sent := w.Bytes, w.Sent
			w.Run(time.Minute)
			fmt.Printf("| %d | %d | %.0f | %.1f |\n", n, held, float64(w.Bytes-bytes)/60/float64(n), float64(w.Sent-sent)/60)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := facts.New(facts.Origin{Name: "s0", Life: 1}, "", 0)
	const many = 50_000
	for i := range many {
		c.Tell(time.Second, facts.Subject{Kind: facts.Wait, Partner: fmt.Sprint("partner-", i), Endpoint: fmt.Sprint("partner-", i, "/127.0.0.1:9000")}, facts.Value{}, 0, time.Hour)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	fmt.Printf("\n%.0f bytes of memory a fact, of %d\n", float64(after.HeapAlloc-before.HeapAlloc)/many, c.Len())
	return nil
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
