package load

import "fmt"

// Fault is what must not have happened to a message.
type Fault struct {
	N    int // of the message
	What string
}

// mostFaults are kept with their text; the others are counted.
const mostFaults = 100

// What has become of a message, as its client knows it: bits of a byte, so that a
// million messages take a megabyte.
const (
	sent     byte = 1 << iota
	accepted      // the daemon has taken it on
	refused       // it has not
	unheard       // no answer came: whether it was taken on is not known
	ended
	delivered // ended: it ran; else it did not, or that is not known
	failed    // ended: whether it ran is not known
)

// End is how a message ended.
type End string

// The ends.
const (
	Delivered End = "delivered"
	Returned  End = "returned"
	Failed    End = "failed"
)

// Ledger accounts for each message: accepted and ended once, refused, or unknown.
type Ledger struct {
	state  []byte
	open   int // accepted and without an end
	Faults []Fault
	Found  int // faults in all
}

func (l *Ledger) at(n int) *byte {
	for len(l.state) <= n {
		l.state = append(l.state, make([]byte, max(1024, len(l.state)/2))...)
	}
	return &l.state[n]
}

func (l *Ledger) fault(n int, format string, args ...any) {
	if l.Found++; len(l.Faults) < mostFaults {
		l.Faults = append(l.Faults, Fault{n, fmt.Sprintf(format, args...)})
	}
}

// Sent notes that a message is handed in.
func (l *Ledger) Sent(n int) { *l.at(n) |= sent }

// Answered notes the daemon's answer. It is a fault if there was one before, or the
// message was never handed in.
func (l *Ledger) Answered(n int, taken bool) {
	s := l.at(n)
	switch {
	case *s&sent == 0:
		l.fault(n, "answered without having been handed in")
	case *s&(accepted|refused) != 0:
		l.fault(n, "answered twice")
	case taken:
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

// Unheard notes that no answer is to come any more.
func (l *Ledger) Unheard(n int) {
	if s := l.at(n); *s&(accepted|refused) == 0 {
		*s |= unheard
	}
}

// End notes an end and says whether it is news. The same end told again is none: a
// stream that is resumed repeats. Another one is a fault, as is one of a message that was refused.
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
		l.fault(n, "%s without having been handed in", e)
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

// Open is how many messages are accepted and have no end yet.
func (l *Ledger) Open() int { return l.open }

// Ran says whether a message may have run at a partner: not if it was refused or
// returned.
func (l *Ledger) Ran(n int) (may, must bool) {
	s := *l.at(n)
	return s&sent != 0 && s&refused == 0 && (s&ended == 0 || s&(delivered|failed) != 0), s&delivered != 0
}

// Account is how many messages there are of each state.
type Account struct {
	Sent, Accepted, Refused, Unknown int // Unknown: no answer came
	Delivered, Returned, Failed      int
	Open                             int // accepted, and no end was told
}

// Close adds up. Whatever was accepted and has no end by then is a fault if owed
// says that its time is up.
func (l *Ledger) Close(owed func(n int) bool) (a Account) {
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
			if owed(n) {
				l.fault(n, "accepted, and never ended")
			}
		}
	}
	return a
}
