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
	closeLinger      = 50 * time.Millisecond  // time for the endpoint to notice that a call is abandoned
	idleMargin       = 500 * time.Millisecond // a connection is not reused this close to its idle timeout
	minReuseDelay    = 20 * time.Millisecond  // between a response and reuse, for unrequested bytes to show
	brokenConnWindow = 5 * time.Second        // after a reused connection broke, unrepeatable calls dial new ones
	minSilence       = time.Second            // a call cancelled after this time without a response counts as unanswered
	probeTimeout     = 1500 * time.Millisecond
)

// persistentConn is a connection to an endpoint that carries one call at a time and is idle between calls.
type persistentConn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *io.LimitedReader
	addr      string
	idleSince time.Time // when it last became idle; zero if it never was
}

// errConnLimit reports that the limit of open connections is reached and no idle one can be closed.
var errConnLimit = errors.New("limit of open connections reached")

// Limits bounds the number of connections to endpoints.
type Limits struct {
	Open        int // connections, including idle ones
	Idle        int // connections that carry no call
	PerEndpoint int // idle connections to one endpoint; at least 1
}

// Transport makes calls over persistent connections. It never resends a request, and
// it records whether the last byte was written, which separates attempts that never
// ran from attempts that may have run. net/http's transport does neither.
type Transport struct {
	// LoadMetrics names the values of the load reports that responses may carry, in the
	// order of [core.Result.Load]; empty if there are none. It is set before first use.
	LoadMetrics []string

	// SourceIP is the local address of outgoing connections; nil lets the kernel choose.
	// It is set before first use.
	SourceIP net.IP

	// UseRetryAfter makes Retry-After (RFC 9110, section 10.2.3) on 429 and 503 a requested
	// wait if X-Come-Back-Ms names none. It is set before first use.
	UseRetryAfter bool

	dialer       net.Dialer
	linger       time.Duration
	reuseDelay   time.Duration
	idleTimeout  time.Duration
	limits       Limits
	mu           sync.Mutex
	idle         map[logic.EndpointID][]*persistentConn
	idleCount    int       // idle connections
	openCount    int       // connections, including those being established
	lastBrokenAt time.Time // when a reused connection last broke during a call
}

// New returns a transport. A connection must be established within connectTimeout and is
// not reused once it has been idle for idleTimeout.
func New(connectTimeout, idleTimeout time.Duration, limits Limits) *Transport {
	limits.PerEndpoint = max(limits.PerEndpoint, 1)
	return &Transport{dialer: net.Dialer{Timeout: connectTimeout}, linger: closeLinger, reuseDelay: minReuseDelay,
		idleTimeout: idleTimeout, limits: limits, idle: map[logic.EndpointID][]*persistentConn{}}
}

// Attempt makes a call that delivers a message to an endpoint.
func (c *Transport) Attempt(ctx context.Context, a *core.Attempt) core.Result {
	return c.single(ctx, a, a.Timeout)
}

// single makes a call with one message that times out after timeout.
func (c *Transport) single(ctx context.Context, a *core.Attempt, timeout time.Duration) core.Result {
	head := &core.Attempt{Endpoint: a.Endpoint, Addr: a.Addr, Unrepeatable: a.Unrepeatable, Timeout: timeout}
	return c.roundTrip(ctx, request{Attempt: head, begin: a.Begin, written: a.MarkWritten, denialReason: a.Reason,
		appendTo: func(b []byte, remaining time.Duration) []byte {
			return appendDeliver(b, a.Message, a.Addr, remaining)
		}})
}

// Probe makes a health check call to an endpoint.
func (c *Transport) Probe(ctx context.Context, ep logic.EndpointID, addr string) logic.Outcome {
	a := &core.Attempt{Endpoint: ep, Addr: addr, Timeout: probeTimeout}
	return c.roundTrip(ctx, request{Attempt: a, begin: a.Begin, written: a.MarkWritten, denialReason: a.Reason,
		appendTo: func(b []byte, _ time.Duration) []byte { return appendProbe(b, addr) }}).Outcome
}

