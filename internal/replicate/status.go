package replicate

import (
	"fmt"

	"cometrack/internal/facts"
)

// Status is what operators see of a copy.
type Status struct {
	Behind  bool    `json:"behind"`   // it may lack what others knew when this process returned
	For     float64 `json:"behind_s"` // how long it has been; 0 if it is not
	Facts   int     `json:"facts"`
	Forged  int     `json:"forged"`      // messages and deltas that made no sense
	Repairs int     `json:"repairs"`     // copies with equal numbers that differed
	Short   int     `json:"held_back"`   // times that the bytes a second held something back
	Alone   int     `json:"went_alone"`  // times that nobody answered
	Bytes   int64   `json:"bytes"`       // sent, about
	Unsure  int     `json:"unconfirmed"` // facts of this sender that some other has not confirmed
	Dropped int     `json:"dropped"`     // facts of this sender that made room for others
	Peers   []Lag   `json:"peers"`
}

// Lag is how far another sender is behind this one's own facts.
type Lag struct {
	Name   string  `json:"name"`
	Lag    uint64  `json:"lag"`     // numbers that it has not confirmed
	Heard  float64 `json:"heard_s"` // seconds since it last sent facts; -1 for never
	Behind bool    `json:"behind"`
}

// Status tells of the copy at a time.
func (m *Machine) Status(now Time) Status {
	s := Status{Behind: m.behind, Facts: m.copy.Len(), Forged: m.Forged, Repairs: m.copy.Repairs, Short: m.Short, Alone: m.Alone, Bytes: m.Bytes,
		Dropped: m.copy.Dropped, Peers: []Lag{}}
	if m.behind {
		s.For = (now - m.since).Seconds()
	}
	_, seq := m.copy.Own()
	for _, name := range m.order {
		p := m.peers[name]
		l := Lag{Name: name, Lag: seq - p.acked, Heard: -1, Behind: p.behind}
		if p.heard != facts.Never {
			l.Heard = (now - p.heard).Seconds()
		}
		s.Unsure = max(s.Unsure, int(l.Lag))
		s.Peers = append(s.Peers, l)
	}
	return s
}

// Gap is what two senders have of one origin, as far as this one has been told.
type Gap struct {
	Origin string `json:"by"`
	Life   uint64 `json:"life"`
	Here   uint64 `json:"here"`  // known here up to this number
	There  uint64 `json:"there"` // and there
}

// Gaps lists by origin where another sender's copy differs from this one, by what it
// last told. The one with the higher number has what the other lacks; both come to
// have it.
func (m *Machine) Gaps(name string) (out []Gap, err error) {
	p := m.peers[name]
	if p == nil {
		return nil, fmt.Errorf("no sender %q is known", name)
	}
	out = []Gap{}
	own, seq := m.copy.Own()
	there := map[facts.Origin]uint64{}
	for id, known := range p.rows {
		there[id] = known
	}
	there[own] = p.acked
	for _, r := range m.copy.Digest() {
		if r.Origin != own && r.Known != there[r.Origin] {
			out = append(out, Gap{r.Origin.Name, r.Origin.Life, r.Known, there[r.Origin]})
		}
	}
	if p.acked != seq {
		out = append(out, Gap{own.Name, own.Life, seq, p.acked})
	}
	return out, nil
}
