package soak

import "cometrack/internal/standin/faultbuild"

// trigger is what makes the program pass a point, which a crossing has to bring about.
type trigger int

const (
	byTraffic trigger = iota // traffic alone, without an action of the harness
	byTerm                   // SIGTERM
	byStart                  // start of a process
	byReload                 // SIGHUP
	byUpgrade                // start of a successor beside the serving process
)

// point is a place in the program between two steps that belong together, at which an event can be
// injected. Its name says where a process or a message is: "A, not B" stands for the place where A has
// happened and B has not.
type point struct {
	faultbuild.Point
	trigger trigger
}

// Files of the program with several points, relative to the root of the module.
const (
	coreStep    = "internal/core/step.go"
	coreAttempt = "internal/core/attempt.go"
	coreLoop    = "internal/core/loop.go"
	coreRun     = "internal/core/core.go"
	transport   = "internal/transport/http/calls.go"
	idleConns   = "internal/transport/http/idle.go"
	session     = "internal/front/resp/session.go"
	responses   = "internal/front/resp/responses.go"
	front       = "internal/front/resp/clients.go"
	lingering   = "internal/front/resp/linger.go"
	notices     = "internal/sink/notices/poster.go"
	handingOver = "internal/core/handover.go"
	startup     = "internal/daemon/platform.go"
	following   = "internal/source/platform/follow.go"
)

