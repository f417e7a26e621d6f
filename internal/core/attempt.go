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

// callOuts makes the attempts of a step. Those at one endpoint travel as one call
// as far as its kind allows, in the order of the module's words. Without their
// records in the journal they are not made.
func (c *Core) startAttempts(work context.Context, outs []logic.StartAttempt, written bool) {
	if len(outs) == 0 {
		return
	}
	calls := map[logic.EndpointID][]*Attempt{} // that may take more
	for _, a := range outs {
		out := c.newAttempt(a)
		if out == nil {
			continue
		}
		if !written {
			c.pending[a.ID].cancel = func() {}
			ev := outcomesEvent{{attempt: out, result: Result{Outcome: logic.NotSent}}}
			time.AfterFunc(retryDelay, func() { c.post(ev) }) // a full disk, say: room may come
			continue
		}
		call := append(calls[a.Endpoint], out)
		if len(call) >= c.batchSize(a.Endpoint) {
			c.startCall(work, call)
			call = nil
		}
		calls[a.Endpoint] = call
	}
	for _, a := range outs { // in order: map iteration has none
		if call := calls[a.Endpoint]; len(call) > 0 {
			c.startCall(work, call)
			delete(calls, a.Endpoint)
		}
	}
}

// batch is how many messages one call to an endpoint takes.
func (c *Core) batchSize(ep logic.EndpointID) int {
	if k := c.directory.endpoints[ep].kind; k >= 0 && k < len(c.terms.settings.Kinds) {
		return max(c.terms.settings.Kinds[k].MaxBatch, 1)
	}
	return 1
}

// attempt books an attempt. It is nil for a message that is not held.
func (c *Core) newAttempt(a logic.StartAttempt) *Attempt {
	p := c.pending[a.ID]
	if p == nil { // never taken on; the module is still owed its one outcome
		c.nextEvents = append(c.nextEvents, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.NotSent})
		return nil
	}
	if p.cancel != nil || p.ended { // the module's books say otherwise: nothing goes out
		kind := permit.ConcurrentAttempts
		if p.ended {
			kind = permit.SentAfterEnd
		}
		c.monitor.CountViolation(kind, a.ID, "attempt", p.attempts, "withheld", true)
		c.nextEvents = append(c.nextEvents, logic.AttemptResult{ID: a.ID, MessageEnded: p.ended, Endpoint: a.Endpoint, Attempt: p.attempts, Outcome: logic.NotSent})
		return nil
	}
	to := c.directory.endpoints[a.Endpoint]
	out := &Attempt{Message: p.msg, Number: p.attempts, Endpoint: a.Endpoint, Addr: to.addr, Timeout: toDuration(a.Timeout), createdAt: time.Now(), firstID: a.ID,
		plannedShare: c.weightShare, allowedShare: c.allowedShare, monitor: c.monitor}
	p.attempts++
	class := cmp.Or(p.class, &logic.Class{Effect: logic.Unsafe})
	out.Unrepeatable = class.Effect == logic.Unsafe
	out.Expires = c.clock.Moment(p.msg.Deadline)
	if e := c.store.Entry(a.ID); e != nil && e.MayRun {
		out.Repeat = permit.Repeat{MayHaveRun: true, Effect: class.Effect, Window: toDuration(class.Window), Age: out.createdAt.Sub(c.clock.Moment(e.FirstMay))}
	}
	p.attempt, out.bodyInStore = out, p.bodyInStore
	c.metrics.Attempts.Add(1)
	c.traceAttempt(out)
	return out
}

// call makes attempts in one call. It is called off once each of them is; until
// then one that is called off shares the fate of the rest, if it went out.
func (c *Core) startCall(work context.Context, call []*Attempt) {
	ctx, stop := context.WithCancel(work)
	left := len(call)
	for _, out := range call {
		out.firstID = call[0].Message.ID
		stopped := false
		c.pending[out.Message.ID].cancel = func() { // by the loop alone
			if stopped {
				return
			}
			stopped = true
			out.Withhold(permit.Cancelled)
			if left--; left == 0 {
				stop()
			}
		}
	}
	go func() {
		defer stop()
		at := time.Now()
		results := c.executeCall(ctx, call)
		took := time.Since(at)
		ev, local := make(outcomesEvent, len(call)), false
		for i, out := range call {
			ev[i], local = attemptOutcome{out, results[i], took}, local || results[i].LocalFailure || out.Reason() == permit.LeaseReduced
		}
		if local {
			sleep(ctx, retryDelay) // descriptors, say: room may come
		}
		c.post(ev)
	}()
}

