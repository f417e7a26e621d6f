package resp

import (
	"errors"
	"time"
)

// Slots for large requests, which bound the memory that they take.

// errNoLargeSlot reports that too many large requests are pending.
var errNoLargeSlot = errors.New("too many large requests")

// acquireLargeSlot waits for a slot for a large request, at most drainTimeout, or crowdedSlotWait. If there is none, a
// request that has one and comes slowly gives it up.
func (s *session) acquireLargeSlot() error {
	select {
	case s.front.largeSlots <- struct{}{}:
		s.setHasLargeSlot(true)
		return nil
	default:
		s.front.closeSlowLarge()
	}
	wait := drainTimeout
	if s.front.isCrowded() {
		wait = crowdedSlotWait
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case s.front.largeSlots <- struct{}{}:
		s.setHasLargeSlot(true)
		return nil
	case <-t.C:
		return errNoLargeSlot
	}
}

// setHasLargeSlot records whether the request that is arriving has a slot for large requests.
func (s *session) setHasLargeSlot(has bool) {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	s.hasLargeSlot = has
}

// closeSlowLarge asks the goroutine of the connection whose slow request has had a slot for large requests for longest to
// close it. It does nothing if there is none. A request whose next bytes have arrived is not slow: the process may have
// been held up.
func (c *Front) closeSlowLarge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var slowest *session
	for s := range c.sessions {
		if !s.hasLargeSlot || !s.lingeringSince.IsZero() || !s.roomConn().IsSlow(now) || s.hasUnreadBytes() {
			continue
		}
		if slowest == nil || s.requestBegan.Before(slowest.requestBegan) {
			slowest = s
		}
	}
	if slowest != nil {
		slowest.wakeToClose()
	}
}
