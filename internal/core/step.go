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
	c.endExpiredBacklog()
	events := c.nextEvents
	c.nextEvents = nil
	actions := c.sender.Step(toMicros(time.Since(c.start)), events)
	answers := c.immediateResponses(actions)
	now := c.clock.Now()
	c.recordActions(actions, answers, now)
	err := c.store.Append(c.records)
	notBehind := c.commitBacklog(err)
	clear(c.records)
	c.records = c.records[:0]
	if err != nil {
		c.metrics.JournalErrors.Add(1)
		c.log.Error("journal", "err", err)
	}
	c.applyBacklogWrite(err)
	c.respondToSubmissions(answers, err, notBehind)
	var outs []logic.StartAttempt // some may share a call; the module says nothing more of one in the same step
	for _, a := range actions {
		if out, ok := a.(logic.StartAttempt); ok {
			outs = append(outs, out)
			continue
		}
		c.performAction(work, a, answers, now)
	}
	c.reportEnds(err == nil)
	c.startAttempts(work, outs, err == nil)
	c.releaseBodies()
	clear(c.backlog.spilledIDs)
	c.answerStateQueries()
	c.scheduleBacklogWork()
	c.metrics.Pending.Store(int64(c.pendingCount))
	c.metrics.EndsAwaitingWrite.Store(int64(len(c.unreportedEnds)))
}

