// Package play simulates a fleet of senders that follow the list of one discovery, in virtual time. It counts the calls
// during a fault of discovery, and measures how long a change takes to reach the senders.
package play

import (
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/source/platform/poll"
	"cometrack/internal/virtual"
)

// Client decides on the calls of one sender, as [poll.Poller] does.
type Client interface {
	NextTick() time.Duration
	Tick(now time.Duration) []poll.Request
	RequestSent(id int)
	CallFailed(now time.Duration, id int)
	ResponseReceived(now time.Duration, id int, a poll.Response) (abandoned []int, err error)
}

// Fault describes a fault of discovery. While discovery is down or overloaded, calls end with 503.
type Fault struct {
	Down         bool
	ServiceTime  time.Duration // time to serve a call, one at a time; 0 serves all at once
	FailureRatio float64       // fraction of the calls refused at once
}

// Options configure a simulation.
type Options struct {
	Senders       int
	Seed          uint64
	Fault         Fault
	FaultDuration time.Duration // the fault starts after 30 s
	NewClient     func(senders int, seed uint64) Client
}

const (
	networkDelay   = 5 * time.Millisecond // in each direction
	queueTimeout   = 3 * time.Second      // a call that waits longer in the queue is refused
	faultStart     = 30 * time.Second
	recoveryTime   = 30 * time.Second // simulated time after the end of the fault
	changeInterval = 5 * time.Second
	startSpread    = 20 * time.Second // the first watches start at random times within it
)

// Result holds the measurements of a simulation.
type Result struct {
	Calls           int // during the fault
	PeakDuringFault int // calls in the busiest second of the fault
	PeakAfterFault  int // calls in the busiest second of the 10 s after the fault
	MeanAfterFault  float64
	LateChanges     int             // changes that reached a sender after more than 6 s
	Changes         int             // changes, counted for each sender
	Delays          []time.Duration // from when a change was available until a sender had it, sorted
}

// Quantile returns the quantile q, from 0 to 1, of Delays.
func (r Result) Quantile(q float64) time.Duration {
	return r.Delays[int(q*float64(len(r.Delays)-1))]
}

// Run simulates a fleet and returns the measurements.
func Run(o Options) Result {
	p := &simulation{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), callsPerSecond: map[int]int{}}
	for i := range o.Senders {
		s := &sender{sim: p, client: o.NewClient(o.Senders, o.Seed*1000+uint64(i)), calls: map[int]*call{}, generation: 1}
		p.senders = append(p.senders, s)
		p.clock.After(time.Duration(p.rng.Float64()*float64(startSpread)), s.step)
	}
	p.generation = 1
	p.clock.After(faultStart, func() { p.setFault(o.Fault) })
	p.clock.After(faultStart+o.FaultDuration, func() { p.setFault(Fault{}) })
	for at := faultStart + changeInterval/2; at < faultStart+o.FaultDuration+recoveryTime/2; at += changeInterval {
		p.clock.After(at, p.publishChange)
	}
	p.clock.Run(faultStart + o.FaultDuration + recoveryTime)
	return p.result()
}

// simulation is the state of a simulation: discovery and the senders.
type simulation struct {
	Options
	clock          virtual.Clock
	rng            *rand.Rand
	senders        []*sender
	fault          Fault
	generation     int64
	availableAt    []time.Duration // when each generation from the second on became available
	queue          []*call
	serving        bool
	heldWatches    []*call // in order of arrival
	callsPerSecond map[int]int
	counts         Result
}

// sender is one sender of the fleet.
type sender struct {
	sim        *simulation
	client     Client
	calls      map[int]*call
	generation int64
	alarms     int // number of alarms set; only the last one applies
}

// call is a call that a sender has made.
type call struct {
	poll.Request
	sender    *sender
	arrivedAt time.Duration
	ended     bool
}

// setFault puts discovery into a fault, or out of it. Held and queued calls fail when it goes down.
func (p *simulation) setFault(t Fault) {
	p.fault = t
	if !t.Down {
		for i := range p.availableAt {
			p.availableAt[i] = max(p.availableAt[i], min(p.clock.Now, p.availableAt[i]+time.Hour))
			if p.availableAt[i] == poll.Never {
				p.availableAt[i] = p.clock.Now
			}
		}
		return
	}
	for _, c := range slices.Concat(p.heldWatches, p.queue) {
		p.refuse(c)
	}
	p.heldWatches, p.queue = nil, nil
}

// publishChange adds a generation and answers the held watches.
func (p *simulation) publishChange() {
	p.generation++
	if p.fault.Down {
		p.availableAt = append(p.availableAt, poll.Never)
		return
	}
	p.availableAt = append(p.availableAt, p.clock.Now)
	for _, c := range p.heldWatches {
		p.respond(c)
	}
	p.heldWatches = nil
}

