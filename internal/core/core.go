package core

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

const (
	stopSends  = 3200 * time.Millisecond // what is sent after that must end by then
	sweepEvery = time.Second
	// lastClients is how long clients may be answered once the loop has ended: longer than
	// the fronts take for it.
	lastClients = permit.MaxStall + 150*time.Millisecond
	retryPause  = 250 * time.Millisecond // of an attempt that could not be written to the journal
	eventRoom   = 4096
)

// Config is what the core needs to know of a deployment.
type Config struct {
	Name            string
	Settings        logic.Settings
	Seed            uint64
	Zones           []string      // names, in the order of logic.Entry.Zone
	CachedEndpoints *EndpointList // the endpoints as last known, perhaps old; nil if none are
	// NotifyDelivered has the end sink told of deliveries too; else it hears of
	// messages that ended otherwise.
	NotifyDelivered bool
	// PersistWaits keeps waits that endpoints have told over a restart.
	PersistWaits bool
}

// Dependencies are what a core works with. It owns the store from New on.
type Dependencies struct {
	Store     Store
	Transport Transport
	Source    Source
	Sink      EndSink
	Log       *slog.Logger
	Lifecycle *lifecycle.Controller // nil for one of its own
	Monitor   *permit.Monitor       // counts what was refused and what must not be; nil for none
	// ReopenStore opens the store again that was closed for a handover; nil if nothing is
	// ever handed over.
	ReopenStore func() (Store, error)
	// AllowedShare is which part of each partner's rate may be used now, 0 to 1; nil for all
	// that the source's weights tell. It may fall at any time.
	AllowedShare func() float64
	// Peers are the senders with which observations are shared; nil for none.
	Peers Peers
	// OpenBacklog opens what keeps messages behind the windows of their destinations, once
	// the store is open; nil, or a nil Backlog, for none: all are in the module. What is
	// told belongs to that Backlog's Take.
	OpenBacklog func(s Store, tell func(event any, quit <-chan struct{})) (Backlog, error)
	// Takeover is what another process hands over; nil for a start from the store alone.
	Takeover *Takeover
}

// LifecycleTimes are those of the lifecycle that the core keeps to.
var LifecycleTimes = lifecycle.Timeouts{DrainGrace: 500 * time.Millisecond, StopTimeout: 3400 * time.Millisecond}

// held is a message that the module has and that is not over.
type held struct {
	msg      *message.Message
	accepted int64 // when it was taken on, by the core's clock
	tries    int
	terms    int64              // the number of the terms that it is held to
	class    *logic.Class       // of these; nil if it is not known
	left     bool               // its body is in the store only
	door     *FrontLimiter      // that it came through; nil after a restart
	over     bool               // ended; an attempt is still out
	stop     context.CancelFunc // of the attempt that is out
	attempt  *Attempt           // that attempt
}

// toldEnd is an end that is to be told.
type toldEnd struct {
	msg  *message.Message
	end  message.End
	sink bool // the sink is to hear of it; else only those who wait for the message's state
}

// Core is one sender.
type Core struct {
	cfg        Config
	reopen     func() (Store, error)
	allowed    func() float64
	others     Peers // nil for none
	from       *Takeover
	stated     atomic.Pointer[terms] // what clients are held to
	log        *slog.Logger
	monitor    *permit.Monitor
	metrics    Metrics
	clock      *clock.Clock // of all times that outlive the process
	store      Store
	transport  Transport
	source     Source
	sink       EndSink
	life       *lifecycle.Controller
	sender     *logic.Sender
	openBehind func(Store, func(any, <-chan struct{})) (Backlog, error)
	events     chan any
	done       chan struct{} // closed when the loop has ended
	ready      chan struct{} // closed once clients are served

	// What follows belongs to the loop.
	dir       *directory
	part      float64                     // of each rate that the weights are made for
	marks     map[logic.EndpointID]uint64 // of the last lesson that the module was told
	early     map[string]earlyWait        // by endpoint
	heard     bool                        // the source itself has told of a list, in the life of this process
	due       *time.Timer
	token     uint64
	start     time.Time
	held      map[string]*held
	open      int           // of held, those not over
	sparedAt  time.Time     // when what nothing refers to was last dropped
	behind    behind        // what the module does not have
	next      []logic.Event // for the next step
	puts      []putEvent
	fresh     map[string]*message.Message // of puts, those that are new, by id
	asks      []stateEvent
	records   []journal.Record
	doors     []*FrontLimiter
	untold    []toldEnd // ends that are to be told once the journal holds them; no more than messages are held
	ended     []string  // messages that are over since the last step
	watchers  map[string][]chan State
	terms     *terms // what messages are taken on under
	retunes   int
	deciding  context.Context             // over once another process decides
	successor *successorEvent             // has asked
	remote    map[string]*held            // attempts that another process has out, by message
	storeMu   sync.RWMutex                // of the field store, for those beside the loop
	past      map[string]*journal.Partner // what an earlier process knew of partners, until they are on the list
}

