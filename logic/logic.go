package logic

// One step of the module: events in, decisions, actions out. The interface is in logic/types.go, tuned
// values in tuning.go; each kind of decision has a file of its name.

import (
	"math"
	"math/rand/v2"
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	s := &Sender{rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64, askAt: never,
		askJitter: askJitter, newsAt: never,
		eps: map[EndpointID]*endpoint{}, dests: map[int64]*dest{}, msgs: map[string]*msg{},
		keys: map[string]*keyLine{}}
	if set.ListOnRequest {
		s.askAt = math.MinInt64
	}
	s.retune(set)
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	s.subscribe()
	s.forget()
	s.endHopeless()
	s.cutLong()
	s.dispatch()
	s.arm()
	return s.out
}

// ageOut drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) ageOut(d *dest) {
	if s.now-d.used > idleAge && d.lane.inflight == 0 {
		d.hist, d.lane.pace = hist{}, 0
		s.refreshAll(d)
	}
	d.used = s.now
}

// arm sets a timer for the next thing to be done, unless one that goes off by then is out.
func (s *Sender) arm() {
	if at := s.alarms.next(); at < never {
		s.at(at + 1) // destinations are looked at from the instant before
	}
	if s.wake == never {
		return
	}
	s.wake = max(s.wake, s.now+max(s.set.Tick, 1000))
	if s.timer > s.now && s.timer <= s.wake {
		return
	}
	s.timer = s.wake
	s.do(SetTimer{Wait: s.wake - s.now, Token: uint64(s.step)})
}
