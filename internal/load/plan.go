package load

import (
	"math/rand/v2"
	"time"
)

// Message is one message of a plan.
type Message struct {
	Number   int           // from 0, in the order in which they are due
	Due      time.Duration // time since the start of the run
	Phase    int
	Kind     int // index in Scenario.Mix
	Partner  string
	OrderKey int // order key, from 0; -1 for none
}

// Plan generates the messages of a scenario in the order in which they are due. Its memory
// does not grow with their number.
type Plan struct {
	s           *Scenario
	rng         *rand.Rand
	totalWeight float64
	count       int // of messages generated
	phase       int
	start       time.Duration // of the phase
	curve       curve
	position    float64       // of the curve's next message: the integral of the rate up to it
	next        time.Duration // when the curve's next message is due, since the start of the phase
	hasNext     bool
	nextBurst   time.Duration // since the start of the phase
	burstLeft   int           // messages of the burst that are left
}

// Plan returns the plan of a scenario that is valid by [Scenario.Check].
func (s *Scenario) Plan() *Plan {
	p := &Plan{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x10ad)), phase: -1}
	for _, k := range s.Mix {
		p.totalWeight += k.Weight
	}
	p.enter()
	return p
}

// TotalDuration returns the sum of the durations of all phases.
func (s *Scenario) TotalDuration() (total time.Duration) {
	for _, p := range s.Phases {
		total += time.Duration(p.For)
	}
	return total
}

// enter begins the next phase. It returns false if there is none.
func (p *Plan) enter() bool {
	if p.phase >= 0 {
		p.start += time.Duration(p.s.Phases[p.phase].For)
	}
	if p.phase++; p.phase >= len(p.s.Phases) {
		return false
	}
	ph := &p.s.Phases[p.phase]
	p.curve, p.position, p.nextBurst, p.burstLeft = ph.curve(), 0, time.Duration(ph.Every), ph.Burst
	p.draw()
	return true
}

// draw computes when the curve's next message is due.
func (p *Plan) draw() {
	ph := &p.s.Phases[p.phase]
	switch {
	case ph.Spacing == Poisson:
		p.position += p.rng.ExpFloat64()
	case p.position == 0:
		p.position = 0.5 // half a gap at both ends of a phase, so that there is no double gap between phases
	default:
		p.position++
	}
	due := p.curve.timeOf(p.position)
	p.next, p.hasNext = time.Duration(due*float64(time.Second)), due < p.curve.span
}

// Next returns the next message. It returns false at the end of the plan.
func (p *Plan) Next() (Message, bool) {
	for p.phase < len(p.s.Phases) {
		ph := &p.s.Phases[p.phase]
		inBurst := ph.Burst > 0 && p.nextBurst < time.Duration(ph.For)
		switch {
		case inBurst && (!p.hasNext || p.nextBurst <= p.next):
			m := p.message(p.nextBurst)
			if p.burstLeft--; p.burstLeft == 0 {
				p.nextBurst, p.burstLeft = p.nextBurst+time.Duration(ph.Every), ph.Burst
			}
			return m, true
		case p.hasNext:
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

// message draws the kind, partner and order key of the message that is due at a time of the
// phase.
func (p *Plan) message(due time.Duration) Message {
	m := Message{Number: p.count, Due: p.start + due, Phase: p.phase, OrderKey: -1}
	p.count++
	x := p.rng.Float64() * p.totalWeight
	for m.Kind = 0; m.Kind < len(p.s.Mix)-1 && x >= p.s.Mix[m.Kind].Weight; m.Kind++ {
		x -= p.s.Mix[m.Kind].Weight
	}
	k := &p.s.Mix[m.Kind]
	m.Partner = k.Partners[p.rng.IntN(len(k.Partners))]
	if k.Order > 0 {
		m.OrderKey = p.rng.IntN(k.Order)
	}
	return m
}
