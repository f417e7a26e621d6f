package poll

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Settings describe the discovery of a deployment.
type Settings struct {
	Senders         int           // that share discovery
	ListRetryWithin time.Duration // a list is valid this long without a watch, 4 times after a failure; 0: no limit
	Agent           bool          // discovery is a local agent: it responds at once and at no cost, or not at all
}

// Request describes a call for the list.
type Request struct {
	ID       int
	Complete bool          // requests the complete list
	Since    int64         // otherwise, requests changes after this generation
	Hold     time.Duration // time for which discovery may wait for a change
	Limit    time.Duration // timeout of the call
}

// Response summarizes a response of discovery.
type Response struct {
	Generation int64
	Complete   bool // it holds the complete list
	Entries    int
}

// Errors of responses that can't be used.
var (
	// ErrEmptyList reports a response without a generation and endpoints while there is no list yet.
	ErrEmptyList = errors.New("no list: response without generation and endpoints")
	// ErrStaleGeneration reports changes with a lower generation number than that of the last response.
	ErrStaleGeneration = errors.New("no list: changes of an older generation")
)

// Never is later than any other time.
const Never = time.Duration(1<<63 - 1)

// pollState tells whether the list is known to be current.
type pollState int

const (
	watching pollState = iota // a watch is in flight or due, and discovery answered the previous call
	checking                  // the list may be out of date
)

// openCall is a call without an outcome.
type openCall struct {
	Request
	startedAt    time.Duration
	watch        bool
	shift        int // number of times the delay to the next check is halved
	sent         bool
	respondingAt time.Duration // when the response began; 0 if it hasn't
}

// waitedFor returns the time from the start of the call to the start of its response, or to now without one; 0 if the
// request was not written.
func (c openCall) waitedFor(now time.Duration) time.Duration {
	switch {
	case !c.sent:
		return 0
	case c.respondingAt > 0:
		return c.respondingAt - c.startedAt
	}
	return now - c.startedAt
}

// Poller decides on the calls for the list at one address. All times count from one arbitrary origin.
type Poller struct {
	settings Settings
	timing   timing
	rng      *rand.Rand

	state       pollState
	haveList    bool // a list of the generation below is present
	confirm     bool // the next watch does not wait for a change
	generation  int64
	inFlight    map[int]openCall
	lastID      int
	nextCallAt  time.Duration // if no event comes before
	lastCheckAt time.Duration // when the last check started
	interval    time.Duration // between failed checks
	rampLeft    int           // number of times the next check's delay is halved
	failures    int           // of checks since the last response
	lateness    time.Duration // of the last response for which it is known
}

// New returns a poller whose first call is due at now. known reports whether a list of the given generation is present;
// without one the complete list is requested.
func New(settings Settings, known bool, generation int64, seed uint64, now time.Duration) *Poller {
	p := &Poller{rng: rand.New(rand.NewPCG(seed, 0)), haveList: known, generation: generation, inFlight: map[int]openCall{}, nextCallAt: now, lastCheckAt: -Never}
	p.UpdateSettings(settings)
	if !known {
		p.startChecking(now, rampSteps)
	}
	return p
}

// ConfirmList has the next watch answered at once, also if nothing has changed since the list that is present.
func (p *Poller) ConfirmList() { p.confirm = true }

// UpdateSettings applies other settings.
func (p *Poller) UpdateSettings(settings Settings) {
	p.settings, p.timing = settings, timingFor(settings)
	p.interval = min(max(p.interval, p.timing.initialInterval), p.timing.maxInterval)
}

// NextTick returns the time at which Tick has a call to make if no event comes before, or Never.
func (p *Poller) NextTick() time.Duration {
	if len(p.inFlight) >= maxInFlight {
		return Never
	}
	return p.nextCallAt
}

// Tick returns the calls to make now.
func (p *Poller) Tick(now time.Duration) []Request {
	if now < p.NextTick() {
		return nil
	}
	if p.state == watching && len(p.inFlight) > 0 { // the watch is overdue, or its connection is not established
		p.startChecking(now, rampSteps)
	}
	return []Request{p.startCall(now)}
}

// startCall adds a watch or a check, depending on the state.
func (p *Poller) startCall(now time.Duration) Request {
	p.lastID++
	c := openCall{Request: Request{ID: p.lastID, Complete: !p.haveList, Since: p.generation}, startedAt: now}
	if p.state == watching {
		c.watch, c.Hold = true, p.timing.watchHold
		if p.confirm {
			c.Hold, p.confirm = 0, false
		}
		c.Limit = c.Hold + p.timing.watchGrace
		p.nextCallAt = now + p.hedgeDelay(0)
	} else {
		c.Hold, c.Limit = p.checkHold(), p.timing.checkTimeout
		c.shift = p.rampLeft
		p.rampLeft = max(p.rampLeft-1, 0)
		p.lastCheckAt = now
		p.nextCallAt = now + max(p.hedgeDelay(0), p.interval>>c.shift)
	}
	p.inFlight[c.ID] = c
	return c.Request
}

