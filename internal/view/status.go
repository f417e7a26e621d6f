package view

import (
	"slices"
	"time"
)

// Status is the view of a sender in the form that operators see.
type Status struct {
	Name              string       `json:"name"`
	Addr              string       `json:"address"`
	Incarnation       uint64       `json:"incarnation"`
	State             string       `json:"state"`        // "joining", "here", "left" or "refused"
	Share             float64      `json:"part"`         // fraction of each rate that it may use now
	MinShare          float64      `json:"least"`        // share without a lease
	ShareValidSeconds float64      `json:"for_s"`        // remaining time of the lease, in seconds
	CountedSenders    int          `json:"among"`        // senders that divide the rate, itself included; 0 if no lease
	MaxSenders        int          `json:"senders"`      // largest number of senders
	HeardAfterGone    int          `json:"wrongly_gone"` // peers heard again in an incarnation considered ended
	Peers             []PeerStatus `json:"others"`
}

// PeerStatus is what a sender knows of a peer.
type PeerStatus struct {
	Name              string   `json:"name"`
	Addr              string   `json:"address"`
	Incarnation       uint64   `json:"incarnation"`
	State             string   `json:"state"`
	SecondsInState    float64  `json:"since_s"` // since the last change of state
	SecondsSinceHeard float64  `json:"heard_s"` // since its last message; -1 for never
	Zone              string   `json:"zone,omitempty"`
	Version           string   `json:"version,omitempty"`
	HeardBy           []string `json:"heard_by"`     // peers that report that they hear it
	NotHeardBy        []string `json:"not_heard_by"` // peers that report that they do not hear it
	GrantInForce      bool     `json:"grants"`       // this sender holds a valid grant of it
}

// Status returns the view at a time.
func (m *Machine) Status(now Time) Status {
	share := m.shareAt(now)
	status := Status{Name: m.cfg.Name, Addr: m.cfg.Addr, Incarnation: m.cfg.Incarnation, State: "joining",
		Share: share.At(now), MinShare: share.Min, ShareValidSeconds: max(share.Until-now, 0).Seconds(),
		CountedSenders: share.CountedSenders, MaxSenders: m.maxSenders(),
		HeardAfterGone: m.HeardAfterGone, Peers: []PeerStatus{}}
	switch {
	case m.refusal != nil:
		status.State = "refused"
	case m.left:
		status.State = "left"
	case m.voter:
		status.State = "here"
	}
	for _, name := range m.peerNames() {
		peer := m.peers[name]
		row := PeerStatus{Name: name, Addr: peer.Addr, Incarnation: peer.Incarnation, State: peer.state.String(),
			SecondsInState: (now - peer.stateSince).Seconds(), SecondsSinceHeard: -1,
			Zone: peer.Zone, Version: peer.version, HeardBy: slices.Concat([]string{}, m.observers(now, peer, true)),
			NotHeardBy: slices.Concat([]string{}, m.observers(now, peer, false)), GrantInForce: now < peer.grant.until}
		if peer.heardAt != never {
			row.SecondsSinceHeard = (now - peer.heardAt).Round(time.Millisecond).Seconds()
		}
		status.Peers = append(status.Peers, row)
	}
	return status
}

// PeerStates returns the state of each peer, by name.
func (m *Machine) PeerStates() map[string]State {
	states := make(map[string]State, len(m.peers))
	for name, peer := range m.peers {
		states[name] = peer.state
	}
	return states
}
