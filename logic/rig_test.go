package logic

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// base is a simple deployment: two senders, one safe, one keyed and one unsafe class, one kind of
// destination.
func base() Settings {
	return Settings{Senders: 2, Zones: 1, Slots: 8, MaxOpen: 60, MaxTries: 6, Tick: 5000, MayCancel: true, AdviseRetry: true,
		Classes: []Class{
			{Name: "a", Aim: Second, Deadline: 10 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "b", Aim: 2 * Second, Deadline: 12 * Second, Worth: 2, LateWorth: 0.4, Effect: Keyed, Window: 8 * Second},
			{Name: "c", Aim: 2 * Second, Deadline: 14 * Second, Worth: 4, LateWorth: 0.3, Effect: Unsafe}},
		Kinds: []Kind{{Name: "k", MaxBatch: 1}}, MaxRetryAfter: 2 * Second, DrainGrace: Second, FallMultiple: 2,
		FallWindow: 2 * Second, ColdFrom: 0.2, WarmAfter: 14 * Second, RemainingIndex: -1, LimitIndex: -1}
}

// rig drives one Sender step by step.
type rig struct {
	t *testing.T
	s *Sender
	n int
}

func newRig(t *testing.T, set Settings) *rig {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, s: s}
}

func sec(x float64) Micros { return Micros(x * float64(Second)) }

func (r *rig) step(at float64, evs ...Event) []Action { r.t.Helper(); return r.s.Step(sec(at), evs) }

// list returns a full list of n endpoints, numbered from 1, of destination 9.
func list(n int) Endpoints {
	ev := Endpoints{Form: ListFull}
	for i := 1; i <= n; i++ {
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i), Dest: 9})
	}
	return ev
}

func (r *rig) call(class int) NewMessage {
	r.n++
	return NewMessage{ID: fmt.Sprintf("m%d", r.n), Remaining: r.s.settings.Classes[class].Deadline, Dest: 9, Tenant: -1, Class: class}
}

func answer(id string, ep EndpointID, attempt int, o Outcome) AttemptResult {
	return AttemptResult{ID: id, Endpoint: ep, Attempt: attempt, Outcome: o, Latency: sec(0.1), MessageEnded: o == Completed}
}

func only[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// world generates random legal outcomes for a Sender and asserts the six rules. It does not model a server.
type world struct {
	t          *testing.T
	set        Settings
	rnd        *rand.Rand
	s          *Sender
	now        Micros
	msgs       map[string]*wmsg
	ids        []string
	live       []*wmsg
	eps        map[EndpointID]*wep
	order      []EndpointID
	queue      []wevent
	waits      map[string]Micros
	asked      map[EndpointID]int
	keys       map[string][]*wmsg
	quiet      map[string]Micros
	quietBy    map[string]*wmsg
	slots      int
	outage     [2]Micros // all endpoints of destination 1 refuse connections
	knows      bool
	coldSent   []Micros
	coldRoute  map[EndpointID][]Micros // for independent endpoints
	knowsRoute map[EndpointID]bool     // its outage was detected
	wellSent   []Micros
	peak       float64
	trace      []string
	restarts   bool // processes crash, and others restore their state
	upgrades   bool // processes hand over their whole state, with calls in flight
	memories   map[int64]RestoreState
	twin       *Sender // if set, it decides without the index in each step, and must decide the same
	steady     bool    // one step per tick
	often      int     // mean time between arrivals, in milliseconds; 0 for 75
}

type wmsg struct {
	id         string
	class      Class
	dest       int64
	key        string
	deadline   Micros
	ended, out bool
	mayRun     bool
	firstMay   Micros
	zone       int
	tries      int
}

type wep struct {
	row    Entry
	told   Micros // when the list said that it drains or is removed
	closed bool
}

type wevent struct {
	at  Micros
	ev  Event
	own *wmsg
	cl  *wcall
}

type wcall struct{ open int }

func (w *world) lane(e *wep) string {
	if w.set.Kinds[e.row.Kind].Independent {
		return fmt.Sprint("route", e.row.Endpoint)
	}
	return fmt.Sprint("dest", e.row.Dest)
}

func (w *world) bad(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, args...)...)
}

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, set: set, rnd: rand.New(rand.NewPCG(seed, 1)), s: s, msgs: map[string]*wmsg{},
		eps: map[EndpointID]*wep{}, waits: map[string]Micros{}, asked: map[EndpointID]int{},
		keys: map[string][]*wmsg{}, quiet: map[string]Micros{}, quietBy: map[string]*wmsg{},
		outage: [2]Micros{12 * Second, 20 * Second}, memories: map[int64]RestoreState{}}
}

