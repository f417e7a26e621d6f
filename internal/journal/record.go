package journal

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/message"
)

// The keys of the store are a prefix with a name behind it. A message has two records, with its
// id behind the prefix: the message itself, which never changes and is deleted once it has ended,
// and its state. Both have the message's number N, by which a state is recognized that an earlier
// message with the same id has left.
const (
	keyMessage      = "m" // and the message's id
	keyState        = "s" // and the message's id
	keyWait         = "w" // and the name of the endpoint that requested the wait
	keyPartner      = "p" // and the partner's name
	keyTerms        = "c" // and the number of the terms
	keyTermsInForce = "f" // a single record, see [TermsInForce]
	keyLeftBacklog  = "b" // and the number of a page of backlog sequence numbers, see [seqSet]
	keyClock        = "t" // a single record, which relates the times of the others to a clock
)

// The records are CBOR maps (RFC 8949) with numbers as keys; a reader skips unknown keys. Times are those of package
// clock, in microseconds. [Describe] writes messageRecord, stateRecord and waitRecord as JSON under the names of their
// fields, which are therefore fixed.

// messageRecord is the part of a message that never changes.
type messageRecord struct {
	N        int64  `cbor:"1,keyasint"`
	Accepted int64  `cbor:"2,keyasint,omitempty"`
	Deadline int64  `cbor:"3,keyasint,omitempty"`
	Class    string `cbor:"4,keyasint,omitempty"`
	Partner  string `cbor:"5,keyasint,omitempty"`
	Tenant   string `cbor:"6,keyasint,omitempty"`
	Key      string `cbor:"7,keyasint,omitempty"`
	Order    string `cbor:"8,keyasint,omitempty"`
	Body     []byte `cbor:"9,keyasint,omitempty"`
	Terms    int64  `cbor:"10,keyasint,omitempty"` // number of its terms; 0 in files of versions before 0.4
	Behind   uint64 `cbor:"11,keyasint,omitempty"` // its sequence number in the backlog
}

// stateRecord is the state of a message.
type stateRecord struct {
	N         int64  `cbor:"1,keyasint"`
	Tries     int    `cbor:"2,keyasint,omitempty"` // number of attempts
	Open      bool   `cbor:"3,keyasint,omitempty"` // the last attempt is in flight
	MayRun    bool   `cbor:"4,keyasint,omitempty"` // an earlier attempt may have run
	FirstMay  int64  `cbor:"5,keyasint,omitempty"` // when the first attempt that may have run was sent
	FirstZone string `cbor:"6,keyasint,omitempty"` // zone of its endpoint
	// The fields below are set once the message has ended.
	End      uint8  `cbor:"7,keyasint,omitempty"` // index in endStates; 0 while it has not ended
	AfterMS  int64  `cbor:"8,keyasint,omitempty"` // delay before it may be submitted again
	At       int64  `cbor:"9,keyasint,omitempty"`
	Digest   uint64 `cbor:"10,keyasint,omitempty"`
	Over     bool   `cbor:"11,keyasint,omitempty"` // the end is confirmed, or needs no confirmation
	Until    int64  `cbor:"12,keyasint,omitempty"` // end of its retention, if Over
	Accepted int64  `cbor:"13,keyasint,omitempty"`
	Deadline int64  `cbor:"14,keyasint,omitempty"`
	Class    string `cbor:"15,keyasint,omitempty"`
	Partner  string `cbor:"16,keyasint,omitempty"`
	Tenant   string `cbor:"17,keyasint,omitempty"`
	Behind   uint64 `cbor:"18,keyasint,omitempty"` // its sequence number in the backlog
}

// waitRecord is a wait that an endpoint requested.
type waitRecord struct {
	Until int64 `cbor:"1,keyasint"`
}

// clockRecord relates the times of all records to a boot of the machine, see [clock.Epoch].
type clockRecord struct {
	Boot   string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
}

// endStates are the states in which a message ends, indexed by their code in a record.
var endStates = [...]string{1: message.Delivered, 2: message.Returned, 3: message.Failed}

// endCode returns the code of a state; 0 if it is none.
func endCode(state string) uint8 {
	for i, s := range endStates {
		if s == state && s != "" {
			return uint8(i)
		}
	}
	return 0
}

