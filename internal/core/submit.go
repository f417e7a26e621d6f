package core

import (
	"context"
	"errors"
	"time"

	"cometrack/internal/message"
	"cometrack/logic"
)

// SubmitStatus says what became of a message that was handed in.
type SubmitStatus int

// The verdicts.
const (
	Accepted       SubmitStatus = iota // taken on: the sender owes it its end
	Busy                               // turned away; handing it in again is harmless
	Failed                             // ended at once, and not to be handed in again
	UnknownPartner                     // no endpoint of this partner is known
	Conflict                           // its id belongs to another message
	Stopped                            // the sender has stopped; not taken on
)

// SubmitResponse is the one answer to a message that was handed in.
type SubmitResponse struct {
	Status     SubmitStatus
	RetryAfter time.Duration // Busy: when to come again; 0 if that is not told
	Duplicate  bool          // Accepted: the message was known already
}

// Submit hands a message in that [Core.Check] has passed. The answer comes as
// soon as the message is journalled, or the module has given it up; answer must
// have room for it.
func (c *Core) Submit(m *message.Message, answer chan<- SubmitResponse) {
	if !c.post(putEvent{msg: m, answer: answer}) {
		answer <- SubmitResponse{Status: Stopped}
	}
}

// known returns the digest of a message that is held or remembered.
func (c *Core) known(id string) (digest uint64, ok bool) {
	if h := c.held[id]; h != nil && !h.left {
		return h.msg.Digest(), true
	}
	if e := c.store.Entry(id); e != nil {
		return e.SubmittedDigest(), true
	}
	if e := c.store.Ended(id); e != nil {
		return e.Digest, true
	}
	if m := c.fresh[id]; m != nil { // goes behind its window with this step
		return m.Digest(), true
	}
	if digest, ok := c.behind.ending[id]; ok {
		return digest, true
	}
	return 0, false
}

// put takes a message on, subject to the module's word in the step that follows.
func (c *Core) put(ev putEvent) {
	m := ev.msg
	if digest, ok := c.known(m.ID); ok {
		switch {
		case digest != m.Digest():
			ev.tell(SubmitResponse{Status: Conflict})
		case c.fresh[m.ID] != nil:
			c.puts = append(c.puts, ev) // it gets the answer of the first
		default:
			ev.tell(SubmitResponse{Status: Accepted, Duplicate: true})
		}
		return
	}
	if c.lookFirst(ev) {
		return
	}
	class := c.terms.class(m.Class)
	if class == nil { // dropped since it was checked: its client is told when it comes again
		ev.tell(SubmitResponse{Status: Busy})
		return
	}
	if !c.dir.serves(m.Partner) {
		if c.heard {
			ev.tell(SubmitResponse{Status: UnknownPartner})
		} else { // nobody has told yet what there is
			ev.tell(SubmitResponse{Status: Busy, RetryAfter: time.Second})
		}
		return
	}
	if !c.roomFor(ev.door) {
		ev.tell(SubmitResponse{Status: Busy})
		return
	}
	if c.place(ev, class) {
		return
	}
	if !c.store.Reserve(len(m.Body)) {
		ev.tell(SubmitResponse{Status: Busy})
		return
	}
	now := c.clock.Now()
	c.held[m.ID] = &held{msg: m, accepted: now, door: ev.door, terms: c.terms.n, class: class}
	c.open++
	if c.behind.Backlog != nil {
		c.behind.EnterWindow(m.Partner)
	}
	if ev.door != nil {
		ev.door.open++
	}
	c.puts = append(c.puts, ev)
	c.fresh[m.ID] = m
	call := c.callOf(m, now)
	c.traceTaken(call, m.Partner, m.Class)
	c.next = append(c.next, call)
}

// answers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (c *Core) answers(actions []logic.Action) map[string]SubmitResponse {
	var out map[string]SubmitResponse
	tell := func(id string, a SubmitResponse) {
		if c.fresh[id] != nil {
			if out == nil {
				out = map[string]SubmitResponse{}
			}
			out[id] = a
		}
	}
	if len(c.fresh) == 0 {
		return nil
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.ReturnMessage:
			tell(a.ID, SubmitResponse{Status: Busy, RetryAfter: span(a.RetryIn)})
		case logic.FailMessage:
			tell(a.ID, SubmitResponse{Status: Failed})
		}
	}
	return out
}

