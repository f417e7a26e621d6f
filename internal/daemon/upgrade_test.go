package daemon

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/handover"
	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// stallDirVariable names the environment variable with the folder whose journal a copy of the test binary locks as a
// successor, without confirming the handover.
const stallDirVariable = "COMETRACK_TEST_STALL"

// stallDisconnectVariable names the environment variable that makes the copy close the connection after that.
const stallDisconnectVariable = "COMETRACK_TEST_HANG_UP"

// stallHoldingLock is a successor that hangs in the worst place: it has the journal's lock and has not confirmed the
// handover.
func stallHoldingLock(dir string) {
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
	if os.Getenv(stallDisconnectVariable) != "" {
		c.Close()
	}
	fmt.Fprintln(os.Stderr, "msg=ready")
	select {}
}

// The socket of a handover broke while both processes ran. The predecessor waited seconds for the journal with requests
// read and attempts in flight, which the successor treated as ended. Instead, the predecessor stops deciding, cancels
// its attempts in flight, rejects new requests, and exits on SIGTERM.
func TestUpgradeWhoseSocketBreaks(t *testing.T) {
	x := startUpgradeScenario(t)
	c := dial(t, x.old.addr)
	c.put("u", "unsafe", "+OK")
	in := x.awaitCall("u")
	const late = "*5\r\n$7\r\nMSG.PUT\r\n$4\r\n0000\r\n$4\r\nlate\r\n$27\r\nc=safe,t=acme,d=9000,dest=1\r\n$1\r\nx\r\n"
	io.WriteString(c.Conn, late[:len(late)/2]) // half a request keeps the connection open
	t.Setenv(stallDisconnectVariable, "yes")
	runSelf(t, stallDirVariable+"="+x.dir)
	x.old.awaitLog("it decides")
	in.AwaitEnd(t)
	io.WriteString(c.Conn, late[len(late)/2:])
	if got := c.line(); got != "-BUSY" {
		t.Errorf("a request received after that gets %q", got)
	}
	x.old.term()
	x.old.awaitExit()
}

// A successor that crashed and released the journal's lock late was treated as running, and no process decided any
// more. A process that has exited or is exiting must be distinguished from a running one.
func TestExitingProcessIsRecognized(t *testing.T) {
	if isExiting(os.Getpid()) {
		t.Error("this process is reported as exiting")
	}
	child := exec.Command("true")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	byhand.WaitUntil(t, "exit of a process that has not been waited for", func() bool { return isExiting(child.Process.Pid) })
	if err := child.Wait(); err != nil {
		t.Fatal(err)
	}
	if !isExiting(child.Process.Pid) {
		t.Error("a process that has exited is reported as running")
	}
}

// A successor whose confirmation was lost served clients all the same, beside the predecessor, which took the journal
// back: the messages that the successor accepted had no end. The successor must write nothing and request the handover
// again.
func TestUpgradeWhoseWordIsLost(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	predecessor := listenAsPredecessor(t, dir)
	x := launchProcess(t, p, dir, known, "127.0.0.1:0")
	for range 2 {
		sendSnapshotAndLoseConfirmation(t, predecessor)
	}
	predecessor.Close() // now the process can start from the journal
	if err := x.ready(); err != nil {
		t.Fatal(err)
	}
	dial(t, x.addr).put("m", "safe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(200)
	x.term()
	x.awaitExit()
}

// listenAsPredecessor listens at the handover socket of the journal's folder dir. It uses a plain socket because a
// [handover.Conn] can't close one direction.
func listenAsPredecessor(t *testing.T, dir string) *net.UnixListener {
	t.Helper()
	path := filepath.Join(dir, "upgrade", "socket")
	if err := os.Mkdir(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ln.SetDeadline(time.Now().Add(byhand.Timeout))
	return ln
}

// sendSnapshotAndLoseConfirmation answers the next request for a handover. It closes the direction of the confirmation
// before it sends the snapshot, so that the successor can't send the confirmation however fast it is.
func sendSnapshotAndLoseConfirmation(t *testing.T, predecessor *net.UnixListener) {
	t.Helper()
	conn, err := predecessor.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(byhand.Timeout))
	if request := receiveFrame(t, conn); request != snapshotRequestKind {
		t.Fatalf("received a message of kind %d instead of a request for a handover", request)
	}
	conn.CloseRead()
	body, err := cbor.Marshal(&handover.Snapshot{Format: handover.Format})
	if err != nil {
		t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	frame = append(frame, snapshotKind)
	if _, err := conn.Write(append(frame, body...)); err != nil {
		t.Fatal(err)
	}
}

// Kinds of messages on the handover socket.
const (
	snapshotRequestKind = 1
	snapshotKind        = 3
)

// receiveFrame reads a message from the handover socket and returns its kind.
func receiveFrame(t *testing.T, conn net.Conn) (kind byte) {
	t.Helper()
	var head [5]byte // length of the body, and the kind
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(head[:4]))); err != nil {
		t.Fatal(err)
	}
	return head[4]
}

