package hollow

import (
	"slices"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/view"
	"cometrack/internal/view/play"
)

// Delays between two senders in virtual time.
const (
	virtualDelay  = time.Millisecond
	virtualJitter = 5 * time.Millisecond
	virtualLeast  = 0.1 // as package config has it if a file says nothing
	likeAddr      = "127.16.1.99:7946"
)

// world is senders in virtual time: package view alone, and at every instant the sum
// of their parts.
type world struct{ *play.World }

func newWorld(o Options) *world {
	w := &world{play.New(play.Options{Seed: o.Seed, Senders: o.Senders, MinShareTotal: virtualLeast, Lease: o.Lease, Interval: o.Lease / config.HeartbeatsPerLease, MaxClockDrift: o.Drift,
		Delay: virtualDelay, Jitter: virtualJitter})}
	for i := range w.Newest {
		if o.Pace != nil && o.Pace(i) > 0 {
			w.SetClockRate(i, o.Pace(i))
		}
	}
	w.SizeOf = func(m *view.Message) int {
		whole := *m // with addresses, a zone and a version as long as those of hollow senders
		whole.Addr, whole.Zone, whole.Version, whole.PeerReports = likeAddr, "z0", version, slices.Clone(m.PeerReports)
		for i := range whole.PeerReports {
			whole.PeerReports[i].Addr = likeAddr
		}
		size, _ := cluster.PacketSize(&whole) // what a machine has made can be written
		return size + udpHead
	}
	return w
}

func (w *world) size() int          { return len(w.Newest) }
func (w *world) now() time.Duration { return w.Now }

func (w *world) run(d time.Duration, look func()) {
	for end := w.Now + d; w.Now < end; {
		w.Run(min(lookEvery, end-w.Now))
		look()
	}
}

func (w *world) start(list []int) error {
	for _, i := range list {
		if !w.Newest[i].Running {
			w.Start(i, play.SameFolder)
		}
	}
	return nil
}

func (w *world) kill(list []int) {
	for _, i := range list {
		w.Kill(w.Newest[i])
	}
}

func (w *world) cut(from, to int, cut bool) { w.Cut(from, to, cut) }

func (w *world) parts(out []float64) {
	for i, p := range w.Newest {
		out[i] = -1
		if p.Running {
			out[i] = w.ShareOf(p)
		}
	}
}

func (w *world) counts(out []Count) {
	for i, t := range w.Traffic {
		out[i] = Count{Out: t.Out, In: t.In, OutBytes: t.OutBytes, InBytes: t.InBytes}
	}
}

func (w *world) believes() belief { return belief{agree: w.Converged(), wrong: w.HeardAfterGone} }

func (w *world) close() {}
