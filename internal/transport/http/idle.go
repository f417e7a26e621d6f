package httptransport

import (
	"slices"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
	"cometrack/logic"
)

const (
	idleMargin       = 500 * time.Millisecond // a connection is not reused this close to its idle timeout
	minReuseDelay    = 20 * time.Millisecond  // between a response and reuse, for unrequested bytes to show
	brokenConnWindow = 5 * time.Second        // after a reused connection broke, unrepeatable calls dial new ones
)

// takeIdle returns the most recently used connection to the endpoint that is still reusable, or nil. It skips one
// whose last response arrived less than the reuse delay ago, since unrequested bytes may follow.
func (c *Transport) takeIdle(attempt *core.Attempt) *persistentConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep, addr := attempt.Endpoint, attempt.Addr
	if attempt.Unrepeatable && time.Since(c.lastBrokenAt) < brokenConnWindow {
		return nil
	}
	list := slices.Clone(c.idle[ep])
	defer func() { c.setIdle(ep, list) }()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if time.Since(conn.idleSince) < c.reuseDelay {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if conn.addr == addr && c.reusable(conn) {
			c.idleCount--
			return conn
		}
		c.closeIdle(conn)
	}
	return nil
}

// reusable reports whether an idle connection may carry a call: it is not close to its
// idle timeout, not closed by the endpoint, and has no unrequested response on it.
func (c *Transport) reusable(conn *persistentConn) bool {
	margin := max(min(idleMargin, c.idleTimeout/4), permit.MinRemaining) // the process may be paused before it writes
	if time.Since(conn.idleSince) > c.idleTimeout-margin {
		return false
	}
	alive, data := netutil.Peek(conn.Conn)
	return alive && !data
}

// keepIdle keeps a connection for the next call and reports whether there was room.
func (c *Transport) keepIdle(ep logic.EndpointID, conn *persistentConn) bool {
	conn.idleSince = time.Now()
	return c.returnIdle(ep, conn)
}

// returnIdle keeps a connection that carried no call and reports whether there was room. Its
// idle time goes on, as it does at the endpoint, which received nothing.
func (c *Transport) returnIdle(ep logic.EndpointID, conn *persistentConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[ep]
	if len(list) >= c.limits.PerEndpoint || c.idleCount >= c.limits.Idle {
		return false
	}
	if conn.idleSince.IsZero() { // new
		conn.idleSince = time.Now()
	}
	conn.SetDeadline(time.Time{})
	at, _ := slices.BinarySearchFunc(list, conn.idleSince, func(x *persistentConn, idleSince time.Time) int { return x.idleSince.Compare(idleSince) })
	c.idle[ep] = slices.Insert(list, at, conn)
	c.idleCount++
	return true
}

// closeIdleBefore closes the idle connections to ep whose last response came before a call began that got no answer.
// They were open together with the connection of that call, and may be silent together with it.
func (c *Transport) closeIdleBefore(ep logic.EndpointID, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[ep] // in the order of their last responses
	count := 0
	for count < len(list) && list[count].idleSince.Before(began) {
		c.closeIdle(list[count])
		count++
	}
	c.setIdle(ep, list[count:])
}

// CloseIdle closes the idle connections to ep.
func (c *Transport) CloseIdle(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		c.closeIdle(conn)
	}
	delete(c.idle, ep)
}

// CloseStale closes idle connections that are no longer reusable.
func (c *Transport) CloseStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		var kept []*persistentConn
		for _, conn := range list {
			if c.reusable(conn) {
				kept = append(kept, conn)
			} else {
				c.closeIdle(conn)
			}
		}
		c.setIdle(ep, kept)
	}
}

// closeIdle closes an idle connection, which the caller removes from its list. c.mu must be held.
func (c *Transport) closeIdle(conn *persistentConn) {
	conn.Close()
	c.idleCount--
	c.openCount--
}

// closeOldest closes the connection that has been idle for longest and reports whether there was one. c.mu must be
// held.
func (c *Transport) closeOldest() bool {
	var from logic.EndpointID
	var oldest *persistentConn
	for ep, list := range c.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			from, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.setIdle(from, c.idle[from][1:])
	c.closeIdle(oldest)
	return true
}

// setIdle sets the idle connections to ep, ordered by the time at which they became idle. c.mu must be held.
func (c *Transport) setIdle(ep logic.EndpointID, list []*persistentConn) {
	if len(list) == 0 {
		delete(c.idle, ep)
	} else {
		c.idle[ep] = list
	}
}
