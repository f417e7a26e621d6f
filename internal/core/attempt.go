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
func (c *Core) callOuts(work context.Context, outs []logic.StartAttempt, written bool) {
	if len(outs) == 0 {
		return
	}
	calls := map[logic.EndpointID][]*Attempt{} // that may take more
	for _, a := range outs {
		out := c.attempt(a)
		if out == nil {
			continue
		}
		if !written {
			c.held[a.ID].stop = func() {}
			ev := replyEvent{{attempt: out, result: Result{Outcome: logic.NotSent}}}
			time.AfterFunc(retryPause, func() { c.post(ev) }) // a full disk, say: room may come
			continue
		}
		call := append(calls[a.Endpoint], out)
		if len(call) >= c.batch(a.Endpoint) {
			c.call(work, call)
			call = nil
		}
		calls[a.Endpoint] = call
	}
	for _, a := range outs { // in order: map iteration has none
		if call := calls[a.Endpoint]; len(call) > 0 {
			c.call(work, call)
			delete(calls, a.Endpoint)
		}
	}
}

// batch is how many messages one call to an endpoint takes.
func (c *Core) batch(ep logic.EndpointID) int {
	if k := c.dir.eps[ep].kind; k >= 0 && k < len(c.terms.set.Kinds) {
		return max(c.terms.set.Kinds[k].MaxBatch, 1)
	}
	return 1
}

// attempt books an attempt. It is nil for a message that is not held.
func (c *Core) attempt(a logic.StartAttempt) *Attempt {
	h := c.held[a.ID]
	if h == nil { // never taken on; the module is still owed its one outcome
		c.next = append(c.next, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.NotSent})
		return nil
	}
	if h.stop != nil || h.over { // the module's books say otherwise: nothing goes out
		kind := permit.ConcurrentAttempts
		if h.over {
			kind = permit.SentAfterEnd
		}
		c.monitor.CountViolation(kind, a.ID, "attempt", h.tries, "withheld", true)
		c.next = append(c.next, logic.AttemptResult{ID: a.ID, MessageEnded: h.over, Endpoint: a.Endpoint, Attempt: h.tries, Outcome: logic.NotSent})
		return nil
	}
	to := c.dir.eps[a.Endpoint]
	out := &Attempt{Message: h.msg, Number: h.tries, Endpoint: a.Endpoint, Addr: to.addr, Timeout: span(a.Timeout), at: time.Now(), first: a.ID,
		part: c.part, allowed: c.allowed, monitor: c.monitor}
	h.tries++
	class := cmp.Or(h.class, &logic.Class{Effect: logic.Unsafe})
	out.Unrepeatable = class.Effect == logic.Unsafe
	out.Expires = c.clock.Moment(h.msg.Deadline)
	if e := c.store.Entry(a.ID); e != nil && e.MayHaveRun {
		out.Repeat = permit.Repeat{MayHaveRun: true, Effect: class.Effect, Window: span(class.Window), Age: out.at.Sub(c.clock.Moment(e.MayHaveRunSince))}
	}
	h.attempt, out.left = out, h.left
	c.metrics.Attempts.Add(1)
	c.traceCall(out)
	return out
}

// call makes attempts in one call. It is called off once each of them is; until
// then one that is called off shares the fate of the rest, if it went out.
func (c *Core) call(work context.Context, call []*Attempt) {
	ctx, stop := context.WithCancel(work)
	left := len(call)
	for _, out := range call {
		out.first = call[0].Message.ID
		stopped := false
		c.held[out.Message.ID].stop = func() { // by the loop alone
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
		results := c.carry(ctx, call)
		took := time.Since(at)
		ev, local := make(replyEvent, len(call)), false
		for i, out := range call {
			ev[i], local = reply{out, results[i], took}, local || results[i].LocalFailure || out.Reason() == permit.LeaseReduced
		}
		if local {
			pause(ctx, retryPause) // descriptors, say: room may come
		}
		c.post(ev)
	}()
}

// carry makes the attempts of a call. One whose body can't be read back is none.
func (c *Core) carry(ctx context.Context, call []*Attempt) []Result {
	results, whole, at := make([]Result, len(call)), make([]*Attempt, 0, len(call)), make([]int, 0, len(call))
	for i, out := range call {
		if err := c.load(out); err != nil {
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
func (c *Core) load(out *Attempt) error {
	if !out.left {
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
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reply takes the one outcome of an attempt.
func (c *Core) reply(ev reply) {
	id := ev.attempt.Message.ID
	h := c.held[id]
	if h == nil {
		return
	}
	if h.stop != nil {
		h.stop()
		h.stop, h.attempt = nil, nil
	}
	c.traceReply(ev)
	r := ev.result
	if r.RequestedWait > 0 {
		c.waits(ev.attempt.Endpoint, r.RequestedWait)
		c.share(Observation{RequestedWait: r.RequestedWait}, ev.attempt.Endpoint)
	}
	ended := h.over
	done := r.Outcome == logic.Completed || r.MessageEnded
	switch {
	case ended:
	case done:
		c.deliver(id, h, r)
	default:
		c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: id, MayHaveRun: mayHaveRun(r.Outcome)})
	}
	if h.over {
		delete(c.held, id)
	}
	c.next = append(c.next, logic.AttemptResult{ID: id, MessageEnded: ended || done, Endpoint: ev.attempt.Endpoint,
		Attempt: ev.attempt.Number, Outcome: r.Outcome, Latency: micros(ev.took), RetryAfter: micros(r.RequestedWait), Load: r.Load})
}

// deliver ends a message that an attempt has ended.
func (c *Core) deliver(id string, h *held, r Result) {
	now := c.clock.Now()
	end := message.End{ID: id, State: message.Delivered, At: now, Attempts: h.tries}
	heard := c.cfg.NotifyDelivered && r.Outcome == logic.Completed // by the sink
	if heard {
		c.records = append(c.records, journal.Record{Op: journal.OpEnd, ID: id, End: &end})
	} else {
		c.records = append(c.records, journal.Record{Op: journal.OpDone, ID: id, At: now})
	}
	c.untold = append(c.untold, toldEnd{h.msg, end, heard})
	c.metrics.Delivered.Add(1)
	c.traceEnd(id, h, message.Delivered)
	c.finish(id, h)
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Overloaded && o != logic.ConnectionRefused && o != logic.NotSent
}

// withhold keeps attempts that have not begun from going out: what the module decided before it knew better would
// reach the endpoint long after. They end as never sent.
func (c *Core) withhold(reason permit.Reason, match func(ep logic.EndpointID) bool) {
	for _, h := range c.held {
		if h.stop != nil && match(h.attempt.Endpoint) && h.attempt.Withhold(reason) {
			h.stop()
		}
	}
}

// holdWait withholds calls to where a wait was told: the destination, or the one route where routes are apart.
func (c *Core) holdWait(ep logic.EndpointID) {
	to := c.dir.eps[ep]
	kinds := c.terms.set.Kinds
	apart := to.kind >= 0 && to.kind < len(kinds) && kinds[to.kind].Independent
	c.withhold(permit.WaitRequested, func(x logic.EndpointID) bool { return x == ep || !apart && c.dir.eps[x].partner == to.partner })
}

func (c *Core) probe(work context.Context, ep logic.EndpointID) {
	addr := c.dir.eps[ep].addr
	go func() { c.post(healthEvent{ep, c.transport.Probe(work, ep, addr)}) }()
}