// upgradeScenario is a running sender that is going to be upgraded.
type upgradeScenario struct {
	t     *testing.T
	p     *discovery.Platform
	e     *byhand.Endpoint
	dir   string
	known platform.List
	old   *process
}

func startUpgradeScenario(t *testing.T) *upgradeScenario {
	t.Helper()
	x := &upgradeScenario{t: t, p: discovery.New(t), e: byhand.NewEndpoint(t), dir: t.TempDir()}
	x.known = platform.List{Generation: 1, Reset: true, Instances: instances(x.e)}
	x.p.List = x.known
	x.old = startProcess(t, x.p, x.dir, x.known)
	return x
}

// upgrade starts the successor and waits until it is ready.
func (x *upgradeScenario) upgrade() *process {
	x.t.Helper()
	next := startProcess(x.t, x.p, x.dir, x.known)
	if next.addr != x.old.addr {
		x.t.Fatalf("the successor serves at %s, the predecessor at %s", next.addr, x.old.addr)
	}
	return next
}

func (x *upgradeScenario) awaitCall(id string) *byhand.ReceivedCall {
	x.t.Helper()
	in := byhand.Await(x.t, x.e.Calls, "call of "+id)
	if in.ID() != id {
		x.t.Fatalf("call of %s, want %s", in.ID(), id)
	}
	return in
}

// finish stops a process and checks that no message is pending and no unexpected call was made.
func (x *upgradeScenario) finish(n *process) {
	x.t.Helper()
	n.term()
	n.awaitExit()
	x.e.ExpectNoCall(x.t)
	if ids := pendingIDs(x.t, x.dir); ids != nil {
		x.t.Errorf("messages still pending: %v", ids)
	}
}

// Calls in flight at an upgrade continue: their outcomes count, the successor respects a wait requested in one of them,
// pending messages are delivered, a request sent in part is answered by the process that began to read it, and the
// predecessor exits by itself.
func TestUpgradeWithCallsOut(t *testing.T) {
	x := startUpgradeScenario(t)
	c, half := dial(t, x.old.addr), dial(t, x.old.addr)
	out := map[string]*byhand.ReceivedCall{}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		out[class] = x.awaitCall("m-" + class)
	}
	io.WriteString(half.Conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nhalf\r\n")
	half.awaitReceived(c)
	next := x.upgrade()
	if got := c.line(); got != "" { // closed between requests
		t.Errorf("the connection stays open: %q", got)
	}
	io.WriteString(half.Conn, "$26\r\nc=unsafe,d=9000,k=1,dest=1\r\n$1\r\nx\r\n")
	if got := half.line(); got != "+OK" {
		t.Errorf("half-sent: %q", got)
	}
	out["keyed"].Reply(200)
	out["safe"].Reply(200)
	x.awaitCall("half").Reply(200)
	requestedAt := time.Now()
	const wait = 600 * time.Millisecond
	out["unsafe"].Reply(429, "X-Come-Back-Ms: 600")
	dial(t, next.addr).put("m-unsafe", "unsafe", "+OK") // the same message again
	in := x.awaitCall("m-unsafe")
	if d := in.At.Sub(requestedAt); d < wait {
		t.Errorf("sent again %v after a wait of %v was requested", d, wait)
	}
	in.Reply(200)
	x.old.awaitExit()
	x.finish(next)
	if len(x.p.Notices) != 0 {
		t.Errorf("notice %+v", <-x.p.Notices)
	}
}

// awaitReceived waits until the sender has received what was sent on this connection: a later request on another
// connection has been answered.
func (c *client) awaitReceived(other *client) {
	c.t.Helper()
	if got := other.do("PING"); got != "+PONG" {
		c.t.Fatalf("PING: %q", got)
	}
}

