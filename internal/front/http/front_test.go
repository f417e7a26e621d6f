package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"cometrack/internal/clock"
	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
)

// fakeCore is a core whose responses a test sets.
type fakeCore struct {
	check     error
	response  core.SubmitResponse
	state     core.State
	submitted chan *message.Message
	wait      chan struct{} // closed when a state that is waited for is available
}

func (s *fakeCore) Check(m *message.Message, timeLeft time.Duration) error {
	if timeLeft < 0 {
		return &core.FieldError{Field: "deadline", Reason: "past"}
	}
	if !message.IsVisibleASCII(m.ID + m.Partner) {
		return &core.FieldError{Field: "id", Reason: "bad"}
	}
	return s.check
}

// Clock returns a clock that shows Unix time.
func (s *fakeCore) Clock() *clock.Clock { now := time.Now(); return clock.New(now.UnixMicro(), now) }

func (s *fakeCore) Submit(m *message.Message, result chan<- core.SubmitResponse) {
	if s.submitted != nil {
		s.submitted <- m
	}
	result <- s.response
}

func (s *fakeCore) State(ctx context.Context, id string, wait bool) (core.State, error) {
	if wait {
		select {
		case <-s.wait:
		case <-ctx.Done():
		}
	}
	st := s.state
	st.ID = id
	return st, nil
}

func newFront(t *testing.T, s *fakeCore, with ...func(*Options)) (*Front, string) {
	t.Helper()
	opts := Options{Listen: "127.0.0.1:0", MaxConnections: 64, MaxLongPolls: 4, MaxStreams: 4,
		MaxWait: time.Minute, Stream: NewStream(8),
		DefaultDeadline: func(string) (time.Duration, bool) { return time.Minute, true }, Log: slog.New(slog.DiscardHandler)}
	for _, f := range with {
		f(&opts)
	}
	f := New(s, opts)
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(func() {
		f.CloseListener()
		f.Shutdown(context.Background(), true)
	})
	return f, "http://" + f.Addr().String()
}

// apiRouter routes requests by the OpenAPI file that the server serves.
func apiRouter(t *testing.T, base string) routers.Router {
	t.Helper()
	resp, err := http.Get(base + "/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	doc.Servers = openapi3.Servers{{URL: base}}
	r, err := gorillamux.NewRouter(doc)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// do makes a request and checks the response against the OpenAPI description.
func do(t *testing.T, router routers.Router, method, url string, body io.Reader,
	headers ...string) (*http.Response, map[string]any) {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if router != nil {
		route, params, err := router.FindRoute(req)
		if err != nil {
			t.Fatalf("%s %s is not described: %v", method, url, err)
		}
		in := &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route,
			Options: &openapi3filter.Options{IncludeResponseStatus: true}}
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in,
			Status: resp.StatusCode, Header: resp.Header,
			Options: &openapi3filter.Options{IncludeResponseStatus: true}}
		if err := openapi3filter.ValidateResponse(t.Context(), out.SetBodyBytes(text)); err != nil {
			t.Errorf("%s %s: response %d is not as described: %v\n%s", method, url, resp.StatusCode, err, text)
		}
	}
	var fields map[string]any
	json.Unmarshal(text, &fields)
	return resp, fields
}

