package notices

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"cometrack/internal/message"
)

// notice is a line of the request body.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Sink posts to the platform how messages ended until the platform confirms.
type Sink struct {
	client *http.Client
	dialer *dialer
	log    *slog.Logger
	wake   chan struct{} // receives a value when a notice was added or the address changed
	mu     sync.Mutex
	queue  []notice // added and not yet taken by the poster
	url    string
}

// New returns a sink that posts to addr.
func New(addr string, log *slog.Logger) *Sink {
	d := newDialer(addr)
	return &Sink{url: outcomesURL(addr), log: log, wake: make(chan struct{}, 1), dialer: d, client: newClient(d)}
}

// Add queues a notice. It never blocks.
func (n *Sink) Add(_ *message.Message, e message.End) {
	n.mu.Lock()
	n.queue = append(n.queue, notice{e.ID, e.State, e.RetryAfterMS})
	n.mu.Unlock()
	n.wakePoster()
}

// SetAddress changes the address. Notices that the old address has not confirmed go to the new one at
// once.
func (n *Sink) SetAddress(addr string) {
	n.mu.Lock()
	changed := n.url != outcomesURL(addr)
	n.url = outcomesURL(addr)
	n.mu.Unlock()
	if !changed {
		return
	}
	n.dialer.setAddress(addr)
	n.client.CloseIdleConnections()
	n.wakePoster()
}

// wakePoster makes the poster look at the queue and at the address.
func (n *Sink) wakePoster() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// take returns the queued notices, which are removed from the queue, and the current URL.
func (n *Sink) take() (queued []notice, url string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	queued, n.queue = n.queue, nil
	return queued, n.url
}

// outcomesURL returns the URL for notices at an address.
func outcomesURL(addr string) string { return "http://" + addr + "/v1/outcomes" }

// Run posts queued notices until ctx is done, and calls confirm with the IDs of those that the platform has
// received.
func (n *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	go n.dialer.maintainSpare(ctx)
	newPoster(n, confirm).run(ctx)
}
