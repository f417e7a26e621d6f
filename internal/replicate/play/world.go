// Package play simulates senders that exchange facts in virtual time, with network faults,
// pauses and restarts, and checks invariants of their replicas.
package play

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	"cometrack/internal/virtual"
)

// Options are the parameters of a simulation.
type Options struct {
	Seed           uint64
	Senders        int
	DigestInterval time.Duration
	Rate           float64 // byte budget of each sender, per second
	Drift          float64
	Delay          time.Duration
	Jitter         time.Duration
	Zones          int // number of zones; 0 counts as one

	// Planted defects, which the checks must find.
	ZeroAges    bool // facts arrive as if their events happened right now
	SkipCatchUp bool // a process that starts or resumes counts as caught up at once
}

// Proc is one process of a sender.
type Proc struct {
	Index   int
	Machine *replicate.Machine
	Self    facts.Origin
	Running bool
	Paused  bool

	clockOffset     time.Duration
	clockRate       float64
	timerGeneration int                  // of the last scheduled tick; earlier ones are cancelled
	received        []*replicate.Message // messages that arrived during a pause
	CaughtUpAt      time.Duration        // when it last caught up; 0 while it is catching up
}

// publishedWait is a requested wait that a sender has published, in true time.
type publishedWait struct {
	publishedAt, endsAt time.Duration
	sender              int
}

// World is a simulation of senders in virtual time.
type World struct {
	virtual.Clock
	Procs []*Proc
	Bytes int64 // sent by all, as measured by SizeOf
	Sent  int   // messages sent by all

	EarlyWaits   int           // waits that end in a replica before their true end, counted at each check
	LongWaits    int           // waits that end in a replica later than transit, pauses and drift explain
	MissingWaits int           // waits missing in a replica that had caught up
	MaxOverrun   time.Duration // longest time by which a replica extends a wait beyond what drift explains

	opts         Options
	rng          *rand.Rand
	loss         map[[2]int]float64 // share of lost messages, by sender and receiver
	cut          map[[2]int]bool    // broken links, by sender and receiver
	waits        map[facts.Dot]publishedWait
	incarnations uint64
	longestPause time.Duration
	SizeOf       func(*replicate.Message) int // size of a message on the wire; nil to count no bytes
}

// New returns a simulation in which all senders have started.
func New(opts Options) *World {
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 3)), loss: map[[2]int]float64{},
		cut: map[[2]int]bool{}, waits: map[facts.Dot]publishedWait{}, Procs: make([]*Proc, opts.Senders)}
	w.opts.Zones = max(opts.Zones, 1)
	for i := range opts.Senders {
		w.Start(i)
	}
	return w
}

// peers lists all senders but one.
func (w *World) peers(self int) []replicate.Peer {
	var list []replicate.Peer
	for k := range w.opts.Senders {
		if k != self {
			list = append(list, replicate.Peer{Name: fmt.Sprint("s", k), Addr: fmt.Sprint(k)})
		}
	}
	return list
}

// Start starts a process of sender i with an empty replica. A running process of that sender
// is killed.
func (w *World) Start(i int) *Proc {
	if old := w.Procs[i]; old != nil {
		old.Running = false
	}
	w.incarnations++
	p := &Proc{Index: i, Self: facts.Origin{Name: fmt.Sprint("s", i), Incarnation: w.incarnations}, Running: true,
		clockOffset: time.Duration(1 + w.rng.Int64N(int64(time.Hour))), clockRate: 1 + w.opts.Drift*(2*w.rng.Float64()-1)}
	p.Machine = replicate.New(replicate.Config{Self: p.Self, Zone: fmt.Sprint("z", i%w.opts.Zones),
		Drift: w.opts.Drift, DigestInterval: w.opts.DigestInterval, CatchUpTimeout: 10 * w.opts.DigestInterval,
		Rate: w.opts.Rate, Seed: w.rng.Uint64()}, p.localTime(w))
	p.Machine.SetPeers(w.peers(i))
	w.Procs[i] = p
	w.step(p, func() replicate.Ready { return p.Machine.Tick(p.localTime(w)) })
	return p
}

// Kill ends the process of sender i.
func (w *World) Kill(i int) { w.Procs[i].Running = false }

