package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	"cometrack/internal/view"
)

// Limits of replication.
const (
	maxQueuedFacts            = 4096             // own facts queued for the loop; more are dropped and counted
	maxQueuedObservations     = 10_000           // subjects with observations that nobody has taken yet
	outageTTL                 = 60 * time.Second // validity of an outage report that is not repeated
	outageRepublishInterval   = outageTTL / 3    // minimum time between two reports of the same outage
	replicationBytesPerSecond = 1 << 20          // budget for everything but urgent facts, confirmations and digests
	maxListedFacts            = 10_000           // facts in one response to an operator
	catchUpGraceTicks         = 3                // ticks of catching up with share 0 before the minimum share applies
)

// localFact is a fact that this sender publishes. The caller gets causalMark with an observation and
// returns it with its own result; see [facts.Replica.ObservedOutages].
type localFact struct {
	subject    facts.Subject
	value      facts.Value
	ttl        time.Duration
	causalMark uint64
	observedAt time.Duration
}

// replication connects the replica of the facts with the loop and with the consumer of observations.
type replication struct {
	localFacts chan localFact          // own facts for the loop
	messages   chan *replicate.Message // received

	mu           sync.Mutex                          // guards the fields up to available
	observations map[facts.Subject]facts.Observation // newest observation of each subject
	order        []facts.Subject                     // subjects of observations in the order of arrival
	overflows    int                                 // entries dropped from either queue
	available    chan struct{}                       // holds a value if observations are queued

	machine *replicate.Machine // owned by the loop; nil if facts are not shared
	peers   []replicate.Peer
}

// newReplication returns the queues; start creates the machine.
func newReplication() *replication {
	return &replication{localFacts: make(chan localFact, maxQueuedFacts),
		messages:     make(chan *replicate.Message, inboxSize),
		observations: map[facts.Subject]facts.Observation{}, available: make(chan struct{}, 1)}
}

// start creates the replication machine if facts are shared. It begins by catching up.
func (k *replication) start(opts Options) {
	if opts.ShareFacts {
		k.machine = replicate.New(replicate.Config{Self: facts.Origin{Name: opts.Name, Incarnation: rand.Uint64() | 1},
			Zone: opts.Zone, Drift: opts.MaxClockDrift, DigestInterval: opts.Interval, CatchUpTimeout: opts.Lease,
			Rate: replicationBytesPerSecond, Seed: rand.Uint64()}, opts.now())
	}
}

// countOverflow counts an entry that was dropped because a queue was full.
func (k *replication) countOverflow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overflows++
}

// queueFact queues a local fact for the loop. It never blocks.
func (k *replication) queueFact(f localFact) {
	select {
	case k.localFacts <- f:
	default:
		k.countOverflow()
	}
}

// queueObservations queues observations for the consumer, keeping the newest of each subject.
func (k *replication) queueObservations(list []facts.Observation) {
	if len(list) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, observation := range list {
		if _, queued := k.observations[observation.Subject]; !queued {
			if len(k.order) >= maxQueuedObservations {
				k.overflows++
				continue
			}
			k.order = append(k.order, observation.Subject)
		}
		k.observations[observation.Subject] = observation
	}
	select {
	case k.available <- struct{}{}:
	default:
	}
}

// WatchObservations calls take with observations from peers until ctx is done.
func (c *Cluster) WatchObservations(ctx context.Context, take func([]facts.Observation)) {
	k := c.replication
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.available:
		}
		k.mu.Lock()
		list := make([]facts.Observation, 0, len(k.order))
		for _, s := range k.order {
			list = append(list, k.observations[s])
		}
		k.order = k.order[:0]
		clear(k.observations)
		k.mu.Unlock()
		if len(list) > 0 {
			take(list)
		}
	}
}

// PublishWait tells the peers that an endpoint requested to receive no calls for a duration.
func (c *Cluster) PublishWait(partner, endpoint string, wait time.Duration) {
	c.replication.queueFact(localFact{observedAt: c.opts.now(),
		subject: facts.Subject{Kind: facts.RequestedWait, Partner: partner, Endpoint: endpoint},
		ttl:     min(wait, facts.MaxTTL)})
}

// PublishHealth tells the peers that this sender found an endpoint in outage, or that it received a
// response to a call that began after the observation with that causal mark.
func (c *Cluster) PublishHealth(partner, endpoint string, inOutage bool, causalMark uint64) {
	c.replication.queueFact(localFact{observedAt: c.opts.now(),
		subject: facts.Subject{Kind: facts.Health, Partner: partner, Endpoint: endpoint},
		value:   facts.Value{InOutage: inOutage}, ttl: outageTTL, causalMark: causalMark})
}

// publish adds a local fact to the replica and sends it to the peers.
func (c *Cluster) publish(f localFact) {
	m := c.replication.machine
	if m == nil || f.ttl <= 0 {
		return
	}
	t := c.opts.now()
	if f.subject.Kind == facts.Health {
		own, remaining := m.Replica().OwnValue(t, f.subject)
		if f.value.InOutage && own.InOutage && remaining > outageTTL-outageRepublishInterval {
			return
		}
		if !f.value.InOutage {
			f.value.Refutes = m.Replica().ObservedOutages(f.subject, f.causalMark)
			if len(f.value.Refutes) == 0 && !own.InOutage {
				return // there is no outage report to refute
			}
		}
	}
	ready, err := m.Publish(t, f.subject, f.value, max(t-f.observedAt, 0), f.ttl)
	if err != nil {
		c.log.Error("cluster: a fact can't be published",
			"partner", f.subject.Partner, "endpoint", f.subject.Endpoint, "err", err)
	}
	c.applyReplication(ready)
}

