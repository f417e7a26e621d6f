package view

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a time or a duration on a clock that advances while the process is paused. Its zero may be anywhere, but
// times are not negative.
type Time = time.Duration

// Config is the configuration of a [Machine].
type Config struct {
	Name, Addr, Zone, Version string
	ID                        uint64   // random ID of this incarnation; not 0
	Incarnation               uint64   // number of this incarnation, higher than all before it
	MaxSenders                int      // largest number of senders, this one included
	MinShareTotal             float64  // fraction of each rate that is divided evenly into minimum shares
	Lease, Interval           Time     // duration of a grant, and time between heartbeats
	MaxClockDrift             float64  // clocks of senders run at 1-MaxClockDrift to 1+MaxClockDrift of the true rate
	Join                      []string // addresses to contact besides those of the known peers
	KnownPeers                []Peer   // as [Machine.SavedState] returned them before the restart
	// AdmittedAddr is the address at which all peers last admitted this sender, as its state folder has it. At another
	// address, or with an emptied folder, this sender is unconfirmed: its saved peers may be outdated, and another
	// process may use its name.
	AdmittedAddr string
	Seed         uint64
	WireVersion  int // version of the messages; 0 for the constant [WireVersion]
}

// Peer identifies an incarnation of another sender. It is saved over restarts.
type Peer struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone,omitempty"`
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Probe requests that a stream be opened to an address, to find out whether an incarnation that is not heard has
// ended.
type Probe struct {
	Name string
	ID   uint64
	Addr string
}

// Event is a change of the view that is to be logged.
type Event struct {
	Name     string // the sender that it concerns
	From, To State  // equal unless the state of the sender has changed
	Text     string // what happened, or the evidence for the new state
}

// Actions are what the caller must do after a step, in this order: apply Share; write [Machine.SavedState] if Save is
// set; then send the messages, run the probes and log the events.
type Actions struct {
	Share  Share      // the share of each partner's rate that this sender may use from now on
	Save   bool       // the saved state has changed and must be written before anything is sent
	Send   []Envelope // messages to peers
	Probe  []Probe    // probes of incarnations that are not heard
	Events []Event    // changes of the view, for the log
}

// Machine is one sender's view. It is not safe for concurrent use.
type Machine struct {
	cfg            Config
	rng            *rand.Rand
	peers          map[string]*peerState // by name
	startedAt      Time                  // of this incarnation
	lastStep       Time                  // when the last step began
	nextTick       Time
	nextJoin       Time
	listeningSince Time            // end of the last pause of this process: silence of peers before it does not count
	seq            uint64          // of the last message sent
	sentAt         map[uint64]Time // send times of recent messages, by seq
	voter          bool            // takes part in grants
	left           bool            // has left the cluster in order
	dirty          bool            // something happened that may change the view or reduce the share
	share          Share           // as last computed
	newcomer       *peerState      // sender whose first message came in this step
	reportOffset   int             // next peer to report on, in the order of names

	roster        map[string]*rosterEntry // the peers that this sender grants to, by name
	rosterVersion uint64
	minCounted    countedMinima // cache of minCountedVersion

	nextRivalEvent Time     // no event about a process with the same name before this time
	refusal        *Refusal // why peers refuse this incarnation; nil if they do not
	refusedAt      Time
	actions        Actions // of the step under way
	HeardAfterGone int     // how often a peer considered ended was heard again in the same incarnation
}

// New returns a machine that starts at now.
func New(cfg Config, now Time) *Machine {
	if cfg.WireVersion == 0 {
		cfg.WireVersion = WireVersion
	}
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), peers: map[string]*peerState{},
		startedAt: now, lastStep: now, listeningSince: now,
		sentAt: map[uint64]Time{}, roster: map[string]*rosterEntry{}, rosterVersion: 1}
	for _, known := range cfg.KnownPeers {
		if known.Name != cfg.Name && known.Name != "" {
			m.peers[known.Name] = &peerState{Peer: known, heardAt: never, state: Suspected,
				observations: map[string]observation{}}
		}
	}
	return m
}

// never is the time of an event that has not occurred.
const never = Time(-1 << 62)

// MaxSenders is the largest number of senders that a cluster may have.
const MaxSenders = 1000

// unconfirmed reports whether this sender has a new address or lost its state folder: see Config.AdmittedAddr.
func (m *Machine) unconfirmed() bool { return m.cfg.AdmittedAddr != m.cfg.Addr }

// maxGrantTime returns how long a grant may be in force by the clock of its granter.
func (m *Machine) maxGrantTime() Time {
	return Time(float64(m.cfg.Lease)*(1+m.cfg.MaxClockDrift)/(1-m.cfg.MaxClockDrift)) + 1
}

// heardTimeout returns how long a peer counts as heard after a message from it.
func (m *Machine) heardTimeout() Time { return max(6*m.cfg.Interval, m.cfg.Lease*6/10) }

// NextTick returns when Tick must be called at the latest.
func (m *Machine) NextTick() Time { return m.nextTick }

