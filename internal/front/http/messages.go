package httpfront

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
)

// stateJSON is the state of a message in responses.
type stateJSON struct {
	ID           string     `json:"id"`
	State        string     `json:"state"`
	Partner      string     `json:"partner"`
	Class        string     `json:"class"`
	Tenant       string     `json:"tenant,omitempty"`
	Tries        int        `json:"tries"`
	Accepted     *time.Time `json:"accepted,omitempty"`
	Deadline     *time.Time `json:"deadline,omitempty"`
	Over         *time.Time `json:"over,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
}

// newStateJSON converts a state. Times without a value are left out.
func newStateJSON(s core.State) stateJSON {
	at := func(t time.Time) *time.Time {
		if t.IsZero() {
			return nil
		}
		t = t.UTC()
		return &t
	}
	return stateJSON{ID: s.ID, State: s.Name, Partner: s.Partner, Class: s.Class, Tenant: s.Tenant, Tries: s.Attempts,
		Accepted: at(s.AcceptedAt), Deadline: at(s.Deadline), Over: at(s.EndedAt), RetryAfterMS: s.RetryAfter.Milliseconds()}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// request is a message to be submitted, with the time by which its client wants it delivered. At most one of timeLeft
// and deadline may be set; if both are empty, the default deadline of the message's class applies.
type request struct {
	msg      message.Message
	timeLeft string // a duration such as 1500ms, from now
	deadline string // a date and time in the format of RFC 3339
}

// newID returns a random id for a message whose client gives none.
func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// prepare fills in the message's id, tenant and deadline, and checks the message.
func (f *Front) prepare(q *request, c caller, now time.Time) *problem {
	m := &q.msg
	if m.ID == "" {
		m.ID = newID()
	}
	if c.bound && m.Tenant == "" {
		m.Tenant = c.tenant
	}
	if !c.mayRead(m.Tenant) {
		return &problem{Status: http.StatusForbidden, Field: "tenant", Detail: "the token is another tenant's"}
	}
	var timeLeft time.Duration
	switch {
	case q.timeLeft != "" && q.deadline != "":
		return fieldProblem("deadline", "left and deadline exclude each other")
	case q.timeLeft != "":
		d, err := time.ParseDuration(q.timeLeft)
		if err != nil {
			return fieldProblem("left", "no span of time such as 1500ms or 30s")
		}
		timeLeft = d
	case q.deadline != "":
		t, err := time.Parse(time.RFC3339, q.deadline)
		if err != nil {
			return fieldProblem("deadline", "no time of RFC 3339 such as 2026-01-02T15:04:05Z")
		}
		timeLeft = t.Sub(now)
	default:
		timeLeft, _ = f.opts.DefaultDeadline(m.Class) // Check rejects an unknown class
	}
	m.Deadline = f.core.Clock().At(now) + timeLeft.Microseconds()
	if err := f.core.Check(m, timeLeft); err != nil {
		return checkProblem(err)
	}
	return nil
}

// postMessage submits one message.
func (f *Front) postMessage(w http.ResponseWriter, r *http.Request, c caller) {
	q, rejection := parseQuery(r)
	if rejection != nil {
		rejection.write(w)
		return
	}
	rc := http.NewResponseController(w)
	now := time.Now()
	rc.SetReadDeadline(now.Add(bodyTimeout))
	rc.SetWriteDeadline(now.Add(bodyTimeout + writeTimeout))
	if r.ContentLength > message.MaxBody {
		writeTooLarge(w)
		return
	}
	large := r.ContentLength < 0 || r.ContentLength > smallBodyBytes
	if large {
		if !f.acquireLargeSlot(r.Context()) {
			problem{Status: http.StatusServiceUnavailable, Detail: "too many large bodies are under way"}.write(w)
			return
		}
		defer func() { <-f.largeSlots }()
	}
	body, err := f.readBody(w, r, large)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeTooLarge(w)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		problem{Status: http.StatusRequestTimeout, Field: "body", Detail: "the body did not come whole in time"}.write(w)
		return
	case err != nil: // connection broken or invalid chunks: nothing was submitted
		w.Header().Set("Connection", "close")
		fieldProblem("body", "the body did not come whole").write(w)
		return
	}
	q.msg.Body = body
	if rejection := f.prepare(q, c, time.Now()); rejection != nil {
		rejection.write(w)
		return
	}
	result := make(chan core.SubmitResponse, 1)
	f.core.Submit(&q.msg, result)
	if rejection := submitProblem(q.msg.ID, <-result); rejection != nil {
		rejection.write(w)
		return
	}
	// To return the current state would take another query of the core; the client only needs to know that the message
	// is accepted.
	w.Header().Set("Location", "/v1/messages/"+url.PathEscape(q.msg.ID))
	writeJSON(w, http.StatusAccepted, map[string]string{"id": q.msg.ID, "state": core.StateAccepted})
}

// readBody reads the body of a message. While it waits for the body of an HTTP/1 request, the connection may be closed to
// make room.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, large bool) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, message.MaxBody)
	conn := connectionOf(r)
	if conn == nil || r.ProtoMajor != 1 || r.ContentLength == 0 {
		return io.ReadAll(body)
	}
	f.connections.setReceivingBody(conn, large)
	read, err := io.ReadAll(body)
	if open := f.connections.setBodyReceived(conn); err == nil && !open {
		err = errCutShort
	}
	return read, err
}

// writeTooLarge rejects a body that is too large.
func writeTooLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // the rest is not read
	problem{Status: http.StatusRequestEntityTooLarge, Field: "body", Detail: "a body holds 65536 bytes at most"}.write(w)
}

// acquireLargeSlot waits for a slot for a large body, at most largeSlotTimeout or crowdedSlotTimeout, and reports whether
// it got one. If there is none, a body that has one and comes slowly gives it up.
func (f *Front) acquireLargeSlot(ctx context.Context) bool {
	select {
	case f.largeSlots <- struct{}{}:
		return true
	default:
		f.connections.closeSlowLarge()
	}
	wait := largeSlotTimeout
	if f.connections.isCrowded() {
		wait = crowdedSlotTimeout
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case f.largeSlots <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// parseQuery reads the fields of a message from the query, and its id from the query or Idempotency-Key.
func parseQuery(r *http.Request) (*request, *problem) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, &problem{Status: http.StatusBadRequest, Detail: "the query can't be read: " + err.Error()}
	}
	q := &request{}
	fields := map[string]*string{"id": &q.msg.ID, "key": &q.msg.Key, "order": &q.msg.Order, "class": &q.msg.Class,
		"tenant": &q.msg.Tenant, "partner": &q.msg.Partner, "left": &q.timeLeft, "deadline": &q.deadline}
	for name, list := range values {
		to, ok := fields[name]
		if !ok {
			return nil, fieldProblem(name, "unknown field")
		}
		if len(list) > 1 {
			return nil, fieldProblem(name, "stands twice")
		}
		*to = list[0]
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if q.msg.ID != "" && q.msg.ID != key {
			return nil, fieldProblem("id", "differs from Idempotency-Key")
		}
		q.msg.ID = key
	}
	return q, nil
}

// getMessage returns the state of a message. With the parameter wait it first waits for the message's end.
func (f *Front) getMessage(w http.ResponseWriter, r *http.Request, c caller) {
	id := r.PathValue("id")
	var wait time.Duration
	if s := r.URL.Query().Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > f.opts.MaxWait {
			fieldProblem("wait", "no span of time from 0 to "+f.opts.MaxWait.String()).write(w)
			return
		}
		wait = d
	}
	if len(id) > message.MaxName {
		fieldProblem("id", "too long").write(w)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(wait + writeTimeout))
	s, err := f.core.State(r.Context(), id, false)
	if err == nil && wait > 0 && !s.IsFinal() && c.mayRead(s.Tenant) {
		select {
		case f.longPolls <- struct{}{}:
		default:
			problem{Status: http.StatusServiceUnavailable, ID: id,
				Detail: "too many clients wait for ends", RetryAfterMS: 1000}.write(w)
			return
		}
		s, err = f.waitForEnd(r.Context(), id, wait)
		<-f.longPolls
	}
	switch {
	case err != nil:
		problem{Status: http.StatusServiceUnavailable, ID: id, Detail: err.Error()}.write(w)
	case s.Name == "" || !c.mayRead(s.Tenant): // another tenant's message looks like an unknown one
		problem{Status: http.StatusNotFound, ID: id, Detail: "nothing is known of this message"}.write(w)
	default:
		writeJSON(w, http.StatusOK, newStateJSON(s))
	}
}

// waitForEnd waits at most d for a message's end, or until the front closes, and returns the state.
func (f *Front) waitForEnd(ctx context.Context, id string, d time.Duration) (core.State, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.closing:
			cancel()
		case <-stop:
		}
	}()
	return f.core.State(ctx, id, true)
}
