package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// ended reads until the sender closes the connection.
func (c *client) ended() string {
	c.t.Helper()
	b, err := io.ReadAll(c.r)
	if isTimeout(err) {
		c.t.Fatal("the connection stays open")
	}
	return string(b)
}

// A client that says nothing, or half a request, would keep its place for good.
func TestSilentClients(t *testing.T) {
	n, _, _, _ := world(t, 1)
	for name, said := range map[string]string{"nothing": "", "half a length": "*5", "half a request": "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, c := time.Now(), dial(t, n.addr)
			io.WriteString(c.conn, said)
			got := c.ended()
			if d := time.Since(at); d < 2*time.Second || d > 3*time.Second {
				t.Errorf("closed after %v", d)
			}
			if said != "" && !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Connections that asked once and stay must not keep new clients out: the idlest makes room. One with a request
// under way never does.
func TestFullOfClients(t *testing.T) {
	n, first, _, e := world(t, 1, func(n *Node) { n.clients.most = 3 })
	first.put("a", "safe", "+OK")
	await(t, e[0].calls, "call").reply(200)
	second := dial(t, n.addr)
	second.put("b", "safe", "+OK")
	await(t, e[0].calls, "call").reply(200)
	half := dial(t, n.addr)
	io.WriteString(half.conn, "*1\r\n$4\r\nPI")
	for stop := time.Now().Add(patience); ; { // until the sender has it
		n.clients.mu.Lock()
		begun := 0
		for s := range n.clients.sessions {
			begun += s.open
		}
		n.clients.mu.Unlock()
		if begun == 1 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the request does not come")
		}
	}
	fourth := dial(t, n.addr)
	if got := fourth.do("PING"); got != "+PONG" {
		t.Errorf("a new client gets %q", got)
	}
	if got := first.ended(); got != "" {
		t.Errorf("the idlest got %q", got)
	}
	if got := second.do("PING"); got != "+PONG" {
		t.Errorf("one that is less idle gets %q", got)
	}
	io.WriteString(half.conn, "NG\r\n")
	if got := half.line(); got != "+PONG" {
		t.Errorf("a request under way gets %q", got)
	}
	stopClean(t, n)
}

// Hundreds of requests at once are answered each, in order, and not at one a tick.
func TestPipelined(t *testing.T) {
	n, c, _, e := world(t, 1)
	go func() {
		for in := range e[0].calls {
			in.reply(200)
		}
	}()
	const many = 300
	var b strings.Builder
	for i := range many {
		switch {
		case i%100 == 0:
			id := fmt.Sprint("m-", i)
			fmt.Fprintf(&b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n", len(id), id)
		default:
			fmt.Fprintf(&b, "*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n", i)
		}
	}
	go io.WriteString(c.conn, b.String())
	for i := range many {
		if got := c.line(); i%100 == 0 {
			if got != "+OK" {
				t.Errorf("answer %d: %q", i, got)
			}
		} else if body := c.line(); got != "$3" || body != fmt.Sprintf("%03d", i) {
			t.Fatalf("answer %d: %q %q", i, got, body)
		}
	}
	stopClean(t, n)
}

// A client that sends at full speed what can't be read gets its error line all the same: a close with unread input
// would destroy it.
func TestErrorLineOutlivesClose(t *testing.T) {
	n, _, _, _ := world(t, 1)
	c := dial(t, n.addr)
	io.WriteString(c.conn, "*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n"+strings.Repeat("x", 500<<10))
	if got := c.ended(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("got %q", got)
	}
}

// The same again and again is turned away for good.
func TestErrorsInARow(t *testing.T) {
	n, c, _, _ := world(t, 1)
	go func() {
		for {
			if _, err := io.WriteString(c.conn, "*1\r\n$3\r\nBAD\r\n"); err != nil {
				return
			}
		}
	}()
	got := c.ended()
	if k := strings.Count(got, "-ERR unknown command"); k < maxErrors || k > maxErrors+maxPipelined {
		t.Errorf("%d errors before the close", k)
	}
	stopClean(t, n)
}

// What large requests hold is bounded over all connections.
func TestLargeRequestsBounded(t *testing.T) {
	n, c, _, _ := world(t, 1)
	for range cap(n.clients.large) {
		n.clients.large <- struct{}{}
	}
	if got := c.do("PING", strings.Repeat("x", 2*smallRequest)); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q", got)
	}
	for range cap(n.clients.large) {
		<-n.clients.large
	}
	d := dial(t, n.addr)
	for range 2 * cap(n.clients.large) { // each gives its place back
		if got := d.do("MSG.PUT", "0", "id", "c=safe,d=9000,dest=99", strings.Repeat("x", maxBulk)); !strings.HasPrefix(got, "-") {
			t.Fatalf("got %q", got)
		}
		d.conn.Close()
		d = dial(t, n.addr)
	}
	for stop := time.Now().Add(patience); len(n.clients.large) > 0; {
		if time.Now().After(stop) {
			t.Fatalf("%d places are not given back", len(n.clients.large))
		}
	}
}

// A start with an empty list: nobody knows what there is, so clients are asked to come again; once discovery has
// told, an unknown destination is an error.
func TestUnknownDestination(t *testing.T) {
	p, e := newPlatform(t), newEndpoint(t)
	p.silent = true
	n := startNode(t, p, t.TempDir(), List{})
	c := dial(t, n.addr)
	c.put("a", "safe", "-BUSY 1000")
	p.set(func() { p.silent, p.list = false, List{Generation: 1, Reset: true, Instances: instances(e)} })
	taken(t, p, 1)
	c.put("b", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	if got := c.do("MSG.PUT", "0", "c", "c=safe,d=9000,dest=2", "x"); got+"\r\n" != answerUnknown {
		t.Errorf("got %q", got)
	}
	stopClean(t, n)
}

// Clients' connections and calls together stay within the descriptors; a call without one left says nothing of the
// endpoint, and an idle connection makes room.
func TestShares(t *testing.T) {
	for sockets := 128; sockets <= 4096; sockets *= 2 {
		for _, slots := range []int{0, 6, 60, 300} {
			cfg := &Config{Limits: Limits{Sockets: sockets}}
			cfg.Deploy.Settings.Slots = slots
			s := shareOut(cfg)
			if s.clients+s.calls+otherSockets > sockets || s.idle > s.calls || s.clients*3 < sockets-otherSockets {
				t.Errorf("%d sockets, %d slots: %+v", sockets, slots, s)
			}
		}
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Add("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=safe,d=9000,dest=1\r\n$3\r\n\r\n\x00\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		args, err := readCommand(newReader(in), func() error { return errNoPlace })
		sum := 0
		for _, a := range args {
			sum += len(a)
		}
		if sum > smallRequest || err == nil && len(args) == 0 {
			t.Errorf("%q: %d arguments, %d bytes", in, len(args), sum)
		}
		if err != nil && !errors.Is(err, errProtocol) && !errors.Is(err, errNoPlace) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", in, err)
		}
	})
}
