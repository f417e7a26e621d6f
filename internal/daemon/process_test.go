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

// built is the path of the program, which is built once for all tests.
var built = sync.OnceValues(func() (string, error) {
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
	if dir := os.Getenv(stallIn); dir != "" {
		stall(dir)
	}
	code := m.Run()
	if path, err := built(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is the real program as a sender of the platform.
type process struct {
	*program.Program
	t    *testing.T
	addr string
	conf string // its configuration file
}

// startProcess starts it with what the platform would tell it and waits until it is ready.
func startProcess(t *testing.T, p *discovery.Platform, dir string, known platform.List) *process {
	t.Helper()
	x := launchProcess(t, p, dir, known, "127.0.0.1:0")
	if err := x.ready(); err != nil {
		t.Fatal(err)
	}
	return x
}

// ready waits until it serves.
func (x *process) ready() error {
	err := x.Ready()
	if err == nil {
		x.addr = x.Addrs[0]
	}
	return err
}

// launchProcess starts it at an address and does not wait.
func launchProcess(t *testing.T, p *discovery.Platform, dir string, known platform.List, listen string) *process {
	t.Helper()
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	return launchProgram(t, path, p, dir, known, listen)
}

// launchProgram is launchProcess for a given build of the program, with variables beside those of the platform.
func launchProgram(t *testing.T, path string, p *discovery.Platform, dir string, known platform.List, listen string, env ...string) *process {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, configText(p, known), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := program.Launch(path, append([]string{"BALANCER_NAME=n0", "BALANCER_LISTEN=" + listen,
		"BALANCER_DISCOVERY=" + strings.TrimPrefix(p.Server.URL, "http://"), "BALANCER_STATE=" + dir, "BALANCER_CONFIG=" + config}, env...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.Cmd.Process.Kill() })
	return &process{x, t, "", config}
}

// runSelf runs this test program as another process with a variable set.
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

// term sends SIGTERM; end checks that the program ends by itself.
func (x *process) term() { x.Signal(syscall.SIGTERM) }

func (x *process) end() {
	x.t.Helper()
	if err := x.Wait(); err != nil {
		x.t.Errorf("ended with %v", err)
	}
}

// A crash with a call out: it may have run. Nothing is handed in again, so the sender itself must send it again
// where that is harmless, and must not where it is not.
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
	x.end()
	e.ExpectNoCall(t)
	if ids := owed(t, dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

// Attempts before a crash count: a message that brings the process down each time must not come for ever.
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
	x.end()
	e.ExpectNoCall(t)
}

// What was not sent, or refused, before a crash is sent after it, an unsafe message too; what ran out of time
// meanwhile is returned, and a notice that nobody confirmed is sent again.
func TestKillWithoutCallOut(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: append(instances(e), platform.Instance{ID: "drains", HostPort: "127.0.0.1:1",
		Zone: "a", Kind: "std", Dest: 2, Lifecycle: "draining"})}
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
	over := time.Now().Add(600 * time.Millisecond)
	byhand.WaitUntil(t, "outcomes in the journal", func() bool {
		j := copied(t, dir)
		defer j.Close()
		failed, refused := j.Entry("failed"), j.Entry("refused")
		return failed != nil && failed.End != nil && refused != nil && refused.Attempts == 1 && !refused.InFlight
	})
	c.put("unsent", "unsafe", "+OK") // waits: the sender has been told to
	x.kill()
	time.Sleep(time.Until(over))
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
	x.end()
	e.ExpectNoCall(t)
}

// A planned restart: clients are served a while, connections are closed between requests, calls under way end and
// are journalled, and the next start owes nothing.
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
			x.end()
			if ids := owed(t, dir); ids != nil {
				t.Errorf("still owed: %v", ids)
			}
			if len(p.Notices) != 0 {
				t.Errorf("notice %+v", <-p.Notices)
			}
		})
	}
}

// A call that does not end must not keep the program from ending in time; it stays in the journal as open.
func TestTermWithSilentCall(t *testing.T) {
	p, e, dir := discovery.New(t), byhand.NewEndpoint(t), t.TempDir()
	known := platform.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.List = known
	x := startProcess(t, p, dir, known)
	dial(t, x.addr).put("a", "unsafe", "+OK")
	byhand.Await(t, e.Calls, "call")
	at := time.Now()
	x.term()
	x.end()
	if d := time.Since(at); d > 6*time.Second {
		t.Errorf("ended after %v", d)
	}
	if ids := owed(t, dir); len(ids) != 1 {
		t.Errorf("owed: %v", ids)
	}
	x = startProcess(t, p, dir, known)
	if n := byhand.Await(t, p.Notices, "notice"); n != (discovery.Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.kill()
}
