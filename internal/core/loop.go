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
	submitEvent struct {
		msg          *message.Message
		front        *FrontLimiter // nil if the front has none
		response     chan<- SubmitResponse
		notInBacklog bool // no message of its id is behind a window
	}
	// stateEvent asks for the state of a message. With watch, the answer waits
	// until the message is over.
	stateQueryEvent struct {
		id       string
		watch    bool
		response chan State   // has room for one
		lookedUp bool         // it has been looked up behind the windows
		found    *disk.Record // what was found there
	}
	// unwatchEvent says that nobody waits for an answer any more.
	unwatchEvent struct {
		id       string
		response chan State
	}
	// replyEvent is the outcomes of the attempts of one call, one each.
	outcomesEvent  []attemptOutcome
	attemptOutcome struct {
		attempt *Attempt
		result  Result
		took    time.Duration
	}
	// healthEvent is the one outcome of a probe.
	probeOutcomeEvent struct {
		endpoint logic.EndpointID
		outcome  logic.Outcome
	}
	// confirmedEvent says that the end sink has passed on these ends.
	noticesConfirmedEvent struct{ ids []string }
	// writeEvent has the journal write what it could not before.
	retryWriteEvent struct{}
	// closingEvent starts the shutdown.
	shutdownEvent struct{ timeLeft time.Duration }
)

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
//
// It returns the successor once another process decides.
func (c *Core) loop(work context.Context, fronts []Front, served, stopped <-chan struct{}) (successor *handoverEvent, err error) {
	tick := max(toDuration(c.cfg.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	defer c.timer.Stop()
	quiet := false // shutting down, and no client is left
	for {
		if quiet && c.pendingCount == 0 && c.store.Len() == 0 {
			c.log.Info("stopped", "owed", 0)
			return nil, nil
		}
		select {
		case ev := <-c.events:
			c.handleEvent(ev)
		case <-c.timer.C:
			c.nextEvents = append(c.nextEvents, logic.TimerFired{Token: c.timerToken})
		case <-c.backlog.endTimerFired():
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
				c.handleEvent(ev)
			default:
				more = false
			}
		}
		c.step(work)
		for len(c.nextEvents) > 0 {
			c.step(work)
		}
		if successor := c.handoverRequest; successor != nil && c.backlog.pendingLookups == 0 {
			c.handoverRequest = nil
			if taken, err := c.performHandover(successor, fronts); taken || err != nil {
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
	if c.backlog.Backlog != nil {
		c.backlog.ReclaimSegments()
	}
	c.savePartners(maxSavedPerSweep)
	if err := c.store.Append(c.records); err != nil {
		c.log.Error("journal", "err", err) // they are of the past, and written later
	}
	clear(c.records)
	c.records = c.records[:0]
	c.store.Forget(c.clock.At(now))
	if c.directory.needsPruning(now) {
		c.pruneDirectory(now)
	} else {
		c.directory.prune(now, nil, nil)
	}
	c.applyEarlyWaits(now)
	for id := range c.causalMarks {
		if _, ok := c.directory.endpoints[id]; !ok {
			delete(c.causalMarks, id)
		}
	}
}

// forgetSpare drops what nothing that is held refers to. It goes over all that is, so not often.
func (c *Core) pruneDirectory(now time.Time) {
	if now.Sub(c.prunedAt) < goneRetention/4 {
		return
	}
	c.prunedAt = now
	calls, partners := map[logic.EndpointID]bool{}, map[string]bool{}
	for _, p := range c.pending {
		partners[p.msg.Partner] = true
		if p.attempt != nil {
			calls[p.attempt.Endpoint] = true
		}
	}
	c.directory.prune(now, calls, partners)
}

// resume hands the module what the store holds, with what became of it so far, and
// what another process has handed over.
func (c *Core) restore() error {
	out := c.restoreSnapshot()
	if c.cfg.CachedEndpoints != nil {
		c.nextEvents = append(c.nextEvents, logic.Endpoints{Form: logic.ListCached, Entries: c.directory.applyList(*c.cfg.CachedEndpoints)})
	}
	now := c.clock.Now()
	if c.cfg.PersistWaits {
		for name, until := range c.store.Waits() {
			if id, ok := c.directory.endpointIDs[name]; ok {
				c.nextEvents = append(c.nextEvents, logic.RequestedWait{Endpoint: id, Remaining: logic.Micros(until - now)})
				if left := time.Duration(until-now) * time.Microsecond; left > 0 { // the others may not have heard of it
					c.publishObservation(Observation{RequestedWait: left}, id)
				}
			}
		}
	}
	if c.cfg.Settings.TrackChanges {
		c.savedPartners = c.store.Partners()
		c.restorePartners()
	}
	orphans := map[string]int{}
	for _, e := range c.store.Entries() {
		if e.End != nil {
			c.notifySink(&e.Message, *e.End)
			continue
		}
		in := c.newMessageEvent(&e.Message, now)
		p := &pendingMessage{msg: &e.Message, acceptedAt: e.Accepted, attempts: e.Tries, bodyInStore: e.Left > 0, termsNumber: e.Terms, class: c.terms.class(e.Class)}
		if e.Terms != c.terms.number {
			if in.Terms = classTerms(c.store.Terms(e.Terms), e.Class); in.Terms != nil {
				p.class = &in.Terms.Class
			}
		}
		c.pending[e.ID] = p
		c.pendingCount++
		in.History = logic.History{Attempts: e.Tries, MayHaveRun: e.MayRun || e.Open, Inherited: c.takeover == nil}
		if in.History.MayHaveRun {
			in.History.SinceFirst = logic.Micros(max(now-e.FirstMay, 0))
			in.History.Zone = slices.Index(c.cfg.Zones, e.FirstZone)
		}
		if call, ok := out[e.ID]; ok && e.Open {
			c.adoptAttempt(p, call, &in, e, now)
			delete(out, e.ID)
		} else if e.Open { // whoever reads the journal next must not take its outcome for a later one's
			c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: e.ID, MayRun: true})
		}
		if c.cfg.CachedEndpoints != nil && !c.directory.hasEndpoint(e.Partner) {
			orphans[e.Partner]++
		}
		if p.class == nil {
			c.log.Error("a held message is of a class that is not configured", "id", e.ID, "class", e.Class)
		}
		c.nextEvents = append(c.nextEvents, in)
	}
	c.nextEvents = append(c.nextEvents, c.adoptEndedAttempts(out)...)
	for name, n := range orphans {
		c.log.Warn("held messages are for a partner that is not known; they are kept until their time is up", "partner", name, "messages", n)
	}
	if err := c.openBacklog(); err != nil {
		return err
	}
	return c.confirmTakeover()
}

// callOf is the module's view of a message.
func (c *Core) newMessageEvent(m *message.Message, now int64) logic.NewMessage {
	in := logic.NewMessage{ID: m.ID, Key: m.Order, Remaining: logic.Micros(m.Deadline - now), Dest: c.directory.partner(m.Partner).destination,
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
func (c *Core) handleEvent(ev any) {
	switch ev := ev.(type) {
	case submitEvent:
		c.submit(ev)
	case stateQueryEvent:
		c.stateQueries = append(c.stateQueries, ev)
	case unwatchEvent:
		c.removeWatcher(ev)
	case outcomesEvent:
		for _, r := range ev {
			c.handleOutcome(r)
		}
	case probeOutcomeEvent:
		c.nextEvents = append(c.nextEvents, logic.ProbeResult{Endpoint: ev.endpoint, Outcome: ev.outcome})
	case EndpointUpdate:
		c.applyEndpointUpdate(ev)
	case peerObservationsEvent:
		c.applyObservations(ev)
	case noticesConfirmedEvent:
		now := c.clock.Now()
		for _, id := range ev.ids {
			c.records = append(c.records, journal.Record{Op: journal.OpNoticed, ID: id, At: now})
		}
	case remoteOutcomesEvent:
		c.applyRemoteOutcomes(ev.list)
	case predecessorGoneEvent:
		c.endRemoteAttempts()
	case handoverEvent:
		c.requestHandover(ev)
	case updateSettingsEvent:
		c.handleUpdateSettings(ev)
	case retryWriteEvent: // the step that follows does
	case shutdownEvent:
		c.nextEvents = append(c.nextEvents, logic.Stopping{Remaining: toMicros(ev.timeLeft)})
		c.backlog.stopping = true
		if c.backlog.Backlog != nil {
			c.backlog.StopRefill()
		}
	default:
		c.handleBacklogEvent(ev)
	}
}

func (c *Core) applyEndpointUpdate(ev EndpointUpdate) {
	if !c.source.AcceptUpdate(ev) {
		return
	}
	c.listReceived, c.weightShare = true, ev.List.Share
	form := logic.ListDelta
	if ev.List.Complete {
		form = logic.ListFull
	}
	rows := c.directory.applyList(ev.List)
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
	for id, to := range c.directory.endpoints { // a whole list leaves out what is gone
		if !to.goneSince.IsZero() {
			c.transport.CloseIdle(id)
		}
	}
	c.logList(ev, rows)
	c.nextEvents = append(c.nextEvents, logic.Endpoints{Form: form, Entries: rows})
	c.applyEarlyWaits(time.Now())
	c.restorePartners()
}

// mostNamed is how many endpoints a line of the log names.
const maxNamedEndpoints = 16

// logList logs a list that is taken: how many endpoints it has in each state, and by name those that want no new calls.
func (c *Core) logList(ev EndpointUpdate, rows []logic.Entry) {
	if len(rows) == 0 && !ev.List.Complete {
		return
	}
	states, leaving := map[logic.Readiness]int{}, []string{}
	for _, row := range rows {
		states[row.State]++
		if row.State != logic.Ready && len(leaving) < maxNamedEndpoints {
			leaving = append(leaving, c.directory.endpoints[row.Endpoint].name)
		}
	}
	c.log.Info("list", "version", ev.Version, "whole", ev.List.Complete, "ready", states[logic.Ready], "draining", states[logic.Draining], "gone", states[logic.Gone],
		"leaving", leaving)
}
