// Package play has a fleet of senders ask one discovery for the list, in virtual time: what calls they make while it is
// in trouble, and how long a change takes to be in hand.
package play

import (
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/source/platform/poll"
	"cometrack/internal/virtual"
)

// Client decides about the calls of one sender, as [poll.Poller] does.
type Client interface {
	NextTick() time.Duration
	Tick(now time.Duration) []poll.Request
	RequestSent(id int)
	CallFailed(now time.Duration, id int)
	ResponseReceived(now time.Duration, id int, a poll.Response) (giveUp []int, err error)
}

// Fault is what discovery suffers for a while. While it is down or crowded, calls end with 503.
type Fault struct {
	Down         bool
	ServiceTime  time.Duration // it works through calls in turn, each for so long; 0 for all at once
	FailureRatio float64       // part of the calls that are refused at once
}

// Options set a play up.
type Options struct {
	Senders       int
	Seed          uint64
	Fault         Fault
	FaultDuration time.Duration // from 30 s on
	NewClient     func(senders int, seed uint64) Client
}

const (
	travel      = 5 * time.Millisecond // one way
	queueLimit  = 3 * time.Second      // a call that waits longer is refused
	begins      = 30 * time.Second
	after       = 30 * time.Second // is still played once the trouble is over
	changeEvery = 5 * time.Second
	startSpread = 20 * time.Second // watches begin at different times
)

// Result is what came of a play.
type Result struct {
	Calls           int // while the trouble lasts
	PeakDuringFault int // calls in the busiest second of the trouble
	PeakAfterFault  int // the same in the 10 s after it
	MeanAfterFault  float64
	LateChanges     int             // changes that were in hand at a sender later than 6 s
	Changes         int             // changes at senders
	Delays          []time.Duration // from the moment when a change could be had, sorted
}

// Quantile is a quantile of the times to a change in hand.
func (r Result) Quantile(q float64) time.Duration {
	return r.Delays[int(q*float64(len(r.Delays)-1))]
}

// Run plays.
func Run(o Options) Result {
	p := &fleet{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), seconds: map[int]int{}}
	for i := range o.Senders {
		s := &sender{fleet: p, asker: o.NewClient(o.Senders, o.Seed*1000+uint64(i)), calls: map[int]*call{}, generation: 1}
		p.senders = append(p.senders, s)
		p.clock.After(time.Duration(p.rng.Float64()*float64(startSpread)), s.step)
	}
	p.generation = 1
	p.clock.After(begins, func() { p.set(o.Fault) })
	p.clock.After(begins+o.FaultDuration, func() { p.set(Fault{}) })
	for at := begins + changeEvery/2; at < begins+o.FaultDuration+after/2; at += changeEvery {
		p.clock.After(at, p.change)
	}
	p.clock.Run(begins + o.FaultDuration + after)
	return p.result()
}

// fleet is the play's state: discovery, and the senders.
type fleet struct {
	Options
	clock      virtual.Clock
	rng        *rand.Rand
	senders    []*sender
	now        Fault
	generation int64
	had        []time.Duration // when each generation from the second on could be had
	queue      []*call
	working    bool
	waiting    []*call // watches that are held
	seconds    map[int]int
	out        Result
}

// sender is one of the fleet.
type sender struct {
	fleet      *fleet
	asker      Client
	calls      map[int]*call
	generation int64
	wake       int // counts the alarms that were set; only the last one counts
}

// call is a request on its way.
type call struct {
	poll.Request
	sender *sender
	came   time.Duration
	over   bool
}

// set puts discovery in trouble, or in none. Watches end as it goes down.
func (p *fleet) set(t Fault) {
	p.now = t
	if !t.Down {
		for i := range p.had {
			p.had[i] = max(p.had[i], min(p.clock.Now, p.had[i]+time.Hour))
			if p.had[i] == poll.Never {
				p.had[i] = p.clock.Now
			}
		}
		return
	}
	for _, c := range slices.Concat(p.waiting, p.queue) {
		p.refuse(c)
	}
	p.waiting, p.queue = nil, nil
}

// change makes the list newer, and answers the watches.
func (p *fleet) change() {
	p.generation++
	if p.now.Down {
		p.had = append(p.had, poll.Never)
		return
	}
	p.had = append(p.had, p.clock.Now)
	for _, c := range p.waiting {
		p.answer(c)
	}
	p.waiting = nil
}

