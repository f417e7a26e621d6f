package capacity

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// partners has a file with many partners, all but one of them idle.
func partners() Bench {
	const from = "42,000 destinations, each sender serves all"
	q := func(name, measures, unit string, bound float64, why string) Quantity {
		return Quantity{Slope: Slope{Name: "partners-" + name, Measures: measures, Unit: unit, Target: destinations, Bound: bound, From: from + "; " + why}}
	}
	above := func(q Quantity) Quantity { q.Above = true; return q }
	const change, core = "1,300 changes a day, in force within 3 s", "1.6% of a core over a day for 1,300 changes"
	return Bench{Name: "partners", Way: Processes, SizeOf: "partners in the file, idle", Sizes: []int{2625, 5250, 10_500, 21_000, 42_000},
		Quantities: []Quantity{
			above(q("memory", "resident memory", "MB", controlMB, "128 MB for control")),
			above(q("memory-reload", "resident memory after one reload", "MB", controlMB, "128 MB for control")),
			above(q("start", "start to ready", "s", 10, "ready within 10 s, issue 43")),
			above(q("check", "time of cometrack check", "s", changeWithin, change)),
			above(q("reload", "SIGHUP to the line that the list is followed", "s", changeWithin, change)),
			above(q("reload-cpu", "processor time of one reload", "s", eachChange, core)),
			above(q("idle", "processor time with nothing coming", "% of a core", controlCore, "1.6% of a core for control")),
			above(q("next", "processor time for a message to one of them, delivered", "ms", eachMessage, coreFrom)),
		}, Run: runPartners}
}

func runPartners(r *Rig, size int) ([]float64, error) {
	p, err := newCrowd(1)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	var b strings.Builder
	b.WriteString(header(20_000) + p.text())
	for i := range size {
		b.WriteString(partnerText(fmt.Sprint("partner-", i), outAddr(i)))
	}
	d, err := start(r.Bin, b.String())
	if err != nil {
		return nil, err
	}
	defer d.close()
	started := d.took
	d.quiet(r.Span / 10)
	memory := d.memory()
	idle := d.busy(r.Span)
	from := time.Now()
	if text, err := exec.Command(r.Bin, "check", "--config", d.config).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("check: %w: %s", err, text)
	}
	check := time.Since(from)
	c, err := d.dial()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	cpu, from := d.cpu(), time.Now()
	took, err := p.served(c, "w", 200, r.Span/2)
	if err != nil {
		return nil, err
	}
	next := ((d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()) * 1000 / float64(len(took))
	b.WriteString("rate = 100\n") // of the last partner: one change
	if err := d.write(b.String()); err != nil {
		return nil, err
	}
	cpu, from = d.cpu(), time.Now()
	d.Signal(syscall.SIGHUP)
	if err := d.AwaitLog("reload: partners follow the file"); err != nil {
		return nil, err
	}
	reload := time.Since(from)
	d.quiet(r.Span / 10)
	reloadCPU := (d.cpu() - cpu).Seconds() - idle/100*time.Since(from).Seconds()
	return []float64{memory, d.memory(), started.Seconds(), check.Seconds(), reload.Seconds(), reloadCPU, idle, next}, nil
}
