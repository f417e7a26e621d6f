package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometrack/internal/standin/faultbuild"
	"cometrack/internal/standin/program"
)

const (
	killAfter  = 3700 * time.Millisecond // SIGTERM to SIGKILL, at the earliest
	startAfter = 600 * time.Millisecond  // SIGKILL to the next start
	readyMost  = 10 * time.Second        // from the start until ready
	longStall  = 150 * time.Millisecond  // that a process may be held up
)

// sender is one process of the program, over its restarts.
type sender struct {
	number   int
	addr     string
	dir      string
	config   string
	binary   string
	platform *platform
	door     *door // where it finds the platform
	moves    int   // of discovery, that it was told of
	known    int64 // the generation of the list in its configuration
	askEvery time.Duration
	controls *faultbuild.Controls
	trace    string // file of what it does with its connections
	records  *Records
	logs     *logFile

	loseFolder bool // planted: its folder is emptied at each restart

	late    atomic.Bool               // its connections to the platform come up late
	movedAt atomic.Pointer[time.Time] // when its discovery moved last

	life sync.Mutex // held while it is being restarted
	mu   sync.Mutex
	proc *process
}

// process is one process of a sender.
type process struct {
	*program.Program
	stop chan struct{} // of what resumes it when it is held up
	done chan struct{} // closed when that has ended
}

// running says whether it has not ended.
func (p *process) running() bool {
	select {
	case err := <-p.Done:
		p.Done <- err
		return false
	default:
		return true
	}
}

// endsWithin says whether it ends within a time.
func (p *process) endsWithin(within time.Duration) bool {
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case err := <-p.Done:
		p.Done <- err
		return true
	case <-late.C:
		return !p.running()
	}
}

// kill ends it with SIGKILL, if it has not ended by itself, and waits until it is gone.
func (p *process) kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.endsWithin(program.Patience)
	close(p.stop)
	<-p.done
}

// settings are those of a sender's deployment. The window for repeats is short.
const settings = `{"balancers":%d,"me":%d,"zone":0,"zones":["a","b"],"tick_s":0.005,"membership_mode":%q,
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":[
{"name":"safe","aim_s":1,"deadline_s":5,"worth":1,"late_worth":0.4,"idempotency":"retryable","group":"all","window_s":2},
{"name":"keyed","aim_s":1,"deadline_s":5,"worth":1,"late_worth":0.4,"idempotency":"dedup","group":"all","window_s":%g},
{"name":"unsafe","aim_s":1,"deadline_s":5,"worth":1,"late_worth":0.4,"idempotency":"fragile","group":"all","window_s":2}],
"tenants":[{"name":"acme","quota_rps":1000}],
"limits":{"conn_idle_s":4,"connect_timeout_s":1.5,"max_attempts":4,"max_open":120,"max_retry_after_s":1,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"ask_every_s":%g,"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":4},
"specifics":{"batch_by_kind":[1],"call_slots":16,"late":"halves","separate_routes":[false]}}`

// repeatWindow is the time for which keyed repeats are recognized.
const repeatWindow = 2 * time.Second

// writeConfig writes the sender's configuration, as it is now.
func (s *sender) writeConfig(senders int, pushed bool) error {
	mode := "on_request"
	if pushed {
		mode = "pushed"
	}
	known := s.platform.known()
	b, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", s.number), "listen": s.addr, "discovery": s.door.addr, "seed": fmt.Sprintf("%x", rand.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256, "disk_mb": 3}, "known": known,
		"settings": json.RawMessage(fmt.Sprintf(settings, senders, s.number, mode, repeatWindow.Seconds(), s.askEvery.Seconds()))})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", b, 0o600); err != nil {
		return err
	}
	s.known = known.Generation
	return os.Rename(s.config+".new", s.config)
}

// launch starts the process. It does not wait until it is ready.
func (s *sender) launch() error {
	p, err := s.start()
	if err == nil {
		s.serveBy(p)
	}
	return err
}

// serveBy takes a process for the sender's from here on.
func (s *sender) serveBy(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proc = p
}

// start starts a process of the sender.
func (s *sender) start() (*process, error) {
	s.records.started(s.number, time.Now(), s.known)
	started, err := program.Launch(s.binary, []string{fmt.Sprint("BALANCER_NAME=n", s.number), "BALANCER_LISTEN=" + s.addr, "BALANCER_DISCOVERY=" + s.door.addr,
		"BALANCER_STATE=" + s.dir, "BALANCER_CONFIG=" + s.config, "COMETRACK_LOG=debug", s.controls.Env(), faultbuild.TraceVariable + "=" + s.trace})
	if err != nil {
		return nil, err
	}
	p := &process{started, make(chan struct{}), make(chan struct{})}
	pid := p.Cmd.Process.Pid
	rng := rand.New(rand.NewPCG(uint64(pid), 0))
	go func() {
		defer close(p.done)
		faultbuild.Resume(pid, func() time.Duration {
			from := time.Now()
			d := longStall/3 + time.Duration(rng.Int64N(int64(longStall*2/3)))
			s.records.stalled(s.number, from.Add(-5*time.Millisecond), from.Add(d+5*time.Millisecond))
			return d
		}, p.stop)
	}()
	go s.follow(started)
	return p, nil
}

