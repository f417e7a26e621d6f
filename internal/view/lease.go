package view

import (
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// grant is a grant that this sender holds from a peer.
type grant struct {
	rosterVersion uint64   // version of the granter's roster
	rosterNames   []string // the senders that the granter grants to
	namesHash     uint64   // hash of rosterNames
	until         Time
}

// hashNames returns a hash by which lists of names are compared.
func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		io.WriteString(h, n)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// rosterEntry is a peer that this sender grants to.
type rosterEntry struct {
	id             uint64 // of the incarnation that is granted to
	addedVersion   uint64 // roster version that first contained the peer
	countedVersion uint64 // the peer is known to count all entries added up to this roster version
	grantedUntil   Time   // a grant to the peer may be in force until then
	requestedAt    Time   // when the peer last requested a grant
}

// Share is the share of each partner's rate that a sender may use: Current until Until, Min from then to StopAt, and
// 0 after that.
type Share struct {
	Current        float64 // fraction of each rate, valid until Until
	Until          Time    // end of the lease
	Min            float64 // minimum share, valid until StopAt
	StopAt         Time    // one lease after the last step: after a longer pause, nothing is sent before the next step
	CountedSenders int     // senders that the rate is divided among, this one included; 0 without a lease
}

// At returns the share at a time.
func (s Share) At(now Time) float64 {
	switch {
	case now >= s.StopAt:
		return 0
	case now < s.Until:
		return s.Current
	}
	return s.Min
}

// maxSenders returns how many senders there may be: the largest number that any of them is configured with.
func (m *Machine) maxSenders() int {
	n := m.cfg.MaxSenders
	for _, peer := range m.peers {
		if peer.end == NotEnded {
			n = max(n, peer.maxSenders)
		}
	}
	return n
}

// receiveGrant records the grant in a message that acknowledges one of this sender's messages. The lease runs from when
// that message was sent.
func (m *Machine) receiveGrant(peer *peerState, msg *Message) {
	sentAt, ok := m.sentAt[msg.AckSeq]
	if !msg.Grant || !ok || !msg.Voter || peer.end != NotEnded {
		return
	}
	switch {
	case msg.RosterVersion == peer.grant.rosterVersion && msg.RosterVersion != 0:
	case msg.RosterVersion > peer.grant.rosterVersion && len(msg.RosterNames) > 0:
		peer.grant.rosterVersion, peer.grant.rosterNames, peer.grant.namesHash, m.dirty =
			msg.RosterVersion, slices.Clone(msg.RosterNames), hashNames(msg.RosterNames), true
	default:
		return
	}
	m.dirty = m.dirty || m.lastStep >= peer.grant.until
	peer.grant.until = max(peer.grant.until, sentAt+m.cfg.Lease)
}

// handleGrantRequest records that a peer requests a grant. With enough grants from its peers, a sender may use more
// than its minimum share of the partners' rates for one lease. Each message of a voter that receives this sender's
// messages is such a request. The function also records up to which version of this sender's roster the peer counts
// the members when it divides the rates.
func (m *Machine) handleGrantRequest(peer *peerState, msg *Message) {
	peer.ackRosterVersion = msg.AckRosterVersion
	ackedAt, acked := m.sentAt[msg.AckSeq]
	if !msg.Voter || msg.Left || peer.end != NotEnded || !acked || m.lastStep-ackedAt > m.cfg.Lease {
		return // a peer that does not receive our messages can use no grant
	}
	entry := m.roster[peer.Name]
	if entry == nil {
		m.rosterVersion++
		entry = &rosterEntry{id: peer.ID, addedVersion: m.rosterVersion, grantedUntil: never}
		m.dirty = true
		m.roster[peer.Name] = entry
	}
	if entry.id != peer.ID { // the previous incarnation may still hold a grant
		if m.lastStep < entry.grantedUntil {
			return
		}
		entry.id, entry.countedVersion = peer.ID, 0
	}
	entry.countedVersion = max(entry.countedVersion, min(msg.AckRosterVersion, m.rosterVersion))
	entry.requestedAt = m.lastStep
}

// addGrant adds a grant to a message if its receiver may have one: every holder of a grant must count the receiver
// first.
func (m *Machine) addGrant(now Time, peer *peerState, msg *Message) {
	entry := m.roster[peer.Name]
	if entry == nil || entry.id != peer.ID || !m.voter || m.refusal != nil ||
		now-entry.requestedAt > m.cfg.Lease || now < m.startedAt+m.maxGrantTime() {
		return
	}
	if m.minCountedVersion(now, entry) < entry.addedVersion {
		return // a grant holder may not count the receiver yet
	}
	if now >= entry.grantedUntil { // it holds no grant, so it will count by the roster of this one
		entry.countedVersion = m.rosterVersion
	}
	entry.grantedUntil = now + m.maxGrantTime()
	msg.Grant, msg.RosterVersion = true, m.rosterVersion
	if peer.ackRosterVersion != m.rosterVersion {
		msg.RosterNames = m.rosterNames()
	}
}

// minCountedVersion returns the roster version up to which all grant holders but one are known to count. The two lowest
// versions are cached, because they serve all receivers of one tick.
func (m *Machine) minCountedVersion(now Time, except *rosterEntry) uint64 {
	if minima := &m.minCounted; minima.at != now || minima.rosterVersion != m.rosterVersion ||
		minima.size != len(m.roster) {
		*minima = countedMinima{at: now, rosterVersion: m.rosterVersion, size: len(m.roster),
			lowest: math.MaxUint64, secondLowest: math.MaxUint64}
		for _, entry := range m.roster {
			switch {
			case now >= entry.grantedUntil:
			case entry.countedVersion < minima.lowest:
				minima.entry, minima.lowest, minima.secondLowest = entry, entry.countedVersion, minima.lowest
			case entry.countedVersion < minima.secondLowest:
				minima.secondLowest = entry.countedVersion
			}
		}
	}
	if m.minCounted.entry == except {
		return m.minCounted.secondLowest
	}
	return m.minCounted.lowest
}

// countedMinima caches the two lowest counted versions of the grant holders at a time. It stays valid for that time and
// roster: a grant made meanwhile refers to the current roster and lowers neither.
type countedMinima struct {
	at                   Time
	rosterVersion        uint64
	size                 int
	entry                *rosterEntry // the one with the lowest version
	lowest, secondLowest uint64
}

// rosterNames returns the sorted names on the roster, this sender included.
func (m *Machine) rosterNames() []string {
	names := []string{m.cfg.Name}
	for name := range m.roster {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// expireRoster removes the peers that no longer request grants, once their last grant has expired.
func (m *Machine) expireRoster(now Time) {
	for name, entry := range m.roster {
		peer := m.peers[name]
		if now >= entry.grantedUntil && (peer == nil || peer.end != NotEnded || now-entry.requestedAt > m.maxGrantTime()) {
			delete(m.roster, name)
			m.rosterVersion++
		}
	}
}

// becomeVoter lets this sender issue and use grants once every possible sender recognizes its incarnation or is proven
// to have ended. The grants of its previous incarnation have expired by then.
func (m *Machine) becomeVoter(now Time) {
	if m.voter || m.left || m.refusal != nil || now < m.startedAt+m.maxGrantTime() || len(m.peers)+1 < m.maxSenders() {
		return
	}
	for _, peer := range m.peers {
		// An end that a peer reported may precede a later incarnation, which may consider this sender ended. Only an
		// end that this incarnation confirmed itself counts.
		ended := peer.endConfirmed && (peer.end != Left || peer.addrVacant) && (!m.unconfirmed() || peer.end == Forgotten)
		if !peer.recognizesThis && !ended || peer.otherWireVersion != 0 {
			return
		}
	}
	m.voter, m.cfg.AdmittedAddr, m.actions.Save = true, m.cfg.Addr, true
	m.nextTick = now
	m.addEvent(Event{Name: m.cfg.Name, Text: "admitted by all senders"})
}

// outOfQuorum reports whether a peer is proven to have ended and all its grants have expired.
func (m *Machine) outOfQuorum(now Time, peer *peerState) bool {
	return peer.end != NotEnded && now >= peer.endedAt+m.maxGrantTime()
}

// shareAt returns the share that this sender may use.
func (m *Machine) shareAt(now Time) Share {
	n := m.maxSenders()
	share := Share{Min: m.cfg.MinShareTotal / float64(n), Until: now, StopAt: m.lastStep + m.cfg.Lease}
	share.Current = share.Min
	// Peers detect a duplicate name. Until one recognizes this incarnation, nothing may be sent, unless the sender has
	// kept its state folder and address and has run for the longest time of a grant.
	if m.refusal != nil || n > 1 && (m.unconfirmed() || now < m.startedAt+m.maxGrantTime()) && !m.recognized() {
		return Share{Until: now}
	}
	if !m.voter || m.left {
		return share
	}
	electorate, unseen, firstName := n, n-1-len(m.peers), m.cfg.Name
	for _, peer := range m.peers {
		if m.outOfQuorum(now, peer) {
			electorate--
		} else {
			firstName = min(firstName, peer.Name)
		}
	}
	counted := map[string]bool{m.cfg.Name: true}
	for name := range m.roster {
		counted[name] = true
	}
	seenRosters := map[uint64]bool{}
	grantEnds := []Time{m.lastStep + m.cfg.Lease} // its own vote holds while this process runs
	for _, peer := range m.peers {
		if peer.end != NotEnded || now >= peer.grant.until {
			continue
		}
		grantEnds = append(grantEnds, peer.grant.until)
		if seenRosters[peer.grant.namesHash] {
			continue // most granters have the same roster
		}
		seenRosters[peer.grant.namesHash] = true
		for _, name := range peer.grant.rosterNames {
			counted[name] = true
		}
	}
	quorum := electorate/2 + 1
	if firstGrant := m.grantUntil(firstName, now); unseen <= 0 && electorate%2 == 0 && firstGrant > now {
		// Half of an even electorate is enough if it includes the sender with the first name.
		slices.Sort(grantEnds)
		if half := electorate / 2; len(grantEnds) >= half {
			share.Until = min(grantEnds[len(grantEnds)-half], firstGrant)
		}
	}
	slices.Sort(grantEnds)
	if len(grantEnds) >= quorum {
		share.Until = max(share.Until, grantEnds[len(grantEnds)-quorum])
	}
	if share.Until > now {
		share.CountedSenders = len(counted)
		share.Current = share.Min + (1-m.cfg.MinShareTotal)/float64(share.CountedSenders)
	}
	return share
}

// grantUntil returns when the grant of a sender expires.
func (m *Machine) grantUntil(name string, now Time) Time {
	if name == m.cfg.Name {
		return m.lastStep + m.cfg.Lease
	}
	if peer := m.peers[name]; peer != nil && peer.end == NotEnded {
		return peer.grant.until
	}
	return never
}
