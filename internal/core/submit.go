package core

import (
	"context"
	"errors"
	"time"

	"cometrack/internal/message"
	"cometrack/logic"
)

// SubmitStatus is the outcome of the submission of a message.
type SubmitStatus int

// The outcomes of a submission.
const (
	Accepted       SubmitStatus = iota // the sender will bring the message to an end
	Busy                               // rejected; the client may submit the message again
	Failed                             // failed at once; the client must not submit the message again
	UnknownPartner                     // rejected; the partner has no known endpoint
	Conflict                           // rejected; the ID belongs to a message with other content
	Stopped                            // rejected; the sender has stopped
)

// SubmitResponse is the only response to a submitted message.
type SubmitResponse struct {
	Status     SubmitStatus
	RetryAfter time.Duration // with Busy: delay after which the client may retry; 0 if unknown
	Duplicate  bool          // with Accepted: the message had been accepted before
	// EndState is, with Duplicate, how the message has ended and was notified, of package message; empty otherwise.
	// RetryAfter is then the delay that was notified.
	EndState string
}

// Submit submits a message that has passed [Core.Check]. The response is sent as soon as the message is in the journal
// or has been rejected. The channel must be buffered.
func (c *Core) Submit(m *message.Message, response chan<- SubmitResponse) {
	if !c.post(submitEvent{msg: m, response: response}) {
		response <- SubmitResponse{Status: Stopped}
	}
}

// knownDigest returns the digest of a message that is pending or whose end is still known.
func (c *Core) knownDigest(id string) (digest uint64, ok bool) {
	if p := c.pending[id]; p != nil && !p.bodyInStore {
		return p.msg.Digest(), true
	}
	if e := c.store.Entry(id); e != nil {
		return e.SubmittedDigest(), true
	}
	if e := c.store.Ended(id); e != nil {
		return e.Digest, true
	}
	if m := c.newMessages[id]; m != nil { // added to the backlog in this step
		return m.Digest(), true
	}
	if digest, ok := c.backlog.endingDigests[id]; ok {
		return digest, true
	}
	return 0, false
}

// submit accepts or rejects a submitted message. An accepted one may still be rejected by the scheduler in the next
// step.
func (c *Core) submit(ev submitEvent) {
	m := ev.msg
	if digest, ok := c.knownDigest(m.ID); ok {
		switch {
		case digest != m.Digest():
			ev.respond(SubmitResponse{Status: Conflict})
		case c.newMessages[m.ID] != nil:
			if p := c.pending[m.ID]; p != nil {
				p.resubmitted = true
			}
			c.submissions = append(c.submissions, ev) // it gets the same response as the first
		default:
			if p := c.pending[m.ID]; p != nil {
				p.resubmitted = true
			}
			c.duplicates = append(c.duplicates, ev) // its end may be reported in this step
		}
		return
	}
	if c.lookUpDuplicate(ev) {
		return
	}
	class := c.terms.class(m.Class)
	if class == nil { // removed from the settings since the check; the check of the retry reports it
		ev.respond(SubmitResponse{Status: Busy})
		return
	}
	if !c.directory.hasEndpoint(m.Partner) {
		if c.listReceived {
			ev.respond(SubmitResponse{Status: UnknownPartner})
		} else { // the source has not sent a list yet
			ev.respond(SubmitResponse{Status: Busy, RetryAfter: time.Second})
		}
		return
	}
	if !c.hasRoomFor(ev.front) {
		ev.respond(SubmitResponse{Status: Busy})
		return
	}
	if c.placeInBacklog(ev, class) {
		return
	}
	if !c.store.Reserve(len(m.Body)) {
		ev.respond(SubmitResponse{Status: Busy})
		return
	}
	now := c.clock.Now()
	c.pending[m.ID] = &pendingMessage{msg: m, acceptedAt: now, front: ev.front, termsNumber: c.terms.number,
		class: class}
	c.pendingCount++
	if c.backlog.Backlog != nil {
		c.backlog.EnterWindow(m.Partner)
	}
	if ev.front != nil {
		ev.front.pending++
	}
	c.submissions = append(c.submissions, ev)
	c.newMessages[m.ID] = m
	event := c.newMessageEvent(m, now)
	c.traceAccepted(event, m.Partner, class)
	c.nextEvents = append(c.nextEvents, event)
}

// answerDuplicates sends the responses to the submissions of this step for messages that had been accepted before it.
func (c *Core) answerDuplicates() {
	for _, ev := range c.duplicates {
		response := c.duplicateResponse(ev.msg.ID)
		c.log.Debug("submitted again", "id", ev.msg.ID, "end", response.EndState)
		ev.respond(response)
	}
	clear(c.duplicates)
	c.duplicates = c.duplicates[:0]
}

// duplicateResponse returns the response to another submission of a message. An end that is not reported yet does not
// count: a process that starts after a crash might not know it.
func (c *Core) duplicateResponse(id string) SubmitResponse {
	response := SubmitResponse{Status: Accepted, Duplicate: true}
	if s := c.state(id); s.Name != "" && s.IsFinal() {
		response.EndState, response.RetryAfter = s.Name, s.RetryAfter
	}
	return response
}

