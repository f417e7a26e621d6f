package resp

import (
	"context"
	"errors"
	"fmt"
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

// countingCore accepts every message and counts them.
type countingCore struct {
	acceptingCore
	mu sync.Mutex
	n  int
}

func (c *countingCore) Submit(m *message.Message, result chan<- core.SubmitResponse) {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
	c.acceptingCore.Submit(m, result)
}

func (c *countingCore) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// hookedConn is a front's side of a connection. It calls beforeClose once, before the front first closes it or its
// write side.
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

// hookedListener accepts hooked connections.
type hookedListener struct {
	net.Listener
	accepted    chan *net.TCPConn
	beforeClose chan func(net.Conn) // hooks for the connections to come; none while it is empty
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

// serveHooked starts a front with a hooked listener.
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
		t.Fatal("the front did not adopt the listener")
	}
	go f.Serve()
	return f, l
}

const putRequest = "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nlate\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n"

// Guards against a reset, a lost response and an executed request when a request arrives between the front's last look
// at an idle connection and its close. The client must read every response that is due and an orderly end of the
// stream, so that it sends the request again elsewhere. The last response may still be in the send buffer.
func TestRequestDuringClose(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, f *Front){
		"to make room": func(t *testing.T, f *Front) {
			if got := dial(t, f).do("PING"); got != "+PONG" {
				t.Errorf("the new client got %q", got)
			}
		},
		"at a drain": func(t *testing.T, f *Front) { f.DisableKeepAlives(true) },
		"at the end of the process": func(t *testing.T, f *Front) {
			f.CloseListener()
			go f.Shutdown(t.Context(), true)
		},
	} {
		for _, corked := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", response in the send buffer"}[corked], func(t *testing.T) {
				t.Parallel()
				counter := &countingCore{}
				f, l := serveHooked(t, counter, Options{MaxConnections: 1})
				connected, sent := make(chan *client, 1), make(chan bool, 1)
				l.beforeClose <- func(conn net.Conn) {
					c := <-connected
					io.WriteString(c.conn, putRequest)
					byhand.WaitUntil(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
					sent <- true
				}
				c := dial(t, f)
				conn := byhand.Await(t, l.accepted, "connection")
				if corked {
					raw, _ := conn.SyscallConn()
					raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
				}
				io.WriteString(c.conn, "*1\r\n$4\r\nPING\r\n")
				byhand.WaitUntil(t, "response", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					for s := range f.sessions {
						return s.served && s.pending == 0
					}
					return false
				})
				connected <- c
				end(t, f)
				byhand.Await(t, sent, "request before the close")
				if got, err := io.ReadAll(c.r); err != nil || string(got) != "+PONG\r\n" {
					t.Errorf("the client read %q, %v", got, err)
				}
				c.conn.Close()
				byhand.WaitUntil(t, "end of the connection", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return f.lingering == 0
				})
				if n := counter.accepted(); n != 0 {
					t.Errorf("%d messages were accepted after the close", n)
				}
			})
		}
	}
}

// waitIdle waits until the front has no pending request.
func waitIdle(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "idle front", func() bool {
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

// idleClients connects n clients that send one request each and stay connected.
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

// Guards against an unbounded number of connections that the front has closed and their clients have not. The one
// that has lingered longest is closed, and new clients are served.
func TestLingeringConnectionsBounded(t *testing.T) {
	const active, lingering = 3, 2
	f := serve(t, Options{MaxConnections: active, MaxLingering: lingering})
	all := idleClients(t, f, active+lingering+4)
	f.mu.Lock()
	if n := len(f.sessions); n > active+lingering || f.lingering > lingering {
		t.Errorf("%d connections, %d of them lingering", n, f.lingering)
	}
	f.mu.Unlock()
	for i, c := range all {
		if i < len(all)-active {
			if got := c.readToEOF(); got != "" {
				t.Errorf("client %d got %q", i, got)
			}
		} else if got := c.do("PING"); got != "+PONG" {
			t.Errorf("client %d, still active, got %q", i, got)
		}
	}
}

// Guards against a shutdown that waits too long for clients that never close their side.
func TestShutdownDuration(t *testing.T) {
	for name, shortDeadlines := range map[string]bool{"at a handover": false, "at the end of the process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := serve(t, Options{})
			all := idleClients(t, f, 20)
			ctx, stop := context.WithTimeout(t.Context(), byhand.Timeout)
			defer stop()
			start := time.Now()
			f.CloseListener()
			f.Shutdown(ctx, shortDeadlines)
			took, limit := time.Since(start), core.LifecycleTimes.StopTimeout-core.LifecycleTimes.DrainGrace
			if took > limit {
				t.Errorf("shutdown took %v, limit %v", took, limit)
			}
			t.Logf("shutdown took %v", took)
			for _, c := range all {
				if got := c.readToEOF(); got != "" {
					t.Errorf("a client got %q", got)
				}
			}
		})
	}
}

