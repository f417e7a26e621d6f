package permit

// Reason says why something may not be done now; [Granted] that it may.
type Reason int

// The reasons.
const (
	Granted         Reason = iota
	MessageEnded           // the message has had its end
	AttemptOut             // an earlier attempt has no outcome yet
	AttemptsUsed           // the message has had all its attempts
	TimeUp                 // too little of the message's time is left for a write that is held up
	MayHaveRun             // an attempt may have run, and a repeat would take effect again
	WindowOver             // the endpoint may have forgotten the key by the time a repeat is written
	OtherZone              // repeats are recognized in the zone of the first attempt only
	CalledOff              // the attempt was cancelled
	WaitTold               // the destination has told to wait
	EndpointLeaving        // the endpoint drains or is gone
	LeaseReduced           // this process may use less of the destination's rate than was planned with
	HandedOver             // another process decides by now
	NotWritten             // the journal does not hold it
	Unanswered             // a request that was read has no answer yet
	RequestArriving        // a request is arriving, or has arrived and is not read
	reasons
)

var reasonNames = [...]string{"granted", "message ended", "attempt out", "attempts used", "time up", "may have run", "window over", "other zone",
	"called off", "wait told", "endpoint leaving", "lease reduced", "handed over", "not written", "unanswered", "request arriving"}

func (r Reason) String() string {
	if r >= 0 && r < reasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Final says that waiting does not help: the message can never be sent again.
func (r Reason) Final() bool {
	switch r {
	case MessageEnded, AttemptsUsed, TimeUp, MayHaveRun, WindowOver:
		return true
	}
	return false
}
