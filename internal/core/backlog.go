package core

import (
	"math"
	"time"

	"cometrack/internal/backlog"
	"cometrack/internal/backlog/disk"
	"cometrack/internal/backlog/spill"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/logic"
)

const (
	// endMargin is the time before its deadline at which a message in the backlog ends, because its end has to be
	// reported before the deadline.
	endMargin = 100 * time.Millisecond
	// maxEndsPerStep is the maximum number of ends of backlog messages that are reported in one step, so that
	// other messages are not delayed when very many expire at once.
	maxEndsPerStep = 256
)

// Backlog keeps the messages beyond the in-memory windows of their destinations. [spill.Spill] is the implementation
// and documents the methods. They are called by the loop only.
type Backlog interface {
	Place(m *message.Message, ordered bool) backlog.Placement
	Stage(r *disk.Record)
	HasRoom(body int) bool
	Commit() error
	EnterWindow(partner string)
	LeaveWindow(partner string)
	MayContain(id string) bool
	Lookup(id string, then func(*disk.Record, error))
	Discard()
	HandleEvent(event any) (in []spill.RefilledMessage, first, count uint64, ok bool)
	PutBack(list []spill.RefilledMessage)
	PopExpired(at int64) (r *disk.Record, seq uint64, ok bool)
	WakeTime() int64
	StartReads(now int64)
	ReclaimSegments()
	StopRefill()
	FromEarlierProcess(seq uint64) bool
	Terms() []int64
	Len() int
	BacklogLen(partner string) int
	Close() error
}

// loopBacklog is the state of the loop for the messages in the backlog. The zero value is that of a core without a
// backlog.
type loopBacklog struct {
	Backlog                                // nil for none
	endTimer       *time.Timer             // expires when the next message in the backlog ends
	refilled       []spill.RefilledMessage // messages that entered their windows since the last step
	refilledIDs    map[string]bool         // IDs of these messages
	unwrittenEnds  []backlogEnd            // ends of messages in the backlog that are not written yet
	endingDigests  map[string]uint64       // digests of these messages, by ID
	spilledIDs     map[string]bool         // IDs of new messages that this step adds to the backlog
	pendingLookups int                     // lookups without a result
	stopping       bool
}

// backlogEnd is the end of a message that never left the backlog.
type backlogEnd struct {
	entry journal.Entry
	end   message.End
}

// openBacklog opens the backlog, if there is one, and counts the messages of each window that the scheduler holds.
func (c *Core) openBacklog() error {
	if c.newBacklog == nil {
		return nil
	}
	b, err := c.newBacklog(c.store, func(ev any, quit <-chan struct{}) {
		select {
		case c.events <- ev:
		case <-quit:
		case <-c.done:
		}
	})
	if err != nil || b == nil {
		return err
	}
	endTimer := time.NewTimer(time.Hour)
	c.backlog = loopBacklog{Backlog: b, endTimer: endTimer, refilledIDs: map[string]bool{},
		endingDigests: map[string]uint64{}, spilledIDs: map[string]bool{}, stopping: c.backlog.stopping}
	c.store.SetTermsInUse(b.Terms)
	for _, p := range c.pending {
		if !p.ended {
			b.EnterWindow(p.msg.Partner)
		}
	}
	if c.backlog.stopping {
		b.StopRefill()
	}
	return nil
}

// closeBacklog closes the backlog. It must be called before the store is closed.
func (c *Core) closeBacklog() {
	if c.backlog.Backlog == nil {
		return
	}
	if err := c.backlog.Close(); err != nil {
		c.log.Error("backlog", "err", err)
	}
	c.backlog.endTimer.Stop()
	c.backlog.Backlog = nil
}

// endTimerFired returns the channel of endTimer; nil without a backlog.
func (b *loopBacklog) endTimerFired() <-chan time.Time {
	if b.Backlog == nil {
		return nil
	}
	return b.endTimer.C
}

// count returns the number of messages in the backlog.
func (b *loopBacklog) count() int {
	if b.Backlog == nil {
		return 0
	}
	return b.Len() + len(b.unwrittenEnds)
}

// placeInBacklog adds a new message to the backlog or rejects it. It returns false if the message goes to the scheduler
// instead.
func (c *Core) placeInBacklog(ev submitEvent, class *logic.Class) bool {
	b, m := &c.backlog, ev.msg
	if b.Backlog == nil {
		return false
	}
	ordered := class.KeepOrder && m.Order != ""
	switch placement := b.Place(m, ordered); {
	case placement == backlog.InWindow:
		return false
	case placement == backlog.Rejected || !b.HasRoom(len(m.Body)):
		ev.respond(SubmitResponse{Status: Busy})
		return true
	}
	b.Stage(&disk.Record{Message: *m, Accepted: c.clock.Now(), Terms: c.terms.number, Digest: m.Digest(),
		Ordered: ordered})
	b.spilledIDs[m.ID] = true
	c.submissions = append(c.submissions, ev)
	c.newMessages[m.ID] = m
	return true
}

