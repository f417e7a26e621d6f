package core

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// sent is an attempt that a test answers.
type sent struct {
	*Attempt
	result chan Result
}

// hand is a transport whose attempts are answered by hand.
type hand struct {
	attempts chan sent
	probes   chan logic.EndpointID
	released []logic.EndpointID // by the loop, or a test in its place
}

func (h *hand) Attempt(_ context.Context, a *Attempt) Result {
	if !a.Begin() {
		return Result{Outcome: logic.NotSent}
	}
	s := sent{a, make(chan Result, 1)}
	h.attempts <- s
	return <-s.result
}

func (h *hand) Batch(ctx context.Context, call []*Attempt) []Result {
	out := make([]Result, len(call))
	for i, a := range call {
		out[i] = h.Attempt(ctx, a)
	}
	return out
}
func (h *hand) Probe(_ context.Context, ep logic.EndpointID, _ string) logic.Outcome {
	h.probes <- ep
	return logic.Completed
}
func (h *hand) CloseIdle(ep logic.EndpointID) { h.released = append(h.released, ep) }
func (h *hand) CloseStale()                   {}

// still is a source that has no news.
type still struct{}

func (still) Watch(context.Context, func(EndpointUpdate)) {}
func (still) AcceptUpdate(EndpointUpdate) bool            { return true }
func (still) Version() int64                              { return 0 }

// ends keeps what it is told until a test confirms it.
type ends struct {
	told    chan message.End
	confirm chan string
}

func (e *ends) Add(_ *message.Message, x message.End) { e.told <- x }
func (e *ends) Run(ctx context.Context, confirm func([]string)) {
	for {
		select {
		case id := <-e.confirm:
			confirm([]string{id})
		case <-ctx.Done():
			return
		}
	}
}

// failing is a store whose writes fail while it is told so.
type failing struct {
	Store
	mu   sync.Mutex
	fail bool
	past []journal.Record // that could not be written yet
	lost bool             // bodies can't be read back
	sick map[string]bool  // partners, as last told
}

func (f *failing) Append(recs []journal.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail && len(recs)+len(f.past) > 0 {
		for _, r := range recs { // as the journal does: what only tells of the past is written later
			if r.Op != journal.OpAccept && r.Op != journal.OpSend {
				f.past = append(f.past, r)
			}
		}
		return errors.New("no space left")
	}
	recs, f.past = append(f.past, recs...), nil
	for _, r := range recs {
		if r.Op == journal.OpPartner {
			f.sick[r.ID] = r.Partner.Unhealthy
		}
	}
	return f.Store.Append(recs)
}

// knows says whether a partner is known to be in trouble.
func (f *failing) knows(partner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sick[partner]
}

// Close closes the store beneath a core that may still be at work, as a crash does.
func (f *failing) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = true
	return f.Store.Close()
}

func (f *failing) DropExpired(now int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fail {
		f.Store.DropExpired(now)
	}
}

func (f *failing) Body(id string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return nil, errors.New("damaged record")
	}
	return f.Store.Body(id)
}

func (f *failing) lose(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
}

func (f *failing) set(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// rig is a core with parts that a test holds in its hands.
type rig struct {
	*Core
	t     *testing.T
	hand  *hand
	ends  *ends
	store *failing
	stop  context.CancelFunc
	done  chan error
}

func testConfig() Config {
	return Config{Name: "t", Zones: []string{"a", "b"}, NotifyDelivered: true,
		CachedEndpoints: &EndpointList{Complete: true, Endpoints: []Endpoint{{Name: "e1", Addr: "h:1", Zone: "a", Kind: "std", Partner: "acme", Weight: 1000}}},
		Settings: logic.Settings{Senders: 1, Zones: 2, Slots: 8, MaxOpen: 8, MaxTries: 3, Tick: 1000, MayCancel: true, AdviseRetry: true,
			MaxRetryAfter: 2 * logic.Second, Weights: logic.WeightsNominal, ConnIdle: 10 * logic.Second, ConnCalls: 1, ExponentialDecay: true,
			DrainGrace: 2 * logic.Second, FallMultiple: 2, FallWindow: 3 * logic.Second, ColdFrom: 0.2, WarmAfter: 14 * logic.Second,
			RemainingIndex: -1, LimitIndex: -1, Kinds: []logic.Kind{{Name: "std", MaxBatch: 1}}, Tenants: []logic.Tenant{{Name: "north"}},
			Classes: []logic.Class{
				{Name: "safe", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4},
				{Name: "keyed", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4, Effect: logic.Keyed, Window: 20 * logic.Second},
				{Name: "unsafe", Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4, Effect: logic.Unsafe}}}}
}

func newRig(t *testing.T, dir string, cfg Config, with ...func(*Dependencies)) *rig {
	t.Helper()
	j, err := journal.Open(dir, journal.Options{MaxBytes: 3e6, EndRetention: time.Hour, MaxEnded: 100, KeepPartners: cfg.Settings.TrackChanges, MaxBodyInMemory: 100})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, hand: &hand{attempts: make(chan sent, 64), probes: make(chan logic.EndpointID, 1)}, store: &failing{Store: j, sick: map[string]bool{}},
		ends: &ends{make(chan message.End, 64), make(chan string, 64)}, done: make(chan error, 1)}
	parts := Dependencies{Store: r.store, Transport: r.hand, Source: still{}, Sink: r.ends, Log: slog.New(slog.DiscardHandler)}
	for _, f := range with {
		f(&parts)
	}
	r.Core, err = New(cfg, parts)
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
	case <-time.After(byhand.Patience):
		r.t.Fatal("the core is not ready")
	}
	return r
}

func (r *rig) halt() {
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

func (r *rig) put(m *message.Message) SubmitResponse {
	r.t.Helper()
	answer := make(chan SubmitResponse, 1)
	r.Submit(m, answer)
	return byhand.Await(r.t, answer, "answer to "+m.ID)
}

func (r *rig) state(id string) string {
	r.t.Helper()
	s, err := r.State(r.t.Context(), id, false)
	if err != nil {
		r.t.Fatal(err)
	}
	return s.Name
}
