package play

import (
	"fmt"
	"time"
)

// Outcome is what came of a play.
type Outcome struct {
	Early, Long, Blind int
	Equal              time.Duration // after the faults until all copies are equal
	Never              bool          // they did not become so
	Caught             time.Duration // the longest until one that returned after the faults had caught up
	Repairs, Forged    int
}

// Bad says what of an outcome must not be; empty if nothing.
func (o Outcome) Bad() string {
	switch {
	case o.Early > 0:
		return fmt.Sprintf("%d waits ended early in a copy", o.Early)
	case o.Long > 0:
		return fmt.Sprintf("%d waits lasted too long in a copy", o.Long)
	case o.Never:
		return "the copies did not become equal"
	case o.Blind > 0:
		return fmt.Sprintf("%d waits unknown to one that says it has caught up", o.Blind)
	case o.Repairs > 0:
		return fmt.Sprintf("%d copies with equal numbers differed", o.Repairs)
	case o.Forged > 0:
		return fmt.Sprintf("%d messages that made no sense", o.Forged)
	}
	return ""
}

// Draw plays random faults for a span while partners tell waits, then heals all, and
// has one process start anew and one be paused. The same options give the same play.
func Draw(opts Options, d time.Duration) Outcome {
	w := New(opts)
	n := opts.Senders
	for end := w.Now + d; w.Now < end; {
		w.Run(time.Duration(w.rng.Int64N(int64(2 * opts.Every))))
		i, k := w.rng.IntN(n), w.rng.IntN(n)
		switch w.rng.IntN(12) {
		case 0, 1, 2, 3:
			w.Wait(i, fmt.Sprint("e", w.rng.IntN(5)), opts.Every+time.Duration(w.rng.Int64N(int64(80*opts.Every))))
		case 4:
			if w.rng.IntN(2) == 0 {
				w.Kill(i)
			}
		case 5:
			if !w.Procs[i].Running {
				w.Start(i)
			}
		case 6:
			w.Pause(i, time.Duration(w.rng.Int64N(int64(20*opts.Every))))
		case 7:
			w.Cut(i, k, true)
		case 8:
			w.Lose(i, k, w.rng.Float64())
		case 9: // two pieces
			at := w.rng.IntN(n)
			for a := range n {
				for b := range n {
					if (a < at) != (b < at) {
						w.Cut(a, b, true)
					}
				}
			}
		case 10:
			w.Heal()
		case 11: // all lose some
			for a := range n {
				for b := range n {
					w.Lose(a, b, 0.3)
				}
			}
		}
		w.Check()
	}
	w.Heal()
	for i, p := range w.Procs {
		if !p.Running {
			w.Start(i)
		}
	}
	w.Run(20 * opts.Every) // those that are paused go on
	var o Outcome
	took, ok := w.Until(60*opts.Every, w.Equal)
	o.Equal, o.Never = took, !ok
	for i := range 3 {
		w.Wait(i%n, fmt.Sprint("last", i), 200*opts.Every)
	}
	w.Run(10 * opts.Every)
	told := w.Now
	back := []int{w.rng.IntN(n)}
	w.Start(back[0])
	if n > 2 { // of two, the one who starts would have nobody to ask
		back = append(back, (back[0]+1)%n)
		w.Pause(back[1], 10*opts.Every)
	}
	for range 30 * int(opts.Every/(2*time.Millisecond)) {
		w.Run(2 * time.Millisecond)
		o.Blind += w.Lack(told)
	}
	w.Check()
	for _, i := range back {
		if p := w.Procs[i]; p.Caught > 0 {
			o.Caught = max(o.Caught, p.Caught-told)
		}
	}
	o.Early, o.Long = w.Early, w.Long
	for _, p := range w.Procs {
		o.Repairs += p.Machine.Copy().Repairs
		o.Forged += p.Machine.Forged
	}
	return o
}
