package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// This file shares observations of partners with the peers; the scheduler decides what follows from them.

// peerObservationsEvent are observations by peers.
type peerObservationsEvent []Observation

// publishObservation publishes an observation that this sender has made of an endpoint.
func (c *Core) publishObservation(observation Observation, ep logic.EndpointID) {
	entry, ok := c.directory.endpoints[ep]
	if c.peers == nil || !ok {
		return
	}
	observation.Partner, observation.Endpoint, observation.CausalMark = entry.partner, entry.name, c.causalMarks[ep]
	c.peers.Publish(observation)
}

// maxEarlyWaits is the maximum number of waits that are kept for endpoints that are not listed.
const maxEarlyWaits = 1000

// earlyWait is a wait that was received from peers before its endpoint was listed.
type earlyWait struct {
	partner string
	until   time.Time
}

// applyObservations applies observations by peers. An observation of an endpoint that is not listed, or is listed with
// another partner, is ignored, but its wait is kept in case the endpoint is listed later.
func (c *Core) applyObservations(list []Observation) {
	for _, observation := range list {
		id, ok := c.directory.endpointIDs[observation.Endpoint]
		if !ok || c.directory.endpoints[id].partner != observation.Partner {
			if until := time.Now().Add(observation.RequestedWait); observation.RequestedWait > 0 &&
				(len(c.earlyWaits) < maxEarlyWaits || c.earlyWaits[observation.Endpoint].partner != "") {
				c.earlyWaits[observation.Endpoint] = earlyWait{observation.Partner, until}
			}
			continue
		}
		if observation.RequestedWait > 0 {
			c.nextEvents = append(c.nextEvents,
				logic.RequestedWait{Endpoint: id, Remaining: toMicros(observation.RequestedWait)})
			c.applyRequestedWait(id, observation.RequestedWait)
			continue
		}
		c.causalMarks[id] = observation.CausalMark
		c.nextEvents = append(c.nextEvents, logic.PeerHealth{Endpoint: id, Outage: observation.Outage,
			TryNow:      observation.Recovered || observation.TrialIntervalFactor == 1 && !observation.Outage,
			TrialFactor: observation.TrialIntervalFactor})
	}
}

// applyEarlyWaits applies the waits of endpoints that have been listed since the waits were received, and drops waits
// that have expired.
func (c *Core) applyEarlyWaits(now time.Time) {
	for name, wait := range c.earlyWaits {
		id, ok := c.directory.endpointIDs[name]
		switch {
		case !now.Before(wait.until):
			delete(c.earlyWaits, name)
		case ok && c.directory.endpoints[id].partner == wait.partner:
			delete(c.earlyWaits, name)
			c.nextEvents = append(c.nextEvents, logic.RequestedWait{Endpoint: id, Remaining: toMicros(wait.until.Sub(now))})
			c.applyRequestedWait(id, wait.until.Sub(now))
		}
	}
}

// applyRequestedWait withholds the attempts that have not begun and to which the wait applies, and writes the wait to
// the journal so that it survives a restart.
func (c *Core) applyRequestedWait(ep logic.EndpointID, wait time.Duration) {
	c.withholdForWait(ep)
	if entry, ok := c.directory.endpoints[ep]; ok && c.cfg.PersistWaits {
		c.records = append(c.records,
			journal.Record{Op: journal.OpWait, ID: entry.name, At: c.clock.Now() + wait.Microseconds()})
	}
}
