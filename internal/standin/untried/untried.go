// Package untried restarts the real program, as a sender of the platform, while it has accepted
// messages without attempts, and counts their outcomes.
package untried

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

// Timing and traffic of a restart.
const (
	// requestedWait is requested by the partner before the restart, so that no message is
	// attempted; the restart ends the wait.
	requestedWait = time.Minute
	pipelineDepth = 200 // requests that are sent before their responses are awaited
	// settleTime is enough for a response to be read and for the last ends to arrive. It is also the
	// approximate duration of a restart after SIGKILL.
	settleTime = 250 * time.Millisecond
)

// Scenario is one restart.
type Scenario struct {
	Program string         // path
	Pending int            // messages without an attempt at the restart
	Signal  syscall.Signal // SIGTERM or SIGKILL
	// Partner is the behavior of the partner after the restart.
	Partner        partner.Mode
	Latency        time.Duration // of the partner's responses
	ListedAfter    time.Duration // when discovery lists the partner, after the start of the new process; 0 for at once
	ShortRemaining time.Duration // approximate time left for half of the messages when the new process is ready
	LongRemaining  time.Duration // and for the other half
}

// Counts are the outcomes of the pending messages.
type Counts struct {
	Pending      int      // all messages of the scenario
	Expired      int      // past their deadline when the new process was ready
	Attempted    int      // of the rest: attempted at least once
	EndedUntried int      // of the rest: ended without an attempt
	Delivered    int      // answered by the partner with 200
	Faults       []string // broken rules, and messages with neither an attempt nor an end
}

// settingsFormat is the platform's settings as JSON. Its argument is the maximum number of open messages.
const settingsFormat = `{"balancers":1,"me":0,"zone":0,"zones":["a"],"tick_s":0.005,"membership_mode":"on_request","weights":"nominal",
"over_share_worth":0.2,"machine_types":["std"],"classes":[
{"name":"safe","aim_s":2,"deadline_s":60,"worth":1,"late_worth":0.4,"idempotency":"retryable"},
{"name":"keyed","aim_s":2,"deadline_s":60,"worth":2,"late_worth":0.4,"idempotency":"dedup","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":60,"worth":4,"late_worth":0.4,"idempotency":"fragile"}],
"tenants":[],"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":6,"max_open":%d,"max_retry_after_s":2,"multiplex":1,"may_cancel":true,
"retry_after":true},"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":60,"late":"halves","separate_routes":[false]}}`

// platform is a discovery service that also receives the ends of messages. Its only list has generation 2,
// which is newer than generation 1 of the list in the program's configuration.
type platform struct {
	mu        sync.Mutex
	instances []map[string]any  // endpoints of the list, of generation 2
	listAt    time.Time         // when the list is served; earlier calls wait for it; zero for at once
	ended     map[string]string // state of each message in its last notice, by message id
}

// ServeHTTP answers calls for the list from listAt on, and records the ends of messages. A call of a program
// that has generation 2 stays open until the program cancels it.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/discovery") {
		p.mu.Lock()
		defer p.mu.Unlock()
		for dec := json.NewDecoder(r.Body); dec.More(); {
			var x struct{ ID, State string }
			if dec.Decode(&x) != nil {
				break
			}
			p.ended[x.ID] = x.State
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if r.URL.Query().Get("from") == "2" { // nothing newer
		<-r.Context().Done()
		return
	}
	p.mu.Lock()
	rows, wait := p.instances, time.Until(p.listAt)
	p.mu.Unlock()
	select {
	case <-time.After(wait):
		json.NewEncoder(w).Encode(map[string]any{"generation": 2, "reset": true, "instances": rows})
	case <-r.Context().Done():
	}
}

