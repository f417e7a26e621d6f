package hollow

import (
	"slices"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/view"
	"cometrack/internal/view/play"
)

// Settings of the senders and links in virtual time. virtualMinShareTotal is the fraction of each rate that
// is divided evenly into minimum shares, which senders may use while they are cut off.
const (
	virtualDelay         = time.Millisecond     // least delay of a message between senders
	virtualJitter        = 5 * time.Millisecond // bound of the random addition to it
	virtualMinShareTotal = 0.1                  // the default of package config
	typicalAddr          = "127.16.1.99:7946"   // as long as most over sockets, for the size of messages
)

// world is a set of senders in virtual time. It runs package view alone and checks the sum of the
// shares at every instant.
type world struct{ *play.World }

// newWorld creates a world whose senders are running already. The clock rate of Options holds for the
// first process of each sender; after a restart it is random within the drift.
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

// size returns the number of senders, whether they are running or not.
func (w *world) size() int { return len(w.Newest) }

// now returns the virtual time since the start.
func (w *world) now() time.Duration { return w.Now }

// run lets d pass in virtual time and calls look every sampleInterval.
func (w *world) run(d time.Duration, look func()) {
	for end := w.Now + d; w.Now < end; {
		w.Run(min(sampleInterval, end-w.Now))
		look()
	}
}

// start starts those of the senders with the given indexes that are not running. It returns no error.
func (w *world) start(list []int) error {
	for _, i := range list {
		if !w.Newest[i].Running {
			w.Start(i, play.SameFolder)
		}
	}
	return nil
}

// kill ends the newest processes of the senders with the given indexes.
func (w *world) kill(list []int) {
	for _, i := range list {
		w.Kill(w.Newest[i])
	}
}

// cut cuts or restores the link from one sender to another.
func (w *world) cut(from, to int, cut bool) { w.Cut(from, to, cut) }

// shares stores the share of each rate that each sender uses now; -1 for one that is not running.
func (w *world) shares(out []float64) {
	for i, p := range w.Newest {
		out[i] = -1
		if p.Running {
			out[i] = w.ShareOf(p)
		}
	}
}

// counts stores the traffic of each sender since its first start. There are no probes and facts.
func (w *world) counts(out []Count) {
	for i, t := range w.Traffic {
		out[i] = Count{DatagramsOut: t.Out, DatagramsIn: t.In, BytesOut: t.OutBytes, BytesIn: t.InBytes}
	}
}

// summarizeViews returns whether the views agree and how many incarnations were falsely considered gone.
func (w *world) summarizeViews() viewSummary {
	return viewSummary{agree: w.Converged(), falselyGone: w.HeardAfterGone}
}

// close does nothing: a world holds no resources.
func (w *world) close() {}
