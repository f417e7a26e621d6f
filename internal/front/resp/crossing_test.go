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

// countingCore takes every message on and counts them.
type countingCore struct {
	acceptingCore
	mu sync.Mutex
	n  int
}

func (c *countingCore) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
	c.acceptingCore.Submit(m, answer)
}

func (c *countingCore) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// hookedConn is a front's side of a connection. Before the front ends it in any way,
// something else happens once.
type hookedConn struct {
	*net.TCPConn
	once        *sync.Once
	beforeClose func(net.Conn)
}

func (c hookedConn) Close() error {
	c.once.Do(func() { c.beforeClose(c.TCPConn) })
	return c.TCPConn.Close()
}

func (c hookedConn) CloseWrite() error {
	c.once.Do(func() { c.beforeClose(c.TCPConn) })
	return c.TCPConn.CloseWrite()
}

// hookedListener hands a front such connections.
type hookedListener struct {
	net.Listener
	accepted    chan *net.TCPConn
	beforeClose chan func(net.Conn) // for the next connection; none if it is empty
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	before := func(net.Conn) {}
	select {
	case before = <-l.beforeClose:
	default:
	}
	l.accepted <- conn.(*net.TCPConn)
	return hookedConn{conn.(*net.TCPConn), new(sync.Once), before}, nil
}

// serveHooked starts a front whose connections are such.
func serveHooked(t *testing.T, c Core, opts Options) (*Front, hookedListener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	opts.Listen, opts.Log = "127.0.0.1:0", slog.New(slog.DiscardHandler)
	f, l := New(c, opts), hookedListener{ln, make(chan *net.TCPConn, 16), make(chan func(net.Conn), 16)}
	if !f.AdoptListener(l) {
		t.Fatal("the front does not take the listener")
	}
	go f.Serve()
	return f, l
}

const putRequest = "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nlate\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n"

// A request that comes after the front has looked at a resting connection and before it ends that: its client hears
// an orderly end with all answers before it, so that it sends the request anew, and the request is not acted upon.
// The answer before it may be held back by the system still.
func TestRequestDuringClose(t *testing.T) {
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
				taken := &countingCore{}
				f, l := serveHooked(t, taken, Options{MaxConnections: 1})
				come, crossing := make(chan *client, 1), make(chan bool, 1)
				l.beforeClose <- func(conn net.Conn) {
					c := <-come
					io.WriteString(c.conn, putRequest)
					byhand.Until(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
					crossing <- true
				}
				c := dial(t, f)
				conn := byhand.Await(t, l.accepted, "connection")
				if held {
					raw, _ := conn.SyscallConn()
					raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
				}
				io.WriteString(c.conn, "*1\r\n$4\r\nPING\r\n")
				byhand.Until(t, "answer", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					for s := range f.sessions {
						return s.served && s.pending == 0
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
				byhand.Until(t, "end of the connection", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return f.lingering == 0
				})
				if n := taken.accepted(); n != 0 {
					t.Errorf("%d messages were taken on after the end", n)
				}
			})
		}
	}
}

// waitIdle waits until the front knows of no request that it has not answered.
func waitIdle(t *testing.T, f *Front) {
	t.Helper()
	byhand.Until(t, "rest", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			if s.pending > 0 {
				return false
			}
		}
		return true
	})
}

// idleClients has so many clients ask once and stay.
func idleClients(t *testing.T, f *Front, n int) (all []*client) {
	t.Helper()
	for range n {
		all = append(all, dial(t, f))
		if got := all[len(all)-1].do("PING"); got != "+PONG" {
			t.Fatal(got)
		}
		waitIdle(t, f)
	}
	return all
}

// Connections that are ended and not closed by their clients are bounded beside those that are live: the longest so is
// closed, and new clients are served all the same.
func TestLingeringConnectionsBounded(t *testing.T) {
	const live, ending = 3, 2
	f := serve(t, Options{MaxConnections: live, MaxLingering: ending})
	all := idleClients(t, f, live+ending+4)
	f.mu.Lock()
	if n := len(f.sessions); n > live+ending || f.lingering > ending {
		t.Errorf("%d connections, %d of them ending", n, f.lingering)
	}
	f.mu.Unlock()
	for i, c := range all {
		if i < len(all)-live {
			if got := c.readToEOF(); got != "" {
				t.Errorf("client %d got %q", i, got)
			}
		} else if got := c.do("PING"); got != "+PONG" {
			t.Errorf("client %d gets %q", i, got)
		}
	}
}

