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

// step passes the collected events to the scheduler, writes the resulting records to the journal, and then carries out
// the scheduler's actions, in order.
func (c *Core) step(work context.Context) {
	c.endExpiredBacklog()
	events := c.nextEvents
	c.nextEvents = nil
	actions := c.scheduler.Step(toMicros(time.Since(c.startedAt)), events)
	responses := c.immediateResponses(actions)
	now := c.clock.Now()
	c.recordActions(actions, responses, now)
	err := c.store.Append(c.records)
	backlogErr := c.commitBacklog(err)
	clear(c.records)
	c.records = c.records[:0]
	if err != nil {
		c.metrics.JournalErrors.Add(1)
		c.log.Error("journal", "err", err)
	}
	c.applyBacklogWrite(err)
	c.respondToSubmissions(responses, err, backlogErr)
	c.answerWithdrawals(err == nil)
	// Attempts are started together, as some may share a call. The step has no other action for their messages.
	var starts []logic.StartAttempt
	for _, a := range actions {
		if start, ok := a.(logic.StartAttempt); ok {
			starts = append(starts, start)
			continue
		}
		c.performAction(work, a, responses, now)
	}
	c.reportEnds(err == nil)
	c.answerDuplicates()
	c.startAttempts(work, starts, err == nil)
	c.releaseBodies()
	clear(c.backlog.spilledIDs)
	c.answerStateQueries()
	c.scheduleBacklogWork()
	c.metrics.Pending.Store(int64(c.pendingCount))
	c.metrics.EndsAwaitingWrite.Store(int64(len(c.unreportedEnds)))
}

// recordActions adds the journal records of accepted messages and of the scheduler's actions.
func (c *Core) recordActions(actions []logic.Action, responses map[string]SubmitResponse, now int64) {
	for _, submission := range c.submissions {
		id := submission.msg.ID
		if _, rejected := responses[id]; !rejected && c.newMessages[id] == submission.msg && !c.backlog.spilledIDs[id] {
			c.records = append(c.records, journal.Record{Op: journal.OpAccept,
				Entry: &journal.Entry{Message: *submission.msg, AcceptedAt: c.pending[id].acceptedAt,
					Terms: c.pending[id].termsNumber}})
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.StartAttempt:
			c.records = append(c.records, journal.Record{Op: journal.OpSend, ID: a.ID, At: now,
				Zone: c.directory.zoneName(c.directory.endpoints[a.Endpoint].zone)})
		case logic.ReturnMessage, logic.FailMessage:
			end := c.endFor(a, now)
			if _, rejected := responses[end.ID]; !rejected && c.isPending(end.ID) {
				c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
			}
		}
	}
	if len(c.records) > 0 { // the journal is written in this step anyway
		c.savePartners(maxSavedPerStep)
	}
}

// respondToSubmissions sends the responses to the submissions of this step. err is the error of the write to the
// journal, and backlogErr that of the write to the backlog.
func (c *Core) respondToSubmissions(responses map[string]SubmitResponse, err, backlogErr error) {
	for _, submission := range c.submissions {
		id := submission.msg.ID
		switch response, rejected := responses[id]; {
		case rejected:
			c.metrics.Rejected.Add(1)
			submission.respond(response)
		case c.backlog.spilledIDs[id]:
			if backlogErr != nil {
				submission.respond(SubmitResponse{Status: Busy})
			} else {
				submission.respond(SubmitResponse{Status: Accepted, Duplicate: c.newMessages[id] != submission.msg})
			}
		case err != nil && c.store.Entry(id) == nil: // not in the journal, so not accepted
			c.metrics.Rejected.Add(1)
			submission.respond(SubmitResponse{Status: Busy})
			if c.newMessages[id] == submission.msg {
				c.dropUnaccepted(id)
				c.nextEvents = append(c.nextEvents, logic.ClientGone{ID: id})
			}
		default:
			c.metrics.Accepted.Add(1)
			submission.respond(SubmitResponse{Status: Accepted, Duplicate: c.newMessages[id] != submission.msg})
		}
	}
	clear(c.submissions)
	c.submissions = c.submissions[:0]
}

// releaseBodies drops the bodies of new messages that the store can read back. Calls in flight still have them.
func (c *Core) releaseBodies() {
	for id := range c.newMessages {
		c.releaseBody(id)
	}
	clear(c.newMessages)
}

