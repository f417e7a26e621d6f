// Package fan is an end sink that passes ends to several others, and confirms an end once all of them
// have confirmed it.
package fan

import (
	"context"
	"sync"

	"cometrack/internal/message"
)

// Sink is an end sink that a Fan passes ends to.
type Sink interface {
	Add(m *message.Message, e message.End)
	Run(ctx context.Context, confirm func(ids []string))
}

// Fan passes each end to all of its sinks. Without sinks, ends are confirmed at once.
type Fan struct {
	sinks       []Sink
	observers   []func(m *message.Message, e message.End)
	wake        chan struct{} // receives a value when confirmable has entries
	mu          sync.Mutex
	unconfirmed map[string]int // number of sinks that have not confirmed, by message ID
	confirmable []string       // without sinks: IDs to confirm
}

// New returns a Fan with the given sinks.
func New(sinks ...Sink) *Fan {
	return &Fan{sinks: sinks, unconfirmed: map[string]int{}, wake: make(chan struct{}, 1)}
}

// Observe registers a function that is called with each end; it takes no part in the confirmation. f
// must not block. It sees an end again that was not confirmed before a restart.
func (x *Fan) Observe(f func(m *message.Message, e message.End)) {
	x.observers = append(x.observers, f)
}

// Add passes an end to all sinks and observers.
func (x *Fan) Add(m *message.Message, e message.End) {
	for _, f := range x.observers {
		f(m, e)
	}
	x.mu.Lock()
	if len(x.sinks) == 0 {
		x.confirmable = append(x.confirmable, e.ID)
	} else {
		x.unconfirmed[e.ID] = len(x.sinks)
	}
	x.mu.Unlock()
	for _, s := range x.sinks {
		s.Add(m, e)
	}
	if len(x.sinks) == 0 {
		select {
		case x.wake <- struct{}{}:
		default:
		}
	}
}

// Run runs the sinks until ctx is done.
func (x *Fan) Run(ctx context.Context, confirm func(ids []string)) {
	var wg sync.WaitGroup
	for _, s := range x.sinks {
		wg.Go(func() { s.Run(ctx, func(ids []string) { x.confirmed(ids, confirm) }) })
	}
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-x.wake:
			x.mu.Lock()
			ids := x.confirmable
			x.confirmable = nil
			x.mu.Unlock()
			confirm(ids)
		}
	}
}

// confirmed counts the confirmations of one sink, and confirms the IDs that all sinks have confirmed.
func (x *Fan) confirmed(ids []string, confirm func(ids []string)) {
	var complete []string
	x.mu.Lock()
	for _, id := range ids {
		if n, ok := x.unconfirmed[id]; !ok {
			continue
		} else if n > 1 {
			x.unconfirmed[id] = n - 1
			continue
		}
		delete(x.unconfirmed, id)
		complete = append(complete, id)
	}
	x.mu.Unlock()
	if len(complete) > 0 {
		confirm(complete)
	}
}
