// Package play plays senders that tell each other facts, in virtual time, with
// faults between them, and checks what must hold at any instant.
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

// Options say what a world is like.
type Options struct {
	Seed           uint64
	Senders        int
	DigestInterval time.Duration
	Rate           float64 // bytes a second
	Drift          float64
	Delay          time.Duration
	Jitter         time.Duration
	Zones          int // 0 for one

	// Planted faults.
	ZeroAges    bool // facts travel as if they were told right now
	SkipCatchUp bool // one that returns counts as knowing at once
}

// Proc is one process of a sender.
type Proc struct {
	Index   int
	Machine *replicate.Machine
	Self    facts.Origin
	Running bool
	Paused  bool

	offset     time.Duration
	pace       float64
	token      int
	backlog    []*replicate.Message
	CaughtUpAt time.Duration // when it last caught up; 0 while it is behind
}

// told is a wait as the partner knows it.
type told struct {
	at, until time.Duration
	by        int
}

// World is senders in virtual time.
type World struct {
	virtual.Clock
	Procs []*Proc
	Bytes int64
	Sent  int

	EarlyWaits   int           // waits that a copy took to end before they did
	LongWaits    int           // waits that a copy took to last longer than the ways that they came can explain
	MissingWaits int           // waits that one lacked which had caught up, and which all others had known for long
	MaxOverrun   time.Duration // of a wait, past its true end

	opts   Options
	rng    *rand.Rand
	loss   map[[2]int]float64
	cut    map[[2]int]bool
	waits  map[facts.Dot]told
	lives  uint64
	paused time.Duration // the longest
	SizeOf func(*replicate.Message) int
}

// New makes a world and starts all senders.
func New(opts Options) *World {
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 3)), loss: map[[2]int]float64{}, cut: map[[2]int]bool{},
		waits: map[facts.Dot]told{}, Procs: make([]*Proc, opts.Senders)}
	w.opts.Zones = max(opts.Zones, 1)
	for i := range opts.Senders {
		w.Start(i)
	}
	return w
}

func (w *World) peers(but int) []replicate.Peer {
	var out []replicate.Peer
	for k := range w.opts.Senders {
		if k != but {
			out = append(out, replicate.Peer{Name: fmt.Sprint("s", k), Addr: fmt.Sprint(k)})
		}
	}
	return out
}

// Start starts a process of sender i with nothing; one that runs is killed.
func (w *World) Start(i int) *Proc {
	if old := w.Procs[i]; old != nil {
		old.Running = false
	}
	w.lives++
	p := &Proc{Index: i, Self: facts.Origin{Name: fmt.Sprint("s", i), Incarnation: w.lives}, Running: true,
		offset: time.Duration(1 + w.rng.Int64N(int64(time.Hour))), pace: 1 + w.opts.Drift*(2*w.rng.Float64()-1)}
	p.Machine = replicate.New(replicate.Config{Self: p.Self, Zone: fmt.Sprint("z", i%w.opts.Zones), Drift: w.opts.Drift, DigestInterval: w.opts.DigestInterval,
		CatchUpTimeout: 10 * w.opts.DigestInterval, Rate: w.opts.Rate, Seed: w.rng.Uint64()}, p.local(w))
	p.Machine.SetPeers(w.peers(i))
	w.Procs[i] = p
	w.do(p, func() replicate.Ready { return p.Machine.Tick(p.local(w)) })
	return p
}

// Kill ends a process.
func (w *World) Kill(i int) { w.Procs[i].Running = false }

// Pause stops a process for a span; what its socket keeps waits for it.
func (w *World) Pause(i int, d time.Duration) {
	p := w.Procs[i]
	if p.Paused || !p.Running {
		return
	}
	p.Paused = true
	w.paused = max(w.paused, d)
	w.After(d, func() {
		if !p.Paused || !p.Running {
			return
		}
		p.Paused = false
		late := p.backlog
		p.backlog = nil
		for _, m := range late {
			w.do(p, func() replicate.Ready { return p.Machine.Receive(p.local(w), m) })
		}
		w.do(p, func() replicate.Ready { return p.Machine.Tick(p.local(w)) })
	})
}

// Cut cuts a link, Lose has it lose a share of its messages, Heal heals all.
func (w *World) Cut(from, to int, cut bool) { w.cut[[2]int{from, to}] = cut }

// SetLoss has a link lose a share of its messages.
func (w *World) SetLoss(from, to int, share float64) { w.loss[[2]int{from, to}] = share }

// Heal heals all links.
func (w *World) Heal() {
	clear(w.cut)
	clear(w.loss)
}

// PublishWait has a partner tell a sender that an endpoint is to be left alone.
func (w *World) PublishWait(i int, endpoint string, d time.Duration) {
	p := w.Procs[i]
	if !p.Running || p.Paused {
		return
	}
	w.do(p, func() replicate.Ready {
		s := facts.Subject{Kind: facts.RequestedWait, Partner: "acme", Endpoint: endpoint}
		r, err := p.Machine.Publish(p.local(w), s, facts.Value{}, 0, d)
		if err != nil {
			panic(err)
		}
		own, seq := p.Machine.Replica().LocalVersion()
		w.waits[facts.Dot{Origin: own, Seq: seq}] = told{w.Now, w.Now + d, i}
		return r
	})
}

