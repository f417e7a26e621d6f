package replicate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/facts"
)

// Time is a point in time or a duration; see [facts.Time].
type Time = facts.Time

const (
	initialResendDelay   = 40 * time.Millisecond  // before the first resend of a fact; doubles up to the digest interval
	maxDirectTries       = 2                      // unconfirmed sends to a peer before others relay to it
	maxTransit           = time.Hour              // assumed time in transit of a message without a usable Echo
	catchingUpValidity   = time.Second            // a peer counts as catching up for this long after it reported so
	maxPullPackets       = 32                     // packets in response to one pull
	pullTimeout          = 150 * time.Millisecond // then another peer is pulled from
	urgentFactsPerSecond = 200                    // facts sent to all peers at once; others wait for the byte budget
)

// MaxMissedTicks is the number of digest intervals without a step after which a sender may
// have missed facts and catches up again.
const MaxMissedTicks = 3

// Config holds the settings of a Machine.
type Config struct {
	Self           facts.Origin
	Zone           string
	Drift          float64 // clocks of senders run at 1-Drift to 1+Drift of the true rate
	DigestInterval Time    // mean time between two digests
	CatchUpTimeout Time    // ends a catch-up that no peer answers
	Rate           float64 // byte budget per second for everything but urgent facts, confirmations and digests
	Seed           uint64
}

// Peer is the name and address of another sender in the view.
type Peer struct {
	Name, Addr string
}

// peer is what this sender knows about the replica of a peer.
type peer struct {
	Peer
	incarnation uint64
	receivedAt  Time
	sentAt      Time // SentAt of its last message
	catchingUp  bool
	acked       uint64 // sequence number up to which it has confirmed this sender's facts
	resendAt    Time   // time of the next resend of unconfirmed facts
	resendDelay Time
	tries       int                     // sends since the last confirmation
	watermarks  map[facts.Origin]uint64 // by origin, from its digests and confirmations
	pulledAt    Time                    // time of the last pull from it
	pullRequest uint64                  // number of the open pull; 0 for none
	target      map[facts.Origin]uint64 // watermarks in its first answer to a pull while this replica catches up
	caughtUp    bool                    // this replica has reached target
}

// Ready is the result of a step: what the caller has to do.
type Ready struct {
	Send         []Envelope
	Observations []facts.Observation
	Event        string // log text; empty for none
}

// Machine is the replication state machine of one sender. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	replica  *facts.Replica
	peers    map[string]*peer
	order    []string // names of the peers, sorted
	lastStep Time
	tickAt   Time // time of the next digest

	catchingUp      bool
	catchUpStart    Time
	firstCaughtUpAt Time // time at which this replica caught up with the first peer; 0 for none

	budget          float64 // bytes left
	urgentFacts     float64 // urgent facts left
	filledAt        Time    // last refill of budget and urgentFacts
	lastPullRequest uint64
	ready           Ready

	InvalidMessages int   // invalid messages and deltas received
	Throttled       int   // messages that the byte budget delayed
	CatchUpTimeouts int   // times that catching up ended because no peer answered
	BytesSent       int64 // estimated
	PullRetries     int   // pulls that timed out
}

// New returns a machine that starts at a time. It is catching up.
func New(cfg Config, now Time) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		replica: facts.New(cfg.Self, cfg.Zone, cfg.Drift), peers: map[string]*peer{},
		lastStep: now, tickAt: now, filledAt: now, urgentFacts: urgentFactsPerSecond, budget: cfg.Rate}
	m.startCatchUp(now)
	return m
}

// Replica returns this sender's replica, which the caller must not change.
func (m *Machine) Replica() *facts.Replica { return m.replica }

// CatchingUp reports whether this replica may lack facts that others had when this process
// started or resumed, and since when.
func (m *Machine) CatchingUp() (bool, Time) { return m.catchingUp, m.catchUpStart }

// NextTick returns the time by which Tick must be called.
func (m *Machine) NextTick() Time {
	next := m.tickAt
	_, seq := m.replica.LocalVersion()
	for _, p := range m.peers {
		if p.acked < seq || m.catchingUp && p.pullRequest != 0 {
			next = min(next, max(p.resendAt, m.lastStep+initialResendDelay/4))
		}
	}
	return next
}

