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

// scripted is a core whose answers a test sets.
type scripted struct {
	check  error
	answer core.SubmitResponse
	state  core.State
	got    chan *message.Message
	wait   chan struct{} // closed when a state that is waited for is there
}

func (s *scripted) Check(m *message.Message, hold time.Duration) error {
	if hold < 0 {
		return &core.FieldError{Field: "deadline", Reason: "past"}
	}
	if !message.IsVisibleASCII(m.ID + m.Partner) {
		return &core.FieldError{Field: "id", Reason: "bad"}
	}
	return s.check
}

// Clock shows about Unix time.
func (s *scripted) Clock() *clock.Clock { now := time.Now(); return clock.New(now.UnixMicro(), now) }

func (s *scripted) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	if s.got != nil {
		s.got <- m
	}
	answer <- s.answer
}

func (s *scripted) State(ctx context.Context, id string, wait bool) (core.State, error) {
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

func newFront(t *testing.T, s *scripted, with ...func(*Options)) (*Front, string) {
	t.Helper()
	opts := Options{Listen: "127.0.0.1:0", Connections: 64, LongPolls: 4, Streams: 4, MaxWait: time.Minute, Stream: NewStream(8),
		Defaults: func(string) (time.Duration, bool) { return time.Minute, true }, Log: slog.New(slog.DiscardHandler)}
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

// spec routes requests by the file that the server serves.
func spec(t *testing.T, base string) routers.Router {
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

// do makes a request and checks the answer against the API's description.
func do(t *testing.T, router routers.Router, method, url string, body io.Reader, headers ...string) (*http.Response, map[string]any) {
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
		out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: resp.StatusCode, Header: resp.Header,
			Options: &openapi3filter.Options{IncludeResponseStatus: true}}
		if err := openapi3filter.ValidateResponse(t.Context(), out.SetBodyBytes(text)); err != nil {
			t.Errorf("%s %s: answer %d is not as described: %v\n%s", method, url, resp.StatusCode, err, text)
		}
	}
	var fields map[string]any
	json.Unmarshal(text, &fields)
	return resp, fields
}

// Each answer of the core reaches the client as the API's description has it.
func TestAnswers(t *testing.T) {
	s := &scripted{}
	_, base := newFront(t, s)
	router := spec(t, base)
	const good = "/v1/messages?partner=p&class=c&id=a"
	for _, x := range []struct {
		answer core.SubmitResponse
		check  error
		status int
		retry  string
	}{
		{core.SubmitResponse{}, nil, 202, ""}, {core.SubmitResponse{Duplicate: true}, nil, 202, ""},
		{core.SubmitResponse{Status: core.Busy, RetryAfter: 1500 * time.Millisecond}, nil, 429, "2"}, {core.SubmitResponse{Status: core.Busy}, nil, 503, ""},
		{core.SubmitResponse{Status: core.Failed}, nil, 422, ""}, {core.SubmitResponse{Status: core.UnknownPartner}, nil, 400, ""},
		{core.SubmitResponse{Status: core.Conflict}, nil, 409, ""}, {core.SubmitResponse{Status: core.Stopped}, nil, 503, ""},
		{core.SubmitResponse{}, &core.FieldError{Field: "class", Reason: "unknown class"}, 400, ""}, {core.SubmitResponse{}, errors.New("other"), 400, ""},
	} {
		s.answer, s.check = x.answer, x.check
		resp, fields := do(t, router, "POST", base+good, strings.NewReader("x"))
		if resp.StatusCode != x.status || resp.Header.Get("Retry-After") != x.retry {
			t.Errorf("%+v %v: status %d, Retry-After %q: %v", x.answer, x.check, resp.StatusCode, resp.Header.Get("Retry-After"), fields)
		}
		if x.status == 202 && resp.Header.Get("Location") != "/v1/messages/a" {
			t.Errorf("Location %q", resp.Header.Get("Location"))
		}
		if x.status == 429 && fields["retry_after_ms"] != 1500.0 {
			t.Errorf("%v", fields)
		}
		if x.status != 202 && resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%d is told as %s", x.status, resp.Header.Get("Content-Type"))
		}
	}
	s.state = core.State{}
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 404 {
		t.Errorf("unknown: %d", resp.StatusCode)
	}
	for _, st := range []core.State{{Name: core.StateAccepted, Partner: "p", Class: "c", AcceptedAt: time.Now(), Deadline: time.Now()},
		{Name: core.StateSending, Attempts: 1, AcceptedAt: time.Now(), Deadline: time.Now()}, {Name: message.Delivered, Attempts: 2, EndedAt: time.Now()},
		{Name: message.Returned, RetryAfter: time.Second, EndedAt: time.Now(), Tenant: "t"}, {Name: message.Failed, EndedAt: time.Now()}} {
		s.state = st
		if resp, fields := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 200 || fields["state"] != st.Name {
			t.Errorf("%+v: %d %v", st, resp.StatusCode, fields)
		}
	}
	for _, wait := range []string{"x", "-1s", "2m", "5"} {
		if resp, fields := do(t, router, "GET", base+"/v1/messages/a?wait="+wait, nil); resp.StatusCode != 400 || fields["field"] != "wait" {
			t.Errorf("wait=%s: %d %v", wait, resp.StatusCode, fields)
		}
	}
	for path, status := range map[string]int{"/": 404, "/v1/messages/a/b": 404, "/v1/batch": 405, "/v1/messages": 405} {
		if resp, fields := do(t, nil, "GET", base+path, nil); resp.StatusCode != status || fields["status"] != float64(status) {
			t.Errorf("GET %s: %d %v", path, resp.StatusCode, fields)
		}
	}
}

