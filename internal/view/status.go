package view

import (
	"slices"
	"time"
)

// Status is a view as operators see it.
type Status struct {
	Name              string       `json:"name"`
	Addr              string       `json:"address"`
	Incarnation       uint64       `json:"incarnation"`
	State             string       `json:"state"` // joining, here, left or refused
	Share             float64      `json:"part"`  // of each rate, now
	MinShare          float64      `json:"least"` // what it falls back to
	ShareValidSeconds float64      `json:"for_s"` // how long it may use the part without another grant
	CountedSenders    int          `json:"among"` // senders that share with it, itself counted; 0 if it has its least part
	MaxSenders        int          `json:"senders"`
	HeardAfterGone    int          `json:"wrongly_gone"` // taken for gone, and heard again in the same life
	Peers             []PeerStatus `json:"others"`
}

// PeerStatus is what a sender knows of another.
type PeerStatus struct {
	Name              string   `json:"name"`
	Addr              string   `json:"address"`
	Incarnation       uint64   `json:"incarnation"`
	State             string   `json:"state"`
	SecondsInState    float64  `json:"since_s"` // how long it has been in that state
	SecondsSinceHeard float64  `json:"heard_s"` // seconds since it was last heard; -1 for never
	Zone              string   `json:"zone,omitempty"`
	Version           string   `json:"version,omitempty"`
	HeardBy           []string `json:"heard_by"`
	NotHeardBy        []string `json:"not_heard_by"`
	GrantInForce      bool     `json:"grants"` // a grant of it is in force here
}

// Status tells the view at a time.
func (m *Machine) Status(now Time) Status {
	p := m.part(now)
	out := Status{Name: m.cfg.Name, Addr: m.cfg.Addr, Incarnation: m.cfg.Incarnation, State: "joining", Share: p.At(now), MinShare: p.Min,
		ShareValidSeconds: max(p.Until-now, 0).Seconds(), CountedSenders: p.CountedSenders, MaxSenders: m.most(), HeardAfterGone: m.HeardAfterGone, Peers: []PeerStatus{}}
	switch {
	case m.refused != nil:
		out.State = "refused"
	case m.left:
		out.State = "left"
	case m.voter:
		out.State = "here"
	}
	for _, name := range m.names() {
		s := m.seats[name]
		row := PeerStatus{Name: name, Addr: s.Addr, Incarnation: s.Incarnation, State: s.state.String(), SecondsInState: (now - s.since).Seconds(), SecondsSinceHeard: -1,
			Zone: s.Zone, Version: s.version, HeardBy: slices.Concat([]string{}, m.hearers(now, s, true)),
			NotHeardBy: slices.Concat([]string{}, m.hearers(now, s, false)), GrantInForce: now < s.grant.until}
		if s.heard != never {
			row.SecondsSinceHeard = (now - s.heard).Round(time.Millisecond).Seconds()
		}
		out.Peers = append(out.Peers, row)
	}
	return out
}

// PeerStates is the state of each other sender, by name.
func (m *Machine) PeerStates() map[string]State {
	out := make(map[string]State, len(m.seats))
	for name, s := range m.seats {
		out[name] = s.state
	}
	return out
}
