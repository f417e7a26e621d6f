package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/sink"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/traffic"
)

func startPartner(t *testing.T, opts partner.Options) *partner.Partner {
	t.Helper()
	p, err := partner.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// testDaemon is a standalone daemon under test that runs in this process.
type testDaemon struct {
	*Standalone
	t    *testing.T
	stop context.CancelFunc
	done chan error
}

func startDaemon(t *testing.T, text string) *testDaemon {
	t.Helper()
	f, err := config.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewStandalone(t.Context(), f,
		lifecycle.NewController(core.LifecycleTimes, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &testDaemon{Standalone: s, t: t, stop: stop, done: make(chan error, 1)}
	go func() { a.done <- s.Run(ctx, nil, nil) }()
	t.Cleanup(stop)
	awaitClosed(t, s.core.Ready(), "ready daemon")
	return a
}

func (a *testDaemon) stopAndWait() {
	a.t.Helper()
	a.stop()
	if err := byhand.Await(a.t, a.done, "end of the daemon"); err != nil {
		a.t.Fatal(err)
	}
}

// state requests the state of a message over HTTP. It is empty if the message is unknown.
func state(t *testing.T, addr, id, wait string) string {
	t.Helper()
	s, err := traffic.State(addr, id, wait)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// respState requests the state of a message over RESP2.
func respState(t *testing.T, c *client, id string) string {
	t.Helper()
	c.send("MSG.STATE", id)
	head := c.line()
	n := 0
	if _, err := fmt.Sscanf(head, "*%d", &n); err != nil {
		t.Fatalf("MSG.STATE %s: %q", id, head)
	}
	values := map[string]string{}
	for range n / 2 {
		c.line()
		name := c.line()
		c.line()
		values[name] = c.line()
	}
	return values["state"]
}

// A client disconnects after any byte of its submission, on either port: the message was accepted or not, the other
// port reports which, and the calls that the partner received agree.
func TestDisconnectAfterEveryByte(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	a := startDaemon(t, traffic.ConfigText(t.TempDir(), "", p))
	ports := map[string]string{"http": a.HTTPAddr(), "resp": a.RESPAddr()}
	requests := map[string]func(id string) string{
		"http": func(id string) string {
			return "POST /v1/messages?partner=acme&class=unsafe&id=" + id + " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
		},
		"resp": func(id string) string {
			opts := "c=unsafe,d=20000,dest=acme"
			return fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$5\r\nhello\r\n", len(id), id,
				len(opts), opts)
		},
	}
	complete := map[string]bool{}
	var ids []string
	for _, port := range []string{"http", "resp"} {
		last := len(requests[port]("http-r-0000"))
		for n := range last + 1 {
			for _, closing := range []string{"f", "r"} { // by FIN, by reset
				id := fmt.Sprintf("%s-%s-%04d", port, closing, n)
				conn, err := net.Dial("tcp", ports[port])
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(conn, requests[port](id)[:n])
				if closing == "r" {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
				ids = append(ids, id)
				if n == last && closing == "f" { // the daemon has received the whole request
					complete[id] = true
				}
			}
		}
	}
	c := dial(t, a.RESPAddr())
	for id := range complete {
		byhand.WaitUntil(t, "delivery of "+id, func() bool { return state(t, a.HTTPAddr(), id, "10s") == "delivered" })
		if s := respState(t, c, id); s != "delivered" {
			t.Errorf("%s: %q on the other port", id, s)
		}
	}
	known := map[string]bool{}
	for _, id := range ids {
		s := state(t, a.HTTPAddr(), id, "10s")
		if s != "" && s != "delivered" {
			t.Errorf("%s is %s", id, s)
		}
		partial := !complete[id] && !strings.Contains(id, fmt.Sprintf("%04d", len(requests[id[:4]](id))))
		if s != "" && partial {
			t.Errorf("%s was accepted from a part of its request", id)
		}
		known[id] = s != ""
	}
	c.Conn.Close()
	a.stopAndWait()
	ran := map[string]int{}
	for _, call := range p.Calls() {
		ran[call.ID]++
	}
	for _, id := range ids {
		if (ran[id] == 1) != known[id] || ran[id] > 1 {
			t.Errorf("%s: known %v, ran %d times", id, known[id], ran[id])
		}
	}
}

// The same id submitted on both ports at once is one message. Another message with its id is rejected on both.
func TestSameIDOnBothPorts(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	a := startDaemon(t, traffic.ConfigText(t.TempDir(), "", p))
	c := dial(t, a.RESPAddr())
	post := func(id, body string) int {
		resp, err := http.Post("http://"+a.HTTPAddr()+"/v1/messages?partner=acme&class=unsafe&left=20s&id="+id, "", strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode
	}
	const many = 1000
	for i := range many {
		id := fmt.Sprint("m", i)
		status := make(chan int, 1)
		states := make(chan string, 1)
		go func() { status <- post(id, "same") }()
		go func() {
			s, _ := traffic.State(a.HTTPAddr(), id, "0s")
			states <- s
		}()
		if got := c.do("MSG.PUT", "0", id, "c=unsafe,d=20000,dest=acme", "same"); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
		if got := <-status; got != 202 {
			t.Fatalf("%s: %d", id, got)
		}
		if s := <-states; !slices.Contains([]string{"", "accepted", "sending", "delivered"}, s) {
			t.Fatalf("%s was %q", id, s)
		}
		if i%100 == 0 {
			if got := post(id, "other"); got != http.StatusConflict {
				t.Errorf("another message: %d", got)
			}
			if got := c.do("MSG.PUT", "0", id, "c=unsafe,d=20000,dest=acme", "other"); got != "-ERR id belongs to another message" {
				t.Errorf("another message: %q", got)
			}
			if x, y := state(t, a.HTTPAddr(), id, "10s"), respState(t, c, id); x != "delivered" || y != x {
				t.Errorf("%s is %q and %q", id, x, y)
			}
		}
	}
	c.Conn.Close()
	a.stopAndWait()
	if n := len(p.Calls()); n != many {
		t.Errorf("%d calls for %d messages", n, many)
	}
	if f := p.Violations(func(string) bool { return true }); f != nil {
		t.Errorf("faults: %v", f)
	}
}

// A front that is flooded, with submissions that are rejected and with submissions that fill its share of the pending
// limit, leaves the other front its share.
func TestFairness(t *testing.T) {
	steady := startPartner(t, partner.Options{Name: "steady"})
	stuck := startPartner(t, partner.Options{Name: "stuck", Phases: []partner.Phase{{Mode: partner.Down, Duration: time.Hour}}})
	a := startDaemon(t, traffic.ConfigText(t.TempDir(), "[limits]\nopen_messages = 100\ndescriptors = 256\n", steady, stuck))
	flood, stop := context.WithCancel(t.Context())
	defer stop()
	refused := make(chan int, 1<<16)
	for k := range 50 {
		go func() {
			c := &http.Client{Transport: &http.Transport{}}
			for n := 0; flood.Err() == nil; n++ {
				to := []string{"nobody", "stuck"}[n%2]
				resp, err := c.Post(fmt.Sprintf("http://%s/v1/messages?partner=%s&class=safe&id=f-%d-%d", a.HTTPAddr(), to, k, n), "", nil)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusServiceUnavailable {
						select {
						case refused <- resp.StatusCode:
						default:
						}
					}
				}
			}
		}()
	}
	for range 200 { // the flooded front's share of the pending limit is used up
		byhand.Await(t, refused, "rejected message")
	}
	c := dial(t, a.RESPAddr())
	for i := range 50 { // the whole share of the other front, at any pace
		if got := c.do("MSG.PUT", "0", fmt.Sprint("r-", i), "c=unsafe,d=20000,dest=steady", "x"); got != "+OK" {
			t.Fatalf("message %d through the other front: %q", i, got)
		}
	}
	for i := range 50 {
		id := fmt.Sprint("r-", i)
		byhand.WaitUntil(t, "delivery of "+id, func() bool { return respState(t, c, id) == "delivered" })
	}
}

// The daemon works with an unmodified client library.
func TestGoRedis(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	a := startDaemon(t, traffic.ConfigText(t.TempDir(), "", p))
	c := redis.NewClient(&redis.Options{Addr: a.RESPAddr()})
	defer c.Close()
	if s, err := c.Ping(t.Context()).Result(); err != nil || s != "PONG" {
		t.Fatalf("%q, %v", s, err)
	}
	if s, err := c.Do(t.Context(), "MSG.PUT", "0", "a", "c=safe,d=20000,dest=acme", "x").Text(); err != nil || s != "OK" {
		t.Fatalf("%q, %v", s, err)
	}
	state(t, a.HTTPAddr(), "a", "10s")
	s, err := c.Do(t.Context(), "MSG.STATE", "a").StringSlice()
	if err != nil || len(s) < 2 || s[0] != "state" || s[1] != "delivered" {
		t.Errorf("%q, %v", s, err)
	}
	if err := c.Do(t.Context(), "MSG.PUT", "0", "b", "c=none,d=20000,dest=acme", "x").Err(); err == nil || !strings.Contains(err.Error(), "class") {
		t.Errorf("%v", err)
	}
}

// The journal refers to partners and classes by name: with a file in another order, or without one of them, no pending
// message is sent elsewhere, and a message whose partner or class was removed has one end.
func TestJournalByName(t *testing.T) {
	dead := func(name string) *partner.Partner {
		return startPartner(t, partner.Options{Name: name, Phases: []partner.Phase{{Mode: partner.Down, Duration: time.Hour}}})
	}
	one, two, three := dead("one"), dead("two"), dead("three")
	dir := t.TempDir()
	a := startDaemon(t, traffic.ConfigText(dir, "", one, two, three))
	c := dial(t, a.RESPAddr())
	for _, x := range [][2]string{{"one", "safe"}, {"two", "unsafe"}, {"three", "keyed"}, {"one", "keyed"}} {
		if got := c.do("MSG.PUT", "0", x[0]+"-"+x[1], "c="+x[1]+",d=20000,k=k,dest="+x[0], "x"); got != "+OK" {
			t.Fatal(got)
		}
	}
	c.Conn.Close()
	a.stopAndWait()
	one.SetMode(partner.Healthy)
	two.SetMode(partner.Healthy)
	text := traffic.ConfigText(dir, "", two, one) // in another order and without three
	keyed := strings.Index(text, "[[class]]\nname = \"keyed\"")
	unsafe := strings.Index(text, "[[class]]\nname = \"unsafe\"")
	partners := strings.Index(text, "[[partner]]")
	// The class keyed is removed, although a message of it is pending. The class unsafe becomes the last one.
	text = text[:keyed] + text[partners:] + text[unsafe:partners]
	a = startDaemon(t, text)
	for id, want := range map[string]string{"one-safe": "delivered", "two-unsafe": "delivered",
		"three-keyed": "returned", "one-keyed": "delivered"} {
		if got := state(t, a.HTTPAddr(), id, "19s"); got != want {
			t.Errorf("%s is %q, want %s", id, got, want)
		}
	}
	a.stopAndWait()
	for _, p := range []*partner.Partner{one, two} {
		for _, call := range p.Calls() {
			if !strings.HasPrefix(call.ID, p.Name()+"-") {
				t.Errorf("%s received %s", p.Name(), call.ID)
			}
		}
	}
	j, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if n := j.Len(); n != 0 {
		t.Errorf("%d messages are still in the journal", n)
	}
}

// All ends of messages reach the end file, each once while the daemon runs.
func TestEndFile(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	sick := startPartner(t, partner.Options{Name: "sick", Phases: []partner.Phase{{Mode: partner.Failing, Duration: time.Hour}}})
	dir := t.TempDir()
	path := filepath.Join(dir, "ends.jsonl")
	a := startDaemon(t, traffic.ConfigText(dir, fmt.Sprintf("[sink.file]\npath = %q\n", path), p, sick))
	c := dial(t, a.RESPAddr())
	for _, to := range []string{"acme", "sick"} {
		if got := c.do("MSG.PUT", "0", "to-"+to, "c=unsafe,d=20000,dest="+to, "x"); got != "+OK" {
			t.Fatal(got)
		}
		state(t, a.HTTPAddr(), "to-"+to, "10s")
	}
	c.Conn.Close()
	a.stopAndWait()
	got := map[string]int{}
	for _, l := range readEnds(t, path) {
		got[l.ID+" "+l.State+" "+l.Partner]++
	}
	if len(got) != 2 || got["to-acme delivered acme"] != 1 || got["to-sick failed sick"] != 1 {
		t.Errorf("%v", got)
	}
}

func readEnds(t *testing.T, path string) []sink.Notice {
	t.Helper()
	list, err := traffic.ReadEnds(path)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// A thousand clients that wait for the end of one message all get it, and other requests are served meanwhile.
func TestThousandLongPolls(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	p.SetMode(partner.Hanging)
	a := startDaemon(t, traffic.ConfigText(t.TempDir(), "[limits]\ndescriptors = 8192\n", p))
	c := dial(t, a.RESPAddr())
	if got := c.do("MSG.PUT", "0", "a", "c=safe,d=20000,dest=acme", "x"); got != "+OK" {
		t.Fatal(got)
	}
	const many = 1000
	got := make(chan string, many)
	for range many {
		go func() {
			s, err := traffic.State(a.HTTPAddr(), "a", "20s")
			if err != nil {
				s = err.Error()
			}
			got <- s
		}()
	}
	byhand.WaitUntil(t, "a thousand waiting clients", func() bool { return a.http.LongPolls() >= many })
	c = dial(t, a.RESPAddr()) // the first connection may have been closed as idle by now
	if s := respState(t, c, "a"); s != "sending" {
		t.Errorf("the other port reports %q meanwhile", s)
	}
	if s := state(t, a.HTTPAddr(), "other", "0s"); s != "" {
		t.Errorf("the same port reports %q meanwhile", s)
	}
	p.SetMode(partner.Healthy)
	for range many {
		if s := byhand.Await(t, got, "end"); s != "delivered" {
			t.Fatalf("got state %q", s)
		}
	}
}
