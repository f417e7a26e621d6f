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
	destinationCount        = 4
	endpointsPerDestination = 2
	maxLifetime             = 5 * time.Second // no message has a longer time to its deadline
	// quietPeriod is how long traffic continues after the last fault has ended. The senders run this
	// much longer than the last message may take to count as lost.
	quietPeriod = time.Second
)

// fleet is the state of one run: the senders and the stand-ins for all that they communicate with.
type fleet struct {
	records     *Records
	platform    *platform
	endpoints   []*endpoint // of all destinations; index modulo destinationCount is the destination
	senders     []*sender   // by number
	seed        uint64      // Options.Seed, for choices and addresses during the run
	pushed      bool        // each sender has an agent for its list: membership mode "pushed"
	stepsClocks bool        // wall clocks are wrong from the start, and stepped at restarts and by faults

	restarts   sync.WaitGroup     // restarts and moves of discovery in progress
	mu         sync.Mutex         // guards the fields below
	takenOver  map[*endpoint]bool // endpoints whose addresses are being taken over
	lifecycles map[string]string  // lifecycle that the list gives, by name of the endpoint; up if absent
	err        error              // first error of the harness
}

// Result is the result of a run.
type Result struct {
	Verdict
	// Script has the begins and ends of faults in their order, each with its time in seconds since the
	// start.
	Script []string
	// Faults are the numbers of faults injected into the processes of all senders, by kind.
	Faults faultbuild.Counts
	// Tolerance is twice the longest scheduling delay of the harness; the judge's time limits are extended by it.
	Tolerance time.Duration
	// IdleClients reports whether idle clients used up the descriptors of every fourth sender.
	IdleClients bool
	// Crowd reports whether many clients wrote slowly to every second sender.
	Crowd bool
	// Crossings are the events injected at points of the program; nil unless Options.Crossings is set.
	Crossings *Crossings
}

