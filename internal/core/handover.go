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

// The side of a handover that hands over.

// comeBackTries are the attempts to open the store again, [retryPause] apart.
const comeBackTries = 20

// Link carries messages of package handover between two processes.
// [handover.Conn] is one.
type Link interface {
	Send(m any) error
	Close() error
}

// Successor is a process that has asked for the snapshot of this one.
type Successor interface {
	Link
	// Transfer sends the snapshot with the listeners and says whether the successor decides from
	// then on; else it is certain that it does not, and never will.
	Transfer(snapshot *handover.Snapshot, listeners []net.Listener) (taken bool, err error)
	// ReceiveMessages tells what the successor sends from then on, until it ends: then gone is called.
	ReceiveMessages(tell func(m any), gone func(error))
}

// successorEvent says that a successor has come.
type successorEvent struct {
	successor Successor
	done      chan error // has room; what became of it
}

// HandOver hands over to a successor, and returns once the successor decides or has failed.
func (c *Core) HandOver(successor Successor) error {
	ev := successorEvent{successor, make(chan error, 1)}
	return c.settle(ev, ev.done)
}

// askedFor notes a successor; the loop comes to rest first.
func (c *Core) askedFor(ev successorEvent) {
	switch {
	case c.successor != nil || c.reopen == nil:
		ev.done <- fmt.Errorf("not now: another process is being handed over to, or this one can't hand over")
	case len(c.remote) > 0:
		ev.done <- fmt.Errorf("not now: calls of the process before this one are still out")
	case !c.life.HandleEvent(lifecycle.HandoverRequested):
		ev.done <- fmt.Errorf("not now: this process is %v", c.life.Behavior().State)
	default:
		c.successor = &ev
	}
}

// handOver takes the step after which a successor decides; false if it does not, and
// this process goes on.
func (c *Core) handOver(ev *successorEvent, fronts []Front) (bool, error) {
	at := time.Now()
	snapshot, err := c.snapshot(fronts)
	if err != nil { // what can't be written can't be handed over
		c.life.HandleEvent(lifecycle.HandoverAborted)
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
		c.log.Info("handed over", "held", c.open, "calls_out", len(snapshot.Attempts), "took", time.Since(at))
		c.life.HandleEvent(lifecycle.HandoverCompleted)
		ev.done <- nil
		return true, nil
	}
	c.log.Error("not handed over: this process goes on", "err", err, "took", time.Since(at))
	ev.done <- fmt.Errorf("not handed over: %w", err)
	if err := c.comeBack(snapshot); err != nil {
		return false, err
	}
	c.life.HandleEvent(lifecycle.HandoverAborted)
	return false, nil
}

// comeBack opens the store again. A process that can't, for another has it by now,
// must not go on.
func (c *Core) comeBack(snapshot *handover.Snapshot) error {
	for tries := 1; ; tries++ {
		store, err := c.reopen()
		if err == nil {
			if snapshot != nil {
				store.AddUnsavedEnds(snapshot.Ended)
			}
			c.storeMu.Lock()
			c.store = store
			c.storeMu.Unlock()
			if err := c.setTerms(c.terms); err != nil {
				c.log.Error("settings", "err", err)
			}
			if err := c.openBacklog(); err != nil {
				return fmt.Errorf("come back after a handover that failed: %w", err)
			}
			return nil
		}
		c.log.Error("the journal can't be opened again", "err", err)
		if tries >= comeBackTries {
			return fmt.Errorf("come back after a handover that failed: %w", err)
		}
		time.Sleep(retryPause)
	}
}

// snapshot tells all that a successor needs beside the journal, which is up to date after
// it. Attempts that have not begun are kept from it.
func (c *Core) snapshot(fronts []Front) (*handover.Snapshot, error) {
	now := time.Now()
	out := &handover.Snapshot{Format: handover.Format, At: c.clock.At(now), ListReceived: c.heard, ListVersion: c.source.Version(),
		Partners: map[string]*journal.Partner{}, Listeners: len(fronts)}
	busy := map[logic.EndpointID]bool{} // endpoints with calls
	for _, h := range c.held {
		if h.attempt != nil {
			busy[h.attempt.Endpoint] = true
		}
	}
	for id, to := range c.dir.eps {
		if to.gone.IsZero() || busy[id] {
			out.Endpoints = append(out.Endpoints, handover.Endpoint{Removed: !to.gone.IsZero(), Name: to.name, Addr: to.addr, Zone: c.dir.zone(to.zone),
				Kind: c.dir.kindName(to.kind), Partner: to.partner, Draining: to.state != logic.Ready, Weight: to.weight})
		}
		c.transport.CloseIdle(id)
	}
	all, keys := c.sender.HandOver(micros(time.Since(c.start)))
	for _, m := range all {
		if name, known := c.toJournal(m); name != "" {
			out.Partners[name] = known
		}
	}
	for _, k := range keys {
		out.QuietKeys = append(out.QuietKeys, handover.QuietKey{Key: k.Key, Remaining: int64(k.Remaining)})
	}
	for id, h := range c.held {
		if h.attempt == nil {
			continue
		}
		if h.attempt.Withhold(permit.HandedOver) || !h.attempt.begun() { // it never goes out
			h.stop()
			if !h.over {
				c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: id})
			}
			continue
		}
		call := handover.Attempt{ID: id, MessageEnded: h.over, Number: h.attempt.Number, Endpoint: c.dir.eps[h.attempt.Endpoint].name,
			Age: now.Sub(h.attempt.at).Microseconds()}
		if h.attempt.first != id {
			call.BatchedWith = h.attempt.first
		}
		out.Attempts = append(out.Attempts, call)
	}
	err := c.store.Append(c.records)
	clear(c.records)
	c.records = c.records[:0]
	out.Ended = c.store.UnsavedEnds()
	return out, err
}
