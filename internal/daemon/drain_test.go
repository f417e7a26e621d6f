package daemon

import (
	"io"
	"strings"
	"testing"

	"cometrack/internal/lifecycle"
	"cometrack/internal/standin/byhand"
)

// A drain: PING reports it at once. Existing connections go on for a while and are closed between requests; requests
// that were sent in part or pipelined are answered first. Pending messages are delivered, a message that is submitted
// all the same is accepted, and the end of the drain takes effect at once.
func TestDrain(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	half, idle := dial(t, n.addr), dial(t, n.addr)
	idle.do("PING")
	c.put("held", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	n.life.HandleEvent(lifecycle.DrainOn)
	if got := c.do("PING"); got == "+PONG" {
		t.Error("PING reports that the sender is in service")
	}
	c.put("late", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	io.WriteString(half.Conn, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI")
	if got := idle.line(); got != "" { // idle connections are closed
		t.Errorf("idle: %q", got)
	}
	io.WriteString(half.Conn, "NG\r\n")
	for i, want := range []string{"-LAMEDUCK", "-LAMEDUCK", ""} {
		if got := half.line(); !strings.HasPrefix(got, want) || (want == "") != (got == "") {
			t.Errorf("half-sent: line %d is %q", i, got)
		}
	}
	if got := c.line(); got != "" {
		t.Errorf("the connection stays open: %q", got)
	}
	probe := dial(t, n.addr)
	if got := probe.do("PING"); got == "+PONG" {
		t.Error("PING reports that the sender is in service")
	}
	if got := probe.line(); got != "" {
		t.Errorf("a new connection stays open: %q", got)
	}
	late := dial(t, n.addr)
	late.put("later", "safe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	in.Reply(200)
	n.life.HandleEvent(lifecycle.DrainOff)
	n.life.HandleEvent(lifecycle.DrainOn) // in quick succession
	n.life.HandleEvent(lifecycle.DrainOff)
	back := dial(t, n.addr)
	for range 2 { // connections stay open again
		if got := back.do("PING"); got != "+PONG" {
			t.Errorf("after the drain: %q", got)
		}
	}
	stopClean(t, n)
}

// SIGTERM during a drain: the sender exits as it does from service.
func TestEndUnderDrain(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	c.put("held", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	n.life.HandleEvent(lifecycle.DrainOn)
	if got := c.line(); got != "" {
		t.Errorf("the connection stays open: %q", got)
	}
	n.stop()
	n.life.HandleEvent(lifecycle.DrainOff)
	in.Reply(200)
	stopClean(t, n)
}
