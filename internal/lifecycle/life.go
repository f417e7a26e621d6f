package lifecycle

import (
	"log/slog"
	"sync"
	"time"
)

// Controller runs a [Machine] by the clock of the process. It may be used by several goroutines at once; its methods do
// not block.
type Controller struct {
	log *slog.Logger

	mu      sync.Mutex
	machine *Machine
	changed chan struct{} // closed at the next change of the behavior
	timer   *time.Timer   // for the next change without an event
}

// NewController returns the controller of a process that is starting.
func NewController(timeouts Timeouts, log *slog.Logger) *Controller {
	return &Controller{log: log, machine: New(timeouts, time.Now()), changed: make(chan struct{})}
}

// HandleEvent processes an event and reports whether the state has changed.
func (c *Controller) HandleEvent(ev Event) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.machine.state
	if !c.machine.Handle(ev, time.Now()) {
		c.log.Debug("lifecycle: event has no effect", "event", ev.String(), "state", from.String())
		return false
	}
	c.log.Info("lifecycle", "event", ev.String(), "from", from.String(), "to", c.machine.state.String())
	c.notifyChange()
	return true
}

// notifyChange closes the channel of [Controller.Watch] and sets the timer of the next change. The caller holds the
// lock.
func (c *Controller) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
	if c.timer != nil {
		c.timer.Stop()
	}
	now := time.Now()
	if next := c.machine.NextChange(now); !next.IsZero() {
		c.timer = time.AfterFunc(next.Sub(now), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.notifyChange()
		})
	}
}

// Behavior returns the behavior at present.
func (c *Controller) Behavior() Behavior {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Behavior(time.Now())
}

// Watch returns the behavior at present and a channel that is closed when it may have changed.
func (c *Controller) Watch() (Behavior, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Behavior(time.Now()), c.changed
}
