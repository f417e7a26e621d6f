package poll

import "time"

const (
	// fleetCheckRate is the number of checks per second of all senders together, within the bounds of the interval.
	fleetCheckRate = 12
	fleetBurstRate = 50                      // the same for the first checks, before the interval grows
	minInterval    = 300 * time.Millisecond  // lower bound of the interval between failed checks
	fastInterval   = 1200 * time.Millisecond // bound of the first interval: 3 checks fit in the 6 s for a change
	slowInterval   = 5400 * time.Millisecond // bound of later ones: more checks keep an overloaded discovery down
	intervalGrowth = 1.4                     // factor of the interval for each failed check
	minQueueTime   = 500 * time.Millisecond  // a failed call that took this long was queued: overload

	maxQueueTime = 5 * time.Second // a watch that fails later was held by discovery, not queued

	minCheckHold     = 100 * time.Millisecond  // lower bound of the hold of a check
	fastHold         = time.Second             // of a check in a small fleet
	slowHold         = 2 * time.Second         // in a large fleet: after 2 unanswered checks a third fits in the 6 s
	checkTimeout     = 5500 * time.Millisecond // a later response is too late for the 6 s
	latenessFactor   = 2                       // extra hedge delay relative to the lateness of the last response
	maxLatenessDelay = time.Second             // bound of that extra delay
	maxInFlight      = 5                       // calls at a time, including an overdue watch

	watchHold          = 20 * time.Second       // how long discovery may hold a watch until there is a change
	watchGrace         = 2 * time.Second        // after the hold of a watch, for a change that it missed to arrive
	overdueAfter       = 250 * time.Millisecond // after its hold a watch counts as broken
	emptyWatchInterval = 100 * time.Millisecond // between watches answered at once; over 200 ms would end the watch

	// agentInterval is the time between failed checks through a local agent.
	agentInterval = 200 * time.Millisecond
	// agentHold is how long the agent may hold a watch (a long poll) until there is a change. It is
	// short, because a call costs nothing and the agent may fall silent at any time.
	agentHold = time.Second
	// agentCheckHold is how long the agent may hold a check until there is a change.
	agentCheckHold = 250 * time.Millisecond
	// agentCheckTimeout is the timeout of a check through the agent.
	agentCheckTimeout = 2 * time.Second

	rampSteps = 2    // checks before the full interval, each at half the delay of the next
	jitter    = 0.25 // fraction of an interval that is subtracted at most, at random
)

// timing holds the intervals and timeouts of calls for a deployment.
type timing struct {
	initialInterval time.Duration // between failed checks, at first
	maxInterval     time.Duration // between failed checks, after repeated failures or if discovery is overloaded
	checkHold       time.Duration
	checkTimeout    time.Duration
	overdueDelay    time.Duration // time after its hold when a call counts as lost
	watchHold       time.Duration
	watchGrace      time.Duration
}

// timingFor returns the timing for a deployment's settings.
func timingFor(s Settings) timing {
	if s.Agent {
		return timing{initialInterval: agentInterval, maxInterval: agentInterval, checkHold: agentCheckHold, checkTimeout: agentCheckTimeout, overdueDelay: overdueAfter,
			watchHold: agentHold, watchGrace: agentHold}
	}
	budget := max(time.Duration(s.Senders)*time.Second/fleetCheckRate, minInterval)
	burst := max(time.Duration(s.Senders)*time.Second/fleetBurstRate, minInterval)
	p := timing{initialInterval: min(burst, fastInterval), maxInterval: min(budget, slowInterval), checkHold: fastHold, checkTimeout: checkTimeout,
		overdueDelay: overdueAfter, watchHold: watchHold, watchGrace: watchGrace}
	if burst > fastInterval {
		p.checkHold = slowHold
	}
	if within := s.ListRetryWithin; within > 0 { // a change must arrive within four times that
		p.initialInterval, p.maxInterval = min(p.initialInterval, within), min(p.maxInterval, within)
		p.checkHold, p.overdueDelay = min(p.checkHold, max(within/4, minCheckHold)), min(p.overdueDelay, max(within/4, minCheckHold))
	}
	return p
}

// backOff lengthens the interval after a check, or the beginning of a watch, that failed after took.
func (p *Poller) backOff(took time.Duration) {
	if p.interval = min(time.Duration(intervalGrowth*float64(p.interval)), p.timing.maxInterval); took >= minQueueTime {
		p.interval = p.timing.maxInterval
	}
}

// resetInterval restores the initial interval after an answered check.
func (p *Poller) resetInterval() { p.interval = p.timing.initialInterval }

// checkHold returns how long discovery may hold the next check until there is a change.
func (p *Poller) checkHold() time.Duration { return max(p.timing.checkHold>>p.rampLeft, minCheckHold) }

// hedgeDelay returns the time after the start of a call with the given hold at which another call is made in parallel.
func (p *Poller) hedgeDelay(hold time.Duration) time.Duration {
	return hold + max(p.timing.overdueDelay, min(latenessFactor*p.lateness, maxLatenessDelay))
}

// addJitter shortens an interval at random so that senders don't call in step.
func (p *Poller) addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter*p.rng.Float64()))
}
