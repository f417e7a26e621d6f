package core

import (
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/permit"
)

// After a handover the predecessor finishes its attempts in flight and serves its remaining clients: it forwards
// outcomes, submissions and state queries to the successor.

const (
	// maxForwarded is the maximum number of forwarded requests of each kind without a response.
	maxForwarded = 1024
	// finalResponseTimeout is the time for the successor's responses when this process exits, even if the successor
	// is stalled meanwhile.
	finalResponseTimeout = permit.MaxStall + 50*time.Millisecond
	// clientGiveUpTime is the time in which clients give up requests that the successor had received before it
	// exited. It may have accepted them, and then any response but an acceptance would be wrong.
	clientGiveUpTime = 500 * time.Millisecond
)

// relay is the state of a process after its handover. It is used by [relay.run] only.
type relay struct {
	core          *Core
	successor     Successor
	successorGone bool // the link to the successor is closed
	stopping      bool // this process exits: only responses are waited for
	clientsGone   bool // all client connections are closed
	inFlight      map[string]*pendingMessage
	submissions   map[uint64]submitEvent     // by sequence number
	stateQueries  map[uint64]stateQueryEvent // by sequence number
	seq           uint64
}

// relay forwards to the successor until no attempt is in flight and all clients are gone.
func (c *Core) relay(ev *handoverEvent, served, stopped <-chan struct{}) error {
	r := &relay{core: c, successor: ev.successor, inFlight: map[string]*pendingMessage{},
		submissions: map[uint64]submitEvent{}, stateQueries: map[uint64]stateQueryEvent{}}
	for id, p := range c.pending {
		if p.attempt != nil && p.attempt.hasBegun() {
			r.inFlight[id] = p
		}
	}
	defer r.successor.Close()
	defer r.failOutstanding()
	r.run(served, stopped)
	return nil
}

// run handles events until the relay has finished.
func (r *relay) run(served, stopped <-chan struct{}) {
	messages, gone := make(chan any, maxForwarded), make(chan struct{})
	go r.successor.ReceiveMessages(func(m any) {
		select {
		case messages <- m:
		case <-r.core.done:
		}
	}, func(err error) { close(gone) })
	var finalTimer, giveUpTimer <-chan time.Time // when responses are no longer waited for
	for !r.finished() {
		select {
		case x := <-r.core.events:
			r.handleEvent(x)
		case m := <-messages:
			r.handleMessage(m)
		case <-gone:
			r.core.log.Error("the process that took over is gone")
			gone, r.successorGone = nil, true
			r.cancelAttempts() // a successor that still runs regards them as ended after predecessorGrace
			giveUpTimer = time.After(clientGiveUpTime)
		case <-giveUpTimer:
			r.failOutstanding()
		case <-served:
			r.clientsGone, served = true, nil
		case <-stopped:
			r.stopping, stopped = true, nil
			finalTimer = time.After(finalResponseTimeout)
		case <-finalTimer:
			r.core.log.Error("the process that took over has not answered in time", "requests", len(r.submissions))
			return
		}
	}
	r.core.log.Info("stopped", "handed over", true, "calls_out", len(r.inFlight))
}

// finished reports whether nothing is left to forward. Attempts in flight do not delay a process that is to exit in any
// case.
func (r *relay) finished() bool {
	return len(r.submissions)+len(r.stateQueries) == 0 && (r.stopping || r.clientsGone && len(r.inFlight) == 0)
}

// forwardingClosed reports whether requests are no longer forwarded.
func (r *relay) forwardingClosed() bool { return r.successorGone || r.stopping }

// failOutstanding answers the requests that were forwarded and will get no response. Their outcomes are unknown.
func (r *relay) failOutstanding() {
	for seq, ev := range r.submissions {
		ev.respond(SubmitResponse{Status: Failed})
		delete(r.submissions, seq)
	}
	for seq, query := range r.stateQueries {
		query.response <- State{ID: query.id}
		delete(r.stateQueries, seq)
	}
}

