package view

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a time or a span on a clock that goes on while the process is paused. It
// may begin anywhere, but not before 0.
type Time = time.Duration

// Config is what a sender is told at its start.
type Config struct {
	Name, Addr, Zone, Version string
	ID                        uint64 // of this life; not 0
	Incarnation               uint64 // above all that went before
	MaxSenders                int    // the most senders there may be, this one counted
	MinShareTotal             float64
	Lease, Interval           Time
	MaxClockDrift             float64 // clocks of senders run at 1-Drift to 1+Drift of the true pace
	Join                      []string
	KnownPeers                []Peer
	// AdmittedAddr is the address at which all others last took this sender in, as its folder
	// says. At another one, or with an emptied folder, it is strange: what it keeps of
	// the others may be of no use, and another process may have its name.
	AdmittedAddr string
	Seed         uint64
	WireVersion  int // 0 for Wire
}

// Peer is what a sender keeps of another over a restart.
type Peer struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone,omitempty"`
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Probe asks for a stream to be opened to an address, to see whether a life that
// goes unheard has ended.
type Probe struct {
	Name string
	ID   uint64
	Addr string
}

// Event is a change of the view, for the log.
type Event struct {
	Name     string // of the sender that it concerns
	From, To State  // the same if it is no change of state
	Text     string // the evidence
}

// Actions is what is to be done after a step, in this order: Part holds from now on;
// then Kept is written, if Save says so; then all else.
type Actions struct {
	Share  Share
	Save   bool
	Send   []Envelope
	Probe  []Probe
	Events []Event
}

// Machine is one sender's view. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	seats    map[string]*seat // the others, by name
	born     Time
	last     Time // of the last step
	tickAt   Time
	joinAt   Time
	base     Time // silence from before does not count: this process was paused
	seq      uint64
	sent     map[uint64]Time // when each of the last messages was sent
	voter    bool
	left     bool
	dirty    bool // something has happened that may change the view or make the part smaller
	known    Share
	newcomer *seat // whose first message this step has taken
	turn     int   // of the rows

	roster    map[string]*place // whom this sender grants to
	rosterVer uint64
	lows      lows

	rivalSaid      Time
	refused        *Refusal // this life is not taken for the sender of its name
	refusedAt      Time
	out            Actions
	HeardAfterGone int // senders that were taken for gone and were heard again in the same life
}

// New makes a machine at a time.
func New(cfg Config, now Time) *Machine {
	if cfg.WireVersion == 0 {
		cfg.WireVersion = WireVersion
	}
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), seats: map[string]*seat{}, born: now, last: now, base: now,
		sent: map[uint64]Time{}, roster: map[string]*place{}, rosterVer: 1}
	for _, k := range cfg.KnownPeers {
		if k.Name != cfg.Name && k.Name != "" {
			m.seats[k.Name] = &seat{Peer: k, heard: never, state: Suspected, reports: map[string]report{}}
		}
	}
	return m
}

const never = Time(-1 << 62)

// MaxSenders is the most senders that there may be.
const MaxSenders = 1000

func (m *Machine) strange() bool { return m.cfg.AdmittedAddr != m.cfg.Addr }

// hold is how long a grant may be in force by the clock of whoever gave it.
func (m *Machine) hold() Time {
	return Time(float64(m.cfg.Lease)*(1+m.cfg.MaxClockDrift)/(1-m.cfg.MaxClockDrift)) + 1
}

// fresh is how long a sender counts as heard after a message of it.
func (m *Machine) fresh() Time { return max(6*m.cfg.Interval, m.cfg.Lease*6/10) }

// next is when Step is to be called again at the latest.
func (m *Machine) NextTick() Time { return m.tickAt }

// HandleMessage hands over a message that came. One that makes no sense is dropped.
func (m *Machine) HandleMessage(now Time, msg *Message) Actions {
	m.begin(now)
	m.take(now, msg)
	return m.end(now)
}

// Tick lets time pass.
func (m *Machine) Tick(now Time) Actions {
	m.begin(now)
	return m.end(now)
}

