package facts

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point in time or a duration on a clock that keeps running while the process
// is paused. The clock's starting point is arbitrary, but its readings are never negative.
type Time = time.Duration

// Kind is the type of information in a fact. A replica stores and forwards facts of kinds
// that this version does not know.
type Kind uint8

// The kinds of facts.
const (
	RequestedWait Kind = iota + 1 // an endpoint requested a wait, whose length is the TTL
	Health                        // a sender found an endpoint in outage, or received an answer from it since
)

// Limits of a fact.
const (
	MaxNameBytes   = 256            // length of a name in bytes
	MaxRefutedDots = 64             // dots that one fact refutes
	MaxTTL         = 24 * time.Hour // from the observed event to the expiry of the fact
	MaxOpaqueBytes = 4096           // size in bytes of the value of an unknown kind
)

// Subject is what a fact describes: one kind of information about an endpoint of a partner. A
// newer fact of an origin replaces its older one of the same subject.
type Subject struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Partner  string `cbor:"2,keyasint"`           // name
	Endpoint string `cbor:"3,keyasint,omitempty"` // name, not address
}

// Origin is one incarnation of a sender's process, the only writer of the facts under
// this origin.
type Origin struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Dot identifies one fact by its origin and the sequence number that the origin assigned.
type Dot struct {
	Origin Origin `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Value is the content of a fact. Which fields are set depends on its kind.
type Value struct {
	InOutage bool   `cbor:"1,keyasint,omitempty"` // Health: the endpoint is in outage
	Refutes  []Dot  `cbor:"2,keyasint,omitempty"` // Health: outage facts known when a call began that was then answered
	Opaque   []byte `cbor:"4,keyasint,omitempty"` // kinds unknown to this version
}

// Fact is one fact as replicas send it. MinAge and MaxAge bound the time that had passed
// since the observed event when the fact was sent.
type Fact struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Subject Subject `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint,omitempty"` // of the origin
	TTL     Time    `cbor:"4,keyasint"`           // from the observed event to the expiry of the fact
	MinAge  Time    `cbor:"5,keyasint,omitempty"`
	MaxAge  Time    `cbor:"6,keyasint,omitempty"`
	Value   Value   `cbor:"7,keyasint,omitempty"`
}

// Delta holds facts of one origin in order of sequence number: every current fact above
// Since and up to UpTo. No fact at or below Floor is current any more.
type Delta struct {
	Origin Origin `cbor:"1,keyasint"`
	Since  uint64 `cbor:"2,keyasint,omitempty"`
	UpTo   uint64 `cbor:"3,keyasint"`
	Floor  uint64 `cbor:"4,keyasint,omitempty"`
	Facts  []Fact `cbor:"5,keyasint,omitempty"`
	// ConsistentAt is the sequence number of the origin's state from which the facts were
	// taken. A replica with a lower watermark may lack facts that later ones replaced.
	ConsistentAt uint64 `cbor:"6,keyasint"`
}

// DigestRow summarizes a replica's state of one origin: it has every current fact up to
// Watermark, and no fact at or below Floor is current. Checksum covers the current facts up
// to Watermark; it is 0 if they may differ from those that the origin had at that watermark.
type DigestRow struct {
	Origin    Origin `cbor:"1,keyasint"`
	Watermark uint64 `cbor:"2,keyasint"`
	Floor     uint64 `cbor:"3,keyasint,omitempty"`
	Checksum  uint64 `cbor:"4,keyasint,omitempty"`
	// Highest is the highest sequence number of a current fact if it is above Watermark,
	// else 0. The facts between Watermark and Highest may be lost.
	Highest uint64 `cbor:"5,keyasint,omitempty"`
}

// ErrInvalid reports a fact or delta that no correct sender produces, or a delta that
// exceeds the capacity of the replica.
var ErrInvalid = errors.New("facts: invalid fact or delta")

// invalid returns an error that wraps ErrInvalid.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// check validates a received fact or one to be published.
func (f *Fact) check() error {
	s, v := f.Subject, f.Value
	switch {
	case f.Seq == 0 || s.Kind == 0 || s.Partner == "":
		return invalid("sequence number, kind or partner missing")
	case len(s.Partner) > MaxNameBytes || len(s.Endpoint) > MaxNameBytes || len(f.Zone) > MaxNameBytes:
		return invalid("name longer than %d bytes", MaxNameBytes)
	case f.TTL <= 0 || f.TTL > MaxTTL:
		return invalid("TTL %v out of range", f.TTL)
	case f.MinAge < 0 || f.MaxAge < f.MinAge:
		return invalid("invalid age range %v to %v", f.MinAge, f.MaxAge)
	case len(v.Refutes) > MaxRefutedDots || len(v.Opaque) > MaxOpaqueBytes:
		return invalid("value of more than %d dots or %d bytes", MaxRefutedDots, MaxOpaqueBytes)
	}
	return nil
}

// check validates a delta and its facts.
func (d *Delta) check() error {
	if d.Origin.Name == "" || len(d.Origin.Name) > MaxNameBytes || d.Origin.Incarnation == 0 ||
		d.Since > d.UpTo || d.Floor > d.UpTo || d.ConsistentAt < d.UpTo {
		return invalid("delta of %q since %d, up to %d, with floor %d", d.Origin.Name, d.Since, d.UpTo, d.Floor)
	}
	last := d.Since
	for i := range d.Facts {
		f := &d.Facts[i]
		if err := f.check(); err != nil {
			return err
		}
		if f.Seq <= last || f.Seq > d.UpTo {
			return invalid("sequence number %d is not above %d and at most %d", f.Seq, last, d.UpTo)
		}
		last = f.Seq
	}
	return nil
}

// size estimates the encoded size of a fact in bytes.
func (f *Fact) size() int {
	n := 48 + len(f.Subject.Partner) + len(f.Subject.Endpoint) + len(f.Zone) + len(f.Value.Opaque)
	for _, d := range f.Value.Refutes {
		n += 24 + len(d.Origin.Name)
	}
	return n
}

// hash identifies the content of a fact of one origin, independently of its age.
func (f *Fact) hash() uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d %d %t %d ", f.Seq, f.Subject.Kind, f.Value.InOutage, len(f.Value.Refutes))
	for _, s := range []string{f.Subject.Partner, f.Subject.Endpoint, f.Zone, string(f.Value.Opaque)} {
		io.WriteString(h, s)
		h.Write([]byte{0})
	}
	for _, d := range f.Value.Refutes {
		fmt.Fprintf(h, "%s %d %d ", d.Origin.Name, d.Origin.Incarnation, d.Seq)
	}
	return h.Sum64()
}

// Size estimates the encoded size of a delta in bytes.
func (d *Delta) Size() int {
	n := 48 + len(d.Origin.Name)
	for i := range d.Facts {
		n += d.Facts[i].size()
	}
	return n
}
