package httpfront

import (
	"errors"
	"io"
	"net"
	"time"

	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

// A request that has arrived in part is answered before its connection is closed to make room, as its last byte may be on
// its way: its client would have no response to a request that it has sent whole.

const (
	// unavailableResponse is the response to a request that is cut short. The client may send it again.
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// unavailableTimeout bounds the write of unavailableResponse; the send buffer of such a connection is empty.
	unavailableTimeout = 5 * time.Millisecond
)

// errCutShort reports that a connection was closed to make room while a request arrived on it.
var errCutShort = errors.New("the connection was closed to make room")

// hasUnreadBytes reports whether bytes of a request have been received that are not read yet.
func (x *connectionState) hasUnreadBytes(c net.Conn) bool {
	_, unread := netutil.Peek(c)
	return unread && !x.refused
}

// closeToMakeRoom closes a connection unless bytes on it are unread, and reports whether it has. The caller holds the lock.
func (cs *connections) closeToMakeRoom(c net.Conn) bool {
	x := cs.conns[c]
	if permit.Close(permit.Connection{Unread: x.hasUnreadBytes(c)}) != permit.Granted {
		return false
	}
	delete(cs.conns, c)
	if x.receiving && !x.refused {
		writeUnavailable(c)
	}
	c.Close()
	return true
}

// writeUnavailable writes unavailableResponse to a connection on which no response has begun, if it carries HTTP/1 in the
// clear.
func writeUnavailable(c net.Conn) {
	accepted, ok := c.(*clientConn)
	if !ok || !accepted.plain.Load() {
		return
	}
	c.SetWriteDeadline(time.Now().Add(unavailableTimeout))
	io.WriteString(c, unavailableResponse)
}
