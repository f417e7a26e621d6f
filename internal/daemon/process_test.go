package daemon

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/program"
)

// programPath returns the path of the program, which is built once for all tests.
var programPath = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cometrack")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "cometrack")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/cometrack").CombinedOutput()
	os.Stderr.Write(out)
	return path, err
})

func TestMain(m *testing.M) {
	if dir := os.Getenv(stallDirVariable); dir != "" {
		stallHoldingLock(dir)
	}
	code := m.Run()
	if path, err := programPath(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is the real program, run as a sender of the platform.
type process struct {
	*program.Program
	t    *testing.T
	addr string
	conf string // path of the configuration file
}

// startProcess starts the program with the environment that the platform sets, and waits until it is ready.
func startProcess(t *testing.T, p *discovery.Platform, dir string, known platform.List) *process {
	t.Helper()
	x := launchProcess(t, p, dir, known, "127.0.0.1:0")
	if err := x.ready(); err != nil {
		t.Fatal(err)
	}
	return x
}

// ready waits until the process serves clients.
func (x *process) ready() error {
	err := x.Ready()
	if err == nil {
		x.addr = x.Addrs[0]
	}
	return err
}

// launchProcess starts the program at an address and does not wait.
func launchProcess(t *testing.T, p *discovery.Platform, dir string, known platform.List, listen string) *process {
	t.Helper()
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	return launchProgram(t, path, p, dir, known, listen)
}

// launchProgram is launchProcess for a given build of the program, with additional environment variables.
func launchProgram(t *testing.T, path string, p *discovery.Platform, dir string, known platform.List, listen string,
	env ...string) *process {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, configText(p, known), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := program.Launch(path, append([]string{"BALANCER_NAME=n0", "BALANCER_LISTEN=" + listen,
		"BALANCER_DISCOVERY=" + strings.TrimPrefix(p.Server.URL, "http://"), "BALANCER_STATE=" + dir,
		"BALANCER_CONFIG=" + config}, env...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Cmd.Process.Kill() })
	return &process{x, t, "", config}
}

// runSelf runs this test binary as another process, with an environment variable set.
func runSelf(t *testing.T, env string) *program.Program {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	x, err := program.Start(path, []string{env})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Cmd.Process.Kill() })
	return x
}

func (x *process) kill() {
	x.Cmd.Process.Kill()
	x.Wait()
}

// term sends SIGTERM.
func (x *process) term() { x.Signal(syscall.SIGTERM) }

// awaitExit checks that the program exits without an error.
func (x *process) awaitExit() {
	x.t.Helper()
	if err := x.Wait(); err != nil {
		x.t.Errorf("exited with %v", err)
	}
}

