package core

import (
	"fmt"
	"net"
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// This file is the predecessor's side of a handover.

// maxReopenAttempts is the maximum number of attempts to open the store again, [retryDelay] apart.
const maxReopenAttempts = 20

// Link carries messages of package handover between two processes. [handover.Conn] is an implementation.
type Link interface {
	Send(m any) error
	Close() error
}

// Successor is the link to a process that has requested the snapshot of this one.
type Successor interface {
	Link
	// Transfer sends the snapshot and the listeners, and reports whether the successor decides on messages from
	// then on. If taken is false, the successor certainly does not decide and never will.
	Transfer(snapshot *handover.Snapshot, listeners []net.Listener) (taken bool, err error)
	// ReceiveMessages passes the messages of the successor to handle, and calls closed when the link is closed.
	ReceiveMessages(handle func(m any), closed func(error))
}

// handoverEvent requests a handover to a successor.
type handoverEvent struct {
	successor Successor
	done      chan error // buffered; receives the result
}

// HandOver hands over to a successor. It returns nil once the successor decides, or an error if this process goes on.
func (c *Core) HandOver(successor Successor) error {
	ev := handoverEvent{successor, make(chan error, 1)}
	return c.postAndWait(ev, ev.done)
}

// requestHandover accepts or refuses a request for a handover. The loop carries it out after the next step.
func (c *Core) requestHandover(ev handoverEvent) {
	switch {
	case c.handoverRequest != nil || c.reopenStore == nil:
		ev.done <- fmt.Errorf("not now: another process is being handed over to, or this one can't hand over")
	case len(c.remoteAttempts) > 0:
		ev.done <- fmt.Errorf("not now: calls of the process before this one are still out")
	case !c.lifecycle.HandleEvent(lifecycle.HandoverRequested):
		ev.done <- fmt.Errorf("not now: this process is %v", c.lifecycle.Behavior().State)
	default:
		c.handoverRequest = &ev
	}
}

// performHandover closes the store and passes the snapshot to the successor. It returns true if the successor decides
// from then on. Otherwise it opens the store again and this process goes on, or must end if it returns an error.
func (c *Core) performHandover(ev *handoverEvent, fronts []Front) (bool, error) {
	startedAt := time.Now()
	snapshot, err := c.takeSnapshot(fronts)
	if err != nil { // the successor reads the journal, which is incomplete
		c.lifecycle.HandleEvent(lifecycle.HandoverAborted)
		ev.done <- fmt.Errorf("not handed over: %w", err)
		return false, nil
	}
	taken := false
	c.closeBacklog()
	if err = c.store.Close(); err == nil {
		var listeners []net.Listener
		for _, f := range fronts {
			listeners = append(listeners, f.Listener())
		}
		taken, err = ev.successor.Transfer(snapshot, listeners)
	}
	if taken {
		c.log.Info("handed over", "held", c.pendingCount, "calls_out", len(snapshot.Attempts), "took", time.Since(startedAt))
		c.lifecycle.HandleEvent(lifecycle.HandoverCompleted)
		ev.done <- nil
		return true, nil
	}
	c.log.Error("not handed over: this process goes on", "err", err, "took", time.Since(startedAt))
	ev.done <- fmt.Errorf("not handed over: %w", err)
	if err := c.resumeAfterHandover(snapshot); err != nil {
		return false, err
	}
	c.lifecycle.HandleEvent(lifecycle.HandoverAborted)
	return false, nil
}

// resumeAfterHandover opens the store and the backlog again after a failed handover. If that fails, because another
// process has the store by now, this process must end.
func (c *Core) resumeAfterHandover(snapshot *handover.Snapshot) error {
	for attempts := 1; ; attempts++ {
		store, err := c.reopenStore()
		if err == nil {
			if snapshot != nil {
				store.AddUnsavedEnds(snapshot.Ended)
			}
			c.storeMu.Lock()
			c.store = store
			c.storeMu.Unlock()
			if err := c.setTermsInForce(c.terms, c.configuredTerms.Load().settings, c.overlap); err != nil {
				c.log.Error("settings", "err", err)
			}
			if err := c.openBacklog(); err != nil {
				return fmt.Errorf("resume after a failed handover: %w", err)
			}
			return nil
		}
		c.log.Error("the journal can't be opened again", "err", err)
		if attempts >= maxReopenAttempts {
			return fmt.Errorf("resume after a failed handover: %w", err)
		}
		time.Sleep(retryDelay)
	}
}

// takeSnapshot returns the state that a successor needs in addition to the journal, and writes the last records to the
// journal. Attempts that have not begun are withheld and not part of the snapshot.
func (c *Core) takeSnapshot(fronts []Front) (*handover.Snapshot, error) {
	now := time.Now()
	out := &handover.Snapshot{Format: handover.Format, At: c.clock.At(now), ListReceived: c.listReceived,
		ListVersion: c.source.Version(), Partners: map[string]*journal.Partner{}, Listeners: len(fronts)}
	inUse := map[logic.EndpointID]bool{} // endpoints with calls in flight
	for _, p := range c.pending {
		if p.attempt != nil {
			inUse[p.attempt.Endpoint] = true
		}
	}
	for id, endpoint := range c.directory.endpoints {
		if endpoint.goneSince.IsZero() || inUse[id] {
			out.Endpoints = append(out.Endpoints, handover.Endpoint{Removed: !endpoint.goneSince.IsZero(), Name: endpoint.name,
				Addr: endpoint.addr, Zone: c.directory.zoneName(endpoint.zone), Kind: c.directory.kindName(endpoint.kind),
				Partner: endpoint.partner, Draining: endpoint.state != logic.Ready, Weight: endpoint.weight})
		}
		c.transport.CloseIdle(id)
	}
	states, keys := c.scheduler.HandOver(toMicros(time.Since(c.startedAt)))
	for _, state := range states {
		if name, partner := c.toJournalPartner(state); name != "" {
			out.Partners[name] = partner
		}
	}
	for _, k := range keys {
		out.QuietKeys = append(out.QuietKeys, handover.QuietKey{Key: k.Key, Remaining: int64(k.Remaining)})
	}
	for id, p := range c.pending {
		if p.attempt == nil {
			continue
		}
		if p.attempt.Withhold(permit.HandedOver) || !p.attempt.hasBegun() { // it is never sent
			p.cancel()
			if !p.ended {
				c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: id})
			}
			continue
		}
		call := handover.Attempt{ID: id, MessageEnded: p.ended, Number: p.attempt.Number,
			Endpoint: c.directory.endpoints[p.attempt.Endpoint].name,
			Age:      now.Sub(p.attempt.createdAt).Microseconds()}
		if p.attempt.firstID != id {
			call.BatchedWith = p.attempt.firstID
		}
		out.Attempts = append(out.Attempts, call)
	}
	err := c.store.Append(c.records)
	clear(c.records)
	c.records = c.records[:0]
	out.Ended = c.store.UnsavedEnds()
	return out, err
}
