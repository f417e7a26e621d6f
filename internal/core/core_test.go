package core

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// One state from hand-in to end, over the end's confirmation and over a restart.
func TestStates(t *testing.T) {
	dir := t.TempDir()
	r := newRig(t, dir, testConfig()).run()
	if got := r.state("a"); got != "" {
		t.Errorf("before: %q", got)
	}
	r.put(newMessage("a", "safe"))
	in := byhand.Await(t, r.hand.attempts, "attempt")
	if got := r.state("a"); got != StateSending {
		t.Errorf("with an attempt out: %q", got)
	}
	over := make(chan State, 1)
	go func() {
		s, _ := r.State(t.Context(), "a", true)
		over <- s
	}()
	in.result <- Result{Outcome: logic.Overloaded, RequestedWait: 300 * time.Millisecond}
	for r.state("a") != StateAccepted { // until the outcome has come
	}
	(byhand.Await(t, r.hand.attempts, "attempt after the wait")).result <- Result{Outcome: logic.Completed}
	if s := byhand.Await(t, over, "state of a message that is over"); s.Name != message.Delivered || s.Attempts != 2 || s.EndedAt.IsZero() || s.Partner != "acme" {
		t.Errorf("over: %+v", s)
	}
	if x := byhand.Await(t, r.ends.told, "end"); x.ID != "a" || x.State != message.Delivered || x.Attempts != 2 {
		t.Errorf("told %+v", x)
	}
	r.put(newMessage("b", "unsafe"))
	(byhand.Await(t, r.hand.attempts, "attempt")).result <- Result{Outcome: logic.ConnectionBroken}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "b"
	check := func(when string) {
		t.Helper()
		if a, b := r.state("a"), r.state("b"); a != message.Delivered || b != message.Failed {
			t.Errorf("%s: %q %q", when, a, b)
		}
	}
	check("before the restart")
	r.halt()
	if _, err := r.State(t.Context(), "a", true); !errors.Is(err, ErrStopped) {
		t.Errorf("after the end: %v", err)
	}
	r = newRig(t, dir, testConfig()).run()
	if x := byhand.Await(t, r.ends.told, "end that nobody confirmed"); x.ID != "a" || x.State != message.Delivered {
		t.Errorf("told %+v", x)
	}
	check("after the restart")
	r.ends.confirm <- "a"
	if a := r.put(newMessage("b", "unsafe")); a.Status != Accepted || !a.Duplicate {
		t.Errorf("handed in again after its end: %+v", a)
	}
	r.halt()
}

// The same id is one message; with another content it is told apart, held or over.
func TestSameID(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig()).run()
	other := newMessage("a", "safe")
	other.Body = []byte("another")
	answers := make(chan SubmitResponse, 3)
	r.Submit(newMessage("a", "safe"), answers)
	r.Submit(newMessage("a", "safe"), answers)
	r.Submit(other, answers)
	count := map[SubmitStatus]int{}
	for range 3 {
		count[byhand.Await(t, answers, "answer").Status]++
	}
	if count[Accepted] != 2 || count[Conflict] != 1 {
		t.Errorf("answers %v", count)
	}
	in := byhand.Await(t, r.hand.attempts, "attempt")
	if string(in.Message.Body) != "body of a" {
		t.Errorf("sent %q", in.Message.Body)
	}
	in.result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.ends.told, "end")
	if a := r.put(other); a.Status != Conflict {
		t.Errorf("another message under the id of one that is over: %+v", a)
	}
	r.ends.confirm <- "a"
	if len(r.hand.attempts) != 0 {
		t.Error("sent twice")
	}
	r.halt()
}

