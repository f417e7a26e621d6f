package daemon

import (
	"io"
	"strings"
	"testing"

	"cometrack/internal/lifecycle"
	"cometrack/internal/standin/byhand"
)

// Out of service: PING says no at once; kept connections go on for a while and are then closed between requests,
// the half-sent and pipelined ones with all their answers; what is held is sent on; a message that comes all the
// same is taken on; and the end of the drain is seen at once.
func TestDrain(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	half, idle := dial(t, n.addr), dial(t, n.addr)
	idle.do("PING")
	c.put("held", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	n.life.HandleEvent(lifecycle.DrainOn)
	if got := c.do("PING"); got == "+PONG" {
		t.Error("PING says yes")
	}
	c.put("late", "unsafe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	io.WriteString(half.Conn, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI")
	if got := idle.line(); got != "" { // the door is shut behind those that rest
		t.Errorf("idle: %q", got)
	}
	io.WriteString(half.Conn, "NG\r\n")
	for i, want := range []string{"-LAMEDUCK", "-LAMEDUCK", ""} {
		if got := half.line(); !strings.HasPrefix(got, want) || (want == "") != (got == "") {
			t.Errorf("half-sent: line %d is %q", i, got)
		}
	}
	if got := c.line(); got != "" {
		t.Errorf("kept: %q", got)
	}
	probe := dial(t, n.addr)
	if got := probe.do("PING"); got == "+PONG" {
		t.Error("PING says yes")
	}
	if got := probe.line(); got != "" {
		t.Errorf("a new connection is kept: %q", got)
	}
	late := dial(t, n.addr)
	late.put("later", "safe", "+OK")
	byhand.Await(t, e[0].Calls, "call").Reply(200)
	in.Reply(200)
	n.life.HandleEvent(lifecycle.DrainOff)
	n.life.HandleEvent(lifecycle.DrainOn) // in quick succession
	n.life.HandleEvent(lifecycle.DrainOff)
	back := dial(t, n.addr)
	for range 2 { // and connections are kept again
		if got := back.do("PING"); got != "+PONG" {
			t.Errorf("after the drain: %q", got)
		}
	}
	stopClean(t, n)
}

// SIGTERM under a drain: it ends as from service.
func TestEndUnderDrain(t *testing.T) {
	n, c, _, e := startScenario(t, 1)
	c.put("held", "safe", "+OK")
	in := byhand.Await(t, e[0].Calls, "call")
	n.life.HandleEvent(lifecycle.DrainOn)
	if got := c.line(); got != "" {
		t.Errorf("kept: %q", got)
	}
	n.stop()
	n.life.HandleEvent(lifecycle.DrainOff)
	in.Reply(200)
	stopClean(t, n)
}