// HandleProbe hands over what a probe has found: Refused, Fenced, or Lives for all else.
func (m *Machine) HandleProbe(now Time, p Probe, found End) Actions {
	m.begin(now)
	if s := m.seats[p.Name]; s != nil {
		s.probing, m.dirty = false, m.dirty || found != NotEnded
		if s.ID == p.ID && s.end == NotEnded && s.heard < s.probedAt && (found == ConnectionRefused || found == Fenced) {
			m.ends(now, s, found, "by a probe of its address "+p.Addr)
		}
		if s.ID == p.ID && s.end != NotEnded && (found == ConnectionRefused || found == Fenced) {
			s.checked = true
			s.vacant = s.vacant || found == ConnectionRefused
		}
	}
	return m.end(now)
}

// Liveness is the life of this process, and when its last step began.
func (m *Machine) Liveness() (id uint64, at Time) { return m.cfg.ID, m.last }

// Leave has this sender give up all but its least part, for good.
func (m *Machine) Leave(now Time) Actions {
	m.begin(now)
	m.left, m.voter, m.dirty = true, false, true
	m.tickAt = now
	return m.end(now)
}

// Forget has another sender taken for ended, by an operator's word. It is wrong for
// one that runs.
func (m *Machine) Forget(now Time, name string) (Actions, error) {
	m.begin(now)
	s := m.seats[name]
	switch {
	case s == nil:
		return m.end(now), fmt.Errorf("no sender %q is known", name)
	case s.end == NotEnded && now-s.heard < m.fresh():
		return m.end(now), fmt.Errorf("%s was heard %v ago: it runs", name, (now - s.heard).Round(time.Millisecond))
	}
	m.ends(now, s, Forgotten, "by an operator")
	s.checked = true
	return m.end(now), nil
}

// HandleFenced says that this process's guard has had it taken for ended.
func (m *Machine) HandleFenced(now Time) Actions {
	m.begin(now)
	m.rebirth(now, "its guard has fenced it")
	return m.end(now)
}

// begin sees whether this process was paused. After a pause of more than a lease it
// is a new life: others may have taken the one before for ended.
func (m *Machine) begin(now Time) {
	m.out = Actions{}
	switch gap := now - m.last; {
	case gap >= m.cfg.Lease:
		m.rebirth(now, fmt.Sprintf("it did not run for %v", gap.Round(time.Millisecond)))
	case gap > 3*m.cfg.Interval:
		m.base = now
	}
	m.last = max(m.last, now)
}

func (m *Machine) rebirth(now Time, why string) {
	m.cfg.Incarnation++
	m.cfg.ID = m.rng.Uint64() | 1
	m.born, m.base, m.last, m.tickAt = now, now, now, now
	m.voter, m.refused, m.dirty = false, nil, true
	clear(m.sent)
	for _, s := range m.seats {
		s.welcomed, s.grant, s.probing = false, grant{}, false
		if s.end != NotEnded { // a later life of it may be there by now, and may have had this one taken for ended
			s.end, s.vacant, s.checked, s.heard, s.state = NotEnded, false, false, never, Suspected
		}
	}
	m.out.Save = true
	m.event(Event{Name: m.cfg.Name, Text: why + ": it joins anew as incarnation " + fmt.Sprint(m.cfg.Incarnation)})
}

func (m *Machine) event(e Event) { m.out.Events = append(m.out.Events, e) }

// end does what is due and tells what is to be done.
func (m *Machine) end(now Time) Actions {
	// What only adds to a part can wait for the next tick.
	look := m.dirty || now >= m.tickAt
	m.dirty = false
	if look {
		m.admit(now)
		m.expire(now)
		m.judge(now)
	}
	if now >= m.tickAt {
		m.tickAt = now + m.cfg.Interval
		m.tell(now)
	} else if s := m.newcomer; s != nil && m.seq > 0 { // it is told at once whom it has reached
		m.address(now, s, m.common())
	}
	m.newcomer = nil
	if look || m.dirty {
		m.known = m.part(now)
	}
	if m.known.StopAt > 0 {
		m.known.StopAt = m.last + m.cfg.Lease
	}
	m.out.Share = m.known
	return m.out
}

