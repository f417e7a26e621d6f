package daemon

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
)

// readUntilClosed reads until the sender closes the connection.
func (c *client) readUntilClosed() string {
	c.t.Helper()
	b, err := io.ReadAll(c.r)
	if byhand.IsTimeout(err) {
		c.t.Fatal("the connection stays open")
	}
	return string(b)
}

// A client that sends nothing, or half a request, must not keep its connection forever.
func TestSilentClients(t *testing.T) {
	n, _, _, _ := startScenario(t, 1)
	for name, input := range map[string]string{"nothing": "", "half a length": "*5",
		"half a request": "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, c := time.Now(), dial(t, n.addr)
			io.WriteString(c.Conn, input)
			got := c.readUntilClosed()
			if d := time.Since(at); d < 2*time.Second || d > 3*time.Second {
				t.Errorf("closed after %v", d)
			}
			if input != "" && !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Hundreds of pipelined requests are all answered, in order, and more than one per tick.
func TestPipelined(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	go func() {
		for in := range e[0].Calls {
			in.Reply(200)
		}
	}()
	const many = 300
	var b strings.Builder
	for i := range many {
		switch {
		case i%100 == 0:
			id := fmt.Sprint("m-", i)
			fmt.Fprintf(&b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n",
				len(id), id)
		default:
			fmt.Fprintf(&b, "*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n", i)
		}
	}
	go io.WriteString(c.Conn, b.String())
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

// A client that sends an invalid request at full speed must get the error line: closing a socket with unread input
// would discard it.
func TestErrorLineOutlivesClose(t *testing.T) {
	n, _, _, _ := startScenario(t, 1)
	c := dial(t, n.addr)
	io.WriteString(c.Conn, "*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n"+strings.Repeat("x", 500<<10))
	if got := c.readUntilClosed(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("got %q", got)
	}
}

// A client that goes on sending invalid requests is disconnected.
func TestErrorsInARow(t *testing.T) {
	n, c, _, _ := startScenario(t, 1)
	go func() {
		for {
			if _, err := io.WriteString(c.Conn, "*1\r\n$3\r\nBAD\r\n"); err != nil {
				return
			}
		}
	}()
	got := c.readUntilClosed()
	if k := strings.Count(got, "-ERR unknown command"); k < 16 || k > 32 {
		t.Errorf("%d errors before the close", k)
	}
	stopClean(t, n)
}

// With an empty list at the start the destinations are not known, so clients are asked to retry. Once discovery has
// sent a list, an unknown destination is an error.
func TestUnknownDestination(t *testing.T) {
	p, e := discovery.New(t), byhand.NewEndpoint(t)
	p.Silent = true
	n := startSender(t, p, t.TempDir(), platform.List{})
	c := dial(t, n.addr)
	c.put("a", "safe", "-BUSY 1000")
	p.Set(func() { p.Silent, p.List = false, platform.List{Generation: 1, Reset: true, Instances: instances(e)} })
	awaitListRequest(t, p, 1)
	c.put("b", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	if got := c.do("MSG.PUT", "0", "c", "c=safe,d=9000,dest=2", "x"); got != "-ERR unknown destination" {
		t.Errorf("got %q", got)
	}
	stopClean(t, n)
}

// The connections of clients and the calls together stay within the descriptors, and each kind has its minimum.
func TestDivideDescriptors(t *testing.T) {
	for sockets := 128; sockets <= 4096; sockets *= 2 {
		for _, slots := range []int{0, 6, 60, 300} {
			const files = 18
			s := divideDescriptors(sockets, slots, files, 0)
			if s.clients+s.ending+s.calls+reservedDescriptors+files > sockets || s.idle > s.calls ||
				s.clients*3 < sockets-reservedDescriptors || s.ending < minEnding {
				t.Errorf("%d sockets, %d slots: %+v", sockets, slots, s)
			}
		}
	}
}
