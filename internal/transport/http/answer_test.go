package httptransport

import (
	"bufio"
	"context"
	"io"
	"net"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

func newReader(s string) *bufio.Reader { return bufio.NewReader(strings.NewReader(s)) }

// invalidResponses can't be parsed and leave the connection open.
var invalidResponses = map[string]string{
	"noise":               "\x00\x17\x03 noise\r\n\r\n",
	"no version":          "HELLO 200 OK\r\n\r\n",
	"no status":           "HTTP/1.1 \r\n\r\n",
	"long status":         "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
	"endless line":        strings.Repeat("x", 8192),
	"head that is noise":  "HTTP/1.1 503 x\r\n\x01\x02 noise\r\n\r\n",
	"head without end":    "HTTP/1.1 429 x\r\nX-Come-Back-Ms: 5\r\n",
	"short body":          "HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nabc",
	"negative length":     "HTTP/1.1 429 x\r\nContent-Length: -5\r\n\r\n",
	"signed length":       "HTTP/1.1 503 x\r\nContent-Length: +0\r\n\r\n",
	"two lengths":         "HTTP/1.1 503 x\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\nabc",
	"length and chunked":  "HTTP/1.1 504 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"other coding":        "HTTP/1.1 503 x\r\nTransfer-Encoding: gzip\r\n\r\nabc",
	"bad chunk":           "HTTP/1.1 410 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"3 GB":                "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nabc",
	"endless body":        "HTTP/1.1 503 x\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 2*maxResponseBytes),
	"endless interim":     strings.Repeat("HTTP/1.1 102 x\r\n\r\n", maxResponseBytes/10),
	"interim, then noise": "HTTP/1.1 100 Continue\r\n\r\nnoise\r\n\r\n",
}

// A call with an invalid response may have run: the response must not be read as a refusal or an outage, and the connection
// is closed.
func TestInvalidResponses(t *testing.T) {
	for name, text := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := byhand.NewEndpoint(t), newTestTransport()
			got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
			in := byhand.Await(t, e.Calls, "call")
			io.WriteString(in.Conn, text)
			if r := byhand.Await(t, got, "result"); r.Outcome != logic.InvalidResponse || r.MessageEnded {
				t.Errorf("got %+v, want InvalidResponse", r)
			}
			in.AwaitEnd(t)
			in.Done <- false
			if c.openCount != 0 {
				t.Errorf("%d connections counted as open", c.openCount)
			}
		})
	}
}

// A status line with 200 is a delivery even if the rest of the response is invalid; the connection is not reused.
func TestDeliveredDespiteInvalidRest(t *testing.T) {
	for name, rest := range map[string]string{"noise": "\x01\x02\r\n\r\n", "no end": "A: b\r\n", "short": "Content-Length: 5\r\n\r\nab",
		"3 GB": "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<16), "negative": "Content-Length: -1\r\n\r\n",
		"two": "Content-Length: 0\r\nContent-Length: 0\r\n\r\n", "second copy": "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := byhand.NewEndpoint(t), newTestTransport()
			got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
			in := byhand.Await(t, e.Calls, "call")
			go io.WriteString(in.Conn, "HTTP/1.1 200 OK\r\n"+rest)
			if r := byhand.Await(t, got, "result"); r.Outcome != logic.Completed {
				t.Errorf("got %+v, want Completed", r)
			}
			in.AwaitEnd(t)
			in.Done <- false
		})
	}
}

// An unrequested second response must never be taken for the response to the next call: a connection is not reused
// right after a response, and one with unread bytes is closed.
func TestUnrequestedResponse(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.reuseDelay = time.Hour
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	first := byhand.Await(t, e.Calls, "call")
	first.Reply(200)
	byhand.Await(t, got, "result")
	got = startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	second := byhand.Await(t, e.Calls, "call")
	if second.Conn == first.Conn {
		t.Fatal("the connection was reused before an unrequested response could be detected")
	}
	io.WriteString(first.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	second.Reply(500)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Errored {
		t.Errorf("got %+v, want Errored", r)
	}
	byhand.WaitUntil(t, "unrequested response", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.reusable(c.idle[1][0])
	})
	c.reuseDelay = 0
	got = startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	third := byhand.Await(t, e.Calls, "call")
	if third.Conn == first.Conn {
		t.Error("a call on a connection with an unrequested response")
	}
	third.Reply(429)
	if r := byhand.Await(t, got, "result"); r.Outcome != logic.Overloaded {
		t.Errorf("got %+v, want Overloaded", r)
	}
}

