package logic

import (
	"cmp"
	"math"
	"slices"
)

// The index of the queued messages, so that the cost of a step depends on what it does and not on the number
// of pending messages. The index makes no decisions: messages leave it in the order of [Sender.priority], and
// among equals the oldest first (queue_test.go compares this with a sort of all messages).

// group holds the messages of a destination that differ, of all that their priority depends on, only in their
// times.
type group struct {
	dest           *destination
	class          Class      // copy, as classes with equal values share a group
	classLatencies *histogram // of the class at all destinations
	quotaFactor    float64    // fraction of their worth that the messages keep, see Sender.quotaFactor
	kind           groupKind

	byExpiry     sortedList // all messages, by the time at which they expire
	eligible     sortedList // messages that may be sent, by submission time; in an inheritedGroup by deadline
	nearDeadline sortedList // such messages with a deadline before nearBefore, by submission time
	nearBefore   Micros     // lossHorizon after a call that started at the last update would usually end
	expiryTimer  timer      // fires when the first message of byExpiry can no longer be sent in time
	index        int        // index in Sender.groups
}

// groupKind is the kind of the messages of a group.
type groupKind int

const (
	plainGroup     groupKind = iota // all others
	inheritedGroup                  // accepted by a previous process, and never sent
	repeatGroup                     // keyed ones that may have run; few, as each was in flight within its window
)

// The list of its group that holds a message, beside byExpiry.
const (
	notEligible    = iota // none: the message is backing off, or waits for its order key
	inEligible            // group.eligible
	inNearDeadline        // group.nearDeadline
)

// enqueue adds a message that waits to be sent to its group, which is one of the queues of its destination.
func (s *Sender) enqueue(m *message) {
	g := s.groupOf(m)
	m.group, m.expiresAt = g, m.deadline
	if g.kind == repeatGroup {
		m.expiresAt = min(m.expiresAt, m.mayHaveRunAt+m.class.Window)
	}
	g.byExpiry.insert(item{m.expiresAt, m})
	s.queued++
	m.dest.queued++
	s.updateExpiry(g)
	s.makeEligible(m)
}

// dequeue removes a message that was sent or has ended from its group, and the group if it is empty.
func (s *Sender) dequeue(m *message) {
	g := m.group
	s.makeIneligible(m)
	g.byExpiry.remove(item{m.expiresAt, m})
	m.group = nil
	s.queued--
	m.dest.queued--
	if g.byExpiry.size == 0 {
		m.dest.groups = slices.DeleteFunc(m.dest.groups, func(x *group) bool { return x == g })
		s.timers.set(&g.expiryTimer, never)
		last := len(s.groups) - 1 // the groups are not ordered
		s.groups[last].index = g.index
		s.groups[g.index], s.groups[last] = s.groups[last], nil
		s.groups = s.groups[:last]
		return
	}
	s.updateExpiry(g)
}

// groupOf returns the group of a message, and creates it if necessary.
func (s *Sender) groupOf(m *message) *group {
	kind := plainGroup
	switch {
	case m.inherited:
		kind = inheritedGroup
	case m.mayHaveRun && m.class.Effect == Keyed:
		kind = repeatGroup
	}
	for _, g := range m.dest.groups {
		if g.kind == kind && g.quotaFactor == m.quotaFactor && g.classLatencies == m.classLatencies &&
			g.class == *m.class {
			return g
		}
	}
	g := &group{dest: m.dest, class: *m.class, classLatencies: m.classLatencies, quotaFactor: m.quotaFactor,
		kind: kind, nearBefore: math.MinInt64, index: len(s.groups)}
	g.expiryTimer.group = g
	m.dest.groups = append(m.dest.groups, g)
	s.groups = append(s.groups, g)
	return g
}

// makeEligible adds a message to those that may be sent, unless it is backing off or waits for its order key.
func (s *Sender) makeEligible(m *message) {
	at := m.backoffUntil
	if l := m.keyQueue; l != nil {
		if l.messages[0] != m {
			return // called again once the message is the first of its key
		}
		if l.quietMessage != m {
			at = max(at, l.quietUntil)
		}
	}
	if at > s.now {
		if m.timer == nil {
			m.timer = &timer{msg: m}
		}
		s.timers.set(m.timer, at)
		return
	}
	g := m.group
	if g.kind == plainGroup && m.deadline < g.nearBefore {
		m.listing = inNearDeadline
		g.nearDeadline.insert(item{m.submittedAt, m})
	} else {
		m.listing = inEligible
		g.eligible.insert(item{g.sortKey(m), m})
	}
	s.activate(m.dest)
}

