package logic

// Every decision of the module, with its tables and tuned values. The interface (settings, events, actions)
// is in logic/types.go. What is marked "design" comes from the design page, what is marked "ours" is our own.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// ---- Tuned values --------------------------------------------------------------------

const (
	halfLife   = 30 * Second // design: half-life of the latency histograms
	binBase    = 2000        // ours: upper edge of the first bin, microseconds
	binRatio   = 1.25        // ours: each edge over the one before; finer bins need more samples
	binCount   = 48          // ours: the last edge lies near 70 s
	minWeight  = 4.0         // ours: samples before a histogram is believed
	tauWeight  = 12.0        // ours: samples before τ is; an early τ cuts healthy calls
	tauGain    = 0.85        // ours: ⟨t⟩ at τ must be under this part of ⟨t⟩ of waiting; noise reaches 0.9
	maxCuts    = 2           // ours: restarts of one message; each doubles the next limit
	stuckTimes = 3.0         // ours: a call is stuck past this many times the 95th percentile ...
	stuckLeast = Second / 2  // ours: ... and this
	patience   = 2           // ours: a stuck call is called off past this many times the time that made it so
	stuckBlind = 2 * Second  // ours: where no latency is known yet

	paceFloor = 1.0        // design: calls a second
	paceSpan  = Second     // design: the span of the first pace, and between two halvings
	paceSave  = Second / 2 // ours: what an idle pace saves up; more of it meets limits in bursts
	paceCreep = 0.1        // ours: growth of the pace with each success
	paceFree  = 4.0        // ours: a pace this many times what is sent sets nothing any more and is dropped

	badAlpha    = 0.3          // ours: weight of the newest outcome in an endpoint's share of failures
	badShare    = 0.45         // ours: failing more than this is an outage
	shyMost     = 8 * Second   // ours: longest mean rest of a lane after a refusal, among many senders
	sendAgain   = 1.0          // ours: part of the traffic of an outage that comes again at one time
	outage      = 5 * Second   // ours: how long an outage lasted, beside the time since we saw it
	badUnsafe   = 0.2          // ours: unsafe messages keep away above this
	spentUnder  = 0.5          // ours: with less of its limit left, a refusal is the limit's
	fullsDown   = 4            // ours: refusals in a row that look like a shut destination ...
	fullsSpan   = 1500_000     // ours: ... when they span this, more than a limit's window leaves empty
	longWait    = 2 * Second   // ours: a told wait past this is a shut destination, not a limit's window
	trialGap    = 400_000      // ours: first pause between single trials
	trialMost   = 2 * Second   // ours: and the longest
	keepGone    = 60 * Second  // ours: an endpoint off the list is remembered so long: it may come back
	idleAge     = 4 * halfLife // ours: state of a destination without traffic is dropped after this
	slowTimes   = 3.0          // ours: an endpoint this much slower than its best sibling is passed over
	slowProbe   = 4 * Second   // ours: but tried again after this
	reuse       = 5 * Second   // ours: an endpoint called less often than this shares its connections
	turnAlpha   = 0.05         // ours: weight of the newest call in a kind's share of calls turned away
	turnShare   = 0.2          // ours: share above which a refused message of mean worth is not tried again
	restPart    = 0.1          // ours: least mean part of its time left that a refused message rests
	dearConn    = 0.04         // ours: price of a connection with each message above which none is given back
	manySenders = 16           // ours: more than this, one idle connection each, may fill an endpoint
	resetsDown  = 3            // ours: connections that break in a row, no answer between, look like an outage
	lately      = Second       // ours: one refused connection does not, if an answer came so shortly before
	spoiltDown  = 4            // ours: spoilt answers in a row that look like an outage
	errorRest   = 100_000      // ours: pause of a message after an error, doubled with each try

	quotaHalf = 5 * Second // ours: half-life of a tenant's rate
	lossAhead = Second     // ours: loss of worth within this sets who goes first
	holdHalf  = 0.7        // ours: share of the hold above which messages that the pace cannot send in time end
	holdFull  = 0.9        // ours: share of the hold above which the least worthy are refused
	askGap    = Second     // ours: first pause before the list is asked for again
	askMost   = 8 * Second // ours: and the longest
	logMost   = 200        // ours: log lines in a life
	never     = Micros(math.MaxInt64)
	longAgo   = Micros(math.MinInt64 / 2)
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	if set.Save == 0 {
		set.Save = paceSave
	}
	s := &Sender{set: set, rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64, askAt: never, askGap: askGap,
		eps: map[EndpointID]*endpoint{}, dests: map[int64]*dest{}, msgs: map[string]*msg{},
		keys: map[string]*keyLine{}, turned: map[int]float64{}}
	if set.OnRequest {
		s.askAt = math.MinInt64
	}
	s.many = set.Senders > manySenders
	s.byClass, s.usage = make([]hist, len(set.Classes)), make([]usage, len(set.Tenants))
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	s.subscribe()
	s.forget()
	s.endHopeless()
	s.cutLong()
	s.dispatch()
	s.arm()
	return s.out
}

