package replicate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/facts"
)

// Time is that of package facts.
type Time = facts.Time

const (
	firstResend          = 40 * time.Millisecond // before what is not confirmed is sent again; then twice that, up to a tick
	maxDirectTries       = 2                     // then others are asked to pass it on
	maxTransit           = time.Hour             // how long a message may have been on its way that echoes nothing
	catchingUpHold       = time.Second           // that a peer counts as catching up after it has said so
	maxPullPackets       = 32                    // packets in answer to one question
	pullTimeout          = 150 * time.Millisecond
	urgentFactsPerSecond = 200 // facts a second that are sent to all at once; others go as the budget allows
)

// MaxMissedTicks is for how many ticks a sender may not run before it counts as having missed
// what was told meanwhile.
const MaxMissedTicks = 3

// Config is what a sender is told at its start.
type Config struct {
	Self           facts.Origin
	Zone           string
	Drift          float64 // clocks of senders run at 1-Drift to 1+Drift of the true pace
	DigestInterval Time    // between two digests
	CatchUpTimeout Time    // after which one that is behind, and whom nobody answers, goes on alone
	Rate           float64 // bytes a second for all but what binds
	Seed           uint64
}

// Peer is another sender, as the view has it.
type Peer struct {
	Name, Addr string
}

// peer is what is known of another sender's copy.
type peer struct {
	Peer
	incarnation uint64
	receivedAt  Time
	sentAt      Time // its last
	catchingUp  bool
	acked       uint64 // of this sender's own facts
	resendAt    Time   // when what is not confirmed is sent once more
	resendDelay Time
	tries       int
	watermarks  map[facts.Origin]uint64
	pulledAt    Time // it was asked last
	pullRequest uint64
	target      map[facts.Origin]uint64 // what it had when it first answered, while this one is behind
	caughtUp    bool                    // this copy has all of that
}

// Ready is what is to be done after a step.
type Ready struct {
	Send         []Envelope
	Observations []facts.Observation
	Event        string // for the log; empty for none
}

// Machine is one sender's part in it. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	replica  *facts.Replica
	peers    map[string]*peer
	order    []string // of peers
	lastStep Time
	tickAt   Time

	catchingUp      bool
	catchUpStart    Time // that it is behind
	firstCaughtUpAt Time // when the first peer was caught up with; 0 for none

	budget          float64 // bytes
	urgentFacts     float64 // facts
	filledAt        Time
	lastPullRequest uint64
	ready           Ready

	InvalidMessages int   // messages that made no sense
	Throttled       int   // times that the budget held something back
	CatchUpTimeouts int   // times that it went on without having caught up
	BytesSent       int64 // sent, about
	PullRetries     int   // times that another peer was asked for want of an answer
}

// New makes a machine at a time. It is behind.
func New(cfg Config, now Time) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)), replica: facts.New(cfg.Self, cfg.Zone, cfg.Drift),
		peers: map[string]*peer{}, lastStep: now, tickAt: now, filledAt: now, urgentFacts: urgentFactsPerSecond, budget: cfg.Rate}
	m.startCatchUp(now)
	return m
}

// Replica is the copy of this sender, for those who only look.
func (m *Machine) Replica() *facts.Replica { return m.replica }

// CatchingUp says whether this copy may lack what others knew when this process
// returned, and since when.
func (m *Machine) CatchingUp() (bool, Time) { return m.catchingUp, m.catchUpStart }

// NextTick is when Tick is to be called at the latest.
func (m *Machine) NextTick() Time {
	next := m.tickAt
	_, seq := m.replica.LocalVersion()
	for _, p := range m.peers {
		if p.acked < seq || m.catchingUp && p.pullRequest != 0 {
			next = min(next, max(p.resendAt, m.lastStep+firstResend/4))
		}
	}
	return next
}

// begin lets time pass. One that did not run for some ticks has missed what was told
// meanwhile.
func (m *Machine) begin(now Time) {
	m.ready = Ready{}
	if now-m.lastStep > MaxMissedTicks*m.cfg.DigestInterval {
		m.startCatchUp(now)
	}
	m.lastStep = max(m.lastStep, now)
	d := (now - m.filledAt).Seconds()
	m.budget, m.urgentFacts, m.filledAt = min(m.budget+d*m.cfg.Rate, m.cfg.Rate), min(m.urgentFacts+d*urgentFactsPerSecond, urgentFactsPerSecond), now
}

// SetPeers says which senders there are to talk to.
func (m *Machine) SetPeers(list []Peer) {
	now := map[string]bool{}
	for _, x := range list {
		now[x.Name] = true
		if p := m.peers[x.Name]; p != nil {
			p.Peer = x
			continue
		}
		m.peers[x.Name] = &peer{Peer: x, receivedAt: facts.Never, pulledAt: facts.Never, watermarks: map[facts.Origin]uint64{}}
		if m.catchingUp { // it may be asked at once
			m.tickAt = m.lastStep
		}
	}
	maps.DeleteFunc(m.peers, func(name string, _ *peer) bool { return !now[name] })
	m.order = slices.Sorted(maps.Keys(m.peers))
}

