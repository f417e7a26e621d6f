package replicate

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"time"

	"cometrack/internal/facts"
	"cometrack/internal/virtual"
)

const (
	deliveryBound = 250 * time.Millisecond // for a new fact, as in TestRequestedWaitIsShared of package fleet
	relayBound    = time.Second            // past a broken link, as in TestDeliveryPaths of package play
	minTries      = 2                      // with fewer, one lost message breaks the bound

	intervalsPerLease     = 10                     // digest intervals, as in package config
	maxIntervalPercent    = 120                    // longest time between two digests, of interval
	wakeDelay             = initialResendDelay / 4 // longest time by which NextTick delays a resend or pull
	linkDelay             = time.Millisecond
	seeds                 = 20
	origin, other, target = 0, 1, 2 // senders; the target must have the origin's facts in time
)

// interval returns the mean time between two digests of a sender.
func interval(lease Time) Time { return lease / intervalsPerLease }

// resendsWithin returns the number of sends of a new fact that arrive within a time.
func resendsWithin(limit, lease Time) (n int) {
	for at, delay := linkDelay, Time(0); at <= limit; at += delay + wakeDelay {
		n++
		delay = min(max(2*delay, initialResendDelay), max(interval(lease), initialResendDelay))
	}
	return n
}

// selector selects messages by sender, receiver and content.
type selector func(from, to int, m *Message) bool

var (
	allPeers              = []Peer{{"0", "0"}, {"1", "1"}, {"2", "2"}}
	ofTarget     selector = func(from, to int, _ *Message) bool { return from == target || to == target }
	fromTarget   selector = func(from, _ int, _ *Message) bool { return from == target }
	fact         selector = func(_, to int, m *Message) bool { return to == target && len(m.Deltas) > 0 }
	direct       selector = func(from, to int, m *Message) bool { return from == origin && fact(from, to, m) }
	relayRequest selector = func(_, _ int, m *Message) bool { return len(m.RelayTo) > 0 }
	pull         selector = func(from, _ int, m *Message) bool { return from == target && m.PullRequest != 0 }
	digest       selector = func(_, to int, m *Message) bool { return to == target && m.DigestComplete }
)

// network connects three senders in virtual time.
type network struct {
	virtual.Clock
	lease   Time
	seed    uint64
	senders [3]*Machine
	stopped [3]bool
	lost    selector // nil for none
}

// newNetwork returns a network of senders that have caught up.
func newNetwork(lease Time, seed uint64) *network {
	n := &network{Clock: virtual.Clock{Now: time.Hour}, lease: lease, seed: seed}
	for i := range n.senders {
		n.start(i)
	}
	n.Run(2*catchingUpValidity + lease)
	return n
}

// start starts a new incarnation of a sender.
func (n *network) start(i int) {
	self := facts.Origin{Name: allPeers[i].Name, Incarnation: uint64(n.Now)}
	n.senders[i] = New(Config{Self: self, DigestInterval: interval(n.lease),
		CatchUpTimeout: n.lease, Rate: 1 << 20, Seed: n.seed}, n.Now)
	n.senders[i].SetPeers(slices.Delete(slices.Clone(allPeers), i, i+1))
	n.step(i, n.senders[i].Tick)
}

// step runs a step of a sender unless it is stopped, sends its messages and schedules its next tick.
func (n *network) step(from int, run func(Time) Ready) {
	if n.stopped[from] {
		return
	}
	for _, envelope := range run(n.Now).Send {
		if to, _ := strconv.Atoi(envelope.To); n.lost == nil || !n.lost(from, to, envelope.Message) {
			n.After(linkDelay, func() {
				n.step(to, func(now Time) Ready { return n.senders[to].Receive(now, envelope.Message) })
			})
		}
	}
	n.After(max(n.senders[from].NextTick()-n.Now, 0), func() {
		if n.Now >= n.senders[from].NextTick() { // else a later step has scheduled another tick
			n.step(from, n.senders[from].Tick)
		}
	})
}

// publish makes the origin publish a wait for a new endpoint, and loses messages from now on.
func (n *network) publish(lost selector) {
	n.lost = lost
	n.step(origin, func(now Time) Ready {
		subject := facts.Subject{Kind: facts.RequestedWait, Partner: "acme", Endpoint: now.String()}
		ready, _ := n.senders[origin].Publish(now, subject, facts.Value{}, 0, time.Hour)
		return ready
	})
}

