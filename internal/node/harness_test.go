package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience bounds every wait for an event: it is not reached unless a test fails.
const patience = 20 * time.Second

// await returns the next value of ch.
func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// inCall is a whole request that has come to an endpoint.
type inCall struct {
	req    *http.Request
	body   string
	at     time.Time
	conn   *net.TCPConn
	reader *bufio.Reader
	done   chan bool // whether the endpoint goes on reading
}

func (c *inCall) id() string { return c.req.Header.Get("X-Trace-Id") }

// reply answers and keeps the connection.
func (c *inCall) reply(status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	io.WriteString(c.conn, b.String()+"\r\n")
	c.done <- true
}

// replyAndClose answers and closes the connection without saying so first.
func (c *inCall) replyAndClose(status int) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.conn.Close()
	c.done <- false
}

// reset breaks the connection.
func (c *inCall) reset() {
	c.conn.SetLinger(0)
	c.conn.Close()
	c.done <- false
}

// awaitEnd waits until the sender has ended its side of the connection.
func (c *inCall) awaitEnd(t *testing.T) {
	t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(patience))
	if n, err := c.reader.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
		t.Fatalf("connection goes on: %d bytes, %v", n, err)
	}
}

// endpoint is the other side of calls: a test answers each by hand.
type endpoint struct {
	ln    net.Listener
	calls chan *inCall
	conns chan net.Conn // each that is accepted
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &endpoint{ln: ln, calls: make(chan *inCall, 64), conns: make(chan net.Conn, 64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e
}

func (e *endpoint) serve(conn *net.TCPConn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			conn.Close()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			conn.Close()
			return
		}
		c := &inCall{req: req, body: string(body), at: time.Now(), conn: conn, reader: r, done: make(chan bool, 1)}
		e.calls <- c
		if !<-c.done {
			return
		}
	}
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

// none checks that nothing has come that was not waited for.
func (e *endpoint) none(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.calls:
		t.Fatalf("call with %s", c.id())
	default:
	}
}

// platform stands for discovery and for what hears of ends.
type platform struct {
	srv     *httptest.Server
	notices chan Notice
	asked   chan string // each call for the list
	refused chan int    // each notice turned away: the number of lines
	mu      sync.Mutex
	list    List
	news    chan struct{} // closed when the list changes
	down    bool          // answers 503 to all
	silent  bool          // never answers a call for the list
	deaf    bool          // turns notices away
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{notices: make(chan Notice, 64), asked: make(chan string, 1024), refused: make(chan int, 1024),
		news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.hosts)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	p.srv = httptest.NewServer(mux)
	t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
	return p
}

func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.news)
	p.news = make(chan struct{})
}

func (p *platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.asked <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	for {
		p.mu.Lock()
		list, news, down, silent := p.list, p.news, p.down, p.silent
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !silent && list.Generation > from {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	deaf := p.deaf
	p.mu.Unlock()
	var lines []Notice
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var x Notice
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	if deaf {
		p.refused <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, x := range lines {
		p.notices <- x
	}
}

// instances lists endpoints of destination 1.
func instances(eps ...*endpoint) []Instance {
	var out []Instance
	for i, e := range eps {
		out = append(out, Instance{ID: fmt.Sprintf("s-%d", i), HostPort: e.addr(), Zone: "a", Kind: "std", Dest: 1,
			Lifecycle: "up", Weight: 100})
	}
	return out
}

// settings are those of the tests: one class of each effect.
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

// configText is a configuration file.
func configText(p *platform, known List) []byte {
	b, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"discovery": strings.TrimPrefix(p.srv.URL, "http://"), "seed": "1f",
		"limits": Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, "known": known,
		"settings": json.RawMessage(settings)})
	if err != nil {
		panic(err)
	}
	return b
}

// testNode is a sender under test, in this process.
type testNode struct {
	*Node
	addr string
	stop context.CancelFunc
	done chan error
}

func startNode(t *testing.T, p *platform, dir string, known List, with ...func(*Node)) *testNode {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range with {
		f(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	x := &testNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { x.done <- n.Run(ctx) }()
	x.addr = await(t, n.ready, "ready sender").String()
	t.Cleanup(stop)
	return x
}

// client is a client's connection.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * patience))
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(args ...string) {
	c.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.t.Fatal(err)
	}
}

// line reads an answer; empty once the sender has closed the connection.
func (c *client) line() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if isTimeout(err) {
		c.t.Fatal("no answer")
	}
	return strings.TrimRight(s, "\r\n")
}

func (c *client) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.line()
}

// put hands a message in and checks the answer.
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

// world is a sender with endpoints and a platform.
func world(t *testing.T, endpoints int, with ...func(*Node)) (*testNode, *client, *platform, []*endpoint) {
	t.Helper()
	p := newPlatform(t)
	var eps []*endpoint
	for range endpoints {
		eps = append(eps, newEndpoint(t))
	}
	known := List{Generation: 1, Reset: true, Instances: instances(eps...)}
	p.list = known
	n := startNode(t, p, t.TempDir(), known, with...)
	return n, dial(t, n.addr), p, eps
}