// request describes one call. Its attempt holds the endpoint, the timeout and whether the call may be repeated.
// appendTo gets the time that remains for the response.
type request struct {
	*core.Attempt
	begin        func() bool                                    // before the first byte; reports whether to send
	denialReason func() permit.Reason                           // why begin denied it
	appendTo     func(b []byte, remaining time.Duration) []byte // appends the request; called after begin
	written      func()                                         // right after the last byte
	body         *bytes.Buffer                                  // receives the response body; nil ignores it
}

// roundTrip makes a call. Cancelling ctx cancels it.
func (c *Transport) roundTrip(ctx context.Context, req request) core.Result {
	deadline := time.Now().Add(req.Timeout)
	conn, err := c.connect(ctx, req.Attempt, deadline)
	if !req.begin() {
		if err == nil && !c.returnIdle(req.Endpoint, conn) {
			c.discard(conn)
		}
		if err != nil && !isLocalError(err) && req.denialReason() == permit.Cancelled {
			return core.Result{Outcome: logic.ConnectionRefused} // not accepted by the endpoint before the cancel
		}
		return core.Result{Outcome: logic.NotSent}
	}
	if err != nil {
		if isLocalError(err) {
			return core.Result{Outcome: logic.NotSent, LocalFailure: true}
		}
		return core.Result{Outcome: logic.ConnectionRefused}
	}
	timer := &callTimer{conn: conn, startedAt: time.Now(), deadline: deadline, linger: c.linger}
	stop := context.AfterFunc(ctx, timer.cancel)
	timer.limitRead(0)
	if err := send(conn, req, time.Until(deadline)); err != nil {
		stop()
		c.discard(conn)
		return core.Result{Outcome: logic.ConnectionRefused} // the last byte was not written, so it never ran
	}
	req.written()
	conn.limit.N = maxResponseBytes
	r, keep := readResponse(conn.reader, timer, c.LoadMetrics, c.UseRetryAfter, req.body)
	if r.Outcome == logic.ConnectionBroken && !conn.idleSince.IsZero() {
		c.mu.Lock()
		c.lastBrokenAt = time.Now()
		c.mu.Unlock()
	}
	if !conn.idleSince.IsZero() && timer.unanswered(r.Outcome) {
		c.closeIdleBefore(req.Endpoint, timer.startedAt)
	}
	if conn.limit.N <= 0 && r.Outcome != logic.Completed {
		r = core.Result{Outcome: logic.InvalidResponse} // longer than the limit
	}
	if !stop() || !keep || timer.aborted() || !c.keepIdle(req.Endpoint, conn) {
		c.discard(conn)
	}
	return r
}

// send writes a request with one call of Write.
func send(conn net.Conn, req request, remaining time.Duration) error {
	buf := requestBuffers.Get().(*[]byte)
	b := req.appendTo((*buf)[:0], remaining)
	_, err := conn.Write(b)
	if *buf = b; cap(b) <= maxPooledBuffer {
		requestBuffers.Put(buf)
	}
	return err
}

// callTimer sets the read deadlines of a call. The call's own deadline and a cancel
// apply until the call has ended, however much of the response has been read.
type callTimer struct {
	conn       net.Conn
	startedAt  time.Time
	deadline   time.Time
	linger     time.Duration
	mu         sync.Mutex
	cancelled  bool
	responding bool // the response has begun to arrive
	abandoned  bool // the write side is closed and at most the linger time remains
}

// cancel cancels the call.
func (l *callTimer) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled = true; !l.abandoned {
		l.conn.SetDeadline(l.cancelDeadline())
	}
}

// cancelDeadline returns the read deadline of a cancelled call. A response that has begun
// counts if the rest arrives within the linger time, since it may carry a requested wait.
func (l *callTimer) cancelDeadline() time.Time {
	if l.responding {
		return time.Now().Add(l.linger)
	}
	return time.Now().Add(-time.Second)
}

