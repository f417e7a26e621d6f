package resp

import (
	"io"
	"net"
	"slices"
	"time"

	"cometrack/internal/front/room"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

// Which connections a front admits, and which it closes to make room for new ones.

// refusalTimeout bounds the write of the response to a client that is refused. Its send buffer is empty.
const refusalTimeout = 5 * time.Millisecond

// isShuttingDown reports whether no connection is admitted any more.
func (c *Front) isShuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shuttingDown
}

// isCrowded reports whether a new connection finds no place unless another one is closed.
func (c *Front) isCrowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.NextAction(len(c.sessions)-c.lingering, c.lingering) == room.CloseIdle
}

// admit registers a new connection after closing others as far as package room asks for it. It reports whether there
// was room; there is none while the front shuts down.
func (c *Front) admit(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for closed := true; closed && !c.shuttingDown; {
		switch c.limits.NextAction(len(c.sessions)-c.lingering, c.lingering) {
		case room.Admit:
			c.sessions[s] = struct{}{}
			c.wg.Add(1)
			return true
		case room.CloseIdle:
			closed = c.closeIdle()
		case room.AbortLingering:
			closed = c.abortLingering()
		}
	}
	return false
}

// refuse closes a new connection for which there is no place. Its request may have arrived, and is answered with -BUSY
// without being read; the response is in the send buffer before the close resets the connection.
func (c *Front) refuse(conn net.Conn) {
	conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, err := io.WriteString(conn, formatBusy(0))
	c.log.Debug("client refused", "remote", conn.RemoteAddr().String(), "err", err)
	conn.Close()
}

// releaseDescriptor frees a file descriptor when there is none for a new connection.
func (c *Front) releaseDescriptor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.abortLingering() {
		c.closeIdle()
	}
}

// closeIdle asks the goroutine of the connection that package room picks to close it, and reports whether there was one
// without a complete request. A request that has arrived by then keeps the connection open. The caller holds the lock.
func (c *Front) closeIdle() bool {
	s := c.pickIdle()
	if s == nil {
		return false
	}
	s.wakeToClose()
	return true
}

// wakeToClose makes the reader of an active connection close it, unless a complete request arrives before that. The
// caller holds the lock of the front.
func (s *session) wakeToClose() {
	s.startLingering()
	s.conn.SetReadDeadline(time.Now())
}

// hasUnreadBytes reports whether bytes have been received that the reader has not read yet.
func (s *session) hasUnreadBytes() bool {
	_, data := netutil.Peek(s.conn)
	return data
}

// abortLingering closes the connection that has lingered longest, without waiting for its client. It reports whether
// there was one; those with pending requests are kept. The caller holds the lock.
func (c *Front) abortLingering() bool {
	if c.lingering == 0 {
		return false
	}
	list, conns := make([]*session, 0, c.lingering), make([]room.Conn, 0, c.lingering)
	for s := range c.sessions {
		if !s.lingeringSince.IsZero() {
			// A request that is being read counts as pending, for it may be complete by now.
			reason := permit.Abort(permit.Connection{Unanswered: s.pending})
			list, conns = append(list, s),
				append(conns, room.Conn{IdleSince: s.lingeringSince, Answered: true, Busy: reason != permit.Granted})
		}
	}
	i := room.PickVictim(conns, c.limits.Active, time.Now())
	if i < 0 {
		return false
	}
	s := list[i]
	s.aborted = true
	delete(c.sessions, s)
	c.lingering--
	s.conn.Close()
	return true
}

// pickIdle returns the active connection that package room picks to be closed; nil if there is none. A connection
// with received bytes that its reader has not read yet is not idle. The caller holds the lock.
func (c *Front) pickIdle() *session {
	list, conns := make([]*session, 0, len(c.sessions)), make([]room.Conn, 0, len(c.sessions))
	for s := range c.sessions {
		if !s.lingeringSince.IsZero() || s.buffered || s.pending > 1 || s.pending == 1 && !s.partial {
			continue // it lingers already, or has a complete request without a response
		}
		list = append(list, s)
		conns = append(conns, s.roomConn())
	}
	for len(list) > 0 {
		i := room.PickVictim(conns, c.opts.MaxConnections, time.Now())
		if i < 0 {
			return nil
		}
		if !list[i].hasUnreadBytes() {
			return list[i]
		}
		list, conns = slices.Delete(list, i, i+1), slices.Delete(conns, i, i+1)
	}
	return nil
}

// roomConn returns the state of an active connection for package room. The caller holds the lock of the front.
func (s *session) roomConn() room.Conn {
	return room.Conn{IdleSince: s.idleSince, Answered: s.served, Partial: s.partial, BeganAt: s.requestBegan,
		LastRead: s.openedAt.Add(time.Duration(s.lastRead.Load()))}
}

// remove forgets a closed connection.
func (c *Front) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.sessions[s]; ok && !s.lingeringSince.IsZero() {
		c.lingering--
	}
	delete(c.sessions, s)
}