// points are all points, roughly in the order in which a process and a message pass them. The index of a
// point is its number for the hooks and for [faultbuild.Controls.Arm].
var points = []point{
	{faultbuild.Point{Name: "start: the journal is open", File: startup, Before: "	limits := divideDescriptors("}, byStart},
	{faultbuild.Point{Name: "start: the store is read", File: "internal/journal/journal.go", Before: "	if err = j.load(); err == nil {"}, byStart},
	{faultbuild.Point{Name: "start: the module has what was held", File: coreRun, Before: "	c.step(work)                       // what"}, byStart},
	{faultbuild.Point{Name: "start: first step done", File: coreRun, Before: "	if !c.cfg.Settings.ListOnRequest { // the"}, byStart},
	{faultbuild.Point{Name: "start: listening", File: coreRun, Before: "	go c.sink.Run(deciding"}, byStart},
	{faultbuild.Point{Name: "start: serving, not said", File: coreRun, Before: "	c.lifecycle.HandleEvent(lifecycle.Started)"}, byStart},
	{faultbuild.Point{Name: "start: said", File: coreRun, Before: "	close(c.ready)\n	served :="}, byStart},
	{faultbuild.Point{Name: "client: accepted", File: front, Before: "		s := &session{front: c, conn: conn"}, byTraffic},
	{faultbuild.Point{Name: "client: admitted", File: front, Before: "		go func() {\n			defer c.wg.Done()"}, byTraffic},
	{faultbuild.Point{Name: "client: first byte there", File: session, Before: "	s.beginRequestLocked()\n	return true"}, byTraffic},
	{faultbuild.Point{Name: "client: request read, not noted", File: session, Before: "		active := s.endRead(err == nil)"}, byTraffic},
	{faultbuild.Point{Name: "client: request noted, not submitted", File: "internal/front/resp/commands.go", Before: "		s.front.core.Submit(m, result)"}, byTraffic},
	{faultbuild.Point{Name: "client: answer there, not written", File: responses, Before: "		if err == nil {\n			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))\n			_, err = w.WriteString(text)"}, byTraffic},
	{faultbuild.Point{Name: "client: answer about to go out", File: responses, Before: "	err := w.Flush()"}, byTraffic},
	{faultbuild.Point{Name: "client: answered, not noted", File: responses, Before: "	s.pending--\n	s.served = true"}, byTraffic},
	{faultbuild.Point{Name: "client: rests, about to be ended", File: session, Before: "			s.reason = s.reasonAfterWait(err)\n			return false"}, byTerm},
	{faultbuild.Point{Name: "client: about to be shut", File: lingering, Before: "	if t, ok := s.conn.(interface{ CloseWrite() error }); ok {"}, byTerm},
	{faultbuild.Point{Name: "client: shut, not noted", File: lingering, Before: "	s.startLingering()\n	s.writeClosed = true"}, byTerm},
	{faultbuild.Point{Name: "client: read on, about to be closed", File: front, Before: "			conn.Close()\n			c.remove(s)"}, byTerm},
	{faultbuild.Point{Name: "step: decided, not recorded", File: coreStep, Before: "	responses := c.immediateResponses(actions)"}, byTraffic},
	{faultbuild.Point{Name: "step: recorded, not written", File: coreStep, Before: "	err := c.store.Append(c.records)\n	backlogErr"}, byTraffic},
	{faultbuild.Point{Name: "step: journal about to commit", File: "internal/journal/write.go", Before: "	if err := j.store.Commit(b); err != nil {\n		return err\n	}\n	for name"}, byTraffic},
	{faultbuild.Point{Name: "step: written, clients not answered", File: coreStep, Before: "	c.respondToSubmissions(responses, err, backlogErr)"}, byTraffic},
	{faultbuild.Point{Name: "step: clients answered, nothing done", File: coreStep, Before: "	var starts []logic.StartAttempt"}, byTraffic},
	{faultbuild.Point{Name: "step: ends decided, not told", File: coreStep, Before: "	c.reportEnds(err == nil)\n	c.answerDuplicates"}, byTraffic},
	{faultbuild.Point{Name: "step: calls decided, not begun", File: coreStep, Before: "	c.startAttempts(work, starts, err == nil)"}, byTraffic},
	{faultbuild.Point{Name: "end: decided, not queued", File: coreStep, Before: "			c.unreportedEnds = append(c.unreportedEnds, endReport{p.msg, end, true})"}, byTraffic},
	{faultbuild.Point{Name: "end: about to be withheld", File: coreStep, Before: "		p.attempt.messageEnded.Store(true)"}, byTraffic},
	{faultbuild.Point{Name: "call: about to be carried", File: coreAttempt, Before: "		startedAt := time.Now()\n		results := c.executeCall(ctx, call)"}, byTraffic},
	{faultbuild.Point{Name: "call: kept connection about to be looked at", File: idleConns, Before: "	alive, data := netutil.Peek(conn.Conn)"}, byTraffic},
	{faultbuild.Point{Name: "call: connected, not begun", File: transport, Before: "	if !req.begin() {"}, byTraffic},
	{faultbuild.Point{Name: "call: checked, about to begin", File: "internal/core/outgoing.go", Before: "	if a.state.CompareAndSwap(attemptWaiting, attemptBegun) {"}, byTraffic},
	{faultbuild.Point{Name: "call: begun, not written", File: transport, Before: "	timer := &callTimer{conn: conn"}, byTraffic},
	{faultbuild.Point{Name: "call: written, not noted", File: transport, Before: "	req.written()\n	conn.limit.N"}, byTraffic},
	{faultbuild.Point{Name: "call: answer read", File: transport, Before: "	if conn.limit.N <= 0 && r.Outcome"}, byTraffic},
	{faultbuild.Point{Name: "call: connection about to be kept", File: idleConns, Before: "	at, _ := slices.BinarySearchFunc("}, byTraffic},
	{faultbuild.Point{Name: "call: outcome there, not posted", File: coreAttempt, Before: "		took := time.Since(startedAt)"}, byTraffic},
	{faultbuild.Point{Name: "outcome: taken, not noted", File: coreAttempt, Before: "	c.traceOutcome(ev)"}, byTraffic},
	{faultbuild.Point{Name: "outcome: delivered, not finished", File: coreAttempt, Before: "	c.traceEnd(id, p, message.Delivered)"}, byTraffic},
	{faultbuild.Point{Name: "notice: about to be posted", File: notices, Before: "	body := encode(batch)"}, byTraffic},
	{faultbuild.Point{Name: "notice: answered, not confirmed", File: notices, Before: "	p.confirm(ids)"}, byTraffic},
	{faultbuild.Point{Name: "notice: confirmed, not recorded", File: coreLoop, Before: "		now := c.clock.Now()\n		for _, id := range ev.ids {"}, byTraffic},
	{faultbuild.Point{Name: "list: about to be asked for", File: following, Before: "	callCtx, cancel := context.WithCancel(ctx)"}, byTraffic},
	{faultbuild.Point{Name: "list: call over, not noted", File: following, Before: "	f.endCall(r.request.ID)\n	now := f.now()"}, byTraffic},
	{faultbuild.Point{Name: "list: answered, core not told", File: following, Before: "	f.publish(core.EndpointUpdate{"}, byTraffic},
	{faultbuild.Point{Name: "list: taken, module not told", File: coreLoop, Before: "	c.logList(ev, rows)"}, byTraffic},
	{faultbuild.Point{Name: "list: read, not taken", File: coreLoop, Before: "	c.listReceived, c.weightShare = true, ev.List.Share"}, byTraffic},
	{faultbuild.Point{Name: "sweep: about to forget", File: coreLoop, Before: "	c.store.DropExpired(c.clock.At(now))"}, byTraffic},
	{faultbuild.Point{Name: "reload: read, not checked", File: startup, Before: "		err = p.cfg.CheckReload(cfg)"}, byReload},
	{faultbuild.Point{Name: "reload: settings follow, not kept", File: startup, Before: "	p.cfg = cfg\n	p.saveConfig()"}, byReload},
	{faultbuild.Point{Name: "reload: notices about to move", File: startup, Before: "	p.sink.SetAddress(cfg.Discovery)"}, byReload},
	{faultbuild.Point{Name: "handover: asked for, not begun", File: handingOver, Before: "		c.handoverRequest = &ev"}, byUpgrade},
	{faultbuild.Point{Name: "handover: snapshot there, journal open", File: handingOver, Before: "	taken := false\n	c.closeBacklog()"}, byUpgrade},
	{faultbuild.Point{Name: "handover: journal shut, nothing given", File: handingOver, Before: "		var listeners []net.Listener"}, byUpgrade},
	{faultbuild.Point{Name: "handover: snapshot read, journal not opened", File: "internal/daemon/handover.go", Before: "			if opened, err = open(); err == nil {\n				return opened, takeover, nil"}, byUpgrade},
	{faultbuild.Point{Name: "handover: journal opened, not said", File: "internal/core/inherit.go", Before: "	c.log.Info(\"taken over\""}, byUpgrade},
	{faultbuild.Point{Name: "handover: taken, not noted", File: handingOver, Before: "		c.lifecycle.HandleEvent(lifecycle.HandoverCompleted)"}, byUpgrade},
	{faultbuild.Point{Name: "handover: about to relay", File: "internal/core/relay.go", Before: "	for !r.finished() {"}, byUpgrade},
	{faultbuild.Point{Name: "handover: outcome about to be told", File: "internal/core/relay.go", Before: "	if len(outcomes.List) > 0 {"}, byUpgrade},
	{faultbuild.Point{Name: "handover: outcome about to be taken", File: "internal/core/inherit.go", Before: "		delete(c.remoteAttempts, o.ID)\n		p.cancel = func() {}\n		c.handleOutcome(attemptOutcome{attempt: p.attempt, took: o.Latency"}, byUpgrade},
	{faultbuild.Point{Name: "end of process: told, module not", File: coreLoop, Before: "		c.nextEvents = append(c.nextEvents, logic.Stopping{"}, byTerm},
	{faultbuild.Point{Name: "end of process: listeners about to close", File: coreRun, Before: "			accepting = false\n			var shutdowns"}, byTerm},
	{faultbuild.Point{Name: "end of process: clients about to be ended", File: front, Before: "	c.shuttingDown, c.draining, c.shortDeadlines = true, true, shortDeadlines"}, byTerm},
	{faultbuild.Point{Name: "end of process: nothing more is read", File: front, Before: "	c.readingStopped.Store(true)"}, byTerm},
	{faultbuild.Point{Name: "end of process: loop ended, clients left", File: coreRun, Before: "	close(c.done)\n	cancel() // ends"}, byTerm},
}

// modulePackage is the import path of the program. Unlike a relative path, it does not depend on the
// working directory.
const modulePackage = "cometrack/cmd/cometrack"

// faultPoints returns the points for the build, in the order of their numbers.
func faultPoints() (list []faultbuild.Point) {
	for _, p := range points {
		list = append(list, p.Point)
	}
	return list
}

// Build builds the program to path, with the hooks of all points and with changes to its source. It returns
// an error if the build fails, or if the text of a point or of a change is not in its file exactly once.
func Build(path string, changes ...faultbuild.Change) error {
	own, err := faultbuild.PointChanges(faultPoints())
	if err != nil {
		return err
	}
	return faultbuild.Build(path, modulePackage, append(own, changes...)...)
}
