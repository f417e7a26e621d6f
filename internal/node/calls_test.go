package node

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravenmount/logic"
)

func newCall(t *testing.T, addr, body string, giveUp time.Duration) *call {
	t.Helper()
	m := &Message{ID: "m1", Key: "k1", Body: []byte(body)}
	req, err := deliverRequest(m, addr, giveUp)
	if err != nil {
		t.Fatal(err)
	}
	return &call{id: m.ID, ep: 1, addr: addr, giveUp: giveUp, request: req, state: new(atomic.Int32)}
}

func testCaller() *caller {
	return newCaller(time.Second, 10*time.Second, 4, shares{calls: 16, idle: 16})
}

// goDo makes a call in the background.
func goDo(ctx context.Context, c *caller, in *call) <-chan result {
	ch := make(chan result, 1)
	go func() { ch <- c.do(ctx, in) }()
	return ch
}

// An answer that is read as the wrong outcome resends what may have run, or gives up what never ran.
func TestAnswers(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	c.settle = 0
	for _, x := range []struct {
		status  int
		headers []string
		want    result
	}{
		{200, nil, result{outcome: logic.Completed}},
		{500, nil, result{outcome: logic.Errored}},
		{400, nil, result{outcome: logic.Errored}},
		{429, []string{"X-Come-Back-Ms: 250"}, result{outcome: logic.Full, wait: 250 * time.Millisecond}},
		{429, []string{"X-Come-Back-Ms: -1"}, result{outcome: logic.Full}},
		{429, []string{"X-Come-Back-Ms: soon"}, result{outcome: logic.Full}},
		{503, nil, result{outcome: logic.Full}},
		{503, []string{"X-Line-Busy: 1"}, result{outcome: logic.Moot}},
		{504, nil, result{outcome: logic.Moot}},
		{410, nil, result{outcome: logic.Moot, over: true}},
	} {
		got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
		in := await(t, e.calls, "call")
		if in.body != "hello" || in.id() != "m1" || in.req.Header.Get("Idempotency-Key") != "k1" ||
			in.req.Header.Get("X-Expires-In-Ms") != "20000" || in.req.URL.Path != "/inbox" {
			t.Fatalf("request went out changed: %+v %q", in.req, in.body)
		}
		in.reply(x.status, x.headers...)
		if r := await(t, got, "result"); r != x.want {
			t.Errorf("%d %v: got %+v, want %+v", x.status, x.headers, r, x.want)
		}
	}
	if n := len(e.conns); n != 1 {
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
	got := goDo(t.Context(), c, newCall(t, ln.Addr().String(), strings.Repeat("x", 8<<20), patience))
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	if r := await(t, got, "result"); r.outcome != logic.RefusedConn {
		t.Errorf("got %+v, want RefusedConn", r)
	}
}

// After the last byte it may have run, however the connection ends.
func TestBreakAfterLastByte(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	await(t, e.calls, "call").reset()
	if r := await(t, got, "result"); r.outcome != logic.Severed {
		t.Errorf("reset: got %+v, want Severed", r)
	}
	got = goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	in := await(t, e.calls, "call")
	io.WriteString(in.conn, "HTTP/1.1 2")
	in.conn.Close()
	in.done <- false
	if r := await(t, got, "result"); r.outcome != logic.Severed {
		t.Errorf("half an answer: got %+v, want Severed", r)
	}
}

// A port that nobody listens on.
func TestConnectionRefused(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	e.ln.Close()
	if r := c.do(t.Context(), newCall(t, e.addr(), "hello", patience)); r.outcome != logic.RefusedConn {
		t.Errorf("got %+v, want RefusedConn", r)
	}
}

// A connection that the endpoint has closed, or that is about to be closed for its age, would turn the next call
// into a reset, which an unsafe message does not survive.
func TestStaleConnection(t *testing.T) {
	e, c := newEndpoint(t), newCaller(time.Second, time.Hour, 4, shares{calls: 16, idle: 16})
	c.settle = 0
	call := func(end func(*inCall)) {
		t.Helper()
		got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
		end(await(t, e.calls, "call"))
		if r := await(t, got, "result"); r.outcome != logic.Completed {
			t.Fatalf("got %+v, want Completed", r)
		}
	}
	call(func(in *inCall) { in.replyAndClose(200) })
	for stop := time.Now().Add(patience); ; { // until the end of the connection has come
		c.mu.Lock()
		gone := len(c.idle[1]) == 0 || !c.good(c.idle[1][0])
		c.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the closed connection stays good")
		}
	}
	call(func(in *inCall) { in.reply(200) })
	if n := len(e.conns); n != 2 {
		t.Fatalf("%d connections, want a second after the first was closed", n)
	}
	c.mu.Lock()
	c.idle[1][0].since = time.Now().Add(200*time.Millisecond - time.Hour)
	c.mu.Unlock()
	call(func(in *inCall) { in.reply(200) })
	if n := len(e.conns); n != 3 {
		t.Fatalf("%d connections, want a third after the second grew old", n)
	}
	c.mu.Lock()
	c.idle[1][0].since = time.Now().Add(-2 * time.Hour)
	c.mu.Unlock()
	c.sweep()
	if c.count != 0 || len(c.idle) != 0 {
		t.Errorf("an old connection is kept after a sweep")
	}
}

