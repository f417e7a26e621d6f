package logic

// Whether and when a message may go to an endpoint: rules, health, budgets, paces. Values are in logic.go.

import (
	"math"
	"slices"
	"time"

	"cometrack/internal/permit"
)

// ---- Rules gate ----------------------------------------------------------------------

// gate says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) gate(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || s.permitted(m, e) != permit.Granted: // drain; rules of the message
		return false, never
	case s.now < max(e.lane.until, m.rest): // told wait
		return false, max(e.lane.until, m.rest)
	case m.deadline-s.now <= max(s.usual(m), 2*s.set.Tick): // median gate
		return false, never
	case s.closeAt != 0 && s.now+s.lasts(m, e) > s.closeAt: // it stays in the journal for the next start
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
	if s.joins(m, e) {
		return true, 0
	}
	if o := e.open; o != nil && o.step == s.step && o.n < s.kind(e.dest).Batch { // it would travel in that one
		return false, s.now + 1
	}
	if e.shy() && m.class.Effect == Unsafe && s.now < m.first+m.class.Aim { // unsafe messages last
		return false, m.first + m.class.Aim
	}
	at := s.door(e)
	return at <= s.now, at
}

// permitted says whether the rules of m allow it another attempt now, at e or, if that is nil, at any
// endpoint.
func (s *Sender) permitted(m *msg, e *endpoint) permit.Reason {
	x := permit.Message{Ended: m.over, Out: m.out != nil, Attempts: m.tries, MaxAttempts: m.most,
		Left: span(m.deadline - s.now)}
	if c := m.class; m.mayRun {
		x.Repeat = permit.Repeat{MayHaveRun: true, Effect: c.Effect, Window: span(c.Window),
			Age:       span(s.now - m.firstMay + s.set.Tick),
			OtherZone: c.ByZone && e != nil && e.zone != m.mayZone}
	}
	return permit.Send(x)
}

func span(t Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// door says when e may take a call, whatever the message: a time that is past if now, never if nobody knows.
func (s *Sender) door(e *endpoint) Micros {
	switch {
	case e.state != Ready:
		return never
	case s.now < e.lane.until:
		return e.lane.until
	case s.busy >= s.set.Slots || e.lane.inflight >= (s.set.Slots+1)/2: // slots
		return never
	}
	if at := s.health(e); at > s.now {
		return at
	}
	if at := s.budget(e); at > s.now {
		return at
	}
	return s.paced(e.lane)
}

// shy says that an endpoint fails too often for unsafe messages, which go elsewhere while they are in time.
func (e *endpoint) shy() bool { return e.suspect || e.bad > badUnsafe }

// shy says that none of d's endpoints that would take a call is good enough for unsafe messages, and none
// takes them along in one.
func (s *Sender) shy(d *dest) bool {
	return !slices.ContainsFunc(d.eps, func(e *endpoint) bool {
		return !e.shy() && s.door(e) <= s.now || e.open != nil && e.open.step == s.step
	})
}

// crowded says that trials hold the slots that they may.
func (s *Sender) crowded() bool { return s.onTrial() >= max(1, s.set.Slots*2/3) }

// lasts is the time that an attempt needs before this sender stops. One that is cut off by the stop is resent
// if its class allows it, but an unsafe one is lost.
func (s *Sender) lasts(m *msg, e *endpoint) Micros {
	if h := &e.dest.hist; m.class.Effect != Unsafe && h.total >= minWeight {
		return h.p95
	}
	return s.stuckAfter(e.dest, m)
}

// health holds messages back from an endpoint that seems out: single trials only.
func (s *Sender) health(e *endpoint) Micros {
	switch {
	case e.suspect && (e.inflight > 0 || s.crowded()):
		return never
	case e.suspect:
		return e.trialAt
	case e.inflight > 0 && e.doubt > e.good: // others say that it is out: singly, until an answer
		return never
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
		return s.isCold(x) && x.lane == e.lane && x.lastBad > e.well // e did not answer while x was out
	}) {
		return 0
	}
	if s.now < e.dest.restTo {
		return e.dest.restTo
	}
	// Each cold endpoint counts by the time since its return; one that is out still, as if it returned now; and
	// those not tried meanwhile, e itself or such as drain, as the coldest.
	ups, least, tried, cold, last, long := 0.0, 1.0, 0.0, 0, []Micros(nil), s.set.FallWindow
	for _, x := range e.dest.eps {
		if (!s.isCold(x) && x != e) || x.lane != e.lane { // a mark on one that drains outlasts its cold
			continue
		}
		cold++
		last = append(last, x.sent...)
		if up := 0.0; x.cold {
			if !x.suspect {
				up = min(1, seconds(s.now-x.backAt)/seconds(s.set.WarmAfter))
			}
			if least = min(least, up); x.state == Ready {
				ups, tried = ups+up, tried+1
			}
		}
	}
	c := s.capacity(e) * float64(cold)
	share := s.set.ColdFrom + (1-s.set.ColdFrom)*(ups+least*(float64(cold)-tried))/float64(cold)
	k := s.set.FallMultiple * share * seconds(long)
	most := k * c / float64(s.set.Senders)
	slices.Sort(last)
	if most < 1 {
		// Many senders: ours is our messages' share of all since the outage began: one call in a longer span.
		most = max(most, k*min(sendAgain*s.asked(e.lane), c/2))
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

// paced says when the lane may take its next call. Asking changes nothing: what it has saved up counts by the
// pace that held while messages waited, else by the present one, however often somebody has asked.
func (s *Sender) paced(l *lane) Micros {
	r := s.rateOf(l)
	if r == 0 {
		return 0
	}
	tokens := s.saved(l, r)
	if tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-tokens)/r*float64(Second)) + 1
}