var encMode = func() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode appends a record to a buffer and returns its bytes. Records returned earlier stay valid,
// also if the buffer grows.
func encode(buf *bytes.Buffer, v any) []byte {
	from := buf.Len()
	if err := encMode.MarshalToBuffer(v, buf); err != nil {
		panic(fmt.Sprintf("journal: %T: %v", v, err)) // no value of these types fails to encode
	}
	return buf.Bytes()[from:]
}

// encodeMessage returns the [messageRecord] of an entry.
func encodeMessage(buf *bytes.Buffer, e *Entry) []byte {
	return encode(buf, &messageRecord{N: e.number, Accepted: e.AcceptedAt, Deadline: e.Deadline, Class: e.Class,
		Partner: e.Partner, Tenant: e.Tenant, Key: e.Key, Order: e.Order, Body: e.Body, Terms: e.Terms, Behind: e.BacklogSeq})
}

// entry returns the entry of a message, without its state.
func (r *messageRecord) entry(id string) *Entry {
	return &Entry{Message: message.Message{ID: id, Key: r.Key, Order: r.Order, Class: r.Class, Tenant: r.Tenant,
		Partner: r.Partner, Deadline: r.Deadline, Body: r.Body},
		AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: r.Behind, number: r.N}
}

// encodeState returns the [stateRecord] of an entry.
func encodeState(buf *bytes.Buffer, e *Entry) []byte {
	r := stateRecord{N: e.number, Tries: e.Attempts, Open: e.InFlight, MayRun: e.MayHaveRun,
		FirstMay: e.MayHaveRunSince, FirstZone: e.MayHaveRunZone}
	if x := e.End; x != nil {
		r.End, r.AfterMS, r.At, r.Digest = endCode(x.State), x.RetryAfterMS, x.At, e.StoredDigest
		r.Accepted, r.Deadline, r.Class, r.Partner, r.Tenant = e.AcceptedAt, e.Deadline, e.Class, e.Partner, e.Tenant
		r.Behind = e.BacklogSeq
	}
	return encode(buf, &r)
}

// merge adds the state of the attempts to the entry of the message.
func (r *stateRecord) merge(e *Entry) {
	e.Attempts, e.InFlight, e.MayHaveRun, e.MayHaveRunSince, e.MayHaveRunZone =
		r.Tries, r.Open, r.MayRun, r.FirstMay, r.FirstZone
}

// unconfirmedEntry returns the entry of a message that has ended and whose notice is not confirmed.
func (r *stateRecord) unconfirmedEntry(id string) *Entry {
	e := &Entry{Message: message.Message{ID: id, Class: r.Class, Tenant: r.Tenant, Partner: r.Partner,
		Deadline: r.Deadline}, AcceptedAt: r.Accepted, StoredDigest: r.Digest, BacklogSeq: r.Behind, number: r.N}
	r.merge(e)
	e.End = &message.End{ID: id, State: r.endState(), RetryAfterMS: r.AfterMS, At: r.At, Attempts: r.Tries}
	return e
}

// endState returns the state in which the message ended; empty if unknown.
func (r *stateRecord) endState() string {
	if int(r.End) < len(endStates) {
		return endStates[r.End]
	}
	return ""
}

// encodeEnded returns the [stateRecord] of an ended message.
func encodeEnded(buf *bytes.Buffer, x *Ended) []byte {
	return encode(buf, &stateRecord{N: x.number, Tries: x.Attempts, End: endCode(x.State), AfterMS: x.RetryAfterMS,
		At: x.EndedAt, Digest: x.Digest, Over: true, Until: x.RetainUntil, Accepted: x.AcceptedAt, Class: x.Class,
		Partner: x.Partner, Tenant: x.Tenant, Behind: x.backlogSeq})
}

// ended returns the ended message of a state with Over.
func (r *stateRecord) ended(id string) *Ended {
	return &Ended{ID: id, Tenant: r.Tenant, Partner: r.Partner, Class: r.Class, State: r.endState(),
		RetryAfterMS: r.AfterMS, Attempts: r.Tries, AcceptedAt: r.Accepted, EndedAt: r.At, Digest: r.Digest,
		RetainUntil: r.Until, backlogSeq: r.Behind, number: r.N}
}

// decode decodes the value of the record with a key.
func decode(key string, value []byte, into any) error {
	if err := cbor.Unmarshal(value, into); err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
