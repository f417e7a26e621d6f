package lifecycle

import (
	"log/slog"
	"sync"
	"time"
)

// Controller is a machine that many may ask and tell at once. It is driven by the clock
// of the process; nothing in it waits.
type Controller struct {
	log *slog.Logger

	mu      sync.Mutex
	machine *Machine
	changed chan struct{}
	timer   *time.Timer
}

// NewController makes the life of a process that is starting.
func NewController(times Timeouts, log *slog.Logger) *Controller {
	return &Controller{log: log, machine: New(times, time.Now()), changed: make(chan struct{})}
}

// HandleEvent hands it an event and reports whether its state has changed.
func (l *Controller) HandleEvent(ev Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.machine.state
	if !l.machine.Handle(ev, time.Now()) {
		l.log.Debug("lifecycle: nothing changes", "event", ev.String(), "state", from.String())
		return false
	}
	l.log.Info("lifecycle", "event", ev.String(), "from", from.String(), "to", l.machine.state.String())
	l.wake()
	return true
}

// wake tells those who wait, and sets the timer of the next change. It is called
// under the lock.
func (l *Controller) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
	if l.timer != nil {
		l.timer.Stop()
	}
	now := time.Now()
	if at := l.machine.NextChange(now); !at.IsZero() {
		l.timer = time.AfterFunc(at.Sub(now), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.wake()
		})
	}
}

// Behavior tells what to do now.
func (l *Controller) Behavior() Behavior {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Behavior(time.Now())
}

// Watch tells what to do now, and gives a channel that is closed when that changes.
func (l *Controller) Watch() (Behavior, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Behavior(time.Now()), l.changed
}
