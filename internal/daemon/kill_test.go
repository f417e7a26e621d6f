package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/kill"
	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

// serveProcess is the real program run as `cometrack serve`.
type serveProcess struct {
	*program.Program
	t          testing.TB
	http, resp string
}

func startServe(t testing.TB, config string) *serveProcess {
	t.Helper()
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	p, err := program.Start(path, nil, "serve", "--config", config)
	if err != nil {
		t.Fatal(err)
	}
	return &serveProcess{p, t, p.Addrs[0], p.Addrs[1]}
}

// put submits a message over one of the ports. replied is false if there was no reply.
func (x *serveProcess) put(c *http.Client, overHTTP bool, id, to, class string) (ok, replied bool) {
	return traffic.Put(c, overHTTP, x.http, x.resp, id, to, class)
}

func (x *serveProcess) awaitLog(part string) {
	x.t.Helper()
	if err := x.AwaitLog(part); err != nil {
		x.t.Fatal(err)
	}
}

// fixPorts gives the fronts of a configuration file fixed ports, which are the same after a restart.
func fixPorts(t testing.TB, text string) string {
	t.Helper()
	text, err := traffic.FixPorts(text)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// 40 clients submit messages on both ports, to random partners with rate limits, requested waits and outages, while the
// process is killed a dozen times. By the partners' records no rate is exceeded in any window, no call is made within a
// requested wait, no two attempts of a message are in flight, and no unsafe message runs twice. Each accepted message
// has one end, which agrees with the records. `measure kill` does the same hundreds of times.
func TestBothPortsThroughKills(t *testing.T) {
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(3) {
		r, err := kill.Draw(path, seed+1, 4).Play()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range r.Violations {
			t.Errorf("seed %d: %s", seed+1, f)
		}
	}
}

// SIGHUP under load with incomplete, invalid and valid files: the invalid ones change nothing and are logged, the valid
// one changes the address of a partner. No accepted message is lost.
func TestReloadUnderLoad(t *testing.T) {
	old, fresh := startPartner(t, partner.Options{Name: "acme"}), startPartner(t, partner.Options{Name: "acme"})
	dir := t.TempDir()
	config := filepath.Join(dir, "config.toml")
	text := fixPorts(t, traffic.ConfigText(filepath.Join(dir, "state"), "", old))
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	x := startServe(t, config)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for k := range 8 {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}, Timeout: byhand.Timeout}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("m-%d-%d", k, n)
				if ok, _ := x.put(c, k%2 == 0, id, "acme", "unsafe"); !ok {
					t.Errorf("%s was not accepted", id)
					return
				}
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	for _, bad := range []string{text[:len(text)/2], text + "colour = \"red\"\n",
		strings.Replace(text, "endpoints = ", "endpoints = []\nx = ", 1), ""} {
		write(bad)
		x.Signal(syscall.SIGHUP)
		x.awaitLog("old configuration stands")
	}
	write(strings.ReplaceAll(text, old.Addr(), fresh.Addr()) +
		"[[partner]]\nname = \"more\"\nendpoints = [\"" + old.Addr() + "\"]\n")
	x.Signal(syscall.SIGHUP)
	x.awaitLog("partners follow the file")
	byhand.WaitUntil(t, "call to the partner's new endpoint", func() bool { return len(fresh.Calls()) > 0 })
	byhand.WaitUntil(t, "new partner", func() bool { return traffic.PutRESP(x.resp, "to-more", "more", "safe") == "+OK" })
	close(stop)
	wg.Wait()
	for _, id := range accepted {
		if s, err := traffic.State(x.http, id, "15s"); err != nil || s != "delivered" {
			t.Errorf("%s is %q: %v", id, s, err)
		}
	}
	x.Signal(syscall.SIGTERM)
	if err := x.Wait(); err != nil {
		t.Errorf("exited with %v", err)
	}
	ran := map[string]int{}
	for _, c := range append(old.Calls(), fresh.Calls()...) {
		ran[c.ID]++
	}
	for _, id := range accepted {
		if ran[id] != 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
	}
}

// SIGTERM while messages are being submitted: each submission has its answer or none. After a restart the state shows
// whether a message was accepted, and all that were are delivered once.
func TestTermUnderLoad(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme", Latency: 20 * time.Millisecond})
	dir := t.TempDir()
	config := filepath.Join(dir, "config.toml")
	if err := os.WriteFile(config, []byte(fixPorts(t, traffic.ConfigText(filepath.Join(dir, "state"), "", p))), 0o600); err != nil {
		t.Fatal(err)
	}
	x := startServe(t, config)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for k := range 16 {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}, Timeout: byhand.Timeout}
			for n := 0; ; n++ {
				id := fmt.Sprintf("m-%d-%d", k, n)
				ok, replied := x.put(c, k%2 == 0, id, "acme", "unsafe")
				mu.Lock()
				accepted[id] = ok
				mu.Unlock()
				if !replied { // the daemon has exited
					return
				}
			}
		})
	}
	byhand.WaitUntil(t, "traffic", func() bool { return len(p.Calls()) >= 50 })
	x.Signal(syscall.SIGTERM)
	if err := x.Wait(); err != nil {
		t.Errorf("exited with %v", err)
	}
	wg.Wait()
	y := startServe(t, config)
	known := map[string]bool{}
	for id, ok := range accepted {
		s, err := traffic.State(y.http, id, "15s")
		if err != nil || s != "" && s != "delivered" || s == "" && ok {
			t.Errorf("%s, accepted %v, is %q: %v", id, ok, s, err)
		}
		known[id] = s != ""
	}
	y.Signal(syscall.SIGTERM)
	y.Wait()
	ran := map[string]int{}
	for _, c := range p.Calls() {
		ran[c.ID]++
	}
	for id := range accepted {
		if ran[id] > 1 || known[id] != (ran[id] == 1) {
			t.Errorf("%s: known %v, ran %d times", id, known[id], ran[id])
		}
	}
}
