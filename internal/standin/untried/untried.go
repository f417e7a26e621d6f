// Package untried restarts the real program, as a sender of the platform, while it
// holds messages that it has taken on and never tried, and counts what becomes of
// them.
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

const (
	firstWait = time.Minute // told by the partner before the restart, so that nothing is tried; the restart ends it
	atOnce    = 200         // requests that are pipelined
	settled   = 250 * time.Millisecond
)

// Play is one restart.
type Play struct {
	Program string
	Held    int
	Signal  syscall.Signal // SIGTERM or SIGKILL
	// Partner is what the partner is like after the restart.
	Partner partner.Mode
	Latency time.Duration
	Listed  time.Duration // after the start of the new process; 0 for known at once
	Short   time.Duration // that half of the messages have left once the new process is ready, about
	Long    time.Duration // and the others
}

// Counts are what became of what was held.
type Counts struct {
	Held      int
	Over      int // whose time was up by the time that the new process was ready: they can't be tried
	Tried     int // of the rest: called at least once
	Given     int // of the rest: ended with no call
	Delivered int
	Faults    []string
}

const settings = `{"balancers":1,"me":0,"zone":0,"zones":["a"],"tick_s":0.005,"membership_mode":"on_request","weights":"nominal",
"over_share_worth":0.2,"machine_types":["std"],"classes":[
{"name":"safe","aim_s":2,"deadline_s":60,"worth":1,"late_worth":0.4,"idempotency":"retryable"},
{"name":"keyed","aim_s":2,"deadline_s":60,"worth":2,"late_worth":0.4,"idempotency":"dedup","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":60,"worth":4,"late_worth":0.4,"idempotency":"fragile"}],
"tenants":[],"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":6,"max_open":%d,"max_retry_after_s":2,"multiplex":1,"may_cancel":true,
"retry_after":true},"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":60,"late":"halves","separate_routes":[false]}}`

// platform is discovery, and hears of ends.
type platform struct {
	mu    sync.Mutex
	rows  []map[string]any
	after time.Time // when they are told
	ended map[string]string
}

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
	rows, wait := p.rows, time.Until(p.after)
	p.mu.Unlock()
	select {
	case <-time.After(wait):
		json.NewEncoder(w).Encode(map[string]any{"generation": 2, "reset": true, "instances": rows})
	case <-r.Context().Done():
	}
}

