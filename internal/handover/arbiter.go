package handover

// What a process that hands over does while it does not know whether its successor
// has taken the snapshot.

// Situation is what it knows.
type Situation struct {
	Confirmed      bool      // the successor has said so
	ConnectionLost bool      // the successor's socket has broken, or it has refused
	TimedOut       bool      // it has said nothing for too long
	Lock           LockState // what an attempt to take the journal's lock has shown
	LockHeldLong   bool      // another process has had the lock for longer than one that dies keeps it
}

// LockState is who has the lock of the journal.
type LockState int

// What is known of the lock.
const (
	LockUntried     LockState = iota
	LockAcquired              // this process has it again
	LockHeldByOther           // another process has it
)

// Action is what it does next.
type Action int

// The verdicts.
const (
	Wait    Action = iota // for a word, for the socket or for time
	TryLock               // take the lock if nobody has it
	Relay                 // the successor decides; this process only finishes its calls
	Resume                // this process decides again
	Fence                 // the successor has the lock and is stalled: end it, then try the lock again
)

func (v Action) String() string {
	return [...]string{"wait", "try the lock", "relay", "resume", "fence"}[v]
}

// Decide says what to do. Whoever has the lock decides on messages; so a successor
// that has said nothing may not be taken for dead before the lock is free.
func Decide(s Situation) Action {
	switch {
	case s.Confirmed:
		return Relay
	case s.Lock == LockAcquired:
		return Resume
	case !s.ConnectionLost && !s.TimedOut:
		return Wait
	case s.Lock == LockUntried:
		return TryLock
	case s.TimedOut:
		return Fence
	case s.LockHeldLong: // it lives, and only the socket has broken
		return Relay
	default: // gone, and another has the lock: it dies just now, or a third process took it
		return TryLock
	}
}