// New makes a core. Run starts it.
func New(cfg Config, parts Dependencies) (*Core, error) {
	sender, err := logic.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if parts.Lifecycle == nil {
		parts.Lifecycle = lifecycle.NewController(LifecycleTimes, parts.Log)
	}
	c := &Core{cfg: cfg, life: parts.Lifecycle, reopen: parts.ReopenStore, allowed: parts.AllowedShare, others: parts.Peers, marks: map[logic.EndpointID]uint64{}, early: map[string]earlyWait{}, from: parts.Takeover, openBehind: parts.OpenBacklog, remote: map[string]*held{}, log: parts.Log, monitor: parts.Monitor, clock: parts.Store.Clock(), store: parts.Store,
		transport: parts.Transport, source: parts.Source, sink: parts.Sink, sender: sender,
		events: make(chan any, eventRoom), done: make(chan struct{}), ready: make(chan struct{}),
		dir: newDirectory(cfg.Zones, cfg.Settings.Kinds), start: time.Now(), due: time.NewTimer(time.Hour),
		held: map[string]*held{}, fresh: map[string]*message.Message{}, watchers: map[string][]chan State{}}
	c.stated.Store(newTerms(cfg.Settings))
	return c, c.setTerms(newTerms(cfg.Settings))
}

// Clock is the clock that deadlines of messages are of.
func (c *Core) Clock() *clock.Clock { return c.clock }

// Metrics are what the core counts.
func (c *Core) Metrics() *Metrics { return &c.metrics }

// Ready is closed once the fronts serve clients.
func (c *Core) Ready() <-chan struct{} { return c.ready }

func span(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func micros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// Run serves until ctx is cancelled, then shuts down in good order. It closes the
// store.
func (c *Core) Run(ctx context.Context, fronts ...Front) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { c.store.Close() }()
	defer c.closeBacklog()
	deciding, decided := context.WithCancel(work) // over once another process decides
	defer decided()
	c.deciding = deciding
	if err := c.resume(); err != nil {
		close(c.done)
		return err
	}
	c.step(work)                       // what the store holds comes first: its ends are due
	if !c.cfg.Settings.ListOnRequest { // the module does not ask for a list that comes by itself
		c.watch()
	}
	attrs := []any{"name", c.cfg.Name, "held", len(c.held)}
	if c.behind.Backlog != nil {
		attrs = append(attrs, "behind", c.behind.Len())
	}
	for _, f := range fronts {
		c.from.listen(f)
		if err := f.Listen(); err != nil {
			close(c.done)
			return fmt.Errorf("listen: %w", err)
		}
		defer f.CloseListener()
		attrs = append(attrs, "addr", f.Addr().String())
	}
	go c.sink.Run(deciding, func(ids []string) { c.post(confirmedEvent{ids}) })
	for _, f := range fronts {
		go f.Serve()
	}
	if c.others != nil {
		go c.others.Receive(deciding, func(list []Observation) { c.post(observationsEvent(list)) })
	}
	c.log.Info("ready", attrs...)
	c.life.HandleEvent(lifecycle.Started)
	close(c.ready)
	served := make(chan struct{}) // closed when no client is left
	stopped := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			c.life.HandleEvent(lifecycle.Terminate)
		case <-work.Done():
		}
	}()
	go c.follow(work, fronts, served, stopped)
	if c.from != nil {
		c.from.close()
		go c.hear(c.from.Predecessor)
	}
	successor, err := c.loop(work, fronts, served, stopped)
	if successor != nil && err == nil {
		decided()
		err = c.relay(successor, served, stopped)
	}
	close(c.done)
	cancel() // ends what clients are left
	c.turnAway(served)
	return err
}

// follow does what the lifecycle's view says until the process is to end.
func (c *Core) follow(work context.Context, fronts []Front, served, stopped chan<- struct{}) {
	grace, end := context.WithCancel(work) // over when what is under way is cut off
	defer end()
	open, keep, leaving := true, true, false
	for {
		v, changed := c.life.Watch()
		if v.State == lifecycle.Leaving && !leaving {
			leaving = true
			c.post(closingEvent{stopSends})
		}
		if v.KeepAlive != keep {
			keep = v.KeepAlive
			for _, f := range fronts {
				f.DisableKeepAlives(!keep)
			}
		}
		if open && !v.AcceptConnections {
			open = false
			var left sync.WaitGroup
			for _, f := range fronts {
				f.CloseListener()
				left.Go(func() { f.Shutdown(grace, v.ShortenDeadlines) })
			}
			go func() {
				left.Wait()
				close(served)
			}()
		}
		if v.ExitNow {
			close(stopped)
			return
		}
		select {
		case <-changed:
		case <-work.Done():
			return
		}
	}
}

// watch follows the endpoints, as long as this process decides.
func (c *Core) watch() {
	c.source.Watch(c.deciding, func(n EndpointUpdate) { c.post(n) })
}

// turnAway answers what has come too late for the loop, until no client is left.
func (c *Core) turnAway(served <-chan struct{}) {
	late := time.NewTimer(lastClients)
	defer late.Stop()
	for {
		select {
		case ev := <-c.events:
			if put, ok := ev.(putEvent); ok {
				put.tell(SubmitResponse{Status: Stopped})
			}
			continue
		case <-served:
		case <-late.C:
		}
		return
	}
}

// post hands the loop what has happened; false once the loop has ended.
func (c *Core) post(ev any) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.done:
		return false
	}
}

// settle hands the loop an event and waits until it says on done what became of it.
func (c *Core) settle(ev any, done <-chan error) error {
	if !c.post(ev) {
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-c.done:
		return ErrStopped
	}
}
