package virtual

import (
	"container/heap"
	"time"
)

// Clock is virtual time with what is to happen in it.
type Clock struct {
	Now       time.Duration
	queue     eventQueue
	scheduled int
}

type event struct {
	at     time.Duration
	order  int // of two at one time the one that was asked for first goes first
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// After has something happen after a span.
func (c *Clock) After(d time.Duration, what func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.Now + d, c.scheduled, what})
}

// Run lets time pass.
func (c *Clock) Run(d time.Duration) {
	end := c.Now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.action()
	}
	c.Now = end
}

// Until lets time pass until something holds, at most d; it returns how long that
// took, and whether it held.
func (c *Clock) Until(d time.Duration, holds func() bool) (time.Duration, bool) {
	from := c.Now
	for !holds() {
		if c.Now-from >= d {
			return c.Now - from, false
		}
		c.Run(10 * time.Millisecond)
	}
	return c.Now - from, true
}
