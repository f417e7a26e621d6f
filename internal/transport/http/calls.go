package httptransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
	"cometrack/logic"
)

const (
	lingerTime = 50 * time.Millisecond  // for the endpoint to see that a call is given up
	idleMargin = 500 * time.Millisecond // a connection is not used this close to the end of its idle time
	settleTime = 20 * time.Millisecond  // after an answer, for what comes behind it to show
	brokeTime  = 5 * time.Second        // after a kept connection broke, fragile calls make new ones
	probeTime  = 1500 * time.Millisecond
)

// idleConn is a connection with no call on it.
type idleConn struct {
	net.Conn
	r     *bufio.Reader
	limit *io.LimitedReader
	addr  string
	since time.Time // when it became idle; zero if it never was
}

// errNoRoom says that this process has no descriptor to spare for a call.
var errNoRoom = errors.New("no room for another connection")

// Limits bound the connections to endpoints.
type Limits struct {
	Open        int // connections, idle ones counted
	Idle        int // connections without a call
	PerEndpoint int // of these to one endpoint
}

// Transport makes calls over connections that it keeps. It never sends anything
// twice, and it knows whether the last byte was written: that tells what never
// ran from what may have run. net/http's transport does neither.
type Transport struct {
	// LoadMetrics names the values of the load reports that answers may carry, in the
	// order of [core.Result.Load]; empty if there are none. It is set before use.
	LoadMetrics []string

	// SourceIP is the address of this machine that connections come from; nil for the
	// kernel's choice. It is set before use.
	SourceIP net.IP

	// UseRetryAfter says that Retry-After (RFC 9110, section 10.2.3) on 429 and 503 tells a
	// wait, where X-Come-Back-Ms does not. It is set before use.
	UseRetryAfter bool

	dialer   net.Dialer
	linger   time.Duration
	settle   time.Duration
	idleTime time.Duration
	most     Limits
	mu       sync.Mutex
	idle     map[logic.EndpointID][]*idleConn
	count    int       // idle connections
	open     int       // connections, those that are being made too
	brokeAt  time.Time // when a kept connection last broke under a call
}

// New makes a transport. A connection must come up within connectTime and is not
// used again once it has been idle for idleTime.
func New(connectTime, idleTime time.Duration, most Limits) *Transport {
	most.PerEndpoint = max(most.PerEndpoint, 1)
	return &Transport{dialer: net.Dialer{Timeout: connectTime}, linger: lingerTime, settle: settleTime, idleTime: idleTime,
		most: most, idle: map[logic.EndpointID][]*idleConn{}}
}

// Attempt makes a call that hands a message to an endpoint.
func (c *Transport) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	return c.single(ctx, a, a.Timeout)
}

func (c *Transport) single(ctx context.Context, a *core.Attempt, giveUp time.Duration) core.Result {
	head := &core.Attempt{Endpoint: a.Endpoint, Addr: a.Addr, Unrepeatable: a.Unrepeatable, Timeout: giveUp}
	return c.do(ctx, request{Attempt: head, begin: a.Begin, written: a.MarkWritten, reason: a.Reason, write: func(b []byte, left time.Duration) []byte {
		return appendDeliver(b, a.Message, a.Addr, left)
	}})
}

// Probe asks an endpoint whether it is well.
func (c *Transport) Probe(ctx context.Context, ep logic.EndpointID, addr string) logic.Outcome {
	a := &core.Attempt{Endpoint: ep, Addr: addr, Timeout: probeTime}
	return c.do(ctx, request{Attempt: a, begin: a.Begin, written: a.MarkWritten, reason: a.Reason, write: func(b []byte, _ time.Duration) []byte { return appendProbe(b, addr) }}).Outcome
}

// request is one call. Its attempt says where to, for how long and how carefully.
type request struct {
	*core.Attempt
	begin   func() bool                               // right before the first byte; whether it may go out
	reason  func() permit.Reason                      // why it may not
	write   func(b []byte, left time.Duration) []byte // appends the request, whose answer is waited for so long; called after begin
	written func()                                    // right after the last byte
	body    *bytes.Buffer                             // for that of the answer; nil if it means nothing
}

