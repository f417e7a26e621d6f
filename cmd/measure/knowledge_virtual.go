package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	"cometrack/internal/replicate/play"
)

// virtualFactOptions returns the options of a fleet that shares facts in virtual time. The seed
// determines its size, 2 to 6 senders, and whether it has one zone or two.
func virtualFactOptions(seed uint64) play.Options {
	return play.Options{Seed: seed, Senders: 2 + int(seed%5), DigestInterval: 100 * time.Millisecond, Rate: 1 << 20,
		Drift: 0.01,
		Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Zones: 1 + int(seed%2)}
}

// runVirtualFacts runs random faults in virtual time, and prints violated invariants and
// the times of convergence and catch-up.
func runVirtualFacts(plays, parallel int, seed uint64) error {
	var mu sync.Mutex
	violations, convergenceTimes, catchUpTimes := 0, []time.Duration(nil), []time.Duration(nil)
	runParallel(plays, parallel, func(i uint64) {
		o := play.RunRandom(virtualFactOptions(seed+i), 20*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if text := o.Violation(); text != "" {
			violations++
			fmt.Printf("seed %d: %s\n", seed+i, text)
		}
		convergenceTimes, catchUpTimes = append(convergenceTimes, o.ConvergenceTime), append(catchUpTimes, o.CatchUpTime)
	})
	fmt.Printf("%d plays, %d of which broke something; copies equal after the faults: %s; caught up after a return or 1 s of pause: %s\n",
		plays, violations, summarizeMilliseconds(convergenceTimes), summarizeMilliseconds(catchUpTimes))
	return nil
}

// summarizeMilliseconds returns the median, the 99th percentile and the maximum in
// milliseconds. It sorts list, which must not be empty.
func summarizeMilliseconds(list []time.Duration) string {
	slices.Sort(list)
	ms := func(i int) float64 { return float64(list[i].Microseconds()) / 1000 }
	return fmt.Sprintf("%.1f, %.1f, %.1f ms", ms(len(list)/2), ms(min(len(list)*99/100, len(list)-1)), ms(len(list)-1))
}

// measureConvergence measures how long replicas differ after a requested wait was
// published, by fleet size and loss, and after a partition of 30 s in which both halves
// published facts.
func measureConvergence(sizes string, plays int, seed uint64) error {
	list, err := parseSizes(sizes)
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
			var propagationTimes, convergenceTimes []time.Duration
			for i := range plays {
				o := virtualFactOptions(seed + uint64(i))
				o.Senders = n
				w := play.New(o)
				w.Run(time.Second)
				applyLoss := func() {
					for a := range n {
						for b := range n {
							w.SetLoss(a, b, loss)
						}
					}
				}
				applyLoss()
				for k := range 10 {
					w.PublishWait(k%n, fmt.Sprint("e", k), 100*time.Second)
					from := w.Now
					for !w.Converged() && w.Now-from < 20*time.Second {
						w.Run(time.Millisecond / 2)
					}
					propagationTimes = append(propagationTimes, w.Now-from)
				}
				for a := range n {
					for b := range n {
						if (a < n/2) != (b < n/2) {
							w.Cut(a, b, true)
						}
					}
				}
				for k := range 60 {
					w.PublishWait(k%n, fmt.Sprint("x", k), 100*time.Second)
					w.Run(500 * time.Millisecond)
				}
				w.Heal()
				applyLoss()
				from := w.Now
				for !w.Converged() && w.Now-from < 60*time.Second {
					w.Run(time.Millisecond)
				}
				convergenceTimes = append(convergenceTimes, w.Now-from)
			}
			fmt.Printf("| %d | %.0f%% | %s | %s |\n", n, 100*loss, summarizeMilliseconds(propagationTimes),
				summarizeMilliseconds(convergenceTimes))
		}
	}
	return nil
}

// encodedSize returns the size in bytes of the UDP payload that carries the message m.
func encodedSize(m *replicate.Message) int {
	b, _ := cbor.Marshal(m)
	return len(b) + 21 // with the header of 21 bytes
}