// ---- Endpoint list -------------------------------------------------------------------

func (s *Sender) list(ev Endpoints) {
	if ev.Form == ListFailed {
		// Asked in vain or subscription broken: ask again, later each time.
		s.askAt = s.now + s.askGap
		s.askGap = min(2*s.askGap, askMost)
		return
	}
	if s.askAt == never {
		s.askGap = askGap
	}
	if ev.Form != ListDelta {
		s.keepOnly(ev.Entries)
	}
	for _, row := range ev.Entries {
		s.entry(row)
	}
}

func (s *Sender) entry(row Entry) {
	e := s.eps[row.Endpoint]
	if row.State == Gone {
		if e != nil {
			s.unlist(e)
		}
		return
	}
	d := s.dest(row.Dest)
	d.kind = row.Kind
	if e == nil || e.dest != d {
		if e != nil {
			s.unlist(e)
		}
		e = &endpoint{id: row.Endpoint, dest: d, lane: d.lane, state: Gone}
		e.lastOK, e.lastBad, e.lastSent, e.well = longAgo, longAgo, longAgo, longAgo
		if s.kind(d).Apart {
			e.lane = &lane{}
		}
		s.eps[e.id] = e
		// A machine that joins a destination in trouble is as cold as the others: what topples it is shared.
		for _, x := range d.eps {
			if x.cold && e.lane == x.lane {
				e.cold, e.suspect, e.backAt, e.trialAt, e.lastBad = true, x.suspect, x.backAt, x.trialAt, x.lastBad
			}
		}
	}
	if e.state == Gone {
		d.eps = append(d.eps, e)
		if len(d.eps) > 1 {
			d.next = s.rng.IntN(len(d.eps))
		}
	}
	e.zone, e.state = row.Zone, row.State
	if s.set.Weights != WeightsOff && row.Nominal > 0 && !e.lane.told {
		e.lane.limit = row.Nominal
	}
}

// subscribe asks for the list where it comes only on request.
func (s *Sender) subscribe() {
	if s.askAt == never {
		return
	}
	if s.now < s.askAt {
		s.at(s.askAt)
		return
	}
	s.do(Listen{})
	s.askAt = never
}

// ---- Queue ---------------------------------------------------------------------------

// rate orders the queue: the worth that waiting a little longer would lose, for each second of a slot.
func (s *Sender) rate(m *msg) float64 {
	u := max(s.usual(m), 10_000)
	soon := s.value(m, s.now+u)
	loss := soon - s.value(m, s.now+u+lossAhead)
	return m.share * (loss + 0.02*soon) / (float64(u) * float64(1+m.dest.lane.inflight))
}

// shareOf is the part of its worth that a new message keeps: less while its tenant sends past its quota here,
// taking an even part of the quota for this sender.
func (s *Sender) shareOf(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.set.Tenants) || s.set.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.usage[tenant]
	u.n = u.n*math.Exp2(-seconds(s.now-u.at)/seconds(quotaHalf)) + 1
	u.at = s.now
	if u.n*math.Ln2/seconds(quotaHalf) > s.set.Tenants[tenant].QuotaRPS/float64(s.set.Senders) {
		return s.set.OverShareWorth
	}
	return 1
}

