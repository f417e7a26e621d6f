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
	return Settings{Senders: 2, Zones: 1, Slots: 8, MaxOpen: 60, MaxAttempts: 6, Tick: 5000, MayCancel: true,
		AdviseRetry: true,
		Classes: []Class{
			{Name: "a", Aim: Second, Deadline: 10 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "b", Aim: 2 * Second, Deadline: 12 * Second, Worth: 2, LateWorth: 0.4, Effect: Keyed,
				Window: 8 * Second},
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

func (r *rig) message(class int) NewMessage {
	r.n++
	return NewMessage{ID: fmt.Sprintf("m%d", r.n), Remaining: r.s.settings.Classes[class].Deadline, Dest: 9,
		Tenant: -1, Class: class}
}

func answer(id string, ep EndpointID, attempt int, o Outcome) AttemptResult {
	return AttemptResult{ID: id, Endpoint: ep, Attempt: attempt, Outcome: o, Latency: sec(0.1),
		MessageEnded: o == Completed}
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
	t             *testing.T
	settings      Settings
	rnd           *rand.Rand
	s             *Sender
	now           Micros
	messages      map[string]*worldMessage
	ids           []string
	pending       []*worldMessage
	endpoints     map[EndpointID]*worldEndpoint
	endpointOrder []EndpointID
	queue         []worldEvent
	waitUntil     map[string]Micros
	asked         map[EndpointID]int
	byKey         map[string][]*worldMessage
	quietUntil    map[string]Micros
	quietMessage  map[string]*worldMessage
	slots         int
	outage        [2]Micros // all endpoints of destination 1 refuse connections
	outageSeen    bool
	coldCalls     []Micros
	coldCallsAt   map[EndpointID][]Micros // for independent endpoints
	outageSeenAt  map[EndpointID]bool     // its outage was detected
	callsBefore   []Micros
	peak          float64
	trace         []string
	restarts      bool // processes crash, and others restore their state
	upgrades      bool // processes hand over their whole state, with calls in flight
	snapshots     map[int64]RestoreState
	twin          *Sender // if set, it decides without the index in each step, and must decide the same
	everyTick     bool    // one step per tick
	meanGap       int     // mean time between arrivals, in milliseconds; 0 for 75
}

type worldMessage struct {
	id              string
	class           Class
	dest            int64
	key             string
	deadline        Micros
	ended, inFlight bool
	mayHaveRun      bool
	mayHaveRunAt    Micros
	zone            int
	attempts        int
}

type worldEndpoint struct {
	entry    Entry
	closedAt Micros // when the list said that it drains or is removed
	closed   bool
}

type worldEvent struct {
	at   Micros
	ev   Event
	msg  *worldMessage
	call *worldCall
}

type worldCall struct{ open int }

func (w *world) limiterName(e *worldEndpoint) string {
	if w.settings.Kinds[e.entry.Kind].Independent {
		return fmt.Sprint("route", e.entry.Endpoint)
	}
	return fmt.Sprint("dest", e.entry.Dest)
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, args...)...)
}

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, settings: set, rnd: rand.New(rand.NewPCG(seed, 1)), s: s, messages: map[string]*worldMessage{},
		endpoints: map[EndpointID]*worldEndpoint{}, waitUntil: map[string]Micros{}, asked: map[EndpointID]int{},
		byKey: map[string][]*worldMessage{}, quietUntil: map[string]Micros{}, quietMessage: map[string]*worldMessage{},
		outage: [2]Micros{12 * Second, 20 * Second}, snapshots: map[int64]RestoreState{}}
}

// play simulates 40 seconds of random traffic.
func (w *world) play() {
	var first Endpoints
	first.Form = ListCached
	for i := 0; i < 8; i++ {
		entry := Entry{Endpoint: EndpointID(100 + i), Dest: int64(1 + i/2), Kind: (i / 2) % len(w.settings.Kinds),
			Zone: i % max(w.settings.Zones, 1), NominalRate: 6}
		w.endpoints[entry.Endpoint] = &worldEndpoint{entry: entry}
		w.endpointOrder = append(w.endpointOrder, entry.Endpoint)
		first.Entries = append(first.Entries, entry)
	}
	w.run(first)
	next := Micros(0)
	for w.now < 60*Second {
		w.now += w.settings.Tick
		var evs []Event
		evs = append(evs, w.dueEvents()...)
		if w.now < 40*Second && w.now >= next {
			next = w.now + Micros(w.rnd.IntN(2000*cmp.Or(w.meanGap, 75)))
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
			m := w.messages[w.ids[w.rnd.IntN(len(w.ids))]]
			m.ended = true // withdrawn, or ended long ago
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerFired{3})
		}
		if w.everyTick && w.now == 36*Second {
			evs = append(evs, Stopping{Remaining: 8 * Second}) // a new process, if one follows, does not get this event
		}
		if len(evs) > 0 || w.everyTick {
			w.run(evs...)
		}
		if w.restarts {
			for _, m := range w.s.ChangedStates(w.now, 2) {
				w.snapshots[m.Dest] = RestoreState{Age: w.now, State: m} // time of the snapshot
			}
			if w.rnd.IntN(1500) == 0 {
				w.restart()
			}
		}
		if w.upgrades && w.rnd.IntN(400) == 0 {
			w.upgrade()
		}
		w.pending = slices.DeleteFunc(w.pending, func(m *worldMessage) bool { return m.ended })
		for _, m := range w.pending {
			if w.now > m.deadline {
				w.fail("message %s of class %s has no answer at its deadline", m.id, m.class.Name)
			}
		}
	}
}