// makeIneligible removes a message from those that may be sent, and stops its timer.
func (s *Sender) makeIneligible(m *message) {
	switch g := m.group; m.listing {
	case inEligible:
		g.eligible.remove(item{g.sortKey(m), m})
	case inNearDeadline:
		g.nearDeadline.remove(item{m.submittedAt, m})
	}
	m.listing = notEligible
	if m.timer != nil {
		s.timers.set(m.timer, never)
	}
}

// sortKey is the key of a message in g.eligible.
func (g *group) sortKey(m *message) Micros {
	if g.kind == inheritedGroup {
		return m.deadline
	}
	return m.submittedAt
}

// updateExpiry sets the timer of a group to the time at which its first message can no longer be sent.
func (s *Sender) updateExpiry(g *group) {
	x, _ := g.byExpiry.first()
	s.timers.set(&g.expiryTimer, x.key-s.minTimeToSend(x.msg))
}

// updateExpiries calls updateExpiry for all groups of a destination.
func (s *Sender) updateExpiries(d *destination) {
	for _, g := range d.groups {
		s.updateExpiry(g)
	}
}

// latenciesChanged updates the expiry timers that depend on the latencies of d and of a class, after either
// histogram has changed.
func (s *Sender) latenciesChanged(d *destination, classLatencies *histogram) {
	s.updateExpiries(d)
	usual := unknownLatency
	if classLatencies.total >= minSamples {
		usual = classLatencies.median
	}
	if usual == classLatencies.lastUsual {
		return
	}
	classLatencies.lastUsual = usual
	for _, g := range s.groups {
		if g.classLatencies == classLatencies {
			s.updateExpiry(g)
		}
	}
}

// activate makes the next dispatch visit a destination: that of this step if it is still to come.
func (s *Sender) activate(d *destination) {
	if !d.active {
		d.active = true
		s.active = append(s.active, d)
		s.timers.set(&d.timer, never)
	}
}

// fireTimers handles the timers that are due. It returns the groups whose expiry timer has fired.
func (s *Sender) fireTimers() (expired []*group) {
	for a := s.timers.popDue(s.now); a != nil; a = s.timers.popDue(s.now) {
		switch {
		case a.msg != nil:
			s.makeEligible(a.msg)
		case a.dest != nil:
			s.activate(a.dest)
		default:
			expired = append(expired, a.group)
		}
	}
	return expired
}

// updateNearDeadline moves messages between eligible and nearDeadline as time passes and the usual latency
// changes.
func (s *Sender) updateNearDeadline(g *group) {
	first, _ := g.byExpiry.first()
	nearBefore := s.now + max(s.usualLatency(first.msg), minUsualLatency) + lossHorizon
	for p := g.byExpiry.seek(min(nearBefore, g.nearBefore)); nearBefore != g.nearBefore; p = g.byExpiry.next(p) {
		x, ok := g.byExpiry.get(p)
		if !ok || x.key >= max(nearBefore, g.nearBefore) {
			break
		}
		switch {
		case x.msg.listing == inEligible && nearBefore > g.nearBefore:
			g.eligible.remove(item{x.msg.submittedAt, x.msg})
			g.nearDeadline.insert(item{x.msg.submittedAt, x.msg})
			x.msg.listing = inNearDeadline
		case x.msg.listing == inNearDeadline && nearBefore < g.nearBefore:
			g.nearDeadline.remove(item{x.msg.submittedAt, x.msg})
			g.eligible.insert(item{x.msg.submittedAt, x.msg})
			x.msg.listing = inEligible
		}
	}
	g.nearBefore = nearBefore
}

// cursor iterates over a range of a list in order of priority.
type cursor struct {
	msg         *message // current message; nil at the end
	list        *sortedList
	position    position
	minKey      Micros     // lower bound of the keys
	endKey      Micros     // upper bound of the keys, exclusive
	newestFirst bool       // newest key first; messages with the same key in order of arrival
	remaining   []*message // messages left to iterate over, if list is nil
	heldBack    int        // number of messages that were passed over one by one as they were not admitted
}

