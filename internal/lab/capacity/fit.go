package capacity

import (
	"math"
)

// Criterion of a power: no size, the one left out included, lies further from the
// line than Apart times, or than twice the usual distance of a repeat from its median
// (the widest of each size, the median of these), whichever is more, and none lies off
// twofold, however wide the repeats spread. A step (a cliff, a cache that is full) bends the line and
// fails it.
const Apart = 1.3

// Fit is the growth of a slope: value = base + factor · size^power.
type Fit struct {
	Power  float64
	Spread float64 // standard error of the power
	Factor float64

	LeftOut   float64 // the size that was left out
	Predicted float64 // its value by the fit
	Measured  float64 // its median
	Error     float64 // Predicted / Measured - 1

	Steps []float64 // the power between each two neighbouring sizes; NaN where a median is not above the base
	// IsPower says whether the sizes lie on one line; Worst is how far the worst of
	// them lies off, as a ratio.
	IsPower bool
	Worst   float64
}

// Fit fits the power of growth by least squares on the logarithms of the medians less
// the base, all sizes but the last. A median that is not above the base has no
// logarithm: then it is no power.
func (s Slope) Fit() Fit {
	n := len(s.Points)
	x, y := make([]float64, n), make([]float64, n)
	noise, whole := make([]float64, n), true
	for i, p := range s.Points {
		rise := p.Median() - s.Base
		x[i], y[i] = math.Log(p.Size), math.Log(rise) // NaN below the base
		if rise <= 0 {
			whole = false
			y[i] = math.NaN()
			continue
		}
		for _, v := range p.Values {
			if v > s.Base {
				noise[i] = max(noise[i], math.Abs(math.Log(v-s.Base)-y[i]))
			}
		}
	}
	f := Fit{LeftOut: s.Points[n-1].Size, Measured: s.Points[n-1].Median()}
	for i := 1; i < n; i++ {
		f.Steps = append(f.Steps, (y[i]-y[i-1])/(x[i]-x[i-1]))
	}
	if !whole {
		f.Power, f.Spread, f.Factor, f.Predicted, f.Error, f.Worst = math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.Inf(1)
		return f
	}
	var at float64
	f.Power, at, f.Spread = line(x[:n-1], y[:n-1])
	f.Factor = math.Exp(at)
	off := 0.0
	for i := range x {
		off = max(off, math.Abs(y[i]-at-f.Power*x[i]))
	}
	f.Predicted = s.Base + f.Factor*math.Pow(f.LeftOut, f.Power)
	f.Error = f.Predicted/f.Measured - 1
	f.Worst = math.Exp(off)
	f.IsPower = off <= min(max(math.Log(Apart), 2*median(noise)), math.Ln2)
	return f
}

// line fits y = at + power · x and gives the standard error of the power.
func line(x, y []float64) (power, at, spread float64) {
	n := float64(len(x))
	mx, my := sum(x)/n, sum(y)/n
	var xx, xy, rest float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
	}
	power = xy / xx
	at = my - power*mx
	for i := range x {
		d := y[i] - at - power*x[i]
		rest += d * d
	}
	return power, at, math.Sqrt(rest / max(n-2, 1) / xx)
}

func sum(list []float64) (out float64) {
	for _, v := range list {
		out += v
	}
	return out
}

// How a value or a size came about.
const (
	ByMeasure = "measured"   // it lies among the sizes that were measured
	ByFit     = "fit"        // by the fit of all
	ByFirst   = "first step" // by the power between the first two sizes, below both
	ByStep    = "last step"  // by the power between the last two sizes, as all are no power or as it is the steeper
)

// rise is the growth by which sizes above those measured are said: the line through
// the last size, with the fit's power or the last step's, whichever is steeper, and
// the last step's where all are no power. The steeper one, as small sizes bend a line
// down that has a second base they all share (the first pages of a heap), and what is
// said a hundred sizes further should err to the side of the bound. Flat where the
// last size is not above the base.
func (s Slope) rise() (power float64, how string) {
	if s.Points[len(s.Points)-1].Median() <= s.Base {
		return 0, ByStep
	}
	f := s.Fit()
	step := f.Steps[len(f.Steps)-1]
	if f.IsPower && f.Power >= step-1e-9 {
		return f.Power, ByFit
	}
	return step, ByStep
}

// At is the value at a size above those measured: from the last size on, by the power
// of the fit, or of the last step where the sizes are no power. NaN where nothing
// can be said.
func (s Slope) At(size float64) (value float64, how string) {
	last := s.Points[len(s.Points)-1]
	power, how := s.rise()
	return s.Base + (last.Median()-s.Base)*math.Pow(size/last.Size, power), how
}

// Met is the size at which the value is the bound: between two measured sizes by the
// power between them, above them as in [Slope.At]. It is infinite if the value does
// not grow, and NaN where nothing can be said. With a bound that the smallest size
// breaks it is said by the first step downwards, and no size below it was measured.
func (s Slope) Met() (size float64, how string) {
	rise := func(i int) float64 { return s.Points[i].Median() - s.Base }
	room, n := s.Bound-s.Base, len(s.Points)
	if room <= 0 {
		return 0, ByMeasure
	}
	over := n // the first of those at the end that are above the bound
	for over > 0 && s.Points[over-1].Median() > s.Bound {
		over--
	}
	switch {
	case over == n:
		power, how := s.rise()
		if power <= 0 {
			return math.Inf(1), how
		}
		return s.Points[n-1].Size * math.Pow(room/rise(n-1), 1/power), how
	case over == 0:
		step := s.Fit().Steps[0]
		if step <= 0 || math.IsNaN(step) {
			return math.NaN(), ByFirst
		}
		return s.Points[0].Size * math.Pow(room/rise(0), 1/step), ByFirst
	}
	a, b := s.Points[over-1].Size, s.Points[over].Size
	low := rise(over - 1)
	if low <= 0 { // no logarithm: a is the last size known to be within
		return a, ByMeasure
	}
	return a * math.Pow(b/a, math.Log(room/low)/math.Log(rise(over)/low)), ByMeasure
}

// Share is the share of the target at which the bound is met.
func (s Slope) Share() (share float64, how string) {
	size, how := s.Met()
	return size / s.Target, how
}
