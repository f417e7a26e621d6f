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
	Seed          uint64
	Senders       int
	MaxSenders    int // 0 for Senders
	MinShareTotal float64
	Lease         time.Duration
	Interval      time.Duration
	MaxClockDrift float64 // clocks run at random paces within this; one may be set by Pace
	Delay         time.Duration
	Jitter        time.Duration
	IgnoreLease   bool // a planted fault: parts are used although they have run out
	FrozenClock   bool // a planted fault: clocks stand still during a pause
	Log           func(at time.Duration, p *Process, e view.Event)
	Guards        bool // a paused process is fenced by its guard
}

// Process is one process of a sender.
type Process struct {
	Sender, Number int
	Name           string
	Addr           string
	Machine        *view.Machine
	Share          view.Share
	Running        bool // else it has been killed
	Paused         bool
	StartedAt      time.Duration

	offset    time.Duration
	pace      float64
	frozen    time.Duration
	pausedAt  time.Duration
	backlog   []*view.Message
	kept      []view.Peer
	inc       uint64
	token     int // of its tick
	wrong     int // of its machine, as last seen
	fenced    bool
	SentBytes int
}

// World is senders in virtual time.
type World struct {
	virtual.Clock
	Newest           []*Process // of each sender the newest
	Running          []*Process // those that run
	MaxSum           float64    // the largest sum of parts that was seen
	MaxSumAt         time.Duration
	GoneWhileRunning int // times that a sender whose newest process runs was taken for gone, an earlier life perhaps
	HeardAfterGone   int // times that a life was taken for gone and heard again
	StateChanges     int // changes of state of senders that ran throughout
	Sent             int
	SizeOf           func(m *view.Message) int // bytes; nil for not counted
	// Traffic is what each sender has sent and taken.
	Traffic []Traffic

	opts    Options
	rng     *rand.Rand
	loss    map[[2]int]float64
	cut     map[[2]int]bool
	delay   time.Duration
	at      map[string]*Process // who listens at an address; nil for nobody
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
	kept []view.Peer
	home string
	addr string
}

// New makes a world and starts all senders.
func New(opts Options) *World {
	if opts.MaxSenders == 0 {
		opts.MaxSenders = opts.Senders
	}
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), loss: map[[2]int]float64{}, cut: map[[2]int]bool{},
		at: map[string]*Process{}, homes: map[int]home{}, delay: opts.Delay, Newest: make([]*Process, opts.Senders), lives: make([]int, opts.Senders),
		Traffic: make([]Traffic, opts.Senders),
		numbers: make(map[string]int, opts.Senders)}
	for i := range opts.Senders {
		w.numbers[w.name(i)] = i
	}
	for i := range opts.Senders {
		w.Start(i, SameFolder)
	}
	return w
}

// StartMode says what a process starts with.
type StartMode int

// The ways to start.
const (
	SameFolder  StartMode = iota // with its folder, where it was
	EmptyFolder                  // with an emptied folder
	NewAddress                   // with its folder, at a new address
	OldFolder                    // with a copy of its folder as it was at the first start
)

func (w *World) name(i int) string { return fmt.Sprintf("s%03d", i) }

func (w *World) fresh(i int) string {
	w.addrs++
	return fmt.Sprintf("%d:%d", i, w.addrs)
}

