package permit

import "time"

// Effect tells what a repeat of a message does.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are recognized by their key for a while
	Unsafe               // must not run twice
)

const (
	// MaxStall is the longest time for which a process may be held up between its last
	// look at the clock and a write.
	MaxStall = 150 * time.Millisecond
	// Transit is what is left beside that for a written request to arrive.
	Transit = 10 * time.Millisecond
	// LeastLeft is the least span before the end of a message's time, or of the window for
	// repeats, in which an attempt may be begun.
	LeastLeft = MaxStall + Transit
)

// Message is what decides whether an attempt of a message may be begun.
type Message struct {
	Ended       bool
	Out         bool          // an attempt has no outcome yet
	Attempts    int           // made so far
	MaxAttempts int           // 0 for no limit
	Left        time.Duration // until the end of its time
	Repeat      Repeat
}

// Repeat is what decides whether a message that may have run may be sent again. Its
// zero value is that of a message that has surely not run.
type Repeat struct {
	MayHaveRun bool
	Effect     Effect
	Age        time.Duration // since the first attempt that may have run was sent
	Window     time.Duration // for which the endpoint recognizes a repeat from then on
	OtherZone  bool          // the endpoint is in another zone, and repeats are recognized in one only
}

// Check says whether a repeat may be begun.
func (r Repeat) Check() Reason {
	switch {
	case !r.MayHaveRun || r.Effect == Safe:
		return Granted
	case r.Effect == Unsafe:
		return MayHaveRun
	case r.Age > r.Window-LeastLeft:
		return WindowOver
	case r.OtherZone:
		return OtherZone
	}
	return Granted
}

// Send says whether an attempt of a message may be begun.
func Send(m Message) Reason {
	switch {
	case m.Ended:
		return MessageEnded
	case m.Out:
		return AttemptOut
	case m.MaxAttempts > 0 && m.Attempts >= m.MaxAttempts:
		return AttemptsUsed
	case m.Left <= LeastLeft:
		return TimeUp
	}
	return m.Repeat.Check()
}

// End is what decides whether the end of a message may be told.
type End struct {
	Written   bool          // the journal holds it
	Delivered bool          // it is a delivery
	Left      time.Duration // of the message's time
}

// TellEnd says whether an end may be told: only once the journal holds it, else a
// process that starts after a crash would send the message again. An end other than a
// delivery may be told without once the message's time is up: nobody sends it then.
func TellEnd(e End) Reason {
	if e.Written || !e.Delivered && e.Left <= 0 {
		return Granted
	}
	return NotWritten
}
