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
	e := silentEndpoint(t)
	attempt := func() *core.Attempt { return newAttempt(e.Addr().String(), "x", 200*time.Millisecond) }
	for name, call := range map[string]func(*Transport) logic.Outcome{
		"messages": func(c *Transport) logic.Outcome { return c.Attempt(t.Context(), attempt()).Outcome },
		"probes":   func(c *Transport) logic.Outcome { return c.Probe(t.Context(), 1, e.Addr().String()) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestTransport()
			c.reuseDelay = 0
			keepIdleConnections(t, c, attempt(), idle)
			if got := call(c); got != logic.Completed {
				t.Fatalf("%v before the silence", got)
			}
			if n := e.SilenceOpen(silence.Both); n < idle {
				t.Fatalf("%d connections are open, want %d", n, idle)
			}
			timedOut := 0
			for range idle + 1 {
				if call(c) == logic.TimedOut {
					timedOut++
				}
			}
			if timedOut != 1 {
				t.Errorf("%d calls ran out of time, want one", timedOut)
			}
		})
	}
}

// keepIdleConnections opens idle connections to an attempt's endpoint.
func keepIdleConnections(t *testing.T, c *Transport, attempt *core.Attempt, count int) {
	t.Helper()
	var conns []*persistentConn
	for range count {
		conn, err := c.connect(t.Context(), attempt, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		if !c.keepIdle(attempt.Endpoint, conn) {
			t.Fatal("a connection was not kept")
		}
	}
}