// Run executes one run and judges it. An error is a fault of the harness, such as a process that can't be
// started; broken invariants are in the result.
func Run(o Options) (out Result, err error) {
	f := &fleet{records: newRecords(), lifecycles: map[string]string{}, takenOver: map[*endpoint]bool{},
		stepsClocks: len(o.Faults) == 0 || slices.Contains(o.Faults, "clock")}
	if o.Senders > maxSenders {
		return out, fmt.Errorf("%d senders; %d at most", o.Senders, maxSenders)
	}
	f.seed, f.platform = o.Seed, newPlatform(f.records, o.Seed)
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	f.pushed, out.IdleClients = rng.IntN(2) == 0, rng.IntN(4) == 0
	out.Crowd = rand.New(rand.NewPCG(o.Seed, 3)).IntN(3) == 0
	f.platform.pushed, f.records.lists.pushed = f.pushed, f.pushed
	listInterval := []time.Duration{400 * time.Millisecond, 10 * time.Second}[rng.IntN(2)]
	for i := range destinationCount * endpointsPerDestination {
		e, err := newEndpoint(fmt.Sprint("e-", i), i%destinationCount, f.records, o.Seed+uint64(i))
		if err != nil {
			return out, err
		}
		defer e.close()
		f.endpoints = append(f.endpoints, e)
	}
	f.setLifecycle(nil, "")
	for i := range o.Senders {
		s, err := f.newSender(o, i, listInterval)
		if err != nil {
			return out, err
		}
		defer s.controls.Close()
		defer s.logs.f.Close()
		defer func() { s.platformServer.server.Close() }()
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
	var clientGroups []*clients
	for _, s := range f.senders {
		c := &clients{sender: s.number, addr: s.addr, destinationCount: destinationCount,
			fillDescriptors: out.IdleClients && s.number%4 == 0, crowd: out.Crowd && s.number%2 == 1, records: f.records}
		c.start(ctx, o.Seed*1000+uint64(s.number))
		clientGroups = append(clientGroups, c)
	}
	schedulingDelay := measureSchedulingDelay(ctx)
	var crossings sync.WaitGroup
	if o.Crossings {
		out.Crossings = f.runCrossings(o.Seed, &crossings)
	}
	for _, s := range f.runScript(o, start) {
		out.Script = append(out.Script, fmt.Sprintf("%7.3f %s", s.at.Seconds(), s.text))
	}
	crossings.Wait()
	f.restarts.Wait()
	f.endFaults()
	time.Sleep(quietPeriod)
	stop()
	for _, c := range clientGroups {
		c.wg.Wait()
	}
	time.Sleep(maxLifetime + lostAfter + quietPeriod)
	f.stopAll()
	out.Tolerance = 2 * <-schedulingDelay
	for _, s := range f.senders {
		list, err := faultbuild.ReadTrace(s.tracePath)
		if err != nil {
			return out, err
		}
		f.records.setTrace(s.number, list)
		x := s.controls.Counts()
		out.Faults.Holds += x.Holds
		out.Faults.Accepts += x.Accepts
		out.Faults.Writes += x.Writes
		out.Faults.Syncs += x.Syncs
		out.Faults.Connects += x.Connects
	}
	out.Verdict = f.records.judge(start, repeatWindow, out.Tolerance)
	f.mu.Lock()
	defer f.mu.Unlock()
	return out, f.err
}

// newSender returns sender i of the run, with its files, fault controls and platform server prepared and
// without a process. listInterval is its ask_every_s of the settings.
func (f *fleet) newSender(o Options, i int, listInterval time.Duration) (*sender, error) {
	s := &sender{number: i, addr: address(o.Seed, i, clientPort), listInterval: listInterval,
		dir:        filepath.Join(o.Dir, fmt.Sprint("state-", i)),
		configPath: filepath.Join(o.Dir, fmt.Sprintf("config-%d.json", i)),
		binary:     o.Binary, platform: f.platform, records: f.records, loseFolder: o.LoseFolder,
		terms: initialTerms()}
	f.records.addTerms(i, termsChange{terms: s.terms})
	var err error
	if s.platformServer, err = f.platform.listen(i, platformAddress(o.Seed, i, 0)); err != nil {
		return nil, err
	}
	s.platformConnections.Store(s.platformServer.connections)
	if err := os.RemoveAll(s.dir); err != nil { // left by an earlier run with this seed
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
	s.tracePath = filepath.Join(o.Dir, fmt.Sprint("trace-", i))
	if err := os.RemoveAll(s.tracePath); err != nil { // left by an earlier run with this seed
		return nil, err
	}
	// The clock is off before the first start too.
	s.controls.SetWallOffset(f.drawClockOffset(rand.New(rand.NewPCG(o.Seed, uint64(100+i)))))
	return s, s.writeConfig(o.Senders, f.pushed)
}

// runScript draws the script of the run, executes its steps at their times since start and returns them in
// that order.
func (f *fleet) runScript(o Options, start time.Time) []step {
	steps := f.script(o)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.at)))
		s.run()
	}
	return steps
}

// endFaults ends all faults that last, except offsets of wall clocks and changes of the list.
func (f *fleet) endFaults() {
	for _, e := range f.endpoints {
		e.set(healthy)
	}
	f.platform.setFault(discoveryFault{})
	f.platform.notices.setUnanswered(false)
	for _, s := range f.senders {
		s.controls.FailWrites(0, 0)
		s.controls.FailSyncs(0, 0)
		s.controls.FailAccepts(0, 0)
		s.controls.FailConnects(0, 0)
		s.endConnectDelays()
		s.controls.HoldBeforeWrites(0)
	}
}

// stopAll sends SIGTERM to all senders and records a violation for each that does not exit within
// killDelay, or exits with an error.
func (f *fleet) stopAll() {
	var all sync.WaitGroup
	for _, s := range f.senders {
		all.Go(func() {
			s.signal(syscall.SIGTERM)
			if !s.endsWithin(killDelay) {
				f.records.addFault("sender %d: did not end within %v of SIGTERM", s.number, killDelay)
			} else if err := s.exitStatus(); err != nil {
				f.records.addFault("sender %d: ended with %v", s.number, err)
			}
			s.process().stopGoroutines()
		})
	}
	all.Wait()
}

// goRestart runs a restart, or a move of discovery, in the background and keeps the first error for the
// result of Run.
func (f *fleet) goRestart(run func() error) {
	f.restarts.Go(func() {
		if err := run(); err != nil {
			f.mu.Lock()
			f.err = cmp.Or(f.err, err)
			f.mu.Unlock()
		}
	})
}

