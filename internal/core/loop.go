package core

import (
	"context"
	"slices"
	"time"

	"cometrack/internal/backlog/disk"
	"cometrack/internal/handover"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// The events of the loop.
type (
	// submitEvent is a message submitted by a client. It gets one response.
	submitEvent struct {
		msg          *message.Message
		front        *FrontLimiter // nil if it was not submitted through a limiter
		response     chan<- SubmitResponse
		notInBacklog bool // a lookup has shown that its ID is not in the backlog
	}
	// stateQueryEvent asks for the state of a message. With watch, it is answered once the message has ended.
	stateQueryEvent struct {
		id       string
		watch    bool
		response chan State   // buffered
		lookedUp bool         // the ID has been looked up in the backlog
		found    *disk.Record // the result of the lookup; nil if the ID is not in the backlog
	}
	// unwatchEvent cancels a state query that waits.
	unwatchEvent struct {
		id       string
		response chan State
	}
	// outcomesEvent holds the outcomes of the attempts of one call, one each.
	outcomesEvent []attemptOutcome
	// attemptOutcome is the outcome of an attempt and the time that it took.
	attemptOutcome struct {
		attempt *Attempt
		result  Result
		took    time.Duration
	}
	// probeOutcomeEvent is the outcome of a probe; there is one for each probe.
	probeOutcomeEvent struct {
		endpoint logic.EndpointID
		outcome  logic.Outcome
	}
	// noticesConfirmedEvent reports that the notices of these ends were received.
	noticesConfirmedEvent struct{ ids []string }
	// retryWriteEvent triggers a step, which writes the records that could not be written before.
	retryWriteEvent struct{}
	// shutdownEvent starts the shutdown.
	shutdownEvent struct{ timeLeft time.Duration }
)

// loop owns the scheduler and the state of the core. At most once per tick it handles the events that have arrived and
// runs a step, which runs the scheduler, writes the journal and carries out the actions.
//
// It returns the handover event once the successor decides, and nil once the process is to exit.
func (c *Core) loop(work context.Context, fronts []Front,
	served, stopped <-chan struct{}) (successor *handoverEvent, err error) {
	tick := max(toDuration(c.cfg.Settings.Tick), time.Millisecond)
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	defer c.schedulerTimer.Stop()
	clientsGone := false // shutting down, and all client connections are closed
	for {
		if clientsGone && c.pendingCount == 0 && c.store.Len() == 0 {
			c.log.Info("stopped", "owed", 0)
			return nil, nil
		}
		select {
		case ev := <-c.events:
			c.handleEvent(ev)
		case <-c.schedulerTimer.C:
			c.nextEvents = append(c.nextEvents, logic.TimerFired{Token: c.timerToken})
		case <-c.backlog.endTimerFired():
		case <-sweepTicker.C:
			c.sweep(time.Now())
			continue
		case <-served:
			clientsGone, served = true, nil
			continue
		case <-stopped:
			// Attempts in flight stay in the store as they are.
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
		tickTimer.Reset(tick)
		<-tickTimer.C
	}
}

// sweep drops state that is not needed any more and writes records that can wait. It runs once per sweepInterval.
func (c *Core) sweep(now time.Time) {
	c.transport.CloseStale()
	if c.backlog.Backlog != nil {
		c.backlog.ReclaimSegments()
	}
	c.savePartners(maxSavedPerSweep)
	if err := c.store.Append(c.records); err != nil {
		c.log.Error("journal", "err", err) // the store keeps these records and writes them later
	}
	clear(c.records)
	c.records = c.records[:0]
	c.store.DropExpired(c.clock.At(now))
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

// pruneDirectory removes endpoints and partners that no pending message refers to. It scans all pending messages and is
// therefore limited to once per quarter of goneRetention.
func (c *Core) pruneDirectory(now time.Time) {
	if now.Sub(c.prunedAt) < goneRetention/4 {
		return
	}
	c.prunedAt = now
	endpointsInUse, partnersInUse := map[logic.EndpointID]bool{}, map[string]bool{}
	for _, p := range c.pending {
		partnersInUse[p.msg.Partner] = true
		if p.attempt != nil {
			endpointsInUse[p.attempt.Endpoint] = true
		}
	}
	c.directory.prune(now, endpointsInUse, partnersInUse)
}

// restore passes the pending messages in the store, with their histories, and the state handed over by the predecessor
// to the scheduler.
func (c *Core) restore() error {
	inFlight := c.restoreSnapshot()
	if c.cfg.CachedEndpoints != nil {
		c.nextEvents = append(c.nextEvents,
			logic.Endpoints{Form: logic.ListCached, Entries: c.directory.applyList(*c.cfg.CachedEndpoints),
				Unconfirmed: c.cfg.AwaitList})
	}
	now := c.clock.Now()
	if c.cfg.PersistWaits {
		c.restoreWaits(now)
	}
	if c.cfg.Settings.TrackChanges {
		c.savedPartners = c.store.Partners()
		c.restorePartners()
	}
	orphans := map[string]int{}
	for _, entry := range c.store.Entries() {
		if entry.End != nil {
			c.notifySink(&entry.Message, *entry.End)
			continue
		}
		c.restoreMessage(entry, inFlight, now)
		if c.cfg.CachedEndpoints != nil && !c.directory.hasEndpoint(entry.Partner) {
			orphans[entry.Partner]++
		}
	}
	c.nextEvents = append(c.nextEvents, c.adoptEndedAttempts(inFlight)...)
	for name, n := range orphans {
		c.log.Warn("the partner of pending messages is unknown; they are kept until their deadlines",
			"partner", name, "messages", n)
	}
	if err := c.openBacklog(); err != nil {
		return err
	}
	return c.confirmTakeover()
}

// restoreWaits passes the waits in the store to the scheduler and to the peers, which may not know of them.
func (c *Core) restoreWaits(now int64) {
	for name, until := range c.store.Waits() {
		id, ok := c.directory.endpointIDs[name]
		if !ok {
			continue
		}
		c.nextEvents = append(c.nextEvents, logic.RequestedWait{Endpoint: id, Remaining: logic.Micros(until - now)})
		if left := time.Duration(until-now) * time.Microsecond; left > 0 {
			c.publishObservation(Observation{RequestedWait: left}, id)
		}
	}
}

// restoreMessage passes a pending message in the store, with its history, to the scheduler. If its attempt is among those
// in flight in the predecessor, it adopts the attempt and removes it from inFlight.
func (c *Core) restoreMessage(entry *journal.Entry, inFlight map[string]handover.Attempt, now int64) {
	event := c.newMessageEvent(&entry.Message, now)
	class, stored := c.storedClass(entry.Terms, entry.Class)
	event.Terms = stored
	if class == nil {
		c.log.Error("the class of a pending message is not configured", "id", entry.ID, "class", entry.Class)
	}
	p := &pendingMessage{msg: &entry.Message, acceptedAt: entry.AcceptedAt, attempts: entry.Attempts,
		bodyInStore: entry.StoredBodySize > 0, termsNumber: entry.Terms, class: class,
		mayHaveRun: entry.MayHaveRun || entry.InFlight}
	c.pending[entry.ID] = p
	c.pendingCount++
	event.History = logic.History{Attempts: entry.Attempts, MayHaveRun: entry.MayHaveRun || entry.InFlight,
		Inherited: c.takeover == nil}
	if event.History.MayHaveRun {
		event.History.SinceFirst = logic.Micros(max(now-entry.MayHaveRunSince, 0))
		event.History.Zone = slices.Index(c.cfg.Zones, entry.MayHaveRunZone)
	}
	if call, ok := inFlight[entry.ID]; ok && entry.InFlight {
		c.adoptAttempt(p, call, &event, entry, now)
		delete(inFlight, entry.ID)
	} else if entry.InFlight { // the next reader of the journal must not attribute this outcome to a later attempt
		c.records = append(c.records, journal.Record{Op: journal.OpOutcome, ID: entry.ID, MayHaveRun: true})
	}
	c.nextEvents = append(c.nextEvents, event)
}

// newMessageEvent returns the scheduler's event for a message.
func (c *Core) newMessageEvent(m *message.Message, now int64) logic.NewMessage {
	event := logic.NewMessage{ID: m.ID, Key: m.Order, Remaining: logic.Micros(m.Deadline - now),
		Dest: c.directory.partner(m.Partner).destination, Tenant: -1, Class: -1}
	if i, ok := c.terms.classes[m.Class]; ok {
		event.Class = i
	}
	if t, ok := c.terms.tenants[m.Tenant]; ok && m.Tenant != "" {
		event.Tenant = t
	}
	return event
}

// handleEvent handles an event of the loop. Most of them add events for the scheduler to the next step.
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
			c.records = append(c.records, journal.Record{Op: journal.OpNotified, ID: id, At: now})
		}
	case remoteOutcomesEvent:
		c.applyRemoteOutcomes(ev.list)
	case predecessorGoneEvent:
		c.endRemoteAttempts()
	case handoverEvent:
		c.requestHandover(ev)
	case updateSettingsEvent:
		ev.done <- c.replaceSettings(ev.settings, ev.zones)
	case overlapEndEvent:
		c.endOverlap()
	case withdrawEvent:
		c.withdraw(ev)
	case retryWriteEvent: // the following step writes the journal
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

// applyEndpointUpdate applies an update of the endpoint list. Attempts that have not begun are withheld from endpoints
// that are not ready any more.
func (c *Core) applyEndpointUpdate(ev EndpointUpdate) {
	if !c.source.AcceptUpdate(ev) {
		return
	}
	c.listReceived, c.weightShare = true, ev.List.Share
	form := logic.ListDelta
	if ev.List.Complete {
		form = logic.ListFull
	}
	c.releaseMovedEndpoints(ev.List)
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
	for id, endpoint := range c.directory.endpoints { // a complete list has no rows for the endpoints that are gone
		if !endpoint.goneSince.IsZero() {
			c.transport.CloseIdle(id)
		}
	}
	c.logList(ev, rows)
	c.nextEvents = append(c.nextEvents, logic.Endpoints{Form: form, Entries: rows})
	c.applyEarlyWaits(time.Now())
	c.restorePartners()
}

// releaseMovedEndpoints withholds the attempts that have not begun at endpoints to which a list gives another address or
// another destination, and closes the idle connections to their addresses so far. Another process may have come up there.
func (c *Core) releaseMovedEndpoints(list EndpointList) {
	moved := c.directory.moved(list)
	if len(moved) == 0 {
		return
	}
	c.withhold(permit.EndpointMoved, func(ep logic.EndpointID) bool { return moved[ep] })
	for id := range moved {
		c.transport.CloseIdle(id)
	}
}

// maxNamedEndpoints is the maximum number of endpoints that are named in one log line.
const maxNamedEndpoints = 16

// logList logs an applied list: the number of endpoints in each state, and the names of those that accept no new calls.
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
	c.log.Info("list", "version", ev.Version, "whole", ev.List.Complete, "ready", states[logic.Ready],
		"draining", states[logic.Draining], "gone", states[logic.Gone], "leaving", leaving)
}
