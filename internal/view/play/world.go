package play

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/view"
	"cometrack/internal/virtual"
)

// Options say what a world is like.
type Options struct {
	Seed        uint64
	Senders     int
	Seats       int // 0 for Senders
	Least       float64
	Lease       time.Duration
	Every       time.Duration
	Drift       float64 // clocks run at random paces within this; one may be set by Pace
	Delay       time.Duration
	Jitter      time.Duration
	IgnoreLease bool // a planted fault: parts are used although they have run out
	FrozenClock bool // a planted fault: clocks stand still during a pause
	Log         func(at time.Duration, p *Proc, e view.Event)
	Guards      bool // a paused process is fenced by its guard
}

// Proc is one process of a sender.
type Proc struct {
	N, Num  int
	Name    string
	Addr    string
	Machine *view.Machine
	Part    view.Part
	Running bool // else it has been killed
	Paused  bool
	BornAt  time.Duration

	offset   time.Duration
	pace     float64
	frozen   time.Duration
	pausedAt time.Duration
	backlog  []*view.Message
	kept     []view.Kept
	inc      uint64
	token    int // of its tick
	wrong    int // of its machine, as last seen
	fenced   bool
	Bytes    int
}

// World is senders in virtual time.
type World struct {
	virtual.Clock
	Procs  []*Proc // of each sender the newest
	All    []*Proc // those that run
	Worst  float64 // the largest sum of parts that was seen
	When   time.Duration
	Wrong  int // times that a sender whose newest process runs was taken for gone, an earlier life perhaps
	False  int // times that a life was taken for gone and heard again
	Flaps  int // changes of state of senders that ran throughout
	Sent   int
	SizeOf func(m *view.Message) int // bytes; nil for not counted
	// Traffic is what each sender has sent and taken.
	Traffic []Traffic

	opts    Options
	rng     *rand.Rand
	loss    map[[2]int]float64
	cut     map[[2]int]bool
	delay   time.Duration
	at      map[string]*Proc // who listens at an address; nil for nobody
	addrs   int
	started int   // processes
	twice   int   // processes beside another of their name
	lives   []int // processes of each sender that run
	homes   map[int]home
	numbers map[string]int // of senders by name
}

// Traffic counts messages, and their bytes as SizeOf has them.
type Traffic struct {
	Out, In           int64
	OutBytes, InBytes int64
}

// home is a sender's folder.
type home struct {
	inc  uint64
	kept []view.Kept
	home string
	addr string
}

// New makes a world and starts all senders.
func New(opts Options) *World {
	if opts.Seats == 0 {
		opts.Seats = opts.Senders
	}
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), loss: map[[2]int]float64{}, cut: map[[2]int]bool{},
		at: map[string]*Proc{}, homes: map[int]home{}, delay: opts.Delay, Procs: make([]*Proc, opts.Senders), lives: make([]int, opts.Senders),
		Traffic: make([]Traffic, opts.Senders),
		numbers: make(map[string]int, opts.Senders)}
	for i := range opts.Senders {
		w.numbers[w.name(i)] = i
	}
	for i := range opts.Senders {
		w.Start(i, Kept)
	}
	return w
}

// How says what a process starts with.
type How int

// The ways to start.
const (
	Kept  How = iota // with its folder, where it was
	Empty            // with an emptied folder
	Moved            // with its folder, at a new address
	Aged             // with a copy of its folder as it was at the first start
)

func (w *World) name(i int) string { return fmt.Sprintf("s%03d", i) }

func (w *World) fresh(i int) string {
	w.addrs++
	return fmt.Sprintf("%d:%d", i, w.addrs)
}

