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

// This file is the successor's side of a handover.

const (
	// LockReleaseTime is the time for which a process that is exiting may still hold the journal's lock.
	LockReleaseTime = 150 * time.Millisecond
	// predecessorGrace is the time for the predecessor to detect that the link is broken and to cancel its attempts
	// in flight, even if it is stalled meanwhile.
	predecessorGrace = LockReleaseTime + permit.MaxStall + 100*time.Millisecond
)

// Takeover is the state that the predecessor hands over to this process.
type Takeover struct {
	Snapshot    *handover.Snapshot
	Listeners   []net.Listener // listeners of the fronts
	Predecessor Predecessor
}

// Predecessor is the link to the process that hands over.
type Predecessor interface {
	Link
	// ReceiveMessages passes the messages of the predecessor to handle, and calls closed when the link is closed.
	ReceiveMessages(handle func(m any), closed func(error))
}

// adoptListener passes a front its listener, if it was handed over.
func (in *Takeover) adoptListener(f Front) {
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

// closeListeners closes the listeners that no front has adopted.
func (in *Takeover) closeListeners() {
	for _, ln := range in.Listeners {
		ln.Close()
	}
	in.Listeners = nil
}

// endpointList returns the endpoints that were handed over.
func (in *Takeover) endpointList() EndpointList {
	out := EndpointList{Complete: true}
	for _, endpoint := range in.Snapshot.Endpoints {
		e := Endpoint{Name: endpoint.Name, Addr: endpoint.Addr, Zone: endpoint.Zone, Kind: endpoint.Kind,
			Partner: endpoint.Partner, Weight: endpoint.Weight}
		if endpoint.Draining || endpoint.Removed {
			e.State = logic.Draining
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}

// restoreSnapshot passes the snapshot that was handed over to the scheduler and returns the attempts in flight by ID of
// their messages. It must be called before the messages are restored.
func (c *Core) restoreSnapshot() map[string]handover.Attempt {
	if c.takeover == nil {
		return nil
	}
	snapshot := c.takeover.Snapshot
	c.listReceived = snapshot.ListReceived
	list := c.takeover.endpointList()
	c.nextEvents = append(c.nextEvents, logic.Endpoints{Form: logic.ListFull, Entries: c.directory.applyList(list)})
	for i, endpoint := range snapshot.Endpoints { // it is in the list only for its attempts in flight
		if endpoint.Removed {
			list.Endpoints[i].State = logic.Gone
			c.nextEvents = append(c.nextEvents, logic.Endpoints{Form: logic.ListDelta,
				Entries: c.directory.applyList(EndpointList{Endpoints: list.Endpoints[i : i+1]})})
		}
	}
	c.cfg.CachedEndpoints = nil
	c.store.AddUnsavedEnds(snapshot.Ended)
	age := logic.Micros(c.clock.Now() - snapshot.At)
	for name, saved := range snapshot.Partners {
		if c.directory.hasEndpoint(name) {
			c.nextEvents = append(c.nextEvents,
				logic.RestoreState{Age: age, State: c.toDestinationState(name, saved)})
		}
	}
	for _, k := range snapshot.QuietKeys {
		c.nextEvents = append(c.nextEvents, logic.QuietKey{Key: k.Key, Remaining: logic.Micros(k.Remaining) - age})
	}
	inFlight := map[string]handover.Attempt{}
	for _, call := range snapshot.Attempts {
		inFlight[call.ID] = call
	}
	return inFlight
}

// adoptAttempt registers an attempt that is in flight in the predecessor.
func (c *Core) adoptAttempt(p *pendingMessage, call handover.Attempt, event *logic.NewMessage,
	entry *journal.Entry, now int64) {
	age := now - c.takeover.Snapshot.At + call.Age
	ep, ok := c.directory.endpointIDs[call.Endpoint]
	if !ok { // it has left the list meanwhile; the attempt and its outcome still count
		c.directory.lastEndpoint++
		ep = c.directory.lastEndpoint
	}
	attempt := &Attempt{Message: p.msg, Number: call.Number, Endpoint: ep,
		createdAt: c.clock.Moment(now - age), firstID: call.ID}
	attempt.state.Store(attemptBegun)
	p.attempt, p.cancel = attempt, func() {
		c.takeover.Predecessor.Send(&handover.Cancel{ID: call.ID, Number: call.Number})
	}
	p.attempts = call.Number + 1
	c.remoteAttempts[call.ID] = p
	if entry != nil {
		event.History.MayHaveRun = entry.MayHaveRun
		event.History.SinceFirst = logic.Micros(max(now-entry.MayHaveRunSince, 0))
	}
	event.History.InFlight = &logic.InFlightAttempt{Endpoint: ep, Age: logic.Micros(age), BatchedWith: call.BatchedWith}
}

// adoptEndedAttempts registers the attempts in flight of messages that have ended, because they occupy slots. It
// returns events for the scheduler.
func (c *Core) adoptEndedAttempts(inFlight map[string]handover.Attempt) (events []logic.Event) {
	now := c.clock.Now()
	for id, call := range inFlight {
		ep, ok := c.directory.endpointIDs[call.Endpoint]
		if !call.MessageEnded || !ok || c.pending[id] != nil {
			continue
		}
		p := &pendingMessage{msg: &message.Message{ID: id, Partner: c.directory.endpoints[ep].partner}, ended: true}
		event := c.newMessageEvent(p.msg, now)
		event.Class, event.History = 0, logic.History{Attempts: call.Number + 1, Ended: true}
		c.adoptAttempt(p, call, &event, nil, now)
		c.pending[id] = p
		events = append(events, event)
	}
	return events
}

// ErrPredecessorUnreachable is returned by [Core.Run] if the predecessor can't be informed that this process has taken
// over. Nothing has been written, and another core may request the handover again.
var ErrPredecessorUnreachable = errors.New("the process that hands over can't be informed of the takeover")

// confirmTakeover informs the predecessor that this process decides. Without this confirmation the predecessor takes
// the journal back, and would not know of records that this process had written.
func (c *Core) confirmTakeover() error {
	if c.takeover == nil {
		return nil
	}
	c.log.Info("taken over", "held", len(c.pending), "calls_out", len(c.remoteAttempts),
		"endpoints", len(c.directory.endpoints))
	if err := c.takeover.Predecessor.Send(&handover.Confirmation{}); err != nil {
		c.takeover.Predecessor.Close()
		c.takeover.closeListeners()
		return fmt.Errorf("%w: %w", ErrPredecessorUnreachable, err)
	}
	return nil
}

// remoteOutcomesEvent holds outcomes of attempts in the predecessor.
type remoteOutcomesEvent struct{ list []handover.Outcome }

// predecessorGoneEvent reports that the link to the predecessor was closed predecessorGrace ago.
type predecessorGoneEvent struct{}

// receiveFromPredecessor handles the messages of the predecessor until the link is closed.
func (c *Core) receiveFromPredecessor(link Predecessor) {
	link.ReceiveMessages(func(m any) {
		switch m := m.(type) {
		case *handover.Outcomes:
			c.post(remoteOutcomesEvent{m.List})
		case *handover.Submission:
			go c.submitForwarded(link, m)
		case *handover.StateRequest:
			go func() {
				s, _ := c.State(context.Background(), m.ID, false)
				link.Send(&handover.StateReply{Seq: m.Seq, Name: s.Name, Tenant: s.Tenant, Partner: s.Partner,
					Class: s.Class, Attempts: s.Attempts, RetryAfter: s.RetryAfter, AcceptedAt: toUnixMicro(s.AcceptedAt),
					Deadline: toUnixMicro(s.Deadline), EndedAt: toUnixMicro(s.EndedAt)})
			}()
		}
	}, func(error) {
		time.Sleep(predecessorGrace) // until then its attempts may still be in flight
		c.post(predecessorGoneEvent{})
	})
	link.Close()
}

// submitForwarded submits a message that the predecessor has forwarded, and sends the response back.
func (c *Core) submitForwarded(link Link, m *handover.Submission) {
	response := make(chan SubmitResponse, 1)
	msg := m.Message
	c.Submit(&msg, response)
	r := <-response
	link.Send(&handover.SubmissionReply{Seq: m.Seq, Status: int(r.Status), RetryAfter: r.RetryAfter, Duplicate: r.Duplicate,
		EndState: r.EndState})
}

// toUnixMicro converts a wall-clock time for the link; 0 for the zero time.
func toUnixMicro(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// applyRemoteOutcomes handles outcomes of attempts that were in flight in the predecessor.
func (c *Core) applyRemoteOutcomes(list []handover.Outcome) {
	for _, o := range list {
		p := c.remoteAttempts[o.ID]
		if p == nil || p.attempt == nil || p.attempt.Number != o.Number {
			continue
		}
		delete(c.remoteAttempts, o.ID)
		p.cancel = func() {}
		c.handleOutcome(attemptOutcome{attempt: p.attempt, took: o.Latency,
			result: Result{Outcome: logic.Outcome(o.Outcome), RequestedWait: o.RequestedWait, MessageEnded: o.MessageEnded, Load: o.Load}})
	}
}

// endRemoteAttempts ends the attempts whose outcomes the predecessor can't report any more. They may have run.
func (c *Core) endRemoteAttempts() {
	if n := len(c.remoteAttempts); n > 0 {
		c.log.Warn("the process that handed over has ended with calls out", "calls", n)
	}
	for id, p := range c.remoteAttempts {
		delete(c.remoteAttempts, id)
		p.cancel = func() {}
		c.handleOutcome(attemptOutcome{attempt: p.attempt, took: time.Since(p.attempt.createdAt),
			result: Result{Outcome: logic.Cancelled}})
	}
}
