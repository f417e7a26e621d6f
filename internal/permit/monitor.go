package permit

import (
	"log/slog"
	"sync/atomic"
)

// Violation is something that was done and must never be.
type Violation int

// The violations.
const (
	SentAfterTime    Violation = iota // an attempt was written after the end of its message's time
	SentAfterEnd                      // an attempt was written after its message's end was decided
	TwoAttempts                       // an attempt was started while another was out
	EndedTwice                        // a message was ended a second time
	EndNotWritten                     // an end was about to be told that the journal does not hold
	ClosedUnanswered                  // a connection was closed with a request read and not answered
	violations
)

var violationNames = [...]string{"sent after time", "sent after end", "two attempts", "ended twice", "end not written", "closed unanswered"}

func (v Violation) String() string {
	if v >= 0 && v < violations {
		return violationNames[v]
	}
	return "unknown"
}

// Monitor counts what was refused, by reason, and violations. Its methods may be
// called at once by many; a nil Monitor counts nothing.
type Monitor struct {
	log        *slog.Logger
	refused    [reasons]atomic.Int64
	violations [violations]atomic.Int64
}

// NewMonitor makes a monitor that logs violations.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Refused counts an action that was not taken and says for which id and why, at level
// debug.
func (m *Monitor) Refused(r Reason, action, id string) {
	if m == nil || r < 0 || r >= reasons {
		return
	}
	m.refused[r].Add(1)
	m.log.Debug("refused", "action", action, "id", id, "reason", r.String())
}

// Violated counts a violation and logs it with what it concerns.
func (m *Monitor) Violated(v Violation, id string, attrs ...any) {
	if m == nil || v < 0 || v >= violations {
		return
	}
	m.violations[v].Add(1)
	m.log.Error("violation", append([]any{"kind", v.String(), "id", id}, attrs...)...)
}

// Violations is the number of all violations.
func (m *Monitor) Violations() (n int64) {
	if m == nil {
		return 0
	}
	for i := range m.violations {
		n += m.violations[i].Load()
	}
	return n
}

// Counts tells each count by its name; those that are 0 are left out.
func (m *Monitor) Counts() (refused, violated map[string]int64) {
	refused, violated = map[string]int64{}, map[string]int64{}
	if m == nil {
		return refused, violated
	}
	for i := range m.refused {
		if n := m.refused[i].Load(); n > 0 {
			refused[Reason(i).String()] = n
		}
	}
	for i := range m.violations {
		if n := m.violations[i].Load(); n > 0 {
			violated[Violation(i).String()] = n
		}
	}
	return refused, violated
}
