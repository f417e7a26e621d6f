package node

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ravenmount/logic"
)

// owed lists what a stopped sender has left in its journal.
func owed(t *testing.T, dir string) (ids []string) {
	t.Helper()
	for _, e := range openJournal(t, dir, 3e6).Entries() {
		ids = append(ids, e.ID)
	}
	return ids
}

// stopClean shuts a sender down and checks that it owes nothing.
func stopClean(t *testing.T, n *testNode) {
	t.Helper()
	n.stop()
	if err := await(t, n.done, "end of the sender"); err != nil {
		t.Fatal(err)
	}
	if ids := owed(t, n.cfg.StateDir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

func TestDeliver(t *testing.T) {
	n, c, _, e := world(t, 1)
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("PING: %q", got)
	}
	c.put("a", "keyed", "+OK")
	in := await(t, e[0].calls, "call")
	if in.body != "body of a" || in.id() != "a" || in.req.Header.Get("Idempotency-Key") != "key-a" {
		t.Errorf("went out changed: %v %q", in.req.Header, in.body)
	}
	in.reply(200)
	stopClean(t, n)
}

// A client may hand an id in once more when its connection was closed: that is one message, held or delivered.
func TestSameIDTwice(t *testing.T) {
	n, c, _, e := world(t, 1)
	c.send("MSG.PUT", "0", "a", "c=safe,d=9000,dest=1", "x")
	c2 := dial(t, n.addr)
	c2.put("a", "safe", "+OK")
	if got := c.line(); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	in := await(t, e[0].calls, "call")
	c.put("a", "safe", "+OK")
	in.reply(200)
	c.put("a", "safe", "+OK")
	c.put("b", "safe", "+OK")
	if in := await(t, e[0].calls, "call"); in.id() != "b" {
		t.Fatalf("call with %s, want b", in.id())
	} else {
		in.reply(200)
	}
	stopClean(t, n)
}

// What the module gives up is answered at once, with the time to come again.
func TestGivenUpAtOnce(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.putFor("late", "safe", 1, "-BUSY 2000")
	c.put("b", "safe", "+OK")
	await(t, e[0].calls, "call").reply(200)
	stopClean(t, n)
	if len(p.notices) != 0 {
		t.Errorf("a notice for a message that was never taken on: %v", <-p.notices)
	}
}

// The hold has a limit; what comes above it is turned away, and so is what the journal has no room for.
func TestDoor(t *testing.T) {
	p := newPlatform(t)
	cfg, err := ParseConfig(configText(p, List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.journal.Close()
	n.dir.take(List{Reset: true, Instances: []Instance{{ID: "s", HostPort: "127.0.0.1:1", Dest: 1, Lifecycle: "up"}}})
	answer := make(chan string, 1)
	put := putEvent{Message{ID: "a", Class: "safe", Dest: 1, Body: make([]byte, 100)}, answer}
	n.open = cfg.Deploy.Settings.MaxOpen
	if n.put(put); await(t, answer, "answer") != "-BUSY\r\n" {
		t.Error("taken on above max_open")
	}
	n.open = 0
	n.journal.limit = 500
	if n.put(put); await(t, answer, "answer") != "-BUSY\r\n" {
		t.Error("taken on without room in the journal")
	}
}

// A message that can't be journalled is not taken on: it would be lost with the process. Nothing of it is sent,
// and the module gets the outcome of what it wanted to send, or a slot would be lost for good.
func TestJournalFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	n, c, _, e := world(t, 1, func(n *Node) {
		bad, err := os.Open(n.journal.file.Name()) // can't be written
		if err != nil {
			t.Fatal(err)
		}
		n.journal.file.Close()
		n.journal.file, n.journal.dir, n.cfg.StateDir = bad, dir, dir // nor rewritten, as long as dir is not there
	})
	for i := range 10 { // more than there are slots
		c.put(fmt.Sprint("x", i), "safe", "-BUSY")
	}
	e[0].none(t)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	c.put("a", "safe", "+OK")
	in := await(t, e[0].calls, "call")
	if in.id() != "a" {
		t.Fatalf("call with %s, want a", in.id())
	}
	in.reply(200)
	stopClean(t, n)
}

// Told to wait, the sender sends nothing there, for any message, until the wait is over.
func TestWaitIsHeeded(t *testing.T) {
	n, c, _, e := world(t, 1)
	c.put("a", "safe", "+OK")
	in := await(t, e[0].calls, "call")
	const wait = 400 * time.Millisecond
	told := time.Now()
	in.reply(429, "X-Come-Back-Ms: 400")
	c.put("b", "safe", "+OK")
	for range 2 {
		in := await(t, e[0].calls, "call")
		if in.at.Sub(told) < wait {
			// b may have gone before the answer was read; that is excused for 100 ms.
			if in.at.Sub(told) > 100*time.Millisecond {
				t.Errorf("%s was sent %v after a wait of %v was told", in.id(), in.at.Sub(told), wait)
			}
		}
		in.reply(200)
	}
	stopClean(t, n)
}

// Refusals prove that nothing ran: also an unsafe message is sent again, and returned once its attempts are used up.
func TestNeverRan(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.put("full", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(503)
	await(t, e[0].calls, "second call").reply(200)
	for _, answer := range [][]string{{"503", "X-Line-Busy: 1"}, {"504"}} {
		c.put("moot"+answer[0], "unsafe", "+OK")
		status := 503
		if answer[0] == "504" {
			status = 504
		}
		for range 3 { // max_attempts
			await(t, e[0].calls, "call").reply(status, answer[1:]...)
		}
		if x := await(t, p.notices, "notice"); x.ID != "moot"+answer[0] || x.State != "returned" || x.AfterMS != 2000 {
			t.Errorf("notice %+v", x)
		}
	}
	stopClean(t, n)
	e[0].none(t)
}

// The endpoint says that the message is over: nothing is owed, not even a notice.
func TestOver(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.put("a", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(410)
	stopClean(t, n)
	e[0].none(t)
	if len(p.notices) != 0 {
		t.Errorf("notice %+v", <-p.notices)
	}
}

// After an error or a reset it may have run: an unsafe message fails, others are sent again.
func TestMayHaveRun(t *testing.T) {
	for _, how := range []string{"500", "reset"} {
		t.Run(how, func(t *testing.T) {
			n, c, p, e := world(t, 1)
			end := func(in *inCall) {
				if how == "500" {
					in.reply(500)
				} else {
					in.reset()
				}
			}
			c.put("u", "unsafe", "+OK")
			end(await(t, e[0].calls, "call"))
			if x := await(t, p.notices, "notice"); x != (Notice{ID: "u", State: "failed"}) {
				t.Errorf("notice %+v", x)
			}
			c.put("k", "keyed", "+OK")
			end(await(t, e[0].calls, "call"))
			in := await(t, e[0].calls, "call again")
			if in.id() != "k" || in.req.Header.Get("Idempotency-Key") != "key-k" {
				t.Errorf("call with %v", in.req.Header)
			}
			in.reply(200)
			stopClean(t, n)
			e[0].none(t)
		})
	}
}

// An endpoint that answers nothing: an unsafe message fails when its time is up, and the call is ended.
func TestSilentUntilDeadline(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.putFor("u", "unsafe", 300, "+OK")
	in := await(t, e[0].calls, "call")
	if x := await(t, p.notices, "notice"); x != (Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", x)
	}
	in.awaitEnd(t)
	stopClean(t, n)
}

// A safe message is called off at an endpoint that hangs and goes to another; the first call must have ended for
// the endpoint before the second begins, or there are two copies.
func TestSilentGoesElsewhere(t *testing.T) {
	n, c, _, e := world(t, 2)
	c.put("s", "safe", "+OK")
	var first, second *inCall
	next := e[1]
	select {
	case first = <-e[0].calls:
	case first = <-e[1].calls:
		next = e[0]
	case <-time.After(patience):
		t.Fatal("no call")
	}
	second = await(t, next.calls, "call elsewhere")
	first.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := first.reader.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the first call is still open: %v", err)
	}
	second.reply(200)
	stopClean(t, n)
}

// taken waits until the sender has the list of a generation: it asks from there on.
func taken(t *testing.T, p *platform, generation int) {
	t.Helper()
	for !strings.HasPrefix(await(t, p.asked, "call for the list"), fmt.Sprintf("from=%d&", generation)) {
	}
}

// Nothing new goes to an endpoint that drains; an address may change under the same name.
func TestDrainAndMove(t *testing.T) {
	n, c, p, e := world(t, 2)
	list := instances(e...)
	list[0].Lifecycle = "draining"
	p.set(func() { p.list = List{Generation: 2, Instances: list[:1]} })
	taken(t, p, 2)
	for i := range 4 {
		c.put(fmt.Sprint("m", i), "safe", "+OK")
		await(t, e[1].calls, "call").reply(200)
	}
	e[0].none(t)
	moved := newEndpoint(t)
	list[1].HostPort = moved.addr()
	p.set(func() { p.list = List{Generation: 3, Instances: list[1:]} })
	taken(t, p, 3)
	c.put("m", "safe", "+OK")
	await(t, moved.calls, "call").reply(200)
	stopClean(t, n)
	e[1].none(t)
}

// While discovery is down the last list serves, and the sender asks again until it hears.
func TestDiscoveryDown(t *testing.T) {
	p := newPlatform(t)
	p.down = true
	e := newEndpoint(t)
	n := startNode(t, p, t.TempDir(), List{Generation: 1, Reset: true, Instances: instances(e)})
	c := dial(t, n.addr)
	c.put("a", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	taken(t, p, 1)
	taken(t, p, 1)
	moved := newEndpoint(t)
	p.set(func() { p.down, p.list = false, List{Generation: 2, Reset: true, Instances: instances(moved)} })
	taken(t, p, 2)
	c.put("b", "safe", "+OK")
	await(t, moved.calls, "call").reply(200)
	stopClean(t, n)
}

func TestDiscoverySilent(t *testing.T) {
	p := newPlatform(t)
	p.silent = true
	e := newEndpoint(t)
	n := startNode(t, p, t.TempDir(), List{Generation: 1, Reset: true, Instances: instances(e)})
	await(t, p.asked, "call for the list")
	dial(t, n.addr).put("a", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	stopClean(t, n)
}

// A notice counts once the platform has confirmed it, and is sent until then.
func TestNoticesDown(t *testing.T) {
	n, c, p, e := world(t, 1)
	p.set(func() { p.deaf = true })
	c.put("u", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(500)
	await(t, p.refused, "notice")
	await(t, p.refused, "second notice")
	p.set(func() { p.deaf = false })
	if x := await(t, p.notices, "notice"); x.ID != "u" || x.State != "failed" {
		t.Errorf("notice %+v", x)
	}
	stopClean(t, n)
}

// Whatever a client sends, it gets an error line and nobody else is hurt.
func TestMalformedRequests(t *testing.T) {
	n, c, p, e := world(t, 1)
	taken(t, p, 1) // an unknown destination is one that discovery does not know
	p.set(func() { p.list.Generation = 2 })
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
		bad.conn.Write([]byte(raw))
		if got := bad.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q", raw, got)
		}
		if got := bad.line(); got != "" {
			t.Errorf("%q: the connection goes on with %q", raw, got)
		}
	}
	half := dial(t, n.addr)
	half.conn.Write([]byte("*5\r\n$7\r\nMSG"))
	half.conn.Close()
	body := strings.Repeat("\x00\r\n", 1<<14) // bodies hold any bytes
	if got := c.do("MSG.PUT", "0", "a", good, body); got != "+OK" {
		t.Errorf("got %q", got)
	}
	in := await(t, e[0].calls, "call")
	if in.body != body {
		t.Errorf("body went out changed: %d bytes of %d", len(in.body), len(body))
	}
	in.reply(200)
	stopClean(t, n)
}

// A request that came just before the sender closes its connections is answered: its client counts on that.
func TestRequestCrossesShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dial(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.send("PING")
	for stop := time.Now().Add(patience); ; {
		if _, data := peek(conn); data {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the request does not come")
		}
	}
	served := newClients(&Config{}, slog.New(slog.DiscardHandler), nil)
	served.closing = true
	(&session{c: served, conn: conn, opened: time.Now()}).handle()
	conn.Close()
	if got := c.line(); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	if got := c.line(); got != "" {
		t.Errorf("the connection goes on with %q", got)
	}
}

// A probe that is asked for has its one result.
func TestProbe(t *testing.T) {
	n, _, _, e := world(t, 1)
	n.probe(t.Context(), 1)
	in := await(t, e[0].calls, "probe")
	if in.req.URL.Path != "/alive" || in.req.Method != "GET" {
		t.Errorf("probe %s %s", in.req.Method, in.req.URL)
	}
	in.reply(200)
	stopClean(t, n)
}

// A wait or a drain holds the calls that still connect there, and no others.
func TestHoldReachesConnectingCalls(t *testing.T) {
	for _, x := range []struct {
		name  string
		apart bool
		learn func(n *Node)
		held  [4]bool // connecting to endpoints 1 and 2 of destination 1 and 3 of destination 2; written to 1
	}{
		{"wait, one limit", false, func(n *Node) { n.holdWait(1) }, [4]bool{true, true, false, false}},
		{"wait, routes apart", true, func(n *Node) { n.holdWait(1) }, [4]bool{true, false, false, false}},
		{"drain", false, func(n *Node) {
			n.list(listEvent{list: List{Instances: []Instance{{ID: "b", Dest: 1, Lifecycle: "draining"}}}})
		}, [4]bool{false, true, false, false}},
		{"whole list", false, func(n *Node) {
			n.list(listEvent{list: List{Reset: true, Instances: []Instance{{ID: "a", Dest: 1, Lifecycle: "up"}}}})
		}, [4]bool{false, true, true, false}},
	} {
		cfg, err := ParseConfig(configText(newPlatform(t), List{}))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		cfg.Deploy.Settings.Kinds[0].Apart = x.apart
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer n.journal.Close()
		n.dir.take(List{Instances: []Instance{{ID: "a", HostPort: "h:1", Kind: "std", Dest: 1},
			{ID: "b", HostPort: "h:2", Kind: "std", Dest: 1}, {ID: "c", HostPort: "h:3", Kind: "std", Dest: 2}}})
		var calls []*call
		for i, ep := range []logic.EndpointID{1, 2, 3, 1} {
			calls = append(calls, &call{ep: ep, state: new(atomic.Int32)})
			n.held[fmt.Sprint("m", i)] = &held{call: calls[i], stop: func() {}}
		}
		calls[3].state.Store(callWritten)
		x.learn(n)
		for i, c := range calls {
			if got := c.state.Load() == callHeld; got != x.held[i] {
				t.Errorf("%s: call %d held: %v", x.name, i, got)
			}
		}
	}
}

// Whether an attempt may have run decides after a restart whether an unsafe message is sent again.
func TestMayHaveRunByOutcome(t *testing.T) {
	for o, want := range map[logic.Outcome]bool{logic.Completed: true, logic.Errored: true, logic.Overdue: true,
		logic.Severed: true, logic.Recalled: true, logic.Full: false, logic.RefusedConn: false, logic.Moot: false} {
		if mayHaveRun(o) != want {
			t.Errorf("outcome %d: may have run %v", o, !want)
		}
	}
}
