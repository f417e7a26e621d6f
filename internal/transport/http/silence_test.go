package httptransport

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/standin/silence"
	"cometrack/logic"
)

// silentEndpoint starts an endpoint that answers 200 at once over connections that can fall silent.
func silentEndpoint(t *testing.T) *silence.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := silence.Listen(ln)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusOK) })}
	go srv.Serve(out)
	t.Cleanup(func() { srv.Close(); out.Close() })
	return out
}

// Guards against one message after another that runs out of time, and unsafe ones that fail by it, because the idle
// connections to an endpoint have all fallen silent: the first call that gets no answer ends those that were open
// together with its own.
func TestSilentIdleConnectionsCostOneCall(t *testing.T) {
	const idle = 4
	e, c := silentEndpoint(t), newTestTransport()
	c.reuseDelay = 0
	attempt := func() *core.Attempt { return newAttempt(e.Addr().String(), "x", 200*time.Millisecond) }
	var conns []*persistentConn
	for range idle {
		conn, err := c.connect(t.Context(), attempt(), time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		if !c.keepIdle(1, conn) {
			t.Fatal("a connection was not kept")
		}
	}
	if r := c.Attempt(t.Context(), attempt()); r.Outcome != logic.Completed {
		t.Fatalf("%v before the silence", r.Outcome)
	}
	if n := e.SilenceOpen(silence.Both); n != idle {
		t.Fatalf("%d connections are open, want %d", n, idle)
	}
	timedOut := 0
	for range idle + 1 {
		if r := c.Attempt(t.Context(), attempt()); r.Outcome == logic.TimedOut {
			timedOut++
		}
	}
	if timedOut > 1 {
		t.Errorf("%d calls ran out of time, one of them has to be enough", timedOut)
	}
}
