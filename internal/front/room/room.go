// Package room decides what makes room for a new connection of a front when all
// places are taken. It has no I/O and no clock.
package room

import "time"

// silentPart of all places may be held by connections that have sent nothing.
const silentPart = 0.75

// Limits are those of a front, a descriptor each.
type Limits struct {
	Active int // of connections that clients may ask on
	// Lingering are further ones, of connections that the front has ended and that are
	// read on until their clients end them too; 1 at least.
	Lingering int
}

// Action is what comes next when a client has connected.
type Action int

// The steps. After [CloseIdle] and [AbortLingering], the next one has to be asked for.
const (
	Admit          Action = iota // it has its place
	CloseIdle                    // one that is live has to end
	AbortLingering               // one that is ending is closed at once
)

// NextAction says what comes next for one more connection, with so many there.
func (p Limits) NextAction(live, ending int) Action {
	switch {
	case live >= p.Active:
		return CloseIdle
	case live+ending >= p.Active+max(p.Lingering, 1):
		return AbortLingering
	}
	return Admit
}

// Conn is what is known of a connection.
type Conn struct {
	IdleSince time.Time // it was opened, or had its last answer
	LastRead  time.Time // of the last byte of a request that has begun to come
	Answered  bool      // it has had an answer
	Partial   bool      // a request has begun to come and is not whole
	Busy      bool      // a whole request is under way
}

// class is the order in which connections go; the least first.
type class int

const (
	resting class = iota // after an answer: it may be done with
	silent               // it has sent nothing, and is about to
	begun                // it has begun a request: it may be writing it yet
	kept                 // it is owed an answer
)

func (c *Conn) class() class {
	switch {
	case c.Busy:
		return kept
	case c.Partial:
		return begun
	case c.Answered:
		return resting
	}
	return silent
}

// waits is since when it has done nothing.
func (c *Conn) waits() time.Time {
	if c.Partial && c.LastRead.After(c.IdleSince) {
		return c.LastRead
	}
	return c.IdleSince
}

// PickVictim returns the place of the one that makes room among conns, of which there may
// be most at once; -1 if none may go. Among those that are alike it is the one that has done nothing for
// longest.
func PickVictim(conns []Conn, most int) int {
	n := 0
	for i := range conns {
		if conns[i].class() == silent {
			n++
		}
	}
	crowd := float64(n) > silentPart*float64(most)
	best, bestClass := -1, kept
	for i := range conns {
		c := conns[i].class()
		if c == kept {
			continue
		}
		if crowd && c == silent { // they go before those that rest
			c = resting - 1
		}
		if best < 0 || c < bestClass || c == bestClass && conns[i].waits().Before(conns[best].waits()) {
			best, bestClass = i, c
		}
	}
	return best
}
