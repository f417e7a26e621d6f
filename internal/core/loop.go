package core

import (
	"context"
	"slices"
	"time"

	"cometrack/internal/backlog/disk"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// What the loop is handed. Each stands for one thing that has happened.
type (
	// putEvent is a message that a client hands in. It gets one answer.
	putEvent struct {
		msg    *message.Message
		door   *FrontLimiter // nil if the front has none
		answer chan<- SubmitResponse
		sure   bool // no message of its id is behind a window
	}
	// stateEvent asks for the state of a message. With watch, the answer waits
	// until the message is over.
	stateEvent struct {
		id     string
		watch  bool
		answer chan State   // has room for one
		sure   bool         // it has been looked up behind the windows
		found  *disk.Record // what was found there
	}
	// unwatchEvent says that nobody waits for an answer any more.
	unwatchEvent struct {
		id     string
		answer chan State
	}
	// replyEvent is the outcomes of the attempts of one call, one each.
	replyEvent []reply
	reply      struct {
		attempt *Attempt
		result  Result
		took    time.Duration
	}
	// healthEvent is the one outcome of a probe.
	healthEvent struct {
		ep      logic.EndpointID
		outcome logic.Outcome
	}
	// confirmedEvent says that the end sink has passed on these ends.
	confirmedEvent struct{ ids []string }
	// writeEvent has the journal write what it could not before.
	writeEvent struct{}
	// closingEvent starts the shutdown.
	closingEvent struct{ left time.Duration }
)

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
//
// It returns the successor once another process decides.
func (c *Core) loop(work context.Context, fronts []Front, served, stopped <-chan struct{}) (successor *successorEvent, err error) {
	tick := max(span(c.cfg.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	defer c.due.Stop()
	quiet := false // shutting down, and no client is left
	for {
		if quiet && c.open == 0 && c.store.Len() == 0 {
			c.log.Info("stopped", "owed", 0)
			return nil, nil
		}
		select {
		case ev := <-c.events:
			c.take(ev)
		case <-c.due.C:
			c.next = append(c.next, logic.TimerFired{Token: c.token})
		case <-c.behind.ends():
		case <-sweep.C:
			c.sweep(time.Now())
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the store as it is.
			c.log.Info("stopped", "owed", c.store.Len())
			return nil, nil
		}
		for more := true; more; {
			select {
			case ev := <-c.events:
				c.take(ev)
			default:
				more = false
			}
		}
		c.step(work)
		for len(c.next) > 0 {
			c.step(work)
		}
		if successor := c.successor; successor != nil && c.behind.looks == 0 {
			c.successor = nil
			if taken, err := c.handOver(successor, fronts); taken || err != nil {
				return successor, err
			}
			continue
		}
		rest.Reset(tick)
		<-rest.C
	}
}

// sweep drops what is of no more use.
func (c *Core) sweep(now time.Time) {
	c.transport.CloseStale()
	if c.behind.Backlog != nil {
		c.behind.ReclaimSegments()
	}
	c.remember(rememberSweep)
	if err := c.store.Append(c.records); err != nil {
		c.log.Error("journal", "err", err) // they are of the past, and written later
	}
	clear(c.records)
	c.records = c.records[:0]
	c.store.DropExpired(c.clock.At(now))
	if c.dir.spare(now) {
		c.forgetSpare(now)
	} else {
		c.dir.forget(now, nil, nil)
	}
	c.listed(now)
	for id := range c.marks {
		if _, ok := c.dir.eps[id]; !ok {
			delete(c.marks, id)
		}
	}
}

// forgetSpare drops what nothing that is held refers to. It goes over all that is, so not often.
func (c *Core) forgetSpare(now time.Time) {
	if now.Sub(c.sparedAt) < keepGone/4 {
		return
	}
	c.sparedAt = now
	calls, partners := map[logic.EndpointID]bool{}, map[string]bool{}
	for _, h := range c.held {
		partners[h.msg.Partner] = true
		if h.attempt != nil {
			calls[h.attempt.Endpoint] = true
		}
	}
	c.dir.forget(now, calls, partners)
}

// resume hands the module what the store holds, with what became of it so far, and
// what another process has handed over.
func (c *Core) resume() error {
	out := c.restoreSnapshot()
	if c.cfg.CachedEndpoints != nil {
		c.next = append(c.next, logic.Endpoints{Form: logic.ListCached, Entries: c.dir.take(*c.cfg.CachedEndpoints)})
	}
	now := c.clock.Now()
	if c.cfg.PersistWaits {
		for name, until := range c.store.Waits() {
			if id, ok := c.dir.ids[name]; ok {
				c.next = append(c.next, logic.RequestedWait{Endpoint: id, Remaining: logic.Micros(until - now)})
				if left := time.Duration(until-now) * time.Microsecond; left > 0 { // the others may not have heard of it
					c.share(Observation{RequestedWait: left}, id)
				}
			}
		}
	}
	if c.cfg.Settings.TrackChanges {
		c.past = c.store.Partners()
		c.recall()
	}
	orphans := map[string]int{}
	for _, e := range c.store.Entries() {
		if e.End != nil {
			c.tellEnd(&e.Message, *e.End)
			continue
		}
		in := c.callOf(&e.Message, now)
		h := &held{msg: &e.Message, accepted: e.AcceptedAt, tries: e.Attempts, left: e.StoredBodySize > 0, terms: e.Terms, class: c.terms.class(e.Class)}
		if e.Terms != c.terms.n {
			if in.Terms = termsOf(c.store.Terms(e.Terms), e.Class); in.Terms != nil {
				h.class = &in.Terms.Class
			}
		}
		c.held[e.ID] = h
		c.open++
		in.History = logic.History{Attempts: e.Attempts, MayHaveRun: e.MayHaveRun || e.InFlight, Inherited: c.from == nil}
		if in.History.MayHaveRun {
			in.History.SinceFirst = logic.Micros(max(now-e.MayHaveRunSince, 0))
			in.History.Zone = slices.Index(c.cfg.Zones, e.MayHaveRunZone)
		}
		if call, ok := out[e.ID]; ok && e.InFlight {
			c.adopt(h, call, &in, e, now)
			delete(out, e.ID)
		} else if e.InFlight { // whoever reads the journal next must not take its outcome for a later one's
			c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: e.ID, MayHaveRun: true})
		}
		if c.cfg.CachedEndpoints != nil && !c.dir.serves(e.Partner) {
			orphans[e.Partner]++
		}
		if h.class == nil {
			c.log.Error("a held message is of a class that is not configured", "id", e.ID, "class", e.Class)
		}
		c.next = append(c.next, in)
	}
	c.next = append(c.next, c.leftovers(out)...)
	for name, n := range orphans {
		c.log.Warn("held messages are for a partner that is not known; they are kept until their time is up", "partner", name, "messages", n)
	}
	if err := c.openBacklog(); err != nil {
		return err
	}
	return c.takenOver()
}

// callOf is the module's view of a message.
func (c *Core) callOf(m *message.Message, now int64) logic.NewMessage {
	in := logic.NewMessage{ID: m.ID, Key: m.Order, Remaining: logic.Micros(m.Deadline - now), Dest: c.dir.partner(m.Partner).dest,
		Tenant: -1, Class: -1}
	if i, ok := c.terms.classes[m.Class]; ok {
		in.Class = i
	}
	if t, ok := c.terms.tenants[m.Tenant]; ok && m.Tenant != "" {
		in.Tenant = t
	}
	return in
}

// take turns what has come into events for the next step.
func (c *Core) take(ev any) {
	switch ev := ev.(type) {
	case putEvent:
		c.put(ev)
	case stateEvent:
		c.asks = append(c.asks, ev)
	case unwatchEvent:
		c.unwatch(ev)
	case replyEvent:
		for _, r := range ev {
			c.reply(r)
		}
	case healthEvent:
		c.next = append(c.next, logic.ProbeResult{Endpoint: ev.ep, Outcome: ev.outcome})
	case EndpointUpdate:
		c.news(ev)
	case observationsEvent:
		c.hears(ev)
	case confirmedEvent:
		now := c.clock.Now()
		for _, id := range ev.ids {
			c.records = append(c.records, journal.Record{Op: journal.OpNotified, ID: id, At: now})
		}
	case remoteOutcomesEvent:
		c.remoteOutcomes(ev.list)
	case predecessorGoneEvent:
		c.endRemoteAttempts()
	case successorEvent:
		c.askedFor(ev)
	case retuneEvent:
		c.retune(ev)
	case writeEvent: // the step that follows does
	case closingEvent:
		c.next = append(c.next, logic.Stopping{Remaining: micros(ev.left)})
		c.behind.closing = true
		if c.behind.Backlog != nil {
			c.behind.StopRefill()
		}
	default:
		c.fromBehind(ev)
	}
}

func (c *Core) news(ev EndpointUpdate) {
	if !c.source.AcceptUpdate(ev) {
		return
	}
	c.heard, c.part = true, ev.List.Share
	form := logic.ListDelta
	if ev.List.Complete {
		form = logic.ListFull
	}
	rows := c.dir.take(ev.List)
	ready := map[logic.EndpointID]bool{}
	for _, row := range rows {
		ready[row.Endpoint] = row.State == logic.Ready
	}
	c.withhold(permit.EndpointLeaving, func(ep logic.EndpointID) bool {
		up, listed := ready[ep]
		return listed && !up || !listed && ev.List.Complete
	})
	for _, row := range rows {
		if row.State != logic.Ready {
			c.transport.CloseIdle(row.Endpoint)
		}
	}
	for id, to := range c.dir.eps { // a whole list leaves out what is gone
		if !to.gone.IsZero() {
			c.transport.CloseIdle(id)
		}
	}
	c.logList(ev, rows)
	c.next = append(c.next, logic.Endpoints{Form: form, Entries: rows})
	c.listed(time.Now())
	c.recall()
}

// mostNamed is how many endpoints a line of the log names.
const mostNamed = 16

// logList logs a list that is taken: how many endpoints it has in each state, and by name those that want no new calls.
func (c *Core) logList(ev EndpointUpdate, rows []logic.Entry) {
	if len(rows) == 0 && !ev.List.Complete {
		return
	}
	states, leaving := map[logic.Readiness]int{}, []string{}
	for _, row := range rows {
		states[row.State]++
		if row.State != logic.Ready && len(leaving) < mostNamed {
			leaving = append(leaving, c.dir.eps[row.Endpoint].name)
		}
	}
	c.log.Info("list", "version", ev.Version, "whole", ev.List.Complete, "ready", states[logic.Ready], "draining", states[logic.Draining], "gone", states[logic.Gone],
		"leaving", leaving)
}