// Each response of the core reaches the client as the OpenAPI description has it.
func TestResponses(t *testing.T) {
	s := &fakeCore{}
	_, base := newFront(t, s)
	router := apiRouter(t, base)
	const good = "/v1/messages?partner=p&class=c&id=a"
	for _, x := range []struct {
		response core.SubmitResponse
		check    error
		status   int
		retry    string
	}{
		{core.SubmitResponse{}, nil, 202, ""}, {core.SubmitResponse{Duplicate: true}, nil, 202, ""},
		{core.SubmitResponse{Status: core.Busy, RetryAfter: 1500 * time.Millisecond}, nil, 429, "2"},
		{core.SubmitResponse{Status: core.Busy}, nil, 503, ""},
		{core.SubmitResponse{Status: core.Failed}, nil, 422, ""},
		{core.SubmitResponse{Status: core.UnknownPartner}, nil, 400, ""},
		{core.SubmitResponse{Status: core.Conflict}, nil, 409, ""},
		{core.SubmitResponse{Status: core.Stopped}, nil, 503, ""},
		{core.SubmitResponse{}, &core.FieldError{Field: "class", Reason: "unknown class"}, 400, ""},
		{core.SubmitResponse{}, errors.New("other"), 400, ""},
	} {
		s.response, s.check = x.response, x.check
		resp, fields := do(t, router, "POST", base+good, strings.NewReader("x"))
		if resp.StatusCode != x.status || resp.Header.Get("Retry-After") != x.retry {
			t.Errorf("%+v %v: status %d, Retry-After %q: %v", x.response, x.check, resp.StatusCode,
				resp.Header.Get("Retry-After"), fields)
		}
		if x.status == 202 && resp.Header.Get("Location") != "/v1/messages/a" {
			t.Errorf("Location %q", resp.Header.Get("Location"))
		}
		if x.status == 429 && fields["retry_after_ms"] != 1500.0 {
			t.Errorf("%v", fields)
		}
		if x.status != 202 && resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%d has content type %s", x.status, resp.Header.Get("Content-Type"))
		}
	}
	s.state = core.State{}
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 404 {
		t.Errorf("unknown: %d", resp.StatusCode)
	}
	for _, st := range []core.State{
		{Name: core.StateAccepted, Partner: "p", Class: "c", AcceptedAt: time.Now(), Deadline: time.Now()},
		{Name: core.StateSending, Attempts: 1, AcceptedAt: time.Now(), Deadline: time.Now()},
		{Name: message.Delivered, Attempts: 2, EndedAt: time.Now()},
		{Name: message.Returned, RetryAfter: time.Second, EndedAt: time.Now(), Tenant: "t"},
		{Name: message.Failed, EndedAt: time.Now()}} {
		s.state = st
		if resp, fields := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 200 ||
			fields["state"] != st.Name {
			t.Errorf("%+v: %d %v", st, resp.StatusCode, fields)
		}
	}
	for _, wait := range []string{"x", "-1s", "2m", "5"} {
		if resp, fields := do(t, router, "GET", base+"/v1/messages/a?wait="+wait, nil); resp.StatusCode != 400 ||
			fields["field"] != "wait" {
			t.Errorf("wait=%s: %d %v", wait, resp.StatusCode, fields)
		}
	}
	for path, status := range map[string]int{"/": 404, "/v1/messages/a/b": 404, "/v1/batch": 405, "/v1/messages": 405} {
		if resp, fields := do(t, nil, "GET", base+path, nil); resp.StatusCode != status ||
			fields["status"] != float64(status) {
			t.Errorf("GET %s: %d %v", path, resp.StatusCode, fields)
		}
	}
}

// The fields of a message reach the core as the client gave them.
func TestFields(t *testing.T) {
	s := &fakeCore{submitted: make(chan *message.Message, 1)}
	_, base := newFront(t, s)
	body := string([]byte{0, 1, 0xff, '\r', '\n'})
	do(t, nil, "POST", base+"/v1/messages?partner=p%2Fq&class=c&key=k&order=o&tenant=t&left=90s",
		strings.NewReader(body), "Idempotency-Key", "idem")
	m := <-s.submitted
	left := time.Until(time.UnixMicro(m.Deadline))
	if m.ID != "idem" || m.Partner != "p/q" || m.Class != "c" || m.Key != "k" || m.Order != "o" ||
		m.Tenant != "t" || string(m.Body) != body ||
		left > 90*time.Second || left < 60*time.Second {
		t.Errorf("%+v, left %v", m, left)
	}
	by := time.Now().Add(40 * time.Second).UTC().Format(time.RFC3339Nano)
	do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&deadline="+by, nil)
	if m := <-s.submitted; time.Until(time.UnixMicro(m.Deadline)) > 40*time.Second || len(m.ID) != 32 {
		t.Errorf("%+v", m)
	}
	for query, field := range map[string]string{"left=1s&deadline=" + by: "deadline", "left=soon": "left",
		"left=-1s":          "deadline",
		"deadline=tomorrow": "deadline", "deadline=2020-01-01T00:00:00Z": "deadline", "colour=red": "colour",
		"id=a&id=b": "id"} {
		if resp, fields := do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&"+query, nil); resp.StatusCode != 400 ||
			fields["field"] != field {
			t.Errorf("%s: %d %v", query, resp.StatusCode, fields)
		}
	}
	if resp, _ := do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&id=a", nil,
		"Idempotency-Key", "b"); resp.StatusCode != 400 {
		t.Errorf("two ids: %d", resp.StatusCode)
	}
	if len(s.submitted) != 0 {
		t.Error("an invalid message reached the core")
	}
}

