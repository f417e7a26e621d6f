package ready

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

const (
	latency   = 500 * time.Millisecond // of the partner after the restart
	firstWait = time.Minute            // told by it before, so that what is held stays held; the restart ends it
	left      = 10 * time.Minute       // that each message has
	bodySize  = 200
	diskMB    = 64
	pingGap   = time.Millisecond
	atOnce    = 1000 // records that are written together
)

// Play is one restart of all.
type Play struct {
	Program   string
	Cores     string // that the processes share, as taskset lists them; "" for all
	Processes int
	Held      int           // messages that each holds
	Down      time.Duration // how long discovery is, from the kill on
	Gap       time.Duration // from the kill to the start
}

// Start is what one process took after the kill.
type Start struct {
	Ready time.Duration // from its start until PING was answered with yes
	First time.Duration // from then until the first message that was handed in was taken on or turned away
	Held  int           // messages that it has found
}

const settings = `{"balancers":%d,"me":0,"zone":0,"zones":["a"],"tick_s":0.005,"membership_mode":"on_request","weights":"nominal",
"over_share_worth":0.2,"machine_types":["std"],"classes":[
{"name":"safe","aim_s":2,"deadline_s":600,"worth":1,"late_worth":0.4,"idempotency":"retryable"},
{"name":"keyed","aim_s":2,"deadline_s":600,"worth":2,"late_worth":0.4,"idempotency":"dedup","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":600,"worth":4,"late_worth":0.4,"idempotency":"fragile"}],
"tenants":[],"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":6,"max_open":%d,"max_retry_after_s":2,"multiplex":1,"may_cancel":true,
"retry_after":true},"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":60,"late":"halves","separate_routes":[false]}}`

// discovery answers 503 while it is down, and hears of ends always.
type discovery struct {
	mu   sync.Mutex
	rows []map[string]any
	back time.Time
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down := time.Now().Before(d.back)
	d.mu.Unlock()
	switch {
	case !strings.HasPrefix(r.URL.Path, "/discovery"):
		w.WriteHeader(http.StatusNoContent)
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Query().Get("from") == "2": // nothing newer
		<-r.Context().Done()
	default:
		json.NewEncoder(w).Encode(map[string]any{"generation": 2, "reset": true, "instances": d.rows})
	}
}

// sender is one process and what it finds at each start.
type sender struct {
	env  []string
	proc *program.Program
}

// Run plays it. An error is one of the rig itself, or of a program that is not ready within
// [program.Timeout].
func (p Play) Run() ([]Start, error) {
	dir, err := os.MkdirTemp("", "ready")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	to, err := partner.Start(partner.Options{Name: "1", Latency: latency, RequestedWait: firstWait})
	if err != nil {
		return nil, err
	}
	defer to.Close()
	to.SetMode(partner.Overloaded)
	disc := &discovery{rows: []map[string]any{{"instanceId": "s-1", "hostPort": to.Addr(), "zone": "a", "machineType": "std", "cell": 1,
		"lifecycle": "up", "weight": 0}}}
	srv := httptest.NewServer(disc)
	defer func() { srv.CloseClientConnections(); srv.Close() }()
	senders := make([]*sender, p.Processes)
	defer func() {
		for _, s := range senders {
			if s != nil && s.proc != nil {
				s.proc.Cmd.Process.Kill()
				s.proc.Wait()
			}
		}
	}()
	for i := range senders {
		if senders[i], err = p.prepare(filepath.Join(dir, fmt.Sprint("n", i)), strings.TrimPrefix(srv.URL, "http://"), disc.rows); err != nil {
			return nil, err
		}
	}
	if _, err := p.start(senders); err != nil {
		return nil, fmt.Errorf("before the kill: %w", err)
	}
	disc.mu.Lock()
	disc.back = time.Now().Add(p.Down)
	disc.mu.Unlock()
	srv.CloseClientConnections()
	for _, s := range senders {
		s.proc.Signal(syscall.SIGKILL)
	}
	next := time.Now().Add(p.Gap)
	for _, s := range senders {
		s.proc.Wait()
	}
	to.SetMode(partner.Healthy)
	time.Sleep(time.Until(next))
	return p.start(senders)
}