// A crash with attempts in flight: they may have run. No client submits the messages again, so the sender must send
// them again if that is harmless, and must not if it is not.
func TestKillWithCallOut(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	x := startProcess(t, p, dir, known)
	c := dial(t, x.addr)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		byhand.Await(t, e.Calls, "call")
	}
	x.kill()
	x = startProcess(t, p, dir, known)
	again := map[string]string{}
	for range 2 {
		in := byhand.Await(t, e.Calls, "call again")
		again[in.ID()] = in.Req.Header.Get("Idempotency-Key") + " " + in.Body
		in.Reply(200)
	}
	if again["m-safe"] != "key-m-safe body of m-safe" || again["m-keyed"] != "key-m-keyed body of m-keyed" {
		t.Errorf("sent again: %v", again)
	}
	if n := byhand.Await(t, p.Notices, "notice"); n != (discovery.Notice{ID: "m-unsafe", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.term()
	x.awaitExit()
	e.ExpectNoCall(t)
	if ids := pendingIDs(t, dir); ids != nil {
		t.Errorf("messages still pending: %v", ids)
	}
}

// Attempts before a crash count: otherwise a message that crashes the process on each attempt would be retried forever.
func TestKillCountsAttempts(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	for i := range 3 { // max_attempts
		x := startProcess(t, p, dir, known)
		if i == 0 {
			dial(t, x.addr).putFor("a", "safe", 16000, "+OK")
		}
		byhand.Await(t, e.Calls, "call")
		x.kill()
	}
	x := startProcess(t, p, dir, known)
	if n := byhand.Await(t, p.Notices, "notice"); n != (discovery.Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.term()
	x.awaitExit()
	e.ExpectNoCall(t)
}

// A message that was not sent, or was rejected, before a crash is sent after it, even an unsafe one. One that has
// expired meanwhile is returned, and an unconfirmed notice is sent again.
func TestKillWithoutCallOut(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: append(instances(e), platform.Instance{ID: "drains",
		HostPort: "127.0.0.1:1",
		Zone:     "a", Kind: "std", Dest: 2, Lifecycle: "draining"})}
	p.List, p.RejectNotices = known, true
	x := startProcess(t, p, dir, known)
	c := dial(t, x.addr)
	c.put("failed", "unsafe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(500)
	byhand.Await(t, p.RejectedNotices, "notice")
	c.put("refused", "unsafe", "+OK")
	byhand.Await(t, e.Calls, "call").Reply(429, "X-Come-Back-Ms: 60000")
	if got := c.do("MSG.PUT", "0", "short", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	expired := time.Now().Add(600 * time.Millisecond)
	byhand.WaitUntil(t, "outcomes in the journal", func() bool {
		j := openJournalCopy(t, dir)
		defer j.Close()
		failed, refused := j.Entry("failed"), j.Entry("refused")
		return failed != nil && failed.End != nil && refused != nil && refused.Attempts == 1 && !refused.InFlight
	})
	c.put("unsent", "unsafe", "+OK") // waits, as the endpoint requested
	x.kill()
	time.Sleep(time.Until(expired))
	p.Set(func() { p.RejectNotices = false })
	x = startProcess(t, p, dir, known)
	got := map[string]bool{}
	for range 2 {
		in := byhand.Await(t, e.Calls, "call")
		got[in.ID()] = true
		in.Reply(200)
	}
	if !got["refused"] || !got["unsent"] {
		t.Errorf("sent: %v", got)
	}
	ends := map[string]string{}
	for range 2 {
		n := byhand.Await(t, p.Notices, "notice")
		ends[n.ID] = n.State
	}
	if ends["failed"] != "failed" || ends["short"] != "returned" {
		t.Errorf("notices: %v", ends)
	}
	x.term()
	x.awaitExit()
	e.ExpectNoCall(t)
}

// A planned restart: clients are served for a while, connections are closed between requests, attempts in flight end
// and are journalled, and no message is pending at the next start.
func TestTermWithCallOut(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
			known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
			p.List = known
			x := startProcess(t, p, dir, known)
			c := dial(t, x.addr)
			c.put("a", class, "+OK")
			in := byhand.Await(t, e.Calls, "call")
			x.term()
			if got := c.line(); got != "" { // the connection is closed between requests
				t.Errorf("got %q", got)
			}
			in.Reply(200)
			x.awaitExit()
			if ids := pendingIDs(t, dir); ids != nil {
				t.Errorf("messages still pending: %v", ids)
			}
			if len(p.Notices) != 0 {
				t.Errorf("notice %+v", <-p.Notices)
			}
		})
	}
}

// A call without an answer must not keep the program from exiting in time. Its attempt stays in the journal as in
// flight.
func TestTermWithSilentCall(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	x := startProcess(t, p, dir, known)
	dial(t, x.addr).put("a", "unsafe", "+OK")
	byhand.Await(t, e.Calls, "call")
	at := time.Now()
	x.term()
	x.awaitExit()
	if d := time.Since(at); d > 6*time.Second {
		t.Errorf("exited after %v", d)
	}
	if ids := pendingIDs(t, dir); len(ids) != 1 {
		t.Errorf("pending messages: %v", ids)
	}
	x = startProcess(t, p, dir, known)
	if n := byhand.Await(t, p.Notices, "notice"); n != (discovery.Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.kill()
}
