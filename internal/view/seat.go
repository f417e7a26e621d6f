package view

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is what a sender believes of another.
type State int

// The states.
const (
	Suspected    State = iota // nobody that is heard hears it, and nothing proves that it has ended
	Joining                   // it is heard, and not all have taken it in yet
	Reachable                 // it is heard
	Unreachable               // not heard from here, but by others
	Gone                      // nobody listens at its address any more
	HasLeft                   // in order
	IsForgotten               // by an operator's word
	OtherVersion              // it is heard, and its messages are of another version
	Paused                    // its guard says that it does not run
)

var stateNames = [...]string{"suspected", "joining", "here", "unreachable", "gone", "left", "forgotten", "other version", "paused"}

func (s State) String() string {
	if s >= 0 && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// report is what another sender last said of one.
type report struct {
	hears bool
	at    Time
}

// seat is another sender.
type seat struct {
	Peer
	version   string
	seats     int    // the most senders, as it says
	seq       uint64 // of its last message
	heard     Time   // when that came; never if none did
	since     Time   // of its state
	state     State
	voter     bool
	welcomed  bool // it counts this life among those whose grants matter
	end       End
	endAt     Time // when the proof came
	vacant    bool // it left or was fenced, and nobody listens at its address any more
	checked   bool // that its life has ended was seen from here, in this life
	grant     grant
	has       uint64            // the version of our roster that it counts by
	reports   map[string]report // by whom
	alien     int               // another version of its messages; 0 if it is ours
	probing   bool
	probedAt  Time
	callAt    Time
	hint      string // where a later life of it may be
	rival     string // another process with its name
	rivalTill Time
}

// over says whether the process is no more: one that has left, or was fenced, may be
// there still.
func (s *seat) over() bool {
	return s.end == ConnectionRefused || s.end == Forgotten || s.end != NotEnded && s.vacant
}

// take takes a message.
func (m *Machine) take(now Time, msg *Message) {
	if msg.From == "" || msg.ID == 0 || msg.Addr == "" || len(msg.PeerReports) > MaxPeerReports || len(msg.RosterNames) > MaxSenders {
		return
	}
	if msg.From == m.cfg.Name {
		m.namesake(now, msg)
		return
	}
	if r := msg.Refusal; r != nil && r.ID == m.cfg.ID {
		m.refusedFor(now, msg.From, r)
	}
	s := m.accept(now, msg)
	if s == nil {
		return
	}
	if msg.Seq <= s.seq { // late, doubled or replayed
		return
	}
	if s.end == ConnectionRefused { // sent before its end perhaps: it lives if it has heard us since
		if at, ok := m.sent[msg.AckSeq]; !ok || msg.RecognizedID != m.cfg.ID || at <= s.endAt {
			return
		}
	}
	m.dirty = m.dirty || s.state != Reachable || now-s.heard > m.fresh()/2 || msg.Voter != s.voter || msg.MaxSenders != s.seats || msg.WireVersion != m.cfg.WireVersion
	s.seq, s.heard = msg.Seq, now
	if s.alien = 0; msg.WireVersion != m.cfg.WireVersion {
		s.alien = msg.WireVersion
		return
	}
	s.voter, s.Zone, s.version, s.seats = msg.Voter, msg.Zone, msg.Version, msg.MaxSenders
	switch {
	case msg.Left && s.end == NotEnded:
		m.ends(now, s, Left, "it said so")
	case s.end == Forgotten || s.end == Fenced:
		m.refuse(s.Addr, &Refusal{ID: s.ID, Reason: KnownEnded})
		return
	case s.end == ConnectionRefused:
		m.HeardAfterGone++
		m.event(Event{Name: s.Name, Text: "taken for gone, and heard again in the same life"})
		s.end = NotEnded
	}
	if msg.RecognizedID == m.cfg.ID {
		s.welcomed = true
		if m.refused != nil && now-m.refusedAt > 2*m.cfg.Lease { // whoever refused it has found that the name is free
			m.refused = nil
			m.event(Event{Name: m.cfg.Name, Text: "taken in by " + s.Name + " and refused no longer"})
		}
		m.granted(s, msg)
		m.claim(s, msg)
	}
	if msg.RivalAddr != "" && m.refused == nil && now >= m.rivalSaid {
		m.rivalSaid = now + 10*m.cfg.Lease
		m.event(Event{Name: m.cfg.Name, Text: fmt.Sprintf("another process uses this name, at %s; %s has refused it", msg.RivalAddr, s.Name)})
	}
	for _, r := range msg.PeerReports {
		m.report(now, s, r)
	}
}

// accept says whose message it is; nil if it is not taken for the sender of its
// name.
func (m *Machine) accept(now Time, msg *Message) *seat {
	s := m.seats[msg.From]
	if s == nil {
		if !m.room() {
			m.refuse(msg.Addr, &Refusal{ID: msg.ID, Reason: TooManySenders})
			return nil
		}
		s = &seat{Peer: Peer{Name: msg.From}, heard: never, state: Suspected, reports: map[string]report{}}
		m.seats[msg.From] = s
	}
	if s.ID == msg.ID {
		return s
	}
	switch {
	case s.ID == 0:
	case msg.Addr != s.Addr && !s.over(): // nothing proves that the process there is no more
		m.rivals(now, s, msg)
		return nil
	case msg.Incarnation <= s.Incarnation:
		m.refuse(msg.Addr, &Refusal{ID: msg.ID, Reason: StaleIncarnation, Incarnation: s.Incarnation})
		return nil
	}
	again := s.ID != 0
	end := s.end
	s.Peer = Peer{Name: msg.From, Addr: msg.Addr, Zone: msg.Zone, ID: msg.ID, Incarnation: msg.Incarnation}
	s.seq, s.has, s.voter, s.welcomed, s.grant, s.end, s.vacant, s.checked, s.hint = 0, 0, false, false, grant{}, NotEnded, false, false, ""
	m.out.Save, m.dirty = true, true
	m.newcomer = s
	if again && end == NotEnded {
		m.event(Event{Name: s.Name, Text: fmt.Sprintf("starts again, as incarnation %d at %s", s.Incarnation, s.Addr)})
	}
	return s
}

// rivals refuses a second process with a name, and has both told.
func (m *Machine) rivals(now Time, s *seat, msg *Message) {
	m.refuse(msg.Addr, &Refusal{ID: msg.ID, Reason: NameInUse, Addr: s.Addr})
	if now >= s.rivalTill {
		m.event(Event{Name: s.Name, Text: fmt.Sprintf("two processes use this name: the one at %s is refused, the one at %s stays", msg.Addr, s.Addr)})
	}
	s.rival, s.rivalTill = msg.Addr, now+2*m.cfg.Lease
}

// room says whether another name may come, and makes room of one that is forgotten.
func (m *Machine) room() bool {
	if len(m.seats)+1 < m.most() {
		return true
	}
	for _, name := range m.names() {
		if m.seats[name].end == Forgotten {
			delete(m.seats, name)
			return true
		}
	}
	return false
}

func (m *Machine) refuse(addr string, r *Refusal) {
	out := m.common()
	out.Refusal = r
	m.out.Send = append(m.out.Send, Envelope{addr, &out})
}

// refusedFor takes it that another does not take this life for the sender of its
// name.
func (m *Machine) refusedFor(now Time, by string, r *Refusal) {
	switch r.Reason {
	case StaleIncarnation: // an old copy of its folder: it goes on above all that is known
		if r.Incarnation >= m.cfg.Incarnation {
			m.cfg.Incarnation = r.Incarnation
			m.rebirth(now, by+" knows a later life of it")
		}
		return
	case KnownEnded:
		m.rebirth(now, by+" has it for ended")
		return
	}
	if m.refused == nil {
		text := fmt.Sprintf("refused by %s: another process uses this name, at %s", by, r.Addr)
		if r.Reason == TooManySenders {
			text = fmt.Sprintf("refused by %s: there are as many senders as there may be", by)
		}
		m.event(Event{Name: m.cfg.Name, Text: text + "; it sends nothing"})
	}
	m.refused, m.refusedAt, m.voter, m.dirty = r, now, false, true
}

// namesake takes a message of another process with this sender's name. The one that
// others have taken in stays; else the one whose life has the lower number.
func (m *Machine) namesake(now Time, msg *Message) {
	if msg.ID == m.cfg.ID || msg.Addr == m.cfg.Addr { // its own, or of an earlier life
		return
	}
	if r := msg.Refusal; r != nil && r.ID == m.cfg.ID {
		m.refusedFor(now, msg.Addr, r)
		return
	}
	if m.refused != nil || !m.taken() && msg.ID < m.cfg.ID {
		return
	}
	m.refuse(msg.Addr, &Refusal{ID: msg.ID, Reason: NameInUse, Addr: m.cfg.Addr})
}

// taken says whether another counts this life.
func (m *Machine) taken() bool {
	for _, s := range m.seats {
		if s.welcomed {
			return true
		}
	}
	return false
}

// report takes what another says of a third.
func (m *Machine) report(now Time, by *seat, r PeerReport) {
	if r.Name == m.cfg.Name || r.Name == "" || r.ID == 0 {
		return
	}
	s := m.seats[r.Name]
	if s == nil {
		if !m.room() {
			return
		}
		s = &seat{Peer: Peer{Name: r.Name, Addr: r.Addr, ID: r.ID, Incarnation: r.Incarnation}, heard: never, state: Suspected, reports: map[string]report{}}
		m.seats[r.Name] = s
		m.out.Save = true
	}
	switch {
	case r.ID == s.ID:
		if r.End != NotEnded && s.end == NotEnded && now-s.heard > m.fresh()/2 {
			m.ends(now, s, r.End, "as "+by.Name+" found")
		}
		s.reported(by.Name, report{r.Heard && r.End == NotEnded, now})
	case r.Incarnation > s.Incarnation && r.End == NotEnded:
		s.hint = r.Addr
		s.reported(by.Name, report{r.Heard, now})
	}
}

// mostReports bounds those that are kept of one sender, the newest: enough for some
// that hear it to be among them, and their number does not grow with the fleet.
const mostReports = 32

// reported keeps what another sender says of s.
func (s *seat) reported(by string, r report) {
	if _, again := s.reports[by]; !again && len(s.reports) >= mostReports {
		oldest, at := "", r.at
		for name, x := range s.reports {
			if x.at < at || oldest == "" {
				oldest, at = name, x.at
			}
		}
		delete(s.reports, oldest)
	}
	s.reports[by] = r
}

// heardElsewhere says whether another sender that is heard hears s.
func (m *Machine) heardElsewhere(now Time, s *seat) bool {
	span := max(2*m.fresh(), Time(2+len(m.seats)/MaxPeerReports)*2*m.cfg.Interval)
	for by, r := range s.reports {
		x := m.seats[by]
		if r.hears && now-r.at <= span && x != nil && now-x.heard <= m.fresh() {
			return true
		}
	}
	return false
}

// ends takes a life for ended.
func (m *Machine) ends(now Time, s *seat, how End, evidence string) {
	s.end, s.endAt, s.grant, s.voter = how, now, grant{}, false
	s.callAt = now
	m.out.Save, m.dirty = true, true
	to := Gone
	switch how {
	case Left:
		to = HasLeft
	case Fenced:
		to = Paused
	case Forgotten:
		to = IsForgotten
	}
	m.becomes(now, s, to, how.String()+", "+evidence)
}

func (m *Machine) becomes(now Time, s *seat, to State, evidence string) {
	if s.state == to {
		return
	}
	m.event(Event{Name: s.Name, From: s.state, To: to, Text: evidence})
	s.state, s.since = to, now
}

// judge sees what has changed for want of news, and has silent ones probed.
func (m *Machine) judge(now Time) {
	for _, name := range m.names() {
		s := m.seats[name]
		again := m.cfg.Lease
		if !m.voter && !s.checked {
			again = 2 * m.cfg.Interval
		}
		if s.end != NotEnded && !(s.vacant && s.checked) && !s.probing && now >= s.probedAt+again {
			s.probing, s.probedAt = true, now
			m.out.Probe = append(m.out.Probe, Probe{s.Name, s.ID, s.Addr})
		}
		if s.end != NotEnded {
			continue
		}
		age := now - max(s.heard, m.base)
		if (age > 5*m.cfg.Interval/2 || s.heard == never) && s.Addr != "" && !s.probing && now >= s.probedAt+2*m.cfg.Interval {
			s.probing, s.probedAt = true, now
			m.out.Probe = append(m.out.Probe, Probe{s.Name, s.ID, s.Addr})
		}
		switch {
		case s.heard != never && age <= m.fresh():
			switch {
			case now-s.heard > m.fresh(): // nothing is known since this process's own pause
			case s.alien != 0:
				m.becomes(now, s, OtherVersion, fmt.Sprintf("its messages are of version %d, ours of %d", s.alien, m.cfg.WireVersion))
			case s.voter:
				m.becomes(now, s, Reachable, "heard")
			default:
				m.becomes(now, s, Joining, "heard")
			}
		case m.heardElsewhere(now, s):
			m.becomes(now, s, Unreachable, fmt.Sprintf("not heard here for %v; heard by %s", m.age(now, s), strings.Join(m.hearers(now, s, true), ", ")))
		case s.heard != never || now-m.base > m.fresh():
			by := m.hearers(now, s, false)
			m.becomes(now, s, Suspected, fmt.Sprintf("not heard here for %v; nor by %s", m.age(now, s), strings.Join(by, ", ")))
		}
	}
}

func (m *Machine) age(now Time, s *seat) Time {
	return (now - max(s.heard, m.born)).Round(10 * time.Millisecond)
}

// hearers lists who says that it hears s, or does not.
func (m *Machine) hearers(now Time, s *seat, hears bool) []string {
	var out []string
	for by, r := range s.reports {
		x := m.seats[by]
		if r.hears == hears && x != nil && now-x.heard <= m.fresh() {
			out = append(out, by)
		}
	}
	slices.Sort(out)
	return out
}
