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
	"cometrack/internal/permit"
)

// connections bounds the number of connections. At the limit, the connection that package room picks is closed to make
// room for a new one; if there is none, the new one is closed.
type connections struct {
	limit int
	mu    sync.Mutex
	conns map[net.Conn]connectionState
}

// connectionState is the state of one connection.
type connectionState struct {
	idleSince time.Time // when its last request ended, or when it was accepted
	busy      bool
	answered  bool // it has had a response
}

// add registers a new connection, and reports whether there was room.
func (cs *connections) add(c net.Conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.conns) >= cs.limit && !cs.evictIdlest() {
		return false
	}
	cs.conns[c] = connectionState{idleSince: time.Now()}
	return true
}

// releaseDescriptor closes the idlest connection, if one may be closed, to free its file descriptor.
func (cs *connections) releaseDescriptor() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evictIdlest()
}

// evictIdlest closes the idlest connection without a pending request or unread bytes, and reports whether there was
// one. The caller holds the lock.
func (cs *connections) evictIdlest() bool {
	list, conns := make([]net.Conn, 0, len(cs.conns)), make([]room.Conn, 0, len(cs.conns))
	for c, x := range cs.conns {
		list, conns = append(list, c), append(conns, room.Conn{IdleSince: x.idleSince, Busy: x.busy, Answered: x.answered})
	}
	for len(list) > 0 {
		i := room.PickVictim(conns, cs.limit)
		if i < 0 {
			return false
		}
		_, unread := netutil.Peek(list[i])
		if permit.Close(permit.Connection{Unread: unread}) == permit.Granted {
			delete(cs.conns, list[i])
			list[i].Close()
			return true
		}
		list, conns = slices.Delete(list, i, i+1), slices.Delete(conns, i, i+1)
	}
	return false
}

// trackState follows the states of the server's connections.
func (cs *connections) trackState(c net.Conn, state http.ConnState) {
	type wrapped interface{ NetConn() net.Conn }
	if w, ok := c.(wrapped); ok { // under TLS
		c = w.NetConn()
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if _, ok := cs.conns[c]; !ok {
		return
	}
	switch state {
	case http.StateActive:
		cs.conns[c] = connectionState{idleSince: time.Now(), busy: true}
	case http.StateIdle:
		cs.conns[c] = connectionState{idleSince: time.Now(), answered: true}
	case http.StateClosed, http.StateHijacked:
		delete(cs.conns, c)
	}
}

// listener accepts connections within their limit.
type listener struct {
	netutil.Acceptor
	connections *connections
}

// newListener returns a listener that frees a connection when descriptors run out.
func newListener(ln net.Listener, cs *connections, log *slog.Logger) *listener {
	return &listener{netutil.Acceptor{Listener: ln, Log: log, Release: cs.releaseDescriptor}, cs}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Acceptor.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.add(c) {
			return c, nil
		}
		c.Close()
	}
}
