package play

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cometrack/internal/config"
	"cometrack/internal/view"
)

const (
	leastTries     = 2                // a bound that one try fits into is missed with the first lost message
	holder         = 1                // index of the sender whose messages are lost
	seedsPerSize   = 5                // runs for each size of cluster: the phases of the heartbeats differ
	runTime        = 8                // of a cluster before messages are lost, and of each loss, in leases
	pollInterval   = time.Millisecond // how often the shares are looked at
	wholeRate      = 0.999            // smallest sum of shares that counts as the whole rate
	heardIntervals = 6                // intervals for which a peer counts as heard after a message
	fast, slow     = 1, -1            // clock of the holder, in limits of the drift; the others are opposite
)

// triesSettings are the default and the extremes that package config accepts, and slow links.
var triesSettings = map[string]Options{
	"default":        {Lease: 3 * time.Second, Delay: time.Millisecond, MaxClockDrift: 0.01},
	"shortest lease": {Lease: 500 * time.Millisecond, Delay: time.Millisecond, MaxClockDrift: 0.01},
	"largest drift":  {Lease: 3 * time.Second, Delay: time.Millisecond, MaxClockDrift: 0.1},
	"slow links":     {Lease: 3 * time.Second, Delay: 150 * time.Millisecond, MaxClockDrift: 0.01},
}

// slowest returns how long a duration on the slowest clock is on the fastest.
func slowest(o Options, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + o.MaxClockDrift) / (1 - o.MaxClockDrift))
}

// renewalTries returns how many renewals fit into a lease. Each tick starts one: the request travels, waits
// for the next tick of the granter, the grant travels back, and the holder uses it from its own next tick on.
func renewalTries(o Options) uint64 {
	return uint64((o.Lease - slowest(o, 2*(o.Interval+o.Delay+o.Jitter))) / slowest(o, o.Interval))
}

// heardTries returns how many heartbeats fit into the time for which a peer counts as heard.
func heardTries(o Options) uint64 {
	return uint64((heardIntervals*o.Interval - slowest(o, o.Jitter)) / slowest(o, o.Interval))
}

// rosterTries returns how many requests fit into the time for which a granter counts a silent peer: it goes
// on to grant for a lease, and the last grant must expire.
func rosterTries(o Options) uint64 {
	return uint64((o.Lease - o.Interval + slowest(o, o.Lease-o.Jitter)) / slowest(o, o.Interval))
}

// tickTries returns how many ticks of its own a sender has within a lease.
func tickTries(o Options) uint64 { return uint64((o.Lease - 1) / o.Interval) }

// loss selects the messages of the holder's renewals that are lost.
type loss struct{ requests, answers bool }

// losses are all kinds of loss, by name.
var losses = map[string]loss{"requests": {requests: true}, "answers": {answers: true}, "both": {true, true}}

// apply loses all but each n-th message of these kinds from now on; with n = 0, it loses all. If both kinds
// are lost, one answer to each request that arrives is delivered.
func (l loss) apply(w *World, n uint64) {
	id, _ := w.Newest[holder].Machine.Liveness()
	lost := func(seq uint64) bool { return n == 0 || seq%n != 0 }
	answered := map[int]uint64{}
	w.SizeOf = func(m *view.Message) int { // called for each message before it is sent
		from := w.senderIndex[m.From]
		switch {
		case from == holder:
			for to := range w.Newest {
				w.Cut(from, to, l.requests && lost(m.Seq))
			}
		case m.RecognizedID == id && l.answers && l.requests:
			w.Cut(from, holder, n == 0 || answered[from] == m.AckSeq)
			answered[from] = m.AckSeq
		case m.RecognizedID == id && l.answers:
			w.Cut(from, holder, lost(m.Seq))
		}
		return 0
	}
}

// othersCount reports whether all senders but the holder divide the rate among all senders.
func othersCount(w *World) bool {
	misses := func(p *Process) bool { return p.Sender != holder && p.Share.CountedSenders != w.opts.Senders }
	return !slices.ContainsFunc(w.Newest, misses)
}

// holdsFor reports whether a condition holds for some leases by the slowest clock; it stops when it fails.
func holdsFor(w *World, leases time.Duration, condition func(*World) bool) bool {
	for end := w.Now + slowest(w.opts, leases*w.opts.Lease); w.Now < end && condition(w); {
		w.Run(pollInterval)
	}
	return condition(w)
}

