package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/standin/faultbuild"
)

const (
	destinations   = 4
	endpointsEach  = 2
	longestMessage = 5 * time.Second
	// quiet is how long traffic goes on once faults are over.
	quiet = time.Second
)

// fleet is all that a run consists of.
type fleet struct {
	records   *Records
	platform  *platform
	endpoints []*endpoint
	senders   []*sender
	seed      uint64
	pushed    bool
	clocks    bool // wall clocks are stepped at restarts

	busy sync.WaitGroup // restarts under way
	mu   sync.Mutex
	up   map[string]string // lifecycle by endpoint
	err  error
}

// Result is what came of a run.
type Result struct {
	Verdict
	Script      []string
	Faults      faultbuild.Counts
	MaxDelay    time.Duration
	ManyClients bool
	// Crossings are the events at points of the program, in a run that has them.
	Crossings *Crossings
}

// Run plays one run.
func Run(o Options) (out Result, err error) {
	f := &fleet{records: newRecords(), up: map[string]string{}, clocks: len(o.Faults) == 0 || slices.Contains(o.Faults, "clock")}
	if o.Senders > mostSenders {
		return out, fmt.Errorf("%d senders; %d at most", o.Senders, mostSenders)
	}
	f.seed, f.platform = o.Seed, newPlatform(f.records, o.Seed)
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	f.pushed, out.ManyClients = rng.IntN(2) == 0, rng.IntN(4) == 0
	f.platform.pushed, f.records.lists.pushed = f.pushed, f.pushed
	askEvery := []time.Duration{400 * time.Millisecond, 10 * time.Second}[rng.IntN(2)]
	for i := range destinations * endpointsEach {
		e, err := newEndpoint(fmt.Sprint("e-", i), i%destinations, f.records, o.Seed+uint64(i))
		if err != nil {
			return out, err
		}
		defer e.close()
		f.endpoints = append(f.endpoints, e)
	}
	f.list(nil, "")
	for i := range o.Senders {
		s, err := f.newSender(o, i, askEvery)
		if err != nil {
			return out, err
		}
		defer s.controls.Close()
		defer s.logs.f.Close()
		defer func() { s.door.server.Close() }()
		f.senders = append(f.senders, s)
	}
	for _, s := range f.senders {
		if err := s.launch(); err != nil {
			return out, err
		}
		defer func() { s.process().Cmd.Process.Kill() }()
	}
	for _, s := range f.senders {
		if err := s.process().Ready(); err != nil {
			return out, err
		}
	}
	start := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var crowd []*clients
	for _, s := range f.senders {
		c := &clients{sender: s.number, addr: s.addr, dests: destinations, crowd: out.ManyClients && s.number%4 == 0, records: f.records}
		c.start(ctx, o.Seed*1000+uint64(s.number))
		crowd = append(crowd, c)
	}
	noise := watchNoise(ctx)
	var crossings sync.WaitGroup
	if o.Crossings {
		out.Crossings = f.playCrossings(o.Seed, &crossings)
	}
	for _, st := range f.play(o, start) {
		out.Script = append(out.Script, fmt.Sprintf("%7.3f %s", st.at.Seconds(), st.text))
	}
	crossings.Wait()
	f.busy.Wait()
	f.calm()
	time.Sleep(quiet)
	stop()
	for _, c := range crowd {
		c.wg.Wait()
	}
	time.Sleep(longestMessage + lostAfter + quiet)
	f.endAll()
	out.MaxDelay = 2 * <-noise
	for _, s := range f.senders {
		list, err := faultbuild.ReadTrace(s.trace)
		if err != nil {
			return out, err
		}
		f.records.traced(s.number, list)
		x := s.controls.Counts()
		out.Faults.Holds += x.Holds
		out.Faults.Accepts += x.Accepts
		out.Faults.Writes += x.Writes
		out.Faults.Syncs += x.Syncs
		out.Faults.Connects += x.Connects
	}
	out.Verdict = f.records.judge(start, repeatWindow, out.MaxDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return out, f.err
}

func (f *fleet) newSender(o Options, i int, askEvery time.Duration) (*sender, error) {
	s := &sender{number: i, addr: address(o.Seed, i, clientPort), askEvery: askEvery, dir: filepath.Join(o.Dir, fmt.Sprint("state-", i)), config: filepath.Join(o.Dir, fmt.Sprintf("config-%d.json", i)),
		binary: o.Binary, platform: f.platform, records: f.records, loseFolder: o.LoseFolder}
	var err error
	if s.door, err = f.platform.open(i, platformAddress(o.Seed, i, 0)); err != nil {
		return nil, err
	}
	if err := os.RemoveAll(s.dir); err != nil { // of an earlier run with this seed
		return nil, err
	}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return nil, err
	}
	if s.logs, err = newLogFile(o.Dir, i); err != nil {
		return nil, err
	}
	if s.controls, err = faultbuild.NewControls(filepath.Join(o.Dir, fmt.Sprint("faults-", i))); err != nil {
		return nil, err
	}
	s.trace = filepath.Join(o.Dir, fmt.Sprint("trace-", i))
	if err := os.RemoveAll(s.trace); err != nil { // as its folder
		return nil, err
	}
	s.controls.SetWallOffset(f.clockStep(rand.New(rand.NewPCG(o.Seed, uint64(100+i))))) // off before the first start too
	return s, s.writeConfig(o.Senders, f.pushed)
}