// play simulates 40 seconds of random traffic.
func (w *world) play() {
	var first Endpoints
	first.Form = ListCached
	for i := 0; i < 8; i++ {
		row := Entry{Endpoint: EndpointID(100 + i), Dest: int64(1 + i/2), Kind: (i / 2) % len(w.set.Kinds),
			Zone: i % max(w.set.Zones, 1), NominalRate: 6}
		w.eps[row.Endpoint] = &wep{row: row}
		w.order = append(w.order, row.Endpoint)
		first.Entries = append(first.Entries, row)
	}
	w.run(first)
	next := Micros(0)
	for w.now < 60*Second {
		w.now += w.set.Tick
		var evs []Event
		evs = append(evs, w.due()...)
		if w.now < 40*Second && w.now >= next {
			next = w.now + Micros(w.rnd.IntN(2000*cmp.Or(w.often, 75)))
			evs = append(evs, w.arrival())
			if w.rnd.IntN(40) == 0 { // a burst
				for range 15 {
					evs = append(evs, w.arrival())
				}
			}
		}
		if w.rnd.IntN(1500) == 0 {
			evs = append(evs, w.change())
		}
		if w.rnd.IntN(900) == 0 && len(w.ids) > 0 {
			m := w.msgs[w.ids[w.rnd.IntN(len(w.ids))]]
			m.ended = true // withdrawn, or ended long ago
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerFired{3})
		}
		if w.steady && w.now == 36*Second {
			evs = append(evs, Stopping{Remaining: 8 * Second}) // a new process, if one follows, does not get this event
		}
		if len(evs) > 0 || w.steady {
			w.run(evs...)
		}
		if w.restarts {
			for _, m := range w.s.ChangedStates(w.now, 2) {
				w.memories[m.Dest] = RestoreState{Age: w.now, State: m} // time of the snapshot
			}
			if w.rnd.IntN(1500) == 0 {
				w.restart()
			}
		}
		if w.upgrades && w.rnd.IntN(400) == 0 {
			w.upgrade()
		}
		w.live = slices.DeleteFunc(w.live, func(m *wmsg) bool { return m.ended })
		for _, m := range w.live {
			if w.now > m.deadline {
				w.bad("message %s of class %s has no answer at its deadline", m.id, m.class.Name)
			}
		}
	}
}

