package core

import (
	"context"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// crowd stands for the other senders.
type fakePeers struct{ published, incoming chan Observation }

func (c fakePeers) Publish(l Observation) { c.published <- l }
func (c fakePeers) Receive(ctx context.Context, take func([]Observation)) {
	for {
		select {
		case l := <-c.incoming:
			take([]Observation{l})
		case <-ctx.Done():
			return
		}
	}
}

// What others have learnt of an endpoint binds this sender, over a restart too, and
// what it learns itself is told; what concerns no endpoint of its own does nothing.
func TestPeerObservations(t *testing.T) {
	cfg, dir := testConfig(), t.TempDir()
	cfg.PersistWaits, cfg.Settings.PublishHealth = true, true
	others := fakePeers{make(chan Observation, 64), make(chan Observation)}
	start := func() *rig {
		r := newRig(t, dir, cfg)
		r.peers = others
		return r.run()
	}
	r := start()
	others.incoming <- Observation{Partner: "acme", Endpoint: "e9", RequestedWait: time.Hour}
	others.incoming <- Observation{Partner: "later", Endpoint: "e8", RequestedWait: time.Hour}
	others.incoming <- Observation{Partner: "other", Endpoint: "e1", RequestedWait: time.Hour}
	const wait = 400 * time.Millisecond
	at := time.Now()
	others.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait}
	others.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait / 2} // the longer one holds; and the loop has had the first
	r.submitAndWait(newMessage("a", "safe"))
	in := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	if d := time.Since(at); d < wait {
		t.Errorf("called %v after the news of a wait of %v", d, wait)
	}
	in.result <- Result{Outcome: logic.Overloaded, RequestedWait: 100 * time.Millisecond}
	if l := byhand.Await(t, others.published, "lesson"); l != (Observation{Partner: "acme", Endpoint: "e1", RequestedWait: 100 * time.Millisecond}) {
		t.Errorf("told %+v", l)
	}
	in = byhand.Await(t, r.fakeTransport.attempts, "attempt")
	others.incoming <- Observation{Partner: "acme", Endpoint: "e1", Outage: true, CausalMark: 7}
	others.incoming <- Observation{Partner: "acme", Endpoint: "e9", Outage: true} // the loop has had the one before
	r.stateName("a")
	in.result <- Result{Outcome: logic.Completed} // to a call from before: tells nothing
	byhand.Await(t, r.fakeSink.added, "end")
	r.submitAndWait(newMessage("b", "safe"))
	(byhand.Await(t, r.fakeTransport.attempts, "attempt")).result <- Result{Outcome: logic.Completed}
	if l := byhand.Await(t, others.published, "lesson"); l != (Observation{Partner: "acme", Endpoint: "e1", Recovered: true, CausalMark: 7}) {
		t.Errorf("told %+v", l)
	}

	r.post(EndpointUpdate{List: EndpointList{Endpoints: []Endpoint{{Name: "e8", Addr: "h:8", Zone: "a", Kind: "std", Partner: "later", Weight: 1000}}}}) // it comes onto the list
	d := newMessage("d", "safe")
	d.Partner = "later"
	r.submitAndWait(d)
	others.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Hour}
	others.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Second}
	r.submitAndWait(newMessage("c", "safe")) // the journal has it by now
	select {                                 // nothing goes to either endpoint
	case in := <-r.fakeTransport.attempts:
		t.Errorf("%s was sent to endpoint %d", in.Message.ID, in.Endpoint)
	case <-time.After(100 * time.Millisecond):
	}
	r.shutDown()
	r = start()
	if l := byhand.Await(t, others.published, "lesson"); l.RequestedWait < 50*time.Minute || l.Endpoint != "e1" {
		t.Errorf("after a restart: told %+v", l)
	}
	select {
	case <-r.fakeTransport.attempts:
		t.Error("called inside a wait that was heard before the restart")
	default:
	}
}
