package logic

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// A coldPlay simulates a fleet of senders that share no state, at one partner that fails for some seconds and
// recovers cold, in virtual time. Everything that differs between partners is drawn at random: the rate, the
// kind of outage, how messages arrive, which senders crash meanwhile, which endpoint drains and when each
// sender receives the new list. The calls of all senders must stay under the number that overloads the
// partner: N + 2·√N + 2 in the fall window, where N is what the settings allow at that time.
type coldPlay struct {
	n              int
	set            Settings
	rnd            *rand.Rand
	rate           float64 // calls per second that the partner takes when warm
	demand         float64 // messages per second
	endpoints      int     // number of endpoints
	failing        int     // number of these that are in outage together
	independent    bool    // the endpoints are independent
	down, up       float64
	outcome        Outcome // outcome of calls during the outage
	noWait         float64 // fraction of the rejections without a requested wait
	nominal        float64 // rate in the list; 0 for none
	restarts       string
	drains         bool
	countsRejected bool    // rejected calls use up the limit too
	faults         float64 // fraction of calls that break or fail without an outage

	senders []*coldSender
	queue   coldQueue
	weights []float64 // cumulative weights of the senders
	level   map[int]float64
	levelAt map[int]float64
	calls   []coldCall
	ids     int
	asked   int
	served  int
}

type coldSender struct {
	s           *Sender
	incarnation int
	outageSeen  map[int]float64 // when it first saw a call fail in the outage, by route
	messages    map[string]*coldMessage
	snapshots   map[int64]RestoreState
	entries     []Entry // the list as last received
}

type coldMessage struct {
	submitted    NewMessage
	deadline     float64
	attempts     int
	mayHaveRun   bool
	mayHaveRunAt float64
	inFlight     *coldEvent
}

type coldCall struct {
	at         float64
	sender     int
	endpoint   EndpointID
	outageSeen bool
}

type coldEvent struct {
	at          float64
	seq         int
	sender      int
	incarnation int // incarnation of the process that the event is for; -1 for any
	ev          Event
	action      func()
	cancelled   bool
}

type coldQueue []*coldEvent

