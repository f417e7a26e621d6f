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
	"cometrack/internal/standin/silence"
)

const (
	killDelay    = 3700 * time.Millisecond // from SIGTERM to SIGKILL, at the earliest
	startDelay   = 600 * time.Millisecond  // from SIGKILL to the next start
	maxReadyTime = 10 * time.Second        // from the start until the sender is ready; longer is a violation
	maxStall     = 150 * time.Millisecond  // longest time for which a process is held
)

// sender is one member of the fleet, across restarts of its process. Once the first process is started,
// platformServer, discoveryMoves and knownGeneration are guarded by restartMu.
type sender struct {
	number          int                  // from 0; index in the senders of the fleet
	addr            string               // address for clients
	dir             string               // folder with its state, which its processes share
	configPath      string               // file with its configuration
	binary          string               // path of the program
	platform        *platform            // its discovery and receiver of notices; shared by all senders
	platformServer  *platformServer      // serves the platform to this sender at its current address
	discoveryMoves  int                  // moves of its discovery to another address so far
	knownGeneration int64                // generation of discovery's list in its configuration
	listInterval    time.Duration        // ask_every_s of the settings
	terms           terms                // in its configuration; guarded by restartMu
	controls        *faultbuild.Controls // turn faults of its processes on and off
	tracePath       string               // file in which its processes trace their connections
	records         *Records
	logs            *logFile // log of all its processes

	loseFolder bool // planted fault: its folder is emptied at each restart

	platformConnections atomic.Pointer[silence.Listener] // of the current platformServer
	connectsDelayed     atomic.Bool                      // connections to the platform are delayed
	discoveryMovedAt    atomic.Pointer[time.Time]        // time of the last move of discovery; nil for none

	restartMu sync.Mutex // held during a restart, a crossing, a reload and a move of discovery
	mu        sync.Mutex // guards current
	current   *process   // the process that serves, or the last one; nil before the first
}

// process is one process of a sender, with the goroutines that resume it after holds and sample what it
// uses.
type process struct {
	*program.Program
	startedAt  time.Time
	stop       chan struct{}  // closed to stop these goroutines
	goroutines sync.WaitGroup // these goroutines
}

// stopGoroutines stops the goroutines of the process and waits until they have ended. It is called once.
func (p *process) stopGoroutines() {
	close(p.stop)
	p.goroutines.Wait()
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case err := <-p.Done:
		p.Done <- err
		return false
	default:
		return true
	}
}

// endsWithin waits for the process to exit and reports whether it does so within a duration.
func (p *process) endsWithin(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case err := <-p.Done:
		p.Done <- err
		return true
	case <-timer.C:
		return !p.running()
	}
}

// kill sends SIGKILL to the process, if it has not exited, and waits until it has exited.
func (p *process) kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.endsWithin(program.Timeout)
	p.stopGoroutines()
}

// settings is the format of the settings of a sender's deployment, in JSON. Its arguments are the number of
// senders, the number of this sender, the membership mode, the classes, the number of attempts and the
// interval in seconds within which the list is requested again.
const settings = `{"balancers":%d,"me":%d,"zone":0,"zones":["a","b"],"tick_s":0.005,"membership_mode":%q,
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":%s,
"tenants":[{"name":"acme","quota_rps":1000}],
"limits":{"conn_idle_s":4,"connect_timeout_s":1.5,"max_attempts":%d,"max_open":120,"max_retry_after_s":1,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"ask_every_s":%g,"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":4},
"specifics":{"batch_by_kind":[1],"call_slots":16,"late":"halves","separate_routes":[false]}}`

// repeatWindow is how long endpoints recognize repeats of a keyed message, from its first call that ran. A
// call that runs later takes effect again, which the judge reports. It is short, so that runs pass its end.
const repeatWindow = 2 * time.Second

// writeConfig writes the sender's configuration with the current list and the current address of discovery,
// for a fleet of the given size. pushed selects the membership mode "pushed" in place of "on_request". A
// running process reads the file at SIGHUP. The caller holds restartMu, except before the first start.
func (s *sender) writeConfig(senders int, pushed bool) error {
	mode := "on_request"
	if pushed {
		mode = "pushed"
	}
	known := s.platform.currentList()
	classes, err := s.terms.classSettings()
	if err != nil {
		return err
	}
	b, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", s.number), "listen": s.addr,
		"discovery": s.platformServer.addr,
		"seed":      fmt.Sprintf("%x", rand.Uint64()),
		"limits":    senderLimits, "known": known,
		"settings": json.RawMessage(fmt.Sprintf(settings, senders, s.number, mode, classes, s.terms.attempts,
			s.listInterval.Seconds()))})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configPath+".new", b, 0o600); err != nil {
		return err
	}
	s.knownGeneration = known.Generation
	return os.Rename(s.configPath+".new", s.configPath)
}

// launch starts a process and makes it the current one. It does not wait until the process is ready.
func (s *sender) launch() error {
	p, err := s.start()
	if err == nil {
		s.records.processStarted(s.number, p.startedAt, s.knownGeneration)
		s.setProcess(p)
	}
	return err
}

// setProcess makes p the sender's current process.
func (s *sender) setProcess(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = p
}

