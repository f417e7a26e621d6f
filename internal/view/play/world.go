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

	clockOffset     time.Duration
	clockRate       float64
	frozenTime      time.Duration
	pausedAt        time.Duration
	unread          []*view.Message
	knownPeers      []view.Peer
	incarnation     uint64
	timerGeneration int // of its tick
	heardAfterGone  int // of its machine, as last seen
	fenced          bool
	SentBytes       int
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

	opts         Options
	rng          *rand.Rand
	loss         map[[2]int]float64
	cut          map[[2]int]bool
	delay        time.Duration
	listeners    map[string]*Process // who listens at an address; nil for nobody
	addrCount    int
	processCount int   // processes
	duplicates   int   // processes beside another of their name
	runningCount []int // processes of each sender that run
	folders      map[int]folder
	senderIndex  map[string]int // of senders by name
}

// Traffic counts messages, and their bytes as SizeOf has them.
type Traffic struct {
	Out, In           int64
	OutBytes, InBytes int64
}

// folder is a sender's folder.
type folder struct {
	incarnation  uint64
	knownPeers   []view.Peer
	admittedAddr string
	addr         string
}

// New makes a world and starts all senders.
func New(opts Options) *World {
	if opts.MaxSenders == 0 {
		opts.MaxSenders = opts.Senders
	}
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), loss: map[[2]int]float64{}, cut: map[[2]int]bool{},
		listeners: map[string]*Process{}, folders: map[int]folder{}, delay: opts.Delay, Newest: make([]*Process, opts.Senders), runningCount: make([]int, opts.Senders),
		Traffic:     make([]Traffic, opts.Senders),
		senderIndex: make(map[string]int, opts.Senders)}
	for i := range opts.Senders {
		w.senderIndex[w.senderName(i)] = i
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

func (w *World) senderName(i int) string { return fmt.Sprintf("s%03d", i) }

func (w *World) newAddr(i int) string {
	w.addrCount++
	return fmt.Sprintf("%d:%d", i, w.addrCount)
}

// Start starts a process of sender i; one that runs is not ended.
func (w *World) Start(i int, how StartMode) *Process {
	h, had := w.folders[i]
	addr := h.addr
	if !had || how == NewAddress || w.listeners[addr] != nil {
		addr = w.newAddr(i)
	}
	if how == EmptyFolder {
		h = folder{}
	}
	if how == OldFolder {
		h.incarnation = 0
	}
	h.incarnation++
	h.addr = addr
	w.folders[i] = h
	w.processCount++
	p := &Process{Sender: i, Number: w.processCount, Name: w.senderName(i), Addr: addr, Running: true, StartedAt: w.Now, knownPeers: h.knownPeers, incarnation: h.incarnation,
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))), clockRate: 1 + w.opts.MaxClockDrift*(2*w.rng.Float64()-1)}
	var join []string
	for k, x := range w.Newest {
		if k != i && x != nil {
			join = append(join, x.Addr)
		}
	}
	p.Machine = view.New(view.Config{Name: p.Name, Addr: addr, ID: w.rng.Uint64() | 1, Incarnation: h.incarnation, MaxSenders: w.opts.MaxSenders, MinShareTotal: w.opts.MinShareTotal,
		Lease: w.opts.Lease, Interval: w.opts.Interval, MaxClockDrift: w.opts.MaxClockDrift, Join: join, KnownPeers: h.knownPeers, AdmittedAddr: h.admittedAddr, Seed: w.rng.Uint64()}, p.clock(w))
	w.Newest[i], w.listeners[addr] = p, p
	w.Running = append(w.Running, p)
	if w.runningCount[i]++; w.runningCount[i] > 1 {
		w.duplicates++
	}
	w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
	return p
}

// SetClockRate sets how fast the clock of a sender's newest process runs.
func (w *World) SetClockRate(i int, pace float64) {
	p := w.Newest[i]
	now := p.clock(w)
	p.clockRate = pace
	p.clockOffset += now - p.clock(w)
}

// Kill ends a process.
func (w *World) Kill(p *Process) {
	p.Running = false
	if w.listeners[p.Addr] == p {
		delete(w.listeners, p.Addr)
	}
	for i, x := range w.Running {
		if x == p {
			w.Running = append(w.Running[:i], w.Running[i+1:]...)
			if w.runningCount[p.Sender]--; w.runningCount[p.Sender] > 0 {
				w.duplicates--
			}
			break
		}
	}
	w.checkSum()
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
		p.frozenTime += w.Now - p.pausedAt
	}
	p.Paused = false
	w.checkSum()
	if p.fenced {
		p.fenced = false
		w.step(p, func() view.Actions { return p.Machine.HandleFenced(p.clock(w)) })
		w.checkSum()
	}
	late := p.unread
	p.unread = nil
	for _, m := range late { // what its socket has kept comes first
		w.step(p, func() view.Actions { return p.Machine.HandleMessage(p.clock(w), m) })
	}
	w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
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

