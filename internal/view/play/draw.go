package play

import (
	"time"

	"cometrack/internal/view"
)

// MaxAllowedSum is what a sum of parts may be, rounding apart.
const MaxAllowedSum = 1 + 1e-9

// RunRandomFaults plays random faults over a fleet for a span. The same options give the same
// play. In one of three plays names are used twice; in the others senders also move
// and lose their folders. Both at once can make two fleets that never hear of each
// other, which nobody could tell.
func RunRandomFaults(opts Options, d time.Duration) *World {
	w := New(opts)
	doubles := opts.Seed%3 == 0
	how := func() StartMode {
		if doubles {
			return []StartMode{SameFolder, OldFolder}[w.rng.IntN(2)]
		}
		return StartMode(w.rng.IntN(int(OldFolder) + 1))
	}
	w.Run(time.Duration(w.rng.Int64N(int64(3 * opts.Lease))))
	for end := w.Now + d; w.Now < end; {
		if w.rng.IntN(3) > 0 { // else one fault comes right on another
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
			w.Start(i, how())
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
		case 9: // two pieces
			at := w.rng.IntN(opts.Senders)
			for a := range opts.Senders {
				for b := range opts.Senders {
					if (a < at) != (b < at) {
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
			case 0: // a second process of a name
				if doubles {
					w.Start(i, how())
				}
			case 1: // many at once
				for n := range opts.Senders * 4 / 10 {
					w.Kill(w.Newest[(i+n)%opts.Senders])
				}
			case 2:
				w.do(p, func() view.Actions { return p.Machine.Leave(p.local(w)) })
			case 3: // an operator has one forgotten that is dead or has long been paused
				if x := w.Newest[k]; !doubles && w.stands(x.Name) {
					w.do(p, func() view.Actions { r, _ := p.Machine.Forget(p.local(w), x.Name); return r })
				}
			}
		}
	}
	return w
}

// stands says whether each process with a name is dead or has long been paused.
func (w *World) stands(name string) bool {
	for _, p := range w.Running {
		if p.Name == name && !(p.Paused && w.Now-p.pausedAt > w.opts.Lease) {
			return false
		}
	}
	return true
}