// Publish takes what this sender has learnt itself. What binds others goes out at once.
func (m *Machine) Publish(now Time, s facts.Subject, v facts.Value, age, span Time) (Ready, error) {
	m.begin(now)
	if err := m.replica.Publish(now, s, v, age, span); err != nil {
		return m.ready, err
	}
	m.ready.Observations = m.replica.Observe(now, []facts.Subject{s}) // whose turn it is may have changed
	own, seq := m.replica.LocalVersion()
	if m.urgentFacts >= 1 && (s.Kind == facts.RequestedWait || s.Kind == facts.Health) {
		m.urgentFacts--
		for _, name := range m.order {
			if p := m.peers[name]; p.acked < seq-1 { // it lacks others too; they follow
				out := m.newMessage(p)
				out.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, seq-1, packetBytes)}
				m.send(p, out)
			}
		}
	}
	m.resendOwn(now)
	return m.ready, nil
}

// resendOwn sends own facts to those who have not confirmed them.
func (m *Machine) resendOwn(now Time) {
	own, seq := m.replica.LocalVersion()
	for _, name := range m.order {
		p := m.peers[name]
		if p.acked >= seq || now < p.resendAt || p.catchingUp && now-p.receivedAt < catchingUpHold { // one that is behind asks by itself
			continue
		}
		out := m.newMessage(p)
		out.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, p.acked, packetBytes)}
		if !m.spend(out) {
			continue
		}
		p.resendDelay = min(max(2*p.resendDelay, firstResend), max(m.cfg.DigestInterval, firstResend))
		p.resendAt = now + p.resendDelay
		m.send(p, out)
		if p.tries++; p.tries > maxDirectTries {
			m.relay(p)
		}
	}
}

// relay asks another sender to tell a peer who does not confirm: it may be cut off
// from this one only.
func (m *Machine) relay(to *peer) {
	for _, i := range m.rng.Perm(len(m.order)) {
		if p := m.peers[m.order[i]]; p != to && p.tries <= maxDirectTries {
			out := m.newMessage(p)
			own, _ := m.replica.LocalVersion()
			out.RelayTo, out.Deltas = []string{to.Name}, []facts.Delta{m.replica.DeltaSince(m.lastStep, own, to.acked, packetBytes)}
			if m.spend(out) {
				m.send(p, out)
			}
			return
		}
	}
}

// Tick does what is due.
func (m *Machine) Tick(now Time) Ready {
	m.begin(now)
	if now >= m.tickAt {
		m.tickAt = now + m.cfg.DigestInterval*Time(80+m.rng.IntN(41))/100
		m.ready.Observations = m.replica.Observe(now, m.replica.Expire(now))
		if len(m.order) > 0 {
			p := m.peers[m.order[m.rng.IntN(len(m.order))]]
			out := m.newMessage(p)
			m.addDigest(out)
			m.send(p, out)
		}
	}
	m.resendOwn(now)
	m.catchUp(now)
	return m.ready
}

