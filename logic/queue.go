package logic

import (
	"cmp"
	"math"
	"slices"
)

// What is held and not out, indexed so that a step costs what it does and not what is held. The index decides
// nothing: messages come out of it in the order of [Sender.rate], and equals the older first (queue_test.go
// holds it against a sort of all).

// group is the messages of a destination that differ in nothing that rate looks at but their times.
type group struct {
	dest  *dest
	class Class
	seen  *hist
	share float64
	kind  groupKind

	ends   sorted // all of them, by the time up to which they can wait
	far    sorted // those that may go, by when they were first handed in; owed ones by deadline
	near   sorted // of these, those whose time is over within lossAhead of a usual call
	nearTo Micros // before which deadlines are near
	due    alarm  // when the first of ends is hopeless
	at     int    // place in Sender.groups
}

type groupKind int

const (
	plain groupKind = iota
	owed            // by an earlier process, and untried
	again           // keyed ones that may have run: few, as each has been out within its window
)

// Where a message stands in its group.
const (
	aside  = iota // in ends only: it rests, or waits for its key
	inFar         // in far
	inNear        // in near
)

// enqueue takes up a message that waits to be sent.
func (s *Sender) enqueue(m *msg) {
	g := s.groupOf(m)
	m.group, m.until = g, m.deadline
	if g.kind == again {
		m.until = min(m.until, m.firstMay+m.class.Window)
	}
	g.ends.insert(item{m.until, m})
	s.waiting++
	m.dest.waiting++
	s.refresh(g)
	s.ready(m)
}

// dequeue takes out what is sent or over.
func (s *Sender) dequeue(m *msg) {
	g := m.group
	s.aside(m)
	g.ends.remove(item{m.until, m})
	m.group = nil
	s.waiting--
	m.dest.waiting--
	if g.ends.n == 0 {
		m.dest.groups = slices.DeleteFunc(m.dest.groups, func(x *group) bool { return x == g })
		s.alarms.set(&g.due, never)
		last := len(s.groups) - 1 // in no order
		s.groups[last].at = g.at
		s.groups[g.at], s.groups[last] = s.groups[last], nil
		s.groups = s.groups[:last]
		return
	}
	s.refresh(g)
}

func (s *Sender) groupOf(m *msg) *group {
	kind := plain
	switch {
	case m.owed:
		kind = owed
	case m.mayRun && m.class.Effect == Keyed:
		kind = again
	}
	for _, g := range m.dest.groups {
		if g.kind == kind && g.share == m.share && g.seen == m.seen && g.class == *m.class {
			return g
		}
	}
	g := &group{dest: m.dest, class: *m.class, seen: m.seen, share: m.share, kind: kind,
		nearTo: math.MinInt64, at: len(s.groups)}
	g.due.g = g
	m.dest.groups = append(m.dest.groups, g)
	s.groups = append(s.groups, g)
	return g
}

// ready puts a message among those that may go, unless it rests or waits for its key.
func (s *Sender) ready(m *msg) {
	at := m.rest
	if l := m.line; l != nil {
		if l.q[0] != m {
			return // taken up again once it is the first
		}
		if l.by != m {
			at = max(at, l.quiet)
		}
	}
	if at > s.now {
		if m.alarm == nil {
			m.alarm = &alarm{m: m}
		}
		s.alarms.set(m.alarm, at)
		return
	}
	g := m.group
	if g.kind == plain && m.deadline < g.nearTo {
		m.stands = inNear
		g.near.insert(item{m.first, m})
	} else {
		m.stands = inFar
		g.far.insert(item{g.key(m), m})
	}
	s.touch(m.dest)
}

// aside takes a message off those that may go.
func (s *Sender) aside(m *msg) {
	switch g := m.group; m.stands {
	case inFar:
		g.far.remove(item{g.key(m), m})
	case inNear:
		g.near.remove(item{m.first, m})
	}
	m.stands = aside
	if m.alarm != nil {
		s.alarms.set(m.alarm, never)
	}
}

func (g *group) key(m *msg) Micros {
	if g.kind == owed {
		return m.deadline
	}
	return m.first
}

// refresh sets when the first of a group is hopeless.
func (s *Sender) refresh(g *group) {
	x, _ := g.ends.first()
	s.alarms.set(&g.due, x.at-s.needs(x.m))
}

func (s *Sender) refreshAll(d *dest) {
	for _, g := range d.groups {
		s.refresh(g)
	}
}

