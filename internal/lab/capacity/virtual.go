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
	every  = 300 * time.Millisecond // of a tick: a tenth of the lease of 3 s
	sealed = 21                     // bytes that sealing and its head add to a packet (internal/cluster)
)

// viewPlay counts in virtual time what senders tell each other of who is there.
func viewPlay() Bench {
	return Bench{Name: "view", Way: Virtual, SizeOf: "senders that know of each other, calm", Sizes: []int{10, 20, 40, 80, 160},
		Quantities: []Quantity{
			{Slope: Slope{Name: "view-bytes", Measures: "sent by each in datagrams with their heads, facts apart", Unit: "bytes a second", Target: fleetSenders, Bound: controlBytes,
				From: sendersFrom + "; 14 KB a second for control"}},
			{Slope: Slope{Name: "view-messages", Measures: "messages sent by each, facts apart", Unit: "a second", Target: fleetSenders, From: sendersFrom + "; no bound is given"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			w := viewplay.New(viewplay.Options{Seed: 1, Senders: size, MinShareTotal: 0.1, Lease: 10 * every, Interval: every, MaxClockDrift: 0.01, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
			w.Run(10 * time.Second)
			if !w.Converged() {
				return nil, fmt.Errorf("%d senders have not met within 10 s", size)
			}
			enc, err := cbor.EncOptions{}.EncMode()
			if err != nil {
				return nil, err
			}
			sent, bytes := w.Sent, 0
			w.SizeOf = func(m *view.Message) int { b, _ := enc.Marshal(m); return len(b) + sealed + heads }
			span := 2 * time.Second
			w.Run(span)
			for _, p := range w.Running {
				bytes += p.SentBytes
			}
			each := span.Seconds() * float64(size)
			return []float64{float64(bytes) / each, float64(w.Sent-sent) / each}, nil
		}}
}

func factsWorld(senders int) *replicateplay.World {
	w := replicateplay.New(replicateplay.Options{Seed: 1, Senders: senders, DigestInterval: every, Rate: 1 << 20, Drift: 0.01, Delay: time.Millisecond, Jitter: 4 * time.Millisecond})
	w.Run(time.Second)
	return w
}

func factSize(m *replicate.Message) int {
	b, _ := cbor.Marshal(m)
	return len(b) + sealed + heads
}

// counted is the bytes a second that each sender sends over a span.
func counted(w *replicateplay.World, span time.Duration) float64 {
	w.SizeOf = factSize
	before, from := w.Bytes, w.Now
	w.Run(span)
	return float64(w.Bytes-before) / (w.Now - from).Seconds() / float64(len(w.Procs))
}

// factsBySenders counts in virtual time what facts cost by senders: with a hundred in
// force and none new, and with each telling as many as the target has it tell.
func factsBySenders() Bench {
	const told = downAtOnce / toldAgain // a second
	return Bench{Name: "facts-senders", Way: Virtual, SizeOf: "senders that share facts", Sizes: []int{5, 10, 20, 40},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-calm", Measures: "sent by each, a hundred facts in force and none new", Unit: "bytes a second", Target: fleetSenders, Bound: controlBytes,
				From: sendersFrom + "; 14 KB a second for control"}},
			{Slope: Slope{Name: "facts-told", Measures: fmt.Sprintf("sent by each while each tells %d facts a second", told), Unit: "bytes a second", Target: fleetSenders, Bound: controlBytes,
				From: sendersFrom + ", 670 destinations out, each told again every 40 s by each; 14 KB a second for control"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			w := factsWorld(size)
			for i := range size {
				w.PublishWaits(i, max(100/size, 1), time.Hour)
			}
			w.Run(10 * time.Second)
			calm := counted(w, 20*time.Second)
			for i := range size {
				for k := range 5 * told {
					w.After(time.Duration(k)*time.Second/told, func() { w.PublishWait(i, fmt.Sprint("out-", k), time.Minute) })
				}
			}
			return []float64{calm, counted(w, 5*time.Second)}, nil
		}}
}

// factsByNumber counts in virtual time what facts in force cost with none new.
func factsByNumber() Bench {
	return Bench{Name: "facts-number", Way: Virtual, SizeOf: "facts in force among ten senders", Sizes: []int{200, 400, 800, 1600},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-held", Measures: "sent by each, none new", Unit: "bytes a second", Target: factsAtOnce, Bound: controlBytes,
				From: "670 destinations out, told by each of 560 senders; 14 KB a second for control"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			w := factsWorld(10)
			for i := range 10 {
				w.PublishWaits(i, max(size/10, 1), time.Hour)
			}
			w.Run(20 * time.Second)
			return []float64{counted(w, 20*time.Second)}, nil
		}}
}

// factsMemory measures the memory of a sender's copy.
func factsMemory() Bench {
	return Bench{Name: "facts-memory", Way: InProcess, SizeOf: "facts in a copy", Sizes: []int{12_500, 25_000, 50_000, 100_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-memory", Measures: "memory of the copy", Unit: "MB", Target: factsAtOnce, Bound: controlMB,
				From: "670 destinations out, told by each of 560 senders; 128 MB for control"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.GC() // what finalizers of the first held on to
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

// factsCatchUp measures in virtual time how long one that starts with nothing needs.
func factsCatchUp() Bench {
	return Bench{Name: "facts-catchup", Way: Virtual, SizeOf: "facts that one of five senders catches up with", Sizes: []int{1250, 2500, 5000, 10_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "facts-catchup", Measures: "time until it has them", Unit: "s", Target: factsAtOnce, Bound: changeWithin,
				From: "670 destinations out, told by each of 560 senders; bound: one lease of 3 s"}},
			{Slope: Slope{Name: "facts-catchup-bytes", Measures: "sent by all meanwhile", Unit: "MB", Target: factsAtOnce,
				From: "670 destinations out, told by each of 560 senders; no bound is given"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			w := replicateplay.New(replicateplay.Options{Seed: 1, Senders: 5, DigestInterval: every, Rate: 1 << 20, Delay: time.Millisecond})
			w.Run(time.Second)
			w.PublishWaits(0, size, time.Hour)
			w.Run(time.Duration(size)*time.Millisecond + 5*time.Second)
			if !w.AllHave(size) {
				return nil, fmt.Errorf("the others do not have %d facts", size)
			}
			w.SizeOf = factSize
			from, before := w.Now, w.Bytes
			p := w.Start(4)
			for p.CaughtUpAt == 0 && w.Now-from < 10*time.Minute {
				w.Run(time.Millisecond)
			}
			if p.CaughtUpAt == 0 {
				return nil, fmt.Errorf("it has not caught up within 10 min")
			}
			return []float64{(w.Now - from).Seconds(), float64(w.Bytes-before) / 1e6}, nil
		}}
}