// begin starts a step: it refills the budgets, and it starts to catch up if this process did
// not run for some ticks and so may have missed facts.
func (m *Machine) begin(now Time) {
	m.ready = Ready{}
	if now-m.lastStep > MaxMissedTicks*m.cfg.DigestInterval {
		m.startCatchUp(now)
	}
	m.lastStep = max(m.lastStep, now)
	elapsed := (now - m.filledAt).Seconds()
	m.budget, m.urgentFacts, m.filledAt = min(m.budget+elapsed*m.cfg.Rate, m.cfg.Rate),
		min(m.urgentFacts+elapsed*urgentFactsPerSecond, urgentFactsPerSecond), now
}

// SetPeers replaces the list of peers.
func (m *Machine) SetPeers(list []Peer) {
	listed := map[string]bool{}
	for _, x := range list {
		listed[x.Name] = true
		if p := m.peers[x.Name]; p != nil {
			p.Peer = x
			continue
		}
		m.peers[x.Name] = &peer{Peer: x, receivedAt: facts.Never, pulledAt: facts.Never,
			watermarks: map[facts.Origin]uint64{}}
		if m.catchingUp { // pull from the new peer without delay
			m.tickAt = m.lastStep
		}
	}
	maps.DeleteFunc(m.peers, func(name string, _ *peer) bool { return !listed[name] })
	m.order = slices.Sorted(maps.Keys(m.peers))
}

// Publish publishes a fact of this sender about an event that happened age ago; see
// [facts.Replica.Publish]. Facts that restrict other senders are sent to all peers at once.
func (m *Machine) Publish(now Time, s facts.Subject, v facts.Value, age, ttl Time) (Ready, error) {
	m.begin(now)
	if err := m.replica.Publish(now, s, v, age, ttl); err != nil {
		return m.ready, err
	}
	m.ready.Observations = m.replica.Observe(now, []facts.Subject{s}) // the trial owner may have changed
	own, seq := m.replica.LocalVersion()
	if m.urgentFacts >= 1 && (s.Kind == facts.RequestedWait || s.Kind == facts.Health) {
		m.urgentFacts--
		for _, name := range m.order {
			if p := m.peers[name]; p.acked < seq-1 { // resendOwn sends the other facts that it lacks
				msg := m.newMessage(p)
				msg.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, seq-1, packetBytes)}
				m.send(p, msg)
			}
		}
	}
	m.resendOwn(now)
	return m.ready, nil
}

// resendOwn sends own facts to the peers that have not confirmed them.
func (m *Machine) resendOwn(now Time) {
	own, seq := m.replica.LocalVersion()
	for _, name := range m.order {
		p := m.peers[name]
		// A peer that is catching up pulls what it lacks.
		if p.acked >= seq || now < p.resendAt || p.catchingUp && now-p.receivedAt < catchingUpValidity {
			continue
		}
		msg := m.newMessage(p)
		msg.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, p.acked, packetBytes)}
		if !m.spend(msg) {
			continue
		}
		p.resendDelay = min(max(2*p.resendDelay, initialResendDelay), max(m.cfg.DigestInterval, initialResendDelay))
		p.resendAt = now + p.resendDelay
		m.send(p, msg)
		if p.tries++; p.tries > maxDirectTries {
			m.relay(p)
		}
	}
}

// relay asks another peer to forward own facts to a peer that does not confirm them, in case
// only the link from this sender is broken.
func (m *Machine) relay(to *peer) {
	for _, i := range m.rng.Perm(len(m.order)) {
		if p := m.peers[m.order[i]]; p != to && p.tries <= maxDirectTries {
			msg := m.newMessage(p)
			own, _ := m.replica.LocalVersion()
			msg.RelayTo, msg.Deltas = []string{to.Name},
				[]facts.Delta{m.replica.DeltaSince(m.lastStep, own, to.acked, packetBytes)}
			if m.spend(msg) {
				m.send(p, msg)
			}
			return
		}
	}
}

