package capacity

import (
	"fmt"
	"time"
)

// Origins of a target and of a bound that several quantities share, for the field Source of a slope.
const (
	backlogSource = "8.2 billion held / 560 senders"               // of the target senderBacklog
	coreSource    = "one core / 680 a second, as one loop decides" // of the bound msPerMessage
)

// heldBench returns the bench that has pending messages for one partner in outage, and measures
// latencies at another partner that is healthy; its size is the number of pending messages.
func heldBench() Bench {
	q := func(name, measures, unit string, bound float64, from string) Quantity {
		return Quantity{Slope: Slope{Name: "held-" + name, Measures: measures, Unit: unit, Target: senderBacklog,
			Bound: bound, Source: backlogSource + "; " + from}}
	}
	above := func(q Quantity, times float64) Quantity { q.SubtractBase, q.BaseMultiple = true, times; return q }
	memory := above(q("memory", "resident memory", "MB", 0, "bound: 16 bytes for each, the aim of issue 43, and 30 MB of program"), 0)
	memory.Bound = 30 + 16*senderBacklog/1e6
	return Bench{Name: "held", Way: Processes, SizeOf: "messages held for one destination that is out", Sizes: []int{1250, 2500, 5000, 10_000, 20_000, 40_000},
		Quantities: []Quantity{
			q("intake", "processor time for each while all are taken on", "ms", msPerMessage, coreSource),
			q("next", "processor time for the next message", "ms", msPerMessage, coreSource),
			above(q("idle", "processor time with nothing coming", "% of a core", 100, "one core"), 0),
			memory,
			above(q("disk", "state folder", "MB", 1<<20, "bound: the most that disk_mb takes"), 0),
			above(q("p50", "median from a client's write to the call at a healthy partner, 200 a second", "ms", 0, "bound: 1.5 times an empty sender, issue 43"), 1.5),
			above(q("p99", "99th percentile of the same", "ms", 0, "bound: 1.5 times an empty sender, issue 43"), 1.5),
			above(q("restart", "SIGKILL, then start to ready", "s", 10, "ready within 10 s, issue 43"), 0),
		}, Run: func(r *Setup, size int) ([]float64, error) { return runPending(r, size, 1) }}
}

// backlogBench returns the bench that has pending messages for as many destinations as are in outage
// at the target; its size is the number of messages over all of them.
func backlogBench() Bench {
	const from = backlogSource + ", 670 destinations down; "
	q := func(name, measures, unit string, bound float64, why string) Quantity {
		return Quantity{Slope: Slope{Name: "backlog-" + name, Measures: measures, Unit: unit, Target: senderBacklog,
			Bound: bound, Source: from + why}}
	}
	idle := q("idle", "processor time with nothing coming", "% of a core", 100, "one core")
	p99 := q("p99", "99th percentile from a client's write to the call at a healthy partner, 200 a second", "ms", 0, "bound: 1.5 times an empty sender, issue 43")
	idle.SubtractBase, p99.SubtractBase, p99.BaseMultiple = true, true, 1.5
	return Bench{Name: "backlog", Way: Processes, SizeOf: "messages held, for 640 destinations that are out in turn", Sizes: []int{1250, 2500, 5000, 10_000, 20_000},
		Quantities: []Quantity{
			q("intake", "processor time for each while all are taken on", "ms", msPerMessage, coreSource),
			idle, p99,
		}, Run: func(r *Setup, size int) ([]float64, error) {
			v, err := runPending(r, size, 640)
			if err != nil {
				return nil, err
			}
			return []float64{v[0], v[2], v[6]}, nil
		}}
}