// follow keeps the log of a process and looks for what must not stand in it.
func (s *sender) follow(p *program.Program) {
	for line := range p.Said {
		s.logs.write(line)
		for _, bad := range []string{"msg=violation", "panic:", "fatal error:", "DATA RACE"} {
			if strings.Contains(line, bad) {
				s.records.fault("sender %d says: %s", s.number, line)
			}
		}
	}
}

func (s *sender) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc
}

func (s *sender) signal(x syscall.Signal) { s.process().Signal(x) }

// ended says whether the process ends within a time.
func (s *sender) ended(within time.Duration) bool { return s.process().endsWithin(within) }

// kill ends the process with SIGKILL, if it has not ended by itself, and waits until it
// is gone.
func (s *sender) kill() {
	p := s.process()
	killed := p.running()
	if killed {
		s.records.killed(s.number, time.Now())
	}
	p.kill()
	if killed { // it may have taken its time to die
		s.records.killed(s.number, time.Now())
	}
}

// restart takes the process through a planned or unplanned restart: with SIGTERM and, at
// the page's earliest, SIGKILL, or with SIGKILL alone, again and again right after starts.
func (s *sender) restart(planned bool, again []time.Duration, between func()) error {
	s.life.Lock()
	defer s.life.Unlock()
	from := time.Now()
	if planned {
		s.signal(syscall.SIGTERM)
		if s.ended(killAfter) {
			if err := s.exitStatus(); err != nil {
				s.records.fault("sender %d: ended with %v after SIGTERM", s.number, err)
			}
			time.Sleep(time.Until(from.Add(killAfter)))
		}
	}
	s.kill()
	s.records.restarts(s.number)
	for _, life := range again {
		time.Sleep(startAfter)
		if err := s.launch(); err != nil {
			return err
		}
		time.Sleep(life)
		s.kill()
		s.records.restarts(s.number)
	}
	if between != nil {
		between()
	}
	if s.loseFolder {
		if err := os.RemoveAll(s.dir); err != nil {
			return err
		}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
	}
	time.Sleep(startAfter)
	started := time.Now()
	if err := s.launch(); err != nil {
		return err
	}
	if err := s.process().Ready(); err != nil {
		s.records.fault("sender %d: %v", s.number, err)
		return err
	}
	if took := time.Since(started); took > readyMost {
		s.records.fault("sender %d: ready after %v", s.number, took)
	}
	s.records.outage(s.number, from, time.Now())
	return nil
}

// afterMove is how long after a move of discovery connections to the platform come up in time: the pages have late ones at
// endpoints only, and none is there yet that was made before.
const afterMove = 2 * time.Second

// connectLate has its connections come up late.
func (s *sender) connectLate() {
	in := 0
	if moved := s.movedAt.Load(); moved != nil && time.Since(*moved) < afterMove {
		in = platformPort
	}
	s.late.Store(in == 0)
	s.controls.DelayConnects(0.5, in)
}

// connectInTime ends that.
func (s *sender) connectInTime() {
	s.controls.DelayConnects(0, 0)
	s.late.Store(false)
}

// exitStatus is how the process ended.
func (s *sender) exitStatus() error {
	p := s.process()
	err := <-p.Done
	p.Done <- err
	return err
}

// Each sender listens for clients, and finds the platform, at addresses of its own.
const (
	clientPort   = 6379
	platformPort = 8500
	mostSenders  = 80 // for which there are addresses
)

// address is a loopback address of this process and run alone, so that no other has its port after a restart.
func address(seed uint64, number, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+seed%250, 1+number), strconv.Itoa(port))
}

// platformAddress is where a sender finds the platform after so many moves of discovery.
func platformAddress(seed uint64, number, moves int) string {
	return address(seed, number+mostSenders*(moves%3), platformPort)
}

// logFile takes the log of a sender over its restarts.
type logFile struct {
	mu sync.Mutex
	f  *os.File
}

func newLogFile(dir string, number int) (*logFile, error) {
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("n%d.log", number)))
	return &logFile{f: f}, err
}

func (l *logFile) write(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.f, line)
}