// learn notes that latencies have changed: what is usual at d, and for the class that seen is of.
func (s *Sender) learn(d *dest, seen *hist) {
	s.refreshAll(d)
	usual := unknownLatency
	if seen.total >= minWeight {
		usual = seen.median
	}
	if usual == seen.shown {
		return
	}
	seen.shown = usual
	for _, g := range s.groups {
		if g.seen == seen {
			s.refresh(g)
		}
	}
}

// touch has the next step look at a destination.
func (s *Sender) touch(d *dest) {
	if !d.active {
		d.active = true
		s.active = append(s.active, d)
		s.alarms.set(&d.wake, never)
	}
}

// ring takes up what is due, but for messages that are hopeless: their groups are returned.
func (s *Sender) ring() (out []*group) {
	for a := s.alarms.due(s.now); a != nil; a = s.alarms.due(s.now) {
		switch {
		case a.m != nil:
			s.ready(a.m)
		case a.d != nil:
			s.touch(a.d)
		default:
			out = append(out, a.g)
		}
	}
	return out
}

// turn moves messages between far and near as time goes and what is usual changes.
func (s *Sender) turn(g *group) {
	first, _ := g.ends.first()
	to := s.now + max(s.usual(first.m), leastUsual) + lossAhead
	for p := g.ends.seek(min(to, g.nearTo)); to != g.nearTo; p = g.ends.next(p) {
		x, ok := g.ends.get(p)
		if !ok || x.at >= max(to, g.nearTo) {
			break
		}
		switch {
		case x.m.stands == inFar && to > g.nearTo:
			g.far.remove(item{x.m.first, x.m})
			g.near.insert(item{x.m.first, x.m})
			x.m.stands = inNear
		case x.m.stands == inNear && to < g.nearTo:
			g.near.remove(item{x.m.first, x.m})
			g.far.insert(item{x.m.first, x.m})
			x.m.stands = inFar
		}
	}
	g.nearTo = to
}

// cursor goes over a piece of a list in the order of rate.
type cursor struct {
	m      *msg // the first that is left
	list   *sorted
	at     place
	lo     Micros // least key of the piece
	hi     Micros // keys are under this
	down   bool   // the youngest first, those of one time in order of arrival
	rest   []*msg // instead of a list
	passed int    // messages that were kept back each for itself
}

// cursors appends those of a group. Along the time since a message was first handed in, its rate is flat,
// then rises up to where a usual call could not be in time any more, falls from there (the factor lateLess
// lies between what is in time and what is late) and is flat again where the worth is.
func (s *Sender) cursors(out []*cursor, g *group) []*cursor {
	switch g.kind {
	case owed:
		return s.cursor(out, &cursor{list: &g.far, lo: math.MinInt64, hi: never})
	case again:
		c := &cursor{}
		for p := (place{}); p.chunk < len(g.far.chunks); p = g.far.next(p) {
			x, _ := g.far.get(p)
			if x.m.prio = s.rate(x.m); s.inTime(x.m) {
				c.rest = append(c.rest, x.m)
			}
		}
		slices.SortFunc(c.rest, sooner)
		return s.cursor(out, c)
	}
	s.turn(g)
	first, _ := g.ends.first()
	u, aim := max(s.usual(first.m), leastUsual), g.class.Aim
	flat := g.class.flat(s.set.ExponentialDecay) // from this age on the worth stays
	rise, fall, late := s.now-aim+u, s.now-flat+u, s.now-aim
	for _, l := range [...]*sorted{&g.far, &g.near} {
		if l.n == 0 {
			continue
		}
		out = s.cursor(out, &cursor{list: l, lo: rise, hi: never})
		out = s.cursor(out, &cursor{list: l, lo: max(fall, late), hi: rise, down: true})
		out = s.cursor(out, &cursor{list: l, lo: fall, hi: late, down: true})
		out = s.cursor(out, &cursor{list: l, lo: late, hi: fall})
		out = s.cursor(out, &cursor{list: l, lo: math.MinInt64, hi: min(fall, late)})
	}
	return out
}

// flat is the age from which on the worth of a message does not fall any more.
func (c *Class) flat(halves bool) Micros {
	switch {
	case c.LateWorth >= 1 || c.Worth == 0:
		return c.Aim
	case !halves:
		return c.Aim + max(c.Deadline-c.Aim, 1)
	}
	halvings := min(-math.Log2(c.LateWorth), 1075) // by then a number that is halved is 0
	return c.Aim + Micros(math.Ceil(float64(max(c.Aim, 1))*halvings))
}

// cursor appends one that is not empty.
func (s *Sender) cursor(out []*cursor, c *cursor) []*cursor {
	switch {
	case c.list == nil:
	case c.lo >= c.hi:
		return out
	case c.down:
		c.at = c.list.seek(c.hi)
		c.younger()
	default:
		c.at = c.list.seek(c.lo)
	}
	if s.point(c); c.m == nil {
		return out
	}
	return append(out, c)
}

