package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	replicateplay "cometrack/internal/replicate/play"
	"cometrack/internal/view"
	viewplay "cometrack/internal/view/play"
)

const (
	tickInterval = 300 * time.Millisecond // of messages and of digests of facts: a tenth of the lease of 3 s
	sealBytes    = 21                     // bytes that sealing and its header add to a packet (internal/cluster)
)

// viewBench returns the bench that counts, in virtual time, the membership messages between senders; its
// size is the number of senders.
func viewBench() Bench {
	return Bench{Name: "view", Way: Virtual, SizeOf: "senders that know of each other, calm", Sizes: []int{10, 20, 40, 80, 160},
		Quantities: []Quantity{
			{Slope: Slope{Name: "view-bytes", Measures: "sent by each in datagrams with their heads, facts apart",
				Unit: "bytes a second", Target: fleetSenders, Bound: controlBytesPerSecond,
				Source: sendersSource + "; 14 KB a second for control"}},
			{Slope: Slope{Name: "view-messages", Measures: "messages sent by each, facts apart", Unit: "a second",
				Target: fleetSenders, Source: sendersSource + "; no bound is given"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			w := viewplay.New(viewplay.Options{Seed: 1, Senders: size, MinShareTotal: 0.1, Lease: 10 * tickInterval,
				Interval: tickInterval, MaxClockDrift: 0.01, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
			w.Run(10 * time.Second)
			if !w.Converged() {
				return nil, fmt.Errorf("%d senders did not converge within 10 s", size)
			}
			enc, err := cbor.EncOptions{}.EncMode()
			if err != nil {
				return nil, err
			}
			sent, bytes := w.Sent, 0
			w.SizeOf = func(m *view.Message) int { b, _ := enc.Marshal(m); return len(b) + sealBytes + headerBytes }
			span := 2 * time.Second
			w.Run(span)
			for _, p := range w.Running {
				bytes += p.SentBytes
			}
			each := span.Seconds() * float64(size)
			return []float64{float64(bytes) / each, float64(w.Sent-sent) / each}, nil
		}}
}

// newFactsWorld returns a fleet that shares facts in virtual time, one second after its start.
func newFactsWorld(senders int) *replicateplay.World {
	w := replicateplay.New(replicateplay.Options{Seed: 1, Senders: senders, DigestInterval: tickInterval,
		Rate: 1 << 20, Drift: 0.01, Delay: time.Millisecond, Jitter: 4 * time.Millisecond})
	w.Run(time.Second)
	return w
}

// factSize returns the bytes of a datagram with a message about facts, headers included.
func factSize(m *replicate.Message) int {
	b, _ := cbor.Marshal(m)
	return len(b) + sealBytes + headerBytes
}

// bytesPerSecond runs the fleet for a span of virtual time and returns the bytes per second that each
// sender sent in it.
func bytesPerSecond(w *replicateplay.World, span time.Duration) float64 {
	w.SizeOf = factSize
	before, from := w.Bytes, w.Now
	w.Run(span)
	return float64(w.Bytes-before) / (w.Now - from).Seconds() / float64(len(w.Procs))
}

// factsBySendersBench returns the bench of the traffic of facts, in virtual time, by the number of senders:
// with a hundred facts in force and none new, and with each sender publishing as many as in the
// target.
func factsBySendersBench() Bench {
	const published = destinationsInOutage / republishSeconds // per second
	return Bench{Name: "facts-senders", Way: Virtual, SizeOf: "senders that share facts", Sizes: []int{5, 10, 20, 40},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-calm", Measures: "sent by each, a hundred facts in force and none new",
				Unit: "bytes a second", Target: fleetSenders, Bound: controlBytesPerSecond,
				Source: sendersSource + "; 14 KB a second for control"}},
			{Slope: Slope{Name: "facts-told", Measures: fmt.Sprintf("sent by each while each tells %d facts a second", published), Unit: "bytes a second", Target: fleetSenders, Bound: controlBytesPerSecond,
				Source: sendersSource + ", 670 destinations out, each told again every 40 s by each; 14 KB a second for control"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			w := newFactsWorld(size)
			for i := range size {
				w.PublishWaits(i, max(100/size, 1), time.Hour)
			}
			w.Run(10 * time.Second)
			calm := bytesPerSecond(w, 20*time.Second)
			for i := range size {
				for k := range 5 * published {
					w.After(time.Duration(k)*time.Second/published,
						func() { w.PublishWait(i, fmt.Sprint("out-", k), time.Minute) })
				}
			}
			return []float64{calm, bytesPerSecond(w, 5*time.Second)}, nil
		}}
}

// factsByNumberBench returns the bench of the traffic, in virtual time, for facts in force with none new;
// its size is the number of facts.
func factsByNumberBench() Bench {
	return Bench{Name: "facts-number", Way: Virtual, SizeOf: "facts in force among ten senders", Sizes: []int{200, 400, 800, 1600},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-held", Measures: "sent by each, none new", Unit: "bytes a second",
				Target: concurrentFacts, Bound: controlBytesPerSecond,
				Source: "670 destinations out, told by each of 560 senders; 14 KB a second for control"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			w := newFactsWorld(10)
			for i := range 10 {
				w.PublishWaits(i, max(size/10, 1), time.Hour)
			}
			w.Run(20 * time.Second)
			return []float64{bytesPerSecond(w, 20*time.Second)}, nil
		}}
}

// factsMemoryBench returns the bench of the memory of a sender's replica; its size is the number of facts.
func factsMemoryBench() Bench {
	return Bench{Name: "facts-memory", Way: InProcess, SizeOf: "facts in a copy", Sizes: []int{12_500, 25_000, 50_000, 100_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-memory", Measures: "memory of the copy", Unit: "MB", Target: concurrentFacts,
				Bound:  controlMB,
				Source: "670 destinations out, told by each of 560 senders; 128 MB for control"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.GC() // frees what the finalizers of the first run held
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			c := facts.New(facts.Origin{Name: "s0", Incarnation: 1}, "", 0)
			for i := range size {
				s := facts.Subject{Kind: facts.Health, Partner: fmt.Sprint("partner-", i), Endpoint: fmt.Sprint("partner-", i, "/127.0.0.1:9000")}
				if err := c.Publish(time.Second, s, facts.Value{InOutage: true}, 0, time.Minute); err != nil {
					return nil, err
				}
			}
			used := float64(heap()-before) / 1e6
			if c.Len() != size {
				return nil, fmt.Errorf("%d facts of %d", c.Len(), size)
			}
			return []float64{used}, nil
		}}
}

// factsCatchUpBench returns the bench that measures, in virtual time, how long a sender that starts without
// facts needs to catch up; its size is the number of facts that the others have.
func factsCatchUpBench() Bench {
	return Bench{Name: "facts-catchup", Way: Virtual, SizeOf: "facts that one of five senders catches up with", Sizes: []int{1250, 2500, 5000, 10_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-catchup", Measures: "time until it has them", Unit: "s",
				Target: concurrentFacts, Bound: maxChangeSeconds,
				Source: "670 destinations out, told by each of 560 senders; bound: one lease of 3 s"}},
			{Slope: Slope{Name: "facts-catchup-bytes", Measures: "sent by all meanwhile", Unit: "MB",
				Target: concurrentFacts,
				Source: "670 destinations out, told by each of 560 senders; no bound is given"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			w := replicateplay.New(replicateplay.Options{Seed: 1, Senders: 5, DigestInterval: tickInterval,
				Rate: 1 << 20, Delay: time.Millisecond})
			w.Run(time.Second)
			w.PublishWaits(0, size, time.Hour)
			w.Run(time.Duration(size)*time.Millisecond + 5*time.Second)
			if !w.AllHave(size) {
				return nil, fmt.Errorf("the other senders do not have %d facts", size)
			}
			w.SizeOf = factSize
			from, before := w.Now, w.Bytes
			p := w.Start(4)
			for p.CaughtUpAt == 0 && w.Now-from < 10*time.Minute {
				w.Run(time.Millisecond)
			}
			if p.CaughtUpAt == 0 {
				return nil, fmt.Errorf("the sender has not caught up within 10 min")
			}
			return []float64{(w.Now - from).Seconds(), float64(w.Bytes-before) / 1e6}, nil
		}}
}
