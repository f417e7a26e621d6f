package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// State of a Sender, and helpers that only keep it. What to do with it is decided in logic.go and beside.

// dest is a destination. Its lane is the limit that its endpoints share; routes apart have one each.
type dest struct {
	id     int64
	kind   int
	eps    []*endpoint // listed, in list order
	next   int         // rotation of first sends
	lane   *lane
	hist   hist
	used   Micros
	came   int     // messages since the last outage began, or in the last minutes
	downAt Micros  // when that was
	rank   float64 // messages ahead in the pass at hand
	load   float64 // calls out at the start of the pass, and one
	restTo Micros  // its cold endpoints rest until then after a restart

	noted, urgent bool   // it has news for a later process; of its health
	recalled      bool   // an earlier process's have been taken up
	toldAt        Micros // when they were last told

	groups              []*group // of what waits
	msgs, held, waiting int      // in the books; of these, not over; of these, not out
	active              bool     // the next step looks at it
	again               Micros   // when to look again, as far as the pass at hand has found
	shutIn, lookedIn    int      // the step in which nothing more could go; in which it was looked at
	wake                alarm
}

type lane struct {
	dest      *dest
	limit     float64 // calls a second for all senders, as told; 0 if not
	told      bool    // limit came in a report
	pace      float64 // 0: free
	halved    Micros
	tokens    float64
	filled    Micros
	spent     bool   // the last report tells that little of the limit is left
	until     Micros // told wait
	inflight  int
	fulls     int // in a row
	firstFull Micros
	sent      []Micros
	peak      float64
	phase     float64 // 0 to 1, drawn at each call: sets the next one apart from those of other senders
}

type endpoint struct {
	id                EndpointID
	zone              int
	state             Readiness
	dest              *dest
	lane              *lane
	sent              []Micros
	bad               float64
	fails, fulls      int // in a row
	spoilt, resets    int // in a row
	goneAt            Micros
	lastOK, lastBad   Micros
	well              Micros // when it was last known to be well for itself, a sibling being out
	good              Micros // when its last call was sent that was answered well
	doubt             Micros // when others last said something of it
	suspect           bool   // out, as far as we know
	cold              bool   // was out; budgeted until backAt+WarmAfter
	backAt            Micros
	trialAt, trialGap Micros
	turn              int // single trials are so many times rarer, as others try too; 0 for 1
	inflight          int
	slow              float64 // smoothed latency, microseconds
	due               float64 // routes apart: behind its part of the calls, by limits
	lastSent          Micros
	warm              Micros // an idle connection lasts until then
	open              *call
}

type call struct {
	step, n, left int
	by            Micros // the first of its messages runs out of time
}

type attempt struct {
	m         *msg
	n         int
	ep        *endpoint
	at        Micros
	call      *call
	cancelled bool
	cut       bool // cancelled at τ
	stuck     bool
	late      bool // counted as lasting past τ while it is out
}

type msg struct {
	id       string
	class    *Class
	seen     *hist   // latencies of its class
	most     int     // attempts; 0 for no limit
	share    float64 // part of its worth that it keeps by its tenant's quota
	dest     *dest
	seq      int
	step     int    // in which it came
	span     Micros // that it had then
	first    Micros // when it was first handed in
	deadline Micros
	tries    int
	owed     bool // a process before this one took it on, and no call of it has gone out yet
	cuts     int
	out      *attempt
	mayRun   bool
	firstMay Micros // send of the first attempt that may have run
	mayZone  int
	last     *endpoint
	rest     Micros
	line     *keyLine
	over     bool
	flows    bool
	prio     float64

	group    *group  // nil while it is out
	until    Micros  // until when it can wait
	stands   int     // where in its group
	ahead    float64 // messages of its destination that go first
	judgedIn int     // the step in which it was last listed among those that may have to make room
	alarm    *alarm  // while it rests
}

type keyLine struct {
	key   string
	q     []*msg
	quiet Micros
	by    *msg
}

// since counts the marks after t.
func since(marks []Micros, t Micros) int {
	n := 0
	for i := len(marks) - 1; i >= 0 && marks[i] > t; i-- {
		n++
	}
	return n
}

func trim(marks []Micros, keep Micros) []Micros {
	i := 0
	for i < len(marks)-1 && marks[i] < keep {
		i++
	}
	return marks[i:]
}