// prepare makes the files of one sender, with what it holds in its journal.
func (p Play) prepare(dir, discovery string, rows []map[string]any) (*sender, error) {
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	conf, err := json.Marshal(map[string]any{"name": filepath.Base(dir), "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": diskMB},
		"settings": json.RawMessage(fmt.Sprintf(settings, p.Processes, 2*p.Held+100)),
		"known":    map[string]any{"generation": 1, "reset": true, "instances": rows}})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, conf, 0o600); err != nil {
		return nil, err
	}
	return &sender{env: []string{"BALANCER_CONFIG=" + config, "BALANCER_STATE=" + state, "BALANCER_LISTEN=127.0.0.1:0"}}, p.fill(state)
}

// fill writes a journal with messages that are taken on and never tried, of each effect in turn.
func (p Play) fill(dir string) error {
	j, err := journal.Open(dir, journal.Options{MaxBytes: diskMB * 1e6 / 2})
	if err != nil {
		return err
	}
	defer j.Close()
	var recs []journal.Record
	now := time.Now()
	for i := range p.Held {
		class := []string{"safe", "keyed", "unsafe"}[i%3]
		id := fmt.Sprintf("%s-%d", class, i)
		recs = append(recs, journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{AcceptedAt: now.UnixMicro(), Message: message.Message{
			ID: id, Class: class, Partner: "1", Key: "key-" + id, Deadline: now.Add(left).UnixMicro(), Body: make([]byte, bodySize)}}})
		if len(recs) == atOnce || i == p.Held-1 {
			if err := j.Append(recs); err != nil {
				return err
			}
			recs = nil
		}
	}
	return nil
}

// start starts all at once and waits until each is ready.
func (p Play) start(senders []*sender) ([]Start, error) {
	out, errs := make([]Start, len(senders)), make([]error, len(senders))
	var wg sync.WaitGroup
	for i, s := range senders {
		wg.Go(func() { out[i], errs[i] = p.startOne(s) })
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func (p Play) startOne(s *sender) (x Start, err error) {
	path, args := p.Program, []string(nil)
	if p.Cores != "" {
		path, args = "taskset", []string{"-c", p.Cores, p.Program}
	}
	at := time.Now()
	if s.proc, err = program.Launch(path, s.env, args...); err != nil {
		return x, err
	}
	if err := s.proc.Ready(); err != nil {
		return x, err
	}
	c, err := traffic.DialRESP(s.proc.Addrs[0])
	if err != nil {
		return x, err
	}
	defer c.Close()
	for line := ""; ; time.Sleep(pingGap) {
		if _, err := c.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
			return x, err
		}
		if line, err = c.Answer(); err != nil {
			return x, fmt.Errorf("PING: %w", err)
		}
		if line == "+PONG" {
			break
		}
		if time.Since(at) > program.Timeout {
			return x, fmt.Errorf("PING is answered with %q", line)
		}
	}
	x.Ready, at = time.Since(at), time.Now()
	if err := c.Put("0", "first", "c=safe,d=9000,dest=1", []byte("x")); err != nil {
		return x, err
	}
	if line, err := c.Answer(); err != nil || line != "+OK" && !strings.HasPrefix(line, "-BUSY") {
		return x, fmt.Errorf("the first message is answered with %q: %v", line, err)
	}
	x.First = time.Since(at)
	x.Held, err = s.held()
	return x, err
}

// held is what the log of a process that is ready says that it holds.
func (s *sender) held() (int, error) {
	for {
		select {
		case line := <-s.proc.LogLines:
			if !strings.Contains(line, "msg=ready") {
				continue
			}
			_, text, _ := strings.Cut(line, " held=")
			text, _, _ = strings.Cut(text, " ")
			return strconv.Atoi(text)
		default:
			return 0, errors.New("the log does not say what is held")
		}
	}
}
