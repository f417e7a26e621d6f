package demo

import (
	"bufio"
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

	"cometrack/internal/sink"
	"cometrack/internal/standin/traffic"
)

// submitter submits messages through one front of the daemon.
type submitter interface {
	name() string
	// submit submits a message and reports whether it was accepted. A rejection is no error.
	submit(ctx context.Context, id, partner, class, body string) (accepted bool, err error)
}

// submitOnSchedule submits rate messages a second until ctx ends, to each partner
// and in each class in turn. It doesn't wait for replies (an open-loop load).
func submitOnSchedule(ctx context.Context, s submitter, rate int, t *tally) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		partnerName, class := partnerScripts[n%len(partnerScripts)].Name, classes[n/len(partnerScripts)%len(classes)]
		id := fmt.Sprintf("%s-%s-%d", s.name(), class, n)
		wg.Go(func() {
			t.recordSubmission(id, partnerName)
			accepted, err := s.submit(context.WithoutCancel(ctx), id, partnerName, class, "message "+id)
			t.recordReply(id, accepted, err)
		})
	}
}

// httpClient submits messages over HTTP.
type httpClient struct {
	base   string
	client *http.Client
}

func newHTTPClient(addr string) *httpClient {
	return &httpClient{"http://" + addr, &http.Client{Timeout: 10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

func (c *httpClient) name() string { return "http" }

func (c *httpClient) submit(ctx context.Context, id, partner, class, body string) (bool, error) {
	q := url.Values{"id": {id}, "key": {id}, "partner": {partner}, "class": {class}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/messages?"+q.Encode(),
		strings.NewReader(body))
	if err != nil {
		return false, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return false, err
	}
	switch resp.StatusCode {
	case http.StatusAccepted:
		return true, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false, nil
	}
	return false, fmt.Errorf("unexpected response %s: %s", resp.Status, text)
}

// respClient submits messages over RESP2. It reuses idle connections.
type respClient struct {
	addr string
	mu   sync.Mutex
	idle []*respConn
}

type respConn struct {
	*traffic.RESP
	lastUsed time.Time
}

// respIdleTimeout is the time after which an idle connection is not reused; the front closes it after 4 s.
const respIdleTimeout = 3 * time.Second

func newRESPClient(addr string) *respClient { return &respClient{addr: addr} }

func (c *respClient) name() string { return "resp" }

// acquire returns the idle connection used last, or a new one.
func (c *respClient) acquire() (*respConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.lastUsed) < respIdleTimeout {
			return conn, nil
		}
		conn.Close()
	}
	conn, err := traffic.DialRESP(c.addr)
	if err != nil {
		return nil, err
	}
	return &respConn{RESP: conn}, nil
}

func (c *respClient) submit(_ context.Context, id, partner, class, body string) (bool, error) {
	conn, err := c.acquire()
	if err != nil {
		return false, err
	}
	opts := fmt.Sprintf("c=%s,d=%d,k=%s,dest=%s", class, deadline.Milliseconds(), id, partner)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	err = conn.Put("0", id, opts, []byte(body))
	line := ""
	if err == nil {
		line, err = conn.Answer()
	}
	if err != nil {
		conn.Close()
		return false, err
	}
	c.mu.Lock()
	conn.lastUsed = time.Now()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	switch {
	case strings.HasPrefix(line, "+"):
		return true, nil
	case strings.HasPrefix(line, "-BUSY"):
		return false, nil
	}
	return false, errors.New(line)
}

// follow reads the stream of ends and calls end for each notice until ctx ends. It
// closes ready at the first line of the stream, and returns an error if the stream
// breaks before ctx ends.
func follow(ctx context.Context, addr string, ready chan<- struct{}, end func(sink.Notice)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/ends", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected response %s", resp.Status)
	}
	s := bufio.NewScanner(resp.Body)
	if s.Scan() {
		close(ready)
	}
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		var notice sink.Notice
		if err := json.Unmarshal([]byte(data), &notice); err != nil {
			return err
		}
		if notice.ID != "" {
			end(notice)
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Join(errors.New("the stream ended early"), s.Err())
}
