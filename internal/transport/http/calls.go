package httptransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/permit"
	"cometrack/logic"
)

const probeTimeout = 1500 * time.Millisecond

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