// Pause stops the process of sender i for a duration. Up to 500 messages that arrive
// meanwhile are buffered, as in a socket, and received afterwards.
func (w *World) Pause(i int, d time.Duration) {
	p := w.Procs[i]
	if p.Paused || !p.Running {
		return
	}
	p.Paused = true
	w.longestPause = max(w.longestPause, d)
	w.After(d, func() {
		if !p.Paused || !p.Running {
			return
		}
		p.Paused = false
		messages := p.received
		p.received = nil
		for _, m := range messages {
			w.step(p, func() replicate.Ready { return p.Machine.Receive(p.localTime(w), m) })
		}
		w.step(p, func() replicate.Ready { return p.Machine.Tick(p.localTime(w)) })
	})
}

// Cut breaks or restores the link from one sender to another.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// SetLoss sets the share of messages that are lost on the link from one sender to another.
func (w *World) SetLoss(from, to int, share float64) { w.loss[[2]int{from, to}] = share }

// Heal restores all links and ends all losses.
func (w *World) Heal() {
	clear(w.cut)
	clear(w.loss)
}

// PublishWait makes sender i publish that an endpoint requested a wait of d now. It has no
// effect while the sender is down or paused.
func (w *World) PublishWait(i int, endpoint string, d time.Duration) {
	p := w.Procs[i]
	if !p.Running || p.Paused {
		return
	}
	w.step(p, func() replicate.Ready {
		s := facts.Subject{Kind: facts.RequestedWait, Partner: "acme", Endpoint: endpoint}
		ready, err := p.Machine.Publish(p.localTime(w), s, facts.Value{}, 0, d)
		if err != nil {
			panic(err)
		}
		own, seq := p.Machine.Replica().LocalVersion()
		w.waits[facts.Dot{Origin: own, Seq: seq}] = publishedWait{w.Now, w.Now + d, i}
		return ready
	})
}

// PublishWaits makes sender i publish waits of d for n endpoints at once.
func (w *World) PublishWaits(i, n int, d time.Duration) {
	for k := range n {
		w.PublishWait(i, fmt.Sprint("f", i, "-", k), d)
	}
}

// AllHaveFactsOf reports whether all running processes have all facts of sender i.
func (w *World) AllHaveFactsOf(i int) bool {
	own, seq := w.Procs[i].Machine.Replica().LocalVersion()
	for _, p := range w.running() {
		if p.Machine.Replica().Watermark(own) < seq {
			return false
		}
	}
	return true
}

// AllHave reports whether all running processes have n facts.
func (w *World) AllHave(n int) bool {
	for _, p := range w.running() {
		if p.Machine.Replica().Len() != n {
			return false
		}
	}
	return true
}

// localTime returns the time on the process's clock.
func (p *Proc) localTime(w *World) time.Duration {
	return p.clockOffset + time.Duration(float64(w.Now)*p.clockRate)
}

// step runs one step of a process, sends its messages, and schedules its next tick.
func (w *World) step(p *Proc, run func() replicate.Ready) {
	if !p.Running || p.Paused {
		return
	}
	ready := run()
	if catchingUp, _ := p.Machine.CatchingUp(); catchingUp && !w.opts.SkipCatchUp {
		p.CaughtUpAt = 0
	} else if p.CaughtUpAt == 0 {
		p.CaughtUpAt = w.Now
	}
	for _, envelope := range ready.Send {
		w.send(p, envelope)
	}
	p.timerGeneration++
	generation := p.timerGeneration
	w.After(max(time.Duration(float64(p.Machine.NextTick()-p.localTime(w))/p.clockRate), 0)+time.Microsecond, func() {
		if generation == p.timerGeneration {
			w.step(p, func() replicate.Ready { return p.Machine.Tick(p.localTime(w)) })
		}
	})
}

