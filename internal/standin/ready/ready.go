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

// Settings of the partner, the messages and the processes.
const (
	partnerLatency = 500 * time.Millisecond // of the partner, after the restart
	// requestedWait is requested by the partner before the restart, so that messages stay
	// pending; the restart ends the wait.
	requestedWait    = time.Minute
	remaining        = 10 * time.Minute // until the deadline of each message
	bodySize         = 200              // bytes of each message's body
	diskMB           = 64               // disk limit of a process, in MB; half of it bounds its journal
	pingInterval     = time.Millisecond // between a PING that is not answered with PONG and the next
	recordsPerAppend = 1000             // records per append to the journal
)

// Scenario is a simultaneous restart of all processes.
type Scenario struct {
	Program         string        // path
	Cores           string        // processors that the processes share, in the format of taskset; "" for all
	Processes       int           // number of processes
	Pending         int           // pending messages per process
	DiscoveryOutage time.Duration // from the kill until discovery answers again
	RestartDelay    time.Duration // from the kill to the start
}

// StartTimes are the times and the pending messages of one process after the kill.
type StartTimes struct {
	Ready      time.Duration // from the start until PING was answered with PONG
	FirstReply time.Duration // from then until the first submitted message was accepted or rejected
	Pending    int           // messages restored from the journal
}

// settingsFormat is the platform's settings as JSON. Its arguments are the number of processes and the
// maximum number of open messages.
const settingsFormat = `{"balancers":%d,"me":0,"zone":0,"zones":["a"],"tick_s":0.005,"membership_mode":"on_request","weights":"nominal",
"over_share_worth":0.2,"machine_types":["std"],"classes":[
{"name":"safe","aim_s":2,"deadline_s":600,"worth":1,"late_worth":0.4,"idempotency":"retryable"},
{"name":"keyed","aim_s":2,"deadline_s":600,"worth":2,"late_worth":0.4,"idempotency":"dedup","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":600,"worth":4,"late_worth":0.4,"idempotency":"fragile"}],
"tenants":[],"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":6,"max_open":%d,"max_retry_after_s":2,"multiplex":1,"may_cancel":true,
"retry_after":true},"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":60,"late":"halves","separate_routes":[false]}}`

// discovery answers 503 while it is down. It always accepts the ends of messages.
type discovery struct {
	mu          sync.Mutex       // guards availableAt
	instances   []map[string]any // endpoints of the list, of generation 2
	availableAt time.Time        // until then it is down; zero if it is not down
}

// ServeHTTP answers calls for the list and posts of the ends of messages.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down := time.Now().Before(d.availableAt)
	d.mu.Unlock()
	switch {
	case !strings.HasPrefix(r.URL.Path, "/discovery"):
		w.WriteHeader(http.StatusNoContent)
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Query().Get("from") == "2": // nothing newer
		<-r.Context().Done()
	default:
		json.NewEncoder(w).Encode(map[string]any{"generation": 2, "reset": true, "instances": d.instances})
	}
}

// sender is one process with its environment.
type sender struct {
	env  []string         // environment entries, NAME=value
	proc *program.Program // nil before the first start
}

// Run runs the scenario and returns the times of each process. An error means a failure of the test setup, or
// a program that is not ready within [program.Timeout].
func (p Scenario) Run() ([]StartTimes, error) {
	dir, err := os.MkdirTemp("", "ready")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	target, err := partner.Start(partner.Options{Name: "1", Latency: partnerLatency, RequestedWait: requestedWait})
	if err != nil {
		return nil, err
	}
	defer target.Close()
	target.SetMode(partner.Overloaded)
	disc := &discovery{instances: []map[string]any{{"instanceId": "s-1", "hostPort": target.Addr(), "zone": "a",
		"machineType": "std", "cell": 1,
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
		if senders[i], err = p.prepare(filepath.Join(dir, fmt.Sprint("n", i)),
			strings.TrimPrefix(srv.URL, "http://"), disc.instances); err != nil {
			return nil, err
		}
	}
	if _, err := p.startAll(senders); err != nil {
		return nil, fmt.Errorf("before the kill: %w", err)
	}
	disc.mu.Lock()
	disc.availableAt = time.Now().Add(p.DiscoveryOutage)
	disc.mu.Unlock()
	srv.CloseClientConnections()
	for _, s := range senders {
		s.proc.Signal(syscall.SIGKILL)
	}
	restartAt := time.Now().Add(p.RestartDelay)
	for _, s := range senders {
		s.proc.Wait()
	}
	target.SetMode(partner.Healthy)
	time.Sleep(time.Until(restartAt))
	return p.startAll(senders)
}

// prepare writes the configuration and the journal of one sender.
func (p Scenario) prepare(dir, discovery string, instances []map[string]any) (*sender, error) {
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	conf, err := json.Marshal(map[string]any{"name": filepath.Base(dir), "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": diskMB},
		"settings": json.RawMessage(fmt.Sprintf(settingsFormat, p.Processes, 2*p.Pending+100)),
		"known":    map[string]any{"generation": 1, "reset": true, "instances": instances}})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, conf, 0o600); err != nil {
		return nil, err
	}
	return &sender{env: []string{"BALANCER_CONFIG=" + config, "BALANCER_STATE=" + state,
		"BALANCER_LISTEN=127.0.0.1:0"}}, p.writeJournal(state)
}

