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

// httpFront hands messages in over HTTP/1.1 connections, a goroutine each: what
// waits for a connection waits since it was due.
type httpFront struct {
	r      *run
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
	out    sync.WaitGroup
	mu     sync.Mutex
	rec    *load.Recorder
}

func newHTTP(r *run) *httpFront {
	t := &http.Transport{MaxConnsPerHost: r.opts.Connections, MaxIdleConnsPerHost: r.opts.Connections, IdleConnTimeout: 30 * time.Second}
	f := &httpFront{r: r, client: &http.Client{Transport: t}, rec: load.NewRecorder()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

func (f *httpFront) put(m load.Message, k *load.Kind) {
	f.mu.Lock()
	f.rec.Late.Add(max(time.Since(f.r.start)-m.Due, 0))
	f.mu.Unlock()
	f.out.Go(func() {
		v := f.post(m, k)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.r.answered(f.rec, m, k, v)
	})
}

func (f *httpFront) post(m load.Message, k *load.Kind) verdict {
	q := url.Values{"id": {f.r.id(m.N)}, "class": {k.Class}, "partner": {m.Partner}, "key": {f.r.id(m.N)}}
	if k.Left > 0 {
		q.Set("left", time.Duration(k.Left).String())
	}
	if k.Tenant != "" {
		q.Set("tenant", k.Tenant)
	}
	if m.Order >= 0 {
		q.Set("order", fmt.Sprint("order", m.Order))
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.r.opts.HTTP+"/v1/messages?"+q.Encode(),
		bytes.NewReader(bytes.Repeat([]byte{'x'}, k.Size)))
	if err != nil {
		return silent
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return silent
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusAccepted {
		return taken
	}
	return turnedAway
}

func (f *httpFront) close() *load.Recorder {
	f.stop()
	f.out.Wait()
	f.client.CloseIdleConnections()
	return f.rec
}

// followAgain is the pause before a stream of ends that broke is taken up again.
const followAgain = 50 * time.Millisecond

// follow reads the stream of ends until ctx is over, and takes it up again where it
// broke. ready hears once whether it flows.
func (r *run) follow(ctx context.Context, ready chan<- error) {
	last, first := "", true
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := r.stream(ctx, client, &last, func() {
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
		case <-time.After(followAgain):
		case <-ctx.Done():
		}
	}
}

// stream reads one stream of server-sent events.
func (r *run) stream(ctx context.Context, client *http.Client, last *string, flows func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.opts.HTTP+"/v1/ends", nil)
	if err != nil {
		return err
	}
	if *last != "" {
		req.Header.Set("Last-Event-ID", *last)
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
		flows()
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			*last = id
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
