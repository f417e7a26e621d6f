package replicate

import (
	"fmt"

	"cometrack/internal/facts"
)

// Status describes the replication of facts at one sender, for operators.
type Status struct {
	CatchingUp        bool    `json:"behind"`   // this replica may lack facts that others have
	CatchingUpSeconds float64 `json:"behind_s"` // duration of the current catch-up; 0 if there is none
	Facts             int     `json:"facts"`
	InvalidMessages   int     `json:"forged"`      // invalid messages and deltas received
	Repairs           int     `json:"repairs"`     // origins that differed from a replica with the same watermark
	Throttled         int     `json:"held_back"`   // messages that the byte budget delayed
	CatchUpTimeouts   int     `json:"went_alone"`  // times that catching up ended because no peer answered
	BytesSent         int64   `json:"bytes"`       // estimated
	Unconfirmed       int     `json:"unconfirmed"` // largest Lag of a peer
	Dropped           int     `json:"dropped"`     // own facts removed to make room for others
	Peers             []Lag   `json:"peers"`
}

// Lag describes how far a peer lags behind this sender's own facts.
type Lag struct {
	Name                string  `json:"name"`
	Lag                 uint64  `json:"lag"`     // sequence numbers of this sender that the peer has not confirmed
	SecondsSinceReceipt float64 `json:"heard_s"` // since the last message from the peer; -1 for never
	CatchingUp          bool    `json:"behind"`
}

// Status returns the status at a time.
func (m *Machine) Status(now Time) Status {
	s := Status{CatchingUp: m.catchingUp, Facts: m.replica.Len(), InvalidMessages: m.InvalidMessages,
		Repairs: m.replica.Repairs, Throttled: m.Throttled, CatchUpTimeouts: m.CatchUpTimeouts, BytesSent: m.BytesSent,
		Dropped: m.replica.Dropped, Peers: []Lag{}}
	if m.catchingUp {
		s.CatchingUpSeconds = (now - m.catchUpStart).Seconds()
	}
	_, seq := m.replica.LocalVersion()
	for _, name := range m.order {
		p := m.peers[name]
		lag := Lag{Name: name, Lag: seq - p.acked, SecondsSinceReceipt: -1, CatchingUp: p.catchingUp}
		if p.receivedAt != facts.Never {
			lag.SecondsSinceReceipt = (now - p.receivedAt).Seconds()
		}
		s.Unconfirmed = max(s.Unconfirmed, int(lag.Lag))
		s.Peers = append(s.Peers, lag)
	}
	return s
}

// Difference is a difference between this replica and a peer's in the facts of one origin,
// according to the peer's last digest.
type Difference struct {
	Origin      string `json:"by"`
	Incarnation uint64 `json:"life"`
	Local       uint64 `json:"here"`  // watermark of this replica
	Remote      uint64 `json:"there"` // watermark of the peer's replica
}

// Differences lists the origins in which a peer's replica differs from this one, according
// to the peer's last digest. The one with the higher watermark has facts that the other
// lacks; anti-entropy removes the difference. The error reports an unknown peer.
func (m *Machine) Differences(name string) (out []Difference, err error) {
	p := m.peers[name]
	if p == nil {
		return nil, fmt.Errorf("no sender %q is known", name)
	}
	out = []Difference{}
	own, seq := m.replica.LocalVersion()
	remote := map[facts.Origin]uint64{}
	for id, watermark := range p.watermarks {
		remote[id] = watermark
	}
	remote[own] = p.acked
	for _, row := range m.replica.Digest() {
		if row.Origin != own && row.Watermark != remote[row.Origin] {
			out = append(out, Difference{row.Origin.Name, row.Origin.Incarnation, row.Watermark, remote[row.Origin]})
		}
	}
	if p.acked != seq {
		out = append(out, Difference{own.Name, own.Incarnation, seq, p.acked})
	}
	return out, nil
}