// A thousand races of one id over two submitters: one attempt each, and a state asked for meanwhile is one that the
// message has had.
func TestRacedID(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.MaxOpen = 0
	r := newRig(t, t.TempDir(), cfg).run()
	go func() {
		for x := range r.ends.told {
			r.ends.confirm <- x.ID
		}
	}()
	for i := range 1000 {
		id := fmt.Sprint("m", i)
		answers := make(chan SubmitResponse, 2)
		for range 2 {
			go r.Submit(newMessage(id, "unsafe"), answers)
		}
		in := byhand.Await(t, r.hand.attempts, "attempt")
		if in.Message.ID != id {
			t.Fatalf("attempt of %s, want %s", in.Message.ID, id)
		}
		seen := make(chan string, 1)
		go func() {
			s, _ := r.State(context.Background(), id, false)
			seen <- s.Name
		}()
		in.result <- Result{Outcome: logic.Completed}
		again := 0
		for range 2 {
			a := byhand.Await(t, answers, "answer")
			if a.Status != Accepted {
				t.Fatalf("answer %+v", a)
			}
			if a.Duplicate {
				again++
			}
		}
		if again != 1 {
			t.Fatalf("%d of two answers say that it was known", again)
		}
		if s := byhand.Await(t, seen, "state"); s != StateSending && s != message.Delivered && s != StateAccepted {
			t.Fatalf("state %q", s)
		}
		if s, err := r.State(t.Context(), id, true); err != nil || s.Name != message.Delivered || s.Attempts != 1 {
			t.Fatalf("state %+v, %v", s, err)
		}
	}
	r.halt()
	if len(r.hand.attempts) != 0 {
		t.Error("a message was sent twice")
	}
}

// Nobody who gives up waiting leaves anything behind.
func TestWatchGivenUp(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig()).run()
	r.put(newMessage("a", "safe"))
	in := byhand.Await(t, r.hand.attempts, "attempt")
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan State, 1)
	go func() {
		s, err := r.State(ctx, "a", true)
		if err != nil {
			t.Error(err)
		}
		got <- s
	}()
	cancel()
	if s := byhand.Await(t, got, "state"); s.Name != StateSending {
		t.Errorf("state %+v", s)
	}
	in.result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "a"
	r.halt()
	if len(r.watchers) != 0 {
		t.Errorf("%d watched messages are left", len(r.watchers))
	}
}

// The hold has a limit; what comes above it is turned away, and so is what the store has no room for.
func TestDoor(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig())
	r.resume()
	put := func() SubmitResponse {
		answer := make(chan SubmitResponse, 1)
		r.Core.put(putEvent{msg: newMessage("a", "safe"), answer: answer})
		return byhand.Await(t, answer, "answer")
	}
	r.open = r.cfg.Settings.MaxOpen
	if a := put(); a.Status != Busy {
		t.Errorf("above max_open: %+v", a)
	}
	r.open = 0
	for i := 0; r.store.Reserve(9); i++ {
		if err := r.store.Append([]journal.Record{{Op: journal.OpAccept, Entry: &journal.Entry{
			Message: message.Message{ID: fmt.Sprint("f", i), Body: make([]byte, 60000)}}}}); err != nil {
			t.Fatal(err)
		}
	}
	if a := put(); a.Status != Busy {
		t.Errorf("without room in the store: %+v", a)
	}
}

// A message that can't be journalled is not taken on: it would be lost with the process. Nothing of it is sent,
// and the module gets the outcome of what it wanted to send, or a slot would be lost for good.
func TestStoreFails(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig()).run()
	r.store.set(true)
	for i := range 10 { // more than there are slots
		if a := r.put(newMessage(fmt.Sprint("x", i), "safe")); a.Status != Busy {
			t.Fatalf("answer %+v", a)
		}
	}
	if len(r.hand.attempts) != 0 {
		t.Error("sent without a record")
	}
	r.store.set(false)
	if a := r.put(newMessage("a", "safe")); a.Status != Accepted {
		t.Fatalf("answer %+v", a)
	}
	in := byhand.Await(t, r.hand.attempts, "attempt")
	if in.Message.ID != "a" {
		t.Fatalf("attempt of %s", in.Message.ID)
	}
	in.result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "a"
	r.halt()
}

// A probe that is asked for has its one result.
func TestProbe(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig()).run()
	r.probe(t.Context(), 1)
	if ep := byhand.Await(t, r.hand.probes, "probe"); ep != 1 {
		t.Errorf("probe of %d", ep)
	}
	r.halt()
}

