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

// Bounds.
const (
	inbox     = 1024             // messages that wait for the loop; those above are dropped
	readRoom  = 4 << 20          // bytes that the kernel may keep of datagrams
	mostAsks  = 64               // probes under way
	askTime   = time.Second      // for a probe
	logEvery  = 10 * time.Second // between two lines about packets that were dropped
	cmdTime   = time.Second      // for the loop to take a command
	bindTime  = 20 * time.Second // another process of this sender may still have the address
	bindAgain = 20 * time.Millisecond
	mostLines = 20 // lines about the view within a second; those above are counted
)

// Options say how a sender meets the others.
type Options struct {
	Name, Zone, Version string
	Listen              string   // address of datagrams and streams
	Advertise           string   // where others reach it; empty for Listen
	Join                []string // addresses of others
	KeyFile             string   // empty for none
	MaxSenders          int      // the most senders there may be, this one counted
	MinShareTotal       float64  // share of each rate that is kept for those who are cut off
	Lease, Interval     time.Duration
	MaxClockDrift       float64
	Dir                 string // folder for what outlives a restart
	GuardArgs           []string
	ShareFacts          bool // what is learnt of partners is shared
	Log                 *slog.Logger
	Hooks               *Hooks // nil for the kernel's clock and sockets
}

// Cluster is one sender among others.
type Cluster struct {
	opts   Options
	log    *slog.Logger
	ring   *keyring
	part   atomic.Pointer[view.Share]
	change chan struct{} // has one entry after the part has changed
	cmds   chan func()
	in     chan *view.Message
	asks   chan struct{}
	saves  chan kept // has room for one; the loop alone fills it
	lore   *knowledge
	behind atomic.Int64 // the copy of the facts is, and from that time on the least part may be used; 0 if it is not
	ran    atomic.Int64 // when the loop last made a step
	stop   context.CancelFunc
	done   chan struct{}
	stamp  *stamp

	mu      sync.Mutex     // of what follows
	dropped map[string]int // packets, by reason
	saidAt  time.Time

	// What follows belongs to the loop.
	machine *view.Machine
	udp     DatagramConn
	home    kept
	said    int // lines within the second
	second  int64
	hushed  int
	lean    bool // the least part is used because the copy of the facts is behind
}

// Open begins to meet the others. Until it has, the sender's part is 0.
func Open(opts Options) (*Cluster, error) {
	if opts.Advertise == "" {
		opts.Advertise = opts.Listen
	}
	c := &Cluster{opts: opts, log: opts.Log, change: make(chan struct{}, 1), cmds: make(chan func()),
		in: make(chan *view.Message, inbox), asks: make(chan struct{}, mostAsks), saves: make(chan kept, 1), done: make(chan struct{}), dropped: map[string]int{}, lore: newKnowledge()}
	var err error
	if c.ring, err = newKeyring(opts.KeyFile, opts.Log); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	k, err := readKept(opts.Dir)
	if err != nil {
		c.log.Error("cluster: what was kept can't be read; this sender joins as a stranger", "err", err)
	}
	k.Incarnation++
	if err := k.write(opts.Dir); err != nil { // it must not be used twice
		return nil, fmt.Errorf("cluster: %w", err)
	}
	c.home = k
	if c.stamp, err = newStamp(opts.Dir); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	c.part.Store(&view.Share{})
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.run(ctx)
	return c, nil
}

// Close ends it at once; the others are told nothing.
func (c *Cluster) Close() {
	c.stop()
	<-c.done
}

// AllowedShare is which part of each rate may be used now: nothing for a moment while the
// copy of the facts is behind, and then the least until it has caught up. After a pause
// that is so at once, before the loop has seen that there was one.
func (c *Cluster) AllowedShare() float64 {
	t := c.opts.now()
	if c.opts.ShareFacts && t-time.Duration(c.ran.Load()) > replicate.MaxMissedTicks*c.opts.Interval {
		return 0
	}
	if least := time.Duration(c.behind.Load()); least > 0 && t < least {
		return 0
	}
	return c.share(t)
}

// PlanningShare is the part that rates are to be planned with: that of [Cluster.AllowedShare], but
// for moments.
func (c *Cluster) PlanningShare() float64 { return c.share(c.opts.now()) }