// Receive takes a message of another sender. One that makes no sense changes nothing.
func (m *Machine) Receive(now Time, msg *Message) Ready {
	m.begin(now)
	if msg.Version != Version || msg.From.Name == "" || msg.From.Incarnation == 0 || len(msg.DigestRows) > MaxDigestRows || len(msg.Deltas) > MaxDeltas ||
		len(msg.RelayTo) > MaxRelayTargets || msg.SentAt < 0 {
		m.InvalidMessages++
		return m.ready
	}
	p := m.peers[msg.From.Name]
	if p == nil { // the view does not have it yet
		return m.ready
	}
	if p.incarnation != msg.From.Incarnation {
		addr := p.Peer
		*p = peer{Peer: addr, incarnation: msg.From.Incarnation, pulledAt: facts.Never, watermarks: map[facts.Origin]uint64{}}
	}
	p.receivedAt, p.sentAt, p.catchingUp = now, max(p.sentAt, msg.SentAt), msg.CatchingUp
	most := Time(maxTransit)
	if msg.Echo > 0 && msg.Echo <= now { // else it echoes an earlier life, on another machine's clock
		most = now - msg.Echo
	}
	var changed []facts.Subject
	confirm := false
	for i := range msg.Deltas {
		list, err := m.replica.Merge(now, &msg.Deltas[i], most)
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
		out := m.newMessage(p)
		out.DigestRows = []facts.DigestRow{{Origin: msg.From, Watermark: m.replica.Watermark(msg.From)}}
		m.send(p, out)
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

// receiveDigest takes the rows of a message.
func (m *Machine) receiveDigest(now Time, p *peer, msg *Message) {
	own, seq := m.replica.LocalVersion()
	lacks := false
	if len(p.watermarks) > facts.MaxOrigins { // lives that are long over, most of them
		clear(p.watermarks)
	}
	answered := msg.PullComplete != 0 && msg.PullComplete == p.pullRequest && msg.DigestComplete
	if answered && m.catchingUp && p.target == nil {
		p.setTarget(msg.DigestRows)
	}
	for _, r := range msg.DigestRows {
		p.watermarks[r.Origin] = max(p.watermarks[r.Origin], r.Watermark)
		if r.Origin == own {
			if known := min(r.Watermark, seq); known > p.acked {
				p.acked, p.resendDelay, p.tries, p.resendAt = known, 0, 0, now
			}
		}
		if !msg.DigestComplete {
			continue
		}
		l, ahead := m.replica.Compare(r)
		lacks = lacks || l
		if ahead && msg.PullRequest == 0 && r.Origin != own {
			m.sendMissing(now, p, r)
		}
	}
	if msg.DigestComplete && msg.PullRequest == 0 {
		has := map[facts.Origin]bool{}
		for _, r := range msg.DigestRows {
			has[r.Origin] = true
		}
		for _, r := range m.replica.Digest() {
			if !has[r.Origin] && r.Origin != own && (r.Watermark > r.Floor || r.Highest > 0) {
				m.sendMissing(now, p, facts.DigestRow{Origin: r.Origin})
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
	case m.catchingUp: // one after another: what the first gives the next need not
		if answered && !p.caughtUp {
			m.pull(now, p)
		}
	case p.pullRequest == 0 || now >= p.pulledAt+pullTimeout:
		m.pull(now, p)
	}
}

// sendMissing sends what a peer lacks of one origin by its row, as far as a packet holds.
func (m *Machine) sendMissing(now Time, p *peer, theirs facts.DigestRow) {
	out := m.newMessage(p)
	if theirs.Watermark < m.replica.Watermark(theirs.Origin) {
		out.Deltas = []facts.Delta{m.replica.DeltaSince(now, theirs.Origin, theirs.Watermark, packetBytes)}
	} else { // its author may be gone, with what lies between
		out.Deltas = m.replica.OutOfOrderDeltas(now, theirs.Origin, max(theirs.Watermark, theirs.Highest), packetBytes)
	}
	if len(out.Deltas) > 0 && m.spend(out) {
		m.send(p, out)
	}
}

// answerPull sends what an asker lacks by its rows, and closes with what this one has.
// Without room for any of it nothing is said: the asker goes to another then.
func (m *Machine) answerPull(now Time, p *peer, msg *Message) {
	has := map[facts.Origin]facts.DigestRow{}
	for _, r := range msg.DigestRows {
		has[r.Origin] = r
	}
	packets := 0
	out := m.newMessage(p)
	room := packetBytes
	flush := func() bool {
		if len(out.Deltas) == 0 {
			return true
		}
		if packets == maxPullPackets || !m.spend(out) {
			return false
		}
		packets++
		m.send(p, out)
		out, room = m.newMessage(p), packetBytes
		return true
	}
	func() {
		for _, r := range m.replica.Digest() {
			theirs := has[r.Origin]
			if top := max(theirs.Watermark, theirs.Highest); r.Highest > top {
				out.Deltas = append(out.Deltas, m.replica.OutOfOrderDeltas(now, r.Origin, top, room)...)
			}
			for since := theirs.Watermark; since < r.Watermark; {
				d := m.replica.DeltaSince(now, r.Origin, since, room)
				out.Deltas = append(out.Deltas, d)
				room -= d.Size()
				since = d.UpTo
				if (room < packetBytes/4 || len(out.Deltas) == MaxDeltas) && !flush() {
					return
				}
			}
		}
		flush()
	}()
	if packets == 0 && len(out.Deltas) > 0 {
		return
	}
	last := m.newMessage(p)
	last.PullComplete = msg.PullRequest
	m.addDigest(last)
	m.send(p, last)
}

// addDigest puts a digest of the addDigest copy into a message.
func (m *Machine) addDigest(out *Message) {
	out.DigestRows = m.replica.Digest()
	if out.DigestComplete = len(out.DigestRows) <= MaxDigestRows; !out.DigestComplete { // some of them, others the next time
		at := m.rng.IntN(len(out.DigestRows) - MaxDigestRows + 1)
		out.DigestRows = out.DigestRows[at : at+MaxDigestRows]
	}
}

func (m *Machine) newMessage(p *peer) *Message {
	return &Message{Version: Version, From: m.cfg.Self, SentAt: m.lastStep, Echo: p.sentAt, CatchingUp: m.catchingUp}
}

// spend takes a message out of the budget, if there is room for it.
func (m *Machine) spend(out *Message) bool {
	if m.budget <= 0 {
		m.Throttled++
		return false
	}
	m.budget -= float64(sizeOf(out))
	return true
}

func (m *Machine) send(p *peer, out *Message) {
	m.BytesSent += int64(sizeOf(out))
	m.ready.Send = append(m.ready.Send, Envelope{p.Addr, out})
}