// Start starts a process of sender i; one that runs is not ended.
func (w *World) Start(i int, how How) *Proc {
	h, had := w.homes[i]
	addr := h.addr
	if !had || how == Moved || w.at[addr] != nil {
		addr = w.fresh(i)
	}
	if how == Empty {
		h = home{}
	}
	if how == Aged {
		h.inc = 0
	}
	h.inc++
	h.addr = addr
	w.homes[i] = h
	w.started++
	p := &Proc{N: i, Num: w.started, Name: w.name(i), Addr: addr, Running: true, BornAt: w.Now, kept: h.kept, inc: h.inc,
		offset: time.Duration(w.rng.Int64N(int64(time.Hour))), pace: 1 + w.opts.Drift*(2*w.rng.Float64()-1)}
	var join []string
	for k, x := range w.Procs {
		if k != i && x != nil {
			join = append(join, x.Addr)
		}
	}
	p.Machine = view.New(view.Config{Name: p.Name, Addr: addr, ID: w.rng.Uint64() | 1, Incarnation: h.inc, Seats: w.opts.Seats, Least: w.opts.Least,
		Lease: w.opts.Lease, Every: w.opts.Every, Drift: w.opts.Drift, Join: join, Kept: h.kept, Home: h.home, Seed: w.rng.Uint64()}, p.local(w))
	w.Procs[i], w.at[addr] = p, p
	w.All = append(w.All, p)
	if w.lives[i]++; w.lives[i] > 1 {
		w.twice++
	}
	w.do(p, func() view.Ready { return p.Machine.Tick(p.local(w)) })
	return p
}

// Pace sets how fast the clock of a sender's newest process runs.
func (w *World) Pace(i int, pace float64) {
	p := w.Procs[i]
	now := p.local(w)
	p.pace = pace
	p.offset += now - p.local(w)
}

// Kill ends a process.
func (w *World) Kill(p *Proc) {
	p.Running = false
	if w.at[p.Addr] == p {
		delete(w.at, p.Addr)
	}
	for i, x := range w.All {
		if x == p {
			w.All = append(w.All[:i], w.All[i+1:]...)
			if w.lives[p.N]--; w.lives[p.N] > 0 {
				w.twice--
			}
			break
		}
	}
	w.check()
}

// Pause stops a process, which goes on after a span if it still runs.
func (w *World) Pause(p *Proc, d time.Duration) {
	if p.Paused || !p.Running {
		return
	}
	p.Paused, p.pausedAt = true, w.Now
	w.After(d, func() { w.resume(p) })
}

func (w *World) resume(p *Proc) {
	if !p.Paused || !p.Running {
		return
	}
	if w.opts.FrozenClock {
		p.frozen += w.Now - p.pausedAt
	}
	p.Paused = false
	w.check()
	if p.fenced {
		p.fenced = false
		w.do(p, func() view.Ready { return p.Machine.FencedBy(p.local(w)) })
		w.check()
	}
	late := p.backlog
	p.backlog = nil
	for _, m := range late { // what its socket has kept comes first
		w.do(p, func() view.Ready { return p.Machine.Take(p.local(w), m) })
	}
	w.do(p, func() view.Ready { return p.Machine.Tick(p.local(w)) })
}

// Cut cuts a link, or heals it.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// Lose has a link lose a share of its messages.
func (w *World) Lose(from, to int, share float64) { w.loss[[2]int{from, to}] = share }

// Slow sets the delay of all messages.
func (w *World) Slow(d time.Duration) { w.delay = d }

// Heal heals all links.
func (w *World) Heal() {
	clear(w.cut)
	clear(w.loss)
	w.delay = w.opts.Delay
}

// local is a process's own clock.
func (p *Proc) local(w *World) time.Duration {
	at := w.Now
	if w.opts.FrozenClock && p.Paused {
		at = p.pausedAt
	}
	return p.offset + time.Duration(float64(at-p.frozen)*p.pace)
}

// do makes a step of a process and carries out what it asks for.
func (w *World) do(p *Proc, step func() view.Ready) {
	if !p.Running || p.Paused {
		return
	}
	before := w.part(p)
	r := step()
	p.Part = r.Part
	w.False += p.Machine.Wrong - p.wrong
	p.wrong = p.Machine.Wrong
	if w.part(p) > before {
		w.check()
	}
	if r.Save {
		h := w.homes[p.N]
		if h.addr == p.Addr {
			h.inc, h.home, h.kept = p.Machine.Kept()
			w.homes[p.N] = h
		}
	}
	for _, e := range r.Events {
		if w.opts.Log != nil {
			w.opts.Log(w.Now, p, e)
		}
		if e.From != e.To {
			w.note(e)
		}
	}
	for _, out := range r.Send {
		size := 0
		if w.SizeOf != nil {
			size = w.SizeOf(out.Message)
		}
		w.Sent++
		p.Bytes += size
		t := &w.Traffic[p.N]
		t.Out, t.OutBytes = t.Out+1, t.OutBytes+int64(size)
		w.send(p, out, int64(size))
	}
	for _, x := range r.Probe {
		w.probe(p, x)
	}
	p.token++
	token := p.token
	w.After(max(time.Duration(float64(p.Machine.Next()-p.local(w))/p.pace), 0)+time.Microsecond, func() {
		if token == p.token {
			w.do(p, func() view.Ready { return p.Machine.Tick(p.local(w)) })
		}
	})
}

