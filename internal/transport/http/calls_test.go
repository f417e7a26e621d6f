package httptransport

import (
	"context"
	"io"
	"net"
	"reflect"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

func newAttempt(addr, body string, timeout time.Duration) *core.Attempt {
	return &core.Attempt{Message: &message.Message{ID: "m1", Key: "k1", Body: []byte(body)}, Endpoint: 1, Addr: addr, Timeout: timeout}
}

func newTestTransport() *Transport {
	return New(time.Second, 10*time.Second, Limits{Open: 16, Idle: 16, PerEndpoint: 4})
}

// startAttempt makes a call in the background.
func startAttempt(ctx context.Context, c *Transport, in *core.Attempt) <-chan core.Result {
	ch := make(chan core.Result, 1)
	go func() { ch <- c.Attempt(ctx, in) }()
	return ch
}

// A response read as the wrong outcome would repeat a message that may have run, or give up one that never ran.
func TestResponses(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.reuseDelay = 0
	for _, x := range []struct {
		status  int
		headers []string
		want    core.Result
	}{
		{200, nil, core.Result{Outcome: logic.Completed}},
		{500, nil, core.Result{Outcome: logic.Errored}},
		{400, nil, core.Result{Outcome: logic.Errored}},
		{429, []string{"X-Come-Back-Ms: 250"}, core.Result{Outcome: logic.Overloaded, RequestedWait: 250 * time.Millisecond}},
		{429, []string{"X-Come-Back-Ms: -1"}, core.Result{Outcome: logic.Overloaded}},
		{429, []string{"X-Come-Back-Ms: soon"}, core.Result{Outcome: logic.Overloaded}},
		{503, nil, core.Result{Outcome: logic.Overloaded}},
		{503, []string{"X-Line-Busy: 1"}, core.Result{Outcome: logic.NotSent}},
		{504, nil, core.Result{Outcome: logic.NotSent}},
		{410, nil, core.Result{Outcome: logic.NotSent, MessageEnded: true}},
	} {
		got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
		in := byhand.Await(t, e.Calls, "call")
		left, err := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms"))
		if in.Body != "hello" || in.ID() != "m1" || in.Req.Header.Get("Idempotency-Key") != "k1" || err != nil ||
			left > 20000 || left < 19000 || in.Req.URL.Path != "/inbox" { // counted from the write
			t.Fatalf("request was sent changed: %+v %q", in.Req, in.Body)
		}
		in.Reply(x.status, x.headers...)
		if r := byhand.Await(t, got, "result"); !reflect.DeepEqual(r, x.want) {
			t.Errorf("%d %v: got %+v, want %+v", x.status, x.headers, r, x.want)
		}
	}
	if n := len(e.Conns); n != 1 {
		t.Errorf("%d connections for calls one after the other, want 1", n)
	}
}

// A call whose connection breaks before the last byte is written never ran.
func TestBreakBeforeLastByte(t *testing.T) {
	small := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}
	lc := net.ListenConfig{Control: small}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := newTestTransport()
	c.dialer.Control = small
	// Far more than both buffers hold, so that the last byte cannot have been written.
	got := startAttempt(t.Context(), c, newAttempt(ln.Addr().String(), strings.Repeat("x", 8<<20), byhand.Timeout))
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.ConnectionRefused {
		t.Errorf("got %+v, want ConnectionRefused", r)
	}
}

// A call whose connection ends after the last byte was written may have run.
func TestBreakAfterLastByte(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	byhand.Await(t, e.Calls, "call").Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.ConnectionBroken {
		t.Errorf("reset: got %+v, want ConnectionBroken", r)
	}
	got = startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	io.WriteString(in.Conn, "HTTP/1.1 2")
	in.Conn.Close()
	in.Done <- false
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.ConnectionBroken {
		t.Errorf("half a response: got %+v, want ConnectionBroken", r)
	}
}