// eachCluster runs a test on clusters that use the whole rate. It fails where too few tries fit, the shares
// exceed the rate, or a running sender is considered gone.
func eachCluster(t *testing.T, name string, tries func(Options) uint64, holderClock float64,
	test func(t *testing.T, w *World)) {
	for setting, s := range triesSettings {
		for seed := range 3 * seedsPerSize {
			o := options(uint64(seed), []int{2, 4, 5}[seed%3])
			o.Lease, o.Interval = s.Lease, s.Lease/config.HeartbeatsPerLease
			o.Delay, o.MaxClockDrift = s.Delay, s.MaxClockDrift
			t.Run(fmt.Sprintf("%s, %s, seed %d", name, setting, seed), func(t *testing.T) {
				if tries(o) < leastTries {
					t.Fatalf("%d tries fit, want at least %d", tries(o), leastTries)
				}
				w := New(o)
				for i := range w.Newest {
					w.SetClockRate(i, 1-holderClock*o.MaxClockDrift)
				}
				w.SetClockRate(holder, 1+holderClock*o.MaxClockDrift)
				if w.Run(runTime * o.Lease); !othersCount(w) || w.ShareSum() < wholeRate {
					t.Fatal("the senders do not divide the whole rate before the loss")
				}
				w.StateChanges = 0
				test(t, w)
				if w.MaxSum > MaxAllowedSum || w.GoneWhileRunning > 0 {
					t.Errorf("the shares add up to %.3f; %d considered gone", w.MaxSum, w.GoneWhileRunning)
				}
			})
		}
	}
}

// If all tries but the last that fits are lost, time after time, what they keep is kept without a break: the
// whole rate in use, the holder reachable in all views, and counted by the others. If all are lost, it isn't.
func TestLastTryKeepsShare(t *testing.T) {
	wholeRateUsed := func(w *World) bool { return w.ShareSum() > wholeRate }
	reachable := func(w *World) bool { return w.StateChanges == 0 }
	for name, test := range map[string]struct {
		tries       func(Options) uint64
		holderClock float64
		lost        loss
		kept        func(w *World) bool
	}{
		"lease, requests lost": {renewalTries, fast, losses["requests"], wholeRateUsed},
		"lease, answers lost":  {renewalTries, fast, losses["answers"], wholeRateUsed},
		"lease, both lost":     {renewalTries, fast, losses["both"], wholeRateUsed},
		"heard":                {heardTries, slow, losses["requests"], reachable},
		"roster":               {rosterTries, slow, losses["requests"], othersCount},
	} {
		eachCluster(t, name, test.tries, test.holderClock, func(t *testing.T, w *World) {
			test.lost.apply(w, test.tries(w.opts))
			if !holdsFor(w, runTime, test.kept) {
				t.Errorf("not kept at %v: %.3f of the rate in use", w.Now, w.ShareSum())
			}
			test.lost.apply(w, 0)
			if holdsFor(w, runTime, test.kept) {
				t.Error("kept although all messages are lost")
			}
		})
	}
}

// If all renewals fail, the holder is down to its minimum share within a lease, before others use the rest.
func TestHolderStopsBeforeOthersTakeOver(t *testing.T) {
	for name, lost := range losses {
		eachCluster(t, name, renewalTries, slow, func(t *testing.T, w *World) {
			lost.apply(w, 0)
			uses := func(w *World) bool { p := w.Newest[holder]; return w.ShareOf(p) > p.Share.Min }
			holdsFor(w, 1, func(w *World) bool { return uses(w) && othersCount(w) })
			if uses(w) || !othersCount(w) {
				t.Errorf("at %v: the holder uses it: %v; others count it: %v", w.Now, uses(w), othersCount(w))
			}
			if holdsFor(w, runTime, othersCount) || uses(w) {
				t.Error("the others never use the share of the holder")
			}
		})
	}
}

// A sender that misses all its own ticks but the last in a lease keeps its minimum share and incarnation. One
// that misses all has no share after the lease, and starts a new incarnation.
func TestLastTickKeepsMinShare(t *testing.T) {
	eachCluster(t, "pauses", tickTries, slow, func(t *testing.T, w *World) {
		p := w.Newest[holder]
		id, _ := p.Machine.Liveness()
		sameID := func() bool { now, _ := p.Machine.Liveness(); return now == id }
		usesMin := func(w *World) bool { return w.ShareOf(p) >= p.Share.Min && sameID() }
		for range runTime {
			missed := p.Machine.NextTick() - p.clock(w) + time.Duration(tickTries(w.opts)-1)*w.opts.Interval
			w.Pause(p, time.Duration(float64(missed)/p.clockRate))
			if !holdsFor(w, 1, usesMin) {
				t.Errorf("%.3f of the rate at %v, though the last tick ran", w.ShareOf(p), w.Now)
			}
		}
		w.Pause(p, runTime*w.opts.Lease)
		stops := !holdsFor(w, 1, usesMin) && w.ShareOf(p) == 0
		if w.Run(runTime * w.opts.Lease); !stops || sameID() {
			t.Errorf("no tick runs: the share ends: %v; the incarnation stays: %v", stops, sameID())
		}
	})
}
