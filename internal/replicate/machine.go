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

// Missed is for how many ticks a sender may not run before it counts as having missed
// what was told meanwhile.
const Missed = 3

// Config is what a sender is told at its start.
type Config struct {
	Own      facts.Origin
	Zone     string
	Drift    float64 // clocks of senders run at 1-Drift to 1+Drift of the true pace
	Every    Time    // between two digests
	Patience Time    // after which one that is behind, and whom nobody answers, goes on alone
	Rate     float64 // bytes a second for all but what binds
	Seed     uint64
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
	Send    []Envelope
	Lessons []facts.Observation
	Event   string // for the log; empty for none
}

// Machine is one sender's part in it. It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	copy   *facts.Copy
	peers  map[string]*peer
	order  []string // of peers
	last   Time
	tickAt Time

	behind  bool
	since   Time // that it is behind
	firstAt Time // when the first peer was caught up with; 0 for none

	budget   float64 // bytes
	hot      float64 // facts
	filledAt Time
	nonce    uint64
	out      Ready

	Forged  int   // messages that made no sense
	Short   int   // times that the budget held something back
	Alone   int   // times that it went on without having caught up
	Bytes   int64 // sent, about
	Reasked int   // times that another peer was asked for want of an answer
}

// New makes a machine at a time. It is behind.
func New(cfg Config, now Time) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Own.Life)), copy: facts.New(cfg.Own, cfg.Zone, cfg.Drift),
		peers: map[string]*peer{}, last: now, tickAt: now, filledAt: now, hot: hotRate, budget: cfg.Rate}
	m.fallBehind(now)
	return m
}

// Copy is the copy of this sender, for those who only look.
func (m *Machine) Copy() *facts.Copy { return m.copy }

// Behind says whether this copy may lack what others knew when this process
// returned, and since when.
func (m *Machine) Behind() (bool, Time) { return m.behind, m.since }

// Next is when Tick is to be called at the latest.
func (m *Machine) Next() Time {
	next := m.tickAt
	_, seq := m.copy.Own()
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
	if now-m.last > Missed*m.cfg.Every {
		m.fallBehind(now)
	}
	m.last = max(m.last, now)
	d := (now - m.filledAt).Seconds()
	m.budget, m.hot, m.filledAt = min(m.budget+d*m.cfg.Rate, m.cfg.Rate), min(m.hot+d*hotRate, hotRate), now
}