// Sender decides for one sender. Make it with New.
type Sender struct {
	set       Settings
	rng       *rand.Rand
	now       Micros
	step      int
	out       []Action
	eps       map[EndpointID]*endpoint
	dests     map[int64]*dest
	order     []*dest     // dests, in the order in which they became known
	gone      []*endpoint // off the list, not yet forgotten
	forgetAt  Micros
	msgs      map[string]*msg
	held      int // messages not over
	waiting   int // of these, those not out
	groups    []*group
	active    []*dest // to be looked at
	alarms    alarms
	came      []*msg   // in this step
	shedAt    int      // the group that is judged next, if they are many
	emptied   []string // keys that have had no message for a moment at least
	flying    []*attempt
	busy      int // slots in use
	seq       int
	byClass   map[string]*hist
	usage     []usage // by tenant
	keys      map[string]*keyLine
	wake      Micros  // when something is next to be done
	timer     Micros  // when the last timer set goes off; 0 if none is out
	askAt     Micros  // when to ask for the list; never if asked
	askJitter float64 // part of askAgain by which the next call for it may come earlier, by chance
	askAgain  Micros  // longest from one call for the list that fails to the next
	closeAt   Micros  // when this sender stops; 0 if it does not
	logs      int
	many      bool    // senders
	news      []*dest // to be remembered
	newsAt    Micros  // when the next of them is due
}

// retune takes up settings. What is known of classes and tenants goes by name; messages have theirs already.
func (s *Sender) retune(set Settings) {
	if set.BurstTime == 0 {
		set.BurstTime = paceSave
	}
	if !set.AdviseRetry {
		set.MaxRetryAfter = 0
	}
	if s.askAgain = askAgain; set.ListRetryWithin > 0 { // it may be four times that with the call
		s.askAgain = min(askAgain, 3*set.ListRetryWithin)
	}
	byClass, usage := map[string]*hist{}, make([]usage, len(set.Tenants))
	for _, c := range set.Classes {
		if byClass[c.Name] = s.byClass[c.Name]; byClass[c.Name] == nil {
			byClass[c.Name] = &hist{}
		}
	}
	for i, t := range set.Tenants {
		if j := slices.IndexFunc(s.set.Tenants, func(x Tenant) bool { return x.Name == t.Name }); j >= 0 {
			usage[i] = s.usage[j]
		}
	}
	s.set, s.byClass, s.usage, s.many = set, byClass, usage, set.Senders > manySenders
}

// hist is a discounted latency histogram.
type hist struct {
	w      [binCount + 1]float64 // the last bin holds what lasted past every edge
	total  float64
	cuts   float64
	at     Micros
	tau    Micros // 0: waiting is best
	median Micros
	p95    Micros
	shown  Micros // what Sender.learn took for usual the last time
}

func (s *Sender) do(a Action) { s.out = append(s.out, a) }

func (s *Sender) at(t Micros) { s.wake = min(s.wake, t) }

func (s *Sender) unlist(e *endpoint) {
	if e.state != Gone {
		s.gone = append(s.gone, e)
		s.leave(e)
	}
	e.state, e.goneAt = Gone, s.now
	s.touch(e.dest)
	e.dest.eps = slices.DeleteFunc(e.dest.eps, func(x *endpoint) bool { return x == e })
}

// forget drops what nothing refers to any more: endpoints that have long been off the list, destinations that
// have neither endpoints nor messages, keys at rest. Else they pile up over the life of a process.
func (s *Sender) forget() {
	if s.now < s.forgetAt {
		return
	}
	s.forgetAt = s.now + keepGone/8
	s.gone = slices.DeleteFunc(s.gone, func(e *endpoint) bool {
		if e.state != Gone {
			return true // it has come back
		}
		if s.now < e.goneAt+keepGone || e.inflight > 0 {
			return false
		}
		if s.eps[e.id] == e {
			delete(s.eps, e.id)
		}
		return true
	})
	used := map[*dest]bool{}
	for _, e := range s.gone {
		used[e.dest] = true
	}
	s.order = slices.DeleteFunc(s.order, func(d *dest) bool {
		if len(d.eps) > 0 || d.msgs > 0 || used[d] || s.now < d.used+idleAge {
			return false
		}
		delete(s.dests, d.id)
		s.alarms.set(&d.wake, never)
		return true
	})
	s.emptied = slices.DeleteFunc(s.emptied, func(key string) bool {
		l := s.keys[key]
		if l != nil && len(l.q) == 0 && s.now < l.quiet {
			return false
		}
		if l != nil && len(l.q) == 0 {
			delete(s.keys, key)
		}
		return true
	})
}

func (s *Sender) dest(id int64) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id, lane: &lane{}, used: s.now, toldAt: s.now, downAt: s.now}
		d.lane.dest = d
		s.dests[id] = d
		d.wake.d = d
		s.order = append(s.order, d)
	}
	return d
}

func (s *Sender) kind(d *dest) Kind {
	if d.kind >= 0 && d.kind < len(s.set.Kinds) {
		return s.set.Kinds[d.kind]
	}
	return Kind{}
}

// value is the worth of m if it is delivered at t.
func (s *Sender) value(m *msg, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	c := m.class
	late := float64(t - m.first - c.Aim)
	switch {
	case late <= 0:
		return c.Worth
	case s.set.ExponentialDecay:
		return c.Worth * max(c.LateWorth, math.Exp2(-late/float64(max(c.Aim, 1))))
	}
	return c.Worth * (1 - (1-c.LateWorth)*min(1, late/float64(max(c.Deadline-c.Aim, 1))))
}

