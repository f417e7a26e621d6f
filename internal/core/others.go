package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// What senders that know of each other tell each other of partners; the module
// decides what it means.

// observationsEvent is what others have learnt.
type observationsEvent []Observation

// share tells the others what this sender has learnt itself.
func (c *Core) share(l Observation, ep logic.EndpointID) {
	to, ok := c.dir.eps[ep]
	if c.others == nil || !ok {
		return
	}
	l.Partner, l.Endpoint, l.CausalMark = to.partner, to.name, c.marks[ep]
	c.others.Publish(l)
}

// mostEarly bounds waits that are kept of endpoints that are not on the list.
const mostEarly = 1000

// earlyWait is a wait that was heard of an endpoint before the list told of that.
type earlyWait struct {
	partner string
	until   time.Time
}

// hears takes what others have learnt. What concerns an endpoint that is not on the
// list, or has another partner there, is not for this sender; but waits are kept in
// case it comes.
func (c *Core) hears(list []Observation) {
	for _, l := range list {
		id, ok := c.dir.ids[l.Endpoint]
		if !ok || c.dir.eps[id].partner != l.Partner {
			if at := time.Now().Add(l.RequestedWait); l.RequestedWait > 0 && (len(c.early) < mostEarly || c.early[l.Endpoint].partner != "") {
				c.early[l.Endpoint] = earlyWait{l.Partner, at}
			}
			continue
		}
		if l.RequestedWait > 0 {
			c.next = append(c.next, logic.RequestedWait{Endpoint: id, Remaining: micros(l.RequestedWait)})
			c.waits(id, l.RequestedWait)
			continue
		}
		c.marks[id] = l.CausalMark
		c.next = append(c.next, logic.PeerHealth{Endpoint: id, Outage: l.Outage, TryNow: l.Recovered || l.TrialIntervalFactor == 1 && !l.Outage, TrialFactor: l.TrialIntervalFactor})
	}
}

// listed takes up waits of endpoints that have come onto the list since they were
// heard, and drops those that are over.
func (c *Core) listed(now time.Time) {
	for name, x := range c.early {
		id, ok := c.dir.ids[name]
		switch {
		case !now.Before(x.until):
			delete(c.early, name)
		case ok && c.dir.eps[id].partner == x.partner:
			delete(c.early, name)
			c.next = append(c.next, logic.RequestedWait{Endpoint: id, Remaining: micros(x.until.Sub(now))})
			c.waits(id, x.until.Sub(now))
		}
	}
}

// waits keeps calls that have not begun from going to where a wait was told, and has
// it outlive this process.
func (c *Core) waits(ep logic.EndpointID, d time.Duration) {
	c.holdWait(ep)
	if to, ok := c.dir.eps[ep]; ok && c.cfg.PersistWaits {
		c.records = append(c.records, journal.Record{Op: journal.OpWait, ID: to.name, At: c.clock.Now() + d.Microseconds()})
	}
}
