package journal

import (
	"bytes"
	"math"
	"slices"

	"cometrack/internal/store"
)

// TermsInForce are the terms that bind new messages.
type TermsInForce struct {
	Accepting  Terms             // messages are accepted under these, which are as strict as all the others
	Configured Terms             // those of the current settings
	Superseded []SupersededTerms // those of earlier settings that still bind
}

// SupersededTerms are the terms of settings that were replaced. They bind new messages for a while, because clients
// learn of the change with a delay.
type SupersededTerms struct {
	Terms     Terms
	BindUntil int64 // time of [Journal.Clock]; BindUntilUnknown if it is not known
}

// BindUntilUnknown stands for a time that is not known and may be in the future.
const BindUntilUnknown = math.MaxInt64

// termsInForceRecord is the stored form of [TermsInForce]. Terms are given by their numbers.
type termsInForceRecord struct {
	Configured int64              `cbor:"1,keyasint"`
	Superseded []supersededRecord `cbor:"2,keyasint,omitempty"`
	// Newest is the highest number of terms when the record was written. If there are terms with a higher one, the record
	// is out of date: a program that does not know it has written to the store since.
	Newest int64 `cbor:"3,keyasint"`
}

// supersededRecord is the stored form of [SupersededTerms].
type supersededRecord struct {
	Terms     int64 `cbor:"1,keyasint"`
	BindUntil int64 `cbor:"2,keyasint"`
}

// numbers lists the numbers of the terms that the record refers to. The receiver may be nil.
func (r *termsInForceRecord) numbers() []int64 {
	if r == nil {
		return nil
	}
	list := []int64{r.Configured}
	for _, x := range r.Superseded {
		list = append(list, x.Terms)
	}
	return list
}

// SetTermsInForce sets the terms that bind new messages from now on, and returns the number of those under which the
// messages are accepted. The next Append writes them, before the messages that refer to them. It fails if there are too
// many terms, and the same ones as before are then in force. The first call after [Open] never fails for that: a process
// has to start, and which terms the messages outside the journal have is not known yet.
func (j *Journal) SetTermsInForce(inForce TermsInForce) (accepting int64, err error) {
	maxStored := math.MaxInt
	if len(j.acceptingTerms) > 0 {
		maxStored = maxTerms + maxTermsInForce
	}
	if len(j.terms)+len(inForce.Superseded)+2 > maxStored {
		j.dropTerms()
	}
	earlier := j.termsInForce
	var record termsInForceRecord
	for _, x := range inForce.Superseded {
		n, err := j.numberTerms(x.Terms, maxStored)
		if err != nil {
			return 0, err
		}
		record.Superseded = append(record.Superseded, supersededRecord{n, x.BindUntil})
	}
	if record.Configured, err = j.numberTerms(inForce.Configured, maxStored); err != nil {
		return 0, err
	}
	if accepting, err = j.numberTerms(inForce.Accepting, maxStored); err != nil {
		return 0, err
	}
	record.Newest = j.lastTermsNumber
	j.acceptingTerms = append(j.acceptingTerms, accepting)
	if earlier == nil || earlier.Newest != record.Newest || earlier.Configured != record.Configured ||
		!slices.Equal(earlier.Superseded, record.Superseded) {
		j.termsInForce, j.dirtyTermsInForce, j.unwritten = &record, true, true
	}
	return accepting, nil
}

// TermsInForce returns the terms that were in force when the store was last written, without those under which messages
// were accepted. If that is not known, because an older program wrote the store or records are lost, all stored terms
// are given as superseded ones, until an unknown time.
func (j *Journal) TermsInForce() TermsInForce {
	var inForce TermsInForce
	record := j.termsInForce
	if record == nil {
		for _, t := range j.terms {
			inForce.Superseded = append(inForce.Superseded, SupersededTerms{*t, BindUntilUnknown})
		}
		return inForce
	}
	inForce.Configured = *j.terms[record.Configured]
	for _, x := range record.Superseded {
		inForce.Superseded = append(inForce.Superseded, SupersededTerms{*j.terms[x.Terms], x.BindUntil})
	}
	return inForce
}

// checkTermsInForce discards the loaded record of the terms in force if it is out of date or refers to terms that are
// not stored. clockKnown is whether its times can be compared with the clock.
func (j *Journal) checkTermsInForce(clockKnown bool) {
	record := j.termsInForce
	if record == nil {
		return
	}
	missing := slices.ContainsFunc(record.numbers(), func(n int64) bool { return j.terms[n] == nil })
	if missing || record.Newest < j.lastTermsNumber {
		j.log.Warn("journal: the record of the terms in force is out of date: all stored terms bind for a while")
		j.termsInForce = nil
		return
	}
	if !clockKnown {
		for i := range record.Superseded {
			record.Superseded[i].BindUntil = BindUntilUnknown
		}
	}
}

// putTermsInForce adds the record of the terms in force to a batch, if it has changed.
func (j *Journal) putTermsInForce(b *store.Batch, buf *bytes.Buffer) {
	if j.dirtyTermsInForce && j.termsInForce != nil {
		b.Put(keyTermsInForce, encode(buf, j.termsInForce))
	}
}
