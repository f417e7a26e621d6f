package daemon

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

// makeUnsafeClassSafe changes the configuration that the platform gives: messages of the class "unsafe" may be repeated.
func makeUnsafeClassSafe(p *discovery.Platform) {
	p.EditSettings = func(settings string) string { return strings.Replace(settings, "fragile", "retryable", 1) }
}

// A class becomes safe to repeat, and the process that got SIGHUP ends before clients know: by an upgrade, by SIGTERM, by
// SIGKILL, also before it has handled the signal, and more than once. A message that was handed in as an unsafe one then
// ran twice.
func TestOverlapOutlivesProcesses(t *testing.T) {
	type end func(x *upgradeScenario, serving *process) *process // ends a process and returns the next one, which is ready
	upgrade := func(x *upgradeScenario, _ *process) *process { return x.upgrade() }
	restart := func(stop func(*process)) end {
		return func(x *upgradeScenario, serving *process) *process {
			stop(serving)
			return startProcess(x.t, x.p, x.dir, x.known)
		}
	}
	kill := restart((*process).kill)
	terminate := restart(func(n *process) {
		n.term()
		n.awaitExit()
	})
	again := func(x *upgradeScenario, serving *process) *process { // SIGHUP with an unchanged file
		serving.hup(configText(x.p, x.known))
		serving.awaitLog("reload: settings")
		return serving
	}
	for name, c := range map[string]struct {
		ends    []end
		unheard bool // the first end comes before the signal is handled
	}{
		"upgrade":                       {[]end{upgrade}, false},
		"upgrade of an upgrade":         {[]end{upgrade, upgrade}, false},
		"upgrade and an unchanged file": {[]end{upgrade, again}, false},
		"an unchanged file and upgrade": {[]end{again, upgrade}, false},
		"SIGKILL":                       {[]end{kill}, false},
		"two SIGKILLs":                  {[]end{kill, kill}, false},
		"SIGKILL after an upgrade":      {[]end{upgrade, kill}, false},
		"SIGKILL before it is handled":  {[]end{kill}, true},
		"SIGTERM":                       {[]end{terminate}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startUpgradeScenario(t)
			makeUnsafeClassSafe(x.p)
			x.old.hup(configText(x.p, x.known))
			if !c.unheard {
				x.old.awaitLog("reload: settings")
			}
			serving := x.old
			for _, next := range c.ends {
				serving = next(x, serving)
			}
			dial(t, serving.addr).put("early", "unsafe", "+OK")
			x.awaitCall("early").Reply(500)
			select {
			case n := <-x.p.Notices:
				if n != (discovery.Notice{ID: "early", State: "failed"}) {
					t.Errorf("notice %+v", n)
				}
			case in := <-x.e.Calls:
				t.Errorf("%s is sent again", in.ID())
				in.Reply(200)
			case <-time.After(byhand.Timeout):
				t.Error("the message has no end")
			}
			x.finish(serving)
		})
	}
}

// SIGHUP reaches only the old process of an upgrade: once it has handed over, or right before that, when the new process
// may have read the file that was replaced. The new process must follow the new file; otherwise it went on with the
// configuration of its start.
func TestReloadIsPassedOnToSuccessor(t *testing.T) {
	t.Run("after the handover", func(t *testing.T) {
		t.Parallel()
		x := startUpgradeScenario(t)
		keep := dial(t, x.old.addr) // keeps the predecessor
		next := x.upgrade()
		x.p.EditSettings = func(settings string) string {
			return strings.Replace(settings, `"max_attempts":3`, `"max_attempts":2`, 1)
		}
		if err := os.WriteFile(next.conf, configText(x.p, x.known), 0o600); err != nil {
			t.Fatal(err)
		}
		x.old.Signal(syscall.SIGHUP)
		next.awaitLog("reload: settings")
		keep.Conn.Close()
		x.finish(next)
	})
	t.Run("before the handover", func(t *testing.T) {
		t.Parallel()
		x := startUpgradeScenario(t)
		x.old.hup(configText(x.p, x.known))
		x.old.awaitLog("reload: settings")
		next := x.upgrade()
		next.awaitLog("reload: settings")
		x.finish(next)
	})
}

// A standalone daemon with both fronts keeps the overlap too when it is upgraded or killed right after SIGHUP.
func TestOverlapOutlivesStandalone(t *testing.T) {
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	for name, killed := range map[string]bool{"upgrade": false, "SIGKILL": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPartner(t, partner.Options{Name: "acme", Phases: []partner.Phase{{Mode: partner.Failing, Duration: time.Hour}}})
			dir := t.TempDir()
			text, err := traffic.FixPorts(traffic.ConfigText(filepath.Join(dir, "state"), "", p))
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(dir, "cometrack.toml")
			start := func() *program.Program {
				x, err := program.Start(path, nil, "serve", "--config", file)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { x.Cmd.Process.Kill() })
				return x
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			x := start()
			changed := strings.Replace(text, `effect = "unsafe"`, `effect = "safe"`, 1)
			if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			x.Signal(syscall.SIGHUP)
			if err := x.AwaitLog("partners follow"); err != nil {
				t.Fatal(err)
			}
			if killed {
				x.Cmd.Process.Kill()
				x.Wait()
			}
			next := start()
			if status := traffic.PutHTTP(http.DefaultClient, next.Addrs[0], "over-http", "acme", "unsafe"); status != http.StatusAccepted {
				t.Errorf("status %d", status)
			}
			if got := traffic.PutRESP(next.Addrs[1], "over-resp", "acme", "unsafe"); got != "+OK" {
				t.Errorf("got %q", got)
			}
			for _, id := range []string{"over-http", "over-resp"} {
				if got := state(t, next.Addrs[0], id, "10s"); got != "failed" {
					t.Errorf("%s is %s", id, got)
				}
			}
			if calls := p.Calls(); len(calls) != 2 {
				t.Errorf("%d calls", len(calls))
			}
			next.Signal(syscall.SIGTERM)
			if err := next.Wait(); err != nil {
				t.Errorf("exited with %v", err)
			}
		})
	}
}