// writeJournal writes a journal with accepted messages without attempts, of each effect in turn.
func (p Scenario) writeJournal(dir string) error {
	j, err := journal.Open(dir, journal.Options{MaxBytes: diskMB * 1e6 / 2})
	if err != nil {
		return err
	}
	defer j.Close()
	var recs []journal.Record
	now := time.Now()
	for i := range p.Pending {
		class := []string{"safe", "keyed", "unsafe"}[i%3]
		id := fmt.Sprintf("%s-%d", class, i)
		recs = append(recs, journal.Record{Op: journal.OpAccept, Entry: &journal.Entry{AcceptedAt: now.UnixMicro(), Message: message.Message{
			ID: id, Class: class, Partner: "1", Key: "key-" + id, Deadline: now.Add(remaining).UnixMicro(),
			Body: make([]byte, bodySize)}}})
		if len(recs) == recordsPerAppend || i == p.Pending-1 {
			if err := j.Append(recs); err != nil {
				return err
			}
			recs = nil
		}
	}
	return nil
}

// startAll starts all processes concurrently, waits until each is ready, and returns their times.
func (p Scenario) startAll(senders []*sender) ([]StartTimes, error) {
	out, errs := make([]StartTimes, len(senders)), make([]error, len(senders))
	var wg sync.WaitGroup
	for i, s := range senders {
		wg.Go(func() { out[i], errs[i] = p.startOne(s) })
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// startOne starts a process, waits until it answers PING with PONG, and submits the first message to it.
func (p Scenario) startOne(s *sender) (times StartTimes, err error) {
	path, args := p.Program, []string(nil)
	if p.Cores != "" {
		path, args = "taskset", []string{"-c", p.Cores, p.Program}
	}
	at := time.Now()
	if s.proc, err = program.Launch(path, s.env, args...); err != nil {
		return times, err
	}
	if err := s.proc.Ready(); err != nil {
		return times, err
	}
	c, err := traffic.DialRESP(s.proc.Addrs[0])
	if err != nil {
		return times, err
	}
	defer c.Close()
	for line := ""; ; time.Sleep(pingInterval) {
		if _, err := c.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
			return times, err
		}
		if line, err = c.Answer(); err != nil {
			return times, fmt.Errorf("PING: %w", err)
		}
		if line == "+PONG" {
			break
		}
		if time.Since(at) > program.Timeout {
			return times, fmt.Errorf("PING is answered with %q", line)
		}
	}
	times.Ready, at = time.Since(at), time.Now()
	if err := c.Put("0", "first", "c=safe,d=9000,dest=1", []byte("x")); err != nil {
		return times, err
	}
	if line, err := c.Answer(); err != nil || line != "+OK" && !strings.HasPrefix(line, "-BUSY") {
		return times, fmt.Errorf("the first message is answered with %q: %v", line, err)
	}
	times.FirstReply = time.Since(at)
	times.Pending, err = s.pendingMessages()
	return times, err
}

// pendingMessages returns the number of pending messages that the log of a ready process reports. It is an
// error if none of the log lines so far reports it.
func (s *sender) pendingMessages() (int, error) {
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
			return 0, errors.New("the log does not report the pending messages")
		}
	}
}
