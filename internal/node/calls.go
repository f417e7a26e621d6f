package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravenmount/logic"
)

const (
	maxAnswer  = 64 << 10               // head and body of an answer
	headTime   = time.Second            // for the rest of an answer's head, once it has begun
	bodyTime   = 20 * time.Millisecond  // for its body; a connection that is slower is not used again
	lingerTime = 50 * time.Millisecond  // for the endpoint to see that a call is given up
	idleMargin = 500 * time.Millisecond // a connection is not used this close to the end of its idle time
	probeTime  = 1500 * time.Millisecond
)

// call is one attempt, or a probe if it has no message.
type call struct {
	id      string
	attempt int
	ep      logic.EndpointID
	addr    string
	giveUp  time.Duration
	writeBy time.Time // not to be written after this; zero for no such time
	request *http.Request
	state   *atomic.Int32
}

// The states of a call. It goes from the first to one of the others, once.
const (
	callConnecting int32 = iota
	callWritten          // from here on it may have run
	callHeld             // it is not to be written
)

// result is how a call ended.
type result struct {
	outcome logic.Outcome
	wait    time.Duration // told by a refusal
	over    bool          // the endpoint says that the message is over
}

// idleConn is a connection with no call on it.
type idleConn struct {
	net.Conn
	r     *bufio.Reader
	limit *io.LimitedReader
	addr  string
	since time.Time
}

// caller makes calls over connections that it keeps. It never sends anything
// twice, and it knows whether the last byte was written: that tells what never
// ran from what may have run. net/http's transport does neither.
type caller struct {
	dialer      net.Dialer
	linger      time.Duration
	idleTime    time.Duration
	perEndpoint int
	most        int // idle connections in all
	mu          sync.Mutex
	idle        map[logic.EndpointID][]*idleConn
	count       int
}

func newCaller(connectTime, idleTime time.Duration, perEndpoint, most int) *caller {
	return &caller{dialer: net.Dialer{Timeout: connectTime}, linger: lingerTime, idleTime: idleTime, perEndpoint: max(perEndpoint, 1), most: max(most, 1),
		idle: map[logic.EndpointID][]*idleConn{}}
}

// do makes a call. When ctx is cancelled the call is called off.
func (c *caller) do(ctx context.Context, in *call) result {
	deadline := time.Now().Add(in.giveUp)
	conn, err := c.connect(ctx, in, deadline)
	if !in.writeBy.IsZero() && time.Now().After(in.writeBy) {
		in.state.CompareAndSwap(callConnecting, callHeld)
	}
	if !in.state.CompareAndSwap(callConnecting, callWritten) {
		if err == nil && !c.put(in.ep, conn) {
			conn.Close()
		}
		return result{outcome: logic.Moot}
	}
	if err != nil {
		return result{outcome: logic.RefusedConn}
	}
	keep := false
	defer func() {
		if !keep || !c.put(in.ep, conn) {
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		close(woken)
	})
	quiet := func() { // from here on no cancel touches the connection
		if !stop() {
			<-woken
		}
	}
	var b bytes.Buffer
	if err := in.request.Write(&b); err != nil {
		quiet()
		return result{outcome: logic.RefusedConn}
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
		quiet()
		return result{outcome: logic.RefusedConn} // its last byte was not written
	}
	conn.limit.N = maxAnswer
	_, err = conn.r.Peek(1)
	quiet()
	given := logic.Severed
	if isTimeout(err) {
		// Given up. The endpoint is told by the end of our sending, and given a moment to see it: a next call
		// must not meet this one. An answer that is on its way counts.
		given = logic.Overdue
		if ctx.Err() != nil {
			given = logic.Recalled
		}
		if t, ok := conn.Conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		conn.SetDeadline(time.Now().Add(c.linger))
		_, err = conn.r.Peek(1)
	}
	if err != nil {
		return result{outcome: given}
	}
	conn.SetDeadline(time.Now().Add(headTime))
	resp, err := http.ReadResponse(conn.r, in.request)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(conn.r, in.request) // an interim answer; the outcome is yet to come
	}
	if err != nil {
		return result{outcome: given}
	}
	if given == logic.Severed {
		keep = c.finish(conn, resp)
	}
	return outcomeOf(resp)
}

// connect takes a kept connection or makes one.
func (c *caller) connect(ctx context.Context, in *call, deadline time.Time) (*idleConn, error) {
	if conn := c.take(in.ep, in.addr); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", in.addr)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: conn}
	return &idleConn{Conn: conn, r: bufio.NewReader(limit), limit: limit, addr: in.addr}, nil
}

// finish reads the rest of an answer and says whether the connection can be used again.
func (c *caller) finish(conn *idleConn, resp *http.Response) bool {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	conn.SetDeadline(time.Now().Add(bodyTime))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && conn.r.Buffered() == 0
}

// outcomeOf reads an answer.
func outcomeOf(resp *http.Response) result {
	switch resp.StatusCode {
	case http.StatusOK:
		return result{outcome: logic.Completed}
	case http.StatusTooManyRequests:
		ms, err := strconv.ParseInt(resp.Header.Get("X-Come-Back-Ms"), 10, 64)
		if err != nil || ms < 0 {
			ms = 0
		}
		return result{outcome: logic.Full, wait: time.Duration(min(ms, maxHold.Milliseconds())) * time.Millisecond}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Line-Busy") == "1" {
			return result{outcome: logic.Moot}
		}
		return result{outcome: logic.Full}
	case http.StatusGatewayTimeout:
		return result{outcome: logic.Moot}
	case http.StatusGone:
		return result{outcome: logic.Moot, over: true}
	}
	return result{outcome: logic.Errored}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// take returns the kept connection to ep that was used last, if it is still good.
func (c *caller) take(ep logic.EndpointID, addr string) *idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[ep]; len(list) > 0; list = c.idle[ep] {
		conn := list[len(list)-1]
		c.idle[ep] = list[:len(list)-1]
		c.count--
		if conn.addr == addr && c.good(conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// good says whether a kept connection may carry a call: neither about to be closed
// for its age nor closed already, nor with an answer on it that nobody asked for.
func (c *caller) good(conn *idleConn) bool {
	if time.Since(conn.since) > c.idleTime-min(idleMargin, c.idleTime/4) {
		return false
	}
	alive, data := peek(conn.Conn)
	return alive && !data
}

// put keeps a connection for the next call; false if there is no room.
func (c *caller) put(ep logic.EndpointID, conn *idleConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[ep]) >= c.perEndpoint || c.count >= c.most {
		return false
	}
	conn.since = time.Now()
	conn.SetDeadline(time.Time{})
	c.idle[ep] = append(c.idle[ep], conn)
	c.count++
	return true
}

// release closes the kept connections to ep.
func (c *caller) release(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		conn.Close()
		c.count--
	}
	delete(c.idle, ep)
}

// sweep closes kept connections that are no good any more.
func (c *caller) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if c.good(conn) {
				kept = append(kept, conn)
			} else {
				conn.Close()
				c.count--
			}
		}
		if c.idle[ep] = kept; len(kept) == 0 {
			delete(c.idle, ep)
		}
	}
}

// deliverRequest is the request that hands m to an endpoint.
func deliverRequest(m *Message, addr string, giveUp time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(giveUp.Milliseconds(), 1), 10))
	return req, nil
}

// probeRequest asks an endpoint whether it is well.
func probeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
