// Package webhook is the end sink that posts each notice to a URL until the response is 2xx. Requests
// are signed as in the Standard Webhooks specification (version 1, symmetric signatures).
package webhook

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/sink"
)

const (
	minRetryDelay    = 250 * time.Millisecond // between two posts of one notice, doubled each time
	maxRetryDelay    = 30 * time.Second
	maxResponseBytes = 64 << 10 // of a response
)

// Options configure a webhook.
type Options struct {
	URL       string
	Key       []byte
	Timeout   time.Duration // for one request
	Parallel  int           // concurrent requests
	MaxQueued int           // queued notices; beyond it the oldest is dropped
	Log       *slog.Logger
}

// Sink posts notices and repeats each until it is confirmed. It does not keep their order.
type Sink struct {
	opts   Options
	client *http.Client
	queue  *sink.Queue
	pause  func(ctx context.Context, d time.Duration) // waits between two posts; replaced in tests
}

// New returns a webhook sink.
func New(opts Options) *Sink {
	return &Sink{opts: opts, queue: sink.NewQueue(opts.MaxQueued, opts.Log), pause: sleep,
		client: &http.Client{Timeout: opts.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: opts.Timeout}).DialContext,
				MaxIdleConnsPerHost: opts.Parallel, MaxConnsPerHost: opts.Parallel, IdleConnTimeout: 30 * time.Second}}}
}

// Add queues the notice of an end. It never blocks.
func (s *Sink) Add(m *message.Message, e message.End) { s.queue.Add(sink.NewNotice(m, e)) }

// Run posts queued notices until ctx is done.
func (s *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	slots := make(chan struct{}, s.opts.Parallel)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.queue.ConfirmDropped(ctx, confirm) })
	for {
		select { // a slot first: waiting notices must stay in the queue, which is limited
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		notices := s.queue.Take(1)
		if len(notices) == 0 {
			<-slots
			select {
			case <-ctx.Done():
				return
			case <-s.queue.Ready:
			}
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if s.deliver(ctx, notices[0]) {
				confirm([]string{notices[0].ID})
			}
		})
	}
}

// deliver posts a notice until the response is 2xx. It returns false if ctx was done before.
func (s *Sink) deliver(ctx context.Context, notice sink.Notice) bool {
	body := notice.JSON()
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := s.post(ctx, notice.ID, body)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		s.opts.Log.Warn("webhook: post failed", "id", notice.ID, "err", err)
		s.pause(ctx, delay/2+rand.N(delay))
		if ctx.Err() != nil {
			return false
		}
	}
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// post sends one signed request. A status other than 2xx is an error.
func (s *Sink) post(ctx context.Context, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.opts.URL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	timestamp := strconv.FormatInt(time.Now().Unix(), 10)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Webhook-Id", id)
	req.Header.Set("Webhook-Timestamp", timestamp)
	req.Header.Set("Webhook-Signature", Sign(s.opts.Key, id, timestamp, body))
	resp, err := s.client.Do(req)
	if err != nil {
		s.client.CloseIdleConnections() // open together with that of the request, they may be silent together with it
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}

// Sign returns the signature of a request: "v1," and the base64 of the HMAC-SHA256 over id, timestamp
// and body, joined with dots (Standard Webhooks, "Signature scheme").
func Sign(key []byte, id, timestamp string, body []byte) string {
	mac := hmac.New(sha256.New, key)
	fmt.Fprintf(mac, "%s.%s.", id, timestamp)
	mac.Write(body)
	return "v1," + base64.StdEncoding.EncodeToString(mac.Sum(nil))
}
