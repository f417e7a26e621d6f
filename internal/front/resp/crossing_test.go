package resp

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
)

// counting takes every message on and counts them.
type counting struct {
	yes
	mu sync.Mutex
	n  int
}

func (c *counting) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
	c.yes.Submit(m, answer)
}

func (c *counting) taken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// crossed is a front's side of a connection. Before the front ends it in any way,
// something else happens once.
type crossed struct {
	*net.TCPConn
	once   *sync.Once
	before func(net.Conn)
}

func (c crossed) Close() error {
	c.once.Do(func() { c.before(c.TCPConn) })
	return c.TCPConn.Close()
}

func (c crossed) CloseWrite() error {
	c.once.Do(func() { c.before(c.TCPConn) })
	return c.TCPConn.CloseWrite()
}

// crossing hands a front such connections.
type crossing struct {
	net.Listener
	accepted chan *net.TCPConn
	before   chan func(net.Conn) // for the next connection; none if it is empty
}

func (l crossing) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	before := func(net.Conn) {}
	select {
	case before = <-l.before:
	default:
	}
	l.accepted <- conn.(*net.TCPConn)
	return crossed{conn.(*net.TCPConn), new(sync.Once), before}, nil
}

// serveCrossing starts a front whose connections are such.
func serveCrossing(t *testing.T, c Core, opts Options) (*Front, crossing) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	opts.Listen, opts.Log = "127.0.0.1:0", slog.New(slog.DiscardHandler)
	f, l := New(c, opts), crossing{ln, make(chan *net.TCPConn, 16), make(chan func(net.Conn), 16)}
	if !f.AdoptListener(l) {
		t.Fatal("the front does not take the listener")
	}
	go f.Serve()
	return f, l
}

const putLate = "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nlate\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n"

// A request that comes after the front has looked at a resting connection and before it ends that: its client hears
// an orderly end with all answers before it, so that it sends the request anew, and the request is not acted upon.
// The answer before it may be held back by the system still.
func TestRequestCrossesEnd(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, f *Front){
		"to make room": func(t *testing.T, f *Front) {
			if got := dial(t, f).do("PING"); got != "+PONG" {
				t.Errorf("the new client gets %q", got)
			}
		},
		"at a drain": func(t *testing.T, f *Front) { f.DisableKeepAlives(true) },
		"at the end of the process": func(t *testing.T, f *Front) {
			f.CloseListener()
			go f.Shutdown(t.Context(), true)
		},
	} {
		for _, held := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", its answer held back"}[held], func(t *testing.T) {
				t.Parallel()
				taken := &counting{}
				f, l := serveCrossing(t, taken, Options{Connections: 1})
				come, crossing := make(chan *client, 1), make(chan bool, 1)
				l.before <- func(conn net.Conn) {
					c := <-come
					io.WriteString(c.conn, putLate)
					byhand.WaitUntil(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
					crossing <- true
				}
				c := dial(t, f)
				conn := byhand.Await(t, l.accepted, "connection")
				if held {
					raw, _ := conn.SyscallConn()
					raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
				}
				io.WriteString(c.conn, "*1\r\n$4\r\nPING\r\n")
				byhand.WaitUntil(t, "answer", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					for s := range f.sessions {
						return s.served && s.open == 0
					}
					return false
				})
				come <- c
				end(t, f)
				byhand.Await(t, crossing, "crossing")
				if got, err := io.ReadAll(c.r); err != nil || string(got) != "+PONG\r\n" {
					t.Errorf("the client reads %q, %v", got, err)
				}
				c.conn.Close()
				byhand.WaitUntil(t, "end of the connection", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return f.ending == 0
				})
				if n := taken.taken(); n != 0 {
					t.Errorf("%d messages were taken on after the end", n)
				}
			})
		}
	}
}

// settle waits until the front knows of no request that it has not answered.
func settle(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "rest", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			if s.open > 0 {
				return false
			}
		}
		return true
	})
}

// rest has so many clients ask once and stay.
func rest(t *testing.T, f *Front, n int) (all []*client) {
	t.Helper()
	for range n {
		all = append(all, dial(t, f))
		if got := all[len(all)-1].do("PING"); got != "+PONG" {
			t.Fatal(got)
		}
		settle(t, f)
	}
	return all
}

