package view

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is the state of a peer as a sender believes it to be.
type State int

// The states.
const (
	Suspected    State = iota // not heard, neither here nor by peers that are heard; not proven to have ended
	Joining                   // heard, but not yet a voter
	Reachable                 // heard, and a voter
	Unreachable               // not heard here, but by a peer that is heard
	Gone                      // ended: its address refuses connections
	HasLeft                   // ended: it left in order
	IsForgotten               // ended: declared so by an operator
	OtherVersion              // heard, but its messages have another version
	Paused                    // ended: fenced by its guard because it did not run
)

var stateNames = [...]string{"suspected", "joining", "here", "unreachable", "gone", "left", "forgotten",
	"other version", "paused"}

// String returns the name of a peer's state, as operators see it on the console and in the log, or "unknown".
func (s State) String() string {
	if s >= 0 && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// observation is what a peer last reported on another.
type observation struct {
	heard bool // the reporting peer hears it
	at    Time
}

// peerState is what this sender knows of a peer.
type peerState struct {
	Peer
	version          string // of its program
	maxSenders       int    // largest number of senders, as it is configured
	lastSeq          uint64 // of its last message
	heardAt          Time   // when that arrived; never if none has
	stateSince       Time   // time of the last change of state
	state            State
	voter            bool                   // it takes part in grants
	recognizesThis   bool                   // its messages recognize this sender's incarnation
	end              End                    // of its incarnation
	endedAt          Time                   // when the end was first known
	addrVacant       bool                   // it left or was fenced, and its address refuses connections now
	endConfirmed     bool                   // this sender's incarnation has itself confirmed the end
	grant            grant                  // the last one received from it
	ackRosterVersion uint64                 // version of this sender's roster that it has
	observations     map[string]observation // of this peer, by the name of the reporting peer
	otherWireVersion int                    // version of its messages if it is not ours; else 0
	probing          bool                   // a probe of its address is under way
	probedAt         Time                   // when the last probe started
	nextContact      Time                   // after its end: when to send the next message
	laterAddr        string                 // address of a later incarnation, as reported; empty if there is none
	rivalAddr        string                 // address of another process with its name, until rivalUntil
	rivalUntil       Time
}

// processGone reports whether the process no longer exists. One that has left or was fenced may still run.
func (p *peerState) processGone() bool {
	return p.end == ConnectionRefused || p.end == Forgotten || p.end != NotEnded && p.addrVacant
}

// receive processes a message.
func (m *Machine) receive(now Time, msg *Message) {
	if msg.From == "" || msg.ID == 0 || msg.Addr == "" || len(msg.PeerReports) > MaxPeerReports ||
		len(msg.RosterNames) > MaxSenders {
		return
	}
	if msg.From == m.cfg.Name {
		m.handleNameConflict(now, msg)
		return
	}
	if refusal := msg.Refusal; refusal != nil && refusal.ID == m.cfg.ID {
		m.handleRefusal(now, msg.From, refusal)
	}
	peer := m.resolveSender(now, msg)
	if peer == nil {
		return
	}
	if msg.Seq <= peer.lastSeq { // late, duplicated or replayed
		return
	}
	if peer.end == ConnectionRefused { // possibly sent before its end: it is alive if it acknowledges a later message
		if ackedAt, ok := m.sentAt[msg.AckSeq]; !ok || msg.RecognizedID != m.cfg.ID || ackedAt <= peer.endedAt {
			return
		}
	}
	m.dirty = m.dirty || peer.state != Reachable || now-peer.heardAt > m.heardTimeout()/2 ||
		msg.Voter != peer.voter || msg.MaxSenders != peer.maxSenders || msg.WireVersion != m.cfg.WireVersion
	peer.lastSeq, peer.heardAt = msg.Seq, now
	if peer.otherWireVersion = 0; msg.WireVersion != m.cfg.WireVersion {
		peer.otherWireVersion = msg.WireVersion
		return
	}
	peer.voter, peer.Zone, peer.version, peer.maxSenders = msg.Voter, msg.Zone, msg.Version, msg.MaxSenders
	switch {
	case msg.Left && peer.end == NotEnded:
		m.markEnded(now, peer, Left, "it announced that it left")
	case peer.end == Forgotten || peer.end == Fenced:
		m.sendRefusal(peer.Addr, &Refusal{ID: peer.ID, Reason: KnownEnded})
		return
	case peer.end == ConnectionRefused:
		m.HeardAfterGone++
		m.addEvent(Event{Name: peer.Name, Text: "taken for gone, and heard again in the same life"})
		peer.end = NotEnded
	}
	if msg.RecognizedID == m.cfg.ID {
		peer.recognizesThis = true
		if m.refusal != nil && now-m.refusedAt > 2*m.cfg.Lease { // the peer that refused it now considers the name free
			m.refusal = nil
			m.addEvent(Event{Name: m.cfg.Name, Text: "admitted by " + peer.Name + " and no longer refused"})
		}
		m.receiveGrant(peer, msg)
		m.handleGrantRequest(peer, msg)
	}
	if msg.RivalAddr != "" && m.refusal == nil && now >= m.nextRivalEvent {
		m.nextRivalEvent = now + 10*m.cfg.Lease
		m.addEvent(Event{Name: m.cfg.Name, Text: fmt.Sprintf("another process uses this name, at %s; %s has refused it",
			msg.RivalAddr, peer.Name)})
	}
	for _, report := range msg.PeerReports {
		m.handlePeerReport(now, peer, report)
	}
}

// resolveSender returns the peer that sent a message, after it has recorded a new peer or incarnation. It returns nil
// if the process is not recognized as the sender of its name, and refuses it then.
func (m *Machine) resolveSender(now Time, msg *Message) *peerState {
	peer := m.peers[msg.From]
	if peer == nil {
		if !m.ensureRoom() {
			m.sendRefusal(msg.Addr, &Refusal{ID: msg.ID, Reason: TooManySenders})
			return nil
		}
		peer = &peerState{Peer: Peer{Name: msg.From}, heardAt: never, state: Suspected,
			observations: map[string]observation{}}
		m.peers[msg.From] = peer
	}
	if peer.ID == msg.ID {
		return peer
	}
	switch {
	case peer.ID == 0:
	case msg.Addr != peer.Addr && !peer.processGone(): // the process at the known address may still run
		m.refuseRival(now, peer, msg)
		return nil
	case msg.Incarnation <= peer.Incarnation:
		m.sendRefusal(msg.Addr, &Refusal{ID: msg.ID, Reason: StaleIncarnation, Incarnation: peer.Incarnation})
		return nil
	}
	known := peer.ID != 0
	lastEnd := peer.end
	peer.Peer = Peer{Name: msg.From, Addr: msg.Addr, Zone: msg.Zone, ID: msg.ID, Incarnation: msg.Incarnation}
	peer.lastSeq, peer.ackRosterVersion, peer.voter, peer.recognizesThis, peer.grant, peer.end,
		peer.addrVacant, peer.endConfirmed, peer.laterAddr =
		0, 0, false, false, grant{}, NotEnded, false, false, ""
	m.actions.Save, m.dirty = true, true
	m.newcomer = peer
	if known && lastEnd == NotEnded {
		m.addEvent(Event{Name: peer.Name, Text: fmt.Sprintf("restarted as incarnation %d at %s",
			peer.Incarnation, peer.Addr)})
	}
	return peer
}

// refuseRival refuses a second process with the name of a peer. The refusal informs that process, and the next messages
// to the peer inform the first.
func (m *Machine) refuseRival(now Time, peer *peerState, msg *Message) {
	m.sendRefusal(msg.Addr, &Refusal{ID: msg.ID, Reason: NameInUse, Addr: peer.Addr})
	if now >= peer.rivalUntil {
		m.addEvent(Event{Name: peer.Name, Text: fmt.Sprintf(
			"two processes use this name: the one at %s is refused, the one at %s stays", msg.Addr, peer.Addr)})
	}
	peer.rivalAddr, peer.rivalUntil = msg.Addr, now+2*m.cfg.Lease
}

// ensureRoom reports whether another peer can be added. If necessary it removes a forgotten one.
func (m *Machine) ensureRoom() bool {
	if len(m.peers)+1 < m.maxSenders() {
		return true
	}
	for _, name := range m.peerNames() {
		if m.peers[name].end == Forgotten {
			delete(m.peers, name)
			return true
		}
	}
	return false
}

// sendRefusal sends a refusal to an address.
func (m *Machine) sendRefusal(addr string, refusal *Refusal) {
	msg := m.baseMessage()
	msg.Refusal = refusal
	m.actions.Send = append(m.actions.Send, Envelope{addr, &msg})
}

// handleRefusal processes a refusal of this incarnation: it starts a new incarnation if that can help, else the share
// of this sender is 0 until a peer recognizes it.
func (m *Machine) handleRefusal(now Time, by string, refusal *Refusal) {
	switch refusal.Reason {
	case StaleIncarnation: // the state folder is an old copy: continue above the highest known incarnation
		if refusal.Incarnation >= m.cfg.Incarnation {
			m.cfg.Incarnation = refusal.Incarnation
			m.startIncarnation(now, by+" knows a later incarnation")
		}
		return
	case KnownEnded:
		m.startIncarnation(now, by+" considers it ended")
		return
	}
	if m.refusal == nil {
		text := fmt.Sprintf("refused by %s: another process uses this name, at %s", by, refusal.Addr)
		if refusal.Reason == TooManySenders {
			text = fmt.Sprintf("refused by %s: there are as many senders as there may be", by)
		}
		m.addEvent(Event{Name: m.cfg.Name, Text: text + "; it sends nothing"})
	}
	m.refusal, m.refusedAt, m.voter, m.dirty = refusal, now, false, true
}

// handleNameConflict processes a message of another process with this sender's name. The process that peers recognize
// stays; if they recognize neither, the one whose incarnation has the lower ID.
func (m *Machine) handleNameConflict(now Time, msg *Message) {
	if msg.ID == m.cfg.ID || msg.Addr == m.cfg.Addr { // its own message, or one of an earlier incarnation
		return
	}
	if refusal := msg.Refusal; refusal != nil && refusal.ID == m.cfg.ID {
		m.handleRefusal(now, msg.Addr, refusal)
		return
	}
	if m.refusal != nil || !m.recognized() && msg.ID < m.cfg.ID {
		return
	}
	m.sendRefusal(msg.Addr, &Refusal{ID: msg.ID, Reason: NameInUse, Addr: m.cfg.Addr})
}

// recognized reports whether a peer recognizes this incarnation.
func (m *Machine) recognized() bool {
	for _, peer := range m.peers {
		if peer.recognizesThis {
			return true
		}
	}
	return false
}

// handlePeerReport processes what one peer reports on another.
func (m *Machine) handlePeerReport(now Time, reporter *peerState, report PeerReport) {
	if report.Name == m.cfg.Name || report.Name == "" || report.ID == 0 {
		return
	}
	peer := m.peers[report.Name]
	if peer == nil {
		if !m.ensureRoom() {
			return
		}
		peer = &peerState{Peer: Peer{Name: report.Name, Addr: report.Addr, ID: report.ID, Incarnation: report.Incarnation},
			heardAt: never, state: Suspected, observations: map[string]observation{}}
		m.peers[report.Name] = peer
		m.actions.Save = true
	}
	switch {
	case report.ID == peer.ID:
		if report.End != NotEnded && peer.end == NotEnded && now-peer.heardAt > m.heardTimeout()/2 {
			m.markEnded(now, peer, report.End, "as "+reporter.Name+" reported")
		}
		peer.recordObservation(reporter.Name, observation{report.Heard && report.End == NotEnded, now})
	case report.Incarnation > peer.Incarnation && report.End == NotEnded:
		peer.laterAddr = report.Addr
		peer.recordObservation(reporter.Name, observation{report.Heard, now})
	}
}

// maxObservations is the largest number of observations kept of one peer, the newest ones. It is high enough that some
// of them come from peers that hear it, and independent of the size of the cluster.
const maxObservations = 32

// recordObservation records what a peer reports on this one, in place of the oldest observation if there are too many.
func (p *peerState) recordObservation(reporter string, latest observation) {
	if _, replaces := p.observations[reporter]; !replaces && len(p.observations) >= maxObservations {
		oldest, oldestAt := "", latest.at
		for name, other := range p.observations {
			if other.at < oldestAt || oldest == "" {
				oldest, oldestAt = name, other.at
			}
		}
		delete(p.observations, oldest)
	}
	p.observations[reporter] = latest
}

// heardByPeer reports whether another peer that is heard reports that it hears this one.
func (m *Machine) heardByPeer(now Time, peer *peerState) bool {
	maxAge := max(2*m.heardTimeout(), Time(2+len(m.peers)/MaxPeerReports)*2*m.cfg.Interval)
	for reporter, observed := range peer.observations {
		other := m.peers[reporter]
		if observed.heard && now-observed.at <= maxAge && other != nil && now-other.heardAt <= m.heardTimeout() {
			return true
		}
	}
	return false
}

// markEnded records that the incarnation of a peer has ended.
func (m *Machine) markEnded(now Time, peer *peerState, end End, evidence string) {
	peer.end, peer.endedAt, peer.grant, peer.voter = end, now, grant{}, false
	peer.nextContact = now
	m.actions.Save, m.dirty = true, true
	state := Gone
	switch end {
	case Left:
		state = HasLeft
	case Fenced:
		state = Paused
	case Forgotten:
		state = IsForgotten
	}
	m.setState(now, peer, state, end.String()+", "+evidence)
}

// setState changes the state of a peer and adds an event if it differs.
func (m *Machine) setState(now Time, peer *peerState, state State, evidence string) {
	if peer.state == state {
		return
	}
	m.addEvent(Event{Name: peer.Name, From: peer.state, To: state, Text: evidence})
	peer.state, peer.stateSince = state, now
}

// updateStates derives the states of all peers from when they were last heard, and probes the silent ones.
func (m *Machine) updateStates(now Time) {
	for _, name := range m.peerNames() {
		peer := m.peers[name]
		probeInterval := m.cfg.Lease
		if !m.voter && !peer.endConfirmed {
			probeInterval = 2 * m.cfg.Interval
		}
		if peer.end != NotEnded && !(peer.addrVacant && peer.endConfirmed) && !peer.probing &&
			now >= peer.probedAt+probeInterval {
			peer.probing, peer.probedAt = true, now
			m.actions.Probe = append(m.actions.Probe, Probe{peer.Name, peer.ID, peer.Addr})
		}
		if peer.end != NotEnded {
			continue
		}
		silence := now - max(peer.heardAt, m.listeningSince)
		if (silence > 5*m.cfg.Interval/2 || peer.heardAt == never) && peer.Addr != "" && !peer.probing &&
			now >= peer.probedAt+2*m.cfg.Interval {
			peer.probing, peer.probedAt = true, now
			m.actions.Probe = append(m.actions.Probe, Probe{peer.Name, peer.ID, peer.Addr})
		}
		switch {
		case peer.heardAt != never && silence <= m.heardTimeout():
			switch {
			case now-peer.heardAt > m.heardTimeout(): // this process was paused: no conclusion is possible yet
			case peer.otherWireVersion != 0:
				m.setState(now, peer, OtherVersion, fmt.Sprintf("its messages have version %d, expected %d",
					peer.otherWireVersion, m.cfg.WireVersion))
			case peer.voter:
				m.setState(now, peer, Reachable, "heard")
			default:
				m.setState(now, peer, Joining, "heard")
			}
		case m.heardByPeer(now, peer):
			m.setState(now, peer, Unreachable, fmt.Sprintf("not heard here for %v; heard by %s",
				m.silentFor(now, peer), strings.Join(m.observers(now, peer, true), ", ")))
		case peer.heardAt != never || now-m.listeningSince > m.heardTimeout():
			reporters := m.observers(now, peer, false)
			m.setState(now, peer, Suspected, fmt.Sprintf("not heard here for %v; nor by %s",
				m.silentFor(now, peer), strings.Join(reporters, ", ")))
		}
	}
}

// silentFor returns for how long a peer has not been heard by this incarnation, rounded for events.
func (m *Machine) silentFor(now Time, peer *peerState) Time {
	return (now - max(peer.heardAt, m.startedAt)).Round(10 * time.Millisecond)
}

// observers returns the sorted names of the peers that are heard and report that they hear a peer, or do not hear it.
func (m *Machine) observers(now Time, peer *peerState, heard bool) []string {
	var names []string
	for reporter, observed := range peer.observations {
		other := m.peers[reporter]
		if observed.heard == heard && other != nil && now-other.heardAt <= m.heardTimeout() {
			names = append(names, reporter)
		}
	}
	slices.Sort(names)
	return names
}