// Start starts a process of sender i; one that runs is not ended.
func (w *World) Start(i int, how StartMode) *Process {
	h, had := w.homes[i]
	addr := h.addr
	if !had || how == NewAddress || w.at[addr] != nil {
		addr = w.fresh(i)
	}
	if how == EmptyFolder {
		h = home{}
	}
	if how == OldFolder {
		h.inc = 0
	}
	h.inc++
	h.addr = addr
	w.homes[i] = h
	w.started++
	p := &Process{Sender: i, Number: w.started, Name: w.name(i), Addr: addr, Running: true, StartedAt: w.Now, kept: h.kept, inc: h.inc,
		offset: time.Duration(w.rng.Int64N(int64(time.Hour))), pace: 1 + w.opts.MaxClockDrift*(2*w.rng.Float64()-1)}
	var join []string
	for k, x := range w.Newest {
		if k != i && x != nil {
			join = append(join, x.Addr)
		}
	}
	p.Machine = view.New(view.Config{Name: p.Name, Addr: addr, ID: w.rng.Uint64() | 1, Incarnation: h.inc, MaxSenders: w.opts.MaxSenders, MinShareTotal: w.opts.MinShareTotal,
		Lease: w.opts.Lease, Interval: w.opts.Interval, MaxClockDrift: w.opts.MaxClockDrift, Join: join, KnownPeers: h.kept, AdmittedAddr: h.home, Seed: w.rng.Uint64()}, p.local(w))
	w.Newest[i], w.at[addr] = p, p
	w.Running = append(w.Running, p)
	if w.lives[i]++; w.lives[i] > 1 {
		w.twice++
	}
	w.do(p, func() view.Actions { return p.Machine.Tick(p.local(w)) })
	return p
}

// SetClockRate sets how fast the clock of a sender's newest process runs.
func (w *World) SetClockRate(i int, pace float64) {
	p := w.Newest[i]
	now := p.local(w)
	p.pace = pace
	p.offset += now - p.local(w)
}

// Kill ends a process.
func (w *World) Kill(p *Process) {
	p.Running = false
	if w.at[p.Addr] == p {
		delete(w.at, p.Addr)
	}
	for i, x := range w.Running {
		if x == p {
			w.Running = append(w.Running[:i], w.Running[i+1:]...)
			if w.lives[p.Sender]--; w.lives[p.Sender] > 0 {
				w.twice--
			}
			break
		}
	}
	w.check()
}

// Pause stops a process, which goes on after a span if it still runs.
func (w *World) Pause(p *Process, d time.Duration) {
	if p.Paused || !p.Running {
		return
	}
	p.Paused, p.pausedAt = true, w.Now
	w.After(d, func() { w.resume(p) })
}

func (w *World) resume(p *Process) {
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
		w.do(p, func() view.Actions { return p.Machine.HandleFenced(p.local(w)) })
		w.check()
	}
	late := p.backlog
	p.backlog = nil
	for _, m := range late { // what its socket has kept comes first
		w.do(p, func() view.Actions { return p.Machine.HandleMessage(p.local(w), m) })
	}
	w.do(p, func() view.Actions { return p.Machine.Tick(p.local(w)) })
}

// Cut cuts a link, or heals it.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// SetLoss has a link lose a share of its messages.
func (w *World) SetLoss(from, to int, share float64) { w.loss[[2]int{from, to}] = share }

// SetDelay sets the delay of all messages.
func (w *World) SetDelay(d time.Duration) { w.delay = d }

// Heal heals all links.
func (w *World) Heal() {
	clear(w.cut)
	clear(w.loss)
	w.delay = w.opts.Delay
}

// local is a process's own clock.
func (p *Process) local(w *World) time.Duration {
	at := w.Now
	if w.opts.FrozenClock && p.Paused {
		at = p.pausedAt
	}
	return p.offset + time.Duration(float64(at-p.frozen)*p.pace)
}