// cutTarget publishes a wait, and cuts the target off for a lease.
func (n *network) cutTarget(lost selector) {
	n.publish(ofTarget)
	n.Run(n.lease)
	n.lost = lost
}

// loseOrigin stops the origin when the target lacks its fact and the other sender has it.
func (n *network) loseOrigin(lost selector) {
	n.cutTarget(lost)
	n.stopped[origin] = true
	n.senders[other].SetPeers(allPeers[target:])
	n.senders[target].SetPeers(allPeers[other:target])
}

// restart publishes a wait, and restarts the target when all senders have it.
func (n *network) restart(lost selector) {
	n.publish(nil)
	n.Run(n.lease)
	n.lost = lost
	n.start(target)
}

// pause publishes a wait, and pauses the target for so long that it has to catch up.
func (n *network) pause(lost selector) {
	n.stopped[target] = true
	n.cutTarget(lost)
	n.stopped[target] = false
	n.step(target, n.senders[target].Tick)
}

// bound is a bound in time from the end of a scenario on, and the tries that keep it.
type bound struct {
	name      string
	limit     Time                 // 0 for a lease, which is CatchUpTimeout
	tries     func(lease Time) int // that fit into it
	scenario  func(n *network, lost selector)
	try, lost selector // lost selects the messages lost until the last try
}

// check plays the scenario at the shortest lease, the default and the longest.
func (b bound) check(t *testing.T) {
	for _, lease := range []Time{500 * time.Millisecond, 3 * time.Second, 5 * time.Minute} {
		for seed := range uint64(seeds) {
			b.play(t, lease, seed)
		}
	}
}

// play checks that minTries fit into the bound, and that the last one that fits is enough.
func (b bound) play(t *testing.T, lease Time, seed uint64) {
	n, tries, seen := newNetwork(lease, seed), b.tries(lease), 0
	b.scenario(n, func(from, to int, m *Message) bool {
		if b.try(from, to, m) {
			seen++
		}
		return seen < tries && b.lost(from, to, m)
	})
	n.Run(cmp.Or(b.limit, lease))
	want, got := n.senders[origin].replica.Len(), n.senders[target].Status(n.Now)
	if tries < minTries || want == 0 || got.Facts < want || got.CatchingUp || got.CatchUpTimeouts > 0 {
		t.Errorf("%s, lease %v, seed %d, %d of %d tries: %+v", b.name, lease, seed, seen, tries, got)
	}
}

// TestLastTryMeetsBound checks that the last try that fits into a bound in time of replication is enough.
func TestLastTryMeetsBound(t *testing.T) {
	resends := func(d Time) int { return resendsWithin(deliveryBound, d) }
	relays := func(d Time) int { return resendsWithin(relayBound, d) - maxDirectTries }
	slow := func(d Time) int { return int(d / (max(interval(d), initialResendDelay) + wakeDelay)) }
	digests := func(d Time) int { return int(d * 100 / maxIntervalPercent / interval(d)) }
	gapPulls := func(d Time) int { return int(d / (interval(d)*maxIntervalPercent/100 + pullTimeout)) }
	pulls := func(d Time) int { return int(d / (pullTimeout + wakeDelay)) }
	pastCut := func(n *network, lost selector) {
		n.publish(func(a, b int, m *Message) bool { return lost(a, b, m) || a+b == origin+target })
	}
	for _, b := range []bound{
		{"resent", deliveryBound, resends, (*network).publish, direct, ofTarget},
		{"relayed", relayBound, relays, pastCut, relayRequest, ofTarget},
		{"resent after a cut", 0, slow, (*network).cutTarget, direct, ofTarget},
		{"gap, digests lost", 0, digests, (*network).loseOrigin, digest, ofTarget},
		{"gap, pulls lost", 0, gapPulls, (*network).loseOrigin, pull, fromTarget},
		{"gap, responses lost", 0, gapPulls, (*network).loseOrigin, pull, fact},
		{"restarted", 0, pulls, (*network).restart, pull, ofTarget},
		{"paused", 0, pulls, (*network).pause, pull, ofTarget},
	} {
		b.check(t)
	}
}
