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

// Options configure a [World].
type Options struct {
	Seed          uint64
	Senders       int
	MaxSenders    int // 0 for the value of Senders
	MinShareTotal float64
	Lease         time.Duration
	Interval      time.Duration
	MaxClockDrift float64 // clocks run at random rates within this; SetClockRate sets one
	Delay         time.Duration
	Jitter        time.Duration
	IgnoreLease   bool // a planted fault: shares are used after their lease has expired
	FrozenClock   bool // a planted fault: clocks stop during a pause
	// Log is called for each event of a process; nil for no log.
	Log    func(at time.Duration, p *Process, e view.Event)
	Guards bool // a paused process is fenced by its guard
}

// Process is a simulated process of a sender.
type Process struct {
	Sender, Number int // index of its sender, and number in the order of starts
	Name           string
	Addr           string
	Machine        *view.Machine
	Share          view.Share
	Running        bool // false after it was killed
	Paused         bool
	StartedAt      time.Duration // in virtual time

	clockOffset     time.Duration // added to its clock
	clockRate       float64       // its clock's speed relative to virtual time
	frozenTime      time.Duration // total of the pauses that its clock did not count, with FrozenClock
	pausedAt        time.Duration
	unread          []*view.Message // received by its socket during a pause
	knownPeers      []view.Peer
	incarnation     uint64
	timerGeneration int  // changes with each step: the tick timer of an earlier step is void
	heardAfterGone  int  // value of its machine after the last step
	fenced          bool // its guard has fenced it during the present pause
	SentBytes       int
}

// World is a cluster of senders in virtual time.
type World struct {
	virtual.Clock
	Newest           []*Process                // the newest process of each sender
	Running          []*Process                // all processes that were not killed
	MaxSum           float64                   // largest sum of the shares at any time
	MaxSumAt         time.Duration             // when that sum occurred
	GoneWhileRunning int                       // how often a sender was considered gone while its newest process ran
	HeardAfterGone   int                       // how often an incarnation considered ended was heard again
	StateChanges     int                       // changes of state, in any view, of senders whose newest process runs
	Sent             int                       // messages sent
	SizeOf           func(m *view.Message) int // size of a message in bytes; nil if bytes are not counted
	// Traffic counts what each sender has sent and received.
	Traffic []Traffic

	opts         Options
	rng          *rand.Rand
	loss         map[[2]int]float64 // fraction of messages lost on the link from one sender to another
	cut          map[[2]int]bool    // whether that link is cut
	delay        time.Duration
	listeners    map[string]*Process // the process that listens at an address, if any
	addrCount    int                 // addresses used so far
	processCount int                 // processes started so far
	duplicates   int                 // running processes beyond the first of each name
	runningCount []int               // running processes of each sender
	folders      map[int]folder
	senderIndex  map[string]int // index of each sender by name
}

// Traffic counts messages, and their bytes as measured by World.SizeOf.
type Traffic struct {
	Out, In           int64
	OutBytes, InBytes int64
}

// folder is the content of a sender's state folder, and its address.
type folder struct {
	incarnation  uint64
	knownPeers   []view.Peer
	admittedAddr string
	addr         string
}

// New returns a world and starts all senders.
func New(opts Options) *World {
	if opts.MaxSenders == 0 {
		opts.MaxSenders = opts.Senders
	}
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), loss: map[[2]int]float64{},
		cut: map[[2]int]bool{}, listeners: map[string]*Process{}, folders: map[int]folder{}, delay: opts.Delay,
		Newest: make([]*Process, opts.Senders), runningCount: make([]int, opts.Senders),
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

// StartMode is the state folder and address that a process starts with.
type StartMode int

// The start modes.
const (
	SameFolder  StartMode = iota // its folder and its address
	EmptyFolder                  // an emptied folder
	NewAddress                   // its folder, but a new address
	OldFolder                    // its folder with the incarnation reset, as in an old copy
)

// senderName returns the name of sender i.
func (w *World) senderName(i int) string { return fmt.Sprintf("s%03d", i) }

// newAddr returns an unused address of sender i.
func (w *World) newAddr(i int) string {
	w.addrCount++
	return fmt.Sprintf("%d:%d", i, w.addrCount)
}

