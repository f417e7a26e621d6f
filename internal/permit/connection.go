package permit

// Connection is what decides whether a client's connection may be closed.
type Connection struct {
	Unanswered int  // requests that were read whole and have no answer yet
	Arriving   bool // a request has begun to come and is not whole
	Unread     bool // bytes have come that were not read
}

// Close says whether a connection may be closed in good order: nothing is owed on it.
func Close(c Connection) Reason {
	switch {
	case c.Unanswered > 0:
		return Unanswered
	case c.Arriving || c.Unread:
		return RequestArriving
	}
	return Granted
}

// Abort says whether a connection may be closed at once to free its descriptor, which
// also cuts off a request that is arriving.
func Abort(c Connection) Reason {
	if c.Unanswered > 0 {
		return Unanswered
	}
	return Granted
}