// do makes a call. When ctx is cancelled it is called off.
func (c *Transport) do(ctx context.Context, in request) core.Result {
	deadline := time.Now().Add(in.Timeout)
	conn, err := c.connect(ctx, in.Attempt, deadline)
	if !in.begin() {
		if err == nil && !c.putBack(in.Endpoint, conn) {
			c.drop(conn)
		}
		if err != nil && !ownFault(err) && in.reason() == permit.Cancelled { // the endpoint did not take it until then
			return core.Result{Outcome: logic.ConnectionRefused}
		}
		return core.Result{Outcome: logic.NotSent}
	}
	if err != nil {
		if ownFault(err) {
			return core.Result{Outcome: logic.NotSent, LocalFailure: true}
		}
		return core.Result{Outcome: logic.ConnectionRefused}
	}
	limit := &cutoff{conn: conn, by: deadline, linger: c.linger}
	stop := context.AfterFunc(ctx, limit.cancel)
	limit.wait(0)
	if err := send(conn, in, time.Until(deadline)); err != nil {
		stop()
		c.drop(conn)
		return core.Result{Outcome: logic.ConnectionRefused} // its last byte was not written
	}
	in.written()
	conn.limit.N = maxAnswer
	r, keep := readAnswer(conn.r, limit, c.LoadMetrics, c.UseRetryAfter, in.body)
	if r.Outcome == logic.ConnectionBroken && !conn.since.IsZero() {
		c.mu.Lock()
		c.brokeAt = time.Now()
		c.mu.Unlock()
	}
	if conn.limit.N <= 0 && r.Outcome != logic.Completed {
		r = core.Result{Outcome: logic.InvalidResponse} // it goes on for ever, say
	}
	if !stop() || !keep || limit.over() || !c.put(in.Endpoint, conn) {
		c.drop(conn)
	}
	return r
}

// send writes a request in one go.
func send(conn net.Conn, in request, left time.Duration) error {
	buf := requests.Get().(*[]byte)
	b := in.write((*buf)[:0], left)
	_, err := conn.Write(b)
	if *buf = b; cap(b) <= keepRequest {
		requests.Put(buf)
	}
	return err
}

// cutoff bounds the time of a call. The call's own deadline and a cancel hold until
// it has ended, whatever has come of an answer by then.
type cutoff struct {
	conn   net.Conn
	by     time.Time
	linger time.Duration
	mu     sync.Mutex
	off    bool // cancelled
	comes  bool // the answer has begun to come
	given  bool // given up: no more than the linger time is left
}

func (l *cutoff) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off = true; !l.given {
		l.conn.SetDeadline(l.cancelled())
	}
}

// cancelled is until when a call that is called off is read: an answer that has begun
// counts, if the rest of it comes in a moment, for it may tell a wait.
func (l *cutoff) cancelled() time.Time {
	if l.comes {
		return time.Now().Add(l.linger)
	}
	return time.Now().Add(-time.Second)
}

// wait gives what comes next so much time at most, or if 0 all that the call has.
func (l *cutoff) wait(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.comes = l.comes || d > 0
	switch at := time.Now().Add(d); {
	case l.given:
	case l.off:
		l.conn.SetDeadline(l.cancelled())
	case d == 0 || at.After(l.by.Add(l.linger)):
		if d > 0 {
			l.conn.SetDeadline(l.by.Add(l.linger))
			return
		}
		l.conn.SetDeadline(l.by)
	default:
		l.conn.SetDeadline(at)
	}
}

// giveUp tells the endpoint that the call is given up, by the end of our sending, and
// leaves it a moment to see that: a next call must not meet this one. An answer that is
// on its way counts.
func (l *cutoff) giveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given = true
	var conn net.Conn = l.conn
	if c, ok := conn.(*idleConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	l.conn.SetDeadline(time.Now().Add(l.linger))
}

// outcome is that of a call without an answer in time.
func (l *cutoff) outcome() logic.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off {
		return logic.Cancelled
	}
	return logic.TimedOut
}

// over says whether the connection may be of no more use: it is given up, or a cancel may touch it yet.
func (l *cutoff) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.given || l.off
}

// from is the dialer for connections from the set source.
func (c *Transport) from() *net.Dialer {
	d := c.dialer
	if c.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.SourceIP}
		d.Control = func(_, _ string, raw syscall.RawConn) error { // else a port is used up for each connection, whomever it is to
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindNoPort, 1) })
		}
	}
	return &d
}

// bindNoPort is IP_BIND_ADDRESS_NO_PORT of ip(7).
const bindNoPort = 24

