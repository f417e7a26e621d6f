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

// submitter hands a message in and says whether it was taken on.
type submitter interface {
	name() string
	submit(ctx context.Context, id, partner, class, body string) (taken bool, err error)
}

// submitOnSchedule hands messages in on a schedule that does not wait for answers, to each
// partner and in each class in turn.
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
		p, class := partnerScripts[n%len(partnerScripts)].Name, classes[n/len(partnerScripts)%len(classes)]
		id := fmt.Sprintf("%s-%s-%d", s.name(), class, n)
		wg.Go(func() {
			t.recordSubmission(id, p)
			taken, err := s.submit(context.WithoutCancel(ctx), id, p, class, "message "+id)
			t.recordReply(id, taken, err)
		})
	}
}

// httpClient hands messages in over HTTP.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/messages?"+q.Encode(), strings.NewReader(body))
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
	return false, fmt.Errorf("answered %s: %s", resp.Status, text)
}

// respClient hands messages in over RESP2, on connections that it keeps.
type respClient struct {
	addr string
	mu   sync.Mutex
	idle []*respConn
}

type respConn struct {
	*traffic.RESP
	lastUsed time.Time // when it was last used
}

// respIdleTimeout is how long a connection is kept: the front closes it after 4 s.
const respIdleTimeout = 3 * time.Second

func newRESPClient(addr string) *respClient { return &respClient{addr: addr} }

func (c *respClient) name() string { return "resp" }

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

// follow reads the stream of ends until ctx is over. ready is closed once it flows.
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
		return fmt.Errorf("answered %s", resp.Status)
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
		var l sink.Notice
		if err := json.Unmarshal([]byte(data), &l); err != nil {
			return err
		}
		if l.ID != "" {
			end(l)
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Join(errors.New("the stream has ended"), s.Err())
}
