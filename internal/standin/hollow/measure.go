package hollow

import (
	"cmp"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"
)

// What a sender may spend on control, as the target has it.
const (
	MostBytes  = 14_000    // a second
	MostCore   = 0.016     // of a core
	MostMemory = 128 << 20 // bytes
)

// Play says what is measured with a fleet.
type Play struct {
	Options
	Virtual  bool
	Calm     time.Duration // that rates are measured over
	Lasts    time.Duration // each fault
	Patience time.Duration // for each thing that is waited for
	Faults   []Fault
	Commit   string // of the program; empty for what its build says
	Command  string // that measures
}

// Rates are what each sender spends in the mean, calm.
type Rates struct {
	BytesOut float64 `json:"bytes_out_s"`
	BytesIn  float64 `json:"bytes_in_s"`
	Lore     float64 `json:"facts_bytes_out_s"` // of BytesOut
	Out      float64 `json:"datagrams_out_s"`
	In       float64 `json:"datagrams_in_s"`
	Probes   float64 `json:"probes_s"`
	Core     float64 `json:"core"`   // of one; in virtual time of what decides and of the play, by virtual seconds
	Memory   float64 `json:"memory"` // resident bytes above those before the fleet; 0 in virtual time
	Heap     float64 `json:"heap"`   // live bytes of that
}

// Result is what a fleet was measured with and what came of it. Times are in seconds,
// and -1 for what did not come about.
type Result struct {
	Way      string         `json:"way"` // "hollow" or "virtual"
	Senders  int            `json:"senders"`
	Lease    float64        `json:"lease_s"`
	Facts    float64        `json:"facts_s"` // told over the fleet
	Seed     uint64         `json:"seed"`
	Cores    int            `json:"cores"` // that the process could use
	Commit   string         `json:"commit"`
	Command  string         `json:"command"`
	Machine  string         `json:"machine"`
	Met      float64        `json:"met_s"`     // until each counted all
	MetCPU   float64        `json:"met_cpu_s"` // processor time until then, each
	Calm     float64        `json:"calm_s"`
	Rates    Rates          `json:"rates"`  // each sender's
	Kernel   Kernel         `json:"kernel"` // over the calm span
	Lowest   float64        `json:"lowest_sum"`
	Under    float64        `json:"under_s"`     // of the calm span, below [Floor]
	Highest  float64        `json:"highest_sum"` // ever
	Over     int            `json:"looks_over_one"`
	Looks    int            `json:"looks"`
	Faults   []FaultResult  `json:"faults,omitempty"`
	Agree    bool           `json:"views_agree"` // at the end
	Wrong    int            `json:"wrongly_gone"`
	Dropped  map[string]int `json:"dropped,omitempty"` // packets, by the senders themselves, by reason
	Mute     int            `json:"mute"`              // senders whose loop did not answer at the end
	Took     float64        `json:"took_s"`
	Timeline []Row          `json:"timeline"`
}

// Measure starts a fleet, lets it meet, measures it calm, and plays faults.
func Measure(p Play) (r Result, err error) {
	began := time.Now()
	debug.FreeOSMemory() // of a fleet before
	base, atStart := resident(), spent()
	r = Result{Way: "hollow", Senders: p.Senders, Lease: p.Lease.Seconds(), Facts: p.Facts, Seed: p.Seed, Cores: runtime.GOMAXPROCS(0), Commit: cmp.Or(p.Commit, commit()), Command: p.Command,
		Machine: machine(), Met: -1}
	var s stage
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
	w := newWatch(s)
	defer func() {
		r.Highest, r.Over, r.Looks, r.Timeline, r.Took = w.peak, w.over, len(w.samples), w.rows(), time.Since(began).Seconds()
		if world, ok := s.(*world); ok {
			r.Highest = max(r.Highest, world.MaxSum) // at every instant
		}
	}()
	w.note("start")
	all := make([]int, p.Senders)
	for i := range all {
		all[i] = i
	}
	if err := s.start(all); err != nil {
		return r, err
	}
	if took, ok := w.until(p.Patience, w.whole); ok {
		r.Met = took.Seconds()
		r.MetCPU = (spent() - atStart).Seconds() / float64(p.Senders)
		w.note("whole")
	}
	r.calm(w, f, p.Calm, base)
	for _, x := range p.Faults {
		if r.Met < 0 {
			break // nothing can be said of a return
		}
		one, err := w.play(x, p.Lasts, p.Patience)
		r.Faults = append(r.Faults, one)
		if err != nil {
			return r, err
		}
		if one.Whole < 0 {
			break
		}
	}
	var b belief
	patience := p.Patience
	if r.Met < 0 {
		patience = 0 // they will not agree
	}
	w.until(patience, func() bool { // those who have just heard of each other find it out with the next ticks
		b = s.believes()
		return b.agree
	})
	r.Agree, r.Wrong, r.Dropped, r.Mute = b.agree, b.wrong, b.dropped, b.mute
	return r, nil
}

