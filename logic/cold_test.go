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
	n        int
	set      Settings
	rnd      *rand.Rand
	rate     float64 // calls per second that the partner takes when warm
	demand   float64 // messages per second
	eps      int     // number of endpoints
	out      int     // number of these that are in outage together
	apart    bool    // the endpoints are independent
	down, up float64
	how      Outcome // outcome of calls during the outage
	untold   float64 // fraction of the rejections without a requested wait
	nominal  float64 // rate in the list; 0 for none
	restarts string
	drains   bool
	counts   bool    // rejected calls use up the limit too
	faults   float64 // fraction of calls that break or fail without an outage

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
	s        *Sender
	life     int
	told     map[int]float64 // when it first saw a call fail in the outage, by route
	msgs     map[string]*coldMsg
	memories map[int64]RestoreState
	rows     []Entry // the list as last received
}

type coldMsg struct {
	call     NewMessage
	deadline float64
	tries    int
	mayRun   bool
	firstMay float64
	out      *coldEvent
}

type coldCall struct {
	at   float64
	who  int
	ep   EndpointID
	told bool
}

type coldEvent struct {
	at   float64
	seq  int
	who  int
	life int // incarnation of the process that the event is for; -1 for any
	ev   Event
	do   func()
	off  bool
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
	p := &coldPlay{n: n, rnd: rand.New(rand.NewPCG(seed, uint64(n))), level: map[int]float64{}, levelAt: map[int]float64{}}
	u := func(from, to float64) float64 { return from + (to-from)*p.rnd.Float64() }
	p.rate = 3 * math.Exp(u(0, math.Log(50)))
	p.demand = p.rate * u(0.3, 1.5)
	p.eps = 1 + p.rnd.IntN(4)
	if p.out = p.eps; u(0, 1) < 0.2 {
		p.out = 1 + p.rnd.IntN(p.eps)
	}
	p.apart = u(0, 1) < 0.25
	p.down = u(8, 11)
	p.up = p.down + u(4, 14)
	p.how = []Outcome{ConnectionRefused, Overloaded, TimedOut, Errored, ConnectionBroken}[p.rnd.IntN(5)]
	p.untold, p.counts = u(0, 1), u(0, 1) < 0.5
	if p.rnd.IntN(2) == 0 {
		p.faults = u(0, 0.04)
	}
	p.restarts = []string{"", "", "herd", "roll"}[p.rnd.IntN(4)]
	p.drains = p.eps > 1 && u(0, 1) < 0.4
	p.set = base()
	p.set.Senders, p.set.Slots, p.set.MaxOpen, p.set.MaxTries, p.set.TrackChanges = n, 60, 200, p.rnd.IntN(2)*6, true
	p.set.FallWindow, p.set.FallMultiple = sec(u(1.5, 4)), u(2, 3)
	p.set.ColdFrom, p.set.WarmAfter = u(0.15, 0.3), sec(u(8, 14))
	p.set.Kinds[0].Independent = p.apart
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
	return fmt.Sprintf("%d senders, %.1f calls a second, demand %.2f, %d of %d endpoints out, apart %v, %.1f to %.1f s %v, untold %.1f, weights %d %.2f, restarts %q, drains %v, fall %.1f x %.1f s from %.2f, warm %.0f s",
		p.n, p.rate, p.demand/p.rate, p.out, p.eps, p.apart, p.down, p.up, p.how, p.untold, p.set.Weights, p.nominal, p.restarts, p.drains,
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
	if p.apart {
		e.NominalRate /= float64(p.eps)
	}
	return e
}

// play runs the simulation to the end of the slow start.
func (p *coldPlay) play() {
	end := p.up + seconds(p.set.WarmAfter)
	for i := range p.n {
		c := &coldSender{msgs: map[string]*coldMsg{}, memories: map[int64]RestoreState{}, told: map[int]float64{}}
		for j := range p.eps {
			c.rows = append(c.rows, p.entry(j))
		}
		p.senders = append(p.senders, c)
		p.start(0, i)
	}
	arrive := func(at float64) {
		x := p.rnd.Float64() * p.weights[p.n-1]
		who, _ := slices.BinarySearch(p.weights, x)
		p.push(&coldEvent{at: at, do: func() { p.arrive(at, who) }})
	}
	for at := 0.0; at < end; at += p.rnd.ExpFloat64() / p.demand {
		if arrive(at); p.rnd.Float64() < 0.1/(2.7*p.rate) { // a tenth of the messages arrive in bursts
			for range int(p.between(2, 3.4) * p.rate) {
				arrive(at + p.between(0, 0.2))
			}
		}
	}
	for who := range p.n {
		if at := p.between(p.down, p.up+3); p.restarts == "roll" {
			p.restart(at, who)
		}
	}
	if at := p.between(p.down, p.up+3); p.restarts == "herd" {
		for who := range p.n {
			if p.rnd.Float64() < 0.7 {
				p.restart(at, who)
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
		case e.off:
		case e.do != nil:
			e.do()
		case e.life == p.senders[e.who].life:
			p.step(e.at, e.who, e.ev)
		}
	}
}

// start begins a process with the snapshots of the previous one.
func (p *coldPlay) start(at float64, who int) {
	c := p.senders[who]
	s, err := New(p.set, p.rnd.Uint64())
	if err != nil {
		panic(err)
	}
	c.s = s
	evs := []Event{Endpoints{Form: ListCached, Entries: slices.Clone(c.rows)}}
	if r, ok := c.memories[9]; ok {
		r.Age = sec(at) - r.Age
		evs = append(evs, r)
	}
	var held []*coldMsg
	for _, m := range c.msgs {
		held = append(held, m)
	}
	slices.SortFunc(held, func(a, b *coldMsg) int { return cmp.Compare(a.call.ID, b.call.ID) })
	for _, m := range held {
		k := m.call
		k.Remaining = sec(m.deadline - at)
		m.mayRun, m.out = m.mayRun || m.out != nil, nil
		if k.History = (History{Attempts: m.tries, MayHaveRun: m.mayRun, SinceFirst: sec(at - m.firstMay), Inherited: true}); k.Remaining <= 0 {
			delete(c.msgs, k.ID)
			continue
		}
		evs = append(evs, k)
	}
	p.step(at, who, evs...)
}

func (p *coldPlay) restart(at float64, who int) {
	back := at + p.between(0.5, 3)
	p.push(&coldEvent{at: at, do: func() { p.senders[who].life++; p.senders[who].s = nil }})
	p.push(&coldEvent{at: back, do: func() { p.start(back, who) }})
}

// drain replaces an endpoint; each sender receives the change at its own time.
func (p *coldPlay) drain() {
	which, at := p.rnd.IntN(p.eps), p.between(p.down, p.up+6)
	old, next := p.entry(which), p.entry(p.eps)
	tell := func(at float64, who int, rows ...Entry) {
		p.push(&coldEvent{at: at, do: func() {
			c := p.senders[who]
			for _, row := range rows {
				c.rows = slices.DeleteFunc(c.rows, func(x Entry) bool { return x.Endpoint == row.Endpoint })
				if row.State != Gone {
					c.rows = append(c.rows, row)
				}
			}
			if c.s != nil {
				p.step(at, who, Endpoints{Form: ListDelta, Entries: rows})
			}
		}})
	}
	for who := range p.n {
		heard := at + p.between(0, 1)
		if p.rnd.IntN(5) == 0 {
			heard += p.between(0, 6)
		}
		drains, gone := old, old
		drains.State, gone.State = Draining, Gone
		tell(heard, who, drains, next)
		tell(heard+p.between(1, 6), who, gone)
	}
}

func (p *coldPlay) arrive(at float64, who int) {
	c := p.senders[who]
	if p.asked++; c.s == nil || len(c.msgs) >= p.set.MaxOpen {
		return
	}
	class := p.rnd.IntN(len(p.set.Classes))
	p.ids++
	m := &coldMsg{call: NewMessage{ID: strconv.Itoa(p.ids), Remaining: p.set.Classes[class].Deadline, Dest: 9, Tenant: -1, Class: class}}
	m.deadline = at + seconds(m.call.Remaining)
	c.msgs[m.call.ID] = m
	p.step(at, who, m.call)
}

func (p *coldPlay) step(at float64, who int, evs ...Event) {
	c := p.senders[who]
	for _, ev := range evs {
		r, ok := ev.(AttemptResult)
		if !ok {
			continue
		}
		if at >= p.down && r.Outcome != Completed && r.Latency > 0 && p.isOut(at-seconds(r.Latency), r.Endpoint) {
			if x := p.route(r.Endpoint); c.told[x] == 0 {
				c.told[x] = at
			}
		}
		if m := c.msgs[r.ID]; m != nil {
			m.out = nil
			m.mayRun = m.mayRun || r.Outcome != Overloaded && r.Outcome != ConnectionRefused
			if r.MessageEnded {
				p.served++
				delete(c.msgs, r.ID)
			}
		}
	}
	for _, a := range c.s.Step(sec(at), evs) {
		switch a := a.(type) {
		case StartAttempt:
			p.call(at, who, a)
		case Cancel:
			if m := c.msgs[a.ID]; m != nil && m.out != nil && m.tries-1 == a.Attempt {
				m.out.off = true
				r := m.out.ev.(AttemptResult)
				r.Outcome, r.MessageEnded, r.RetryAfter = Cancelled, false, 0
				m.out = p.push(&coldEvent{at: at + 0.005, who: who, life: c.life, ev: r})
			}
		case ReturnMessage:
			delete(c.msgs, a.ID)
		case FailMessage:
			if m := c.msgs[a.ID]; m.out == nil {
				delete(c.msgs, a.ID)
			}
		case SetTimer:
			p.push(&coldEvent{at: at + seconds(max(a.Wait, 1)), who: who, life: c.life, ev: TimerFired{a.Token}})
		}
	}
	for _, m := range c.s.ChangedStates(sec(at), 4) {
		c.memories[m.Dest] = RestoreState{Age: sec(at), State: m}
	}
}

// route returns what is overloaded separately: the partner, or one of its independent endpoints.
func (p *coldPlay) route(e EndpointID) int {
	if p.apart {
		return int(e)
	}
	return 0
}

func (p *coldPlay) isOut(at float64, e EndpointID) bool {
	return at >= p.down && at < p.up && (int(e) <= p.out || int(e) > p.eps && p.out == p.eps)
}

// call simulates the partner's answer to a call.
func (p *coldPlay) call(at float64, who int, a StartAttempt) {
	c := p.senders[who]
	m := c.msgs[a.ID]
	if !m.mayRun {
		m.firstMay = at
	}
	r := AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries}
	m.tries++
	there := at + p.between(0.002, 0.02)
	took := there - at + p.between(0.02, 0.2)
	told := c.told[p.route(a.Endpoint)]
	p.calls = append(p.calls, coldCall{there, who, a.Endpoint, told > 0 && told <= at})
	if p.isOut(there, a.Endpoint) {
		switch r.Outcome = p.how; p.how {
		case TimedOut:
			took = seconds(a.Timeout)
		case Overloaded:
			if p.rnd.Float64() >= p.untold {
				r.RetryAfter = sec(p.up - there)
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
		which, rate := p.route(a.Endpoint), p.rate
		if p.apart {
			rate /= float64(p.eps)
		}
		if there >= p.up {
			cold := float64(p.out) / float64(p.eps)
			if p.apart && int(a.Endpoint) > p.out {
				cold = 0
			} else if p.apart {
				cold = 1
			}
			rate *= 1 - cold + cold*p.share(there)
		}
		p.level[which] = max(0, p.level[which]-max(0, there-p.levelAt[which])*rate)
		p.levelAt[which] = max(there, p.levelAt[which])
		if p.level[which] > max(1, 0.5*rate) {
			if r.Outcome = Overloaded; p.rnd.Float64() >= p.untold {
				r.RetryAfter = sec(p.between(0.3, 0.9))
			}
		}
		if r.Outcome == Completed || p.counts {
			p.level[which]++
		}
		if r.Outcome == Completed && p.rnd.Float64() < p.faults {
			r.Outcome = []Outcome{Errored, ConnectionBroken, ConnectionRefused, InvalidResponse}[p.rnd.IntN(4)]
		}
	}
	if took >= seconds(a.Timeout) {
		r.Outcome, r.RetryAfter, took = TimedOut, 0, seconds(a.Timeout)
	}
	r.Latency, r.MessageEnded = sec(took), r.Outcome == Completed
	m.out = p.push(&coldEvent{at: at + took, who: who, life: c.life, ev: r})
}

// coldFall is the result of a play.
type coldFall struct {
	most  float64 // most calls in a window, relative to the number that overloads the partner
	at    float64 // time of the first overload after the recovery; 0 for none
	calls int
	n     float64
	told  float64 // fraction of these calls from senders that had detected the outage
}

func (f coldFall) broken() bool { return f.at > 0 && f.told > 2.0/3 }

// fall finds the first window with more calls than overload the recovered partner.
func (p *coldPlay) fall() (f coldFall) {
	slices.SortFunc(p.calls, func(a, b coldCall) int { return cmp.Compare(a.at, b.at) })
	groups, rate := 1, p.rate*float64(p.out)/float64(p.eps)
	if p.apart {
		groups, rate = p.out, p.rate/float64(p.eps)
	}
	window := seconds(p.set.FallWindow)
	for g := 1; g <= groups; g++ {
		var win []coldCall
		for _, c := range p.calls {
			there := int(c.ep) <= p.out || int(c.ep) > p.eps && p.out == p.eps && !p.apart
			if c.at < p.up || p.apart && int(c.ep) != g || !there {
				continue
			}
			for win = append(win, c); win[0].at <= c.at-window; {
				win = win[1:]
			}
			n := p.set.FallMultiple * p.share(c.at) * rate * window
			top := n + 2*math.Sqrt(n) + 2
			f.most = max(f.most, float64(len(win))/top)
			if float64(len(win)) > top && (f.at == 0 || c.at-p.up < f.at) {
				told := 0
				for _, x := range win {
					if x.told {
						told++
					}
				}
				f.at, f.calls, f.n, f.told = c.at-p.up, len(win), n, float64(told)/float64(len(win))
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
		f := p.fall()
		worst, served, asked = max(worst, f.most), served+p.served, asked+p.asked
		if f.at > 0 {
			falls++
		}
		if f.broken() {
			broken++
			t.Logf("seed %d: %d calls in a window, N %.1f, %.2f of them told, %.1f s after the return: %v", seed, f.calls, f.n, f.told, f.at, p)
		}
	}
	t.Logf("%3d senders: %d plays, %d falls, %d of them by those that knew, most %.2f of what topples, %.3f served",
		n, played, falls, broken, worst, float64(served)/float64(max(asked, 1)))
	return falls, broken
}

// The sum of all senders does not push over what returns. Some thousand plays by command:
//
//	PLAYS=1000 FROM=0 SENDERS=300 go test -run TestColdFleet$ -v ./logic
//
// Without SENDERS all sizes are played.
func TestColdFleet(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("PLAYS"))
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	only, _ := strconv.Atoi(os.Getenv("SENDERS"))
	for _, n := range []int{20, 30, 300} {
		if only > 0 && n != only {
			continue
		}
		most := plays
		if plays == 0 {
			most = 6 + n/20
		}
		if _, broken := fleets(t, n, uint64(from), uint64(most), nil); broken > 0 {
			t.Errorf("%d senders: %d partners pushed over", n, broken)
		}
	}
}

// With each of 300 senders calling only every few seconds, one failed or broken call is all that a sender
// sees of an outage. It must not continue at one and a half times its even share after the recovery, nor
// repeat together with the senders that called in the same burst.
func TestColdFleetThatSawOneSign(t *testing.T) {
	for _, x := range []struct {
		how      Outcome
		restarts string
	}{{Errored, ""}, {ConnectionBroken, "herd"}} {
		_, broken := fleets(t, 300, 40, 20, func(p *coldPlay) bool {
			p.how, p.restarts, p.faults, p.drains, p.apart = x.how, x.restarts, 0, false, false
			p.set.Weights, p.nominal, p.up, p.out = WeightsNominal, 1, p.down+4.5, p.eps
			return p.rate > 15
		})
		if broken > 0 {
			t.Errorf("%v, %q: %d partners pushed over", x.how, x.restarts, broken)
		}
	}
}

// That one failed call must also survive a restart: changes other than of health are included in snapshots
// only every ten seconds.
func TestOneSignOutlivesTheProcess(t *testing.T) {
	for _, how := range []Outcome{Errored, Overloaded, ConnectionRefused, ConnectionBroken} {
		r := crowdOf(t, 100, 50, 1)
		r.s.settings.TrackChanges = true
		var told []DestinationState
		for _, o := range []Outcome{Completed, how} {
			c := only[StartAttempt](r.step(float64(r.n)*15+1, r.call(0)))[0]
			r.step(float64(r.n)*15+1.1, answer(c.ID, 1, 0, o))
			if o == how {
				told = r.s.ChangedStates(sec(float64(r.n)*15+1.1), 4)
			}
			r.s.ChangedStates(sec(float64(r.n)*15+12), 4)
		}
		if len(told) != 1 || told[0].Limiter.Rate == 0 {
			t.Errorf("%v: told at once %+v, want one memory with a pace", how, told)
		}
	}
}

// Without a known rate, each of 300 senders must not keep sending one call per second to a partner that
// rejects all.
func TestColdFleetWithoutRates(t *testing.T) {
	_, broken := fleets(t, 300, 60, 30, func(p *coldPlay) bool {
		p.how, p.untold, p.restarts, p.faults, p.drains, p.apart = Overloaded, 1, "", 0, false, false
		p.set.Weights, p.nominal, p.out = WeightsOff, 0, p.eps
		return p.rate < 50
	})
	if broken > 0 {
		t.Errorf("%d partners pushed over", broken)
	}
}

// The demand of a sender is a mean of the last minutes: after an hour without traffic, one failed call must
// not slow down a busy partner for long.
func TestOwnTrafficIsThatOfTheLastMinutes(t *testing.T) {
	r := crowdOf(t, 100, 0, 1)
	at := 1.0
	c := only[StartAttempt](r.step(at, r.call(0)))[0]
	r.step(at+0.1, answer(c.ID, 1, 0, Completed))
	for at = 3600; at < 3720; at += 2 {
		c = only[StartAttempt](r.step(at, r.call(0)))[0]
		r.step(at+0.1, answer(c.ID, 1, 0, Completed))
	}
	c = only[StartAttempt](r.step(at, r.call(0)))[0]
	r.step(at+0.1, answer(c.ID, 1, 0, Errored))
	end := at + 9
	for at += 0.2; at < end; at += 0.1 {
		if len(only[StartAttempt](r.step(at, TimerFired{}))) > 0 {
			return
		}
	}
	t.Error("not tried again within 9 s")
}
