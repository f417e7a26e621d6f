package view

import (
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// grant is one that this sender holds of another.
type grant struct {
	version uint64   // of the roster
	names   []string // whom the granter grants to
	sum     uint64   // of the names
	until   Time
}

// sumOf tells lists of names apart.
func sumOf(names []string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		io.WriteString(h, n)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// place is a sender on the roster of this one.
type place struct {
	id      uint64
	added   uint64 // version of the roster that first held it
	counted uint64 // it surely counts all who were added up to this version
	until   Time   // what it was granted may be in force until then
	claimed Time   // when it last asked
}

// Share is which part of each rate a sender may use.
type Share struct {
	Current        float64 // until Until
	Until          Time
	Min            float64 // after that, until Dead
	StopAt         Time    // this process has not run for a lease: nothing is sent before it has looked
	CountedSenders int     // senders that it shares with, itself counted; 0 if it has its least part
}

// At is the part at a time.
func (p Share) At(now Time) float64 {
	switch {
	case now >= p.StopAt:
		return 0
	case now < p.Until:
		return p.Current
	}
	return p.Min
}

// most is how many senders there may be: the most that any of them says.
func (m *Machine) most() int {
	n := m.cfg.MaxSenders
	for _, s := range m.seats {
		if s.end == NotEnded {
			n = max(n, s.seats)
		}
	}
	return n
}

// granted takes the grant of a message in answer to one of ours.
func (m *Machine) granted(s *seat, msg *Message) {
	at, ok := m.sent[msg.AckSeq]
	if !msg.Grant || !ok || !msg.Voter || s.end != NotEnded {
		return
	}
	switch {
	case msg.RosterVersion == s.grant.version && msg.RosterVersion != 0:
	case msg.RosterVersion > s.grant.version && len(msg.RosterNames) > 0:
		s.grant.version, s.grant.names, s.grant.sum, m.dirty = msg.RosterVersion, slices.Clone(msg.RosterNames), sumOf(msg.RosterNames), true
	default:
		return
	}
	m.dirty = m.dirty || m.last >= s.grant.until
	s.grant.until = max(s.grant.until, at+m.cfg.Lease)
}

// claim notes that another asks for a grant, and whom it counts.
func (m *Machine) claim(s *seat, msg *Message) {
	s.has = msg.AckRosterVersion
	at, heard := m.sent[msg.AckSeq]
	if !msg.Voter || msg.Left || s.end != NotEnded || !heard || m.last-at > m.cfg.Lease { // one who does not hear us can use no grant
		return
	}
	p := m.roster[s.Name]
	if p == nil {
		m.rosterVer++
		p = &place{id: s.ID, added: m.rosterVer, until: never}
		m.dirty = true
		m.roster[s.Name] = p
	}
	if p.id != s.ID { // the life before may hold a grant still
		if m.last < p.until {
			return
		}
		p.id, p.counted = s.ID, 0
	}
	p.counted = max(p.counted, min(msg.AckRosterVersion, m.rosterVer))
	p.claimed = m.last
}

// give puts a grant into a message, if its receiver may have one.
func (m *Machine) give(now Time, s *seat, out *Message) {
	p := m.roster[s.Name]
	if p == nil || p.id != s.ID || !m.voter || m.refused != nil || now-p.claimed > m.cfg.Lease || now < m.born+m.hold() {
		return
	}
	if m.lowestCounted(now, p) < p.added {
		return // somebody does not count the receiver yet
	}
	if now >= p.until { // none is out: it will count by this one
		p.counted = m.rosterVer
	}
	p.until = now + m.hold()
	out.Grant, out.RosterVersion = true, m.rosterVer
	if s.has != m.rosterVer {
		out.RosterNames = m.onRoster()
	}
}

// lowestCounted is up to which version of the roster all others who may hold a grant
// surely count. The two lowest serve all receivers of a moment.
func (m *Machine) lowestCounted(now Time, but *place) uint64 {
	if l := &m.lows; l.at != now || l.roster != m.rosterVer || l.n != len(m.roster) {
		*l = lows{at: now, roster: m.rosterVer, n: len(m.roster), first: math.MaxUint64, second: math.MaxUint64}
		for _, x := range m.roster {
			switch {
			case now >= x.until:
			case x.counted < l.first:
				l.who, l.first, l.second = x, x.counted, l.first
			case x.counted < l.second:
				l.second = x.counted
			}
		}
	}
	if m.lows.who == but {
		return m.lows.second
	}
	return m.lows.first
}

// lows is what lowestCounted found at a time. What is granted meanwhile is granted by
// the present roster, so that it lowers nothing.
type lows struct {
	at            Time
	roster        uint64
	n             int
	who           *place
	first, second uint64
}

// onRoster lists the roster, this sender included.
func (m *Machine) onRoster() []string {
	out := []string{m.cfg.Name}
	for name := range m.roster {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// expire takes those off the roster who no longer ask, once what they were granted
// is over.
func (m *Machine) expire(now Time) {
	for name, p := range m.roster {
		s := m.seats[name]
		if now >= p.until && (s == nil || s.end != NotEnded || now-p.claimed > m.hold()) {
			delete(m.roster, name)
			m.rosterVer++
		}
	}
}

// admit lets this sender take part in grants once every sender there may be has
// taken it in, or is proven to have ended. What it granted in a life before is over
// by then.
func (m *Machine) admit(now Time) {
	if m.voter || m.left || m.refused != nil || now < m.born+m.hold() || len(m.seats)+1 < m.most() {
		return
	}
	for _, s := range m.seats {
		// What another has told of its end may be older than a later life of it, which
		// has taken this one for ended: it counts only as seen from here.
		ended := s.checked && (s.end != Left || s.vacant) && (!m.strange() || s.end == Forgotten)
		if !s.welcomed && !ended || s.alien != 0 {
			return
		}
	}
	m.voter, m.cfg.AdmittedAddr, m.out.Save = true, m.cfg.Addr, true
	m.tickAt = now
	m.event(Event{Name: m.cfg.Name, Text: "taken in by all"})
}

// settled says whether a sender is proven to have ended, and all that it granted is
// over.
func (m *Machine) settled(now Time, s *seat) bool {
	return s.end != NotEnded && now >= s.endAt+m.hold()
}

// part is which part this sender may use.
func (m *Machine) part(now Time) Share {
	n := m.most()
	p := Share{Min: m.cfg.MinShareTotal / float64(n), Until: now, StopAt: m.last + m.cfg.Lease}
	p.Current = p.Min
	// A name that is used twice is told apart once another sender has been met: until
	// then nothing is sent, but by one who has its own folder and address and has met
	// nobody for a while.
	if m.refused != nil || n > 1 && (m.strange() || now < m.born+m.hold()) && !m.taken() {
		return Share{Until: now}
	}
	if !m.voter || m.left {
		return p
	}
	electors, unknown, first := n, n-1-len(m.seats), m.cfg.Name
	for _, s := range m.seats {
		if m.settled(now, s) {
			electors--
		} else {
			first = min(first, s.Name)
		}
	}
	counted := map[string]bool{m.cfg.Name: true}
	for name := range m.roster {
		counted[name] = true
	}
	lists := map[uint64]bool{}
	untils := []Time{m.last + m.cfg.Lease} // its own: it holds while this process runs
	for _, s := range m.seats {
		if s.end != NotEnded || now >= s.grant.until {
			continue
		}
		untils = append(untils, s.grant.until)
		if lists[s.grant.sum] {
			continue // mostly all grant to the same
		}
		lists[s.grant.sum] = true
		for _, name := range s.grant.names {
			counted[name] = true
		}
	}
	need := electors/2 + 1
	if firstGrant := m.grantOf(first, now); unknown <= 0 && electors%2 == 0 && firstGrant > now { // half is enough with the first
		slices.Sort(untils)
		if k := electors / 2; len(untils) >= k {
			p.Until = min(untils[len(untils)-k], firstGrant)
		}
	}
	slices.Sort(untils)
	if len(untils) >= need {
		p.Until = max(p.Until, untils[len(untils)-need])
	}
	if p.Until > now {
		p.CountedSenders = len(counted)
		p.Current = p.Min + (1-m.cfg.MinShareTotal)/float64(p.CountedSenders)
	}
	return p
}

// grantOf is until when the grant of a sender holds.
func (m *Machine) grantOf(name string, now Time) Time {
	if name == m.cfg.Name {
		return m.last + m.cfg.Lease
	}
	if s := m.seats[name]; s != nil && s.end == NotEnded {
		return s.grant.until
	}
	return never
}
