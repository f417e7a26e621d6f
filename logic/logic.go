package logic

// The interface of the package is in types.go and its constants are in tuning.go. Each kind of decision has a
// file of its own.

import (
	"math"
	"math/rand/v2"
)

// New creates a Sender. The error names the invalid setting. The seed determines all random choices.
func New(settings Settings, seed uint64) (*Sender, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	s := &Sender{rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64,
		list:       listState{requestAt: never, retryJitter: listRetryJitter},
		changesDue: never,
		endpoints:  map[EndpointID]*endpoint{}, destinations: map[int64]*destination{},
		messages: map[string]*message{}, keyQueues: map[string]*keyQueue{}}
	if settings.ListOnRequest {
		s.list.requestAt = math.MinInt64
	}
	s.applySettings(settings)
	return s, nil
}

// Step processes the events that happened up to now and returns the actions to carry out, in order.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.wakeAt = nil, never
	for _, ev := range events {
		s.handle(ev)
	}
	s.requestList()
	s.cleanup()
	s.endExpiring()
	s.cancelSlowAttempts()
	s.dispatch()
	s.armTimer()
	return s.actions
}

// resetIfIdle drops the latencies and the rate of a destination that has been idle for idleStateAge, when a
// message for it is submitted: they are outdated.
func (s *Sender) resetIfIdle(d *destination) {
	if s.now-d.lastUsed > idleStateAge && d.limiter.inFlight == 0 {
		d.latencies, d.limiter.rate = histogram{}, 0
		s.updateExpiries(d)
	}
	d.lastUsed = s.now
}

// armTimer sets a timer for the next time at which work is due, unless a timer that fires by then is already
// set.
func (s *Sender) armTimer() {
	if at := s.timers.nextAt(); at < never {
		s.wakeBy(at + 1) // the timers of destinations fire one microsecond early
	}
	if s.wakeAt == never {
		return
	}
	s.wakeAt = max(s.wakeAt, s.now+max(s.settings.Tick, 1000))
	if s.timerAt > s.now && s.timerAt <= s.wakeAt {
		return
	}
	s.timerAt = s.wakeAt
	s.emit(SetTimer{Wait: s.wakeAt - s.now, Token: uint64(s.step)})
}
