package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// endpointList is a list or a set of changes.
type endpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// notice is the end of a message as the sender tells it.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
	at      time.Time
}

// platform is a stand-in for discovery and for the receiver of notices.
type platform struct {
	rec    *recorder
	addr   string
	server *http.Server

	mu      sync.Mutex
	list    []instance // listed now
	gen     int64
	changes map[string]int64    // generation of the last change of an instance
	gone    map[string]instance // removed instances
	changed chan struct{}       // closed at the next change
	notices map[string]notice   // the first notice of each message
}

func newPlatform(rec *recorder) (*platform, error) {
	p := &platform{rec: rec, gen: 1, changes: map[string]int64{}, gone: map[string]instance{}, changed: make(chan struct{}),
		notices: map[string]notice{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.serveList)
	mux.HandleFunc("/v1/outcomes", p.serveOutcomes)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(listener)
	return p, nil
}

// set lists an instance, or changes its entry.
func (p *platform) set(entries ...instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gen++
	for _, entry := range entries {
		p.changes[entry.ID] = p.gen
		kept := p.list[:0:0]
		for _, x := range p.list {
			if x.ID != entry.ID {
				kept = append(kept, x)
			}
		}
		p.list = kept
		if entry.Lifecycle == "removed" {
			p.gone[entry.ID] = entry
		} else {
			delete(p.gone, entry.ID)
			p.list = append(p.list, entry)
		}
		p.rec.printf("discovery: %s at %s, partner %d, is %s (generation %d)", entry.ID, entry.HostPort, entry.Cell, entry.Lifecycle, p.gen)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// whole returns the whole list.
func (p *platform) whole() endpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return endpointList{Generation: p.gen, Reset: true, Instances: append([]instance{}, p.list...)}
}

func (p *platform) since(from int64) endpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := endpointList{Generation: p.gen, Instances: []instance{}}
	for _, x := range p.list {
		if p.changes[x.ID] > from {
			out.Instances = append(out.Instances, x)
		}
	}
	for _, x := range p.gone {
		if p.changes[x.ID] > from {
			out.Instances = append(out.Instances, x)
		}
	}
	return out
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	var answer endpointList
	if from == "" {
		answer = p.whole()
	} else {
		since, _ := strconv.ParseInt(from, 10, 64)
		deadline := time.After(time.Duration(hold) * time.Millisecond)
		for waiting := true; waiting; {
			p.mu.Lock()
			gen, changed := p.gen, p.changed
			p.mu.Unlock()
			if gen > since {
				break
			}
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
		answer = p.since(since)
	}
	p.rec.printf("discovery answers %s: generation %d, whole %v, entries %d", r.URL.RequestURI(), answer.Generation, answer.Reset, len(answer.Instances))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

func (p *platform) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for line := range bytes.Lines(body) {
		var n notice
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.at = time.Now()
		p.mu.Lock()
		if _, known := p.notices[n.ID]; !known {
			p.notices[n.ID] = n
			p.rec.printf("notice: %s %s, after %d ms", n.ID, n.State, n.AfterMS)
		}
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *platform) noticeOf(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.notices[id]
	return n, ok
}

// answer is what an endpoint answers to one call.
type answer struct {
	status int
	wait   int // X-Come-Back-Ms
	delay  time.Duration
}

// run is one call that reached an endpoint.
type run struct {
	id       string
	endpoint string
	cell     int
	at       time.Time
	status   int
}

// endpoint is a stand-in for one endpoint of a partner.
type endpoint struct {
	rec      *recorder
	name     string
	cell     int
	addr     string
	listener net.Listener
	server   *http.Server
	decide   func(id string) answer
	atWaw    bool // listed as an integration of waw-outbound, otherwise as a partner of lakes-gas-sched

	mu   sync.Mutex
	runs []run
}

// newEndpoint starts an endpoint at an address; an empty one stands for a free port.
func newEndpoint(rec *recorder, name string, cell int, addr string, decide func(id string) answer) (*endpoint, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return serveEndpoint(rec, name, cell, listener, decide), nil
}

// serveEndpoint starts an endpoint on a listener.
func serveEndpoint(rec *recorder, name string, cell int, listener net.Listener, decide func(id string) answer) *endpoint {
	e := &endpoint{rec: rec, name: name, cell: cell, addr: listener.Addr().String(), listener: listener, decide: decide}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", e.serveInbox)
	mux.HandleFunc("GET /alive", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	return e
}

// stop ends the endpoint as the death of its process would: connections are reset, new ones are refused.
func (e *endpoint) stop() { e.server.Close() }

func (e *endpoint) serveInbox(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Trace-Id")
	a := e.decide(id)
	e.note(id, a)
	if a.delay > 0 {
		select {
		case <-time.After(a.delay):
		case <-r.Context().Done():
			e.rec.printf("endpoint %s: the call of %s was given up", e.name, id)
			return
		}
	}
	if a.wait > 0 {
		w.Header().Set("X-Come-Back-Ms", strconv.Itoa(a.wait))
	}
	w.WriteHeader(a.status)
}

func (e *endpoint) note(id string, a answer) {
	e.mu.Lock()
	e.runs = append(e.runs, run{id, e.name, e.cell, time.Now(), a.status})
	e.mu.Unlock()
	e.rec.printf("endpoint %s, partner %d: call of %s, answered %d after %v", e.name, e.cell, id, a.status, a.delay)
}

func (e *endpoint) runsOf(id string) (out []run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

func (e *endpoint) all() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run{}, e.runs...)
}

// sender is one process of the program, started with the command of the deploy file.
type sender struct {
	rec    *recorder
	dir    string // temporary folder
	root   string
	listen string
	config map[string]any
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// freePort returns an address of the loopback interface that nothing uses.
func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newSender(rec *recorder, root, dir, discovery string, settings map[string]any, known endpointList) (*sender, error) {
	s := &sender{rec: rec, dir: dir, root: root, listen: freePort()}
	s.config = map[string]any{"name": "n1", "listen": s.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": known, "settings": settings}
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	return s, s.writeConfig()
}

func (s *sender) writeConfig() error {
	text, err := json.Marshal(s.config)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// launch starts a process of the program and returns it.
func (s *sender) launch() (*exec.Cmd, chan struct{}, error) {
	s.starts++
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("log-%d.txt", s.starts)))
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec bin/cometrack")
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the thread that starts it, that of main
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+filepath.Join(s.dir, "config.json"), "BALANCER_NAME=n1",
		"BALANCER_LISTEN="+s.listen, "BALANCER_DISCOVERY="+s.config["discovery"].(string),
		"BALANCER_STATE="+filepath.Join(s.dir, "state"), "TMPDIR="+filepath.Join(s.dir, "tmp"), "COMETRACK_LOG=debug")
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	s.rec.printf("sender: process %d started", s.starts)
	exited, n := make(chan struct{}), s.starts
	go func() {
		err := cmd.Wait()
		s.rec.printf("sender: process %d ended: %v", n, err)
		log.Close()
		close(exited)
	}()
	return cmd, exited, nil
}

// start starts the sender.
func (s *sender) start() (err error) {
	s.cmd, s.exited, err = s.launch()
	return err
}

// waitReady waits until the sender answers PING.
func (s *sender) waitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		c, err := dialClient(s.listen)
		if err != nil {
			continue
		}
		text, err := c.request(time.Second, "PING")
		c.conn.Close()
		if err == nil && text == "+PONG" {
			s.rec.printf("sender: ready")
			return nil
		}
	}
	return errors.New("the sender did not become ready")
}

// kill sends SIGKILL and waits for the end of the process.
func (s *sender) kill() {
	s.rec.printf("sender: SIGKILL")
	s.cmd.Process.Signal(syscall.SIGKILL)
	<-s.exited
}

// terminate sends SIGTERM and returns when.
func (s *sender) terminate() time.Time {
	s.rec.printf("sender: SIGTERM")
	s.cmd.Process.Signal(syscall.SIGTERM)
	return time.Now()
}

// running reports whether the process has not ended.
func (s *sender) running() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// stopAll ends the sender at the end of a case.
func (s *sender) stopAll() {
	if s.cmd != nil && s.running() {
		s.cmd.Process.Kill()
		<-s.exited
	}
}

// client is one connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// request sends a command and returns the first line of its answer.
func (c *client) request(timeout time.Duration, args ...string) (string, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return "", err
	}
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// message is what a client hands in.
type message struct {
	id, class, key string
	dest           int
	deadline       time.Duration
	body           string
	sentAt         time.Time
	answer         string
}

// put hands a message in over a new connection, and waits 400 ms for the answer as clients do.
func (s *sender) put(m *message) {
	m.sentAt = time.Now()
	c, err := dialClient(s.listen)
	if err != nil {
		m.answer = "no connection: " + err.Error()
		return
	}
	defer c.conn.Close()
	s.putOn(c, m)
}

func (s *sender) putOn(c *client, m *message) {
	list := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, m.deadline.Milliseconds(), m.dest)
	if tenants, ok := s.config["settings"].(map[string]any)["tenants"].([]any); ok && len(tenants) > 0 {
		list += ",t=" + tenants[0].(map[string]any)["name"].(string)
	}
	if m.key != "" {
		list += ",k=" + m.key
	}
	m.sentAt = time.Now()
	text, err := c.request(400*time.Millisecond, "MSG.PUT", "0000000000000000", m.id, list, m.body)
	if err != nil {
		text = "no answer: " + err.Error()
	}
	m.answer = text
	s.rec.printf("client: %s, class %s, partner %d, %v left: %s", m.id, m.class, m.dest, m.deadline, text)
}

