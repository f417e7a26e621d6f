package core

import (
	"context"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
)

// FrontLimiter is the way of one front to the core. It bounds what the front may have
// under way, so that one that is flooded leaves the others their part: of the
// questions that wait for the loop each has an even share, and half of its even
// share of the messages held is kept free for it.
type FrontLimiter struct {
	core *Core
	room chan struct{} // a place for each request that the loop has yet to answer

	open int // messages held that came through it; the loop's
}

// NewFrontLimiter makes a way for one of so many fronts. It is called before Run.
func (c *Core) NewFrontLimiter(fronts int) *FrontLimiter {
	d := &FrontLimiter{core: c, room: make(chan struct{}, max(eventRoom/2/max(fronts, 1), 1))}
	c.doors = append(c.doors, d)
	return d
}

// Check is [Core.Check].
func (d *FrontLimiter) Check(m *message.Message, hold time.Duration) error {
	return d.core.Check(m, hold)
}

// Clock is [Core.Clock].
func (d *FrontLimiter) Clock() *clock.Clock { return d.core.clock }

// Submit is [Core.Submit]; it waits while too many of the front's requests are
// unanswered.
func (d *FrontLimiter) Submit(m *message.Message, answer chan<- SubmitResponse) {
	d.room <- struct{}{}
	if !d.core.post(putEvent{msg: m, door: d, answer: answer}) {
		<-d.room
		answer <- SubmitResponse{Status: Stopped}
	}
}

// State is [Core.State]; it waits while too many of the front's requests are
// unanswered.
func (d *FrontLimiter) State(ctx context.Context, id string, wait bool) (State, error) {
	d.room <- struct{}{}
	s, err := d.core.State(ctx, id, false)
	<-d.room
	if err != nil || !wait || s.IsFinal() {
		return s, err
	}
	return d.core.State(ctx, id, true)
}

// tell gives a message that was handed in its answer.
func (ev putEvent) tell(a SubmitResponse) {
	ev.answer <- a
	if ev.door != nil {
		<-ev.door.room
	}
}

// roomFor says whether another message may be held that comes through d.
func (c *Core) roomFor(d *FrontLimiter) bool {
	most := c.terms.set.MaxOpen
	if most == 0 {
		return true
	}
	kept := 0
	for _, x := range c.doors {
		if x != d {
			kept += max(most/2/len(c.doors)-x.open, 0)
		}
	}
	return c.open+c.behind.number()+kept < most
}

// leave takes a message that is over, or was never taken on, out of the counts.
func (c *Core) leave(h *held) {
	c.open--
	if c.behind.Backlog != nil {
		c.behind.LeaveWindow(h.msg.Partner)
	}
	if h.door != nil {
		h.door.open--
	}
}
