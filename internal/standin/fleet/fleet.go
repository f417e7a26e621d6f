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

// MostSenders bounds a fleet: each is a process.
const MostSenders = 60

// Ports of each sender, on an address of its own.
const (
	ClusterPort = 7946
	RESPPort    = 6379
	ConsolePort = 7070
)

// Options say what a fleet is made of.
type Options struct {
	Program string // path of cometrack
	Dir     string // for folders, files and logs
	Senders int
	Seats   int // "senders" in the files; 0 for Senders
	Late    int // of the last, those that are not started yet: Restart starts them
	Seed    uint64
	Cluster string // lines of [cluster] beside listen, advertise and join; "off" for none
	Config  string // what each file holds beside its name, folder, fronts and [cluster]
	// Join lists the addresses that sender i is told of; nil for the relays of all.
	Join func(i int, relays []string) []string
	// Name names a sender; nil for s0, s1 and so on.
	Name func(i int) string
}

// Fleet is senders that run.
type Fleet struct {
	Time *Timeline

	opts    Options
	lock    net.Listener // keeps the fleet's addresses to itself
	base    string       // "127.X"
	net     *network
	senders []*Sender
	stop    chan struct{}
	watched sync.WaitGroup
}

// Sender is one process of a fleet, or its place.
type Sender struct {
	N    int
	Name string
	// Addr is where the program listens itself, Relay where the others reach it.
	Addr, Relay   string
	RESP, Console string
	Dir, File     string

	fleet  *Fleet
	mu     sync.Mutex
	proc   *program.Program // nil while it does not run
	paused bool
	calm   func()            // ends the busy neighbour
	sees   map[string]string // its last view
	part   float64
}