// record adds what the module has decided to what the journal is to get.
func (c *Core) recordActions(actions []logic.Action, answers map[string]SubmitResponse, now int64) {
	for _, p := range c.submissions {
		id := p.msg.ID
		if _, told := answers[id]; !told && c.newMessages[id] == p.msg && !c.backlog.spilledIDs[id] {
			c.records = append(c.records, journal.Record{Op: journal.OpAccept,
				Entry: &journal.Entry{Message: *p.msg, Accepted: c.pending[id].acceptedAt, Terms: c.pending[id].termsNumber}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.StartAttempt:
			c.records = append(c.records, journal.Record{Op: journal.OpSend, ID: a.ID, At: now,
				Zone: c.directory.zoneName(c.directory.endpoints[a.Endpoint].zone)})
		case logic.ReturnMessage, logic.FailMessage:
			end := c.endFor(a, now)
			if _, told := answers[end.ID]; !told && c.isPending(end.ID) {
				c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
			}
		}
	}
	if len(c.records) > 0 { // a write is due anyway
		c.savePartners(maxSavedPerStep)
	}
}

// answerPuts tells clients what became of the messages that they have handed in. err
// is what became of the journal, notBehind of what goes behind windows.
func (c *Core) respondToSubmissions(answers map[string]SubmitResponse, err, notBehind error) {
	for _, p := range c.submissions {
		id := p.msg.ID
		switch answer, told := answers[id]; {
		case told:
			c.metrics.Rejected.Add(1)
			p.respond(answer)
		case c.backlog.spilledIDs[id]:
			if notBehind != nil {
				p.respond(SubmitResponse{Status: Busy})
			} else {
				p.respond(SubmitResponse{Status: Accepted, Duplicate: c.newMessages[id] != p.msg})
			}
		case err != nil && c.store.Entry(id) == nil: // not written, so not taken on
			c.metrics.Rejected.Add(1)
			p.respond(SubmitResponse{Status: Busy})
			if c.newMessages[id] == p.msg {
				c.dropUnaccepted(id)
				c.nextEvents = append(c.nextEvents, logic.ClientGone{ID: id})
			}
		default:
			c.metrics.Accepted.Add(1)
			p.respond(SubmitResponse{Status: Accepted, Duplicate: c.newMessages[id] != p.msg})
		}
	}
	clear(c.submissions)
	c.submissions = c.submissions[:0]
}

// leaveBodies forgets the bodies of new messages that the store has taken over.
// Calls that are on their way have them still.
func (c *Core) releaseBodies() {
	for id := range c.newMessages {
		c.releaseBody(id)
	}
	clear(c.newMessages)
}

func (c *Core) releaseBody(id string) {
	if e, p := c.store.Entry(id), c.pending[id]; e != nil && p != nil && e.Left > 0 {
		without := *p.msg
		without.Body = nil
		p.msg, p.bodyInStore = &without, true
	}
}

// isOwed says whether the message has been taken on and is not over.
func (c *Core) isPending(id string) bool {
	e := c.store.Entry(id)
	return e != nil && e.End == nil || c.backlog.refilledIDs[id]
}

// endOf is the end that the module has decided on.
func (c *Core) endFor(a logic.Action, now int64) message.End {
	end := message.End{At: now}
	switch a := a.(type) {
	case logic.ReturnMessage:
		end.ID, end.State, end.AfterMS = a.ID, message.Returned, int64((a.RetryIn+999)/1000)
	case logic.FailMessage:
		end.ID, end.State = a.ID, message.Failed
	}
	if p := c.pending[end.ID]; p != nil {
		end.Tries = p.attempts
	}
	return end
}

// tellEnds tells of what has ended, as far as package permit allows it: what the journal
// does not hold yet waits for the next good write, which a timer sees to.
func (c *Core) reportEnds(written bool) {
	kept, again := c.unreportedEnds[:0], retryDelay
	for _, x := range c.unreportedEnds {
		end := permit.End{Written: written, Delivered: x.end.State == message.Delivered, Remaining: time.Until(c.clock.Moment(x.msg.Deadline))}
		if reason := permit.NotifyEnd(end); reason != permit.Granted {
			c.monitor.CountDenied(reason, "tell end", x.end.ID)
			kept = append(kept, x)
			if end.Remaining > 0 {
				again = min(again, end.Remaining)
			}
			continue
		}
		if x.notify {
			if e := c.store.Entry(x.end.ID); written && (e == nil || e.End == nil) {
				c.monitor.CountViolation(permit.EndNotWritten, x.end.ID, "state", x.end.State)
			}
			c.notifySink(x.msg, x.end)
		}
		c.endedIDs = append(c.endedIDs, x.end.ID)
	}
	clear(c.unreportedEnds[len(kept):])
	c.unreportedEnds = kept
	if len(kept) > 0 {
		time.AfterFunc(again, func() { c.post(retryWriteEvent{}) })
	}
}

// untoldEnd is the end of a message of which nobody may be told yet; nil if there is none.
func (c *Core) unreportedEnd(id string) *endReport {
	i := slices.IndexFunc(c.unreportedEnds, func(x endReport) bool { return x.end.ID == id })
	if i < 0 {
		return nil
	}
	return &c.unreportedEnds[i]
}

// tellEnd has the sink told of an end. To people and other programs its time is that of the wall clock.
func (c *Core) notifySink(m *message.Message, end message.End) {
	end.At = c.clock.Wall(end.At).UnixMicro()
	c.sink.Add(m, end)
}

// drop forgets a message that was never taken on.
func (c *Core) dropUnaccepted(id string) {
	if p := c.pending[id]; p != nil && !p.ended {
		c.uncount(p)
		delete(c.pending, id)
	}
}

// finish takes a message off the books; the store remembers it.
func (c *Core) endMessage(id string, p *pendingMessage) {
	if p.ended {
		c.monitor.CountViolation(permit.EndedTwice, id)
		return
	}
	p.ended = true
	if p.attempt != nil {
		p.attempt.messageEnded.Store(true)
		if p.attempt.Withhold(permit.MessageEnded) { // it is connecting: nothing of the message may go out any more
			p.cancel()
		}
	}
	c.uncount(p)
	if p.cancel == nil {
		delete(c.pending, id)
	}
}

// act carries out one word of the module that is no call.
func (c *Core) performAction(work context.Context, a logic.Action, answers map[string]SubmitResponse, now int64) {
	switch a := a.(type) {
	case logic.Cancel:
		if p := c.pending[a.ID]; p != nil && p.cancel != nil && p.attempts-1 == a.Attempt {
			p.cancel()
		}
	case logic.ReturnMessage, logic.FailMessage:
		end := c.endFor(a, now)
		if p := c.pending[end.ID]; p != nil && !p.ended {
			c.traceEnd(end.ID, p, end.State)
		}
		if _, told := answers[end.ID]; told {
			c.dropUnaccepted(end.ID)
			return
		}
		if p := c.pending[end.ID]; p != nil && !p.ended {
			c.endMessage(end.ID, p)
			if end.State == message.Returned {
				c.metrics.Returned.Add(1)
			} else {
				c.metrics.Failed.Add(1)
			}
			c.unreportedEnds = append(c.unreportedEnds, endReport{p.msg, end, true})
		}
	case logic.SetTimer:
		c.timer.Reset(toDuration(a.Wait)) // it goes off no later than the one before
		c.timerToken = a.Token
	case logic.Probe:
		c.probe(work, a.Endpoint)
	case logic.CloseIdle:
		c.transport.CloseIdle(a.Endpoint)
	case logic.RequestEndpoints:
		c.watchEndpoints()
	case logic.HealthChange:
		c.publishObservation(Observation{Outage: a.Outage, Recovered: !a.Outage}, a.Endpoint)
	case logic.Log:
		c.log.Info(a.Text)
	}
}
