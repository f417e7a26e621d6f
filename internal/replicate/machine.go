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
	firstAgain = 40 * time.Millisecond // before what is not confirmed is sent again; then twice that, up to a tick
	triesAlone = 2                     // then others are asked to pass it on
	unknown    = time.Hour             // how long a message may have been on its way that echoes nothing
	behindFor  = time.Second           // that a peer counts as catching up after it has said so
	packetsAsk = 32                    // packets in answer to one question
	askAgain   = 150 * time.Millisecond
	hotRate    = 200 // facts a second that are sent to all at once; others go as the budget allows
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
	life    uint64
	heard   Time
	stamp   Time // its last
	behind  bool
	acked   uint64 // of this sender's own facts
	again   Time   // when what is not confirmed is sent once more
	gap     Time
	tries   int
	rows    map[facts.Origin]uint64
	askedAt Time // it was asked last
	asked   uint64
	goal    map[facts.Origin]uint64 // what it had when it first answered, while this one is behind
	done    bool                    // this copy has all of that
}

// Ready is what is to be done after a step.
type Ready struct {
	Send         []Envelope
	Observations []facts.Observation
	Event        string // for the log; empty for none
}

// Machine is one sender's part in it. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	replica *facts.Replica
	peers   map[string]*peer
	order   []string // of peers
	last    Time
	tickAt  Time

	behind  bool
	since   Time // that it is behind
	firstAt Time // when the first peer was caught up with; 0 for none

	budget   float64 // bytes
	hot      float64 // facts
	filledAt Time
	nonce    uint64
	out      Ready

	InvalidMessages int   // messages that made no sense
	Throttled       int   // times that the budget held something back
	CatchUpTimeouts int   // times that it went on without having caught up
	BytesSent       int64 // sent, about
	PullRetries     int   // times that another peer was asked for want of an answer
}

// New makes a machine at a time. It is behind.
func New(cfg Config, now Time) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)), replica: facts.New(cfg.Self, cfg.Zone, cfg.Drift),
		peers: map[string]*peer{}, last: now, tickAt: now, filledAt: now, hot: hotRate, budget: cfg.Rate}
	m.fallBehind(now)
	return m
}

// Replica is the copy of this sender, for those who only look.
func (m *Machine) Replica() *facts.Replica { return m.replica }

// CatchingUp says whether this copy may lack what others knew when this process
// returned, and since when.
func (m *Machine) CatchingUp() (bool, Time) { return m.behind, m.since }

// NextTick is when Tick is to be called at the latest.
func (m *Machine) NextTick() Time {
	next := m.tickAt
	_, seq := m.replica.LocalVersion()
	for _, p := range m.peers {
		if p.acked < seq || m.behind && p.asked != 0 {
			next = min(next, max(p.again, m.last+firstAgain/4))
		}
	}
	return next
}

// begin lets time pass. One that did not run for some ticks has missed what was told
// meanwhile.
func (m *Machine) begin(now Time) {
	m.out = Ready{}
	if now-m.last > MaxMissedTicks*m.cfg.DigestInterval {
		m.fallBehind(now)
	}
	m.last = max(m.last, now)
	d := (now - m.filledAt).Seconds()
	m.budget, m.hot, m.filledAt = min(m.budget+d*m.cfg.Rate, m.cfg.Rate), min(m.hot+d*hotRate, hotRate), now
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
		m.peers[x.Name] = &peer{Peer: x, heard: facts.Never, askedAt: facts.Never, rows: map[facts.Origin]uint64{}}
		if m.behind { // it may be asked at once
			m.tickAt = m.last
		}
	}
	maps.DeleteFunc(m.peers, func(name string, _ *peer) bool { return !now[name] })
	m.order = slices.Sorted(maps.Keys(m.peers))
}