// do makes a step of a process and carries out what it asks for.
func (w *World) do(p *Process, step func() view.Actions) {
	if !p.Running || p.Paused {
		return
	}
	before := w.part(p)
	r := step()
	p.Share = r.Share
	w.HeardAfterGone += p.Machine.HeardAfterGone - p.wrong
	p.wrong = p.Machine.HeardAfterGone
	if w.part(p) > before {
		w.check()
	}
	if r.Save {
		h := w.homes[p.Sender]
		if h.addr == p.Addr {
			h.inc, h.home, h.kept = p.Machine.SavedState()
			w.homes[p.Sender] = h
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
		p.SentBytes += size
		t := &w.Traffic[p.Sender]
		t.Out, t.OutBytes = t.Out+1, t.OutBytes+int64(size)
		w.send(p, out, int64(size))
	}
	for _, x := range r.Probe {
		w.probe(p, x)
	}
	p.token++
	token := p.token
	w.After(max(time.Duration(float64(p.Machine.NextTick()-p.local(w))/p.pace), 0)+time.Microsecond, func() {
		if token == p.token {
			w.do(p, func() view.Actions { return p.Machine.Tick(p.local(w)) })
		}
	})
}

// note counts beliefs about processes that run.
func (w *World) note(e view.Event) {
	if p := w.named(e.Name); p != nil && p.Running {
		w.StateChanges++
		if e.To == view.Gone {
			w.GoneWhileRunning++
		}
	}
}

func (w *World) named(name string) *Process {
	if i, ok := w.numbers[name]; ok {
		return w.Newest[i]
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

func (w *World) send(p *Process, out view.Envelope, size int64) {
	if !w.path(p.Sender, owner(out.To)) {
		return
	}
	m := *out.Message
	w.After(w.wait(), func() {
		to := w.at[out.To]
		if to != nil {
			t := &w.Traffic[to.Sender]
			t.In, t.InBytes = t.In+1, t.InBytes+size
		}
		switch {
		case to == nil:
		case to.Paused:
			if len(to.backlog) < 500 {
				to.backlog = append(to.backlog, &m)
			}
		default:
			w.do(to, func() view.Actions { return to.Machine.HandleMessage(to.local(w), &m) })
		}
	})
}

// probe opens a stream: a kernel that runs answers for a process that does not.
func (w *World) probe(p *Process, x view.Probe) {
	to := owner(x.Addr)
	found, after := view.NotEnded, time.Second
	if !w.cut[[2]int{p.Sender, to}] && !w.cut[[2]int{to, p.Sender}] { // lost segments are sent again
		at := w.at[x.Addr]
		switch {
		case at == nil:
			found, after = view.ConnectionRefused, 2*w.wait()
		case w.opts.Guards && at.Paused && w.Now-at.pausedAt > w.opts.Lease:
			at.fenced = true
			found, after = view.Fenced, 2*w.wait()
		}
	}
	w.After(after, func() {
		w.do(p, func() view.Actions { return p.Machine.HandleProbe(p.local(w), x, found) })
	})
}

// ShareSum is what the parts of all processes add up to now.
func (w *World) ShareSum() float64 {
	sum := 0.0
	for _, p := range w.Running {
		sum += w.part(p)
	}
	return sum
}

func (w *World) part(p *Process) float64 {
	if w.opts.IgnoreLease {
		return p.Share.Current
	}
	if p.fenced {
		return 0
	}
	return p.Share.At(p.local(w))
}

// ShareOf is what a process may use now.
func (w *World) ShareOf(p *Process) float64 { return w.part(p) }

// check is made whenever a part may have grown. A second process with a name that is
// cut off from all who know the first may have its least part beside it.
func (w *World) check() {
	second := float64(w.twice) * w.opts.MinShareTotal / float64(w.opts.MaxSenders)
	if sum := w.ShareSum() - second; sum > w.MaxSum {
		w.MaxSum, w.MaxSumAt = sum, w.Now
	}
}

// Converged says whether all that run take each other for here, and all others for
// ended.
func (w *World) Converged() bool {
	for _, p := range w.Running {
		for name, state := range p.Machine.PeerStates() {
			x := w.named(name)
			runs := x != nil && x.Running
			if runs && x.Paused && state == view.Paused {
				continue
			}
			if runs && state != view.Reachable || !runs && state != view.Gone && state != view.HasLeft && state != view.IsForgotten {
				return false
			}
		}
	}
	return true
}
