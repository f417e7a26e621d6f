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
	Number   int // of the message's attempts, from 0
	Endpoint logic.EndpointID
	Addr     string
	Timeout  time.Duration // no answer counts after this
	// Unrepeatable says that a break would end the message for good, so that a
	// connection which may break is to be avoided.
	Unrepeatable bool
	// Expires is the end of the message's time; zero for none.
	Expires time.Time
	// Repeat is what allows the attempt where an earlier one may have run, as it stood
	// when the loop made it.
	Repeat permit.Repeat

	part    float64        // of each rate, by which it was decided on
	allowed func() float64 // that may be used now; nil for any
	monitor *permit.Monitor

	state    atomic.Int32
	withheld atomic.Int32 // why it is withheld: a permit.Reason
	ended    atomic.Bool  // its message has had its end
	at       time.Time    // when the loop made it
	first    string       // the id of the first message of its call
	left     bool         // the message's body is in the store only
}

// The states of an attempt. It goes from the first to one of the others, once.
const (
	attemptWaiting  int32 = iota
	attemptBegun          // from here on it may have run
	attemptWithheld       // it is not to be begun
)

// leaseTolerance is by how much of a rate a lease may be less than planned with.
const leaseTolerance = 1e-9

// Begin says whether the attempt may go out now. The transport asks once, right
// before the first byte. What was decided on earlier may have become wrong since: a
// wait or a drain has become known, the message's time or the window for its repeats
// is nearly over, or this sender may use less of each rate than it was decided by.
func (a *Attempt) Begin() bool {
	if reason := a.check(time.Now()); reason != permit.Granted {
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

func (a *Attempt) check(now time.Time) permit.Reason {
	if a.allowed != nil {
		if part := a.allowed(); part <= 0 || part < a.part-leaseTolerance {
			return permit.LeaseReduced
		}
	}
	x := permit.Message{Ended: a.ended.Load(), Remaining: time.Hour, Repeat: a.Repeat}
	if !a.Expires.IsZero() {
		x.Remaining = a.Expires.Sub(now)
	}
	x.Repeat.Age += now.Sub(a.at)
	return permit.Send(x)
}

// MarkWritten notes that the last byte has been written. That this was too late can't be
// undone, but it is counted.
func (a *Attempt) MarkWritten() {
	if a.Message == nil {
		return
	}
	if late := time.Since(a.Expires); !a.Expires.IsZero() && late > 0 {
		a.monitor.CountViolation(permit.SentAfterDeadline, a.Message.ID, "late", late, "attempt", a.Number)
	}
	if a.ended.Load() {
		a.monitor.CountViolation(permit.SentAfterEnd, a.Message.ID, "attempt", a.Number)
	}
}

// begun says whether it may have gone out.
func (a *Attempt) begun() bool { return a.state.Load() == attemptBegun }

// Withhold keeps the attempt from going out, and says whether that was in time.
func (a *Attempt) Withhold(reason permit.Reason) bool {
	a.withheld.CompareAndSwap(int32(permit.Granted), int32(reason))
	return a.state.CompareAndSwap(attemptWaiting, attemptWithheld)
}

// Reason says why the attempt was withheld; [permit.Granted] if it was not.
func (a *Attempt) Reason() permit.Reason {
	if a.state.Load() != attemptWithheld {
		return permit.Granted
	}
	return permit.Reason(a.withheld.Load())
}