// Publish takes what this sender has learnt itself. What binds others goes out at once.
func (m *Machine) Publish(now Time, s facts.Subject, v facts.Value, age, span Time) (Ready, error) {
	m.begin(now)
	if err := m.replica.Publish(now, s, v, age, span); err != nil {
		return m.out, err
	}
	m.out.Observations = m.replica.Observe(now, []facts.Subject{s}) // whose turn it is may have changed
	own, seq := m.replica.LocalVersion()
	if m.hot >= 1 && (s.Kind == facts.RequestedWait || s.Kind == facts.Health) {
		m.hot--
		for _, name := range m.order {
			if p := m.peers[name]; p.acked < seq-1 { // it lacks others too; they follow
				out := m.common(p)
				out.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, seq-1, packet)}
				m.send(p, out)
			}
		}
	}
	m.push(now)
	return m.out, nil
}

// push sends own facts to those who have not confirmed them.
func (m *Machine) push(now Time) {
	own, seq := m.replica.LocalVersion()
	for _, name := range m.order {
		p := m.peers[name]
		if p.acked >= seq || now < p.again || p.behind && now-p.heard < behindFor { // one that is behind asks by itself
			continue
		}
		out := m.common(p)
		out.Deltas = []facts.Delta{m.replica.DeltaSince(now, own, p.acked, packet)}
		if !m.spend(out) {
			continue
		}
		p.gap = min(max(2*p.gap, firstAgain), max(m.cfg.DigestInterval, firstAgain))
		p.again = now + p.gap
		m.send(p, out)
		if p.tries++; p.tries > triesAlone {
			m.passOn(p)
		}
	}
}

