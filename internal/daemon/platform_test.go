package daemon

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
)

// copied opens a copy of the journal of a sender that runs.
func copied(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	to := t.TempDir()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		if f.IsDir() { // of the socket
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if errors.Is(err, fs.ErrNotExist) { // compaction has taken it away
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, f.Name()), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	j, err := journal.Open(to, journal.Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// owed lists what a stopped sender has left in its journal.
func owed(t *testing.T, dir string) (ids []string) {
	t.Helper()
	j, err := journal.Open(dir, journal.Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	for _, e := range j.Entries() {
		ids = append(ids, e.ID)
	}
	return ids
}

// stopClean shuts a sender down and checks that it owes nothing.
func stopClean(t *testing.T, n *testNode) {
	t.Helper()
	n.stop()
	if err := byhand.Await(t, n.done, "end of the sender"); err != nil {
		t.Fatal(err)
	}
	if ids := owed(t, n.dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

func TestDeliver(t *testing.T) {
	n, c, _, e := world(t, 1)
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("PING: %q", got)
	}
	c.put("a", "keyed", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	if in.Body != "body of a" || in.ID() != "a" || in.Req.Header.Get("Idempotency-Key") != "key-a" {
		t.Errorf("went out changed: %v %q", in.Req.Header, in.Body)
	}
	in.Reply(200)
	stopClean(t, n)
}

// A client may hand an id in once more when its connection was closed: that is one message, held or delivered.
func TestSameIDTwice(t *testing.T) {
	n, c, _, e := world(t, 1)
	c.send("MSG.PUT", "0", "a", "c=safe,t=acme,d=9000,k=key-a,dest=1", "body of a")
	c2 := dial(t, n.addr)
	c2.put("a", "safe", "+OK")
	if got := c.line(); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	in := byhand.Await(t, e[0].Calls, "call")
	c.put("a", "safe", "+OK")
	const other = "-ERR id belongs to another message"
	c.put("a", "unsafe", other)
	in.Reply(200)
	c.put("a", "safe", "+OK")
	c.put("a", "unsafe", other)
	c.put("b", "safe", "+OK")
	if in := byhand.Await(t, e[0].Calls, "call"); in.ID() != "b" {
		t.Fatalf("call with %s, want b", in.ID())
	} else {
		in.Reply(200)
	}
	stopClean(t, n)
}

// What the module gives up is answered at once, with the time to come again.
func TestGivenUpAtOnce(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.putFor("late", "safe", 1, "-BUSY 2000")
	c.put("b", "safe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	stopClean(t, n)
	if len(p.Notices) != 0 {
		t.Errorf("a notice for a message that was never taken on: %v", <-p.Notices)
	}
}

// Told to wait, the sender sends nothing there, for any message, until the wait is over.
func TestWaitIsHeeded(t *testing.T) {
	n, c, _, e := world(t, 1)
	c.put("a", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	const wait = 400 * time.Millisecond
	told := time.Now()
	in.Reply(429, "X-Come-Back-Ms: 400")
	c.put("b", "safe", "+OK")
	for range 2 {
		in := byhand.Await(t, e[0].Calls, "call")
		if in.At.Sub(told) < wait {
			// b may have gone before the answer was read; that is excused for 100 ms.
			if in.At.Sub(told) > 100*time.Millisecond {
				t.Errorf("%s was sent %v after a wait of %v was told", in.ID(), in.At.Sub(told), wait)
			}
		}
		in.Reply(200)
	}
	stopClean(t, n)
}

// Refusals prove that nothing ran: also an unsafe message is sent again, and returned once its attempts are used up.
func TestNeverRan(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.put("full", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(503)
	byhand.Await(t, e[0].Calls, "second call").Reply(200)
	for _, answer := range [][]string{{"503", "X-Line-Busy: 1"}, {"504"}} {
		c.put("moot"+answer[0], "unsafe", "+OK")
		status := 503
		if answer[0] == "504" {
			status = 504
		}
		for range 3 { // max_attempts
			byhand.Await(t, e[0].Calls, "call").Reply(status, answer[1:]...)
		}
		if x := byhand.Await(t, p.Notices, "notice"); x.ID != "moot"+answer[0] || x.State != "returned" || x.AfterMS != 2000 {
			t.Errorf("notice %+v", x)
		}
	}
	stopClean(t, n)
	e[0].ExpectNoCall(t)
}

// The endpoint says that the message is over: nothing is owed, not even a notice.
func TestOver(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.put("a", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(410)
	stopClean(t, n)
	e[0].ExpectNoCall(t)
	if len(p.Notices) != 0 {
		t.Errorf("notice %+v", <-p.Notices)
	}
}

// After an error or a reset it may have run: an unsafe message fails, others are sent again.
func TestMayHaveRun(t *testing.T) {
	for _, how := range []string{"500", "reset"} {
		t.Run(how, func(t *testing.T) {
			n, c, p, e := world(t, 1)
			end := func(in *byhand.ReceivedCall) {
				if how == "500" {
					in.Reply(500)
				} else {
					in.Reset()
				}
			}
			c.put("u", "unsafe", "+OK")
			end(byhand.Await(t, e[0].Calls, "call"))
			if x := byhand.Await(t, p.Notices, "notice"); x != (discovery.Notice{ID: "u", State: "failed"}) {
				t.Errorf("notice %+v", x)
			}
			c.put("k", "keyed", "+OK")
			end(byhand.Await(t, e[0].Calls, "call"))
			in := byhand.Await(t, e[0].Calls, "call again")
			if in.ID() != "k" || in.Req.Header.Get("Idempotency-Key") != "key-k" {
				t.Errorf("call with %v", in.Req.Header)
			}
			in.Reply(200)
			stopClean(t, n)
			e[0].ExpectNoCall(t)
		})
	}
}

// An endpoint that answers nothing: an unsafe message fails when its time is up, and the call is ended.
func TestSilentUntilDeadline(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.putFor("u", "unsafe", 300, "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	if x := byhand.Await(t, p.Notices, "notice"); x != (discovery.Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", x)
	}
	in.AwaitEnd(t)
	stopClean(t, n)
}

// A safe message is called off at an endpoint that hangs and goes to another; the first call must have ended for
// the endpoint before the second begins, or there are two copies.
func TestSilentGoesElsewhere(t *testing.T) {
	n, c, _, e := world(t, 2)
	c.put("s", "safe", "+OK")
	var first, second *byhand.ReceivedCall
	next := e[1]
	select {
	case first = <-e[0].Calls:
	case first = <-e[1].Calls:
		next = e[0]
	case <-time.After(byhand.Timeout):
		t.Fatal("no call")
	}
	second = byhand.Await(t, next.Calls, "call elsewhere")
	first.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := first.Reader.Read(make([]byte, 1)); err == nil || byhand.IsTimeout(err) {
		t.Errorf("the first call is still open: %v", err)
	}
	second.Reply(200)
	stopClean(t, n)
}

// taken waits until the sender has the list of a generation: it asks from there on.
func taken(t *testing.T, p *discovery.Platform, generation int) {
	t.Helper()
	for !strings.HasPrefix(byhand.Await(t, p.ListCalls, "call for the list"), fmt.Sprintf("from=%d&", generation)) {
	}
}

// Nothing new goes to an endpoint that drains; an address may change under the same name.
func TestDrainAndMove(t *testing.T) {
	n, c, p, e := world(t, 2)
	list := instances(e...)
	list[0].Lifecycle = "draining"
	p.Set(func() { p.List = platform.List{Generation: 2, Instances: list[:1]} })
	taken(t, p, 2)
	for i := range 4 {
		c.put(fmt.Sprint("m", i), "safe", "+OK")
		byhand.Await(t, e[1].Calls, "call").Reply(200)
	}
	e[0].ExpectNoCall(t)
	moved := byhand.NewEndpoint(t)
	list[1].HostPort = moved.Addr()
	p.Set(func() { p.List = platform.List{Generation: 3, Instances: list[1:]} })
	taken(t, p, 3)
	c.put("m", "safe", "+OK")
	byhand.Await(t, moved.Calls, "call").Reply(200)
	stopClean(t, n)
	e[1].ExpectNoCall(t)
}

// While discovery is down the last list serves, and the sender asks again until it hears.
func TestDiscoveryDown(t *testing.T) {
	p := discovery.New(t)
	p.Down, p.EditSettings = true, func(settings string) string { // it is to ask often
		return strings.Replace(settings, `"rules":{`, `"rules":{"ask_every_s":0.3,`, 1)
	}
	e := byhand.NewEndpoint(t)
	n := startNode(t, p, t.TempDir(), platform.List{Generation: 1, Reset: true, Instances: instances(e)})
	c := dial(t, n.addr)
	c.put("a", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	taken(t, p, 1)
	taken(t, p, 1)
	moved := byhand.NewEndpoint(t)
	p.Set(func() { p.Down, p.List = false, platform.List{Generation: 2, Reset: true, Instances: instances(moved)} })
	taken(t, p, 2)
	c.put("b", "safe", "+OK")
	byhand.Await(t, moved.Calls, "call").Reply(200)
	stopClean(t, n)
}

func TestDiscoverySilent(t *testing.T) {
	p := discovery.New(t)
	p.Silent = true
	e := byhand.NewEndpoint(t)
	n := startNode(t, p, t.TempDir(), platform.List{Generation: 1, Reset: true, Instances: instances(e)})
	byhand.Await(t, p.ListCalls, "call for the list")
	dial(t, n.addr).put("a", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	stopClean(t, n)
}

// A notice counts once the platform has confirmed it, and is sent until then.
func TestNoticesDown(t *testing.T) {
	n, c, p, e := world(t, 1)
	p.Set(func() { p.RejectNotices = true })
	c.put("u", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(500)
	byhand.Await(t, p.RejectedNotices, "notice")
	byhand.Await(t, p.RejectedNotices, "second notice")
	p.Set(func() { p.RejectNotices = false })
	if x := byhand.Await(t, p.Notices, "notice"); x.ID != "u" || x.State != "failed" {
		t.Errorf("notice %+v", x)
	}
	stopClean(t, n)
}

// Whatever a client sends, it gets an error line and nobody else is hurt.
func TestMalformedRequests(t *testing.T) {
	n, c, p, e := world(t, 1)
	taken(t, p, 1) // an unknown destination is one that discovery does not know
	p.Set(func() { p.List.Generation = 2 })
	taken(t, p, 2)
	const good = "c=safe,t=acme,d=9000,dest=1"
	for i, args := range [][]string{
		{"NONSENSE"}, {""}, {"MSG.PUT"}, {"MSG.PUT", "0", "a", good}, {"MSG.PUT", "0", "", good, "x"},
		{"MSG.PUT", "0", "a b", good, "x"}, {"MSG.PUT", "0", "a\r\nX: y", good, "x"},
		{"MSG.PUT", "0", strings.Repeat("a", 1000), good, "x"}, {"MSG.PUT", "0", "a", "", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=9000", "x"}, {"MSG.PUT", "0", "a", "c=safe,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=none,d=9000,dest=1", "x"}, {"MSG.PUT", "0", "a", "d=9000,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,t=none,d=9000,dest=1", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=-1,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=1e3,dest=1", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=9223372036854775807,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=9000,dest=x", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=9000,dest=-1", "x"},
		{"MSG.PUT", "0", "a", good + ",k=a\nb", "x"}, {"MSG.PUT", "0\x00", "a", good, "x"},
		{"MSG.PUT", "0", "a", "c=keyed,d=9000,dest=1", "x"}, {"MSG.PUT", "0", "a", good + ",d=9000", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=9000000,dest=1", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=9000,dest=77", "x"},
	} {
		if i%8 == 7 { // before there are too many errors on one connection
			c = dial(t, n.addr)
		}
		if got := c.do(args...); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q", args, got)
		}
	}
	if got := c.do("PING"); got != "+PONG" {
		t.Errorf("afterwards: %q", got)
	}
	for _, raw := range []string{"*1\r\n$9223372036854775807\r\n", "*1000000000\r\n", "GET / HTTP/1.1\r\n\r\n", "*1\r\n$65537\r\n"} {
		bad := dial(t, n.addr)
		bad.Conn.Write([]byte(raw))
		if got := bad.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q", raw, got)
		}
		if got := bad.line(); got != "" {
			t.Errorf("%q: the connection goes on with %q", raw, got)
		}
	}
	half := dial(t, n.addr)
	half.Conn.Write([]byte("*5\r\n$7\r\nMSG"))
	half.Conn.Close()
	body := strings.Repeat("\x00\r\n", 1<<14) // bodies hold any bytes
	if got := c.do("MSG.PUT", "0", "a", good, body); got != "+OK" {
		t.Errorf("got %q", got)
	}
	in := byhand.Await(t, e[0].Calls, "call")
	if in.Body != body {
		t.Errorf("body went out changed: %d bytes of %d", len(in.Body), len(body))
	}
	in.Reply(200)
	stopClean(t, n)
}

// A spoilt answer may have run: what may be repeated is sent again, at once and elsewhere too, what may not has
// failed. What says 200 is over for every class.
func TestSpoiltByEffect(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			n, c, p, e := world(t, 1)
			c.put("a", class, "+OK")
			in := byhand.Await(t, e[0].Calls, "call")
			key := in.Req.Header.Get("Idempotency-Key")
			io.WriteString(in.Conn, "noise\r\n\r\n")
			in.AwaitEnd(t)
			in.Done <- false
			if class == "unsafe" {
				if x := byhand.Await(t, p.Notices, "notice"); x != (discovery.Notice{ID: "a", State: "failed"}) {
					t.Errorf("notice %+v", x)
				}
			} else {
				in = byhand.Await(t, e[0].Calls, "call again")
				if in.ID() != "a" || in.Req.Header.Get("Idempotency-Key") != key {
					t.Errorf("sent again as %v", in.Req.Header)
				}
				in.Reply(200)
			}
			c.put("b", class, "+OK")
			in = byhand.Await(t, e[0].Calls, "call")
			io.WriteString(in.Conn, "HTTP/1.1 200 OK\r\n\x01\r\n\r\n")
			in.AwaitEnd(t)
			in.Done <- false
			stopClean(t, n)
			if len(p.Notices) != 0 {
				t.Errorf("notice %+v", <-p.Notices)
			}
		})
	}
}