// Run runs the scenario. An error means a failure of the test setup, or a program that does not
// start.
func (u Scenario) Run() (c Counts, err error) {
	dir, err := os.MkdirTemp("", "untried")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	target, err := partner.Start(partner.Options{Name: "1", Latency: u.Latency, RequestedWait: requestedWait})
	if err != nil {
		return c, err
	}
	defer target.Close()
	target.SetMode(partner.Overloaded)
	discovery := &platform{ended: map[string]string{}}
	discovery.instances = []map[string]any{{"instanceId": "s-1", "hostPort": target.Addr(), "zone": "a",
		"machineType": "std", "cell": 1, "lifecycle": "up", "weight": 0}}
	srv := httptest.NewServer(discovery)
	defer func() { srv.CloseClientConnections(); srv.Close() }()
	config := filepath.Join(dir, "config.json")
	write := func(rows []map[string]any) error {
		conf, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": strings.TrimPrefix(srv.URL, "http://"), "seed": "1",
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 24},
			"settings": json.RawMessage(fmt.Sprintf(settingsFormat, 2*u.Pending+100)),
			"known":    map[string]any{"generation": 1, "reset": true, "instances": rows}})
		if err != nil {
			return err
		}
		return os.WriteFile(config, conf, 0o600)
	}
	start := func() (*program.Program, error) {
		return program.Start(u.Program, []string{"BALANCER_CONFIG=" + config, "BALANCER_STATE=" + filepath.Join(dir, "state"), "BALANCER_LISTEN=127.0.0.1:0"})
	}
	if err := write(discovery.instances); err != nil {
		return c, err
	}
	process, err := start()
	if err != nil {
		return c, err
	}
	defer func() { process.Cmd.Process.Kill() }()
	if err := submit(process.Addrs[0], []string{"first"}, func(int) time.Duration { return time.Minute }); err != nil {
		return c, err
	}
	for len(target.Calls()) == 0 || target.Calls()[0].Status == 0 { // until the wait has been requested
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settleTime)    // and the response has been read
	restartTime := settleTime // approximate duration of a restart
	if u.Signal == syscall.SIGTERM {
		restartTime += 3400 * time.Millisecond
	}
	started, ids := time.Now(), make([]string, u.Pending)
	deadlines := make([]time.Time, u.Pending)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", []string{"safe", "keyed", "unsafe"}[i/2%3], i)
	}
	err = submit(process.Addrs[0], ids, func(i int) time.Duration {
		left := u.LongRemaining
		if i%2 == 0 {
			left = u.ShortRemaining
		}
		deadlines[i] = started.Add(restartTime + left + time.Duration(u.Pending)*200*time.Microsecond) // submitting takes time too
		return time.Until(deadlines[i])
	})
	if err != nil {
		return c, err
	}
	before := len(target.Calls())
	process.Signal(u.Signal)
	process.Wait()
	if len(target.Calls()) > before {
		c.Faults = append(c.Faults, "called during the wait while the process ended")
	}
	target.SetMode(u.Partner)
	discovery.mu.Lock()
	discovery.listAt = time.Now().Add(u.ListedAfter)
	discovery.mu.Unlock()
	rows := discovery.instances
	if u.ListedAfter > 0 {
		// The list is empty but present: without the key the last valid configuration, with the
		// partner, would stay in force.
		rows = []map[string]any{}
	}
	if err := write(rows); err != nil {
		return c, err
	}
	if process, err = start(); err != nil {
		return c, err
	}
	ready := time.Now()
	last := deadlines[0]
	for _, d := range deadlines {
		if d.After(last) {
			last = d
		}
	}
	for time.Now().Before(last.Add(settleTime)) && !u.allEnded(target, discovery, ids) {
		time.Sleep(20 * time.Millisecond)
	}
	called, delivered := map[string]bool{}, map[string]bool{}
	for i, k := range target.Calls()[before:] {
		if i == 0 && u.ListedAfter > 0 && k.At.Before(discovery.listAt) {
			c.Faults = append(c.Faults, "called before discovery listed the partner")
		}
		called[k.ID] = true
		delivered[k.ID] = delivered[k.ID] || k.Status == http.StatusOK
	}
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	for i, id := range ids {
		c.Pending++
		switch state := discovery.ended[id]; {
		case deadlines[i].Before(ready):
			c.Expired++
		case called[id]:
			c.Attempted++
		case state != "":
			c.EndedUntried++
		default:
			c.Faults = append(c.Faults, id+" has neither an attempt nor an end")
		}
		if delivered[id] {
			c.Delivered++
		}
	}
	for _, f := range target.Violations(func(id string) bool { return strings.HasPrefix(id, "unsafe") }) {
		if !strings.Contains(f, "inside a requested wait") { // on the platform a restart ends the wait
			c.Faults = append(c.Faults, f)
		}
	}
	process.Signal(syscall.SIGKILL)
	return c, nil
}

// allEnded reports whether each message has ended: the partner has answered it with 200, or the platform has
// received its end.
func (u Scenario) allEnded(target *partner.Partner, discovery *platform, ids []string) bool {
	delivered := map[string]bool{}
	for _, k := range target.Calls() {
		delivered[k.ID] = delivered[k.ID] || k.Status == http.StatusOK
	}
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	for _, id := range ids {
		if !delivered[id] && discovery.ended[id] == "" {
			return false
		}
	}
	return true
}

// submit submits messages for partner 1 to the RESP front at addr, each with the remaining time that
// remaining returns for its index. The class of a message is the part of its id before the first hyphen;
// "first" is safe. It is an error if a message is not accepted.
func submit(addr string, ids []string, remaining func(i int) time.Duration) error {
	c, err := traffic.DialRESP(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	for i := 0; i < len(ids); i += pipelineDepth {
		part := ids[i:min(i+pipelineDepth, len(ids))]
		go func() {
			for k, id := range part {
				class, _, _ := strings.Cut(id, "-")
				if class == "first" {
					class = "safe"
				}
				c.Put("0", id, fmt.Sprintf("c=%s,d=%d,k=%s,dest=1", class, remaining(i+k).Milliseconds(), id),
					[]byte("x"))
			}
		}()
		for range part {
			line, err := c.Answer()
			if err != nil {
				return err
			}
			if line != "+OK" {
				return fmt.Errorf("%w: not accepted: %s", io.ErrUnexpectedEOF, line)
			}
		}
	}
	return nil
}
