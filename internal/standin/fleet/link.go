package fleet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults is what one direction of a pair does to what it carries. The zero value
// carries all at once.
type Faults struct {
	Loss    float64       `toml:"loss" json:"loss,omitempty"`       // share of datagrams that are lost
	Double  float64       `toml:"double" json:"double,omitempty"`   // share that comes twice
	Reorder float64       `toml:"reorder" json:"reorder,omitempty"` // share held back behind later ones
	Delay   time.Duration `toml:"-" json:"delay,omitempty"`         // of each datagram, and of each piece of a stream
	Jitter  time.Duration `toml:"-" json:"jitter,omitempty"`        // added to the delay, 0 to this
	Cut     bool          `toml:"cut" json:"cut,omitempty"`         // nothing comes; streams stay open and their bytes are swallowed
	Rate    int           `toml:"rate" json:"rate,omitempty"`       // bytes a second of each stream; 0 for any
	After   int           `toml:"after" json:"after,omitempty"`     // a stream is cut after so many bytes; 0 for never
}

// held is how long a datagram is held back that is to come behind later ones.
const held = 300 * time.Millisecond

// link is one direction of a pair. It may be used by several goroutines at once.
type link struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	resets int // grows with each order to reset streams

	Carried, Lost int // datagrams
	Bytes         int // of those that were carried
}

func newLink(seed uint64, from, to int) *link {
	return &link{rng: rand.New(rand.NewPCG(seed, uint64(from)<<32|uint64(to)))}
}

func (l *link) set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *link) get() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
}

func (l *link) epoch() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resets
}

// copies says after which spans a datagram of a size comes; empty if it is lost.
func (l *link) copies(size int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	if f.Cut || l.rng.Float64() < f.Loss {
		l.Lost++
		return nil
	}
	l.Carried++
	l.Bytes += size
	n := 1
	if l.rng.Float64() < f.Double {
		n = 2
	}
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = f.Delay
		if f.Jitter > 0 {
			out[i] += time.Duration(l.rng.Int64N(int64(f.Jitter)))
		}
		if l.rng.Float64() < f.Reorder {
			out[i] += held
		}
	}
	return out
}

// settle waits for the datagram that the relay is at.
func (l *link) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.Carried
}

// Carried is how many datagrams have come through all links, and their bytes without
// those of IP and UDP.
func (f *Fleet) Carried() (n, bytes int) {
	for _, row := range f.net.links {
		for _, l := range row {
			l.mu.Lock()
			n, bytes = n+l.Carried, bytes+l.Bytes
			l.mu.Unlock()
		}
	}
	return n, bytes
}
