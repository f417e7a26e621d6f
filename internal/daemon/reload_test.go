package daemon

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
)

// hup replaces the configuration file and sends SIGHUP.
func (x *process) hup(text []byte) {
	x.t.Helper()
	if err := os.WriteFile(x.conf+".new", text, 0o600); err != nil {
		x.t.Fatal(err)
	}
	if err := os.Rename(x.conf+".new", x.conf); err != nil {
		x.t.Fatal(err)
	}
	x.Signal(syscall.SIGHUP)
}

// awaitLog waits for a log line that contains part.
func (x *process) awaitLog(part string) {
	x.t.Helper()
	if err := x.AwaitLog(part); err != nil {
		x.t.Fatal(err)
	}
}

// SIGHUP under load, with unusable files and then a valid one: messages go on, and discovery and notices change to the
// new address, including a batch that the old address has not confirmed. The environment still has the old address.
func TestReload(t *testing.T) {
	old, fresh, e, added := discovery.New(t), discovery.New(t), byhand.NewEndpoint(t), byhand.NewEndpoint(t)
	known := platform.List{Generation: 5, Reset: true, Instances: instances(e)}
	old.List = known
	x := startProcess(t, old, t.TempDir(), known)
	byhand.Await(t, old.ListCalls, "watch")
	c := dial(t, x.addr)
	c.put("under-way", "safe", "+OK")
	underWay := byhand.Await(t, e.Calls, "call")

	for i, bad := range []string{"{", "{}",
		strings.Replace(string(configText(fresh, known)), `"discovery":"`, `"discovery":"no address `, 1)} {
		x.hup([]byte(strings.ReplaceAll(bad, "no address 127.0.0.1:", "no address ")))
		x.awaitLog("old configuration stands")
		id := fmt.Sprint("bad-", i)
		c.put(id, "safe", "+OK")
		in := byhand.Await(t, e.Calls, "call")
		if in.ID() != id {
			t.Errorf("call with %s", in.ID())
		}
		in.Reply(200)
	}

	old.Set(func() { old.RejectNotices = true })
	c.put("fails", "unsafe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(500)
	byhand.Await(t, old.RejectedNotices, "notice")
	// The new address has its own generation numbers: a watch from the old one's generation would wait forever.
	fresh.List = platform.List{Generation: 2, Reset: true, Instances: instances(e, added)}
	x.hup(configText(fresh, known))
	if n := byhand.Await(t, fresh.Notices, "notice at the new address"); n != (discovery.Notice{ID: "fails", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	if q := byhand.Await(t, fresh.ListCalls, "call at the new address"); q != "" {
		t.Errorf("requested %q, want the complete list", q)
	}
	byhand.Await(t, fresh.ListCalls, "watch at the new address") // shows that the list before it has been read
	old.Server.CloseClientConnections()
	underWay.Reply(200)
	for i := 0; ; i++ { // until the endpoint that only the new address lists gets a call
		c.put(fmt.Sprint("m-", i), "safe", "+OK")
		var in *byhand.ReceivedCall
		select {
		case in = <-e.Calls:
		case in = <-added.Calls:
		}
		in.Reply(200)
		if in.Conn.LocalAddr().String() == added.Addr() {
			break
		}
		if i == 20 {
			t.Fatal("the new list is not used")
		}
	}
	x.term()
	x.awaitExit()
}
