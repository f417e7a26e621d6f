package play

import (
	"fmt"
	"testing"
	"time"

	"cometrack/internal/view"
)

func options(seed uint64, n int) Options {
	return Options{Seed: seed, Senders: n, MinShareTotal: 0.1, Lease: 3 * time.Second, Interval: 300 * time.Millisecond, MaxClockDrift: 0.01,
		Delay: time.Millisecond, Jitter: 5 * time.Millisecond}
}

// Whatever is killed, paused, cut, lost, moved, emptied or started twice, the parts
// of all senders add up to one rate at most, at every instant.
func TestSum(t *testing.T) {
	plays := 400
	if testing.Short() {
		plays = 50
	}
	active := 0
	for seed := range uint64(plays) {
		o := options(seed, 2+int(seed%6))
		o.Guards = seed%2 == 0
		w := RunRandomFaults(o, time.Minute)
		if w.MaxSum > MaxAllowedSum {
			t.Fatalf("seed %d, %d senders: the parts add up to %.3f at %v", seed, o.Senders, w.MaxSum, w.MaxSumAt)
		}
		if w.MaxSum > 0.99 {
			active++
		}
	}
	if active < plays/2 {
		t.Errorf("a whole rate was in use in %d of %d plays only: they prove little", active, plays)
	}
}

// The check finds planted faults.
func TestSumFindsFaults(t *testing.T) {
	for name, plant := range map[string]func(*Options){"lease left out": func(o *Options) { o.IgnoreLease = true },
		"pause not noticed": func(o *Options) { o.FrozenClock = true }} {
		found := 0
		for seed := range uint64(200) {
			o := options(seed, 2+int(seed%6))
			plant(&o)
			if RunRandomFaults(o, time.Minute).MaxSum > MaxAllowedSum {
				found++
			}
		}
		t.Logf("%s: found in %d of 200 plays", name, found)
		if found < 5 {
			t.Errorf("%s: found in %d of 200 plays", name, found)
		}
	}
}

func settle(t *testing.T, w *World) {
	t.Helper()
	if _, ok := w.Until(30*time.Second, w.Converged); !ok {
		dump(t, w)
		t.Fatal("the views are not equal after 30 s")
	}
	if took, ok := w.Until(10*time.Second, func() bool { return w.ShareSum() > 0.999 }); !ok {
		dump(t, w)
		t.Fatalf("the rate is not used up after %v: %.3f", took, w.ShareSum())
	}
}

func dump(t *testing.T, w *World) {
	for _, p := range w.Running {
		t.Logf("%+v", p.Machine.Status(p.local(w)))
	}
}

