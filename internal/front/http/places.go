package httpfront

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// silentPart of all connections may be ones that have asked nothing.
const silentPart = 0.75

// places bounds the connections. When all are taken, the idlest one without a
// request makes room: of those that have had an answer first, since one that has
// asked nothing yet is about to, unless such ones have taken most places. If there
// is none, the new one is closed.
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

// evict closes the idlest connection. It is called under the lock.
func (p *places) evict() bool {
	var idlest, silent net.Conn
	n := 0
	for c, x := range p.conns {
		switch {
		case x.busy:
		case x.done:
			if idlest == nil || x.since.Before(p.conns[idlest].since) {
				idlest = c
			}
		default:
			if n++; silent == nil || x.since.Before(p.conns[silent].since) {
				silent = c
			}
		}
	}
	if idlest == nil || float64(n) > silentPart*float64(p.most) {
		idlest = cmp.Or(silent, idlest)
	}
	if idlest == nil {
		return false
	}
	delete(p.conns, idlest)
	idlest.Close()
	return true
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
	net.Listener
	f *Front
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.f.log.Warn("http front: accept", "err", err)
			time.Sleep(acceptPause) // out of descriptors, say: one that closes makes room
			continue
		}
		if l.f.places.take(c) {
			return c, nil
		}
		c.Close()
	}
}
