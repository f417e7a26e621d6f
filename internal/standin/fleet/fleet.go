package fleet

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/standin/program"
)

// MaxSenders is the largest size of a fleet; each sender is a process.
const MaxSenders = 60

// Ports of each sender, on a loopback address of its own.
const (
	ClusterPort = 7946 // for the other senders: datagrams and streams; its relay has the same port
	RESPPort    = 6379 // of the RESP2 front, to which messages are submitted
	ConsolePort = 7070 // of the console, which reports the view and the facts
)

// Options describe a fleet.
type Options struct {
	Program    string // path of the cometrack binary
	Dir        string // holds the state folders and configuration files
	Senders    int    // from 1 to the constant MaxSenders
	MaxSenders int    // the setting "senders"; 0 for Senders
	StartLater int    // how many of the last senders Start leaves out; Restart starts them
	Seed       uint64 // of the random faults of the links
	Cluster    string // lines of [cluster] besides listen, advertise and join; "off" for no cluster
	Config     string // appended to each configuration file
	// Join returns the join addresses of sender i; nil uses the relays of all senders.
	Join func(i int, relays []string) []string
	// Name returns the name of sender i; nil for s0, s1 and so on.
	Name func(i int) string
}

// Fleet is a set of running senders and the relays between them.
type Fleet struct {
	Timeline *Timeline // records all that happens to the fleet, from Start on

	opts        Options        // as given to Start, with MaxSenders set
	addressLock net.Listener   // reserves the address range of the fleet
	base        string         // "127.X", the common part of all addresses
	net         *network       // the relays and links
	senders     []*Sender      // by number
	stop        chan struct{}  // closed by Close
	watchers    sync.WaitGroup // goroutines that Close waits for
}

// Sender is one process of a fleet; it keeps its number and addresses while the process is not
// running.
type Sender struct {
	Number int    // from 0 in the fleet
	Name   string // as the others know it
	// Addr is the listen address of the program, Relay the address at which the others reach it.
	Addr, Relay   string
	RESP, Console string // listen addresses of the RESP2 front and of the console
	Dir, File     string // state folder, and configuration file

	fleet      *Fleet
	mu         sync.Mutex        // guards the fields below
	proc       *program.Program  // nil while the process is not running
	paused     bool              // by SIGSTOP
	stopBusy   func()            // stops the busy neighbor; nil without one
	lastStates map[string]string // the last recorded view, as state by sender name
	lastShare  float64           // the share in the last recorded view
}