// A client that never ends its side is waited for a while, and less when the process ends.
func TestShutdownDuration(t *testing.T) {
	for name, hurry := range map[string]bool{"at a handover": false, "at the end of the process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := serve(t, Options{})
			all := idleClients(t, f, 20)
			ctx, stop := context.WithTimeout(t.Context(), byhand.Patience)
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
				if got := c.readToEOF(); got != "" {
					t.Errorf("a client got %q", got)
				}
			}
		})
	}
}

// An answer that is on its way as connections begin to be closed between requests: its connection is closed right after
// it, not only when it has rested for long.
func TestResponseDuringDrain(t *testing.T) {
	later := deferredCore{acceptingCore{}, make(chan chan<- core.SubmitResponse, 1)}
	f, _ := serveHooked(t, later, Options{MaxConnections: 2})
	c := dial(t, f)
	io.WriteString(c.conn, putRequest)
	answer := byhand.Await(t, later.submitted, "message")
	f.DisableKeepAlives(true)
	at := time.Now()
	answer <- core.SubmitResponse{}
	if got := c.readToEOF(); got != "+OK\r\n" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(at); took >= idleTimeout {
		t.Errorf("it is kept for %v", took)
	}
}

// deferredCore has messages answered by the test.
type deferredCore struct {
	acceptingCore
	submitted chan chan<- core.SubmitResponse
}

func (l deferredCore) Submit(_ *message.Message, answer chan<- core.SubmitResponse) {
	l.submitted <- answer
}

// What a client sends on and on after the end is read up to a bound.
func TestLingeringReadBounded(t *testing.T) {
	f := serve(t, Options{MaxConnections: 1})
	c := idleClients(t, f, 1)[0]
	idleClients(t, f, 1) // the first one makes room
	if got := c.readToEOF(); got != "" {
		t.Fatalf("got %q", got)
	}
	var err error
	sent := 0
	for err == nil && sent < 64*maxLingerBytes {
		var n int
		n, err = c.conn.Write(make([]byte, lingerBufferBytes))
		sent += n
	}
	if err == nil || errors.Is(err, context.DeadlineExceeded) || byhand.IsTimeout(err) {
		t.Errorf("the front takes %d bytes: %v", sent, err)
	}
}

// A half-sent request whose connection makes room gets no error, which would be its answer: it is sent anew. One that is
// whole by then is answered.
func TestPartialRequestEvicted(t *testing.T) {
	f := serve(t, Options{MaxConnections: 1})
	half := dial(t, f)
	io.WriteString(half.conn, "*1\r\n$4\r\nPI")
	byhand.Until(t, "request at the front", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			return s.partial && s.lastRead.Load() != 0
		}
		return false
	})
	if got := dial(t, f).do("PING"); got != "+PONG" {
		t.Errorf("a new client gets %q", got)
	}
	if got := half.readToEOF(); got != "" {
		t.Errorf("half-sent: %q", got)
	}
}

// A request that has come by the time that its connection's goroutine sees that it has to end is served, and the
// connection is live again.
func TestRequestBeforeCloseTakesEffect(t *testing.T) {
	f, l := serveHooked(t, &countingCore{}, Options{MaxConnections: 1})
	c := dial(t, f)
	conn := byhand.Await(t, l.accepted, "connection")
	if got := c.do("PING"); got != "+PONG" {
		t.Fatal(got)
	}
	waitIdle(t, f)
	f.mu.Lock() // the front has looked, and the reader can't go on
	var s *session
	for s = range f.sessions {
	}
	io.WriteString(c.conn, putRequest)
	byhand.Until(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
	s.startLingering()
	s.conn.SetReadDeadline(time.Now())
	f.mu.Unlock()
	if got := c.readLine(); got != "+OK" {
		t.Errorf("got %q", got)
	}
	f.mu.Lock()
	if f.lingering != 0 || len(f.sessions) != 1 {
		t.Errorf("%d connections, %d of them ending", len(f.sessions), f.lingering)
	}
	f.mu.Unlock()
}

// stoppingCore takes every message on, and the process ends as it takes the first.
type stoppingCore struct {
	acceptingCore
	front **Front
}

func (c stoppingCore) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	(*c.front).readingStopped.Store(true)
	c.acceptingCore.Submit(m, answer)
}