func (q coldQueue) Len() int { return len(q) }
func (q coldQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q coldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *coldQueue) Push(x any)   { *q = append(*q, x.(*coldEvent)) }
func (q *coldQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// drawCold draws a play for n senders.
func drawCold(n int, seed uint64) *coldPlay {
	p := &coldPlay{n: n, rnd: rand.New(rand.NewPCG(seed, uint64(n))), level: map[int]float64{},
		levelAt: map[int]float64{}}
	u := func(from, to float64) float64 { return from + (to-from)*p.rnd.Float64() }
	p.rate = 3 * math.Exp(u(0, math.Log(50)))
	p.demand = p.rate * u(0.3, 1.5)
	p.endpoints = 1 + p.rnd.IntN(4)
	if p.failing = p.endpoints; u(0, 1) < 0.2 {
		p.failing = 1 + p.rnd.IntN(p.endpoints)
	}
	p.independent = u(0, 1) < 0.25
	p.down = u(8, 11)
	p.up = p.down + u(4, 14)
	p.outcome = []Outcome{ConnectionRefused, Overloaded, TimedOut, Errored, ConnectionBroken}[p.rnd.IntN(5)]
	p.noWait, p.countsRejected = u(0, 1), u(0, 1) < 0.5
	if p.rnd.IntN(2) == 0 {
		p.faults = u(0, 0.04)
	}
	p.restarts = []string{"", "", "herd", "roll"}[p.rnd.IntN(4)]
	p.drains = p.endpoints > 1 && u(0, 1) < 0.4
	p.set = base()
	p.set.Senders, p.set.Slots, p.set.MaxOpen, p.set.MaxAttempts, p.set.TrackChanges = n, 60, 200, p.rnd.IntN(2)*6, true
	p.set.FallWindow, p.set.FallMultiple = sec(u(1.5, 4)), u(2, 3)
	p.set.ColdFrom, p.set.WarmAfter = u(0.15, 0.3), sec(u(8, 14))
	p.set.Kinds[0].Independent = p.independent
	switch p.rnd.IntN(5) {
	case 0, 1:
		p.set.Weights, p.nominal = WeightsNominal, 1
	case 2, 3:
		p.set.Weights, p.nominal = WeightsRough, u(0.5, 1.5)
	}
	sum := 0.0
	for range n {
		sum += math.Exp(0.8 * p.rnd.NormFloat64())
		p.weights = append(p.weights, sum)
	}
	return p
}

func (p *coldPlay) String() string {
	return fmt.Sprintf("%d senders, %.1f calls a second, demand %.2f, %d of %d endpoints in outage, independent %v, %.1f to %.1f s %v, without a wait %.1f, weights %d %.2f, restarts %q, drains %v, fall %.1f x %.1f s from %.2f, warm %.0f s",
		p.n, p.rate, p.demand/p.rate, p.failing, p.endpoints, p.independent, p.down, p.up, p.outcome, p.noWait,
		p.set.Weights, p.nominal, p.restarts, p.drains,
		p.set.FallMultiple, seconds(p.set.FallWindow), p.set.ColdFrom, seconds(p.set.WarmAfter))
}

func (p *coldPlay) push(e *coldEvent) *coldEvent {
	p.ids++
	e.seq = p.ids
	heap.Push(&p.queue, e)
	return e
}

func (p *coldPlay) between(from, to float64) float64 { return from + (to-from)*p.rnd.Float64() }

// share is the fraction of its rate that a recovered partner takes.
func (p *coldPlay) share(at float64) float64 {
	return p.set.ColdFrom + (1-p.set.ColdFrom)*min(1, (at-p.up)/seconds(p.set.WarmAfter))
}

func (p *coldPlay) entry(i int) Entry {
	e := Entry{Endpoint: EndpointID(i + 1), Dest: 9, NominalRate: p.nominal * p.rate}
	if p.independent {
		e.NominalRate /= float64(p.endpoints)
	}
	return e
}

// play runs the simulation to the end of the slow start.
func (p *coldPlay) play() {
	end := p.up + seconds(p.set.WarmAfter)
	for i := range p.n {
		c := &coldSender{messages: map[string]*coldMessage{}, snapshots: map[int64]RestoreState{},
			outageSeen: map[int]float64{}}
		for j := range p.endpoints {
			c.entries = append(c.entries, p.entry(j))
		}
		p.senders = append(p.senders, c)
		p.start(0, i)
	}
	arrive := func(at float64) {
		x := p.rnd.Float64() * p.weights[p.n-1]
		sender, _ := slices.BinarySearch(p.weights, x)
		p.push(&coldEvent{at: at, action: func() { p.arrive(at, sender) }})
	}
	for at := 0.0; at < end; at += p.rnd.ExpFloat64() / p.demand {
		if arrive(at); p.rnd.Float64() < 0.1/(2.7*p.rate) { // a tenth of the messages arrive in bursts
			for range int(p.between(2, 3.4) * p.rate) {
				arrive(at + p.between(0, 0.2))
			}
		}
	}
	for sender := range p.n {
		if at := p.between(p.down, p.up+3); p.restarts == "roll" {
			p.restart(at, sender)
		}
	}
	if at := p.between(p.down, p.up+3); p.restarts == "herd" {
		for sender := range p.n {
			if p.rnd.Float64() < 0.7 {
				p.restart(at, sender)
			}
		}
	}
	if p.drains {
		p.drain()
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(*coldEvent)
		switch {
		case e.at > end:
			return
		case e.cancelled:
		case e.action != nil:
			e.action()
		case e.incarnation == p.senders[e.sender].incarnation:
			p.step(e.at, e.sender, e.ev)
		}
	}
}

// start begins a process with the snapshots of the previous one.
func (p *coldPlay) start(at float64, sender int) {
	c := p.senders[sender]
	s, err := New(p.set, p.rnd.Uint64())
	if err != nil {
		panic(err)
	}
	c.s = s
	evs := []Event{Endpoints{Form: ListCached, Entries: slices.Clone(c.entries)}}
	if r, ok := c.snapshots[9]; ok {
		r.Age = sec(at) - r.Age
		evs = append(evs, r)
	}
	var pending []*coldMessage
	for _, m := range c.messages {
		pending = append(pending, m)
	}
	slices.SortFunc(pending, func(a, b *coldMessage) int { return cmp.Compare(a.submitted.ID, b.submitted.ID) })
	for _, m := range pending {
		resubmitted := m.submitted
		resubmitted.Remaining = sec(m.deadline - at)
		m.mayHaveRun, m.inFlight = m.mayHaveRun || m.inFlight != nil, nil
		if resubmitted.History = (History{Attempts: m.attempts, MayHaveRun: m.mayHaveRun,
			SinceFirst: sec(at - m.mayHaveRunAt), Inherited: true}); resubmitted.Remaining <= 0 {
			delete(c.messages, resubmitted.ID)
			continue
		}
		evs = append(evs, resubmitted)
	}
	p.step(at, sender, evs...)
}

func (p *coldPlay) restart(at float64, sender int) {
	startAt := at + p.between(0.5, 3)
	p.push(&coldEvent{at: at, action: func() { p.senders[sender].incarnation++; p.senders[sender].s = nil }})
	p.push(&coldEvent{at: startAt, action: func() { p.start(startAt, sender) }})
}

// drain replaces an endpoint; each sender receives the change at its own time.
func (p *coldPlay) drain() {
	index, at := p.rnd.IntN(p.endpoints), p.between(p.down, p.up+6)
	old, next := p.entry(index), p.entry(p.endpoints)
	deliver := func(at float64, sender int, entries ...Entry) {
		p.push(&coldEvent{at: at, action: func() {
			c := p.senders[sender]
			for _, entry := range entries {
				c.entries = slices.DeleteFunc(c.entries, func(x Entry) bool { return x.Endpoint == entry.Endpoint })
				if entry.State != Gone {
					c.entries = append(c.entries, entry)
				}
			}
			if c.s != nil {
				p.step(at, sender, Endpoints{Form: ListDelta, Entries: entries})
			}
		}})
	}
	for sender := range p.n {
		receivedAt := at + p.between(0, 1)
		if p.rnd.IntN(5) == 0 {
			receivedAt += p.between(0, 6)
		}
		drains, gone := old, old
		drains.State, gone.State = Draining, Gone
		deliver(receivedAt, sender, drains, next)
		deliver(receivedAt+p.between(1, 6), sender, gone)
	}
}

func (p *coldPlay) arrive(at float64, sender int) {
	c := p.senders[sender]
	if p.asked++; c.s == nil || len(c.messages) >= p.set.MaxOpen {
		return
	}
	class := p.rnd.IntN(len(p.set.Classes))
	p.ids++
	m := &coldMessage{submitted: NewMessage{ID: strconv.Itoa(p.ids), Remaining: p.set.Classes[class].Deadline,
		Dest: 9, Tenant: -1, Class: class}}
	m.deadline = at + seconds(m.submitted.Remaining)
	c.messages[m.submitted.ID] = m
	p.step(at, sender, m.submitted)
}

func (p *coldPlay) step(at float64, sender int, evs ...Event) {
	c := p.senders[sender]
	for _, ev := range evs {
		r, ok := ev.(AttemptResult)
		if !ok {
			continue
		}
		if at >= p.down && r.Outcome != Completed && r.Latency > 0 && p.isOut(at-seconds(r.Latency), r.Endpoint) {
			if route := p.route(r.Endpoint); c.outageSeen[route] == 0 {
				c.outageSeen[route] = at
			}
		}
		if m := c.messages[r.ID]; m != nil {
			m.inFlight = nil
			m.mayHaveRun = m.mayHaveRun || r.Outcome != Overloaded && r.Outcome != ConnectionRefused
			if r.MessageEnded {
				p.served++
				delete(c.messages, r.ID)
			}
		}
	}
	for _, a := range c.s.Step(sec(at), evs) {
		switch a := a.(type) {
		case StartAttempt:
			p.call(at, sender, a)
		case Cancel:
			if m := c.messages[a.ID]; m != nil && m.inFlight != nil && m.attempts-1 == a.Attempt {
				m.inFlight.cancelled = true
				r := m.inFlight.ev.(AttemptResult)
				r.Outcome, r.MessageEnded, r.RetryAfter = Cancelled, false, 0
				m.inFlight = p.push(&coldEvent{at: at + 0.005, sender: sender, incarnation: c.incarnation, ev: r})
			}
		case ReturnMessage:
			delete(c.messages, a.ID)
		case FailMessage:
			if m := c.messages[a.ID]; m.inFlight == nil {
				delete(c.messages, a.ID)
			}
		case SetTimer:
			p.push(&coldEvent{at: at + seconds(max(a.Wait, 1)), sender: sender, incarnation: c.incarnation,
				ev: TimerFired{a.Token}})
		}
	}
	for _, m := range c.s.ChangedStates(sec(at), 4) {
		c.snapshots[m.Dest] = RestoreState{Age: sec(at), State: m}
	}
}

// route returns what is overloaded separately: the partner, or one of its independent endpoints.
func (p *coldPlay) route(e EndpointID) int {
	if p.independent {
		return int(e)
	}
	return 0
}

func (p *coldPlay) isOut(at float64, e EndpointID) bool {
	return at >= p.down && at < p.up && (int(e) <= p.failing || int(e) > p.endpoints && p.failing == p.endpoints)
}

// call simulates the partner's answer to a call.
func (p *coldPlay) call(at float64, sender int, a StartAttempt) {
	c := p.senders[sender]
	m := c.messages[a.ID]
	if !m.mayHaveRun {
		m.mayHaveRunAt = at
	}
	r := AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.attempts}
	m.attempts++
	arrivesAt := at + p.between(0.002, 0.02)
	latency := arrivesAt - at + p.between(0.02, 0.2)
	seenAt := c.outageSeen[p.route(a.Endpoint)]
	p.calls = append(p.calls, coldCall{arrivesAt, sender, a.Endpoint, seenAt > 0 && seenAt <= at})
	if p.isOut(arrivesAt, a.Endpoint) {
		switch r.Outcome = p.outcome; p.outcome {
		case TimedOut:
			latency = seconds(a.Timeout)
		case Overloaded:
			if p.rnd.Float64() >= p.noWait {
				r.RetryAfter = sec(p.up - arrivesAt)
				if p.rnd.IntN(2) == 0 {
					r.RetryAfter = sec(p.between(0.3, 0.9))
				}
			}
		case Errored:
			if p.rnd.Float64() < 0.15 {
				r.Outcome = Completed
			}
		}
	} else {
		route, rate := p.route(a.Endpoint), p.rate
		if p.independent {
			rate /= float64(p.endpoints)
		}
		if arrivesAt >= p.up {
			cold := float64(p.failing) / float64(p.endpoints)
			if p.independent && int(a.Endpoint) > p.failing {
				cold = 0
			} else if p.independent {
				cold = 1
			}
			rate *= 1 - cold + cold*p.share(arrivesAt)
		}
		p.level[route] = max(0, p.level[route]-max(0, arrivesAt-p.levelAt[route])*rate)
		p.levelAt[route] = max(arrivesAt, p.levelAt[route])
		if p.level[route] > max(1, 0.5*rate) {
			if r.Outcome = Overloaded; p.rnd.Float64() >= p.noWait {
				r.RetryAfter = sec(p.between(0.3, 0.9))
			}
		}
		if r.Outcome == Completed || p.countsRejected {
			p.level[route]++
		}
		if r.Outcome == Completed && p.rnd.Float64() < p.faults {
			r.Outcome = []Outcome{Errored, ConnectionBroken, ConnectionRefused, InvalidResponse}[p.rnd.IntN(4)]
		}
	}
	if latency >= seconds(a.Timeout) {
		r.Outcome, r.RetryAfter, latency = TimedOut, 0, seconds(a.Timeout)
	}
	r.Latency, r.MessageEnded = sec(latency), r.Outcome == Completed
	m.inFlight = p.push(&coldEvent{at: at + latency, sender: sender, incarnation: c.incarnation, ev: r})
}