// calm measures rates over a span; f is nil in virtual time.
func (r *Result) calm(w *watch, f *fleet, d time.Duration, base int64) {
	var before, after Kernel
	w.note("calm")
	w.look()
	from, tally, cpu := w.stage.now(), sum(w.counts(), nil), spent()
	if f != nil {
		before = kernel(f.wire.base)
	}
	w.stage.run(d, w.look)
	if f != nil {
		after = kernel(f.wire.base)
	}
	to, c, used := w.stage.now(), sum(w.counts(), nil).minus(tally), spent()-cpu
	w.note("calm was measured")
	span := (to - from).Seconds()
	each := span * float64(r.Senders)
	r.Calm, r.Kernel = span, after.minus(before)
	below, lowest, _ := w.under(from, to, Floor)
	r.Under, r.Lowest = below.Seconds(), lowest
	r.Rates = Rates{BytesOut: float64(c.OutBytes) / each, BytesIn: float64(c.InBytes) / each, Lore: float64(c.Lore) / each, Out: float64(c.Out) / each,
		In: float64(c.In) / each, Probes: float64(c.Probes) / each}
	r.Rates.Core = used.Seconds() / each
	if f != nil {
		r.Rates.Memory = float64(resident()-base) / float64(r.Senders)
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		r.Rates.Heap = float64(m.HeapAlloc) / float64(r.Senders)
	}
}

// Verdict is what there is to object to, from outside: what is wrong, and which of the
// target's bounds are not kept; empty for nothing.
func (r *Result) Verdict() []string {
	list := r.Wrongs()
	for _, b := range r.bounds() {
		if b.is > b.most {
			list = append(list, fmt.Sprintf("%s: %.4g, over the bound of %.4g", b.what, b.is, b.most))
		}
	}
	return list
}

// Wrongs is what is wrong whatever the bounds.
func (r *Result) Wrongs() (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	if r.Over > 0 || r.Highest > most {
		say("the parts add up to %.3f; %d looks of %d saw more than one rate", r.Highest, r.Over, r.Looks)
	}
	if r.Met < 0 {
		say("not all senders had met all")
	}
	if r.Under > 0 {
		say("calm, the sum was below %.1f for %.1f of %.1f s, %.3f at its lowest", Floor, r.Under, r.Calm, r.Lowest)
	}
	if n := r.Kernel.Dropped; n > 0 {
		say("the kernel dropped %d datagrams for full buffers, calm", n)
	}
	for why, n := range r.Dropped {
		say("senders dropped %d packets: %s", n, why)
	}
	if r.Wrong > 0 {
		say("%d lives were taken for gone and heard again", r.Wrong)
	}
	if r.Mute > 0 {
		say("%d senders did not answer", r.Mute)
	}
	for _, f := range r.Faults {
		if f.Whole < 0 {
			say("%s: not whole again", f.Fault)
		}
	}
	if !r.Agree {
		say("the views do not agree at the end")
	}
	return wrong
}

type bound struct {
	what     string
	is, most float64
}

// bounds are those of the target.
func (r *Result) bounds() []bound {
	list := []bound{{"bytes a second for control, out", r.Rates.BytesOut, MostBytes}}
	if r.Way == "hollow" {
		list = append(list, bound{"of a core for control", r.Rates.Core, MostCore}, bound{"bytes of memory", r.Rates.Memory, MostMemory})
	}
	return list
}
