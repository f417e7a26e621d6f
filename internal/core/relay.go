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
	mostForwarded = 1024
	// lastForwarded is for the successor's answers to requests as this process ends, though
	// the successor is held up meanwhile.
	lastForwarded = permit.MaxStall + 50*time.Millisecond
	// unknownTime is for clients to give up requests that the successor had as it died: it
	// may have taken them on, and then any answer but yes is wrong.
	unknownTime = 500 * time.Millisecond
)

// relay is what a process has under way for its successor. The loop that [relay.run] is
// owns it.
type relay struct {
	core      *Core
	successor Successor
	gone      bool // the successor has ended
	ending    bool // this process ends: only answers are waited for
	left      bool // no client is left
	out       map[string]*held
	puts      map[uint64]putEvent   // by the number they were forwarded under
	asks      map[uint64]stateEvent // as well
	seq       uint64
}

// relay forwards until no call is out and no client is left.
func (c *Core) relay(ev *successorEvent, served, stopped <-chan struct{}) error {
	r := &relay{core: c, successor: ev.successor, out: map[string]*held{}, puts: map[uint64]putEvent{}, asks: map[uint64]stateEvent{}}
	for id, h := range c.held {
		if h.attempt != nil && h.attempt.begun() {
			r.out[id] = h
		}
	}
	defer r.successor.Close()
	defer r.lose()
	r.run(served, stopped)
	return nil
}

// run takes what comes, until nothing is under way any more.
func (r *relay) run(served, stopped <-chan struct{}) {
	told, gone := make(chan any, mostForwarded), make(chan struct{})
	go r.successor.ReceiveMessages(func(m any) {
		select {
		case told <- m:
		case <-r.core.done:
		}
	}, func(err error) { close(gone) })
	var late, unknown <-chan time.Time // answers are waited for no longer
	for !r.over() {
		select {
		case x := <-r.core.events:
			r.take(x)
		case m := <-told:
			r.hear(m)
		case <-gone:
			r.core.log.Error("the process that took over is gone")
			gone, r.gone = nil, true
			r.callOff() // it takes them for ended
			unknown = time.After(unknownTime)
		case <-unknown:
			r.lose()
		case <-served:
			r.left, served = true, nil
		case <-stopped:
			r.ending, stopped = true, nil
			late = time.After(lastForwarded)
		case <-late:
			r.core.log.Error("the process that took over has not answered in time", "requests", len(r.puts))
			return
		}
	}
	r.core.log.Info("stopped", "handed over", true, "calls_out", len(r.out))
}

// over says whether nothing is under way any more. Calls that are out do not hold up a
// process that is to end whatever is owed.
func (r *relay) over() bool {
	return len(r.puts)+len(r.asks) == 0 && (r.ending || r.left && len(r.out) == 0)
}

// closed says whether nothing more is forwarded.
func (r *relay) closed() bool { return r.gone || r.ending }

// lose answers what the successor had and will not answer: nobody knows what became of
// it.
func (r *relay) lose() {
	for seq, ev := range r.puts {
		ev.tell(SubmitResponse{Status: Failed})
		delete(r.puts, seq)
	}
	for seq, ask := range r.asks {
		ask.answer <- State{ID: ask.id}
		delete(r.asks, seq)
	}
}

// take deals with an event of this process.
func (r *relay) take(event any) {
	switch x := event.(type) {
	case putEvent:
		r.put(x)
	case stateEvent:
		r.ask(x)
	case replyEvent:
		r.reply(x)
	case retuneEvent:
		if x.done != nil {
			x.done <- ErrStopped
		}
	case successorEvent:
		x.done <- ErrStopped
	case closingEvent: // what is out by then is called off, so that its end is known
		time.AfterFunc(x.left, func() { r.core.post(callOffEvent{}) })
	case callOffEvent:
		r.callOff()
	}
}

// callOff calls off what is out.
func (r *relay) callOff() {
	for _, h := range r.out {
		h.stop()
	}
}

// put forwards a message that a client hands in. If that fails, the successor is gone.
func (r *relay) put(ev putEvent) {
	if r.closed() || len(r.puts) >= mostForwarded {
		ev.tell(SubmitResponse{Status: Busy}) // the successor has never had it
		return
	}
	r.seq++
	r.puts[r.seq] = ev
	r.successor.Send(&handover.Submission{Seq: r.seq, Message: *ev.msg})
}

// ask forwards a question for the state of a message.
func (r *relay) ask(ev stateEvent) {
	if r.closed() || len(r.asks) >= mostForwarded {
		ev.answer <- State{ID: ev.id}
		return
	}
	r.seq++
	r.asks[r.seq] = ev
	r.successor.Send(&handover.StateRequest{Seq: r.seq, ID: ev.id})
}

// reply tells the successor the outcomes of attempts.
func (r *relay) reply(event replyEvent) {
	list := handover.Outcomes{}
	for _, x := range event {
		id := x.attempt.Message.ID
		if h := r.out[id]; h == nil || h.attempt != x.attempt {
			continue
		}
		delete(r.out, id)
		list.List = append(list.List, handover.Outcome{ID: id, Number: x.attempt.Number, Outcome: int(x.result.Outcome),
			Latency: x.took, RequestedWait: x.result.RequestedWait, MessageEnded: x.result.MessageEnded, Load: x.result.Load})
	}
	if len(list.List) > 0 {
		r.successor.Send(&list)
	}
}

// hear deals with what the successor tells.
func (r *relay) hear(message any) {
	switch m := message.(type) {
	case *handover.SubmissionReply:
		if ev, ok := r.puts[m.Seq]; ok {
			delete(r.puts, m.Seq)
			ev.tell(SubmitResponse{Status: SubmitStatus(m.Status), RetryAfter: m.RetryAfter, Duplicate: m.Duplicate})
		}
	case *handover.StateReply:
		if ask, ok := r.asks[m.Seq]; ok {
			delete(r.asks, m.Seq)
			ask.answer <- State{ID: ask.id, Name: m.Name, Tenant: m.Tenant, Partner: m.Partner, Class: m.Class, Attempts: m.Attempts,
				RetryAfter: m.RetryAfter, AcceptedAt: moment(m.AcceptedAt), Deadline: moment(m.Deadline), EndedAt: moment(m.EndedAt)}
		}
	case *handover.Cancel:
		if h := r.out[m.ID]; h != nil && h.attempt.Number == m.Number {
			h.stop()
		}
	}
}

// moment is a time of the wall clock that another process has told; zero for none.
func moment(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// callOffEvent calls off what is out.
type callOffEvent struct{}
