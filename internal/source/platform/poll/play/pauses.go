package play

import (
	"math/rand/v2"
	"time"

	"cometrack/internal/source/platform/poll"
)

// Settings of the earlier strategy, which the program used up to commit f16a241, for comparison.
const (
	maxPause         = 5400 * time.Millisecond
	firstPauseJitter = 0.4             // largest fraction that is subtracted at random from the first pause
	laterPauseJitter = 0.05            // the same for later pauses
	retryHold        = 4 * time.Second // hold of the watch after a failure
	watchHold        = 20 * time.Second
	holdGrace        = time.Second
)

// sequential makes one call at a time, with a pause after each failure.
type sequential struct {
	rng                   *rand.Rand
	generation            int64
	lastID                int
	inFlight              bool
	failed                bool
	nextCallAt, startedAt time.Duration
	jitter                float64
}

// NewSequential returns a client that makes one call at a time.
func NewSequential(_ int, seed uint64) Client {
	return &sequential{rng: rand.New(rand.NewPCG(seed, 0)), generation: 1, jitter: firstPauseJitter}
}

// NewPoller returns the client that the program uses.
func NewPoller(senders int, seed uint64) Client {
	return poll.New(poll.Settings{Senders: senders, ListRetryWithin: 10 * time.Second}, true, 1, seed, 0)
}

func (p *sequential) NextTick() time.Duration {
	if p.inFlight {
		return poll.Never
	}
	return p.nextCallAt
}

func (p *sequential) Tick(now time.Duration) []poll.Request {
	if p.inFlight || now < p.nextCallAt {
		return nil
	}
	hold := watchHold
	if p.failed {
		hold = retryHold
	}
	p.lastID++
	p.inFlight, p.startedAt = true, now
	return []poll.Request{{ID: p.lastID, Since: p.generation, Hold: hold, Limit: hold + holdGrace}}
}

func (p *sequential) RequestSent(int) {}

func (p *sequential) CallFailed(now time.Duration, _ int) {
	from := now // a watch that was in flight until now
	if p.failed {
		from = p.startedAt
	}
	p.inFlight, p.failed = false, true
	p.nextCallAt = max(now, from+time.Duration((1-p.jitter*p.rng.Float64())*float64(maxPause)))
	p.jitter = laterPauseJitter
}

func (p *sequential) ResponseReceived(now time.Duration, _ int, a poll.Response) ([]int, error) {
	p.inFlight, p.failed, p.jitter, p.nextCallAt, p.generation = false, false, firstPauseJitter, now, a.Generation
	return nil, nil
}
