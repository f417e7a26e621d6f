package facts

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a time or a span on a clock that goes on while the process is paused. It
// may begin anywhere, but not before 0.
type Time = time.Duration

// Kind is what a fact is about. A copy keeps kinds that it does not know, and passes
// them on.
type Kind uint8

// The kinds.
const (
	RequestedWait Kind = iota + 1 // an endpoint has told to be left alone; For says how long
	Health                        // a sender has found an endpoint out, or has had an answer since
)

// Bounds of a fact.
const (
	MaxNameBytes   = 256            // bytes of a name
	MaxRefutedDots = 64             // dots that one fact covers
	MaxTTL         = 24 * time.Hour // from what it tells of until its end
	MaxOpaqueBytes = 4096           // bytes of the value of a kind that is not known
)

// Subject is what a fact is of. An endpoint is meant by its name, not its address.
type Subject struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Partner  string `cbor:"2,keyasint"`
	Endpoint string `cbor:"3,keyasint,omitempty"`
}

// Origin is one life of the process of a sender, which alone writes its facts.
type Origin struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Dot names one fact: the number that its origin gave it.
type Dot struct {
	Origin Origin `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Value is what a fact says, by its kind.
type Value struct {
	InOutage bool   `cbor:"1,keyasint,omitempty"` // Health: it is out
	Refutes  []Dot  `cbor:"2,keyasint,omitempty"` // Health: an answer came to a call that was begun when these were known
	Opaque   []byte `cbor:"4,keyasint,omitempty"` // of kinds that are not known here
}

// Fact is one fact as it travels. Ages are those when it was sent: the least and the
// most time that can have passed since what it tells of.
type Fact struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Subject Subject `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint,omitempty"` // of its origin
	TTL     Time    `cbor:"4,keyasint"`           // from what it tells of until its end
	MinAge  Time    `cbor:"5,keyasint,omitempty"`
	MaxAge  Time    `cbor:"6,keyasint,omitempty"`
	Value   Value   `cbor:"7,keyasint,omitempty"`
}

// Delta is facts of one origin, in the order of their numbers: all that stand of
// those above Since and up to UpTo. What is at or below Floor has ended.
type Delta struct {
	Origin Origin `cbor:"1,keyasint"`
	Since  uint64 `cbor:"2,keyasint,omitempty"`
	UpTo   uint64 `cbor:"3,keyasint"`
	Floor  uint64 `cbor:"4,keyasint,omitempty"`
	Facts  []Fact `cbor:"5,keyasint,omitempty"`
	// ConsistentAt is up to where the giver's knowledge was drawn from. Short of that a copy may
	// lack what has been replaced since.
	ConsistentAt uint64 `cbor:"6,keyasint"`
}

// DigestRow is what a copy has of one origin: all up to Known, of which nothing stands at
// or below Floor. Sum is of what stands; 0 if that may differ from what the origin
// had then.
type DigestRow struct {
	Origin    Origin `cbor:"1,keyasint"`
	Watermark uint64 `cbor:"2,keyasint"`
	Floor     uint64 `cbor:"3,keyasint,omitempty"`
	Checksum  uint64 `cbor:"4,keyasint,omitempty"`
	Highest   uint64 `cbor:"5,keyasint,omitempty"` // the highest number that stands, if above Known: what lies between may be lost
}

// ErrInvalid says that a fact or delta can't have been made by a sender.
var ErrInvalid = errors.New("facts: makes no sense")

func forged(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// check says what is wrong with a fact.
func (f *Fact) check() error {
	s, v := f.Subject, f.Value
	switch {
	case f.Seq == 0 || s.Kind == 0 || s.Partner == "":
		return forged("no number, kind or partner")
	case len(s.Partner) > MaxNameBytes || len(s.Endpoint) > MaxNameBytes || len(f.Zone) > MaxNameBytes:
		return forged("a name of over %d bytes", MaxNameBytes)
	case f.TTL <= 0 || f.TTL > MaxTTL:
		return forged("it is to hold for %v", f.TTL)
	case f.MinAge < 0 || f.MaxAge < f.MinAge:
		return forged("its age is %v to %v", f.MinAge, f.MaxAge)
	case len(v.Refutes) > MaxRefutedDots || len(v.Opaque) > MaxOpaqueBytes:
		return forged("a value of over %d dots or %d bytes", MaxRefutedDots, MaxOpaqueBytes)
	}
	return nil
}

func (d *Delta) check() error {
	if d.Origin.Name == "" || len(d.Origin.Name) > MaxNameBytes || d.Origin.Incarnation == 0 || d.Since > d.UpTo || d.Floor > d.UpTo || d.ConsistentAt < d.UpTo {
		return forged("a delta of %q from %d to %d over %d", d.Origin.Name, d.Since, d.UpTo, d.Floor)
	}
	last := d.Since
	for i := range d.Facts {
		f := &d.Facts[i]
		if err := f.check(); err != nil {
			return err
		}
		if f.Seq <= last || f.Seq > d.UpTo {
			return forged("number %d after %d, up to %d", f.Seq, last, d.UpTo)
		}
		last = f.Seq
	}
	return nil
}

// size is about how many bytes a fact takes as it travels.
func (f *Fact) size() int {
	n := 48 + len(f.Subject.Partner) + len(f.Subject.Endpoint) + len(f.Zone) + len(f.Value.Opaque)
	for _, d := range f.Value.Refutes {
		n += 24 + len(d.Origin.Name)
	}
	return n
}

// hash tells facts of one origin apart, whatever their age.
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

// Size is about how many bytes a delta takes as it travels.
func (d *Delta) Size() int {
	n := 48 + len(d.Origin.Name)
	for i := range d.Facts {
		n += d.Facts[i].size()
	}
	return n
}
