package core

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// The side of a handover that takes over.

const (
	// LockReleaseTime is how long the journal's lock of a process that dies may be found taken.
	LockReleaseTime = 150 * time.Millisecond
	// remoteGrace is for the process that handed over to see that the link has broken and to
	// call off what it has out, though it is held up meanwhile.
	remoteGrace = LockReleaseTime + permit.MaxStall + 100*time.Millisecond
)

// Takeover is what another process hands over to this one.
type Takeover struct {
	Snapshot    *handover.Snapshot
	Listeners   []net.Listener // of the fronts, in their order
	Predecessor Predecessor
}

// Predecessor is the link to the process that hands over.
type Predecessor interface {
	Link
	// ReceiveMessages tells what that process sends, until it ends: then gone is called.
	ReceiveMessages(tell func(m any), gone func(error))
}

// listen gives a front its listener, if there is one.
func (in *Takeover) listen(f Front) {
	if in == nil {
		return
	}
	for i, ln := range in.Listeners {
		if f.AdoptListener(ln) {
			in.Listeners = slices.Delete(in.Listeners, i, i+1)
			return
		}
	}
}

// close closes listeners that no front serves any more.
func (in *Takeover) close() {
	for _, ln := range in.Listeners {
		ln.Close()
	}
	in.Listeners = nil
}

