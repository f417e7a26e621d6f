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

// Bounds of what is shared.
const (
	mostTells  = 4096             // facts of this sender that wait for the loop; those above are dropped and counted
	mostHeard  = 10_000           // subjects of which news wait for whoever takes them
	outFor     = 60 * time.Second // a sender's word that an endpoint is out, unless it says so again
	outAgain   = outFor / 3       // no word on the same before
	spreadRate = 1 << 20          // bytes a second for all but what binds
	mostListed = 10_000           // statements in one answer to an operator
	patience   = 3                // ticks for which one that is behind waits before it uses its least part
)

// finding is a fact that this sender is to tell. Mark is given back with what it has
// found itself; see [facts.Replica.ObservedOutages].
type finding struct {
	subject facts.Subject
	value   facts.Value
	span    time.Duration
	mark    uint64
	at      time.Duration
}

// knowledge is what a sender and the others know of partners.
type knowledge struct {
	tells chan finding
	in    chan *replicate.Message

	mu      sync.Mutex // of what follows
	heard   map[facts.Subject]facts.Observation
	order   []facts.Subject
	lost    int // of both
	waiting chan struct{}

	machine *replicate.Machine // the loop's; nil if nothing is shared
	peers   []replicate.Peer
}

func newKnowledge() *knowledge {
	return &knowledge{tells: make(chan finding, mostTells), in: make(chan *replicate.Message, inbox),
		heard: map[facts.Subject]facts.Observation{}, waiting: make(chan struct{}, 1)}
}

// open makes the machine. It begins behind.
func (k *knowledge) open(o Options) {
	if o.ShareFacts {
		k.machine = replicate.New(replicate.Config{Self: facts.Origin{Name: o.Name, Incarnation: rand.Uint64() | 1}, Zone: o.Zone, Drift: o.MaxClockDrift,
			DigestInterval: o.Interval, CatchUpTimeout: o.Lease, Rate: spreadRate, Seed: rand.Uint64()}, o.now())
	}
}

// drop counts what there was no room for.
func (k *knowledge) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost++
}

// tell hands the loop a fact of this sender. It never waits.
func (k *knowledge) tell(f finding) {
	select {
	case k.tells <- f:
	default:
		k.drop()
	}
}

// put keeps observations for whoever takes them, the newest of each subject.
func (k *knowledge) put(list []facts.Observation) {
	if len(list) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range list {
		if _, waits := k.heard[l.Subject]; !waits {
			if len(k.order) >= mostHeard {
				k.lost++
				continue
			}
			k.order = append(k.order, l.Subject)
		}
		k.heard[l.Subject] = l
	}
	select {
	case k.waiting <- struct{}{}:
	default:
	}
}

// WatchObservations hands what others have learnt to take until ctx is over.
func (c *Cluster) WatchObservations(ctx context.Context, take func([]facts.Observation)) {
	k := c.lore
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.waiting:
		}
		k.mu.Lock()
		list := make([]facts.Observation, 0, len(k.order))
		for _, s := range k.order {
			list = append(list, k.heard[s])
		}
		k.order = k.order[:0]
		clear(k.heard)
		k.mu.Unlock()
		if len(list) > 0 {
			take(list)
		}
	}
}

// PublishWait has the others told that an endpoint has told to be left alone for a span.
func (c *Cluster) PublishWait(partner, endpoint string, d time.Duration) {
	c.lore.tell(finding{at: c.opts.now(), subject: facts.Subject{Kind: facts.RequestedWait, Partner: partner, Endpoint: endpoint}, span: min(d, facts.MaxTTL)})
}

// PublishHealth has the others told that this sender has found an endpoint out, or has
// had an answer to a call that was begun after the lesson with that mark.
func (c *Cluster) PublishHealth(partner, endpoint string, out bool, mark uint64) {
	c.lore.tell(finding{at: c.opts.now(), subject: facts.Subject{Kind: facts.Health, Partner: partner, Endpoint: endpoint}, value: facts.Value{InOutage: out}, span: outFor, mark: mark})
}

// learn puts a finding into this sender's copy, and out to the others.
func (c *Cluster) learn(f finding) {
	m := c.lore.machine
	if m == nil || f.span <= 0 {
		return
	}
	t := c.opts.now()
	if f.subject.Kind == facts.Health {
		own, left := m.Replica().OwnValue(t, f.subject)
		if f.value.InOutage && own.InOutage && left > outFor-outAgain {
			return
		}
		if !f.value.InOutage {
			f.value.Refutes = m.Replica().ObservedOutages(f.subject, f.mark)
			if len(f.value.Refutes) == 0 && !own.InOutage {
				return // nobody says otherwise
			}
		}
	}
	r, err := m.Publish(t, f.subject, f.value, max(t-f.at, 0), f.span)
	if err != nil {
		c.log.Error("cluster: what was learnt can't be told", "partner", f.subject.Partner, "endpoint", f.subject.Endpoint, "err", err)
	}
	c.spread(r)
}

