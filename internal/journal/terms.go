package journal

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
)

// Terms are what a deployment stated of its classes when messages were taken on:
// these messages are held to it, also after a restart with other settings.
type Terms struct {
	Number      int64        `cbor:"1,keyasint" json:"n"`
	MaxAttempts int          `cbor:"2,keyasint,omitempty" json:"attempts,omitempty"` // for one message; 0 for no limit
	Classes     []ClassTerms `cbor:"3,keyasint" json:"classes"`
}

// ClassTerms is one class. Spans are in microseconds.
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

// Equal says whether two state the same.
func (t *Terms) Equal(x *Terms) bool {
	return t.MaxAttempts == x.MaxAttempts && slices.Equal(t.Classes, x.Classes)
}

// mostTerms bounds the sets that are kept at once. One that held messages name is
// not dropped for it: a new one is refused.
const mostTerms = 32

// mostTermsBytes is more than a record of terms takes that a configuration can state.
const mostTermsBytes = 64 << 10

// AddTerms makes the number of terms that messages are to be taken on under: that
// of the same ones, where there are such. The record that it returns, if any, must
// go before theirs.
func (j *Journal) AddTerms(t Terms) (n int64, rec *Record, err error) {
	for _, x := range j.terms {
		if x.Equal(&t) {
			j.newest = x.Number
			return x.Number, nil, nil
		}
	}
	if size := len(encode(&bytes.Buffer{}, &t)); size > mostTermsBytes-mostOther {
		return 0, nil, fmt.Errorf("journal: the classes take %d bytes; %d are taken", size, mostTermsBytes-mostOther)
	}
	j.dropTerms()
	if len(j.terms) >= mostTerms {
		return 0, nil, fmt.Errorf("journal: messages are held under %d sets of classes; no more are taken", len(j.terms))
	}
	t.Number = j.lastTerms + 1
	return t.Number, &Record{Op: OpTerms, Terms: &t}, nil
}

// SetTermsInUse has terms kept that messages elsewhere are held to, as list tells; nil
// for none.
func (j *Journal) SetTermsInUse(list func() []int64) { j.heldTerms = list }

// Terms returns the terms of a number; nil if there are none.
func (j *Journal) Terms(n int64) *Terms { return j.terms[n] }

func (j *Journal) applyTerms(t *Terms) {
	j.terms[t.Number], j.dirtyTerms[t.Number] = t, true
	j.newest, j.lastTerms = t.Number, max(j.lastTerms, t.Number)
}

// dropTerms drops those that no message is held under.
func (j *Journal) dropTerms() {
	if len(j.terms) < 2 {
		return
	}
	used := map[int64]bool{j.newest: true}
	for _, e := range j.entries {
		used[e.Terms] = true
	}
	if j.heldTerms != nil {
		for _, n := range j.heldTerms() {
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

func termsKey(n int64) string { return keyTerms + strconv.FormatInt(n, 10) }
