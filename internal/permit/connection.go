package permit

// Connection is the state of a client's connection that determines whether it may be closed.
type Connection struct {
	Unanswered int  // requests that were read completely and have no response yet
	Arriving   bool // a request has been read in part
	Unread     bool // received bytes have not been read
}

// Close returns why a connection may not be closed gracefully: requests on it are unanswered or arriving.
func Close(c Connection) Reason {
	switch {
	case c.Unanswered > 0:
		return Unanswered
	case c.Arriving || c.Unread:
		return RequestArriving
	}
	return Granted
}

// Withdrawal is the state of an accepted message that determines whether it may be withdrawn, that is, ended as returned
// because its client has left without the response.
type Withdrawal struct {
	Ended       bool
	MayHaveRun  bool // an attempt may have run
	Sending     bool // an attempt is being sent, or has no outcome yet
	Resubmitted bool // another submission of it has been answered as accepted
	MayBeRead   bool // its response was written before the connection broke: the client may have read it
	Repeatable  bool // a second copy of it, under another ID, does no harm
}

// Withdraw returns why a message may not be withdrawn.
func Withdraw(w Withdrawal) Reason {
	switch {
	case w.Ended:
		return MessageEnded
	case w.MayHaveRun:
		return MayHaveRun
	case w.Sending:
		return AttemptInFlight
	case w.Resubmitted:
		return Resubmitted
	case w.MayBeRead && w.Repeatable:
		return ResponseRead
	}
	return Granted
}

// Execute returns why a submission that has been read may not be executed. left is whether its client has closed the
// connection, or its side of it: it may hand the message in again elsewhere.
func Execute(left bool) Reason {
	if left {
		return ClientLeft
	}
	return Granted
}

// Abort returns why a connection may not be closed at once to free its descriptor. Unlike Close, an abort may
// cut off a request that is arriving.
func Abort(c Connection) Reason {
	if c.Unanswered > 0 {
		return Unanswered
	}
	return Granted
}