// Requests without a token, with an unknown one, and with one of another tenant, to submit and to read, are rejected.
func TestTokens(t *testing.T) {
	s := &fakeCore{state: core.State{Name: message.Delivered, Tenant: "acme"}, submitted: make(chan *message.Message, 1)}
	f, base := newFront(t, s, func(o *Options) {
		o.Tenant = func(token string) (string, bool) { return token[1:], token[0] == '!' }
	})
	router := apiRouter(t, base)
	for _, x := range []struct {
		method, path, token string
		status              int
	}{
		{"POST", "/v1/messages?partner=p&class=c", "", 401}, {"GET", "/v1/messages/a", "", 401},
		{"POST", "/v1/batch", "", 401}, {"GET", "/v1/ends", "", 401},
		{"GET", "/v1/messages/a", "Bearer ?acme", 401}, {"GET", "/v1/messages/a", "Basic !acme", 401},
		{"GET", "/v1/messages/a", "Bearer ", 401},
		{"GET", "/v1/messages/a", "Bearer !acme", 200}, {"GET", "/v1/messages/a", "Bearer !other", 404},
		{"GET", "/v1/messages/a?wait=1m", "Bearer !other", 404},
		{"POST", "/v1/messages?partner=p&class=c&tenant=acme", "Bearer !other", 403},
	} {
		if resp, fields := do(t, router, x.method, base+x.path, nil, "Authorization", x.token); resp.StatusCode != x.status {
			t.Errorf("%s %s with %q: %d %v", x.method, x.path, x.token, resp.StatusCode, fields)
		}
	}
	do(t, router, "POST", base+"/v1/messages?partner=p&class=c", nil, "Authorization", "Bearer !acme")
	if m := <-s.submitted; m.Tenant != "acme" {
		t.Errorf("accepted for tenant %q", m.Tenant)
	}
	f.opts.Stream.Add(&message.Message{Tenant: "other", Partner: "p"}, message.End{ID: "theirs", State: message.Failed})
	f.opts.Stream.Add(&message.Message{Tenant: "acme", Partner: "p"}, message.End{ID: "ours", State: message.Failed})
	ev := followStream(t, base, "0-0", "Authorization", "Bearer !acme")
	if got := ev.next(); got.event != "gap" {
		t.Errorf("%+v", got)
	}
	if got := ev.next(); !strings.Contains(got.data, `"ours"`) {
		t.Errorf("%+v", got)
	}
}

// Each line of a batch is accepted or rejected on its own, in order. Guards against submitting an incomplete line.
func TestBatch(t *testing.T) {
	s := &fakeCore{}
	_, base := newFront(t, s)
	lines := []string{`{"id":"a","partner":"p","class":"c","body":"x"}`, ``, `{"id":"b"`, `{"id":"c","colour":1}`,
		`{"id":"d","partner":"p","class":"c","body_base64":"AAE="}`, `{"id":"e","body":"x","body_base64":"AAE="}`,
		`{"id":"f","body_base64":"?"}`,
		`{"id":"g"} {"id":"h"}`, `{"id":"i","left":"never"}`, `{"id":"\ud800","partner":"p"}`,
		`{"id":"last","partner":"p","class":"c"}`}
	resp, err := http.Post(base+"/v1/batch", "application/x-ndjson", strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	want := map[int]int{1: 202, 2: 400, 3: 400, 4: 202, 5: 400, 6: 400, 7: 400, 8: 400, 9: 400, 10: 202}
	n := 0
	for dec := json.NewDecoder(resp.Body); dec.More(); n++ {
		var r batchResult
		if err := dec.Decode(&r); err != nil {
			t.Fatal(err)
		}
		if r.Line != n+1 || r.Status != want[r.Line] || (r.Problem == nil) != (r.Status == 202) {
			t.Errorf("result %d: %+v %+v", n+1, r, r.Problem)
		}
	}
	if n != len(want) {
		t.Errorf("%d results", n)
	}
	s.submitted = make(chan *message.Message, 8)
	half := dialRaw(t, base, "POST /v1/batch HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"+
		lines[0]+"\n"+`{"id":"half","partner":"p","class":"c"}`)
	half.CloseWrite()
	if text, _ := io.ReadAll(half); !bytes.Contains(text, []byte("did not come whole")) {
		t.Errorf("response to half a batch: %q", text)
	}
	if m := <-s.submitted; m.ID != "a" || len(s.submitted) != 0 {
		t.Errorf("accepted: %s and %d more", m.ID, len(s.submitted))
	}
	long := strings.NewReader(`{"id":"a","body":"` + strings.Repeat("x", maxLineBytes) + `"}`)
	resp, err = http.Post(base+"/v1/batch", "application/x-ndjson", long)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); !bytes.Contains(text, []byte("too long")) {
		t.Errorf("response to a long line: %q", text)
	}
}

