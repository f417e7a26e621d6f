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

// firstRejected returns the source of the first call that got the status 429.
func firstRejected(calls []partner.Call) string {
	return calls[slices.IndexFunc(calls, func(c partner.Call) bool { return c.Status == 429 })].From
}

// A partner requests a wait from one of four senders. No sender may call it during the wait, apart
// from calls already in flight: neither one that was paused when the wait was requested, nor one
// that restarts meanwhile, with or without its state folder.
func TestRequestedWaitIsShared(t *testing.T) {
	const wait = 3 * time.Second
	p, err := partner.Start(partner.Options{Name: "acme", RequestedWait: wait, WaitInSeconds: true})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	f := start(t, Options{Senders: 4, Cluster: `lease = "1s"`, Config: PartnerConfig(p)})
	feed, stop, done := &Feed{Partner: "acme", Class: "safe", Rate: 20}, make(chan struct{}), make(chan struct{})
	await(t, f, "all reachable", AllReachable)
	await(t, f, "all caught up", AllCaughtUp)
	go func() { feed.Run(f, stop); close(done) }()
	defer func() { close(stop); <-done }()
	from := map[string]bool{}
	for round := range 2 {
		f.WaitUntil(5*time.Second, func([]SenderView) bool { // each sender has called the partner
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
		if took, ok := f.WaitUntil(5*time.Second,
			func([]SenderView) bool { return CheckWaits(p.Calls()[n:], wait, 0).Told > 0 }); !ok {
			t.Fatalf("no wait was requested within %v", took)
		}
		p.SetMode(partner.Healthy)
		paused.Resume()
		for _, s := range f.Senders() { // not the first one that got the wait: its fact may be unpublished
			host, _, _ := net.SplitHostPort(s.Addr)
			if s != paused && host != firstRejected(p.Calls()[n:]) {
				if err := s.Restart(round == 0); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
		await(t, f, fmt.Sprint("all have caught up, round ", round), AllCaughtUp)
		over := time.Now().Add(wait)
		if _, ok := f.WaitUntil(2*wait, func([]SenderView) bool { // calls resume after the wait
			calls := p.Calls()
			return calls[len(calls)-1].At.After(over)
		}); !ok {
			t.Error("no calls after the wait")
		}
	}
	got := CheckWaits(p.Calls(), wait, 250*time.Millisecond)
	if t.Logf("%d calls; %+v", len(p.Calls()), got); got.Told < 2 || got.Inside > 0 {
		t.Errorf("%+v; want 2 waits, and no call more than 250 ms after the request for one", got)
	}
}

// One of three senders detects the outage of a partner that the others have not called. The others
// must learn of it without failed calls of their own, and all together must try the partner only a
// little more often than one sender would. After the recovery all must deliver again.
func TestOutageIsShared(t *testing.T) {
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	f := start(t, Options{Senders: 3, Cluster: `lease = "1s"`, Config: PartnerConfig(p)})
	await(t, f, "all reachable", AllReachable)
	p.SetMode(partner.Overloaded)
	all, one := make(chan struct{}), make(chan struct{})
	feed, done := &Feed{Partner: "acme", Class: "safe", Rate: 30}, make(chan struct{})
	go func() { feed.feedSender(f.Senders()[0], time.Second/30, one) }()
	allKnowOutage := func([]SenderView) bool {
		facts, err := f.Facts()
		for _, set := range facts {
			found := false
			for fact := range set {
				found = found || strings.HasPrefix(fact, "health") && strings.Contains(fact, "out")
			}
			if !found {
				return false
			}
		}
		return err == nil && len(facts) == 3
	}
	await(t, f, "all know of the outage", allKnowOutage)
	close(one)
	go func() { feed.Run(f, all); close(done) }()
	defer func() { close(all); <-done }()
	n, from := len(p.Calls()), time.Now()
	f.WaitUntil(5*time.Second, func([]SenderView) bool { return false }) // calls are counted over 5 s
	took := len(p.Calls()) - n
	if t.Logf("%d calls in %v", took, time.Since(from)); took > 10 { // 7 with shared facts, 14 without
		t.Errorf("%d calls to a partner in a known outage", took)
	}
	p.SetMode(partner.Healthy)
	back := time.Now()
	await(t, f, "all deliver", func([]SenderView) bool {
		well := map[string]bool{}
		for _, c := range p.Calls() {
			if c.At.After(back) && c.Status == 200 {
				well[c.From] = true
			}
		}
		return len(well) == 3
	})
}