// coldResult is the result of a play.
type coldResult struct {
	maxRatio  float64 // most calls in a window, relative to the number that overloads the partner
	at        float64 // time of the first overload after the recovery; 0 for none
	calls     int
	n         float64
	seenRatio float64 // fraction of these calls from senders that had detected the outage
}

func (f coldResult) broken() bool { return f.at > 0 && f.seenRatio > 2.0/3 }

// result finds the first window with more calls than overload the recovered partner.
func (p *coldPlay) result() (f coldResult) {
	slices.SortFunc(p.calls, func(a, b coldCall) int { return cmp.Compare(a.at, b.at) })
	groups, rate := 1, p.rate*float64(p.failing)/float64(p.endpoints)
	if p.independent {
		groups, rate = p.failing, p.rate/float64(p.endpoints)
	}
	window := seconds(p.set.FallWindow)
	for g := 1; g <= groups; g++ {
		var calls []coldCall
		for _, c := range p.calls {
			cold := int(c.endpoint) <= p.failing || int(c.endpoint) > p.endpoints && p.failing == p.endpoints &&
				!p.independent
			if c.at < p.up || p.independent && int(c.endpoint) != g || !cold {
				continue
			}
			for calls = append(calls, c); calls[0].at <= c.at-window; {
				calls = calls[1:]
			}
			n := p.set.FallMultiple * p.share(c.at) * rate * window
			bound := n + 2*math.Sqrt(n) + 2
			f.maxRatio = max(f.maxRatio, float64(len(calls))/bound)
			if float64(len(calls)) > bound && (f.at == 0 || c.at-p.up < f.at) {
				seen := 0
				for _, x := range calls {
					if x.outageSeen {
						seen++
					}
				}
				f.at, f.calls, f.n, f.seenRatio = c.at-p.up, len(calls), n, float64(seen)/float64(len(calls))
				break
			}
		}
	}
	return f
}