// PublishWaits has one sender tell waits for so many endpoints, all at once.
func (w *World) PublishWaits(i, n int, d time.Duration) {
	for k := range n {
		w.PublishWait(i, fmt.Sprint("f", i, "-", k), d)
	}
}

// AllKnowOwnFacts says whether all that run know all that a sender has told.
func (w *World) AllKnowOwnFacts(i int) bool {
	own, seq := w.Procs[i].Machine.Replica().LocalVersion()
	for _, p := range w.running() {
		if p.Machine.Replica().Watermark(own) < seq {
			return false
		}
	}
	return true
}

// AllHave says whether all that run have so many facts.
func (w *World) AllHave(n int) bool {
	for _, p := range w.running() {
		if p.Machine.Replica().Len() != n {
			return false
		}
	}
	return true
}

func (p *Proc) local(w *World) time.Duration {
	return p.offset + time.Duration(float64(w.Now)*p.pace)
}

// do makes a step of a process and carries out what it asks for.
func (w *World) do(p *Proc, step func() replicate.Ready) {
	if !p.Running || p.Paused {
		return
	}
	r := step()
	if behind, _ := p.Machine.CatchingUp(); behind && !w.opts.SkipCatchUp {
		p.CaughtUpAt = 0
	} else if p.CaughtUpAt == 0 {
		p.CaughtUpAt = w.Now
	}
	for _, out := range r.Send {
		w.send(p, out)
	}
	p.token++
	token := p.token
	w.After(max(time.Duration(float64(p.Machine.NextTick()-p.local(w))/p.pace), 0)+time.Microsecond, func() {
		if token == p.token {
			w.do(p, func() replicate.Ready { return p.Machine.Tick(p.local(w)) })
		}
	})
}

func (w *World) send(p *Proc, out replicate.Envelope) {
	var to int
	fmt.Sscan(out.To, &to)
	link := [2]int{p.Index, to}
	w.Sent++
	if w.SizeOf != nil {
		w.Bytes += int64(w.SizeOf(out.Message))
	}
	if w.cut[link] || w.rng.Float64() < w.loss[link] {
		return
	}
	m := *out.Message
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
		d := w.opts.Delay
		if w.opts.Jitter > 0 {
			d += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
		}
		w.After(d, func() {
			x := w.Procs[to]
			switch {
			case !x.Running:
			case x.Paused:
				if len(x.backlog) < 500 {
					x.backlog = append(x.backlog, &m)
				}
			default:
				w.do(x, func() replicate.Ready { return x.Machine.Receive(x.local(w), &m) })
			}
		})
	}
}

// Check looks at all that run: no wait ends early in a copy, and none lasts longer
// there than the ways that it came by explain.
func (w *World) Check() {
	// What came while a process was paused has waited for it, which nobody can tell from a long way; and so at
	// the one who passed it on.
	way := time.Duration(w.opts.Senders)*(w.opts.Delay+w.opts.Jitter) + 2*w.paused
	for _, p := range w.Procs {
		if !p.Running || p.Paused {
			continue
		}
		now := p.local(w)
		for _, s := range p.Machine.Replica().List(now, "", 1<<20) {
			if s.Kind != facts.RequestedWait {
				continue
			}
			d := facts.Dot{Origin: s.Origin, Seq: s.Seq}
			x, ok := w.waits[d]
			if !ok {
				panic("a wait that nobody told")
			}
			left := x.until - w.Now
			drift := time.Duration(8 * w.opts.Drift * float64(w.Now-x.at+left))
			least := left - time.Microsecond
			if s.Origin == p.Self { // it has nothing but its own clock
				least -= drift / 8
			}
			if s.Remaining < least {
				w.EarlyWaits++
			}
			if past := s.Remaining - max(left, 0) - drift; past > way && left > 0 {
				w.LongWaits++
				w.MaxOverrun = max(w.MaxOverrun, past)
			}
		}
	}
}

// CountMissing counts what those that run, and have caught up, lack of the waits that are in
// force and were told before a time.
func (w *World) CountMissing(before time.Duration) (n int) {
	for d, x := range w.waits {
		if x.at >= before || x.until <= w.Now || !w.newest(d, x) {
			continue
		}
		for _, p := range w.Procs {
			if p.Running && !p.Paused && p.CaughtUpAt > 0 && p.Self != d.Origin && !w.has(p, d) {
				n++
			}
		}
	}
	return n
}

// newest says whether no later wait has taken the place of one.
func (w *World) newest(d facts.Dot, x told) bool {
	p := w.Procs[x.by]
	return p.Self == d.Origin && w.has(p, d)
}

func (w *World) has(p *Proc, d facts.Dot) bool {
	for _, s := range p.Machine.Replica().List(p.local(w), "", 1<<20) {
		if s.Origin == d.Origin && s.Seq == d.Seq {
			return true
		}
	}
	return false
}

// Converged says whether the copies of all that run hold the same.
func (w *World) Converged() bool {
	first := []string(nil)
	for i, p := range w.running() {
		var list []string
		for _, s := range p.Machine.Replica().List(p.local(w), "", 1<<20) {
			// What is about to end may have ended by one clock and not by another.
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

func (w *World) running() (out []*Proc) {
	for _, p := range w.Procs {
		if p.Running && !p.Paused {
			out = append(out, p)
		}
	}
	return out
}
