package httpfront

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cometrack/internal/front/room"
	"cometrack/internal/netutil"
)

// connections bounds the number of connections. At the limit, the connection that package room picks is closed to make
// room for a new one; if there is none, the new one is closed.
type connections struct {
	limit int
	mu    sync.Mutex
	conns map[net.Conn]*connectionState
}

// connectionState is the state of one connection.
type connectionState struct {
	idleSince time.Time // when its last request ended, or when it was accepted
	answered  bool      // it has had a response
	executing bool      // a handler executes a request, and does not wait for the rest of its body
	receiving bool      // a request has begun to arrive, and its head or its body is not complete
	beganAt   time.Time // when that request began to arrive
	lastRead  time.Time // when bytes of it were last received
	hasSlot   bool      // its body has a slot for large bodies
	refused   bool      // nothing more is read from it
}

// newConnections returns the limit of a number of connections.
func newConnections(limit int) *connections {
	return &connections{limit: max(limit, 1), conns: map[net.Conn]*connectionState{}}
}

// roomConn returns the state for package room.
func (x *connectionState) roomConn() room.Conn {
	return room.Conn{IdleSince: x.idleSince, Answered: x.answered, Busy: x.executing, Partial: x.receiving,
		BeganAt: x.beganAt, LastRead: x.lastRead}
}

// add registers a new connection, and reports whether there was room.
func (cs *connections) add(c net.Conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.conns) >= cs.limit && !cs.evictIdlest() {
		return false
	}
	cs.conns[c] = &connectionState{idleSince: time.Now()}
	return true
}

// releaseDescriptor closes the connection that package room picks, if one may be closed, to free its file descriptor.
func (cs *connections) releaseDescriptor() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evictIdlest()
}

// isCrowded reports whether a new connection finds no place unless another one is closed.
func (cs *connections) isCrowded() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.conns) >= cs.limit
}

// evictIdlest closes the connection that package room picks among those without unread bytes, and reports whether there
// was one. The caller holds the lock.
func (cs *connections) evictIdlest() bool {
	list, conns := make([]net.Conn, 0, len(cs.conns)), make([]room.Conn, 0, len(cs.conns))
	for c, x := range cs.conns {
		list, conns = append(list, c), append(conns, x.roomConn())
	}
	for len(list) > 0 {
		i := room.PickVictim(conns, cs.limit, time.Now())
		if i < 0 {
			return false
		}
		if cs.closeToMakeRoom(list[i]) {
			return true
		}
		list, conns = slices.Delete(list, i, i+1), slices.Delete(conns, i, i+1)
	}
	return false
}

// closeSlowLarge closes the connection whose slow request has had a slot for large bodies for longest, if there is one.
// A request whose next bytes have arrived is not slow: the process may have been held up.
func (cs *connections) closeSlowLarge() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var slowest net.Conn
	for c, x := range cs.conns {
		if !x.hasSlot || !x.roomConn().IsSlow(time.Now()) || x.hasUnreadBytes(c) {
			continue
		}
		if slowest == nil || x.beganAt.Before(cs.conns[slowest].beganAt) {
			slowest = c
		}
	}
	if slowest != nil {
		cs.closeToMakeRoom(slowest)
	}
}

// update changes the state of a connection with the lock held, and reports whether it has: not if the connection has been
// closed to make room.
func (cs *connections) update(c net.Conn, change func(x *connectionState)) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	x := cs.conns[c]
	if x != nil {
		change(x)
	}
	return x != nil
}

// noteRead records that bytes of a connection were received. The first ones begin a request.
func (cs *connections) noteRead(c net.Conn) {
	cs.update(c, func(x *connectionState) {
		x.lastRead = time.Now()
		x.beginRequest(x.lastRead)
	})
}

// beginRequest records that a request has begun to arrive, unless that is known.
func (x *connectionState) beginRequest(at time.Time) {
	if !x.executing && !x.receiving {
		x.receiving, x.beganAt, x.lastRead = true, at, at
	}
}

// setRefused records that nothing more is read from a connection. It is closed before all others to make room.
func (cs *connections) setRefused(c net.Conn) {
	cs.update(c, func(x *connectionState) {
		x.refused, x.executing, x.receiving, x.beganAt = true, false, true, time.Time{}
	})
}

// setExecuting records that a handler executes a request of a connection.
func (cs *connections) setExecuting(c net.Conn) {
	cs.update(c, func(x *connectionState) { x.executing, x.receiving = true, false })
}

// setReceivingBody records that the handler of a request waits for the rest of its body, and whether the body has a
// slot for large ones.
func (cs *connections) setReceivingBody(c net.Conn, hasSlot bool) {
	cs.update(c, func(x *connectionState) {
		x.executing, x.receiving, x.beganAt, x.hasSlot = false, true, time.Now(), hasSlot
	})
}

// setBodyReceived records that the body of a request is complete, or that the rest is not read. It reports whether the
// request may be executed: not if its connection was closed to make room.
func (cs *connections) setBodyReceived(c net.Conn) bool {
	return cs.update(c, func(x *connectionState) { x.executing, x.receiving, x.hasSlot = true, false, false })
}

// trackState follows the states of the server's connections.
func (cs *connections) trackState(c net.Conn, state http.ConnState) {
	c = underlying(c)
	switch state {
	case http.StateActive:
		cs.update(c, func(x *connectionState) { x.beginRequest(time.Now()) })
	case http.StateIdle:
		if accepted, ok := c.(*clientConn); ok {
			accepted.expectHead()
		}
		cs.update(c, func(x *connectionState) { *x = connectionState{idleSince: time.Now(), answered: true} })
	case http.StateClosed, http.StateHijacked:
		cs.mu.Lock()
		defer cs.mu.Unlock()
		delete(cs.conns, c)
	}
}

// underlying returns the connection that the listener has accepted, of one that may be under TLS.
func underlying(c net.Conn) net.Conn {
	type wrapped interface{ NetConn() net.Conn }
	if w, ok := c.(wrapped); ok {
		return w.NetConn()
	}
	return c
}

// listener accepts connections within their limit.
type listener struct {
	netutil.Acceptor
	connections *connections
	heads       *headLimiter // nil for no bound: under TLS, where heads can't be told from the bytes received
}

// newListener returns a listener that frees a connection when descriptors run out.
func newListener(ln net.Listener, cs *connections, heads *headLimiter, log *slog.Logger) *listener {
	return &listener{netutil.Acceptor{Listener: ln, Log: log, Release: cs.releaseDescriptor}, cs, heads}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Acceptor.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConn{Conn: accepted, connections: l.connections, heads: l.heads}
		c.plain.Store(l.heads != nil)
		admit := func() bool { return l.connections.add(c) }
		if netutil.AwaitAdmission(admit, func() bool { return false }) {
			return c, nil
		}
		c.Close()
	}
}
