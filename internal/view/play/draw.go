package play

import (
	"time"

	"cometrack/internal/view"
)

// MaxAllowedSum is the largest allowed sum of shares: one rate, plus rounding errors.
const MaxAllowedSum = 1 + 1e-9

// RunRandomFaults runs a cluster for a duration and injects random faults. The same options give the same run. In one
// of three runs, by the seed, names are used twice; in the others senders also change their address and lose their
// state folders. Both at once could create two clusters that never hear of each other, which no sender could detect.
func RunRandomFaults(opts Options, d time.Duration) *World {
	w := New(opts)
	duplicates := opts.Seed%3 == 0
	randomMode := func() StartMode {
		if duplicates {
			return []StartMode{SameFolder, OldFolder}[w.rng.IntN(2)]
		}
		return StartMode(w.rng.IntN(int(OldFolder) + 1))
	}
	w.Run(time.Duration(w.rng.Int64N(int64(3 * opts.Lease))))
	for end := w.Now + d; w.Now < end; {
		if w.rng.IntN(3) > 0 { // else the next fault follows at once
			w.Run(time.Duration(w.rng.Int64N(int64(opts.Lease))))
		}
		i, k := w.rng.IntN(opts.Senders), w.rng.IntN(opts.Senders)
		p := w.Newest[i]
		switch w.rng.IntN(14) {
		case 0, 1:
			w.Kill(p)
		case 2, 3:
			if p.Running {
				w.Kill(p)
			}
			w.Start(i, randomMode())
		case 4:
			if !p.Running {
				w.Start(i, SameFolder)
			}
		case 5, 6:
			w.Pause(p, time.Duration(w.rng.Int64N(int64(4*opts.Lease))))
		case 7:
			w.Cut(i, k, true)
		case 8:
			w.Cut(i, k, true)
			w.Cut(k, i, true)
		case 9: // a partition in two
			split := w.rng.IntN(opts.Senders)
			for a := range opts.Senders {
				for b := range opts.Senders {
					if (a < split) != (b < split) {
						w.Cut(a, b, true)
					}
				}
			}
		case 10:
			w.SetLoss(i, k, w.rng.Float64())
		case 11:
			w.Heal()
		case 12:
			w.SetDelay(time.Duration(w.rng.Int64N(int64(opts.Lease / 4))))
		case 13:
			switch w.rng.IntN(4) {
			case 0: // a second process with the same name
				if duplicates {
					w.Start(i, randomMode())
				}
			case 1: // many killed at once
				for n := range opts.Senders * 4 / 10 {
					w.Kill(w.Newest[(i+n)%opts.Senders])
				}
			case 2:
				w.step(p, func() view.Actions { return p.Machine.Leave(p.clock(w)) })
			case 3: // an operator forgets a sender whose processes are dead or paused for longer than a lease
				if other := w.Newest[k]; !duplicates && w.stopped(other.Name) {
					w.step(p, func() view.Actions { actions, _ := p.Machine.Forget(p.clock(w), other.Name); return actions })
				}
			}
		}
	}
	return w
}

// stopped reports whether each process with a name is dead or has been paused for longer than a lease.
func (w *World) stopped(name string) bool {
	for _, p := range w.Running {
		if p.Name == name && !(p.Paused && w.Now-p.pausedAt > w.opts.Lease) {
			return false
		}
	}
	return true
}
