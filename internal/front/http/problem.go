package httpfront

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cometrack/internal/core"
)

// problem is an error response in the form of RFC 9457. Its type is about:blank, so the title is that of the status
// (section 4.2.1).
type problem struct {
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Field        string `json:"field,omitempty"`          // the field with the error
	ID           string `json:"id,omitempty"`             // of the message
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // milliseconds until a retry
}

// write writes the problem as a response.
func (p problem) write(w http.ResponseWriter) {
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.RetryAfterMS > 0 { // whole seconds, rounded up (RFC 9110, section 10.2.3)
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// fieldProblem returns the problem for a field with an error.
func fieldProblem(field, detail string) *problem {
	return &problem{Status: http.StatusBadRequest, Field: field, Detail: detail}
}

// checkProblem converts an error of [core.Core.Check].
func checkProblem(err error) *problem {
	var f *core.FieldError
	if errors.As(err, &f) {
		return fieldProblem(f.Field, f.Reason)
	}
	return &problem{Status: http.StatusBadRequest, Detail: err.Error()}
}

// submitProblem returns the problem for a response of the core; nil if the message is accepted.
func submitProblem(id string, response core.SubmitResponse) *problem {
	switch response.Status {
	case core.Accepted:
		return nil
	case core.Busy:
		if response.RetryAfter > 0 {
			return &problem{Status: http.StatusTooManyRequests, ID: id, Detail: "turned away; nothing has been sent",
				RetryAfterMS: (response.RetryAfter + time.Millisecond - 1).Milliseconds()}
		}
		return &problem{Status: http.StatusServiceUnavailable, ID: id,
			Detail: "no room for the message; nothing has been sent"}
	case core.UnknownPartner:
		return &problem{Status: http.StatusBadRequest, ID: id, Field: "partner", Detail: "unknown partner"}
	case core.Conflict:
		return &problem{Status: http.StatusConflict, ID: id, Field: "id", Detail: "the id belongs to another message"}
	case core.Stopped:
		return &problem{Status: http.StatusServiceUnavailable, ID: id,
			Detail: "the sender is stopping; the message is not taken on"}
	}
	return &problem{Status: http.StatusUnprocessableEntity, ID: id, Detail: "the message has failed"}
}
