package httpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometrack/internal/netutil"
)

const (
	// smallHeadBytes is the size up to which the head of a request needs no slot.
	smallHeadBytes = 2 << 10
	// headExpansion is by how much the fields of a head may take more memory than the bytes received: very short ones
	// with a name of their own each take an entry of a map and two allocations.
	headExpansion = 20
	// headSlotTimeout bounds the wait for a slot for a large head; crowdedSlotTimeout replaces it.
	headSlotTimeout = 200 * time.Millisecond
)

// headLimiter bounds the heads of requests that are incomplete and large at a time.
type headLimiter struct{ slots chan struct{} }

// newHeadLimiter returns a limiter for heads that take so many bytes of memory together.
func newHeadLimiter(bytes int64) *headLimiter {
	return &headLimiter{make(chan struct{}, max(int(bytes/(maxHeaderBytes*headExpansion)), 8))}
}

// errNoHeadSlot reports that too many large heads are incomplete.
var errNoHeadSlot = errors.New("too many requests with large heads are arriving")

// acquire waits for a slot.
func (h *headLimiter) acquire(wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case h.slots <- struct{}{}:
		return nil
	case <-timer.C:
		return errNoHeadSlot
	}
}

func (h *headLimiter) release() { <-h.slots }

// clientConn is a connection of a client. It records when bytes come, and bounds the head of the request that arrives.
type clientConn struct {
	net.Conn
	connections *connections
	plain       atomic.Bool // it carries HTTP/1 without TLS

	mu        sync.Mutex   // guards the fields below; locked before the lock of connections
	heads     *headLimiter // nil for no bound
	scanner   netutil.HeadScanner
	headBytes int  // received of the head that is incomplete
	hasSlot   bool // the head has a slot for large ones
}

// Read implements [net.Conn].
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.connections.noteRead(c)
		err = errors.Join(err, c.countHead(b[:n]))
	}
	if err != nil {
		c.releaseSlot()
	}
	return n, err
}

// countHead counts bytes of the head of a request. A large one needs a slot until it is complete.
func (c *clientConn) countHead(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == nil || c.scanner.Complete() {
		return nil
	}
	if c.scanner.Scan(b) {
		c.releaseSlotLocked()
		c.connections.setExecuting(c)
		return nil
	}
	if c.headBytes += len(b); c.headBytes <= smallHeadBytes || c.hasSlot {
		return nil
	}
	wait := headSlotTimeout
	if c.connections.isCrowded() {
		wait = crowdedSlotTimeout
	}
	if err := c.heads.acquire(wait); err != nil {
		c.connections.setRefused(c)
		return err
	}
	c.hasSlot = true
	return nil
}

// releaseSlot gives back the slot of a large head.
func (c *clientConn) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseSlotLocked()
}

// releaseSlotLocked is releaseSlot for callers that hold the lock.
func (c *clientConn) releaseSlotLocked() {
	if c.hasSlot {
		c.hasSlot = false
		c.heads.release()
	}
}

// expectHead records that the next bytes are those of a new request.
func (c *clientConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner, c.headBytes = netutil.HeadScanner{}, 0
}

// headReceived records that a handler has a request: its head is complete. The streams of an HTTP/2 connection are bound
// by the server itself.
func (c *clientConn) headReceived(r *http.Request) {
	c.connections.setExecuting(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseSlotLocked()
	c.scanner.Scan(headEnd)
	if r.ProtoMajor > 1 {
		c.plain.Store(false)
		c.heads = nil
	}
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// SyscallConn implements [syscall.Conn].
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection returns the context of the requests of a connection.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, underlying(c))
}

// connectionOf returns the connection of a request; nil if it is not one of the listener.
func connectionOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connectionKey{}).(*clientConn)
	return c
}

// usedHeaders are the header fields that handlers read.
var usedHeaders = []string{"Authorization", "Idempotency-Key", "Last-Event-ID"}

// dropUnusedHeaders frees the header fields that no handler reads: a client may take long to send the body.
func dropUnusedHeaders(r *http.Request) {
	header := http.Header{}
	for _, name := range usedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	r.Header = header
}
