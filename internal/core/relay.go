package core

import (
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/permit"
)

// What a process does once another decides: its calls and clients come to their
// ends here, and the successor hears of all of it.

const (
	// mostForwarded bounds the requests that wait for the successor.
	maxForwarded = 1024
	// lastForwarded is for the successor's answers to requests as this process ends, though
	// the successor is held up meanwhile.
	finalResponseTimeout = permit.MaxStall + 50*time.Millisecond
	// unknownTime is for clients to give up requests that the successor had as it died: it
	// may have taken them on, and then any answer but yes is wrong.
	clientGiveUpTime = 500 * time.Millisecond
)

// relay is what a process has under way for its successor. The loop that [relay.run] is
// owns it.
type relay struct {
	core          *Core
	successor     Successor
	successorGone bool // the successor has ended
	stopping      bool // this process ends: only answers are waited for
	clientsGone   bool // no client is left
	inFlight      map[string]*pendingMessage
	submissions   map[uint64]submitEvent     // by the number they were forwarded under
	stateQueries  map[uint64]stateQueryEvent // as well
	seq           uint64
}

// relay forwards until no call is out and no client is left.
func (c *Core) relay(ev *handoverEvent, served, stopped <-chan struct{}) error {
	r := &relay{core: c, successor: ev.successor, inFlight: map[string]*pendingMessage{}, submissions: map[uint64]submitEvent{}, stateQueries: map[uint64]stateQueryEvent{}}
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

// run takes what comes, until nothing is under way any more.
func (r *relay) run(served, stopped <-chan struct{}) {
	told, gone := make(chan any, maxForwarded), make(chan struct{})
	go r.successor.ReceiveMessages(func(m any) {
		select {
		case told <- m:
		case <-r.core.done:
		}
	}, func(err error) { close(gone) })
	var late, unknown <-chan time.Time // answers are waited for no longer
	for !r.finished() {
		select {
		case x := <-r.core.events:
			r.handleEvent(x)
		case m := <-told:
			r.handleMessage(m)
		case <-gone:
			r.core.log.Error("the process that took over is gone")
			gone, r.successorGone = nil, true
			r.cancelAttempts() // it takes them for ended
			unknown = time.After(clientGiveUpTime)
		case <-unknown:
			r.failOutstanding()
		case <-served:
			r.clientsGone, served = true, nil
		case <-stopped:
			r.stopping, stopped = true, nil
			late = time.After(finalResponseTimeout)
		case <-late:
			r.core.log.Error("the process that took over has not answered in time", "requests", len(r.submissions))
			return
		}
	}
	r.core.log.Info("stopped", "handed over", true, "calls_out", len(r.inFlight))
}

// over says whether nothing is under way any more. Calls that are out do not hold up a
// process that is to end whatever is owed.
func (r *relay) finished() bool {
	return len(r.submissions)+len(r.stateQueries) == 0 && (r.stopping || r.clientsGone && len(r.inFlight) == 0)
}

// closed says whether nothing more is forwarded.
func (r *relay) forwardingClosed() bool { return r.successorGone || r.stopping }

// lose answers what the successor had and will not answer: nobody knows what became of
// it.
func (r *relay) failOutstanding() {
	for seq, ev := range r.submissions {
		ev.respond(SubmitResponse{Status: Failed})
		delete(r.submissions, seq)
	}
	for seq, ask := range r.stateQueries {
		ask.response <- State{ID: ask.id}
		delete(r.stateQueries, seq)
	}
}

// take deals with an event of this process.
func (r *relay) handleEvent(event any) {
	switch x := event.(type) {
	case submitEvent:
		r.forwardSubmission(x)
	case stateQueryEvent:
		r.forwardQuery(x)
	case outcomesEvent:
		r.forwardOutcomes(x)
	case updateSettingsEvent:
		if x.done != nil {
			x.done <- ErrStopped
		}
	case handoverEvent:
		x.done <- ErrStopped
	case shutdownEvent: // what is out by then is called off, so that its end is known
		time.AfterFunc(x.timeLeft, func() { r.core.post(cancelAttemptsEvent{}) })
	case cancelAttemptsEvent:
		r.cancelAttempts()
	}
}

// callOff calls off what is out.
func (r *relay) cancelAttempts() {
	for _, p := range r.inFlight {
		p.cancel()
	}
}

// put forwards a message that a client hands in. If that fails, the successor is gone.
func (r *relay) forwardSubmission(ev submitEvent) {
	if r.forwardingClosed() || len(r.submissions) >= maxForwarded {
		ev.respond(SubmitResponse{Status: Busy}) // the successor has never had it
		return
	}
	r.seq++
	r.submissions[r.seq] = ev
	r.successor.Send(&handover.Put{Seq: r.seq, Message: *ev.msg})
}

// ask forwards a question for the state of a message.
func (r *relay) forwardQuery(ev stateQueryEvent) {
	if r.forwardingClosed() || len(r.stateQueries) >= maxForwarded {
		ev.response <- State{ID: ev.id}
		return
	}
	r.seq++
	r.stateQueries[r.seq] = ev
	r.successor.Send(&handover.AskState{Seq: r.seq, ID: ev.id})
}

// reply tells the successor the outcomes of attempts.
func (r *relay) forwardOutcomes(event outcomesEvent) {
	list := handover.Outcomes{}
	for _, x := range event {
		id := x.attempt.Message.ID
		if p := r.inFlight[id]; p == nil || p.attempt != x.attempt {
			continue
		}
		delete(r.inFlight, id)
		list.List = append(list.List, handover.Outcome{ID: id, Number: x.attempt.Number, Outcome: int(x.result.Outcome),
			Took: x.took, Wait: x.result.RequestedWait, Over: x.result.MessageEnded, Load: x.result.Load})
	}
	if len(list.List) > 0 {
		r.successor.Send(&list)
	}
}

// hear deals with what the successor tells.
func (r *relay) handleMessage(message any) {
	switch m := message.(type) {
	case *handover.Answer:
		if ev, ok := r.submissions[m.Seq]; ok {
			delete(r.submissions, m.Seq)
			ev.respond(SubmitResponse{Status: SubmitStatus(m.Verdict), RetryAfter: m.After, Duplicate: m.Again})
		}
	case *handover.State:
		if ask, ok := r.stateQueries[m.Seq]; ok {
			delete(r.stateQueries, m.Seq)
			ask.response <- State{ID: ask.id, Name: m.Name, Tenant: m.Tenant, Partner: m.Partner, Class: m.Class, Attempts: m.Tries,
				RetryAfter: m.After, AcceptedAt: fromUnixMicro(m.Accepted), Deadline: fromUnixMicro(m.Deadline), EndedAt: fromUnixMicro(m.Over)}
		}
	case *handover.Cancel:
		if p := r.inFlight[m.ID]; p != nil && p.attempt.Number == m.Number {
			p.cancel()
		}
	}
}

// moment is a time of the wall clock that another process has told; zero for none.
func fromUnixMicro(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// callOffEvent calls off what is out.
type cancelAttemptsEvent struct{}