// note counts beliefs about processes that run.
func (w *World) note(e view.Event) {
	if p := w.named(e.Name); p != nil && p.Running {
		w.Flaps++
		if e.To == view.Gone {
			w.Wrong++
		}
	}
}

func (w *World) named(name string) *Proc {
	if i, ok := w.numbers[name]; ok {
		return w.Procs[i]
	}
	return nil
}

// owner is the sender of an address, whoever listens there.
func owner(addr string) (i int) {
	number, _, _ := strings.Cut(addr, ":")
	i, _ = strconv.Atoi(number)
	return i
}

func (w *World) path(from, to int) bool {
	link := [2]int{from, to}
	return !w.cut[link] && w.rng.Float64() >= w.loss[link]
}

func (w *World) wait() time.Duration {
	d := w.delay
	if w.opts.Jitter > 0 {
		d += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
	}
	return d
}

func (w *World) send(p *Proc, out view.Envelope, size int64) {
	if !w.path(p.N, owner(out.To)) {
		return
	}
	m := *out.Message
	w.After(w.wait(), func() {
		to := w.at[out.To]
		if to != nil {
			t := &w.Traffic[to.N]
			t.In, t.InBytes = t.In+1, t.InBytes+size
		}
		switch {
		case to == nil:
		case to.Paused:
			if len(to.backlog) < 500 {
				to.backlog = append(to.backlog, &m)
			}
		default:
			w.do(to, func() view.Ready { return to.Machine.Take(to.local(w), &m) })
		}
	})
}

// probe opens a stream: a kernel that runs answers for a process that does not.
func (w *World) probe(p *Proc, x view.Probe) {
	to := owner(x.Addr)
	found, after := view.Lives, time.Second
	if !w.cut[[2]int{p.N, to}] && !w.cut[[2]int{to, p.N}] { // lost segments are sent again
		at := w.at[x.Addr]
		switch {
		case at == nil:
			found, after = view.Refused, 2*w.wait()
		case w.opts.Guards && at.Paused && w.Now-at.pausedAt > w.opts.Lease:
			at.fenced = true
			found, after = view.Fenced, 2*w.wait()
		}
	}
	w.After(after, func() {
		w.do(p, func() view.Ready { return p.Machine.Probed(p.local(w), x, found) })
	})
}

// Sum is what the parts of all processes add up to now.
func (w *World) Sum() float64 {
	sum := 0.0
	for _, p := range w.All {
		sum += w.part(p)
	}
	return sum
}

func (w *World) part(p *Proc) float64 {
	if w.opts.IgnoreLease {
		return p.Part.Now
	}
	if p.fenced {
		return 0
	}
	return p.Part.At(p.local(w))
}

// PartOf is what a process may use now.
func (w *World) PartOf(p *Proc) float64 { return w.part(p) }

// check is made whenever a part may have grown. A second process with a name that is
// cut off from all who know the first may have its least part beside it.
func (w *World) check() {
	second := float64(w.twice) * w.opts.Least / float64(w.opts.Seats)
	if sum := w.Sum() - second; sum > w.Worst {
		w.Worst, w.When = sum, w.Now
	}
}

// Agree says whether all that run take each other for here, and all others for
// ended.
func (w *World) Agree() bool {
	for _, p := range w.All {
		for name, state := range p.Machine.Sees() {
			x := w.named(name)
			runs := x != nil && x.Running
			if runs && x.Paused && state == view.Paused {
				continue
			}
			if runs && state != view.Here || !runs && state != view.Gone && state != view.HasLeft && state != view.IsForgotten {
				return false
			}
		}
	}
	return true
}
