package notices

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/message"
)

const (
	requestTimeout      = time.Second            // for one request
	firstRequestTimeout = 200 * time.Millisecond // for the first: notices are due within 0.3 s, answers usually come at once
	minRetryDelay       = 25 * time.Millisecond
	maxRetryDelay       = 400 * time.Millisecond
	maxBatch            = 256
	maxConns            = 4 // besides the spare one; a connection that is slow to open must not block other posts
)

// notice is a line of the request body.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Sink posts to the platform how messages ended until the platform confirms.
type Sink struct {
	client     *http.Client
	dialer     *dialer
	log        *slog.Logger
	wake       chan struct{} // receives a value when a notice was added
	mu         sync.Mutex
	queue      []notice
	url        string
	cancelPost context.CancelFunc // cancels the post in progress
}

// New returns a sink that posts to addr.
func New(addr string, log *slog.Logger) *Sink {
	d := newDialer(addr)
	return &Sink{url: outcomesURL(addr), log: log, wake: make(chan struct{}, 1), dialer: d,
		client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxConns, IdleConnTimeout: 5 * time.Second}}}
}

// Add queues a notice. It never blocks.
func (n *Sink) Add(_ *message.Message, e message.End) {
	n.mu.Lock()
	n.queue = append(n.queue, notice{e.ID, e.State, e.RetryAfterMS})
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// SetAddress changes the address. Notices that the old address has not confirmed go to the new one at
// once.
func (n *Sink) SetAddress(addr string) {
	n.mu.Lock()
	if n.url == outcomesURL(addr) {
		n.mu.Unlock()
		return
	}
	n.url = outcomesURL(addr)
	if n.cancelPost != nil {
		n.cancelPost()
	}
	n.mu.Unlock()
	n.dialer.setAddress(addr)
	n.client.CloseIdleConnections()
}

// outcomesURL returns the URL for notices at an address.
func outcomesURL(addr string) string { return "http://" + addr + "/v1/outcomes" }

// address returns the current URL.
func (n *Sink) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// Run posts queued notices, one batch at a time, until ctx is done.
func (n *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	go n.dialer.maintainSpare(ctx)
	for {
		batch := n.fillBatch(nil)
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		timeout := firstRequestTimeout
		for delay := minRetryDelay; ; delay, timeout = min(2*delay, maxRetryDelay), min(2*timeout, requestTimeout) {
			url := n.address()
			status, err := n.post(ctx, batch, timeout)
			if err == nil && status == http.StatusNoContent {
				confirm(idsOf(batch))
				break
			}
			if ctx.Err() != nil {
				return
			}
			if n.address() != url {
				delay = minRetryDelay / 2
				continue
			}
			n.log.Warn("notices not confirmed", "lines", len(batch), "status", status, "err", err)
			if status == http.StatusBadRequest {
				// Repeating the batch is useless, and one invalid notice must not block the others.
				if n.postSingly(ctx, batch, confirm) {
					break
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
			batch = n.fillBatch(batch)
		}
	}
}

// postSingly posts the notices of a rejected batch one by one and drops the invalid ones. It reports
// whether all were handled.
func (n *Sink) postSingly(ctx context.Context, batch []notice, confirm func(ids []string)) bool {
	for _, single := range batch {
		status, err := n.post(ctx, []notice{single}, requestTimeout)
		if err != nil || status != http.StatusNoContent && status != http.StatusBadRequest {
			return false
		}
		if status == http.StatusBadRequest {
			n.log.Error("notice rejected as invalid, dropped", "id", single.ID)
		}
	}
	confirm(idsOf(batch))
	return true
}

// idsOf returns the message IDs of a batch.
func idsOf(batch []notice) []string {
	ids := make([]string, len(batch))
	for i, entry := range batch {
		ids[i] = entry.ID
	}
	return ids
}

// fillBatch adds queued notices to a batch, up to maxBatch.
func (n *Sink) fillBatch(batch []notice) []notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := min(len(n.queue), maxBatch-len(batch))
	batch = append(batch, n.queue[:count]...)
	n.queue = n.queue[count:]
	return batch
}

// post posts a batch and returns the status. If there is no response, the batch may have been received;
// repeating a notice does no harm.
func (n *Sink) post(ctx context.Context, batch []notice, timeout time.Duration) (int, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, entry := range batch {
		if err := encoder.Encode(entry); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.mu.Lock()
	url := n.url
	n.cancelPost = cancel
	n.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("post notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	return resp.StatusCode, nil
}
