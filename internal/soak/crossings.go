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
	trafficPatience = 1500 * time.Millisecond // for traffic to come by a point
	rarePatience    = 5 * time.Second         // when it has not at first
	startPatience   = 2 * time.Second         // for a start to
	pairPatience    = 400 * time.Millisecond  // for a second event
	pollEvery       = time.Millisecond
	pollPong        = 100 * time.Millisecond
	pairShare       = 0.5 // of the crossings that a second event follows at once
	mostSkipped     = 3   // passes of a point by traffic before the event
	tries           = 4   // of a crossing whose point is not passed in time
)

// crossing is an event at a point.
type crossing struct {
	point int
	event faultbuild.Event
}

func (x crossing) String() string { return fmt.Sprintf("%s at %q", x.event, points[x.point].Name) }

// Crossings are the crossings of a run.
type Crossings struct {
	mu    sync.Mutex
	came  map[crossing]int
	pairs int
	log   []string
}

// NewCrossings has none.
func NewCrossings() *Crossings { return &Crossings{came: map[crossing]int{}} }

func (c *Crossings) note(sender int, x crossing, came bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if came {
		c.came[x]++
	}
	c.log = append(c.log, fmt.Sprintf("%s sender %d: %v, came %v", time.Now().Format("15:04:05.000"), sender, x, came))
}

// notePair notes a second event that has come.
func (c *Crossings) notePair(sender int, x crossing) {
	c.note(sender, x, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pairs++
}

// PairCount is how often a second event followed at once.
func (c *Crossings) PairCount() int { return c.pairs }

// Add counts the crossings of another run too.
func (c *Crossings) Add(other *Crossings) {
	for x, n := range other.came {
		c.came[x] += n
	}
	c.pairs += other.pairs
}

// Log tells the crossings in their order.
func (c *Crossings) Log() []string { return c.log }

// Table has a line for each point, with how often each event came there.
func (c *Crossings) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-48s", "point")
	for e := range faultbuild.EventCount {
		fmt.Fprintf(&b, " %10s", e)
	}
	for i, p := range points {
		fmt.Fprintf(&b, "\n%-48s", p.Name)
		for e := range faultbuild.EventCount {
			fmt.Fprintf(&b, " %10d", c.came[crossing{i, e}])
		}
	}
	return b.String()
}

// Missing are the crossings that did not come.
func (c *Crossings) Missing() (list []string) {
	for i := range points {
		for e := range faultbuild.EventCount {
			if x := (crossing{i, e}); c.came[x] == 0 {
				list = append(list, x.String())
			}
		}
	}
	return list
}

