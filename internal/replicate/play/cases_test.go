package play

import (
	"testing"
	"time"
)

// newWorld returns n senders with a digest interval of ten seconds, so that facts that
// arrive earlier were not delivered by a digest.
func newWorld(n int, edits ...func(*Options)) *World {
	opts := Options{Seed: 1, Senders: n, DigestInterval: 10 * time.Second, Rate: 1e6, Delay: time.Millisecond}
	for _, edit := range edits {
		edit(&opts)
	}
	w := New(opts)
	w.Run(time.Second)
	return w
}

// waitForFacts waits until process i has n facts, at most d. It returns the time this took
// and whether it happened.
func waitForFacts(w *World, i, n int, d time.Duration) (time.Duration, bool) {
	return w.Until(d, func() bool { return w.Procs[i].Machine.Replica().Len() >= n })
}

// TestDeliveryPaths checks each way of delivery: a lost fact is resent, relayed by another
// sender, or found by digests; a fact above a gap is forwarded; a pull returns more than one
// response holds; a new wait is not delayed by facts that exceed the byte budget; and a
// process that was paused counts as catching up until a peer answers or the timeout ends.
func TestDeliveryPaths(t *testing.T) {
	w := newWorld(2)
	w.SetLoss(0, 1, 1)
	w.PublishWait(0, "a", time.Hour)
	w.Run(30 * time.Millisecond)
	w.Heal()
	if took, ok := waitForFacts(w, 1, 1, 200*time.Millisecond); !ok {
		t.Errorf("a lost message was not resent within %v", took)
	}

	w = newWorld(3)
	w.Cut(0, 1, true)
	w.PublishWait(0, "a", time.Hour)
	if took, ok := waitForFacts(w, 1, 1, time.Second); !ok {
		t.Errorf("a peer cut off from the publisher only has not received the fact within %v", took)
	}

	w = newWorld(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 1, true)
	w.Cut(2, 1, true)
	w.PublishWait(0, "a", time.Hour)
	w.Run(time.Second)
	w.Kill(0)
	w.Heal()
	if took, ok := waitForFacts(w, 1, 1, 3*time.Second); !ok {
		t.Errorf("a fact of a dead sender was not delivered by digests within %v", took)
	}

	w = newWorld(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 2, true)
	w.Cut(0, 1, true)
	w.PublishWait(0, "lost", time.Hour)
	w.Cut(0, 1, false)
	w.PublishWait(0, "a", time.Hour) // reaches sender 1 without the fact before it, whose publisher dies
	w.Run(2 * time.Millisecond)
	w.Kill(0)
	if took, ok := waitForFacts(w, 2, 1, time.Second); !ok {
		t.Errorf("a fact above a gap was not forwarded within %v", took)
	}

	const many = 3000 // more than one pull returns
	w = newWorld(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.PublishWaits(0, many, time.Hour)
	if took, ok := w.Until(20*time.Second, func() bool { return w.AllHave(many) }); !ok {
		t.Fatalf("the replicas did not get all facts within %v", took)
	}
	p := w.Start(2)
	if w.Until(10*time.Second, func() bool { return p.CaughtUpAt > 0 }); p.CaughtUpAt == 0 ||
		p.Machine.Replica().Len() != many {
		t.Errorf("caught up at %v with %d of %d facts", p.CaughtUpAt, p.Machine.Replica().Len(), many)
	}

	w = newWorld(2, func(o *Options) { o.Rate = 10 })
	w.PublishWaits(0, 400, time.Hour) // more than are sent at once and than the byte budget allows
	w.Run(2 * time.Second)
	before := w.Procs[1].Machine.Replica().Len()
	w.PublishWait(0, "now", time.Hour)
	if _, ok := waitForFacts(w, 1, before+1, 20*time.Millisecond); !ok || before >= 400 {
		t.Errorf("a new wait is delayed by %d unsent facts", 400-before)
	}

	w = newWorld(2, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 1, true)
	w.Cut(1, 0, true)
	w.Pause(1, time.Second)
	w.Run(1100 * time.Millisecond)
	if catchingUp, _ := w.Procs[1].Machine.CatchingUp(); !catchingUp {
		t.Error("a process that was paused and can't reach a peer counts as caught up")
	}
	if w.Run(2 * time.Second); w.Procs[1].CaughtUpAt == 0 || w.Procs[1].Machine.CatchUpTimeouts != 1 {
		t.Error("catching up does not end although no peer answers")
	}
}