// RequestSent records that a request has been written on an established connection. Discovery may hold it from then on.
func (p *Poller) RequestSent(id int) {
	c, found := p.inFlight[id]
	if !found {
		return
	}
	c.sent = true
	p.inFlight[id] = c
	switch {
	case c.watch && p.state == watching: // a change must arrive soon after its hold
		p.nextCallAt = c.startedAt + c.Hold + p.timing.overdueDelay
	case !c.watch && c.startedAt == p.lastCheckAt:
		p.nextCallAt = c.startedAt + p.hedgeDelay(c.Hold)
	}
}

// ResponseStarted records that a response has begun. The rest of it is expected at once.
func (p *Poller) ResponseStarted(now time.Duration, id int) {
	c, found := p.inFlight[id]
	if !found {
		return
	}
	c.respondingAt = now
	p.inFlight[id] = c
	switch {
	case c.watch && p.state == watching:
		p.nextCallAt = now + p.hedgeDelay(0)
	case !c.watch && c.startedAt == p.lastCheckAt:
		p.nextCallAt = max(now+p.hedgeDelay(0), c.startedAt+p.interval>>c.shift)
	}
}

// startChecking begins checking with a first check at the given time. The delays of the first ramp checks are shorter.
func (p *Poller) startChecking(first time.Duration, ramp int) {
	p.state, p.failures, p.nextCallAt, p.rampLeft = checking, 0, first, ramp
}

// CallFailed records that a call failed or reached its timeout.
func (p *Poller) CallFailed(now time.Duration, id int) {
	c, found := p.inFlight[id]
	if !found {
		return
	}
	delete(p.inFlight, id)
	switch {
	case p.state == watching: // the only call: all senders may see this at once, so add jitter
		if took := c.waitedFor(now); took >= minQueueTime && took < maxQueueTime {
			p.backOff(took)
		}
		spread := time.Duration(p.rng.Float64() * float64(p.interval))
		p.startChecking(max(now+spread, p.lastCheckAt+p.interval/2), 0)
	case !c.watch:
		p.failures++
		p.backOff(c.waitedFor(now))
		if c.startedAt == p.lastCheckAt { // otherwise a later check is in flight and sets the time of the next
			p.nextCallAt = c.startedAt + p.addJitter(p.interval>>c.shift)
		}
	}
}

// ResponseReceived records that a call was answered. It returns the IDs of the other calls, which are to be abandoned,
// or an error if the response can't be used; the call has failed then.
func (p *Poller) ResponseReceived(now time.Duration, id int, r Response) (abandoned []int, err error) {
	c, found := p.inFlight[id]
	if !found {
		return nil, nil
	}
	if err := p.validate(r); err != nil {
		p.CallFailed(now, id)
		return nil, err
	}
	delete(p.inFlight, id)
	for other := range p.inFlight {
		abandoned = append(abandoned, other)
	}
	clear(p.inFlight)
	unchanged := p.haveList && r.Generation == p.generation
	switch took := now - c.startedAt; {
	case c.Complete:
		p.lateness = took
	case unchanged:
		p.lateness = max(took-c.Hold, 0)
	default: // it waited for a change or in a queue, so its lateness is unknown
	}
	p.haveList, p.generation, p.state, p.failures, p.nextCallAt = true, r.Generation, watching, 0, now
	if !c.watch {
		p.resetInterval()
	}
	if c.watch && (unchanged || r.Entries == 0) {
		p.nextCallAt = max(now, c.startedAt+emptyWatchInterval)
	}
	return abandoned, nil
}

// validate returns an error for a response that can't be used. A complete list always can. Changes with a lower
// generation number than the last response give ErrStaleGeneration, and the next call requests the complete list. An
// empty response while there is no list gives ErrEmptyList.
func (p *Poller) validate(r Response) error {
	switch {
	case r.Complete:
	case p.haveList && r.Generation < p.generation:
		p.haveList = false
		return fmt.Errorf("%w: %d, after %d", ErrStaleGeneration, r.Generation, p.generation)
	case !p.haveList && r.Generation == 0 && r.Entries == 0:
		return ErrEmptyList
	}
	return nil
}

// InFlight reports whether a call has no outcome yet.
func (p *Poller) InFlight(id int) bool {
	_, found := p.inFlight[id]
	return found
}

// Checking reports whether the list may be out of date, and how many checks have failed since the last response.
func (p *Poller) Checking() (bool, int) { return p.state == checking, p.failures }
