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

// Ask asks for the snapshot of the process that listens.
type Ask struct {
	Format int `cbor:"1,keyasint"`
}

// Refuse says that there is none, or not now.
type Refuse struct {
	Reason string `cbor:"1,keyasint"`
}

// Snapshot is what a process hands over beside its journal. Times are those of the
// journal's clock; times and spans are in microseconds.
type Snapshot struct {
	Format    int                         `cbor:"1,keyasint"`
	At        int64                       `cbor:"2,keyasint"`
	Heard     bool                        `cbor:"3,keyasint"` // the source has told of a list itself
	Version   int64                       `cbor:"4,keyasint"` // of the list
	Endpoints []Endpoint                  `cbor:"5,keyasint"`
	Partners  map[string]*journal.Partner `cbor:"6,keyasint"`
	Calls     []Call                      `cbor:"7,keyasint"`
	Keys      []Key                       `cbor:"8,keyasint"`
	Ended     []*journal.Ended            `cbor:"9,keyasint"` // those that the journal does not have
	Listeners int                         `cbor:"10,keyasint"`
}

// Endpoint is one endpoint of the list.
type Endpoint struct {
	Name    string  `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint"`
	Kind    string  `cbor:"4,keyasint"`
	Partner string  `cbor:"5,keyasint"`
	Drains  bool    `cbor:"6,keyasint,omitempty"`
	Weight  float64 `cbor:"7,keyasint,omitempty"`
	Gone    bool    `cbor:"8,keyasint,omitempty"` // off the list, with a call out
}

// Call is an attempt that is out at the process that hands over.
type Call struct {
	ID       string `cbor:"1,keyasint"`
	Number   int    `cbor:"2,keyasint"` // of the message's attempts, from 0
	Endpoint string `cbor:"3,keyasint"`
	Age      int64  `cbor:"4,keyasint"`           // since it was sent
	Over     bool   `cbor:"6,keyasint,omitempty"` // the message has ended
	With     string `cbor:"5,keyasint,omitempty"` // the first message of its call, where it is not this one
}

// Key is an order key that rests.
type Key struct {
	Key  string `cbor:"1,keyasint"`
	Left int64  `cbor:"2,keyasint"`
}

// Taken says that the snapshot has arrived and the journal is open: from here on the
// sender of it decides.
type Taken struct{}

// Put is a message that a client has handed in at the process that hands over.
type Put struct {
	Seq     uint64          `cbor:"1,keyasint"`
	Message message.Message `cbor:"2,keyasint"`
}

// Answer is the answer to a Put.
type Answer struct {
	Seq     uint64        `cbor:"1,keyasint"`
	Verdict int           `cbor:"2,keyasint"`
	After   time.Duration `cbor:"3,keyasint,omitempty"`
	Again   bool          `cbor:"4,keyasint,omitempty"`
}

// AskState asks for the state of a message.
type AskState struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// State is the answer to an AskState.
type State struct {
	Seq      uint64        `cbor:"1,keyasint"`
	Name     string        `cbor:"2,keyasint"`
	Tenant   string        `cbor:"3,keyasint"`
	Partner  string        `cbor:"4,keyasint"`
	Class    string        `cbor:"5,keyasint"`
	Tries    int           `cbor:"6,keyasint"`
	After    time.Duration `cbor:"7,keyasint,omitempty"`
	Accepted int64         `cbor:"8,keyasint,omitempty"` // Unix microseconds, as are the two below; 0 for none
	Deadline int64         `cbor:"9,keyasint,omitempty"`
	Over     int64         `cbor:"10,keyasint,omitempty"`
}

// Outcomes are those of attempts of one call.
type Outcomes struct {
	List []Outcome `cbor:"1,keyasint"`
}

// Outcome is that of one attempt of a [Snapshot]'s calls.
type Outcome struct {
	ID      string        `cbor:"1,keyasint"`
	Number  int           `cbor:"2,keyasint"`
	Outcome int           `cbor:"3,keyasint"`
	Took    time.Duration `cbor:"4,keyasint"`
	Wait    time.Duration `cbor:"5,keyasint,omitempty"`
	Over    bool          `cbor:"6,keyasint,omitempty"`
	Load    []float64     `cbor:"7,keyasint,omitempty"`
}

// Cancel calls an attempt off.
type Cancel struct {
	ID     string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// kinds are the messages, by the byte that names them on the wire.
var kinds = [...]func() any{
	1: func() any { return &Ask{} }, 2: func() any { return &Refuse{} }, 3: func() any { return &Snapshot{} },
	4: func() any { return &Taken{} }, 5: func() any { return &Put{} }, 6: func() any { return &Answer{} },
	7: func() any { return &AskState{} }, 8: func() any { return &State{} }, 9: func() any { return &Outcomes{} },
	10: func() any { return &Cancel{} },
}

func kindOf(m any) byte {
	switch m.(type) {
	case *Ask:
		return 1
	case *Refuse:
		return 2
	case *Snapshot:
		return 3
	case *Taken:
		return 4
	case *Put:
		return 5
	case *Answer:
		return 6
	case *AskState:
		return 7
	case *State:
		return 8
	case *Outcomes:
		return 9
	case *Cancel:
		return 10
	}
	return 0
}
