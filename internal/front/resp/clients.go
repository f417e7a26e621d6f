package resp

import (
	"context"
	"log/slog"
	"net"
	"slices"
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
	// lastAnswers is for the answers to what was read before the process ends, though it
	// is held up meanwhile.
	lastAnswers  = permit.MaxStall + 100*time.Millisecond
	maxPipelined = 16 // requests of one connection that wait for their answers
	smallRequest = 4 << 10
	largeRequest = message.MaxBody + smallRequest
)

// Core is what the front hands requests to. [core.Core] is one.
type Core interface {
	Clock() *clock.Clock
	Check(m *message.Message, hold time.Duration) error
	Submit(m *message.Message, answer chan<- core.SubmitResponse)
	State(ctx context.Context, id string, wait bool) (core.State, error)
}

// Options set a front up.
type Options struct {
	Listen            string // address
	MaxConnections    int    // at once that clients may ask on; the idlest makes room for a new one
	MaxLingering      int    // beside them, that are ended and read on until their clients end them; 1 at least
	LargeRequestBytes int64  // bytes that large requests may hold until they are answered
	// NumericPartners says that partners are named by numbers, as on the platform.
	NumericPartners bool
	// Tenant returns the tenant that a token stands for. If it is nil, anybody may
	// submit for any tenant.
	Tenant func(token string) (tenant string, ok bool)
	// Ready says what PING answers; nil for yes.
	Ready   func() bool
	Monitor *permit.Monitor // counts connections that end with a request unanswered; nil for none
	Log     *slog.Logger
}

// Front serves the RESP2 side: it accepts connections within the process's means
// and closes the idlest to make room for new ones.
type Front struct {
	core     Core
	opts     Options
	log      *slog.Logger
	ln       net.Listener
	large    chan struct{} // a place for each large request that is not answered
	mu       sync.Mutex
	places   room.Limits
	sessions map[*session]struct{}
	ending   int               // of them, those that end
	closing  bool              // no new connection is taken, and old ones end
	retiring bool              // connections end between requests
	leaving  bool              // and soon, if a request has begun to come
	over     atomic.Bool       // the process ends: nothing more is read
	acceptor *netutil.Acceptor // nil before Serve
	accepted chan struct{}     // closed when no connection is accepted any more; nil before any is
	wg       sync.WaitGroup
}

// New makes a front for a core.
func New(c Core, opts Options) *Front {
	return &Front{core: c, opts: opts, log: opts.Log, sessions: map[*session]struct{}{},
		places: room.Limits{Active: opts.MaxConnections, Lingering: max(opts.MaxLingering, 1)},
		large:  make(chan struct{}, max(int(opts.LargeRequestBytes/largeRequest), 8))}
}

// Listen opens the listener.
func (c *Front) Listen() (err error) {
	if c.ln == nil {
		c.ln, err = net.Listen("tcp", c.opts.Listen)
	}
	return err
}

// AdoptListener gives the front a listener that another process has listened on, if it is at
// the front's address.
func (c *Front) AdoptListener(ln net.Listener) bool {
	if !netutil.MatchesAddr(c.opts.Listen, ln.Addr()) {
		return false
	}
	c.ln = ln
	return true
}

// Listener is what the front listens on.
func (c *Front) Listener() net.Listener { return c.ln }

// Addr is where the front listens.
func (c *Front) Addr() net.Addr { return c.ln.Addr() }

// CloseListener ends the taking of new clients, but for those that wait to be accepted
// already.
func (c *Front) CloseListener() {
	c.mu.Lock()
	accept := c.acceptor
	c.mu.Unlock()
	if accept == nil {
		c.ln.Close()
		return
	}
	accept.Drain()
}

// Serve accepts connections until the listener is closed.
func (c *Front) Serve() {
	ln, accepted := c.ln, make(chan struct{})
	c.mu.Lock()
	c.accepted = accepted
	c.mu.Unlock()
	defer close(accepted)
	accept := &netutil.Acceptor{Listener: ln, Log: c.log, Release: c.releaseOne}
	c.mu.Lock()
	c.acceptor = accept
	c.mu.Unlock()
	for {
		conn, err := accept.Accept()
		if err != nil {
			return
		}
		s := &session{c: c, conn: conn, opened: time.Now()}
		s.since = s.opened
		if !c.admit(s) {
			conn.Close()
			continue
		}
		go func() {
			defer c.wg.Done()
			s.handle()
			conn.Close()
			c.remove(s)
			s.traceClosed()
		}()
	}
}

// admit takes a connection on, once others have made room for it where package room
// says so; false if none can.
func (c *Front) admit(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for made := true; made && !c.closing; {
		switch c.places.NextAction(len(c.sessions)-c.ending, c.ending) {
		case room.Admit:
			c.sessions[s] = struct{}{}
			c.wg.Add(1)
			return true
		case room.CloseIdle:
			made = c.end()
		case room.AbortLingering:
			made = c.cut()
		}
	}
	return false
}

