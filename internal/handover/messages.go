package handover

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
)

// Format is the version of what is told. Processes of different formats hand
// nothing over to each other: the new one starts from the journal once the old one
// has ended.
const Format = 1

// SnapshotRequest asks for the snapshot of the process that listens.
type SnapshotRequest struct {
	Format int `cbor:"1,keyasint"`
}

// Refusal says that there is none, or not now.
type Refusal struct {
	Reason string `cbor:"1,keyasint"`
}

// Snapshot is what a process hands over beside its journal. Times are those of the
// journal's clock; times and spans are in microseconds.
type Snapshot struct {
	Format       int                         `cbor:"1,keyasint"`
	At           int64                       `cbor:"2,keyasint"`
	ListReceived bool                        `cbor:"3,keyasint"` // the source has told of a list itself
	ListVersion  int64                       `cbor:"4,keyasint"` // of the list
	Endpoints    []Endpoint                  `cbor:"5,keyasint"`
	Partners     map[string]*journal.Partner `cbor:"6,keyasint"`
	Attempts     []Attempt                   `cbor:"7,keyasint"`
	QuietKeys    []QuietKey                  `cbor:"8,keyasint"`
	Ended        []*journal.Ended            `cbor:"9,keyasint"` // those that the journal does not have
	Listeners    int                         `cbor:"10,keyasint"`
}

// Endpoint is one endpoint of the list.
type Endpoint struct {
	Name     string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint"`
	Kind     string  `cbor:"4,keyasint"`
	Partner  string  `cbor:"5,keyasint"`
	Draining bool    `cbor:"6,keyasint,omitempty"`
	Weight   float64 `cbor:"7,keyasint,omitempty"`
	Removed  bool    `cbor:"8,keyasint,omitempty"` // off the list, with a call out
}

// Attempt is an attempt that is out at the process that hands over.
type Attempt struct {
	ID           string `cbor:"1,keyasint"`
	Number       int    `cbor:"2,keyasint"` // of the message's attempts, from 0
	Endpoint     string `cbor:"3,keyasint"`
	Age          int64  `cbor:"4,keyasint"`           // since it was sent
	MessageEnded bool   `cbor:"6,keyasint,omitempty"` // the message has ended
	BatchedWith  string `cbor:"5,keyasint,omitempty"` // the first message of its call, where it is not this one
}

// QuietKey is an order key that rests.
type QuietKey struct {
	Key       string `cbor:"1,keyasint"`
	Remaining int64  `cbor:"2,keyasint"`
}

// Confirmation says that the snapshot has arrived and the journal is open: from here on the
// sender of it decides.
type Confirmation struct{}

// Submission is a message that a client has handed in at the process that hands over.
type Submission struct {
	Seq     uint64          `cbor:"1,keyasint"`
	Message message.Message `cbor:"2,keyasint"`
}

// SubmissionReply is the answer to a Put.
type SubmissionReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Status     int           `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Duplicate  bool          `cbor:"4,keyasint,omitempty"`
}

// StateRequest asks for the state of a message.
type StateRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// StateReply is the answer to a StateRequest.
type StateReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Name       string        `cbor:"2,keyasint"`
	Tenant     string        `cbor:"3,keyasint"`
	Partner    string        `cbor:"4,keyasint"`
	Class      string        `cbor:"5,keyasint"`
	Attempts   int           `cbor:"6,keyasint"`
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	AcceptedAt int64         `cbor:"8,keyasint,omitempty"` // Unix microseconds, as are the two below; 0 for none
	Deadline   int64         `cbor:"9,keyasint,omitempty"`
	EndedAt    int64         `cbor:"10,keyasint,omitempty"`
}

// Outcomes are those of attempts of one call.
type Outcomes struct {
	List []Outcome `cbor:"1,keyasint"`
}

// Outcome is that of one attempt of a [Snapshot]'s calls.
type Outcome struct {
	ID            string        `cbor:"1,keyasint"`
	Number        int           `cbor:"2,keyasint"`
	Outcome       int           `cbor:"3,keyasint"`
	Latency       time.Duration `cbor:"4,keyasint"`
	RequestedWait time.Duration `cbor:"5,keyasint,omitempty"`
	MessageEnded  bool          `cbor:"6,keyasint,omitempty"`
	Load          []float64     `cbor:"7,keyasint,omitempty"`
}

// Cancel calls an attempt off.
type Cancel struct {
	ID     string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// kinds are the messages, by the byte that names them on the wire.
var kinds = [...]func() any{
	1: func() any { return &SnapshotRequest{} }, 2: func() any { return &Refusal{} }, 3: func() any { return &Snapshot{} },
	4: func() any { return &Confirmation{} }, 5: func() any { return &Submission{} }, 6: func() any { return &SubmissionReply{} },
	7: func() any { return &StateRequest{} }, 8: func() any { return &StateReply{} }, 9: func() any { return &Outcomes{} },
	10: func() any { return &Cancel{} },
}

func kindOf(m any) byte {
	switch m.(type) {
	case *SnapshotRequest:
		return 1
	case *Refusal:
		return 2
	case *Snapshot:
		return 3
	case *Confirmation:
		return 4
	case *Submission:
		return 5
	case *SubmissionReply:
		return 6
	case *StateRequest:
		return 7
	case *StateReply:
		return 8
	case *Outcomes:
		return 9
	case *Cancel:
		return 10
	}
	return 0
}