// renew replaces the Sender with a new one.
func (w *world) renew() {
	w.t.Helper()
	seed, err := w.rnd.Uint64(), error(nil)
	if w.s, err = New(w.set, seed); err == nil && w.twin != nil {
		w.twin, err = New(w.set, seed)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// restart lets the process crash and another one restore its state. Attempts in flight may have run;
// requested waits and the last snapshots of the destinations are kept.
func (w *world) restart() {
	w.renew()
	w.queue, w.slots = nil, 0
	clear(w.quiet) // the pause of an order key is not kept
	cached := Endpoints{Form: ListCached}
	for _, id := range w.order {
		row := w.eps[id].row
		if w.eps[id].closed {
			row.State = Draining
		}
		cached.Entries = append(cached.Entries, row)
	}
	evs := []Event{cached}
	for _, id := range w.order {
		if left := w.waits[w.lane(w.eps[id])] - w.now; left > 0 {
			evs = append(evs, RequestedWait{id, left})
		}
	}
	for dest := range int64(6) {
		if r, ok := w.memories[dest]; ok {
			r.Age = w.now - r.Age
			evs = append(evs, r)
		}
	}
	for _, m := range w.live {
		if m.mayRun, m.out = m.mayRun || m.out, false; m.ended {
			continue
		}
		ci := slices.IndexFunc(w.set.Classes, func(c Class) bool { return c.Name == m.class.Name })
		evs = append(evs, NewMessage{ID: m.id, Remaining: m.deadline - w.now, Key: m.key, Dest: m.dest, Tenant: -1, Class: ci,
			History: History{Attempts: m.tries, MayHaveRun: m.mayRun, SinceFirst: w.now - m.firstMay, Zone: m.zone, Inherited: true}})
	}
	w.run(evs...)
}

// upgrade lets the process hand over to another one, with its calls in flight.
func (w *world) upgrade() {
	all, keys := w.s.HandOver(w.now)
	w.renew()
	full := Endpoints{Form: ListFull}
	for _, id := range w.order {
		row := w.eps[id].row
		if w.eps[id].closed {
			row.State = Draining
		}
		full.Entries = append(full.Entries, row)
	}
	evs := []Event{full}
	for _, m := range all {
		evs = append(evs, RestoreState{State: m})
	}
	for _, k := range keys {
		evs = append(evs, k)
	}
	outs, first := map[*wmsg]*InFlightAttempt{}, map[*wcall]string{}
	w.queue = slices.DeleteFunc(w.queue, func(q wevent) bool { return q.own == nil }) // timers
	var over []*wmsg
	for _, q := range w.queue {
		r := q.ev.(AttemptResult)
		outs[q.own] = &InFlightAttempt{Endpoint: r.Endpoint, Age: max(w.now-q.at+r.Latency, 0), BatchedWith: first[q.cl]}
		if first[q.cl] == "" {
			first[q.cl] = q.own.id
		}
		if q.own.ended {
			over = append(over, q.own)
		}
	}
	for _, m := range append(over, w.live...) {
		if m.ended && outs[m] == nil || m.ended && !slices.Contains(over, m) {
			continue
		}
		ci := slices.IndexFunc(w.set.Classes, func(c Class) bool { return c.Name == m.class.Name })
		evs = append(evs, NewMessage{ID: m.id, Remaining: m.deadline - w.now, Key: m.key, Dest: m.dest, Tenant: -1, Class: ci,
			History: History{Attempts: m.tries, MayHaveRun: m.mayRun, SinceFirst: w.now - m.firstMay, Zone: m.zone, InFlight: outs[m], Ended: m.ended}})
	}
	w.run(evs...)
}

func (w *world) arrival() Event {
	ci := w.rnd.IntN(len(w.set.Classes))
	c := w.set.Classes[ci]
	m := &wmsg{id: fmt.Sprint("r", len(w.ids)), class: c, dest: int64(1 + w.rnd.IntN(5))}
	left := c.Deadline
	if w.rnd.IntN(5) == 0 {
		left = c.Deadline / 3
	}
	if c.KeepOrder {
		m.key = fmt.Sprint("k", w.rnd.IntN(4))
		w.keys[m.key] = append(w.keys[m.key], m)
	}
	m.deadline = w.now + left
	w.msgs[m.id] = m
	w.ids = append(w.ids, m.id)
	w.live = append(w.live, m)
	tenant := -1
	if n := len(w.set.Tenants); n > 0 {
		tenant = w.rnd.IntN(n)
	}
	return NewMessage{ID: m.id, Remaining: left, Key: m.key, Dest: m.dest, Tenant: tenant, Class: ci}
}

// change drains, removes or adds an endpoint.
func (w *world) change() Event {
	id := w.order[w.rnd.IntN(len(w.order))]
	e := w.eps[id]
	row := e.row
	switch w.rnd.IntN(3) {
	case 0:
		row.State = Draining
	case 1:
		row.State = Gone
	}
	if row.State == Ready {
		e.closed = false
	} else if !e.closed {
		e.closed, e.told = true, w.now
	}
	return Endpoints{Form: ListDelta, Entries: []Entry{row}}
}

func (w *world) due() (evs []Event) {
	var rest []wevent
	for _, q := range w.queue {
		if q.at > w.now {
			rest = append(rest, q)
			continue
		}
		if r, ok := q.ev.(AttemptResult); ok {
			q.ev = w.land(r, q.own, q.cl)
		}
		evs = append(evs, q.ev)
	}
	w.queue = rest
	return evs
}

// land applies the outcome of an attempt to the state that the rules are checked with.
func (w *world) land(r AttemptResult, m *wmsg, c *wcall) AttemptResult {
	if c.open--; c.open == 0 {
		w.slots--
	}
	m.out = false
	if r.Outcome != Overloaded && r.Outcome != ConnectionRefused && r.Outcome != NotSent {
		m.mayRun = true
	}
	if r.Outcome == Completed {
		m.ended = true
	}
	r.MessageEnded = m.ended
	if m.key != "" && (r.Outcome == TimedOut || r.Outcome == ConnectionBroken || r.Outcome == Cancelled) {
		w.quiet[m.key], w.quietBy[m.key] = w.now+w.set.KeyQuiet, m
	}
	e := w.eps[r.Endpoint]
	if r.RetryAfter > 0 {
		w.waits[w.lane(e)] = max(w.waits[w.lane(e)], w.now+r.RetryAfter)
	}
	if e.row.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] && r.Outcome == ConnectionRefused {
		w.knows = true
		if w.knowsRoute == nil {
			w.knowsRoute = map[EndpointID]bool{}
		}
		w.knowsRoute[e.row.Endpoint] = true
	}
	return r
}

func (w *world) outcome(e *wep) (Outcome, Micros, Micros) {
	if e.row.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] {
		return ConnectionRefused, 20_000, 0
	}
	took := Micros(20_000 + w.rnd.IntN(300_000))
	switch x := w.rnd.IntN(100); {
	case x < 70:
		return Completed, took, 0
	case x < 76:
		return Errored, took, 0
	case x < 80:
		return ConnectionBroken, took, 0
	case x < 84:
		return ConnectionRefused, took, 0
	case x < 94:
		wait := Micros(0)
		if w.rnd.IntN(2) == 0 {
			wait = Micros(w.rnd.IntN(3_000_000))
		}
		return Overloaded, 20_000, wait
	}
	return TimedOut, never, 0 // no answer: it ends when it times out or is cancelled
}