// A wait or a drain holds the calls that still connect there, and no others.
func TestHoldReachesWaitingAttempts(t *testing.T) {
	for _, x := range []struct {
		name  string
		apart bool
		learn func(c *Core)
		held  [4]bool // waiting for endpoints 1 and 2 of one partner and 3 of another; begun at 1
		freed string  // endpoints whose idle connections are given back
	}{
		{"wait, one limit", false, func(c *Core) { c.holdWait(1) }, [4]bool{true, true, false, false}, "[]"},
		{"wait, routes apart", true, func(c *Core) { c.holdWait(1) }, [4]bool{true, false, false, false}, "[]"},
		{"drain", false, func(c *Core) {
			c.news(EndpointUpdate{List: EndpointList{Endpoints: []Endpoint{{Name: "b", Partner: "p", State: logic.Draining}}}})
		}, [4]bool{false, true, false, false}, "[2]"},
		{"whole list", false, func(c *Core) {
			c.news(EndpointUpdate{List: EndpointList{Complete: true, Endpoints: []Endpoint{{Name: "a", Partner: "p"}}}})
		}, [4]bool{false, true, true, false}, "[2 3]"},
	} {
		cfg := testConfig()
		cfg.Settings.Kinds[0].Independent = x.apart
		r := newRig(t, t.TempDir(), cfg)
		c := r.Core
		c.dir.take(EndpointList{Endpoints: []Endpoint{{Name: "a", Addr: "h:1", Kind: "std", Partner: "p"},
			{Name: "b", Addr: "h:2", Kind: "std", Partner: "p"}, {Name: "c", Addr: "h:3", Kind: "std", Partner: "q"}}})
		var out []*Attempt
		for i, ep := range []logic.EndpointID{1, 2, 3, 1} {
			out = append(out, &Attempt{Endpoint: ep})
			c.held[fmt.Sprint("m", i)] = &held{attempt: out[i], stop: func() {}}
		}
		out[3].Begin()
		x.learn(c)
		for i, a := range out {
			if got := a.state.Load() == attemptWithheld; got != x.held[i] {
				t.Errorf("%s: attempt %d held: %v", x.name, i, got)
			}
		}
		slices.Sort(r.hand.released)
		if got := fmt.Sprint(r.hand.released); got != x.freed {
			t.Errorf("%s: connections to %s are given back, want %s", x.name, got, x.freed)
		}
	}
}

// Whether an attempt may have run decides after a restart whether an unsafe message is sent again.
func TestMayHaveRunByOutcome(t *testing.T) {
	for o, want := range map[logic.Outcome]bool{logic.Completed: true, logic.Errored: true, logic.TimedOut: true, logic.InvalidResponse: true,
		logic.ConnectionBroken: true, logic.Cancelled: true, logic.Overloaded: false, logic.ConnectionRefused: false, logic.NotSent: false} {
		if mayHaveRun(o) != want {
			t.Errorf("outcome %d: may have run %v", o, !want)
		}
	}
}

// Endpoints are ever new: what is off the list for long is forgotten, and no number is given twice.
func TestDirectoryChurn(t *testing.T) {
	d := newDirectory(nil, nil)
	seen := map[logic.EndpointID]bool{}
	now := time.Now()
	for i := range 1000 {
		at := fmt.Sprintf("127.0.0.1:%d", 1+i%3) // at the address of one that has gone
		l := EndpointList{Endpoints: []Endpoint{{Name: fmt.Sprint("s-", i), Addr: at, Partner: "p"}}}
		if i > 0 {
			l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprint("s-", i-1), Partner: "p", State: logic.Gone})
		}
		rows := d.take(l)
		if seen[rows[0].Endpoint] {
			t.Fatalf("number %d is given twice", rows[0].Endpoint)
		}
		seen[rows[0].Endpoint] = true
		d.forget(now, nil, nil)
		if i%10 == 9 {
			now = now.Add(2 * keepGone)
			for id, to := range d.eps {
				if !to.gone.IsZero() {
					d.forget(now, map[logic.EndpointID]bool{id: true}, nil)
					if _, ok := d.eps[id]; !ok {
						t.Fatal("an endpoint with a call out is forgotten")
					}
					break
				}
			}
			d.forget(now, nil, nil)
		}
		if !d.serves("p") || d.serves("q") {
			t.Fatal("the wrong partners are known")
		}
	}
	d.take(EndpointList{Complete: true})
	later := time.Now().Add(2 * keepGone)
	d.forget(later, nil, nil)
	if d.serves("p") || len(d.eps)+len(d.ids) != 0 {
		t.Errorf("left: %d endpoints, %d names", len(d.eps), len(d.ids))
	}
	number := d.partner("p").dest
	later = later.Add(2 * keepPartner)
	d.forget(later, nil, map[string]bool{"p": true})
	if d.partner("p").dest != number {
		t.Error("a partner with a message is forgotten")
	}
	d.forget(later.Add(2*keepPartner), nil, nil)
	if len(d.partners) != 0 {
		t.Errorf("left: %d partners", len(d.partners))
	}
}