// connect takes a kept connection or makes one.
func (c *Transport) connect(ctx context.Context, in *core.Attempt, deadline time.Time) (*idleConn, error) {
	if conn := c.take(in); conn != nil {
		return conn, nil
	}
	if !c.reserve() {
		return nil, errNoRoom
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.from().DialContext(ctx, "tcp", in.Addr)
	if err != nil {
		c.unreserve()
		return nil, err
	}
	limit := &io.LimitedReader{R: conn}
	return &idleConn{Conn: conn, r: bufio.NewReader(limit), limit: limit, addr: in.Addr}, nil
}

// ownFault says whether a connection failed for want of something at this end, which tells nothing of the endpoint.
func ownFault(err error) bool {
	for _, own := range []error{errNoRoom, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// reserve takes a place for a connection; an idle one makes room for it.
func (c *Transport) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.most.Open && !c.closeOldest() {
		return false
	}
	c.open++
	return true
}

func (c *Transport) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// drop closes a connection that carries a call.
func (c *Transport) drop(conn *idleConn) {
	conn.Close()
	c.unreserve()
}

// The rest is about idle connections. What is named close… is called under the lock.

func (c *Transport) closeIdle(conn *idleConn) {
	conn.Close()
	c.count--
	c.open--
}

func (c *Transport) closeOldest() bool {
	var from logic.EndpointID
	var oldest *idleConn
	for ep, list := range c.idle {
		if oldest == nil || list[0].since.Before(oldest.since) {
			from, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.keep(from, c.idle[from][1:])
	c.closeIdle(oldest)
	return true
}

// keep sets the idle connections to ep, in the order in which they became idle.
func (c *Transport) keep(ep logic.EndpointID, list []*idleConn) {
	if len(list) == 0 {
		delete(c.idle, ep)
	} else {
		c.idle[ep] = list
	}
}

// take returns the kept connection to ep that was used last, if it is still good. One
// whose last answer came just now is left: more may be on its way behind that.
func (c *Transport) take(in *core.Attempt) *idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep, addr := in.Endpoint, in.Addr
	if in.Unrepeatable && time.Since(c.brokeAt) < brokeTime {
		return nil
	}
	list := slices.Clone(c.idle[ep])
	defer func() { c.keep(ep, list) }()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if time.Since(conn.since) < c.settle {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if conn.addr == addr && c.good(conn) {
			c.count--
			return conn
		}
		c.closeIdle(conn)
	}
	return nil
}

// good says whether a kept connection may carry a call: neither about to be closed
// for its age nor closed already, nor with an answer on it that nobody asked for.
func (c *Transport) good(conn *idleConn) bool {
	margin := max(min(idleMargin, c.idleTime/4), permit.MinRemaining) // the process may be held up before it writes
	if time.Since(conn.since) > c.idleTime-margin {
		return false
	}
	alive, data := netutil.Peek(conn.Conn)
	return alive && !data
}

// put keeps a connection for the next call; false if there is no room.
func (c *Transport) put(ep logic.EndpointID, conn *idleConn) bool {
	conn.since = time.Now()
	return c.putBack(ep, conn)
}

// putBack keeps a connection on which no call was made after all: it has been idle for as
// long as before, to its endpoint too. It is false if there is no room.
func (c *Transport) putBack(ep logic.EndpointID, conn *idleConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[ep]
	if len(list) >= c.most.PerEndpoint || c.count >= c.most.Idle {
		return false
	}
	if conn.since.IsZero() { // new
		conn.since = time.Now()
	}
	conn.SetDeadline(time.Time{})
	at, _ := slices.BinarySearchFunc(list, conn.since, func(x *idleConn, since time.Time) int { return x.since.Compare(since) })
	c.idle[ep] = slices.Insert(list, at, conn)
	c.count++
	return true
}

// CloseIdle closes the kept connections to ep.
func (c *Transport) CloseIdle(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		c.closeIdle(conn)
	}
	delete(c.idle, ep)
}

// CloseStale closes kept connections that are no good any more.
func (c *Transport) CloseStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		var kept []*idleConn
		for _, conn := range list {
			if c.good(conn) {
				kept = append(kept, conn)
			} else {
				c.closeIdle(conn)
			}
		}
		c.keep(ep, kept)
	}
}

// appendDeliver appends the request that hands m to an endpoint. It is written by
// hand: building and writing net/http's took a seventh of the processor time of an
// attempt. Ids and keys have been checked to be visible ASCII.
func appendDeliver(b []byte, m *message.Message, addr string, giveUp time.Duration) []byte {
	b = append(b, "POST /inbox HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Trace-Id: "...)
	b = append(b, m.ID...)
	if m.Key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, m.Key...)
	}
	b = append(b, "\r\nX-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(giveUp.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// appendProbe appends the request that asks an endpoint whether it is well.
func appendProbe(b []byte, addr string) []byte {
	b = append(b, "GET /alive HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	return append(b, "\r\n\r\n"...)
}

// requests keeps buffers for the next requests.
var requests = sync.Pool{New: func() any { return new([]byte) }}

// keepRequest is the largest buffer that is kept.
const keepRequest = 8 << 10