// Connections that are ended and not closed by their clients are bounded beside those that are live: the longest so is
// closed, and new clients are served all the same.
func TestEndingIsBounded(t *testing.T) {
	const live, ending = 3, 2
	f := serve(t, Options{Connections: live, Ending: ending})
	all := rest(t, f, live+ending+4)
	f.mu.Lock()
	if n := len(f.sessions); n > live+ending || f.ending > ending {
		t.Errorf("%d connections, %d of them ending", n, f.ending)
	}
	f.mu.Unlock()
	for i, c := range all {
		if i < len(all)-live {
			if got := c.ended(); got != "" {
				t.Errorf("client %d got %q", i, got)
			}
		} else if got := c.do("PING"); got != "+PONG" {
			t.Errorf("client %d gets %q", i, got)
		}
	}
}

// A client that never ends its side is waited for a while, and less when the process ends.
func TestEndingTakesNotLong(t *testing.T) {
	for name, hurry := range map[string]bool{"at a handover": false, "at the end of the process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := serve(t, Options{})
			all := rest(t, f, 20)
			ctx, stop := context.WithTimeout(t.Context(), byhand.Timeout)
			defer stop()
			at := time.Now()
			f.CloseListener()
			f.Shutdown(ctx, hurry)
			took, most := time.Since(at), core.LifecycleTimes.StopTimeout-core.LifecycleTimes.DrainGrace
			if took > most {
				t.Errorf("ended after %v, and has %v", took, most)
			}
			t.Logf("ended after %v", took)
			for _, c := range all {
				if got := c.ended(); got != "" {
					t.Errorf("a client got %q", got)
				}
			}
		})
	}
}

// An answer that is on its way as connections begin to be closed between requests: its connection is closed right after
// it, not only when it has rested for long.
func TestAnswerCrossesDrain(t *testing.T) {
	later := later{yes{}, make(chan chan<- core.SubmitResponse, 1)}
	f, _ := serveCrossing(t, later, Options{Connections: 2})
	c := dial(t, f)
	io.WriteString(c.conn, putLate)
	answer := byhand.Await(t, later.asked, "message")
	f.DisableKeepAlives(true)
	at := time.Now()
	answer <- core.SubmitResponse{}
	if got := c.ended(); got != "+OK\r\n" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(at); took >= idleClient {
		t.Errorf("it is kept for %v", took)
	}
}

// later has messages answered by the test.
type later struct {
	yes
	asked chan chan<- core.SubmitResponse
}

func (l later) Submit(_ *message.Message, answer chan<- core.SubmitResponse) { l.asked <- answer }

// What a client sends on and on after the end is read up to a bound.
func TestEndingReadsNotMuch(t *testing.T) {
	f := serve(t, Options{Connections: 1})
	c := rest(t, f, 1)[0]
	rest(t, f, 1) // the first one makes room
	if got := c.ended(); got != "" {
		t.Fatalf("got %q", got)
	}
	var err error
	sent := 0
	for err == nil && sent < 64*lingerBytes {
		var n int
		n, err = c.conn.Write(make([]byte, lingerRead))
		sent += n
	}
	if err == nil || errors.Is(err, context.DeadlineExceeded) || byhand.IsTimeout(err) {
		t.Errorf("the front takes %d bytes: %v", sent, err)
	}
}

// A half-sent request whose connection makes room gets no error, which would be its answer: it is sent anew. One that is
// whole by then is answered.
func TestHalfSentMakesRoom(t *testing.T) {
	f := serve(t, Options{Connections: 1})
	half := dial(t, f)
	io.WriteString(half.conn, "*1\r\n$4\r\nPI")
	byhand.WaitUntil(t, "request at the front", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			return s.begun && s.heard.Load() != 0
		}
		return false
	})
	if got := dial(t, f).do("PING"); got != "+PONG" {
		t.Errorf("a new client gets %q", got)
	}
	if got := half.ended(); got != "" {
		t.Errorf("half-sent: %q", got)
	}
}

// A request that has come by the time that its connection's goroutine sees that it has to end is served, and the
// connection is live again.
func TestRequestComesInTime(t *testing.T) {
	f, l := serveCrossing(t, &counting{}, Options{Connections: 1})
	c := dial(t, f)
	conn := byhand.Await(t, l.accepted, "connection")
	if got := c.do("PING"); got != "+PONG" {
		t.Fatal(got)
	}
	settle(t, f)
	f.mu.Lock() // the front has looked, and the reader can't go on
	var s *session
	for s = range f.sessions {
	}
	io.WriteString(c.conn, putLate)
	byhand.WaitUntil(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
	s.leave()
	s.conn.SetReadDeadline(time.Now())
	f.mu.Unlock()
	if got := c.line(); got != "+OK" {
		t.Errorf("got %q", got)
	}
	f.mu.Lock()
	if f.ending != 0 || len(f.sessions) != 1 {
		t.Errorf("%d connections, %d of them ending", len(f.sessions), f.ending)
	}
	f.mu.Unlock()
}

// lastMoment takes every message on, and the process ends as it takes the first.
type lastMoment struct {
	yes
	f **Front
}

func (c lastMoment) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	(*c.f).over.Store(true)
	c.yes.Submit(m, answer)
}

