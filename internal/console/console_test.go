package console

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cometrack/internal/lifecycle"
	"cometrack/internal/netutil"
)

func start(t *testing.T) (*Console, *lifecycle.Controller) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	life := lifecycle.NewController(lifecycle.Timeouts{DrainGrace: time.Minute, StopTimeout: time.Hour}, log)
	c, err := Listen("127.0.0.1:0", life, log)
	if err != nil {
		t.Fatal(err)
	}
	go c.Serve()
	t.Cleanup(func() { c.Close() })
	return c, life
}

// raw sends a text on a connection of its own and returns the answer.
func raw(t *testing.T, c *Console, text string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", c.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, text)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	io.Copy(io.Discard, r.Body)
	return r
}

func call(method, path string, more ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(more, "") + "\r\n"
}

func TestCalls(t *testing.T) {
	c, life := start(t)
	steps := []struct {
		text string
		want int
	}{
		{call("GET", "/_ready"), 503}, // it has not started
		{"", 0},
		{call("GET", "/_ready"), 200},
		{call("POST", "/_lameduck/on"), 200},
		{call("POST", "/_lameduck/on"), 200},
		{call("GET", "/_ready"), 503},
		{call("POST", "/_lameduck/off", "Content-Length: 2\r\n") + "ab", 200},
		{call("POST", "/_lameduck/off", "Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n", 200},
		{call("GET", "/_ready"), 200},
		{call("GET", "/"), 404},
		{call("GET", "/_ready/"), 404},
		{call("POST", "/_ready"), 405},
		{call("GET", "/_lameduck/on"), 405},
		{call("POST", "/_lameduck/on", "Content-Length: 100000\r\n"), 413},
		{call("POST", "/_lameduck/on", "Transfer-Encoding: chunked\r\n") + "2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n0\r\n\r\n", 413},
		{"NONSENSE\r\n\r\n", 400},
		{call("GET", "/_ready", "X: "+strings.Repeat("x", 20000)+"\r\n"), 431},
		{call("GET", "/_ready"), 200}, // what was refused has changed nothing
	}
	for _, s := range steps {
		if s.text == "" {
			life.HandleEvent(lifecycle.Started)
			continue
		}
		r := raw(t, c, s.text)
		if r.StatusCode != s.want {
			t.Errorf("%.40q: %d, want %d", s.text, r.StatusCode, s.want)
		}
		if s.want == 405 && r.Header.Get("Allow") == "" {
			t.Errorf("%.40q: no Allow", s.text)
		}
		if !r.Close {
			t.Errorf("%.40q: the connection is kept", s.text)
		}
	}
	life.HandleEvent(lifecycle.Terminate)
	if r := raw(t, c, call("POST", "/_lameduck/off")); r.StatusCode != 409 {
		t.Errorf("back to work while it leaves: %d", r.StatusCode)
	}
}

// Callers that say nothing, or half a call, hold places only until others come.
func TestSilentCallers(t *testing.T) {
	c, life := start(t)
	life.HandleEvent(lifecycle.Started)
	for i := range 1000 {
		conn, err := net.Dial("tcp", c.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if i%2 == 1 {
			io.WriteString(conn, "GET /_ready HTTP/1.1\r\nHo")
		}
		if i%100 == 99 {
			at := time.Now()
			if r := raw(t, c, call("GET", "/_ready")); r.StatusCode != 200 {
				t.Fatalf("beside %d callers: %d", i+1, r.StatusCode)
			}
			if d := time.Since(at); d > time.Second {
				t.Errorf("beside %d callers: %v", i+1, d)
			}
		}
	}
}

// The oldest unfinished call makes room, never a whole one; with whole ones only, the new one goes.
func TestPlaces(t *testing.T) {
	p := newPlaces(3)
	var conns []net.Conn
	take := func() bool {
		a, _ := net.Pipe()
		conns = append(conns, a)
		return p.take(a)
	}
	for range 3 {
		take()
	}
	p.conns[conns[0]].whole = true
	for i, want := range []int{1, 2, 3} { // each new one pushes out the oldest unfinished
		if !take() || p.conns[conns[want]] != nil || p.conns[conns[0]] == nil {
			t.Fatalf("round %d: %d is still there, or the whole call is gone", i, want)
		}
	}
	for _, at := range p.conns {
		at.whole = true
	}
	if take() {
		t.Error("a whole call made room")
	}
	p.note(conns[0], http.StateClosed)
	if !take() {
		t.Error("a place that was given back is not taken")
	}
	if got := fmt.Sprint(len(p.conns)); got != "3" {
		t.Errorf("%s places", got)
	}
}

// A call that has come whole is not cut off for later ones, though nobody has read it yet.
func TestUnreadCallsKeepTheirPlaces(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := newPlaces(2)
	accept := func(text string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		in, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { in.Close() })
		if text != "" {
			if ok, err := netutil.WaitReadable(in); !ok || err != nil {
				t.Fatal(err)
			}
		}
		return in
	}
	whole, half := accept(call("GET", "/_ready")), accept("GET /_ready HTTP/1.1\r\nHost: x\r\n")
	if !p.take(whole) || !p.take(half) {
		t.Fatal("no place")
	}
	if !p.take(accept("")) || p.conns[whole] == nil || p.conns[half] != nil {
		t.Error("the whole call is cut off, or the half one is not")
	}
	read := accept("") // its head is read in two pieces
	if !p.take(read) || p.conns[whole] == nil {
		t.Fatal("no place")
	}
	p.read(read, []byte("GET /_ready HTTP/1.1\r\n"))
	p.read(read, []byte("\r\n"))
	if p.take(accept("")) {
		t.Error("a call that has been read whole is cut off")
	}
}