// passOn asks another sender to tell a peer who does not confirm: it may be cut off
// from this one only.
func (m *Machine) passOn(to *peer) {
	for _, i := range m.rng.Perm(len(m.order)) {
		if p := m.peers[m.order[i]]; p != to && p.tries <= triesAlone {
			out := m.common(p)
			own, _ := m.replica.LocalVersion()
			out.RelayTo, out.Deltas = []string{to.Name}, []facts.Delta{m.replica.DeltaSince(m.last, own, to.acked, packet)}
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
		m.out.Observations = m.replica.Observe(now, m.replica.Expire(now))
		if len(m.order) > 0 {
			p := m.peers[m.order[m.rng.IntN(len(m.order))]]
			out := m.common(p)
			m.whole(out)
			m.send(p, out)
		}
	}
	m.push(now)
	m.catchUp(now)
	return m.out
}

// Receive takes a message of another sender. One that makes no sense changes nothing.
func (m *Machine) Receive(now Time, msg *Message) Ready {
	m.begin(now)
	if msg.Version != Version || msg.From.Name == "" || msg.From.Incarnation == 0 || len(msg.DigestRows) > MaxDigestRows || len(msg.Deltas) > MaxDeltas ||
		len(msg.RelayTo) > MaxRelayTargets || msg.SentAt < 0 {
		m.InvalidMessages++
		return m.out
	}
	p := m.peers[msg.From.Name]
	if p == nil { // the view does not have it yet
		return m.out
	}
	if p.life != msg.From.Incarnation {
		addr := p.Peer
		*p = peer{Peer: addr, life: msg.From.Incarnation, askedAt: facts.Never, rows: map[facts.Origin]uint64{}}
	}
	p.heard, p.stamp, p.behind = now, max(p.stamp, msg.SentAt), msg.CatchingUp
	most := Time(unknown)
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
	m.out.Observations = m.replica.Observe(now, changed)
	m.compare(now, p, msg)
	if confirm {
		out := m.common(p)
		out.DigestRows = []facts.DigestRow{{Origin: msg.From, Watermark: m.replica.Watermark(msg.From)}}
		m.send(p, out)
	}
	for _, name := range msg.RelayTo {
		if to := m.peers[name]; to != nil && to != p {
			m.give(now, to, facts.DigestRow{Origin: msg.From, Watermark: to.rows[msg.From]})
		}
	}
	if msg.PullRequest != 0 {
		m.answer(now, p, msg)
	}
	m.push(now)
	m.catchUp(now)
	return m.out
}

// compare takes the rows of a message.
func (m *Machine) compare(now Time, p *peer, msg *Message) {
	own, seq := m.replica.LocalVersion()
	lacks := false
	if len(p.rows) > facts.MaxOrigins { // lives that are long over, most of them
		clear(p.rows)
	}
	answered := msg.PullComplete != 0 && msg.PullComplete == p.asked && msg.DigestComplete
	if answered && m.behind && p.goal == nil {
		p.aim(msg.DigestRows)
	}
	for _, r := range msg.DigestRows {
		p.rows[r.Origin] = max(p.rows[r.Origin], r.Watermark)
		if r.Origin == own {
			if known := min(r.Watermark, seq); known > p.acked {
				p.acked, p.gap, p.tries, p.again = known, 0, 0, now
			}
		}
		if !msg.DigestComplete {
			continue
		}
		l, ahead := m.replica.Compare(r)
		lacks = lacks || l
		if ahead && msg.PullRequest == 0 && r.Origin != own {
			m.give(now, p, r)
		}
	}
	if msg.DigestComplete && msg.PullRequest == 0 {
		has := map[facts.Origin]bool{}
		for _, r := range msg.DigestRows {
			has[r.Origin] = true
		}
		for _, r := range m.replica.Digest() {
			if !has[r.Origin] && r.Origin != own && (r.Watermark > r.Floor || r.Highest > 0) {
				m.give(now, p, facts.DigestRow{Origin: r.Origin})
			}
		}
	}
	if answered {
		p.asked = 0
		if m.behind {
			m.reached(now, p)
		}
	}
	switch {
	case !lacks:
	case m.behind: // one after another: what the first gives the next need not
		if answered && !p.done {
			m.ask(now, p)
		}
	case p.asked == 0 || now >= p.askedAt+askAgain:
		m.ask(now, p)
	}
}

// give sends what a peer lacks of one origin by its row, as far as a packet holds.
func (m *Machine) give(now Time, p *peer, theirs facts.DigestRow) {
	out := m.common(p)
	if theirs.Watermark < m.replica.Watermark(theirs.Origin) {
		out.Deltas = []facts.Delta{m.replica.DeltaSince(now, theirs.Origin, theirs.Watermark, packet)}
	} else { // its author may be gone, with what lies between
		out.Deltas = m.replica.OutOfOrderDeltas(now, theirs.Origin, max(theirs.Watermark, theirs.Highest), packet)
	}
	if len(out.Deltas) > 0 && m.spend(out) {
		m.send(p, out)
	}
}

// answer sends what an asker lacks by its rows, and closes with what this one has.
// Without room for any of it nothing is said: the asker goes to another then.
func (m *Machine) answer(now Time, p *peer, msg *Message) {
	has := map[facts.Origin]facts.DigestRow{}
	for _, r := range msg.DigestRows {
		has[r.Origin] = r
	}
	packets := 0
	out := m.common(p)
	room := packet
	flush := func() bool {
		if len(out.Deltas) == 0 {
			return true
		}
		if packets == packetsAsk || !m.spend(out) {
			return false
		}
		packets++
		m.send(p, out)
		out, room = m.common(p), packet
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
				if (room < packet/4 || len(out.Deltas) == MaxDeltas) && !flush() {
					return
				}
			}
		}
		flush()
	}()
	if packets == 0 && len(out.Deltas) > 0 {
		return
	}
	last := m.common(p)
	last.PullComplete = msg.PullRequest
	m.whole(last)
	m.send(p, last)
}

// whole puts a digest of the whole copy into a message.
func (m *Machine) whole(out *Message) {
	out.DigestRows = m.replica.Digest()
	if out.DigestComplete = len(out.DigestRows) <= MaxDigestRows; !out.DigestComplete { // some of them, others the next time
		at := m.rng.IntN(len(out.DigestRows) - MaxDigestRows + 1)
		out.DigestRows = out.DigestRows[at : at+MaxDigestRows]
	}
}

func (m *Machine) common(p *peer) *Message {
	return &Message{Version: Version, From: m.cfg.Self, SentAt: m.last, Echo: p.stamp, CatchingUp: m.behind}
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
	m.out.Send = append(m.out.Send, Envelope{p.Addr, out})
}