// dialRaw connects and sends text.
func dialRaw(t *testing.T, base, text string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(byhand.Timeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// event is one server-sent event.
type event struct{ id, event, data string }

// eventStream is a client that follows the stream of ends.
type eventStream struct {
	t *testing.T
	r *bufio.Reader
}

func followStream(t *testing.T, base, last string, headers ...string) *eventStream {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, "GET", base+"/v1/ends", nil)
	if err != nil {
		t.Fatal(err)
	}
	if last != "" {
		req.Header.Set("Last-Event-ID", last)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	if resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	return &eventStream{t, bufio.NewReader(resp.Body)}
}

func (s *eventStream) next() (e event) {
	s.t.Helper()
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			s.t.Fatal(err)
		}
		switch name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name {
		case "id":
			e.id = value
		case "event":
			e.event = value
		case "data":
			e.data = value
		case "":
			if e.event != "" {
				return e
			}
		}
	}
}

// The stream continues after the last event that the client has seen. Events that the window has dropped, or that
// another process sent, are reported as a gap.
func TestStream(t *testing.T) {
	f, base := newFront(t, &fakeCore{}, func(o *Options) { o.MaxStreams = 16 })
	add := func(from, to int) {
		for i := from; i < to; i++ {
			f.opts.Stream.Add(&message.Message{Partner: "p", Class: "c"},
				message.End{ID: fmt.Sprint("m", i), State: message.Delivered, Attempts: 1})
		}
	}
	add(0, 3)
	fresh := followStream(t, base, "")
	add(3, 6)
	var last event
	for i := 3; i < 6; i++ {
		if last = fresh.next(); !strings.Contains(last.data, fmt.Sprintf(`"m%d"`, i)) || last.event != "end" {
			t.Errorf("event %+v, want m%d", last, i)
		}
	}
	add(6, 8)
	again := followStream(t, base, last.id)
	for i := 6; i < 8; i++ {
		if e := again.next(); !strings.Contains(e.data, fmt.Sprintf(`"m%d"`, i)) {
			t.Errorf("after %s: %+v, want m%d", last.id, e, i)
		}
	}
	add(8, 20) // the window holds 8
	for _, id := range []string{last.id, "ffffffff-3", "nonsense", f.opts.Stream.epoch + "-18446744073709551615"} {
		s := followStream(t, base, id)
		if e := s.next(); e.event != "gap" {
			t.Errorf("after %s: %+v, want a gap", id, e)
		}
		if e := s.next(); !strings.Contains(e.data, `"m12"`) {
			t.Errorf("after %s: %+v, want m12", id, e)
		}
	}
}

