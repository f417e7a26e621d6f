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

// Timeout bounds every wait for an event: it is not reached unless a test fails.
const Timeout = 20 * time.Second

// Await returns the next value of ch.
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

// WaitUntil waits for what no channel tells of: that is comes true.
func WaitUntil(t testing.TB, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(Timeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("no %s", what)
		}
	}
}

// RefusingAddr is an address that refuses connections until the test is over: its port
// is taken, and nobody listens.
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

// ReceivedCall is a whole request that has come to an endpoint.
type ReceivedCall struct {
	Req    *http.Request
	Body   string
	At     time.Time
	Conn   *net.TCPConn
	Reader *bufio.Reader
	Done   chan bool // whether the endpoint goes on reading
}

// ID is the id of the message that came.
func (c *ReceivedCall) ID() string { return c.Req.Header.Get("X-Trace-Id") }

// Reply answers and keeps the connection.
func (c *ReceivedCall) Reply(status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	io.WriteString(c.Conn, b.String()+"\r\n")
	c.Done <- true
}

// ReplyAndClose answers and closes the connection without saying so first.
func (c *ReceivedCall) ReplyAndClose(status int) {
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.Conn.Close()
	c.Done <- false
}

// Reset breaks the connection.
func (c *ReceivedCall) Reset() {
	c.Conn.SetLinger(0)
	c.Conn.Close()
	c.Done <- false
}

// AwaitEnd waits until the sender has ended its side of the connection.
func (c *ReceivedCall) AwaitEnd(t *testing.T) {
	t.Helper()
	c.Conn.SetReadDeadline(time.Now().Add(Timeout))
	if n, err := c.Reader.Read(make([]byte, 1)); n != 0 || IsTimeout(err) {
		t.Fatalf("connection goes on: %d bytes, %v", n, err)
	}
}

// Endpoint is the other side of calls: a test answers each by hand.
type Endpoint struct {
	Ln    net.Listener
	Calls chan *ReceivedCall
	Conns chan net.Conn // each that is accepted
}

// NewEndpoint listens until the test is over.
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

// Addr is where it listens.
func (e *Endpoint) Addr() string { return e.Ln.Addr().String() }

// ExpectNoCall checks that nothing has come that was not waited for.
func (e *Endpoint) ExpectNoCall(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.Calls:
		t.Fatalf("call with %s", c.ID())
	default:
	}
}

// IsTimeout says whether err is a deadline that has passed.
func IsTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