// Guards against a connection that stays open until its idle timeout when the front began to drain while a response was
// pending. It must be closed right after the response.
func TestResponseDuringDrain(t *testing.T) {
	deferred := deferredCore{acceptingCore{}, make(chan chan<- core.SubmitResponse, 1)}
	f, _ := serveHooked(t, deferred, Options{MaxConnections: 2})
	c := dial(t, f)
	io.WriteString(c.conn, putRequest)
	result := byhand.Await(t, deferred.submitted, "message")
	f.DisableKeepAlives(true)
	start := time.Now()
	result <- core.SubmitResponse{}
	if got := c.readToEOF(); got != "+OK\r\n" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(start); took >= idleTimeout {
		t.Errorf("the connection was closed only after %v", took)
	}
}

// deferredCore leaves the responses to submitted messages to the test.
type deferredCore struct {
	acceptingCore
	submitted chan chan<- core.SubmitResponse
}

func (l deferredCore) Submit(_ *message.Message, result chan<- core.SubmitResponse) {
	l.submitted <- result
}

// Guards against a lingering connection whose client never stops sending: only maxLingerBytes are read.
func TestLingeringReadBounded(t *testing.T) {
	f := serve(t, Options{MaxConnections: 1})
	c := idleClients(t, f, 1)[0]
	idleClients(t, f, 1) // closes the first one to make room
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
		t.Errorf("the front read %d bytes: %v", sent, err)
	}
}

// Guards against a request without a response: its connection is closed to make room while a part of it has arrived, and
// the last byte is written before the client sees the close. It gets -BUSY, so that the client may hand it in again; an
// error would end the message.
func TestPartialRequestEvicted(t *testing.T) {
	for name, rest := range map[string]string{"stays partial": "", "is completed": "NG\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, Options{MaxConnections: 1})
			half := dial(t, f)
			io.WriteString(half.conn, "*1\r\n$4\r\nPI")
			awaitPartialRequest(t, f)
			if got := dial(t, f).do("PING"); got != "+PONG" {
				t.Errorf("a new client got %q", got)
			}
			io.WriteString(half.conn, rest)
			if got := half.readToEOF(); got != "-BUSY\r\n" {
				t.Errorf("the client of the partial request got %q", got)
			}
		})
	}
}

// awaitPartialRequest waits until a front has read a part of a request.
func awaitPartialRequest(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "request at the front", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			if s.partial && s.lastRead.Load() != 0 {
				return true
			}
		}
		return false
	})
}

// Guards against a request without a response: a large one that comes in pieces gives up its slot for another, and the
// last piece is written around the close.
func TestSlowLargeRequestCrossesClose(t *testing.T) {
	const rounds = 60
	f := serve(t, Options{LargeRequestBytes: rounds * maxRequestBytes})
	body := strings.Repeat("x", 2*smallRequestBytes)
	request := fmt.Sprintf("*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", len(body), body)
	clients := make([]*client, rounds)
	for i := range clients {
		clients[i] = dial(t, f)
		io.WriteString(clients[i].conn, request[:len(request)-1])
		byhand.WaitUntil(t, "slot", func() bool { return len(f.largeSlots) == i+1 })
	}
	f.mu.Lock()
	for s := range f.sessions {
		s.requestBegan = s.requestBegan.Add(-time.Second) // they are slow
	}
	f.mu.Unlock()
	for i, c := range clients {
		if i%2 == 0 {
			f.closeSlowLarge()
		}
		io.WriteString(c.conn, request[len(request)-1:])
		if i%2 == 1 {
			f.closeSlowLarge()
		}
	}
	for i, c := range clients {
		if answer, _ := c.r.ReadString('\n'); answer != "-BUSY\r\n" && !strings.HasPrefix(answer, "-ERR PING takes") {
			t.Errorf("request %d got %q", i, answer)
		}
	}
}

// Guards against a request without a response on a new connection that finds no place: all others have requests whose
// responses are pending.
func TestRequestOnRefusedConnection(t *testing.T) {
	f, backend := servePaused(t, true)
	f.mu.Lock()
	f.limits.Active, f.opts.MaxConnections = 1, 1
	f.mu.Unlock()
	busy := dial(t, f)
	fmt.Fprint(busy.conn, puts(1))
	byhand.WaitUntil(t, "submission", func() bool { submitted, _ := backend.counts(); return submitted == 1 })
	if got := dial(t, f).do("MSG.PUT", "0", "id", "c=safe,d=9000,dest=1", "x"); got != "-BUSY" {
		t.Errorf("the refused client got %q", got)
	}
	backend.resume()
	if got := busy.readLine(); got != "+OK" {
		t.Errorf("the other one got %q", got)
	}
}

// tcpPair returns both sides of a TCP connection.
func tcpPair(t *testing.T) (accepted, dialed net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if dialed, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); dialed.Close() })
	return accepted, dialed
}

