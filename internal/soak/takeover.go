package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Times of a takeover of addresses, from the SIGTERM of the sender that is away meanwhile.
const (
	unlistAfter = 200 * time.Millisecond
	relistAfter = unlistAfter + drainGrace + 600*time.Millisecond // before the sender starts again
)

// drawTakeover draws a planned restart of a sender, and two endpoints of different destinations that go while it is away.
// New endpoints come up at their addresses, each for the destination of the other.
func (f *fleet) drawTakeover(s *sender, at time.Duration, rng *rand.Rand) []step {
	first := f.endpoints[rng.IntN(len(f.endpoints))]
	second := f.endpoints[rng.IntN(len(f.endpoints))]
	for second.dest == first.dest {
		second = f.endpoints[rng.IntN(len(f.endpoints))]
	}
	var t takeover
	return []step{
		{at, fmt.Sprintf("sender %d gets SIGTERM, while endpoints %s and %s go", s.number, first.name, second.name),
			func() { f.goRestart(func() error { return s.restart(restartPlan{planned: true}) }) }},
		{at + unlistAfter, "these endpoints go", func() { t = f.beginTakeover(first, second) }},
		{at + relistAfter, "endpoints of other destinations come up at their addresses", func() { f.endTakeover(t) }},
	}
}

// takeover is a takeover of the addresses of two endpoints. The zero value is one that does not take place.
type takeover struct {
	first, second *endpoint
	unlisted      int64 // the generation of the list from which both are absent
}

// beginTakeover takes two endpoints off the list, unless one of them takes part in another takeover.
func (f *fleet) beginTakeover(first, second *endpoint) takeover {
	f.mu.Lock()
	busy := f.takenOver[first] || f.takenOver[second]
	if !busy {
		f.takenOver[first], f.takenOver[second] = true, true
	}
	f.mu.Unlock()
	if busy {
		return takeover{}
	}
	f.setLifecycle(first, unlisted)
	f.setLifecycle(second, unlisted)
	return takeover{first, second, f.platform.currentList().Generation}
}

// endTakeover gives each of the two endpoints the destination of the other and a new name, and lists them again.
func (f *fleet) endTakeover(t takeover) {
	if t.first == nil {
		return
	}
	firstDest, secondDest := t.first.destination(), t.second.destination()
	for e, dest := range map[*endpoint]int{t.first: secondDest, t.second: firstDest} {
		name := fmt.Sprintf("%s-%d", e.identity(), t.unlisted)
		f.records.withLock(func() { f.records.lists.takeovers[name] = t.unlisted })
		e.restartAs(name, dest)
	}
	f.mu.Lock()
	delete(f.takenOver, t.first)
	delete(f.takenOver, t.second)
	f.mu.Unlock()
	f.setLifecycle(t.first, "up")
	f.setLifecycle(t.second, "up")
}

// restartAs ends the endpoint's process, whose connections are reset, and starts another one at its address.
func (e *endpoint) restartAs(name string, dest int) {
	e.mu.Lock()
	e.name, e.dest = name, dest
	e.mu.Unlock()
	e.dropConnections(true)
}

// identity returns the endpoint's name in the list.
func (e *endpoint) identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.name
}

// destination returns the number of the endpoint's destination.
func (e *endpoint) destination() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dest
}

// judgeDestination checks that no message is sent to an endpoint of another destination once its sender counts as informed
// that the endpoint that was at the address has gone. A process that starts later must not go by an earlier list at all.
func (l *listRecords) judgeDestination(m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	for _, c := range m.Calls {
		generation, taken := l.takeovers[c.Endpoint]
		if !taken || c.dest == m.dest {
			continue
		}
		change := l.publishedAs(generation)
		due := l.informedBy(m.Sender, change, c.At)
		switch startedAt := l.startedBefore(m.Sender, c.At); {
		case startedAt.Before(change.at):
			due = due.Add(drainGrace + timeSlack + noise)
		case due.After(startedAt): // by an answer, beside which a call may have begun
			due = due.Add(timeSlack + noise)
		}
		if c.At.After(due) {
			add(m, "sent to %s of destination %d, %v after its sender was informed", c.Endpoint, c.dest,
				c.At.Sub(due).Round(time.Millisecond))
		}
	}
}

// startedBefore returns when the last process of a sender was started before a time.
func (l *listRecords) startedBefore(sender int, at time.Time) time.Time {
	var startedAt time.Time
	for _, start := range l.sender(sender).starts { // in chronological order
		if start.at.Before(at) {
			startedAt = start.at
		}
	}
	return startedAt
}

// publishedAs returns the published list of a generation.
func (l *listRecords) publishedAs(generation int64) published {
	for _, p := range l.published {
		if p.generation == generation {
			return p
		}
	}
	return published{generation: generation}
}