// Requests that were read together with one that is served as the process ends are answered too.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	var f *Front
	f, _ = serveHooked(t, stoppingCore{front: &f}, Options{MaxConnections: 1})
	c := dial(t, f)
	const requests = 3
	io.WriteString(c.conn, strings.Repeat(putRequest, requests))
	for i := range requests {
		if got := c.readLine(); got != "+OK" {
			t.Errorf("request %d: %q", i, got)
		}
	}
}

// waitReadingStopped tells when nothing more may be read from the front's connections.
func waitReadingStopped(t *testing.T, f *Front) {
	t.Helper()
	byhand.Until(t, "end of the process", f.readingStopped.Load)
}

// shutdownNow has the front shut down by a context that is over, and tells when it has.
func shutdownNow(f *Front) <-chan struct{} {
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
func TestShutdownWaitsForResponses(t *testing.T) {
	asked := make(chan chan<- core.SubmitResponse, 1)
	f, _ := serveHooked(t, deferredCore{submitted: asked}, Options{MaxConnections: 1})
	c := dial(t, f)
	io.WriteString(c.conn, putRequest)
	answer := byhand.Await(t, asked, "request")
	f.CloseListener()
	done := shutdownNow(f)
	waitReadingStopped(t, f)
	select {
	case <-done:
		t.Error("the front is shut down with a request unanswered")
	case <-time.After(permit.MaxStall):
	}
	answer <- core.SubmitResponse{}
	if got := c.readLine(); got != "+OK" {
		t.Errorf("answer %q", got)
	}
	if got := c.readToEOF(); got != "" {
		t.Errorf("more: %q", got)
	}
	<-done
}

// blockingCore holds its clients up, as a process does that is held up itself, until the test lets them go.
type blockingCore struct {
	countingCore
	submitted, proceed chan struct{}
}

func (b *blockingCore) Submit(m *message.Message, answer chan<- core.SubmitResponse) {
	b.submitted <- struct{}{}
	<-b.proceed
	b.countingCore.Submit(m, answer)
}

// The rest of a request was read while the process ended, and nobody waited for its answer: what has come only in part
// by then is turned away, and nothing more is read.
func TestNoReadAfterShutdown(t *testing.T) {
	b := &blockingCore{submitted: make(chan struct{}, 2), proceed: make(chan struct{})}
	f, _ := serveHooked(t, b, Options{MaxConnections: 1})
	c := dial(t, f)
	half := len(putRequest) / 2
	io.WriteString(c.conn, putRequest+putRequest[:half])
	byhand.Await(t, b.submitted, "request")
	f.CloseListener()
	done := shutdownNow(f)
	waitReadingStopped(t, f)
	close(b.proceed)
	if got := c.readLine(); got != "+OK" {
		t.Errorf("answer %q", got)
	}
	c.conn.SetReadDeadline(time.Now().Add(drainTimeout / 2))
	if got, err := c.r.ReadString('\n'); err != nil || got != "-BUSY\r\n" {
		t.Errorf("a request that has come in part gets %q, %v", got, err)
	}
	io.WriteString(c.conn, putRequest[half:])
	<-done
	if n := b.accepted(); n != 1 {
		t.Errorf("%d requests are acted upon", n)
	}
}

// Requests that were read together with the one on which a connection ends for its errors got no answer.
func TestTooManyErrorsAnswersBuffered(t *testing.T) {
	f, _ := serveHooked(t, acceptingCore{}, Options{MaxConnections: 1})
	c := dial(t, f)
	for i := range maxConsecutiveErrors - 1 {
		if got := c.do("NONSENSE"); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("error %d: %q", i, got)
		}
	}
	const requests = 40
	io.WriteString(c.conn, strings.Repeat("*1\r\n$8\r\nNONSENSE\r\n", requests)+putRequest[:10])
	for i := range requests {
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("request %d: %q", i, got)
		}
	}
	if got := c.readLine(); got+"\r\n" != responseTooManyErrors {
		t.Errorf("the one that has come in part gets %q", got)
	}
	if got := c.readToEOF(); got != "" {
		t.Errorf("more: %q", got)
	}
}
