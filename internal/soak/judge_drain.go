package soak

import (
	"slices"
	"time"
)

// Limits of the rule on draining endpoints, as the operators' manual gives them. The three that begin with
// maxListDelay bound the time until a sender counts as informed of a change of the list; calls may begin
// until drainGrace after that.
const (
	drainGrace            = 2 * time.Second // drain_grace_s of the settings, after a sender is informed
	maxListDelay          = 6 * time.Second // from the time when discovery had a change and could be reached
	maxListDelayAfterMove = 4 * time.Second // from SIGHUP
	maxListDelayAfterHold = 2 * time.Second // from the end of the hold of a watch that was never answered
	maxFirstCallDelay     = time.Second     // from the start of a process to its first call
)

// listRecords record the published lists and which sender received them.
type listRecords struct {
	pushed    bool                 // senders get the list from agents, so maxListDelay does not apply
	published []published          // in the order of their generations
	down      []Interval           // periods in which discovery answers no sender; the last may be open
	senders   map[int]*senderLists // by number of the sender
	takeovers map[string]int64     // by name of an endpoint at the address of another: the first generation without that one
}

// published is a list with the time from which discovery had it.
type published struct {
	at         time.Time
	generation int64
	lifecycles map[string]string // by name of the endpoint; absent if it is unlisted
}

// senderLists records what one sender received of the lists.
type senderLists struct {
	written []written        // lists that were written to it
	silent  []unansweredCall // its calls for the list that were never answered
	moves   []time.Time      // SIGHUPs that moved discovery
	starts  []processStart   // in chronological order
}

// written is a response of discovery that was written completely, with the generation of its list.
type written struct {
	at         time.Time
	generation int64
}

// unansweredCall is a call for the list that was never answered.
type unansweredCall struct {
	began time.Time
	hold  time.Duration // longest time for which the sender let discovery wait for a change
}

// processStart is the start of a process, with the generation of the list in its configuration.
type processStart struct {
	at         time.Time
	generation int64
}

// newLists returns records without a published list.
func newLists() *listRecords {
	return &listRecords{senders: map[int]*senderLists{}, takeovers: map[string]int64{}}
}

// sender returns the records of the sender with a number, which it adds if there are none yet.
func (l *listRecords) sender(n int) *senderLists {
	if l.senders[n] == nil {
		l.senders[n] = &senderLists{}
	}
	return l.senders[n]
}

// notUpSince returns the published list with which an endpoint last ceased to be up, as of the time at: it
// got another lifecycle or was unlisted. It returns false if the endpoint is up at that time or no list was
// published yet.
func (l *listRecords) notUpSince(endpoint string, at time.Time) (since published, ok bool) {
	for _, p := range l.published {
		if p.at.After(at) {
			break
		}
		switch up := p.lifecycles[endpoint] == "up"; {
		case up:
			ok = false
		case !ok:
			since, ok = p, true
		}
	}
	return since, ok
}

// reachableFor returns the first time by which discovery had been reachable for the duration within,
// without interruption and after from. If discovery stays down, that is a time after the end of the run.
func (l *listRecords) reachableFor(from time.Time, within time.Duration) time.Time {
	by := from.Add(within)
	for _, down := range l.down {
		if down.From.Before(by) && (down.To.IsZero() || down.To.After(from)) {
			if down.To.IsZero() {
				return down.From.Add(24 * time.Hour)
			}
			from = down.To
			by = from.Add(within)
		}
	}
	return by
}

// informedBy returns the time from which a sender counts as informed of a change. Only the last process
// that was started before the time at is considered: it knows the list in its configuration, not what
// earlier processes received.
//
// If that list has the change, the time is the start of the process. Otherwise it is the earliest of the
// time when discovery had written a list with the change to it, the end of maxListDelay (or, if later, of
// maxListDelayAfterHold for an unanswered call), and the end of maxListDelayAfterMove; with agents, it is
// that of informedByAgent. The result is never zero: for a process that gets no list as discovery stays
// down, it is after the end of the run.
func (l *listRecords) informedBy(sender int, change published, at time.Time) time.Time {
	s := l.sender(sender)
	var process processStart
	for _, x := range s.starts {
		if x.at.Before(at) {
			process = x
		}
	}
	if process.generation >= change.generation {
		return process.at
	}
	from := later(change.at, process.at)
	if l.pushed {
		return l.informedByAgent(s, process.at, from, change.generation)
	}
	out := l.reachableFor(from, maxListDelay)
	for _, w := range s.silent { // a change during an unanswered watch counts as known after its hold
		if end := w.began.Add(w.hold + maxListDelayAfterHold); w.began.Before(out) &&
			w.began.After(process.at) && end.After(out) {
			out = end
		}
	}
	for _, move := range s.moves {
		if !move.Before(from) {
			out = earlier(out, l.reachableFor(move, maxListDelayAfterMove))
		}
	}
	for _, w := range s.written {
		if w.generation >= change.generation && w.at.After(process.at) {
			out = earlier(out, w.at)
		}
	}
	return out
}