// Both processes together keep to the slots of one: while the predecessor uses all of them, the successor waits for
// their outcomes.
func TestUpgradeCountsSlots(t *testing.T) {
	x := startUpgradeScenario(t)
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
	byhand.Await(t, x.e.Calls, "call of a pending message").Reply(200)
	byhand.Await(t, x.e.Calls, "call of the other message").Reply(200)
	out[1].Reply(200)
	out[2].Reply(200)
	x.old.awaitExit()
	x.finish(next)
}

// The predecessor is killed right after the handover: only its attempts in flight may have run.
func TestUpgradeThenKillPredecessor(t *testing.T) {
	x := startUpgradeScenario(t)
	c := dial(t, x.old.addr)
	c.put("u", "unsafe", "+OK")
	x.awaitCall("u")
	c.put("s", "safe", "+OK")
	x.awaitCall("s")
	next := x.upgrade()
	x.old.kill()
	if n := byhand.Await(t, x.p.Notices, "notice"); n != (discovery.Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.awaitCall("s").Reply(200)
	x.finish(next)
}

// The successor is killed right after the handover: the journal has all accepted messages for the next start.
func TestUpgradeThenKillSuccessor(t *testing.T) {
	x := startUpgradeScenario(t)
	c := dial(t, x.old.addr)
	c.put("s", "safe", "+OK")
	x.awaitCall("s")
	next := x.upgrade()
	dial(t, next.addr).put("more", "safe", "+OK")
	more := x.awaitCall("more")
	next.kill()
	more.Reset()
	x.old.term()
	x.old.awaitExit()
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

// Handovers that fail: the successor disconnects at each stage, does not confirm, uses another format, or hangs with
// the journal's lock. The predecessor goes on serving and has lost nothing.
func TestUpgradeThatFails(t *testing.T) {
	requestHandover := func(t *testing.T, x *upgradeScenario, format int, want any) *handover.Conn {
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
	for name, try := range map[string]func(t *testing.T, x *upgradeScenario){
		"disconnects before its request": func(t *testing.T, x *upgradeScenario) {
			c, err := handover.Dial(x.dir, byhand.Timeout)
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		},
		"disconnects after the snapshot": func(t *testing.T, x *upgradeScenario) {
			requestHandover(t, x, handover.Format, &handover.Snapshot{}).Close()
			x.old.awaitLog("not handed over")
		},
		"does not confirm": func(t *testing.T, x *upgradeScenario) {
			requestHandover(t, x, handover.Format, &handover.Snapshot{})
			x.old.awaitLog("not handed over")
		},
		"another format": func(t *testing.T, x *upgradeScenario) { requestHandover(t, x, 99, &handover.Refusal{}) },
		"hangs with the lock": func(t *testing.T, x *upgradeScenario) {
			hung := runSelf(t, stallDirVariable+"="+x.dir)
			x.old.awaitLog("it is ended")
			if err := hung.Wait(); err == nil || !strings.Contains(err.Error(), "killed") {
				t.Errorf("the successor exited with %v", err)
			}
			x.old.awaitLog("not handed over")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startUpgradeScenario(t)
			c := dial(t, x.old.addr)
			c.put("u", "unsafe", "+OK")
			in := x.awaitCall("u")
			try(t, x)
			in.Reply(200)
			c2 := dial(t, x.old.addr)
			c2.put("after", "unsafe", "+OK")
			x.awaitCall("after").Reply(200)
			c2.put("u", "unsafe", "+OK") // its end is still known
			next := x.upgrade()          // the next handover succeeds
			dial(t, next.addr).put("last", "safe", "+OK")
			x.awaitCall("last").Reply(200)
			x.old.awaitExit()
			x.finish(next)
		})
	}
}

// Four upgrades in a row under load: every accepted message is delivered, none twice, and no connection is refused.
func TestUpgradesUnderLoad(t *testing.T) {
	x := startUpgradeScenario(t)
	addr, n := x.old.addr, 0
	answered, stop, done := make(chan struct{}, 1), make(chan struct{}), make(chan int)
	go func() {
		seen := map[string]int{}
		for {
			select {
			case in := <-x.e.Calls:
				if seen[in.ID()]++; seen[in.ID()] > 1 {
					t.Errorf("%s was sent twice", in.ID())
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
				x.old.awaitExit()
				x.old = next
			default:
			}
		}
		put()
	}
	x.old.term()
	x.old.awaitExit()
	close(stop)
	if got := <-done; got != n {
		t.Errorf("%d of %d messages were sent", got, n)
	}
	if ids := pendingIDs(t, x.dir); ids != nil {
		t.Errorf("messages still pending: %v", ids)
	}
}
