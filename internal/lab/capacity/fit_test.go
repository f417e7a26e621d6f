package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
)

// syntheticSlope returns a slope whose values are f(size), each changed by a random share of up to noise.
// Its bound is 1 and its target 1e6.
func syntheticSlope(noise float64, f func(size float64) float64) Slope {
	s := Slope{Name: "drawn", Target: 1e6, Bound: 1}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []float64{1000, 2000, 4000, 8000, 16000} {
		p := Point{Size: size}
		for range 5 {
			p.Values = append(p.Values, f(size)*(1+noise*(2*rng.Float64()-1)))
		}
		s.Points = append(s.Points, p)
	}
	return s
}

// checkNear fails the test if got differs from want by more than within, or is NaN.
func checkNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s: %v, not %v within %v", what, got, want, within)
	}
}

// A fit of values without noise must find their power and factor, and the value at the target and the size
// at the bound must follow from them.
func TestPowersAreFound(t *testing.T) {
	for _, power := range []float64{0.5, 1, 1.5, 2, 3} {
		s := syntheticSlope(0, func(x float64) float64 { return 3e-5 * math.Pow(x, power) })
		f := s.Fit()
		checkNear(t, "power", f.Power, power, 1e-9)
		checkNear(t, "standard error", f.StdErr, 0, 1e-9)
		checkNear(t, "factor", f.Factor, 3e-5, 1e-9)
		checkNear(t, "error at the omitted size", f.Error, 0, 1e-9)
		if !f.IsPowerLaw {
			t.Errorf("size^%v does not count as a power law, deviation %v", power, f.MaxDeviation)
		}
		at, how := s.ValueAt(1e6)
		checkNear(t, "value at the target over the true one", at/(3e-5*math.Pow(1e6, power)), 1, 1e-6)
		if how != FromFit {
			t.Errorf("by %s", how)
		}
		met, _ := s.SizeAtBound()
		checkNear(t, "value at the size of the bound", 3e-5*math.Pow(met, power), 1, 1e-6)
	}
}

// Without the subtraction, a large base would make a linear growth look like a low power.
func TestBaseIsSubtracted(t *testing.T) {
	s := syntheticSlope(0, func(x float64) float64 { return 20 + 0.002*x })
	s.Base, s.Bound = 20, 128
	f := s.Fit()
	checkNear(t, "power", f.Power, 1, 1e-9)
	at, _ := s.ValueAt(42000)
	checkNear(t, "value", at, 104, 1e-6)
	met, _ := s.SizeAtBound()
	checkNear(t, "size at the bound", met, 54000, 1e-3)
}

// Noise must show as a standard error. If it is in all repeats, it must not fail the criterion.
func TestNoiseIncreasesStdErr(t *testing.T) {
	f := syntheticSlope(0.2, func(x float64) float64 { return 1e-3 * x }).Fit()
	checkNear(t, "power", f.Power, 1, 0.2)
	if f.StdErr == 0 || !f.IsPowerLaw {
		t.Errorf("standard error %v, is a power law: %v", f.StdErr, f.IsPowerLaw)
	}
}

// A step, such as at 4,000 where a cache overflows, must not count as a power law, wherever it
// lies, the omitted size included. A fit of all sizes would give 29 at the target instead of the
// true 10.
func TestStepIsNoPowerLaw(t *testing.T) {
	for name, from := range map[string]float64{"in the middle": 3000, "before the omitted size": 12000} {
		s := syntheticSlope(0.02, func(x float64) float64 {
			if x > from {
				return 1e-5 * x
			}
			return 1e-6 * x
		})
		f := s.Fit()
		if f.IsPowerLaw {
			t.Errorf("%s: a step counts as a power law, deviation %v", name, f.MaxDeviation)
		}
		if _, how := s.ValueAt(1e6); how != FromLastStep {
			t.Errorf("%s: extrapolated by %s", name, how)
		}
	}
}

