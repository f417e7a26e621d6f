package poll

import "time"

const (
	// fleetRate is the checks a second that all senders make together, as far as the bounds of an interval allow.
	fleetRate    = 12
	burstRate    = 50 // the same to begin with
	minInterval  = 300 * time.Millisecond
	fastInterval = 1200 * time.Millisecond // at most, to begin with: three checks within the 6 s after which a change counts as told
	slowInterval = 5400 * time.Millisecond // at most, once checks go on failing: an overbooked discovery is held down by more
	growth       = 1.4                     // of the interval, with each check that fails
	queued       = 500 * time.Millisecond  // a call that takes so long waits for others: discovery is crowded

	crowdedWithin = 5 * time.Second // a watch that fails later was held, and has not waited for others

	minCheckHold = 100 * time.Millisecond
	fastHold     = time.Second             // of a check in a small fleet
	slowHold     = 2 * time.Second         // and in a large one: two that are silent leave time for a third within the 6 s
	checkLimit   = 5500 * time.Millisecond // an answer that takes longer comes too late
	lateRatio    = 2                       // of the time a call is given beyond its hold to the lateness of the last answer
	mostPatience = time.Second             // of that time
	maxOpen      = 5                       // calls out at a time, a watch that is overdue among them

	watchHold    = 20 * time.Second
	watchGrace   = 2 * time.Second        // after the hold of a watch, what it missed counts as told
	overdueAfter = 250 * time.Millisecond // after its hold a watch is taken for broken
	emptyPause   = 100 * time.Millisecond // between watches that are answered at once with nothing new; more than 200 ms would end the watch

	agentInterval   = 200 * time.Millisecond
	agentHold       = time.Second // a call costs nothing, and the agent may fall silent at any time
	agentCheckHold  = 250 * time.Millisecond
	agentCheckLimit = 2 * time.Second

	rampSteps = 2    // checks before the full interval, each delay half of the next
	jitter    = 0.25 // part of an interval that chance takes off
)

// pace is how fast calls follow each other at a deployment.
type pace struct {
	fast       time.Duration // from one check that fails to the next, to begin with
	slow       time.Duration // the same once checks go on failing, or discovery is crowded
	checkHold  time.Duration
	checkLimit time.Duration
	overdue    time.Duration // after its hold a call is taken for lost
	watchHold  time.Duration
	watchGrace time.Duration
}

// paceOf is the pace by a deployment's settings.
func paceOf(s Settings) pace {
	if s.Agent {
		return pace{fast: agentInterval, slow: agentInterval, checkHold: agentCheckHold, checkLimit: agentCheckLimit, overdue: overdueAfter,
			watchHold: agentHold, watchGrace: agentHold}
	}
	budget := max(time.Duration(s.Senders)*time.Second/fleetRate, minInterval)
	burst := max(time.Duration(s.Senders)*time.Second/burstRate, minInterval)
	p := pace{fast: min(burst, fastInterval), slow: min(budget, slowInterval), checkHold: fastHold, checkLimit: checkLimit,
		overdue: overdueAfter, watchHold: watchHold, watchGrace: watchGrace}
	if burst > fastInterval {
		p.checkHold = slowHold
	}
	if within := s.ListRetryWithin; within > 0 { // a change counts as told after four times that
		p.fast, p.slow = min(p.fast, within), min(p.slow, within)
		p.checkHold, p.overdue = min(p.checkHold, max(within/4, minCheckHold)), min(p.overdue, max(within/4, minCheckHold))
	}
	return p
}

// slowDown notes a check or the beginning of a watch that has failed after a time.
func (p *Poller) slowDown(took time.Duration) {
	if p.interval = min(time.Duration(growth*float64(p.interval)), p.pace.slow); took >= queued {
		p.interval = p.pace.slow
	}
}

// speedUp notes a check that was answered.
func (p *Poller) speedUp() { p.interval = p.pace.fast }

// checkHold is how long the next check may wait for news.
func (p *Poller) checkHold() time.Duration { return max(p.pace.checkHold>>p.ramp, minCheckHold) }

// patience is how long after the beginning of a call with a hold another one is made beside it.
func (p *Poller) patience(hold time.Duration) time.Duration {
	return hold + max(p.pace.overdue, min(lateRatio*p.lateness, mostPatience))
}

// spread keeps senders from asking in step.
func (p *Poller) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter*p.rng.Float64()))
}
