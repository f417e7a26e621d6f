package resp

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/core"
	"cometrack/internal/front/room"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

const (
	// finalResponseTimeout is how long Shutdown waits, after the front has stopped reading, for the responses to
	// requests that were read before. It exceeds the longest stall of the process that the rules allow for.
	finalResponseTimeout = permit.MaxStall + 100*time.Millisecond
	maxPipelined         = 16 // queued responses of one connection
	// smallRequestBytes is the size up to which a request needs no slot for large requests.
	smallRequestBytes = 4 << 10
	// maxRequestBytes is the largest size of a request: a body, and the other arguments.
	maxRequestBytes = message.MaxBody + smallRequestBytes
)

// Core accepts messages and returns their states. [core.Core] implements it.
type Core interface {
	Clock() *clock.Clock
	Check(m *message.Message, timeLeft time.Duration) error
	Submit(m *message.Message, result chan<- core.SubmitResponse)
	State(ctx context.Context, id string, wait bool) (core.State, error)
}

// Options configure a front.
type Options struct {
	Listen            string // TCP address, host:port
	MaxConnections    int    // active connections at once; the idlest one is closed to make room for a new one
	MaxLingering      int    // further connections that the front has closed and their clients have not; at least 1
	LargeRequestBytes int64  // memory for large requests that have no response yet, in bytes
	// NumericPartners requires partner names to be numbers, as they are on the platform.
	NumericPartners bool
	// Tenant returns the tenant of a token. If it is nil, clients need no token and may submit for any tenant.
	Tenant func(token string) (tenant string, ok bool)
	// Withdraw ends an accepted message that was not tried, because its client has left without the response, and reports
	// whether it has. mayBeRead is whether the client may have read the response. It is nil where clients hand a message in
	// again under the same ID.
	Withdraw func(id string, mayBeRead bool) bool
	// Ready reports whether PING is answered positively; nil for always.
	Ready   func() bool
	Monitor *permit.Monitor // counts connections closed with a request unanswered; nil for none
	Log     *slog.Logger
}

// Front serves clients that speak RESP2. The number of connections is bounded; the idlest one is closed to make room
// for a new one.
type Front struct {
	core           Core
	opts           Options
	log            *slog.Logger
	ln             net.Listener
	largeSlots     chan struct{} // holds an element for each large request that has no response yet
	mu             sync.Mutex
	limits         room.Limits
	sessions       map[*session]struct{}
	lingering      int               // the sessions that linger
	shuttingDown   bool              // no connection is admitted, and existing ones are closed
	draining       bool              // connections are closed between requests
	shortDeadlines bool              // a request that is arriving gets drainTimeout at most
	readingStopped atomic.Bool       // the process ends: nothing more is read from connections
	acceptor       *netutil.Acceptor // nil before Serve
	acceptDone     chan struct{}     // closed when Serve has stopped accepting; nil before Serve
	wg             sync.WaitGroup
}

// New returns a front that submits messages to c.
func New(c Core, opts Options) *Front {
	return &Front{core: c, opts: opts, log: opts.Log, sessions: map[*session]struct{}{},
		limits:     room.Limits{Active: opts.MaxConnections, Lingering: max(opts.MaxLingering, 1)},
		largeSlots: make(chan struct{}, max(int(opts.LargeRequestBytes/maxRequestBytes), 8))}
}

// Listen opens the listener unless the front has adopted one.
func (c *Front) Listen() (err error) {
	if c.ln == nil {
		c.ln, err = net.Listen("tcp", c.opts.Listen)
	}
	return err
}

// AdoptListener makes the front use a listener inherited from another process. It reports whether the listener has
// the front's address.
func (c *Front) AdoptListener(ln net.Listener) bool {
	if !netutil.MatchesAddr(c.opts.Listen, ln.Addr()) {
		return false
	}
	c.ln = ln
	return true
}

// Listener returns the front's listener.
func (c *Front) Listener() net.Listener { return c.ln }

