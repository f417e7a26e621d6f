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

func newCall(addr, body string, giveUp time.Duration) *core.Attempt {
	return &core.Attempt{Message: &message.Message{ID: "m1", Key: "k1", Body: []byte(body)}, Endpoint: 1, Addr: addr, Timeout: giveUp}
}

func testCaller() *Transport {
	return New(time.Second, 10*time.Second, Limits{Open: 16, Idle: 16, PerEndpoint: 4})
}

// goDo makes a call in the background.
func goDo(ctx context.Context, c *Transport, in *core.Attempt) <-chan core.Result {
	ch := make(chan core.Result, 1)
	go func() { ch <- c.Attempt(ctx, in) }()
	return ch
}

// An answer that is read as the wrong outcome resends what may have run, or gives up what never ran.
func TestAnswers(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	c.settle = 0
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
		got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
		in := byhand.Await(t, e.Calls, "call")
		left, err := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms"))
		if in.Body != "hello" || in.ID() != "m1" || in.Req.Header.Get("Idempotency-Key") != "k1" || err != nil ||
			left > 20000 || left < 19000 || in.Req.URL.Path != "/inbox" { // counted from the write
			t.Fatalf("request went out changed: %+v %q", in.Req, in.Body)
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

// A break before the last byte proves that the call never ran; nothing may be taken for more than it is.
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
	c := testCaller()
	c.dialer.Control = small
	// Far more than both buffers hold, so that the last byte cannot have been written.
	got := goDo(t.Context(), c, newCall(ln.Addr().String(), strings.Repeat("x", 8<<20), byhand.Timeout))
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
		t.Errorf("got %+v, want RefusedConn", r)
	}
}

// After the last byte it may have run, however the connection ends.
func TestBreakAfterLastByte(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
	byhand.Await(t, e.Calls, "call").Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.ConnectionBroken {
		t.Errorf("reset: got %+v, want Severed", r)
	}
	got = goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	io.WriteString(in.Conn, "HTTP/1.1 2")
	in.Conn.Close()
	in.Done <- false
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.ConnectionBroken {
		t.Errorf("half an answer: got %+v, want Severed", r)
	}
}

// A port that nobody listens on.
func TestConnectionRefused(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	e.Ln.Close()
	if r := c.Attempt(t.Context(), newCall(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.ConnectionRefused {
		t.Errorf("got %+v, want RefusedConn", r)
	}
}

// A connection that the endpoint has closed, or that is about to be closed for its age, would turn the next call
// into a reset, which an unsafe message does not survive.
func TestStaleConnection(t *testing.T) {
	e, c := byhand.NewEndpoint(t), New(time.Second, time.Hour, Limits{Open: 16, Idle: 16, PerEndpoint: 4})
	c.settle = 0
	call := func(end func(*byhand.ReceivedCall)) {
		t.Helper()
		got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
		end(byhand.Await(t, e.Calls, "call"))
		if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
			t.Fatalf("got %+v, want Completed", r)
		}
	}
	call(func(in *byhand.ReceivedCall) { in.ReplyAndClose(200) })
	byhand.WaitUntil(t, "end of the connection", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.idle[1]) == 0 || !c.good(c.idle[1][0])
	})
	call(func(in *byhand.ReceivedCall) { in.Reply(200) })
	if n := len(e.Conns); n != 2 {
		t.Fatalf("%d connections, want a second after the first was closed", n)
	}
	c.mu.Lock()
	c.idle[1][0].since = time.Now().Add(200*time.Millisecond - time.Hour)
	c.mu.Unlock()
	call(func(in *byhand.ReceivedCall) { in.Reply(200) })
	if n := len(e.Conns); n != 3 {
		t.Fatalf("%d connections, want a third after the second grew old", n)
	}
	c.mu.Lock()
	c.idle[1][0].since = time.Now().Add(-2 * time.Hour)
	c.mu.Unlock()
	c.CloseStale()
	if c.count != 0 || len(c.idle) != 0 {
		t.Errorf("an old connection is kept after a sweep")
	}
}

