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

// openJournalCopy opens a copy of the journal of a running sender.
func openJournalCopy(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	to := t.TempDir()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		if f.IsDir() { // the folder of the socket
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if errors.Is(err, fs.ErrNotExist) { // deleted by compaction
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

// pendingIDs returns the ids of the messages in the journal of a stopped sender.
func pendingIDs(t *testing.T, dir string) (ids []string) {
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

// stopClean stops a sender and checks that no message is pending.
func stopClean(t *testing.T, n *testSender) {
	t.Helper()
	n.stop()
	if err := byhand.Await(t, n.done, "end of the sender"); err != nil {
		t.Fatal(err)
	}
	if ids := pendingIDs(t, n.dir); ids != nil {
		t.Errorf("messages still pending: %v", ids)
	}
}

// A message is delivered unchanged, with its id and its idempotency key.
func TestDeliver(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("PING: %q", got)
	}
	c.put("a", "keyed", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	if in.Body != "body of a" || in.ID() != "a" || in.Req.Header.Get("Idempotency-Key") != "key-a" {
		t.Errorf("message was changed: %v %q", in.Req.Header, in.Body)
	}
	in.Reply(200)
	stopClean(t, n)
}

// A client whose connection was closed may submit a message again. The sender treats it as the same message, whether it
// is pending or delivered, and rejects another message with its id.
func TestSameIDTwice(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
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

// A message that can't meet its deadline is rejected at once, with a time after which to retry.
func TestRejectedAtOnce(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
	c.putFor("late", "safe", 1, "-BUSY 2000")
	c.put("b", "safe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	stopClean(t, n)
	if len(p.Notices) != 0 {
		t.Errorf("notice for a message that was never accepted: %v", <-p.Notices)
	}
}

// After an endpoint requests a wait, the sender sends it no message until the wait is over.
func TestRequestedWait(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	c.put("a", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	const wait = 400 * time.Millisecond
	requestedAt := time.Now()
	in.Reply(429, "X-Come-Back-Ms: 400")
	c.put("b", "safe", "+OK")
	for range 2 {
		in := byhand.Await(t, e[0].Calls, "call")
		if in.At.Sub(requestedAt) < wait {
			// b may have been sent before the response was read; the test allows 100 ms for that.
			if in.At.Sub(requestedAt) > 100*time.Millisecond {
				t.Errorf("%s was sent %v after a wait of %v was requested", in.ID(), in.At.Sub(requestedAt), wait)
			}
		}
		in.Reply(200)
	}
	stopClean(t, n)
}

// Some rejections prove that the message did not run: then even an unsafe message is sent again, and is returned once
// its attempts are exhausted.
func TestProvablyNotRun(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
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

// An endpoint may answer that the message has ended: nothing is pending then, not even a notice.
func TestMessageEndedByEndpoint(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
	c.put("a", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(410)
	stopClean(t, n)
	e[0].ExpectNoCall(t)
	if len(p.Notices) != 0 {
		t.Errorf("notice %+v", <-p.Notices)
	}
}

// After an error or a reset the message may have run: an unsafe message fails, others are sent again.
func TestMayHaveRun(t *testing.T) {
	for _, failure := range []string{"500", "reset"} {
		t.Run(failure, func(t *testing.T) {
			n, c, p, e := startScenario(t, 1)
			end := func(in *byhand.ReceivedCall) {
				if failure == "500" {
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

// An endpoint does not answer: an unsafe message fails at its deadline, and the call is closed.
func TestSilentUntilDeadline(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
	c.putFor("u", "unsafe", 300, "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	if x := byhand.Await(t, p.Notices, "notice"); x != (discovery.Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", x)
	}
	in.AwaitEnd(t)
	stopClean(t, n)
}

// A safe message is cancelled at an endpoint that hangs and is sent to another one. The endpoint must see the end of
// the first call before the second begins, or two attempts are in flight.
func TestSilentCallIsCancelled(t *testing.T) {
	n, c, _, e := startScenario(t, 2)
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

// awaitListRequest waits until the sender requests the changes since a generation, which shows that it has applied the
// list of that generation.
func awaitListRequest(t *testing.T, p *discovery.Platform, generation int) {
	t.Helper()
	for !strings.HasPrefix(byhand.Await(t, p.ListCalls, "call for the list"), fmt.Sprintf("from=%d&", generation)) {
	}
}

// No new call is sent to a draining endpoint. The address of an endpoint may change while its name stays.
func TestDrainAndMove(t *testing.T) {
	n, c, p, e := startScenario(t, 2)
	list := instances(e...)
	list[0].Lifecycle = "draining"
	p.Set(func() { p.List = platform.List{Generation: 2, Instances: list[:1]} })
	awaitListRequest(t, p, 2)
	for i := range 4 {
		c.put(fmt.Sprint("m", i), "safe", "+OK")
		byhand.Await(t, e[1].Calls, "call").Reply(200)
	}
	e[0].ExpectNoCall(t)
	moved := byhand.NewEndpoint(t)
	list[1].HostPort = moved.Addr()
	p.Set(func() { p.List = platform.List{Generation: 3, Instances: list[1:]} })
	awaitListRequest(t, p, 3)
	c.put("m", "safe", "+OK")
	byhand.Await(t, moved.Calls, "call").Reply(200)
	stopClean(t, n)
	e[1].ExpectNoCall(t)
}

// While discovery is down, the sender uses the last list, and retries until it gets a new one.
func TestDiscoveryDown(t *testing.T) {
	p := discovery.New(t)
	p.Down, p.EditSettings = true, func(settings string) string { // poll often
		return strings.Replace(settings, `"rules":{`, `"rules":{"ask_every_s":0.3,`, 1)
	}
	e := byhand.NewEndpoint(t)
	n := startSender(t, p, t.TempDir(), platform.List{Generation: 1, Reset: true, Instances: instances(e)})
	c := dial(t, n.addr)
	c.put("a", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	awaitListRequest(t, p, 1)
	awaitListRequest(t, p, 1)
	moved := byhand.NewEndpoint(t)
	p.Set(func() { p.Down, p.List = false, platform.List{Generation: 2, Reset: true, Instances: instances(moved)} })
	awaitListRequest(t, p, 2)
	c.put("b", "safe", "+OK")
	byhand.Await(t, moved.Calls, "call").Reply(200)
	stopClean(t, n)
}

// While discovery does not answer, the sender delivers with the list that it was configured with.
func TestDiscoverySilent(t *testing.T) {
	p := discovery.New(t)
	p.Silent = true
	e := byhand.NewEndpoint(t)
	n := startSender(t, p, t.TempDir(), platform.List{Generation: 1, Reset: true, Instances: instances(e)})
	byhand.Await(t, p.ListCalls, "call for the list")
	dial(t, n.addr).put("a", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	stopClean(t, n)
}

// A notice is resent until the platform has confirmed it.
func TestNoticesDown(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
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

// Whatever invalid input a client sends, it gets an error line and other clients are not affected.
func TestMalformedRequests(t *testing.T) {
	n, c, p, e := startScenario(t, 1)
	awaitListRequest(t, p, 1) // an unknown destination is one that discovery does not know
	p.Set(func() { p.List.Generation = 2 })
	awaitListRequest(t, p, 2)
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
		if i%8 == 7 { // the limit of errors on one connection is not reached
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
			t.Errorf("%q: the connection stays open and sends %q", raw, got)
		}
	}
	half := dial(t, n.addr)
	half.Conn.Write([]byte("*5\r\n$7\r\nMSG"))
	half.Conn.Close()
	body := strings.Repeat("\x00\r\n", 1<<14) // a body may contain any bytes
	if got := c.do("MSG.PUT", "0", "a", good, body); got != "+OK" {
		t.Errorf("got %q", got)
	}
	in := byhand.Await(t, e[0].Calls, "call")
	if in.Body != body {
		t.Errorf("body was changed: %d bytes of %d", len(in.Body), len(body))
	}
	in.Reply(200)
	stopClean(t, n)
}

// After an invalid response the message may have run: a message that may be repeated is sent again, an unsafe one has
// failed. A response whose status is 200 ends messages of every class, even if the rest is invalid.
func TestInvalidResponseByEffect(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			n, c, p, e := startScenario(t, 1)
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