// Tick does the work that is due: it expires facts, sends a digest to a random peer, resends
// and catches up.
func (m *Machine) Tick(now Time) Ready {
	m.begin(now)
	if now >= m.tickAt {
		m.tickAt = now + m.cfg.DigestInterval*Time(80+m.rng.IntN(41))/100
		m.ready.Observations = m.replica.Observe(now, m.replica.Expire(now))
		if len(m.order) > 0 {
			p := m.peers[m.order[m.rng.IntN(len(m.order))]]
			msg := m.newMessage(p)
			m.addDigest(msg)
			m.send(p, msg)
		}
	}
	m.resendOwn(now)
	m.catchUp(now)
	return m.ready
}

// Receive processes a message from a peer. An invalid message is counted and ignored.
func (m *Machine) Receive(now Time, msg *Message) Ready {
	m.begin(now)
	if msg.Version != Version || msg.From.Name == "" || msg.From.Incarnation == 0 ||
		len(msg.DigestRows) > MaxDigestRows || len(msg.Deltas) > MaxDeltas ||
		len(msg.RelayTo) > MaxRelayTargets || msg.SentAt < 0 {
		m.InvalidMessages++
		return m.ready
	}
	p := m.peers[msg.From.Name]
	if p == nil { // not yet in the view of the members
		return m.ready
	}
	if p.incarnation != msg.From.Incarnation {
		id := p.Peer
		*p = peer{Peer: id, incarnation: msg.From.Incarnation, pulledAt: facts.Never,
			watermarks: map[facts.Origin]uint64{}}
	}
	p.receivedAt, p.sentAt, p.catchingUp = now, max(p.sentAt, msg.SentAt), msg.CatchingUp
	transit := Time(maxTransit)
	// A later Echo comes from an earlier incarnation of this sender, on another machine's clock.
	if msg.Echo > 0 && msg.Echo <= now {
		transit = now - msg.Echo
	}
	var changed []facts.Subject
	confirm := false
	for i := range msg.Deltas {
		list, err := m.replica.Merge(now, &msg.Deltas[i], transit)
		if err != nil {
			m.InvalidMessages++
			continue
		}
		changed = append(changed, list...)
		confirm = confirm || msg.Deltas[i].Origin == msg.From
	}
	m.ready.Observations = m.replica.Observe(now, changed)
	m.receiveDigest(now, p, msg)
	if confirm {
		ack := m.newMessage(p)
		ack.DigestRows = []facts.DigestRow{{Origin: msg.From, Watermark: m.replica.Watermark(msg.From)}}
		m.send(p, ack)
	}
	for _, name := range msg.RelayTo {
		if to := m.peers[name]; to != nil && to != p {
			m.sendMissing(now, to, facts.DigestRow{Origin: msg.From, Watermark: to.watermarks[msg.From]})
		}
	}
	if msg.PullRequest != 0 {
		m.answerPull(now, p, msg)
	}
	m.resendOwn(now)
	m.catchUp(now)
	return m.ready
}

// receiveDigest processes the digest rows of a message: it records what the peer has, sends
// what the peer lacks, and pulls if this replica lacks facts.
func (m *Machine) receiveDigest(now Time, p *peer, msg *Message) {
	own, seq := m.replica.LocalVersion()
	lacks := false
	if len(p.watermarks) > facts.MaxOrigins { // most are of incarnations that ended long ago
		clear(p.watermarks)
	}
	answered := msg.PullComplete != 0 && msg.PullComplete == p.pullRequest && msg.DigestComplete
	if answered && m.catchingUp && p.target == nil {
		p.setTarget(msg.DigestRows)
	}
	for _, row := range msg.DigestRows {
		p.watermarks[row.Origin] = max(p.watermarks[row.Origin], row.Watermark)
		if row.Origin == own {
			if acked := min(row.Watermark, seq); acked > p.acked {
				p.acked, p.resendDelay, p.tries, p.resendAt = acked, 0, 0, now
			}
		}
		if !msg.DigestComplete {
			continue
		}
		behind, ahead := m.replica.Compare(row)
		lacks = lacks || behind
		if ahead && msg.PullRequest == 0 && row.Origin != own {
			m.sendMissing(now, p, row)
		}
	}
	if msg.DigestComplete && msg.PullRequest == 0 {
		listed := map[facts.Origin]bool{}
		for _, row := range msg.DigestRows {
			listed[row.Origin] = true
		}
		for _, row := range m.replica.Digest() {
			if !listed[row.Origin] && row.Origin != own && (row.Watermark > row.Floor || row.Highest > 0) {
				m.sendMissing(now, p, facts.DigestRow{Origin: row.Origin})
			}
		}
	}
	if answered {
		p.pullRequest = 0
		if m.catchingUp {
			m.checkTarget(now, p)
		}
	}
	switch {
	case !lacks:
	case m.catchingUp: // one peer after another, so that the next need not send the same facts
		if answered && !p.caughtUp {
			m.pull(now, p)
		}
	case p.pullRequest == 0 || now >= p.pulledAt+pullTimeout:
		m.pull(now, p)
	}
}

