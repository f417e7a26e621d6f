package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
)

// drawn is a slope whose values a function gives, with noise of a share.
func drawn(noise float64, f func(size float64) float64) Slope {
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

func near(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s: %v, not %v within %v", what, got, want, within)
	}
}

func TestPowersAreFound(t *testing.T) {
	for _, power := range []float64{0.5, 1, 1.5, 2, 3} {
		s := drawn(0, func(x float64) float64 { return 3e-5 * math.Pow(x, power) })
		f := s.Fit()
		near(t, "power", f.Power, power, 1e-9)
		near(t, "spread", f.Spread, 0, 1e-9)
		near(t, "factor", f.Factor, 3e-5, 1e-9)
		near(t, "error of the size left out", f.Error, 0, 1e-9)
		if !f.IsPower {
			t.Errorf("size^%v counts as no power, worst %v", power, f.Worst)
		}
		at, how := s.At(1e6)
		near(t, "value at target over the true one", at/(3e-5*math.Pow(1e6, power)), 1, 1e-6)
		if how != ByFit {
			t.Errorf("by %s", how)
		}
		met, _ := s.Met()
		near(t, "value where the bound is met", 3e-5*math.Pow(met, power), 1, 1e-6)
	}
}

func TestBaseIsTakenOff(t *testing.T) {
	s := drawn(0, func(x float64) float64 { return 20 + 0.002*x })
	s.Base, s.Bound = 20, 128
	f := s.Fit()
	near(t, "power", f.Power, 1, 1e-9)
	at, _ := s.At(42000)
	near(t, "value", at, 104, 1e-6)
	met, _ := s.Met()
	near(t, "met at", met, 54000, 1e-3)
}

func TestNoiseWidensTheSpread(t *testing.T) {
	f := drawn(0.2, func(x float64) float64 { return 1e-3 * x }).Fit()
	near(t, "power", f.Power, 1, 0.2)
	if f.Spread == 0 || !f.IsPower {
		t.Errorf("spread %v, is a power: %v", f.Spread, f.IsPower)
	}
}

// A cliff at 4,000: what fits a cache costs nearly nothing. Where it lies, left out
// size included, the line is bent; a fit of all would say 29 at the target in place
// of the 10 that it is.
func TestCliffIsNoPower(t *testing.T) {
	for name, from := range map[string]float64{"in the midst": 3000, "before the size left out": 12000} {
		s := drawn(0.02, func(x float64) float64 {
			if x > from {
				return 1e-5 * x
			}
			return 1e-6 * x
		})
		f := s.Fit()
		if f.IsPower {
			t.Errorf("%s: a cliff counts as a power, worst %v", name, f.Worst)
		}
		if _, how := s.At(1e6); how != ByStep {
			t.Errorf("%s: what lies beyond is said by %s", name, how)
		}
	}
}

// However wide the repeats spread, a size that lies off twofold bends the line.
func TestNoiseHidesNoCliff(t *testing.T) {
	s := drawn(0.7, func(x float64) float64 {
		if x > 12000 {
			return 2.5e-5 * x
		}
		return 1e-5 * x
	})
	if f := s.Fit(); f.IsPower {
		t.Errorf("a step of 2.5 times counts as a power, worst %v", f.Worst)
	}
}

// Of a fit and a last step that is steeper the latter says what lies beyond.
func TestSteeperIsTaken(t *testing.T) {
	s := drawn(0, func(x float64) float64 { return 2 + 0.002*x }) // as if the base had not been measured
	f := s.Fit()
	step := f.Steps[len(f.Steps)-1]
	if !f.IsPower || step <= f.Power {
		t.Fatalf("power %v (%v), last step %v", f.Power, f.IsPower, step)
	}
	at, how := s.At(1e6)
	near(t, "value over the step's", at/(34*math.Pow(1e6/16000, step)), 1, 1e-9)
	if how != ByStep {
		t.Errorf("by %s", how)
	}
}

// What lies between two measured sizes is said by these and not by the fit.
func TestBoundAmongSizes(t *testing.T) {
	s := drawn(0, func(x float64) float64 { return x * x / 1e6 })
	s.Bound = 9
	met, how := s.Met()
	near(t, "met at", met, 3000, 1e-6)
	if how != ByMeasure {
		t.Errorf("by %s", how)
	}
	s.Bound = 0.25
	met, how = s.Met()
	near(t, "met below all sizes at", met, 500, 1e-6)
	if how != ByFirst {
		t.Errorf("by %s", how)
	}
}

func TestWhatDoesNotGrow(t *testing.T) {
	s := drawn(0, func(float64) float64 { return 0.5 })
	if met, _ := s.Met(); !math.IsInf(met, 1) {
		t.Errorf("the bound is met at %v", met)
	}
	s.Base = 0.5 // nothing above it: no logarithm, and flat
	if f := s.Fit(); f.IsPower {
		t.Error("a value that is not above its base counts as a power")
	}
	if at, how := s.At(1e6); at != 0.5 || how != ByStep {
		t.Errorf("%v is said of the target, by %s", at, how)
	}
	if met, _ := s.Met(); !math.IsInf(met, 1) {
		t.Errorf("above its base it does not rise, and the bound is met at %v", met)
	}
}

func TestSlopeThatLacksSomething(t *testing.T) {
	whole := drawn(0, func(x float64) float64 { return x })
	whole.Measures, whole.Way, whole.Command, whole.Commit, whole.Machine, whole.SizeOf, whole.Unit, whole.From = "a", Virtual, "b", "c", "d", "e", "f", "g"
	if err := whole.check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Slope){
		"three sizes":     func(s *Slope) { s.Points = s.Points[:3] },
		"sizes too close": func(s *Slope) { s.Points = append([]Point{{Size: 900, Values: []float64{1}}}, s.Points...) },
		"no command":      func(s *Slope) { s.Command = "" },
		"no commit":       func(s *Slope) { s.Commit = "" },
		"a path for name": func(s *Slope) { s.Name = "../x" },
		"no target":       func(s *Slope) { s.Target = 0 },
		"a strange way":   func(s *Slope) { s.Way = "guess" },
		"no values":       func(s *Slope) { s.Points = append(s.Points[:4:4], Point{Size: 16000}) },
	} {
		s := whole
		spoil(&s)
		if s.check() == nil {
			t.Errorf("%s: nothing is said", name)
		}
	}
}
