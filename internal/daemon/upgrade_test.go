package daemon

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// stallIn names the folder in which a copy of the test program takes over a journal's lock and says nothing more.
const stallIn = "COMETRACK_TEST_STALL"

// hangUp says that the copy breaks the connection first.
const hangUp = "COMETRACK_TEST_HANG_UP"

// stall is a successor that hangs in the worst place: it has the lock and has not said so.
func stall(dir string) {
	c, err := handover.Dial(dir, time.Second)
	if err == nil {
		err = c.Send(&handover.SnapshotRequest{Format: handover.Format})
	}
	if err == nil {
		_, _, err = c.Receive()
	}
	if err == nil {
		_, err = store.Lock(vfs.Dir(dir))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stall:", err)
		os.Exit(1)
	}
	if os.Getenv(hangUp) != "" {
		c.Close()
	}
	fmt.Fprintln(os.Stderr, "msg=ready")
	select {}
}

// The socket of a handover broke while both processes lived, and the old one waited seconds for the journal with
// requests read and calls out, which the new one took for ended: it stops deciding, calls off what it has out, turns
// away what comes, and ends when it is told to.
func TestUpgradeWhoseSocketBreaks(t *testing.T) {
	x := newPair(t)
	c := dial(t, x.old.addr)
	c.put("u", "unsafe", "+OK")
	in := x.call("u")
	const late = "*5\r\n$7\r\nMSG.PUT\r\n$4\r\n0000\r\n$4\r\nlate\r\n$27\r\nc=safe,t=acme,d=9000,dest=1\r\n$1\r\nx\r\n"
	io.WriteString(c.Conn, late[:len(late)/2]) // keeps the connection open
	t.Setenv(hangUp, "yes")
	runSelf(t, stallIn+"="+x.dir)
	x.old.says("it decides")
	in.AwaitEnd(t)
	io.WriteString(c.Conn, late[len(late)/2:])
	if got := c.line(); got != "-BUSY" {
		t.Errorf("a request that comes then gets %q", got)
	}
	x.old.term()
	x.old.end()
}

// A successor that dies and takes its time to give the journal's lock back was taken for one that lives, and nobody
// decided any more: a process that has ended, or is about to, is told from one that runs.
func TestDyingProcessIsNotTakenForALivingOne(t *testing.T) {
	if isEnding(os.Getpid()) {
		t.Error("this process is taken for one that ends")
	}
	child := exec.Command("true")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	byhand.WaitUntil(t, "end of a process that nobody waits for", func() bool { return isEnding(child.Process.Pid) })
	if err := child.Wait(); err != nil {
		t.Fatal(err)
	}
	if !isEnding(child.Process.Pid) {
		t.Error("a process that is gone is taken for one that runs")
	}
}

