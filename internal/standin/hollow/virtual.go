package hollow

import (
	"slices"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/view"
	"cometrack/internal/view/play"
)

// Settings of the senders and links in virtual time.
const (
	virtualDelay         = time.Millisecond
	virtualJitter        = 5 * time.Millisecond
	virtualMinShareTotal = 0.1 // the default of package config
	typicalAddr          = "127.16.1.99:7946"
)

// world is a set of senders in virtual time. It runs package view alone and checks the sum of the
// shares at every instant.
type world struct{ *play.World }

func newWorld(o Options) *world {
	w := &world{play.New(play.Options{Seed: o.Seed, Senders: o.Senders, MinShareTotal: virtualMinShareTotal,
		Lease: o.Lease, Interval: o.Lease / config.HeartbeatsPerLease, MaxClockDrift: o.Drift,
		Delay: virtualDelay, Jitter: virtualJitter})}
	for i := range w.Newest {
		if o.ClockRate != nil && o.ClockRate(i) > 0 {
			w.SetClockRate(i, o.ClockRate(i))
		}
	}
	w.SizeOf = func(m *view.Message) int {
		whole := *m // with addresses, a zone and a version of the same length as over sockets
		whole.Addr, whole.Zone, whole.Version, whole.PeerReports = typicalAddr, "z0", version,
			slices.Clone(m.PeerReports)
		for i := range whole.PeerReports {
			whole.PeerReports[i].Addr = typicalAddr
		}
		size, _ := cluster.PacketSize(&whole) // a message of the view can always be encoded
		return size + udpHeaderBytes
	}
	return w
}

func (w *world) size() int          { return len(w.Newest) }
func (w *world) now() time.Duration { return w.Now }

func (w *world) run(d time.Duration, look func()) {
	for end := w.Now + d; w.Now < end; {
		w.Run(min(sampleInterval, end-w.Now))
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

func (w *world) shares(out []float64) {
	for i, p := range w.Newest {
		out[i] = -1
		if p.Running {
			out[i] = w.ShareOf(p)
		}
	}
}

func (w *world) counts(out []Count) {
	for i, t := range w.Traffic {
		out[i] = Count{DatagramsOut: t.Out, DatagramsIn: t.In, BytesOut: t.OutBytes, BytesIn: t.InBytes}
	}
}

func (w *world) summarizeViews() viewSummary {
	return viewSummary{agree: w.Converged(), falselyGone: w.HeardAfterGone}
}

func (w *world) close() {}
