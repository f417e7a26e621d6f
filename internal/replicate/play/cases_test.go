package play

import (
	"testing"
	"time"
)

// calm is a world whose digests come every ten seconds, so that what reaches a copy
// sooner has come by other ways.
func calm(n int, with ...func(*Options)) *World {
	o := Options{Seed: 1, Senders: n, DigestInterval: 10 * time.Second, Rate: 1e6, Delay: time.Millisecond}
	for _, f := range with {
		f(&o)
	}
	w := New(o)
	w.Run(time.Second)
	return w
}

// knows waits until a process has a fact of each of so many endpoints.
func knows(w *World, i, n int, d time.Duration) (time.Duration, bool) {
	return w.Until(d, func() bool { return w.Procs[i].Machine.Replica().Len() >= n })
}

// What gets lost is sent again, by another sender if need be, or found by digests;
// what binds does not wait behind what does not fit into the bytes a second; and one
// that was paused is behind until it has asked.
func TestWays(t *testing.T) {
	w := calm(2)
	w.SetLoss(0, 1, 1)
	w.PublishWait(0, "a", time.Hour)
	w.Run(30 * time.Millisecond)
	w.Heal()
	if took, ok := knows(w, 1, 1, 200*time.Millisecond); !ok {
		t.Errorf("a lost message was not sent again within %v", took)
	}

	w = calm(3)
	w.Cut(0, 1, true)
	w.PublishWait(0, "a", time.Hour)
	if took, ok := knows(w, 1, 1, time.Second); !ok {
		t.Errorf("one that is cut off from the teller only has not heard within %v", took)
	}

	w = calm(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 1, true)
	w.Cut(2, 1, true)
	w.PublishWait(0, "a", time.Hour)
	w.Run(time.Second)
	w.Kill(0)
	w.Heal()
	if took, ok := knows(w, 1, 1, 3*time.Second); !ok {
		t.Errorf("what a dead sender had told has not come by digests within %v", took)
	}

	w = calm(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 2, true)
	w.Cut(0, 1, true)
	w.PublishWait(0, "lost", time.Hour)
	w.Cut(0, 1, false)
	w.PublishWait(0, "a", time.Hour) // comes to 1 ahead of the one before, whose teller dies
	w.Run(2 * time.Millisecond)
	w.Kill(0)
	if took, ok := knows(w, 2, 1, time.Second); !ok {
		t.Errorf("what came ahead of what is lost has not been passed on within %v", took)
	}

	const many = 3000 // more than one answer holds
	w = calm(3, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.PublishWaits(0, many, time.Hour)
	if took, ok := w.Until(20*time.Second, func() bool { return w.AllHave(many) }); !ok {
		t.Fatalf("not all have all within %v", took)
	}
	p := w.Start(2)
	if w.Until(10*time.Second, func() bool { return p.CaughtUpAt > 0 }); p.CaughtUpAt == 0 || p.Machine.Replica().Len() != many {
		t.Errorf("caught up at %v with %d of %d facts", p.CaughtUpAt, p.Machine.Replica().Len(), many)
	}

	w = calm(2, func(o *Options) { o.Rate = 10 })
	w.PublishWaits(0, 400, time.Hour) // more than goes out at once, and than there are bytes for
	w.Run(2 * time.Second)
	had := w.Procs[1].Machine.Replica().Len()
	w.PublishWait(0, "now", time.Hour)
	if _, ok := knows(w, 1, had+1, 20*time.Millisecond); !ok || had >= 400 {
		t.Errorf("what binds waits behind %d others", 400-had)
	}

	w = calm(2, func(o *Options) { o.DigestInterval = 100 * time.Millisecond })
	w.Cut(0, 1, true)
	w.Cut(1, 0, true)
	w.Pause(1, time.Second)
	w.Run(1100 * time.Millisecond)
	if behind, _ := w.Procs[1].Machine.CatchingUp(); !behind {
		t.Error("one that was paused, and can ask nobody, takes itself to know")
	}
	if w.Run(2 * time.Second); w.Procs[1].CaughtUpAt == 0 || w.Procs[1].Machine.CatchUpTimeouts != 1 {
		t.Error("whom nobody answers does not go on alone")
	}
}
