package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/replicate"
	"cometrack/internal/view"
)

// Limits and timeouts.
const (
	inboxSize          = 1024                  // received messages queued for the loop; more are dropped
	receiveBufferBytes = 4 << 20               // receive buffer of the UDP socket
	maxProbes          = 64                    // probes in flight
	probeTimeout       = time.Second           // to connect, and again for the exchange
	dropLogInterval    = 10 * time.Second      // minimum time between log lines about dropped packets
	commandTimeout     = time.Second           // for the loop to accept a command
	bindTimeout        = 20 * time.Second      // a previous process of this sender may still hold the address
	bindRetryInterval  = 20 * time.Millisecond // between attempts to bind the address
	maxLogLines        = 20                    // log lines per second about the view; more are counted
)

// Options configure how a sender communicates with its peers.
type Options struct {
	Name, Zone, Version string
	Listen              string        // address for UDP datagrams and TCP streams
	Advertise           string        // address at which peers reach this sender; empty for Listen
	Join                []string      // addresses of peers to contact at the start
	KeyFile             string        // see ReadKeys; empty to use no key
	MaxSenders          int           // including this one
	MinShareTotal       float64       // fraction of each rate that is divided evenly into minimum shares
	Lease, Interval     time.Duration // validity of a share; time between ticks
	MaxClockDrift       float64       // clocks of senders run at 1-MaxClockDrift to 1+MaxClockDrift of the true rate
	Dir                 string        // folder for the state that survives a restart
	GuardArgs           []string      // arguments with which this program runs as the guard; empty for no guard
	ShareFacts          bool          // replicate facts about partners
	Log                 *slog.Logger
	Hooks               *Hooks // replaces clock and sockets in tests; nil for those of the kernel
}

// Cluster is one sender in a cluster. Its loop owns the state machines; other goroutines reach them
// by channels.
type Cluster struct {
	opts         Options
	log          *slog.Logger
	keyring      *keyring
	currentShare atomic.Pointer[view.Share]
	changed      chan struct{} // holds one value after the share changed
	commands     chan func()
	viewMessages chan *view.Message
	probeSlots   chan struct{}
	pendingSave  chan savedState // newest state to write; capacity 1, filled only by the loop
	replication  *replication
	minShareFrom atomic.Int64 // while the replica of the facts catches up: when the minimum share applies; 0 otherwise
	lastStep     atomic.Int64 // time of the last step of the loop
	cancel       context.CancelFunc
	done         chan struct{}
	liveness     *livenessPage

	mu            sync.Mutex     // guards the fields below
	dropped       map[string]int // dropped packets by reason
	dropsLoggedAt time.Time

	// The fields below belong to the loop.
	machine         *view.Machine
	udp             DatagramConn
	saved           savedState
	logLines        int // lines logged within logSecond
	logSecond       int64
	suppressedLines int
	usingMinShare   bool // the minimum share applies because the replica of the facts catches up
}

// Open starts the cluster connection of a sender. The sender's share is 0 until it has joined.
func Open(opts Options) (*Cluster, error) {
	if opts.Advertise == "" {
		opts.Advertise = opts.Listen
	}
	c := &Cluster{opts: opts, log: opts.Log, changed: make(chan struct{}, 1), commands: make(chan func()),
		viewMessages: make(chan *view.Message, inboxSize), probeSlots: make(chan struct{}, maxProbes),
		pendingSave: make(chan savedState, 1), done: make(chan struct{}), dropped: map[string]int{},
		replication: newReplication()}
	var err error
	if c.keyring, err = newKeyring(opts.KeyFile, opts.Log); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	saved, err := readSavedState(opts.Dir)
	if err != nil {
		c.log.Error("cluster: the saved state can't be read; this sender joins as a new member", "err", err)
	}
	saved.Incarnation++
	if err := saved.write(opts.Dir); err != nil { // an incarnation must not be used twice
		return nil, fmt.Errorf("cluster: %w", err)
	}
	c.saved = saved
	if c.liveness, err = openLivenessPage(opts.Dir); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	c.currentShare.Store(&view.Share{})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return c, nil
}

// Close stops the loop at once without notifying the peers, and waits for its end.
func (c *Cluster) Close() {
	c.cancel()
	<-c.done
}

// AllowedShare returns the part of each rate that may be used now. While the replica of the facts
// catches up it is 0 for a short time, and then the minimum share. After a pause of the process it
// is 0 at once, before the loop has noticed the pause.
func (c *Cluster) AllowedShare() float64 {
	t := c.opts.now()
	if c.opts.ShareFacts && t-time.Duration(c.lastStep.Load()) > replicate.MaxMissedTicks*c.opts.Interval {
		return 0
	}
	if minShareFrom := time.Duration(c.minShareFrom.Load()); minShareFrom > 0 && t < minShareFrom {
		return 0
	}
	return c.shareAt(t)
}

