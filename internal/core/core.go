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
	// attemptStopTimeout is the time from the start of a shutdown within which the attempts that are still made
	// must end.
	attemptStopTimeout = 3200 * time.Millisecond
	sweepInterval      = time.Second
	// lateClientTimeout is the time for which submissions are still rejected once the loop has ended. It exceeds
	// the time that the fronts need to close their connections.
	lateClientTimeout = permit.MaxStall + 150*time.Millisecond
	// retryDelay is the pause before an operation is repeated that failed for a lack of local resources, such as
	// disk space or file descriptors.
	retryDelay     = 250 * time.Millisecond
	eventQueueSize = 4096 // events that wait for the loop
)

// Config is the part of a deployment's configuration that the core uses.
type Config struct {
	Name            string
	Settings        logic.Settings
	Seed            uint64
	Zones           []string      // names, in the order of logic.Entry.Zone
	CachedEndpoints *EndpointList // the last known endpoint list, which may be outdated; nil for none
	// AwaitList makes attempts wait for the first list of the source, for permit.MaxListWait at most, if CachedEndpoints
	// may be of an earlier process.
	AwaitList bool
	// NotifyDelivered passes deliveries to the end sink too; without it the sink gets only
	// the messages that were returned or failed.
	NotifyDelivered bool
	// PersistWaits keeps the waits that endpoints have requested across a restart.
	PersistWaits bool
}

// Dependencies are the components that a core works with. The core owns the store once New is called.
type Dependencies struct {
	Store     Store
	Transport Transport
	Source    Source
	Sink      EndSink
	Log       *slog.Logger
	Lifecycle *lifecycle.Controller // nil to create one
	Monitor   *permit.Monitor       // counts denied actions and violated rules; nil for none
	// ReopenStore opens the store again after a failed handover, for which it was closed; nil if this process
	// never hands over.
	ReopenStore func() (Store, error)
	// AllowedShare returns the share of each partner's rate that may be used now, 0 to 1; nil if the source's
	// weights are the only limit. It may fall at any time.
	AllowedShare func() float64
	// Peers are the senders with which observations are shared; nil for none.
	Peers Peers
	// OpenBacklog opens the backlog of messages beyond the in-memory windows of their destinations, once the store
	// is open. If it is nil or returns a nil Backlog, all pending messages are held by the scheduler. The events
	// given to handle are for that Backlog's HandleEvent.
	OpenBacklog func(s Store, handle func(event any, quit <-chan struct{})) (Backlog, error)
	// Takeover is the state handed over by the predecessor; nil for a start from the store alone.
	Takeover *Takeover
}

// LifecycleTimes are the timeouts of the process lifecycle on which the timeouts of this package are based.
var LifecycleTimes = lifecycle.Timeouts{DrainGrace: 500 * time.Millisecond, StopTimeout: 3400 * time.Millisecond}

// pendingMessage is a message that the scheduler holds and that has not ended, or of which an attempt is still in
// flight.
type pendingMessage struct {
	msg         *message.Message
	acceptedAt  int64 // by the core's clock
	attempts    int
	termsNumber int64              // number of the terms under which it was accepted
	class       *logic.Class       // its class in these terms; nil if the class is unknown
	bodyInStore bool               // the body is in the store only
	front       *FrontLimiter      // limiter of the front that submitted it; nil after a restart
	mayHaveRun  bool               // an attempt may have run; the journal knows it from the end of the step on
	resubmitted bool               // a further submission of it has been answered as accepted
	clientLeft  bool               // its client has left without the response: it ends unless an attempt may have run
	ended       bool               // it has ended, but an attempt is still in flight
	cancel      context.CancelFunc // cancels the attempt in flight; nil if there is none
	attempt     *Attempt           // the attempt in flight; nil if there is none
}

// endReport is the end of a message that is still to be reported.
type endReport struct {
	msg    *message.Message
	end    message.End
	notify bool // pass it to the end sink; otherwise only to callers that wait for the message's state
}