// What a message is made of reaches the core as the client gave it.
func TestFields(t *testing.T) {
	s := &scripted{got: make(chan *message.Message, 1)}
	_, base := newFront(t, s)
	body := string([]byte{0, 1, 0xff, '\r', '\n'})
	do(t, nil, "POST", base+"/v1/messages?partner=p%2Fq&class=c&key=k&order=o&tenant=t&left=90s", strings.NewReader(body), "Idempotency-Key", "idem")
	m := <-s.got
	left := time.Until(time.UnixMicro(m.Deadline))
	if m.ID != "idem" || m.Partner != "p/q" || m.Class != "c" || m.Key != "k" || m.Order != "o" || m.Tenant != "t" || string(m.Body) != body ||
		left > 90*time.Second || left < 60*time.Second {
		t.Errorf("%+v, left %v", m, left)
	}
	by := time.Now().Add(40 * time.Second).UTC().Format(time.RFC3339Nano)
	do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&deadline="+by, nil)
	if m := <-s.got; time.Until(time.UnixMicro(m.Deadline)) > 40*time.Second || len(m.ID) != 32 {
		t.Errorf("%+v", m)
	}
	for query, field := range map[string]string{"left=1s&deadline=" + by: "deadline", "left=soon": "left", "left=-1s": "deadline",
		"deadline=tomorrow": "deadline", "deadline=2020-01-01T00:00:00Z": "deadline", "colour=red": "colour", "id=a&id=b": "id"} {
		if resp, fields := do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&"+query, nil); resp.StatusCode != 400 || fields["field"] != field {
			t.Errorf("%s: %d %v", query, resp.StatusCode, fields)
		}
	}
	if resp, _ := do(t, nil, "POST", base+"/v1/messages?partner=p&class=c&id=a", nil, "Idempotency-Key", "b"); resp.StatusCode != 400 {
		t.Errorf("two ids: %d", resp.StatusCode)
	}
	if len(s.got) != 0 {
		t.Error("a bad message reached the core")
	}
}

// Tokens: none, an unknown one, another tenant's messages to hand in or to read.
func TestTokens(t *testing.T) {
	s := &scripted{state: core.State{Name: message.Delivered, Tenant: "acme"}, got: make(chan *message.Message, 1)}
	f, base := newFront(t, s, func(o *Options) {
		o.Tenant = func(token string) (string, bool) { return token[1:], token[0] == '!' }
	})
	router := spec(t, base)
	for _, x := range []struct {
		method, path, token string
		status              int
	}{
		{"POST", "/v1/messages?partner=p&class=c", "", 401}, {"GET", "/v1/messages/a", "", 401}, {"POST", "/v1/batch", "", 401}, {"GET", "/v1/ends", "", 401},
		{"GET", "/v1/messages/a", "Bearer ?acme", 401}, {"GET", "/v1/messages/a", "Basic !acme", 401}, {"GET", "/v1/messages/a", "Bearer ", 401},
		{"GET", "/v1/messages/a", "Bearer !acme", 200}, {"GET", "/v1/messages/a", "Bearer !other", 404},
		{"GET", "/v1/messages/a?wait=1m", "Bearer !other", 404},
		{"POST", "/v1/messages?partner=p&class=c&tenant=acme", "Bearer !other", 403},
	} {
		if resp, fields := do(t, router, x.method, base+x.path, nil, "Authorization", x.token); resp.StatusCode != x.status {
			t.Errorf("%s %s with %q: %d %v", x.method, x.path, x.token, resp.StatusCode, fields)
		}
	}
	do(t, router, "POST", base+"/v1/messages?partner=p&class=c", nil, "Authorization", "Bearer !acme")
	if m := <-s.got; m.Tenant != "acme" {
		t.Errorf("taken on for %q", m.Tenant)
	}
	f.opts.Stream.Add(&message.Message{Tenant: "other", Partner: "p"}, message.End{ID: "theirs", State: message.Failed})
	f.opts.Stream.Add(&message.Message{Tenant: "acme", Partner: "p"}, message.End{ID: "ours", State: message.Failed})
	ev := follow(t, base, "0-0", "Authorization", "Bearer !acme")
	if got := ev.next(); got.event != "gap" {
		t.Errorf("%+v", got)
	}
	if got := ev.next(); !strings.Contains(got.data, `"ours"`) {
		t.Errorf("%+v", got)
	}
}

