package capacity

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// partnersBench returns the bench that runs a configuration with many partners, all but one of them
// idle; its size is the number of idle partners.
func partnersBench() Bench {
	const from = "42,000 destinations, each sender serves all"
	q := func(name, measures, unit string, bound float64, why string) Quantity {
		return Quantity{Slope: Slope{Name: "partners-" + name, Measures: measures, Unit: unit, Target: destinations,
			Bound: bound, Source: from + "; " + why}}
	}
	above := func(q Quantity) Quantity { q.SubtractBase = true; return q }
	const change, core = "1,300 changes a day, in force within 3 s", "1.6% of a core over a day for 1,300 changes"
	return Bench{Name: "partners", Way: Processes, SizeOf: "partners in the file, idle", Sizes: []int{2625, 5250, 10_500, 21_000, 42_000},
		Quantities: []Quantity{
			above(q("memory", "resident memory", "MB", controlMB, "128 MB for control")),
			above(q("memory-reload", "resident memory after one reload", "MB", controlMB, "128 MB for control")),
			above(q("start", "start to ready", "s", 10, "ready within 10 s, issue 43")),
			above(q("check", "time of cometrack check", "s", maxChangeSeconds, change)),
			above(q("reload", "SIGHUP to the line that the list is followed", "s", maxChangeSeconds, change)),
			above(q("reload-cpu", "processor time of one reload", "s", secondsPerChange, core)),
			above(q("idle", "processor time with nothing coming", "% of a core", controlCorePercent,
				"1.6% of a core for control")),
			above(q("next", "processor time for a message to one of them, delivered", "ms", msPerMessage, coreSource)),
		}, Run: runPartners}
}

// runPartners measures the program with size idle partners and a healthy one. It returns the values in
// the order of the quantities of partnersBench.
func runPartners(r *Setup, size int) ([]float64, error) {
	p, err := newDestinationServer(1)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	var b strings.Builder
	b.WriteString(configHeader(20_000) + p.config())
	for i := range size {
		b.WriteString(partnerConfig(fmt.Sprint("partner-", i), unreachableAddr(i)))
	}
	d, err := start(r.Program, b.String())
	if err != nil {
		return nil, err
	}
	defer d.close()
	started := d.startupTime
	d.awaitIdle(r.ObservationTime / 10)
	memory := d.residentMB()
	idle := d.cpuPercent(r.ObservationTime)
	from := time.Now()
	if text, err := exec.Command(r.Program, "check", "--config", d.config).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("check: %w: %s", err, text)
	}
	check := time.Since(from)
	c, err := d.dial()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	cpu, from := d.cpu(), time.Now()
	latencies, err := p.measureLatency(c, "w", 200, r.ObservationTime/2)
	if err != nil {
		return nil, err
	}
	next := ((d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()) * 1000 / float64(len(latencies))
	b.WriteString("rate = 100\n") // changes the last partner
	if err := d.writeConfig(b.String()); err != nil {
		return nil, err
	}
	cpu, from = d.cpu(), time.Now()
	d.Signal(syscall.SIGHUP)
	if err := d.AwaitLog("reload: partners follow the file"); err != nil {
		return nil, err
	}
	reload := time.Since(from)
	d.awaitIdle(r.ObservationTime / 10)
	reloadCPU := (d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()
	return []float64{memory, d.residentMB(), started.Seconds(), check.Seconds(), reload.Seconds(), reloadCPU, idle, next}, nil
}