// Requests that were read together with one that is served as the process ends are answered too.
func TestReadAsTheProcessEnds(t *testing.T) {
	var f *Front
	f, _ = serveCrossing(t, lastMoment{f: &f}, Options{Connections: 1})
	c := dial(t, f)
	const requests = 3
	io.WriteString(c.conn, strings.Repeat(putLate, requests))
	for i := range requests {
		if got := c.line(); got != "+OK" {
			t.Errorf("request %d: %q", i, got)
		}
	}
}

// whenOver tells when nothing more may be read from the front's connections.
func whenOver(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "end of the process", f.over.Load)
}

// endNow has the front shut down by a context that is over, and tells when it has.
func endNow(f *Front) <-chan struct{} {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Shutdown(ctx, true)
	}()
	return done
}

// A request was read, and the process ended before its answer came, since it was held up for 0.15 s: the end waits for
// the answer.
func TestEndWaitsForAnswers(t *testing.T) {
	asked := make(chan chan<- core.SubmitResponse, 1)
	f, _ := serveCrossing(t, later{asked: asked}, Options{Connections: 1})
	c := dial(t, f)
	io.WriteString(c.conn, putLate)
	answer := byhand.Await(t, asked, "request")
	f.CloseListener()
	done := endNow(f)
	whenOver(t, f)
	select {
	case <-done:
		t.Error("the front is shut down with a request unanswered")
	case <-time.After(permit.MaxStall):
	}
	answer <- core.SubmitResponse{}
	if got := c.line(); got != "+OK" {
		t.Errorf("answer %q", got)
	}
	if got := c.ended(); got != "" {
		t.Errorf("more: %q", got)
	}
	<-done
}

// busy holds its clients up, as a process does that is held up itself, until the test lets them go.
type busy struct {
	counting
	asked, goOn chan struct{}
}

func (b *busy) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	b.asked <- struct{}{}
	<-b.goOn
	b.counting.Submit(m, answer)
}

// The rest of a request was read while the process ended, and nobody waited for its answer: what has come only in part
// by then is turned away, and nothing more is read.
func TestNothingIsReadAsTheProcessEnds(t *testing.T) {
	b := &busy{asked: make(chan struct{}, 2), goOn: make(chan struct{})}
	f, _ := serveCrossing(t, b, Options{Connections: 1})
	c := dial(t, f)
	half := len(putLate) / 2
	io.WriteString(c.conn, putLate+putLate[:half])
	byhand.Await(t, b.asked, "request")
	f.CloseListener()
	done := endNow(f)
	whenOver(t, f)
	close(b.goOn)
	if got := c.line(); got != "+OK" {
		t.Errorf("answer %q", got)
	}
	c.conn.SetReadDeadline(time.Now().Add(lastRequest / 2))
	if got, err := c.r.ReadString('\n'); err != nil || got != "-BUSY\r\n" {
		t.Errorf("a request that has come in part gets %q, %v", got, err)
	}
	io.WriteString(c.conn, putLate[half:])
	<-done
	if n := b.taken(); n != 1 {
		t.Errorf("%d requests are acted upon", n)
	}
}

// Requests that were read together with the one on which a connection ends for its errors got no answer.
func TestTooManyErrorsAnswersAllThatWasRead(t *testing.T) {
	f, _ := serveCrossing(t, yes{}, Options{Connections: 1})
	c := dial(t, f)
	for i := range maxErrors - 1 {
		if got := c.do("NONSENSE"); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("error %d: %q", i, got)
		}
	}
	const requests = 40
	io.WriteString(c.conn, strings.Repeat("*1\r\n$8\r\nNONSENSE\r\n", requests)+putLate[:10])
	for i := range requests {
		if got := c.line(); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("request %d: %q", i, got)
		}
	}
	if got := c.line(); got+"\r\n" != answerTooMany {
		t.Errorf("the one that has come in part gets %q", got)
	}
	if got := c.ended(); got != "" {
		t.Errorf("more: %q", got)
	}
}