// A call to a port without a listener never ran.
func TestConnectionRefused(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	e.Ln.Close()
	if r := c.Attempt(t.Context(), newAttempt(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.ConnectionRefused {
		t.Errorf("got %+v, want ConnectionRefused", r)
	}
}

// A connection that the endpoint has closed, or is about to close after its idle timeout, must not be reused: the next
// call would be reset, and an unsafe message can't be repeated.
func TestStaleConnection(t *testing.T) {
	e, c := byhand.NewEndpoint(t), New(time.Second, time.Hour, Limits{Open: 16, Idle: 16, PerEndpoint: 4})
	c.reuseDelay = 0
	call := func(end func(*byhand.ReceivedCall)) {
		t.Helper()
		got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
		end(byhand.Await(t, e.Calls, "call"))
		if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
			t.Fatalf("got %+v, want Completed", r)
		}
	}
	call(func(in *byhand.ReceivedCall) { in.ReplyAndClose(200) })
	byhand.WaitUntil(t, "end of the connection", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.idle[1]) == 0 || !c.reusable(c.idle[1][0])
	})
	call(func(in *byhand.ReceivedCall) { in.Reply(200) })
	if n := len(e.Conns); n != 2 {
		t.Fatalf("%d connections, want a second after the first was closed", n)
	}
	c.mu.Lock()
	c.idle[1][0].idleSince = time.Now().Add(200*time.Millisecond - time.Hour)
	c.mu.Unlock()
	call(func(in *byhand.ReceivedCall) { in.Reply(200) })
	if n := len(e.Conns); n != 3 {
		t.Fatalf("%d connections, want a third after the second reached its idle timeout", n)
	}
	c.mu.Lock()
	c.idle[1][0].idleSince = time.Now().Add(-2 * time.Hour)
	c.mu.Unlock()
	c.CloseStale()
	if c.idleCount != 0 || len(c.idle) != 0 {
		t.Errorf("a stale connection is kept after CloseStale")
	}
}

// An abandoned call must have ended at the endpoint before its outcome is reported; otherwise the next attempt would
// overlap with it.
func TestAbandonedCall(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.linger = 2 * byhand.Timeout // only the endpoint can end the call earlier
	ctx, cancel := context.WithCancel(t.Context())
	got := startAttempt(ctx, c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	cancel()
	in.AwaitEnd(t)
	in.Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Cancelled {
		t.Errorf("cancelled: got %+v, want Cancelled", r)
	}
	got = startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", 30*time.Millisecond))
	in = byhand.Await(t, e.Calls, "call")
	in.AwaitEnd(t)
	in.Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.TimedOut {
		t.Errorf("timed out: got %+v, want TimedOut", r)
	}
	ctx, cancel = context.WithCancel(t.Context())
	got = startAttempt(ctx, c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	in = byhand.Await(t, e.Calls, "call")
	cancel()
	in.AwaitEnd(t)
	in.Reply(200)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
		t.Errorf("response while it was abandoned: got %+v, want Completed", r)
	}
	c.linger = time.Millisecond // an endpoint that does not react
	got = startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", 30*time.Millisecond))
	in = byhand.Await(t, e.Calls, "call")
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.TimedOut {
		t.Errorf("silent: got %+v, want TimedOut", r)
	}
	in.AwaitEnd(t)
	if c.idleCount != 0 {
		t.Errorf("%d connections kept after abandoned calls", c.idleCount)
	}
}

// A call that is cancelled while it connects has not run.
func TestCancelledWhileConnecting(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	ctx, cancel := context.WithCancel(t.Context())
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { cancel(); return nil }
	if r := c.Attempt(ctx, newAttempt(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.ConnectionRefused {
		t.Errorf("got %+v, want ConnectionRefused", r)
	}
	e.ExpectNoCall(t)
}

// A requested wait or a drain that arrives while a call connects applies to it: the request must not be written.
func TestWithheldWhileConnecting(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	in := newAttempt(e.Addr(), "hello", byhand.Timeout)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		in.Withhold(permit.WaitRequested)
		return nil
	}
	if r := c.Attempt(t.Context(), in); r.Outcome != logic.NotSent {
		t.Errorf("got %+v, want NotSent", r)
	}
	e.ExpectNoCall(t)
}

// A repeat that would be written after the destination has dropped its idempotency key, because connecting took long,
// is not sent.
func TestExpiredAttemptNotWritten(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	in := newAttempt(e.Addr(), "hello", byhand.Timeout)
	in.Expires = time.Now().Add(-time.Millisecond)
	if r := c.Attempt(t.Context(), in); r.Outcome != logic.NotSent {
		t.Errorf("got %+v, want NotSent", r)
	}
	e.ExpectNoCall(t)
}

// An idle connection is not reused if a pause of the process could delay the write beyond the idle timeout.
func TestIdleConnectionOutlastsStall(t *testing.T) {
	e := byhand.NewEndpoint(t)
	for _, x := range []struct {
		idle, rest time.Duration
		reused     bool
	}{{300 * time.Millisecond, 200 * time.Millisecond, false}, {2 * time.Second, 200 * time.Millisecond, true}} {
		c := New(time.Second, x.idle, Limits{Open: 8, Idle: 8, PerEndpoint: 8})
		var conns []net.Conn
		for range 2 {
			got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
			in := byhand.Await(t, e.Calls, "call")
			conns = append(conns, in.Conn)
			in.Reply(200)
			byhand.Await(t, got, "result")
			c.mu.Lock()
			for _, conn := range c.idle[newAttempt(e.Addr(), "", 0).Endpoint] {
				conn.idleSince = conn.idleSince.Add(-x.rest)
			}
			c.mu.Unlock()
		}
		if reused := conns[0] == conns[1]; reused != x.reused {
			t.Errorf("idle time %v: reused after %v: %v", x.idle, x.rest, reused)
		}
	}
}

// X-Expires-In-Ms is the time that remains when the request is written: the time to connect is subtracted.
func TestExpiryCountsFromWrite(t *testing.T) {
	const connecting, timeout = 300 * time.Millisecond, 2 * time.Second
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		time.Sleep(connecting)
		return nil
	}
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", timeout))
	in := byhand.Await(t, e.Calls, "call")
	ms, err := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms"))
	if limit := timeout - connecting; err != nil || time.Duration(ms)*time.Millisecond > limit {
		t.Errorf("%d ms, want at most %v: %v", ms, limit, err)
	}
	in.Reply(200)
	byhand.Await(t, got, "result")
}

// An interim response is not the outcome.
func TestInterimResponse(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	io.WriteString(in.Conn, "HTTP/1.1 102 Processing\r\n\r\n")
	in.Reply(200)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
		t.Errorf("got %+v, want Completed", r)
	}
}

