package view

// WireVersion is the version of the messages between senders. Senders with different versions do not work together,
// but they can distinguish each other from dead ones.
const WireVersion = 1

// Message is the heartbeat that a sender sends to each peer at every tick. In the comments, From is the sender of the
// message.
type Message struct {
	WireVersion int    `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"` // name of the sender
	ID          uint64 `cbor:"3,keyasint"` // random ID of the incarnation; new after a start and after a pause of a lease
	Incarnation uint64 `cbor:"4,keyasint"` // increases with each incarnation of the name
	Addr        string `cbor:"5,keyasint"` // address of From
	Zone        string `cbor:"6,keyasint,omitempty"`
	Version     string `cbor:"7,keyasint,omitempty"`  // program version
	MaxSenders  int    `cbor:"8,keyasint"`            // largest number of senders, as From is configured
	Seq         uint64 `cbor:"9,keyasint"`            // increases with each tick of the incarnation
	Voter       bool   `cbor:"10,keyasint,omitempty"` // From takes part in grants
	Left        bool   `cbor:"11,keyasint,omitempty"` // From has left in order and uses its minimum share only

	// RecognizedID is the incarnation that From recognizes as the receiver; 0 for none. From counts that incarnation as
	// a member whose grants matter.
	RecognizedID uint64 `cbor:"12,keyasint,omitempty"`
	AckSeq       uint64 `cbor:"13,keyasint,omitempty"` // last Seq that From received from that incarnation

	// Grant is a grant in answer to the message AckSeq, valid for one lease from when that was sent.
	Grant            bool     `cbor:"14,keyasint,omitempty"`
	RosterVersion    uint64   `cbor:"15,keyasint,omitempty"` // version of From's roster
	RosterNames      []string `cbor:"16,keyasint,omitempty"` // the roster; omitted if the receiver has this version
	AckRosterVersion uint64   `cbor:"17,keyasint,omitempty"` // version of the receiver's roster that From has and counts

	PeerReports []PeerReport `cbor:"18,keyasint,omitempty"`
	Refusal     *Refusal     `cbor:"19,keyasint,omitempty"`
	RivalAddr   string       `cbor:"20,keyasint,omitempty"` // address of another process with the receiver's name
}

// PeerReport is what the sender of a message reports on one of its peers.
type PeerReport struct {
	Name        string `cbor:"1,keyasint"`
	ID          uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Addr        string `cbor:"4,keyasint"`
	Heard       bool   `cbor:"5,keyasint,omitempty"` // the sender has heard the peer recently
	End         End    `cbor:"6,keyasint,omitempty"` // NotEnded unless the incarnation is proven to have ended
}

// End is the proof that an incarnation has ended.
type End int

// The proofs.
const (
	NotEnded          End = iota // there is no proof
	ConnectionRefused            // its address refuses connections
	Fenced                       // its guard has revoked its share
	Left                         // it announced that it left
	Forgotten                    // an operator declared it ended
)

var endNames = [...]string{"lives", "refused", "fenced", "left", "forgotten"}

// String returns the name of the proof, as operators see it.
func (e End) String() string {
	if e >= 0 && int(e) < len(endNames) {
		return endNames[e]
	}
	return "unknown"
}

// RefusalReason is why a process is not recognized as the sender of its name.
type RefusalReason int

// The reasons.
const (
	NameInUse        RefusalReason = iota + 1 // another process uses the name
	StaleIncarnation                          // a later incarnation of the name is known: see Refusal.Incarnation
	TooManySenders                            // the largest number of senders is reached
	KnownEnded                                // an operator declared this incarnation ended, or its guard has fenced it
)

// Refusal informs a process that its incarnation is not recognized as the sender of its name.
type Refusal struct {
	ID          uint64        `cbor:"1,keyasint"` // the refused incarnation
	Reason      RefusalReason `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint,omitempty"` // latest known number, for StaleIncarnation
	Addr        string        `cbor:"4,keyasint,omitempty"` // of the process that uses the name, for NameInUse
}

// MaxPeerReports is the largest number of reports in a message; successive messages cover all peers in turn.
const MaxPeerReports = 12

// Envelope is a message with its destination.
type Envelope struct {
	To      string // address
	Message *Message
}
