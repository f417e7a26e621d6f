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

// serving is the real program under `cometrack serve`.
type serving struct {
	*program.Program
	t          testing.TB
	http, resp string
}

func startServing(t testing.TB, config string) *serving {
	t.Helper()
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	p, err := program.Start(path, nil, "serve", "--config", config)
	if err != nil {
		t.Fatal(err)
	}
	return &serving{p, t, p.Addrs[0], p.Addrs[1]}
}

// put hands a message in over one port or the other; heard is false if no answer came.
func (x *serving) put(c *http.Client, overHTTP bool, id, to, class string) (ok, heard bool) {
	return traffic.Put(c, overHTTP, x.http, x.resp, id, to, class)
}

func (x *serving) says(part string) {
	x.t.Helper()
	if err := x.AwaitLog(part); err != nil {
		x.t.Fatal(err)
	}
}

// fixPorts gives a file's fronts ports that are the same after a restart.
func fixPorts(t testing.TB, text string) string {
	t.Helper()
	text, err := traffic.FixPorts(text)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Both ports fed at once by 40 clients, over random partners with rates, told waits and outages, through a dozen kills.
// By the partners' own records no rate is passed in any window, no call comes inside a wait, no two attempts are out, no
// unsafe message runs twice; and each message taken on has one end that agrees with them. `measure kill` does the same
// hundreds of times over.
func TestBothPortsThroughKills(t *testing.T) {
	path, err := built()
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

// SIGHUP under load with a half-written file, a bad one and a good one: the bad ones change nothing and say why, the
// good one moves a partner; nothing that was taken on is lost.
func TestHangupUnderLoad(t *testing.T) {
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
	x := startServing(t, config)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var taken []string
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
					t.Errorf("%s was not taken on", id)
					return
				}
				mu.Lock()
				taken = append(taken, id)
				mu.Unlock()
			}
		})
	}
	for _, bad := range []string{text[:len(text)/2], text + "colour = \"red\"\n", strings.Replace(text, "endpoints = ", "endpoints = []\nx = ", 1), ""} {
		write(bad)
		x.Signal(syscall.SIGHUP)
		x.says("old configuration stands")
	}
	write(strings.ReplaceAll(text, old.Addr(), fresh.Addr()) + "[[partner]]\nname = \"more\"\nendpoints = [\"" + old.Addr() + "\"]\n")
	x.Signal(syscall.SIGHUP)
	x.says("partners follow the file")
	byhand.WaitUntil(t, "call to the partner's new endpoint", func() bool { return len(fresh.Calls()) > 0 })
	byhand.WaitUntil(t, "new partner", func() bool { return traffic.PutRESP(x.resp, "to-more", "more", "safe") == "+OK" })
	close(stop)
	wg.Wait()
	for _, id := range taken {
		if s, err := traffic.State(x.http, id, "15s"); err != nil || s != "delivered" {
			t.Errorf("%s is %q: %v", id, s, err)
		}
	}
	x.Signal(syscall.SIGTERM)
	if err := x.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	ran := map[string]int{}
	for _, c := range append(old.Calls(), fresh.Calls()...) {
		ran[c.ID]++
	}
	for _, id := range taken {
		if ran[id] != 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
	}
}

// SIGTERM while submissions are under way: each has its answer or none, and after the restart the state says for each
// whether it was taken; all that were are delivered once.
func TestTermUnderLoad(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme", Latency: 20 * time.Millisecond})
	dir := t.TempDir()
	config := filepath.Join(dir, "config.toml")
	if err := os.WriteFile(config, []byte(fixPorts(t, traffic.ConfigText(filepath.Join(dir, "state"), "", p))), 0o600); err != nil {
		t.Fatal(err)
	}
	x := startServing(t, config)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]bool{}
	for k := range 16 {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}, Timeout: byhand.Timeout}
			for n := 0; ; n++ {
				id := fmt.Sprintf("m-%d-%d", k, n)
				ok, heard := x.put(c, k%2 == 0, id, "acme", "unsafe")
				mu.Lock()
				answered[id] = ok
				mu.Unlock()
				if !heard { // the daemon has gone
					return
				}
			}
		})
	}
	byhand.WaitUntil(t, "traffic", func() bool { return len(p.Calls()) >= 50 })
	x.Signal(syscall.SIGTERM)
	if err := x.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	wg.Wait()
	y := startServing(t, config)
	known := map[string]bool{}
	for id, ok := range answered {
		s, err := traffic.State(y.http, id, "15s")
		if err != nil || s != "" && s != "delivered" || s == "" && ok {
			t.Errorf("%s, taken on %v, is %q: %v", id, ok, s, err)
		}
		known[id] = s != ""
	}
	y.Signal(syscall.SIGTERM)
	y.Wait()
	ran := map[string]int{}
	for _, c := range p.Calls() {
		ran[c.ID]++
	}
	for id := range answered {
		if ran[id] > 1 || known[id] != (ran[id] == 1) {
			t.Errorf("%s: known %v, ran %d times", id, known[id], ran[id])
		}
	}
}