// limitRead sets the deadline of the next reads to d from now, or to the call's own deadline if d is 0.
func (l *callTimer) limitRead(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responding = l.responding || d > 0
	switch at := time.Now().Add(d); {
	case l.abandoned:
	case l.cancelled:
		l.conn.SetDeadline(l.cancelDeadline())
	case d == 0 || at.After(l.deadline.Add(l.linger)):
		if d > 0 {
			l.conn.SetDeadline(l.deadline.Add(l.linger))
			return
		}
		l.conn.SetDeadline(l.deadline)
	default:
		l.conn.SetDeadline(at)
	}
}

// abandon gives the call up: it closes the write side to signal that to the endpoint and
// allows the linger time for it, so that the next attempt doesn't overlap with this one.
// A response that arrives meanwhile counts.
func (l *callTimer) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
	var conn net.Conn = l.conn
	if c, ok := conn.(*persistentConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	l.conn.SetDeadline(time.Now().Add(l.linger))
}

// abortOutcome returns the outcome of a call without a response in time.
func (l *callTimer) abortOutcome() logic.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled {
		return logic.Cancelled
	}
	return logic.TimedOut
}

// unanswered reports whether no byte of a response came in the time of a call with this outcome, or until it was
// cancelled after minSilence.
func (l *callTimer) unanswered(outcome logic.Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responding {
		return false
	}
	return outcome == logic.TimedOut || outcome == logic.Cancelled && time.Since(l.startedAt) >= minSilence
}

// aborted reports whether the connection can't be reused, because the call was abandoned or a cancel may still
// change its deadline.
func (l *callTimer) aborted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abandoned || l.cancelled
}

// newDialer returns the dialer for connections from SourceIP.
func (c *Transport) newDialer() *net.Dialer {
	d := c.dialer
	if c.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.SourceIP}
		// Without this option each connection uses up a local port, whatever its destination.
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, bindNoPort, 1) })
		}
	}
	return &d
}

// bindNoPort is the socket option IP_BIND_ADDRESS_NO_PORT, see ip(7).
const bindNoPort = 24

// connect returns an idle connection or dials a new one.
func (c *Transport) connect(ctx context.Context, attempt *core.Attempt, deadline time.Time) (*persistentConn, error) {
	if conn := c.takeIdle(attempt); conn != nil {
		return conn, nil
	}
	if !c.reserve() {
		return nil, errConnLimit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.newDialer().DialContext(ctx, "tcp", attempt.Addr)
	if err != nil {
		c.unreserve()
		return nil, err
	}
	limit := &io.LimitedReader{R: conn}
	return &persistentConn{Conn: conn, reader: bufio.NewReader(limit), limit: limit, addr: attempt.Addr}, nil
}

// isLocalError reports whether a connection failed for lack of a local resource, which indicates nothing about the
// endpoint.
func isLocalError(err error) bool {
	for _, local := range []error{errConnLimit, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// reserve counts a new connection against the limit, closing the oldest idle one if needed. It reports whether there is
// room.
func (c *Transport) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount >= c.limits.Open && !c.closeOldest() {
		return false
	}
	c.openCount++
	return true
}

// unreserve gives back what reserve counted.
func (c *Transport) unreserve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openCount--
}

// discard closes a connection that is not in the list of idle ones.
func (c *Transport) discard(conn *persistentConn) {
	conn.Close()
	c.unreserve()
}

// closeIdle closes an idle connection, which the caller removes from its list. c.mu must be held.
func (c *Transport) closeIdle(conn *persistentConn) {
	conn.Close()
	c.idleCount--
	c.openCount--
}

// closeOldest closes the connection that has been idle for longest and reports whether there was one. c.mu must be
// held.
func (c *Transport) closeOldest() bool {
	var from logic.EndpointID
	var oldest *persistentConn
	for ep, list := range c.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			from, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.setIdle(from, c.idle[from][1:])
	c.closeIdle(oldest)
	return true
}

// setIdle sets the idle connections to ep, ordered by the time at which they became idle. c.mu must be held.
func (c *Transport) setIdle(ep logic.EndpointID, list []*persistentConn) {
	if len(list) == 0 {
		delete(c.idle, ep)
	} else {
		c.idle[ep] = list
	}
}

// takeIdle returns the most recently used connection to the endpoint that is still reusable, or nil. It skips one
// whose last response arrived less than the reuse delay ago, since unrequested bytes may follow.
func (c *Transport) takeIdle(attempt *core.Attempt) *persistentConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep, addr := attempt.Endpoint, attempt.Addr
	if attempt.Unrepeatable && time.Since(c.lastBrokenAt) < brokenConnWindow {
		return nil
	}
	list := slices.Clone(c.idle[ep])
	defer func() { c.setIdle(ep, list) }()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if time.Since(conn.idleSince) < c.reuseDelay {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if conn.addr == addr && c.reusable(conn) {
			c.idleCount--
			return conn
		}
		c.closeIdle(conn)
	}
	return nil
}

