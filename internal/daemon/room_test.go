package daemon

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/console"
	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/program"
)

// Silent clients open far more connections than there are descriptors: the console still answers, a message on a new
// connection is accepted, journalled and sent, and a request that was begun before the other clients connected and is
// completed after that succeeds too.
func TestNoFreeDescriptor(t *testing.T) {
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, configText(p, known), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := program.Start("/bin/sh", []string{"BALANCER_CONSOLE=127.0.0.1:0", "BALANCER_LISTEN=127.0.0.1:0",
		"BALANCER_CONFIG=" + config,
		"BALANCER_DISCOVERY=" + strings.TrimPrefix(p.Server.URL, "http://"), "BALANCER_STATE=" + filepath.Join(dir, "state")},
		"-c", "ulimit -n 256; exec "+path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Cmd.Process.Kill() })
	_, at, _ := strings.Cut(byhand.Await(t, x.LogLines, "line on the console"), "msg=console at=")
	slow := dial(t, x.Addrs[0])
	io.WriteString(slow.Conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nslow\r\n$26\r\nc=unsafe,")
	for range 300 {
		for _, addr := range []string{x.Addrs[0], at} {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	io.WriteString(slow.Conn, "d=9000,k=1,dest=1\r\n$1\r\nx\r\n")
	if got := slow.line(); got != "+OK" {
		t.Errorf("slow request: %q", got)
	}
	byhand.Await(t, e.Calls, "call").Reply(200)
	for _, id := range []string{"a", "b", "c"} {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		if got, err := console.Request(ctx, at, "GET", "/_ready"); err != nil || strings.TrimSpace(got) != "serving" {
			t.Errorf("the console answers %q, %v", got, err)
		}
		stop()
		dial(t, x.Addrs[0]).put(id, "unsafe", "+OK")
		byhand.Await(t, e.Calls, "call").Reply(200)
	}
}
