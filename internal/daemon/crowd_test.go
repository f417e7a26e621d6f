package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/program"
)

// crowdSays is what idle clients say once they are there, in turn: nothing, a whole request, whose answer they rest
// after, and the beginning of one.
var crowdSays = []string{"", "*1\r\n$4\r\nPING\r\n", "*5\r\n$7\r\nMSG.PUT\r\n$1"}

// crowd holds n idle connections to an address until the test is over; each that is closed comes again. gone is told
// of each that is.
func crowd(t *testing.T, addr string, n, kinds int) (gone chan struct{}) {
	gone = make(chan struct{}, 1<<16)
	for i := range n {
		go func() {
			for t.Context().Err() == nil {
				c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
				if err == nil {
					stop := context.AfterFunc(t.Context(), func() { c.Close() })
					io.WriteString(c, crowdSays[i%kinds])
					io.Copy(io.Discard, c)
					stop()
					c.Close()
				}
				gone <- struct{}{}
				select {
				case <-t.Context().Done():
				case <-time.After(400 * time.Millisecond):
				}
			}
		}()
	}
	return gone
}

// served hands a message in through a crowd. A new connection may be shut unread then, and its client comes again, as a
// client does; it has to be served within four such times.
func served(t *testing.T, addr, id string) {
	t.Helper()
	got := ""
	for range 5 {
		if got = dial(t, addr).do("MSG.PUT", "0000", id, fmt.Sprintf("c=unsafe,t=acme,d=10000,k=key-%s,dest=1", id), "body of "+id); got == "+OK" {
			return
		}
		if got != "" {
			break
		}
	}
	t.Fatalf("put %s: got %q, want +OK", id, got)
}

// door lets callers in to a server that stands in the test, or away, at one address.
type door struct {
	t    *testing.T
	addr string
	to   http.Handler
	srv  *http.Server
}

func newDoor(t *testing.T, to http.Handler) *door {
	d := &door{t: t, addr: "127.0.0.1:0", to: to}
	d.open()
	t.Cleanup(d.shut)
	return d
}

func (d *door) open() {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.addr, d.srv = ln.Addr().String(), &http.Server{Handler: d.to}
	go d.srv.Serve(ln)
}

// shut resets what is open and refuses what comes.
func (d *door) shut() { d.srv.Close() }

// Idle clients hold all descriptors that they can get, and come again as they are closed, while discovery is away
// and the only endpoint that was listed is gone. Discovery comes back: the list is asked for, on a connection that is
// new, attempts go to the endpoint that only the new list has, also on a new one, and a client with a request is
// served, as is the end of a message that fails.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ limit, kinds int }{{256, 1}, {256, 3}, {128, 1}, {64, 3}} { // the configuration says 256
		limit := x.limit
		t.Run(fmt.Sprintf("%d descriptors, %d kinds of clients", limit, x.kinds), func(t *testing.T) {
			t.Parallel()
			d, old, e, dir := discovery.New(t), byhand.NewEndpoint(t), byhand.NewEndpoint(t), t.TempDir()
			door := newDoor(t, d.Server.Config.Handler)
			known := platform.List{Generation: 1, Reset: true, Instances: instances(old)}
			d.List, d.EditSettings = known, func(settings string) string { // it is to ask often
				return strings.Replace(settings, `"rules":{`, `"rules":{"ask_every_s":0.3,`, 1)
			}
			known.Instances[0].HostPort = byhand.RefusingAddr(t) // a port that is given back may become another test's
			config := filepath.Join(dir, "config.json")
			text := strings.Replace(string(configText(d, known)), strings.TrimPrefix(d.Server.URL, "http://"), door.addr, 1)
			if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p, err := program.Start("/bin/sh", []string{"BALANCER_LISTEN=127.0.0.1:0", "BALANCER_CONFIG=" + config,
				"BALANCER_DISCOVERY=" + door.addr, "BALANCER_STATE=" + filepath.Join(dir, "state")}, "-c", fmt.Sprintf("ulimit -n %d; exec %s", limit, path))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { p.Cmd.Process.Kill() })
			byhand.Await(t, d.ListCalls, "watch")
			gone := crowd(t, p.Addrs[0], 2*limit, x.kinds)
			for range limit {
				byhand.Await(t, gone, "idle client that makes room")
			}
			door.shut()
			if err := p.AwaitLog("msg=discovery"); err != nil {
				t.Fatal(err)
			}
			held := func() int {
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
				if err != nil {
					t.Fatal(err)
				}
				return len(fds)
			}
			if n := held(); n >= limit {
				t.Errorf("%d descriptors, %d are allowed: none is left", n, limit)
			}
			served(t, p.Addrs[0], "held")
			for range limit {
				byhand.Await(t, gone, "idle client that makes room")
			}
			d.Set(func() { d.List = platform.List{Generation: 2, Reset: true, Instances: instances(old, e)[1:]} })
			door.open()
			back := time.Now()
			taken(t, d, 2)
			t.Logf("the list is there %v after discovery is back, %d descriptors", time.Since(back), held())
			byhand.Await(t, e.Calls, "call").Reply(500)
			if n := byhand.Await(t, d.Notices, "notice"); n.ID != "held" || n.State != "failed" {
				t.Errorf("notice %+v", n)
			}
			for _, id := range []string{"a", "b", "c"} {
				served(t, p.Addrs[0], id)
				byhand.Await(t, e.Calls, "call").Reply(200)
			}
			t.Logf("served %v after discovery is back", time.Since(back))
		})
	}
}
