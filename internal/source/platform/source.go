package platform

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
)

// Options configure a source.
type Options struct {
	Addr  string // host and port of discovery
	Known List   // the list that the core already has; the zero value if none
	// ConfirmKnown has the first call answered at once, also if nothing has changed since Known.
	ConfirmKnown bool
	Poll         poll.Settings
	Seed         uint64
	Log          *slog.Logger
}

// Source follows the list of endpoints at discovery, starting with the first Watch.
type Source struct {
	client *http.Client
	log    *slog.Logger
	seed   uint64

	mu         sync.Mutex
	settings   poll.Settings
	addr       string
	epoch      int   // number of address changes
	generation int64 // of the list that the core has
	haveList   bool  // the core has a list from the current address
	confirm    bool  // the list is to be confirmed by a call that is answered at once
	running    *activeRun
}

// activeRun is a running follower.
type activeRun struct {
	ctx         context.Context // of the caller of Watch
	publish     func(core.EndpointUpdate)
	stop        context.CancelFunc
	newSettings chan poll.Settings // the latest settings, if the follower hasn't applied them yet
}

// New returns a source. It makes no calls before Watch.
func New(o Options) *Source {
	return &Source{client: newClient(), log: o.Log, seed: o.Seed, settings: o.Poll, addr: o.Addr,
		confirm: o.ConfirmKnown, generation: o.Known.Generation, haveList: o.Known.Generation != 0 || len(o.Known.Instances) > 0}
}

// Watch follows the list and passes updates to publish until ctx ends. It does nothing while a previous Watch is
// active.
func (s *Source) Watch(ctx context.Context, publish func(core.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil || s.running.ctx.Err() != nil {
		s.startFollower(ctx, publish)
	}
}

// startFollower starts a follower at the current address. s.mu must be held.
func (s *Source) startFollower(ctx context.Context, publish func(core.EndpointUpdate)) {
	runCtx, stop := context.WithCancel(ctx)
	s.running = &activeRun{ctx: ctx, publish: publish, stop: stop, newSettings: make(chan poll.Settings, 1)}
	f := &follower{poller: poll.New(s.settings, s.haveList, s.generation, s.seed+uint64(s.epoch), 0), client: s.client,
		addr: s.addr, epoch: s.epoch,
		publish: publish, log: s.log, origin: time.Now(), cancels: map[int]context.CancelFunc{},
		progress: make(chan callProgress), results: make(chan callResult), newSettings: s.running.newSettings}
	if s.confirm {
		f.poller.ConfirmList()
	}
	go func() {
		defer stop()
		f.run(runCtx)
	}()
}

// SetAddress switches to another address of discovery at once and reports whether the address changed. The complete
// list is requested there, since its generations need not continue those of the old address.
func (s *Source) SetAddress(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return false
	}
	s.addr, s.haveList = addr, false
	s.epoch++
	if s.running != nil {
		s.running.stop()
		s.client.CloseIdleConnections()
		s.startFollower(s.running.ctx, s.running.publish)
	}
	return true
}

// UpdateSettings changes the settings of the running and of later followers.
func (s *Source) UpdateSettings(settings poll.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	if s.running == nil {
		return
	}
	select { // replaces settings that have not been applied yet
	case <-s.running.newSettings:
	default:
	}
	s.running.newSettings <- settings
}

// AcceptUpdate records the generation of an update and reports whether the update counts: one from a previous address
// doesn't.
func (s *Source) AcceptUpdate(u core.EndpointUpdate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Epoch != s.epoch {
		return false
	}
	s.generation, s.haveList, s.confirm = u.Version, true, false
	return true
}

// Version returns the generation of the list that the core has.
func (s *Source) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}
