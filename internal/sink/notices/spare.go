package notices

import (
	"context"
	"net"
	"sync"
	"time"

	"cometrack/internal/netutil"
)

const (
	dialTimeout        = time.Second      // to establish a connection
	spareCheckInterval = time.Second      // between checks that the spare connection is still open
	minSpareDelay      = time.Second      // after a spare connection that failed or was closed early; doubled each time
	maxSpareDelay      = 32 * time.Second // limit of that delay
	spareStableAge     = 5 * time.Second  // age at which a spare connection resets the delay
)

// dialer opens connections and keeps a spare one open in advance. A notice is due so soon that a
// connection which is slow to open would make it late.
type dialer struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	addr   string        // target of the spare connection
	spare  *openedConn   // nil if there is none
	refill chan struct{} // holds a value if a spare connection is needed at once
}

// newDialer returns a dialer that requests a spare connection to addr.
func newDialer(addr string) *dialer {
	netDialer := net.Dialer{Timeout: dialTimeout}
	spareDialer := &dialer{addr: addr, refill: make(chan struct{}, 1),
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return netDialer.DialContext(ctx, "tcp", addr)
		}}
	spareDialer.requestSpare()
	return spareDialer
}

// DialContext returns the spare connection or opens a new one.
func (d *dialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	if conn := d.takeSpare(addr); conn != nil {
		return conn, nil
	}
	conn, err := d.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &openedConn{conn, time.Now()}, nil
}

// takeSpare returns the spare connection if it leads to addr and is still usable, and nil otherwise.
func (d *dialer) takeSpare(addr string) *openedConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr != addr || d.spare == nil {
		return nil
	}
	conn := d.spare
	d.spare = nil
	d.requestSpare()
	if !isUnused(conn) {
		conn.Close()
		return nil
	}
	return conn
}

// setAddress closes the spare connection and requests one to another address.
func (d *dialer) setAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare != nil {
		d.spare.Close()
		d.spare = nil
	}
	d.addr = addr
	d.requestSpare()
}

// requestSpare makes maintainSpare open a spare connection at once.
func (d *dialer) requestSpare() {
	select {
	case d.refill <- struct{}{}:
	default:
	}
}

// maintainSpare keeps a spare connection open until ctx is done.
func (d *dialer) maintainSpare(ctx context.Context) {
	defer d.setAddress("")
	delay := minSpareDelay
	for {
		requested := d.waitForRequest(ctx, spareCheckInterval)
		if ctx.Err() != nil {
			return
		}
		switch age, exists := d.checkSpare(); {
		case exists && age >= spareStableAge:
			delay = minSpareDelay
		case exists:
		default:
			if !requested {
				d.waitForRequest(ctx, delay)
				delay = min(2*delay, maxSpareDelay)
			}
			d.dialSpare(ctx)
		}
	}
}

// waitForRequest waits up to a timeout for a request of a spare connection and reports whether there was
// one.
func (d *dialer) waitForRequest(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-d.refill:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// checkSpare returns the age of the spare connection and whether it exists. It closes a connection that
// the platform closed.
func (d *dialer) checkSpare() (age time.Duration, exists bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare != nil && !isUnused(d.spare) {
		d.spare.Close()
		d.spare = nil
	}
	if d.spare == nil {
		return 0, false
	}
	return time.Since(d.spare.openedAt), true
}

// dialSpare opens a spare connection.
func (d *dialer) dialSpare(ctx context.Context) {
	d.mu.Lock()
	addr := d.addr
	d.mu.Unlock()
	conn, err := d.dial(ctx, addr)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr != addr || d.spare != nil {
		conn.Close()
		return
	}
	d.spare = &openedConn{conn, time.Now()}
}

// isUnused reports whether the peer keeps a connection open and has sent nothing on it.
func isUnused(conn *openedConn) bool {
	alive, data := netutil.Peek(conn.Conn)
	return alive && !data
}
