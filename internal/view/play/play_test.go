package play

import (
	"fmt"
	"testing"
	"time"

	"cometrack/internal/view"
)

// options returns the options of a cluster of n senders on a network without faults.
func options(seed uint64, n int) Options {
	return Options{Seed: seed, Senders: n, MinShareTotal: 0.1,
		Lease: 3 * time.Second, Interval: 300 * time.Millisecond, MaxClockDrift: 0.01,
		Delay: time.Millisecond, Jitter: 5 * time.Millisecond}
}

// The shares of all senders must never add up to more than one rate, whichever processes are killed, paused, cut off,
// started twice, moved to another address or deprived of their state folder, and whichever messages are lost.
func TestShareSum(t *testing.T) {
	runs := 400
	if testing.Short() {
		runs = 50
	}
	active := 0
	for seed := range uint64(runs) {
		o := options(seed, 2+int(seed%6))
		o.Guards = seed%2 == 0
		w := RunRandomFaults(o, time.Minute)
		if w.MaxSum > MaxAllowedSum {
			t.Fatalf("seed %d, %d senders: the shares add up to %.3f at %v", seed, o.Senders, w.MaxSum, w.MaxSumAt)
		}
		if w.MaxSum > 0.99 {
			active++
		}
	}
	if active < runs/2 {
		t.Errorf("a whole rate was in use in only %d of %d runs: they prove little", active, runs)
	}
}

// The check of TestShareSum must find planted faults.
func TestShareSumFindsFaults(t *testing.T) {
	for name, plant := range map[string]func(*Options){"lease ignored": func(o *Options) { o.IgnoreLease = true },
		"pause not detected": func(o *Options) { o.FrozenClock = true }} {
		found := 0
		for seed := range uint64(200) {
			o := options(seed, 2+int(seed%6))
			plant(&o)
			if RunRandomFaults(o, time.Minute).MaxSum > MaxAllowedSum {
				found++
			}
		}
		t.Logf("%s: found in %d of 200 runs", name, found)
		if found < 5 {
			t.Errorf("%s: found in %d of 200 runs", name, found)
		}
	}
}

// settle waits until the views have converged and the whole rate is in use.
func settle(t *testing.T, w *World) {
	t.Helper()
	if _, ok := w.Until(30*time.Second, w.Converged); !ok {
		dump(t, w)
		t.Fatal("the views have not converged after 30 s")
	}
	if took, ok := w.Until(10*time.Second, func() bool { return w.ShareSum() > 0.999 }); !ok {
		dump(t, w)
		t.Fatalf("the whole rate is not in use after %v: %.3f", took, w.ShareSum())
	}
}

// dump logs the view of each process.
func dump(t *testing.T, w *World) {
	for _, p := range w.Running {
		t.Logf("%+v", p.Machine.Status(p.clock(w)))
	}
}

