package permit

import (
	"fmt"
	"time"
)

// Effect is the effect of delivering a message a second time.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // repeats are recognized by their idempotency key for a limited time
	Unsafe               // must not run twice
)

// String returns the name of the effect.
func (e Effect) String() string {
	switch e {
	case Safe:
		return "safe"
	case Keyed:
		return "keyed"
	case Unsafe:
		return "unsafe"
	}
	return fmt.Sprintf("Effect(%d)", int(e))
}

const (
	// MaxStall is the longest time for which a process may stall between its last reading of the clock and a
	// write.
	MaxStall = 150 * time.Millisecond
	// TransitTime is the time allowed in addition for a written request to arrive.
	TransitTime = 10 * time.Millisecond
	// MinRemaining is the minimum time before a message's deadline, or before the end of its window for
	// repeats, at which an attempt may start.
	MinRemaining = MaxStall + TransitTime
)

// Message is the state of a message that determines whether an attempt may start.
type Message struct {
	Ended       bool
	InFlight    bool          // an attempt has no outcome yet
	Attempts    int           // number of attempts made
	MaxAttempts int           // 0 for no limit
	Remaining   time.Duration // time until the deadline
	Repeat      Repeat
}

// Repeat is the state that determines whether a message that may have run may be sent again. Its zero value
// is that of a message that has certainly not run.
type Repeat struct {
	MayHaveRun bool
	Effect     Effect
	Age        time.Duration // time since the first attempt that may have run was sent
	Window     time.Duration // the endpoint recognizes repeats for this long after that attempt
	OtherZone  bool          // the endpoint is in another zone, and repeats are recognized in one zone only
}

// Check returns why a repeat may not start.
func (r Repeat) Check() Reason {
	switch {
	case !r.MayHaveRun || r.Effect == Safe:
		return Granted
	case r.Effect == Unsafe:
		return MayHaveRun
	case r.Age > r.Window-MinRemaining:
		return WindowExpired
	case r.OtherZone:
		return OtherZone
	}
	return Granted
}

// Send returns why an attempt of a message may not start.
func Send(m Message) Reason {
	switch {
	case m.Ended:
		return MessageEnded
	case m.InFlight:
		return AttemptInFlight
	case m.MaxAttempts > 0 && m.Attempts >= m.MaxAttempts:
		return AttemptsExhausted
	case m.Remaining <= MinRemaining:
		return Expired
	}
	return m.Repeat.Check()
}

// MaxListWait is the longest time for which a process that has started waits for the source's first answer before it
// sends by the list of an earlier process. A discovery that is down may stay so for long, and the list then serves on.
const MaxListWait = time.Second

// List is the state of the list of endpoints that determines whether attempts may start by it.
type List struct {
	Unconfirmed bool          // it is of an earlier process, and the source has not answered this one
	Waited      time.Duration // time since the process began to use the list
}

// UseList returns why no attempt may start by a list. While a process was away, an address on its list may have become
// that of an endpoint of another destination.
func UseList(l List) Reason {
	if l.Unconfirmed && l.Waited < MaxListWait {
		return ListUnconfirmed
	}
	return Granted
}

// End is the state of a message that determines whether its end may be notified.
type End struct {
	Written   bool          // the journal holds the end
	Delivered bool          // the message was delivered
	Remaining time.Duration // time until the message's deadline
}

// NotifyEnd returns why an end may not be notified. The journal must hold it first; otherwise a process that
// starts after a crash would send the message again. An end other than a delivery may be notified without
// that after the message's deadline, as no process sends it then.
func NotifyEnd(e End) Reason {
	if e.Written || !e.Delivered && e.Remaining <= 0 {
		return Granted
	}
	return NotWritten
}
