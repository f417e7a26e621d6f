package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// relayPair is two parties that reach each other through relays only.
type relayPair struct {
	net     *network
	relays  []string     // addresses of the relays, by party
	targets []string     // addresses of the parties themselves
	lock    net.Listener // reserves the address range, as in Fleet
}

// newPair opens the relays of two parties on a free range of loopback addresses.
func newPair(t *testing.T) *relayPair {
	t.Helper()
	p := &relayPair{}
	base := ""
	for x := 16; x < 250 && p.lock == nil; x++ {
		base = fmt.Sprintf("127.%d", x)
		p.lock, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", base, ClusterPort))
	}
	for i := range 2 {
		p.relays = append(p.relays, fmt.Sprintf("%s.2.%d:%d", base, i+1, ClusterPort))
		p.targets = append(p.targets, fmt.Sprintf("%s.1.%d:%d", base, i+1, ClusterPort))
	}
	var err error
	if p.net, err = newNetwork(p.relays, p.targets, 7); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.net.close(); p.lock.Close() })
	return p
}

// socket opens the UDP socket of party i.
func (p *relayPair) socket(t *testing.T, i int) *net.UDPConn {
	t.Helper()
	at, _ := net.ResolveUDPAddr("udp", p.targets[i])
	c, err := net.ListenUDP("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadBuffer(4 << 20)
	t.Cleanup(func() { c.Close() })
	return c
}

// The faults of a link affect its direction only: loss, duplication and cuts must not affect the
// opposite direction.
func TestDatagrams(t *testing.T) {
	p := newPair(t)
	a, b := p.socket(t, 0), p.socket(t, 1)
	toB, _ := net.ResolveUDPAddr("udp", p.relays[1])
	const n = 1000
	countUntil := func(c *net.UDPConn, mark string) (count int, from string) { // the mark is sent without faults
		buf := make([]byte, 100)
		for {
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			size, src, err := c.ReadFromUDP(buf)
			if err != nil {
				t.Fatalf("%d datagrams, then %v", count, err)
			}
			if string(buf[:size]) == mark {
				return count, src.String()
			}
			count++
		}
	}
	for _, x := range []struct {
		faults   Faults
		low, top int
	}{{Faults{}, n, n}, {Faults{Loss: 0.3}, n * 6 / 10, n * 8 / 10},
		{Faults{Duplicate: 0.5}, n * 14 / 10, n * 16 / 10}, {Faults{Cut: true}, 0, 0}} {
		p.net.links[0][1].set(x.faults)
		for i := range n {
			a.WriteToUDP([]byte("x"), toB)
			if i%50 == 49 { // lets the relay keep up
				p.net.links[0][1].awaitCurrentDatagram()
			}
		}
		for stop := time.Now().Add(5 * time.Second); ; { // until the relay has handled all
			p.net.links[0][1].mu.Lock()
			done := p.net.links[0][1].forwarded+p.net.links[0][1].lost == n
			p.net.links[0][1].mu.Unlock()
			if done || time.Now().After(stop) {
				break
			}
		}
		p.net.links[0][1].set(Faults{})
		a.WriteToUDP([]byte("mark"), toB)
		count, from := countUntil(b, "mark")
		if count < x.low || count > x.top || from != p.relays[0] {
			t.Errorf("%+v: %d of %d datagrams from %s, want %d to %d from %s", x.faults, count, n, from, x.low, x.top, p.relays[0])
		}
		src, _ := net.ResolveUDPAddr("udp", from)
		p.net.links[0][1].set(x.faults)
		b.WriteToUDP([]byte("back"), src)
		if count, from := countUntil(a, "back"); count != 0 || from != p.relays[1] {
			t.Errorf("%+v: opposite direction: %d, from %s", x.faults, count, from)
		}
		p.net.links[0][1].mu.Lock()
		p.net.links[0][1].forwarded, p.net.links[0][1].lost = 0, 0
		p.net.links[0][1].mu.Unlock()
		p.net.links[0][1].set(Faults{})
	}
}

// A stream can be cut in one direction with both connections open, cut within a frame, and reset;
// connections to a sender that is not running are refused.
func TestStreams(t *testing.T) {
	p := newPair(t)
	ln, err := net.Listen("tcp", p.targets[1])
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	host, _, _ := net.SplitHostPort(p.targets[0])
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: 5 * time.Second}
	open := func() (c, s net.Conn) {
		t.Helper()
		c, err := d.Dial("tcp", p.relays[1])
		if err != nil {
			t.Fatal(err)
		}
		if s, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		s.SetDeadline(time.Now().Add(5 * time.Second))
		return c, s
	}
	expect := func(c net.Conn, want string) {
		t.Helper()
		b := make([]byte, len(want))
		if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
			t.Fatalf("%q, %v; want %q", b, err, want)
		}
	}
	expectSilence := func(c net.Conn) {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		var late net.Error
		if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.As(err, &late) || !late.Timeout() {
			t.Fatalf("%d bytes, %v; want a timeout", n, err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
	}
	c, s := open()
	p.net.links[0][1].set(Faults{Cut: true})
	io.WriteString(c, "lost")
	io.WriteString(s, "back")
	expect(c, "back")
	expectSilence(s)
	p.net.links[0][1].set(Faults{})
	io.WriteString(c, "again")
	expect(s, "again")
	p.net.links[0][1].reset()
	if _, err := s.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	p.net.links[0][1].set(Faults{CutAfter: 7})
	c, s = open()
	io.WriteString(c, "a frame that ends too soon")
	expect(s, "a frame")
	expectSilence(s)
	c.Close()
	p.net.relays[1].stopListening()
	if _, err := d.Dial("tcp", p.relays[1]); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("not running: %v", err)
	}
}

// An invalid script is rejected with a message that names the mistake.
func TestScripts(t *testing.T) {
	for _, x := range [][2]string{{"[[event]]\ndo = \"kill\"\nwho = [3]\n", "no sender 3"}, {"[[event]]\ndo = \"bomb\"\n", `"bomb" is none of`},
		{"[[event]]\ndo = \"link\"\nloss = 1.5\n", "not a share"},
		{"[[event]]\ndo = \"kill\"\n", "processes have who"}} {
		path := t.TempDir() + "/s.toml"
		writeFile(t, path, "senders = 2\n"+x[0])
		if _, err := LoadScript(path); err == nil || !strings.Contains(err.Error(), x[1]) {
			t.Errorf("%q: %v", x[0], err)
		}
	}
}