// fleets plays fleets of n senders. It returns how many partners were overloaded, and how many of these by
// senders that had detected the outage.
func fleets(t *testing.T, n int, from, plays uint64, change func(*coldPlay) bool) (falls, broken int) {
	t.Helper()
	worst, served, asked, played := 0.0, 0, 0, 0
	for seed := from; seed < from+plays; seed++ {
		p := drawCold(n, seed)
		if change != nil && !change(p) {
			continue
		}
		played++
		p.play()
		f := p.result()
		worst, served, asked = max(worst, f.maxRatio), served+p.served, asked+p.asked
		if f.at > 0 {
			falls++
		}
		if f.broken() {
			broken++
			t.Logf("seed %d: %d calls in a window, N %.1f, %.2f of them by senders that had detected the outage, %.1f s after the recovery: %v", seed, f.calls, f.n, f.seenRatio, f.at, p)
		}
	}
	t.Logf("%3d senders: %d plays, %d overloads, %d of them by senders that had detected the outage, at most %.2f of the bound, %.3f served",
		n, played, falls, broken, worst, float64(served)/float64(max(asked, 1)))
	return falls, broken
}

// The calls of all senders together do not overload a recovering partner. To run a thousand plays of one size:
//
//	PLAYS=1000 FROM=0 SENDERS=300 go test -run TestColdFleet$ -v ./logic
//
// Without SENDERS, all sizes are run.
func TestColdFleet(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("PLAYS"))
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	only, _ := strconv.Atoi(os.Getenv("SENDERS"))
	for _, n := range []int{20, 30, 300} {
		if only > 0 && n != only {
			continue
		}
		count := plays
		if plays == 0 {
			count = 6 + n/20
		}
		if _, broken := fleets(t, n, uint64(from), uint64(count), nil); broken > 0 {
			t.Errorf("%d senders: %d partners overloaded", n, broken)
		}
	}
}

