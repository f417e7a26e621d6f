package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// What senders that know of each other tell each other of partners; the module
// decides what it means.

// observationsEvent is what others have learnt.
type peerObservationsEvent []Observation

// share tells the others what this sender has learnt itself.
func (c *Core) publishObservation(l Observation, ep logic.EndpointID) {
	to, ok := c.directory.endpoints[ep]
	if c.peers == nil || !ok {
		return
	}
	l.Partner, l.Endpoint, l.CausalMark = to.partner, to.name, c.causalMarks[ep]
	c.peers.Publish(l)
}

// mostEarly bounds waits that are kept of endpoints that are not on the list.
const maxEarlyWaits = 1000

// earlyWait is a wait that was heard of an endpoint before the list told of that.
type earlyWait struct {
	partner string
	until   time.Time
}

// hears takes what others have learnt. What concerns an endpoint that is not on the
// list, or has another partner there, is not for this sender; but waits are kept in
// case it comes.
func (c *Core) applyObservations(list []Observation) {
	for _, l := range list {
		id, ok := c.directory.endpointIDs[l.Endpoint]
		if !ok || c.directory.endpoints[id].partner != l.Partner {
			if at := time.Now().Add(l.RequestedWait); l.RequestedWait > 0 && (len(c.earlyWaits) < maxEarlyWaits || c.earlyWaits[l.Endpoint].partner != "") {
				c.earlyWaits[l.Endpoint] = earlyWait{l.Partner, at}
			}
			continue
		}
		if l.RequestedWait > 0 {
			c.nextEvents = append(c.nextEvents, logic.RequestedWait{Endpoint: id, Remaining: toMicros(l.RequestedWait)})
			c.applyRequestedWait(id, l.RequestedWait)
			continue
		}
		c.causalMarks[id] = l.CausalMark
		c.nextEvents = append(c.nextEvents, logic.PeerHealth{Endpoint: id, Outage: l.Outage, TryNow: l.Recovered || l.TrialIntervalFactor == 1 && !l.Outage, TrialFactor: l.TrialIntervalFactor})
	}
}

// listed takes up waits of endpoints that have come onto the list since they were
// heard, and drops those that are over.
func (c *Core) applyEarlyWaits(now time.Time) {
	for name, x := range c.earlyWaits {
		id, ok := c.directory.endpointIDs[name]
		switch {
		case !now.Before(x.until):
			delete(c.earlyWaits, name)
		case ok && c.directory.endpoints[id].partner == x.partner:
			delete(c.earlyWaits, name)
			c.nextEvents = append(c.nextEvents, logic.RequestedWait{Endpoint: id, Remaining: toMicros(x.until.Sub(now))})
			c.applyRequestedWait(id, x.until.Sub(now))
		}
	}
}

// waits keeps calls that have not begun from going to where a wait was told, and has
// it outlive this process.
func (c *Core) applyRequestedWait(ep logic.EndpointID, d time.Duration) {
	c.withholdForWait(ep)
	if to, ok := c.directory.endpoints[ep]; ok && c.cfg.PersistWaits {
		c.records = append(c.records, journal.Record{Op: journal.OpWait, ID: to.name, At: c.clock.Now() + d.Microseconds()})
	}
}
