package poll

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Settings are what a deployment says of its discovery.
type Settings struct {
	Senders         int           // that ask it
	ListRetryWithin time.Duration // for which a list holds without a watch, four times as long after a failure; 0 for no such rule
	Agent           bool          // it is an agent on this machine, which answers at once and at no cost, or is silent
}

// Request is a call for the list.
type Request struct {
	ID       int
	Complete bool          // the whole list is asked for
	Since    int64         // else what is newer than this generation
	Hold     time.Duration // for which the answer may wait for something newer
	Limit    time.Duration // after which the call is given up
}

// Response is what is read of an answer.
type Response struct {
	Generation int64
	Complete   bool // it is the whole list
	Entries    int
}

// Errors of answers that are no news of the list.
var (
	ErrEmptyList       = errors.New("no list: an answer without generation and endpoints")
	ErrStaleGeneration = errors.New("no list: changes of an older generation")
)

// Never is later than any time.
const Never = time.Duration(1<<63 - 1)

// state is what is known of the list.
type state int

const (
	following state = iota // a watch is out, or about to be, and discovery has answered the call before
	checking               // whether the list still holds is not known
)

// call is a request that has no outcome yet.
type call struct {
	Request
	began     time.Duration
	watch     bool
	shift     int // how often the delay to the next check is halved
	sent      bool
	answering time.Duration // when the answer has begun; 0 if it has not
}

// waited is how long discovery has had the call and not begun to answer.
func (c call) waited(now time.Duration) time.Duration {
	switch {
	case !c.sent:
		return 0
	case c.answering > 0:
		return c.answering - c.began
	}
	return now - c.began
}

// Poller decides about the calls for the list at one address. Times count from any moment that stays the same.
type Poller struct {
	settings Settings
	pace     pace
	rng      *rand.Rand

	state      state
	known      bool // there is a list, of this generation
	generation int64
	open       map[int]call
	lastID     int
	due        time.Duration // of the next call
	lastCheck  time.Duration // when the last check began
	interval   time.Duration // from one check that fails to the next
	ramp       int           // how often the next check's delay is still halved
	failures   int           // of checks, since the last answer
	lateness   time.Duration // of the last answer of which it is known
}

// New makes a poller that asks for the first time at now. Without a known list the whole one is asked for.
func New(settings Settings, known bool, generation int64, seed uint64, now time.Duration) *Poller {
	p := &Poller{rng: rand.New(rand.NewPCG(seed, 0)), known: known, generation: generation, open: map[int]call{}, due: now, lastCheck: -Never}
	p.UpdateSettings(settings)
	if !known {
		p.doubt(now, rampSteps)
	}
	return p
}

// UpdateSettings takes up other settings.
func (p *Poller) UpdateSettings(settings Settings) {
	p.settings, p.pace = settings, paceOf(settings)
	p.interval = min(max(p.interval, p.pace.fast), p.pace.slow)
}

// NextTick is when Tick has something to do, if nothing happens before.
func (p *Poller) NextTick() time.Duration {
	if len(p.open) >= maxOpen {
		return Never
	}
	return p.due
}

// Tick returns the calls to be made now.
func (p *Poller) Tick(now time.Duration) []Request {
	if now < p.NextTick() {
		return nil
	}
	if p.state == following && len(p.open) > 0 { // the watch is overdue, or its connection does not come up
		p.doubt(now, rampSteps)
	}
	return []Request{p.begin(now)}
}

// begin makes a watch or a check, as the state has it.
func (p *Poller) begin(now time.Duration) Request {
	p.lastID++
	c := call{Request: Request{ID: p.lastID, Complete: !p.known, Since: p.generation}, began: now}
	if p.state == following {
		c.watch, c.Hold = true, p.pace.watchHold
		c.Limit = c.Hold + p.pace.watchGrace
		p.due = now + p.patience(0)
	} else {
		c.Hold, c.Limit = p.checkHold(), p.pace.checkLimit
		c.shift = p.ramp
		p.ramp = max(p.ramp-1, 0)
		p.lastCheck = now
		p.due = now + max(p.patience(0), p.interval>>c.shift)
	}
	p.open[c.ID] = c
	return c.Request
}

