// Package silence lets the connections to a stand-in fall silent: they stay open, and nothing passes any more,
// without a sign to either side. This is how connections behave whose peer, or whose path, is gone without a
// word; TCP keep-alive does not notice it.
package silence

import (
	"math"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a connection, seen from the stand-in. Directions can be combined.
type Direction int

// String returns the direction, for reports.
func (d Direction) String() string { return [...]string{"none", "received", "sent", "both"}[d&Both] }

// Directions.
const (
	Received Direction = 1 << iota // from the peer to the stand-in
	Sent                           // from the stand-in to the peer
	Both     = Received | Sent
)

// Unlimited is a number of bytes that no connection reaches.
const Unlimited = math.MaxInt64

// Limits are the numbers of bytes that a connection carries in each direction before that direction falls
// silent.
type Limits struct{ Received, Sent int64 }

// Listener accepts connections that can fall silent. Connections that are not told to, carry everything.
type Listener struct {
	net.Listener
	// OnDiscard is called with the bytes of a peer that are not passed on; nil for none. It is set before the
	// first Accept, and may be called concurrently.
	OnDiscard func(b []byte)

	mu       sync.Mutex
	open     map[*conn]bool // accepted, and not ended by the peer or by the listener's Close
	next     []Limits       // of the next connections, in their order
	accepted int
}

// Listen returns a listener that accepts the connections of ln.
func Listen(ln net.Listener) *Listener { return &Listener{Listener: ln, open: map[*conn]bool{}} }

// Accept returns the next connection, with the limits that are set for it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: accepted, listener: l, remaining: Limits{Unlimited, Unlimited}}
	if len(l.next) > 0 {
		c.remaining, l.next = l.next[0], l.next[1:]
	}
	l.open[c] = true
	l.accepted++
	return c, nil
}

// LimitNext sets the limits of the next connections, in their order, in place of those set before.
func (l *Listener) LimitNext(limits ...Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = limits
}

// SilenceOpen makes all open connections fall silent in a direction and returns their number. Connections
// accepted later are not affected.
func (l *Listener) SilenceOpen(d Direction) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if d&Received != 0 {
			c.remaining.Received = 0
		}
		if d&Sent != 0 {
			c.remaining.Sent = 0
		}
	}
	return len(l.open)
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// OpenCount returns the number of connections that neither the peer nor the stand-in has ended.
func (l *Listener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Close closes the listener, and the silent connections that the stand-in has closed.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.closed {
			c.Conn.Close()
		}
	}
	return err
}

// IsSilent reports whether a connection that a [Listener] has accepted carries nothing to the peer any more. It is
// false for other connections.
func IsSilent(c net.Conn) bool {
	own, ok := c.(*conn)
	if !ok {
		return false
	}
	own.listener.mu.Lock()
	defer own.listener.mu.Unlock()
	return own.remaining.Sent == 0
}

// SentBytes returns the number of bytes that a connection which a [Listener] has accepted has carried to the peer; 0
// for other connections.
func SentBytes(c net.Conn) int64 {
	own, ok := c.(*conn)
	if !ok {
		return 0
	}
	own.listener.mu.Lock()
	defer own.listener.mu.Unlock()
	return own.sent
}

// conn is a connection that falls silent once the rest of its limits is used up. listener.mu guards its
// fields.
type conn struct {
	net.Conn
	listener  *Listener
	remaining Limits
	sent      int64 // bytes carried to the peer
	closed    bool  // by the stand-in
}

// SetLinger sets what happens to unsent bytes at the end of the connection, as [net.TCPConn.SetLinger] does.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return net.UnknownNetworkError(c.Conn.LocalAddr().Network())
	}
	return tcp.SetLinger(seconds)
}

// use takes up to size bytes from what remains in a direction, and returns how many may pass.
func (c *conn) use(remaining *int64, size int) int {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	passed := int(min(int64(size), *remaining))
	if *remaining != Unlimited {
		*remaining -= int64(passed)
	}
	return passed
}

// Read returns bytes of the peer that may pass, and discards the others.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		passed := c.use(&c.remaining.Received, n)
		if passed < n && c.listener.OnDiscard != nil {
			c.listener.OnDiscard(b[passed:n])
		}
		if passed > 0 || err != nil || len(b) == 0 {
			return passed, err
		}
	}
}

// Write sends the bytes that may pass. It reports all of them as written.
func (c *conn) Write(b []byte) (int, error) {
	passed := c.use(&c.remaining.Sent, len(b))
	c.listener.mu.Lock()
	c.sent += int64(passed)
	c.listener.mu.Unlock()
	if passed == 0 {
		return len(b), nil
	}
	if n, err := c.Conn.Write(b[:passed]); err != nil {
		return n, err
	}
	return len(b), nil
}

// Close closes the connection. The peer of a silent one does not learn of it: it stays open until the peer or
// the listener closes it.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	silent := c.remaining.Sent == 0
	c.closed = true
	if !silent {
		delete(l.open, c)
	}
	l.mu.Unlock()
	if !silent {
		return c.Conn.Close()
	}
	go c.awaitPeer()
	return nil
}

// awaitPeer closes the connection once the peer has closed it.
func (c *conn) awaitPeer() {
	c.Conn.SetDeadline(time.Time{})
	buf := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
}