// informedByAgent returns the time from which a sender, whose process was started at started, counts as
// informed of what its agent has had since from, the list of a generation: at once, except for a while after
// SIGHUP, or if the agent stops answering before a new process can have called it, or if the sender's call has
// fallen silent.
func (l *listRecords) informedByAgent(s *senderLists, started, from time.Time, generation int64) time.Time {
	for _, down := range l.down {
		if down.From.After(started) && down.From.Before(started.Add(maxFirstCallDelay)) && !from.After(down.From) {
			from = down.From.Add(time.Nanosecond)
		}
	}
	out := l.reachableFor(from, 0)
	for _, move := range s.moves {
		if by := move.Add(maxListDelayAfterMove); out.After(move) && out.Before(by) {
			out = l.reachableFor(by, 0)
		}
	}
	for _, w := range s.silent {
		until := w.began.Add(max(maxListDelay, w.hold+maxListDelayAfterHold))
		if w.began.After(started) && !w.began.After(out) && until.After(out) {
			out = earlier(until, s.writtenAfter(out, generation))
		}
	}
	return out
}

// writtenAfter returns the first time after from at which a list of a generation, or of a later one, was
// written to the sender; a time after the end of the run if there was none.
func (s *senderLists) writtenAfter(from time.Time, generation int64) time.Time {
	out := from.Add(24 * time.Hour)
	for _, w := range s.written {
		if w.generation >= generation && w.at.After(from) {
			out = earlier(out, w.at)
		}
	}
	return out
}

// judgeDrain checks the calls of a message to endpoints that are draining or unlisted: none is sent later
// than drainGrace after the sender counts as informed of that. noise and add are those of judge.
func (l *listRecords) judgeDrain(m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	for _, c := range m.Calls {
		if _, taken := l.takeovers[c.Endpoint]; taken && c.dest != m.dest {
			continue // see judgeDestination: the sender means the endpoint that was at the address before
		}
		change, ok := l.notUpSince(c.Endpoint, c.At)
		if !ok {
			continue
		}
		due := l.informedBy(m.Sender, change, c.At).Add(drainGrace)
		if late := c.At.Sub(due); late > timeSlack+noise {
			add(m, "drain: sent to %s %v too late; the change, generation %d, was %v before",
				c.Endpoint, late.Round(time.Millisecond),
				change.generation, c.At.Sub(change.at).Round(time.Millisecond))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// listPublished records a list that discovery has from the time at on.
func (r *Records) listPublished(at time.Time, l instanceList) {
	r.withLock(func() { r.lists.published = append(r.lists.published, published{at, l.Generation, l.lifecycles()}) })
}

// discoveryDown records that discovery goes down, or is back if down is false. The two have to alternate.
func (r *Records) discoveryDown(at time.Time, down bool) {
	r.withLock(func() {
		if down {
			r.lists.down = append(r.lists.down, Interval{From: at})
		} else {
			r.lists.down[len(r.lists.down)-1].To = at
		}
	})
}

// listWritten records that a list of a generation was written to a sender.
func (r *Records) listWritten(sender int, at time.Time, generation int64) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.written = append(s.written, written{at, generation})
	})
}

// callUnanswered records a sender's call for the list that is not answered, with the hold that it allowed.
func (r *Records) callUnanswered(sender int, began time.Time, hold time.Duration) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.silent = append(s.silent, unansweredCall{began, hold})
	})
}

// discoveryMoved records a SIGHUP to a sender after which its discovery has another address.
func (r *Records) discoveryMoved(sender int, at time.Time) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.moves = append(s.moves, at)
	})
}

// processTookOver records the start of a process that has taken over from the sender's process. It goes on with
// the list that this one had, not with that in its configuration, which may be newer.
func (r *Records) processTookOver(sender int, at time.Time) {
	r.mu.Lock()
	s := r.lists.sender(sender)
	predecessor := s.starts[len(s.starts)-1]
	generation := predecessor.generation
	for _, w := range s.written {
		if w.at.After(predecessor.at) && w.at.Before(at) {
			generation = max(generation, w.generation)
		}
	}
	r.mu.Unlock()
	r.processStarted(sender, at, generation)
}

// processStarted records the start of a sender's process with a list of a generation in its configuration.
func (r *Records) processStarted(sender int, at time.Time, generation int64) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.starts = append(s.starts, processStart{at, generation})
		slices.SortFunc(s.starts, func(a, b processStart) int { return a.at.Compare(b.at) })
	})
}