// Peers says which senders there are to talk to.
func (m *Machine) Peers(list []Peer) {
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

// Tell takes what this sender has learnt itself. What binds others goes out at once.
func (m *Machine) Tell(now Time, s facts.Subject, v facts.Value, age, span Time) (Ready, error) {
	m.begin(now)
	if err := m.copy.Tell(now, s, v, age, span); err != nil {
		return m.out, err
	}
	m.out.Lessons = m.copy.Learn(now, []facts.Subject{s}) // whose turn it is may have changed
	own, seq := m.copy.Own()
	if m.hot >= 1 && (s.Kind == facts.Wait || s.Kind == facts.Health) {
		m.hot--
		for _, name := range m.order {
			if p := m.peers[name]; p.acked < seq-1 { // it lacks others too; they follow
				out := m.common(p)
				out.Deltas = []facts.Delta{m.copy.Since(now, own, seq-1, packet)}
				m.send(p, out)
			}
		}
	}
	m.push(now)
	return m.out, nil
}

// push sends own facts to those who have not confirmed them.
func (m *Machine) push(now Time) {
	own, seq := m.copy.Own()
	for _, name := range m.order {
		p := m.peers[name]
		if p.acked >= seq || now < p.again || p.behind && now-p.heard < behindFor { // one that is behind asks by itself
			continue
		}
		out := m.common(p)
		out.Deltas = []facts.Delta{m.copy.Since(now, own, p.acked, packet)}
		if !m.spend(out) {
			continue
		}
		p.gap = min(max(2*p.gap, firstAgain), max(m.cfg.Every, firstAgain))
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
			own, _ := m.copy.Own()
			out.On, out.Deltas = []string{to.Name}, []facts.Delta{m.copy.Since(m.last, own, to.acked, packet)}
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
		m.tickAt = now + m.cfg.Every*Time(80+m.rng.IntN(41))/100
		m.out.Lessons = m.copy.Learn(now, m.copy.Expire(now))
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

// Take takes a message of another sender. One that makes no sense changes nothing.
func (m *Machine) Take(now Time, msg *Message) Ready {
	m.begin(now)
	if msg.Wire != Wire || msg.From.Name == "" || msg.From.Life == 0 || len(msg.Rows) > MostRows || len(msg.Deltas) > MostDeltas ||
		len(msg.On) > MostOn || msg.Stamp < 0 {
		m.Forged++
		return m.out
	}
	p := m.peers[msg.From.Name]
	if p == nil { // the view does not have it yet
		return m.out
	}
	if p.life != msg.From.Life {
		addr := p.Peer
		*p = peer{Peer: addr, life: msg.From.Life, askedAt: facts.Never, rows: map[facts.Origin]uint64{}}
	}
	p.heard, p.stamp, p.behind = now, max(p.stamp, msg.Stamp), msg.Behind
	most := Time(unknown)
	if msg.Echo > 0 && msg.Echo <= now { // else it echoes an earlier life, on another machine's clock
		most = now - msg.Echo
	}
	var changed []facts.Subject
	confirm := false
	for i := range msg.Deltas {
		list, err := m.copy.Merge(now, &msg.Deltas[i], most)
		if err != nil {
			m.Forged++
			continue
		}
		changed = append(changed, list...)
		confirm = confirm || msg.Deltas[i].Origin == msg.From
	}
	m.out.Lessons = m.copy.Learn(now, changed)
	m.compare(now, p, msg)
	if confirm {
		out := m.common(p)
		out.Rows = []facts.Row{{Origin: msg.From, Known: m.copy.Known(msg.From)}}
		m.send(p, out)
	}
	for _, name := range msg.On {
		if to := m.peers[name]; to != nil && to != p {
			m.give(now, to, facts.Row{Origin: msg.From, Known: to.rows[msg.From]})
		}
	}
	if msg.Ask != 0 {
		m.answer(now, p, msg)
	}
	m.push(now)
	m.catchUp(now)
	return m.out
}

// compare takes the rows of a message.
func (m *Machine) compare(now Time, p *peer, msg *Message) {
	own, seq := m.copy.Own()
	lacks := false
	if len(p.rows) > facts.MostOrigins { // lives that are long over, most of them
		clear(p.rows)
	}
	answered := msg.Answer != 0 && msg.Answer == p.asked && msg.Whole
	if answered && m.behind && p.goal == nil {
		p.aim(msg.Rows)
	}
	for _, r := range msg.Rows {
		p.rows[r.Origin] = max(p.rows[r.Origin], r.Known)
		if r.Origin == own {
			if known := min(r.Known, seq); known > p.acked {
				p.acked, p.gap, p.tries, p.again = known, 0, 0, now
			}
		}
		if !msg.Whole {
			continue
		}
		l, ahead := m.copy.Compare(r)
		lacks = lacks || l
		if ahead && msg.Ask == 0 && r.Origin != own {
			m.give(now, p, r)
		}
	}
	if msg.Whole && msg.Ask == 0 {
		has := map[facts.Origin]bool{}
		for _, r := range msg.Rows {
			has[r.Origin] = true
		}
		for _, r := range m.copy.Digest() {
			if !has[r.Origin] && r.Origin != own && (r.Known > r.Floor || r.Top > 0) {
				m.give(now, p, facts.Row{Origin: r.Origin})
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
func (m *Machine) give(now Time, p *peer, theirs facts.Row) {
	out := m.common(p)
	if theirs.Known < m.copy.Known(theirs.Origin) {
		out.Deltas = []facts.Delta{m.copy.Since(now, theirs.Origin, theirs.Known, packet)}
	} else { // its author may be gone, with what lies between
		out.Deltas = m.copy.Ahead(now, theirs.Origin, max(theirs.Known, theirs.Top), packet)
	}
	if len(out.Deltas) > 0 && m.spend(out) {
		m.send(p, out)
	}
}

// answer sends what an asker lacks by its rows, and closes with what this one has.
// Without room for any of it nothing is said: the asker goes to another then.
func (m *Machine) answer(now Time, p *peer, msg *Message) {
	has := map[facts.Origin]facts.Row{}
	for _, r := range msg.Rows {
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
		for _, r := range m.copy.Digest() {
			theirs := has[r.Origin]
			if top := max(theirs.Known, theirs.Top); r.Top > top {
				out.Deltas = append(out.Deltas, m.copy.Ahead(now, r.Origin, top, room)...)
			}
			for since := theirs.Known; since < r.Known; {
				d := m.copy.Since(now, r.Origin, since, room)
				out.Deltas = append(out.Deltas, d)
				room -= d.Size()
				since = d.UpTo
				if (room < packet/4 || len(out.Deltas) == MostDeltas) && !flush() {
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
	last.Answer = msg.Ask
	m.whole(last)
	m.send(p, last)
}

// whole puts a digest of the whole copy into a message.
func (m *Machine) whole(out *Message) {
	out.Rows = m.copy.Digest()
	if out.Whole = len(out.Rows) <= MostRows; !out.Whole { // some of them, others the next time
		at := m.rng.IntN(len(out.Rows) - MostRows + 1)
		out.Rows = out.Rows[at : at+MostRows]
	}
}

func (m *Machine) common(p *peer) *Message {
	return &Message{Wire: Wire, From: m.cfg.Own, Stamp: m.last, Echo: p.stamp, Behind: m.behind}
}

// spend takes a message out of the budget, if there is room for it.
func (m *Machine) spend(out *Message) bool {
	if m.budget <= 0 {
		m.Short++
		return false
	}
	m.budget -= float64(sizeOf(out))
	return true
}

func (m *Machine) send(p *peer, out *Message) {
	m.Bytes += int64(sizeOf(out))
	m.out.Send = append(m.out.Send, Envelope{p.Addr, out})
}