// usual is the median served latency of m's destination, else of its class; 0 if neither is known.
func (s *Sender) usual(m *msg) Micros {
	if m.dest.hist.total >= minWeight {
		return m.dest.hist.median
	}
	if h := &s.byClass[m.ci]; h.total >= minWeight {
		return h.median
	}
	return 0
}

// dispatch sends what the gate lets through, the most urgent first.
func (s *Sender) dispatch() {
	var q []*msg
	for _, m := range s.held {
		if m.out == nil && !m.over {
			m.prio = s.rate(m)
			m.dest.rank = 0
			q = append(q, m)
		}
	}
	slices.SortStableFunc(q, func(a, b *msg) int { return cmp.Compare(b.prio, a.prio) })
	for i, m := range q {
		if s.send(m) {
			continue
		}
		m.dest.rank++
		// What the pace cannot send in time ends now, if the hold has little room: paces and limits come back.
		p := s.destPace(m.dest)
		if p > 0 && m.dest.rank/p > seconds(m.deadline-s.now-s.usual(m)) && s.crowd() > holdHalf {
			s.end(m)
			continue
		}
		// A nearly full hold gives up its least worthy rather than turning new messages away unseen.
		if s.crowd() > holdFull && i >= len(q)-1 && !m.mayRun {
			s.end(m)
		}
	}
}

// send tries the endpoints of m's destination in rotation and reports whether one took it.
func (s *Sender) send(m *msg) bool {
	d := m.dest
	best := math.Inf(1)
	for _, e := range d.eps {
		if e.slow > 0 && !e.suspect {
			best = min(best, e.slow)
		}
	}
	var pick *endpoint
	rank := 99
	for i := range d.eps {
		e := d.eps[(d.next+i)%len(d.eps)]
		ok, at := s.gate(m, e)
		if !ok {
			s.at(at)
			continue
		}
		r := 0
		if !s.joins(m, e) {
			r++ // a call that leaves anyway comes first
		}
		if s.many && (s.now >= e.warm || e.inflight >= max(s.set.ConnCalls, 1)) {
			r++ // among many senders connections rarely last until the rotation comes round again
		}
		if e == m.last {
			r += 4 // a resend goes elsewhere where it can
		}
		if e.fulls > 1 {
			r += 2 // refuses while others may not: draining, or a route at its limit
		}
		if e.slow > slowTimes*best && s.now < e.lastSent+slowProbe {
			r += 2
		}
		if r < rank {
			rank, pick = r, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && rank > 0 {
		d.next = (slices.Index(d.eps, pick) + 1) % len(d.eps)
	}
	s.launch(m, pick)
	return true
}

func (s *Sender) launch(m *msg, e *endpoint) {
	if !s.joins(m, e) {
		e.open = &call{step: s.step, by: m.deadline}
		s.busy++
		e.lane.tokens--
		e.lane.inflight++
		e.inflight++
		s.mark(e)
		e.lane.phase = s.rng.Float64()
		if e.suspect {
			s.backOff(e)
		}
	}
	e.open.by = min(e.open.by, m.deadline)
	a, give := s.fly(m, e), m.deadline-s.now
	if !s.set.MayCancel && m.class.Effect != Unsafe {
		give = min(give, 2*s.stuckAfter(e.dest, m)) // nothing can be called off here: let it time out
	}
	s.do(CallOut{ID: a.m.id, GiveUp: give, Endpoint: e.id})
	s.at(s.now + s.stuckAfter(e.dest, m) + 1) // looked at in time even if nothing else happens until then
}

// ---- Rules gate ----------------------------------------------------------------------

// gate says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) gate(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.over || m.out != nil: // drain; one attempt at a time
		return false, never
	case s.now < max(e.lane.until, m.rest): // told wait
		return false, max(e.lane.until, m.rest)
	case s.set.MaxTries > 0 && m.tries >= s.set.MaxTries:
		return false, never
	case m.deadline-s.now <= max(s.usual(m), 2*s.set.Tick): // median gate
		return false, never
	}
	if s.closeAt != 0 && s.now+s.lasts(m, e) > s.closeAt { // it stays in the journal for the next start
		return false, never
	}
	if l := m.line; l != nil { // order of its key
		if l.q[0] != m {
			return false, never
		}
		if s.now < l.quiet && l.by != m {
			return false, l.quiet
		}
	}
	if m.mayRun { // effect
		c := m.class
		switch {
		case c.Effect == Unsafe:
			return false, never
		case c.Effect == Keyed && (c.ByZone && e.zone != m.mayZone ||
			s.now > m.firstMay+c.Window-s.set.Tick):
			return false, never
		}
	}
	if s.joins(m, e) {
		return true, 0
	}
	if s.busy >= s.set.Slots || e.lane.inflight >= (s.set.Slots+1)/2 { // slots
		return false, never
	}
	if at := s.health(m, e); at > s.now {
		return false, at
	}
	if at := s.budget(e); at > s.now {
		return false, at
	}
	if at := s.paced(e.lane); at > s.now {
		return false, at
	}
	return true, 0
}