// After an interim response the call keeps its own deadline and can still be cancelled.
func TestDeadlineAndCancelAfterInterimResponse(t *testing.T) {
	for _, x := range []struct {
		name string
		time time.Duration
		end  func(cancel func(), in *byhand.ReceivedCall)
		want logic.Outcome
	}{
		{"late", byhand.Timeout, func(_ func(), in *byhand.ReceivedCall) {
			time.Sleep(responseTimeout + responseTimeout/4) // longer than the limit for the rest of a head
			in.Reply(200)
		}, logic.Completed},
		{"cancelled", byhand.Timeout, func(cancel func(), in *byhand.ReceivedCall) { cancel(); in.AwaitEnd(t); in.Reset() }, logic.Cancelled},
		{"silent", 100 * time.Millisecond, func(_ func(), in *byhand.ReceivedCall) { in.AwaitEnd(t); in.Reset() }, logic.TimedOut},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e, c := byhand.NewEndpoint(t), newTestTransport()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			got := startAttempt(ctx, c, newAttempt(e.Addr(), "hello", x.time))
			in := byhand.Await(t, e.Calls, "call")
			io.WriteString(in.Conn, "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n")
			x.end(cancel, in)
			if r := byhand.Await(t, got, "result"); r.Outcome != x.want {
				t.Errorf("got %+v, want %v", r, x.want)
			}
		})
	}
}

// A call without a free descriptor is never sent and is a local failure, not one of the endpoint; an idle connection
// is closed to make room.
func TestNoDescriptors(t *testing.T) {
	e, c := byhand.NewEndpoint(t), New(time.Second, time.Hour, Limits{Open: 1, Idle: 1, PerEndpoint: 4})
	got := startAttempt(t.Context(), c, newAttempt(e.Addr(), "hello", byhand.Timeout))
	in := byhand.Await(t, e.Calls, "call")
	if r := c.Attempt(t.Context(), newAttempt(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.NotSent || !r.LocalFailure {
		t.Errorf("got %+v, want NotSent for a local cause", r)
	}
	in.Reply(200)
	byhand.Await(t, got, "result")
	other := byhand.NewEndpoint(t)
	call := newAttempt(other.Addr(), "hello", byhand.Timeout)
	call.Endpoint = 2
	got = startAttempt(t.Context(), c, call)
	byhand.Await(t, other.Calls, "call where an idle connection made room").Reply(200)
	byhand.Await(t, got, "result")
	c.CloseIdle(2)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return syscall.EMFILE }
	if r := c.Attempt(t.Context(), newAttempt(e.Addr(), "hello", byhand.Timeout)); r.Outcome != logic.NotSent || !r.LocalFailure {
		t.Errorf("got %+v, want NotSent for a local cause", r)
	}
	if c.openCount != 0 || c.idleCount != 0 {
		t.Errorf("%d connections open, %d idle", c.openCount, c.idleCount)
	}
}

func FuzzReadResponse(f *testing.F) {
	for _, text := range invalidResponses {
		if len(text) < 1000 {
			f.Add(text)
		}
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		conn, peer := net.Pipe()
		defer conn.Close()
		defer peer.Close()
		r, keep := readResponse(newReader(in), &callTimer{conn: conn, deadline: time.Now().Add(byhand.Timeout)}, nil, false, nil)
		if r.Outcome == logic.Completed && !(strings.Contains(in, "HTTP/1.") && strings.Contains(in, " 200")) {
			t.Errorf("%q was read as a delivery", in)
		}
		if keep && r.Outcome == logic.InvalidResponse {
			t.Errorf("%q: the connection was kept", in)
		}
	})
}

// After a reused connection broke, unrepeatable calls use new connections, because a reset would end them for good.
func TestUnrepeatableAvoidsReuseAfterBrokenConnection(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.reuseDelay = 0
	call := func(unrepeatable bool, end func(*byhand.ReceivedCall)) (*byhand.ReceivedCall, core.Result) {
		t.Helper()
		in := newAttempt(e.Addr(), "hello", byhand.Timeout)
		in.Unrepeatable = unrepeatable
		got := startAttempt(t.Context(), c, in)
		out := byhand.Await(t, e.Calls, "call")
		end(out)
		return out, byhand.Await(t, got, "result")
	}
	answered := func(in *byhand.ReceivedCall) { in.Reply(200) }
	first, _ := call(true, answered)
	if second, _ := call(true, answered); second.Conn != first.Conn {
		t.Error("idle connections are not reused although none broke")
	}
	if _, r := call(false, (*byhand.ReceivedCall).Reset); r.Outcome != logic.ConnectionBroken {
		t.Errorf("got %+v, want ConnectionBroken", r)
	}
	third, _ := call(false, answered)
	if fourth, _ := call(true, answered); fourth.Conn == third.Conn {
		t.Error("an unrepeatable call on a reused connection after one broke")
	}
}

