package play

import (
	"math/rand/v2"
	"time"

	"cometrack/internal/source/platform/poll"
)

// Pauses of the program up to f16a241, to compare with.
const (
	pauseMost  = 5400 * time.Millisecond
	pauseFirst = 0.4 // part of it that chance takes off the first pause
	pauseLater = 0.05
	retryHold  = 4 * time.Second // of the watch after a failure
	watchHold  = 20 * time.Second
	slack      = time.Second
)

// pauses asks by one call at a time, with a pause after each that fails.
type pauses struct {
	rng        *rand.Rand
	generation int64
	id         int
	out        bool
	failed     bool
	due, began time.Duration
	early      float64
}

// NewSequential makes an asker that makes one call at a time.
func NewSequential(_ int, seed uint64) Client {
	return &pauses{rng: rand.New(rand.NewPCG(seed, 0)), generation: 1, early: pauseFirst}
}

// NewPoller makes an asker that decides as the program does.
func NewPoller(senders int, seed uint64) Client {
	return poll.New(poll.Settings{Senders: senders, ListRetryWithin: 10 * time.Second}, true, 1, seed, 0)
}

func (p *pauses) NextTick() time.Duration {
	if p.out {
		return poll.Never
	}
	return p.due
}

func (p *pauses) Tick(now time.Duration) []poll.Request {
	if p.out || now < p.due {
		return nil
	}
	hold := watchHold
	if p.failed {
		hold = retryHold
	}
	p.id++
	p.out, p.began = true, now
	return []poll.Request{{ID: p.id, Since: p.generation, Hold: hold, Limit: hold + slack}}
}

func (p *pauses) RequestSent(int) {}

func (p *pauses) CallFailed(now time.Duration, _ int) {
	from := now // a watch that was open until now
	if p.failed {
		from = p.began
	}
	p.out, p.failed = false, true
	p.due = max(now, from+time.Duration((1-p.early*p.rng.Float64())*float64(pauseMost)))
	p.early = pauseLater
}

func (p *pauses) ResponseReceived(now time.Duration, _ int, a poll.Response) ([]int, error) {
	p.out, p.failed, p.early, p.due, p.generation = false, false, pauseFirst, now, a.Generation
	return nil, nil
}