// RequestSent tells that a request has been written: its connection is up. From then on it may be held.
func (p *Poller) RequestSent(id int) {
	c, out := p.open[id]
	if !out {
		return
	}
	c.sent = true
	p.open[id] = c
	switch {
	case c.watch && p.state == following: // what it misses counts as told soon after its hold
		p.due = c.began + c.Hold + p.pace.overdue
	case !c.watch && c.began == p.lastCheck:
		p.due = c.began + p.patience(c.Hold)
	}
}

// ResponseStarted tells that an answer has begun. The rest of it should be there at once.
func (p *Poller) ResponseStarted(now time.Duration, id int) {
	c, out := p.open[id]
	if !out {
		return
	}
	c.answering = now
	p.open[id] = c
	switch {
	case c.watch && p.state == following:
		p.due = now + p.patience(0)
	case !c.watch && c.began == p.lastCheck:
		p.due = max(now+p.patience(0), c.began+p.interval>>c.shift)
	}
}

// doubt begins checking. The first checks follow each other faster, as ramp says.
func (p *Poller) doubt(first time.Duration, ramp int) {
	p.state, p.failures, p.due, p.ramp = checking, 0, first, ramp
}

// CallFailed tells that a call has failed, or was given up at its limit.
func (p *Poller) CallFailed(now time.Duration, id int) {
	c, out := p.open[id]
	if !out {
		return
	}
	delete(p.open, id)
	switch {
	case p.state == following: // its one call: all senders may see this at once, so they spread out
		if took := c.waited(now); took >= queued && took < crowdedWithin {
			p.slowDown(took)
		}
		spread := time.Duration(p.rng.Float64() * float64(p.interval))
		p.doubt(max(now+spread, p.lastCheck+p.interval/2), 0)
	case !c.watch:
		p.failures++
		p.slowDown(c.waited(now))
		if c.began == p.lastCheck { // else another is out, and the next one comes by its time
			p.due = c.began + p.spread(p.interval>>c.shift)
		}
	}
}

// ResponseReceived tells that a call was answered. It returns the calls that are to be given up, as they have nothing more to
// tell, or an error if the answer is of no use: then the call has failed.
func (p *Poller) ResponseReceived(now time.Duration, id int, a Response) (giveUp []int, err error) {
	c, out := p.open[id]
	if !out {
		return nil, nil
	}
	if err := p.check(a); err != nil {
		p.CallFailed(now, id)
		return nil, err
	}
	delete(p.open, id)
	for other := range p.open {
		giveUp = append(giveUp, other)
	}
	clear(p.open)
	nothingNew := p.known && a.Generation == p.generation
	switch took := now - c.began; {
	case c.Complete:
		p.lateness = took
	case nothingNew:
		p.lateness = max(took-c.Hold, 0)
	default: // it has waited for its news, or for its turn
	}
	p.known, p.generation, p.state, p.failures, p.due = true, a.Generation, following, 0, now
	if !c.watch {
		p.speedUp()
	}
	if c.watch && (nothingNew || a.Entries == 0) {
		p.due = max(now, c.began+emptyPause)
	}
	return giveUp, nil
}

// check says what is wrong with an answer. After changes of an older list than ours the whole one is asked for.
func (p *Poller) check(a Response) error {
	switch {
	case a.Complete:
	case p.known && a.Generation < p.generation:
		p.known = false
		return fmt.Errorf("%w: %d, after %d", ErrStaleGeneration, a.Generation, p.generation)
	case !p.known && a.Generation == 0 && a.Entries == 0:
		return ErrEmptyList
	}
	return nil
}

// InFlight says whether a call has no outcome yet.
func (p *Poller) InFlight(id int) bool {
	_, out := p.open[id]
	return out
}

// Checking says whether it is not known if the list still holds, and how many checks have failed meanwhile.
func (p *Poller) Checking() (bool, int) { return p.state == checking, p.failures }