// commitBacklog writes the messages that this step adds to the backlog. It is called after the journal has been
// written, to which they refer; err is the error of that write.
func (c *Core) commitBacklog(err error) error {
	if c.backlog.Backlog == nil {
		return nil
	}
	if err != nil {
		c.backlog.Discard()
		return err
	}
	err = c.backlog.Commit()
	if err != nil {
		c.log.Error("backlog", "err", err)
	}
	return err
}

// lookUpDuplicate starts a lookup for a submitted message whose ID may be in the backlog; the submission continues with
// the result. It returns false if the ID is not in the backlog.
func (c *Core) lookUpDuplicate(ev submitEvent) bool {
	if c.backlog.Backlog == nil || ev.notInBacklog || !c.backlog.MayContain(ev.msg.ID) {
		return false
	}
	c.backlog.pendingLookups++
	c.backlog.Lookup(ev.msg.ID, func(r *disk.Record, err error) {
		c.backlog.pendingLookups--
		ev.notInBacklog = true
		_, known := c.knownDigest(ev.msg.ID) // it may have entered its window meanwhile
		switch {
		case err != nil && !known:
			ev.respond(SubmitResponse{Status: Busy})
		case known || r == nil:
			c.submit(ev)
		case r.Digest != ev.msg.Digest():
			ev.respond(SubmitResponse{Status: Conflict})
		default:
			ev.respond(SubmitResponse{Status: Accepted, Duplicate: true})
		}
	})
	return true
}

// lookUpState starts a lookup for a state query of a message that may be in the backlog; the query continues with the
// result. It returns false if the message is not in the backlog.
func (c *Core) lookUpState(query stateQueryEvent) bool {
	if c.backlog.Backlog == nil || query.lookedUp || !c.backlog.MayContain(query.id) {
		return false
	}
	c.backlog.pendingLookups++
	c.backlog.Lookup(query.id, func(r *disk.Record, err error) {
		c.backlog.pendingLookups--
		if err != nil { // the message is pending, but its details are not available
			r = &disk.Record{Message: message.Message{ID: query.id}}
		}
		query.lookedUp, query.found = true, r
		c.stateQueries = append(c.stateQueries, query)
	})
	return true
}

// backlogMessageState returns the state of a message in the backlog.
func (c *Core) backlogMessageState(r *disk.Record) State {
	return State{ID: r.ID, Name: StateAccepted, Tenant: r.Tenant, Partner: r.Partner, Class: r.Class,
		AcceptedAt: c.wallTime(r.Accepted), Deadline: c.wallTime(r.Deadline)}
}

// handleBacklogEvent handles an event of the backlog. It returns false if the event is of another kind.
func (c *Core) handleBacklogEvent(ev any) bool {
	if c.backlog.Backlog == nil {
		return false
	}
	list, first, count, ok := c.backlog.HandleEvent(ev)
	if count > 0 {
		c.records = append(c.records, journal.Record{Op: journal.OpBacklogReclaimed, BacklogSeq: first, Count: count})
	}
	for i := range list {
		if r := list[i].Record; r != nil && list[i].Err == nil && !c.store.Reserve(len(r.Body)) {
			c.backlog.PutBack(list[i:]) // they are read again later
			break
		}
		c.refill(list[i])
	}
	return ok
}

