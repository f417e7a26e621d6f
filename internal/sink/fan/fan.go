// Package fan is an end sink that tells several others, and confirms what all of
// them have confirmed.
package fan

import (
	"context"
	"sync"

	"cometrack/internal/message"
)

// Sink is one of those that are told.
type Sink interface {
	Add(m *message.Message, e message.End)
	Run(ctx context.Context, confirm func(ids []string))
}

// Fan tells each of its sinks. With none, ends are confirmed at once.
type Fan struct {
	sinks   []Sink
	observe []func(m *message.Message, e message.End)
	wake    chan struct{}
	mu      sync.Mutex
	left    map[string]int // sinks that have yet to confirm, by id
	done    []string       // with no sinks: ids to confirm
}

// New makes a fan.
func New(sinks ...Sink) *Fan {
	return &Fan{sinks: sinks, left: map[string]int{}, wake: make(chan struct{}, 1)}
}

// Observe has f called with each end; nobody waits for what it does. f must not
// block, and sees an end again that was not confirmed before a restart.
func (x *Fan) Observe(f func(m *message.Message, e message.End)) { x.observe = append(x.observe, f) }

// Add tells all of an end.
func (x *Fan) Add(m *message.Message, e message.End) {
	for _, f := range x.observe {
		f(m, e)
	}
	x.mu.Lock()
	if len(x.sinks) == 0 {
		x.done = append(x.done, e.ID)
	} else {
		x.left[e.ID] = len(x.sinks)
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

// Run runs the sinks until ctx is over.
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
			done := x.done
			x.done = nil
			x.mu.Unlock()
			confirm(done)
		}
	}
}

// confirmed counts what one sink has confirmed.
func (x *Fan) confirmed(ids []string, confirm func(ids []string)) {
	var all []string
	x.mu.Lock()
	for _, id := range ids {
		if n, ok := x.left[id]; !ok {
			continue
		} else if n > 1 {
			x.left[id] = n - 1
			continue
		}
		delete(x.left, id)
		all = append(all, id)
	}
	x.mu.Unlock()
	if len(all) > 0 {
		confirm(all)
	}
}
