package load

import "fmt"

// Fault is something that must not happen to a message.
type Fault struct {
	N    int // number of the message
	What string
}

// maxFaults is the maximum number of faults kept with their text. Further ones are only counted.
const maxFaults = 100

// State of a message as its client sees it: bits of a byte, so that a million messages take a
// megabyte.
const (
	sent       byte = 1 << iota // the client has submitted it
	accepted                    // the daemon has accepted it
	refused                     // the daemon has rejected it
	unanswered                  // no reply arrived: the daemon may have accepted it or not
	ended                       // the client has received its end
	delivered                   // with ended: it ran
	failed                      // with ended: it may have run. With neither bit it was returned and did not run
)

// End is the final state of a message.
type End string

// The ends.
const (
	Delivered End = "delivered" // the partner has confirmed it
	Returned  End = "returned"  // it was not delivered and did not run; the client may submit it again
	Failed    End = "failed"    // it may have run or not
)

// Ledger tracks the state of each message and finds contradictions: each is accepted and ends
// once, is rejected, or has no reply.
type Ledger struct {
	state      []byte
	open       int // number of messages accepted and without an end
	Faults     []Fault
	FaultCount int // number of all faults
}

// at returns the state of a message.
func (l *Ledger) at(n int) *byte {
	for len(l.state) <= n {
		l.state = append(l.state, make([]byte, max(1024, len(l.state)/2))...)
	}
	return &l.state[n]
}

// fault records a fault of a message.
func (l *Ledger) fault(n int, format string, args ...any) {
	if l.FaultCount++; len(l.Faults) < maxFaults {
		l.Faults = append(l.Faults, Fault{n, fmt.Sprintf(format, args...)})
	}
}

// Sent records that a message is submitted.
func (l *Ledger) Sent(n int) { *l.at(n) |= sent }

// Answered records the daemon's reply. It is a fault if there was one before, or the message
// was never submitted.
func (l *Ledger) Answered(n int, isAccepted bool) {
	s := l.at(n)
	switch {
	case *s&sent == 0:
		l.fault(n, "answered without having been submitted")
	case *s&(accepted|refused) != 0:
		l.fault(n, "answered twice")
	case isAccepted:
		*s |= accepted
		if *s&ended == 0 {
			l.open++
		}
	case *s&ended != 0:
		l.fault(n, "refused after its end")
	default:
		*s |= refused
	}
}

// Unanswered records that a message will get no reply.
func (l *Ledger) Unanswered(n int) {
	if s := l.at(n); *s&(accepted|refused) == 0 {
		*s |= unanswered
	}
}

// End records the end of a message and reports whether it is new. The same end again is no
// fault, as a resumed stream repeats ends. A different end, or one of a message that was
// rejected, is a fault.
func (l *Ledger) End(n int, e End) bool {
	bits := ended
	switch e {
	case Delivered:
		bits |= delivered
	case Failed:
		bits |= failed
	}
	s := l.at(n)
	switch {
	case *s&sent == 0:
		l.fault(n, "%s without having been submitted", e)
	case *s&refused != 0:
		l.fault(n, "%s after it was refused", e)
	case *s&ended == 0:
		*s |= bits
		if *s&accepted != 0 {
			l.open--
		}
		return true
	case *s&(ended|delivered|failed) != bits:
		l.fault(n, "%s after another end", e)
	}
	return false
}

// OpenCount returns the number of messages that are accepted and have no end yet.
func (l *Ledger) OpenCount() int { return l.open }

// MayHaveRun reports whether a message may have run at a partner, which it must not if it was
// rejected or returned, and whether it must have run, as it was reported delivered.
func (l *Ledger) MayHaveRun(n int) (may, must bool) {
	s := *l.at(n)
	return s&sent != 0 && s&refused == 0 && (s&ended == 0 || s&(delivered|failed) != 0), s&delivered != 0
}

// Account is the number of messages in each state.
type Account struct {
	Sent, Accepted, Refused, Unknown int // Unknown: no reply arrived
	Delivered, Returned, Failed      int
	Open                             int // accepted, and no end was reported
}

// Close returns the number of messages in each state. An accepted message without an end is a
// fault if overdue reports that its end should have come.
func (l *Ledger) Close(overdue func(n int) bool) (a Account) {
	for n, s := range l.state {
		if s&sent == 0 {
			continue
		}
		a.Sent++
		switch {
		case s&accepted != 0:
			a.Accepted++
		case s&refused != 0:
			a.Refused++
		default:
			a.Unknown++
		}
		switch {
		case s&delivered != 0:
			a.Delivered++
		case s&failed != 0:
			a.Failed++
		case s&ended != 0:
			a.Returned++
		case s&accepted != 0:
			a.Open++
			if overdue(n) {
				l.fault(n, "accepted, and never ended")
			}
		}
	}
	return a
}