// A call that is given up must be over for the endpoint too before its outcome is told: the next attempt would be
// a second copy.
func TestGiveUp(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	c.linger = 2 * patience // only the endpoint's own end of the call can cut it short
	ctx, cancel := context.WithCancel(t.Context())
	got := goDo(ctx, c, newCall(t, e.addr(), "hello", patience))
	in := await(t, e.calls, "call")
	cancel()
	in.awaitEnd(t)
	in.reset()
	if r := await(t, got, "result"); r.outcome != logic.Recalled {
		t.Errorf("cancelled: got %+v, want Recalled", r)
	}
	got = goDo(t.Context(), c, newCall(t, e.addr(), "hello", 30*time.Millisecond))
	in = await(t, e.calls, "call")
	in.awaitEnd(t)
	in.reset()
	if r := await(t, got, "result"); r.outcome != logic.Overdue {
		t.Errorf("timed out: got %+v, want Overdue", r)
	}
	ctx, cancel = context.WithCancel(t.Context())
	got = goDo(ctx, c, newCall(t, e.addr(), "hello", patience))
	in = await(t, e.calls, "call")
	cancel()
	in.awaitEnd(t)
	in.reply(200)
	if r := await(t, got, "result"); r.outcome != logic.Completed {
		t.Errorf("answered while it was given up: got %+v, want Completed", r)
	}
	c.linger = time.Millisecond // an endpoint that does not react
	got = goDo(t.Context(), c, newCall(t, e.addr(), "hello", 30*time.Millisecond))
	in = await(t, e.calls, "call")
	if r := await(t, got, "result"); r.outcome != logic.Overdue {
		t.Errorf("silent: got %+v, want Overdue", r)
	}
	in.awaitEnd(t)
	if c.count != 0 {
		t.Errorf("%d connections kept after calls that were given up", c.count)
	}
}

// A call that still connects when it is called off has not run.
func TestGiveUpWhileConnecting(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	ctx, cancel := context.WithCancel(t.Context())
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { cancel(); return nil }
	if r := c.do(ctx, newCall(t, e.addr(), "hello", patience)); r.outcome != logic.RefusedConn {
		t.Errorf("got %+v, want RefusedConn", r)
	}
	e.none(t)
}

// A wait or a drain that becomes known while a call connects binds it: it must not be written afterwards.
func TestHeldWhileConnecting(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	in := newCall(t, e.addr(), "hello", patience)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		in.state.CompareAndSwap(callConnecting, callHeld)
		return nil
	}
	if r := c.do(t.Context(), in); r.outcome != logic.Moot {
		t.Errorf("got %+v, want Moot", r)
	}
	e.none(t)
}

// Connecting takes time: a repeat that would be written after the destination has forgotten its key is not made.
func TestWriteBy(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	in := newCall(t, e.addr(), "hello", patience)
	in.writeBy = time.Now().Add(-time.Millisecond)
	if r := c.do(t.Context(), in); r.outcome != logic.Moot {
		t.Errorf("got %+v, want Moot", r)
	}
	e.none(t)
}

// An interim answer is not the outcome.
func TestInterimAnswer(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	in := await(t, e.calls, "call")
	io.WriteString(in.conn, "HTTP/1.1 102 Processing\r\n\r\n")
	in.reply(200)
	if r := await(t, got, "result"); r.outcome != logic.Completed {
		t.Errorf("got %+v, want Completed", r)
	}
}
