package core

import (
	"context"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
)

// FrontLimiter passes the requests of one front to the core and limits them, so that a flooded front leaves the
// others their share: each front may have an even share of the requests that wait for the loop, and half of its even
// share of the pending limit is reserved for it.
type FrontLimiter struct {
	core  *Core
	slots chan struct{} // holds an element for each request that the loop has not answered

	pending int // pending messages that were submitted through it; used by the loop only
}

// NewFrontLimiter creates the limiter of one front; fronts is the number of all fronts. It must be called before Run.
func (c *Core) NewFrontLimiter(fronts int) *FrontLimiter {
	d := &FrontLimiter{core: c, slots: make(chan struct{}, max(eventQueueSize/2/max(fronts, 1), 1))}
	c.fronts = append(c.fronts, d)
	return d
}

// Check is [Core.Check].
func (d *FrontLimiter) Check(m *message.Message, validFor time.Duration) error {
	return d.core.Check(m, validFor)
}

// Clock is [Core.Clock].
func (d *FrontLimiter) Clock() *clock.Clock { return d.core.clock }

// Submit is [Core.Submit]. It blocks while too many requests of the front are unanswered.
func (d *FrontLimiter) Submit(m *message.Message, response chan<- SubmitResponse) {
	d.slots <- struct{}{}
	if !d.core.post(submitEvent{msg: m, front: d, response: response}) {
		<-d.slots
		response <- SubmitResponse{Status: Stopped}
	}
}

// State is [Core.State]. It blocks while too many requests of the front are unanswered.
func (d *FrontLimiter) State(ctx context.Context, id string, wait bool) (State, error) {
	d.slots <- struct{}{}
	s, err := d.core.State(ctx, id, false)
	<-d.slots
	if err != nil || !wait || s.IsFinal() {
		return s, err
	}
	return d.core.State(ctx, id, true)
}

// respond sends the response to a submitted message and frees its slot.
func (ev submitEvent) respond(response SubmitResponse) {
	ev.response <- response
	if ev.front != nil {
		<-ev.front.slots
	}
}

// hasRoomFor reports whether the pending limit allows another message that is submitted through d.
func (c *Core) hasRoomFor(d *FrontLimiter) bool {
	limit := c.terms.settings.MaxOpen
	if limit == 0 {
		return true
	}
	reserved := 0
	for _, other := range c.fronts {
		if other != d {
			reserved += max(limit/2/len(c.fronts)-other.pending, 0)
		}
	}
	return c.pendingCount+c.backlog.count()+reserved < limit
}

// uncount removes a message that has ended, or was not accepted, from the counts of pending messages.
func (c *Core) uncount(p *pendingMessage) {
	c.pendingCount--
	if c.backlog.Backlog != nil {
		c.backlog.LeaveWindow(p.msg.Partner)
	}
	if p.front != nil {
		p.front.pending--
	}
}
