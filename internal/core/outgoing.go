package core

import (
	"sync/atomic"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Message  *message.Message
	Number   int // number among the message's attempts, from 0
	Endpoint logic.EndpointID
	Addr     string
	Timeout  time.Duration // a response after this time is ignored
	// Unrepeatable is set if the message could not be sent again after a broken connection, so that a connection
	// that may break must be avoided.
	Unrepeatable bool
	// Expires is the message's deadline; zero for none.
	Expires time.Time
	// Repeat determines whether the attempt is allowed if an earlier one may have run, as of its creation.
	Repeat permit.Repeat

	plannedShare float64        // share of each rate on which the decision to send was based
	allowedShare func() float64 // returns the share of each rate that may be used now; nil for no limit
	monitor      *permit.Monitor

	state          atomic.Int32
	withheldReason atomic.Int32 // the permit.Reason for which it was withheld
	messageEnded   atomic.Bool
	createdAt      time.Time
	firstID        string // ID of the first message of its call
	bodyInStore    bool   // the message's body is in the store only
}

// The states of an attempt. It changes once, from waiting to one of the others.
const (
	attemptWaiting  int32 = iota
	attemptBegun          // it may have run
	attemptWithheld       // it must not begin
)

// leaseTolerance is the rounding error, in shares of a rate, by which the allowed share may be below the planned one.
const leaseTolerance = 1e-9

// Begin reports whether the attempt may be sent now. The transport calls it once, right before it writes the first
// byte, because the decision to send may be outdated: a wait or a drain has become known, the message's deadline or
// the end of the window for repeats is close, or the share of each rate that this sender may use has become smaller
// than planned.
func (a *Attempt) Begin() bool {
	if reason := a.checkPermit(time.Now()); reason != permit.Granted {
		a.Withhold(reason)
	}
	if a.state.CompareAndSwap(attemptWaiting, attemptBegun) {
		return true
	}
	if a.Message != nil {
		a.monitor.CountDenied(a.Reason(), "send", a.Message.ID)
	}
	return false
}

// checkPermit returns why the attempt may not begin, or [permit.Granted].
func (a *Attempt) checkPermit(now time.Time) permit.Reason {
	if a.allowedShare != nil {
		if share := a.allowedShare(); share <= 0 || share < a.plannedShare-leaseTolerance {
			return permit.LeaseReduced
		}
	}
	state := permit.Message{Ended: a.messageEnded.Load(), Remaining: time.Hour, Repeat: a.Repeat}
	if !a.Expires.IsZero() {
		state.Remaining = a.Expires.Sub(now)
	}
	state.Repeat.Age += now.Sub(a.createdAt)
	return permit.Send(state)
}

// MarkWritten is called once the last byte has been written. If that was after the deadline or the end of the message,
// it counts a violation.
func (a *Attempt) MarkWritten() {
	if a.Message == nil {
		return
	}
	if late := time.Since(a.Expires); !a.Expires.IsZero() && late > 0 {
		a.monitor.CountViolation(permit.SentAfterDeadline, a.Message.ID, "late", late, "attempt", a.Number)
	}
	if a.messageEnded.Load() {
		a.monitor.CountViolation(permit.SentAfterEnd, a.Message.ID, "attempt", a.Number)
	}
}

// hasBegun reports whether the attempt may have been sent.
func (a *Attempt) hasBegun() bool { return a.state.Load() == attemptBegun }

// Withhold prevents the attempt from beginning. It returns false if the attempt has begun or was withheld before.
func (a *Attempt) Withhold(reason permit.Reason) bool {
	a.withheldReason.CompareAndSwap(int32(permit.Granted), int32(reason))
	return a.state.CompareAndSwap(attemptWaiting, attemptWithheld)
}

// Reason returns why the attempt was withheld; [permit.Granted] if it was not.
func (a *Attempt) Reason() permit.Reason {
	if a.state.Load() != attemptWithheld {
		return permit.Granted
	}
	return permit.Reason(a.withheldReason.Load())
}