// Streams, long polls and large bodies beyond their limits are rejected, and those before continue.
func TestLimits(t *testing.T) {
	s := &fakeCore{state: core.State{Name: core.StateSending}, wait: make(chan struct{})}
	f, base := newFront(t, s)
	router := apiRouter(t, base)
	for range cap(f.streams) {
		followStream(t, base, "")
	}
	if resp, _ := do(t, router, "GET", base+"/v1/ends", nil); resp.StatusCode != 503 ||
		resp.Header.Get("Retry-After") == "" {
		t.Errorf("one stream too many: %d", resp.StatusCode)
	}
	polls := make(chan int, cap(f.longPolls))
	for range cap(f.longPolls) {
		go func() {
			resp, err := http.Get(base + "/v1/messages/a?wait=1m")
			if err != nil {
				polls <- 0
				return
			}
			resp.Body.Close()
			polls <- resp.StatusCode
		}()
	}
	byhand.WaitUntil(t, "long polls", func() bool { return len(f.longPolls) == cap(f.longPolls) })
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a?wait=1m", nil); resp.StatusCode != 503 {
		t.Errorf("one long poll too many: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 200 {
		t.Errorf("a plain query meanwhile: %d", resp.StatusCode)
	}
	close(s.wait)
	for range cap(f.longPolls) {
		if got := <-polls; got != 200 {
			t.Errorf("long poll: %d", got)
		}
	}
	for range cap(f.largeSlots) {
		f.largeSlots <- struct{}{}
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c",
		strings.NewReader(strings.Repeat("x", smallBodyBytes+1))); resp.StatusCode != 503 {
		t.Errorf("one large body too many: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c",
		strings.NewReader("x")); resp.StatusCode != 202 {
		t.Errorf("a small body meanwhile: %d", resp.StatusCode)
	}
	for range cap(f.largeSlots) {
		<-f.largeSlots
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c",
		strings.NewReader(strings.Repeat("x", message.MaxBody))); resp.StatusCode != 202 {
		t.Errorf("a body of the maximum size: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c",
		strings.NewReader(strings.Repeat("x", message.MaxBody+1))); resp.StatusCode != 413 {
		t.Errorf("one byte more: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c",
		io.MultiReader(strings.NewReader(strings.Repeat("x", message.MaxBody+1)))); resp.StatusCode != 413 {
		t.Errorf("one byte more, in chunks: %d", resp.StatusCode)
	}
}

// Guards against idle connections that keep new clients out: silent ones are closed to make room, busy ones are not.
func TestConnections(t *testing.T) {
	s := &fakeCore{state: core.State{Name: core.StateSending}, wait: make(chan struct{})}
	f, base := newFront(t, s, func(o *Options) { o.MaxConnections = 3 })
	polled := make(chan error, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Get(base + "/v1/messages/a?wait=1m")
		if err == nil {
			resp.Body.Close()
		}
		polled <- err
	}()
	byhand.WaitUntil(t, "long poll", func() bool { return len(f.longPolls) > 0 })
	var silent []*net.TCPConn
	for range 10 {
		silent = append(silent, dialRaw(t, base, ""))
	}
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the idlest connection is still open")
	}
	c := &http.Client{Transport: &http.Transport{}}
	resp, err := c.Get(base + "/openapi.json")
	if err != nil {
		t.Fatalf("a new client: %v", err)
	}
	resp.Body.Close()
	close(s.wait)
	if err := <-polled; err != nil {
		t.Errorf("the busy connection: %v", err)
	}
}

// A client that does not read its stream is disconnected after a while. Guards against delaying other clients until
// then.
func TestSlowReader(t *testing.T) {
	f, base := newFront(t, &fakeCore{}, func(o *Options) { o.Stream = NewStream(200_000) })
	slow := dialRaw(t, base, "GET /v1/ends HTTP/1.1\r\nHost: x\r\n\r\n")
	slow.SetReadBuffer(4096)
	fast := followStream(t, base, "")
	partner := strings.Repeat("p", 128)
	const events = 100_000 // far more than the buffers in between can hold
	go func() {
		for i := range events {
			f.opts.Stream.Add(&message.Message{Partner: partner}, message.End{ID: fmt.Sprint(i), State: message.Delivered})
		}
	}()
	for e := fast.next(); !strings.Contains(e.data, fmt.Sprintf(`"id":"%d"`, events-1)); e = fast.next() {
	}
	byhand.WaitUntil(t, "end of the slow reader", func() bool { return len(f.streams) == 1 })
}

// While keep-alives are disabled a connection is closed after its response; afterwards it is kept again.
func TestDisableKeepAlives(t *testing.T) {
	f, base := newFront(t, &fakeCore{})
	for _, disable := range []bool{false, true, false} {
		f.DisableKeepAlives(disable)
		resp, _ := do(t, nil, "GET", base+"/openapi.json", nil)
		if resp.Close != disable {
			t.Errorf("keep-alives disabled %v: the connection is closed: %v", disable, resp.Close)
		}
	}
}
