package replicate

import "cometrack/internal/facts"

// Version is the version of the messages. A new kind of facts needs no new version.
const Version = 1

// Limits of a message.
const (
	MaxDigestRows   = 1000 // rows of the digest; a larger one is sent in part
	MaxDeltas       = 64   // deltas, each of one origin
	MaxRelayTargets = 8    // peers to which one message can be relayed
	packetBytes     = 1200 // approximate bytes of facts in a message; small enough to avoid IP fragmentation
)

// Message is a message about facts from one sender to another.
type Message struct {
	Version    int          `cbor:"1,keyasint"`
	From       facts.Origin `cbor:"2,keyasint"`
	SentAt     facts.Time   `cbor:"3,keyasint"`           // on From's clock
	Echo       facts.Time   `cbor:"4,keyasint,omitempty"` // last SentAt that From received from the receiver
	CatchingUp bool         `cbor:"5,keyasint,omitempty"` // From may lack facts itself

	Deltas  []facts.Delta `cbor:"6,keyasint,omitempty"`
	RelayTo []string      `cbor:"7,keyasint,omitempty"` // peers to which the receiver relays From's facts

	// DigestRows describes the facts that From has: of all origins if DigestComplete, else of some.
	DigestRows     []facts.DigestRow `cbor:"8,keyasint,omitempty"`
	DigestComplete bool              `cbor:"9,keyasint,omitempty"`
	// PullRequest, if not 0, is the number of a request for all facts that From lacks
	// according to DigestRows. PullComplete ends the response to the request with that number.
	PullRequest  uint64 `cbor:"10,keyasint,omitempty"`
	PullComplete uint64 `cbor:"11,keyasint,omitempty"`
}

// Envelope is a message to send and its destination.
type Envelope struct {
	To      string // UDP address of the peer
	Message *Message
}

// sizeOf estimates the encoded size of a message in bytes.
func sizeOf(m *Message) int {
	n := 64 + len(m.From.Name)
	for _, row := range m.DigestRows {
		n += 40 + len(row.Origin.Name)
	}
	for i := range m.Deltas {
		n += m.Deltas[i].Size()
	}
	return n
}
