package permit

import (
	"log/slog"
	"sync/atomic"
)

// Violation is an action that was taken although it is never permitted.
type Violation int

// The violations.
const (
	SentAfterDeadline  Violation = iota // an attempt was written after the deadline of its message
	SentAfterEnd                        // an attempt was written after the end of its message was decided
	ConcurrentAttempts                  // an attempt was started while another was in flight
	EndedTwice                          // a message was ended a second time
	EndNotWritten                       // an end was about to be notified that is not in the journal
	ClosedUnanswered                    // a connection was closed with an unanswered request
	violations
)

var violationNames = [...]string{"sent after time", "sent after end", "two attempts", "ended twice",
	"end not written", "closed unanswered"}

// String returns the name of the violation, or "unknown".
func (v Violation) String() string {
	if v >= 0 && v < violations {
		return violationNames[v]
	}
	return "unknown"
}

// Monitor counts denied actions by reason, and violations. Its methods may be called concurrently. A nil
// Monitor counts nothing.
type Monitor struct {
	log        *slog.Logger
	denied     [reasons]atomic.Int64
	violations [violations]atomic.Int64
}

// NewMonitor returns a monitor that logs violations to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// CountDenied counts an action that was not permitted and logs it at level debug, with the id of what it
// concerns.
func (m *Monitor) CountDenied(r Reason, action, id string) {
	if m == nil || r < 0 || r >= reasons {
		return
	}
	m.denied[r].Add(1)
	m.log.Debug("refused", "action", action, "id", id, "reason", r.String())
}

// CountViolation counts a violation and logs it with the id of what it concerns.
func (m *Monitor) CountViolation(v Violation, id string, attrs ...any) {
	if m == nil || v < 0 || v >= violations {
		return
	}
	m.violations[v].Add(1)
	m.log.Error("violation", append([]any{"kind", v.String(), "id", id}, attrs...)...)
}

// Violations returns the total number of violations.
func (m *Monitor) Violations() (n int64) {
	if m == nil {
		return 0
	}
	for i := range m.violations {
		n += m.violations[i].Load()
	}
	return n
}

// Counts returns the counts that are not 0, by the name of the reason or violation.
func (m *Monitor) Counts() (denied, violated map[string]int64) {
	denied, violated = map[string]int64{}, map[string]int64{}
	if m == nil {
		return denied, violated
	}
	for i := range m.denied {
		if n := m.denied[i].Load(); n > 0 {
			denied[Reason(i).String()] = n
		}
	}
	for i := range m.violations {
		if n := m.violations[i].Load(); n > 0 {
			violated[Violation(i).String()] = n
		}
	}
	return denied, violated
}
