// Package webhook is the end sink that posts each end to a URL, signed after the
// Standard Webhooks specification (version 1, symmetric signatures), until it is
// answered with 2xx.
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
	firstPause = 250 * time.Millisecond // between two posts of one end, doubled each time
	mostPause  = 30 * time.Second
	maxRead    = 64 << 10 // of an answer
)

// Options set a webhook up.
type Options struct {
	URL       string
	Key       []byte
	Timeout   time.Duration // for one answer
	Parallel  int           // posts out at once
	MaxQueued int           // ends that wait; the oldest is given up above it
	Log       *slog.Logger
}

// Sink posts ends. Order is not kept: each is tried until it is heard.
type Sink struct {
	opts   Options
	client *http.Client
	queue  *sink.Queue
	pause  func(ctx context.Context, d time.Duration)
}

// New makes a webhook.
func New(opts Options) *Sink {
	return &Sink{opts: opts, queue: sink.NewQueue(opts.MaxQueued, opts.Log), pause: sleep,
		client: &http.Client{Timeout: opts.Timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: opts.Timeout}).DialContext,
				MaxIdleConnsPerHost: opts.Parallel, MaxConnsPerHost: opts.Parallel, IdleConnTimeout: 30 * time.Second}}}
}

// Add queues an end.
func (s *Sink) Add(m *message.Message, e message.End) { s.queue.Add(sink.NewNotice(m, e)) }

// Run posts what waits until ctx is over.
func (s *Sink) Run(ctx context.Context, confirm func(ids []string)) {
	places := make(chan struct{}, s.opts.Parallel)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.queue.ConfirmDropped(ctx, confirm) })
	for {
		select { // a place first: what waits must stay in the queue, where the bound holds
		case <-ctx.Done():
			return
		case places <- struct{}{}:
		}
		lines := s.queue.Take(1)
		if len(lines) == 0 {
			<-places
			select {
			case <-ctx.Done():
				return
			case <-s.queue.Ready:
			}
			continue
		}
		wg.Go(func() {
			defer func() { <-places }()
			if s.tell(ctx, lines[0]) {
				confirm([]string{lines[0].ID})
			}
		})
	}
}

// tell posts an end until it is heard; false if ctx was over before.
func (s *Sink) tell(ctx context.Context, l sink.Notice) bool {
	body := l.JSON()
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		err := s.post(ctx, l.ID, body)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		s.opts.Log.Warn("webhook", "id", l.ID, "err", err)
		s.pause(ctx, pause/2+rand.N(pause))
		if ctx.Err() != nil {
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Sink) post(ctx context.Context, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.opts.URL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	at := strconv.FormatInt(time.Now().Unix(), 10)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Webhook-Id", id)
	req.Header.Set("Webhook-Timestamp", at)
	req.Header.Set("Webhook-Signature", Sign(s.opts.Key, id, at, body))
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxRead))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}

// Sign is the signature of a message: "v1," and the base64 of the HMAC-SHA256 over
// id, timestamp and body, with dots between (Standard Webhooks, "Signature scheme").
func Sign(key []byte, id, timestamp string, body []byte) string {
	h := hmac.New(sha256.New, key)
	fmt.Fprintf(h, "%s.%s.", id, timestamp)
	h.Write(body)
	return "v1," + base64.StdEncoding.EncodeToString(h.Sum(nil))
}