// Retry-After requests a wait on 429 and 503 if it is enabled and X-Come-Back-Ms is absent; a date is relative to the
// response's Date.
func TestRetryAfter(t *testing.T) {
	const day = "Tue, 01 Dec 2026 10:00:0"
	for name, x := range map[string]struct {
		status, head string
		enabled      bool
		want         time.Duration
	}{
		"seconds":            {"429", "Retry-After: 3", true, 3 * time.Second},
		"on 503":             {"503", "Retry-After: 2", true, 2 * time.Second},
		"not enabled":        {"429", "Retry-After: 3", false, 0},
		"on 500":             {"500", "Retry-After: 3", true, 0},
		"a date":             {"429", "Date: " + day + "1 GMT\r\nRetry-After: " + day + "5 GMT", true, 4 * time.Second},
		"a date in the past": {"429", "Date: " + day + "5 GMT\r\nRetry-After: " + day + "1 GMT", true, 0},
		"X-Come-Back-Ms too": {"429", "X-Come-Back-Ms: 250\r\nRetry-After: 3", true, 250 * time.Millisecond},
		"negative":           {"429", "Retry-After: -3", true, 0},
		"no number":          {"429", "Retry-After: soon", true, 0},
		"a year":             {"429", "Retry-After: 31536000", true, core.MaxRequestedTime},
		"out of range":       {"429", "Retry-After: 99999999999999999999", true, core.MaxRequestedTime},
	} {
		text := "HTTP/1.1 " + x.status + " x\r\n" + x.head + "\r\nContent-Length: 0\r\n\r\n"
		a, b := net.Pipe()
		timer := &callTimer{conn: a, deadline: time.Now().Add(time.Minute)}
		if r, _ := readResponse(newReader(text), timer, nil, x.enabled, nil); r.RequestedWait != x.want {
			t.Errorf("%s: %v, want %v", name, r.RequestedWait, x.want)
		}
		a.Close()
		b.Close()
	}
}

// A requested wait counts once it has been read, even if the rest of the response is missing or invalid, or if the call
// is cancelled between two parts of it. The pipe delivers each part before the next step.
func TestRequestedWaitOfIncompleteResponse(t *testing.T) {
	const wait = "X-Come-Back-Ms: 700\r\n"
	for _, x := range []struct {
		name, first, rest string
		cancel            bool // between first and rest
		want              core.Result
	}{
		{"cut off in the body", "HTTP/1.1 429 x\r\n", wait + "Content-Length: 9\r\n\r\nab", false, core.Result{Outcome: logic.ConnectionBroken, RequestedWait: 700 * time.Millisecond}},
		{"cut off in the head", "HTTP/1.1 429 x\r\n", wait, false, core.Result{Outcome: logic.ConnectionBroken, RequestedWait: 700 * time.Millisecond}},
		{"bad length", "HTTP/1.1 429 x\r\n", wait + "Content-Length: -9\r\n\r\n", false, core.Result{Outcome: logic.InvalidResponse, RequestedWait: 700 * time.Millisecond}},
		{"cancelled after the first line", "HTTP/1.1 429 x\r\n", wait + "Content-Length: 0\r\n\r\n", true, core.Result{Outcome: logic.Overloaded, RequestedWait: 700 * time.Millisecond}},
		{"cancelled in the first line", "HTTP/1.1 4", "29 x\r\n" + wait + "Content-Length: 0\r\n\r\n", true, core.Result{Outcome: logic.Overloaded, RequestedWait: 700 * time.Millisecond}},
		{"cancelled, and a delivery", "HTTP/1.1 2", "00 x\r\nContent-Length: 0\r\n\r\n", true, core.Result{Outcome: logic.Completed}},
		{"cancelled, then cut off", "HTTP/1.1 2", "", true, core.Result{Outcome: logic.Cancelled}},
	} {
		t.Run(x.name, func(t *testing.T) {
			here, there := net.Pipe()
			defer here.Close()
			timer := &callTimer{conn: here, deadline: time.Now().Add(byhand.Timeout), linger: byhand.Timeout}
			got := make(chan core.Result, 1)
			go func() {
				r, _ := readResponse(bufio.NewReader(here), timer, nil, false, nil)
				got <- r
			}()
			io.WriteString(there, x.first) // returns once it has been read
			if x.cancel {
				timer.cancel()
			}
			go func() {
				io.WriteString(there, x.rest)
				there.Close()
			}()
			if r := byhand.Await(t, got, "result"); !reflect.DeepEqual(r, x.want) {
				t.Errorf("got %+v, want %+v", r, x.want)
			}
		})
	}
}
