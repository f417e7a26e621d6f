package core

import (
	"fmt"
	"time"

	"cometrack/internal/message"
	"cometrack/logic"
)

// MaxRequestedTime is the longest time that anybody may name.
const MaxRequestedTime = 24 * time.Hour

// holdTimes is the longest time that a message may ask for, in times of its
// class's deadline.
const holdTimes = 10

// FieldError says what is wrong with a field of a message that is handed in.
type FieldError struct {
	Field  string // id, key, order, class, tenant, partner, deadline or body
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Deadline is how long messages of a class may be delivered where nobody says
// otherwise.
func (c *Core) Deadline(class string) (time.Duration, bool) {
	x := c.stated.Load().class(class)
	if x == nil {
		return 0, false
	}
	return span(x.Deadline), true
}

// Check says what is wrong with a message that may be delivered for hold from now
// on: the first field at fault, as a *FieldError. Whether its partner is known is
// for [Core.Submit] to say.
func (c *Core) Check(m *message.Message, hold time.Duration) error {
	bad := func(field, format string, args ...any) error {
		return &FieldError{field, fmt.Sprintf(format, args...)}
	}
	for _, f := range [...]struct {
		field, text string
		must        bool
	}{{"id", m.ID, true}, {"key", m.Key, false}, {"order", m.Order, false}, {"partner", m.Partner, true}} {
		switch {
		case f.text == "" && f.must:
			return bad(f.field, "must be given")
		case len(f.text) > message.MaxName:
			return bad(f.field, "over %d bytes", message.MaxName)
		case !message.IsVisibleASCII(f.text):
			return bad(f.field, "holds what is not visible ASCII")
		}
	}
	stated := c.stated.Load()
	class := stated.class(m.Class)
	if class == nil {
		return bad("class", "unknown class")
	}
	if class.Effect == logic.Keyed && m.Key == "" {
		return bad("key", "must be given in a keyed class")
	}
	if most := min(holdTimes*span(class.Deadline), MaxRequestedTime); hold < 0 || hold > most {
		return bad("deadline", "not within 0 and %v from now", most)
	}
	if _, ok := stated.tenants[m.Tenant]; !ok && m.Tenant != "" {
		return bad("tenant", "unknown tenant")
	}
	if len(m.Body) > message.MaxBody {
		return bad("body", "over %d bytes", message.MaxBody)
	}
	return nil
}
