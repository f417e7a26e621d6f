// Package room decides which connection a front closes to make room for a new one when it has reached its limits. It
// does no I/O and reads no clock.
package room

import "time"

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

// Conn is the state of a connection at one time, as far as it decides which one is closed to make room. A front fills
// one in for each candidate when it has reached a limit.
type Conn struct {
	IdleSince time.Time // time of its last response, or of its start
	LastRead  time.Time // time of the last byte of a partial request
	Answered  bool      // it has had a response
	Partial   bool      // a request has begun to arrive and is not complete
	Busy      bool      // a complete request has no response yet
}

// priority is the order in which connections are closed, the lowest first.
type priority int

const (
	idle      priority = iota // has had a response: the client may be done
	silent                    // has sent nothing: the first request may be about to arrive
	receiving                 // has sent a part of a request
	protected                 // has a complete request without a response: never closed
)

func (c *Conn) priority() priority {
	switch {
	case c.Busy:
		return protected
	case c.Partial:
		return receiving
	case c.Answered:
		return idle
	}
	return silent
}

// lastActivity returns the time since which nothing has happened on the connection.
func (c *Conn) lastActivity() time.Time {
	if c.Partial && c.LastRead.After(c.IdleSince) {
		return c.LastRead
	}
	return c.IdleSince
}

// PickVictim returns the index of the connection to be closed, given the limit of their number; -1 if each has a
// pending request. Among those of the same priority it is the one without activity for longest.
func PickVictim(conns []Conn, limit int) int {
	n := 0
	for i := range conns {
		if conns[i].priority() == silent {
			n++
		}
	}
	tooManySilent := float64(n) > maxSilentFraction*float64(limit)
	best, bestPriority := -1, protected
	for i := range conns {
		p := conns[i].priority()
		if p == protected {
			continue
		}
		if tooManySilent && p == silent { // close them before idle ones
			p = idle - 1
		}
		if best < 0 || p < bestPriority || p == bestPriority && conns[i].lastActivity().Before(conns[best].lastActivity()) {
			best, bestPriority = i, p
		}
	}
	return best
}