// rateOf is a lane's pace; where a limit is told, it bounds the pace from the start. 0 is free.
func (s *Sender) rateOf(l *lane) float64 {
	lim := l.limit
	if s.set.Weights == WeightsRough && !l.told {
		lim *= 1.5
	}
	if lim = min(lim, shareMost*lim/float64(s.set.Senders)); lim > 0 && (l.pace == 0 || l.pace > lim) {
		return lim
	}
	return l.pace
}

func (s *Sender) saved(l *lane, r float64) float64 {
	return min(l.tokens+r*seconds(s.now-l.filled), max(1, r*seconds(s.set.Save)))
}

// settle books what a lane has saved up.
func (s *Sender) settle(l *lane) {
	if r := s.rateOf(l); r > 0 {
		l.tokens, l.filled = s.saved(l, r), s.now
	}
}

// refused slows a lane: its pace starts at the last second's rate and halves at most once a second. Where an
// even share of the limit is under the floor (thin), refusals are rare and a pace starts at the share itself.
func (s *Sender) refused(l *lane) {
	if s.now < l.halved+paceSpan && l.pace > 0 {
		return
	}
	switch share := s.share(l); {
	case share < paceFloor && (l.pace == 0 || l.pace > shareFull*share):
		// The thinner, the later this sender learns more, and the more have been refused beside it unseen.
		l.pace = (shareDown + (shareFull-shareDown)*min(1, share/shareHalf)) * share
	case share < paceFloor:
		l.pace = max(shareDown*l.pace, shareLow*share)
	case l.pace == 0:
		l.pace = max(paceFloor, float64(since(l.sent, s.now-paceSpan)))
	default:
		l.pace = max(paceFloor, l.pace/2)
	}
	l.halved = s.now
	s.settle(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.until > s.now {
		l.filled, l.tokens = l.until, l.tokens+0.5
	}
}

// share is an even part of a limit that is told. Without one, among many senders it is what our messages ask
// for, as all ask for about what there is; among few there is no bound to it.
func (s *Sender) share(l *lane) float64 {
	switch {
	case l.limit > 0:
		return l.limit / float64(s.set.Senders)
	case s.many:
		return s.asked(l)
	}
	return math.Inf(1)
}

func (s *Sender) creep(l *lane) {
	if l.pace == 0 {
		return
	}
	share := s.share(l)
	if share >= paceFloor {
		l.pace += paceCreep * max(l.pace, min(share, l.limit))
	} else { // back to what is ours, the slower the nearer
		l.pace += shareBack*max(0, share-l.pace) + shareOver*share
	}
	if l.pace > shareMost*share ||
		share >= paceFloor && l.pace > paceFree*float64(since(l.sent, s.now-paceSpan)+1) {
		l.pace = 0
	}
}