// carry makes the attempts of a call. One whose body can't be read back is none.
func (c *Core) executeCall(ctx context.Context, call []*Attempt) []Result {
	results, whole, at := make([]Result, len(call)), make([]*Attempt, 0, len(call)), make([]int, 0, len(call))
	for i, out := range call {
		if err := c.loadBody(out); err != nil {
			if out.Withhold(permit.NotWritten) && ctx.Err() == nil {
				c.log.Error("a message can't be sent", "id", out.Message.ID, "err", err)
			}
			results[i] = Result{Outcome: logic.NotSent, LocalFailure: true}
			continue
		}
		whole, at = append(whole, out), append(at, i)
	}
	switch len(whole) {
	case 0:
	case 1:
		results[at[0]] = c.transport.Attempt(ctx, whole[0])
	default:
		for i, r := range c.transport.Batch(ctx, whole) {
			results[at[i]] = r
		}
	}
	return results
}

// load reads back the body of a message that was left in the store.
func (c *Core) loadBody(out *Attempt) error {
	if !out.bodyInStore {
		return nil
	}
	c.storeMu.RLock()
	body, err := c.store.Body(out.Message.ID)
	c.storeMu.RUnlock()
	if err != nil {
		return err
	}
	whole := *out.Message
	whole.Body = body
	out.Message = &whole
	return nil
}

// pause waits for d or until ctx is over.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reply takes the one outcome of an attempt.
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
	r := ev.result
	if r.RequestedWait > 0 {
		c.applyRequestedWait(ev.attempt.Endpoint, r.RequestedWait)
		c.publishObservation(Observation{RequestedWait: r.RequestedWait}, ev.attempt.Endpoint)
	}
	ended := p.ended
	done := r.Outcome == logic.Completed || r.MessageEnded
	switch {
	case ended:
	case done:
		c.endDelivered(id, p, r)
	default:
		c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: id, MayRun: mayHaveRun(r.Outcome)})
	}
	if p.ended {
		delete(c.pending, id)
	}
	c.nextEvents = append(c.nextEvents, logic.AttemptResult{ID: id, MessageEnded: ended || done, Endpoint: ev.attempt.Endpoint,
		Attempt: ev.attempt.Number, Outcome: r.Outcome, Latency: toMicros(ev.took), RetryAfter: toMicros(r.RequestedWait), Load: r.Load})
}

// deliver ends a message that an attempt has ended.
func (c *Core) endDelivered(id string, p *pendingMessage, r Result) {
	now := c.clock.Now()
	end := message.End{ID: id, State: message.Delivered, At: now, Tries: p.attempts}
	heard := c.cfg.NotifyDelivered && r.Outcome == logic.Completed // by the sink
	if heard {
		c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: id, End: &end})
	} else {
		c.records = append(c.records, journal.Record{Op: journal.OpDone, ID: id, At: now})
	}
	c.unreportedEnds = append(c.unreportedEnds, endReport{p.msg, end, heard})
	c.metrics.Delivered.Add(1)
	c.traceEnd(id, p, message.Delivered)
	c.endMessage(id, p)
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Overloaded && o != logic.ConnectionRefused && o != logic.NotSent
}

// withhold keeps attempts that have not begun from going out: what the module decided before it knew better would
// reach the endpoint long after. They end as never sent.
func (c *Core) withhold(reason permit.Reason, match func(ep logic.EndpointID) bool) {
	for _, p := range c.pending {
		if p.cancel != nil && match(p.attempt.Endpoint) && p.attempt.Withhold(reason) {
			p.cancel()
		}
	}
}

// holdWait withholds calls to where a wait was told: the destination, or the one route where routes are apart.
func (c *Core) withholdForWait(ep logic.EndpointID) {
	to := c.directory.endpoints[ep]
	kinds := c.terms.settings.Kinds
	apart := to.kind >= 0 && to.kind < len(kinds) && kinds[to.kind].Independent
	c.withhold(permit.WaitRequested, func(x logic.EndpointID) bool {
		return x == ep || !apart && c.directory.endpoints[x].partner == to.partner
	})
}

func (c *Core) probe(work context.Context, ep logic.EndpointID) {
	addr := c.directory.endpoints[ep].addr
	go func() { c.post(probeOutcomeEvent{ep, c.transport.Probe(work, ep, addr)}) }()
}