func (c *Cluster) share(t time.Duration) float64 {
	p := c.part.Load()
	if least := time.Duration(c.behind.Load()); least > 0 && t >= least {
		return min(p.At(t), p.Min)
	}
	return p.At(t)
}

// notify says that what may be used may have changed.
func (c *Cluster) notify() {
	select {
	case c.change <- struct{}{}:
	default:
	}
}

// Changed has an entry when what [Cluster.AllowedShare] says may have changed.
func (c *Cluster) Changed() <-chan struct{} { return c.change }

// Why the loop can't be asked.
var (
	errClosed = errors.New("cluster: closed, or it has no socket")
	errBusy   = errors.New("cluster: the address is not free yet")
)

// within has the loop call f.
func (c *Cluster) within(f func()) error {
	ran := make(chan struct{})
	late := time.NewTimer(cmdTime)
	defer late.Stop()
	select {
	case c.cmds <- func() { f(); close(ran) }:
		<-ran
		return nil
	case <-c.done:
		return errClosed
	case <-late.C:
		return errBusy
	}
}

// Status is the view as it is now.
func (c *Cluster) Status() (s Status, err error) {
	err = c.within(func() {
		s.Status = c.machine.Status(c.opts.now())
		if m := c.lore.machine; m != nil {
			s.Replication = &ReplicationStatus{Status: m.Status(c.opts.now())}
		}
	})
	if s.Replication != nil {
		c.lore.mu.Lock()
		s.Replication.Overflows = c.lore.lost
		c.lore.mu.Unlock()
	}
	return s, err
}

// Leave gives up all but the least part for good, and tells the others.
func (c *Cluster) Leave() error {
	return c.within(func() { c.follow(c.machine.Leave(c.opts.now())) })
}

// Forget takes a sender for ended that does not run.
func (c *Cluster) Forget(name string) error {
	var err error
	if e := c.within(func() {
		var r view.Actions
		r, err = c.machine.Forget(c.opts.now(), name)
		c.follow(r)
	}); e != nil {
		return e
	}
	return err
}

// bind opens the sockets. Another process of this sender may have them still, at an
// upgrade.
func (c *Cluster) bind(ctx context.Context) (udp *net.UDPConn, ln *net.TCPListener, err error) {
	for stop := time.Now().Add(bindTime); ; {
		at, err := net.ResolveUDPAddr("udp", c.opts.Listen)
		if err != nil {
			return nil, nil, err
		}
		var tcp *net.TCPAddr
		if tcp, err = net.ResolveTCPAddr("tcp", c.opts.Listen); err == nil {
			ln, err = net.ListenTCP("tcp", tcp)
		}
		if err == nil {
			if udp, err = net.ListenUDP("udp", at); err == nil {
				udp.SetReadBuffer(readRoom)
				return udp, ln, nil
			}
			ln.Close()
		}
		if time.Now().After(stop) {
			return nil, nil, err
		}
		again := time.NewTimer(bindAgain)
		select {
		case <-ctx.Done():
			again.Stop()
			return nil, nil, ctx.Err()
		case <-again.C:
		}
	}
}

// run is the loop.
func (c *Cluster) run(ctx context.Context) {
	defer close(c.done)
	defer c.stamp.close()
	udp, ln, err := c.bind(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Error("cluster: no socket; this sender sends nothing", "err", err)
		}
		return
	}
	c.udp = c.opts.datagrams(udp)
	var helpers sync.WaitGroup
	defer helpers.Wait()
	defer c.udp.Close()
	c.machine = c.newMachine()
	c.lore.open(c.opts)
	guard := newDoor(c, ln)
	defer guard.close()
	helpers.Go(func() { c.read(c.udp) })
	helpers.Go(func() { guard.run(ctx) })
	helpers.Go(func() { c.save(ctx) })
	c.log.Info("cluster", "at", c.opts.Listen, "advertise", c.opts.Advertise, "incarnation", c.home.Incarnation, "known", len(c.home.Senders))
	c.follow(c.machine.Tick(c.opts.now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.cmds:
			f()
		case m := <-c.in:
			c.follow(c.machine.HandleMessage(c.opts.now(), m))
		case m := <-c.lore.in:
			c.spread(c.lore.machine.Receive(c.opts.now(), m))
		case f := <-c.lore.tells:
			c.learn(f)
		case <-timer.C:
			if t := c.opts.now(); t >= c.machine.NextTick() || c.lore.machine == nil || t >= c.part.Load().Until {
				c.follow(c.machine.Tick(t))
			}
		}
		next := c.machine.NextTick()
		if p := c.part.Load(); p.Until > c.opts.now() { // what the others hear of it comes with a tick; the part ends when it ends
			next = min(next, p.Until)
		}
		if m := c.lore.machine; m != nil {
			if c.opts.now() >= m.NextTick() {
				c.spread(m.Tick(c.opts.now()))
			}
			next = min(next, m.NextTick())
			if least := time.Duration(c.behind.Load()); least > c.opts.now() {
				next = min(next, least)
			} else if least > 0 && !c.lean {
				c.notify()
			}
			c.lean = c.behind.Load() > 0 && time.Duration(c.behind.Load()) <= c.opts.now()
		}
		timer.Reset(max(next-c.opts.now(), 0))
	}
}

