package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/lifecycle"
	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
)

// instances returns the list entries of endpoints, all of destination 1.
func instances(eps ...*byhand.Endpoint) []platform.Instance {
	var out []platform.Instance
	for i, e := range eps {
		out = append(out, platform.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: e.Addr(), Zone: "a", Kind: "std", Dest: 1,
			Lifecycle: "up", Weight: 100})
	}
	return out
}

// settings are the settings of the tests: one class of each effect.
const settings = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"tick_s":0.005,"membership_mode":"on_request",
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":[
{"name":"safe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"retryable","group":"all","window_s":5},
{"name":"keyed","aim_s":2,"deadline_s":24,"worth":1,"late_worth":0.4,"idempotency":"dedup","group":"all","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"fragile","group":"all","window_s":5}],
"tenants":[{"name":"acme","quota_rps":100}],
"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":3,"max_open":8,"max_retry_after_s":2,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":6,"late":"halves","separate_routes":[false]}}`

// configText returns the configuration file of a sender.
func configText(p *discovery.Platform, known platform.List) []byte {
	settings := settings
	if p.EditSettings != nil {
		settings = p.EditSettings(settings)
	}
	b, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"discovery": strings.TrimPrefix(p.Server.URL, "http://"), "seed": "1f",
		"limits": config.PlatformLimits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, "known": known,
		"settings": json.RawMessage(settings)})
	if err != nil {
		panic(err)
	}
	return b
}

// testSender is a sender under test that runs in this process.
type testSender struct {
	*Platform
	dir  string
	addr string
	stop context.CancelFunc
	done chan error
}

func startSender(t *testing.T, p *discovery.Platform, dir string, known platform.List,
	with ...func(*Platform)) *testSender {
	t.Helper()
	cfg, err := config.ParsePlatform(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	n, err := NewPlatform(t.Context(), cfg,
		lifecycle.NewController(core.LifecycleTimes, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range with {
		option(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	x := &testSender{Platform: n, dir: dir, stop: stop, done: make(chan error, 1)}
	go func() { x.done <- n.Run(ctx, nil, nil) }()
	awaitClosed(t, n.core.Ready(), "ready sender")
	x.addr = n.front.Addr().String()
	t.Cleanup(stop)
	return x
}

// client is a client's RESP2 connection.
type client struct {
	t    *testing.T
	Conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * byhand.Timeout))
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(args ...string) {
	c.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		c.t.Fatal(err)
	}
}

// line reads a reply line. It is empty once the sender has closed the connection.
func (c *client) line() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if byhand.IsTimeout(err) {
		c.t.Fatal("no reply within the deadline")
	}
	return strings.TrimRight(s, "\r\n")
}

func (c *client) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.line()
}

// put submits a message and checks the reply.
func (c *client) put(id, class, want string) {
	c.t.Helper()
	c.putFor(id, class, 10000, want)
}

func (c *client) putFor(id, class string, ms int, want string) {
	c.t.Helper()
	opts := fmt.Sprintf("c=%s,t=acme,d=%d,k=key-%s,dest=1", class, ms, id)
	if got := c.do("MSG.PUT", "0000", id, opts, "body of "+id); got != want {
		c.t.Fatalf("put %s: got %q, want %q", id, got, want)
	}
}

// startScenario starts endpoints, a platform and a sender, and connects a client.
func startScenario(t *testing.T, endpoints int,
	with ...func(*Platform)) (*testSender, *client, *discovery.Platform, []*byhand.Endpoint) {
	t.Helper()
	return startScenarioWith(t, discovery.New(t), endpoints, with...)
}

// startScenarioWith is startScenario with a given platform.
func startScenarioWith(t *testing.T, p *discovery.Platform, endpoints int,
	with ...func(*Platform)) (*testSender, *client, *discovery.Platform, []*byhand.Endpoint) {
	t.Helper()
	var eps []*byhand.Endpoint
	for range endpoints {
		eps = append(eps, byhand.NewEndpoint(t))
	}
	known := platform.List{Generation: 1, Reset: true, Instances: instances(eps...)}
	p.List = known
	n := startSender(t, p, t.TempDir(), known, with...)
	return n, dial(t, n.addr), p, eps
}

// awaitClosed waits until ch is closed.
func awaitClosed(t *testing.T, ch <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(byhand.Timeout):
		t.Fatalf("no %s", what)
	}
}
