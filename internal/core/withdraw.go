package core

import (
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// withdrawEvent asks for the end of an accepted message whose client has left without the response.
type withdrawEvent struct {
	id        string
	mayBeRead bool        // the client may have read the response
	response  chan<- bool // buffered
}

// Withdraw ends an accepted message as returned, because its client has left without the response and may hand it in
// again under another ID. mayBeRead is whether the response was written before the connection broke. Withdraw returns false
// if package permit does not allow it, or if the message is in the backlog. One that is being sent ends as returned if it
// turns out that it has not run.
func (c *Core) Withdraw(id string, mayBeRead bool) bool {
	response := make(chan bool, 1)
	if !c.post(withdrawEvent{id, mayBeRead, response}) {
		return false
	}
	select {
	case withdrawn := <-response:
		return withdrawn
	case <-c.done:
		return false
	}
}

// withdraw handles a withdrawEvent. The end is written in the step that follows, which sends the response.
func (c *Core) withdraw(ev withdrawEvent) {
	p, entry := c.pending[ev.id], c.store.Entry(ev.id)
	if p == nil || entry == nil {
		ev.response <- false
		return
	}
	if reason := p.stopBeforeSending(entry, ev.mayBeRead); reason != permit.Granted {
		p.clientLeft = p.clientLeft || reason == permit.AttemptInFlight
		c.monitor.CountDenied(reason, "withdraw", ev.id)
		ev.response <- false
		return
	}
	c.log.Debug("withdrawn", "id", ev.id, "response_written", ev.mayBeRead)
	c.endWithdrawn(ev.id, p)
	c.nextEvents = append(c.nextEvents, logic.ClientGone{ID: ev.id})
	c.withdrawals = append(c.withdrawals, ev)
}

// endWithdrawn ends a message of a client that has left as returned.
func (c *Core) endWithdrawn(id string, p *pendingMessage) {
	end := message.End{ID: id, State: message.Returned, At: c.clock.Now(), Attempts: p.attempts}
	c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: id, End: &end})
	c.traceEnd(id, p, end.State)
	c.endMessage(id, p)
	c.metrics.Returned.Add(1)
	c.unreportedEnds = append(c.unreportedEnds, endReport{p.msg, end, true})
}

// endsWithAttempt reports whether a message ends with the outcome of its attempt, which did not deliver it, because its
// client has left and no attempt may have run.
func (c *Core) endsWithAttempt(id string, p *pendingMessage) bool {
	entry := c.store.Entry(id)
	if !p.clientLeft || entry == nil {
		return false
	}
	return permit.Withdraw(p.withdrawal(entry)) == permit.Granted
}

// withdrawal returns the state of the message that determines whether it may be withdrawn, without its attempt in flight.
func (p *pendingMessage) withdrawal(entry *journal.Entry) permit.Withdrawal {
	return permit.Withdrawal{Ended: p.ended || entry.End != nil, MayHaveRun: p.mayHaveRun || entry.MayHaveRun,
		Resubmitted: p.resubmitted, Repeatable: p.class != nil && p.class.Effect != logic.Unsafe}
}

// stopBeforeSending returns why package permit does not allow the message to be withdrawn; [permit.Granted] if it does.
// Its attempt, if it has not begun, is withheld before the last look, whatever that gives; the scheduler decides anew if
// the message goes on.
func (p *pendingMessage) stopBeforeSending(entry *journal.Entry, mayBeRead bool) permit.Reason {
	state := p.withdrawal(entry)
	state.MayBeRead = mayBeRead
	if reason := permit.Withdraw(state); reason != permit.Granted || p.attempt == nil {
		return reason
	}
	p.attempt.Withhold(permit.ClientLeft)
	state.Sending = p.attempt.hasBegun()
	if reason := permit.Withdraw(state); reason != permit.Granted {
		return reason
	}
	p.cancel()
	return permit.Granted
}

// answerWithdrawals sends the responses to the withdrawals of this step. written reports whether their ends were
// written; one that was not is written later, but a process that starts after a crash would not know of it.
func (c *Core) answerWithdrawals(written bool) {
	for _, ev := range c.withdrawals {
		ev.response <- written
	}
	clear(c.withdrawals)
	c.withdrawals = c.withdrawals[:0]
}