// playCrossings plays every crossing once, in an order drawn from a seed, each at the
// next sender that is free.
func (f *fleet) playCrossings(seed uint64, busy *sync.WaitGroup) *Crossings {
	rng := rand.New(rand.NewPCG(seed, 3))
	var list []crossing
	for i := range points {
		for e := range faultbuild.EventCount {
			list = append(list, crossing{i, e})
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	work := make(chan crossing, len(list))
	for _, x := range list {
		work <- x
	}
	close(work)
	out := NewCrossings()
	for _, s := range f.senders {
		own := rand.New(rand.NewPCG(seed, uint64(1000+s.number)))
		busy.Go(func() {
			for x := range work {
				came := false
				for try := 0; try < tries && !came; try++ {
					patience, skip := rarePatience, 0
					if try == 0 {
						patience, skip = trafficPatience, own.IntN(mostSkipped+1)
					}
					came = f.cross(s, x, patience, skip, own, out)
				}
			}
		})
	}
	return out
}

// cross has an event come at a point of a sender, and the sender serve again; false if
// the point was not passed. Traffic may pass it some times before the event comes.
func (f *fleet) cross(s *sender, x crossing, patience time.Duration, skip int, rng *rand.Rand, out *Crossings) bool {
	s.life.Lock()
	defer s.life.Unlock()
	from := time.Now()
	switch points[x.point].trigger {
	case byTraffic:
		s.controls.Arm(x.point, x.event, skip)
	case byTerm:
		patience = killAfter
		s.controls.Arm(x.point, x.event, 0)
		s.signal(syscall.SIGTERM)
	case byReload:
		if err := s.writeConfig(len(f.senders), f.pushed); err != nil {
			f.fail(err)
			return true
		}
		s.controls.Arm(x.point, x.event, 0)
		s.signal(syscall.SIGHUP)
	case byStart:
		patience = startPatience
		s.kill()
		s.records.restarts(s.number)
		time.Sleep(startAfter)
		s.controls.Arm(x.point, x.event, 0)
		if err := s.launch(); err != nil {
			f.fail(err)
			return true
		}
	}
	var next *process
	if points[x.point].trigger == byUpgrade {
		var err error
		if next, err = s.startBeside(x); err != nil {
			f.fail(err)
			return true
		}
	}
	came := s.awaitCrossing(patience)
	out.note(s.number, x, came)
	events := map[faultbuild.Event]bool{x.event: came}
	if came && x.event != faultbuild.Kill && rng.Float64() < pairShare {
		second := crossing{rng.IntN(len(points)), faultbuild.Event(rng.IntN(int(faultbuild.EventCount)))}
		s.controls.Arm(second.point, second.event, 0)
		if s.awaitCrossing(pairPatience) {
			out.notePair(s.number, second)
			events[second.event] = true
		}
	}
	if next != nil {
		if events[faultbuild.Kill] {
			s.noteDeath(s.process(), next)
		}
		if err := s.serveAfterUpgrade(from, next); err != nil {
			s.records.fault("sender %d: %v after %v", s.number, err, x)
		}
		return came
	}
	now := time.Now()
	told := points[x.point].trigger == byTerm || events[faultbuild.Terminate]
	if err := s.serveAgain(from, now, told, events[faultbuild.Kill], points[x.point].trigger == byStart); err != nil {
		s.records.fault("sender %d: %v after %v", s.number, err, x)
	}
	return came
}

// fail notes an error of the harness.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// awaitCrossing waits until the armed event has come, for so long at most; then it is
// taken back.
func (s *sender) awaitCrossing(patience time.Duration) bool {
	for by := time.Now().Add(patience); time.Now().Before(by) && s.controls.Armed(); {
		time.Sleep(pollEvery)
	}
	return !s.controls.Disarm()
}

// serveAgain sees to it that the sender serves after what has come between two moments:
// it was told to end, or was killed, or has only just been started.
func (s *sender) serveAgain(from, last time.Time, told, killed, started bool) error {
	defer func() { s.records.outage(s.number, from, time.Now()) }()
	if !told && !killed {
		if !started {
			return nil
		}
		if err := s.process().Ready(); err == nil {
			return nil
		}
	}
	switch {
	case killed:
		s.noteDeath(s.process())
	case !s.ended(time.Until(last.Add(killAfter))):
		s.records.fault("sender %d: did not end within %v of SIGTERM", s.number, killAfter)
	}
	return s.relaunch()
}

// relaunch ends the sender's process, if it has not ended, starts another and waits until
// it is ready.
func (s *sender) relaunch() error {
	s.kill()
	s.records.restarts(s.number)
	time.Sleep(startAfter)
	if err := s.launch(); err != nil {
		return err
	}
	return s.process().Ready()
}

// noteDeath notes that one of the sender's processes has been killed just now, and when
// it is gone.
func (s *sender) noteDeath(of ...*process) {
	s.records.killed(s.number, time.Now())
	gone := func(p *process) bool { return !p.running() }
	for by := time.Now().Add(program.Patience); time.Now().Before(by) && !slices.ContainsFunc(of, gone); {
		time.Sleep(pollEvery)
	}
	s.records.killed(s.number, time.Now())
}

// startBeside starts a second process of the sender, with an event armed.
func (s *sender) startBeside(x crossing) (*process, error) {
	s.controls.Arm(x.point, x.event, 0)
	return s.start()
}

const (
	takeOverTime = 6 * time.Second        // for a process that is started beside another to serve
	drainTime    = 100 * time.Millisecond // for a process that has handed over to leave its listener
	goOnTime     = 3 * time.Second        // for the one before it to say that it serves on
)

// serveAfterUpgrade sees to it that one process serves after a second one was started,
// whatever has come to either: the second if it can, or the first if it goes on, or
// another.
func (s *sender) serveAfterUpgrade(from time.Time, next *process) error {
	before := s.process()
	defer func() { s.records.outage(s.number, from, time.Now()) }()
	if s.readyWithin(next, takeOverTime) {
		if before.running() {
			before.Signal(syscall.SIGTERM)
			if !before.endsWithin(killAfter) {
				s.records.fault("sender %d: the process before did not end within %v of SIGTERM", s.number, killAfter)
			}
		}
		before.kill()
		s.serveBy(next)
		if next.running() && s.pong(goOnTime) {
			return nil
		}
		return s.startAnew(next)
	}
	if next.running() {
		s.records.fault("sender %d: a process beside another is not ready after %v", s.number, takeOverTime)
	}
	next.kill()
	time.Sleep(drainTime)
	if before.running() && s.pong(goOnTime) {
		return nil
	}
	return s.startAnew(before)
}

// startAnew ends the sender's process, if it has not ended, and starts another.
func (s *sender) startAnew(last *process) error {
	last.Signal(syscall.SIGTERM)
	last.endsWithin(killAfter)
	return s.relaunch()
}

// readyWithin says whether a process is ready within a time, and has not ended.
func (s *sender) readyWithin(p *process, within time.Duration) bool {
	ready := make(chan bool, 1)
	go func() { ready <- p.Ready() == nil }()
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case ok := <-ready:
		return ok && p.running()
	case <-late.C:
		return false
	}
}

// pong says whether the sender answers a PING with yes within a time.
func (s *sender) pong(within time.Duration) bool {
	for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(pollPong) {
		conn, err := net.DialTimeout("tcp", s.addr, pollPong)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(pollPong))
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if line == "+PONG\r\n" {
			return true
		}
	}
	return false
}