// Each line of a batch is taken on or refused on its own, in order; what can't be read to its end is no message.
func TestBatch(t *testing.T) {
	s := &scripted{}
	_, base := newFront(t, s)
	lines := []string{`{"id":"a","partner":"p","class":"c","body":"x"}`, ``, `{"id":"b"`, `{"id":"c","colour":1}`,
		`{"id":"d","partner":"p","class":"c","body_base64":"AAE="}`, `{"id":"e","body":"x","body_base64":"AAE="}`, `{"id":"f","body_base64":"?"}`,
		`{"id":"g"} {"id":"h"}`, `{"id":"i","left":"never"}`, `{"id":"\ud800","partner":"p"}`, `{"id":"last","partner":"p","class":"c"}`}
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
	s.got = make(chan *message.Message, 8)
	half := dialRaw(t, base, "POST /v1/batch HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"+lines[0]+"\n"+`{"id":"half","partner":"p","class":"c"}`)
	half.CloseWrite()
	if text, _ := io.ReadAll(half); !bytes.Contains(text, []byte("did not come whole")) {
		t.Errorf("answer to half a batch: %q", text)
	}
	if m := <-s.got; m.ID != "a" || len(s.got) != 0 {
		t.Errorf("taken on: %s and %d more", m.ID, len(s.got))
	}
	long := strings.NewReader(`{"id":"a","body":"` + strings.Repeat("x", maxLine) + `"}`)
	resp, err = http.Post(base+"/v1/batch", "application/x-ndjson", long)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); !bytes.Contains(text, []byte("too long")) {
		t.Errorf("answer to a long line: %q", text)
	}
}

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

// stream is a client that follows ends.
type stream struct {
	t *testing.T
	r *bufio.Reader
}

func follow(t *testing.T, base, last string, headers ...string) *stream {
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
	return &stream{t, bufio.NewReader(resp.Body)}
}

