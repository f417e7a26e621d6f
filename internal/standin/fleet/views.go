package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/console"
	"cometrack/internal/view"
)

const (
	askTime   = 700 * time.Millisecond
	lookEvery = 50 * time.Millisecond
)

// Seen is a sender's view; OK is false for one that does not answer.
type Seen struct {
	N  int
	OK bool
	cluster.Status
}

// Sees asks each sender that runs for its view, and puts what has changed on the
// time line.
func (f *Fleet) Sees() []Seen {
	out := make([]Seen, len(f.senders))
	var all sync.WaitGroup
	for i, s := range f.senders {
		out[i].N = i
		if !s.Running() {
			continue
		}
		all.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), askTime)
			defer stop()
			text, err := console.Request(ctx, s.Console, "GET", "/cluster")
			out[i].OK = err == nil && json.Unmarshal([]byte(text), &out[i].Status) == nil
		})
	}
	all.Wait()
	for i, x := range out {
		if x.OK {
			f.senders[i].noteView(x)
		}
	}
	return out
}

// noteView puts a view on the time line if it differs from the one before.
func (s *Sender) noteView(x Seen) {
	sees := map[string]string{x.Name: x.State}
	for _, o := range x.Peers {
		sees[o.Name] = o.State
	}
	s.mu.Lock()
	same := maps.Equal(s.sees, sees) && s.part == x.Share
	s.sees, s.part = sees, x.Share
	s.mu.Unlock()
	if !same {
		s.fleet.Time.note(Entry{Do: "view", Who: []int{s.N}, Sees: sees, Part: x.Share})
	}
}

// Until waits until the views are as wanted, at most d; it returns how long that
// took and whether it came about.
func (f *Fleet) Until(d time.Duration, holds func([]Seen) bool) (time.Duration, bool) {
	start := time.Now()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		if holds(f.Sees()) {
			return time.Since(start).Round(time.Millisecond), true
		}
		if time.Since(start) > d {
			return time.Since(start).Round(time.Millisecond), false
		}
		<-tick.C
	}
}

// AllHere holds once all senders run, take each other for here, and share evenly.
func AllHere(list []Seen) bool {
	sum := 0.0
	for _, x := range list {
		if !x.OK || len(x.Peers) != len(list)-1 {
			return false
		}
		for _, o := range x.Peers {
			if o.State != view.Reachable.String() {
				return false
			}
		}
		sum += x.Share
	}
	return sum > 0.99
}

// Has holds once a sender has a part.
func Has(n int, least float64) func([]Seen) bool {
	return func(list []Seen) bool { return list[n].OK && list[n].Share >= least }
}

// Believes holds once each sender that answers has all of some in a state.
func Believes(state view.State, who ...string) func([]Seen) bool {
	return func(list []Seen) bool {
		for _, x := range list {
			if !x.OK {
				continue
			}
			n := 0
			for _, o := range x.Peers {
				for _, name := range who {
					if o.Name == name && o.State == state.String() {
						n++
					}
				}
			}
			want := len(who)
			for _, name := range who {
				if name == x.Name {
					want--
				}
			}
			if n < want {
				return false
			}
		}
		return true
	}
}
