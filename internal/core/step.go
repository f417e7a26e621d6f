package core

import (
	"context"
	"slices"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// step lets the module decide, writes the journal, and then acts, in order.
func (c *Core) step(work context.Context) {
	c.endBehind()
	events := c.next
	c.next = nil
	actions := c.sender.Step(micros(time.Since(c.start)), events)
	answers := c.answers(actions)
	now := c.clock.Now()
	c.record(actions, answers, now)
	err := c.store.Append(c.records)
	notBehind := c.commitBehind(err)
	clear(c.records)
	c.records = c.records[:0]
	if err != nil {
		c.metrics.JournalErrors.Add(1)
		c.log.Error("journal", "err", err)
	}
	c.wroteBehind(err)
	c.answerPuts(answers, err, notBehind)
	var outs []logic.StartAttempt // some may share a call; the module says nothing more of one in the same step
	for _, a := range actions {
		if out, ok := a.(logic.StartAttempt); ok {
			outs = append(outs, out)
			continue
		}
		c.act(work, a, answers, now)
	}
	c.tellEnds(err == nil)
	c.callOuts(work, outs, err == nil)
	c.leaveBodies()
	clear(c.behind.placed)
	c.tellStates()
	c.workBehind()
	c.metrics.Pending.Store(int64(c.open))
	c.metrics.EndsAwaitingWrite.Store(int64(len(c.untold)))
}

// record adds what the module has decided to what the journal is to get.
func (c *Core) record(actions []logic.Action, answers map[string]SubmitResponse, now int64) {
	for _, p := range c.puts {
		id := p.msg.ID
		if _, told := answers[id]; !told && c.fresh[id] == p.msg && !c.behind.placed[id] {
			c.records = append(c.records, journal.Record{Op: journal.OpAccept,
				Entry: &journal.Entry{Message: *p.msg, AcceptedAt: c.held[id].accepted, Terms: c.held[id].terms}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.StartAttempt:
			c.records = append(c.records, journal.Record{Op: journal.OpSend, ID: a.ID, At: now,
				Zone: c.dir.zone(c.dir.eps[a.Endpoint].zone)})
		case logic.ReturnMessage, logic.FailMessage:
			end := c.endOf(a, now)
			if _, told := answers[end.ID]; !told && c.isOwed(end.ID) {
				c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
			}
		}
	}
	if len(c.records) > 0 { // a write is due anyway
		c.remember(rememberStep)
	}
}

// answerPuts tells clients what became of the messages that they have handed in. err
// is what became of the journal, notBehind of what goes behind windows.
func (c *Core) answerPuts(answers map[string]SubmitResponse, err, notBehind error) {
	for _, p := range c.puts {
		id := p.msg.ID
		switch answer, told := answers[id]; {
		case told:
			c.metrics.Rejected.Add(1)
			p.tell(answer)
		case c.behind.placed[id]:
			if notBehind != nil {
				p.tell(SubmitResponse{Status: Busy})
			} else {
				p.tell(SubmitResponse{Status: Accepted, Duplicate: c.fresh[id] != p.msg})
			}
		case err != nil && c.store.Entry(id) == nil: // not written, so not taken on
			c.metrics.Rejected.Add(1)
			p.tell(SubmitResponse{Status: Busy})
			if c.fresh[id] == p.msg {
				c.drop(id)
				c.next = append(c.next, logic.ClientGone{ID: id})
			}
		default:
			c.metrics.Accepted.Add(1)
			p.tell(SubmitResponse{Status: Accepted, Duplicate: c.fresh[id] != p.msg})
		}
	}
	clear(c.puts)
	c.puts = c.puts[:0]
}

// leaveBodies forgets the bodies of new messages that the store has taken over.
// Calls that are on their way have them still.
func (c *Core) leaveBodies() {
	for id := range c.fresh {
		c.leaveBody(id)
	}
	clear(c.fresh)
}

func (c *Core) leaveBody(id string) {
	if e, h := c.store.Entry(id), c.held[id]; e != nil && h != nil && e.StoredBodySize > 0 {
		without := *h.msg
		without.Body = nil
		h.msg, h.left = &without, true
	}
}

// isOwed says whether the message has been taken on and is not over.
func (c *Core) isOwed(id string) bool {
	e := c.store.Entry(id)
	return e != nil && e.End == nil || c.behind.fresh[id]
}

// endOf is the end that the module has decided on.
func (c *Core) endOf(a logic.Action, now int64) message.End {
	end := message.End{At: now}
	switch a := a.(type) {
	case logic.ReturnMessage:
		end.ID, end.State, end.RetryAfterMS = a.ID, message.Returned, int64((a.RetryIn+999)/1000)
	case logic.FailMessage:
		end.ID, end.State = a.ID, message.Failed
	}
	if h := c.held[end.ID]; h != nil {
		end.Attempts = h.tries
	}
	return end
}

// tellEnds tells of what has ended, as far as package permit allows it: what the journal
// does not hold yet waits for the next good write, which a timer sees to.
func (c *Core) tellEnds(written bool) {
	kept, again := c.untold[:0], retryPause
	for _, x := range c.untold {
		end := permit.End{Written: written, Delivered: x.end.State == message.Delivered, Remaining: time.Until(c.clock.Moment(x.msg.Deadline))}
		if reason := permit.NotifyEnd(end); reason != permit.Granted {
			c.monitor.CountDenied(reason, "tell end", x.end.ID)
			kept = append(kept, x)
			if end.Remaining > 0 {
				again = min(again, end.Remaining)
			}
			continue
		}
		if x.sink {
			if e := c.store.Entry(x.end.ID); written && (e == nil || e.End == nil) {
				c.monitor.CountViolation(permit.EndNotWritten, x.end.ID, "state", x.end.State)
			}
			c.tellEnd(x.msg, x.end)
		}
		c.ended = append(c.ended, x.end.ID)
	}
	clear(c.untold[len(kept):])
	c.untold = kept
	if len(kept) > 0 {
		time.AfterFunc(again, func() { c.post(writeEvent{}) })
	}
}

// untoldEnd is the end of a message of which nobody may be told yet; nil if there is none.
func (c *Core) untoldEnd(id string) *toldEnd {
	i := slices.IndexFunc(c.untold, func(x toldEnd) bool { return x.end.ID == id })
	if i < 0 {
		return nil
	}
	return &c.untold[i]
}

// tellEnd has the sink told of an end. To people and other programs its time is that of the wall clock.
func (c *Core) tellEnd(m *message.Message, end message.End) {
	end.At = c.clock.Wall(end.At).UnixMicro()
	c.sink.Add(m, end)
}

// drop forgets a message that was never taken on.
func (c *Core) drop(id string) {
	if h := c.held[id]; h != nil && !h.over {
		c.leave(h)
		delete(c.held, id)
	}
}

// finish takes a message off the books; the store remembers it.
func (c *Core) finish(id string, h *held) {
	if h.over {
		c.monitor.CountViolation(permit.EndedTwice, id)
		return
	}
	h.over = true
	if h.attempt != nil {
		h.attempt.ended.Store(true)
		if h.attempt.Withhold(permit.MessageEnded) { // it is connecting: nothing of the message may go out any more
			h.stop()
		}
	}
	c.leave(h)
	if h.stop == nil {
		delete(c.held, id)
	}
}

// act carries out one word of the module that is no call.
func (c *Core) act(work context.Context, a logic.Action, answers map[string]SubmitResponse, now int64) {
	switch a := a.(type) {
	case logic.Cancel:
		if h := c.held[a.ID]; h != nil && h.stop != nil && h.tries-1 == a.Attempt {
			h.stop()
		}
	case logic.ReturnMessage, logic.FailMessage:
		end := c.endOf(a, now)
		if h := c.held[end.ID]; h != nil && !h.over {
			c.traceEnd(end.ID, h, end.State)
		}
		if _, told := answers[end.ID]; told {
			c.drop(end.ID)
			return
		}
		if h := c.held[end.ID]; h != nil && !h.over {
			c.finish(end.ID, h)
			if end.State == message.Returned {
				c.metrics.Returned.Add(1)
			} else {
				c.metrics.Failed.Add(1)
			}
			c.untold = append(c.untold, toldEnd{h.msg, end, true})
		}
	case logic.SetTimer:
		c.due.Reset(span(a.Wait)) // it goes off no later than the one before
		c.token = a.Token
	case logic.Probe:
		c.probe(work, a.Endpoint)
	case logic.CloseIdle:
		c.transport.CloseIdle(a.Endpoint)
	case logic.RequestEndpoints:
		c.watch()
	case logic.HealthChange:
		c.share(Observation{Outage: a.Outage, Recovered: !a.Outage}, a.Endpoint)
	case logic.Log:
		c.log.Info(a.Text)
	}
}