// PlanningShare returns the share for planning rates. Unlike [Cluster.AllowedShare] it ignores the
// short times in which nothing may be used.
func (c *Cluster) PlanningShare() float64 { return c.shareAt(c.opts.now()) }

// shareAt returns the share at a time, limited to the minimum share if catching up takes too long.
func (c *Cluster) shareAt(t time.Duration) float64 {
	share := c.currentShare.Load()
	if minShareFrom := time.Duration(c.minShareFrom.Load()); minShareFrom > 0 && t >= minShareFrom {
		return min(share.At(t), share.Min)
	}
	return share.At(t)
}

// notifyChanged signals that the allowed share may have changed.
func (c *Cluster) notifyChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value when the result of [Cluster.AllowedShare] may have
// changed.
func (c *Cluster) Changed() <-chan struct{} { return c.changed }

// Errors of commands that the loop did not execute.
var (
	errClosed = errors.New("cluster: closed, or it has no socket")
	errBusy   = errors.New("cluster: the address is not free yet")
)

// runInLoop calls f in the loop and waits until it returns.
func (c *Cluster) runInLoop(f func()) error {
	finished := make(chan struct{})
	timeout := time.NewTimer(commandTimeout)
	defer timeout.Stop()
	select {
	case c.commands <- func() { f(); close(finished) }:
		<-finished
		return nil
	case <-c.done:
		return errClosed
	case <-timeout.C:
		return errBusy
	}
}

// Status returns the current view, and the state of replication if facts are shared.
func (c *Cluster) Status() (s Status, err error) {
	err = c.runInLoop(func() {
		s.Status = c.machine.Status(c.opts.now())
		if m := c.replication.machine; m != nil {
			s.Replication = &ReplicationStatus{Status: m.Status(c.opts.now())}
		}
	})
	if s.Replication != nil {
		c.replication.mu.Lock()
		s.Replication.Overflows = c.replication.overflows
		c.replication.mu.Unlock()
	}
	return s, err
}

// Leave gives up all but the minimum share for good and notifies the peers.
func (c *Cluster) Leave() error {
	return c.runInLoop(func() { c.apply(c.machine.Leave(c.opts.now())) })
}

// Forget marks a sender that does not run as ended, so that its share can be reused.
func (c *Cluster) Forget(name string) error {
	var err error
	if loopErr := c.runInLoop(func() {
		var actions view.Actions
		actions, err = c.machine.Forget(c.opts.now(), name)
		c.apply(actions)
	}); loopErr != nil {
		return loopErr
	}
	return err
}

// bind opens the sockets. It retries, because during an upgrade the previous process of this sender
// may still hold the address.
func (c *Cluster) bind(ctx context.Context) (udp *net.UDPConn, ln *net.TCPListener, err error) {
	for deadline := time.Now().Add(bindTimeout); ; {
		udpAddr, err := net.ResolveUDPAddr("udp", c.opts.Listen)
		if err != nil {
			return nil, nil, err
		}
		var tcpAddr *net.TCPAddr
		if tcpAddr, err = net.ResolveTCPAddr("tcp", c.opts.Listen); err == nil {
			ln, err = net.ListenTCP("tcp", tcpAddr)
		}
		if err == nil {
			if udp, err = net.ListenUDP("udp", udpAddr); err == nil {
				udp.SetReadBuffer(receiveBufferBytes)
				return udp, ln, nil
			}
			ln.Close()
		}
		if time.Now().After(deadline) {
			return nil, nil, err
		}
		retry := time.NewTimer(bindRetryInterval)
		select {
		case <-ctx.Done():
			retry.Stop()
			return nil, nil, ctx.Err()
		case <-retry.C:
		}
	}
}

