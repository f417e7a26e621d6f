package drive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"cometrack/internal/load"
)

// httpFront submits messages over HTTP/1.1 connections with a goroutine for each message. The
// time that a message waits for a connection counts in its latency.
type httpFront struct {
	r      *run
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
	posts  sync.WaitGroup
	mu     sync.Mutex
	rec    *load.Recorder // guarded by mu
}

func newHTTP(r *run) *httpFront {
	t := &http.Transport{MaxConnsPerHost: r.opts.Connections,
		MaxIdleConnsPerHost: r.opts.Connections, IdleConnTimeout: 30 * time.Second}
	f := &httpFront{r: r, client: &http.Client{Transport: t}, rec: load.NewRecorder()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

func (f *httpFront) submit(m load.Message, k *load.Kind) {
	f.mu.Lock()
	f.rec.Lateness.Add(max(time.Since(f.r.start)-m.Due, 0))
	f.mu.Unlock()
	f.posts.Go(func() {
		reply := f.post(m, k)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.r.answered(f.rec, m, k, reply)
	})
}

// post submits one message and returns the front's reply.
func (f *httpFront) post(m load.Message, k *load.Kind) answer {
	q := url.Values{"id": {f.r.id(m.Number)}, "class": {k.Class}, "partner": {m.Partner}, "key": {f.r.id(m.Number)}}
	if k.Left > 0 {
		q.Set("left", time.Duration(k.Left).String())
	}
	if k.Tenant != "" {
		q.Set("tenant", k.Tenant)
	}
	if m.OrderKey >= 0 {
		q.Set("order", fmt.Sprint("order", m.OrderKey))
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.r.opts.HTTP+"/v1/messages?"+q.Encode(),
		bytes.NewReader(bytes.Repeat([]byte{'x'}, k.Size)))
	if err != nil {
		return noAnswer
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return noAnswer
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusAccepted {
		return accepted
	}
	return rejected
}

func (f *httpFront) close() *load.Recorder {
	f.stop()
	f.posts.Wait()
	f.client.CloseIdleConnections()
	return f.rec
}

// reconnectDelay is the delay before a stream of ends that broke is resumed.
const reconnectDelay = 50 * time.Millisecond

// follow reads the stream of ends until ctx is cancelled, and resumes it where it broke. It
// sends to ready once: nil after the first line, or the error that prevented it.
func (r *run) follow(ctx context.Context, ready chan<- error) {
	lastID, first := "", true
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := r.stream(ctx, client, &lastID, func() {
			if first {
				first = false
				ready <- nil
			}
		})
		if first {
			ready <- err
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.counts.broken.Add(1)
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// stream reads one stream of server-sent events and records the ends in it. It starts after the
// event lastID and updates that; it calls received for each line.
func (r *run) stream(ctx context.Context, client *http.Client, lastID *string, received func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.opts.HTTP+"/v1/ends", nil)
	if err != nil {
		return err
	}
	if *lastID != "" {
		req.Header.Set("Last-Event-ID", *lastID)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		received()
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			*lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var end struct {
			ID    string   `json:"id"`
			State load.End `json:"state"`
		}
		if json.Unmarshal([]byte(data), &end) == nil && end.ID != "" {
			r.ended(end.ID, end.State)
		}
	}
	return lines.Err()
}
