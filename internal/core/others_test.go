package core

import (
	"context"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// fakePeers are peers whose observations the test provides.
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

// Observations of an endpoint by peers apply to this sender, also after a restart, and its own observations are
// published. Observations of endpoints that it does not have are ignored until they are listed.
func TestPeerObservations(t *testing.T) {
	cfg, dir := testConfig(), t.TempDir()
	cfg.PersistWaits, cfg.Settings.PublishHealth = true, true
	peers := fakePeers{make(chan Observation, 64), make(chan Observation)}
	start := func() *rig {
		r := newRig(t, dir, cfg)
		r.peers = peers
		return r.run()
	}
	r := start()
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e9", RequestedWait: time.Hour}
	peers.incoming <- Observation{Partner: "later", Endpoint: "e8", RequestedWait: time.Hour}
	peers.incoming <- Observation{Partner: "other", Endpoint: "e1", RequestedWait: time.Hour}
	const wait = 400 * time.Millisecond
	at := time.Now()
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait}
	// The longer wait applies. Once this one is received, the loop has the first.
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: wait / 2}
	r.submitAndWait(newMessage("a", "safe"))
	attempt := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	if elapsed := time.Since(at); elapsed < wait {
		t.Errorf("called %v after the observation of a wait of %v", elapsed, wait)
	}
	attempt.result <- Result{Outcome: logic.Overloaded, RequestedWait: 100 * time.Millisecond}
	if observation := byhand.Await(t, peers.published, "observation"); observation != (Observation{Partner: "acme",
		Endpoint: "e1", RequestedWait: 100 * time.Millisecond}) {
		t.Errorf("published %+v", observation)
	}
	attempt = byhand.Await(t, r.fakeTransport.attempts, "attempt")
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e1", Outage: true, CausalMark: 7}
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e9", Outage: true} // the loop has handled the one before
	r.stateName("a")
	// The call was started before the outage was known, so this is no recovery.
	attempt.result <- Result{Outcome: logic.Completed}
	byhand.Await(t, r.fakeSink.added, "end")
	r.submitAndWait(newMessage("b", "safe"))
	(byhand.Await(t, r.fakeTransport.attempts, "attempt")).result <- Result{Outcome: logic.Completed}
	if observation := byhand.Await(t, peers.published, "observation"); observation != (Observation{Partner: "acme",
		Endpoint: "e1", Recovered: true, CausalMark: 7}) {
		t.Errorf("published %+v", observation)
	}

	// the endpoint is listed
	r.post(EndpointUpdate{List: EndpointList{Endpoints: []Endpoint{{Name: "e8", Addr: "h:8", Zone: "a", Kind: "std",
		Partner: "later", Weight: 1000}}}})
	later := newMessage("d", "safe")
	later.Partner = "later"
	r.submitAndWait(later)
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Hour}
	peers.incoming <- Observation{Partner: "acme", Endpoint: "e1", RequestedWait: time.Second}
	r.submitAndWait(newMessage("c", "safe")) // the waits are in the journal by now
	select {                                 // nothing is sent to either endpoint
	case attempt := <-r.fakeTransport.attempts:
		t.Errorf("%s was sent to endpoint %d", attempt.Message.ID, attempt.Endpoint)
	case <-time.After(100 * time.Millisecond):
	}
	r.shutDown()
	r = start()
	if observation := byhand.Await(t, peers.published, "observation"); observation.RequestedWait < 50*time.Minute ||
		observation.Endpoint != "e1" {
		t.Errorf("after a restart: published %+v", observation)
	}
	select {
	case <-r.fakeTransport.attempts:
		t.Error("called during a wait that was received before the restart")
	default:
	}
}
