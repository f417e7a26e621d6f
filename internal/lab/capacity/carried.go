package capacity

import (
	"fmt"
	"time"
)

// rate has messages come at a pace, for partners that are well.
func rate() Bench {
	const from = "380,000 a second / 560 senders"
	return Bench{Name: "rate", Way: Processes, SizeOf: "messages a second to 100 destinations that are well", Sizes: []int{85, 170, 340, 680, 1360},
		Quantities: []Quantity{
			{Slope: Slope{Name: "rate-cpu", Measures: "processor time", Unit: "% of a core", Target: senderEvents, Bound: 100, From: from + "; one core"}},
			{Slope: Slope{Name: "rate-p99", Measures: "99th percentile from a client's write to the call", Unit: "ms", Target: senderEvents, From: from + "; no bound is given"}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			v, err := runSpread(r, 100, float64(size))
			return v[:2], err
		}}
}

// idleTime is how long a connection rests where a file says nothing.
const idleTime = 10 * time.Second

// spread has messages come at the target's pace, for ever more partners.
func spread() Bench {
	const from = "42,000 destinations, 680 a second"
	return Bench{Name: "spread", Way: Processes, SizeOf: "destinations that are well, 680 messages a second in turn", Sizes: []int{500, 1000, 2000, 4000, 8000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "spread-cpu", Measures: "processor time", Unit: "% of a core", Target: destinations, Bound: 100, From: from + "; one core"}},
			{Slope: Slope{Name: "spread-p99", Measures: "99th percentile from a client's write to the call", Unit: "ms", Target: destinations, From: from + "; no bound is given"}},
			{Slope: Slope{Name: "spread-descriptors", Measures: "descriptors open after 10 s or more", Unit: "open", Target: destinations, Bound: 1 << 22,
				From: from + "; bound: the most that limits.descriptors takes", Note: "each destination gets a message after size / 680 s; its connection rests for 10 s"}},
		}, Run: func(r *Rig, size int) ([]float64, error) { return runSpread(r, size, senderEvents) }}
}

// runSpread measures processor time, p99 and descriptors while messages come for
// partners in turn, each with an address of its own.
func runSpread(r *Rig, destinations int, rate float64) ([]float64, error) {
	none := []float64{0, 0, 0}
	p, err := newCrowd(destinations)
	if err != nil {
		return none, err
	}
	defer p.Close()
	d, err := start(r.Bin, header(100_000)+p.text())
	if err != nil {
		return none, err
	}
	defer d.close()
	c, err := d.dial()
	if err != nil {
		return none, err
	}
	defer c.Close()
	warm := r.Span
	if !r.Least && destinations > 100 {
		warm = idleTime // as many connections rest as ever will
	}
	if _, err := p.served(c, "a", rate, warm); err != nil { // connections are made
		return none, err
	}
	cpu, from := d.cpu(), time.Now()
	took, err := p.served(c, "b", rate, 2*r.Span)
	if err != nil {
		return none, err
	}
	used := 100 * (d.cpu() - cpu).Seconds() / time.Since(from).Seconds()
	return []float64{used, quantile(took, 0.99), float64(descriptors(d.Cmd.Process.Pid))}, nil
}

// ends has messages delivered and their ends remembered.
func ends() Bench {
	const from = "680 ends a second, remembered for an hour as remember says where a file says nothing"
	return Bench{Name: "ends", Way: Processes, SizeOf: "ends remembered", Sizes: []int{5000, 10_000, 20_000, 40_000, 80_000},
		Quantities: []Quantity{
			{Slope: Slope{Name: "ends-memory", Measures: "resident memory", Unit: "MB", Target: 3600 * senderEvents, From: from + "; no bound is given"}, Above: true},
			{Slope: Slope{Name: "ends-cpu", Measures: "processor time for each, taken on, delivered and ended", Unit: "ms", Target: 3600 * senderEvents, Bound: eachMessage,
				From: from + "; " + coreFrom}},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			p, err := newCrowd(1)
			if err != nil {
				return nil, err
			}
			defer p.Close()
			text := header(20_000) + p.text()
			d, err := start(r.Bin, "[limits]\nremembered = 1000000\n"+text[len("[limits]\n"):])
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
			taken, err := put(c, "m", size, 32, func(int) string { return "well0" })
			if err != nil || taken != size {
				return nil, fmt.Errorf("%d of %d taken on: %w", taken, size, err)
			}
			if !p.all(size, 20*time.Second) {
				return nil, fmt.Errorf("%d of %d came", p.count(), size)
			}
			used := (d.cpu() - cpu).Seconds() * 1000 / float64(max(size, 1))
			d.quiet(r.Span / 10)
			return []float64{d.memory(), used}, nil
		}}
}
