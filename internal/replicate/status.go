package replicate

import (
	"fmt"

	"cometrack/internal/facts"
)

// Status is what operators see of a copy.
type Status struct {
	CatchingUp        bool    `json:"behind"`   // it may lack what others knew when this process returned
	CatchingUpSeconds float64 `json:"behind_s"` // how long it has been; 0 if it is not
	Facts             int     `json:"facts"`
	InvalidMessages   int     `json:"forged"`      // messages and deltas that made no sense
	Repairs           int     `json:"repairs"`     // copies with equal numbers that differed
	Throttled         int     `json:"held_back"`   // times that the bytes a second held something back
	CatchUpTimeouts   int     `json:"went_alone"`  // times that nobody answered
	BytesSent         int64   `json:"bytes"`       // sent, about
	Unconfirmed       int     `json:"unconfirmed"` // facts of this sender that some other has not confirmed
	Dropped           int     `json:"dropped"`     // facts of this sender that made room for others
	Peers             []Lag   `json:"peers"`
}

// Lag is how far another sender is behind this one's own facts.
type Lag struct {
	Name                string  `json:"name"`
	Lag                 uint64  `json:"lag"`     // numbers that it has not confirmed
	SecondsSinceReceipt float64 `json:"heard_s"` // seconds since it last sent facts; -1 for never
	CatchingUp          bool    `json:"behind"`
}

// Status tells of the copy at a time.
func (m *Machine) Status(now Time) Status {
	s := Status{CatchingUp: m.behind, Facts: m.replica.Len(), InvalidMessages: m.InvalidMessages, Repairs: m.replica.Repairs, Throttled: m.Throttled, CatchUpTimeouts: m.CatchUpTimeouts, BytesSent: m.BytesSent,
		Dropped: m.replica.Dropped, Peers: []Lag{}}
	if m.behind {
		s.CatchingUpSeconds = (now - m.since).Seconds()
	}
	_, seq := m.replica.LocalVersion()
	for _, name := range m.order {
		p := m.peers[name]
		l := Lag{Name: name, Lag: seq - p.acked, SecondsSinceReceipt: -1, CatchingUp: p.behind}
		if p.heard != facts.Never {
			l.SecondsSinceReceipt = (now - p.heard).Seconds()
		}
		s.Unconfirmed = max(s.Unconfirmed, int(l.Lag))
		s.Peers = append(s.Peers, l)
	}
	return s
}

// Difference is what two senders have of one origin, as far as this one has been told.
type Difference struct {
	Origin      string `json:"by"`
	Incarnation uint64 `json:"life"`
	Local       uint64 `json:"here"`  // known here up to this number
	Remote      uint64 `json:"there"` // and there
}

// Differences lists by origin where another sender's copy differs from this one, by what it
// last told. The one with the higher number has what the other lacks; both come to
// have it.
func (m *Machine) Differences(name string) (out []Difference, err error) {
	p := m.peers[name]
	if p == nil {
		return nil, fmt.Errorf("no sender %q is known", name)
	}
	out = []Difference{}
	own, seq := m.replica.LocalVersion()
	there := map[facts.Origin]uint64{}
	for id, known := range p.rows {
		there[id] = known
	}
	there[own] = p.acked
	for _, r := range m.replica.Digest() {
		if r.Origin != own && r.Watermark != there[r.Origin] {
			out = append(out, Difference{r.Origin.Name, r.Origin.Incarnation, r.Watermark, there[r.Origin]})
		}
	}
	if p.acked != seq {
		out = append(out, Difference{own.Name, own.Incarnation, seq, p.acked})
	}
	return out, nil
}