// replaceSender replaces the Sender with a new one.
func (w *world) replaceSender() {
	w.t.Helper()
	seed, err := w.rnd.Uint64(), error(nil)
	if w.s, err = New(w.settings, seed); err == nil && w.twin != nil {
		w.twin, err = New(w.settings, seed)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// restart lets the process crash and another one restore its state. Attempts in flight may have run;
// requested waits and the last snapshots of the destinations are kept.
func (w *world) restart() {
	w.replaceSender()
	w.queue, w.slots = nil, 0
	clear(w.quietUntil) // the pause of an order key is not kept
	cached := Endpoints{Form: ListCached}
	for _, id := range w.endpointOrder {
		entry := w.endpoints[id].entry
		if w.endpoints[id].closed {
			entry.State = Draining
		}
		cached.Entries = append(cached.Entries, entry)
	}
	evs := []Event{cached}
	for _, id := range w.endpointOrder {
		if left := w.waitUntil[w.limiterName(w.endpoints[id])] - w.now; left > 0 {
			evs = append(evs, RequestedWait{id, left})
		}
	}
	for dest := range int64(6) {
		if r, ok := w.snapshots[dest]; ok {
			r.Age = w.now - r.Age
			evs = append(evs, r)
		}
	}
	for _, m := range w.pending {
		if m.mayHaveRun, m.inFlight = m.mayHaveRun || m.inFlight, false; m.ended {
			continue
		}
		class := slices.IndexFunc(w.settings.Classes, func(c Class) bool { return c.Name == m.class.Name })
		evs = append(evs, NewMessage{ID: m.id, Remaining: m.deadline - w.now, Key: m.key, Dest: m.dest, Tenant: -1,
			Class: class,
			History: History{Attempts: m.attempts, MayHaveRun: m.mayHaveRun, SinceFirst: w.now - m.mayHaveRunAt,
				Zone: m.zone, Inherited: true}})
	}
	w.run(evs...)
}

// upgrade lets the process hand over to another one, with its calls in flight.
func (w *world) upgrade() {
	states, keys := w.s.HandOver(w.now)
	w.replaceSender()
	full := Endpoints{Form: ListFull}
	for _, id := range w.endpointOrder {
		entry := w.endpoints[id].entry
		if w.endpoints[id].closed {
			entry.State = Draining
		}
		full.Entries = append(full.Entries, entry)
	}
	evs := []Event{full}
	for _, m := range states {
		evs = append(evs, RestoreState{State: m})
	}
	for _, k := range keys {
		evs = append(evs, k)
	}
	inFlight, first := map[*worldMessage]*InFlightAttempt{}, map[*worldCall]string{}
	w.queue = slices.DeleteFunc(w.queue, func(q worldEvent) bool { return q.msg == nil }) // timers
	var ended []*worldMessage
	for _, q := range w.queue {
		r := q.ev.(AttemptResult)
		inFlight[q.msg] = &InFlightAttempt{Endpoint: r.Endpoint, Age: max(w.now-q.at+r.Latency, 0),
			BatchedWith: first[q.call]}
		if first[q.call] == "" {
			first[q.call] = q.msg.id
		}
		if q.msg.ended {
			ended = append(ended, q.msg)
		}
	}
	for _, m := range append(ended, w.pending...) {
		if m.ended && inFlight[m] == nil || m.ended && !slices.Contains(ended, m) {
			continue
		}
		class := slices.IndexFunc(w.settings.Classes, func(c Class) bool { return c.Name == m.class.Name })
		evs = append(evs, NewMessage{ID: m.id, Remaining: m.deadline - w.now, Key: m.key, Dest: m.dest, Tenant: -1,
			Class: class,
			History: History{Attempts: m.attempts, MayHaveRun: m.mayHaveRun, SinceFirst: w.now - m.mayHaveRunAt,
				Zone: m.zone, InFlight: inFlight[m], Ended: m.ended}})
	}
	w.run(evs...)
}

func (w *world) arrival() Event {
	class := w.rnd.IntN(len(w.settings.Classes))
	c := w.settings.Classes[class]
	m := &worldMessage{id: fmt.Sprint("r", len(w.ids)), class: c, dest: int64(1 + w.rnd.IntN(5))}
	left := c.Deadline
	if w.rnd.IntN(5) == 0 {
		left = c.Deadline / 3
	}
	if c.KeepOrder {
		m.key = fmt.Sprint("k", w.rnd.IntN(4))
		w.byKey[m.key] = append(w.byKey[m.key], m)
	}
	m.deadline = w.now + left
	w.messages[m.id] = m
	w.ids = append(w.ids, m.id)
	w.pending = append(w.pending, m)
	tenant := -1
	if n := len(w.settings.Tenants); n > 0 {
		tenant = w.rnd.IntN(n)
	}
	return NewMessage{ID: m.id, Remaining: left, Key: m.key, Dest: m.dest, Tenant: tenant, Class: class}
}

// change drains, removes or adds an endpoint.
func (w *world) change() Event {
	id := w.endpointOrder[w.rnd.IntN(len(w.endpointOrder))]
	e := w.endpoints[id]
	entry := e.entry
	switch w.rnd.IntN(3) {
	case 0:
		entry.State = Draining
	case 1:
		entry.State = Gone
	}
	if entry.State == Ready {
		e.closed = false
	} else if !e.closed {
		e.closed, e.closedAt = true, w.now
	}
	return Endpoints{Form: ListDelta, Entries: []Entry{entry}}
}

func (w *world) dueEvents() (evs []Event) {
	var rest []worldEvent
	for _, q := range w.queue {
		if q.at > w.now {
			rest = append(rest, q)
			continue
		}
		if r, ok := q.ev.(AttemptResult); ok {
			q.ev = w.recordOutcome(r, q.msg, q.call)
		}
		evs = append(evs, q.ev)
	}
	w.queue = rest
	return evs
}

// recordOutcome applies the outcome of an attempt to the state that the rules are checked with.
func (w *world) recordOutcome(r AttemptResult, m *worldMessage, c *worldCall) AttemptResult {
	if c.open--; c.open == 0 {
		w.slots--
	}
	m.inFlight = false
	if r.Outcome != Overloaded && r.Outcome != ConnectionRefused && r.Outcome != NotSent {
		m.mayHaveRun = true
	}
	if r.Outcome == Completed {
		m.ended = true
	}
	r.MessageEnded = m.ended
	if m.key != "" && (r.Outcome == TimedOut || r.Outcome == ConnectionBroken || r.Outcome == Cancelled) {
		w.quietUntil[m.key], w.quietMessage[m.key] = w.now+w.settings.KeyQuiet, m
	}
	e := w.endpoints[r.Endpoint]
	if r.RetryAfter > 0 {
		w.waitUntil[w.limiterName(e)] = max(w.waitUntil[w.limiterName(e)], w.now+r.RetryAfter)
	}
	if e.entry.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] && r.Outcome == ConnectionRefused {
		w.outageSeen = true
		if w.outageSeenAt == nil {
			w.outageSeenAt = map[EndpointID]bool{}
		}
		w.outageSeenAt[e.entry.Endpoint] = true
	}
	return r
}

func (w *world) outcome(e *worldEndpoint) (Outcome, Micros, Micros) {
	if e.entry.Dest == 1 && w.now > w.outage[0] && w.now < w.outage[1] {
		return ConnectionRefused, 20_000, 0
	}
	latency := Micros(20_000 + w.rnd.IntN(300_000))
	switch x := w.rnd.IntN(100); {
	case x < 70:
		return Completed, latency, 0
	case x < 76:
		return Errored, latency, 0
	case x < 80:
		return ConnectionBroken, latency, 0
	case x < 84:
		return ConnectionRefused, latency, 0
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
	opened := map[EndpointID]*worldCall{}
	count := map[EndpointID]int{}
	acts := w.s.Step(w.now, evs)
	if w.twin != nil {
		w.compareActions(acts, w.twin.stepBySort(w.now, evs))
	}
	for _, a := range acts {
		w.trace = append(w.trace, fmt.Sprintf("%d %#v", w.now, a))
		switch a := a.(type) {
		case StartAttempt:
			m, e := w.messages[a.ID], w.endpoints[a.Endpoint]
			w.checkSend(m, e)
			c := opened[a.Endpoint]
			if c == nil || count[a.Endpoint]%max(w.settings.Kinds[e.entry.Kind].MaxBatch, 1) == 0 {
				c = &worldCall{}
				opened[a.Endpoint] = c
				if w.slots++; w.slots > w.settings.Slots {
					w.fail("more calls in flight than slots")
				}
				w.checkCold(e)
			}
			count[a.Endpoint]++
			c.open++
			o, latency, wait := w.outcome(e)
			if latency >= a.Timeout {
				o, latency, wait = TimedOut, a.Timeout, 0
			}
			w.queue = append(w.queue, worldEvent{w.now + latency,
				AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.attempts,
					Outcome: o, Latency: latency, RetryAfter: wait, Load: w.load()}, m, c})
			m.attempts++
		case Cancel:
			if !w.settings.MayCancel {
				w.fail("cancel where none is allowed")
			}
			for i, q := range w.queue {
				if r, ok := q.ev.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter = Cancelled, 0
					w.queue[i].ev, w.queue[i].at = r, w.now+w.settings.Tick
				}
			}
		case ReturnMessage:
			m := w.messages[a.ID]
			if m.ended && m.deadline > w.now && !m.class.KeepOrder && m.inFlight {
				w.fail("returned a message with an attempt in flight")
			}
			if m.mayHaveRun && m.class.Effect == Unsafe || m.mayHaveRun && m.class.ByZone || m.inFlight {
				w.fail("returned %s, which may have run", a.ID)
			}
			if a.RetryIn > w.settings.MaxRetryAfter || a.RetryIn > 0 && !w.settings.AdviseRetry {
				w.fail("advised delay of %d", a.RetryIn)
			}
			w.recordEnd(m)
		case FailMessage:
			w.recordEnd(w.messages[a.ID])
		case SetTimer:
			w.queue = append(w.queue, worldEvent{w.now + max(a.Wait, 1), TimerFired{a.Token}, nil, nil})
		case Probe:
			if !w.settings.Probing {
				w.fail("probe where none is allowed")
			}
			e := w.endpoints[a.Endpoint]
			w.checkEndpoint(e)
			w.checkCold(e)
			o, latency, _ := w.outcome(e)
			if o == TimedOut {
				latency = Second
			}
			w.queue = append(w.queue, worldEvent{w.now + latency, ProbeResult{a.Endpoint, o, nil}, nil, nil})
		}
	}
}