// clock is a process's own clock.
func (p *Process) clock(w *World) time.Duration {
	at := w.Now
	if w.opts.FrozenClock && p.Paused {
		at = p.pausedAt
	}
	return p.clockOffset + time.Duration(float64(at-p.frozenTime)*p.clockRate)
}

// step makes a step of a process and carries out what it asks for.
func (w *World) step(p *Process, step func() view.Actions) {
	if !p.Running || p.Paused {
		return
	}
	before := w.share(p)
	r := step()
	p.Share = r.Share
	w.HeardAfterGone += p.Machine.HeardAfterGone - p.heardAfterGone
	p.heardAfterGone = p.Machine.HeardAfterGone
	if w.share(p) > before {
		w.checkSum()
	}
	if r.Save {
		h := w.folders[p.Sender]
		if h.addr == p.Addr {
			h.incarnation, h.admittedAddr, h.knownPeers = p.Machine.SavedState()
			w.folders[p.Sender] = h
		}
	}
	for _, e := range r.Events {
		if w.opts.Log != nil {
			w.opts.Log(w.Now, p, e)
		}
		if e.From != e.To {
			w.countStateChange(e)
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
	p.timerGeneration++
	token := p.timerGeneration
	w.After(max(time.Duration(float64(p.Machine.NextTick()-p.clock(w))/p.clockRate), 0)+time.Microsecond, func() {
		if token == p.timerGeneration {
			w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
		}
	})
}

// countStateChange counts beliefs about processes that run.
func (w *World) countStateChange(e view.Event) {
	if p := w.newestOf(e.Name); p != nil && p.Running {
		w.StateChanges++
		if e.To == view.Gone {
			w.GoneWhileRunning++
		}
	}
}

func (w *World) newestOf(name string) *Process {
	if i, ok := w.senderIndex[name]; ok {
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

func (w *World) delivers(from, to int) bool {
	link := [2]int{from, to}
	return !w.cut[link] && w.rng.Float64() >= w.loss[link]
}

func (w *World) randomDelay() time.Duration {
	d := w.delay
	if w.opts.Jitter > 0 {
		d += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
	}
	return d
}

func (w *World) send(p *Process, out view.Envelope, size int64) {
	if !w.delivers(p.Sender, owner(out.To)) {
		return
	}
	m := *out.Message
	w.After(w.randomDelay(), func() {
		to := w.listeners[out.To]
		if to != nil {
			t := &w.Traffic[to.Sender]
			t.In, t.InBytes = t.In+1, t.InBytes+size
		}
		switch {
		case to == nil:
		case to.Paused:
			if len(to.unread) < 500 {
				to.unread = append(to.unread, &m)
			}
		default:
			w.step(to, func() view.Actions { return to.Machine.HandleMessage(to.clock(w), &m) })
		}
	})
}

// probe opens a stream: a kernel that runs answers for a process that does not.
func (w *World) probe(p *Process, x view.Probe) {
	to := owner(x.Addr)
	found, after := view.NotEnded, time.Second
	if !w.cut[[2]int{p.Sender, to}] && !w.cut[[2]int{to, p.Sender}] { // lost segments are sent again
		at := w.listeners[x.Addr]
		switch {
		case at == nil:
			found, after = view.ConnectionRefused, 2*w.randomDelay()
		case w.opts.Guards && at.Paused && w.Now-at.pausedAt > w.opts.Lease:
			at.fenced = true
			found, after = view.Fenced, 2*w.randomDelay()
		}
	}
	w.After(after, func() {
		w.step(p, func() view.Actions { return p.Machine.HandleProbe(p.clock(w), x, found) })
	})
}

// ShareSum is what the parts of all processes add up to now.
func (w *World) ShareSum() float64 {
	sum := 0.0
	for _, p := range w.Running {
		sum += w.share(p)
	}
	return sum
}

func (w *World) share(p *Process) float64 {
	if w.opts.IgnoreLease {
		return p.Share.Current
	}
	if p.fenced {
		return 0
	}
	return p.Share.At(p.clock(w))
}

// ShareOf is what a process may use now.
func (w *World) ShareOf(p *Process) float64 { return w.share(p) }

// checkSum is made whenever a part may have grown. A second process with a name that is
// cut off from all who know the first may have its least part beside it.
func (w *World) checkSum() {
	second := float64(w.duplicates) * w.opts.MinShareTotal / float64(w.opts.MaxSenders)
	if sum := w.ShareSum() - second; sum > w.MaxSum {
		w.MaxSum, w.MaxSumAt = sum, w.Now
	}
}

// Converged says whether all that run take each other for here, and all others for
// ended.
func (w *World) Converged() bool {
	for _, p := range w.Running {
		for name, state := range p.Machine.PeerStates() {
			x := w.newestOf(name)
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