// lasts is the time that an attempt needs before this sender stops. One that is cut off by the stop is resent
// if its class allows it, but an unsafe one is lost.
func (s *Sender) lasts(m *msg, e *endpoint) Micros {
	if h := &e.dest.hist; m.class.Effect != Unsafe && h.total >= minWeight {
		return h.p95
	}
	return s.stuckAfter(e.dest, m)
}

// health holds messages back from an endpoint that seems out: single trials only, unsafe messages last.
func (s *Sender) health(m *msg, e *endpoint) Micros {
	if e.suspect {
		switch {
		case e.inflight > 0 || s.onTrial() >= max(1, s.set.Slots*2/3):
			return never
		case m.class.Effect == Unsafe && s.now < m.first+m.class.Aim:
			return m.first + m.class.Aim
		}
		return e.trialAt
	}
	if m.class.Effect == Unsafe && e.bad > badUnsafe && s.now < m.first+m.class.Aim {
		return m.first + m.class.Aim
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inflight > 0 && e.lane == e.dest.lane {
		for _, x := range e.dest.eps {
			if x.suspect && x.lastBad > e.lastOK {
				return never
			}
		}
	}
	return 0
}

// budget keeps what goes to a destination after an outage under this sender's share of what topples it. The
// endpoints of a lane that are cold share one budget: the lane falls over as a whole.
func (s *Sender) budget(e *endpoint) Micros {
	if e.cold && !e.suspect && s.now >= e.backAt+s.set.WarmAfter {
		e.cold = false
	}
	if !e.cold && !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		return x.cold && x.lane == e.lane && x.lastBad > e.well // e did not answer while x was out
	}) {
		return 0
	}
	// Each cold endpoint counts by the time since its return; one that is out still, as if it returned now; and
	// e, if it was not tried meanwhile, as the coldest.
	ups, least, cold, last, long := 0.0, 1.0, 0, []Micros(nil), s.set.FallWindow
	for _, x := range e.dest.eps {
		if (!x.cold && x != e) || x.lane != e.lane {
			continue
		}
		cold++
		last = append(last, x.sent...)
		if x.cold {
			up := 0.0
			if !x.suspect {
				up = min(1, seconds(s.now-x.backAt)/seconds(s.set.WarmAfter))
			}
			ups, least = ups+up, min(least, up)
		}
	}
	if !e.cold {
		ups += least
	}
	c := s.capacity(e) * float64(cold)
	share := s.set.ColdFrom + (1-s.set.ColdFrom)*ups/float64(cold)
	k := s.set.FallMultiple * share * seconds(long)
	most := k * c / float64(s.set.Senders)
	slices.Sort(last)
	if most < 1 {
		// Many senders: our share is that of our messages among all since the outage began, which add up however
		// many saw it; and one call goes in a longer span, at a time of our own.
		own := sendAgain * float64(e.dest.came) / seconds(s.now-e.dest.downAt+outage)
		if e.lane != e.dest.lane {
			own /= float64(len(e.dest.eps))
		}
		most = max(most, k*min(own, c/2))
		long = Micros(float64(long) / min(most, 1))
		at := max(e.lane.until, e.dest.downAt)
		if n := len(last); n > 0 {
			at = max(at, last[n-1]+long/2)
		}
		if most < 1 {
			return at + Micros(e.lane.phase*float64(long))
		}
	}
	if n := since(last, s.now-long); float64(n+1) > most {
		return last[len(last)-n] + long + 1
	}
	return 0
}