// start starts a process of the sender, and the goroutines that resume it after holds, sample what it uses
// and read its log. It does not make the process the current one.
func (s *sender) start() (*process, error) {
	startedAt := time.Now()
	started, err := program.Launch(s.binary, []string{fmt.Sprint("BALANCER_NAME=n", s.number), "BALANCER_LISTEN=" + s.addr,
		"BALANCER_DISCOVERY=" + s.platformServer.addr, "BALANCER_STATE=" + s.dir, "BALANCER_CONFIG=" + s.configPath,
		"COMETRACK_LOG=debug", s.controls.Env(), faultbuild.TraceVariable + "=" + s.tracePath})
	if err != nil {
		return nil, err
	}
	p := &process{Program: started, startedAt: startedAt, stop: make(chan struct{})}
	pid := p.Cmd.Process.Pid
	rng := rand.New(rand.NewPCG(uint64(pid), 0))
	sampler := newUsageSampler(s.number, pid)
	p.goroutines.Go(func() { s.records.addUsage(sampler.run(p.stop)) })
	p.goroutines.Go(func() {
		faultbuild.Resume(pid, func() time.Duration {
			from := time.Now()
			if s.controls.TakeSilence() {
				s.silencePlatform(silence.Both)
				s.records.addStall(s.number, from.Add(-5*time.Millisecond), from.Add(5*time.Millisecond))
				return 0
			}
			d := maxStall/3 + time.Duration(rng.Int64N(int64(maxStall*2/3)))
			sampler.skipUntil(from.Add(d))
			s.records.addStall(s.number, from.Add(-5*time.Millisecond), from.Add(d+5*time.Millisecond))
			return d
		}, p.stop)
	})
	go s.readLog(started)
	return p, nil
}

// readLog copies the log of a process to the log file and records lines that report a violation or a crash.
func (s *sender) readLog(p *program.Program) {
	for line := range p.LogLines {
		s.logs.write(line)
		for _, bad := range []string{"msg=violation", "panic:", "fatal error:", "DATA RACE"} {
			if strings.Contains(line, bad) {
				s.records.addFault("sender %d logged: %s", s.number, line)
			}
		}
	}
}

// process returns the current process; nil before the first.
func (s *sender) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// signal sends a signal to the current process.
func (s *sender) signal(x syscall.Signal) { s.process().Signal(x) }

// silencePlatform makes the sender's open connections to the platform fall silent in a direction.
func (s *sender) silencePlatform(d silence.Direction) { s.platformConnections.Load().SilenceOpen(d) }

// endsWithin waits for the current process to exit and reports whether it does so within a duration.
func (s *sender) endsWithin(within time.Duration) bool { return s.process().endsWithin(within) }

// kill sends SIGKILL to the current process, if it has not exited, and waits until it has exited.
func (s *sender) kill() {
	p := s.process()
	killed := p.running()
	if killed {
		s.records.addKill(s.number, time.Now())
	}
	p.kill()
	if killed { // the exit may have taken a while
		s.records.addKill(s.number, time.Now())
	}
}

// afterMove is how long connections to the platform are not delayed after a move of discovery. The operators'
// pages allow delayed connections to endpoints only, and after a move no earlier connection to the platform is
// open.
const afterMove = 2 * time.Second

// delayConnects delays half of the sender's connects, until endConnectDelays. Connects to the platform are
// exempt if discovery moved less than afterMove ago.
func (s *sender) delayConnects() {
	exemptPort := 0
	if moved := s.discoveryMovedAt.Load(); moved != nil && time.Since(*moved) < afterMove {
		exemptPort = platformPort
	}
	s.connectsDelayed.Store(exemptPort == 0)
	s.controls.DelayConnects(0.5, exemptPort)
}

// endConnectDelays ends the delays of delayConnects.
func (s *sender) endConnectDelays() {
	s.controls.DelayConnects(0, 0)
	s.connectsDelayed.Store(false)
}

// exitStatus waits for the current process to exit and returns its exit error; nil for status 0.
func (s *sender) exitStatus() error {
	p := s.process()
	err := <-p.Done
	p.Done <- err
	return err
}

// Ports of the addresses of a fleet. Each sender has its own address for clients and its own address of the
// platform.
const (
	clientPort   = 6379
	platformPort = 8500 // of discovery and of the receiver of notices
	maxSenders   = 80   // limit of senders in a run, so that each has three addresses of the platform
)

// address returns a loopback address with a port, for the sender with a number. Only this harness process
// and run uses the IP address, so that no other program takes its port during a restart.
func address(seed uint64, number, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+seed%250, 1+number), strconv.Itoa(port))
}

// platformAddress returns the address of the platform for the sender with a number, after a number of moves
// of discovery. The address of three moves ago is used again.
func platformAddress(seed uint64, number, moves int) string {
	return address(seed, number+maxSenders*(moves%3), platformPort)
}

// logFile collects the log of a sender across its restarts.
type logFile struct {
	mu sync.Mutex
	f  *os.File
}

// newLogFile creates the log file of the sender with a number in the folder dir.
func newLogFile(dir string, number int) (*logFile, error) {
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("n%d.log", number)))
	return &logFile{f: f}, err
}

// write appends a line, given without its line end. It may be called concurrently.
func (l *logFile) write(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.f, line)
}
