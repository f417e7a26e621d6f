package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig holds the processes and stand-ins of one run of a case.
type rig struct {
	tmp     string // temporary folder of the run
	began   time.Time
	trouble bool // whether the case's disruption is played

	launches chan launch

	mu        sync.Mutex
	late      time.Duration // the longest time for which this program was held up
	file      *os.File      // the record
	processes []*process
	broken    []string
	closed    bool
}

// note writes a line to the record.
func (r *rig) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.file, "%9.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
	}
}

// fail records that a rule was broken.
func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *rig) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// close kills the processes that still run.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	list := r.processes
	r.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
}

// launch is a process to be started.
type launch struct {
	cmd  *exec.Cmd
	done chan error
}

// launch starts processes from one thread that lives as long as this program, so that they are killed when the program
// ends, whatever ends it.
func (r *rig) launch() {
	runtime.LockOSThread()
	for x := range r.launches {
		x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		x.done <- x.cmd.Start()
	}
}

// maxLate is the longest time for which this program may be held up. A run that is held up for longer judges times that
// are not those of the senders.
const maxLate = 150 * time.Millisecond

// watchLateness measures for how long this program is held up.
func (r *rig) watchLateness() {
	const tick = 10 * time.Millisecond
	for {
		before := time.Now()
		time.Sleep(tick)
		r.mu.Lock()
		r.late = max(r.late, time.Since(before)-tick)
		r.mu.Unlock()
	}
}

// checkRun returns why the run does not count: it was held up, or a process ended that nobody ended.
func (r *rig) checkRun() error {
	r.mu.Lock()
	late, list := r.late, r.processes
	r.mu.Unlock()
	r.note("rig", "held up for %v at most", late.Round(time.Millisecond))
	if late > maxLate {
		return fmt.Errorf("held up for %v", late)
	}
	for _, p := range list {
		if !p.running() && !p.told.Load() {
			return fmt.Errorf("a process ended by itself: %s", tail(p.log))
		}
	}
	return nil
}

// at waits until a time since the begin of the run.
func (r *rig) at(t time.Duration) { time.Sleep(time.Until(r.began.Add(t))) }

// freeAddress returns a free loopback address for a process. Its IP address is that of this program alone, so that no
// other one takes the port before the process does.
func freeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+pid>>16&63, pid>>8&255, max(pid&255, 1)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// class is a class of messages in the settings.
type class struct {
	Name     string  `json:"name"`
	Aim      float64 `json:"aim_s"`
	Deadline float64 `json:"deadline_s"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"late_worth"`
	Effect   string  `json:"idempotency"`
	Group    string  `json:"group"`
	Window   float64 `json:"window_s"`
	Stream   bool    `json:"stream"`
}

// tenant is a tenant in the settings.
type tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_rps"`
	Share float64 `json:"share"`
}

// deployment is the part of a sender's configuration in which the cases differ.
type deployment struct {
	senders       int
	me            int
	mode          string // membership_mode
	classes       []class
	tenants       []tenant
	kinds         []string
	separate      []bool // separate_routes
	batch         []int
	slots, open   int
	attempts      int
	drainGrace    float64
	connIdle      float64
	discovery     string
	known         list
	maxRetryAfter float64
}

// text returns the configuration file of a sender.
func (d deployment) text(name, listen string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": d.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  d.known,
		"settings": map[string]any{
			"balancers": d.senders, "me": d.me, "zone": 0, "zones": []string{"north", "south"}, "tick_s": 0.005,
			"membership_mode": d.mode, "weights": "nominal", "over_share_worth": 0.2,
			"machine_types": d.kinds, "classes": d.classes, "tenants": d.tenants,
			"limits": map[string]any{"conn_idle_s": d.connIdle, "connect_timeout_s": 1.5, "max_attempts": d.attempts,
				"max_open": d.open, "max_retry_after_s": d.maxRetryAfter, "multiplex": 1, "may_cancel": true,
				"probing": true, "retry_after": true, "second_copies": false},
			"charges":   map[string]any{"handshake": 0.02},
			"load_info": map[string]any{"how": "off", "names": []string{}},
			"rules": map[string]any{"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_from": 0.19,
				"drain_grace_s": d.drainGrace, "fall_multiple": 2.0, "fall_s": 3.0, "warm_after_s": 14.0},
			"specifics": map[string]any{"batch_by_kind": d.batch, "call_slots": d.slots, "late": "halves",
				"separate_routes": d.separate},
		}})
}

