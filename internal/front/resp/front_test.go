package resp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/standin/byhand"
)

// acceptingCore accepts every message.
type acceptingCore struct{}

func (acceptingCore) Check(*message.Message, time.Duration) error { return nil }

func (acceptingCore) Clock() *clock.Clock { now := time.Now(); return clock.New(now.UnixMicro(), now) }

func (acceptingCore) Submit(_ *message.Message, result chan<- core.SubmitResponse) {
	result <- core.SubmitResponse{}
}

func (acceptingCore) State(_ context.Context, id string, _ bool) (core.State, error) {
	if id == "known" {
		return core.State{ID: id, Name: message.Returned, Tenant: "acme", Partner: "p", Class: "c", Attempts: 2,
			RetryAfter: 1500 * time.Millisecond, EndedAt: time.UnixMilli(1)}, nil
	}
	return core.State{ID: id}, nil
}

// serve starts a front with an accepting core.
func serve(t *testing.T, opts Options) *Front {
	t.Helper()
	opts.Listen, opts.Log = "127.0.0.1:0", slog.New(slog.DiscardHandler)
	if opts.MaxConnections == 0 {
		opts.MaxConnections = 100
	}
	f := New(acceptingCore{}, opts)
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.CloseListener)
	go f.Serve()
	return f
}

// client is the client's side of a connection.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, f *Front) *client {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(byhand.Timeout))
	return &client{t, conn, bufio.NewReader(conn)}
}

// readLine reads a line without its CRLF.
func (c *client) readLine() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if errors.Is(err, context.DeadlineExceeded) {
		c.t.Fatal("no response")
	}
	return strings.TrimRight(s, "\r\n")
}

// do sends a request and reads the first line of the response.
func (c *client) do(args ...string) string {
	c.t.Helper()
	fmt.Fprintf(c.conn, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(c.conn, "$%d\r\n%s\r\n", len(a), a)
	}
	return c.readLine()
}

// readToEOF returns what is read until the front closes the connection.
func (c *client) readToEOF() string {
	c.t.Helper()
	b, err := io.ReadAll(c.r)
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		c.t.Fatal("the connection stays open")
	}
	return string(b)
}

// Guards against idle connections that keep new clients out: the idlest is closed to make room. One with a pending
// request never is.
func TestIdlestMakesRoom(t *testing.T) {
	f := serve(t, Options{MaxConnections: 3})
	first, second, half := dial(t, f), dial(t, f), dial(t, f)
	for _, c := range []*client{first, second} {
		if got := c.do("PING"); got != "+PONG" {
			t.Fatal(got)
		}
		waitIdle(t, f) // the client may have the response before the front records it
	}
	io.WriteString(half.conn, "*1\r\n$4\r\nPI")
	byhand.WaitUntil(t, "request at the front", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		total := 0
		for s := range f.sessions {
			total += s.pending
		}
		return total == 1
	})
	fourth := dial(t, f)
	if got := fourth.do("PING"); got != "+PONG" {
		t.Errorf("a new client got %q", got)
	}
	if got := first.readToEOF(); got != "" {
		t.Errorf("the idlest got %q", got)
	}
	if got := second.do("PING"); got != "+PONG" {
		t.Errorf("the less idle client got %q", got)
	}
	io.WriteString(half.conn, "NG\r\n")
	if got := half.readLine(); got != "+PONG" {
		t.Errorf("the pending request got %q", got)
	}
}

// Guards against unbounded memory for large requests over all connections.
func TestLargeRequestsBounded(t *testing.T) {
	f := serve(t, Options{})
	for range cap(f.largeSlots) {
		f.largeSlots <- struct{}{}
	}
	if got := dial(t, f).do("PING", strings.Repeat("x", 2*smallRequestBytes)); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q", got)
	}
	for range cap(f.largeSlots) {
		<-f.largeSlots
	}
	for range 2 * cap(f.largeSlots) { // each releases its slot
		d := dial(t, f)
		if got := d.do("MSG.PUT", "0", "id", "c=safe,d=9000,dest=99", strings.Repeat("x", maxBulk)); got != "+OK" {
			t.Fatalf("got %q", got)
		}
		d.conn.Close()
	}
	for stop := time.Now().Add(byhand.Timeout); len(f.largeSlots) > 0; {
		if time.Now().After(stop) {
			t.Fatalf("%d slots were not released", len(f.largeSlots))
		}
	}
}

// Guards against a request without a response that arrived just before the front closes its connections: its client
// relies on a response.
func TestRequestBeforeShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f := New(acceptingCore{}, Options{Log: slog.New(slog.DiscardHandler)})
	f.ln, f.shuttingDown, f.draining, f.shortDeadlines = ln, true, true, true
	c := dial(t, f)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(c.conn, "*1\r\n$4\r\nPING\r\n")
	for stop := time.Now().Add(byhand.Timeout); ; {
		if _, data := netutil.Peek(conn); data {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the request did not arrive")
		}
	}
	(&session{front: f, conn: conn, openedAt: time.Now()}).serve()
	conn.Close()
	if got := c.readLine(); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	if got := c.readLine(); got != "" {
		t.Errorf("after the response: %q", got)
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Add("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=safe,d=9000,dest=1\r\n$3\r\n\r\n\x00\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		args, err := readCommand(bufio.NewReader(strings.NewReader(in)), func() error { return errNoLargeSlot })
		sum := 0
		for _, a := range args {
			sum += len(a)
		}
		if sum > smallRequestBytes || err == nil && len(args) == 0 {
			t.Errorf("%q: %d arguments, %d bytes", in, len(args), sum)
		}
		if err != nil && !errors.Is(err, errProtocol) && !errors.Is(err, errNoLargeSlot) &&
			!errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", in, err)
		}
	})
}