// run makes one step and checks all its actions.
func (w *world) run(evs ...Event) {
	opened := map[EndpointID]*wcall{}
	count := map[EndpointID]int{}
	acts := w.s.Step(w.now, evs)
	if w.twin != nil {
		w.same(acts, w.twin.stepBySort(w.now, evs))
	}
	for _, a := range acts {
		w.trace = append(w.trace, fmt.Sprintf("%d %#v", w.now, a))
		switch a := a.(type) {
		case StartAttempt:
			m, e := w.msgs[a.ID], w.eps[a.Endpoint]
			w.checkSend(m, e)
			c := opened[a.Endpoint]
			if c == nil || count[a.Endpoint]%max(w.set.Kinds[e.row.Kind].MaxBatch, 1) == 0 {
				c = &wcall{}
				opened[a.Endpoint] = c
				if w.slots++; w.slots > w.set.Slots {
					w.bad("more calls out than slots")
				}
				w.checkCold(e)
			}
			count[a.Endpoint]++
			c.open++
			o, took, wait := w.outcome(e)
			if took >= a.Timeout {
				o, took, wait = TimedOut, a.Timeout, 0
			}
			w.queue = append(w.queue, wevent{w.now + took, AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries,
				Outcome: o, Latency: took, RetryAfter: wait, Load: w.load()}, m, c})
			m.tries++
		case Cancel:
			if !w.set.MayCancel {
				w.bad("cancel where none is allowed")
			}
			for i, q := range w.queue {
				if r, ok := q.ev.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter = Cancelled, 0
					w.queue[i].ev, w.queue[i].at = r, w.now+w.set.Tick
				}
			}
		case ReturnMessage:
			m := w.msgs[a.ID]
			if m.ended && m.deadline > w.now && !m.class.KeepOrder && m.out {
				w.bad("refused a message with an attempt out")
			}
			if m.mayRun && m.class.Effect == Unsafe || m.mayRun && m.class.ByZone || m.out {
				w.bad("refused %s, which may have run", a.ID)
			}
			if a.RetryIn > w.set.MaxRetryAfter || a.RetryIn > 0 && !w.set.AdviseRetry {
				w.bad("advice of %d", a.RetryIn)
			}
			w.end(m)
		case FailMessage:
			w.end(w.msgs[a.ID])
		case SetTimer:
			w.queue = append(w.queue, wevent{w.now + max(a.Wait, 1), TimerFired{a.Token}, nil, nil})
		case Probe:
			if !w.set.Probing {
				w.bad("probe where none is allowed")
			}
			e := w.eps[a.Endpoint]
			w.checkEndpoint(e)
			w.checkCold(e)
			o, took, _ := w.outcome(e)
			if o == TimedOut {
				took = Second
			}
			w.queue = append(w.queue, wevent{w.now + took, ProbeResult{a.Endpoint, o, nil}, nil, nil})
		}
	}
}