// HandleMessage processes a message that arrived. A malformed one is ignored.
func (m *Machine) HandleMessage(now Time, msg *Message) Actions {
	m.beginStep(now)
	m.receive(now, msg)
	return m.finishStep(now)
}

// Tick does what is due at a time.
func (m *Machine) Tick(now Time) Actions {
	m.beginStep(now)
	return m.finishStep(now)
}

// HandleProbe processes the result of a probe: ConnectionRefused, Fenced, or NotEnded for anything else.
func (m *Machine) HandleProbe(now Time, p Probe, found End) Actions {
	m.beginStep(now)
	if peer := m.peers[p.Name]; peer != nil {
		peer.probing, m.dirty = false, m.dirty || found != NotEnded
		if peer.ID == p.ID && peer.end == NotEnded && peer.heardAt < peer.probedAt &&
			(found == ConnectionRefused || found == Fenced) {
			m.markEnded(now, peer, found, "by a probe of its address "+p.Addr)
		}
		if peer.ID == p.ID && peer.end != NotEnded && (found == ConnectionRefused || found == Fenced) {
			peer.endConfirmed = true
			peer.addrVacant = peer.addrVacant || found == ConnectionRefused
		}
	}
	return m.finishStep(now)
}

// Liveness returns the ID of this incarnation and when its last step began.
func (m *Machine) Liveness() (id uint64, at Time) { return m.cfg.ID, m.lastStep }

// Leave gives up all but the minimum share, for good.
func (m *Machine) Leave(now Time) Actions {
	m.beginStep(now)
	m.left, m.voter, m.dirty = true, false, true
	m.nextTick = now
	return m.finishStep(now)
}

// Forget marks a peer as ended at the request of an operator. It returns an error if the peer is unknown or was heard
// recently. The operator must make sure that the peer does not run.
func (m *Machine) Forget(now Time, name string) (Actions, error) {
	m.beginStep(now)
	peer := m.peers[name]
	switch {
	case peer == nil:
		return m.finishStep(now), fmt.Errorf("no sender %q is known", name)
	case peer.end == NotEnded && now-peer.heardAt < m.heardTimeout():
		return m.finishStep(now), fmt.Errorf("%s was heard %v ago: it runs", name,
			(now - peer.heardAt).Round(time.Millisecond))
	}
	m.markEnded(now, peer, Forgotten, "by an operator")
	peer.endConfirmed = true
	return m.finishStep(now), nil
}

// HandleFenced starts a new incarnation after the guard of this process has reported the current one as ended.
func (m *Machine) HandleFenced(now Time) Actions {
	m.beginStep(now)
	m.startIncarnation(now, "its guard has fenced it")
	return m.finishStep(now)
}

// beginStep detects a pause of this process. After a pause of a lease or more it starts a new incarnation, because
// peers may consider the previous one ended.
func (m *Machine) beginStep(now Time) {
	m.actions = Actions{}
	switch gap := now - m.lastStep; {
	case gap >= m.cfg.Lease:
		m.startIncarnation(now, fmt.Sprintf("it did not run for %v", gap.Round(time.Millisecond)))
	case gap > 3*m.cfg.Interval:
		m.listeningSince = now
	}
	m.lastStep = max(m.lastStep, now)
}

// startIncarnation replaces this incarnation by a new one that has no grants and is not yet recognized by any peer.
func (m *Machine) startIncarnation(now Time, reason string) {
	m.cfg.Incarnation++
	m.cfg.ID = m.rng.Uint64() | 1
	m.startedAt, m.listeningSince, m.lastStep, m.nextTick = now, now, now, now
	m.voter, m.refusal, m.dirty = false, nil, true
	clear(m.sentAt)
	for _, peer := range m.peers {
		peer.recognizesThis, peer.grant, peer.probing = false, grant{}, false
		if peer.end != NotEnded { // a later incarnation may run by now and may consider this sender ended
			peer.end, peer.addrVacant, peer.endConfirmed, peer.heardAt, peer.state = NotEnded, false, false, never, Suspected
		}
	}
	m.actions.Save = true
	m.addEvent(Event{Name: m.cfg.Name, Text: reason + ": it rejoins as incarnation " + fmt.Sprint(m.cfg.Incarnation)})
}

func (m *Machine) addEvent(e Event) { m.actions.Events = append(m.actions.Events, e) }

// finishStep does what is due and returns the actions of the step.
func (m *Machine) finishStep(now Time) Actions {
	// What only increases the share can wait for the next tick.
	update := m.dirty || now >= m.nextTick
	m.dirty = false
	if update {
		m.becomeVoter(now)
		m.expireRoster(now)
		m.updateStates(now)
	}
	if now >= m.nextTick {
		m.nextTick = now + m.cfg.Interval
		m.sendHeartbeats(now)
	} else if peer := m.newcomer; peer != nil && m.seq > 0 { // answer its first message at once
		m.sendTo(now, peer, m.baseMessage())
	}
	m.newcomer = nil
	if update || m.dirty {
		m.share = m.shareAt(now)
	}
	if m.share.StopAt > 0 {
		m.share.StopAt = m.lastStep + m.cfg.Lease
	}
	m.actions.Share = m.share
	return m.actions
}

