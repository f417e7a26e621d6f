package permit

// Reason is why an action is not permitted; [Granted] means that it is.
type Reason int

// The reasons.
const (
	Granted           Reason = iota
	MessageEnded             // the message has ended
	AttemptInFlight          // an earlier attempt has no outcome yet
	AttemptsExhausted        // the message has had its maximum number of attempts
	Expired                  // too little time is left for a write that may be delayed by a stall
	MayHaveRun               // an attempt may have run, and a repeat would take effect again
	WindowExpired            // the endpoint may have forgotten the idempotency key by the time a repeat is written
	OtherZone                // repeats are recognized only in the zone of the first attempt
	Cancelled                // the attempt was cancelled
	WaitRequested            // the destination has requested a wait
	EndpointLeaving          // the endpoint drains or was removed
	LeaseReduced             // this process may now use less of the destination's rate than was planned with
	HandedOver               // another process has taken over the decisions
	NotWritten               // not in the journal
	Unanswered               // a request that was read has no response yet
	RequestArriving          // a request is arriving, or has arrived and is not read
	ListUnconfirmed          // the list is of an earlier process, and the source has not been heard yet
	EndpointMoved            // the endpoint has another address, or belongs to another destination
	ClientLeft               // the client has left without the response, or before its request was executed
	Resubmitted              // another submission of the message has been answered as accepted
	ResponseRead             // the client may have read the response, and a second copy of the message does no harm
	reasons
)

var reasonNames = [...]string{"granted", "message ended", "attempt out", "attempts used", "time up", "may have run",
	"window over", "other zone", "called off", "wait told", "endpoint leaving", "lease reduced", "handed over",
	"not written", "unanswered", "request arriving", "list unconfirmed", "endpoint moved",
	"client left", "resubmitted", "response read"}

// String returns the name of the reason, or "unknown".
func (r Reason) String() string {
	if r >= 0 && r < reasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Final reports whether the message can never be sent again, however long one waits.
func (r Reason) Final() bool {
	switch r {
	case MessageEnded, AttemptsExhausted, Expired, MayHaveRun, WindowExpired:
		return true
	}
	return false
}
