package byhand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Timeout bounds every wait for an event. It is not reached unless a test fails.
const Timeout = 20 * time.Second

// Await returns the next value of ch. It fails the test if ch is closed or there is no value in time. what
// names the awaited value in the failure.
func Await[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(Timeout):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// WaitUntil polls until is returns true, for events that no channel reports. It fails the test if that takes
// too long. what names the event in the failure.
func WaitUntil(t testing.TB, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(Timeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("no %s", what)
		}
	}
}

// RefusingAddr returns an address that refuses connections until the test has ended: its port is bound, and no
// socket listens on it.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*syscall.SockaddrInet4).Port))
}

// ReceivedCall is a complete request that an endpoint has received.
type ReceivedCall struct {
	Req    *http.Request // its Body has been read already
	Body   string
	At     time.Time     // when the whole request had been read
	Conn   *net.TCPConn  // to write a response to
	Reader *bufio.Reader // of Conn, with the bytes that were read ahead
	// Done receives whether the endpoint keeps reading from the connection. Reply, ReplyAndClose and Reset
	// send to it; a test that writes to Conn itself must do so once.
	Done chan bool
}

// ID returns the id of the message.
func (c *ReceivedCall) ID() string { return c.Req.Header.Get("X-Trace-Id") }

// Reply answers the call with an empty body and keeps the connection open. Each header has the form
// "Name: value".
func (c *ReceivedCall) Reply(status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	io.WriteString(c.Conn, b.String()+"\r\n")
	c.Done <- true
}

// ReplyAndClose answers the call with an empty body and closes the connection without announcing it in a
// header.
func (c *ReceivedCall) ReplyAndClose(status int) {
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.Conn.Close()
	c.Done <- false
}

// Reset resets the connection without a response.
func (c *ReceivedCall) Reset() {
	c.Conn.SetLinger(0)
	c.Conn.Close()
	c.Done <- false
}

// AwaitEnd waits until the sender has closed its side of the connection. It fails the test if the sender
// sends anything more or does not close it in time. It must be called before Done has received true, since
// the endpoint then reads from the connection itself.
func (c *ReceivedCall) AwaitEnd(t *testing.T) {
	t.Helper()
	c.Conn.SetReadDeadline(time.Now().Add(Timeout))
	if n, err := c.Reader.Read(make([]byte, 1)); n != 0 || IsTimeout(err) {
		t.Fatalf("connection is still open: read %d bytes, %v", n, err)
	}
}

// Endpoint is an endpoint whose calls the test answers.
type Endpoint struct {
	Ln    net.Listener       // a test may close it earlier, to refuse connections
	Calls chan *ReceivedCall // each call, to be answered by the test
	Conns chan net.Conn      // each accepted connection
}

// NewEndpoint starts an endpoint that listens until the test has ended.
func NewEndpoint(t *testing.T) *Endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &Endpoint{Ln: ln, Calls: make(chan *ReceivedCall, 64), Conns: make(chan net.Conn, 64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.Conns <- conn
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e
}

// serve reads calls from a connection, one after the other, until it ends or the test keeps it.
func (e *Endpoint) serve(conn *net.TCPConn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			conn.Close()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			conn.Close()
			return
		}
		c := &ReceivedCall{Req: req, Body: string(body), At: time.Now(), Conn: conn, Reader: r, Done: make(chan bool, 1)}
		e.Calls <- c
		if !<-c.Done {
			return
		}
	}
}

// Addr returns the address at which the endpoint listens.
func (e *Endpoint) Addr() string { return e.Ln.Addr().String() }

// ExpectNoCall fails the test if Calls holds a call that the test has not received.
func (e *Endpoint) ExpectNoCall(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.Calls:
		t.Fatalf("call with %s", c.ID())
	default:
	}
}

// IsTimeout reports whether err is a network timeout.
func IsTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