// Run plays it. An error is one of the rig itself, or of a program that does not start.
func (u Play) Run() (c Counts, err error) {
	dir, err := os.MkdirTemp("", "untried")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	to, err := partner.Start(partner.Options{Name: "1", Latency: u.Latency, RequestedWait: firstWait})
	if err != nil {
		return c, err
	}
	defer to.Close()
	to.SetMode(partner.Overloaded)
	plat := &platform{ended: map[string]string{}}
	plat.rows = []map[string]any{{"instanceId": "s-1", "hostPort": to.Addr(), "zone": "a", "machineType": "std", "cell": 1, "lifecycle": "up", "weight": 0}}
	srv := httptest.NewServer(plat)
	defer func() { srv.CloseClientConnections(); srv.Close() }()
	config := filepath.Join(dir, "config.json")
	write := func(rows []map[string]any) error {
		conf, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:0", "discovery": strings.TrimPrefix(srv.URL, "http://"), "seed": "1",
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 24}, "settings": json.RawMessage(fmt.Sprintf(settings, 2*u.Held+100)),
			"known": map[string]any{"generation": 1, "reset": true, "instances": rows}})
		if err != nil {
			return err
		}
		return os.WriteFile(config, conf, 0o600)
	}
	start := func() (*program.Program, error) {
		return program.Start(u.Program, []string{"BALANCER_CONFIG=" + config, "BALANCER_STATE=" + filepath.Join(dir, "state"), "BALANCER_LISTEN=127.0.0.1:0"})
	}
	if err := write(plat.rows); err != nil {
		return c, err
	}
	x, err := start()
	if err != nil {
		return c, err
	}
	defer func() { x.Cmd.Process.Kill() }()
	if err := put(x.Addrs[0], []string{"first"}, func(int) time.Duration { return time.Minute }); err != nil {
		return c, err
	}
	for len(to.Calls()) == 0 || to.Calls()[0].Status == 0 { // the wait is told
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settled) // and read
	stop := settled     // what a restart takes, about
	if u.Signal == syscall.SIGTERM {
		stop += 3400 * time.Millisecond
	}
	begun, ids := time.Now(), make([]string, u.Held)
	due := make([]time.Time, u.Held)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", []string{"safe", "keyed", "unsafe"}[i/2%3], i)
	}
	err = put(x.Addrs[0], ids, func(i int) time.Duration {
		left := u.Long
		if i%2 == 0 {
			left = u.Short
		}
		due[i] = begun.Add(stop + left + time.Duration(u.Held)*200*time.Microsecond) // handing in takes time too
		return time.Until(due[i])
	})
	if err != nil {
		return c, err
	}
	before := len(to.Calls())
	x.Signal(u.Signal)
	x.Wait()
	if len(to.Calls()) > before {
		c.Faults = append(c.Faults, "called inside the wait while it ended")
	}
	to.SetMode(u.Partner)
	plat.mu.Lock()
	plat.after = time.Now().Add(u.Listed)
	plat.mu.Unlock()
	rows := plat.rows
	if u.Listed > 0 {
		rows = []map[string]any{} // none; without the key the last good configuration would stand, and name the partner
	}
	if err := write(rows); err != nil {
		return c, err
	}
	if x, err = start(); err != nil {
		return c, err
	}
	ready := time.Now()
	last := due[0]
	for _, d := range due {
		if d.After(last) {
			last = d
		}
	}
	for time.Now().Before(last.Add(settled)) && !u.settled(to, plat, ids) {
		time.Sleep(20 * time.Millisecond)
	}
	called, ran := map[string]bool{}, map[string]bool{}
	for i, k := range to.Calls()[before:] {
		if i == 0 && u.Listed > 0 && k.At.Before(plat.after) {
			c.Faults = append(c.Faults, "called before it was listed")
		}
		called[k.ID] = true
		ran[k.ID] = ran[k.ID] || k.Status == http.StatusOK
	}
	plat.mu.Lock()
	defer plat.mu.Unlock()
	for i, id := range ids {
		c.Held++
		switch state := plat.ended[id]; {
		case due[i].Before(ready):
			c.Over++
		case called[id]:
			c.Tried++
		case state != "":
			c.Given++
		default:
			c.Faults = append(c.Faults, id+" has neither a call nor an end")
		}
		if ran[id] {
			c.Delivered++
		}
	}
	for _, f := range to.Violations(func(id string) bool { return strings.HasPrefix(id, "unsafe") }) {
		if !strings.Contains(f, "inside a wait") { // on the platform a restart ends it
			c.Faults = append(c.Faults, f)
		}
	}
	x.Signal(syscall.SIGKILL)
	return c, nil
}

// settled says whether each message has ended.
func (u Play) settled(to *partner.Partner, plat *platform, ids []string) bool {
	done := map[string]bool{}
	for _, k := range to.Calls() {
		done[k.ID] = done[k.ID] || k.Status == http.StatusOK
	}
	plat.mu.Lock()
	defer plat.mu.Unlock()
	for _, id := range ids {
		if !done[id] && plat.ended[id] == "" {
			return false
		}
	}
	return true
}

// put hands messages for partner 1 in, each with so much time.
func put(addr string, ids []string, left func(i int) time.Duration) error {
	c, err := traffic.DialRESP(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	for i := 0; i < len(ids); i += atOnce {
		part := ids[i:min(i+atOnce, len(ids))]
		go func() {
			for k, id := range part {
				class, _, _ := strings.Cut(id, "-")
				if class == "first" {
					class = "safe"
				}
				c.Put("0", id, fmt.Sprintf("c=%s,d=%d,k=%s,dest=1", class, left(i+k).Milliseconds(), id), []byte("x"))
			}
		}()
		for range part {
			line, err := c.Answer()
			if err != nil {
				return err
			}
			if line != "+OK" {
				return fmt.Errorf("%w: not taken on: %s", io.ErrUnexpectedEOF, line)
			}
		}
	}
	return nil
}