// Start starts a fleet and waits until each sender is ready.
func Start(opts Options) (*Fleet, error) {
	if opts.Senders < 1 || opts.Senders > MostSenders {
		return nil, fmt.Errorf("fleet: %d senders; 1 to %d", opts.Senders, MostSenders)
	}
	if opts.Seats == 0 {
		opts.Seats = opts.Senders
	}
	f := &Fleet{opts: opts, Time: newTimeline(), stop: make(chan struct{})}
	for x := 16; x < 250 && f.lock == nil; x++ { // a second loopback octet of its own
		f.base = fmt.Sprintf("127.%d", x)
		f.lock, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", f.base, ClusterPort))
	}
	if f.lock == nil {
		return nil, fmt.Errorf("fleet: no loopback addresses are free")
	}
	var relays, reals []string
	for i := range opts.Senders {
		s := &Sender{N: i, Name: fmt.Sprint("s", i), fleet: f,
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
		relays, reals = append(relays, s.Relay), append(reals, s.Addr)
	}
	f.Time.names(f.senders)
	var err error
	if f.net, err = newNetwork(relays, reals, opts.Seed); err != nil {
		f.lock.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	started := make(chan error, len(f.senders))
	first := f.senders[:opts.Senders-opts.Late]
	for _, s := range first {
		if err := s.write(); err != nil {
			f.Close()
			return nil, err
		}
		go func() { started <- s.start() }()
	}
	for range first {
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

// Senders lists the senders by number.
func (f *Fleet) Senders() []*Sender { return f.senders }

// Close ends all processes and relays.
func (f *Fleet) Close() {
	close(f.stop)
	f.watched.Wait()
	var all sync.WaitGroup
	for _, s := range f.senders {
		all.Go(func() { s.Kill() })
	}
	all.Wait()
	f.net.close()
	f.lock.Close()
}

// Fault has a link lose, delay or cut what it carries from here on.
func (f *Fleet) Fault(from, to int, faults Faults) {
	f.Time.note(Entry{Do: Link, From: []int{from}, To: []int{to}, Faults: &faults})
	f.net.links[from][to].set(faults)
}

// Cut cuts links in both directions between the senders of two lists.
func (f *Fleet) Cut(a, b []int) {
	for _, i := range a {
		for _, k := range b {
			f.Fault(i, k, Faults{Cut: true})
			f.Fault(k, i, Faults{Cut: true})
		}
	}
}

// Heal lets all links carry all again.
func (f *Fleet) Heal() {
	f.Time.note(Entry{Do: Heal})
	for _, row := range f.net.links {
		for _, l := range row {
			l.set(Faults{})
		}
	}
}

// Reset resets the streams that one sender has opened to another.
func (f *Fleet) Reset(from, to int) {
	f.Time.note(Entry{Do: Reset, From: []int{from}, To: []int{to}})
	f.net.links[from][to].reset()
}

// write writes a sender's configuration.
func (s *Sender) write() error {
	f := s.fleet
	var relays []string
	for _, x := range f.senders {
		relays = append(relays, x.Relay)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nstate = %q\nsenders = %d\n", s.Name, s.Dir, f.opts.Seats)
	fmt.Fprintf(&b, "[front.resp]\nlisten = %q\n[console]\nlisten = %q\n", s.RESP, s.Console)
	host, _, _ := net.SplitHostPort(s.Addr)
	fmt.Fprintf(&b, "[transport.http]\nsource = %q\n", host)
	if f.opts.Cluster != "off" {
		join := relays
		if f.opts.Join != nil {
			join = f.opts.Join(s.N, relays)
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

// start starts the process and waits until it is ready.
func (s *Sender) start() error {
	if err := s.fleet.net.relays[s.N].up(); err != nil {
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
	s.fleet.Time.note(Entry{Do: "ready", Who: []int{s.N}})
	return nil
}

// Running says whether the process runs and is not paused.
func (s *Sender) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proc != nil && !s.paused
}

// PID is the process's number; 0 while it does not run.
func (s *Sender) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return 0
	}
	return s.proc.Cmd.Process.Pid
}

// Last is the end of the log, as far as no test has read it.
func (s *Sender) Last(lines int) (out []string) {
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

// Says waits for a line of the log that contains part.
func (s *Sender) Says(part string) error {
	s.mu.Lock()
	p := s.proc
	s.mu.Unlock()
	if p == nil {
		return fmt.Errorf("%s does not run", s.Name)
	}
	return p.AwaitLog(part)
}

// Kill ends the process at once and waits until it is gone.
func (s *Sender) Kill() {
	s.mu.Lock()
	p, calm := s.proc, s.calm
	s.proc, s.calm = nil, nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	if calm != nil {
		calm()
	}
	s.fleet.Time.note(Entry{Do: Kill, Who: []int{s.N}})
	p.Signal(syscall.SIGKILL)
	s.fleet.net.relays[s.N].down()
	p.Wait()
}

// Terminate ends the process in order.
func (s *Sender) Terminate() error {
	s.mu.Lock()
	p := s.proc
	s.proc = nil
	s.mu.Unlock()
	if p == nil {
		return nil
	}
	s.fleet.Time.note(Entry{Do: "terminate", Who: []int{s.N}})
	p.Signal(syscall.SIGTERM)
	err := p.Wait()
	s.fleet.net.relays[s.N].down()
	return err
}

// Restart kills the process if it runs, and starts it; with empty, from an emptied
// folder.
func (s *Sender) Restart(empty bool) error {
	if empty {
		return s.again(Empty, func() error { return os.RemoveAll(s.Dir) })
	}
	return s.again(Restart, func() error { return nil })
}

// Copy copies the folder as it is, for [Sender.RestartOld].
func (s *Sender) Copy() error {
	s.fleet.Time.note(Entry{Do: Copy, Who: []int{s.N}})
	if err := os.RemoveAll(s.Dir + ".old"); err != nil {
		return err
	}
	return copyFolder(s.Dir+".old", s.Dir)
}

// copyFolder copies the regular files of a folder; it holds sockets too.
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

// RestartOld kills the process if it runs, and starts it with the copy of its folder.
func (s *Sender) RestartOld() error {
	return s.again(Old, func() error {
		if err := os.RemoveAll(s.Dir); err != nil {
			return err
		}
		return copyFolder(s.Dir, s.Dir+".old")
	})
}

// again kills the process if it runs, changes its folder, and starts it.
func (s *Sender) again(do Do, change func() error) error {
	s.Kill()
	if err := change(); err != nil {
		return err
	}
	s.fleet.Time.note(Entry{Do: do, Who: []int{s.N}})
	if err := s.write(); err != nil {
		return err
	}
	return s.start()
}

// Pause stops the process as it stands, and Resume lets it go on.
func (s *Sender) Pause() { s.signal(Pause, syscall.SIGSTOP, true) }

// Resume lets a paused process go on.
func (s *Sender) Resume() { s.signal(Resume, syscall.SIGCONT, false) }

func (s *Sender) signal(do Do, sig syscall.Signal, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.fleet.Time.note(Entry{Do: do, Who: []int{s.N}})
	s.proc.Signal(sig)
	s.paused = paused
}

// Play plays a script over the fleet and returns when its time is over.
func (f *Fleet) Play(script *Script) error {
	start := time.Now()
	until := func(d Span) {
		t := time.NewTimer(time.Until(start.Add(time.Duration(d))))
		defer t.Stop()
		<-t.C
	}
	for i := range script.Events {
		e := &script.Events[i]
		until(e.At)
		if err := f.do(e); err != nil {
			return fmt.Errorf("event[%d]: %w", i, err)
		}
	}
	until(script.For)
	return nil
}

// do brings one event about.
func (f *Fleet) do(e *Event) error {
	wrong := make(chan error, len(e.Who))
	for _, w := range e.Who { // at once
		go func() { wrong <- f.senders[w].do(e.Do) }()
	}
	for range e.Who {
		if err := <-wrong; err != nil {
			return err
		}
	}

	if len(e.Who) > 0 {
		return nil
	}
	if e.Do == Heal {
		f.Heal()
		return nil
	}
	f.pairs(e, func(i, k int) {
		if e.Do == Reset {
			f.Reset(i, k)
		} else {
			f.Fault(i, k, e.faults())
		}
	})
	return nil
}

// do brings one fault of a process about.
func (s *Sender) do(what Do) error {
	switch what {
	case Pause:
		s.Pause()
	case Resume:
		s.Resume()
	case Kill:
		s.Kill()
	case Restart, Empty:
		return s.Restart(what == Empty)
	case Copy:
		return s.Copy()
	case Old:
		return s.RestartOld()
	case Busy:
		return s.Busy()
	case Calm:
		s.Calm()
	}
	return nil
}

// pairs visits the links of an event.
func (f *Fleet) pairs(e *Event, visit func(from, to int)) {
	all := func(list []int) []int {
		if len(list) > 0 {
			return list
		}
		out := make([]int, len(f.senders))
		for i := range out {
			out[i] = i
		}
		return out
	}
	for _, i := range all(e.From) {
		for _, k := range all(e.To) {
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
