package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with the events scheduled on it. The zero value is a clock at
// time 0 without events.
type Clock struct {
	Now       time.Duration
	queue     queue
	scheduled int
}

// event is an action to run at a time.
type event struct {
	at     time.Duration
	order  int // order of scheduling, which decides between events at one time
	action func()
}

// queue is a heap of events by time and order of scheduling.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// After schedules an action to run after d.
func (c *Clock) After(d time.Duration, action func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.Now + d, c.scheduled, action})
}

// Run advances the clock by d and runs the events that are due by then.
func (c *Clock) Run(d time.Duration) {
	end := c.Now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.action()
	}
	c.Now = end
}

// Until advances the clock until a condition holds, at most by d. It returns the time this
// took and whether the condition held.
func (c *Clock) Until(d time.Duration, condition func() bool) (time.Duration, bool) {
	start := c.Now
	for !condition() {
		if c.Now-start >= d {
			return c.Now - start, false
		}
		c.Run(10 * time.Millisecond)
	}
	return c.Now - start, true
}