// taken reports whether the sender has taken the message on.
func (m *message) taken() bool {
	return strings.HasPrefix(m.answer, "+") || strings.HasPrefix(m.answer, "$")
}

// parseSettings returns settings from their text.
func parseSettings(text string) map[string]any {
	var out map[string]any
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		panic(err)
	}
	return out
}

// lakesSettings returns settings of a sender at lakes-gas-sched.
func lakesSettings() map[string]any {
	return parseSettings(`{"balancers": 3,
 "charges": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.02, "late_fail": 0.03, "probe": 0.01, "waste": 0.08},
 "classes": [
  {"aim_s": 2.0, "deadline_s": 24.0, "group": "all", "idempotency": "dedup", "late_worth": 0.4, "name": "nomination", "stream": false, "window_s": 25.0, "worth": 1.0},
  {"aim_s": 3.0, "deadline_s": 16.0, "group": "all", "idempotency": "fragile", "late_worth": 0.5, "name": "imbalance-payment", "stream": false, "window_s": 5.0, "worth": 3.0},
  {"aim_s": 2.5, "deadline_s": 16.0, "group": "all", "idempotency": "retryable", "late_worth": 0.4, "name": "scheduled-quantity", "stream": false, "window_s": 5.0, "worth": 4.0}],
 "clients": {"marks_retry": false}, "counted_by": "request", "kind_of_service": "deliver", "layers": ["trading-partners"],
 "limits": {"conn_idle_s": 10.0, "connect_timeout_s": 1.5, "cpu_us_per_request": 0.0, "cpu_us_per_s": 656249, "max_attempts": 6, "max_open": 69, "max_retry_after_s": 2.0,
  "may_cancel": true, "multiplex": 1, "peers": false, "probing": true, "retry_after": true, "second_copies": false},
 "load_info": {"how": "off", "names": []}, "machine_types": ["interstate-pipeline", "local-shipper"], "me": 0, "membership_mode": "on_request", "over_share_worth": 0.2,
 "rules": {"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_from": 0.19, "drain_grace_s": 2.0, "fall_multiple": 2.0, "fall_s": 3.0, "warm_after_s": 14.0},
 "specifics": {"batch_by_kind": [1, 1], "call_slots": 6, "late": "halves", "notes": "", "report_x0": "", "report_x1": "", "separate_routes": [true, false],
  "turned_away_price": 0.03, "zone_fee": [0.01, 0.04]},
 "tenants": [{"name": "lakeshore-gas", "quota_rps": 18.0, "share": 1.0}],
 "tick_s": 0.005, "tier": 0, "weights": "nominal", "zone": 0, "zones": ["north-hall", "south-hall"]}`)
}

