package journal

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
)

// Terms are the settings of the classes at the time that messages were accepted. They apply to
// these messages for good, also after a restart with other settings.
type Terms struct {
	Number      int64        `cbor:"1,keyasint" json:"n"`
	MaxAttempts int          `cbor:"2,keyasint,omitempty" json:"attempts,omitempty"` // of one message; 0 for no limit
	Classes     []ClassTerms `cbor:"3,keyasint" json:"classes"`
}

// ClassTerms are the settings of one class, as in logic.Class. Durations are in microseconds.
type ClassTerms struct {
	Name      string  `cbor:"1,keyasint" json:"name"`
	Aim       int64   `cbor:"2,keyasint,omitempty" json:"aim"`
	Deadline  int64   `cbor:"3,keyasint" json:"deadline"`
	Worth     float64 `cbor:"4,keyasint,omitempty" json:"worth"`
	LateWorth float64 `cbor:"5,keyasint,omitempty" json:"late_worth"`
	Effect    uint8   `cbor:"6,keyasint,omitempty" json:"effect"` // 0 safe, 1 keyed, 2 unsafe
	ByZone    bool    `cbor:"7,keyasint,omitempty" json:"by_zone,omitempty"`
	Window    int64   `cbor:"8,keyasint,omitempty" json:"window,omitempty"`
	KeepOrder bool    `cbor:"9,keyasint,omitempty" json:"keep_order,omitempty"`
}

// Equal reports whether two terms are the same except for their number.
func (t *Terms) Equal(x *Terms) bool {
	return t.MaxAttempts == x.MaxAttempts && slices.Equal(t.Classes, x.Classes)
}

const (
	// maxTerms bounds the number of terms that pending messages may refer to. Beyond it and maxTermsInForce new terms are
	// rejected, since those in use can't be dropped.
	maxTerms = 32
	// maxTermsInForce is the number of terms that may be in force at once without being those of a message.
	maxTermsInForce = 10
)

// maxTermsBytes is an upper bound of the size of a record of terms in bytes.
const maxTermsBytes = 64 << 10

// numberTerms returns the number of stored terms that equal t. If there are none, it adds t to the
// stored terms, under a new number, unless there are maxStored of them already.
func (j *Journal) numberTerms(t Terms, maxStored int) (int64, error) {
	for _, x := range j.terms {
		if x.Equal(&t) {
			return x.Number, nil
		}
	}
	if size := len(encode(&bytes.Buffer{}, &t)); size > maxTermsBytes-maxRecordOverhead {
		return 0, fmt.Errorf("journal: the classes take %d bytes, over the limit of %d bytes",
			size, maxTermsBytes-maxRecordOverhead)
	}
	if len(j.terms) >= maxStored {
		return 0, fmt.Errorf("journal: pending messages refer to %d different sets of classes, which is the limit",
			len(j.terms))
	}
	j.lastTermsNumber++
	t.Number = j.lastTermsNumber
	j.terms[t.Number], j.dirtyTerms[t.Number], j.unwritten = &t, true, true
	return t.Number, nil
}

// releaseTerms allows terms to be dropped that were replaced before the last Append. Messages that were accepted under
// them are stored, or were rejected.
func (j *Journal) releaseTerms() {
	if n := len(j.acceptingTerms); n > 1 {
		j.acceptingTerms = j.acceptingTerms[n-1:]
	}
}

// SetTermsInUse sets the function that lists the numbers of the terms of messages outside the
// journal; nil for none. These terms are kept.
func (j *Journal) SetTermsInUse(list func() []int64) { j.termsInUse = list }

// Terms returns the terms with a number; nil if there are none.
func (j *Journal) Terms(n int64) *Terms { return j.terms[n] }

// dropTerms drops terms that no message refers to, except those in force and those under which
// messages may have been accepted since the last Append.
func (j *Journal) dropTerms() {
	if len(j.terms) < 2 {
		return
	}
	used := map[int64]bool{}
	for _, n := range slices.Concat(j.acceptingTerms, j.termsInForce.numbers()) {
		used[n] = true
	}
	for _, e := range j.entries {
		used[e.Terms] = true
	}
	if j.termsInUse != nil {
		for _, n := range j.termsInUse() {
			used[n] = true
		}
	}
	for n := range j.terms {
		if !used[n] {
			delete(j.terms, n)
			j.dirtyTerms[n] = true
		}
	}
}

// termsKey returns the key of terms in the store.
func termsKey(n int64) string { return keyTerms + strconv.FormatInt(n, 10) }