// sender is one sender: its files and addresses, which all of its processes share.
type sender struct {
	r         *rig
	name      string
	listen    string
	state     string
	temp      string // its TMPDIR
	config    string
	discovery string
}

// newSender prepares a sender with a configuration.
func (r *rig) newSender(name string, d deployment) (*sender, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &sender{r: r, name: name, listen: listen, state: filepath.Join(r.tmp, name, "state"),
		temp: filepath.Join(r.tmp, name, "tmp"), config: filepath.Join(r.tmp, name, "config.json"), discovery: d.discovery}
	for _, folder := range []string{s.state, s.temp} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	return s, s.configure(d)
}

// configure replaces the configuration file.
func (s *sender) configure(d deployment) error {
	text, err := d.text(s.name, s.listen)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

// process is one process of a sender.
type process struct {
	cmd     *exec.Cmd
	console string
	ended   chan struct{}
	told    atomic.Bool // the platform has told it to end
	log     string
}

// start starts a process with the command of the deploy file. The working folder is the root of the project.
func (s *sender) start() (*process, error) {
	run, err := deployRun()
	if err != nil {
		return nil, err
	}
	console, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s.r.mu.Lock()
	n := len(s.r.processes)
	s.r.mu.Unlock()
	p := &process{cmd: exec.Command("/bin/sh", "-c", run), console: console, ended: make(chan struct{}),
		log: filepath.Join(cmp.Or(os.Getenv("RIG_LOGS"), s.r.tmp), fmt.Sprintf("%s-%d.log", s.name, n))}
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+s.name, "BALANCER_LISTEN="+s.listen,
		"BALANCER_DISCOVERY="+s.discovery, "BALANCER_STATE="+s.state, "BALANCER_CONFIG="+s.config,
		"BALANCER_CONSOLE="+console, "TMPDIR="+s.temp, "COMETRACK_LOG=debug")
	logs, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	x := launch{p.cmd, make(chan error, 1)}
	s.r.launches <- x
	if err := <-x.done; err != nil {
		return nil, err
	}
	s.r.note("platform", "%s: process %d started", s.name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		s.r.note("platform", "%s: process %d ended: %v", s.name, p.cmd.Process.Pid, err)
		close(p.ended)
	}()
	s.r.mu.Lock()
	s.r.processes = append(s.r.processes, p)
	s.r.mu.Unlock()
	return p, nil
}

// deployRun returns the command of one sender in the deploy file.
func deployRun() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			run, _, _ := strings.Cut(rest, `"`)
			return run, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	if p.running() {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

// signal sends a signal and notes it.
func (s *sender) signal(p *process, x syscall.Signal) {
	s.r.note("platform", "%s: %v to process %d", s.name, x, p.cmd.Process.Pid)
	if x == syscall.SIGTERM || x == syscall.SIGKILL {
		p.told.Store(true)
	}
	p.cmd.Process.Signal(x)
}

// awaitReady waits until the sender answers PING with +PONG.
func (s *sender) awaitReady(p *process) error {
	for stop := time.Now().Add(20 * time.Second); time.Now().Before(stop); time.Sleep(10 * time.Millisecond) {
		if !p.running() {
			return fmt.Errorf("%s ended before it was ready: %s", s.name, tail(p.log))
		}
		c, err := dialClient(s.r, s.listen)
		if err != nil {
			continue
		}
		answer, err := c.do("PING")
		c.close()
		if err == nil && answer == "+PONG" {
			s.r.note("platform", "%s: process %d is ready", s.name, p.cmd.Process.Pid)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", s.name, tail(p.log))
}

// tail returns the end of a file.
func tail(path string) string {
	b, _ := os.ReadFile(path)
	return string(b[max(len(b)-600, 0):])
}