// wawSettings returns settings of a sender at waw-outbound, where lists are pushed.
func wawSettings() map[string]any {
	return parseSettings(`{"balancers": 4,
 "charges": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.04, "late_fail": 0.028, "probe": 0.0091, "waste": 0.03},
 "classes": [
  {"aim_s": 1.5, "deadline_s": 8.0, "group": "all", "idempotency": "retryable", "late_worth": 0.1, "name": "occupancy", "stream": false, "window_s": 5.0, "worth": 1.0},
  {"aim_s": 2.0, "deadline_s": 16.0, "group": "all", "idempotency": "fragile", "late_worth": 0.4, "name": "charges", "stream": false, "window_s": 5.0, "worth": 1.0}],
 "clients": {"marks_retry": true}, "counted_by": "request", "kind_of_service": "deliver", "layers": ["customer-systems"],
 "limits": {"conn_idle_s": 5.0, "connect_timeout_s": 1.5, "cpu_us_per_request": 0.0, "cpu_us_per_s": 525000, "max_attempts": 8, "max_open": 100, "max_retry_after_s": 3.0,
  "may_cancel": true, "multiplex": 1, "peers": false, "probing": true, "retry_after": true, "second_copies": false},
 "load_info": {"how": "inline", "names": ["x0", "x1"]}, "machine_types": ["hr-suites", "calendars", "slack-hooks"], "me": 0, "membership_mode": "pushed",
 "rules": {"answer_slack_s": 0.02, "cold_from": 0.19, "drain_grace_s": 0.5, "fall_multiple": 2.0, "fall_s": 1.5, "warm_after_s": 11.0},
 "specifics": {"batch_by_kind": [10, 1, 1], "call_slots": 12, "late": "line", "notes": "", "report_x0": "share of the limit that is left", "report_x1": "the limit in calls a second",
  "separate_routes": [false, false, false], "turned_away_price": 0.0, "zone_fee": [0.0]},
 "tenants": [], "tick_s": 0.005, "tier": 0, "weights": "rough", "zone": 0, "zones": ["waw1"]}`)
}

// up returns the entry of an endpoint in discovery's list.
func (e *endpoint) up() instance { return e.entry("up") }

func (e *endpoint) entry(lifecycle string) instance {
	x := instance{ID: e.name, HostPort: e.addr, Zone: "north-hall", Kind: "local-shipper", Cell: e.cell, Lifecycle: lifecycle, Weight: 20}
	if e.atWaw {
		x.Zone, x.Kind, x.Weight = "waw1", "calendars", 2.4
	}
	return x
}
