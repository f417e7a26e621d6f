package core

import (
	"context"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// crowd stands for the other senders.
type crowd struct{ told, say chan Observation }

func (c crowd) Publish(l Observation) { c.told <- l }
func (c crowd) Receive(ctx context.Context, take func([]Observation)) {
	for {
		select {
		case l := <-c.say:
			take([]Observation{l})
		case <-ctx.Done():
			return
		}
	}
}

// What others have learnt of an endpoint binds this sender, over a restart too, and
// what it learns itself is told; what concerns no endpoint of its own does nothing.
func TestOthers(t *testing.T) {
	cfg, dir := testConfig(), t.TempDir()
	cfg.PersistWaits, cfg.Settings.PublishHealth = true, true
	others := crowd{make(chan Observation, 64), make(chan Observation)}
	start := func() *rig {
		r := newRig(t, dir, cfg)
		r.others = others
		return r.run()
	}
	r := start()
	others.say <- Observation{Partner: "acme", Endpoint: "e9", RequestedWait: time.Hour}
	others.say <- Observation{Partner: "later", Endpoint: "e8", RequestedWait: time.Hour}
	others.say <- Observation{Partner: "other", Endpoint: "e1", RequestedWait: time.Hour}
	const wait = 400 * time.Millisecond
	at := time.Now()
	others.say <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait}
	others.say <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait / 2} // the longer one holds; and the loop has had the first
	r.put(newMessage("a", "safe"))
	in := byhand.Await(t, r.hand.attempts, "attempt")
	if d := time.Since(at); d < wait {
		t.Errorf("called %v after the news of a wait of %v", d, wait)
	}
	in.result <- Result{Outcome: logic.Overloaded, RequestedWait: 100 * time.Millisecond}
	if l := byhand.Await(t, others.told, "lesson"); l != (Observation{Partner: "acme", Endpoint: "e1", RequestedWait: 100 * time.Millisecond}) {
		t.Errorf("told %+v", l)
	}
	in = byhand.Await(t, r.hand.attempts, "attempt")
	others.say <- Observation{Partner: "acme", Endpoint: "e1", Outage: true, CausalMark: 7}
	others.say <- Observation{Partner: "acme", Endpoint: "e9", Outage: true} // the loop has had the one before
	r.state("a")
	in.result <- Result{Outcome: logic.Completed} // to a call from before: tells nothing
	byhand.Await(t, r.ends.told, "end")
	r.put(newMessage("b", "safe"))
	(byhand.Await(t, r.hand.attempts, "attempt")).result <- Result{Outcome: logic.Completed}
	if l := byhand.Await(t, others.told, "lesson"); l != (Observation{Partner: "acme", Endpoint: "e1", Recovered: true, CausalMark: 7}) {
		t.Errorf("told %+v", l)
	}

	r.post(EndpointUpdate{List: EndpointList{Endpoints: []Endpoint{{Name: "e8", Addr: "h:8", Zone: "a", Kind: "std", Partner: "later", Weight: 1000}}}}) // it comes onto the list
	d := newMessage("d", "safe")
	d.Partner = "later"
	r.put(d)
	others.say <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Hour}
	others.say <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Second}
	r.put(newMessage("c", "safe")) // the journal has it by now
	select {                       // nothing goes to either endpoint
	case in := <-r.hand.attempts:
		t.Errorf("%s was sent to endpoint %d", in.Message.ID, in.Endpoint)
	case <-time.After(100 * time.Millisecond):
	}
	r.halt()
	r = start()
	if l := byhand.Await(t, others.told, "lesson"); l.RequestedWait < 50*time.Minute || l.Endpoint != "e1" {
		t.Errorf("after a restart: told %+v", l)
	}
	select {
	case <-r.hand.attempts:
		t.Error("called inside a wait that was heard before the restart")
	default:
	}
}