// runPending measures the program with size pending messages, for some destinations in outage in turn.
// It returns the values in the order of the quantities of heldBench.
func runPending(r *Setup, size, destinations int) ([]float64, error) {
	p, err := newDestinationServer(1)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	text := configHeader(size+20_000) + p.config()
	for i := range destinations {
		text += partnerConfig(fmt.Sprint("out", i), unreachableAddr(i))
	}
	d, err := start(r.Program, text)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := d.dial()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := p.measureLatency(c, "a", 200, r.ObservationTime/2); err != nil { // warm-up of connections and rate
		return nil, err
	}
	toOut := func(i int) string { return fmt.Sprint("out", i%destinations) }
	cpu := d.cpu()
	accepted, err := submit(c, "m", size, 16, toOut)
	if err != nil || accepted != size {
		return nil, fmt.Errorf("%d of %d accepted: %w", accepted, size, err)
	}
	intake := (d.cpu() - cpu).Seconds() * 1000 / float64(max(size, 1))
	d.awaitIdle(r.ObservationTime / 10)
	memory, disk := d.residentMB(), d.diskMB()
	rest := r.ObservationTime / 2
	if destinations > 1 {
		rest = 3 * r.ObservationTime // trials of one destination are up to 4 s apart, and those of many come in bursts
	}
	idle := d.cpuPercent(rest)
	if c, err = d.dial(); err != nil {
		return nil, err
	}
	defer c.Close()
	const more = 200
	cpu, from := d.cpu(), time.Now()
	if accepted, err = submit(c, "n", more, 1, toOut); err != nil || accepted != more {
		return nil, fmt.Errorf("%d of %d more accepted: %w", accepted, more, err)
	}
	next := ((d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()) * 1000 / more
	latencies, err := p.measureLatency(c, "w", 200, r.ObservationTime)
	if err != nil {
		return nil, err
	}
	d.kill()
	if err := d.restart(); err != nil {
		return nil, err
	}
	return []float64{intake, next, idle, memory, disk, quantile(latencies, 0.5), quantile(latencies, 0.99),
		d.startupTime.Seconds()}, nil
}

// outageBench returns the bench that has two pending messages for each of many destinations in
// outage; its size is the number of these destinations.
func outageBench() Bench {
	const from = "42,000 destinations, 1.6% out"
	return Bench{Name: "out", Way: Processes, SizeOf: "destinations out, two messages held for each", Sizes: []int{40, 80, 160, 320, 640},
		Quantities: []Quantity{
			{Slope: Slope{Name: "out-idle", Measures: "processor time with nothing coming", Unit: "% of a core",
				Target: destinationsInOutage, Bound: 100, Source: from + "; one core"}, SubtractBase: true},
			{Slope: Slope{Name: "out-p99", Measures: "99th percentile from a client's write to the call at a healthy partner, 200 a second", Unit: "ms", Target: destinationsInOutage,
				Source: from + "; 1.5 times an empty sender, issue 43"}, SubtractBase: true, BaseMultiple: 1.5},
		}, Run: func(r *Setup, size int) ([]float64, error) {
			p, err := newDestinationServer(1)
			if err != nil {
				return nil, err
			}
			defer p.Close()
			text := configHeader(20_000) + p.config()
			for i := range size {
				text += partnerConfig(fmt.Sprint("out", i), unreachableAddr(i))
			}
			d, err := start(r.Program, text)
			if err != nil {
				return nil, err
			}
			defer d.close()
			c, err := d.dial()
			if err != nil {
				return nil, err
			}
			defer c.Close()
			if _, err := p.measureLatency(c, "a", 200, r.ObservationTime/2); err != nil {
				return nil, err
			}
			accepted, err := submit(c, "m", 2*size, 16, func(i int) string { return fmt.Sprint("out", i/2) })
			if err != nil || accepted != 2*size {
				return nil, fmt.Errorf("%d of %d accepted: %w", accepted, 2*size, err)
			}
			d.cpuPercent(r.ObservationTime) // until all outages have been detected
			idle := d.cpuPercent(r.ObservationTime)
			if c, err = d.dial(); err != nil {
				return nil, err
			}
			defer c.Close()
			latencies, err := p.measureLatency(c, "w", 200, r.ObservationTime)
			if err != nil {
				return nil, err
			}
			return []float64{idle, quantile(latencies, 0.99)}, nil
		}}
}