// refill passes a message that enters its window to the scheduler.
func (c *Core) refill(refilled spill.RefilledMessage) {
	r := refilled.Record
	if r == nil {
		c.log.Error("a message in the backlog can't be read; only its number is known",
			"number", refilled.Seq, "err", refilled.Err)
		c.records = append(c.records, journal.Record{Op: journal.OpLeftBacklog, BacklogSeq: refilled.Seq})
		c.backlog.LeaveWindow(refilled.Partner)
		return
	}
	if refilled.Err != nil {
		c.log.Error("a message in the backlog is damaged; it is returned",
			"id", r.ID, "partner", r.Partner, "err", refilled.Err)
		c.backlog.LeaveWindow(refilled.Partner)
		c.endInBacklog(r, refilled.Seq)
		return
	}
	now := c.clock.Now()
	m := &r.Message
	event := c.newMessageEvent(m, now)
	class, stored := c.storedClass(r.Terms, r.Class)
	event.Terms = stored
	p := &pendingMessage{msg: m, acceptedAt: r.Accepted, termsNumber: r.Terms, class: class}
	if class == nil {
		c.log.Error("the class of a message in the backlog is not configured; the message is returned",
			"id", r.ID, "class", r.Class)
		c.backlog.LeaveWindow(refilled.Partner)
		c.endInBacklog(r, refilled.Seq)
		return
	}
	event.History = logic.History{Inherited: c.takeover == nil && c.backlog.FromEarlierProcess(refilled.Seq)}
	c.pending[m.ID] = p
	c.pendingCount++
	c.backlog.refilled, c.backlog.refilledIDs[m.ID] = append(c.backlog.refilled, refilled), true
	c.records = append(c.records, journal.Record{Op: journal.OpAccept,
		Entry: &journal.Entry{Message: *m, AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: refilled.Seq}})
	c.nextEvents = append(c.nextEvents, event)
}

// endInBacklog returns a message that never left the backlog. It has not run.
func (c *Core) endInBacklog(r *disk.Record, seq uint64) {
	m := r.Message
	m.Body = nil
	c.backlog.unwrittenEnds = append(c.backlog.unwrittenEnds, backlogEnd{
		entry: journal.Entry{Message: m, AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: seq, StoredDigest: r.Digest, StoredBodySize: 1},
		end:   message.End{ID: r.ID, State: message.Returned, At: c.clock.Now()}})
	c.backlog.endingDigests[r.ID] = r.Digest
}

// endExpiredBacklog ends the messages in the backlog that are close to their deadlines, and adds the records of these
// ends and of earlier ends that could not be written.
func (c *Core) endExpiredBacklog() {
	if c.backlog.Backlog == nil {
		return
	}
	at := c.clock.Now() + endMargin.Microseconds()
	for len(c.backlog.unwrittenEnds) < maxEndsPerStep {
		r, seq, ok := c.backlog.PopExpired(at)
		if !ok {
			break
		}
		if r == nil {
			c.log.Error("an expired message in the backlog can't be read; only its number is known", "number", seq)
			c.records = append(c.records, journal.Record{Op: journal.OpLeftBacklog, BacklogSeq: seq})
			continue
		}
		c.endInBacklog(r, seq)
	}
	for i := range c.backlog.unwrittenEnds {
		ended := &c.backlog.unwrittenEnds[i]
		entry, end := ended.entry, ended.end
		c.records = append(c.records, journal.Record{Op: journal.OpAccept, Entry: &entry},
			journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
	}
}

// applyBacklogWrite is called with the result of writing a step's records. On success it reports the ends of messages
// in the backlog; on failure it puts the messages that entered their windows back.
func (c *Core) applyBacklogWrite(err error) {
	if c.backlog.Backlog == nil {
		return
	}
	if err != nil {
		for _, item := range c.backlog.refilled {
			if p := c.pending[item.Record.ID]; p != nil {
				c.pendingCount--
				delete(c.pending, item.ID)
				c.nextEvents = append(c.nextEvents, logic.ClientGone{ID: item.Record.ID})
			}
		}
		c.backlog.PutBack(c.backlog.refilled)
	} else {
		for _, item := range c.backlog.refilled {
			c.releaseBody(item.Record.ID)
		}
		for i := range c.backlog.unwrittenEnds {
			item := &c.backlog.unwrittenEnds[i]
			c.endedIDs = append(c.endedIDs, item.end.ID)
			delete(c.backlog.endingDigests, item.end.ID)
			c.notifySink(&item.entry.Message, item.end)
		}
		clear(c.backlog.unwrittenEnds)
		c.backlog.unwrittenEnds = c.backlog.unwrittenEnds[:0]
	}
	clear(c.backlog.refilled)
	c.backlog.refilled = c.backlog.refilled[:0]
	clear(c.backlog.refilledIDs)
}

// scheduleBacklogWork starts the next reads of the backlog and sets the timer for the next end.
func (c *Core) scheduleBacklogWork() {
	if c.backlog.Backlog == nil {
		return
	}
	c.backlog.StartReads(c.clock.Now() + endMargin.Microseconds())
	if at := c.backlog.WakeTime(); at != math.MaxInt64 {
		c.backlog.endTimer.Reset(max(time.Until(c.clock.Moment(at))-endMargin, time.Millisecond))
	} else {
		c.backlog.endTimer.Reset(time.Hour)
	}
	if len(c.backlog.unwrittenEnds) > 0 { // they could not be written: try again
		c.backlog.endTimer.Reset(retryDelay)
	}
}