// capacity is a low guess of the calls a second that an endpoint takes.
func (s *Sender) capacity(e *endpoint) float64 {
	c := e.lane.limit
	if c == 0 {
		c = max(e.lane.peak, paceFloor)
	} else if s.set.Weights == WeightsRough && !e.lane.told {
		c /= 1.5
	}
	if e.lane == e.dest.lane {
		c /= float64(max(len(e.dest.eps), 1))
	}
	return c
}

// ---- Pace ----------------------------------------------------------------------------

// paced says when the lane may take its next call.
func (s *Sender) paced(l *lane) Micros {
	r := l.pace
	if l.limit > 0 { // where a limit is told, it bounds the pace from the start
		lim := l.limit
		if s.set.Weights == WeightsRough && !l.told {
			lim *= 1.5
		}
		if r == 0 || r > lim {
			r = lim
		}
	}
	if r == 0 {
		return 0
	}
	l.tokens = min(l.tokens+r*seconds(s.now-l.filled), max(1, r*seconds(s.set.Save)))
	l.filled = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-l.tokens)/r*float64(Second)) + 1
}

// refused slows a lane down: the pace starts at the last second's rate and is halved at most once a second.
func (s *Sender) refused(l *lane) {
	if s.now < l.halved+paceSpan && l.pace > 0 {
		return
	}
	switch f := s.floor(l); {
	case s.many && f < paceFloor && l.until <= s.now: // many: rest, or all that come keep the limit used up
		l.pace = max(f, 1/seconds(shyMost))
	case s.many && f < paceFloor || l.pace == 0:
		l.pace = max(f, float64(since(l.sent, s.now-paceSpan)))
	default:
		l.pace = max(f, l.pace/2)
	}
	l.halved = s.now
	s.paced(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.until > s.now {
		l.filled, l.tokens = l.until, l.tokens+0.5
	}
}

// floor is one call a second, but no more than an even share of a limit that is told: with many senders at a
// destination that counts refused calls, floors alone would use the limit up.
func (s *Sender) floor(l *lane) float64 {
	if l.limit > 0 {
		return min(paceFloor, l.limit/float64(s.set.Senders))
	}
	return paceFloor
}

func (s *Sender) creep(l *lane) {
	if l.pace == 0 {
		return
	}
	l.pace += paceCreep * max(l.pace, l.limit/float64(s.set.Senders))
	if s.many && s.floor(l) < paceFloor || l.pace > paceFree*float64(since(l.sent, s.now-paceSpan)+1) {
		l.pace = 0
	}
}

// ---- Restart time τ ------------------------------------------------------------------

var edges = func() (e [binCount]Micros) {
	x := float64(binBase)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

func (h *hist) add(now, took Micros, cut bool) {
	f := math.Exp2(-float64(now-h.at) / float64(halfLife))
	h.at = now
	for i := range h.w {
		h.w[i] *= f
	}
	h.total, h.cuts = h.total*f, h.cuts*f
	if cut {
		h.cuts++
	} else {
		h.w[bin(took)]++
		h.total++
	}
	h.update()
}

// update finds τ, the edge with the least mean time to an answer under unlimited restarts, and percentiles.
func (h *hist) update() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.cuts, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range edges {
		low := Micros(0)
		if i > 0 {
			low = edges[i-1]
		}
		m0 += h.w[i]
		m1 += h.w[i] * float64(low+edge) / 2
		if h.median == 0 && m0 >= h.total/2 {
			h.median = edge
		}
		if h.p95 == 0 && m0 >= 0.95*h.total {
			h.p95 = edge
		}
		if m0 == 0 {
			continue
		}
		p := m0 / all
		wait = (m1/all + float64(edge)*(1-p)) / p
		if wait < best {
			best, bestAt = wait, edge
		}
	}
	if h.total >= tauWeight && best < tauGain*wait {
		h.tau = bestAt
	}
}

// stuckAfter is the time after which an unanswered call speaks for an outage.
func (s *Sender) stuckAfter(d *dest, m *msg) Micros {
	h := &d.hist
	if h.total < minWeight {
		h = &s.byClass[m.ci]
	}
	if h.total < minWeight {
		return stuckBlind
	}
	return max(Micros(stuckTimes*float64(h.p95)), 3*h.median, stuckLeast)
}

// cutLong calls off attempts at τ, and those that hang at an endpoint that answers nothing.
func (s *Sender) cutLong() {
	var oldest *attempt
	for _, a := range s.flying {
		if a.cancelled || a.m.flows {
			continue
		}
		e, age := a.ep, s.now-a.at
		stuck := s.stuckAfter(e.dest, a.m)
		if !a.stuck && e.lastOK < a.at {
			if a.stuck = age > stuck; a.stuck {
				// No outcome yet, so nothing is known to have failed: hold back, but set no budget.
				s.suspect(e, "silent")
			}
		}
		if !a.late && age > patience*stuck {
			// Ours: a call still out past what is usual counts as lasting past τ until it answers. Else lost
			// answers, with all others quick, never show in the histogram and hold slots to their deadline.
			a.late = true
			e.dest.hist.add(s.now, age, true)
			s.byClass[a.m.ci].add(s.now, age, true)
		}
		if age <= patience*stuck {
			s.at(a.at + 1 + stuck*Micros(1+min(age/max(stuck, 1), patience-1)))
		}
		if a.m.over || !s.set.MayCancel {
			continue
		}
		if a.m.class.Effect == Unsafe {
			if age > patience*stuck && (oldest == nil || a.at < oldest.at) {
				oldest = a
			}
			continue
		}
		long := stuck << a.m.cuts
		if a.stuck && e.suspect && (age > patience*long || age > long && s.elsewhere(e)) {
			a.m.cuts = min(a.m.cuts+1, maxCuts)
			s.cancel(a)
			continue
		}
		h := &e.dest.hist
		if h.total < tauWeight {
			h = &s.byClass[a.m.ci]
		}
		if h.tau > 0 && s.mayRestart(a) {
			limit := max(h.tau<<a.m.cuts, long)
			if age > limit {
				a.cut = true
				a.m.cuts++
				s.cancel(a)
			} else {
				s.at(a.at + limit + 1)
			}
		}
	}
	// An unsafe call cannot be sent again, so it may wait; but not with the last slot, while others could go.
	if oldest != nil && s.busy >= s.set.Slots && s.set.Slots > 0 {
		for _, m := range s.held {
			if m.out == nil && m.dest != oldest.m.dest {
				s.cancel(oldest)
				break
			}
		}
	}
}

// mayRestart: a restart must have attempts and time left, and must not add to the load of a destination that
// refuses or recovers, unless the call holds one of the last slots.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.m, a.ep
	if m.cuts >= maxCuts || s.set.MaxTries > 0 && m.tries >= s.set.MaxTries {
		return false
	}
	if s.busy < s.set.Slots && (e.lane.pace > 0 || e.cold) {
		return false
	}
	if m.class.Effect == Keyed && s.now > m.firstMay+m.class.Window-Second {
		return false
	}
	return m.deadline-s.now > 2*max(s.usual(m), e.dest.hist.tau)
}