// send delivers a message with the delay, loss and duplication of its link.
func (w *World) send(p *Proc, envelope replicate.Envelope) {
	var to int
	fmt.Sscan(envelope.To, &to)
	link := [2]int{p.Index, to}
	w.Sent++
	if w.SizeOf != nil {
		w.Bytes += int64(w.SizeOf(envelope.Message))
	}
	if w.cut[link] || w.rng.Float64() < w.loss[link] {
		return
	}
	m := *envelope.Message
	m.Deltas = slices.Clone(m.Deltas)
	for i := range m.Deltas {
		m.Deltas[i].Facts = slices.Clone(m.Deltas[i].Facts)
		for k := range m.Deltas[i].Facts {
			if f := &m.Deltas[i].Facts[k]; w.opts.ZeroAges {
				f.MinAge, f.MaxAge = 0, 0
			}
		}
	}
	copies := 1
	if w.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := w.opts.Delay
		if w.opts.Jitter > 0 {
			delay += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
		}
		w.After(delay, func() {
			receiver := w.Procs[to]
			switch {
			case !receiver.Running:
			case receiver.Paused:
				if len(receiver.received) < 500 {
					receiver.received = append(receiver.received, &m)
				}
			default:
				w.step(receiver, func() replicate.Ready { return receiver.Machine.Receive(receiver.localTime(w), &m) })
			}
		})
	}
}

// Check counts, over all running processes, the waits that end early in a replica and those
// that end later than transit, pauses and drift explain.
func (w *World) Check() {
	// A message that arrives during a pause waits for its end, which the receiver can't distinguish from a long
	// transit; the same happens at a process that forwards it.
	maxTransit := time.Duration(w.opts.Senders)*(w.opts.Delay+w.opts.Jitter) + 2*w.longestPause
	for _, p := range w.Procs {
		if !p.Running || p.Paused {
			continue
		}
		now := p.localTime(w)
		for _, s := range p.Machine.Replica().List(now, "", 1<<20) {
			if s.Kind != facts.RequestedWait {
				continue
			}
			dot := facts.Dot{Origin: s.Origin, Seq: s.Seq}
			wait, ok := w.waits[dot]
			if !ok {
				panic("a wait that no sender published")
			}
			left := wait.endsAt - w.Now
			drift := time.Duration(8 * w.opts.Drift * float64(w.Now-wait.publishedAt+left))
			minRemaining := left - time.Microsecond
			if s.Origin == p.Self { // only its own clock measures it
				minRemaining -= drift / 8
			}
			if s.Remaining < minRemaining {
				w.EarlyWaits++
			}
			if overrun := s.Remaining - max(left, 0) - drift; overrun > maxTransit && left > 0 {
				w.LongWaits++
				w.MaxOverrun = max(w.MaxOverrun, overrun)
			}
		}
	}
}

// CountMissing counts the waits that are in force and were published before a time, but that
// a running process which has caught up lacks.
func (w *World) CountMissing(before time.Duration) (n int) {
	for dot, wait := range w.waits {
		if wait.publishedAt >= before || wait.endsAt <= w.Now || !w.isCurrent(dot, wait) {
			continue
		}
		for _, p := range w.Procs {
			if p.Running && !p.Paused && p.CaughtUpAt > 0 && p.Self != dot.Origin && !w.has(p, dot) {
				n++
			}
		}
	}
	return n
}

// isCurrent reports whether the incarnation that published a wait still runs and has not
// replaced it.
func (w *World) isCurrent(dot facts.Dot, wait publishedWait) bool {
	p := w.Procs[wait.sender]
	return p.Self == dot.Origin && w.has(p, dot)
}

// has reports whether the replica of a process holds a fact that has not expired.
func (w *World) has(p *Proc, dot facts.Dot) bool {
	for _, s := range p.Machine.Replica().List(p.localTime(w), "", 1<<20) {
		if s.Origin == dot.Origin && s.Seq == dot.Seq {
			return true
		}
	}
	return false
}

// Converged reports whether the replicas of all running processes hold the same facts.
func (w *World) Converged() bool {
	first := []string(nil)
	for i, p := range w.running() {
		var list []string
		for _, s := range p.Machine.Replica().List(p.localTime(w), "", 1<<20) {
			// A fact about to expire may have expired on one clock and not on another.
			if s.Remaining > 2*time.Duration(w.opts.Senders)*(w.opts.Delay+w.opts.Jitter)+100*time.Millisecond {
				list = append(list, fmt.Sprint(s.Subject, s.Origin, s.Seq, s.Value))
			}
		}
		slices.Sort(list)
		if i == 0 {
			first = list
		} else if !slices.Equal(first, list) {
			return false
		}
	}
	return true
}

// running lists the processes that run and are not paused.
func (w *World) running() (out []*Proc) {
	for _, p := range w.Procs {
		if p.Running && !p.Paused {
			out = append(out, p)
		}
	}
	return out
}
