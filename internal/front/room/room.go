// Package room decides which connection a front closes to make room for a new one when it has reached its limits. It
// does no I/O and reads no clock.
package room

import (
	"slices"
	"time"
)

// maxSilentFraction is the fraction of the active connections above which those that have sent nothing are closed
// before idle ones.
const maxSilentFraction = 0.75

// Limits bound the connections of a front. Each connection takes one file descriptor.
type Limits struct {
	Active int // connections that accept requests
	// Lingering bounds the further connections that the front has closed and still reads from until their clients
	// close them too; at least 1.
	Lingering int
}

// Action is the next thing to do for a client that has connected.
type Action int

// The actions. After [CloseIdle] and [AbortLingering], the caller asks for the next one.
const (
	Admit          Action = iota // serve the new connection
	CloseIdle                    // close an active connection, which then lingers
	AbortLingering               // close a lingering connection at once
)

// NextAction returns the next action for a new connection, given the numbers of active and lingering ones.
func (l Limits) NextAction(active, lingering int) Action {
	switch {
	case active >= l.Active:
		return CloseIdle
	case active+lingering >= l.Active+max(l.Lingering, 1):
		return AbortLingering
	}
	return Admit
}

const (
	// maxRequestTime is how long a usual request takes from its first byte to its last. One that takes longer stands still,
	// or comes in small pieces.
	maxRequestTime = 250 * time.Millisecond
	// maxFirstRequestDelay is how long a usual client takes from connecting to the first byte of its request.
	maxFirstRequestDelay = 400 * time.Millisecond
	// minFirstRequestTime is how long each connection is left to send the first byte of a request: a new one waits until then.
	minFirstRequestTime = 50 * time.Millisecond
)

// Conn is the state of a connection at one time, as far as it decides which one is closed to make room. A front fills
// one in for each candidate when it has reached a limit.
type Conn struct {
	IdleSince time.Time // time of its last response, or of its start
	BeganAt   time.Time // time of the first byte of a partial request
	LastRead  time.Time // time of the last byte of a partial request
	Answered  bool      // it has had a response
	Partial   bool      // a request has begun to arrive and is not complete
	Busy      bool      // a complete request has no response yet
}

// priority says how much is lost if a connection is closed, see closingOrder.
type priority int

const (
	slow       priority = iota // has sent a part of a request, and should have sent all of it by now
	idle                       // has had a response: the client may be done
	silent                     // has sent nothing for longer than a usual client
	receiving                  // has sent a part of a request a moment ago
	connecting                 // was accepted a moment ago: the first request may be about to arrive
	fresh                      // was accepted less than minFirstRequestTime ago: not closed, a new one waits
	protected                  // has a complete request without a response: never closed
)

// priority returns the connection's priority at a time.
func (c *Conn) priority(now time.Time) priority {
	switch {
	case c.Busy:
		return protected
	case c.Partial && now.Sub(c.BeganAt) > maxRequestTime:
		return slow
	case c.Partial:
		return receiving
	case c.Answered:
		return idle
	case now.Sub(c.IdleSince) > maxFirstRequestDelay:
		return silent
	case now.Sub(c.IdleSince) >= minFirstRequestTime:
		return connecting
	}
	return fresh
}

// IsSlow reports whether a part of a request has arrived, and all of it should have by now.
func (c Conn) IsSlow(now time.Time) bool { return c.priority(now) == slow }

// hasSentNothing reports whether no byte of a request has come on the connection.
func (c *Conn) hasSentNothing() bool { return !c.Busy && !c.Partial && !c.Answered }

// lastActivity returns the time since which nothing has happened on the connection.
func (c *Conn) lastActivity() time.Time {
	if c.Partial && c.LastRead.After(c.IdleSince) {
		return c.LastRead
	}
	return c.IdleSince
}

// PickVictim returns the index of the connection to be closed at a time, given the limit of their number; -1 if each has
// a pending request, or if the one to be closed was accepted less than minFirstRequestTime ago. Among those of the same
// priority it is the one without activity for longest, and among requests that are slow the one that began first.
func PickVictim(conns []Conn, limit int, now time.Time) int {
	order := closingOrder(conns, limit)
	best, bestRank, bestSince := -1, slices.Index(order, fresh), time.Time{}
	for i := range conns {
		c := &conns[i]
		p, since := c.priority(now), c.lastActivity()
		rank := slices.Index(order, p)
		if rank < 0 {
			continue
		}
		if p == slow {
			since = c.BeganAt
		}
		if rank < bestRank || rank == bestRank && since.Before(bestSince) {
			best, bestRank, bestSince = i, rank, since
		}
	}
	return best
}

// closingOrder returns the priorities of connections in the order in which they are closed, up to the fresh ones, for
// which a new one waits. Where most have sent nothing, only these and slow ones are closed.
func closingOrder(conns []Conn, limit int) []priority {
	sentNothing := 0
	for i := range conns {
		if conns[i].hasSentNothing() {
			sentNothing++
		}
	}
	if float64(sentNothing) > maxSilentFraction*float64(limit) {
		return []priority{silent, connecting, slow, fresh}
	}
	return []priority{slow, idle, silent, receiving, connecting, fresh}
}
