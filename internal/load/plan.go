package load

import (
	"math/rand/v2"
	"time"
)

// Message is one message of a plan.
type Message struct {
	N       int           // from 0, in the order in which they are due
	Due     time.Duration // since the start of the run
	Phase   int
	Kind    int // of Scenario.Mix
	Partner string
	Order   int // order key, from 0; -1 for none
}

// Plan gives the messages of a scenario in the order in which they are due. It
// needs the same memory however many there are.
type Plan struct {
	s     *Scenario
	rng   *rand.Rand
	total float64 // of weights
	n     int
	phase int
	start time.Duration // of the phase
	curve curve
	sum   float64 // of the curve's messages: where the next one lies
	next  time.Duration
	more  bool // next is one
	burst time.Duration
	left  int // of the burst at hand
}

// Plan makes a plan of a scenario that Check has passed.
func (s *Scenario) Plan() *Plan {
	p := &Plan{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x10ad)), phase: -1}
	for _, k := range s.Mix {
		p.total += k.Weight
	}
	p.enter()
	return p
}

// Span is how long the scenario lasts.
func (s *Scenario) Span() (span time.Duration) {
	for _, p := range s.Phases {
		span += time.Duration(p.For)
	}
	return span
}

// enter begins the next phase; false if there is none.
func (p *Plan) enter() bool {
	if p.phase >= 0 {
		p.start += time.Duration(p.s.Phases[p.phase].For)
	}
	if p.phase++; p.phase >= len(p.s.Phases) {
		return false
	}
	ph := &p.s.Phases[p.phase]
	p.curve, p.sum, p.burst, p.left = ph.curve(), 0, time.Duration(ph.Every), ph.Burst
	p.draw()
	return true
}

// draw finds the curve's next message.
func (p *Plan) draw() {
	ph := &p.s.Phases[p.phase]
	switch {
	case ph.Spacing == Poisson:
		p.sum += p.rng.ExpFloat64()
	case p.sum == 0:
		p.sum = 0.5 // half a gap at either end: phases join without a doubled gap
	default:
		p.sum++
	}
	at := p.curve.at(p.sum)
	p.next, p.more = time.Duration(at*float64(time.Second)), at < p.curve.span
}

// Next gives the next message; false at the end.
func (p *Plan) Next() (Message, bool) {
	for p.phase < len(p.s.Phases) {
		ph := &p.s.Phases[p.phase]
		inBurst := ph.Burst > 0 && p.burst < time.Duration(ph.For)
		switch {
		case inBurst && (!p.more || p.burst <= p.next):
			m := p.message(p.burst)
			if p.left--; p.left == 0 {
				p.burst, p.left = p.burst+time.Duration(ph.Every), ph.Burst
			}
			return m, true
		case p.more:
			m := p.message(p.next)
			p.draw()
			return m, true
		}
		if !p.enter() {
			break
		}
	}
	return Message{}, false
}

// message draws what a message is.
func (p *Plan) message(at time.Duration) Message {
	m := Message{N: p.n, Due: p.start + at, Phase: p.phase, Order: -1}
	p.n++
	x := p.rng.Float64() * p.total
	for m.Kind = 0; m.Kind < len(p.s.Mix)-1 && x >= p.s.Mix[m.Kind].Weight; m.Kind++ {
		x -= p.s.Mix[m.Kind].Weight
	}
	k := &p.s.Mix[m.Kind]
	m.Partner = k.Partners[p.rng.IntN(len(k.Partners))]
	if k.Order > 0 {
		m.Order = p.rng.IntN(k.Order)
	}
	return m
}