// setLifecycle sets the lifecycle of an endpoint, unless e is nil or its address is being taken over, and publishes the
// next generation of the list. The lifecycle is one of the list, such as "up" or "draining", or unlisted.
func (f *fleet) setLifecycle(e *endpoint, lifecycle string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e != nil && (!f.takenOver[e] || lifecycle == unlisted) {
		f.lifecycles[e.identity()] = lifecycle
	}
	l := instanceList{Generation: f.platform.currentList().Generation + 1, Reset: true}
	for _, x := range f.endpoints {
		name := x.identity()
		if f.lifecycles[name] == unlisted {
			continue
		}
		l.Instances = append(l.Instances, instance{ID: name, HostPort: x.addr(), Zone: "a", Kind: "std", Dest: x.destination(),
			Lifecycle: cmp.Or(f.lifecycles[name], "up"), Weight: 2000})
	}
	f.platform.publish(l)
}

// unlisted is the lifecycle, in a fleet only, of an endpoint that is left out of the list.
const unlisted = "unlisted"

// reload rewrites the sender's configuration with the current list and sends SIGHUP. It does nothing while
// the sender is being restarted.
func (f *fleet) reload(s *sender) {
	if !s.restartMu.TryLock() {
		return
	}
	defer s.restartMu.Unlock()
	if err := s.writeConfig(len(f.senders), f.pushed); err == nil {
		s.signal(syscall.SIGHUP)
	}
}

// moveDiscovery moves a sender's discovery to another address: the configuration is rewritten with it and
// the sender gets SIGHUP. It does nothing while the sender is being restarted or its connects to the
// platform are delayed. An error is a fault of the harness.
func (f *fleet) moveDiscovery(s *sender) error {
	if !s.restartMu.TryLock() {
		return nil
	}
	defer s.restartMu.Unlock()
	if s.connectsDelayed.Load() {
		return nil // notices can't reach the new address before its first connection is established
	}
	previous := s.platformServer
	s.discoveryMoves++
	now := time.Now()
	s.discoveryMovedAt.Store(&now)
	next, err := f.platform.listen(s.number, platformAddress(f.seed, s.number, s.discoveryMoves))
	if err != nil {
		return err
	}
	s.platformServer = next
	s.platformConnections.Store(next.connections)
	if err := s.writeConfig(len(f.senders), f.pushed); err != nil {
		return err
	}
	f.records.discoveryMoved(s.number, time.Now())
	s.signal(syscall.SIGHUP)
	previous.retire()
	return nil
}

// measureSchedulingDelay measures, in the background, by how much this machine delays a goroutine that is
// ready to run. The channel receives the longest delay, once, when ctx is done.
func measureSchedulingDelay(ctx context.Context) <-chan time.Duration {
	const interval = 2 * time.Millisecond
	out := make(chan time.Duration, 1)
	go func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		longest := time.Duration(0)
		for last := time.Now(); ; {
			select {
			case <-ctx.Done():
				out <- longest
				return
			case <-tick.C:
			}
			now := time.Now()
			longest = max(longest, now.Sub(last)-interval)
			last = now
		}
	}()
	return out
}

// Summary describes the result of the run with a seed in one line.
func (r *Result) Summary(seed uint64) string {
	return fmt.Sprintf("seed %d: %d messages, %d accepted, %d delivered, %d returned, %d failed, %d refused, %d errors, %d unanswered, %d late; idle clients %v, crowd %v; "+
		"%d holds, %d accepts, %d writes, %d syncs, %d connects failed; noise %v; "+
		"at most %d sockets and %d MB; %d violations",
		seed, r.Messages, r.Accepted, r.Delivered, r.Returned, r.Failed, r.Refused, r.Errors, r.Unanswered, r.Late,
		r.IdleClients, r.Crowd, r.Faults.Holds, r.Faults.Accepts, r.Faults.Writes, r.Faults.Syncs, r.Faults.Connects,
		r.Tolerance.Round(time.Millisecond), r.MostSockets, r.MostMemory/bytesPerMB, len(r.Violations))
}