// With each of 300 senders calling only every few seconds, one failed or broken call is all that a sender
// sees of an outage. It must not continue at one and a half times its even share after the recovery, nor
// repeat together with the senders that called in the same burst.
func TestColdFleetAfterOneFailureEach(t *testing.T) {
	for _, x := range []struct {
		how      Outcome
		restarts string
	}{{Errored, ""}, {ConnectionBroken, "herd"}} {
		_, broken := fleets(t, 300, 40, 20, func(p *coldPlay) bool {
			p.outcome, p.restarts, p.faults, p.drains, p.independent = x.how, x.restarts, 0, false, false
			p.set.Weights, p.nominal, p.up, p.failing = WeightsNominal, 1, p.down+4.5, p.endpoints
			return p.rate > 15
		})
		if broken > 0 {
			t.Errorf("%v, %q: %d partners overloaded", x.how, x.restarts, broken)
		}
	}
}

// That one failed call must also survive a restart: changes other than of health are included in snapshots
// only every ten seconds.
func TestOneFailureSurvivesRestart(t *testing.T) {
	for _, failure := range []Outcome{Errored, Overloaded, ConnectionRefused, ConnectionBroken} {
		r := newRigAmongMany(t, 100, 50, 1)
		r.s.settings.TrackChanges = true
		var states []DestinationState
		for _, o := range []Outcome{Completed, failure} {
			c := only[StartAttempt](r.step(float64(r.n)*15+1, r.message(0)))[0]
			r.step(float64(r.n)*15+1.1, answer(c.ID, 1, 0, o))
			if o == failure {
				states = r.s.ChangedStates(sec(float64(r.n)*15+1.1), 4)
			}
			r.s.ChangedStates(sec(float64(r.n)*15+12), 4)
		}
		if len(states) != 1 || states[0].Limiter.Rate == 0 {
			t.Errorf("%v: %+v at once, want one snapshot with a rate", failure, states)
		}
	}
}