func (s *stream) next() (e event) {
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

// The stream goes on after the last event seen; what the window has lost, or another process told, is a gap.
func TestStream(t *testing.T) {
	f, base := newFront(t, &scripted{}, func(o *Options) { o.Streams = 16 })
	add := func(from, to int) {
		for i := from; i < to; i++ {
			f.opts.Stream.Add(&message.Message{Partner: "p", Class: "c"}, message.End{ID: fmt.Sprint("m", i), State: message.Delivered, Attempts: 1})
		}
	}
	add(0, 3)
	fresh := follow(t, base, "")
	add(3, 6)
	var last event
	for i := 3; i < 6; i++ {
		if last = fresh.next(); !strings.Contains(last.data, fmt.Sprintf(`"m%d"`, i)) || last.event != "end" {
			t.Errorf("event %+v, want m%d", last, i)
		}
	}
	add(6, 8)
	again := follow(t, base, last.id)
	for i := 6; i < 8; i++ {
		if e := again.next(); !strings.Contains(e.data, fmt.Sprintf(`"m%d"`, i)) {
			t.Errorf("after %s: %+v, want m%d", last.id, e, i)
		}
	}
	add(8, 20) // the window holds 8
	for _, id := range []string{last.id, "ffffffff-3", "nonsense", f.opts.Stream.epoch + "-18446744073709551615"} {
		s := follow(t, base, id)
		if e := s.next(); e.event != "gap" {
			t.Errorf("after %s: %+v, want a gap", id, e)
		}
		if e := s.next(); !strings.Contains(e.data, `"m12"`) {
			t.Errorf("after %s: %+v, want m12", id, e)
		}
	}
}

// Bounds: streams, long-polls, large bodies, connections. One too many is told so, and those before go on.
func TestBounds(t *testing.T) {
	s := &scripted{state: core.State{Name: core.StateSending}, wait: make(chan struct{})}
	f, base := newFront(t, s)
	router := spec(t, base)
	for range cap(f.streams) {
		follow(t, base, "")
	}
	if resp, _ := do(t, router, "GET", base+"/v1/ends", nil); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a stream too many: %d", resp.StatusCode)
	}
	polls := make(chan int, cap(f.polls))
	for range cap(f.polls) {
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
	byhand.WaitUntil(t, "long-polls", func() bool { return len(f.polls) == cap(f.polls) })
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a?wait=1m", nil); resp.StatusCode != 503 {
		t.Errorf("a long-poll too many: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "GET", base+"/v1/messages/a", nil); resp.StatusCode != 200 {
		t.Errorf("a plain question meanwhile: %d", resp.StatusCode)
	}
	close(s.wait)
	for range cap(f.polls) {
		if got := <-polls; got != 200 {
			t.Errorf("long-poll: %d", got)
		}
	}
	for range cap(f.large) {
		f.large <- struct{}{}
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c", strings.NewReader(strings.Repeat("x", smallBody+1))); resp.StatusCode != 503 {
		t.Errorf("a large body too many: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c", strings.NewReader("x")); resp.StatusCode != 202 {
		t.Errorf("a small one meanwhile: %d", resp.StatusCode)
	}
	for range cap(f.large) {
		<-f.large
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c", strings.NewReader(strings.Repeat("x", message.MaxBody))); resp.StatusCode != 202 {
		t.Errorf("a body of the most bytes: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c", strings.NewReader(strings.Repeat("x", message.MaxBody+1))); resp.StatusCode != 413 {
		t.Errorf("one byte more: %d", resp.StatusCode)
	}
	if resp, _ := do(t, router, "POST", base+"/v1/messages?partner=p&class=c", io.MultiReader(strings.NewReader(strings.Repeat("x", message.MaxBody+1)))); resp.StatusCode != 413 {
		t.Errorf("one byte more, in chunks: %d", resp.StatusCode)
	}
}

// Connections that say nothing make room for new ones; busy ones do not.
func TestConnections(t *testing.T) {
	s := &scripted{state: core.State{Name: core.StateSending}, wait: make(chan struct{})}
	f, base := newFront(t, s, func(o *Options) { o.Connections = 3 })
	polled := make(chan error, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Get(base + "/v1/messages/a?wait=1m")
		if err == nil {
			resp.Body.Close()
		}
		polled <- err
	}()
	byhand.WaitUntil(t, "long-poll", func() bool { return len(f.polls) > 0 })
	var silent []*net.TCPConn
	for range 10 {
		silent = append(silent, dialRaw(t, base, ""))
	}
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the idlest connection stays")
	}
	c := &http.Client{Transport: &http.Transport{}}
	resp, err := c.Get(base + "/openapi.json")
	if err != nil {
		t.Fatalf("a new client: %v", err)
	}
	resp.Body.Close()
	close(s.wait)
	if err := <-polled; err != nil {
		t.Errorf("the busy one: %v", err)
	}
}

// A client that does not read its stream is closed after a while; until then it holds up nobody.
func TestSlowReader(t *testing.T) {
	f, base := newFront(t, &scripted{}, func(o *Options) { o.Stream = NewStream(200_000) })
	slow := dialRaw(t, base, "GET /v1/ends HTTP/1.1\r\nHost: x\r\n\r\n")
	slow.SetReadBuffer(4096)
	fast := follow(t, base, "")
	partner := strings.Repeat("p", 128)
	const many = 100_000 // far more than the buffers between hold
	go func() {
		for i := range many {
			f.opts.Stream.Add(&message.Message{Partner: partner}, message.End{ID: fmt.Sprint(i), State: message.Delivered})
		}
	}()
	for e := fast.next(); !strings.Contains(e.data, fmt.Sprintf(`"id":"%d"`, many-1)); e = fast.next() {
	}
	byhand.WaitUntil(t, "end of the slow reader", func() bool { return len(f.streams) == 1 })
}

// While the sender is out of service a connection is closed after its answer, and kept again afterwards.
func TestRetire(t *testing.T) {
	f, base := newFront(t, &scripted{})
	for _, retire := range []bool{false, true, false} {
		f.DisableKeepAlives(retire)
		resp, _ := do(t, nil, "GET", base+"/openapi.json", nil)
		if resp.Close != retire {
			t.Errorf("retiring %v: the connection is closed: %v", retire, resp.Close)
		}
	}
}