// immediateResponses returns the responses, by ID, to new messages that the scheduler ends in the step in which they
// were submitted. These messages are not accepted.
func (c *Core) immediateResponses(actions []logic.Action) map[string]SubmitResponse {
	var responses map[string]SubmitResponse
	add := func(id string, a SubmitResponse) {
		if c.newMessages[id] != nil {
			if responses == nil {
				responses = map[string]SubmitResponse{}
			}
			responses[id] = a
		}
	}
	if len(c.newMessages) == 0 {
		return nil
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.ReturnMessage:
			add(a.ID, SubmitResponse{Status: Busy, RetryAfter: toDuration(a.RetryIn)})
		case logic.FailMessage:
			add(a.ID, SubmitResponse{Status: Failed})
		}
	}
	return responses
}

// The states of a pending message. The final states are those of package message.
const (
	StateAccepted = "accepted" // no attempt is in flight
	StateSending  = "sending"  // an attempt is in flight
)

// State describes a message and its state.
type State struct {
	ID         string
	Name       string // name of the state; empty if the message is unknown
	Tenant     string
	Partner    string
	Class      string
	Attempts   int
	RetryAfter time.Duration // of a returned message: delay after which the client may retry; 0 if unknown
	AcceptedAt time.Time     // zero if unknown
	Deadline   time.Time     // zero once the message has ended
	EndedAt    time.Time     // zero until the message has ended
}

// IsFinal reports whether the message has ended or is unknown.
func (s *State) IsFinal() bool { return s.Name != StateAccepted && s.Name != StateSending }

// ErrStopped is returned once the sender has stopped.
var ErrStopped = errors.New("the sender has stopped")

// State returns the state of a message. If wait is set, it blocks until the message has ended or ctx is done; in the
// latter case it returns the state at that time and no error. It returns ErrStopped once the sender has stopped.
func (c *Core) State(ctx context.Context, id string, wait bool) (State, error) {
	query := stateQueryEvent{id: id, watch: wait, response: make(chan State, 1)}
	if !c.post(query) {
		return State{}, ErrStopped
	}
	var cancelled <-chan struct{}
	if wait {
		cancelled = ctx.Done()
	}
	select {
	case s := <-query.response:
		return s, nil
	case <-c.done:
		return State{}, ErrStopped
	case <-cancelled:
		c.post(unwatchEvent{id, query.response})
		return c.State(context.Background(), id, false)
	}
}

// state returns the current state of a message that is not in the backlog.
func (c *Core) state(id string) State {
	if p := c.pending[id]; p != nil && !p.ended {
		s := State{ID: id, Name: StateAccepted, Tenant: p.msg.Tenant, Partner: p.msg.Partner, Class: p.msg.Class,
			Attempts: p.attempts, AcceptedAt: c.wallTime(p.acceptedAt), Deadline: c.wallTime(p.msg.Deadline)}
		if p.attempt != nil {
			s.Name = StateSending
		}
		return s
	}
	if report := c.unreportedEnd(id); report != nil { // the end must not be visible yet
		return State{ID: id, Name: StateAccepted, Tenant: report.msg.Tenant, Partner: report.msg.Partner,
			Class: report.msg.Class, Attempts: report.end.Attempts, Deadline: c.wallTime(report.msg.Deadline)}
	}
	if entry := c.store.Entry(id); entry != nil && entry.End != nil {
		return State{ID: id, Name: entry.End.State, Tenant: entry.Tenant, Partner: entry.Partner, Class: entry.Class,
			Attempts: entry.Attempts, RetryAfter: time.Duration(entry.End.RetryAfterMS) * time.Millisecond,
			AcceptedAt: c.wallTime(entry.AcceptedAt), EndedAt: c.wallTime(entry.End.At)}
	}
	if entry := c.store.Ended(id); entry != nil {
		return State{ID: id, Name: entry.State, Tenant: entry.Tenant, Partner: entry.Partner, Class: entry.Class,
			Attempts: entry.Attempts, RetryAfter: time.Duration(entry.RetryAfterMS) * time.Millisecond,
			AcceptedAt: c.wallTime(entry.AcceptedAt), EndedAt: c.wallTime(entry.EndedAt)}
	}
	return State{ID: id}
}

// wallTime converts a time of the journal to wall-clock time, for operators and other programs; zero for 0.
func (c *Core) wallTime(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return c.clock.Wall(us)
}

// answerStateQueries answers the state queries of this step and those that waited for messages that have ended.
func (c *Core) answerStateQueries() {
	for _, id := range c.endedIDs {
		if list := c.watchers[id]; list != nil {
			s := c.state(id)
			for _, watcher := range list {
				watcher <- s
			}
			delete(c.watchers, id)
		}
	}
	c.endedIDs = c.endedIDs[:0]
	for _, query := range c.stateQueries {
		s := c.state(query.id)
		if s.Name == "" && query.found != nil {
			s = c.backlogMessageState(query.found)
		} else if s.Name == "" && c.lookUpState(query) {
			continue
		}
		if query.watch && !s.IsFinal() {
			c.watchers[query.id] = append(c.watchers[query.id], query.response)
			continue
		}
		query.response <- s
	}
	clear(c.stateQueries)
	c.stateQueries = c.stateQueries[:0]
}

// removeWatcher removes a state query that has stopped waiting.
func (c *Core) removeWatcher(ev unwatchEvent) {
	watchers := c.watchers[ev.id]
	for i, watcher := range watchers {
		if watcher == ev.response {
			watchers = append(watchers[:i], watchers[i+1:]...)
			break
		}
	}
	if len(watchers) == 0 {
		delete(c.watchers, ev.id)
	} else {
		c.watchers[ev.id] = watchers
	}
}