// run binds the sockets and executes the loop until ctx is done.
func (c *Cluster) run(ctx context.Context) {
	defer close(c.done)
	defer c.liveness.close()
	udp, ln, err := c.bind(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Error("cluster: can't bind the address; this sender sends nothing", "err", err)
		}
		return
	}
	c.udp = c.opts.datagrams(udp)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer c.udp.Close()
	c.machine = c.newMachine()
	c.replication.start(c.opts)
	probes := newProbeServer(c, ln)
	defer probes.close()
	workers.Go(func() { c.readDatagrams(c.udp) })
	workers.Go(func() { probes.run(ctx) })
	workers.Go(func() { c.runSaver(ctx) })
	c.log.Info("cluster", "at", c.opts.Listen, "advertise", c.opts.Advertise,
		"incarnation", c.saved.Incarnation, "known", len(c.saved.Senders))
	c.apply(c.machine.Tick(c.opts.now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			command()
		case m := <-c.viewMessages:
			c.apply(c.machine.HandleMessage(c.opts.now(), m))
		case m := <-c.replication.messages:
			c.applyReplication(c.replication.machine.Receive(c.opts.now(), m))
		case f := <-c.replication.localFacts:
			c.publish(f)
		case <-timer.C:
			if t := c.opts.now(); t >= c.machine.NextTick() || c.replication.machine == nil || t >= c.currentShare.Load().Until {
				c.apply(c.machine.Tick(t))
			}
		}
		next := c.machine.NextTick()
		// The peers are informed by the next tick, but the share itself ends when it expires.
		if share := c.currentShare.Load(); share.Until > c.opts.now() {
			next = min(next, share.Until)
		}
		if m := c.replication.machine; m != nil {
			if c.opts.now() >= m.NextTick() {
				c.applyReplication(m.Tick(c.opts.now()))
			}
			next = min(next, m.NextTick())
			if minShareFrom := time.Duration(c.minShareFrom.Load()); minShareFrom > c.opts.now() {
				next = min(next, minShareFrom)
			} else if minShareFrom > 0 && !c.usingMinShare {
				c.notifyChanged()
			}
			c.usingMinShare = c.minShareFrom.Load() > 0 && time.Duration(c.minShareFrom.Load()) <= c.opts.now()
		}
		timer.Reset(max(next-c.opts.now(), 0))
	}
}

// newMachine returns a view machine for a new incarnation of this sender.
func (c *Cluster) newMachine() *view.Machine {
	o := c.opts
	return view.New(view.Config{Name: o.Name, Addr: o.Advertise, Zone: o.Zone, Version: o.Version,
		ID: rand.Uint64() | 1, Incarnation: c.saved.Incarnation,
		MaxSenders: o.MaxSenders, MinShareTotal: o.MinShareTotal, Lease: o.Lease, Interval: o.Interval,
		MaxClockDrift: o.MaxClockDrift, Join: o.Join, KnownPeers: c.saved.Senders,
		AdmittedAddr: c.saved.AdmittedAddr, Seed: rand.Uint64()}, c.opts.now())
}

// apply executes the actions of a step of the view, in their order.
func (c *Cluster) apply(actions view.Actions) {
	old := c.currentShare.Swap(&actions.Share)
	id, lastStep := c.machine.Liveness()
	c.liveness.set(id, lastStep)
	c.lastStep.Store(int64(lastStep))
	if t := c.opts.now(); old.At(t) != actions.Share.At(t) || old.Current != actions.Share.Current {
		c.notifyChanged()
	}
	if actions.Save {
		state := savedState{}
		state.Incarnation, state.AdmittedAddr, state.Senders = c.machine.SavedState()
		select { // the newest state replaces one that is still queued
		case <-c.pendingSave:
		default:
		}
		c.pendingSave <- state
	}
	for _, e := range actions.Events {
		c.logEvent(e)
	}
	currentKeys := c.keyring.current()
	for _, outgoing := range actions.Send {
		to, err := net.ResolveUDPAddr("udp", outgoing.To) // the configuration check has verified the address
		if err != nil {
			continue
		}
		packet, err := currentKeys.packView(outgoing.Message)
		if err != nil {
			c.log.Error("cluster: a message can't be sent", "err", err)
			continue
		}
		c.udp.WriteToUDP(packet, to) // a lost datagram is repeated with the next tick
	}
	for _, p := range actions.Probe {
		c.startProbe(p)
	}
	if len(actions.Send) > 0 || actions.Save { // after a tick, or a change of a member
		c.updatePeers()
	}
}

// runSaver writes the state that survives a restart. It runs beside the loop, because a slow disk
// sync must not look like a pause of the process. If a write is lost with the process, the next one
// starts with an old incarnation or as a new member, and the peers correct it.
func (c *Cluster) runSaver(ctx context.Context) {
	write := func(state savedState) {
		if err := state.write(c.opts.Dir); err != nil {
			c.log.Error("cluster: the state can't be saved", "err", err)
		}
	}
	for {
		select {
		case state := <-c.pendingSave:
			write(state)
		case <-ctx.Done():
			select {
			case state := <-c.pendingSave:
				write(state)
			default:
			}
			return
		}
	}
}

// logEvent logs a change of the view, up to maxLogLines a second.
func (c *Cluster) logEvent(e view.Event) {
	if second := time.Now().Unix(); second != c.logSecond {
		if c.suppressedLines > 0 {
			c.log.Info("cluster: log lines about changes left out", "left_out", c.suppressedLines)
		}
		c.logSecond, c.logLines, c.suppressedLines = second, 0, 0
	}
	if c.logLines++; c.logLines > maxLogLines {
		c.suppressedLines++
		return
	}
	if e.From != e.To {
		c.log.Info("cluster", "sender", e.Name, "was", e.From.String(), "is", e.To.String(), "why", e.Text)
		return
	}
	c.log.Info("cluster", "sender", e.Name, "what", e.Text)
}
