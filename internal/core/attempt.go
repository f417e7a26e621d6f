package core

import (
	"cmp"
	"context"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// startAttempts starts the attempts of a step. Attempts at one endpoint share calls as far as the endpoint's kind
// allows, in the order of the scheduler's actions. If their records could not be written, the attempts are not made.
func (c *Core) startAttempts(work context.Context, starts []logic.StartAttempt, written bool) {
	if len(starts) == 0 {
		return
	}
	calls := map[logic.EndpointID][]*Attempt{} // calls that have room for more attempts
	for _, start := range starts {
		attempt := c.newAttempt(start)
		if attempt == nil {
			continue
		}
		if !written {
			c.pending[start.ID].cancel = func() {}
			ev := outcomesEvent{{attempt: attempt, result: Result{Outcome: logic.NotSent}}}
			time.AfterFunc(retryDelay, func() { c.post(ev) }) // the cause may pass, such as a full disk
			continue
		}
		call := append(calls[start.Endpoint], attempt)
		if len(call) >= c.batchSize(start.Endpoint) {
			c.startCall(work, call)
			call = nil
		}
		calls[start.Endpoint] = call
	}
	for _, start := range starts { // over the slice, as the map has no order
		if call := calls[start.Endpoint]; len(call) > 0 {
			c.startCall(work, call)
			delete(calls, start.Endpoint)
		}
	}
}

// batchSize returns the maximum number of messages in one call to an endpoint.
func (c *Core) batchSize(ep logic.EndpointID) int {
	if kind := c.directory.endpoints[ep].kind; kind >= 0 && kind < len(c.terms.settings.Kinds) {
		return max(c.terms.settings.Kinds[kind].MaxBatch, 1)
	}
	return 1
}

// newAttempt creates an attempt. It returns nil and sends nothing if the message is not pending, has ended or has an
// attempt in flight; the scheduler gets an outcome for each of them.
func (c *Core) newAttempt(start logic.StartAttempt) *Attempt {
	p := c.pending[start.ID]
	if p == nil { // not accepted; the scheduler still expects one outcome
		c.nextEvents = append(c.nextEvents,
			logic.AttemptResult{ID: start.ID, MessageEnded: true, Endpoint: start.Endpoint, Outcome: logic.NotSent})
		return nil
	}
	if p.cancel != nil || p.ended { // the scheduler's state is inconsistent with that of the core: send nothing
		kind := permit.ConcurrentAttempts
		if p.ended {
			kind = permit.SentAfterEnd
		}
		c.monitor.CountViolation(kind, start.ID, "attempt", p.attempts, "withheld", true)
		c.nextEvents = append(c.nextEvents, logic.AttemptResult{ID: start.ID, MessageEnded: p.ended,
			Endpoint: start.Endpoint, Attempt: p.attempts, Outcome: logic.NotSent})
		return nil
	}
	endpoint := c.directory.endpoints[start.Endpoint]
	attempt := &Attempt{Message: p.msg, Number: p.attempts, Endpoint: start.Endpoint, Addr: endpoint.addr,
		Timeout: toDuration(start.Timeout), createdAt: time.Now(), firstID: start.ID,
		plannedShare: c.weightShare, allowedShare: c.allowedShare, monitor: c.monitor}
	p.attempts++
	class := cmp.Or(p.class, &logic.Class{Effect: logic.Unsafe})
	attempt.Unrepeatable = class.Effect == logic.Unsafe
	attempt.Expires = c.clock.Moment(p.msg.Deadline)
	if entry := c.store.Entry(start.ID); entry != nil && entry.MayHaveRun {
		attempt.Repeat = permit.Repeat{MayHaveRun: true, Effect: class.Effect, Window: toDuration(class.Window),
			Age: attempt.createdAt.Sub(c.clock.Moment(entry.MayHaveRunSince))}
	}
	p.attempt, attempt.bodyInStore = attempt, p.bodyInStore
	c.metrics.Attempts.Add(1)
	c.traceAttempt(attempt)
	return attempt
}

// startCall makes attempts in one call, in a goroutine of its own. The call is cancelled once all of its attempts are;
// until then a cancelled attempt that has begun stays in the call.
func (c *Core) startCall(work context.Context, call []*Attempt) {
	ctx, cancel := context.WithCancel(work)
	remaining := len(call)
	for _, attempt := range call {
		attempt.firstID = call[0].Message.ID
		cancelled := false
		c.pending[attempt.Message.ID].cancel = func() { // called by the loop only
			if cancelled {
				return
			}
			cancelled = true
			attempt.Withhold(permit.Cancelled)
			if remaining--; remaining == 0 {
				cancel()
			}
		}
	}
	go func() {
		defer cancel()
		startedAt := time.Now()
		results := c.executeCall(ctx, call)
		took := time.Since(startedAt)
		outcomes, localFailure := make(outcomesEvent, len(call)), false
		for i, attempt := range call {
			outcomes[i], localFailure = attemptOutcome{attempt, results[i], took},
				localFailure || results[i].LocalFailure || attempt.Reason() == permit.LeaseReduced
		}
		if localFailure {
			sleep(ctx, retryDelay) // the cause may pass, such as a lack of file descriptors
		}
		c.post(outcomes)
	}()
}

// executeCall makes the attempts of a call and returns their results. An attempt whose body can't be read back from the
// store is left out of the call and has the outcome [logic.NotSent].
func (c *Core) executeCall(ctx context.Context, call []*Attempt) []Result {
	results, loaded, indexes := make([]Result, len(call)), make([]*Attempt, 0, len(call)), make([]int, 0, len(call))
	for i, attempt := range call {
		if err := c.loadBody(attempt); err != nil {
			if attempt.Withhold(permit.NotWritten) && ctx.Err() == nil {
				c.log.Error("a message can't be sent", "id", attempt.Message.ID, "err", err)
			}
			results[i] = Result{Outcome: logic.NotSent, LocalFailure: true}
			continue
		}
		loaded, indexes = append(loaded, attempt), append(indexes, i)
	}
	switch len(loaded) {
	case 0:
	case 1:
		results[indexes[0]] = c.transport.Attempt(ctx, loaded[0])
	default:
		for i, r := range c.transport.Batch(ctx, loaded) {
			results[indexes[i]] = r
		}
	}
	return results
}

// loadBody reads the body of a message from the store if it is not in memory.
func (c *Core) loadBody(attempt *Attempt) error {
	if !attempt.bodyInStore {
		return nil
	}
	c.storeMu.RLock()
	body, err := c.store.Body(attempt.Message.ID)
	c.storeMu.RUnlock()
	if err != nil {
		return err
	}
	loaded := *attempt.Message
	loaded.Body = body
	attempt.Message = &loaded
	return nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleOutcome handles the outcome of an attempt; there is one for each attempt.
func (c *Core) handleOutcome(ev attemptOutcome) {
	id := ev.attempt.Message.ID
	p := c.pending[id]
	if p == nil {
		return
	}
	if p.cancel != nil {
		p.cancel()
		p.cancel, p.attempt = nil, nil
	}
	c.traceOutcome(ev)
	result := ev.result
	if result.RequestedWait > 0 {
		c.applyRequestedWait(ev.attempt.Endpoint, result.RequestedWait)
		c.publishObservation(Observation{RequestedWait: result.RequestedWait}, ev.attempt.Endpoint)
	}
	ended := p.ended
	done := result.Outcome == logic.Completed || result.MessageEnded
	switch {
	case ended:
	case done:
		c.endDelivered(id, p, result)
	default:
		p.mayHaveRun = p.mayHaveRun || mayHaveRun(result.Outcome)
		c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: id, MayHaveRun: mayHaveRun(result.Outcome)})
		if c.endsWithAttempt(id, p) {
			done = true
			c.endWithdrawn(id, p)
		}
	}
	if p.ended {
		delete(c.pending, id)
	}
	c.nextEvents = append(c.nextEvents, logic.AttemptResult{ID: id, MessageEnded: ended || done,
		Endpoint: ev.attempt.Endpoint, Attempt: ev.attempt.Number, Outcome: result.Outcome, Latency: toMicros(ev.took),
		RetryAfter: toMicros(result.RequestedWait), Load: result.Load})
}