// Start starts a fleet and waits until each started sender is ready. The caller closes the fleet.
func Start(opts Options) (*Fleet, error) {
	if opts.Senders < 1 || opts.Senders > MaxSenders {
		return nil, fmt.Errorf("fleet: %d senders; 1 to %d", opts.Senders, MaxSenders)
	}
	if opts.MaxSenders == 0 {
		opts.MaxSenders = opts.Senders
	}
	f := &Fleet{opts: opts, Timeline: newTimeline(), stop: make(chan struct{})}
	for x := 16; x < 250 && f.addressLock == nil; x++ { // the first free second octet of 127/8
		f.base = fmt.Sprintf("127.%d", x)
		f.addressLock, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", f.base, ClusterPort))
	}
	if f.addressLock == nil {
		return nil, fmt.Errorf("fleet: no loopback addresses are free")
	}
	var relays, targets []string
	for i := range opts.Senders {
		s := &Sender{Number: i, Name: fmt.Sprint("s", i), fleet: f,
			Addr:    fmt.Sprintf("%s.1.%d:%d", f.base, i+1, ClusterPort),
			Relay:   fmt.Sprintf("%s.2.%d:%d", f.base, i+1, ClusterPort),
			RESP:    fmt.Sprintf("%s.1.%d:%d", f.base, i+1, RESPPort),
			Console: fmt.Sprintf("%s.1.%d:%d", f.base, i+1, ConsolePort),
			Dir:     filepath.Join(opts.Dir, fmt.Sprint("s", i))}
		s.File = s.Dir + ".toml"
		if opts.Name != nil {
			s.Name = opts.Name(i)
		}
		f.senders = append(f.senders, s)
		relays, targets = append(relays, s.Relay), append(targets, s.Addr)
	}
	f.Timeline.setNames(f.senders)
	var err error
	if f.net, err = newNetwork(relays, targets, opts.Seed); err != nil {
		f.addressLock.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	started := make(chan error, len(f.senders))
	initial := f.senders[:opts.Senders-opts.StartLater]
	for _, s := range initial {
		if err := s.writeConfig(); err != nil {
			f.Close()
			return nil, err
		}
		go func() { started <- s.start() }()
	}
	for range initial {
		if e := <-started; e != nil {
			err = e
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Senders returns all senders in order of number, those included that are not running.
func (f *Fleet) Senders() []*Sender { return f.senders }

// Close kills all processes and closes the relays.
func (f *Fleet) Close() {
	close(f.stop)
	f.watchers.Wait()
	var all sync.WaitGroup
	for _, s := range f.senders {
		all.Go(func() { s.Kill() })
	}
	all.Wait()
	f.net.close()
	f.addressLock.Close()
}

// SetFaults sets the faults of the link between two senders, in one direction, in place of earlier
// ones. Senders are given by number.
func (f *Fleet) SetFaults(from, to int, faults Faults) {
	f.Timeline.add(Entry{Action: SetLink, From: []int{from}, To: []int{to}, Faults: &faults})
	f.net.links[from][to].set(faults)
}

// Cut cuts the links in both directions between the senders of two lists.
func (f *Fleet) Cut(a, b []int) {
	for _, i := range a {
		for _, k := range b {
			f.SetFaults(i, k, Faults{Cut: true})
			f.SetFaults(k, i, Faults{Cut: true})
		}
	}
}

// Heal removes the faults of all links.
func (f *Fleet) Heal() {
	f.Timeline.add(Entry{Action: Heal})
	for _, row := range f.net.links {
		for _, l := range row {
			l.set(Faults{})
		}
	}
}

// Reset resets the open streams of the link from one sender to another, whichever of them opened
// the stream.
func (f *Fleet) Reset(from, to int) {
	f.Timeline.add(Entry{Action: Reset, From: []int{from}, To: []int{to}})
	f.net.links[from][to].reset()
}

// writeConfig writes the configuration file of the sender, from the options of the fleet.
func (s *Sender) writeConfig() error {
	f := s.fleet
	var relays []string
	for _, x := range f.senders {
		relays = append(relays, x.Relay)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nstate = %q\nsenders = %d\n", s.Name, s.Dir, f.opts.MaxSenders)
	fmt.Fprintf(&b, "[front.resp]\nlisten = %q\n[console]\nlisten = %q\n", s.RESP, s.Console)
	host, _, _ := net.SplitHostPort(s.Addr)
	fmt.Fprintf(&b, "[transport.http]\nsource = %q\n", host)
	if f.opts.Cluster != "off" {
		join := relays
		if f.opts.Join != nil {
			join = f.opts.Join(s.Number, relays)
		}
		fmt.Fprintf(&b, "[cluster]\nlisten = %q\nadvertise = %q\njoin = [", s.Addr, s.Relay)
		for _, a := range join {
			fmt.Fprintf(&b, "%q, ", a)
		}
		fmt.Fprintf(&b, "]\n%s\n", f.opts.Cluster)
	}
	b.WriteString(f.opts.Config)
	return os.WriteFile(s.File, []byte(b.String()), 0o600)
}

// start opens the relay, starts the process and waits until it is ready.
func (s *Sender) start() error {
	if err := s.fleet.net.relays[s.Number].listen(); err != nil {
		return err
	}
	p, err := program.Launch(s.fleet.opts.Program, nil, "serve", "--config", s.File)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.proc, s.paused = p, false
	s.mu.Unlock()
	if err := p.Ready(); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.fleet.Timeline.add(Entry{Action: "ready", Senders: []int{s.Number}})
	return nil
}

// Running reports whether the process is running and not paused.
func (s *Sender) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc != nil && !s.paused
}

// PID returns the process ID; 0 while the process is not running.
func (s *Sender) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return 0
	}
	return s.proc.Cmd.Process.Pid
}

// RecentLog reads the log to its present end and returns at most so many of the last lines. Lines
// that an earlier call or WaitForLog has read are left out. It returns nil if the process is not
// running.
func (s *Sender) RecentLog(lines int) (out []string) {
	s.mu.Lock()
	p := s.proc
	s.mu.Unlock()
	for p != nil {
		select {
		case line := <-p.LogLines:
			out = append(out, line)
		default:
			return out[max(len(out)-lines, 0):]
		}
	}
	return nil
}

// WaitForLog reads the log until a line contains part. It returns an error if the process is not
// running, or after [program.Timeout].
func (s *Sender) WaitForLog(part string) error {
	s.mu.Lock()
	p := s.proc
	s.mu.Unlock()
	if p == nil {
		return fmt.Errorf("%s does not run", s.Name)
	}
	return p.AwaitLog(part)
}

// Kill kills the process and waits until it has exited. It does nothing if the process is not
// running.
func (s *Sender) Kill() {
	s.mu.Lock()
	p, stopBusy := s.proc, s.stopBusy
	s.proc, s.stopBusy = nil, nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	if stopBusy != nil {
		stopBusy()
	}
	s.fleet.Timeline.add(Entry{Action: Kill, Senders: []int{s.Number}})
	p.Signal(syscall.SIGKILL)
	s.fleet.net.relays[s.Number].stopListening()
	p.Wait()
}

// Terminate sends SIGTERM, waits until the process has exited and returns its exit error. It does
// nothing if the process is not running.
func (s *Sender) Terminate() error {
	s.mu.Lock()
	p := s.proc
	s.proc = nil
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	s.fleet.Timeline.add(Entry{Action: "terminate", Senders: []int{s.Number}})
	p.Signal(syscall.SIGTERM)
	err := p.Wait()
	s.fleet.net.relays[s.Number].stopListening()
	return err
}

// Restart kills the process if it is running and starts it again, from an empty state folder if
// empty is set.
func (s *Sender) Restart(empty bool) error {
	if empty {
		return s.restart(RestartEmpty, func() error { return os.RemoveAll(s.Dir) })
	}
	return s.restart(Restart, func() error { return nil })
}

// Copy copies the state folder for [Sender.RestartOld], in place of an earlier copy. The process may
// be running.
func (s *Sender) Copy() error {
	s.fleet.Timeline.add(Entry{Action: Copy, Senders: []int{s.Number}})
	if err := os.RemoveAll(s.Dir + ".old"); err != nil {
		return err
	}
	return copyFolder(s.Dir+".old", s.Dir)
}

// copyFolder copies the regular files of a folder; others, such as sockets, are skipped.
func copyFolder(to, from string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		out := filepath.Join(to, strings.TrimPrefix(path, from))
		switch {
		case d.IsDir():
			return os.MkdirAll(out, 0o700)
		case !d.Type().IsRegular():
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(out, text, 0o600)
	})
}

// RestartOld kills the process if it is running and starts it with the copied state folder.
func (s *Sender) RestartOld() error {
	return s.restart(RestartOld, func() error {
		if err := os.RemoveAll(s.Dir); err != nil {
			return err
		}
		return copyFolder(s.Dir, s.Dir+".old")
	})
}

// restart kills the process if it is running, changes its state folder by change and starts it with
// a new configuration file. The timeline records it as action.
func (s *Sender) restart(action Action, change func() error) error {
	s.Kill()
	if err := change(); err != nil {
		return err
	}
	s.fleet.Timeline.add(Entry{Action: action, Senders: []int{s.Number}})
	if err := s.writeConfig(); err != nil {
		return err
	}
	return s.start()
}

// Pause stops the process with SIGSTOP.
func (s *Sender) Pause() { s.signal(Pause, syscall.SIGSTOP, true) }

// Resume lets a paused process continue.
func (s *Sender) Resume() { s.signal(Resume, syscall.SIGCONT, false) }

// signal sends a signal, records it as action, and sets whether the process counts as paused. It does
// nothing if the process is not running.
func (s *Sender) signal(action Action, sig syscall.Signal, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.fleet.Timeline.add(Entry{Action: action, Senders: []int{s.Number}})
	s.proc.Signal(sig)
	s.paused = paused
}

// Play runs a script and returns when its duration has passed, or at the first event that fails. An
// event that takes long, such as a restart, delays those after it.
func (f *Fleet) Play(script *Script) error {
	start := time.Now()
	waitUntil := func(d Duration) {
		t := time.NewTimer(time.Until(start.Add(time.Duration(d))))
		defer t.Stop()
		<-t.C
	}
	for i := range script.Events {
		e := &script.Events[i]
		waitUntil(e.At)
		if err := f.apply(e); err != nil {
			return fmt.Errorf("event[%d]: %w", i, err)
		}
	}
	waitUntil(script.For)
	return nil
}

// apply applies one event of a script, to its processes concurrently or to its links in turn.
func (f *Fleet) apply(e *Event) error {
	errs := make(chan error, len(e.Senders))
	for _, w := range e.Senders { // concurrently
		go func() { errs <- f.senders[w].apply(e.Action) }()
	}
	for range e.Senders {
		if err := <-errs; err != nil {
			return err
		}
	}

	if len(e.Senders) > 0 {
		return nil
	}
	if e.Action == Heal {
		f.Heal()
		return nil
	}
	f.visitLinks(e, func(i, k int) {
		if e.Action == Reset {
			f.Reset(i, k)
		} else {
			f.SetFaults(i, k, e.faults())
		}
	})
	return nil
}

// apply applies one action of a script to the process. Actions on links are ignored.
func (s *Sender) apply(action Action) error {
	switch action {
	case Pause:
		s.Pause()
	case Resume:
		s.Resume()
	case Kill:
		s.Kill()
	case Restart, RestartEmpty:
		return s.Restart(action == RestartEmpty)
	case Copy:
		return s.Copy()
	case RestartOld:
		return s.RestartOld()
	case AddBusyNeighbor:
		return s.StartBusyNeighbor()
	case RemoveBusyNeighbor:
		s.StopBusyNeighbor()
	}
	return nil
}

// visitLinks calls visit with the sender numbers of each link that an event selects.
func (f *Fleet) visitLinks(e *Event, visit func(from, to int)) {
	orAll := func(list []int) []int {
		if len(list) > 0 {
			return list
		}
		out := make([]int, len(f.senders))
		for i := range out {
			out[i] = i
		}
		return out
	}
	for _, i := range orAll(e.From) {
		for _, k := range orAll(e.To) {
			if i == k {
				continue
			}
			visit(i, k)
			if e.Both {
				visit(k, i)
			}
		}
	}
}
