package core

import (
	"fmt"
	"time"

	"cometrack/internal/message"
	"cometrack/logic"
)

// MaxRequestedTime is the longest deadline that a client, and the longest wait that an endpoint, may request.
const MaxRequestedTime = 24 * time.Hour

// maxDeadlineFactor is the longest deadline that may be requested for a message, as a multiple of its class's deadline.
const maxDeadlineFactor = 10

// FieldError is the error of an invalid field of a submitted message.
type FieldError struct {
	Field  string // id, key, order, class, tenant, partner, deadline or body
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Deadline returns the time within which messages of a class must be delivered if the client sets no deadline. It
// returns false if there is no such class.
func (c *Core) Deadline(class string) (time.Duration, bool) {
	x := c.configuredTerms.Load().class(class)
	if x == nil {
		return 0, false
	}
	return toDuration(x.Deadline), true
}

// Check validates a message that may be delivered for validFor from now on. It returns a *FieldError for the first
// invalid field. Whether the partner is known is checked by [Core.Submit].
func (c *Core) Check(m *message.Message, validFor time.Duration) error {
	fieldError := func(field, format string, args ...any) error {
		return &FieldError{field, fmt.Sprintf(format, args...)}
	}
	for _, f := range [...]struct {
		field, text string
		required    bool
	}{{"id", m.ID, true}, {"key", m.Key, false}, {"order", m.Order, false}, {"partner", m.Partner, true}} {
		switch {
		case f.text == "" && f.required:
			return fieldError(f.field, "must be given")
		case len(f.text) > message.MaxName:
			return fieldError(f.field, "over %d bytes", message.MaxName)
		case !message.IsVisibleASCII(f.text):
			return fieldError(f.field, "holds what is not visible ASCII")
		}
	}
	current := c.configuredTerms.Load()
	class := current.class(m.Class)
	if class == nil {
		return fieldError("class", "unknown class")
	}
	if class.Effect == logic.Keyed && m.Key == "" {
		return fieldError("key", "must be given in a keyed class")
	}
	if limit := min(maxDeadlineFactor*toDuration(class.Deadline), MaxRequestedTime); validFor < 0 || validFor > limit {
		return fieldError("deadline", "not within 0 and %v from now", limit)
	}
	if _, ok := current.tenants[m.Tenant]; !ok && m.Tenant != "" {
		return fieldError("tenant", "unknown tenant")
	}
	if len(m.Body) > message.MaxBody {
		return fieldError("body", "over %d bytes", message.MaxBody)
	}
	return nil
}