// step makes the calls that are due.
func (s *sender) step() {
	for _, r := range s.client.Tick(s.sim.clock.Now) {
		c := &call{Request: r, sender: s}
		s.calls[r.ID] = c
		s.client.RequestSent(r.ID)
		s.sim.clock.After(networkDelay, func() { s.sim.arrive(c) })
		s.sim.clock.After(r.Limit, func() { s.endCall(c, nil) })
	}
	s.setAlarm()
}

// setAlarm schedules the next step.
func (s *sender) setAlarm() {
	s.alarms++
	number, due := s.alarms, s.client.NextTick()
	if due == poll.Never {
		return
	}
	s.sim.clock.After(max(due-s.sim.clock.Now, 0), func() {
		if number == s.alarms {
			s.step()
		}
	})
}

// endCall reports the response of a call to the client; nil for a failure.
func (s *sender) endCall(c *call, a *poll.Response) {
	if c.ended {
		return
	}
	c.ended = true
	now := s.sim.clock.Now
	if a == nil {
		s.client.CallFailed(now, c.ID)
	} else if abandoned, err := s.client.ResponseReceived(now, c.ID, *a); err == nil {
		for _, id := range abandoned {
			s.calls[id].ended = true
		}
		s.noteGeneration(a.Generation)
	}
	delete(s.calls, c.ID)
	s.step()
}

// noteGeneration records the delays of the changes up to a generation.
func (s *sender) noteGeneration(generation int64) {
	for ; s.generation < generation; s.generation++ {
		took := s.sim.clock.Now - s.sim.availableAt[s.generation-1]
		s.sim.counts.Delays = append(s.sim.counts.Delays, took)
	}
}

// arrive handles the arrival of a call at discovery.
func (p *simulation) arrive(c *call) {
	p.callsPerSecond[int(p.clock.Now/time.Second)]++
	if p.clock.Now >= faultStart && p.clock.Now < faultStart+p.FaultDuration {
		p.counts.Calls++
	}
	switch c.arrivedAt = p.clock.Now; {
	case p.fault.Down || p.rng.Float64() < p.fault.FailureRatio:
		p.refuse(c)
	case p.fault.ServiceTime > 0:
		p.queue = append(p.queue, c)
		p.clock.After(queueTimeout, func() {
			if i := slices.Index(p.queue, c); i >= 0 {
				p.queue = slices.Delete(p.queue, i, i+1)
				p.refuse(c)
			}
		})
		p.serveNext()
	default:
		p.serve(c)
	}
}

// serveNext serves the next call of the queue, even if its sender has abandoned it.
func (p *simulation) serveNext() {
	if p.serving || len(p.queue) == 0 {
		return
	}
	next := p.queue[0]
	p.queue, p.serving = p.queue[1:], true
	p.clock.After(max(p.fault.ServiceTime, time.Microsecond), func() {
		p.serving = false
		p.serve(next)
		p.serveNext()
	})
}

// serve answers a call, or holds it until there is a change or its hold has passed.
func (p *simulation) serve(c *call) {
	if c.Complete || c.Since < p.generation {
		p.respond(c)
		return
	}
	p.heldWatches = append(p.heldWatches, c)
	p.clock.After(c.Hold, func() {
		if i := slices.Index(p.heldWatches, c); i >= 0 {
			p.heldWatches = slices.Delete(p.heldWatches, i, i+1)
			p.respond(c)
		}
	})
}

// respond answers a call after the network delay.
func (p *simulation) respond(c *call) {
	a := poll.Response{Generation: p.generation, Complete: c.Complete, Entries: int(p.generation - c.Since)}
	p.clock.After(networkDelay, func() { c.sender.endCall(c, &a) })
}

// refuse fails a call after the network delay.
func (p *simulation) refuse(c *call) {
	p.clock.After(networkDelay, func() { c.sender.endCall(c, nil) })
}

// result evaluates the simulation. A change that never reached a sender counts as received at the end.
func (p *simulation) result() Result {
	for _, s := range p.senders {
		s.noteGeneration(p.generation)
	}
	slices.Sort(p.counts.Delays)
	const maxDelay = 6 * time.Second
	for _, d := range p.counts.Delays {
		if d > maxDelay {
			p.counts.LateChanges++
		}
	}
	p.counts.Changes = len(p.counts.Delays)
	const endSeconds = 10
	end := int((faultStart + p.FaultDuration) / time.Second)
	for s, n := range p.callsPerSecond {
		switch {
		case s >= int(faultStart/time.Second) && s < end:
			p.counts.PeakDuringFault = max(p.counts.PeakDuringFault, n)
		case s >= end && s < end+endSeconds:
			p.counts.PeakAfterFault = max(p.counts.PeakAfterFault, n)
			p.counts.MeanAfterFault += float64(n) / endSeconds
		}
	}
	return p.counts
}