// ---- Outcomes ------------------------------------------------------------------------

func (s *Sender) reply(r Reply) {
	m := s.msgs[r.ID]
	if m == nil || m.out == nil || m.out.n != r.Attempt {
		return
	}
	a, e := m.out, m.out.ep
	lastOfCall := s.landed(a)
	x := s.turned[e.dest.kind] * (1 - turnAlpha)
	if r.Outcome == Full {
		x += turnAlpha
	}
	s.turned[e.dest.kind] = x
	s.report(e, r.Load)
	if r.Wait > 0 { // an answer to several messages may tell one beside those that were delivered
		e.lane.until = max(e.lane.until, s.now+r.Wait)
	}
	if r.Outcome == Completed || r.Outcome == Full || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome != Full && r.Outcome != RefusedConn && r.Outcome != Moot {
		m.mayRun = true
	}
	if m.line != nil && (r.Outcome == Overdue || r.Outcome == Severed || r.Outcome == Recalled) {
		m.line.quiet, m.line.by = max(m.line.quiet, s.now+s.set.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*hist{&e.dest.hist, &s.byClass[m.ci]} {
			if a.late {
				h.cuts--
			}
			h.add(s.now, r.Took, false)
		}
		e.slow += badAlpha * (float64(r.Took) - e.slow)
		if e.slow == 0 {
			e.slow = float64(r.Took)
		}
		s.succeeded(e, a.at)
		s.creep(e.lane)
	case Full:
		if lastOfCall { // a batch is one call: one refusal
			s.full(e, r.Wait)
		}
		if s.many && s.floor(e.lane) < paceFloor && !r.NoMore && !m.over {
			s.again(m, e)
		}
	case Recalled, Overdue:
		if a.cut {
			if !a.late {
				e.dest.hist.add(s.now, s.now-a.at, true)
			}
			e.slow += badAlpha * max(0, float64(s.now-a.at)-e.slow)
		} else if a.stuck && e.lastOK < a.at {
			s.failed(e, "silent")
		}
	case Spoilt: // from any endpoint alike, so it tells nothing of health unless nothing else comes
		if e.spoilt++; e.spoilt >= spoiltDown {
			s.failed(e, "spoilt answers")
		}
	case RefusedConn:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-lately {
			s.failed(e, "refuses connections")
		}
	case Severed:
		// A connection that breaks may be at fault itself: one that was kept too long, a box in between. An
		// endpoint that is down breaks all, and takes no new ones.
		if e.resets++; e.resets >= resetsDown || e.suspect {
			s.failed(e, "resets")
		}
		m.rest = s.now + errorRest
	case Errored:
		s.failed(e, "errors")
		m.rest = s.now + errorRest<<min(m.tries, 5)
	}
	// Connections of many senders, idle ones counted, fill an endpoint: those that we use rarely are given back,
	// unless new ones are dear.
	e.warm = s.now + s.set.ConnIdle
	if n := len(e.sent); s.many && s.set.ConnPrice < dearConn && e.inflight == 0 &&
		(n < 2 || s.now-e.sent[n-2] > reuse) {
		e.warm = s.now
		s.do(Release{e.id})
	}
	if r.NoMore || m.over {
		s.close(m)
		return
	}
	s.endIfStuck(m)
}

// again decides on a refused message where the floors of all senders add up past the limit. Calls tried
// again, by clients too, use up limits that count refusals. While the kind turns few away, a message rests
// for a part of its time left, so that clumps spread; with more, only the worthier do.
func (s *Sender) again(m *msg, e *endpoint) {
	x := s.turned[e.dest.kind]
	if x > turnShare*m.class.Worth/s.meanWorth {
		s.do(Fail{ID: m.id})
		s.close(m)
		return
	}
	part := (restPart + x) * (0.5 + s.rng.Float64())
	m.rest = max(s.now, e.lane.until) + Micros(part*float64(m.deadline-s.now))
}

// succeeded notes an answer to what was sent at a time. One sent before the last failure tells nothing of a
// return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) succeeded(e *endpoint, sent Micros) {
	if e.suspect && sent < e.lastBad {
		return
	}
	if e.suspect {
		s.log("endpoint %d answers again", e.id)
		e.suspect, e.backAt = false, s.now
		e.trialGap = 0
	}
	// An answer while a sibling is out shows that e is well; one after its return may be of the return itself.
	if !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		return x.cold && !x.suspect && x.lane == e.lane && x.lastBad > e.well
	}) {
		e.well = max(e.well, sent)
	}
	e.lastOK = s.now
	e.fails, e.fulls, e.spoilt, e.lane.fulls = 0, 0, 0, 0
	e.bad *= 1 - badAlpha
}

