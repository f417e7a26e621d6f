package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/standin/faultbuild"
	"cometrack/internal/standin/program"
)

const (
	trafficTimeout         = 1500 * time.Millisecond // for a pass by traffic, reload or upgrade, first try
	retryTimeout           = 5 * time.Second         // for the same on later tries
	startTimeout           = 2 * time.Second         // for a start of a process to pass a point
	secondEventTimeout     = 400 * time.Millisecond  // for the second of two events to occur
	pollInterval           = time.Millisecond        // of checks for an event or for the exit of a process
	pingInterval           = 100 * time.Millisecond  // between PINGs, and the timeout of each
	secondEventProbability = 0.5                     // that a second event is armed right after the first
	maxSkippedPasses       = 3                       // limit of the passes before the event, on the first try
	maxTries               = 4                       // tries of a crossing until its point is passed in time
)

// crossing is an event that is injected at a point of the program.
type crossing struct {
	point int // index in points
	event faultbuild.Event
}

func (x crossing) String() string { return fmt.Sprintf("%s at %q", x.event, points[x.point].Name) }

// Crossings count and log the crossings of one or more runs: the events injected at points of the program.
type Crossings struct {
	mu     sync.Mutex       // guards the fields below while a run writes them
	counts map[crossing]int // how often each crossing occurred; absent for never
	pairs  int              // how often a second event occurred right after the first
	log    []string         // one line for each try of a crossing and for each second event that occurred
}

// NewCrossings returns an empty Crossings.
func NewCrossings() *Crossings { return &Crossings{counts: map[crossing]int{}} }

// record logs a try of a crossing at the sender with a number, and counts it if the event occurred.
func (c *Crossings) record(sender int, x crossing, occurred bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if occurred {
		c.counts[x]++
	}
	c.log = append(c.log, fmt.Sprintf("%s sender %d: %v, occurred %v",
		time.Now().Format("15:04:05.000"), sender, x, occurred))
}

// recordPair records x, a second event that occurred right after the first. It counts as a crossing and as
// a pair.
func (c *Crossings) recordPair(sender int, x crossing) {
	c.record(sender, x, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pairs++
}

// PairCount returns how often a second event occurred right after the first. It must not be called during a
// run.
func (c *Crossings) PairCount() int { return c.pairs }

// Add adds the counts of another run, but not its log. It must not be called during a run.
func (c *Crossings) Add(other *Crossings) {
	for x, n := range other.counts {
		c.counts[x] += n
	}
	c.pairs += other.pairs
}

// Log returns the log lines of the crossings in their order. It must not be called during a run.
func (c *Crossings) Log() []string { return c.log }

// Table returns a text table with a line for each point and a column for each event. It tells how often the
// event occurred at the point.
func (c *Crossings) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-48s", "point")
	for e := range faultbuild.EventCount {
		fmt.Fprintf(&b, " %10s", e)
	}
	for i, p := range points {
		fmt.Fprintf(&b, "\n%-48s", p.Name)
		for e := range faultbuild.EventCount {
			fmt.Fprintf(&b, " %10d", c.counts[crossing{i, e}])
		}
	}
	return b.String()
}

// Missing lists the crossings that have not occurred, each as its event and the name of its point.
func (c *Crossings) Missing() (list []string) {
	for i := range points {
		for e := range faultbuild.EventCount {
			if x := (crossing{i, e}); c.counts[x] == 0 {
				list = append(list, x.String())
			}
		}
	}
	return list
}