// Core runs the message processing of one sender: its loop owns the scheduler and all pending messages.
type Core struct {
	cfg             Config
	reopenStore     func() (Store, error)
	allowedShare    func() float64
	peers           Peers // nil for none
	takeover        *Takeover
	configuredTerms atomic.Pointer[terms] // those of the current settings, against which new messages are checked
	log             *slog.Logger
	monitor         *permit.Monitor
	metrics         Metrics
	clock           *clock.Clock // for all times that outlive the process
	store           Store
	transport       Transport
	source          Source
	sink            EndSink
	lifecycle       *lifecycle.Controller
	scheduler       *logic.Sender
	newBacklog      func(Store, func(any, <-chan struct{})) (Backlog, error)
	events          chan any
	done            chan struct{} // closed when the loop has ended
	ready           chan struct{} // closed once clients are served

	// The fields below are used by the loop only.
	directory       *directory
	weightShare     float64                     // share of each rate on which the weights of the list are based
	causalMarks     map[logic.EndpointID]uint64 // mark of the last observation by peers given to the scheduler
	earlyWaits      map[string]earlyWait        // by endpoint name
	listReceived    bool                        // the source has sent a list to this process, or to the predecessor
	schedulerTimer  *time.Timer
	timerToken      uint64
	startedAt       time.Time
	pending         map[string]*pendingMessage
	pendingCount    int           // messages in pending that have not ended
	prunedAt        time.Time     // when the directory was last pruned
	backlog         loopBacklog   // pending messages that the scheduler does not hold
	nextEvents      []logic.Event // for the next step
	submissions     []submitEvent
	duplicates      []submitEvent               // submissions of this step for messages that had been accepted before it
	withdrawals     []withdrawEvent             // withdrawals of this step, to be answered once their ends are written
	newMessages     map[string]*message.Message // new messages among the submissions, by ID
	stateQueries    []stateQueryEvent
	records         []journal.Record
	fronts          []*FrontLimiter
	unreportedEnds  []endReport // ends that wait for the journal; no more than there are pending messages
	endedIDs        []string    // messages that ended since the last step
	watchers        map[string][]chan State
	terms           *terms                      // the terms under which messages are accepted
	overlap         settingsInOverlap           // replaced settings that still bind new messages
	overlapTimer    *time.Timer                 // posts the next overlapEndEvent; nil before the first
	deciding        context.Context             // done once the successor decides
	handoverRequest *handoverEvent              // the handover that was requested; nil for none
	remoteAttempts  map[string]*pendingMessage  // messages with an attempt in flight in the predecessor, by ID
	storeMu         sync.RWMutex                // guards the field store for goroutines other than the loop
	savedPartners   map[string]*journal.Partner // partner states of earlier processes whose partners are not listed yet
}

// New creates a core. Run starts it.
func New(cfg Config, deps Dependencies) (*Core, error) {
	overlap := overlapAtStart(deps.Store.TermsInForce(), cfg.Settings, deps.Store.Clock().Now())
	accepting := newTerms(overlap.strictest(cfg.Settings))
	sender, err := logic.New(accepting.settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if deps.Lifecycle == nil {
		deps.Lifecycle = lifecycle.NewController(LifecycleTimes, deps.Log)
	}
	c := &Core{cfg: cfg, lifecycle: deps.Lifecycle, reopenStore: deps.ReopenStore,
		allowedShare: deps.AllowedShare, peers: deps.Peers, causalMarks: map[logic.EndpointID]uint64{},
		earlyWaits: map[string]earlyWait{}, takeover: deps.Takeover, newBacklog: deps.OpenBacklog,
		remoteAttempts: map[string]*pendingMessage{}, log: deps.Log, monitor: deps.Monitor,
		clock: deps.Store.Clock(), store: deps.Store,
		transport: deps.Transport, source: deps.Source, sink: deps.Sink, scheduler: sender,
		events: make(chan any, eventQueueSize), done: make(chan struct{}), ready: make(chan struct{}),
		directory: newDirectory(cfg.Zones, cfg.Settings.Kinds), startedAt: time.Now(),
		schedulerTimer: time.NewTimer(time.Hour),
		pending:        map[string]*pendingMessage{}, newMessages: map[string]*message.Message{},
		watchers: map[string][]chan State{}}
	c.configuredTerms.Store(newTerms(cfg.Settings))
	if len(overlap) > 0 {
		c.log.Info("settings of an earlier process still bind new messages", "sets", len(overlap))
	}
	return c, c.setTermsInForce(accepting, cfg.Settings, overlap)
}

// Clock returns the clock by which deadlines of messages are given.
func (c *Core) Clock() *clock.Clock { return c.clock }

// Metrics returns the counters of the core.
func (c *Core) Metrics() *Metrics { return &c.metrics }

// Ready returns a channel that is closed once the fronts serve clients.
func (c *Core) Ready() <-chan struct{} { return c.ready }

func toDuration(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func toMicros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// Run serves until ctx is cancelled and then shuts down gracefully. After a handover it returns once the requests
// and attempts of this process have finished. It closes the store.
func (c *Core) Run(ctx context.Context, fronts ...Front) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { c.store.Close() }()
	defer c.closeBacklog()
	deciding, decided := context.WithCancel(work) // done once the successor decides
	defer decided()
	c.deciding = deciding
	if err := c.restore(); err != nil {
		close(c.done)
		return err
	}
	c.step(work)                       // what the store holds comes before new messages: its deadlines may have passed
	if !c.cfg.Settings.ListOnRequest { // the list is sent without a request by the scheduler
		c.watchEndpoints()
	}
	attrs := []any{"name", c.cfg.Name, "held", len(c.pending)}
	if c.backlog.Backlog != nil {
		attrs = append(attrs, "behind", c.backlog.Len())
	}
	for _, f := range fronts {
		c.takeover.adoptListener(f)
		if err := f.Listen(); err != nil {
			close(c.done)
			return fmt.Errorf("listen: %w", err)
		}
		defer f.CloseListener()
		attrs = append(attrs, "addr", f.Addr().String())
	}
	go c.sink.Run(deciding, func(ids []string) { c.post(noticesConfirmedEvent{ids}) })
	for _, f := range fronts {
		go f.Serve()
	}
	if c.peers != nil {
		go c.peers.Receive(deciding, func(list []Observation) { c.post(peerObservationsEvent(list)) })
	}
	c.log.Info("ready", attrs...)
	c.lifecycle.HandleEvent(lifecycle.Started)
	close(c.ready)
	served := make(chan struct{}) // closed when all client connections are closed
	stopped := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			c.lifecycle.HandleEvent(lifecycle.Terminate)
		case <-work.Done():
		}
	}()
	go c.followLifecycle(work, fronts, served, stopped)
	if c.takeover != nil {
		c.takeover.closeListeners()
		go c.receiveFromPredecessor(c.takeover.Predecessor)
	}
	successor, err := c.loop(work, fronts, served, stopped)
	if successor != nil && err == nil {
		decided()
		err = c.relay(successor, served, stopped)
	}
	close(c.done)
	cancel() // ends the remaining client connections
	c.rejectLateSubmissions(served)
	return err
}

