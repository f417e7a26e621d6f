package logic

// Decisions on the list, the queue and endings, and all tuned values; others are in gate.go, outcomes.go,
// the interface in logic/types.go. Marked "design": from the design page; marked "ours": our own.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cometrack/internal/permit"
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
	shareMost = 1.5        // ours: of a told limit, a sender takes so many times its even share at most
	shareFull = 0.8        // ours: part of its share that the first refusal leaves a thin lane, less ...
	shareHalf = 0.5        // ours: ... the thinner it is under so many calls a second, ...
	shareDown = 0.5        // ours: ... down to this, the factor of each further one
	shareBack = 0.4        // ours: part of what is missing to the share that a success gives back
	shareOver = 0.02       // ours: part of the share that it adds past that
	shareLow  = 0.1        // ours: and the least part of its share that this leaves

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
	reuse       = Second       // ours: an endpoint called less often than this shares its connections
	dearConn    = 0.05         // ours: price of a connection with each message above which none is given back
	manySenders = 16           // ours: more than this, one idle connection each, may fill an endpoint
	resetsDown  = 3            // ours: connections that break in a row, no answer between, look like an outage
	lately      = Second       // ours: one refused connection does not, if an answer came so shortly before
	spoiltDown  = 4            // ours: spoilt answers in a row that look like an outage
	errorRest   = 100_000      // ours: pause of a message after an error, doubled with each try

	tellHealth = Second      // ours: least time between two memories of one destination, after changes of health
	tellRest   = 10 * Second // ours: and after others

	quotaHalf  = 5 * Second // ours: half-life of a tenant's rate
	lossAhead  = Second     // ours: loss of worth within this sets who goes first
	leastUsual = 10_000     // ours: a call takes this at least
	lookMost   = 256        // ours: destinations that a step looks at; the others come first in the next
	shedLook   = 64         // ours: of more, so many of so many groups
	shedAll    = 2048       // ours: up to so many that wait, the hold is made room in by looking at all
	owedFirst  = 1e15       // ours: above any worth and any deadline
	lateLess   = 0.4        // ours: weight of what is late already, beside what can be in time still
	holdHalf   = 0.7        // ours: share of the hold above which messages that the pace cannot send in time end
	lateEnd    = 0.3        // ours: before this part of its time is left, what was taken on is not among them
	holdFull   = 0.9        // ours: share of the hold above which the least worthy are refused
	askMost    = 5_400_000  // ours: longest from a call for the list that failed to the next; told is 6 s
	askEarly   = 0.4        // ours: part of it that chance takes off the first time; later, an eighth of that
	logMost    = 200        // ours: log lines in a life
	never      = Micros(math.MaxInt64)
	longAgo    = Micros(math.MinInt64 / 2)
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	s := &Sender{rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64, askAt: never,
		askEarly: askEarly, newsAt: never,
		eps: map[EndpointID]*endpoint{}, dests: map[int64]*dest{}, msgs: map[string]*msg{},
		keys: map[string]*keyLine{}}
	if set.OnRequest {
		s.askAt = math.MinInt64
	}
	s.retune(set)
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
		// Asked in vain or subscription broken: ask again before it counts as told, and not when all others do.
		s.askAt = s.now - ev.Took + Micros((1-s.askEarly*s.rng.Float64())*float64(s.askMost))
		s.askEarly = askEarly / 8 // they are apart by now
		return
	}
	if s.askAt == never {
		s.askEarly = askEarly
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
	s.touch(d)
	d.kind = row.Kind
	if e == nil || e.dest != d {
		if e != nil {
			s.unlist(e)
		}
		e = &endpoint{id: row.Endpoint, dest: d, lane: d.lane, state: Gone}
		e.lastOK, e.lastBad, e.lastSent = longAgo, longAgo, longAgo
		e.well, e.good, e.doubt = longAgo, longAgo, longAgo
		if s.kind(d).Apart {
			e.lane = &lane{dest: d}
		}
		s.eps[e.id] = e
		s.inherit(e)
	}
	if e.state == Gone {
		d.eps = append(d.eps, e)
		if len(d.eps) > 1 {
			d.next = s.rng.IntN(len(d.eps))
		}
	}
	e.zone, e.state = row.Zone, row.State
	if s.set.Weights != WeightsOff && row.Nominal > 0 && !e.lane.told {
		if e.lane.limit == 0 && row.Nominal < paceFloor*float64(s.set.Senders) {
			e.lane.tokens, e.lane.filled = 1, s.now // thin: one call at the start, not after a span
		}
		e.lane.limit = row.Nominal
	}
}