// destPace is the pace of a destination over all its lanes; 0 if one of them is free.
func (s *Sender) destPace(d *dest) float64 {
	if !s.kind(d).Independent {
		return d.lane.pace
	}
	sum := 0.0
	for _, e := range d.eps {
		if e.lane.pace == 0 {
			return 0
		}
		sum += e.lane.pace
	}
	return sum
}

// asked is the messages a second that came for a lane since its last outage began, or in the last minutes.
func (s *Sender) asked(l *lane) float64 {
	own := float64(l.dest.came) / seconds(s.now-l.dest.downAt+outage)
	if l != l.dest.lane {
		own /= float64(max(len(l.dest.eps), 1))
	}
	return own
}

func bin(t Micros) int {
	i, _ := slices.BinarySearch(edges[:], t)
	return i
}

// report takes what an answer tells of the limit.
func (s *Sender) report(e *endpoint, load []float64) {
	if e.dest.waiting > 0 { // before the answer changes the pace
		s.settle(e.lane)
	}
	if e.lane.spent = false; load == nil {
		return
	}
	if i := s.set.RemainingIndex; i >= 0 && i < len(load) {
		e.lane.spent = load[i] < spentUnder
	}
	if i := s.set.LimitIndex; i >= 0 && i < len(load) && load[i] > 0 {
		e.lane.limit, e.lane.told = load[i], true
	}
}

// onTrial is the number of slots that calls to endpoints that seem out hold.
func (s *Sender) onTrial() (n int) {
	for _, a := range s.flying {
		if a.ep.suspect {
			n++
		}
	}
	return n
}

// seconds is a span as a number.
func seconds(t Micros) float64 { return float64(t) / float64(Second) }

// keepOnly takes off the list what is not among the entries.
func (s *Sender) keepOnly(rows []Entry) {
	in := map[EndpointID]bool{}
	for _, row := range rows {
		in[row.Endpoint] = true
	}
	for _, d := range s.order {
		for _, e := range slices.Clone(d.eps) {
			if !in[e.id] {
				s.unlist(e)
			}
		}
	}
}

// crowd is the share of the hold that is taken.
func (s *Sender) crowd() float64 {
	if s.set.MaxOpen == 0 {
		return 0
	}
	return float64(s.held) / float64(s.set.MaxOpen)
}

// log writes a line for the people on call, within the cap.
func (s *Sender) log(format string, args ...any) {
	if s.logs++; s.logs <= logMost {
		s.do(Log{fmt.Sprintf(format, args...)})
	}
}

// learnt tells others what this sender has found itself, if anybody asks for it.
func (s *Sender) learnt(e *endpoint, out bool) {
	if s.set.PublishHealth {
		s.do(HealthChange{Endpoint: e.id, Outage: out})
	}
}

// elsewhere says whether a sibling of e seems well.
func (s *Sender) elsewhere(e *endpoint) bool {
	for _, x := range e.dest.eps {
		if x != e && !x.suspect && x.state == Ready {
			return true
		}
	}
	return false
}

// take hands an event to the section that it concerns.
func (s *Sender) take(ev Event) {
	switch ev := ev.(type) {
	case Endpoints:
		s.list(ev)
	case NewMessage:
		s.accept(ev)
	case StreamStarted:
		if m := s.msgs[ev.ID]; m != nil && m.out != nil && m.out.n == ev.Attempt {
			m.flows = true
		}
	case AttemptResult:
		s.reply(ev)
	case ClientGone:
		if m := s.msgs[ev.ID]; m != nil && !m.over {
			s.close(m)
			if m.out != nil {
				s.cancel(m.out)
			}
		}
	case RequestedWait:
		if e := s.eps[ev.Endpoint]; e != nil {
			e.lane.until = max(e.lane.until, s.now+ev.Remaining)
			s.touch(e.dest)
		}
	case PeerHealth:
		if e := s.eps[ev.Endpoint]; e != nil {
			if e.turn = max(ev.TrialFactor, 1); ev.Outage || ev.TryNow {
				s.heard(e, ev)
			}
			s.touch(e.dest)
		}
	case UpdateSettings:
		if CheckUpdate(s.set, ev.Settings) == nil {
			s.retune(ev.Settings)
			for _, g := range s.groups {
				s.refresh(g)
				s.touch(g.dest)
			}
		}
	case QuietKey:
		if s.keys[ev.Key] == nil {
			s.keys[ev.Key] = &keyLine{key: ev.Key}
			s.emptied = append(s.emptied, ev.Key)
		}
		s.keys[ev.Key].quiet = max(s.keys[ev.Key].quiet, s.now+ev.Remaining)
	case RestoreState:
		s.recall(ev)
	case Stopping:
		s.closeAt = s.now + ev.Remaining
	case TimerFired:
		if s.now >= s.timer {
			s.timer = 0
		}
	}
}

// usage is the discounted count of a tenant's messages.
type usage struct {
	n  float64
	at Micros
}