func (w *world) recordEnd(m *worldMessage) {
	if m.ended && !m.mayHaveRun && w.now <= m.deadline {
		w.fail("%s ended twice", m.id)
	}
	m.ended = true
}

func (w *world) load() []float64 {
	if w.settings.LimitIndex < 0 {
		return nil
	}
	return []float64{w.rnd.Float64(), 4 + 4*w.rnd.Float64()}
}

func (w *world) checkEndpoint(e *worldEndpoint) {
	if e.closed && w.now > e.closedAt+w.settings.DrainGrace {
		w.fail("sent to an endpoint that drains or is removed")
	}
	if w.now < w.waitUntil[w.limiterName(e)] {
		w.fail("sent before a requested wait was over")
	}
}

func (w *world) checkSend(m *worldMessage, e *worldEndpoint) {
	w.checkEndpoint(e)
	c := m.class
	switch {
	case m.ended:
		w.fail("sent %s after its end", m.id)
	case m.inFlight:
		w.fail("two attempts of %s at once", m.id)
	case e.entry.Dest != m.dest:
		w.fail("sent %s to another destination", m.id)
	case m.mayHaveRun && c.Effect == Unsafe:
		w.fail("unsafe %s sent again", m.id)
	case m.mayHaveRun && c.Effect == Keyed && (w.now > m.mayHaveRunAt+c.Window || c.ByZone && e.entry.Zone != m.zone):
		w.fail("keyed %s sent outside its zone or window", m.id)
	case w.settings.MaxAttempts > 0 && m.attempts >= w.settings.MaxAttempts:
		w.fail("too many attempts of %s", m.id)
	}
	if m.key != "" {
		for _, x := range w.byKey[m.key] {
			if x == m {
				break
			}
			if !x.ended || x.inFlight {
				w.fail("%s sent before %s of its key ended", m.id, x.id)
			}
		}
		if w.now < w.quietUntil[m.key] && w.quietMessage[m.key] != m {
			w.fail("%s sent while its key is paused", m.id)
		}
	}
	m.inFlight = true
	if !m.mayHaveRun {
		m.mayHaveRunAt, m.zone = w.now, e.entry.Zone
	}
}
