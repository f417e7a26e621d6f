package capacity

import (
	"fmt"
	"time"
)

// rateBench returns the bench that submits messages for 100 healthy partners; its size is the number
// of messages per second.
func rateBench() Bench {
	const from = "380,000 a second / 560 senders"
	return Bench{Name: "rate", Way: Processes, SizeOf: "messages a second to 100 destinations that are well", Sizes: []int{85, 170, 340, 680, 1360},
		Quantities: []Quantity{
			{Slope: Slope{Name: "rate-cpu", Measures: "processor time", Unit: "% of a core", Target: senderMessages,
				Bound: 100, Source: from + "; one core"}},
			{Slope: Slope{Name: "rate-p99", Measures: "99th percentile from a client's write to the call",
				Unit: "ms", Target: senderMessages, Source: from + "; no bound is given"}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			v, err := runSpread(r, 100, float64(size))
			return v[:2], err
		}}
}

// idleTime is the default time after which the program closes an idle connection to a partner. After
// it the number of open connections is stable.
const idleTime = 10 * time.Second

// spreadBench returns the bench that submits messages at the rate of the target; its size is the
// number of healthy partners, which get them in turn.
func spreadBench() Bench {
	const from = "42,000 destinations, 680 a second"
	return Bench{Name: "spread", Way: Processes, SizeOf: "destinations that are well, 680 messages a second in turn", Sizes: []int{500, 1000, 2000, 4000, 8000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "spread-cpu", Measures: "processor time", Unit: "% of a core", Target: destinations,
				Bound: 100, Source: from + "; one core"}},
			{Slope: Slope{Name: "spread-p99", Measures: "99th percentile from a client's write to the call",
				Unit: "ms", Target: destinations, Source: from + "; no bound is given"}},
			{Slope: Slope{Name: "spread-descriptors", Measures: "descriptors open after 10 s or more", Unit: "open", Target: destinations, Bound: 1 << 22,
				Source: from + "; bound: the most that limits.descriptors takes",
				Note:   "each destination gets a message after size / 680 s; its connection rests for 10 s"}},
		}, Run: func(r *Setup, size int) ([]float64, error) { return runSpread(r, size, senderMessages) }}
}

// runSpread submits messages for healthy partners in turn, each with an address of its own, at a rate
// per second. It returns three values, also on an error: the processor time in percent of a core, the
// 99th percentile in ms from the write of a message to its call, and the number of open descriptors.
func runSpread(r *Setup, destinations int, rate float64) ([]float64, error) {
	none := []float64{0, 0, 0}
	p, err := newDestinationServer(destinations)
	if err != nil {
		return none, err
	}
	defer p.Close()
	d, err := start(r.Program, configHeader(100_000)+p.config())
	if err != nil {
		return none, err
	}
	defer d.close()
	c, err := d.dial()
	if err != nil {
		return none, err
	}
	defer c.Close()
	warm := r.ObservationTime
	if !r.Minimal && destinations > 100 {
		warm = idleTime // until the number of idle connections is stable
	}
	if _, err := p.measureLatency(c, "a", rate, warm); err != nil { // establishes the connections
		return none, err
	}
	cpu, from := d.cpu(), time.Now()
	latencies, err := p.measureLatency(c, "b", rate, 2*r.ObservationTime)
	if err != nil {
		return none, err
	}
	used := 100 * (d.cpu() - cpu).Seconds() / time.Since(from).Seconds()
	return []float64{used, quantile(latencies, 0.99), float64(descriptors(d.Cmd.Process.Pid))}, nil
}

// endsBench returns the bench that has messages delivered and their ends remembered; its size is the
// number of messages.
func endsBench() Bench {
	const from = "680 ends a second, remembered for an hour as remember says where a file says nothing"
	return Bench{Name: "ends", Way: Processes, SizeOf: "ends remembered", Sizes: []int{5000, 10_000, 20_000, 40_000, 80_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "ends-memory", Measures: "resident memory", Unit: "MB",
				Target: 3600 * senderMessages, Source: from + "; no bound is given"}, SubtractBase: true},
			{Slope: Slope{Name: "ends-cpu", Measures: "processor time for each, taken on, delivered and ended",
				Unit: "ms", Target: 3600 * senderMessages, Bound: msPerMessage,
				Source: from + "; " + coreSource}},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			p, err := newDestinationServer(1)
			if err != nil {
				return nil, err
			}
			defer p.Close()
			text := configHeader(20_000) + p.config()
			d, err := start(r.Program, "[limits]\nremembered = 1000000\n"+text[len("[limits]\n"):])
			if err != nil {
				return nil, err
			}
			defer d.close()
			c, err := d.dial()
			if err != nil {
				return nil, err
			}
			defer c.Close()
			cpu := d.cpu()
			accepted, err := submit(c, "m", size, 32, func(int) string { return "well0" })
			if err != nil || accepted != size {
				return nil, fmt.Errorf("%d of %d accepted: %w", accepted, size, err)
			}
			if !p.awaitArrivals(size, 20*time.Second) {
				return nil, fmt.Errorf("%d of %d arrived", p.arrived(), size)
			}
			used := (d.cpu() - cpu).Seconds() * 1000 / float64(max(size, 1))
			d.awaitIdle(r.ObservationTime / 10)
			return []float64{d.residentMB(), used}, nil
		}}
}