// list is the endpoints that were handed over.
func (in *Takeover) list() EndpointList {
	out := EndpointList{Complete: true}
	for _, x := range in.Snapshot.Endpoints {
		e := Endpoint{Name: x.Name, Addr: x.Addr, Zone: x.Zone, Kind: x.Kind, Partner: x.Partner, Weight: x.Weight}
		if x.Draining || x.Removed {
			e.State = logic.Draining
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}

// restoreSnapshot hands the module what was handed over, and returns the calls that are
// out. It comes before the messages.
func (c *Core) restoreSnapshot() map[string]handover.Attempt {
	if c.from == nil {
		return nil
	}
	l := c.from.Snapshot
	c.heard = l.ListReceived
	list := c.from.list()
	c.next = append(c.next, logic.Endpoints{Form: logic.ListFull, Entries: c.dir.take(list)})
	for i, x := range l.Endpoints { // it was on the list, for its calls that are out
		if x.Removed {
			list.Endpoints[i].State = logic.Gone
			c.next = append(c.next, logic.Endpoints{Form: logic.ListDelta, Entries: c.dir.take(EndpointList{Endpoints: list.Endpoints[i : i+1]})})
		}
	}
	c.cfg.CachedEndpoints = nil
	c.store.AddUnsavedEnds(l.Ended)
	age := logic.Micros(c.clock.Now() - l.At)
	for name, known := range l.Partners {
		if c.dir.serves(name) {
			c.next = append(c.next, logic.RestoreState{Age: age, State: c.toModule(name, known)})
		}
	}
	for _, k := range l.QuietKeys {
		c.next = append(c.next, logic.QuietKey{Key: k.Key, Remaining: logic.Micros(k.Remaining) - age})
	}
	out := map[string]handover.Attempt{}
	for _, call := range l.Attempts {
		out[call.ID] = call
	}
	return out
}

// adopt books an attempt that the other process has out.
func (c *Core) adopt(h *held, call handover.Attempt, in *logic.NewMessage, e *journal.Entry, now int64) {
	age := now - c.from.Snapshot.At + call.Age
	ep, ok := c.dir.ids[call.Endpoint]
	if !ok { // its list is ours, so it has gone meanwhile: the attempt counts, and its outcome too
		c.dir.last++
		ep = c.dir.last
	}
	a := &Attempt{Message: h.msg, Number: call.Number, Endpoint: ep, at: c.clock.Moment(now - age), first: call.ID}
	a.state.Store(attemptBegun)
	h.attempt, h.stop = a, func() { c.from.Predecessor.Send(&handover.Cancel{ID: call.ID, Number: call.Number}) }
	h.tries = call.Number + 1
	c.remote[call.ID] = h
	if e != nil {
		in.History.MayHaveRun = e.MayHaveRun
		in.History.SinceFirst = logic.Micros(max(now-e.MayHaveRunSince, 0))
	}
	in.History.InFlight = &logic.InFlightAttempt{Endpoint: ep, Age: logic.Micros(age), BatchedWith: call.BatchedWith}
}

// leftovers books the attempts that are out of messages that have ended: they hold
// slots.
func (c *Core) leftovers(out map[string]handover.Attempt) (events []logic.Event) {
	now := c.clock.Now()
	for id, call := range out {
		ep, ok := c.dir.ids[call.Endpoint]
		if !call.MessageEnded || !ok || c.held[id] != nil {
			continue
		}
		h := &held{msg: &message.Message{ID: id, Partner: c.dir.eps[ep].partner}, over: true}
		in := c.callOf(h.msg, now)
		in.Class, in.History = 0, logic.History{Attempts: call.Number + 1, Ended: true}
		c.adopt(h, call, &in, nil, now)
		c.held[id] = h
		events = append(events, in)
	}
	return events
}

// ErrPredecessorUnreachable says that the process that hands over can't be told that this one decides.
// Nothing has been written; a core that is made anew may ask again.
var ErrPredecessorUnreachable = errors.New("the process that hands over can't be told that this one takes over")

// takenOver says to the other process that this one decides. One that has not heard so
// takes the journal back, and knows nothing of what this one would write to it.
func (c *Core) takenOver() error {
	if c.from == nil {
		return nil
	}
	c.log.Info("taken over", "held", len(c.held), "calls_out", len(c.remote), "endpoints", len(c.dir.eps))
	if err := c.from.Predecessor.Send(&handover.Confirmation{}); err != nil {
		c.from.Predecessor.Close()
		c.from.close()
		return fmt.Errorf("%w: %w", ErrPredecessorUnreachable, err)
	}
	return nil
}

// remoteOutcomesEvent is what the process that handed over has told.
type remoteOutcomesEvent struct{ list []handover.Outcome }

// predecessorGoneEvent says that it tells nothing any more.
type predecessorGoneEvent struct{}

// hear takes what the process that handed over sends.
func (c *Core) hear(link Predecessor) {
	link.ReceiveMessages(func(m any) {
		switch m := m.(type) {
		case *handover.Outcomes:
			c.post(remoteOutcomesEvent{m.List})
		case *handover.Submission:
			go c.forwarded(link, m)
		case *handover.StateRequest:
			go func() {
				s, _ := c.State(context.Background(), m.ID, false)
				link.Send(&handover.StateReply{Seq: m.Seq, Name: s.Name, Tenant: s.Tenant, Partner: s.Partner, Class: s.Class, Attempts: s.Attempts,
					RetryAfter: s.RetryAfter, AcceptedAt: micro(s.AcceptedAt), Deadline: micro(s.Deadline), EndedAt: micro(s.EndedAt)})
			}()
		}
	}, func(error) {
		time.Sleep(remoteGrace) // until then its calls may still be out
		c.post(predecessorGoneEvent{})
	})
	link.Close()
}

// forwarded takes a message that a client has handed in at the other process.
func (c *Core) forwarded(link Link, m *handover.Submission) {
	answer := make(chan SubmitResponse, 1)
	msg := m.Message
	c.Submit(&msg, answer)
	a := <-answer
	link.Send(&handover.SubmissionReply{Seq: m.Seq, Status: int(a.Status), RetryAfter: a.RetryAfter, Duplicate: a.Duplicate})
}

func micro(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// remoteOutcomes takes outcomes of attempts that the other process had out.
func (c *Core) remoteOutcomes(list []handover.Outcome) {
	for _, o := range list {
		h := c.remote[o.ID]
		if h == nil || h.attempt == nil || h.attempt.Number != o.Number {
			continue
		}
		delete(c.remote, o.ID)
		h.stop = func() {}
		c.reply(reply{attempt: h.attempt, took: o.Latency,
			result: Result{Outcome: logic.Outcome(o.Outcome), RequestedWait: o.RequestedWait, MessageEnded: o.MessageEnded, Load: o.Load}})
	}
}

// endRemoteAttempts ends the attempts that nobody tells of any more: they may have run.
func (c *Core) endRemoteAttempts() {
	if n := len(c.remote); n > 0 {
		c.log.Warn("the process that handed over has ended with calls out", "calls", n)
	}
	for id, h := range c.remote {
		delete(c.remote, id)
		h.stop = func() {}
		c.reply(reply{attempt: h.attempt, took: time.Since(h.attempt.at), result: Result{Outcome: logic.Cancelled}})
	}
}