// A size that deviates by more than a factor of two must fail the criterion, however wide the
// repeats spread.
func TestNoiseDoesNotHideStep(t *testing.T) {
	s := syntheticSlope(0.7, func(x float64) float64 {
		if x > 12000 {
			return 2.5e-5 * x
		}
		return 1e-5 * x
	})
	if f := s.Fit(); f.IsPowerLaw {
		t.Errorf("a step of 2.5 times counts as a power law, deviation %v", f.MaxDeviation)
	}
}

// The extrapolation must use the last step if it is steeper than the fit.
func TestSteeperPowerIsUsed(t *testing.T) {
	s := syntheticSlope(0, func(x float64) float64 { return 2 + 0.002*x }) // a base that was not measured
	f := s.Fit()
	step := f.StepPowers[len(f.StepPowers)-1]
	if !f.IsPowerLaw || step <= f.Power {
		t.Fatalf("power %v (%v), last step %v", f.Power, f.IsPowerLaw, step)
	}
	at, how := s.ValueAt(1e6)
	checkNear(t, "value over the step's", at/(34*math.Pow(1e6/16000, step)), 1, 1e-9)
	if how != FromLastStep {
		t.Errorf("by %s", how)
	}
}

// A bound between two measured sizes must be interpolated between these, not taken from the fit.
func TestBoundAmongSizes(t *testing.T) {
	s := syntheticSlope(0, func(x float64) float64 { return x * x / 1e6 })
	s.Bound = 9
	met, how := s.SizeAtBound()
	checkNear(t, "size at the bound", met, 3000, 1e-6)
	if how != Interpolated {
		t.Errorf("by %s", how)
	}
	s.Bound = 0.25
	met, how = s.SizeAtBound()
	checkNear(t, "size at the bound, below all sizes", met, 500, 1e-6)
	if how != FromFirstStep {
		t.Errorf("by %s", how)
	}
}

// A value that does not grow, with or without a base, must never reach its bound.
func TestConstantValue(t *testing.T) {
	s := syntheticSlope(0, func(float64) float64 { return 0.5 })
	if met, _ := s.SizeAtBound(); !math.IsInf(met, 1) {
		t.Errorf("the bound is reached at %v", met)
	}
	s.Base = 0.5 // no median above the base: no logarithm, and no growth
	if f := s.Fit(); f.IsPowerLaw {
		t.Error("a value that is not above its base counts as a power law")
	}
	if at, how := s.ValueAt(1e6); at != 0.5 || how != FromLastStep {
		t.Errorf("%v at the target, by %s", at, how)
	}
	if met, _ := s.SizeAtBound(); !math.IsInf(met, 1) {
		t.Errorf("the value does not grow, and the bound is reached at %v", met)
	}
}

// A slope that is incomplete, or whose sizes are too few or too close for a fit, must not be stored.
func TestInvalidSlope(t *testing.T) {
	valid := syntheticSlope(0, func(x float64) float64 { return x })
	valid.Measures, valid.Way, valid.Command, valid.Commit, valid.Machine, valid.SizeOf, valid.Unit,
		valid.Source = "a", Virtual, "b", "c", "d", "e", "f", "g"
	if err := valid.check(); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Slope){
		"three sizes":     func(s *Slope) { s.Points = s.Points[:3] },
		"sizes too close": func(s *Slope) { s.Points = append([]Point{{Size: 900, Values: []float64{1}}}, s.Points...) },
		"no command":      func(s *Slope) { s.Command = "" },
		"no commit":       func(s *Slope) { s.Commit = "" },
		"a path as name":  func(s *Slope) { s.Name = "../x" },
		"no target":       func(s *Slope) { s.Target = 0 },
		"an unknown way":  func(s *Slope) { s.Way = "guess" },
		"no values":       func(s *Slope) { s.Points = append(s.Points[:4:4], Point{Size: 16000}) },
	} {
		s := valid
		invalidate(&s)
		if s.check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
