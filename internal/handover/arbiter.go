package handover

// Situation is the state of a handover at the predecessor, until it is settled whether the
// successor has received the snapshot.
type Situation struct {
	Confirmed      bool      // the successor has sent a [Confirmation]
	ConnectionLost bool      // the connection to the successor is broken, or the successor has sent a [Refusal]
	TimedOut       bool      // the successor has not replied in time
	Lock           LockState // result of the last attempt to take the journal's lock
	LockHeldLong   bool      // another process has held the lock for longer than a dying process would
}

// LockState is the result of an attempt to take the journal's lock.
type LockState int

// The states of the lock.
const (
	LockUntried     LockState = iota
	LockAcquired              // this process holds the lock again
	LockHeldByOther           // another process holds the lock
)

// Action is the next step of the predecessor.
type Action int

// The actions.
const (
	Wait    Action = iota // wait for a message, the end of the connection or the timeout
	TryLock               // take the lock if it is free
	Relay                 // the successor decides on messages; this process only finishes its calls
	Resume                // this process decides on messages again
	Fence                 // the successor stalls while another process holds the lock: kill it, then try the lock again
)

func (a Action) String() string {
	return [...]string{"wait", "try the lock", "relay", "resume", "fence"}[a]
}

// Decide returns the next action. The process that holds the lock decides on messages, so a
// silent successor must not be considered dead before the lock is free.
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
	case s.LockHeldLong: // the successor is alive, and only the connection is broken
		return Relay
	default: // the connection is lost and the lock held: by the dying successor, or by a third process
		return TryLock
	}
}
