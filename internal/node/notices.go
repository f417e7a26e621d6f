package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	noticeTime  = time.Second // for one answer
	noticeFirst = 25 * time.Millisecond
	noticeMost  = 400 * time.Millisecond
	noticeBatch = 256
)

// noticedEvent says that the platform has heard of these ends.
type noticedEvent struct{ ids []string }

// notices tells the platform how messages ended, until it has heard.
type notices struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{}
	mu     sync.Mutex
	queue  []Notice
	url    string
	stop   context.CancelFunc // of the post that is out
}

func newNotices(addr string, log *slog.Logger, events chan<- any) *notices {
	return &notices{url: noticeURL(addr), log: log, events: events, wake: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: noticeTime}).DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}}
}

// add queues a notice; it never waits.
func (n *notices) add(x Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, x)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// move turns to another address. What the old one has not confirmed goes to the new one at once.
func (n *notices) move(addr string) {
	n.mu.Lock()
	n.url = noticeURL(addr)
	if n.stop != nil {
		n.stop()
	}
	n.mu.Unlock()
	n.client.CloseIdleConnections()
}

func noticeURL(addr string) string { return "http://" + addr + "/v1/outcomes" }

func (n *notices) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// run sends what waits, as one batch at a time.
func (n *notices) run(ctx context.Context) {
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
		for pause := noticeFirst; ; pause = min(2*pause, noticeMost) {
			url := n.address()
			status, err := n.post(ctx, batch)
			if err == nil && status == http.StatusNoContent {
				n.heard(batch)
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
				if n.oneByOne(ctx, batch) {
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
func (n *notices) oneByOne(ctx context.Context, batch []Notice) bool {
	for _, x := range batch {
		status, err := n.post(ctx, []Notice{x})
		if err != nil || status != http.StatusNoContent && status != http.StatusBadRequest {
			return false
		}
		if status == http.StatusBadRequest {
			n.log.Error("notice can't be read", "id", x.ID)
		}
	}
	n.heard(batch)
	return true
}

func (n *notices) heard(batch []Notice) {
	ids := make([]string, len(batch))
	for i, x := range batch {
		ids[i] = x.ID
	}
	n.events <- noticedEvent{ids}
}

// more adds what waits to a batch.
func (n *notices) more(batch []Notice) []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := min(len(n.queue), noticeBatch-len(batch))
	batch = append(batch, n.queue[:k]...)
	n.queue = n.queue[k:]
	return batch
}

func (n *notices) post(ctx context.Context, batch []Notice) (int, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTime)
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
