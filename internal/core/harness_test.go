package core

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// fakeAttempt is an attempt whose result the test provides.
type fakeAttempt struct {
	*Attempt
	result chan Result
}

// fakeTransport is a transport that passes its attempts and probes to the test.
type fakeTransport struct {
	attempts   chan fakeAttempt
	probes     chan logic.EndpointID
	closedIdle []logic.EndpointID // written by the loop, or by a test in its place
}

func (f *fakeTransport) Attempt(_ context.Context, a *Attempt) Result {
	if !a.Begin() {
		return Result{Outcome: logic.NotSent}
	}
	s := fakeAttempt{a, make(chan Result, 1)}
	f.attempts <- s
	return <-s.result
}

func (f *fakeTransport) Batch(ctx context.Context, call []*Attempt) []Result {
	out := make([]Result, len(call))
	for i, a := range call {
		out[i] = f.Attempt(ctx, a)
	}
	return out
}
func (f *fakeTransport) Probe(_ context.Context, ep logic.EndpointID, _ string) logic.Outcome {
	f.probes <- ep
	return logic.Completed
}
func (f *fakeTransport) CloseIdle(ep logic.EndpointID) { f.closedIdle = append(f.closedIdle, ep) }
func (f *fakeTransport) CloseStale()                   {}

// silentSource is a source without updates.
type silentSource struct{}

func (silentSource) Watch(context.Context, func(EndpointUpdate)) {}
func (silentSource) AcceptUpdate(EndpointUpdate) bool            { return true }
func (silentSource) Version() int64                              { return 0 }

// fakeSink is an end sink that passes the ends to the test, which confirms them.
type fakeSink struct {
	added   chan message.End
	confirm chan string
}

func (s *fakeSink) Add(_ *message.Message, end message.End) { s.added <- end }
func (s *fakeSink) Run(ctx context.Context, confirm func([]string)) {
	for {
		select {
		case id := <-s.confirm:
			confirm([]string{id})
		case <-ctx.Done():
			return
		}
	}
}

// failingStore is a store whose operations fail on request.
type failingStore struct {
	Store
	mu         sync.Mutex
	appends    atomic.Int64 // calls of Append, also those that wait for the lock
	failing    bool
	postponed  []journal.Record // records that could not be written yet
	bodiesLost bool             // bodies can't be read
	unhealthy  map[string]bool  // last written health of partners
	termsFull  bool             // no terms can be added
}

func (f *failingStore) SetTermsInForce(inForce journal.TermsInForce) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.termsFull {
		return 0, errors.New("too many terms")
	}
	return f.Store.SetTermsInForce(inForce)
}

func (f *failingStore) setTermsFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.termsFull = full
}

func (f *failingStore) Append(recs []journal.Record) error {
	f.appends.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing && len(recs)+len(f.postponed) > 0 {
		for _, r := range recs { // like the journal: records of past events are written later
			if r.Op != journal.OpAccept && r.Op != journal.OpSend {
				f.postponed = append(f.postponed, r)
			}
		}
		return errors.New("no space left")
	}
	recs, f.postponed = append(f.postponed, recs...), nil
	for _, r := range recs {
		if r.Op == journal.OpPartner {
			f.unhealthy[r.ID] = r.Partner.Unhealthy
		}
	}
	return f.Store.Append(recs)
}

// recordedUnhealthy reports whether the last record of a partner says that it is unhealthy.
func (f *failingStore) recordedUnhealthy(partner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unhealthy[partner]
}

// Close closes the store under a core that may still be running, as a crash does.
func (f *failingStore) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = true
	return f.Store.Close()
}

func (f *failingStore) DropExpired(now int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.Store.DropExpired(now)
	}
}

func (f *failingStore) Body(id string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bodiesLost {
		return nil, errors.New("damaged record")
	}
	return f.Store.Body(id)
}

func (f *failingStore) loseBodies(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodiesLost = lost
}

func (f *failingStore) setFailing(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = fail
}