// A call that is given up must be over for the endpoint too before its outcome is told: the next attempt would be
// a second copy.
func TestGiveUp(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	c.linger = 2 * byhand.Timeout // only the endpoint's own end of the call can cut it short
	ctx, cancel := context.WithCancel(t.Context())
	got := goDo(ctx, c, newCall(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	cancel()
	in.AwaitEnd(t)
	in.Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Cancelled {
		t.Errorf("cancelled: got %+v, want Recalled", r)
	}
	got = goDo(t.Context(), c, newCall(e.Addr(), "hello", 30*time.Millisecond))
	in = byhand.Await(t, e.Calls, "call")
	in.AwaitEnd(t)
	in.Reset()
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.TimedOut {
		t.Errorf("timed out: got %+v, want Overdue", r)
	}
	ctx, cancel = context.WithCancel(t.Context())
	got = goDo(ctx, c, newCall(e.Addr(), "hello", byhand.Timeout))
	in = byhand.Await(t, e.Calls, "call")
	cancel()
	in.AwaitEnd(t)
	in.Reply(200)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
		t.Errorf("answered while it was given up: got %+v, want Completed", r)
	}
	c.linger = time.Millisecond // an endpoint that does not react
	got = goDo(t.Context(), c, newCall(e.Addr(), "hello", 30*time.Millisecond))
	in = byhand.Await(t, e.Calls, "call")
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.TimedOut {
		t.Errorf("silent: got %+v, want Overdue", r)
	}
	in.AwaitEnd(t)
	if c.count != 0 {
		t.Errorf("%d connections kept after calls that were given up", c.count)
	}
}

// A call that still connects when it is called off has not run.
func TestGiveUpWhileConnecting(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	ctx, cancel := context.WithCancel(t.Context())
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { cancel(); return nil }
	if r := c.Attempt(ctx, newCall(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.ConnectionRefused {
		t.Errorf("got %+v, want RefusedConn", r)
	}
	e.ExpectNoCall(t)
}

// A wait or a drain that becomes known while a call connects binds it: it must not be written afterwards.
func TestHeldWhileConnecting(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	in := newCall(e.Addr(), "hello", byhand.Timeout)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		in.Withhold(permit.WaitRequested)
		return nil
	}
	if r := c.Attempt(t.Context(), in); r.Outcome != logic.NotSent {
		t.Errorf("got %+v, want Moot", r)
	}
	e.ExpectNoCall(t)
}

// Connecting takes time: a repeat that would be written after the destination has forgotten its key is not made.
func TestWriteBy(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	in := newCall(e.Addr(), "hello", byhand.Timeout)
	in.Expires = time.Now().Add(-time.Millisecond)
	if r := c.Attempt(t.Context(), in); r.Outcome != logic.NotSent {
		t.Errorf("got %+v, want Moot", r)
	}
	e.ExpectNoCall(t)
}

// A kept connection is not used when the process, held up for as long as it may be, would write to it after its idle time.
func TestIdleConnectionOutlastsStall(t *testing.T) {
	e := byhand.NewEndpoint(t)
	for _, x := range []struct {
		idle, rest time.Duration
		reused     bool
	}{{300 * time.Millisecond, 200 * time.Millisecond, false}, {2 * time.Second, 200 * time.Millisecond, true}} {
		c := New(time.Second, x.idle, Limits{Open: 8, Idle: 8, PerEndpoint: 8})
		var conns []net.Conn
		for range 2 {
			got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
			in := byhand.Await(t, e.Calls, "call")
			conns = append(conns, in.Conn)
			in.Reply(200)
			byhand.Await(t, got, "result")
			c.mu.Lock()
			for _, conn := range c.idle[newCall(e.Addr(), "", 0).Endpoint] {
				conn.since = conn.since.Add(-x.rest)
			}
			c.mu.Unlock()
		}
		if reused := conns[0] == conns[1]; reused != x.reused {
			t.Errorf("idle time %v: reused after %v: %v", x.idle, x.rest, reused)
		}
	}
}

// An endpoint is told for how long the answer is waited for from now on: connecting takes its part.
func TestExpiryCountsFromTheWrite(t *testing.T) {
	const connecting, giveUp = 300 * time.Millisecond, 2 * time.Second
	e, c := byhand.NewEndpoint(t), testCaller()
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		time.Sleep(connecting)
		return nil
	}
	got := goDo(t.Context(), c, newCall(e.Addr(), "hello", giveUp))
	in := byhand.Await(t, e.Calls, "call")
	ms, err := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms"))
	if most := giveUp - connecting; err != nil || time.Duration(ms)*time.Millisecond > most {
		t.Errorf("%d ms, of %v at most: %v", ms, most, err)
	}
	in.Reply(200)
	byhand.Await(t, got, "result")
}

// An interim answer is not the outcome.
func TestInterimAnswer(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	io.WriteString(in.Conn, "HTTP/1.1 102 Processing\r\n\r\n")
	in.Reply(200)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
		t.Errorf("got %+v, want Completed", r)
	}
}

// An endpoint that takes the address of one that has gone starts with connections of its own, and those of the old
// one are given back.
func TestNewEndpointAtOldAddress(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	c.settle = 0
	call := func(ep logic.EndpointID) *byhand.ReceivedCall {
		t.Helper()
		in := newCall(e.Addr(), "hello", byhand.Timeout)
		in.Endpoint = ep
		got := goDo(t.Context(), c, in)
		out := byhand.Await(t, e.Calls, "call")
		out.Reply(200)
		byhand.Await(t, got, "result")
		return out
	}
	first := call(1)
	if second := call(2); second.Conn == first.Conn {
		t.Error("the new endpoint is called over a connection of the old one")
	}
	c.CloseIdle(1)
	if c.count != 1 || c.open != 1 {
		t.Errorf("%d idle, %d open", c.count, c.open)
	}
}

// A kept connection that was taken for an attempt which was withheld counted as used, and the next request was written
// to it after its endpoint had closed it: it has been idle for as long as before.
func TestWithheldAttemptLeavesIdleTime(t *testing.T) {
	e, c := byhand.NewEndpoint(t), testCaller()
	c.settle = 0
	got := goDo(t.Context(), c, newCall(e.Addr(), "hello", byhand.Timeout))
	byhand.Await(t, e.Calls, "call").Reply(200)
	byhand.Await(t, got, "result")
	since := time.Now().Add(-5 * time.Second)
	c.idle[1][0].since = since
	withheld := newCall(e.Addr(), "hello", byhand.Timeout)
	withheld.Withhold(permit.WaitRequested)
	if r := c.Attempt(t.Context(), withheld); r.Outcome != logic.NotSent {
		t.Fatalf("a withheld attempt ends as %+v", r)
	}
	if list := c.idle[1]; len(list) != 1 || !list[0].since.Equal(since) {
		t.Errorf("%d connections are kept, idle for %v", len(list), time.Since(list[0].since))
	}
}