// appendCursors appends the cursors of a group. As the age of a message grows, its priority is first
// constant, then rises until a call of usual latency would miss its Aim, falls from there (the factor
// lateWeight separates messages before and after their Aim) and is constant again once the worth is. Each
// cursor covers a range in which the priority changes in one direction.
func (s *Sender) appendCursors(out []*cursor, g *group) []*cursor {
	switch g.kind {
	case inheritedGroup:
		return s.appendCursor(out, &cursor{list: &g.eligible, minKey: math.MinInt64, endKey: never})
	case repeatGroup:
		c := &cursor{}
		for p := (position{}); p.chunk < len(g.eligible.chunks); p = g.eligible.next(p) {
			x, _ := g.eligible.get(p)
			if x.msg.priority = s.priority(x.msg); s.canMeetDeadline(x.msg) {
				c.remaining = append(c.remaining, x.msg)
			}
		}
		slices.SortFunc(c.remaining, comparePriority)
		return s.appendCursor(out, c)
	}
	s.updateNearDeadline(g)
	first, _ := g.byExpiry.first()
	usual, aim := max(s.usualLatency(first.msg), minUsualLatency), g.class.Aim
	floorAge := g.class.worthFloorAge(s.settings.ExponentialDecay) // the worth is constant from this age on
	rise, fall, late := s.now-aim+usual, s.now-floorAge+usual, s.now-aim
	for _, l := range [...]*sortedList{&g.eligible, &g.nearDeadline} {
		if l.size == 0 {
			continue
		}
		out = s.appendCursor(out, &cursor{list: l, minKey: rise, endKey: never})
		out = s.appendCursor(out, &cursor{list: l, minKey: max(fall, late), endKey: rise, newestFirst: true})
		out = s.appendCursor(out, &cursor{list: l, minKey: fall, endKey: late, newestFirst: true})
		out = s.appendCursor(out, &cursor{list: l, minKey: late, endKey: fall})
		out = s.appendCursor(out, &cursor{list: l, minKey: math.MinInt64, endKey: min(fall, late)})
	}
	return out
}

// worthFloorAge is the age from which on the worth of a message no longer falls. Exponential means that it
// halves with each Aim, see Settings.ExponentialDecay.
func (c *Class) worthFloorAge(exponential bool) Micros {
	switch {
	case c.LateWorth >= 1 || c.Worth == 0:
		return c.Aim
	case !exponential:
		return c.Aim + max(c.Deadline-c.Aim, 1)
	}
	halvings := min(-math.Log2(c.LateWorth), 1075) // after more halvings any number is 0
	return c.Aim + Micros(math.Ceil(float64(max(c.Aim, 1))*halvings))
}

// appendCursor appends a cursor, placed at its first message, unless it has none.
func (s *Sender) appendCursor(out []*cursor, c *cursor) []*cursor {
	switch {
	case c.list == nil:
	case c.minKey >= c.endKey:
		return out
	case c.newestFirst:
		c.position = c.list.seek(c.endKey)
		c.seekPreviousKey()
	default:
		c.position = c.list.seek(c.minKey)
	}
	if s.skipExpired(c); c.msg == nil {
		return out
	}
	return append(out, c)
}

// seekPreviousKey moves a cursor with newestFirst to the first item with the greatest key before the current
// one. It sets the list to nil if there is none in the range.
func (c *cursor) seekPreviousKey() {
	x, ok := c.list.previous(c.position)
	if !ok || x.key < c.minKey {
		c.list = nil
		return
	}
	c.endKey = x.key + 1
	c.position = c.list.seek(x.key)
}

// advance moves the cursor to the next message.
func (s *Sender) advance(c *cursor) {
	c.next()
	s.skipExpired(c)
}

// next moves the cursor by one item, which may have expired; advance skips those.
func (c *cursor) next() {
	if c.list == nil {
		c.remaining = c.remaining[1:]
		return
	}
	was, _ := c.list.get(c.position)
	c.position = c.list.next(c.position)
	if x, ok := c.list.get(c.position); c.newestFirst && (!ok || x.key != was.key) {
		c.position = c.list.seek(was.key)
		c.seekPreviousKey()
	}
}

