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
	// endEarly is how long before the end of its time a message behind its window is
	// over: its end has to be told within it.
	endMargin = 100 * time.Millisecond
	// mostEnds behind the windows are told in one step: others are not held up by a million.
	maxEndsPerStep = 256
)

// Backlog keeps messages behind the windows of their destinations. [spill.Spill] is
// one; it says what each method does. All of them belong to the loop.
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

// behind is the loop's part of the messages behind the windows; its zero value is
// that of a core without any.
type loopBacklog struct {
	Backlog                                // nil for none
	endTimer       *time.Timer             // of the next end behind a window
	refilled       []spill.RefilledMessage // since the last step
	refilledIDs    map[string]bool         // of these, by id
	unwrittenEnds  []backlogEnd            // ended behind their windows, not written yet
	endingDigests  map[string]uint64       // of these, the digests by id
	spilledIDs     map[string]bool         // new messages that go behind their windows with this step, by id
	pendingLookups int                     // lookups that have not answered
	stopping       bool
}

type backlogEnd struct {
	entry journal.Entry
	end   message.End
}

// openBacklog opens what is behind the windows, and counts what the module has.
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
	due := time.NewTimer(time.Hour)
	c.backlog = loopBacklog{Backlog: b, endTimer: due, refilledIDs: map[string]bool{}, endingDigests: map[string]uint64{}, spilledIDs: map[string]bool{}, stopping: c.backlog.stopping}
	c.store.HoldTerms(b.Terms)
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

// closeBacklog closes it; the store outlives it.
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

// ends is when a message behind a window ends next; it never fires without any.
func (b *loopBacklog) endTimerFired() <-chan time.Time {
	if b.Backlog == nil {
		return nil
	}
	return b.endTimer.C
}

// number is how many messages are behind the windows.
func (b *loopBacklog) count() int {
	if b.Backlog == nil {
		return 0
	}
	return b.Len() + len(b.unwrittenEnds)
}

// place sends a new message behind its window or turns it away; false if it goes into
// the module.
func (c *Core) placeInBacklog(ev submitEvent, class *logic.Class) bool {
	b, m := &c.backlog, ev.msg
	if b.Backlog == nil {
		return false
	}
	ordered := class.KeepOrder && m.Order != ""
	switch v := b.Place(m, ordered); {
	case v == backlog.InWindow:
		return false
	case v == backlog.Rejected || !b.HasRoom(len(m.Body)):
		ev.respond(SubmitResponse{Status: Busy})
		return true
	}
	b.Stage(&disk.Record{Message: *m, Accepted: c.clock.Now(), Terms: c.terms.number, Digest: m.Digest(), Ordered: ordered})
	b.spilledIDs[m.ID] = true
	c.submissions = append(c.submissions, ev)
	c.newMessages[m.ID] = m
	return true
}

// commitBehind writes what goes behind the windows with this step, after the journal
// has got what that refers to; err is what became of the journal.
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

// lookFirst has a message looked up whose id may be behind a window, before it is
// taken on; false if it is none.
func (c *Core) lookUpDuplicate(ev submitEvent) bool {
	if c.backlog.Backlog == nil || ev.notInBacklog || !c.backlog.MayContain(ev.msg.ID) {
		return false
	}
	c.backlog.pendingLookups++
	c.backlog.Lookup(ev.msg.ID, func(r *disk.Record, err error) {
		c.backlog.pendingLookups--
		ev.notInBacklog = true
		_, here := c.knownDigest(ev.msg.ID) // it may have come into its window meanwhile
		switch {
		case err != nil && !here:
			ev.respond(SubmitResponse{Status: Busy})
		case here || r == nil:
			c.submit(ev)
		case r.Digest != ev.msg.Digest():
			ev.respond(SubmitResponse{Status: Conflict})
		default:
			ev.respond(SubmitResponse{Status: Accepted, Duplicate: true})
		}
	})
	return true
}

// lookState answers one who asks for a message that may be behind a window; false
// if it is none.
func (c *Core) lookUpState(ask stateQueryEvent) bool {
	if c.backlog.Backlog == nil || ask.lookedUp || !c.backlog.MayContain(ask.id) {
		return false
	}
	c.backlog.pendingLookups++
	c.backlog.Lookup(ask.id, func(r *disk.Record, err error) {
		c.backlog.pendingLookups--
		if err != nil { // it is held, and more can't be told
			r = &disk.Record{Message: message.Message{ID: ask.id}}
		}
		ask.lookedUp, ask.found = true, r
		c.stateQueries = append(c.stateQueries, ask)
	})
	return true
}

// stateBehind is what is known of a message behind a window.
func (c *Core) backlogMessageState(r *disk.Record) State {
	return State{ID: r.ID, Name: StateAccepted, Tenant: r.Tenant, Partner: r.Partner, Class: r.Class, AcceptedAt: c.wallTime(r.Accepted), Deadline: c.wallTime(r.Deadline)}
}