// followLifecycle applies the behavior that the lifecycle prescribes until the process is to exit. It closes served
// when all client connections are closed, and stopped when the process is to exit in any case.
func (c *Core) followLifecycle(work context.Context, fronts []Front, served, stopped chan<- struct{}) {
	requestsCtx, abortRequests := context.WithCancel(work) // done when requests in progress are aborted
	defer abortRequests()
	accepting, keepAlive, leaving := true, true, false
	for {
		behavior, changed := c.lifecycle.Watch()
		if behavior.State == lifecycle.Leaving && !leaving {
			leaving = true
			c.post(shutdownEvent{attemptStopTimeout})
		}
		if behavior.KeepAlive != keepAlive {
			keepAlive = behavior.KeepAlive
			for _, f := range fronts {
				f.DisableKeepAlives(!keepAlive)
			}
		}
		if accepting && !behavior.AcceptConnections {
			accepting = false
			var shutdowns sync.WaitGroup
			for _, f := range fronts {
				f.CloseListener()
				shutdowns.Go(func() { f.Shutdown(requestsCtx, behavior.ShortenDeadlines) })
			}
			go func() {
				shutdowns.Wait()
				close(served)
			}()
		}
		if behavior.ExitNow {
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

// watchEndpoints passes updates of the endpoint list to the loop as long as this process decides.
func (c *Core) watchEndpoints() {
	c.source.Watch(c.deciding, func(update EndpointUpdate) { c.post(update) })
}

// rejectLateSubmissions answers submissions that arrive after the end of the loop, until all clients are gone.
func (c *Core) rejectLateSubmissions(served <-chan struct{}) {
	timeout := time.NewTimer(lateClientTimeout)
	defer timeout.Stop()
	for {
		select {
		case ev := <-c.events:
			if submission, ok := ev.(submitEvent); ok {
				submission.respond(SubmitResponse{Status: Stopped})
			}
			continue
		case <-served:
		case <-timeout.C:
		}
		return
	}
}

// post passes an event to the loop. It returns false once the loop has ended.
func (c *Core) post(ev any) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.done:
		return false
	}
}

// postAndWait passes an event to the loop and returns the error that the loop sends on done.
func (c *Core) postAndWait(ev any, done <-chan error) error {
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