// failed notes a sign of an outage at e: an error, a reset, no connection or no answer.
func (s *Sender) failed(e *endpoint, how string) {
	e.fails++
	e.lastBad = s.now
	e.bad += badAlpha * (1 - e.bad)
	if e.fails >= 2 || e.bad > badShare || how != "errors" {
		s.takeOut(e, how)
	}
}

// full notes a refusal; refusals in a row over longer than a limit's window, or a long told wait, mean shut.
// While the last report says that the limit is used up, only the latter does.
// Many senders come too rarely to tell by four: those that were refused twice would topple what opens again.
func (s *Sender) full(e *endpoint, wait Micros) {
	s.refused(e.lane)
	e.fulls++
	l := e.lane
	if l.fulls++; l.fulls == 1 {
		l.firstFull = s.now
	}
	if e.suspect || wait > longWait || !l.spent && (l.fulls >= fullsDown || s.many && l.fulls > 1) &&
		s.now-l.firstFull > fullsSpan {
		e.lastBad = s.now
		s.takeOut(e, "refuses all")
	}
}

// takeOut takes an endpoint for out: from now on single trials, and after its return a budget.
func (s *Sender) takeOut(e *endpoint, how string) {
	s.suspect(e, how)
	if !e.cold {
		e.cold = true
		e.dest.came, e.dest.downAt = 1, s.now
	}
}