func (c *Cluster) newMachine() *view.Machine {
	o := c.opts
	return view.New(view.Config{Name: o.Name, Addr: o.Advertise, Zone: o.Zone, Version: o.Version, ID: rand.Uint64() | 1, Incarnation: c.home.Incarnation,
		MaxSenders: o.MaxSenders, MinShareTotal: o.MinShareTotal, Lease: o.Lease, Interval: o.Interval, MaxClockDrift: o.MaxClockDrift, Join: o.Join, KnownPeers: c.home.Senders, AdmittedAddr: c.home.Home,
		Seed: rand.Uint64()}, c.opts.now())
}

// follow does what a step asks for, in its order.
func (c *Cluster) follow(r view.Actions) {
	old := c.part.Swap(&r.Share)
	id, ran := c.machine.Liveness()
	c.stamp.set(id, ran)
	c.ran.Store(int64(ran))
	if t := c.opts.now(); old.At(t) != r.Share.At(t) || old.Current != r.Share.Current {
		c.notify()
	}
	if r.Save {
		k := kept{}
		k.Incarnation, k.Home, k.Senders = c.machine.SavedState()
		select { // the latest takes the place of one that waits
		case <-c.saves:
		default:
		}
		c.saves <- k
	}
	for _, e := range r.Events {
		c.say(e)
	}
	ring := c.ring.get()
	for _, out := range r.Send {
		to, err := net.ResolveUDPAddr("udp", out.To) // an address, by the check of the file
		if err != nil {
			continue
		}
		b, err := ring.pack(out.Message)
		if err != nil {
			c.log.Error("cluster: a message can't be sent", "err", err)
			continue
		}
		c.udp.WriteToUDP(b, to) // what gets lost comes again with the next tick
	}
	for _, p := range r.Probe {
		c.probe(p)
	}
	if len(r.Send) > 0 || r.Save { // a tick, or another life
		c.meetPeers()
	}
}

// save writes what is to outlive a restart, beside the loop: a disk that takes long
// to sync must not look like a pause. What is lost with the process makes the next
// life an older one or a stranger, and the others tell it so.
func (c *Cluster) save(ctx context.Context) {
	write := func(k kept) {
		if err := k.write(c.opts.Dir); err != nil {
			c.log.Error("cluster: what is to outlive a restart can't be written", "err", err)
		}
	}
	for {
		select {
		case k := <-c.saves:
			write(k)
		case <-ctx.Done():
			select {
			case k := <-c.saves:
				write(k)
			default:
			}
			return
		}
	}
}

// say writes a line for a change of the view.
func (c *Cluster) say(e view.Event) {
	if s := time.Now().Unix(); s != c.second {
		if c.hushed > 0 {
			c.log.Info("cluster: more changes than lines", "left_out", c.hushed)
		}
		c.second, c.said, c.hushed = s, 0, 0
	}
	if c.said++; c.said > mostLines {
		c.hushed++
		return
	}
	if e.From != e.To {
		c.log.Info("cluster", "sender", e.Name, "was", e.From.String(), "is", e.To.String(), "why", e.Text)
		return
	}
	c.log.Info("cluster", "sender", e.Name, "what", e.Text)
}
