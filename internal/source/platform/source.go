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

// Options set a source up.
type Options struct {
	Addr  string // of discovery
	Known List   // that the core has already; the zero value if it has none
	Poll  poll.Settings
	Seed  uint64
	Log   *slog.Logger
}

// Source follows the list of endpoints at discovery, from the first Watch on.
type Source struct {
	client *http.Client
	log    *slog.Logger
	seed   uint64

	mu         sync.Mutex
	settings   poll.Settings
	addr       string
	epoch      int   // counts the addresses
	generation int64 // of the list that the core has
	known      bool  // there is such a list, of the address that holds
	running    *run
}

// run is a follower at work.
type run struct {
	ctx  context.Context // of the one who watches
	tell func(core.EndpointUpdate)
	stop context.CancelFunc
	tune chan poll.Settings // the last settings that it has not taken up yet
}

// New makes a source.
func New(o Options) *Source {
	return &Source{client: newClient(), log: o.Log, seed: o.Seed, settings: o.Poll, addr: o.Addr,
		generation: o.Known.Generation, known: o.Known.Generation != 0 || len(o.Known.Instances) > 0}
}

// Watch begins to follow the list, unless it is followed already.
func (s *Source) Watch(ctx context.Context, tell func(core.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil || s.running.ctx.Err() != nil {
		s.follow(ctx, tell)
	}
}

// follow starts a follower at the address that holds.
func (s *Source) follow(ctx context.Context, tell func(core.EndpointUpdate)) {
	following, stop := context.WithCancel(ctx)
	s.running = &run{ctx: ctx, tell: tell, stop: stop, tune: make(chan poll.Settings, 1)}
	f := &follower{poller: poll.New(s.settings, s.known, s.generation, s.seed+uint64(s.epoch), 0), client: s.client, addr: s.addr, epoch: s.epoch,
		tell: tell, log: s.log, origin: time.Now(), calls: map[int]context.CancelFunc{}, steps: make(chan step), results: make(chan result), tune: s.running.tune}
	go func() {
		defer stop()
		f.run(following)
	}()
}

// SetAddress turns to another address at once. The list there is asked for whole, since its generations need not follow on
// from those of the old one. It says whether the address is another.
func (s *Source) SetAddress(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		return false
	}
	s.addr, s.known = addr, false
	s.epoch++
	if s.running != nil {
		s.running.stop()
		s.client.CloseIdleConnections()
		s.follow(s.running.ctx, s.running.tell)
	}
	return true
}

// UpdateSettings takes up other settings.
func (s *Source) UpdateSettings(settings poll.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	if s.running == nil {
		return
	}
	select { // these take the place of those that wait
	case <-s.running.tune:
	default:
	}
	s.running.tune <- settings
}

// AcceptUpdate notes what a call has brought, and says whether it is news: a call to an address left behind has nothing to
// tell.
func (s *Source) AcceptUpdate(n core.EndpointUpdate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Epoch != s.epoch {
		return false
	}
	s.generation, s.known = n.Version, true
	return true
}

// Version is the generation of the list that the core has.
func (s *Source) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}