// inherit takes a machine that joins a destination in trouble for as cold as the others: what topples it is
// shared.
func (s *Sender) inherit(e *endpoint) {
	for _, x := range e.dest.eps {
		if s.isCold(x) && e.lane == x.lane {
			e.cold, e.suspect, e.backAt, e.trialAt, e.lastBad = true, x.suspect, x.backAt, x.trialAt, x.lastBad
		}
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
	if m.owed { // before all else, the first to run out of time first: so most are tried
		return owedFirst - float64(m.deadline)
	}
	u := max(s.usual(m), leastUsual)
	soon := s.value(m, s.now+u)
	loss := soon - s.value(m, s.now+u+lossAhead)
	if s.value(m, s.now) < m.class.Worth {
		loss *= lateLess
	}
	return m.share * (loss + 0.02*soon) / (float64(u) * m.dest.load)
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

// usual is the median served latency of m's destination, else of its class; blind if neither is known.
func (s *Sender) usual(m *msg) Micros {
	if m.owed { // a restart found it untried: it is tried however little time is left
		return blind
	}
	if m.dest.hist.total >= minWeight {
		return m.dest.hist.median
	}
	if h := m.seen; h.total >= minWeight {
		return h.median
	}
	return blind
}

// shed makes room in a hold that has little: what the pace cannot send in time ends, paces and limits come
// back; and the least worthy, rather than that new messages are turned away unseen.
func (s *Sender) shed(sent []*msg) {
	if s.crowd() <= holdHalf {
		return
	}
	q := s.judged()
	for _, m := range q {
		p := s.destPace(m.dest)
		late := m.step == s.step || !m.owed && m.deadline-s.now < Micros(lateEnd*float64(m.span)) // or just come
		if late && p > 0 && m.ahead/p > seconds(m.deadline-s.now-s.usual(m)) && s.crowd() > holdHalf {
			s.end(m)
		}
	}
	if len(q) == 0 || s.crowd() <= holdFull {
		return
	}
	least := q[len(q)-1]
	behind := func(m *msg) bool { return sooner(least, m) < 0 }
	if !least.mayRun && !least.owed && !slices.ContainsFunc(sent, behind) {
		s.end(least)
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
			d.again = min(d.again, at)
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
		if r < rank || r == rank && e.lane != d.lane && e.due+e.lane.limit > pick.due+pick.lane.limit+1e-9 {
			rank, pick = r, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && rank > 0 {
		d.next = (slices.Index(d.eps, pick) + 1) % len(d.eps)
	}
	if pick.lane != d.lane {
		sum := 0.0
		for _, e := range d.eps {
			sum += e.lane.limit
			e.due += e.lane.limit
		}
		pick.due -= sum
	}
	s.launch(m, pick)
	return true
}

func (s *Sender) launch(m *msg, e *endpoint) {
	if !s.joins(m, e) {
		e.open = &call{step: s.step, by: m.deadline}
		s.busy++
		s.settle(e.lane)
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
		s.do(Refuse{ID: m.id, RetryIn: s.set.MaxRetryAfter}) // as late as a client heeds: what turned it away lasts
	}
	s.close(m)
}

// resume takes up a message where a restart cut it off: its attempts count, and one without an outcome may
// have run. What may not be sent again ends at once.
func (s *Sender) resume(m *msg, p Past) {
	if p.Tries == 0 {
		return
	}
	m.tries = p.Tries
	if m.mayRun = p.MayRun; m.mayRun || p.Out != nil {
		m.firstMay, m.mayZone = s.now-p.Age, p.Zone
	}
	if p.Out != nil && s.adopt(m, p) {
		return
	}
	if p.Over {
		s.close(m)
		return
	}
	m.mayRun = m.mayRun || p.Out != nil
	s.endIfStuck(m)
}

// endIfStuck ends a message that no further attempt can help.
func (s *Sender) endIfStuck(m *msg) {
	if m.out == nil && !m.over && s.permitted(m, nil).Final() {
		s.end(m)
	}
}

// leastLeft is the least time before its end at which a message may be sent: a process may be held up right
// before it writes.
const leastLeft = Micros(permit.LeastLeft / time.Microsecond)

// needs is the time before its end at which a message is hopeless: a usual call's, if none is out.
func (s *Sender) needs(m *msg) Micros {
	last := 2 * max(s.set.Tick, 1000)
	if m.out != nil {
		return last
	}
	return max(last, s.usual(m), leastLeft)
}

// endHopeless ends messages whose time is nearly up, in the order in which they came.
func (s *Sender) endHopeless() {
	groups, q := s.ring(), []*msg(nil)
	for _, a := range s.flying {
		if m := a.m; !m.over && !m.flows {
			if left := m.deadline - s.now - s.needs(m); left > 0 {
				s.at(s.now + left)
			} else {
				q = append(q, m)
			}
		}
	}
	for _, g := range groups {
		s.refresh(g)
		for p := (place{}); p.chunk < len(g.ends.chunks); p = g.ends.next(p) {
			x, _ := g.ends.get(p)
			if x.at-s.now > s.needs(x.m) {
				break
			}
			q = append(q, x.m)
		}
	}
	slices.SortFunc(q, func(a, b *msg) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range q {
		s.end(m)
	}
}

// ---- Timers and age ------------------------------------------------------------------

// ageOut drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) ageOut(d *dest) {
	if s.now-d.used > idleAge && d.lane.inflight == 0 {
		d.hist, d.lane.pace = hist{}, 0
		s.refreshAll(d)
	}
	d.used = s.now
}

// arm sets a timer for the next thing to be done, unless one that goes off by then is out.
func (s *Sender) arm() {
	if at := s.alarms.next(); at < never {
		s.at(at + 1) // destinations are looked at from the instant before
	}
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
