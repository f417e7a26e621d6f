package soak

import "cometrack/internal/standin/faultbuild"

// Plant is a fault that is planted in the program, by changes to its source or by a restart that loses
// data. A soak run that does not find it within a few seeds is not able to find such faults.
type Plant struct {
	Name string
	// Changes plant the fault in the source that is built; empty if LoseFolder is the fault.
	Changes []faultbuild.Change
	// LoseFolder empties the state folder of a sender at its restarts, see [Options].
	LoseFolder bool
	// Faults are the kinds of faults of the runs that have to find it, as in faultKinds; empty for all
	// kinds.
	Faults []string
}

// Plants are the planted faults that the soak has to find, each in a build of its own.
var Plants = []Plant{
	// Accepted messages are lost at a restart.
	{Name: "lost folder", LoseFolder: true},
	// Each 20th write to the store is reported as done without being done.
	{Name: "skipped journal write", Changes: []faultbuild.Change{
		{File: "internal/store/commit.go", Old: "	if len(b.ops) == 0 {\n		return nil\n	}\n	w := &waiter{batch: b}",
			New: "	if skipped++; len(b.ops) == 0 || skipped%20 == 0 {\n		return nil\n	}\n	w := &waiter{batch: b}"},
		{File: "internal/store/commit.go", Old: "type waiter struct {", New: "var skipped int\n\ntype waiter struct {"},
	}},
	// Ends of messages with an ID of odd length are not recorded: a restart may send them again.
	{Name: "repeat after an end", Changes: []faultbuild.Change{
		{File: "internal/core/step.go", Old: "if _, rejected := responses[end.ID]; !rejected && c.isPending(end.ID) {",
			New: "if _, rejected := responses[end.ID]; !rejected && c.isPending(end.ID) && len(end.ID)%2 == 0 {"},
	}},
	// A connection is closed in place of each 400th response.
	{Name: "closed with a request read", Changes: []faultbuild.Change{
		{File: "internal/front/resp/responses.go", Old: "		if err == nil {\n			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))\n			_, err = w.WriteString(text)",
			New: "		if planted.Add(1)%400 == 0 {\n			time.Sleep(300 * time.Millisecond)\n			s.conn.Close()\n		}\n		if err == nil {\n			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))\n			_, err = w.WriteString(text)"},
		{File: "internal/front/resp/session.go", Old: "// readerPool holds the readers", New: "var planted atomic.Int64\n\n// readerPool holds the readers"},
	}},
	// Deadlines shift when the wall clock is stepped.
	{Name: "deadline by the wall clock", Changes: []faultbuild.Change{
		{File: "internal/clock/clock.go", Old: "return c.base + time.Since(c.origin).Microseconds()", New: "return time.Now().UnixMicro()"},
		{File: "internal/clock/clock.go", Old: "return c.base + t.Sub(c.origin).Microseconds()", New: "return t.UnixMicro()"},
		{File: "internal/clock/clock.go", Old: "return c.origin.Add(time.Duration(us-c.base) * time.Microsecond)", New: "return time.UnixMicro(us)"},
	}},
	// Requests are read after the front has stopped reading, and the process does not wait for responses.
	{Name: "reads on as the process ends", Changes: []faultbuild.Change{
		{File: "internal/front/resp/session.go", Old: "case !s.lingeringSince.IsZero() || s.front.readingStopped.Load():", New: "case !s.lingeringSince.IsZero():"},
		{File: "internal/front/resp/clients.go", Old: "case <-time.After(finalResponseTimeout):", New: "case <-time.After(0):"},
	}},
	// Attempts start so close to a limit that a stall between the check and the write passes it.
	{Name: "no room for a stall", Changes: []faultbuild.Change{
		{File: "internal/permit/send.go", Old: "MaxStall = 150 * time.Millisecond", New: "MaxStall = 0 * time.Millisecond"},
	}},
	// An end is notified before the journal holds it, so a crash between the two sends the message again.
	{Name: "end told before it is written", Changes: []faultbuild.Change{
		{File: "internal/permit/send.go", Old: "if e.Written || !e.Delivered && e.Remaining <= 0 {", New: "if true {"},
	}},
	// The first byte of each 500th response is wrong.
	{Name: "one byte of an answer", Changes: []faultbuild.Change{
		{File: "internal/front/resp/responses.go", Old: "			_, err = w.WriteString(text)",
			New: "			if planted.Add(1)%500 == 0 {\n				text = \":\" + text[1:]\n			}\n			_, err = w.WriteString(text)"},
		{File: "internal/front/resp/session.go", Old: "// readerPool holds the readers", New: "var planted atomic.Int64\n\n// readerPool holds the readers"},
	}, Faults: []string{"endpoint"}},
	// A wait that an endpoint requests is ignored.
	{Name: "told wait dropped", Changes: []faultbuild.Change{
		{File: "internal/transport/http/answer.go", Old: "	return time.Duration(min(ms, core.MaxRequestedTime.Milliseconds())) * time.Millisecond", New: "	return 0"},
	}, Faults: []string{"endpoint"}},
	// Failed calls for the list are repeated so late that one repeat fits in the 6 s for a change.
	{Name: "one try within the time of a list", Changes: []faultbuild.Change{
		{File: pacing, Old: "	minInterval    = 300 * time.Millisecond", New: "	minInterval    = 5400 * time.Millisecond"},
		{File: pacing, Old: "	fastInterval   = 1200 * time.Millisecond", New: "	fastInterval   = 5400 * time.Millisecond"},
		{File: pacing, Old: "	overdueAfter       = 250 * time.Millisecond", New: "	overdueAfter       = 5400 * time.Millisecond"},
		{File: pacing, Old: "	rampSteps = 2 ", New: "	rampSteps = 0 "},
		{File: pacing, Old: "	jitter    = 0.25 ", New: "	jitter    = 0.05 "},
	}, Faults: aboutLists},
	// Messages are sent to a draining endpoint as to any other.
	{Name: "drain not heeded", Changes: []faultbuild.Change{
		{File: "internal/source/platform/list.go", Old: "			e.State = logic.Draining", New: "			e.State = logic.Ready"},
	}, Faults: aboutLists},
	// Each list that arrives is replaced by the one before it.
	{Name: "list one generation old", Changes: []faultbuild.Change{
		{File: "internal/source/platform/follow.go", Old: "	f.publish(core.EndpointUpdate{List: r.list.EndpointList(),", New: "	r.list, planted = planted, r.list\n	f.publish(core.EndpointUpdate{List: r.list.EndpointList(),"},
		{File: "internal/source/platform/follow.go", Old: "// now returns the time on", New: "var planted List\n\n// now returns the time on"},
	}, Faults: aboutLists},
	// Replaced settings stop binding at the next change of the settings.
	{Name: "overlap ended by a second change", Changes: []faultbuild.Change{
		{File: "internal/core/terms.go", Old: "	overlap := c.overlap.bindingAt(now)\n	if !haveEqual", New: "	overlap := settingsInOverlap{}\n	if !haveEqual"},
	}, Faults: aboutTerms},
	// Replaced settings stop binding when the process ends.
	{Name: "overlap lost with the process", Changes: []faultbuild.Change{
		{File: "internal/core/core.go", Old: "	overlap := overlapAtStart(deps.Store.TermsInForce(), cfg.Settings, deps.Store.Clock().Now())", New: "	overlap := settingsInOverlap{}"},
	}, Faults: aboutTerms},
	// A configuration that leaves out an optional key is rejected.
	{Name: "optional key required", Changes: []faultbuild.Change{
		{File: "internal/config/keys.go", Old: "	\"settings.classes[].aim_stretch\": true,", New: ""},
	}, Faults: aboutTerms},
	// A process sends by the list of the one before it before it has asked for another.
	{Name: "list of an earlier process", Changes: []faultbuild.Change{
		{File: "internal/daemon/platform.go", Old: "	awaitList := takeover == nil &&", New: "	awaitList := false && takeover == nil &&"},
	}, Faults: []string{"endpoint", "takeover"}},
	// Requests are executed though their client has closed the connection, and their messages are not withdrawn.
	{Name: "sent on for a client that left", Changes: []faultbuild.Change{
		{File: "internal/front/resp/leaving.go", Old: "	hangup := netutil.PeerHangup(s.conn)", New: "	hangup := netutil.NotEnded"},
		{File: "internal/front/resp/leaving.go", Old: "	if len(s.accepted) == 0 {", New: "	if true {"},
	}, Faults: []string{"endpoint"}},
	// A connection is closed without a response while a request arrives, to make room for another.
	{Name: "closed within a request", Changes: []faultbuild.Change{
		{File: "internal/front/resp/session.go", Old: "		case errors.Is(err, os.ErrDeadlineExceeded): // cut short",
			New: "		case errors.Is(err, os.ErrDeadlineExceeded) && active: // cut short"},
	}, Faults: []string{"endpoint"}},
	// Messages of a connection that was reset are given up, whether or not their responses were read.
	{Name: "given up after a reset", Changes: []faultbuild.Change{
		{File: "internal/permit/connection.go", Old: "	case w.MayBeRead && w.Repeatable:", New: "	case false:"},
	}, Faults: []string{"endpoint"}},
	// A request that is sent once more is answered as accepted, though its message has ended.
	{Name: "accepted after its end", Changes: []faultbuild.Change{
		{File: "internal/core/submit.go", Old: "	if s := c.state(id); s.Name != \"\" && s.IsFinal() {", New: "	if s := c.state(id); false {"},
	}, Faults: []string{"endpoint"}},
	// A notice without an answer is posted again late, and first over the connection that was open together with
	// that of the first post.
	{Name: "notice posted again over the spare connection", Changes: []faultbuild.Change{
		{File: noticeSchedule, Old: "	minHedgeDelay = 80 * time.Millisecond", New: "	minHedgeDelay = 340 * time.Millisecond"},
		{File: noticeSchedule, Old: "	maxHedgeDelay = 140 * time.Millisecond", New: "	maxHedgeDelay = 340 * time.Millisecond"},
		{File: noticeSchedule, Old: "	slowInterval = 250 * time.Millisecond", New: "	slowInterval = 340 * time.Millisecond"},
		{File: noticeSchedule, Old: "	if s.rounds == 1 && openCount == 1 {", New: "	if s.rounds < 0 && openCount == 1 {"},
	}, Faults: []string{"endpoint", "silence"}},
	// Connections to clients are shut down at their end, and their descriptors are kept.
	{Name: "descriptor of an ended connection", Changes: []faultbuild.Change{
		{File: clientConnections, Old: "			s.serve()\n			conn.Close()",
			New: "			s.serve()\n			if t, ok := conn.(*net.TCPConn); ok {\n" +
				"				t.CloseWrite()\n				t.CloseRead()\n			}\n" +
				"			c.mu.Lock()\n			planted = append(planted, conn)\n" +
				"			c.mu.Unlock()"},
		{File: clientConnections, Old: "// Serve accepts connections until",
			New: "var planted []net.Conn\n\n// Serve accepts connections until"},
	}, Faults: []string{"endpoint"}},
}

// clientConnections is the file with the connections to clients, relative to the root of the module.
const clientConnections = "internal/front/resp/clients.go"

// noticeSchedule is the file with the times of the posts of notices, relative to the root of the module.
const noticeSchedule = "internal/sink/notices/schedule.go"

// pacing is the file with the intervals and timeouts of the calls for the list, relative to the root of the
// module.
const pacing = "internal/source/platform/poll/pace.go"

// aboutTerms are the kinds of faults that reveal terms that are not kept.
var aboutTerms = []string{"endpoint", "terms"}

// aboutLists are the kinds of faults that reveal a list that is ignored, wrong or late.
var aboutLists = []string{"endpoint", "discovery", "drain", "restart", "kill series", "move", "stall"}