// Without a known rate, each of 300 senders must not keep sending one call per second to a partner that
// rejects all.
func TestColdFleetWithoutRates(t *testing.T) {
	_, broken := fleets(t, 300, 60, 30, func(p *coldPlay) bool {
		p.outcome, p.noWait, p.restarts, p.faults, p.drains, p.independent = Overloaded, 1, "", 0, false, false
		p.set.Weights, p.nominal, p.failing = WeightsOff, 0, p.endpoints
		return p.rate < 50
	})
	if broken > 0 {
		t.Errorf("%d partners overloaded", broken)
	}
}

// The demand of a sender is a mean of the last minutes: after an hour without traffic, one failed call must
// not slow down a busy partner for long.
func TestDemandIsMeanOfLastMinutes(t *testing.T) {
	r := newRigAmongMany(t, 100, 0, 1)
	at := 1.0
	c := only[StartAttempt](r.step(at, r.message(0)))[0]
	r.step(at+0.1, answer(c.ID, 1, 0, Completed))
	for at = 3600; at < 3720; at += 2 {
		c = only[StartAttempt](r.step(at, r.message(0)))[0]
		r.step(at+0.1, answer(c.ID, 1, 0, Completed))
	}
	c = only[StartAttempt](r.step(at, r.message(0)))[0]
	r.step(at+0.1, answer(c.ID, 1, 0, Errored))
	end := at + 9
	for at += 0.2; at < end; at += 0.1 {
		if len(only[StartAttempt](r.step(at, TimerFired{}))) > 0 {
			return
		}
	}
	t.Error("not tried again within 9 s")
}