// The states of a message that is not over. One that is over has a state of
// package message.
const (
	StateAccepted = "accepted" // taken on; no attempt is out
	StateSending  = "sending"  // an attempt is out
)

// State is what the sender knows of a message.
type State struct {
	ID         string
	Name       string // empty if nothing is known of it
	Tenant     string
	Partner    string
	Class      string
	Attempts   int
	RetryAfter time.Duration // returned: when to come again; 0 if not told
	AcceptedAt time.Time     // zero if not known
	Deadline   time.Time     // zero once it is over
	EndedAt    time.Time     // zero while it is not
}

// IsFinal says whether the message has had its end, or nothing is known of it.
func (s *State) IsFinal() bool { return s.Name != StateAccepted && s.Name != StateSending }

// ErrStopped says that the sender has stopped.
var ErrStopped = errors.New("the sender has stopped")

// State tells the state of a message. With wait it waits until the message is
// over or ctx is; in the latter case it tells the state then, without an error.
func (c *Core) State(ctx context.Context, id string, wait bool) (State, error) {
	ask := stateEvent{id: id, watch: wait, answer: make(chan State, 1)}
	if !c.post(ask) {
		return State{}, ErrStopped
	}
	var over <-chan struct{}
	if wait {
		over = ctx.Done()
	}
	select {
	case s := <-ask.answer:
		return s, nil
	case <-c.done:
		return State{}, ErrStopped
	case <-over:
		c.post(unwatchEvent{id, ask.answer})
		return c.State(context.Background(), id, false)
	}
}

// state is what is known now, between steps.
func (c *Core) state(id string) State {
	if h := c.held[id]; h != nil && !h.over {
		s := State{ID: id, Name: StateAccepted, Tenant: h.msg.Tenant, Partner: h.msg.Partner, Class: h.msg.Class,
			Attempts: h.tries, AcceptedAt: c.wall(h.accepted), Deadline: c.wall(h.msg.Deadline)}
		if h.attempt != nil {
			s.Name = StateSending
		}
		return s
	}
	if x := c.untoldEnd(id); x != nil { // to others it is not over yet
		return State{ID: id, Name: StateAccepted, Tenant: x.msg.Tenant, Partner: x.msg.Partner, Class: x.msg.Class, Attempts: x.end.Attempts,
			Deadline: c.wall(x.msg.Deadline)}
	}
	if e := c.store.Entry(id); e != nil && e.End != nil {
		return State{ID: id, Name: e.End.State, Tenant: e.Tenant, Partner: e.Partner, Class: e.Class, Attempts: e.Attempts,
			RetryAfter: time.Duration(e.End.RetryAfterMS) * time.Millisecond, AcceptedAt: c.wall(e.AcceptedAt), EndedAt: c.wall(e.End.At)}
	}
	if e := c.store.Ended(id); e != nil {
		return State{ID: id, Name: e.State, Tenant: e.Tenant, Partner: e.Partner, Class: e.Class, Attempts: e.Attempts,
			RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond, AcceptedAt: c.wall(e.AcceptedAt), EndedAt: c.wall(e.EndedAt)}
	}
	return State{ID: id}
}

// wall is a time of the journal as the wall clock shows it, for people and other programs; zero for none.
func (c *Core) wall(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return c.clock.Wall(us)
}

// tellStates answers those who ask, and those who wait for what has ended.
func (c *Core) tellStates() {
	for _, id := range c.ended {
		if list := c.watchers[id]; list != nil {
			s := c.state(id)
			for _, w := range list {
				w <- s
			}
			delete(c.watchers, id)
		}
	}
	c.ended = c.ended[:0]
	for _, ask := range c.asks {
		s := c.state(ask.id)
		if s.Name == "" && ask.found != nil {
			s = c.stateBehind(ask.found)
		} else if s.Name == "" && c.lookState(ask) {
			continue
		}
		if ask.watch && !s.IsFinal() {
			c.watchers[ask.id] = append(c.watchers[ask.id], ask.answer)
			continue
		}
		ask.answer <- s
	}
	clear(c.asks)
	c.asks = c.asks[:0]
}

// unwatch forgets one who waited.
func (c *Core) unwatch(ev unwatchEvent) {
	list := c.watchers[ev.id]
	for i, w := range list {
		if w == ev.answer {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.watchers, ev.id)
	} else {
		c.watchers[ev.id] = list
	}
}
