package console

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/netutil"
)

const (
	// admitTimeout is how long a new connection waits for a place while all places are taken by connections with
	// complete requests. Then it is closed.
	admitTimeout = 100 * time.Millisecond
)

// connLimiter limits the number of connections. Connections without a complete request head are closed
// in favor of later ones, oldest first. A complete request is never cut off, even if the server has
// not read it yet.
type connLimiter struct {
	limit    int
	freed    chan struct{} // receives a value when a connection was closed
	mu       sync.Mutex
	conns    map[net.Conn]*trackedConn
	arrivals int // connections admitted so far
}

// trackedConn is the state of an admitted connection.
type trackedConn struct {
	arrival int // position in the order of arrival
	head    netutil.HeadScanner
}

// newConnLimiter returns a limiter for a number of connections.
func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, conns: map[net.Conn]*trackedConn{}, freed: make(chan struct{}, 1)}
}

// admit admits a connection; it returns false if all others have complete requests.
func (p *connLimiter) admit(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.limit {
		var oldest net.Conn
		for other, tracked := range p.conns {
			if !tracked.hasCompleteHead(other) && (oldest == nil || tracked.arrival < p.conns[oldest].arrival) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		delete(p.conns, oldest)
		oldest.Close()
	}
	p.arrivals++
	p.conns[c] = &trackedConn{arrival: p.arrivals}
	return true
}

// hasCompleteHead reports whether a complete request head was received, including unread data.
func (at *trackedConn) hasCompleteHead(c net.Conn) bool {
	var b [maxHeaderBytes]byte
	return at.head.CompleteWith(b[:netutil.PeekInto(c, b[:])])
}

// recordRead records the bytes that the server read from a connection.
func (p *connLimiter) recordRead(c net.Conn, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tracked := p.conns[c]; tracked != nil {
		tracked.head.Scan(b)
	}
}

// onConnState removes a closed connection from the limiter.
func (p *connLimiter) onConnState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if limited, ok := c.(*limitedConn); ok {
		c = limited.Conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// limitedConn is an admitted connection. It passes the bytes read to the limiter.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
}

// Read implements [net.Conn].
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.limiter.recordRead(c.Conn, b[:n])
	}
	return n, err
}

// limitedListener accepts connections that the limiter admits.
type limitedListener struct {
	netutil.Acceptor
	limiter *connLimiter
}

// Accept implements [net.Listener].
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Acceptor.Accept()
		if err != nil {
			return nil, err
		}
		if l.awaitAdmission(c) {
			return &limitedConn{c, l.limiter}, nil
		}
		c.Close()
	}
}

// awaitAdmission waits up to admitTimeout for the limiter to admit a connection. Complete requests are answered
// at once and soon make room.
func (l *limitedListener) awaitAdmission(c net.Conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	for !l.limiter.admit(c) {
		select {
		case <-l.limiter.freed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