// Addr returns the address of the listener.
func (c *Front) Addr() net.Addr { return c.ln.Addr() }

// CloseListener stops accepting connections once those that are queued in the listener have been accepted.
func (c *Front) CloseListener() {
	c.mu.Lock()
	a := c.acceptor
	c.mu.Unlock()
	if a == nil {
		c.ln.Close()
		return
	}
	a.Drain()
}

// Serve accepts connections until the listener is closed.
func (c *Front) Serve() {
	ln, acceptDone := c.ln, make(chan struct{})
	c.mu.Lock()
	c.acceptDone = acceptDone
	c.mu.Unlock()
	defer close(acceptDone)
	a := &netutil.Acceptor{Listener: ln, Log: c.log, Release: c.releaseDescriptor}
	c.mu.Lock()
	c.acceptor = a
	c.mu.Unlock()
	for {
		conn, err := a.Accept()
		if err != nil {
			return
		}
		s := &session{front: c, conn: conn, openedAt: time.Now()}
		s.idleSince = s.openedAt
		if !netutil.AwaitAdmission(func() bool { return c.admit(s) }, c.isShuttingDown) {
			c.refuse(conn)
			continue
		}
		go func() {
			defer c.wg.Done()
			s.serve()
			conn.Close()
			c.remove(s)
			s.logClosed()
		}()
	}
}

// DisableKeepAlives sets whether connections are closed between requests.
func (c *Front) DisableKeepAlives(disable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shuttingDown || c.draining == disable {
		return
	}
	if c.draining = disable; disable {
		c.wakeReaders()
	}
}

// wakeReaders shortens the read deadlines of all connections to those of a drain. A reader whose deadline passes still
// serves a request that has begun to arrive. The caller holds the lock.
func (c *Front) wakeReaders() {
	for s := range c.sessions {
		at := time.Now()
		firstBy := s.openedAt.Add(drainFirstTimeout)
		switch {
		case s.writeClosed:
			at = at.Add(drainTimeout)
		case s.pending > 0 && !c.shortDeadlines: // a request may be arriving and keeps its deadline
			continue
		case s.pending > 0:
			at = at.Add(drainTimeout)
		case !c.shortDeadlines && !s.served && firstBy.After(at):
			at = firstBy
		}
		s.conn.SetReadDeadline(at)
	}
}

// Shutdown closes each connection when it has no pending request, and returns when all are closed. With
// shortDeadlines, requests that are arriving get a short time to be complete. Once ctx is done nothing more is read,
// and Shutdown returns when every request that was read has its response, or after a bounded time.
func (c *Front) Shutdown(ctx context.Context, shortDeadlines bool) {
	c.mu.Lock()
	acceptDone := c.acceptDone
	c.mu.Unlock()
	if acceptDone != nil { // serve every connection that was accepted
		select {
		case <-acceptDone:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	c.shuttingDown, c.draining, c.shortDeadlines = true, true, shortDeadlines
	c.wakeReaders()
	c.mu.Unlock()
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	// The remaining clients have sent requests without a pause. Finish those that were read, and read no more.
	c.readingStopped.Store(true)
	c.mu.Lock()
	for s := range c.sessions {
		at := time.Now()
		if s.writeClosed {
			at = at.Add(finalLingerTimeout)
		}
		s.conn.SetReadDeadline(at)
	}
	c.mu.Unlock()
	select {
	case <-done:
	case <-time.After(finalResponseTimeout):
		c.reportUnanswered()
	}
}

// reportUnanswered counts a violation for each connection with complete requests that get no response because the
// process ends.
func (c *Front) reportUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		unanswered := s.pending
		if s.partial {
			unanswered--
		}
		if unanswered > 0 {
			c.opts.Monitor.CountViolation(permit.ClosedUnanswered, s.conn.RemoteAddr().String(),
				"requests", unanswered, "reason", string(closedProcessEnds))
		}
	}
}

// isDraining reports whether connections are closed between requests.
func (c *Front) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}