// An endpoint at the address of a removed one gets new connections, and those of the old one are closed and no longer
// counted.
func TestNewEndpointAtOldAddress(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.reuseDelay = 0
	call := func(ep logic.EndpointID) *byhand.ReceivedCall {
		t.Helper()
		in := newAttempt(e.Addr(), "hello", byhand.Timeout)
		in.Endpoint = ep
		got := startAttempt(t.Context(), c, in)
		out := byhand.Await(t, e.Calls, "call")
		out.Reply(200)
		byhand.Await(t, got, "result")
		return out
	}
	first := call(1)
	if second := call(2); second.Conn == first.Conn {
		t.Error("the new endpoint is called on a connection of the old one")
	}
	c.CloseIdle(1)
	if c.idleCount != 1 || c.openCount != 1 {
		t.Errorf("%d idle, %d open", c.idleCount, c.openCount)
	}
}

// An idle connection that was taken for a withheld attempt keeps its idle time. If it counted as used, the next request
// could be written after the endpoint had closed it.
func TestWithheldAttemptLeavesIdleTime(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.reuseDelay = 0
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	byhand.Await(t, e.Calls, "call").Reply(200)
	byhand.Await(t, got, "result")
	idleSince := time.Now().Add(-5 * time.Second)
	c.idle[1][0].idleSince = idleSince
	withheld := newAttempt(e.Addr(), "hello", byhand.Timeout)
	withheld.Withhold(permit.WaitRequested)
	if r := c.Attempt(t.Context(), withheld); r.Outcome != logic.NotSent {
		t.Fatalf("the withheld attempt has the result %+v", r)
	}
	if list := c.idle[1]; len(list) != 1 || !list[0].idleSince.Equal(idleSince) {
		t.Errorf("%d idle connections, idle for %v", len(list), time.Since(list[0].idleSince))
	}
}
