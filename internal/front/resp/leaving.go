package resp

import (
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

// A client that leaves may hand its messages in again, under other IDs. So requests that were read after it has closed
// its connection are not executed, and messages whose acceptance it has not read are withdrawn if they were not tried.

const (
	// clientWait is how long a client waits for a response, by the protocol of the platform.
	clientWait = 400 * time.Millisecond
	// unheardWindow is how old a response may be that the client of a connection that is reset has not read: it has waited
	// for clientWait, and this process may have noticed the reset late.
	unheardWindow = clientWait + permit.MaxStall + inTransit
)

// inTransit is how long a response may take to arrive. A client that has ended its side in order had read all that had
// arrived; if its connection is reset after that, it has not read what was in transit. This process may see the end late.
const (
	inTransit        = 50 * time.Millisecond
	unheardBeforeEnd = inTransit + permit.MaxStall
)

// resetPollInterval is the time between two looks for a reset.
const resetPollInterval = 5 * time.Millisecond

// acceptedMessage is a message whose acceptance has been written to the client, or could not be.
type acceptedMessage struct {
	id         string
	answeredAt time.Time
	written    bool // the write of the response has succeeded: the client may have read it
}

// clientLeft reports whether the client has closed the connection, or its side of it.
func (s *session) clientLeft() bool { return s.hangup() != netutil.NotEnded }

// hangup returns how far the client has ended the connection, and notes when an orderly end was first seen.
func (s *session) hangup() netutil.Hangup {
	hangup := netutil.PeerHangup(s.conn)
	if hangup == netutil.EndedInput {
		s.endedInputAt.CompareAndSwap(0, int64(time.Since(s.openedAt)))
	}
	return hangup
}

// respondSubmitted returns the response to a submitted message. A message that was accepted after its client had left is
// withdrawn. It is called by the writing goroutine.
func (s *session) respondSubmitted(id string, submitted core.SubmitResponse) string {
	if s.front.opts.Withdraw == nil || submitted.Status != core.Accepted || submitted.Duplicate {
		return s.front.formatResult(submitted)
	}
	if s.hangup() == netutil.EndedInput && s.front.opts.Withdraw(id, false) {
		return formatBusy(0)
	}
	now := time.Now()
	s.forgetHeard(now, unheardWindow)
	s.accepted = append(s.accepted, acceptedMessage{id: id, answeredAt: now})
	return s.front.formatResult(submitted)
}

// responsesWritten records that all responses so far have been written to the connection: only now may a client read
// them, as the process may have been held up before the write.
func (s *session) responsesWritten() {
	now := time.Now()
	for i := range s.accepted {
		if m := &s.accepted[i]; !m.written {
			m.written, m.answeredAt = true, now
		}
	}
}

// forgetHeard drops the messages whose acceptance was written longer than window before a time.
func (s *session) forgetHeard(at time.Time, window time.Duration) {
	count := 0
	for count < len(s.accepted) && at.Sub(s.accepted[count].answeredAt) > window {
		count++
	}
	s.accepted = s.accepted[count:]
}

// isReset reports whether the connection is reset. If a response was in transit when the client ended its side, it waits
// for the reset that this response would cause.
func (s *session) isReset() bool {
	hangup := s.hangup()
	if at := s.endedInputAt.Load(); hangup == netutil.EndedInput && at != 0 {
		s.forgetHeard(s.openedAt.Add(time.Duration(at)), unheardBeforeEnd)
		for giveUpAt := time.Now().Add(inTransit); len(s.accepted) > 0 && hangup != netutil.Reset &&
			time.Now().Before(giveUpAt); hangup = netutil.PeerHangup(s.conn) {
			time.Sleep(resetPollInterval)
		}
	}
	return hangup == netutil.Reset
}

// withdrawUnheard withdraws the messages whose acceptance the client of a connection that was reset may not have read. It
// is called when both goroutines are done.
func (s *session) withdrawUnheard() {
	if at := s.endedInputAt.Load(); at != 0 {
		s.forgetHeard(s.openedAt.Add(time.Duration(at)), unheardBeforeEnd)
	} else {
		s.forgetHeard(time.Now(), unheardWindow)
	}
	if len(s.accepted) == 0 {
		return
	}
	var withdrawn atomic.Int32
	var all sync.WaitGroup // together, as each waits for a step of the core
	for _, m := range s.accepted {
		all.Go(func() {
			if s.front.opts.Withdraw(m.id, m.written) {
				withdrawn.Add(1)
			}
		})
	}
	all.Wait()
	s.front.log.Debug("client left without responses", "remote", s.conn.RemoteAddr().String(),
		"accepted", len(s.accepted), "withdrawn", withdrawn.Load())
}
