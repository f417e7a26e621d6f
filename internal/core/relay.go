package core

import (
	"time"

	"cometrack/internal/handover"
)

// What a process does once another decides: its calls and clients come to their
// ends here, and the successor hears of all of it.

// mostForwarded bounds the requests that wait for the successor.
const mostForwarded = 1024

// relay forwards until no call is out and no client is left.
func (c *Core) relay(ev *successorEvent, served, stopped <-chan struct{}) error {
	successor := ev.successor
	defer successor.Close()
	told, gone := make(chan any, mostForwarded), make(chan struct{})
	go successor.Listen(func(m any) {
		select {
		case told <- m:
		case <-c.done:
		}
	}, func(err error) { close(gone) })
	out := map[string]*held{}
	for id, h := range c.held {
		if h.attempt != nil && h.attempt.begun() {
			out[id] = h
		}
	}
	puts, asks, seq := map[uint64]putEvent{}, map[uint64]stateEvent{}, uint64(0)
	lost := func() { // nobody knows what became of what the successor had
		for seq, ev := range puts {
			ev.tell(Answer{Verdict: Failed})
			delete(puts, seq)
		}
		for seq, ask := range asks {
			ask.answer <- State{ID: ask.id}
			delete(asks, seq)
		}
	}
	defer lost()
	left := false
	for {
		if left && len(out) == 0 && len(puts) == 0 && len(asks) == 0 {
			c.log.Info("stopped", "handed over", true)
			return nil
		}
		select {
		case x := <-c.events:
			switch x := x.(type) {
			case putEvent:
				if gone == nil || len(puts) >= mostForwarded {
					x.tell(Answer{Verdict: Busy}) // the successor has never had it
					continue
				}
				seq++
				puts[seq] = x
				successor.Send(&handover.Put{Seq: seq, Message: *x.msg}) // if it fails, the successor is gone
			case stateEvent:
				if gone == nil || len(asks) >= mostForwarded {
					x.answer <- State{ID: x.id}
					continue
				}
				seq++
				asks[seq] = x
				successor.Send(&handover.AskState{Seq: seq, ID: x.id})
			case replyEvent:
				list := handover.Outcomes{}
				for _, r := range x {
					id := r.attempt.Message.ID
					if h := out[id]; h != nil && h.attempt == r.attempt {
						delete(out, id)
						list.List = append(list.List, handover.Outcome{ID: id, Number: r.attempt.Number, Outcome: int(r.result.Outcome),
							Took: r.took, Wait: r.result.Wait, Over: r.result.Over, Load: r.result.Load})
					}
				}
				if len(list.List) > 0 {
					successor.Send(&list)
				}
			case retuneEvent:
				if x.done != nil {
					x.done <- ErrStopped
				}
			case successorEvent:
				x.done <- ErrStopped
			case closingEvent: // what is out by then is called off, so that its end is known
				time.AfterFunc(x.left, func() { c.post(callOffEvent{}) })
			case callOffEvent:
				for _, h := range out {
					h.stop()
				}
			}
		case m := <-told:
			switch m := m.(type) {
			case *handover.Answer:
				if ev, ok := puts[m.Seq]; ok {
					delete(puts, m.Seq)
					ev.tell(Answer{Verdict: Verdict(m.Verdict), After: m.After, Again: m.Again})
				}
			case *handover.State:
				if ask, ok := asks[m.Seq]; ok {
					delete(asks, m.Seq)
					ask.answer <- State{ID: ask.id, Name: m.Name, Tenant: m.Tenant, Partner: m.Partner, Class: m.Class, Tries: m.Tries,
						After: m.After, Accepted: moment(m.Accepted), Deadline: moment(m.Deadline), Over: moment(m.Over)}
				}
			case *handover.Cancel:
				if h := out[m.ID]; h != nil && h.attempt.Number == m.Number {
					h.stop()
				}
			}
		case <-gone:
			c.log.Error("the process that took over is gone")
			gone = nil
			lost()
		case <-served:
			left, served = true, nil
		case <-stopped:
			c.log.Info("stopped", "handed over", true, "calls_out", len(out))
			return nil
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
