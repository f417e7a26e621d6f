package soak

import (
	"slices"
	"time"
)

// Limits of the rule on draining endpoints, as the pages give them.
const (
	drainGrace      = 2 * time.Second // as the settings have it
	toldAfter       = 6 * time.Second // behind the moment in which discovery had a change and could be reached
	toldAfterMove   = 4 * time.Second // behind SIGHUP
	toldAfterSilent = 2 * time.Second // behind the hold of a watch that fell silent
	firstAsk        = time.Second     // behind the start of a process that its first call may take
)

// lists are what was seen of the list and of who was told.
type lists struct {
	pushed    bool
	published []published
	down      []Interval // discovery answers nobody; the last may be open
	senders   map[int]*told
}

// published is a list from the moment in which discovery had it.
type published struct {
	at         time.Time
	generation int64
	lifecycles map[string]string
}

// told is what one sender was told.
type told struct {
	written []written
	silent  []watch
	moves   []time.Time // SIGHUPs that moved discovery
	starts  []start
}

// written is an answer that discovery has written.
type written struct {
	at         time.Time
	generation int64
}

// watch is a call that was never answered.
type watch struct {
	began time.Time
	hold  time.Duration
}

// start is a process that was started with a list.
type start struct {
	at         time.Time
	generation int64
}

func newLists() *lists { return &lists{senders: map[int]*told{}} }

func (l *lists) sender(n int) *told {
	if l.senders[n] == nil {
		l.senders[n] = &told{}
	}
	return l.senders[n]
}

// leaving says since which list an endpoint has been other than up, as of a moment.
func (l *lists) leaving(endpoint string, at time.Time) (since published, ok bool) {
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

// reached is the first moment by which discovery could be reached all the time for so long, from a moment on.
func (l *lists) reached(from time.Time, within time.Duration) time.Time {
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

// toldBy is when a sender counts as told of a change, as of a moment.
func (l *lists) toldBy(sender int, change published, at time.Time) time.Time {
	s := l.sender(sender)
	var process start
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
		return l.toldByAgent(s, process.at, from)
	}
	out := l.reached(from, toldAfter)
	for _, w := range s.silent { // what a watch that fell silent misses counts as told behind its hold
		if end := w.began.Add(w.hold + toldAfterSilent); w.began.Before(out) && w.began.After(process.at) && end.After(out) {
			out = end
		}
	}
	for _, move := range s.moves {
		if !move.Before(from) {
			out = earlier(out, l.reached(move, toldAfterMove))
		}
	}
	for _, w := range s.written {
		if w.generation >= change.generation && w.at.After(process.at) {
			out = earlier(out, w.at)
		}
	}
	return out
}

// toldByAgent is when a sender counts as told of what its agent has had since a moment: at once, but for a while after
// SIGHUP, and if the agent falls silent before a new process can have asked it.
func (l *lists) toldByAgent(s *told, started, from time.Time) time.Time {
	for _, down := range l.down {
		if down.From.After(started) && down.From.Before(started.Add(firstAsk)) && !from.After(down.From) {
			from = down.From.Add(time.Nanosecond)
		}
	}
	out := l.reached(from, 0)
	for _, move := range s.moves {
		if by := move.Add(toldAfterMove); out.After(move) && out.Before(by) {
			out = l.reached(by, 0)
		}
	}
	return out
}

// judgeDrain: nothing new is sent to an endpoint that leaves, later than the grace after the sender counts as told.
func (l *lists) judgeDrain(m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	for _, c := range m.Calls {
		change, ok := l.leaving(c.Endpoint, c.At)
		if !ok {
			continue
		}
		due := l.toldBy(m.Sender, change, c.At).Add(drainGrace)
		if late := c.At.Sub(due); late > limitSlack+noise {
			add(m, "drain: sent to %s %v too late; the change, generation %d, was %v before", c.Endpoint, late.Round(time.Millisecond), change.generation,
				c.At.Sub(change.at).Round(time.Millisecond))
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

// listed notes a list that discovery has from now on.
func (r *Records) listed(at time.Time, l instanceList) {
	r.change(func() { r.lists.published = append(r.lists.published, published{at, l.Generation, l.lifecycles()}) })
}

// discoveryDown notes that discovery goes down, or is back.
func (r *Records) discoveryDown(at time.Time, down bool) {
	r.change(func() {
		if down {
			r.lists.down = append(r.lists.down, Interval{From: at})
		} else {
			r.lists.down[len(r.lists.down)-1].To = at
		}
	})
}

// listWritten notes an answer that was written to a sender.
func (r *Records) listWritten(sender int, at time.Time, generation int64) {
	r.change(func() {
		s := r.lists.sender(sender)
		s.written = append(s.written, written{at, generation})
	})
}

// silentWatch notes a call that is not answered.
func (r *Records) silentWatch(sender int, began time.Time, hold time.Duration) {
	r.change(func() {
		s := r.lists.sender(sender)
		s.silent = append(s.silent, watch{began, hold})
	})
}

// movedDiscovery notes a SIGHUP that names another address.
func (r *Records) movedDiscovery(sender int, at time.Time) {
	r.change(func() {
		s := r.lists.sender(sender)
		s.moves = append(s.moves, at)
	})
}

// started notes a process that starts with a list.
func (r *Records) started(sender int, at time.Time, generation int64) {
	r.change(func() {
		s := r.lists.sender(sender)
		s.starts = append(s.starts, start{at, generation})
		slices.SortFunc(s.starts, func(a, b start) int { return a.at.Compare(b.at) })
	})
}