// endDelivered ends a message that was delivered, or that the endpoint has declared as ended.
func (c *Core) endDelivered(id string, p *pendingMessage, result Result) {
	now := c.clock.Now()
	end := message.End{ID: id, State: message.Delivered, At: now, Attempts: p.attempts}
	notify := c.cfg.NotifyDelivered && result.Outcome == logic.Completed
	if notify {
		c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: id, End: &end})
	} else {
		c.records = append(c.records, journal.Record{Op: journal.OpDone, ID: id, At: now})
	}
	c.unreportedEnds = append(c.unreportedEnds, endReport{p.msg, end, notify})
	c.metrics.Delivered.Add(1)
	c.traceEnd(id, p, message.Delivered)
	c.endMessage(id, p)
}

// mayHaveRun reports whether a message may have taken effect at the endpoint, given the outcome of an attempt.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Overloaded && o != logic.ConnectionRefused && o != logic.NotSent
}

// withhold prevents attempts that have not begun from being sent. They were decided on before the scheduler had the
// information that reason stands for, and would reach the endpoint long after. They end as not sent.
func (c *Core) withhold(reason permit.Reason, match func(ep logic.EndpointID) bool) {
	for _, p := range c.pending {
		if p.cancel != nil && match(p.attempt.Endpoint) && p.attempt.Withhold(reason) {
			p.cancel()
		}
	}
}

// withholdForWait withholds the attempts to which a wait requested by an endpoint applies: those at the whole
// destination, or at this endpoint only if the endpoints of its kind are independent.
func (c *Core) withholdForWait(ep logic.EndpointID) {
	endpoint := c.directory.endpoints[ep]
	kinds := c.terms.settings.Kinds
	independent := endpoint.kind >= 0 && endpoint.kind < len(kinds) && kinds[endpoint.kind].Independent
	c.withhold(permit.WaitRequested, func(other logic.EndpointID) bool {
		return other == ep || !independent && c.directory.endpoints[other].partner == endpoint.partner
	})
}

func (c *Core) probe(work context.Context, ep logic.EndpointID) {
	addr := c.directory.endpoints[ep].addr
	go func() { c.post(probeOutcomeEvent{ep, c.transport.Probe(work, ep, addr)}) }()
}
