package soak

import (
	"slices"
	"time"
)

// Limits of the rule on draining endpoints, as the operators' manual gives them.
const (
	drainGrace            = 2 * time.Second // drain_grace_s of the settings
	maxListDelay          = 6 * time.Second // from the time when discovery had a change and could be reached
	maxListDelayAfterMove = 4 * time.Second // from SIGHUP
	maxListDelayAfterHold = 2 * time.Second // from the end of the hold of a watch that was never answered
	maxFirstCallDelay     = time.Second     // from the start of a process to its first call
)

// listRecords record the published lists and which sender received them.
type listRecords struct {
	pushed    bool
	published []published
	down      []Interval // periods in which discovery answers no sender; the last may be open
	senders   map[int]*senderLists
}

// published is a list with the time from which discovery had it.
type published struct {
	at         time.Time
	generation int64
	lifecycles map[string]string
}

// senderLists records what one sender received of the lists.
type senderLists struct {
	written []written
	silent  []unansweredCall
	moves   []time.Time // SIGHUPs that moved discovery
	starts  []processStart
}

// written is a response that discovery has written.
type written struct {
	at         time.Time
	generation int64
}

// unansweredCall is a call for the list that was never answered.
type unansweredCall struct {
	began time.Time
	hold  time.Duration
}

// processStart is the start of a process with a list in its configuration.
type processStart struct {
	at         time.Time
	generation int64
}

func newLists() *listRecords { return &listRecords{senders: map[int]*senderLists{}} }

func (l *listRecords) sender(n int) *senderLists {
	if l.senders[n] == nil {
		l.senders[n] = &senderLists{}
	}
	return l.senders[n]
}

// notUpSince returns the list since which an endpoint has had another lifecycle than up, or been unlisted, as
// of a time; false if it is up.
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

// reachableFor returns the first time, after from, by which discovery had been reachable for a duration
// without interruption.
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

// informedBy returns the time from which a sender counts as informed of a change, as of a time.
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
		return l.informedByAgent(s, process.at, from)
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

// informedByAgent returns the time from which a sender counts as informed of what its agent has had since
// from: at once, except for a while after SIGHUP, or if the agent stops answering before a new process can
// have called it.
func (l *listRecords) informedByAgent(s *senderLists, started, from time.Time) time.Time {
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
	return out
}

// judgeDrain checks that no call is sent to an endpoint that leaves later than drainGrace after the sender
// counts as informed.
func (l *listRecords) judgeDrain(m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	for _, c := range m.Calls {
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

// listPublished records a list that discovery has from now on.
func (r *Records) listPublished(at time.Time, l instanceList) {
	r.withLock(func() { r.lists.published = append(r.lists.published, published{at, l.Generation, l.lifecycles()}) })
}

// discoveryDown records that discovery goes down or is back.
func (r *Records) discoveryDown(at time.Time, down bool) {
	r.withLock(func() {
		if down {
			r.lists.down = append(r.lists.down, Interval{From: at})
		} else {
			r.lists.down[len(r.lists.down)-1].To = at
		}
	})
}

// listWritten records a response that was written to a sender.
func (r *Records) listWritten(sender int, at time.Time, generation int64) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.written = append(s.written, written{at, generation})
	})
}

// callUnanswered records a call for the list that is not answered.
func (r *Records) callUnanswered(sender int, began time.Time, hold time.Duration) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.silent = append(s.silent, unansweredCall{began, hold})
	})
}

// discoveryMoved records a SIGHUP after which discovery has another address.
func (r *Records) discoveryMoved(sender int, at time.Time) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.moves = append(s.moves, at)
	})
}

// processStarted records the start of a process with a list.
func (r *Records) processStarted(sender int, at time.Time, generation int64) {
	r.withLock(func() {
		s := r.lists.sender(sender)
		s.starts = append(s.starts, processStart{at, generation})
		slices.SortFunc(s.starts, func(a, b processStart) int { return a.at.Compare(b.at) })
	})
}