// measureCatchUp measures in virtual time how long a sender that starts without facts
// takes to catch up, the bytes sent for it, and the same with two peers killed meanwhile.
func measureCatchUp(seed uint64) error {
	fmt.Println("| facts | caught up after | bytes sent by all meanwhile | a fact | givers killed half-way: caught up after |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	if err := measureFactBurst(seed); err != nil {
		return err
	}
	for _, n := range []int{100, 10_000, 100_000} {
		catchUpTimes := [2]time.Duration{}
		bytes := int64(0)
		for k := range 2 {
			o := virtualFactOptions(seed)
			o.Senders, o.Drift, o.Jitter = 5, 0, 0 // datagrams of one link stay in order
			w := play.New(o)
			w.Run(time.Second)
			w.PublishWaits(0, n, time.Hour)
			w.Run(time.Duration(n) * 2 * time.Millisecond / 4 * 2)
			w.Run(5 * time.Second)
			if !w.AllHave(n) {
				return fmt.Errorf("the peers do not have %d facts", n)
			}
			w.SizeOf = encodedSize
			from := w.Now
			p := w.Start(4)
			if k == 1 {
				for i := range 2 { // one after another
					w.Run(catchUpTimes[0] / 6)
					w.Kill(1 + i)
				}
			}
			before := w.Bytes
			for p.CaughtUpAt == 0 && w.Now-from < 10*time.Minute {
				w.Run(time.Millisecond)
			}
			catchUpTimes[k] = w.Now - from
			if k == 0 {
				bytes = w.Bytes - before
			}
		}
		fmt.Printf("| %d | %v | %d | %.0f bytes | %v |\n", n, catchUpTimes[0].Round(time.Millisecond), bytes,
			float64(bytes)/float64(n), catchUpTimes[1].Round(time.Millisecond))
	}
	return nil
}

// measureFactBurst publishes 10,000 facts within a second at one sender, and single waits
// at another meanwhile. It prints the times until all five senders know them.
func measureFactBurst(seed uint64) error {
	const total = 10_000
	o := virtualFactOptions(seed)
	o.Senders, o.Drift = 5, 0
	w := play.New(o)
	w.Run(time.Second)
	var propagationTimes []time.Duration
	from := w.Now
	for i := range 100 {
		w.PublishWaits(0, total/100*(i+1), time.Hour) // publishes all earlier ones again as well
		at := w.Now
		w.PublishWait(1, fmt.Sprint("now", i), time.Hour)
		took, _ := w.Until(10*time.Second, func() bool { return w.AllHaveFactsOf(1) })
		propagationTimes = append(propagationTimes, took)
		w.Run(max(10*time.Millisecond-(w.Now-at), 0))
	}
	publishTime := w.Now - from
	if _, ok := w.Until(time.Minute, func() bool { return w.AllHave(total + 100) }); !ok {
		return fmt.Errorf("not all senders have %d facts", total)
	}
	fmt.Printf("%d facts and half a million changes of them told within %v by one sender of five: all have all after %v; a wait told meanwhile by another is known by all after %s\n\n",
		total, publishTime.Round(time.Millisecond), (w.Now - from).Round(time.Millisecond),
		summarizeMilliseconds(propagationTimes))
	return nil
}

// measureFactTraffic measures, in virtual time, the traffic of a minute without changes by size of
// fleet and number of facts, and the memory of a replica by the fact.
func measureFactTraffic(sizes string, seed uint64) error {
	list, err := parseSizes(sizes)
	if err != nil {
		return err
	}
	fmt.Println("| senders | facts | bytes a second sent by each, calm | messages a second, all |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range list {
		for _, factsHeld := range []int{0, 100, 1000} {
			if n < 2 {
				continue
			}
			o := virtualFactOptions(seed)
			o.Senders, o.DigestInterval = n, 300*time.Millisecond
			w := play.New(o)
			w.Run(time.Second)
			for i := range n {
				w.PublishWaits(i, factsHeld/n+1, time.Hour)
			}
			w.Run(20 * time.Second)
			w.SizeOf = encodedSize
			bytes, sent := w.Bytes, w.Sent
			w.Run(time.Minute)
			fmt.Printf("| %d | %d | %.0f | %.1f |\n", n, factsHeld, float64(w.Bytes-bytes)/60/float64(n),
				float64(w.Sent-sent)/60)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := facts.New(facts.Origin{Name: "s0", Incarnation: 1}, "", 0)
	const factCount = 50_000
	for i := range factCount {
		c.Publish(time.Second, facts.Subject{Kind: facts.RequestedWait, Partner: fmt.Sprint("partner-", i),
			Endpoint: fmt.Sprint("partner-", i, "/127.0.0.1:9000")}, facts.Value{}, 0, time.Hour)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	fmt.Printf("\n%.0f bytes of memory a fact, of %d\n", float64(after.HeapAlloc-before.HeapAlloc)/factCount, c.Len())
	return nil
}