// Lists the others by name.
func (m *Machine) names() []string { return slices.Sorted(maps.Keys(m.seats)) }

// LivePeers lists the others that are not proven to have ended, by name.
func (m *Machine) LivePeers() (list []Peer) {
	for _, name := range m.names() {
		if s := m.seats[name]; s.end == NotEnded && s.ID != 0 && s.alien == 0 {
			list = append(list, s.Peer)
		}
	}
	return list
}

// SavedState is what is to be kept over a restart.
func (m *Machine) SavedState() (incarnation uint64, home string, list []Peer) {
	for _, name := range m.names() {
		if s := m.seats[name]; s.end != Forgotten && s.ID != 0 {
			list = append(list, s.Peer)
		}
	}
	return m.cfg.Incarnation, m.cfg.AdmittedAddr, list
}

// tell makes the messages of a tick.
func (m *Machine) tell(now Time) {
	m.seq++
	m.sent[m.seq] = now
	maps.DeleteFunc(m.sent, func(_ uint64, at Time) bool { return now-at > 2*m.cfg.Lease })
	base := m.common()
	base.PeerReports = m.rows(now)
	known := map[string]bool{m.cfg.Addr: true}
	for _, name := range m.names() {
		s := m.seats[name]
		if s.end == Forgotten || s.end != NotEnded && now < s.callAt {
			known[s.Addr] = s.end != Forgotten
			continue
		}
		s.callAt = now + m.cfg.Lease // one that has ended may start again where it was
		known[s.Addr] = true
		m.address(now, s, base)
	}
	if now >= m.joinAt {
		m.joinAt = now + m.cfg.Lease/2 + Time(m.rng.Int64N(int64(m.cfg.Lease/2)+1))
		for _, addr := range m.cfg.Join {
			if !known[addr] {
				known[addr] = true
				out := base
				m.out.Send = append(m.out.Send, Envelope{addr, &out})
			}
		}
	}
	for _, name := range m.names() { // a later life of a sender, as others tell
		if s := m.seats[name]; s.hint != "" && !known[s.hint] {
			out := base
			m.out.Send = append(m.out.Send, Envelope{s.hint, &out})
			s.hint = ""
		}
	}
}

// common is what all messages say.
func (m *Machine) common() Message {
	return Message{WireVersion: m.cfg.WireVersion, From: m.cfg.Name, ID: m.cfg.ID, Incarnation: m.cfg.Incarnation, Addr: m.cfg.Addr, Zone: m.cfg.Zone,
		Version: m.cfg.Version, MaxSenders: m.cfg.MaxSenders, Seq: m.seq, Voter: m.voter, Left: m.left}
}

// address sends a message to another sender, with what is for it alone.
func (m *Machine) address(now Time, s *seat, out Message) {
	if s.heard != never && s.end == NotEnded && s.alien == 0 {
		out.RecognizedID, out.AckSeq, out.AckRosterVersion = s.ID, s.seq, s.grant.version
		m.give(now, s, &out)
	}
	if now < s.rivalTill {
		out.RivalAddr = s.rival
	}
	m.out.Send = append(m.out.Send, Envelope{s.Addr, &out})
}

// rows tells what this sender knows of the others: news first, then all in turn.
func (m *Machine) rows(now Time) []PeerReport {
	names := m.names()
	n := min(len(names), MaxPeerReports)
	out := make([]PeerReport, 0, n)
	add := func(s *seat) {
		if s.ID != 0 {
			out = append(out, PeerReport{Name: s.Name, ID: s.ID, Incarnation: s.Incarnation, Addr: s.Addr, Heard: now-s.heard <= m.fresh(), End: s.end})
		}
	}
	news := 0
	if len(names) > n {
		for _, name := range names {
			if s := m.seats[name]; news < n/2 && s.since > 0 && now-s.since < 2*m.cfg.Lease {
				add(s)
				news++
			}
		}
	}
	for i := range n - news {
		add(m.seats[names[(m.turn+i)%len(names)]])
	}
	if len(names) > 0 {
		m.turn = (m.turn + n - news) % len(names)
	}
	return out
}
