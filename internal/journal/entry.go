package journal

import (
	"strconv"

	"cometrack/internal/message"
)

// Entry is what the journal knows of a message that is not over, or whose end has
// yet to be confirmed. Its names in JSON are those of the file of before 0.3.
type Entry struct {
	message.Message
	AcceptedAt      int64        `json:"at,omitempty"` // when it was taken on, by the clock of package clock
	Attempts        int          `json:"tries,omitempty"`
	InFlight        bool         `json:"open,omitempty"`      // the last attempt has no outcome
	MayHaveRun      bool         `json:"may_run,omitempty"`   // an earlier one may have run
	MayHaveRunSince int64        `json:"first_may,omitempty"` // when the first that may have run was sent, by the clock of package clock
	MayHaveRunZone  string       `json:"at_zone,omitempty"`   // zone of its endpoint
	End             *message.End `json:"end,omitempty"`
	OldDest         *int64       `json:"dest,omitempty"`   // the partner, in files of before 0.2
	StoredDigest    uint64       `json:"digest,omitempty"` // of the message as it was, once its body is not in memory
	StoredBodySize  int          `json:"-"`                // bytes of a body that is in the store only, see [Journal.Body]
	Terms           int64        `json:"-"`                // the number of the [Terms] that it was taken on under; 0 if not known
	BacklogSeq      uint64       `json:"-"`                // its number while it was behind the window of its destination; 0 if it never was
	n               int64        // its place in the order in which messages were taken on
}

// SubmittedDigest is the digest of the message as it was handed in.
func (e *Entry) SubmittedDigest() uint64 {
	if e.End != nil || e.StoredBodySize > 0 {
		return e.StoredDigest
	}
	return e.Digest()
}

// upgrade reads an entry of an older file.
func (e *Entry) upgrade() {
	if e.Partner == "" && e.OldDest != nil {
		e.Partner = strconv.FormatInt(*e.OldDest, 10)
	}
	e.OldDest = nil
}

// Op is the kind of a record.
type Op byte

// The kinds of record.
const (
	OpAccept           Op = iota + 1 // a message is taken on
	OpSend                           // an attempt is about to be made
	OpOutcome                        // it has its outcome
	OpDone                           // delivered, or over without our word
	OpEnd                            // ended by us; the notice is owed
	OpNotified                       // the notice is confirmed
	OpWait                           // an endpoint has told to wait until At; ID is its name
	OpEnded                          // what is remembered of one that is over; only in files of before 0.3
	OpPartner                        // what is known of the partner ID
	OpTerms                          // messages are taken on under Terms from here on
	OpLeftBacklog                    // the message of the number Behind is no longer behind its window, and nothing else is known of it
	OpBacklogReclaimed               // Count numbers from Behind on are of nobody any more: nothing is left of them behind the windows
)

// Record is one thing that has happened.
type Record struct {
	Op         Op           `json:"op"`
	ID         string       `json:"id,omitempty"`
	Entry      *Entry       `json:"entry,omitempty"`
	At         int64        `json:"at,omitempty"`
	Zone       string       `json:"at_zone,omitempty"` // of the endpoint that an attempt goes to
	MayHaveRun bool         `json:"may_run,omitempty"`
	End        *message.End `json:"notice,omitempty"`
	Ended      *Ended       `json:"ended,omitempty"`
	// Partner is what is known of the partner ID.
	Partner    *Partner `json:"-"`
	Terms      *Terms   `json:"-"`
	BacklogSeq uint64   `json:"-"`
	Count      uint64   `json:"-"`
}
