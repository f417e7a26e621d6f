package replicate

import "cometrack/internal/facts"

// Version is the version of these messages. Kinds of facts may be added without
// another one.
const Version = 1

// Bounds of a message.
const (
	MaxDigestRows   = 1000
	MaxDeltas       = 64
	MaxRelayTargets = 8    // peers that a message is to be passed on to
	packet          = 1200 // bytes of facts in a message, about; less than what a network carries whole
)

// Message is what one sender tells another about facts.
type Message struct {
	Version    int          `cbor:"1,keyasint"`
	From       facts.Origin `cbor:"2,keyasint"`
	SentAt     facts.Time   `cbor:"3,keyasint"`           // by From's clock, when it was sent
	Echo       facts.Time   `cbor:"4,keyasint,omitempty"` // the last stamp that came from the receiver
	CatchingUp bool         `cbor:"5,keyasint,omitempty"` // From is catching up itself

	Deltas  []facts.Delta `cbor:"6,keyasint,omitempty"`
	RelayTo []string      `cbor:"7,keyasint,omitempty"` // the receiver is to pass From's facts on to these

	// DigestRows is what From has: of all origins if Whole, else of some.
	DigestRows     []facts.DigestRow `cbor:"8,keyasint,omitempty"`
	DigestComplete bool              `cbor:"9,keyasint,omitempty"`
	// PullRequest asks for all that From lacks by its rows; Answer closes what is sent in answer
	// to that number.
	PullRequest  uint64 `cbor:"10,keyasint,omitempty"`
	PullComplete uint64 `cbor:"11,keyasint,omitempty"`
}

// Envelope is a message on its way.
type Envelope struct {
	To      string // address
	Message *Message
}

// sizeOf is about how many bytes a message takes.
func sizeOf(m *Message) int {
	n := 64 + len(m.From.Name)
	for _, r := range m.DigestRows {
		n += 40 + len(r.Origin.Name)
	}
	for i := range m.Deltas {
		n += m.Deltas[i].Size()
	}
	return n
}
