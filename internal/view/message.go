package view

// WireVersion is the version of the messages between senders. Senders with different ones
// do not work together; they tell each other apart from dead ones.
const WireVersion = 1

// Message is what one sender tells another at each tick.
type Message struct {
	WireVersion int    `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`           // name
	ID          uint64 `cbor:"3,keyasint"`           // of the life of the process; drawn anew at a start and after a pause
	Incarnation uint64 `cbor:"4,keyasint"`           // grows with each life of the name
	Addr        string `cbor:"5,keyasint"`           // where From is reached
	Zone        string `cbor:"6,keyasint,omitempty"` //
	Version     string `cbor:"7,keyasint,omitempty"` // of the program
	MaxSenders  int    `cbor:"8,keyasint"`           // the most senders, as From's file says
	Seq         uint64 `cbor:"9,keyasint"`           // grows with each message of this life
	Voter       bool   `cbor:"10,keyasint,omitempty"`
	Left        bool   `cbor:"11,keyasint,omitempty"` // it leaves in order, and uses its least part only

	// RecognizedID is the life of the receiver that From takes for the one of its name; 0 if
	// it takes none. From counts that life among those whose grants matter.
	RecognizedID uint64 `cbor:"12,keyasint,omitempty"`
	AckSeq       uint64 `cbor:"13,keyasint,omitempty"` // the last Seq that came from it

	// Grant, in answer to the message Echo: valid for a lease from when that was sent.
	Grant            bool     `cbor:"14,keyasint,omitempty"`
	RosterVersion    uint64   `cbor:"15,keyasint,omitempty"` // version of From's roster
	RosterNames      []string `cbor:"16,keyasint,omitempty"` // the roster; left out if the receiver has this version
	AckRosterVersion uint64   `cbor:"17,keyasint,omitempty"` // version of the receiver's roster that From counts by

	PeerReports []PeerReport `cbor:"18,keyasint,omitempty"`
	Refusal     *Refusal     `cbor:"19,keyasint,omitempty"`
	RivalAddr   string       `cbor:"20,keyasint,omitempty"` // address of another process that uses the receiver's name
}

// PeerReport is what From knows of a sender.
type PeerReport struct {
	Name        string `cbor:"1,keyasint"`
	ID          uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Addr        string `cbor:"4,keyasint"`
	Heard       bool   `cbor:"5,keyasint,omitempty"` // From hears it
	End         End    `cbor:"6,keyasint,omitempty"`
}

// End is the proof that the life of a process is over.
type End int

// The proofs.
const (
	NotEnded          End = iota // there is none
	ConnectionRefused            // nobody listens at its address
	Fenced                       // its guard has taken away its part
	Left                         // it said so itself
	Forgotten                    // an operator said so
)

var endNames = [...]string{"lives", "refused", "fenced", "left", "forgotten"}

func (e End) String() string {
	if e >= 0 && int(e) < len(endNames) {
		return endNames[e]
	}
	return "unknown"
}

// RefusalReason says why a process is not taken for the sender of its name.
type RefusalReason int

// The reasons.
const (
	NameInUse        RefusalReason = iota + 1 // another process uses the name
	StaleIncarnation                          // a later life of the name is known: Incarnation says which
	TooManySenders                            // there are as many senders already as there may be
	KnownEnded                                // an operator has had this life forgotten, or its guard has fenced it
)

// Refusal says that a life is not taken for the sender of its name.
type Refusal struct {
	ID          uint64        `cbor:"1,keyasint"` // that life
	Reason      RefusalReason `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint,omitempty"`
	Addr        string        `cbor:"4,keyasint,omitempty"` // of the other process
}

// MaxPeerReports is how many rows a message carries at most; all are told in turn.
const MaxPeerReports = 12

// Envelope is a message on its way.
type Envelope struct {
	To      string // address
	Message *Message
}