// reusable reports whether an idle connection may carry a call: it is not close to its
// idle timeout, not closed by the endpoint, and has no unrequested response on it.
func (c *Transport) reusable(conn *persistentConn) bool {
	margin := max(min(idleMargin, c.idleTimeout/4), permit.MinRemaining) // the process may be paused before it writes
	if time.Since(conn.idleSince) > c.idleTimeout-margin {
		return false
	}
	alive, data := netutil.Peek(conn.Conn)
	return alive && !data
}

// keepIdle keeps a connection for the next call and reports whether there was room.
func (c *Transport) keepIdle(ep logic.EndpointID, conn *persistentConn) bool {
	conn.idleSince = time.Now()
	return c.returnIdle(ep, conn)
}

// returnIdle keeps a connection that carried no call and reports whether there was room. Its
// idle time goes on, as it does at the endpoint, which received nothing.
func (c *Transport) returnIdle(ep logic.EndpointID, conn *persistentConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[ep]
	if len(list) >= c.limits.PerEndpoint || c.idleCount >= c.limits.Idle {
		return false
	}
	if conn.idleSince.IsZero() { // new
		conn.idleSince = time.Now()
	}
	conn.SetDeadline(time.Time{})
	at, _ := slices.BinarySearchFunc(list, conn.idleSince, func(x *persistentConn, idleSince time.Time) int { return x.idleSince.Compare(idleSince) })
	c.idle[ep] = slices.Insert(list, at, conn)
	c.idleCount++
	return true
}

// closeIdleBefore closes the idle connections to ep whose last response came before a call began that got no answer.
// They were open together with the connection of that call, and may be silent together with it.
func (c *Transport) closeIdleBefore(ep logic.EndpointID, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[ep] // in the order of their last responses
	count := 0
	for count < len(list) && list[count].idleSince.Before(began) {
		c.closeIdle(list[count])
		count++
	}
	c.setIdle(ep, list[count:])
}

// CloseIdle closes the idle connections to ep.
func (c *Transport) CloseIdle(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		c.closeIdle(conn)
	}
	delete(c.idle, ep)
}

// CloseStale closes idle connections that are no longer reusable.
func (c *Transport) CloseStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		var kept []*persistentConn
		for _, conn := range list {
			if c.reusable(conn) {
				kept = append(kept, conn)
			} else {
				c.closeIdle(conn)
			}
		}
		c.setIdle(ep, kept)
	}
}

// appendDeliver appends the request that delivers m to an endpoint. It doesn't use
// net/http, whose building and writing of the request took a seventh of the CPU time of
// an attempt. IDs and keys have been validated as visible ASCII.
func appendDeliver(b []byte, m *message.Message, addr string, timeout time.Duration) []byte {
	b = append(b, "POST /inbox HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Trace-Id: "...)
	b = append(b, m.ID...)
	if m.Key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, m.Key...)
	}
	b = append(b, "\r\nX-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// appendProbe appends the health check request to an endpoint.
func appendProbe(b []byte, addr string) []byte {
	b = append(b, "GET /alive HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	return append(b, "\r\n\r\n"...)
}

// requestBuffers holds buffers for requests.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBuffer is the largest buffer in bytes that goes back to requestBuffers.
const maxPooledBuffer = 8 << 10