// skipExpired moves the cursor to the first message from its position on that can meet its deadline, and sets
// the message's priority.
func (s *Sender) skipExpired(c *cursor) {
	for c.msg = nil; c.list != nil; c.next() {
		x, ok := c.list.get(c.position)
		if !ok || x.key >= c.endKey {
			return
		}
		if s.canMeetDeadline(x.msg) {
			c.msg = x.msg
			c.msg.priority = s.priority(c.msg)
			return
		}
	}
	if len(c.remaining) > 0 {
		c.msg = c.remaining[0]
	}
}

// canMeetDeadline reports whether a call that starts now would deliver m before its deadline. Messages of a
// previous process that were never sent are tried in any case.
func (s *Sender) canMeetDeadline(m *message) bool {
	return m.inherited || s.now+max(s.usualLatency(m), minUsualLatency) <= m.deadline
}

// comparePriority orders messages by priority, highest first, and among equals the oldest first. It is
// negative if a goes before b.
func comparePriority(a, b *message) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority),
		cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.seq, b.seq))
}

// cursorHeap is a heap of cursors by the priority of their current messages, highest first. Its methods are
// those of heap.Interface.
type cursorHeap []*cursor

func (h cursorHeap) Len() int           { return len(h) }
func (h cursorHeap) Less(i, j int) bool { return comparePriority(h[i].msg, h[j].msg) < 0 }
func (h cursorHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *cursorHeap) Push(x any)        { *h = append(*h, x.(*cursor)) }
func (h *cursorHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// skipNewer moves the cursor past the messages that were submitted after a time. It returns when the oldest
// of them will have the age that a message submitted at that time has now.
func (s *Sender) skipNewer(c *cursor, submittedAt Micros) Micros {
	at := never
	if c.list == nil {
		at = c.remaining[0].submittedAt - submittedAt + s.now
		s.advance(c)
		return at
	}
	if x, ok := c.list.get(c.list.seek(max(c.minKey, submittedAt+1))); ok {
		at = x.key - submittedAt + s.now
	}
	c.endKey = min(c.endKey, submittedAt+1)
	if c.newestFirst {
		c.position = c.list.seek(c.endKey)
		c.seekPreviousKey()
	}
	s.skipExpired(c)
	return at
}

// shedCandidates returns messages that may be ended to shed load, in order of priority, and sets how many
// messages of the same destination go before each. These are all queued messages; or, if there are many,
// those that arrived in this step and the first to expire of some groups, in turn, with the number of
// messages that expire earlier.
func (s *Sender) shedCandidates() (candidates []*message) {
	if s.queued <= shedExactMax {
		for _, g := range s.groups {
			candidates = s.appendEarliest(candidates, g, shedExactMax)
		}
		slices.SortFunc(candidates, comparePriority)
		for _, m := range candidates {
			m.dest.rank = 0
		}
		for _, m := range candidates {
			m.dest.rank++
			m.ahead = m.dest.rank
		}
		return candidates
	}
	for range min(shedSample, len(s.groups)) {
		s.shedIndex = (s.shedIndex + 1) % len(s.groups)
		candidates = s.appendEarliest(candidates, s.groups[s.shedIndex], shedSample)
	}
	for _, m := range s.arrivals {
		if g := m.group; g != nil && m.candidateStep != s.step {
			m.priority = s.priority(m)
			at := g.byExpiry.find(func(x item) bool { return !x.before(item{m.expiresAt, m}) })
			m.ahead = float64((g.byExpiry.index(at) + 1) * m.dest.queued / g.byExpiry.size)
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, comparePriority)
	return candidates
}

// appendEarliest appends the first messages of a group to expire, up to a number.
func (s *Sender) appendEarliest(candidates []*message, g *group, limit int) []*message {
	if g.dest.visitedStep != s.step {
		g.dest.load = float64(1 + g.dest.limiter.inFlight)
	}
	for p := (position{}); p.chunk < len(g.byExpiry.chunks) && limit > 0; p = g.byExpiry.next(p) {
		x, _ := g.byExpiry.get(p)
		x.msg.priority = s.priority(x.msg)
		x.msg.ahead = float64((g.byExpiry.index(p) + 1) * g.dest.queued / g.byExpiry.size)
		x.msg.candidateStep = s.step
		candidates = append(candidates, x.msg)
		limit--
	}
	return candidates
}