func (s *Sender) suspect(e *endpoint, how string) {
	if !e.suspect {
		s.log("endpoint %d out: %s", e.id, how)
		e.suspect, e.trialGap, e.trialAt = true, trialGap, s.now+trialGap
	}
}

func (s *Sender) backOff(e *endpoint) {
	e.trialGap = min(2*max(e.trialGap, trialGap), trialMost)
	e.trialAt = s.now + e.trialGap*Micros(80+s.rng.IntN(40))/100
}

// ---- Endings -------------------------------------------------------------------------

// end is the one place where a message ends by our word: refused if no attempt may have run, else failed.
func (s *Sender) end(m *msg) {
	if m.over {
		return
	}
	if m.mayRun || m.out != nil {
		s.do(Fail{ID: m.id})
		if m.out != nil {
			s.cancel(m.out)
		}
	} else {
		s.do(Refuse{ID: m.id, RetryIn: s.advice()})
	}
	s.close(m)
}

// advice tells a client when to come again: as late as it heeds, since what turned it away lasts.
func (s *Sender) advice() Micros {
	if !s.set.RetryAfter {
		return 0
	}
	return s.set.MaxRetryAfter
}

// resume takes up a message where a restart cut it off: its attempts count, and one without an outcome may
// have run. What may not be sent again ends at once.
func (s *Sender) resume(m *msg, p Past) {
	if p.Tries == 0 {
		return
	}
	m.tries = p.Tries
	if m.mayRun = p.MayRun; m.mayRun {
		m.firstMay, m.mayZone = s.now-p.Age, p.Zone
	}
	s.endIfStuck(m)
}

// endIfStuck ends a message that no further attempt can help.
func (s *Sender) endIfStuck(m *msg) {
	c := m.class
	switch {
	case m.out != nil || m.over:
	case m.mayRun && c.Effect == Unsafe,
		s.set.MaxTries > 0 && m.tries >= s.set.MaxTries,
		m.mayRun && c.Effect == Keyed && s.now > m.firstMay+c.Window-s.set.Tick:
		s.end(m)
	}
}

// endHopeless ends messages whose time is nearly up: unsent ones at a usual call's time before the deadline.
func (s *Sender) endHopeless() {
	last := 2 * max(s.set.Tick, 1000)
	for _, m := range slices.Clone(s.held) {
		if m.flows {
			continue
		}
		left := m.deadline - s.now
		need := last
		if m.out == nil {
			need = max(need, s.usual(m))
			if m.mayRun && m.class.Effect == Keyed {
				left = min(left, m.firstMay+m.class.Window-s.now)
			}
		}
		if left <= need {
			s.end(m)
			continue
		}
		s.at(s.now + left - need)
	}
}

// ---- Timers and age ------------------------------------------------------------------

// ageOut drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) ageOut(d *dest) {
	if s.now-d.used > idleAge && d.lane.inflight == 0 {
		d.hist, d.lane.pace = hist{}, 0
	}
	d.used = s.now
}

// arm sets a timer for the next thing to be done, unless one that goes off by then is out.
func (s *Sender) arm() {
	if s.wake == never {
		return
	}
	s.wake = max(s.wake, s.now+max(s.set.Tick, 1000))
	if s.timer > s.now && s.timer <= s.wake {
		return
	}
	s.timer = s.wake
	s.do(SetTimer{Wait: s.wake - s.now, Token: uint64(s.step)})
}
