package fleet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults of one direction of a link. The zero value forwards everything at once.
// Shares are from 0 to 1. Loss, Duplicate, Reorder and Jitter affect datagrams only.
type Faults struct {
	Loss      float64       `toml:"loss" json:"loss,omitempty"`       // share of datagrams lost
	Duplicate float64       `toml:"double" json:"double,omitempty"`   // share of datagrams delivered twice
	Reorder   float64       `toml:"reorder" json:"reorder,omitempty"` // share of datagrams delayed behind later ones
	Delay     time.Duration `toml:"-" json:"delay,omitempty"`         // of each datagram and of each read of a stream
	Jitter    time.Duration `toml:"-" json:"jitter,omitempty"`        // maximum of a random delay added to Delay
	Cut       bool          `toml:"cut" json:"cut,omitempty"`         // nothing is delivered, streams stay open
	Rate      int           `toml:"rate" json:"rate,omitempty"`       // bytes per second of each stream; 0 for no limit
	CutAfter  int           `toml:"after" json:"after,omitempty"`     // bytes that a stream delivers; 0 for no limit
}

// reorderDelay is the extra delay of a reordered datagram, during which later ones overtake it.
const reorderDelay = 300 * time.Millisecond

// link is one direction between two senders. It may be used by several goroutines at once.
type link struct {
	mu     sync.Mutex // guards all fields
	faults Faults     // in force now
	rng    *rand.Rand // decides on each datagram; nil for a link of streams only
	resets int        // how often streams were reset; a stream ends when this changes

	forwarded, lost int // datagrams; duplicates count once
	forwardedBytes  int // of the forwarded datagrams
}

// newLink returns a link without faults. Each pair of senders has random numbers of its own.
func newLink(seed uint64, from, to int) *link {
	return &link{rng: rand.New(rand.NewPCG(seed, uint64(from)<<32|uint64(to)))}
}

// set replaces the faults, for open streams too.
func (l *link) set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// get returns the faults in force.
func (l *link) get() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// reset makes the open streams of the link end with a connection reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
}

// resetCount returns how often reset was called, for a stream to notice a reset.
func (l *link) resetCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resets
}

// delays decides the fate of a datagram of so many bytes and counts it. It returns the delay of each
// copy to be delivered; empty if it is lost.
func (l *link) delays(size int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	if f.Cut || l.rng.Float64() < f.Loss {
		l.lost++
		return nil
	}
	l.forwarded++
	l.forwardedBytes += size
	n := 1
	if l.rng.Float64() < f.Duplicate {
		n = 2
	}
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = f.Delay
		if f.Jitter > 0 {
			out[i] += time.Duration(l.rng.Int64N(int64(f.Jitter)))
		}
		if l.rng.Float64() < f.Reorder {
			out[i] += reorderDelay
		}
	}
	return out
}

// awaitCurrentDatagram waits until the datagram that the relay is handling, if any, has been counted.
// Tests that send many datagrams in a row call it to let the relay keep up.
func (l *link) awaitCurrentDatagram() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.forwarded
}

// Forwarded returns the number of datagrams forwarded on all links since the start, and their bytes
// without IP and UDP headers. Lost datagrams and the second copies of duplicated ones are not counted.
func (f *Fleet) Forwarded() (n, bytes int) {
	for _, row := range f.net.links {
		for _, l := range row {
			l.mu.Lock()
			n, bytes = n+l.forwarded, bytes+l.forwardedBytes
			l.mu.Unlock()
		}
	}
	return n, bytes
}
