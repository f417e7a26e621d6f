package handover

// What a process that hands over does while it does not know whether its successor
// has taken the snapshot.

// Situation is what it knows.
type Situation struct {
	Taken bool // the successor has said so
	Gone  bool // the successor's socket has broken, or it has refused
	Late  bool // it has said nothing for too long
	Lock  Lock // what an attempt to take the journal's lock has shown
	Kept  bool // another process has had the lock for longer than one that dies keeps it
}

// Lock is who has the lock of the journal.
type Lock int

// What is known of the lock.
const (
	Untried Lock = iota
	Mine         // this process has it again
	Another      // another process has it
)

// Verdict is what it does next.
type Verdict int

// The verdicts.
const (
	Wait    Verdict = iota // for a word, for the socket or for time
	TryLock                // take the lock if nobody has it
	Relay                  // the successor decides; this process only finishes its calls
	Resume                 // this process decides again
	Fence                  // the successor has the lock and is stalled: end it, then try the lock again
)

func (v Verdict) String() string {
	return [...]string{"wait", "try the lock", "relay", "resume", "fence"}[v]
}

// Decide says what to do. Whoever has the lock decides on messages; so a successor
// that has said nothing may not be taken for dead before the lock is free.
func Decide(s Situation) Verdict {
	switch {
	case s.Taken:
		return Relay
	case s.Lock == Mine:
		return Resume
	case !s.Gone && !s.Late:
		return Wait
	case s.Lock == Untried:
		return TryLock
	case s.Late:
		return Fence
	case s.Kept: // it lives, and only the socket has broken
		return Relay
	default: // gone, and another has the lock: it dies just now, or a third process took it
		return TryLock
	}
}
