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

// places bounds the connections. When all are taken, the one that package room picks
// makes room; if there is none, the new one is closed.
type places struct {
	most  int
	mu    sync.Mutex
	conns map[net.Conn]place
}

// place is one connection.
type place struct {
	since time.Time // when it became idle, or was made
	busy  bool
	done  bool // it has had an answer
}

// take gives a new connection a place; false if there is none.
func (p *places) take(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.most && !p.evict() {
		return false
	}
	p.conns[c] = place{since: time.Now()}
	return true
}

// release closes the idlest connection, if one may go.
func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict()
}

// evict closes the idlest connection that owes nothing and on which nothing has come. It
// is called under the lock.
func (p *places) evict() bool {
	list, conns := make([]net.Conn, 0, len(p.conns)), make([]room.Conn, 0, len(p.conns))
	for c, x := range p.conns {
		list, conns = append(list, c), append(conns, room.Conn{IdleSince: x.since, Busy: x.busy, Answered: x.done})
	}
	for len(list) > 0 {
		i := room.PickVictim(conns, p.most)
		if i < 0 {
			return false
		}
		_, unread := netutil.Peek(list[i])
		if permit.Close(permit.Connection{Unread: unread}) == permit.Granted {
			delete(p.conns, list[i])
			list[i].Close()
			return true
		}
		list, conns = slices.Delete(list, i, i+1), slices.Delete(conns, i, i+1)
	}
	return false
}

// note follows the server's connections.
func (p *places) note(c net.Conn, state http.ConnState) {
	type wrapped interface{ NetConn() net.Conn }
	if w, ok := c.(wrapped); ok { // under TLS
		c = w.NetConn()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.conns[c]; !ok {
		return
	}
	switch state {
	case http.StateActive:
		p.conns[c] = place{since: time.Now(), busy: true}
	case http.StateIdle:
		p.conns[c] = place{since: time.Now(), done: true}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// listener hands out connections that have a place.
type listener struct {
	netutil.Acceptor
	places *places
}

func newListener(ln net.Listener, p *places, log *slog.Logger) *listener {
	return &listener{netutil.Acceptor{Listener: ln, Log: log, Release: p.release}, p}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Acceptor.Accept()
		if err != nil {
			return nil, err
		}
		if l.places.take(c) {
			return c, nil
		}
		c.Close()
	}
}