// Guards against closing the connections of client libraries for the commands that they send on connecting.
func TestConnectionCommands(t *testing.T) {
	c := dial(t, serve(t, Options{}))
	for _, x := range [][]string{{"-NOPROTO", "HELLO", "3"}, {"-NOPROTO", "HELLO", "3", "SETNAME", "x"},
		{"+OK", "CLIENT", "SETINFO", "LIB-NAME", "x"},
		{"+OK", "CLIENT", "SETNAME", "x"}, {"$-1", "CLIENT", "GETNAME"}, {"-ERR", "CLIENT", "KILL"}, {"-ERR", "CLIENT"},
		{"*0", "COMMAND", "DOCS"},
		{"+OK", "SELECT", "0"}, {"-ERR", "SELECT", "1"}, {"-ERR", "AUTH", "x"},
		{"-ERR", "HELLO", "2", "AUTH", "x"}, {"+OK", "QUIT"}} {
		if got := c.do(x[1:]...); !strings.HasPrefix(got, x[0]) {
			t.Errorf("%q: got %q", x[1:], got)
		}
	}
	if rest := c.readToEOF(); rest != "" {
		t.Errorf("after QUIT: %q", rest)
	}
}

// MSG.STATE returns names and values, and an empty array for an unknown message.
func TestState(t *testing.T) {
	c := dial(t, serve(t, Options{}))
	if got := c.do("MSG.STATE", "other"); got != "*0" {
		t.Errorf("got %q", got)
	}
	if got := c.do("MSG.STATE"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("got %q", got)
	}
	if got := c.do("MSG.STATE", "known"); got != "*12" {
		t.Fatalf("got %q", got)
	}
	fields := map[string]string{}
	for range 6 {
		var pair [2]string
		for i := range pair {
			c.readLine()
			pair[i] = c.readLine()
		}
		fields[pair[0]] = pair[1]
	}
	if fields["state"] != "returned" || fields["after_ms"] != "1500" || fields["tries"] != "2" ||
		fields["over"] != "1970-01-01T00:00:00.001Z" {
		t.Errorf("got %q", fields)
	}
}

// A client submits only with a token and only for the token's tenant, and reads only that tenant's messages.
func TestTokens(t *testing.T) {
	f := serve(t, Options{Tenant: func(token string) (string, bool) { return token[1:], token[0] == '!' }})
	put := func(c *client, tenant string) string {
		return c.do("MSG.PUT", "0", "a", "c=safe,d=9000,dest=p"+tenant, "x")
	}
	c := dial(t, f)
	for _, x := range []string{put(c, ""), c.do("MSG.STATE", "known")} {
		if !strings.HasPrefix(x, "-NOAUTH") {
			t.Errorf("without a token: %q", x)
		}
	}
	if got := c.do("AUTH", "?acme"); !strings.HasPrefix(got, "-WRONGPASS") {
		t.Errorf("got %q", got)
	}
	if got := c.do("AUTH", "!acme"); got != "+OK" {
		t.Errorf("got %q", got)
	}
	if got := put(c, ""); got != "+OK" {
		t.Errorf("got %q", got)
	}
	if got := put(c, ",t=acme"); got != "+OK" {
		t.Errorf("got %q", got)
	}
	if got := put(c, ",t=other"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("for another tenant: %q", got)
	}
	if got := c.do("MSG.STATE", "known"); got != "*12" {
		t.Errorf("its own: %q", got)
	}
	d := dial(t, f)
	if got := d.do("HELLO", "2", "AUTH", "default", "!other"); got != "*6" {
		t.Errorf("got %q", got)
	}
	for range 11 { // the rest of that response
		if d.readLine() == "master" {
			break
		}
	}
	if got := d.do("MSG.STATE", "known"); got != "*0" {
		t.Errorf("another's: %q", got)
	}
}

// Guards against closing new clients that are about to send their first request: a client that has had a response is
// closed first, unless silent ones hold most connections.
func TestSilentClients(t *testing.T) {
	for _, x := range []struct {
		silent int // of eight clients, the first to connect
		closed int // index of the client that is closed to make room
	}{{1, 1}, {6, 6}, {7, 0}, {8, 0}} {
		f := serve(t, Options{MaxConnections: 8})
		var all []*client
		for i := range 8 {
			all = append(all, dial(t, f))
			byhand.WaitUntil(t, "client at the front", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.sessions) == i+1
			})
			if i >= x.silent {
				if got := all[i].do("PING"); got != "+PONG" {
					t.Fatal(got)
				}
				waitIdle(t, f)
			}
		}
		if got := dial(t, f).do("PING"); got != "+PONG" {
			t.Errorf("with %d silent clients a new one got %q", x.silent, got)
		}
		for i, c := range all {
			if i == x.closed {
				if got := c.readToEOF(); got != "" {
					t.Errorf("with %d silent clients, client %d got %q", x.silent, i, got)
				}
			} else if got := c.do("PING"); got != "+PONG" {
				t.Errorf("with %d silent clients, client %d, still active, got %q", x.silent, i, got)
			}
		}
	}
}