func (c *Core) releaseBody(id string) {
	if entry, p := c.store.Entry(id), c.pending[id]; entry != nil && p != nil && entry.StoredBodySize > 0 {
		stripped := *p.msg
		stripped.Body = nil
		p.msg, p.bodyInStore = &stripped, true
	}
}

// isPending reports whether a message has been accepted and has not ended.
func (c *Core) isPending(id string) bool {
	entry := c.store.Entry(id)
	return entry != nil && entry.End == nil || c.backlog.refilledIDs[id]
}

// endFor returns the end of a message that the scheduler returns or fails.
func (c *Core) endFor(a logic.Action, now int64) message.End {
	end := message.End{At: now}
	switch a := a.(type) {
	case logic.ReturnMessage:
		end.ID, end.State, end.RetryAfterMS = a.ID, message.Returned, int64((a.RetryIn+999)/1000)
	case logic.FailMessage:
		end.ID, end.State = a.ID, message.Failed
	}
	if p := c.pending[end.ID]; p != nil {
		end.Attempts = p.attempts
	}
	return end
}

// reportEnds reports the ends that package permit allows to be reported. Ends that are not in the journal yet wait for
// the next successful write, which a timer triggers.
func (c *Core) reportEnds(written bool) {
	kept, retryIn := c.unreportedEnds[:0], retryDelay
	for _, report := range c.unreportedEnds {
		end := permit.End{Written: written, Delivered: report.end.State == message.Delivered,
			Remaining: time.Until(c.clock.Moment(report.msg.Deadline))}
		if reason := permit.NotifyEnd(end); reason != permit.Granted {
			c.monitor.CountDenied(reason, "report end", report.end.ID)
			kept = append(kept, report)
			if end.Remaining > 0 {
				retryIn = min(retryIn, end.Remaining)
			}
			continue
		}
		if report.notify {
			if entry := c.store.Entry(report.end.ID); written && (entry == nil || entry.End == nil) {
				c.monitor.CountViolation(permit.EndNotWritten, report.end.ID, "state", report.end.State)
			}
			c.notifySink(report.msg, report.end)
		}
		c.endedIDs = append(c.endedIDs, report.end.ID)
	}
	clear(c.unreportedEnds[len(kept):])
	c.unreportedEnds = kept
	if len(kept) > 0 {
		time.AfterFunc(retryIn, func() { c.post(retryWriteEvent{}) })
	}
}

// unreportedEnd returns the end of a message if it must not be reported yet; otherwise nil.
func (c *Core) unreportedEnd(id string) *endReport {
	i := slices.IndexFunc(c.unreportedEnds, func(x endReport) bool { return x.end.ID == id })
	if i < 0 {
		return nil
	}
	return &c.unreportedEnds[i]
}

// notifySink passes an end to the sink. Its time is converted to wall-clock time for operators and other programs.
func (c *Core) notifySink(m *message.Message, end message.End) {
	end.At = c.clock.Wall(end.At).UnixMicro()
	c.sink.Add(m, end)
}

// dropUnaccepted removes a message that was not accepted.
func (c *Core) dropUnaccepted(id string) {
	if p := c.pending[id]; p != nil && !p.ended {
		c.uncount(p)
		delete(c.pending, id)
	}
}

// endMessage marks a message as ended and removes it from the pending messages unless an attempt is in flight. The
// store still knows its end.
func (c *Core) endMessage(id string, p *pendingMessage) {
	if p.ended {
		c.monitor.CountViolation(permit.EndedTwice, id)
		return
	}
	p.ended = true
	if p.attempt != nil {
		p.attempt.messageEnded.Store(true)
		if p.attempt.Withhold(permit.MessageEnded) { // it is connecting: nothing of the message may be sent any more
			p.cancel()
		}
	}
	c.uncount(p)
	if p.cancel == nil {
		delete(c.pending, id)
	}
}

// performAction carries out an action of the scheduler other than StartAttempt.
func (c *Core) performAction(work context.Context, a logic.Action, responses map[string]SubmitResponse, now int64) {
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
		if _, rejected := responses[end.ID]; rejected {
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
		c.schedulerTimer.Reset(toDuration(a.Wait)) // the new timer expires no later than the previous one
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