// calls is a transport that tells of each call with several messages and answers it once it is called off.
type calls struct {
	hand
	out chan several
}

type several struct {
	ctx  context.Context
	call []*Attempt
}

func (c *calls) Batch(ctx context.Context, call []*Attempt) []Result {
	c.out <- several{ctx, call}
	<-ctx.Done()
	return make([]Result, len(call))
}

// A call with several messages goes on until each of them is called off, and one that is called off before the call
// has begun is not in it.
func TestCallOffOneOfSeveral(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.Kinds = []logic.Kind{{Name: "k", MaxBatch: 2}}
	r := newRig(t, t.TempDir(), cfg)
	out := make(chan several, 8)
	r.transport = &calls{out: out}
	r.dir.eps[1] = target{name: "a"}
	var outs []logic.StartAttempt
	for i := range 5 {
		id := fmt.Sprint("m", i)
		r.held[id] = &held{msg: newMessage(id, "safe")}
		if i < 4 {
			outs = append(outs, logic.StartAttempt{ID: id, Endpoint: 1})
		}
	}
	r.callOuts(t.Context(), outs, true)
	for _, in := range []several{byhand.Await(t, out, "call"), byhand.Await(t, out, "call")} {
		pair := in.call
		if len(pair) != 2 {
			t.Fatalf("a call with %d messages, want 2", len(pair))
		}
		first, second := r.held[pair[0].Message.ID], r.held[pair[1].Message.ID]
		first.stop()
		first.stop()
		if pair[0].Begin() || !pair[1].Begin() {
			t.Error("the one called off may begin, or the other may not")
		}
		if in.ctx.Err() != nil {
			t.Error("the call is over with one message still in it")
		}
		second.stop()
		if ev := byhand.Await(t, r.events, "outcomes").(replyEvent); len(ev) != 2 {
			t.Errorf("%d outcomes", len(ev))
		}
	}
}

// A call that was decided on by a larger part of each rate than may be used now does
// not go out, however late it would be begun; it goes once the weights have followed.
func TestHeldWhenPartIsOver(t *testing.T) {
	var allowed atomic.Uint64
	set := func(v float64) { allowed.Store(math.Float64bits(v)) }
	r := newRig(t, t.TempDir(), testConfig())
	r.allowed = func() float64 { return math.Float64frombits(allowed.Load()) }
	set(0.5)
	r.run()
	list := *testConfig().CachedEndpoints
	weigh := func(part float64) {
		list.Share = part
		r.post(EndpointUpdate{List: list})
	}
	weigh(0.5)
	r.put(newMessage("first", "safe"))
	in := byhand.Await(t, r.hand.attempts, "call")
	in.result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.ends.told, "end")
	set(0.25) // its lease is over
	r.put(newMessage("late", "safe"))
	select {
	case in := <-r.hand.attempts:
		t.Fatalf("%s goes out by a part that is over", in.Message.ID)
	case <-time.After(retryPause / 2): // it was held at once
	}
	weigh(0.25)
	in = byhand.Await(t, r.hand.attempts, "call by the part that holds")
	in.result <- Result{Outcome: logic.Completed}
	if end := byhand.Await(t, r.ends.told, "end"); end.ID != "late" || end.State != message.Delivered {
		t.Errorf("%+v", end)
	}
}

// While every partner has endpoints and none has long been gone, nothing that is held has to be looked at each second.
func TestDirectorySparesNothing(t *testing.T) {
	d, now := newDirectory(nil, nil), time.Now()
	d.take(EndpointList{Complete: true, Endpoints: []Endpoint{{Name: "a", Partner: "p"}, {Name: "b", Partner: "q"}}})
	if d.spare(now) {
		t.Error("all are listed")
	}
	d.take(EndpointList{Endpoints: []Endpoint{{Name: "a", Partner: "p", State: logic.Gone}}})
	gone := d.spare(now.Add(keepGone / 2))
	long := d.spare(now.Add(2 * keepGone))
	if gone || !long {
		t.Errorf("off the list for half a minute: %v, for two: %v", gone, long)
	}
	d.forget(now.Add(2*keepGone), nil, nil)
	if !d.spare(now) {
		t.Error("a partner without endpoints can be forgotten")
	}
}