// rig is a core whose dependencies are controlled by the test.
type rig struct {
	*Core
	t             *testing.T
	fakeTransport *fakeTransport
	fakeSink      *fakeSink
	store         *failingStore
	stop          context.CancelFunc
	done          chan error
}

func testConfig() Config {
	return Config{Name: "t", Zones: []string{"a", "b"}, NotifyDelivered: true,
		CachedEndpoints: &EndpointList{Complete: true, Endpoints: []Endpoint{{Name: "e1", Addr: "h:1", Zone: "a",
			Kind: "std", Partner: "acme", Weight: 1000}}},
		Settings: logic.Settings{Senders: 1, Zones: 2, Slots: 8, MaxOpen: 8, MaxAttempts: 3, Tick: 1000, MayCancel: true,
			AdviseRetry: true, MaxRetryAfter: 2 * logic.Second, Weights: logic.WeightsNominal,
			ConnIdle: 10 * logic.Second, ConnCalls: 1, ExponentialDecay: true, DrainGrace: 2 * logic.Second,
			FallMultiple: 2, FallWindow: 3 * logic.Second, ColdFrom: 0.2, WarmAfter: 14 * logic.Second,
			RemainingIndex: -1, LimitIndex: -1, Kinds: []logic.Kind{{Name: "std", MaxBatch: 1}},
			Tenants: []logic.Tenant{{Name: "north"}},
			Classes: []logic.Class{
				{Name: "safe", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4},
				{Name: "keyed", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4,
					Effect: logic.Keyed, Window: 20 * logic.Second},
				{Name: "unsafe", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4,
					Effect: logic.Unsafe}}}}
}

func newRig(t *testing.T, dir string, cfg Config, options ...func(*Dependencies)) *rig {
	t.Helper()
	j, err := journal.Open(dir, journal.Options{MaxBytes: 3e6, EndRetention: time.Hour, MaxEnded: 100,
		KeepPartners: cfg.Settings.TrackChanges, MaxBodyInMemory: 100})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t,
		fakeTransport: &fakeTransport{attempts: make(chan fakeAttempt, 64), probes: make(chan logic.EndpointID, 1)},
		store:         &failingStore{Store: j, unhealthy: map[string]bool{}},
		fakeSink:      &fakeSink{make(chan message.End, 64), make(chan string, 64)}, done: make(chan error, 1)}
	deps := Dependencies{Store: r.store, Transport: r.fakeTransport, Source: silentSource{}, Sink: r.fakeSink,
		Log: slog.New(slog.DiscardHandler)}
	for _, option := range options {
		option(&deps)
	}
	r.Core, err = New(cfg, deps)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) run() *rig {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.Run(ctx) }()
	r.t.Cleanup(stop)
	select {
	case <-r.Ready():
	case <-time.After(byhand.Timeout):
		r.t.Fatal("the core has not become ready in time")
	}
	return r
}

func (r *rig) shutDown() {
	r.t.Helper()
	r.stop()
	if err := byhand.Await(r.t, r.done, "end of the core"); err != nil {
		r.t.Fatal(err)
	}
}

func newMessage(id, class string) *message.Message {
	return &message.Message{ID: id, Key: "k-" + id, Class: class, Tenant: "north", Partner: "acme",
		Deadline: time.Now().Add(10 * time.Second).UnixMicro(), Body: []byte("body of " + id)}
}

func (r *rig) submitAndWait(m *message.Message) SubmitResponse {
	r.t.Helper()
	response := make(chan SubmitResponse, 1)
	r.Submit(m, response)
	return byhand.Await(r.t, response, "response to "+m.ID)
}

func (r *rig) stateName(id string) string {
	r.t.Helper()
	s, err := r.State(r.t.Context(), id, false)
	if err != nil {
		r.t.Fatal(err)
	}
	return s.Name
}

// connectingTransport is a fakeTransport whose attempts take until connected is closed to connect.
type connectingTransport struct {
	*fakeTransport
	connected chan struct{}
}

func (c *connectingTransport) Attempt(ctx context.Context, a *Attempt) Result {
	<-c.connected
	return c.fakeTransport.Attempt(ctx, a)
}