// fromBehind takes an event of the backlog's; false if it is none.
func (c *Core) handleBacklogEvent(ev any) bool {
	if c.backlog.Backlog == nil {
		return false
	}
	list, first, count, ok := c.backlog.HandleEvent(ev)
	if count > 0 {
		c.records = append(c.records, journal.Record{Op: journal.OpCleared, Behind: first, Count: count})
	}
	for i := range list {
		if r := list[i].Record; r != nil && list[i].Err == nil && !c.store.Room(len(r.Body)) {
			c.backlog.PutBack(list[i:]) // read again later
			break
		}
		c.refill(list[i])
	}
	return ok
}

// enter has the module take a message on that comes into its window.
func (c *Core) refill(x spill.RefilledMessage) {
	r := x.Record
	if r == nil {
		c.log.Error("a message behind its window can't be read: nothing is known of it but its number", "number", x.Seq, "err", x.Err)
		c.records = append(c.records, journal.Record{Op: journal.OpPassed, Behind: x.Seq})
		c.backlog.LeaveWindow(x.Partner)
		return
	}
	if x.Err != nil {
		c.log.Error("a message behind its window is damaged: it is returned", "id", r.ID, "partner", r.Partner, "err", x.Err)
		c.backlog.LeaveWindow(x.Partner)
		c.endInBacklog(r, x.Seq)
		return
	}
	now := c.clock.Now()
	m := &r.Message
	p := &pendingMessage{msg: m, acceptedAt: r.Accepted, termsNumber: r.Terms, class: c.terms.class(r.Class)}
	in := c.newMessageEvent(m, now)
	if r.Terms != c.terms.number {
		if in.Terms = classTerms(c.store.Terms(r.Terms), r.Class); in.Terms != nil {
			p.class = &in.Terms.Class
		}
	}
	if p.class == nil {
		c.log.Error("a message behind its window is of a class that is not configured: it is returned", "id", r.ID, "class", r.Class)
		c.backlog.LeaveWindow(x.Partner)
		c.endInBacklog(r, x.Seq)
		return
	}
	in.History = logic.History{Inherited: c.takeover == nil && c.backlog.FromEarlierProcess(x.Seq)}
	c.pending[m.ID] = p
	c.pendingCount++
	c.backlog.refilled, c.backlog.refilledIDs[m.ID] = append(c.backlog.refilled, x), true
	c.records = append(c.records, journal.Record{Op: journal.OpAccept,
		Entry: &journal.Entry{Message: *m, Accepted: r.Accepted, Terms: r.Terms, Behind: x.Seq}})
	c.nextEvents = append(c.nextEvents, in)
}

// overBehind ends a message that was behind its window: it never ran.
func (c *Core) endInBacklog(r *disk.Record, seq uint64) {
	m := r.Message
	m.Body = nil
	c.backlog.unwrittenEnds = append(c.backlog.unwrittenEnds, backlogEnd{entry: journal.Entry{Message: m, Accepted: r.Accepted, Terms: r.Terms, Behind: seq, EndDigest: r.Digest, Left: 1},
		end: message.End{ID: r.ID, State: message.Returned, At: c.clock.Now()}})
	c.backlog.endingDigests[r.ID] = r.Digest
}

// endBehind ends what is over behind the windows.
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
			c.log.Error("a message behind its window is over and can't be read: nothing is known of it but its number", "number", seq)
			c.records = append(c.records, journal.Record{Op: journal.OpPassed, Behind: seq})
			continue
		}
		c.endInBacklog(r, seq)
	}
	for i := range c.backlog.unwrittenEnds {
		x := &c.backlog.unwrittenEnds[i]
		entry, end := x.entry, x.end
		c.records = append(c.records, journal.Record{Op: journal.OpAccept, Entry: &entry}, journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
	}
}

// wroteBehind takes what became of a step's records: those that came into their
// windows are held, or go back; those that ended are told.
func (c *Core) applyBacklogWrite(err error) {
	if c.backlog.Backlog == nil {
		return
	}
	if err != nil {
		for _, x := range c.backlog.refilled {
			if p := c.pending[x.Record.ID]; p != nil {
				c.pendingCount--
				delete(c.pending, x.ID)
				c.nextEvents = append(c.nextEvents, logic.ClientGone{ID: x.Record.ID})
			}
		}
		c.backlog.PutBack(c.backlog.refilled)
	} else {
		for _, x := range c.backlog.refilled {
			c.releaseBody(x.Record.ID)
		}
		for i := range c.backlog.unwrittenEnds {
			x := &c.backlog.unwrittenEnds[i]
			c.endedIDs = append(c.endedIDs, x.end.ID)
			delete(c.backlog.endingDigests, x.end.ID)
			c.notifySink(&x.entry.Message, x.end)
		}
		clear(c.backlog.unwrittenEnds)
		c.backlog.unwrittenEnds = c.backlog.unwrittenEnds[:0]
	}
	clear(c.backlog.refilled)
	c.backlog.refilled = c.backlog.refilled[:0]
	clear(c.backlog.refilledIDs)
}

// workBehind has what is next read, and the timer set for what ends next.
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
	if len(c.backlog.unwrittenEnds) > 0 { // they could not be written
		c.backlog.endTimer.Reset(retryDelay)
	}
}
