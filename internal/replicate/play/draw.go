package play

import (
	"fmt"
	"time"
)

// Outcome is what came of a play.
type Outcome struct {
	EarlyWaits, LongWaits, MissingWaits int
	ConvergenceTime                     time.Duration // after the faults until all copies are equal
	NotConverged                        bool          // they did not become so
	CatchUpTime                         time.Duration // the longest until one that returned after the faults had caught up
	Repairs, InvalidMessages            int
}

// Violation says what of an outcome must not be; empty if nothing.
func (o Outcome) Violation() string {
	switch {
	case o.EarlyWaits > 0:
		return fmt.Sprintf("%d waits ended early in a copy", o.EarlyWaits)
	case o.LongWaits > 0:
		return fmt.Sprintf("%d waits lasted too long in a copy", o.LongWaits)
	case o.NotConverged:
		return "the copies did not become equal"
	case o.MissingWaits > 0:
		return fmt.Sprintf("%d waits unknown to one that says it has caught up", o.MissingWaits)
	case o.Repairs > 0:
		return fmt.Sprintf("%d copies with equal numbers differed", o.Repairs)
	case o.InvalidMessages > 0:
		return fmt.Sprintf("%d messages that made no sense", o.InvalidMessages)
	}
	return ""
}

// RunRandom plays random faults for a span while partners tell waits, then heals all, and
// has one process start anew and one be paused. The same options give the same play.
func RunRandom(opts Options, d time.Duration) Outcome {
	w := New(opts)
	n := opts.Senders
	for end := w.Now + d; w.Now < end; {
		w.Run(time.Duration(w.rng.Int64N(int64(2 * opts.DigestInterval))))
		i, k := w.rng.IntN(n), w.rng.IntN(n)
		switch w.rng.IntN(12) {
		case 0, 1, 2, 3:
			w.PublishWait(i, fmt.Sprint("e", w.rng.IntN(5)), opts.DigestInterval+time.Duration(w.rng.Int64N(int64(80*opts.DigestInterval))))
		case 4:
			if w.rng.IntN(2) == 0 {
				w.Kill(i)
			}
		case 5:
			if !w.Procs[i].Running {
				w.Start(i)
			}
		case 6:
			w.Pause(i, time.Duration(w.rng.Int64N(int64(20*opts.DigestInterval))))
		case 7:
			w.Cut(i, k, true)
		case 8:
			w.SetLoss(i, k, w.rng.Float64())
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
					w.SetLoss(a, b, 0.3)
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
	w.Run(20 * opts.DigestInterval) // those that are paused go on
	var o Outcome
	took, ok := w.Until(60*opts.DigestInterval, w.Converged)
	o.ConvergenceTime, o.NotConverged = took, !ok
	for i := range 3 {
		w.PublishWait(i%n, fmt.Sprint("last", i), 200*opts.DigestInterval)
	}
	w.Run(10 * opts.DigestInterval)
	told := w.Now
	back := []int{w.rng.IntN(n)}
	w.Start(back[0])
	if n > 2 { // of two, the one who starts would have nobody to ask
		back = append(back, (back[0]+1)%n)
		w.Pause(back[1], 10*opts.DigestInterval)
	}
	for range 30 * int(opts.DigestInterval/(2*time.Millisecond)) {
		w.Run(2 * time.Millisecond)
		o.MissingWaits += w.CountMissing(told)
	}
	w.Check()
	for _, i := range back {
		if p := w.Procs[i]; p.CaughtUpAt > 0 {
			o.CatchUpTime = max(o.CatchUpTime, p.CaughtUpAt-told)
		}
	}
	o.EarlyWaits, o.LongWaits = w.EarlyWaits, w.LongWaits
	for _, p := range w.Procs {
		o.Repairs += p.Machine.Replica().Repairs
		o.InvalidMessages += p.Machine.InvalidMessages
	}
	return o
}
