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

// stateJSON is the state of a message as clients see it.
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

func stateOf(s core.State) stateJSON {
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// request is a message with the time that its client names.
type request struct {
	msg  message.Message
	left string // as a span
	by   string // as a time
}

// newID makes an id for a client that names none.
func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// finish checks a request and sets the deadline.
func (f *Front) finish(q *request, by who, now time.Time) *problem {
	m := &q.msg
	if m.ID == "" {
		m.ID = newID()
	}
	if by.bound && m.Tenant == "" {
		m.Tenant = by.tenant
	}
	if !by.sees(m.Tenant) {
		return &problem{Status: http.StatusForbidden, Field: "tenant", Detail: "the token is another tenant's"}
	}
	var hold time.Duration
	switch {
	case q.left != "" && q.by != "":
		return badField("deadline", "left and deadline exclude each other")
	case q.left != "":
		d, err := time.ParseDuration(q.left)
		if err != nil {
			return badField("left", "no span of time such as 1500ms or 30s")
		}
		hold = d
	case q.by != "":
		t, err := time.Parse(time.RFC3339, q.by)
		if err != nil {
			return badField("deadline", "no time of RFC 3339 such as 2026-01-02T15:04:05Z")
		}
		hold = t.Sub(now)
	default:
		hold, _ = f.opts.DefaultDeadline(m.Class) // an unknown class is found below
	}
	m.Deadline = f.core.Clock().At(now) + hold.Microseconds()
	if err := f.core.Check(m, hold); err != nil {
		return problemOf(err)
	}
	return nil
}

// post takes one message.
func (f *Front) post(w http.ResponseWriter, r *http.Request, by who) {
	q, bad := readQuery(r)
	if bad != nil {
		bad.write(w)
		return
	}
	rc := http.NewResponseController(w)
	now := time.Now()
	rc.SetReadDeadline(now.Add(bodyTime))
	rc.SetWriteDeadline(now.Add(bodyTime + answerTime))
	if r.ContentLength > message.MaxBody {
		tooLarge(w)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		if !f.takeLarge(r.Context()) {
			problem{Status: http.StatusServiceUnavailable, Detail: "too many large bodies are under way"}.write(w)
			return
		}
		defer func() { <-f.large }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, message.MaxBody))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		tooLarge(w)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		problem{Status: http.StatusRequestTimeout, Field: "body", Detail: "the body did not come whole in time"}.write(w)
		return
	case err != nil: // cut off, or its chunks can't be read: nothing has been taken on
		w.Header().Set("Connection", "close")
		badField("body", "the body did not come whole").write(w)
		return
	}
	q.msg.Body = body
	if bad := f.finish(q, by, time.Now()); bad != nil {
		bad.write(w)
		return
	}
	answer := make(chan core.SubmitResponse, 1)
	f.core.Submit(&q.msg, answer)
	if bad := refusal(q.msg.ID, <-answer); bad != nil {
		bad.write(w)
		return
	}
	// The state asked for at once would cost the core another question; that it is
	// accepted is what the client needs to know.
	w.Header().Set("Location", "/v1/messages/"+url.PathEscape(q.msg.ID))
	writeJSON(w, http.StatusAccepted, map[string]string{"id": q.msg.ID, "state": core.StateAccepted})
}

func tooLarge(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // the rest is not read
	problem{Status: http.StatusRequestEntityTooLarge, Field: "body", Detail: "a body holds 65536 bytes at most"}.write(w)
}

// takeLarge takes a place for a large body.
func (f *Front) takeLarge(ctx context.Context) bool {
	t := time.NewTimer(placeTime)
	defer t.Stop()
	select {
	case f.large <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// readQuery reads a message's fields from the query, and its id also from
// Idempotency-Key.
func readQuery(r *http.Request) (*request, *problem) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, &problem{Status: http.StatusBadRequest, Detail: "the query can't be read: " + err.Error()}
	}
	q := &request{}
	fields := map[string]*string{"id": &q.msg.ID, "key": &q.msg.Key, "order": &q.msg.Order, "class": &q.msg.Class,
		"tenant": &q.msg.Tenant, "partner": &q.msg.Partner, "left": &q.left, "deadline": &q.by}
	for name, list := range values {
		to, ok := fields[name]
		if !ok {
			return nil, badField(name, "unknown field")
		}
		if len(list) > 1 {
			return nil, badField(name, "stands twice")
		}
		*to = list[0]
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if q.msg.ID != "" && q.msg.ID != key {
			return nil, badField("id", "differs from Idempotency-Key")
		}
		q.msg.ID = key
	}
	return q, nil
}

// get tells the state of a message.
func (f *Front) get(w http.ResponseWriter, r *http.Request, by who) {
	id := r.PathValue("id")
	var wait time.Duration
	if s := r.URL.Query().Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > f.opts.MaxWait {
			badField("wait", "no span of time from 0 to "+f.opts.MaxWait.String()).write(w)
			return
		}
		wait = d
	}
	if len(id) > message.MaxName {
		badField("id", "too long").write(w)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(wait + answerTime))
	s, err := f.core.State(r.Context(), id, false)
	if err == nil && wait > 0 && !s.IsFinal() && by.sees(s.Tenant) {
		select {
		case f.polls <- struct{}{}:
		default:
			problem{Status: http.StatusServiceUnavailable, ID: id, Detail: "too many clients wait for ends", RetryAfterMS: 1000}.write(w)
			return
		}
		s, err = f.wait(r.Context(), id, wait)
		<-f.polls
	}
	switch {
	case err != nil:
		problem{Status: http.StatusServiceUnavailable, ID: id, Detail: err.Error()}.write(w)
	case s.Name == "" || !by.sees(s.Tenant): // another's message is told from none by nobody
		problem{Status: http.StatusNotFound, ID: id, Detail: "nothing is known of this message"}.write(w)
	default:
		writeJSON(w, http.StatusOK, stateOf(s))
	}
}

// wait waits for a message's end, until the front closes at the latest.
func (f *Front) wait(ctx context.Context, id string, d time.Duration) (core.State, error) {
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