// releaseOne has a descriptor given back, when there is none for a new connection.
func (c *Front) releaseOne() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut() {
		c.end()
	}
}

// end has the idlest connection end; false if a request is under way on each. Its own
// goroutine ends it, unless a request has come by then. It is called under the lock.
func (c *Front) end() bool {
	s := c.idlest()
	if s == nil {
		return false
	}
	s.leave()
	s.conn.SetReadDeadline(time.Now()) // wakes its reader
	return true
}

// cut closes the connection that has been ending for longest, whatever its client
// does; false if none ends that owes no answer. It is called under the lock.
func (c *Front) cut() bool {
	if c.ending == 0 {
		return false
	}
	list, conns := make([]*session, 0, c.ending), make([]room.Conn, 0, c.ending)
	for s := range c.sessions {
		if !s.left.IsZero() {
			may := permit.Abort(permit.Connection{Unanswered: s.open}) // a request that is being read may be whole by now
			list, conns = append(list, s), append(conns, room.Conn{IdleSince: s.left, Answered: true, Busy: may != permit.Granted})
		}
	}
	i := room.PickVictim(conns, c.places.Active)
	if i < 0 {
		return false
	}
	s := list[i]
	s.cut = true
	delete(c.sessions, s)
	c.ending--
	s.conn.Close()
	return true
}

// idlest picks the live connection that is missed least, by what package room says;
// nil if none may go. One on which a request has come that its reader has not seen
// yet is not idle. It is called under the lock.
func (c *Front) idlest() *session {
	list, conns := make([]*session, 0, len(c.sessions)), make([]room.Conn, 0, len(c.sessions))
	for s := range c.sessions {
		if !s.left.IsZero() || s.buffered || s.open > 1 || s.open == 1 && !s.begun {
			continue // it ends already, or is owed an answer
		}
		list = append(list, s)
		conns = append(conns, room.Conn{IdleSince: s.since, Answered: s.served, Partial: s.begun, LastRead: s.opened.Add(time.Duration(s.heard.Load()))})
	}
	for len(list) > 0 {
		i := room.PickVictim(conns, c.opts.MaxConnections)
		if i < 0 {
			return nil
		}
		if _, data := netutil.Peek(list[i].conn); !data {
			return list[i]
		}
		list, conns = slices.Delete(list, i, i+1), slices.Delete(conns, i, i+1)
	}
	return nil
}

func (c *Front) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.sessions[s]; ok && !s.left.IsZero() {
		c.ending--
	}
	delete(c.sessions, s)
}

// DisableKeepAlives has connections closed between requests, or no longer.
func (c *Front) DisableKeepAlives(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.retiring == on {
		return
	}
	if c.retiring = on; on {
		c.wakeReaders()
	}
}

// wakeReaders wakes the readers, which look for a request that has begun to come. It is
// called under the lock.
func (c *Front) wakeReaders() {
	for s := range c.sessions {
		at := time.Now()
		by := s.opened.Add(firstRetired)
		switch {
		case s.shut:
			at = at.Add(lastRequest)
		case s.open > 0 && !c.leaving: // it may have come in part, and has its time
			continue
		case s.open > 0:
			at = at.Add(lastRequest)
		case !c.leaving && !s.served && by.After(at):
			at = by
		}
		s.conn.SetReadDeadline(at)
	}
}

// Shutdown closes each connection once no request is under way on it, and returns
// when all are closed. Once ctx is over nothing more is read, and it returns as soon
// as all that has been read is answered.
func (c *Front) Shutdown(ctx context.Context, hurry bool) {
	c.mu.Lock()
	accepted := c.accepted
	c.mu.Unlock()
	if accepted != nil { // what has been accepted is served
		select {
		case <-accepted:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	c.closing, c.retiring, c.leaving = true, true, hurry
	c.wakeReaders()
	c.mu.Unlock()
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	// Clients that never paused are here yet. What has been read is answered; nothing more is.
	c.over.Store(true)
	c.mu.Lock()
	for s := range c.sessions {
		at := time.Now()
		if s.shut {
			at = at.Add(lingerLast)
		}
		s.conn.SetReadDeadline(at)
	}
	c.mu.Unlock()
	select {
	case <-done:
	case <-time.After(lastAnswers):
		c.traceUnanswered()
	}
}

// traceUnanswered counts the requests that were read and get no answer, since the
// process ends.
func (c *Front) traceUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		unanswered := s.open
		if s.begun {
			unanswered--
		}
		if unanswered > 0 {
			c.opts.Monitor.CountViolation(permit.ClosedUnanswered, s.conn.RemoteAddr().String(), "requests", unanswered, "reason", string(closedOver))
		}
	}
}

// ends says whether connections are about to end.
func (c *Front) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retiring
}