// play plays the script, and returns it in order.
func (f *fleet) play(o Options, start time.Time) []step {
	steps := f.script(o)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		s.run()
	}
	return steps
}

// calm ends all faults.
func (f *fleet) calm() {
	for _, e := range f.endpoints {
		e.set(well)
	}
	f.platform.suffer(trouble{})
	f.platform.ends.setMute(false)
	for _, s := range f.senders {
		s.controls.FailWrites(0, 0)
		s.controls.FailSyncs(0, 0)
		s.controls.FailAccepts(0, 0)
		s.controls.FailConnects(0, 0)
		s.connectInTime()
		s.controls.HoldBeforeWrites(0)
	}
}

// endAll ends the senders in good order.
func (f *fleet) endAll() {
	var all sync.WaitGroup
	for _, s := range f.senders {
		all.Go(func() {
			s.signal(syscall.SIGTERM)
			if !s.ended(killAfter) {
				f.records.fault("sender %d: did not end within %v of SIGTERM", s.number, killAfter)
			} else if err := s.exitStatus(); err != nil {
				f.records.fault("sender %d: ended with %v", s.number, err)
			}
			p := s.process()
			close(p.stop)
			<-p.done
		})
	}
	all.Wait()
}

// async runs a restart beside all else.
func (f *fleet) async(run func() error) {
	f.busy.Go(func() {
		if err := run(); err != nil {
			f.mu.Lock()
			f.err = cmp.Or(f.err, err)
			f.mu.Unlock()
		}
	})
}

// list sets the lifecycle of an endpoint, or of none, and tells the list anew.
func (f *fleet) list(e *endpoint, lifecycle string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e != nil {
		f.up[e.name] = lifecycle
	}
	l := instanceList{Generation: f.platform.known().Generation + 1, Reset: true}
	for _, x := range f.endpoints {
		if f.up[x.name] == unlisted {
			continue
		}
		l.Instances = append(l.Instances, instance{ID: x.name, HostPort: x.addr(), Zone: "a", Kind: "std", Dest: x.dest,
			Lifecycle: cmp.Or(f.up[x.name], "up"), Weight: 2000})
	}
	f.platform.publish(l)
}

// unlisted is the lifecycle of an endpoint that the list does not name.
const unlisted = "unlisted"

// reload writes the configuration anew and sends SIGHUP, unless the sender is being restarted.
func (f *fleet) reload(s *sender) {
	if !s.life.TryLock() {
		return
	}
	defer s.life.Unlock()
	if err := s.writeConfig(len(f.senders), f.pushed); err == nil {
		s.signal(syscall.SIGHUP)
	}
}

// move has a sender's discovery move: its configuration names another address, and it gets SIGHUP.
func (f *fleet) move(s *sender) error {
	if !s.life.TryLock() {
		return nil
	}
	defer s.life.Unlock()
	if s.late.Load() {
		return nil // no end can be told at a new address before the first connection is up
	}
	before := s.door
	s.moves++
	now := time.Now()
	s.movedAt.Store(&now)
	next, err := f.platform.open(s.number, platformAddress(f.seed, s.number, s.moves))
	if err != nil {
		return err
	}
	s.door = next
	if err := s.writeConfig(len(f.senders), f.pushed); err != nil {
		return err
	}
	f.records.movedDiscovery(s.number, time.Now())
	s.signal(syscall.SIGHUP)
	before.leave()
	return nil
}

// watchNoise measures how long this machine lets a goroutine wait, until ctx is over.
func watchNoise(ctx context.Context) <-chan time.Duration {
	const every = 2 * time.Millisecond
	out := make(chan time.Duration, 1)
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		worst := time.Duration(0)
		for last := time.Now(); ; {
			select {
			case <-ctx.Done():
				out <- worst
				return
			case <-tick.C:
			}
			now := time.Now()
			worst = max(worst, now.Sub(last)-every)
			last = now
		}
	}()
	return out
}

// Summary tells of a run in one line.
func (r *Result) Summary(seed uint64) string {
	return fmt.Sprintf("seed %d: %d messages, %d accepted, %d delivered, %d returned, %d failed, %d refused, %d errors, %d unanswered, %d late; crowd %v; "+
		"%d stalls, %d accepts, %d writes, %d syncs, %d connects failed; noise %v; %d violations", seed, r.Messages, r.Accepted, r.Delivered, r.Returned, r.Failed,
		r.Refused, r.Errors, r.Unanswered, r.Late, r.ManyClients, r.Faults.Holds, r.Faults.Accepts, r.Faults.Writes, r.Faults.Syncs, r.Faults.Connects,
		r.MaxDelay.Round(time.Millisecond), len(r.Violations))
}