// handleEvent handles an event of this process.
func (r *relay) handleEvent(event any) {
	switch x := event.(type) {
	case submitEvent:
		r.forwardSubmission(x)
	case stateQueryEvent:
		r.forwardQuery(x)
	case outcomesEvent:
		r.forwardOutcomes(x)
	case withdrawEvent: // the successor decides
		x.response <- false
	case updateSettingsEvent:
		x.done <- ErrStopped
	case handoverEvent:
		x.done <- ErrStopped
	case shutdownEvent: // attempts still in flight at that time are cancelled, so that they have outcomes
		time.AfterFunc(x.timeLeft, func() { r.core.post(cancelAttemptsEvent{}) })
	case cancelAttemptsEvent:
		r.cancelAttempts()
	}
}

// cancelAttempts cancels the attempts in flight.
func (r *relay) cancelAttempts() {
	for _, p := range r.inFlight {
		p.cancel()
	}
}

// forwardSubmission forwards a submitted message. Send errors are ignored, as the link is then closed and the successor
// gone.
func (r *relay) forwardSubmission(ev submitEvent) {
	if r.forwardingClosed() || len(r.submissions) >= maxForwarded {
		ev.respond(SubmitResponse{Status: Busy}) // the successor has not received it
		return
	}
	r.seq++
	r.submissions[r.seq] = ev
	r.successor.Send(&handover.Submission{Seq: r.seq, Message: *ev.msg})
}

// forwardQuery forwards a state query.
func (r *relay) forwardQuery(ev stateQueryEvent) {
	if r.forwardingClosed() || len(r.stateQueries) >= maxForwarded {
		ev.response <- State{ID: ev.id}
		return
	}
	r.seq++
	r.stateQueries[r.seq] = ev
	r.successor.Send(&handover.StateRequest{Seq: r.seq, ID: ev.id})
}

// forwardOutcomes sends the outcomes of attempts to the successor.
func (r *relay) forwardOutcomes(event outcomesEvent) {
	outcomes := handover.Outcomes{}
	for _, outcome := range event {
		id := outcome.attempt.Message.ID
		if p := r.inFlight[id]; p == nil || p.attempt != outcome.attempt {
			continue
		}
		delete(r.inFlight, id)
		outcomes.List = append(outcomes.List, handover.Outcome{ID: id, Number: outcome.attempt.Number,
			Outcome: int(outcome.result.Outcome), Latency: outcome.took, RequestedWait: outcome.result.RequestedWait,
			MessageEnded: outcome.result.MessageEnded, Load: outcome.result.Load})
	}
	if len(outcomes.List) > 0 {
		r.successor.Send(&outcomes)
	}
}

// handleMessage handles a message of the successor.
func (r *relay) handleMessage(msg any) {
	switch m := msg.(type) {
	case *handover.SubmissionReply:
		if ev, ok := r.submissions[m.Seq]; ok {
			delete(r.submissions, m.Seq)
			ev.respond(SubmitResponse{Status: SubmitStatus(m.Status), RetryAfter: m.RetryAfter,
				Duplicate: m.Duplicate, EndState: m.EndState})
		}
	case *handover.StateReply:
		if query, ok := r.stateQueries[m.Seq]; ok {
			delete(r.stateQueries, m.Seq)
			query.response <- State{ID: query.id, Name: m.Name, Tenant: m.Tenant, Partner: m.Partner, Class: m.Class,
				Attempts: m.Attempts, RetryAfter: m.RetryAfter, AcceptedAt: fromUnixMicro(m.AcceptedAt),
				Deadline: fromUnixMicro(m.Deadline), EndedAt: fromUnixMicro(m.EndedAt)}
		}
	case *handover.Cancel:
		if p := r.inFlight[m.ID]; p != nil && p.attempt.Number == m.Number {
			p.cancel()
		}
	}
}

// fromUnixMicro converts a wall-clock time from the link; the zero time for 0.
func fromUnixMicro(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// cancelAttemptsEvent cancels the attempts in flight.
type cancelAttemptsEvent struct{}