// younger goes to the first of the times before the one at hand.
func (c *cursor) younger() {
	x, ok := c.list.before(c.at)
	if !ok || x.at < c.lo {
		c.list = nil
		return
	}
	c.hi = x.at + 1
	c.at = c.list.seek(x.at)
}

// advance goes on to the next message.
func (s *Sender) advance(c *cursor) {
	c.step()
	s.point(c)
}

func (c *cursor) step() {
	if c.list == nil {
		c.rest = c.rest[1:]
		return
	}
	was, _ := c.list.get(c.at)
	c.at = c.list.next(c.at)
	if x, ok := c.list.get(c.at); c.down && (!ok || x.at != was.at) {
		c.at = c.list.seek(was.at)
		c.younger()
	}
}

// point finds out which message a cursor is at. It passes over those whose time is up before a call arrives.
func (s *Sender) point(c *cursor) {
	for c.m = nil; c.list != nil; c.step() {
		x, ok := c.list.get(c.at)
		if !ok || x.at >= c.hi {
			return
		}
		if s.inTime(x.m) {
			c.m = x.m
			c.m.prio = s.rate(c.m)
			return
		}
	}
	if len(c.rest) > 0 {
		c.m = c.rest[0]
	}
}

// inTime says that a call of m now would arrive before its time is over; an owed one is tried in any case.
func (s *Sender) inTime(m *msg) bool {
	return m.owed || s.now+max(s.usual(m), leastUsual) <= m.deadline
}

// sooner orders messages as they go: by rate, equals the older first.
func sooner(a, b *msg) int {
	return cmp.Or(cmp.Compare(b.prio, a.prio), cmp.Compare(a.first, b.first), cmp.Compare(a.seq, b.seq))
}

// merge is a heap of cursors, the one with the soonest message first.
type merge []*cursor

func (h merge) Len() int           { return len(h) }
func (h merge) Less(i, j int) bool { return sooner(h[i].m, h[j].m) < 0 }
func (h merge) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *merge) Push(x any)        { *h = append(*h, x.(*cursor)) }
func (h *merge) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// skip passes over those of a piece that were first handed in after a time. It says when the first of them
// will be as old as one of that time is now.
func (s *Sender) skip(c *cursor, first Micros) Micros {
	at := never
	if c.list == nil {
		at = c.rest[0].first - first + s.now
		s.advance(c)
		return at
	}
	if x, ok := c.list.get(c.list.seek(max(c.lo, first+1))); ok {
		at = x.at - first + s.now
	}
	c.hi = min(c.hi, first+1)
	if c.down {
		c.at = c.list.seek(c.hi)
		c.younger()
	}
	s.point(c)
	return at
}

// judged lists what may have to make room, soonest first, with how many of its destination go before each:
// all that waits, or where that is much, what came in this step and the first to run out of time of some
// groups in turn, as many ahead as run out of time earlier.
func (s *Sender) judged() (q []*msg) {
	if s.waiting <= shedAll {
		for _, g := range s.groups {
			q = s.firsts(q, g, shedAll)
		}
		slices.SortFunc(q, sooner)
		for _, m := range q {
			m.dest.rank = 0
		}
		for _, m := range q {
			m.dest.rank++
			m.ahead = m.dest.rank
		}
		return q
	}
	for range min(shedLook, len(s.groups)) {
		s.shedAt = (s.shedAt + 1) % len(s.groups)
		q = s.firsts(q, s.groups[s.shedAt], shedLook)
	}
	for _, m := range s.came {
		if g := m.group; g != nil && m.judgedIn != s.step {
			m.prio = s.rate(m)
			own := g.ends.find(func(x item) bool { return !x.before(item{m.until, m}) })
			m.ahead = float64((g.ends.index(own) + 1) * m.dest.waiting / g.ends.n)
			q = append(q, m)
		}
	}
	slices.SortFunc(q, sooner)
	return q
}

// firsts appends the first of a group to run out of time, so many at most.
func (s *Sender) firsts(q []*msg, g *group, most int) []*msg {
	if g.dest.lookedIn != s.step {
		g.dest.load = float64(1 + g.dest.lane.inflight)
	}
	for p := (place{}); p.chunk < len(g.ends.chunks) && most > 0; p = g.ends.next(p) {
		x, _ := g.ends.get(p)
		x.m.prio = s.rate(x.m)
		x.m.ahead = float64((g.ends.index(p) + 1) * g.dest.waiting / g.ends.n)
		x.m.judgedIn = s.step
		q = append(q, x.m)
		most--
	}
	return q
}
