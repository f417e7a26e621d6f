package journal

import (
	"strconv"

	"cometrack/internal/message"
)

// Entry is a message that has not ended, or whose end is not confirmed. Its JSON names are those
// of the legacy file that versions before 0.3 wrote. Times are in microseconds of package clock.
type Entry struct {
	message.Message
	AcceptedAt      int64        `json:"at,omitempty"`
	Attempts        int          `json:"tries,omitempty"`     // number of attempts made
	InFlight        bool         `json:"open,omitempty"`      // the last attempt has no outcome
	MayHaveRun      bool         `json:"may_run,omitempty"`   // an earlier attempt may have run
	MayHaveRunSince int64        `json:"first_may,omitempty"` // when the first attempt that may have run was sent
	MayHaveRunZone  string       `json:"at_zone,omitempty"`   // zone of its endpoint
	End             *message.End `json:"end,omitempty"`       // nil while the message has not ended
	LegacyDest      *int64       `json:"dest,omitempty"`      // the partner, in files of versions before 0.2
	StoredDigest    uint64       `json:"digest,omitempty"`    // of the submitted message, once its body is not in memory
	StoredBodySize  int          `json:"-"`                   // of a body that is only in the store, see [Journal.Body]
	Terms           int64        `json:"-"`                   // number of the [Terms] of its acceptance; 0 if unknown
	BacklogSeq      uint64       `json:"-"`                   // sequence number that it had in the backlog; 0 if none
	number          int64        // position in the order of acceptance
}

// SubmittedDigest returns the digest of the message as it was submitted.
func (e *Entry) SubmittedDigest() uint64 {
	if e.End != nil || e.StoredBodySize > 0 {
		return e.StoredDigest
	}
	return e.Digest()
}

// convertLegacyPartner sets the partner of an entry of a file of a version before 0.2.
func (e *Entry) convertLegacyPartner() {
	if e.Partner == "" && e.LegacyDest != nil {
		e.Partner = strconv.FormatInt(*e.LegacyDest, 10)
	}
	e.LegacyDest = nil
}

// Op is the kind of a record.
type Op byte

// The kinds of records.
const (
	OpAccept   Op = iota + 1 // Entry is accepted
	OpSend                   // an attempt of the message ID is about to be sent, at the time At to Zone
	OpOutcome                // the attempt has its outcome; MayHaveRun if it may have run
	OpDone                   // the message was delivered, or ended by its endpoint, at the time At; no notice follows
	OpEnd                    // the message has ended with End; its notice is not confirmed
	OpNotified               // the notice is confirmed
	OpWait                   // the endpoint ID has requested a wait until At
	OpEnded                  // Ended is retained; only in files of versions before 0.3
	OpPartner                // Partner is the state of the partner ID
	// OpLeftBacklog records that the message with the number BacklogSeq has left the backlog, if nothing else is stored
	// of it.
	OpLeftBacklog
	// OpBacklogReclaimed records that no message is left of Count sequence numbers from BacklogSeq on.
	OpBacklogReclaimed
)

// Record is an event of a message, an endpoint or a partner. Op says which of the fields are used.
type Record struct {
	Op         Op           `json:"op"`
	ID         string       `json:"id,omitempty"` // of the message, or the name of the endpoint or partner
	Entry      *Entry       `json:"entry,omitempty"`
	At         int64        `json:"at,omitempty"`      // in microseconds of package clock
	Zone       string       `json:"at_zone,omitempty"` // of the endpoint that an attempt is sent to
	MayHaveRun bool         `json:"may_run,omitempty"`
	End        *message.End `json:"notice,omitempty"`
	Ended      *Ended       `json:"ended,omitempty"`
	Partner    *Partner     `json:"-"`
	BacklogSeq uint64       `json:"-"`
	Count      uint64       `json:"-"`
}
