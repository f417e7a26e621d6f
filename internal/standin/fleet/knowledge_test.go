package fleet

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"cometrack/internal/standin/partner"
)

// first is who was first told to wait.
func first(calls []partner.Call) string {
	return calls[slices.IndexFunc(calls, func(c partner.Call) bool { return c.Status == 429 })].From
}

// A partner tells one of four senders to wait. None of them calls it then, later than
// a call that was on its way; nor does one that was paused when it was told, or
// starts anew with an emptied folder meanwhile.
func TestToldToOne(t *testing.T) {
	const wait = 3 * time.Second
	p, err := partner.Start(partner.Options{Name: "acme", RequestedWait: wait, WaitInSeconds: true})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	f := start(t, Options{Senders: 4, Cluster: `lease = "1s"`, Config: Partners(p)})
	feed, stop, done := &Feed{Partner: "acme", Class: "safe", Rate: 20}, make(chan struct{}), make(chan struct{})
	await(t, f, "all here", AllHere)
	await(t, f, "all caught up", Knowing)
	go func() { feed.Run(f, stop); close(done) }()
	defer func() { close(stop); <-done }()
	from := map[string]bool{}
	for round := range 2 {
		f.Until(5*time.Second, func([]Seen) bool { // each has called it
			for _, c := range p.Calls() {
				from[c.From] = true
			}
			return len(from) == 4
		})
		clear(from)
		paused := f.Senders()[round]
		paused.Pause()
		p.SetMode(partner.Overloaded)
		n := len(p.Calls())
		if took, ok := f.Until(5*time.Second, func([]Seen) bool { return InWaits(p.Calls()[n:], wait, 0).Told > 0 }); !ok {
			t.Fatalf("nobody was told to wait within %v", took)
		}
		p.SetMode(partner.Healthy)
		paused.Resume()
		for _, s := range f.Senders() { // not the one that was told first: what it knows alone may die with it
			host, _, _ := net.SplitHostPort(s.Addr)
			if s != paused && host != first(p.Calls()[n:]) {
				if err := s.Restart(round == 0); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
		await(t, f, fmt.Sprint("all have caught up, round ", round), Knowing)
		over := time.Now().Add(wait)
		if _, ok := f.Until(2*wait, func([]Seen) bool { // and calls come again after it
			calls := p.Calls()
			return calls[len(calls)-1].At.After(over)
		}); !ok {
			t.Error("nobody calls after the wait")
		}
	}
	got := InWaits(p.Calls(), wait, 250*time.Millisecond)
	if t.Logf("%d calls; %+v", len(p.Calls()), got); got.Told < 2 || got.Inside > 0 {
		t.Errorf("%+v; want 2 waits, and no call more than 250 ms after one was told", got)
	}
}

// One of three senders finds a partner out. The others, which have not called it till
// then, do not find that out for themselves, and all together try it little more often
// than one; and once it is back all deliver again.
func TestOneFindsOut(t *testing.T) {
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	f := start(t, Options{Senders: 3, Cluster: `lease = "1s"`, Config: Partners(p)})
	await(t, f, "all here", AllHere)
	p.SetMode(partner.Overloaded)
	all, one := make(chan struct{}), make(chan struct{})
	feed, done := &Feed{Partner: "acme", Class: "safe", Rate: 30}, make(chan struct{})
	go func() { feed.feed(f.Senders()[0], time.Second/30, one) }()
	out := func([]Seen) bool {
		told, err := f.Told()
		for _, set := range told {
			found := false
			for says := range set {
				found = found || strings.HasPrefix(says, "health") && strings.Contains(says, "out")
			}
			if !found {
				return false
			}
		}
		return err == nil && len(told) == 3
	}
	await(t, f, "all know that it is out", out)
	close(one)
	go func() { feed.Run(f, all); close(done) }()
	defer func() { close(all); <-done }()
	n, from := len(p.Calls()), time.Now()
	f.Until(5*time.Second, func([]Seen) bool { return false }) // calls are counted over a time
	took := len(p.Calls()) - n
	if t.Logf("%d calls in %v", took, time.Since(from)); took > 10 { // 7 seen, with the first trials of each; 14 by themselves
		t.Errorf("%d calls at a partner that is known to be out", took)
	}
	p.SetMode(partner.Healthy)
	back := time.Now()
	await(t, f, "all deliver", func([]Seen) bool {
		well := map[string]bool{}
		for _, c := range p.Calls() {
			if c.At.After(back) && c.Status == 200 {
				well[c.From] = true
			}
		}
		return len(well) == 3
	})
}