// A process whose word that it had taken over was lost served all the same, beside the one before it, which took the
// journal back: what it had taken on had no end. It writes nothing, and asks again.
func TestUpgradeWhoseWordIsLost(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	before, err := handover.Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	x := launchProcess(t, p, dir, known, "127.0.0.1:0")
	for range 2 {
		c, err := before.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.Receive(); err != nil {
			t.Fatal(err)
		}
		if err := c.Send(&handover.Snapshot{Format: handover.Format}); err != nil {
			t.Fatal(err)
		}
		c.Close() // nobody hears what it says then
	}
	before.Close() // and now it can start from the journal
	if err := x.ready(); err != nil {
		t.Fatal(err)
	}
	dial(t, x.addr).put("m", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	x.term()
	x.end()
}

// pair is a sender that is going to be upgraded.
type pair struct {
	t     *testing.T
	p     *discovery.Platform
	e     *byhand.Endpoint
	dir   string
	known platform.List
	old   *process
}

func newPair(t *testing.T) *pair {
	t.Helper()
	x := &pair{t: t, p: discovery.New(t), e: byhand.NewEndpoint(t), dir: t.TempDir()}
	x.known = platform.List{Generation: 1, Reset: true, Instances: instances(x.e)}
	x.p.List = x.known
	x.old = startProcess(t, x.p, x.dir, x.known)
	return x
}

// upgrade starts the next process beside the one that serves, and waits until it does.
func (x *pair) upgrade() *process {
	x.t.Helper()
	next := startProcess(x.t, x.p, x.dir, x.known)
	if next.addr != x.old.addr {
		x.t.Fatalf("it serves at %s, the one before at %s", next.addr, x.old.addr)
	}
	return next
}

func (x *pair) call(id string) *byhand.ReceivedCall {
	x.t.Helper()
	in := byhand.Await(x.t, x.e.Calls, "call of "+id)
	if in.ID() != id {
		x.t.Fatalf("call of %s, want %s", in.ID(), id)
	}
	return in
}

// finish stops a process and checks that nothing is owed, and nothing was sent that should not have been.
func (x *pair) finish(n *process) {
	x.t.Helper()
	n.term()
	n.end()
	x.e.ExpectNoCall(x.t)
	if ids := owed(x.t, x.dir); ids != nil {
		x.t.Errorf("still owed: %v", ids)
	}
}

// Calls that are out stay out: their outcomes count, a told wait holds for the successor, what is held goes on, a
// half-sent request is answered where it was begun, and the old process ends by itself.
func TestUpgradeWithCallsOut(t *testing.T) {
	x := newPair(t)
	c, half := dial(t, x.old.addr), dial(t, x.old.addr)
	out := map[string]*byhand.ReceivedCall{}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		out[class] = x.call("m-" + class)
	}
	io.WriteString(half.Conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nhalf\r\n")
	half.arrived(c)
	next := x.upgrade()
	if got := c.line(); got != "" { // closed between requests
		t.Errorf("kept: %q", got)
	}
	io.WriteString(half.Conn, "$26\r\nc=unsafe,d=9000,k=1,dest=1\r\n$1\r\nx\r\n")
	if got := half.line(); got != "+OK" {
		t.Errorf("half-sent: %q", got)
	}
	out["keyed"].Reply(200)
	out["safe"].Reply(200)
	x.call("half").Reply(200)
	told := time.Now()
	const wait = 600 * time.Millisecond
	out["unsafe"].Reply(429, "X-Come-Back-Ms: 600")
	dial(t, next.addr).put("m-unsafe", "unsafe", "+OK") // the same message once more
	in := x.call("m-unsafe")
	if d := in.At.Sub(told); d < wait {
		t.Errorf("sent again %v after a wait of %v was told", d, wait)
	}
	in.Reply(200)
	x.old.end()
	x.finish(next)
	if len(x.p.Notices) != 0 {
		t.Errorf("notice %+v", <-x.p.Notices)
	}
}

// arrived waits until what was sent on this connection has come: what was sent later on another has been answered.
func (c *client) arrived(other *client) {
	c.t.Helper()
	if got := other.do("PING"); got != "+PONG" {
		c.t.Fatalf("PING: %q", got)
	}
}

// Both together keep to the slots of one: with all out at the old process, the successor waits for their outcomes.
func TestUpgradeCountsSlots(t *testing.T) {
	x := newPair(t)
	c := dial(t, x.old.addr)
	var out []*byhand.ReceivedCall
	for i := range 3 { // half of the six slots may go to one partner
		c.put(fmt.Sprint("out", i), "safe", "+OK")
		out = append(out, byhand.Await(t, x.e.Calls, "call"))
	}
	c.put("held", "safe", "+OK")
	x.e.ExpectNoCall(t)
	next := x.upgrade()
	dial(t, next.addr).put("new", "safe", "+OK")
	x.e.ExpectNoCall(t)
	out[0].Reply(200)
	byhand.Await(t, x.e.Calls, "call of one that was held").Reply(200)
	byhand.Await(t, x.e.Calls, "call of the other").Reply(200)
	out[1].Reply(200)
	out[2].Reply(200)
	x.old.end()
	x.finish(next)
}

// The old process is killed right after the step: its calls are in doubt, and only those.
func TestUpgradeThenKillOld(t *testing.T) {
	x := newPair(t)
	c := dial(t, x.old.addr)
	c.put("u", "unsafe", "+OK")
	x.call("u")
	c.put("s", "safe", "+OK")
	x.call("s")
	next := x.upgrade()
	x.old.kill()
	if n := byhand.Await(t, x.p.Notices, "notice"); n != (discovery.Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.call("s").Reply(200)
	x.finish(next)
}

// The successor is killed right after the step: the journal has all that was taken on, for the start after.
func TestUpgradeThenKillHeir(t *testing.T) {
	x := newPair(t)
	c := dial(t, x.old.addr)
	c.put("s", "safe", "+OK")
	x.call("s")
	next := x.upgrade()
	dial(t, next.addr).put("more", "safe", "+OK")
	more := x.call("more")
	next.kill()
	more.Reset()
	x.old.term()
	x.old.end()
	last := startProcess(t, x.p, x.dir, x.known)
	got := map[string]bool{}
	for range 2 {
		in := byhand.Await(t, x.e.Calls, "call")
		got[in.ID()] = true
		in.Reply(200)
	}
	if !got["s"] || !got["more"] {
		t.Errorf("sent: %v", got)
	}
	x.finish(last)
}

// Processes that ask and come to nothing: one that goes away at each stage, one that says nothing, one of another
// format, and one that hangs with the journal's lock. The old one serves on and has lost nothing.
func TestUpgradeThatFails(t *testing.T) {
	ask := func(t *testing.T, x *pair, format int, want any) *handover.Conn {
		t.Helper()
		c, err := handover.Dial(x.dir, byhand.Timeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if err := c.Send(&handover.SnapshotRequest{Format: format}); err != nil {
			t.Fatal(err)
		}
		c.SetReceiveDeadline(time.Now().Add(byhand.Timeout))
		m, files, err := c.Receive()
		for _, f := range files {
			f.Close()
		}
		if err != nil || fmt.Sprintf("%T", m) != fmt.Sprintf("%T", want) {
			t.Fatalf("got %T, %v", m, err)
		}
		return c
	}
	for name, try := range map[string]func(t *testing.T, x *pair){
		"goes before it asks": func(t *testing.T, x *pair) {
			c, err := handover.Dial(x.dir, byhand.Timeout)
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		},
		"goes with the snapshot": func(t *testing.T, x *pair) {
			ask(t, x, handover.Format, &handover.Snapshot{}).Close()
			x.old.says("not handed over")
		},
		"says nothing": func(t *testing.T, x *pair) {
			ask(t, x, handover.Format, &handover.Snapshot{})
			x.old.says("not handed over")
		},
		"another format": func(t *testing.T, x *pair) { ask(t, x, 99, &handover.Refusal{}) },
		"hangs with the lock": func(t *testing.T, x *pair) {
			hung := runSelf(t, stallIn+"="+x.dir)
			x.old.says("it is ended")
			if err := hung.Wait(); err == nil || !strings.Contains(err.Error(), "killed") {
				t.Errorf("it ended with %v", err)
			}
			x.old.says("not handed over")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newPair(t)
			c := dial(t, x.old.addr)
			c.put("u", "unsafe", "+OK")
			in := x.call("u")
			try(t, x)
			in.Reply(200)
			c2 := dial(t, x.old.addr)
			c2.put("after", "unsafe", "+OK")
			x.call("after").Reply(200)
			c2.put("u", "unsafe", "+OK") // known still
			next := x.upgrade()          // and the next one that asks takes over
			dial(t, next.addr).put("last", "safe", "+OK")
			x.call("last").Reply(200)
			x.old.end()
			x.finish(next)
		})
	}
}

// Four upgrades in a row under load: every message that was taken on is delivered, none twice, and no connection
// meets a closed door.
func TestUpgradesUnderLoad(t *testing.T) {
	x := newPair(t)
	addr, n := x.old.addr, 0
	answered, stop, done := make(chan struct{}, 1), make(chan struct{}), make(chan int)
	go func() {
		seen := map[string]int{}
		for {
			select {
			case in := <-x.e.Calls:
				if seen[in.ID()]++; seen[in.ID()] > 1 {
					t.Errorf("%s is sent twice", in.ID())
				}
				in.Reply(200)
				answered <- struct{}{}
			case <-stop:
				done <- len(seen)
				return
			}
		}
	}()
	put := func() {
		t.Helper()
		n++
		c := dial(t, addr)
		c.put(fmt.Sprint("m", n), "unsafe", "+OK")
		c.Conn.Close()
		byhand.Await(t, answered, "answered call")
	}
	for range 4 {
		ready := make(chan *process)
		go func() { ready <- startProcess(t, x.p, x.dir, x.known) }()
		for next := (*process)(nil); next == nil; {
			put()
			select {
			case next = <-ready:
				x.old.end()
				x.old = next
			default:
			}
		}
		put()
	}
	x.old.term()
	x.old.end()
	close(stop)
	if got := <-done; got != n {
		t.Errorf("%d of %d messages were sent", got, n)
	}
	if ids := owed(t, x.dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}
