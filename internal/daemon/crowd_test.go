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

// idleClientInputs are sent by idle clients once they are connected, in turn: nothing, a complete request, after whose
// answer they stay idle, and the beginning of a request.
var idleClientInputs = []string{"", "*1\r\n$4\r\nPING\r\n", "*5\r\n$7\r\nMSG.PUT\r\n$1"}

// startIdleClients keeps n idle connections to an address open until the test ends. Each that is closed is reported on
// gone and connects again.
func startIdleClients(t *testing.T, addr string, n, kinds int) (gone chan struct{}) {
	gone = make(chan struct{}, 1<<16)
	for i := range n {
		go func() {
			for t.Context().Err() == nil {
				c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
				if err == nil {
					stop := context.AfterFunc(t.Context(), func() { c.Close() })
					io.WriteString(c, idleClientInputs[i%kinds])
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

// submitWithRetries submits a message while idle clients compete for connections. The new connection may be closed
// unread, and the client connects again; it must be served after at most four such closes.
func submitWithRetries(t *testing.T, addr, id string) {
	t.Helper()
	got := ""
	for range 5 {
		if got = dial(t, addr).do("MSG.PUT", "0000", id,
			fmt.Sprintf("c=unsafe,t=acme,d=10000,k=key-%s,dest=1", id), "body of "+id); got == "+OK" {
			return
		}
		if got != "" {
			break
		}
	}
	t.Fatalf("put %s: got %q, want +OK", id, got)
}

// switchableServer is an HTTP server at one address that can be stopped and started again.
type switchableServer struct {
	t    *testing.T
	addr string
	to   http.Handler
	srv  *http.Server
}

func newSwitchableServer(t *testing.T, to http.Handler) *switchableServer {
	d := &switchableServer{t: t, addr: "127.0.0.1:0", to: to}
	d.start()
	t.Cleanup(d.stop)
	return d
}

func (d *switchableServer) start() {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.addr, d.srv = ln.Addr().String(), &http.Server{Handler: d.to}
	go d.srv.Serve(ln)
}

// stop resets open connections and makes the address refuse new ones.
func (d *switchableServer) stop() { d.srv.Close() }

// Idle clients hold all descriptors that they can get, and reconnect when they are closed, while discovery is down and
// the only listed endpoint is gone. After discovery has recovered, the list is requested on a new connection, calls go
// to the endpoint that only the new list has, also on a new connection, a client with a request is served, and the
// notice of a failed message is sent.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ limit, kinds int }{{256, 1}, {256, 3}, {128, 1}, {64, 3}} { // the configuration says 256
		limit := x.limit
		t.Run(fmt.Sprintf("%d descriptors, %d kinds of clients", limit, x.kinds), func(t *testing.T) {
			t.Parallel()
			d, old, e, dir := discovery.New(t), byhand.NewEndpoint(t), byhand.NewEndpoint(t), t.TempDir()
			server := newSwitchableServer(t, d.Server.Config.Handler)
			known := platform.List{Generation: 1, Reset: true, Instances: instances(old)}
			d.List, d.EditSettings = known, func(settings string) string { // poll often
				return strings.Replace(settings, `"rules":{`, `"rules":{"ask_every_s":0.3,`, 1)
			}
			known.Instances[0].HostPort = byhand.RefusingAddr(t) // a released port may be reused by another test
			config := filepath.Join(dir, "config.json")
			text := strings.Replace(string(configText(d, known)), strings.TrimPrefix(d.Server.URL, "http://"), server.addr, 1)
			if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p, err := program.Start("/bin/sh", []string{"BALANCER_LISTEN=127.0.0.1:0", "BALANCER_CONFIG=" + config,
				"BALANCER_DISCOVERY=" + server.addr, "BALANCER_STATE=" + filepath.Join(dir, "state")},
				"-c", fmt.Sprintf("ulimit -n %d; exec %s", limit, path))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { p.Cmd.Process.Kill() })
			byhand.Await(t, d.ListCalls, "watch")
			gone := startIdleClients(t, p.Addrs[0], 2*limit, x.kinds)
			for range limit {
				byhand.Await(t, gone, "closed idle client")
			}
			server.stop()
			if err := p.AwaitLog("msg=discovery"); err != nil {
				t.Fatal(err)
			}
			openDescriptors := func() int {
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
				if err != nil {
					t.Fatal(err)
				}
				return len(fds)
			}
			if n := openDescriptors(); n >= limit {
				t.Errorf("%d of %d descriptors are open: none is left", n, limit)
			}
			submitWithRetries(t, p.Addrs[0], "held")
			for range limit {
				byhand.Await(t, gone, "closed idle client")
			}
			d.Set(func() { d.List = platform.List{Generation: 2, Reset: true, Instances: instances(old, e)[1:]} })
			server.start()
			recoveredAt := time.Now()
			awaitListRequest(t, d, 2)
			t.Logf("the list was received %v after discovery recovered, %d descriptors open",
				time.Since(recoveredAt), openDescriptors())
			byhand.Await(t, e.Calls, "call").Reply(500)
			if n := byhand.Await(t, d.Notices, "notice"); n.ID != "held" || n.State != "failed" {
				t.Errorf("notice %+v", n)
			}
			for _, id := range []string{"a", "b", "c"} {
				submitWithRetries(t, p.Addrs[0], id)
				byhand.Await(t, e.Calls, "call").Reply(200)
			}
			t.Logf("all served %v after discovery recovered", time.Since(recoveredAt))
		})
	}
}
