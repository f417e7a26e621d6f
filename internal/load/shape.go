package load

import (
	"fmt"
	"math"
	"time"
)

// Shape is the course of the rate in a phase.
type Shape string

// The shapes.
const (
	Constant Shape = "constant" // Rate
	Ramp     Shape = "ramp"     // linear from Rate to To
	Step     Shape = "step"     // from Rate to To in Steps steps of equal length
	Wave     Shape = "wave"     // a sine around Rate with amplitude To and period Period
	Spike    Shape = "spike"    // exponential from Rate to To, then nothing, as before a deadline
)

// curve is the rate over a phase. Messages are due where its integral reaches given values, so
// that the times do not depend on any reply.
type curve struct {
	shape    Shape
	span     float64 // seconds
	from, to float64 // messages a second, as in Shape
	steps    float64
	period   float64 // seconds
}

// curve returns the rate of the phase.
func (p *Phase) curve() curve {
	return curve{shape: p.Shape, span: p.For.Seconds(), from: p.Rate, to: p.To, steps: float64(p.Steps), period: p.Period.Seconds()}
}

// rate returns the rate, in messages a second, at t seconds after the start of the phase.
func (c curve) rate(t float64) float64 {
	switch c.shape {
	case Ramp:
		return c.from + (c.to-c.from)*t/c.span
	case Step:
		return c.from + (c.to-c.from)*c.step(t)/(c.steps-1)
	case Wave:
		return c.from + c.to*math.Sin(2*math.Pi*t/c.period)
	case Spike:
		return c.from * math.Pow(c.to/c.from, t/c.span)
	}
	return c.from
}

// step returns the number of the step, from 0, at t seconds after the start of the phase.
func (c curve) step(t float64) float64 { return min(math.Floor(t/c.span*c.steps), c.steps-1) }

// due returns the number of messages due in the first t seconds of the phase: the integral of the rate.
func (c curve) due(t float64) float64 {
	switch c.shape {
	case Ramp:
		return c.from*t + (c.to-c.from)*t*t/(2*c.span)
	case Step:
		n, length := c.step(t), c.span/c.steps
		rise := (c.to - c.from) / (c.steps - 1)
		return length*(n*c.from+rise*n*(n-1)/2) + (t-n*length)*(c.from+rise*n)
	case Wave:
		w := 2 * math.Pi / c.period
		return c.from*t + c.to/w*(1-math.Cos(w*t))
	case Spike:
		k := math.Log(c.to / c.from)
		return c.from * c.span / k * math.Expm1(k*t/c.span)
	}
	return c.from * t
}

// timeOf returns the time at which n messages are due: the inverse of due. It is the end of
// the phase if that has fewer.
func (c curve) timeOf(n float64) float64 {
	if n >= c.due(c.span) {
		return c.span
	}
	switch c.shape {
	case Constant:
		return n / c.from
	case Spike:
		k := math.Log(c.to / c.from)
		return c.span / k * math.Log1p(n*k/(c.from*c.span))
	}
	low, high := 0.0, c.span // due increases with t, so bisection finds the time
	for high-low > 1e-10*max(1, c.span) {
		if mid := (low + high) / 2; c.due(mid) < n {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// check returns a [FieldError] for the first invalid field of the phase.
func (p *Phase) check() error {
	invalid := func(field, format string, args ...any) error {
		return &FieldError{field, fmt.Sprintf(format, args...)}
	}
	switch {
	case p.For <= 0 || time.Duration(p.For) > MaxDuration:
		return invalid("for", "not within 0 and %v", MaxDuration)
	case !(p.Rate > 0) || p.Rate > MaxRate:
		return invalid("rate", "not above 0 and at most %.0f messages a second", MaxRate)
	case p.Spacing != Even && p.Spacing != Poisson:
		return invalid("spacing", "%q is neither even nor poisson", p.Spacing)
	case p.Burst < 0 || p.Burst > MaxBurst:
		return invalid("burst", "not within 0 and %d messages", MaxBurst)
	case p.Burst > 0 && p.Every < Duration(time.Millisecond):
		return invalid("every", "less than a millisecond between two bursts")
	}
	switch p.Shape {
	case Constant:
	case Ramp, Spike:
		if !(p.To > 0) || p.To > MaxRate || p.Shape == Spike && p.To <= p.Rate {
			return invalid("to", "no rate that a %s from %g may end at", p.Shape, p.Rate)
		}
	case Step:
		if !(p.To > 0) || p.To > MaxRate {
			return invalid("to", "no rate that steps from %g may end at", p.Rate)
		}
		if p.Steps < 2 || p.Steps > 1000 {
			return invalid("steps", "not within 2 and 1000")
		}
	case Wave:
		if p.To < 0 || p.To > p.Rate {
			return invalid("to", "a wave goes up and down by at most its rate, %g", p.Rate)
		}
		if p.Period < Duration(time.Millisecond) {
			return invalid("period", "less than a millisecond")
		}
	default:
		return invalid("shape", "%q is none of constant, ramp, step, wave, spike", p.Shape)
	}
	return nil
}
