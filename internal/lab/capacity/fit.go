package capacity

import (
	"math"
)

// MaxDeviationRatio is part of the criterion for a power law: no size, the omitted one included,
// may deviate from the line by more than this ratio, or by more than twice the median over the
// sizes of the largest deviation of a repeat from its median, whichever is larger; and none may
// deviate by more than a factor of two, however wide the repeats spread. A step, such as a full
// cache, bends the line and fails the criterion.
const MaxDeviationRatio = 1.3

// Fit is the growth of a slope: value = base + factor · size^power.
type Fit struct {
	Power  float64 // NaN, as all fields that derive from it, if a median is not above the base
	StdErr float64 // standard error of the power
	Factor float64 // value above the base at size 1 by the fit

	OmittedSize float64 // the size omitted from the fit
	Predicted   float64 // value at the omitted size by the fit
	Measured    float64 // median at the omitted size
	Error       float64 // Predicted / Measured - 1

	StepPowers []float64 // powers between neighboring sizes; NaN where a median is not above the base
	// IsPowerLaw reports whether the sizes lie on one line; MaxDeviation is the largest
	// deviation of a size from the line, as a ratio.
	IsPowerLaw   bool
	MaxDeviation float64 // 1 for none, infinite if a median is not above the base
}

// Fit fits the power of the growth by least squares to the logarithms of the medians less the base,
// for all sizes but the last. A median that is not above the base has no logarithm; then the growth
// is no power law.
func (s Slope) Fit() Fit {
	n := len(s.Points)
	x, y := make([]float64, n), make([]float64, n)
	noise, aboveBase := make([]float64, n), true
	for i, p := range s.Points {
		rise := p.Median() - s.Base
		x[i], y[i] = math.Log(p.Size), math.Log(rise) // NaN for a median below the base
		if rise <= 0 {
			aboveBase = false
			y[i] = math.NaN()
			continue
		}
		for _, v := range p.Values {
			if v > s.Base {
				noise[i] = max(noise[i], math.Abs(math.Log(v-s.Base)-y[i]))
			}
		}
	}
	f := Fit{OmittedSize: s.Points[n-1].Size, Measured: s.Points[n-1].Median()}
	for i := 1; i < n; i++ {
		f.StepPowers = append(f.StepPowers, (y[i]-y[i-1])/(x[i]-x[i-1]))
	}
	if !aboveBase {
		f.Power, f.StdErr, f.Factor, f.Predicted, f.Error, f.MaxDeviation = math.NaN(), math.NaN(), math.NaN(),
			math.NaN(), math.NaN(), math.Inf(1)
		return f
	}
	var intercept float64
	f.Power, intercept, f.StdErr = fitLine(x[:n-1], y[:n-1])
	f.Factor = math.Exp(intercept)
	maxDeviation := 0.0
	for i := range x {
		maxDeviation = max(maxDeviation, math.Abs(y[i]-intercept-f.Power*x[i]))
	}
	f.Predicted = s.Base + f.Factor*math.Pow(f.OmittedSize, f.Power)
	f.Error = f.Predicted/f.Measured - 1
	f.MaxDeviation = math.Exp(maxDeviation)
	f.IsPowerLaw = maxDeviation <= min(max(math.Log(MaxDeviationRatio), 2*median(noise)), math.Ln2)
	return f
}

// fitLine fits y = intercept + power · x and returns the standard error of the power.
func fitLine(x, y []float64) (power, intercept, stdErr float64) {
	n := float64(len(x))
	mx, my := sum(x)/n, sum(y)/n
	var xx, xy, residual float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
	}
	power = xy / xx
	intercept = my - power*mx
	for i := range x {
		d := y[i] - intercept - power*x[i]
		residual += d * d
	}
	return power, intercept, math.Sqrt(residual / max(n-2, 1) / xx)
}

// sum adds up the values.
func sum(list []float64) (out float64) {
	for _, v := range list {
		out += v
	}
	return out
}

// Methods by which a value or a size was determined, as the table of shares prints them.
const (
	Interpolated  = "measured"   // interpolated between measured sizes
	FromFit       = "fit"        // by the fit of all sizes
	FromFirstStep = "first step" // extrapolated below the smallest size, by the power between the first two
	FromLastStep  = "last step"  // by the power between the last two sizes, if there is no power law or if it is steeper
)

// extrapolation returns the power of the growth above the measured sizes, along a line through the
// last size, and which method gave it: the power of the fit or of the last step, whichever is
// steeper, and that of the last step if there is no power law. The steeper one is used because a
// second base that all sizes share, such as the first pages of a heap, flattens the line at small
// sizes, and an extrapolation over two orders of magnitude should err towards the bound. The power
// is 0 if the last size is not above the base.
func (s Slope) extrapolation() (power float64, how string) {
	if s.Points[len(s.Points)-1].Median() <= s.Base {
		return 0, FromLastStep
	}
	f := s.Fit()
	step := f.StepPowers[len(f.StepPowers)-1]
	if f.IsPowerLaw && f.Power >= step-1e-9 {
		return f.Power, FromFit
	}
	return step, FromLastStep
}

// ValueAt returns the value at a size above the measured ones: from the last size on, by the power
// of the fit, or by that of the last step if it is steeper or there is no power law. NaN if it
// cannot be determined.
func (s Slope) ValueAt(size float64) (value float64, how string) {
	last := s.Points[len(s.Points)-1]
	power, how := s.extrapolation()
	return s.Base + (last.Median()-s.Base)*math.Pow(size/last.Size, power), how
}

// SizeAtBound returns the size at which the value reaches the bound: between two measured sizes by
// the power between them, above them as in [Slope.ValueAt]. It is infinite if the value does not
// grow, and NaN if it cannot be determined. If the smallest size already exceeds the bound, the
// power of the first step is used downwards, where no size was measured.
func (s Slope) SizeAtBound() (size float64, how string) {
	rise := func(i int) float64 { return s.Points[i].Median() - s.Base }
	maxRise, n := s.Bound-s.Base, len(s.Points)
	if maxRise <= 0 {
		return 0, Interpolated
	}
	firstAbove := n // index from which on all sizes are above the bound
	for firstAbove > 0 && s.Points[firstAbove-1].Median() > s.Bound {
		firstAbove--
	}
	switch {
	case firstAbove == n:
		power, how := s.extrapolation()
		if power <= 0 {
			return math.Inf(1), how
		}
		return s.Points[n-1].Size * math.Pow(maxRise/rise(n-1), 1/power), how
	case firstAbove == 0:
		step := s.Fit().StepPowers[0]
		if step <= 0 || math.IsNaN(step) {
			return math.NaN(), FromFirstStep
		}
		return s.Points[0].Size * math.Pow(maxRise/rise(0), 1/step), FromFirstStep
	}
	a, b := s.Points[firstAbove-1].Size, s.Points[firstAbove].Size
	low := rise(firstAbove - 1)
	if low <= 0 { // no logarithm: a is the last size known to be within the bound
		return a, Interpolated
	}
	return a * math.Pow(b/a, math.Log(maxRise/low)/math.Log(rise(firstAbove)/low)), Interpolated
}

// ShareAtBound returns the share of the target at which the bound is reached, and how its size was
// determined. It is below 1 if the bound is reached before the target, and infinite or NaN
// as in [Slope.SizeAtBound].
func (s Slope) ShareAtBound() (share float64, how string) {
	size, how := s.SizeAtBound()
	return size / s.Target, how
}