// applyReplication executes the actions of a step of the replication machine.
func (c *Cluster) applyReplication(ready replicate.Ready) {
	currentKeys := c.keyring.current()
	for _, outgoing := range ready.Send {
		to, err := net.ResolveUDPAddr("udp", outgoing.To)
		if err != nil {
			continue
		}
		packet, err := currentKeys.packWithMagic(factsMagic, outgoing.Message)
		if err != nil {
			c.log.Error("cluster: facts can't be sent", "err", err)
			continue
		}
		c.udp.WriteToUDP(packet, to)
	}
	c.replication.queueObservations(ready.Observations)
	if ready.Event != "" {
		c.log.Info("cluster: facts", "what", ready.Event)
	}
	catchingUp, since := c.replication.machine.CatchingUp()
	minShareFrom := int64(0)
	if catchingUp {
		minShareFrom = int64(since + catchUpGraceTicks*c.opts.Interval)
	}
	if c.minShareFrom.Swap(minShareFrom) != minShareFrom {
		c.notifyChanged()
	}
}

// updatePeers sets the peers of replication to the members that are not proven to have ended.
func (c *Cluster) updatePeers() {
	if c.replication.machine == nil {
		return
	}
	var peers []replicate.Peer
	for _, member := range c.machine.LivePeers() {
		peers = append(peers, replicate.Peer{Name: member.Name, Addr: member.Addr})
	}
	if !slices.Equal(peers, c.replication.peers) {
		c.replication.peers = peers
		c.replication.machine.SetPeers(peers)
	}
}

// Status describes a sender and its view of the peers, for operators.
type Status struct {
	view.Status
	Replication *ReplicationStatus `json:"knowledge,omitempty"` // nil if facts are not shared
}

// ReplicationStatus describes a sender's replica of the facts, for operators.
type ReplicationStatus struct {
	replicate.Status
	Overflows int `json:"lost"` // facts and observations dropped because a queue was full
}

// FactsReport lists the facts about partners, for operators.
type FactsReport struct {
	Facts     []FactReport `json:"facts"`
	Truncated bool         `json:"more"` // more facts exist than are listed
	// Differences to the replica of another sender, in both directions, if one was requested.
	Differences []replicate.Difference `json:"lacks,omitempty"`
}

// FactReport is one fact as its origin published it, for operators.
type FactReport struct {
	Kind             string     `json:"kind"`
	Partner          string     `json:"partner"`
	Endpoint         string     `json:"endpoint"`
	Statement        string     `json:"says"`
	Origin           string     `json:"by"`
	Seq              uint64     `json:"number"`
	Zone             string     `json:"zone,omitempty"`
	AgeSeconds       [2]float64 `json:"age_s"` // lower and upper bound
	RemainingSeconds float64    `json:"left_s"`
	Rule             string     `json:"rule"` // why the fact is or is not effective
}

// Facts lists the facts about a partner, or about all if it is empty. If other is not empty, it also
// compares the replica with that of the named sender.
func (c *Cluster) Facts(partner, other string) (out FactsReport, err error) {
	out.Facts = []FactReport{}
	loopErr := c.runInLoop(func() {
		m := c.replication.machine
		if m == nil {
			err = fmt.Errorf("this sender shares no facts: its file says facts = false")
			return
		}
		list := m.Replica().List(c.opts.now(), partner, maxListedFacts+1)
		if out.Truncated = len(list) > maxListedFacts; out.Truncated {
			list = list[:maxListedFacts]
		}
		for _, status := range list {
			out.Facts = append(out.Facts, reportFact(status))
		}
		if other != "" {
			out.Differences, err = m.Differences(other)
		}
	})
	if loopErr != nil {
		return out, loopErr
	}
	return out, err
}

// reportFact converts a fact to its report.
func reportFact(s facts.FactStatus) FactReport {
	report := FactReport{Kind: fmt.Sprint("kind ", s.Kind), Partner: s.Partner, Endpoint: s.Endpoint,
		Origin: s.Origin.Name, Seq: s.Seq, Zone: s.Zone,
		AgeSeconds:       [2]float64{s.MinAge.Seconds(), s.MaxAge.Seconds()},
		RemainingSeconds: s.Remaining.Seconds(), Rule: "passed on; this version does not know the kind"}
	switch {
	case s.Kind == facts.RequestedWait:
		report.Kind, report.Statement, report.Rule = "wait", "leave it alone", "a longer one holds"
		if s.Effective {
			report.Rule = "the longest holds"
		}
	case s.Kind == facts.Health && !s.Value.InOutage:
		report.Kind, report.Statement, report.Rule = "health", "answers",
			fmt.Sprintf("refutes %d that were known when its call began, in its zone", len(s.Value.Refutes))
	case s.Kind == facts.Health:
		report.Kind, report.Statement, report.Rule = "health", "out",
			"holds: no answer here to a call begun since it was known"
		switch {
		case s.Refuted:
			report.Rule = "refuted by an answer in this zone"
		case s.TrialOwner:
			report.Rule += "; it is its turn to try it"
		}
	}
	return report
}
