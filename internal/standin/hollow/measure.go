package hollow

import (
	"cmp"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"
)

// Bounds of the target for the control traffic of one sender.
const (
	MaxControlBytes  = 14_000    // bytes sent per second
	MaxControlCore   = 0.016     // of a core
	MaxControlMemory = 128 << 20 // bytes of resident memory
)

// Plan describes a measurement of a fleet.
type Plan struct {
	Options
	Virtual       bool          // in virtual time on package view/play, without sockets
	CalmDuration  time.Duration // without faults, over which rates are measured
	FaultDuration time.Duration // of each fault
	Timeout       time.Duration // of each wait for convergence
	Faults        []Fault       // run in this order; nil for none
	Commit        string        // of the program; empty for that of the build
	Command       string        // that measured, for the record
}

// Rates are the mean rates per sender without faults, per second.
type Rates struct {
	BytesOut      float64 `json:"bytes_out_s"`
	BytesIn       float64 `json:"bytes_in_s"`
	FactsBytesOut float64 `json:"facts_bytes_out_s"` // of BytesOut
	DatagramsOut  float64 `json:"datagrams_out_s"`
	DatagramsIn   float64 `json:"datagrams_in_s"`
	Probes        float64 `json:"probes_s"`
	Core          float64 `json:"core"`   // cores; in virtual time of the whole simulation, per virtual second
	Memory        float64 `json:"memory"` // resident bytes beyond those before the fleet; 0 in virtual time
	Heap          float64 `json:"heap"`   // live heap bytes
}

// Result is the setup and the outcome of a measurement. Times are in seconds; -1 stands for an
// event that did not occur.
type Result struct {
	Way             string         `json:"way"` // "hollow" or "virtual"
	Senders         int            `json:"senders"`
	Lease           float64        `json:"lease_s"`
	FactRate        float64        `json:"facts_s"` // facts published per second, over the whole fleet
	Seed            uint64         `json:"seed"`
	Cores           int            `json:"cores"`          // available to the process
	Commit          string         `json:"commit"`         // of the program, short; with "+" if modified
	Command         string         `json:"command"`        // that measured
	Machine         string         `json:"machine"`        // cores, processor, kernel and Go version
	ConvergenceTime float64        `json:"met_s"`          // until each sender counted all
	ConvergenceCPU  float64        `json:"met_cpu_s"`      // processor time per sender until then
	CalmDuration    float64        `json:"calm_s"`         // measured without faults
	Rates           Rates          `json:"rates"`          // per sender
	Kernel          Kernel         `json:"kernel"`         // during the measurement without faults
	LowestSum       float64        `json:"lowest_sum"`     // of the shares, without faults
	UnderFloor      float64        `json:"under_s"`        // seconds without faults and below [Floor]
	HighestSum      float64        `json:"highest_sum"`    // over the whole run; a sum above 1 is a failure
	SamplesOverOne  int            `json:"looks_over_one"` // samples with a sum above one rate
	Samples         int            `json:"looks"`          // of all shares, over the whole run
	Faults          []FaultResult  `json:"faults,omitempty"`
	ViewsAgree      bool           `json:"views_agree"`       // at the end: each sees who is running
	FalselyGone     int            `json:"wrongly_gone"`      // incarnations considered gone and heard again
	Dropped         map[string]int `json:"dropped,omitempty"` // packets dropped by the senders, by reason
	Unresponsive    int            `json:"mute"`              // senders whose loop did not respond at the end
	Duration        float64        `json:"took_s"`            // of the whole measurement, in real time
	Timeline        []Row          `json:"timeline"`          // by seconds, in order
}

// Measure starts a fleet, waits until it has converged, measures it without faults, and then runs
// the faults. Faults are not run after a convergence that timed out. An error means that the fleet
// or a sender could not be started, or that a fault is unknown; what went wrong with a running fleet
// is in [Result.Failures].
func Measure(p Plan) (r Result, err error) {
	started := time.Now()
	debug.FreeOSMemory() // memory of an earlier fleet
	base, atStart := residentMemory(), processCPU()
	r = Result{Way: "hollow", Senders: p.Senders, Lease: p.Lease.Seconds(), FactRate: p.FactRate, Seed: p.Seed,
		Cores: runtime.GOMAXPROCS(0), Commit: cmp.Or(p.Commit, buildCommit()), Command: p.Command,
		Machine: machineName(), ConvergenceTime: -1}
	var s environment
	var f *fleet
	if p.Virtual {
		r.Way = "virtual"
		s = newWorld(p.Options)
	} else {
		if f, err = newFleet(p.Options); err != nil {
			return r, err
		}
		s = f
	}
	defer s.close()
	w := newMonitor(s)
	defer func() {
		r.HighestSum, r.SamplesOverOne, r.Samples, r.Timeline, r.Duration = w.highestSum, w.samplesOverOne,
			len(w.samples), w.rows(), time.Since(started).Seconds()
		if world, ok := s.(*world); ok {
			r.HighestSum = max(r.HighestSum, world.MaxSum) // checked at every instant
		}
	}()
	w.addEvent("start")
	all := make([]int, p.Senders)
	for i := range all {
		all[i] = i
	}
	if err := s.start(all); err != nil {
		return r, err
	}
	if took, ok := w.runUntil(p.Timeout, w.converged); ok {
		r.ConvergenceTime = took.Seconds()
		r.ConvergenceCPU = (processCPU() - atStart).Seconds() / float64(p.Senders)
		w.addEvent("whole")
	}
	r.measureCalm(w, f, p.CalmDuration, base)
	for _, x := range p.Faults {
		if r.ConvergenceTime < 0 {
			break // the recovery could not be measured
		}
		result, err := w.runFault(x, p.FaultDuration, p.Timeout)
		r.Faults = append(r.Faults, result)
		if err != nil {
			return r, err
		}
		if result.ConvergenceTime < 0 {
			break
		}
	}
	var b viewSummary
	timeout := p.Timeout
	if r.ConvergenceTime < 0 {
		timeout = 0 // the views will not agree
	}
	w.runUntil(timeout, func() bool { // senders that have just heard of each other count each other with the next ticks
		b = s.summarizeViews()
		return b.agree
	})
	r.ViewsAgree, r.FalselyGone, r.Dropped, r.Unresponsive = b.agree, b.falselyGone, b.dropped, b.unresponsive
	return r, nil
}

