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
	noticeTime  = time.Second            // for one answer
	firstTime   = 200 * time.Millisecond // for the first: ends are due 0.3 s after their time, and an answer comes at once if it comes
	noticeFirst = 25 * time.Millisecond
	noticeMost  = 400 * time.Millisecond
	noticeBatch = 256
	noticeConns = 4 // connections at a time, the spare one not counted: one that does not come up holds up no other post
)

// line is what the platform reads.
type line struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Sink tells the platform how messages ended, until it has heard.
type Sink struct {
	client *http.Client
	dialer *dialer
	log    *slog.Logger
	wake   chan struct{}
	mu     sync.Mutex
	queue  []line
	url    string
	stop   context.CancelFunc // of the post that is out
}

// New makes a sink that posts to addr.
func New(addr string, log *slog.Logger) *Sink {
	d := newDialer(addr)
	return &Sink{url: noticeURL(addr), log: log, wake: make(chan struct{}, 1), dialer: d,
		client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: noticeConns, IdleConnTimeout: 5 * time.Second}}}
}

// Add queues a notice; it never waits.
func (n *Sink) Add(_ *message.Message, e message.End) {
	n.mu.Lock()
	n.queue = append(n.queue, line{e.ID, e.State, e.AfterMS})
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// SetAddress turns to another address. What the old one has not confirmed goes to the new one at once.
func (n *Sink) SetAddress(addr string) {
	n.mu.Lock()
	if n.url == noticeURL(addr) {
		n.mu.Unlock()
		return
	}
	n.url = noticeURL(addr)
	if n.stop != nil {
		n.stop()
	}
	n.mu.Unlock()
	n.dialer.move(addr)
	n.client.CloseIdleConnections()
}

func noticeURL(addr string) string { return "http://" + addr + "/v1/outcomes" }

func (n *Sink) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// Run sends what waits, as one batch at a time.
func (n *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	go n.dialer.keep(ctx)
	for {
		batch := n.more(nil)
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		within := firstTime
		for pause := noticeFirst; ; pause, within = min(2*pause, noticeMost), min(2*within, noticeTime) {
			url := n.address()
			status, err := n.post(ctx, batch, within)
			if err == nil && status == http.StatusNoContent {
				confirm(idsOf(batch))
				break
			}
			if ctx.Err() != nil {
				return
			}
			if n.address() != url {
				pause = noticeFirst / 2
				continue
			}
			n.log.Warn("notice", "lines", len(batch), "status", status, "err", err)
			if status == http.StatusBadRequest {
				// It will never be read as it is: one line that is at fault must not hold up the others.
				if n.oneByOne(ctx, batch, confirm) {
					break
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			batch = n.more(batch)
		}
	}
}

// oneByOne sends the lines of a batch that can't be read singly and gives up those that are at fault.
func (n *Sink) oneByOne(ctx context.Context, batch []line, confirm func(ids []string)) bool {
	for _, x := range batch {
		status, err := n.post(ctx, []line{x}, noticeTime)
		if err != nil || status != http.StatusNoContent && status != http.StatusBadRequest {
			return false
		}
		if status == http.StatusBadRequest {
			n.log.Error("notice can't be read", "id", x.ID)
		}
	}
	confirm(idsOf(batch))
	return true
}

func idsOf(batch []line) []string {
	ids := make([]string, len(batch))
	for i, x := range batch {
		ids[i] = x.ID
	}
	return ids
}

// more adds what waits to a batch.
func (n *Sink) more(batch []line) []line {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := min(len(n.queue), noticeBatch-len(batch))
	batch = append(batch, n.queue[:k]...)
	n.queue = n.queue[k:]
	return batch
}

// post sends a batch and waits for its answer. One that does not come may have been heard: telling an end again does no
// harm.
func (n *Sink) post(ctx context.Context, batch []line, within time.Duration) (int, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	n.mu.Lock()
	url := n.url
	n.stop = cancel
	n.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &b)
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