// Guards against the close of a request whose last bytes have arrived and are only not read yet.
func TestArrivedLargeRequestKeepsItsSlot(t *testing.T) {
	ours, theirs := tcpPair(t)
	f := New(acceptingCore{}, Options{MaxConnections: 1})
	s := &session{front: f, conn: ours, openedAt: time.Now(), hasLargeSlot: true, partial: true,
		requestBegan: time.Now().Add(-time.Second)}
	f.sessions[s] = struct{}{}
	io.WriteString(theirs, "x")
	byhand.WaitUntil(t, "bytes at the front", s.hasUnreadBytes)
	if f.closeSlowLarge(); !s.lingeringSince.IsZero() {
		t.Error("closed though the next bytes have arrived")
	}
	theirs.Close()
	ours.Read(make([]byte, 1))
	if f.closeSlowLarge(); s.lingeringSince.IsZero() {
		t.Error("not closed")
	}
}

// Guards against a lost request that arrives after its connection was picked to be closed and before its goroutine
// notices. It is served, and the connection is active again.
func TestRequestBeforeCloseTakesEffect(t *testing.T) {
	f, l := serveHooked(t, &countingCore{}, Options{MaxConnections: 1})
	c := dial(t, f)
	conn := byhand.Await(t, l.accepted, "connection")
	if got := c.do("PING"); got != "+PONG" {
		t.Fatal(got)
	}
	waitIdle(t, f)
	f.mu.Lock() // keeps the reader from going on
	var s *session
	for s = range f.sessions {
	}
	io.WriteString(c.conn, putRequest)
	byhand.WaitUntil(t, "request at the front", func() bool { _, data := netutil.Peek(conn); return data })
	s.startLingering()
	s.conn.SetReadDeadline(time.Now())
	f.mu.Unlock()
	if got := c.readLine(); got != "+OK" {
		t.Errorf("got %q", got)
	}
	f.mu.Lock()
	if f.lingering != 0 || len(f.sessions) != 1 {
		t.Errorf("%d connections, %d of them lingering", len(f.sessions), f.lingering)
	}
	f.mu.Unlock()
}

// stoppingCore accepts every message, and has the front stop reading at the first one.
type stoppingCore struct {
	acceptingCore
	front **Front
}

func (c stoppingCore) Submit(m *message.Message, result chan<- core.SubmitResponse) {
	(*c.front).readingStopped.Store(true)
	c.acceptingCore.Submit(m, result)
}

// Guards against lost pipelined requests: those that were read together with one that is being served when the front
// stops reading get a response too.
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

// waitReadingStopped waits until the front reads nothing more from its connections.
func waitReadingStopped(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "end of reading", f.readingStopped.Load)
}

// shutdownNow shuts the front down with a context that is done. The channel is closed when Shutdown has returned.
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

// Guards against a connection closed before the response to a request that was read: a process that stalls for 0.15 s
// used to end first. Shutdown waits for the response.
func TestShutdownWaitsForResponses(t *testing.T) {
	submitted := make(chan chan<- core.SubmitResponse, 1)
	f, _ := serveHooked(t, deferredCore{submitted: submitted}, Options{MaxConnections: 1})
	c := dial(t, f)
	io.WriteString(c.conn, putRequest)
	result := byhand.Await(t, submitted, "request")
	f.CloseListener()
	done := shutdownNow(f)
	waitReadingStopped(t, f)
	select {
	case <-done:
		t.Error("the front is shut down with a request unanswered")
	case <-time.After(permit.MaxStall):
	}
	result <- core.SubmitResponse{}
	if got := c.readLine(); got != "+OK" {
		t.Errorf("response %q", got)
	}
	if got := c.readToEOF(); got != "" {
		t.Errorf("more: %q", got)
	}
	<-done
}

// blockingCore blocks each submission until the test lets it proceed, like a stalled process.
type blockingCore struct {
	countingCore
	submitted, proceed chan struct{}
}

func (b *blockingCore) Submit(m *message.Message, result chan<- core.SubmitResponse) {
	b.submitted <- struct{}{}
	<-b.proceed
	b.countingCore.Submit(m, result)
}

// Guards against a request whose last bytes are read after the front has stopped reading, when Shutdown no longer waits
// for its response. A request that is partial by then is rejected as busy, and nothing more is read.
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
		t.Errorf("response %q", got)
	}
	c.conn.SetReadDeadline(time.Now().Add(drainTimeout / 2))
	if got, err := c.r.ReadString('\n'); err != nil || got != "-BUSY\r\n" {
		t.Errorf("the partial request got %q, %v", got, err)
	}
	io.WriteString(c.conn, putRequest[half:])
	<-done
	if n := b.accepted(); n != 1 {
		t.Errorf("%d requests were executed", n)
	}
}

// Guards against requests without a response when a connection is closed for too many errors: those that were read
// together with the last erroneous one must get an error too.
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
		t.Errorf("the partial request got %q", got)
	}
	if got := c.readToEOF(); got != "" {
		t.Errorf("more: %q", got)
	}
}
