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

// Abort returns why a connection may not be closed at once to free its descriptor. Unlike Close, an abort may
// cut off a request that is arriving.
func Abort(c Connection) Reason {
	if c.Unanswered > 0 {
		return Unanswered
	}
	return Granted
}
