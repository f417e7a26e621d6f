package journal

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/message"
)

// A message has two keys in the store: "m" and its id for what never changes, gone
// once it has ended, and "s" and its id for what became of it. Both carry n: a
// state that another message of the same id has left is told by it. "w" and an
// endpoint's name holds a wait, "p" and a partner's name what is known of it, "c" and
// a number what messages were taken on under. "b" and a number says which of the
// messages that were behind windows no longer are, see passed.go.
const (
	keyMessage = "m"
	keyState   = "s"
	keyWait    = "w"
	keyPartner = "p"
	keyTerms   = "c"
	keyPassed  = "b"
	keyClock   = "t" // one record: how the times in the others are to be read
)

// Times are those of package clock, in microseconds. The records are CBOR maps with numbers as keys (RFC 8949): a reader skips keys
// that it does not know.

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
	Terms    int64  `cbor:"10,keyasint,omitempty"` // the number of its terms; 0 in files of before 0.4
	Behind   uint64 `cbor:"11,keyasint,omitempty"` // its number behind the window of its destination
}

type stateRecord struct {
	N         int64  `cbor:"1,keyasint"`
	Tries     int    `cbor:"2,keyasint,omitempty"`
	Open      bool   `cbor:"3,keyasint,omitempty"`
	MayRun    bool   `cbor:"4,keyasint,omitempty"`
	FirstMay  int64  `cbor:"5,keyasint,omitempty"`
	FirstZone string `cbor:"6,keyasint,omitempty"`
	// Once it has ended:
	End      uint8  `cbor:"7,keyasint,omitempty"` // 0: it has not
	AfterMS  int64  `cbor:"8,keyasint,omitempty"`
	At       int64  `cbor:"9,keyasint,omitempty"`
	Digest   uint64 `cbor:"10,keyasint,omitempty"`
	Over     bool   `cbor:"11,keyasint,omitempty"` // nothing is owed any more
	Until    int64  `cbor:"12,keyasint,omitempty"` // Over: it is remembered until then
	Accepted int64  `cbor:"13,keyasint,omitempty"`
	Deadline int64  `cbor:"14,keyasint,omitempty"`
	Class    string `cbor:"15,keyasint,omitempty"`
	Partner  string `cbor:"16,keyasint,omitempty"`
	Tenant   string `cbor:"17,keyasint,omitempty"`
	Behind   uint64 `cbor:"18,keyasint,omitempty"` // its number behind the window of its destination
}

type waitRecord struct {
	Until int64 `cbor:"1,keyasint"`
}

// clockRecord ties the times of all records to a boot of the machine, see package clock.
type clockRecord struct {
	Boot   string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
}

var ends = [...]string{1: message.Delivered, 2: message.Returned, 3: message.Failed}

func endCode(state string) uint8 {
	for i, s := range ends {
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

// encode appends a record to a buffer and returns it. Records before it stay as
// they are, also when the buffer has to grow.
func encode(buf *bytes.Buffer, v any) []byte {
	from := buf.Len()
	if err := encMode.MarshalToBuffer(v, buf); err != nil {
		panic(fmt.Sprintf("journal: %T: %v", v, err)) // no value of these types can fail
	}
	return buf.Bytes()[from:]
}

func messageOf(buf *bytes.Buffer, e *Entry) []byte {
	return encode(buf, &messageRecord{N: e.n, Accepted: e.AcceptedAt, Deadline: e.Deadline, Class: e.Class, Partner: e.Partner,
		Tenant: e.Tenant, Key: e.Key, Order: e.Order, Body: e.Body, Terms: e.Terms, Behind: e.BacklogSeq})
}

func (r *messageRecord) entry(id string) *Entry {
	return &Entry{Message: message.Message{ID: id, Key: r.Key, Order: r.Order, Class: r.Class, Tenant: r.Tenant,
		Partner: r.Partner, Deadline: r.Deadline, Body: r.Body}, AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: r.Behind, n: r.N}
}

func stateOf(buf *bytes.Buffer, e *Entry) []byte {
	r := stateRecord{N: e.n, Tries: e.Attempts, Open: e.InFlight, MayRun: e.MayHaveRun, FirstMay: e.MayHaveRunSince, FirstZone: e.MayHaveRunZone}
	if x := e.End; x != nil {
		r.End, r.AfterMS, r.At, r.Digest = endCode(x.State), x.RetryAfterMS, x.At, e.StoredDigest
		r.Accepted, r.Deadline, r.Class, r.Partner, r.Tenant = e.AcceptedAt, e.Deadline, e.Class, e.Partner, e.Tenant
		r.Behind = e.BacklogSeq
	}
	return encode(buf, &r)
}

// merge adds a state to the message that it is of.
func (r *stateRecord) merge(e *Entry) {
	e.Attempts, e.InFlight, e.MayHaveRun, e.MayHaveRunSince, e.MayHaveRunZone = r.Tries, r.Open, r.MayRun, r.FirstMay, r.FirstZone
}

// owed is the entry of a message that has ended and whose notice is owed.
func (r *stateRecord) owed(id string) *Entry {
	e := &Entry{Message: message.Message{ID: id, Class: r.Class, Tenant: r.Tenant, Partner: r.Partner, Deadline: r.Deadline},
		AcceptedAt: r.Accepted, StoredDigest: r.Digest, BacklogSeq: r.Behind, n: r.N}
	r.merge(e)
	e.End = &message.End{ID: id, State: r.state(), RetryAfterMS: r.AfterMS, At: r.At, Attempts: r.Tries}
	return e
}

func (r *stateRecord) state() string {
	if int(r.End) < len(ends) {
		return ends[r.End]
	}
	return ""
}

func overOf(buf *bytes.Buffer, x *Ended) []byte {
	return encode(buf, &stateRecord{N: x.n, Tries: x.Attempts, End: endCode(x.State), AfterMS: x.RetryAfterMS, At: x.EndedAt, Digest: x.Digest,
		Over: true, Until: x.RetainUntil, Accepted: x.AcceptedAt, Class: x.Class, Partner: x.Partner, Tenant: x.Tenant, Behind: x.behind})
}

func (r *stateRecord) ended(id string) *Ended {
	return &Ended{ID: id, Tenant: r.Tenant, Partner: r.Partner, Class: r.Class, State: r.state(), RetryAfterMS: r.AfterMS,
		Attempts: r.Tries, AcceptedAt: r.Accepted, EndedAt: r.At, Digest: r.Digest, RetainUntil: r.Until, behind: r.Behind, n: r.N}
}

func decode(key string, value []byte, into any) error {
	if err := cbor.Unmarshal(value, into); err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
