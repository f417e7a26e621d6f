package handover

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
)

// Format is the version of the messages. There is no handover between processes of
// different formats: the new one starts from the journal once the old one has ended.
const Format = 1

// SnapshotRequest is the successor's request for the snapshot of the predecessor.
type SnapshotRequest struct {
	Format int `cbor:"1,keyasint"`
}

// Refusal rejects a handover, with the reason.
type Refusal struct {
	Reason string `cbor:"1,keyasint"`
}

// Snapshot is the state that a process hands over in addition to its journal. Times are those
// of the journal's clock; times and durations are in microseconds.
type Snapshot struct {
	Format       int                         `cbor:"1,keyasint"`
	At           int64                       `cbor:"2,keyasint"`
	ListReceived bool                        `cbor:"3,keyasint"` // the source has delivered a list
	ListVersion  int64                       `cbor:"4,keyasint"` // of the list of endpoints
	Endpoints    []Endpoint                  `cbor:"5,keyasint"`
	Partners     map[string]*journal.Partner `cbor:"6,keyasint"`
	Attempts     []Attempt                   `cbor:"7,keyasint"`
	QuietKeys    []QuietKey                  `cbor:"8,keyasint"`
	Ended        []*journal.Ended            `cbor:"9,keyasint"` // ends that are not in the journal
	Listeners    int                         `cbor:"10,keyasint"`
}

// Endpoint is an endpoint of the list.
type Endpoint struct {
	Name     string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Zone     string  `cbor:"3,keyasint"`
	Kind     string  `cbor:"4,keyasint"`
	Partner  string  `cbor:"5,keyasint"`
	Draining bool    `cbor:"6,keyasint,omitempty"`
	Weight   float64 `cbor:"7,keyasint,omitempty"`
	Removed  bool    `cbor:"8,keyasint,omitempty"` // no longer on the list, with a call in flight
}

// Attempt is an attempt that the predecessor has in flight.
type Attempt struct {
	ID           string `cbor:"1,keyasint"`
	Number       int    `cbor:"2,keyasint"` // index among the message's attempts, from 0
	Endpoint     string `cbor:"3,keyasint"`
	Age          int64  `cbor:"4,keyasint"`           // time since it was sent
	MessageEnded bool   `cbor:"6,keyasint,omitempty"` // the message has ended
	BatchedWith  string `cbor:"5,keyasint,omitempty"` // the first message of its call, if that is another one
}

// QuietKey is an order key that is paused for the time Remaining.
type QuietKey struct {
	Key       string `cbor:"1,keyasint"`
	Remaining int64  `cbor:"2,keyasint"`
}

// Confirmation reports that the successor has received the snapshot and opened the journal:
// from now on it decides on messages.
type Confirmation struct{}

// Submission is a message that a client has submitted to the predecessor.
type Submission struct {
	Seq     uint64          `cbor:"1,keyasint"`
	Message message.Message `cbor:"2,keyasint"`
}

// SubmissionReply is the answer to the [Submission] of the same Seq.
type SubmissionReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Status     int           `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Duplicate  bool          `cbor:"4,keyasint,omitempty"`
	EndState   string        `cbor:"5,keyasint,omitempty"`
}

// StateRequest requests the state of a message.
type StateRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// StateReply is the answer to the [StateRequest] of the same Seq.
type StateReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Name       string        `cbor:"2,keyasint"`
	Tenant     string        `cbor:"3,keyasint"`
	Partner    string        `cbor:"4,keyasint"`
	Class      string        `cbor:"5,keyasint"`
	Attempts   int           `cbor:"6,keyasint"`
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	AcceptedAt int64         `cbor:"8,keyasint,omitempty"` // Unix microseconds, as are the two below; 0 if none
	Deadline   int64         `cbor:"9,keyasint,omitempty"`
	EndedAt    int64         `cbor:"10,keyasint,omitempty"`
}

// Outcomes are the outcomes of the attempts of one call.
type Outcomes struct {
	List []Outcome `cbor:"1,keyasint"`
}

// Outcome is the outcome of one of a [Snapshot]'s attempts.
type Outcome struct {
	ID            string        `cbor:"1,keyasint"`
	Number        int           `cbor:"2,keyasint"`
	Outcome       int           `cbor:"3,keyasint"`
	Latency       time.Duration `cbor:"4,keyasint"`
	RequestedWait time.Duration `cbor:"5,keyasint,omitempty"`
	MessageEnded  bool          `cbor:"6,keyasint,omitempty"`
	Load          []float64     `cbor:"7,keyasint,omitempty"`
}

// Cancel cancels an attempt that the predecessor has in flight.
type Cancel struct {
	ID     string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// kinds creates a message of each type, indexed by its kind on the wire.
var kinds = [...]func() any{
	1: func() any { return &SnapshotRequest{} }, 2: func() any { return &Refusal{} },
	3: func() any { return &Snapshot{} },
	4: func() any { return &Confirmation{} }, 5: func() any { return &Submission{} },
	6: func() any { return &SubmissionReply{} },
	7: func() any { return &StateRequest{} }, 8: func() any { return &StateReply{} }, 9: func() any { return &Outcomes{} },
	10: func() any { return &Cancel{} },
}

// kindOf returns the kind of a message on the wire; 0 if m is none.
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