// In each of these cases no living sender is taken for gone, and the parts come back
// to one rate once it is over.
func TestCases(t *testing.T) {
	all := func(n int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = i
		}
		return out
	}
	pairs := func(w *World, f func(i, k int)) {
		for _, i := range all(len(w.Newest)) {
			for _, k := range all(len(w.Newest)) {
				if i != k {
					f(i, k)
				}
			}
		}
	}
	cases := map[string]func(w *World){
		"lone cut": func(w *World) { w.Cut(0, 1, true); w.Run(20 * time.Second) },
		"loss 1%":  func(w *World) { pairs(w, func(i, k int) { w.SetLoss(i, k, 0.01) }); w.Run(60 * time.Second) },
		"loss 10%": func(w *World) { pairs(w, func(i, k int) { w.SetLoss(i, k, 0.1) }); w.Run(60 * time.Second) },
		"loss 30%": func(w *World) { pairs(w, func(i, k int) { w.SetLoss(i, k, 0.3) }); w.Run(60 * time.Second) },
		"one link": func(w *World) { w.SetLoss(0, 1, 0.5); w.Run(60 * time.Second) },
		"late":     func(w *World) { w.SetDelay(200 * time.Millisecond); w.Run(30 * time.Second) },
		"unheard":  func(w *World) { pairs(w, func(i, k int) { w.Cut(i, k, k == 0) }); w.Run(20 * time.Second) },
		"ring": func(w *World) {
			pairs(w, func(i, k int) { w.Cut(i, k, k != (i+1)%len(w.Newest)) })
			w.Run(20 * time.Second)
		},
		"two":       func(w *World) { pairs(w, func(i, k int) { w.Cut(i, k, (i < 2) != (k < 2)) }); w.Run(20 * time.Second) },
		"zone away": func(w *World) { pairs(w, func(i, k int) { w.Cut(i, k, i < 2 && k >= 2) }); w.Run(20 * time.Second) },
		"fast":      func(w *World) { w.SetClockRate(0, 1.01); w.Run(60 * time.Second) },
	}
	for _, d := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second, 30 * time.Second} {
		cases[fmt.Sprint("pause of one for ", d)] = func(w *World) { w.Pause(w.Newest[1], d); w.Run(d + time.Second) }
		cases[fmt.Sprint("pause of half for ", d)] = func(w *World) {
			for _, p := range w.Newest[:3] {
				w.Pause(p, d)
			}
			w.Run(d + time.Second)
		}
	}
	cases["ten times a minute"] = func(w *World) {
		for range 20 {
			w.Pause(w.Newest[2], 3*time.Second)
			w.Run(6 * time.Second)
		}
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			w := New(options(3, 5))
			settle(t, w)
			flaps := w.StateChanges
			f(w)
			if w.GoneWhileRunning > 0 {
				t.Errorf("%d times a living sender was taken for gone", w.GoneWhileRunning)
			}
			sum := w.ShareSum()
			w.Heal()
			settle(t, w)
			if w.MaxSum > MaxAllowedSum {
				t.Errorf("the parts add up to %.3f at %v", w.MaxSum, w.MaxSumAt)
			}
			t.Logf("%d changes of state; in use at the end of it: %.2f", w.StateChanges-flaps, sum)
		})
	}
}

// Those who are killed are known to be gone soon, and their part is taken over by
// who is left, be it one; they come back with their folders, without, and elsewhere.
func TestDeaths(t *testing.T) {
	for _, x := range []struct{ n, kill int }{{4, 3}, {4, 1}, {5, 2}, {20, 8}, {20, 19}} {
		for _, how := range []StartMode{SameFolder, EmptyFolder, NewAddress, OldFolder} {
			w := New(options(uint64(x.n), x.n))
			settle(t, w)
			for _, p := range append([]*Process{}, w.Newest[:x.kill]...) {
				w.Kill(p)
			}
			took, ok := w.Until(30*time.Second, w.Converged)
			if !ok || took > 5*time.Second {
				t.Errorf("%+v: known by all after %v, %v", x, took, ok)
			}
			back, ok := w.Until(20*time.Second, func() bool { return w.ShareSum() >= 0.9 })
			t.Logf("%d of %d killed: known by all after %v, rate in use again after %v more", x.kill, x.n, took, back)
			if !ok {
				t.Errorf("%+v: %.2f in use %v later", x, w.ShareSum(), back)
			}
			for i := range x.kill {
				w.Start(i, how)
			}
			settle(t, w)
			if w.MaxSum > MaxAllowedSum {
				t.Errorf("%+v, %v: the parts add up to %.3f at %v", x, how, w.MaxSum, w.MaxSumAt)
			}
		}
	}
}

// A second process with a name is refused and sends nothing; the first goes on.
func TestNameTwice(t *testing.T) {
	said := map[int]int{}
	var w *World
	var first *Process
	o := options(9, 4)
	o.Log = func(_ time.Duration, p *Process, e view.Event) {
		if first != nil && p.Name == first.Name && p.Machine.Status(p.local(w)).Name == e.Name {
			said[p.Number]++
		}
	}
	w = New(o)
	settle(t, w)
	first = w.Newest[1]
	second := w.Start(1, SameFolder)
	w.Run(30 * time.Second)
	if a, b := w.ShareOf(first), w.ShareOf(second); a < 0.2 || b != 0 {
		t.Errorf("the first has %.2f, the second %.2f", a, b)
	}
	if said[first.Number] == 0 || said[second.Number] == 0 || said[first.Number]+said[second.Number] > 20 {
		t.Errorf("said: %v", said)
	}
}
