package play

import (
	"fmt"
	"time"
)

// Outcome is the result of a random simulation.
type Outcome struct {
	EarlyWaits, LongWaits, MissingWaits int           // see the fields of World
	ConvergenceTime                     time.Duration // from the end of the faults until all replicas are equal
	NotConverged                        bool          // the replicas did not become equal
	CatchUpTime                         time.Duration // longest time to catch up after the final restart or pause
	Repairs, InvalidMessages            int
}

// Violation describes the first invariant that was violated; it is empty if none was.
func (o Outcome) Violation() string {
	switch {
	case o.EarlyWaits > 0:
		return fmt.Sprintf("%d waits ended early in a replica", o.EarlyWaits)
	case o.LongWaits > 0:
		return fmt.Sprintf("%d waits lasted too long in a replica", o.LongWaits)
	case o.NotConverged:
		return "the replicas did not converge"
	case o.MissingWaits > 0:
		return fmt.Sprintf("%d waits missing in a replica that had caught up", o.MissingWaits)
	case o.Repairs > 0:
		return fmt.Sprintf("%d replicas with equal watermarks differed", o.Repairs)
	case o.InvalidMessages > 0:
		return fmt.Sprintf("%d invalid messages", o.InvalidMessages)
	}
	return ""
}

// RunRandom runs a simulation with random faults for d while senders publish waits. It then
// heals all links, restarts one process and pauses another. The same options give the same
// run.
func RunRandom(opts Options, d time.Duration) Outcome {
	w := New(opts)
	n := opts.Senders
	for end := w.Now + d; w.Now < end; {
		w.Run(time.Duration(w.rng.Int64N(int64(2 * opts.DigestInterval))))
		i, k := w.rng.IntN(n), w.rng.IntN(n)
		switch w.rng.IntN(12) {
		case 0, 1, 2, 3:
			w.PublishWait(i, fmt.Sprint("e", w.rng.IntN(5)),
				opts.DigestInterval+time.Duration(w.rng.Int64N(int64(80*opts.DigestInterval))))
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
		case 9: // partition into two parts
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
		case 11: // loss on all links
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
	w.Run(20 * opts.DigestInterval) // pauses end
	var o Outcome
	took, ok := w.Until(60*opts.DigestInterval, w.Converged)
	o.ConvergenceTime, o.NotConverged = took, !ok
	for i := range 3 {
		w.PublishWait(i%n, fmt.Sprint("last", i), 200*opts.DigestInterval)
	}
	w.Run(10 * opts.DigestInterval)
	published := w.Now
	restarted := []int{w.rng.IntN(n)}
	w.Start(restarted[0])
	if n > 2 { // of two senders, the restarted one would have no peer to pull from
		restarted = append(restarted, (restarted[0]+1)%n)
		w.Pause(restarted[1], 10*opts.DigestInterval)
	}
	for range 30 * int(opts.DigestInterval/(2*time.Millisecond)) {
		w.Run(2 * time.Millisecond)
		o.MissingWaits += w.CountMissing(published)
	}
	w.Check()
	for _, i := range restarted {
		if p := w.Procs[i]; p.CaughtUpAt > 0 {
			o.CatchUpTime = max(o.CatchUpTime, p.CaughtUpAt-published)
		}
	}
	o.EarlyWaits, o.LongWaits = w.EarlyWaits, w.LongWaits
	for _, p := range w.Procs {
		o.Repairs += p.Machine.Replica().Repairs
		o.InvalidMessages += p.Machine.InvalidMessages
	}
	return o
}
