package console

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/netutil"
)

const (
	placeTime = 100 * time.Millisecond // for a whole call to give its place back
)

// headEnd ends the head of a call.
var headEnd = []byte("\r\n\r\n")

// places bounds the connections. Callers that hold one with no whole call make
// room for later ones, the longest there first; a whole call is never cut off, be
// it read yet or not.
type places struct {
	most  int
	freed chan struct{} // a place has been given back
	mu    sync.Mutex
	conns map[net.Conn]*place
	n     int // counts connections
}

type place struct {
	n     int    // its place in the order of arrival
	whole bool   // the head of its call has been read whole
	tail  []byte // the last bytes read, shorter than headEnd
}

func newPlaces(most int) *places {
	return &places{most: most, conns: map[net.Conn]*place{}, freed: make(chan struct{}, 1)}
}

// take gives a connection a place; false if whole calls hold all of them.
func (p *places) take(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.most {
		var oldest net.Conn
		for x, at := range p.conns {
			if !at.isWhole(x) && (oldest == nil || at.n < p.conns[oldest].n) {
				oldest = x
			}
		}
		if oldest == nil {
			return false
		}
		delete(p.conns, oldest)
		oldest.Close()
	}
	p.n++
	p.conns[c] = &place{n: p.n}
	return true
}

// isWhole says whether the head of a call has come, though it may not be read yet.
func (at *place) isWhole(c net.Conn) bool {
	if !at.whole {
		var b [maxHead]byte
		n := netutil.PeekInto(c, b[:])
		at.whole = bytes.Contains(append(bytes.Clone(at.tail), b[:n]...), headEnd)
	}
	return at.whole
}

// read notes what has been read on a connection.
func (p *places) read(c net.Conn, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.conns[c]
	if at == nil || at.whole {
		return
	}
	all := append(at.tail, b...)
	at.whole = bytes.Contains(all, headEnd)
	at.tail = bytes.Clone(all[max(len(all)-len(headEnd)+1, 0):])
}

// note takes a place back with the connection.
func (p *places) note(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if x, ok := c.(*conn); ok {
		c = x.Conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// conn is a connection with a place.
type conn struct {
	net.Conn
	p *places
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.p.read(c.Conn, b[:n])
	}
	return n, err
}

// listener hands out connections that have a place.
type listener struct {
	netutil.Acceptor
	places *places
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Acceptor.Accept()
		if err != nil {
			return nil, err
		}
		if l.await(c) {
			return &conn{c, l.places}, nil
		}
		c.Close()
	}
}

// await gives a connection a place, after a moment if whole calls hold all of them:
// they are answered at once.
func (l *listener) await(c net.Conn) bool {
	ctx, stop := context.WithTimeout(context.Background(), placeTime)
	defer stop()
	for !l.places.take(c) {
		select {
		case <-l.places.freed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