// In each of these cases no running sender may be considered gone, and the whole rate must be in use again after the
// fault.
func TestFaults(t *testing.T) {
	all := func(n int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = i
		}
		return out
	}
	pairs := func(w *World, visit func(i, k int)) {
		for _, i := range all(len(w.Newest)) {
			for _, k := range all(len(w.Newest)) {
				if i != k {
					visit(i, k)
				}
			}
		}
	}
	cases := map[string]func(w *World){
		"one link cut": func(w *World) { w.Cut(0, 1, true); w.Run(20 * time.Second) },
		"loss 1%": func(w *World) {
			pairs(w, func(i, k int) { w.SetLoss(i, k, 0.01) })
			w.Run(60 * time.Second)
		},
		"loss 10%": func(w *World) {
			pairs(w, func(i, k int) { w.SetLoss(i, k, 0.1) })
			w.Run(60 * time.Second)
		},
		"loss 30%": func(w *World) {
			pairs(w, func(i, k int) { w.SetLoss(i, k, 0.3) })
			w.Run(60 * time.Second)
		},
		"one link lossy": func(w *World) { w.SetLoss(0, 1, 0.5); w.Run(60 * time.Second) },
		"delay":          func(w *World) { w.SetDelay(200 * time.Millisecond); w.Run(30 * time.Second) },
		"one sender hears nothing": func(w *World) {
			pairs(w, func(i, k int) { w.Cut(i, k, k == 0) })
			w.Run(20 * time.Second)
		},
		"ring": func(w *World) {
			pairs(w, func(i, k int) { w.Cut(i, k, k != (i+1)%len(w.Newest)) })
			w.Run(20 * time.Second)
		},
		"partition": func(w *World) {
			pairs(w, func(i, k int) { w.Cut(i, k, (i < 2) != (k < 2)) })
			w.Run(20 * time.Second)
		},
		"one-way partition": func(w *World) {
			pairs(w, func(i, k int) { w.Cut(i, k, i < 2 && k >= 2) })
			w.Run(20 * time.Second)
		},
		"fast clock": func(w *World) { w.SetClockRate(0, 1.01); w.Run(60 * time.Second) },
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
	cases["repeated pauses"] = func(w *World) {
		for range 20 {
			w.Pause(w.Newest[2], 3*time.Second)
			w.Run(6 * time.Second)
		}
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			w := New(options(3, 5))
			settle(t, w)
			changes := w.StateChanges
			fault(w)
			if w.GoneWhileRunning > 0 {
				t.Errorf("a running sender was considered gone %d times", w.GoneWhileRunning)
			}
			sum := w.ShareSum()
			w.Heal()
			settle(t, w)
			if w.MaxSum > MaxAllowedSum {
				t.Errorf("the shares add up to %.3f at %v", w.MaxSum, w.MaxSumAt)
			}
			t.Logf("%d changes of state; share sum at the end of the fault: %.2f", w.StateChanges-changes, sum)
		})
	}
}

// Killed senders must be detected soon, and the remaining ones, even a single one, must take over their shares. The
// killed ones must be able to return with their state folder, without it, and at another address.
func TestKills(t *testing.T) {
	for _, test := range []struct{ n, kill int }{{4, 3}, {4, 1}, {5, 2}, {20, 8}, {20, 19}} {
		for _, mode := range []StartMode{SameFolder, EmptyFolder, NewAddress, OldFolder} {
			w := New(options(uint64(test.n), test.n))
			settle(t, w)
			for _, p := range append([]*Process{}, w.Newest[:test.kill]...) {
				w.Kill(p)
			}
			took, ok := w.Until(30*time.Second, w.Converged)
			if !ok || took > 5*time.Second {
				t.Errorf("%+v: detected by all after %v, %v", test, took, ok)
			}
			back, ok := w.Until(20*time.Second, func() bool { return w.ShareSum() >= 0.9 })
			t.Logf("%d of %d killed: detected by all after %v, rate in use again after %v more", test.kill, test.n, took, back)
			if !ok {
				t.Errorf("%+v: %.2f in use %v later", test, w.ShareSum(), back)
			}
			for i := range test.kill {
				w.Start(i, mode)
			}
			settle(t, w)
			if w.MaxSum > MaxAllowedSum {
				t.Errorf("%+v, %v: the shares add up to %.3f at %v", test, mode, w.MaxSum, w.MaxSumAt)
			}
		}
	}
}

// A second process with the same name must be refused and must have no share, while the first keeps its share.
func TestDuplicateName(t *testing.T) {
	events := map[int]int{}
	var w *World
	var first *Process
	o := options(9, 4)
	o.Log = func(_ time.Duration, p *Process, e view.Event) {
		if first != nil && p.Name == first.Name && p.Machine.Status(p.clock(w)).Name == e.Name {
			events[p.Number]++
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
	if events[first.Number] == 0 || events[second.Number] == 0 || events[first.Number]+events[second.Number] > 20 {
		t.Errorf("events by process: %v", events)
	}
}