// Start starts a process of sender i. It does not end one that runs: then both run with the same name.
func (w *World) Start(i int, mode StartMode) *Process {
	dir, exists := w.folders[i]
	addr := dir.addr
	if !exists || mode == NewAddress || w.listeners[addr] != nil {
		addr = w.newAddr(i)
	}
	if mode == EmptyFolder {
		dir = folder{}
	}
	if mode == OldFolder {
		dir.incarnation = 0
	}
	dir.incarnation++
	dir.addr = addr
	w.folders[i] = dir
	w.processCount++
	p := &Process{Sender: i, Number: w.processCount, Name: w.senderName(i), Addr: addr, Running: true, StartedAt: w.Now,
		knownPeers: dir.knownPeers, incarnation: dir.incarnation,
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))),
		clockRate:   1 + w.opts.MaxClockDrift*(2*w.rng.Float64()-1)}
	var join []string
	for j, other := range w.Newest {
		if j != i && other != nil {
			join = append(join, other.Addr)
		}
	}
	p.Machine = view.New(view.Config{Name: p.Name, Addr: addr, ID: w.rng.Uint64() | 1, Incarnation: dir.incarnation,
		MaxSenders: w.opts.MaxSenders, MinShareTotal: w.opts.MinShareTotal,
		Lease: w.opts.Lease, Interval: w.opts.Interval, MaxClockDrift: w.opts.MaxClockDrift,
		Join: join, KnownPeers: dir.knownPeers, AdmittedAddr: dir.admittedAddr, Seed: w.rng.Uint64()}, p.clock(w))
	w.Newest[i], w.listeners[addr] = p, p
	w.Running = append(w.Running, p)
	if w.runningCount[i]++; w.runningCount[i] > 1 {
		w.duplicates++
	}
	w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
	return p
}

// SetClockRate sets the speed of the clock of a sender's newest process, relative to virtual time.
func (w *World) SetClockRate(i int, rate float64) {
	p := w.Newest[i]
	now := p.clock(w)
	p.clockRate = rate
	p.clockOffset += now - p.clock(w)
}

// Kill ends a process.
func (w *World) Kill(p *Process) {
	p.Running = false
	if w.listeners[p.Addr] == p {
		delete(w.listeners, p.Addr)
	}
	for i, running := range w.Running {
		if running == p {
			w.Running = append(w.Running[:i], w.Running[i+1:]...)
			if w.runningCount[p.Sender]--; w.runningCount[p.Sender] > 0 {
				w.duplicates--
			}
			break
		}
	}
	w.checkSum()
}

// Pause pauses a process for a duration.
func (w *World) Pause(p *Process, d time.Duration) {
	if p.Paused || !p.Running {
		return
	}
	p.Paused, p.pausedAt = true, w.Now
	w.After(d, func() { w.resume(p) })
}

// resume ends the pause of a process that was not killed meanwhile.
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
	unread := p.unread
	p.unread = nil
	for _, m := range unread { // messages buffered by its socket come first
		w.step(p, func() view.Actions { return p.Machine.HandleMessage(p.clock(w), m) })
	}
	w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
}

// Cut cuts the link from one sender to another, or restores it.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// SetLoss sets the fraction of the messages from one sender to another that is lost.
func (w *World) SetLoss(from, to int, fraction float64) { w.loss[[2]int{from, to}] = fraction }

// SetDelay sets the delay of all messages.
func (w *World) SetDelay(d time.Duration) { w.delay = d }

// Heal restores all links and the configured delay.
func (w *World) Heal() {
	clear(w.cut)
	clear(w.loss)
	w.delay = w.opts.Delay
}

// clock returns the time on the clock of a process.
func (p *Process) clock(w *World) time.Duration {
	at := w.Now
	if w.opts.FrozenClock && p.Paused {
		at = p.pausedAt
	}
	return p.clockOffset + time.Duration(float64(at-p.frozenTime)*p.clockRate)
}

// step runs a step of the machine of a process and carries out its actions. A process that is paused or killed does
// nothing.
func (w *World) step(p *Process, handle func() view.Actions) {
	if !p.Running || p.Paused {
		return
	}
	before := w.share(p)
	actions := handle()
	p.Share = actions.Share
	w.HeardAfterGone += p.Machine.HeardAfterGone - p.heardAfterGone
	p.heardAfterGone = p.Machine.HeardAfterGone
	if w.share(p) > before {
		w.checkSum()
	}
	if actions.Save {
		dir := w.folders[p.Sender]
		if dir.addr == p.Addr {
			dir.incarnation, dir.admittedAddr, dir.knownPeers = p.Machine.SavedState()
			w.folders[p.Sender] = dir
		}
	}
	for _, event := range actions.Events {
		if w.opts.Log != nil {
			w.opts.Log(w.Now, p, event)
		}
		if event.From != event.To {
			w.countStateChange(event)
		}
	}
	for _, envelope := range actions.Send {
		size := 0
		if w.SizeOf != nil {
			size = w.SizeOf(envelope.Message)
		}
		w.Sent++
		p.SentBytes += size
		traffic := &w.Traffic[p.Sender]
		traffic.Out, traffic.OutBytes = traffic.Out+1, traffic.OutBytes+int64(size)
		w.send(p, envelope, int64(size))
	}
	for _, probe := range actions.Probe {
		w.probe(p, probe)
	}
	p.timerGeneration++
	generation := p.timerGeneration
	w.After(max(time.Duration(float64(p.Machine.NextTick()-p.clock(w))/p.clockRate), 0)+time.Microsecond, func() {
		if generation == p.timerGeneration {
			w.step(p, func() view.Actions { return p.Machine.Tick(p.clock(w)) })
		}
	})
}