func (w *world) end(m *wmsg) {
	if m.ended && !m.mayRun && w.now <= m.deadline {
		w.bad("%s ended twice", m.id)
	}
	m.ended = true
}

func (w *world) load() []float64 {
	if w.set.LimitIndex < 0 {
		return nil
	}
	return []float64{w.rnd.Float64(), 4 + 4*w.rnd.Float64()}
}

func (w *world) checkEndpoint(e *wep) {
	if e.closed && w.now > e.told+w.set.DrainGrace {
		w.bad("sent to an endpoint that drains or is gone")
	}
	if w.now < w.waits[w.lane(e)] {
		w.bad("sent before a told wait was over")
	}
}

func (w *world) checkSend(m *wmsg, e *wep) {
	w.checkEndpoint(e)
	c := m.class
	switch {
	case m.ended:
		w.bad("sent %s after its end", m.id)
	case m.out:
		w.bad("two attempts of %s at once", m.id)
	case e.row.Dest != m.dest:
		w.bad("sent %s elsewhere", m.id)
	case m.mayRun && c.Effect == Unsafe:
		w.bad("unsafe %s sent again", m.id)
	case m.mayRun && c.Effect == Keyed && (w.now > m.firstMay+c.Window || c.ByZone && e.row.Zone != m.zone):
		w.bad("keyed %s sent outside its group or window", m.id)
	case w.set.MaxTries > 0 && m.tries >= w.set.MaxTries:
		w.bad("too many attempts of %s", m.id)
	}
	if m.key != "" {
		for _, x := range w.keys[m.key] {
			if x == m {
				break
			}
			if !x.ended || x.out {
				w.bad("%s sent before %s of its key was over", m.id, x.id)
			}
		}
		if w.now < w.quiet[m.key] && w.quietBy[m.key] != m {
			w.bad("%s sent while its key rests", m.id)
		}
	}
	m.out = true
	if !m.mayRun {
		m.firstMay, m.zone = w.now, e.row.Zone
	}
}
