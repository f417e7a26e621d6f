package capacity

import (
	"fmt"
	"time"
)

const (
	backlogFrom = "8.2 billion held / 560 senders"
	coreFrom    = "one core / 680 a second, as one loop decides"
)

// held has messages held for one partner that is out, and another that is well.
func held() Bench {
	q := func(name, measures, unit string, bound float64, from string) Quantity {
		return Quantity{Slope: Slope{Name: "held-" + name, Measures: measures, Unit: unit, Target: senderBacklog, Bound: bound, From: backlogFrom + "; " + from}}
	}
	above := func(q Quantity, times float64) Quantity { q.Above, q.Times = true, times; return q }
	memory := above(q("memory", "resident memory", "MB", 0, "bound: 16 bytes for each, the aim of issue 43, and 30 MB of program"), 0)
	memory.Bound = 30 + 16*senderBacklog/1e6
	return Bench{Name: "held", Way: Processes, SizeOf: "messages held for one destination that is out", Sizes: []int{1250, 2500, 5000, 10_000, 20_000, 40_000},
		Quantities: []Quantity{
			q("intake", "processor time for each while all are taken on", "ms", eachMessage, coreFrom),
			q("next", "processor time for the next message", "ms", eachMessage, coreFrom),
			above(q("idle", "processor time with nothing coming", "% of a core", 100, "one core"), 0),
			memory,
			above(q("disk", "state folder", "MB", 1<<20, "bound: the most that disk_mb takes"), 0),
			above(q("p50", "median from a client's write to the call at a healthy partner, 200 a second", "ms", 0, "bound: 1.5 times an empty sender, issue 43"), 1.5),
			above(q("p99", "99th percentile of the same", "ms", 0, "bound: 1.5 times an empty sender, issue 43"), 1.5),
			above(q("restart", "SIGKILL, then start to ready", "s", 10, "ready within 10 s, issue 43"), 0),
		}, Run: func(r *Rig, size int) ([]float64, error) { return runHeld(r, size, 1) }}
}

// backlog has messages held for as many destinations as are down at the target.
func backlog() Bench {
	const from = backlogFrom + ", 670 destinations down; "
	q := func(name, measures, unit string, bound float64, why string) Quantity {
		return Quantity{Slope: Slope{Name: "backlog-" + name, Measures: measures, Unit: unit, Target: senderBacklog, Bound: bound, From: from + why}}
	}
	idle := q("idle", "processor time with nothing coming", "% of a core", 100, "one core")
	p99 := q("p99", "99th percentile from a client's write to the call at a healthy partner, 200 a second", "ms", 0, "bound: 1.5 times an empty sender, issue 43")
	idle.Above, p99.Above, p99.Times = true, true, 1.5
	return Bench{Name: "backlog", Way: Processes, SizeOf: "messages held, for 640 destinations that are out in turn", Sizes: []int{1250, 2500, 5000, 10_000, 20_000},
		Quantities: []Quantity{
			q("intake", "processor time for each while all are taken on", "ms", eachMessage, coreFrom),
			idle, p99,
		}, Run: func(r *Rig, size int) ([]float64, error) {
			v, err := runHeld(r, size, 640)
			if err != nil {
				return nil, err
			}
			return []float64{v[0], v[2], v[6]}, nil
		}}
}

// runHeld holds so many messages for some destinations that are out, in turn.
func runHeld(r *Rig, size, destinations int) ([]float64, error) {
	p, err := newCrowd(1)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	text := header(size+20_000) + p.text()
	for i := range destinations {
		text += partnerText(fmt.Sprint("out", i), outAddr(i))
	}
	d, err := start(r.Bin, text)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := d.dial()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := p.served(c, "a", 200, r.Span/2); err != nil { // connections are made, its pace is known
		return nil, err
	}
	toOut := func(i int) string { return fmt.Sprint("out", i%destinations) }
	cpu := d.cpu()
	taken, err := put(c, "m", size, 16, toOut)
	if err != nil || taken != size {
		return nil, fmt.Errorf("%d of %d taken on: %w", taken, size, err)
	}
	intake := (d.cpu() - cpu).Seconds() * 1000 / float64(max(size, 1))
	d.quiet(r.Span / 10)
	memory, disk := d.memory(), d.disk()
	rest := r.Span / 2
	if destinations > 1 {
		rest = 3 * r.Span // trials of one destination come up to 4 s apart, and those of many in bursts
	}
	idle := d.busy(rest)
	if c, err = d.dial(); err != nil {
		return nil, err
	}
	defer c.Close()
	const more = 200
	cpu, from := d.cpu(), time.Now()
	if taken, err = put(c, "n", more, 1, toOut); err != nil || taken != more {
		return nil, fmt.Errorf("%d of %d more taken on: %w", taken, more, err)
	}
	next := ((d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()) * 1000 / more
	took, err := p.served(c, "w", 200, r.Span)
	if err != nil {
		return nil, err
	}
	d.kill()
	if err := d.again(); err != nil {
		return nil, err
	}
	return []float64{intake, next, idle, memory, disk, quantile(took, 0.5), quantile(took, 0.99), d.took.Seconds()}, nil
}

// out has a few messages held for each of many destinations that are out.
func out() Bench {
	const from = "42,000 destinations, 1.6% out"
	return Bench{Name: "out", Way: Processes, SizeOf: "destinations out, two messages held for each", Sizes: []int{40, 80, 160, 320, 640},
		Quantities: []Quantity{
			{Slope: Slope{Name: "out-idle", Measures: "processor time with nothing coming", Unit: "% of a core", Target: downAtOnce, Bound: 100, From: from + "; one core"}, Above: true},
			{Slope: Slope{Name: "out-p99", Measures: "99th percentile from a client's write to the call at a healthy partner, 200 a second", Unit: "ms", Target: downAtOnce,
				From: from + "; 1.5 times an empty sender, issue 43"}, Above: true, Times: 1.5},
		}, Run: func(r *Rig, size int) ([]float64, error) {
			p, err := newCrowd(1)
			if err != nil {
				return nil, err
			}
			defer p.Close()
			text := header(20_000) + p.text()
			for i := range size {
				text += partnerText(fmt.Sprint("out", i), outAddr(i))
			}
			d, err := start(r.Bin, text)
			if err != nil {
				return nil, err
			}
			defer d.close()
			c, err := d.dial()
			if err != nil {
				return nil, err
			}
			defer c.Close()
			if _, err := p.served(c, "a", 200, r.Span/2); err != nil {
				return nil, err
			}
			taken, err := put(c, "m", 2*size, 16, func(i int) string { return fmt.Sprint("out", i/2) })
			if err != nil || taken != 2*size {
				return nil, fmt.Errorf("%d of %d taken on: %w", taken, 2*size, err)
			}
			d.busy(r.Span) // until all are known to be out
			idle := d.busy(r.Span)
			if c, err = d.dial(); err != nil {
				return nil, err
			}
			defer c.Close()
			took, err := p.served(c, "w", 200, r.Span)
			if err != nil {
				return nil, err
			}
			return []float64{idle, quantile(took, 0.99)}, nil
		}}
}
