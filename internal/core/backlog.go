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
	endEarly = 100 * time.Millisecond
	// mostEnds behind the windows are told in one step: others are not held up by a million.
	mostEnds = 256
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
type behind struct {
	Backlog                         // nil for none
	due     *time.Timer             // of the next end behind a window
	came    []spill.RefilledMessage // since the last step
	fresh   map[string]bool         // of these, by id
	over    []ending                // ended behind their windows, not written yet
	ending  map[string]uint64       // of these, the digests by id
	placed  map[string]bool         // new messages that go behind their windows with this step, by id
	looks   int                     // lookups that have not answered
	closing bool
}

type ending struct {
	entry journal.Entry
	end   message.End
}

// openBacklog opens what is behind the windows, and counts what the module has.
func (c *Core) openBacklog() error {
	if c.openBehind == nil {
		return nil
	}
	b, err := c.openBehind(c.store, func(ev any, quit <-chan struct{}) {
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
	c.behind = behind{Backlog: b, due: due, fresh: map[string]bool{}, ending: map[string]uint64{}, placed: map[string]bool{}, closing: c.behind.closing}
	c.store.SetTermsInUse(b.Terms)
	for _, h := range c.held {
		if !h.over {
			b.EnterWindow(h.msg.Partner)
		}
	}
	if c.behind.closing {
		b.StopRefill()
	}
	return nil
}

// closeBacklog closes it; the store outlives it.
func (c *Core) closeBacklog() {
	if c.behind.Backlog == nil {
		return
	}
	if err := c.behind.Close(); err != nil {
		c.log.Error("backlog", "err", err)
	}
	c.behind.due.Stop()
	c.behind.Backlog = nil
}

// ends is when a message behind a window ends next; it never fires without any.
func (b *behind) ends() <-chan time.Time {
	if b.Backlog == nil {
		return nil
	}
	return b.due.C
}

// number is how many messages are behind the windows.
func (b *behind) number() int {
	if b.Backlog == nil {
		return 0
	}
	return b.Len() + len(b.over)
}

// place sends a new message behind its window or turns it away; false if it goes into
// the module.
func (c *Core) place(ev putEvent, class *logic.Class) bool {
	b, m := &c.behind, ev.msg
	if b.Backlog == nil {
		return false
	}
	ordered := class.KeepOrder && m.Order != ""
	switch v := b.Place(m, ordered); {
	case v == backlog.InWindow:
		return false
	case v == backlog.Rejected || !b.HasRoom(len(m.Body)):
		ev.tell(SubmitResponse{Status: Busy})
		return true
	}
	b.Stage(&disk.Record{Message: *m, Accepted: c.clock.Now(), Terms: c.terms.n, Digest: m.Digest(), Ordered: ordered})
	b.placed[m.ID] = true
	c.puts = append(c.puts, ev)
	c.fresh[m.ID] = m
	return true
}

// commitBehind writes what goes behind the windows with this step, after the journal
// has got what that refers to; err is what became of the journal.
func (c *Core) commitBehind(err error) error {
	if c.behind.Backlog == nil {
		return nil
	}
	if err != nil {
		c.behind.Discard()
		return err
	}
	err = c.behind.Commit()
	if err != nil {
		c.log.Error("backlog", "err", err)
	}
	return err
}

// lookFirst has a message looked up whose id may be behind a window, before it is
// taken on; false if it is none.
func (c *Core) lookFirst(ev putEvent) bool {
	if c.behind.Backlog == nil || ev.sure || !c.behind.MayContain(ev.msg.ID) {
		return false
	}
	c.behind.looks++
	c.behind.Lookup(ev.msg.ID, func(r *disk.Record, err error) {
		c.behind.looks--
		ev.sure = true
		_, here := c.known(ev.msg.ID) // it may have come into its window meanwhile
		switch {
		case err != nil && !here:
			ev.tell(SubmitResponse{Status: Busy})
		case here || r == nil:
			c.put(ev)
		case r.Digest != ev.msg.Digest():
			ev.tell(SubmitResponse{Status: Conflict})
		default:
			ev.tell(SubmitResponse{Status: Accepted, Duplicate: true})
		}
	})
	return true
}

// lookState answers one who asks for a message that may be behind a window; false
// if it is none.
func (c *Core) lookState(ask stateEvent) bool {
	if c.behind.Backlog == nil || ask.sure || !c.behind.MayContain(ask.id) {
		return false
	}
	c.behind.looks++
	c.behind.Lookup(ask.id, func(r *disk.Record, err error) {
		c.behind.looks--
		if err != nil { // it is held, and more can't be told
			r = &disk.Record{Message: message.Message{ID: ask.id}}
		}
		ask.sure, ask.found = true, r
		c.asks = append(c.asks, ask)
	})
	return true
}

// stateBehind is what is known of a message behind a window.
func (c *Core) stateBehind(r *disk.Record) State {
	return State{ID: r.ID, Name: StateAccepted, Tenant: r.Tenant, Partner: r.Partner, Class: r.Class, AcceptedAt: c.wall(r.Accepted), Deadline: c.wall(r.Deadline)}
}

// fromBehind takes an event of the backlog's; false if it is none.
func (c *Core) fromBehind(ev any) bool {
	if c.behind.Backlog == nil {
		return false
	}
	list, first, count, ok := c.behind.HandleEvent(ev)
	if count > 0 {
		c.records = append(c.records, journal.Record{Op: journal.OpBacklogReclaimed, BacklogSeq: first, Count: count})
	}
	for i := range list {
		if r := list[i].Record; r != nil && list[i].Err == nil && !c.store.Reserve(len(r.Body)) {
			c.behind.PutBack(list[i:]) // read again later
			break
		}
		c.enter(list[i])
	}
	return ok
}

// enter has the module take a message on that comes into its window.
func (c *Core) enter(x spill.RefilledMessage) {
	r := x.Record
	if r == nil {
		c.log.Error("a message behind its window can't be read: nothing is known of it but its number", "number", x.Seq, "err", x.Err)
		c.records = append(c.records, journal.Record{Op: journal.OpLeftBacklog, BacklogSeq: x.Seq})
		c.behind.LeaveWindow(x.Partner)
		return
	}
	if x.Err != nil {
		c.log.Error("a message behind its window is damaged: it is returned", "id", r.ID, "partner", r.Partner, "err", x.Err)
		c.behind.LeaveWindow(x.Partner)
		c.overBehind(r, x.Seq)
		return
	}
	now := c.clock.Now()
	m := &r.Message
	h := &held{msg: m, accepted: r.Accepted, terms: r.Terms, class: c.terms.class(r.Class)}
	in := c.callOf(m, now)
	if r.Terms != c.terms.n {
		if in.Terms = termsOf(c.store.Terms(r.Terms), r.Class); in.Terms != nil {
			h.class = &in.Terms.Class
		}
	}
	if h.class == nil {
		c.log.Error("a message behind its window is of a class that is not configured: it is returned", "id", r.ID, "class", r.Class)
		c.behind.LeaveWindow(x.Partner)
		c.overBehind(r, x.Seq)
		return
	}
	in.History = logic.History{Inherited: c.from == nil && c.behind.FromEarlierProcess(x.Seq)}
	c.held[m.ID] = h
	c.open++
	c.behind.came, c.behind.fresh[m.ID] = append(c.behind.came, x), true
	c.records = append(c.records, journal.Record{Op: journal.OpAccept,
		Entry: &journal.Entry{Message: *m, AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: x.Seq}})
	c.next = append(c.next, in)
}

// overBehind ends a message that was behind its window: it never ran.
func (c *Core) overBehind(r *disk.Record, seq uint64) {
	m := r.Message
	m.Body = nil
	c.behind.over = append(c.behind.over, ending{entry: journal.Entry{Message: m, AcceptedAt: r.Accepted, Terms: r.Terms, BacklogSeq: seq, StoredDigest: r.Digest, StoredBodySize: 1},
		end: message.End{ID: r.ID, State: message.Returned, At: c.clock.Now()}})
	c.behind.ending[r.ID] = r.Digest
}

// endBehind ends what is over behind the windows.
func (c *Core) endBehind() {
	if c.behind.Backlog == nil {
		return
	}
	at := c.clock.Now() + endEarly.Microseconds()
	for len(c.behind.over) < mostEnds {
		r, seq, ok := c.behind.PopExpired(at)
		if !ok {
			break
		}
		if r == nil {
			c.log.Error("a message behind its window is over and can't be read: nothing is known of it but its number", "number", seq)
			c.records = append(c.records, journal.Record{Op: journal.OpLeftBacklog, BacklogSeq: seq})
			continue
		}
		c.overBehind(r, seq)
	}
	for i := range c.behind.over {
		x := &c.behind.over[i]
		entry, end := x.entry, x.end
		c.records = append(c.records, journal.Record{Op: journal.OpAccept, Entry: &entry}, journal.Record{Op: journal.OpEnd, ID: end.ID, End: &end})
	}
}

// wroteBehind takes what became of a step's records: those that came into their
// windows are held, or go back; those that ended are told.
func (c *Core) wroteBehind(err error) {
	if c.behind.Backlog == nil {
		return
	}
	if err != nil {
		for _, x := range c.behind.came {
			if h := c.held[x.Record.ID]; h != nil {
				c.open--
				delete(c.held, x.ID)
				c.next = append(c.next, logic.ClientGone{ID: x.Record.ID})
			}
		}
		c.behind.PutBack(c.behind.came)
	} else {
		for _, x := range c.behind.came {
			c.leaveBody(x.Record.ID)
		}
		for i := range c.behind.over {
			x := &c.behind.over[i]
			c.ended = append(c.ended, x.end.ID)
			delete(c.behind.ending, x.end.ID)
			c.tellEnd(&x.entry.Message, x.end)
		}
		clear(c.behind.over)
		c.behind.over = c.behind.over[:0]
	}
	clear(c.behind.came)
	c.behind.came = c.behind.came[:0]
	clear(c.behind.fresh)
}

// workBehind has what is next read, and the timer set for what ends next.
func (c *Core) workBehind() {
	if c.behind.Backlog == nil {
		return
	}
	c.behind.StartReads(c.clock.Now() + endEarly.Microseconds())
	if at := c.behind.WakeTime(); at != math.MaxInt64 {
		c.behind.due.Reset(max(time.Until(c.clock.Moment(at))-endEarly, time.Millisecond))
	} else {
		c.behind.due.Reset(time.Hour)
	}
	if len(c.behind.over) > 0 { // they could not be written
		c.behind.due.Reset(retryPause)
	}
}