// sendMissing sends the facts of one origin that a peer lacks according to its digest row,
// at most one packet.
func (m *Machine) sendMissing(now Time, p *peer, remote facts.DigestRow) {
	msg := m.newMessage(p)
	if remote.Watermark < m.replica.Watermark(remote.Origin) {
		msg.Deltas = []facts.Delta{m.replica.DeltaSince(now, remote.Origin, remote.Watermark, packetBytes)}
	} else { // the origin may be gone, and with it the facts in the gap
		msg.Deltas = m.replica.OutOfOrderDeltas(now, remote.Origin, max(remote.Watermark, remote.Highest), packetBytes)
	}
	if len(msg.Deltas) > 0 && m.spend(msg) {
		m.send(p, msg)
	}
}

// answerPull sends the facts that a peer lacks according to its rows, and ends with the own
// digest. If the budget allows no packet, it sends nothing, and the peer pulls from another.
func (m *Machine) answerPull(now Time, p *peer, msg *Message) {
	remoteRows := map[facts.Origin]facts.DigestRow{}
	for _, row := range msg.DigestRows {
		remoteRows[row.Origin] = row
	}
	packets := 0
	reply := m.newMessage(p)
	bytesLeft := packetBytes
	flush := func() bool {
		if len(reply.Deltas) == 0 {
			return true
		}
		if packets == maxPullPackets || !m.spend(reply) {
			return false
		}
		packets++
		m.send(p, reply)
		reply, bytesLeft = m.newMessage(p), packetBytes
		return true
	}
	func() {
		for _, row := range m.replica.Digest() {
			remote := remoteRows[row.Origin]
			if highest := max(remote.Watermark, remote.Highest); row.Highest > highest {
				reply.Deltas = append(reply.Deltas, m.replica.OutOfOrderDeltas(now, row.Origin, highest, bytesLeft)...)
			}
			for since := remote.Watermark; since < row.Watermark; {
				delta := m.replica.DeltaSince(now, row.Origin, since, bytesLeft)
				reply.Deltas = append(reply.Deltas, delta)
				bytesLeft -= delta.Size()
				since = delta.UpTo
				if (bytesLeft < packetBytes/4 || len(reply.Deltas) == MaxDeltas) && !flush() {
					return
				}
			}
		}
		flush()
	}()
	if packets == 0 && len(reply.Deltas) > 0 {
		return
	}
	last := m.newMessage(p)
	last.PullComplete = msg.PullRequest
	m.addDigest(last)
	m.send(p, last)
}

// addDigest adds the digest of the replica to a message.
func (m *Machine) addDigest(msg *Message) {
	msg.DigestRows = m.replica.Digest()
	if msg.DigestComplete = len(msg.DigestRows) <= MaxDigestRows; !msg.DigestComplete {
		// A random part; others follow in later digests.
		first := m.rng.IntN(len(msg.DigestRows) - MaxDigestRows + 1)
		msg.DigestRows = msg.DigestRows[first : first+MaxDigestRows]
	}
}

// newMessage returns a message to a peer with the common fields set.
func (m *Machine) newMessage(p *peer) *Message {
	return &Message{Version: Version, From: m.cfg.Self, SentAt: m.lastStep, Echo: p.sentAt, CatchingUp: m.catchingUp}
}

// spend deducts a message from the byte budget and reports whether the budget allowed it.
func (m *Machine) spend(msg *Message) bool {
	if m.budget <= 0 {
		m.Throttled++
		return false
	}
	m.budget -= float64(sizeOf(msg))
	return true
}

// send adds a message to a peer to the result of the step.
func (m *Machine) send(p *peer, msg *Message) {
	m.BytesSent += int64(sizeOf(msg))
	m.ready.Send = append(m.ready.Send, Envelope{p.Addr, msg})
}