// runCrossings executes every crossing once, in an order drawn from seed, each at the next free sender. It
// returns at once; running is done when all have been tried.
func (f *fleet) runCrossings(seed uint64, running *sync.WaitGroup) *Crossings {
	rng := rand.New(rand.NewPCG(seed, 3))
	var list []crossing
	for i := range points {
		for e := range faultbuild.EventCount {
			list = append(list, crossing{i, e})
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	queue := make(chan crossing, len(list))
	for _, x := range list {
		queue <- x
	}
	close(queue)
	out := NewCrossings()
	for _, s := range f.senders {
		senderRNG := rand.New(rand.NewPCG(seed, uint64(1000+s.number)))
		running.Go(func() {
			for x := range queue {
				occurred := false
				for try := 0; try < maxTries && !occurred; try++ {
					timeout, skip := retryTimeout, 0
					if try == 0 {
						timeout, skip = trafficTimeout, senderRNG.IntN(maxSkippedPasses+1)
					}
					occurred = f.runCrossing(s, x, timeout, skip, senderRNG, out)
				}
			}
		})
	}
	return out
}

// runCrossing injects an event at a point of a sender and restores the sender's service afterwards. It
// returns false if the point was not passed in time and the crossing may be tried again; true if the event
// occurred, or after an error of the harness, which is kept for the result.
//
// The trigger of the point selects the time within which it has to be passed: killDelay after SIGTERM for
// byTerm, startTimeout after the start for byStart, and timeout for byTraffic, byReload and byUpgrade.
// Traffic passes the point skip times before the event occurs; the other triggers ignore skip. After an
// event other than Kill, rng draws whether a second event is armed, which one and where. out records the
// try and the events that occurred.
func (f *fleet) runCrossing(s *sender, x crossing, timeout time.Duration, skip int, rng *rand.Rand,
	out *Crossings) bool {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	began := time.Now()
	switch points[x.point].trigger {
	case byTraffic:
		s.controls.Arm(x.point, x.event, skip)
	case byTerm:
		timeout = killDelay
		s.controls.Arm(x.point, x.event, 0)
		s.signal(syscall.SIGTERM)
	case byReload:
		if err := s.writeConfig(len(f.senders), f.pushed); err != nil {
			f.setError(err)
			return true
		}
		s.controls.Arm(x.point, x.event, 0)
		s.signal(syscall.SIGHUP)
	case byStart:
		timeout = startTimeout
		s.kill()
		s.records.clearWaits(s.number)
		time.Sleep(startDelay)
		s.controls.Arm(x.point, x.event, 0)
		if err := s.launch(); err != nil {
			f.setError(err)
			return true
		}
	}
	var successor *process
	if points[x.point].trigger == byUpgrade {
		var err error
		if successor, err = s.startSuccessor(x); err != nil {
			f.setError(err)
			return true
		}
	}
	occurred := s.awaitCrossing(timeout)
	out.record(s.number, x, occurred)
	events := map[faultbuild.Event]bool{x.event: occurred}
	if occurred && x.event != faultbuild.Kill && rng.Float64() < secondEventProbability {
		second := crossing{rng.IntN(len(points)), faultbuild.Event(rng.IntN(int(faultbuild.EventCount)))}
		s.controls.Arm(second.point, second.event, 0)
		if s.awaitCrossing(secondEventTimeout) {
			out.recordPair(s.number, second)
			events[second.event] = true
		}
	}
	if successor != nil {
		if events[faultbuild.Kill] {
			s.recordKill(s.process(), successor)
		}
		if err := s.settleUpgrade(began, successor); err != nil {
			s.records.addFault("sender %d: %v after %v", s.number, err, x)
		}
		return occurred
	}
	eventsEnded := time.Now()
	if points[x.point].trigger == byTraffic && len(events) == 1 && x.event == faultbuild.Silence {
		return occurred // the sender goes on: its notices are due as ever
	}
	terminated := points[x.point].trigger == byTerm || events[faultbuild.Terminate]
	if err := s.restoreService(began, eventsEnded, terminated, events[faultbuild.Kill],
		points[x.point].trigger == byStart); err != nil {
		s.records.addFault("sender %d: %v after %v", s.number, err, x)
	}
	return occurred
}

// setError keeps err as the error of the harness that Run returns, unless there is an earlier one.
func (f *fleet) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// awaitCrossing waits up to timeout for the armed event to occur, then disarms it. It reports whether the
// event occurred.
func (s *sender) awaitCrossing(timeout time.Duration) bool {
	for by := time.Now().Add(timeout); time.Now().Before(by) && s.controls.Armed(); {
		time.Sleep(pollInterval)
	}
	return !s.controls.Disarm()
}

// restoreService makes the sender serve again after the events between from and last, and records that time
// as an outage. The flags say that its process got SIGTERM, was killed, or was started for the crossing and
// may not be ready yet. It returns an error if no process becomes ready.
func (s *sender) restoreService(from, last time.Time, terminated, killed, started bool) error {
	defer func() { s.records.addOutage(s.number, from, time.Now()) }()
	if !terminated && !killed {
		if !started {
			return nil
		}
		if err := s.process().Ready(); err == nil {
			return nil
		}
	}
	switch {
	case killed:
		s.recordKill(s.process())
	case !s.endsWithin(time.Until(last.Add(killDelay))):
		s.records.addFault("sender %d: did not end within %v of SIGTERM", s.number, killDelay)
	}
	return s.relaunch()
}

// relaunch kills the sender's process, if it has not exited, starts another and waits until that is ready.
// The caller holds restartMu.
func (s *sender) relaunch() error {
	s.kill()
	s.records.clearWaits(s.number)
	time.Sleep(startDelay)
	if err := s.launch(); err != nil {
		return err
	}
	return s.process().Ready()
}

// recordKill records that one of the given processes was killed just now, and records it again when one of
// them has exited.
func (s *sender) recordKill(processes ...*process) {
	s.records.addKill(s.number, time.Now())
	exited := func(p *process) bool { return !p.running() }
	for by := time.Now().Add(program.Timeout); time.Now().Before(by) && !slices.ContainsFunc(processes, exited); {
		time.Sleep(pollInterval)
	}
	s.records.addKill(s.number, time.Now())
}

// startSuccessor arms a crossing and starts a second process of the sender, which is to take over from the
// first.
func (s *sender) startSuccessor(x crossing) (*process, error) {
	s.controls.Arm(x.point, x.event, 0)
	return s.start()
}

const (
	takeoverTimeout   = 6 * time.Second        // for a successor to be ready
	listenerDrainTime = 100 * time.Millisecond // for a process that has handed over to leave its listener
	pingTimeout       = 3 * time.Second        // for a sender to answer PING after an upgrade
)

// settleUpgrade makes one process serve after a successor was started and events have occurred: the
// successor if it becomes ready, else the predecessor if it still serves, else a new process. The time
// since from is recorded as an outage. It returns an error if a new process is needed and does not become
// ready.
func (s *sender) settleUpgrade(from time.Time, successor *process) error {
	predecessor := s.process()
	defer func() { s.records.addOutage(s.number, from, time.Now()) }()
	if s.readyWithin(successor, takeoverTimeout) {
		if predecessor.running() {
			predecessor.Signal(syscall.SIGTERM)
			if !predecessor.endsWithin(killDelay) {
				s.records.addFault("sender %d: the predecessor did not end within %v of SIGTERM", s.number, killDelay)
			}
		}
		predecessor.kill()
		s.records.processTookOver(s.number, successor.startedAt)
		s.setProcess(successor)
		if successor.running() && s.answersPing(pingTimeout) {
			return nil
		}
		return s.replaceProcess(successor)
	}
	if successor.running() {
		s.records.addFault("sender %d: the successor is not ready after %v", s.number, takeoverTimeout)
	}
	successor.kill()
	time.Sleep(listenerDrainTime)
	if predecessor.running() && s.answersPing(pingTimeout) {
		return nil
	}
	return s.replaceProcess(predecessor)
}

// replaceProcess stops the sender's current process p with SIGTERM and, if it has not exited after
// killDelay, SIGKILL. It then starts another and waits until that is ready.
func (s *sender) replaceProcess(p *process) error {
	p.Signal(syscall.SIGTERM)
	p.endsWithin(killDelay)
	return s.relaunch()
}

// readyWithin waits until a process is ready, for a duration at most. It reports whether the process is
// ready and has not exited.
func (s *sender) readyWithin(p *process, within time.Duration) bool {
	ready := make(chan bool, 1)
	go func() { ready <- p.Ready() == nil }()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case ok := <-ready:
		return ok && p.running()
	case <-timer.C:
		return false
	}
}

// answersPing sends PING on new connections until one is answered. It reports whether that happens within a
// duration.
func (s *sender) answersPing(within time.Duration) bool {
	for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(pingInterval) {
		conn, err := net.DialTimeout("tcp", s.addr, pingInterval)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(pingInterval))
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if line == "+PONG\r\n" {
			return true
		}
	}
	return false
}
