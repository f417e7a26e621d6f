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
	requestTimeout = 700 * time.Millisecond // of a request to a console; a slower sender has not responded
	pollInterval   = 50 * time.Millisecond  // between two requests for the views while a condition is awaited
)

// SenderView is the view that a sender reports. OK is false, and the status is not set, if the sender
// is not running, is paused or did not respond in time.
type SenderView struct {
	Number int // of the sender in the fleet
	OK     bool
	cluster.Status
}

// Views requests the view of each running sender and records changes in the timeline. It returns an
// element for each sender, by number.
func (f *Fleet) Views() []SenderView {
	out := make([]SenderView, len(f.senders))
	var all sync.WaitGroup
	for i, s := range f.senders {
		out[i].Number = i
		if !s.Running() {
			continue
		}
		all.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
			defer stop()
			text, err := console.Request(ctx, s.Console, "GET", "/cluster")
			out[i].OK = err == nil && json.Unmarshal([]byte(text), &out[i].Status) == nil
		})
	}
	all.Wait()
	for i, x := range out {
		if x.OK {
			f.senders[i].recordView(x)
		}
	}
	return out
}

// recordView adds a view to the timeline if it differs from the previous one.
func (s *Sender) recordView(x SenderView) {
	states := map[string]string{x.Name: x.State}
	for _, o := range x.Peers {
		states[o.Name] = o.State
	}
	s.mu.Lock()
	unchanged := maps.Equal(s.lastStates, states) && s.lastShare == x.Share
	s.lastStates, s.lastShare = states, x.Share
	s.mu.Unlock()
	if !unchanged {
		s.fleet.Timeline.add(Entry{Action: "view", Senders: []int{s.Number}, States: states, Share: x.Share})
	}
}

// WaitUntil polls the views for at most d until condition holds. It returns the time taken and
// whether the condition held. A condition that never holds makes it observe the views for d.
func (f *Fleet) WaitUntil(d time.Duration, condition func([]SenderView) bool) (time.Duration, bool) {
	start := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if condition(f.Views()) {
			return time.Since(start).Round(time.Millisecond), true
		}
		if time.Since(start) > d {
			return time.Since(start).Round(time.Millisecond), false
		}
		<-tick.C
	}
}

// AllReachable reports whether all senders are running, consider each other reachable, and have
// divided the rate among them: their shares add up to one.
func AllReachable(list []SenderView) bool {
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

// HasShare returns a condition for WaitUntil: the sender with number n responds and may use at least
// minShare, from 0 to 1, of each rate.
func HasShare(n int, minShare float64) func([]SenderView) bool {
	return func(list []SenderView) bool { return list[n].OK && list[n].Share >= minShare }
}

// AllReport returns a condition for WaitUntil: each sender that responds reports the named senders,
// itself excepted, in a state.
func AllReport(state view.State, who ...string) func([]SenderView) bool {
	return func(list []SenderView) bool {
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