// step has a sender do what is due.
func (s *sender) step() {
	for _, r := range s.asker.Tick(s.fleet.clock.Now) {
		c := &call{Request: r, sender: s}
		s.calls[r.ID] = c
		s.asker.RequestSent(r.ID)
		s.fleet.clock.After(travel, func() { s.fleet.arrive(c) })
		s.fleet.clock.After(r.Limit, func() { s.over(c, nil) })
	}
	s.arm()
}

// arm sets the alarm for what is due next.
func (s *sender) arm() {
	s.wake++
	own, due := s.wake, s.asker.NextTick()
	if due == poll.Never {
		return
	}
	s.fleet.clock.After(max(due-s.fleet.clock.Now, 0), func() {
		if own == s.wake {
			s.step()
		}
	})
}

// over tells a sender what became of a call; nil for a failure.
func (s *sender) over(c *call, a *poll.Response) {
	if c.over {
		return
	}
	c.over = true
	now := s.fleet.clock.Now
	if a == nil {
		s.asker.CallFailed(now, c.ID)
	} else if giveUp, err := s.asker.ResponseReceived(now, c.ID, *a); err == nil {
		for _, id := range giveUp {
			s.calls[id].over = true
		}
		s.heard(a.Generation)
	}
	delete(s.calls, c.ID)
	s.step()
}

// heard notes the changes that are in hand now.
func (s *sender) heard(generation int64) {
	for ; s.generation < generation; s.generation++ {
		took := s.fleet.clock.Now - s.fleet.had[s.generation-1]
		s.fleet.out.Delays = append(s.fleet.out.Delays, took)
	}
}

// arrive has a call come to discovery.
func (p *fleet) arrive(c *call) {
	p.seconds[int(p.clock.Now/time.Second)]++
	if p.clock.Now >= begins && p.clock.Now < begins+p.FaultDuration {
		p.out.Calls++
	}
	switch c.came = p.clock.Now; {
	case p.now.Down || p.rng.Float64() < p.now.FailureRatio:
		p.refuse(c)
	case p.now.ServiceTime > 0:
		p.queue = append(p.queue, c)
		p.clock.After(queueLimit, func() {
			if i := slices.Index(p.queue, c); i >= 0 {
				p.queue = slices.Delete(p.queue, i, i+1)
				p.refuse(c)
			}
		})
		p.work()
	default:
		p.serve(c)
	}
}

// work works on the next call of the queue, also if its sender has given it up.
func (p *fleet) work() {
	if p.working || len(p.queue) == 0 {
		return
	}
	next := p.queue[0]
	p.queue, p.working = p.queue[1:], true
	p.clock.After(max(p.now.ServiceTime, time.Microsecond), func() {
		p.working = false
		p.serve(next)
		p.work()
	})
}

// serve answers a call, or holds it until there is news or its time is over.
func (p *fleet) serve(c *call) {
	if c.Complete || c.Since < p.generation {
		p.answer(c)
		return
	}
	p.waiting = append(p.waiting, c)
	p.clock.After(c.Hold, func() {
		if i := slices.Index(p.waiting, c); i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.answer(c)
		}
	})
}

func (p *fleet) answer(c *call) {
	a := poll.Response{Generation: p.generation, Complete: c.Complete, Entries: int(p.generation - c.Since)}
	p.clock.After(travel, func() { c.sender.over(c, &a) })
}

func (p *fleet) refuse(c *call) { p.clock.After(travel, func() { c.sender.over(c, nil) }) }

// result counts what came of the play. A change that a sender never heard of counts as in hand at the end.
func (p *fleet) result() Result {
	for _, s := range p.senders {
		s.heard(p.generation)
	}
	slices.Sort(p.out.Delays)
	const told = 6 * time.Second
	for _, d := range p.out.Delays {
		if d > told {
			p.out.LateChanges++
		}
	}
	p.out.Changes = len(p.out.Delays)
	const endSeconds = 10
	end := int((begins + p.FaultDuration) / time.Second)
	for s, n := range p.seconds {
		switch {
		case s >= int(begins/time.Second) && s < end:
			p.out.PeakDuringFault = max(p.out.PeakDuringFault, n)
		case s >= end && s < end+endSeconds:
			p.out.PeakAfterFault = max(p.out.PeakAfterFault, n)
			p.out.MeanAfterFault += float64(n) / endSeconds
		}
	}
	return p.out
}