// peerNames returns the sorted names of the peers.
func (m *Machine) peerNames() []string { return slices.Sorted(maps.Keys(m.peers)) }

// LivePeers returns the peers that are not proven to have ended, sorted by name.
func (m *Machine) LivePeers() (live []Peer) {
	for _, name := range m.peerNames() {
		if peer := m.peers[name]; peer.end == NotEnded && peer.ID != 0 && peer.otherWireVersion == 0 {
			live = append(live, peer.Peer)
		}
	}
	return live
}

// SavedState returns what must be saved over a restart.
func (m *Machine) SavedState() (incarnation uint64, admittedAddr string, peers []Peer) {
	for _, name := range m.peerNames() {
		if peer := m.peers[name]; peer.end != Forgotten && peer.ID != 0 {
			peers = append(peers, peer.Peer)
		}
	}
	return m.cfg.Incarnation, m.cfg.AdmittedAddr, peers
}

// sendHeartbeats creates the messages of a tick: to all peers, and now and then to the addresses to join.
func (m *Machine) sendHeartbeats(now Time) {
	m.seq++
	m.sentAt[m.seq] = now
	maps.DeleteFunc(m.sentAt, func(_ uint64, at Time) bool { return now-at > 2*m.cfg.Lease })
	base := m.baseMessage()
	base.PeerReports = m.peerReports(now)
	contacted := map[string]bool{m.cfg.Addr: true}
	for _, name := range m.peerNames() {
		peer := m.peers[name]
		if peer.end == Forgotten || peer.end != NotEnded && now < peer.nextContact {
			contacted[peer.Addr] = peer.end != Forgotten
			continue
		}
		peer.nextContact = now + m.cfg.Lease // an ended peer may restart at its address
		contacted[peer.Addr] = true
		m.sendTo(now, peer, base)
	}
	if now >= m.nextJoin {
		m.nextJoin = now + m.cfg.Lease/2 + Time(m.rng.Int64N(int64(m.cfg.Lease/2)+1))
		for _, addr := range m.cfg.Join {
			if !contacted[addr] {
				contacted[addr] = true
				msg := base
				m.actions.Send = append(m.actions.Send, Envelope{addr, &msg})
			}
		}
	}
	for _, name := range m.peerNames() { // a later incarnation that peers reported
		if peer := m.peers[name]; peer.laterAddr != "" && !contacted[peer.laterAddr] {
			msg := base
			m.actions.Send = append(m.actions.Send, Envelope{peer.laterAddr, &msg})
			peer.laterAddr = ""
		}
	}
}

// baseMessage returns the fields that all messages have in common.
func (m *Machine) baseMessage() Message {
	return Message{WireVersion: m.cfg.WireVersion, From: m.cfg.Name, ID: m.cfg.ID, Incarnation: m.cfg.Incarnation,
		Addr: m.cfg.Addr, Zone: m.cfg.Zone, Version: m.cfg.Version, MaxSenders: m.cfg.MaxSenders,
		Seq: m.seq, Voter: m.voter, Left: m.left}
}

// sendTo sends a message to a peer and adds the fields that are for this peer alone.
func (m *Machine) sendTo(now Time, peer *peerState, msg Message) {
	if peer.heardAt != never && peer.end == NotEnded && peer.otherWireVersion == 0 {
		msg.RecognizedID, msg.AckSeq, msg.AckRosterVersion = peer.ID, peer.lastSeq, peer.grant.rosterVersion
		m.addGrant(now, peer, &msg)
	}
	if now < peer.rivalUntil {
		msg.RivalAddr = peer.rivalAddr
	}
	m.actions.Send = append(m.actions.Send, Envelope{peer.Addr, &msg})
}

// peerReports returns reports on peers: up to half of them on recent changes, the rest on all peers in turn.
func (m *Machine) peerReports(now Time) []PeerReport {
	names := m.peerNames()
	count := min(len(names), MaxPeerReports)
	reports := make([]PeerReport, 0, count)
	add := func(peer *peerState) {
		if peer.ID != 0 {
			reports = append(reports, PeerReport{Name: peer.Name, ID: peer.ID, Incarnation: peer.Incarnation, Addr: peer.Addr,
				Heard: now-peer.heardAt <= m.heardTimeout(), End: peer.end})
		}
	}
	changed := 0
	if len(names) > count {
		for _, name := range names {
			if peer := m.peers[name]; changed < count/2 && peer.stateSince > 0 && now-peer.stateSince < 2*m.cfg.Lease {
				add(peer)
				changed++
			}
		}
	}
	for i := range count - changed {
		add(m.peers[names[(m.reportOffset+i)%len(names)]])
	}
	if len(names) > 0 {
		m.reportOffset = (m.reportOffset + count - changed) % len(names)
	}
	return reports
}