// countStateChange counts a change of state if it concerns a sender whose newest process runs.
func (w *World) countStateChange(e view.Event) {
	if p := w.newestOf(e.Name); p != nil && p.Running {
		w.StateChanges++
		if e.To == view.Gone {
			w.GoneWhileRunning++
		}
	}
}

// newestOf returns the newest process of a sender; nil if there is no such sender.
func (w *World) newestOf(name string) *Process {
	if i, ok := w.senderIndex[name]; ok {
		return w.Newest[i]
	}
	return nil
}

// owner returns the index of the sender that an address was created for.
func owner(addr string) (i int) {
	sender, _, _ := strings.Cut(addr, ":")
	i, _ = strconv.Atoi(sender)
	return i
}

// delivers reports whether the next message from one sender to another is delivered.
func (w *World) delivers(from, to int) bool {
	link := [2]int{from, to}
	return !w.cut[link] && w.rng.Float64() >= w.loss[link]
}

// randomDelay returns the delay of a message.
func (w *World) randomDelay() time.Duration {
	d := w.delay
	if w.opts.Jitter > 0 {
		d += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
	}
	return d
}

// send sends a message of a process. The socket of a paused receiver buffers at most 500 messages.
func (w *World) send(p *Process, envelope view.Envelope, size int64) {
	if !w.delivers(p.Sender, owner(envelope.To)) {
		return
	}
	msg := *envelope.Message
	w.After(w.randomDelay(), func() {
		to := w.listeners[envelope.To]
		if to != nil {
			traffic := &w.Traffic[to.Sender]
			traffic.In, traffic.InBytes = traffic.In+1, traffic.InBytes+size
		}
		switch {
		case to == nil:
		case to.Paused:
			if len(to.unread) < 500 {
				to.unread = append(to.unread, &msg)
			}
		default:
			w.step(to, func() view.Actions { return to.Machine.HandleMessage(to.clock(w), &msg) })
		}
	})
}

// probe carries out a probe. The kernel accepts the connection of a process that is paused, so only its guard
// detects the pause.
func (w *World) probe(p *Process, request view.Probe) {
	to := owner(request.Addr)
	found, after := view.NotEnded, time.Second
	if !w.cut[[2]int{p.Sender, to}] && !w.cut[[2]int{to, p.Sender}] { // loss is not simulated: TCP retransmits
		target := w.listeners[request.Addr]
		switch {
		case target == nil:
			found, after = view.ConnectionRefused, 2*w.randomDelay()
		case w.opts.Guards && target.Paused && w.Now-target.pausedAt > w.opts.Lease:
			target.fenced = true
			found, after = view.Fenced, 2*w.randomDelay()
		}
	}
	w.After(after, func() {
		w.step(p, func() view.Actions { return p.Machine.HandleProbe(p.clock(w), request, found) })
	})
}

// ShareSum returns the sum of the shares of all processes now.
func (w *World) ShareSum() float64 {
	sum := 0.0
	for _, p := range w.Running {
		sum += w.share(p)
	}
	return sum
}

// share returns the share that a process uses now, planted faults included.
func (w *World) share(p *Process) float64 {
	if w.opts.IgnoreLease {
		return p.Share.Current
	}
	if p.fenced {
		return 0
	}
	return p.Share.At(p.clock(w))
}

// ShareOf returns the share that a process uses now.
func (w *World) ShareOf(p *Process) float64 { return w.share(p) }

// checkSum updates MaxSum. It is called whenever a share may have increased. A second process with the same name that
// is cut off from all peers of the first may use its minimum share as well, so that much is allowed per duplicate.
func (w *World) checkSum() {
	allowance := float64(w.duplicates) * w.opts.MinShareTotal / float64(w.opts.MaxSenders)
	if sum := w.ShareSum() - allowance; sum > w.MaxSum {
		w.MaxSum, w.MaxSumAt = sum, w.Now
	}
}

// Converged reports whether all running processes consider each other reachable and all others ended.
func (w *World) Converged() bool {
	for _, p := range w.Running {
		for name, state := range p.Machine.PeerStates() {
			newest := w.newestOf(name)
			runs := newest != nil && newest.Running
			if runs && newest.Paused && state == view.Paused {
				continue
			}
			if runs && state != view.Reachable ||
				!runs && state != view.Gone && state != view.HasLeft && state != view.IsForgotten {
				return false
			}
		}
	}
	return true
}