// measureCalm measures rates over a duration without faults. f is nil in virtual time; base is the
// resident memory before the fleet, in bytes.
func (r *Result) measureCalm(w *monitor, f *fleet, d time.Duration, base int64) {
	var before, after Kernel
	w.addEvent("calm")
	w.sample()
	from, countsBefore, cpuBefore := w.env.now(), sumCounts(w.counts(), nil), processCPU()
	if f != nil {
		before = readKernel(f.network.base)
	}
	w.env.run(d, w.sample)
	if f != nil {
		after = readKernel(f.network.base)
	}
	to, c, used := w.env.now(), sumCounts(w.counts(), nil).minus(countsBefore), processCPU()-cpuBefore
	w.addEvent("calm was measured")
	span := (to - from).Seconds()
	each := span * float64(r.Senders)
	r.CalmDuration, r.Kernel = span, after.minus(before)
	below, lowest, _ := w.timeUnder(from, to, Floor)
	r.UnderFloor, r.LowestSum = below.Seconds(), lowest
	r.Rates = Rates{BytesOut: float64(c.BytesOut) / each, BytesIn: float64(c.BytesIn) / each,
		FactsBytesOut: float64(c.FactsBytesOut) / each, DatagramsOut: float64(c.DatagramsOut) / each,
		DatagramsIn: float64(c.DatagramsIn) / each, Probes: float64(c.Probes) / each}
	r.Rates.Core = used.Seconds() / each
	if f != nil {
		r.Rates.Memory = float64(residentMemory()-base) / float64(r.Senders)
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		r.Rates.Heap = float64(m.HeapAlloc) / float64(r.Senders)
	}
}

// Violations lists the failures and the bounds of the target that are exceeded; empty if there are
// none.
func (r *Result) Violations() []string {
	list := r.Failures()
	for _, b := range r.bounds() {
		if b.value > b.limit {
			list = append(list, fmt.Sprintf("%s: %.4g, over the bound of %.4g", b.name, b.value, b.limit))
		}
	}
	return list
}

// Failures lists what went wrong, regardless of the bounds.
func (r *Result) Failures() (failures []string) {
	report := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	if r.SamplesOverOne > 0 || r.HighestSum > maxSum {
		report("the parts add up to %.3f; %d looks of %d saw more than one rate", r.HighestSum, r.SamplesOverOne, r.Samples)
	}
	if r.ConvergenceTime < 0 {
		report("not all senders had met all")
	}
	if r.UnderFloor > 0 {
		report("calm, the sum was below %.1f for %.1f of %.1f s, %.3f at its lowest", Floor, r.UnderFloor,
			r.CalmDuration, r.LowestSum)
	}
	if n := r.Kernel.Dropped; n > 0 {
		report("the kernel dropped %d datagrams for full buffers, calm", n)
	}
	for why, n := range r.Dropped {
		report("senders dropped %d packets: %s", n, why)
	}
	if r.FalselyGone > 0 {
		report("%d lives were taken for gone and heard again", r.FalselyGone)
	}
	if r.Unresponsive > 0 {
		report("%d senders did not answer", r.Unresponsive)
	}
	for _, f := range r.Faults {
		if f.ConvergenceTime < 0 {
			report("%s: not whole again", f.Fault)
		}
	}
	if !r.ViewsAgree {
		report("the views do not agree at the end")
	}
	return failures
}

// bound is a measured value with its permitted maximum.
type bound struct {
	name         string
	value, limit float64
}

// bounds returns the bounds of the target.
func (r *Result) bounds() []bound {
	list := []bound{{"bytes a second for control, out", r.Rates.BytesOut, MaxControlBytes}}
	if r.Way == "hollow" {
		list = append(list, bound{"of a core for control", r.Rates.Core, MaxControlCore},
			bound{"bytes of memory", r.Rates.Memory, MaxControlMemory})
	}
	return list
}