// spread does what a step of the copies asks for.
func (c *Cluster) spread(r replicate.Ready) {
	ring := c.ring.get()
	for _, out := range r.Send {
		to, err := net.ResolveUDPAddr("udp", out.To)
		if err != nil {
			continue
		}
		b, err := ring.packAs(lore, out.Message)
		if err != nil {
			c.log.Error("cluster: facts can't be sent", "err", err)
			continue
		}
		c.udp.WriteToUDP(b, to)
	}
	c.lore.put(r.Observations)
	if r.Event != "" {
		c.log.Info("cluster: facts", "what", r.Event)
	}
	behind, since := c.lore.machine.CatchingUp()
	least := int64(0)
	if behind {
		least = int64(since + patience*c.opts.Interval)
	}
	if c.behind.Swap(least) != least {
		c.notify()
	}
}

// meetPeers follows the view: facts go to all who are not proven to have ended.
func (c *Cluster) meetPeers() {
	if c.lore.machine == nil {
		return
	}
	var list []replicate.Peer
	for _, x := range c.machine.LivePeers() {
		list = append(list, replicate.Peer{Name: x.Name, Addr: x.Addr})
	}
	if !slices.Equal(list, c.lore.peers) {
		c.lore.peers = list
		c.lore.machine.SetPeers(list)
	}
}

// Status is what operators see of a sender among others.
type Status struct {
	view.Status
	Replication *ReplicationStatus `json:"knowledge,omitempty"` // nil if nothing is shared
}

// ReplicationStatus is what operators see of its copy of the facts.
type ReplicationStatus struct {
	replicate.Status
	Overflows int `json:"lost"` // facts and news that there was no room for
}

// FactsReport is all that is said of partners, for operators.
type FactsReport struct {
	Facts     []FactReport `json:"facts"`
	Truncated bool         `json:"more"` // there are more than are listed
	// Of a comparison with another sender: whose facts it lacks here, and the other way.
	Differences []replicate.Difference `json:"lacks,omitempty"`
}

// FactReport is one sender's word on something.
type FactReport struct {
	Kind             string     `json:"kind"`
	Partner          string     `json:"partner"`
	Endpoint         string     `json:"endpoint"`
	Statement        string     `json:"says"`
	Origin           string     `json:"by"`
	Seq              uint64     `json:"number"`
	Zone             string     `json:"zone,omitempty"`
	AgeSeconds       [2]float64 `json:"age_s"` // at least and at most
	RemainingSeconds float64    `json:"left_s"`
	Rule             string     `json:"rule"` // why it decides, or does not
}

// Facts lists what is said of a partner, or of all; with other, what that sender and
// this one lack of each other's.
func (c *Cluster) Facts(partner, other string) (out FactsReport, err error) {
	out.Facts = []FactReport{}
	e := c.within(func() {
		m := c.lore.machine
		if m == nil {
			err = fmt.Errorf("this sender shares no facts: its file says facts = false")
			return
		}
		list := m.Replica().List(c.opts.now(), partner, mostListed+1)
		if out.Truncated = len(list) > mostListed; out.Truncated {
			list = list[:mostListed]
		}
		for _, s := range list {
			out.Facts = append(out.Facts, said(s))
		}
		if other != "" {
			out.Differences, err = m.Differences(other)
		}
	})
	if e != nil {
		return out, e
	}
	return out, err
}

func said(s facts.FactStatus) FactReport {
	out := FactReport{Kind: fmt.Sprint("kind ", s.Kind), Partner: s.Partner, Endpoint: s.Endpoint, Origin: s.Origin.Name, Seq: s.Seq, Zone: s.Zone,
		AgeSeconds: [2]float64{s.MinAge.Seconds(), s.MaxAge.Seconds()}, RemainingSeconds: s.Remaining.Seconds(), Rule: "passed on; this version does not know the kind"}
	switch {
	case s.Kind == facts.RequestedWait:
		out.Kind, out.Statement, out.Rule = "wait", "leave it alone", "a longer one holds"
		if s.Effective {
			out.Rule = "the longest holds"
		}
	case s.Kind == facts.Health && !s.Value.InOutage:
		out.Kind, out.Statement, out.Rule = "health", "answers", fmt.Sprintf("refutes %d that were known when its call began, in its zone", len(s.Value.Refutes))
	case s.Kind == facts.Health:
		out.Kind, out.Statement, out.Rule = "health", "out", "holds: no answer here to a call begun since it was known"
		switch {
		case s.Refuted:
			out.Rule = "refuted by an answer in this zone"
		case s.TrialOwner:
			out.Rule += "; it is its turn to try it"
		}
	}
	return out
}
