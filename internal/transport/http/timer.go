package httptransport

import (
	"net"
	"sync"
	"time"

	"cometrack/logic"
)

const (
	closeLinger = 50 * time.Millisecond // time for the endpoint to notice that a call is abandoned
	minSilence  = time.Second           // a call cancelled after this time without a response counts as unanswered
)

// callTimer sets the read deadlines of a call. The call's own deadline and a cancel
// apply until the call has ended, however much of the response has been read.
type callTimer struct {
	conn       net.Conn
	startedAt  time.Time
	deadline   time.Time
	linger     time.Duration
	mu         sync.Mutex
	cancelled  bool
	responding bool // the response has begun to arrive
	abandoned  bool // the write side is closed and at most the linger time remains
}

// cancel cancels the call.
func (l *callTimer) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled = true; !l.abandoned {
		l.conn.SetDeadline(l.cancelDeadline())
	}
}

// cancelDeadline returns the read deadline of a cancelled call. A response that has begun
// counts if the rest arrives within the linger time, since it may carry a requested wait.
func (l *callTimer) cancelDeadline() time.Time {
	if l.responding {
		return time.Now().Add(l.linger)
	}
	return time.Now().Add(-time.Second)
}

// limitRead sets the deadline of the next reads to d from now, or to the call's own deadline if d is 0.
func (l *callTimer) limitRead(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responding = l.responding || d > 0
	switch at := time.Now().Add(d); {
	case l.abandoned:
	case l.cancelled:
		l.conn.SetDeadline(l.cancelDeadline())
	case d == 0 || at.After(l.deadline.Add(l.linger)):
		if d > 0 {
			l.conn.SetDeadline(l.deadline.Add(l.linger))
			return
		}
		l.conn.SetDeadline(l.deadline)
	default:
		l.conn.SetDeadline(at)
	}
}

// abandon gives the call up: it closes the write side to signal that to the endpoint and
// allows the linger time for it, so that the next attempt doesn't overlap with this one.
// A response that arrives meanwhile counts.
func (l *callTimer) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
	var conn net.Conn = l.conn
	if c, ok := conn.(*persistentConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	l.conn.SetDeadline(time.Now().Add(l.linger))
}

// abortOutcome returns the outcome of a call without a response in time.
func (l *callTimer) abortOutcome() logic.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled {
		return logic.Cancelled
	}
	return logic.TimedOut
}

// unanswered reports whether no byte of a response came in the time of a call with this outcome, or until it was
// cancelled after minSilence.
func (l *callTimer) unanswered(outcome logic.Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responding {
		return false
	}
	return outcome == logic.TimedOut || outcome == logic.Cancelled && time.Since(l.startedAt) >= minSilence
}

// aborted reports whether the connection can't be reused, because the call was abandoned or a cancel may still
// change its deadline.
func (l *callTimer) aborted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abandoned || l.cancelled
}
