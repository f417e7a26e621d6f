package poll

import (
	"testing"
	"time"
)

// Guards against a watch that counts as broken too late: a previous watch that was held long until a change must not
// count as a late response.
func TestChangeAfterLongHoldIsNotLate(t *testing.T) {
	p := New(Settings{Senders: 300}, true, 1, 1, 0)
	now := time.Duration(0)
	for generation := range int64(3) {
		watch := p.Tick(now)[0]
		p.RequestSent(watch.ID)
		now += 10 * time.Second
		if _, err := p.ResponseReceived(now, watch.ID, Response{Generation: generation + 2, Entries: 1}); err != nil {
			t.Fatal(err)
		}
	}
	last := p.Tick(now)[0]
	p.RequestSent(last.ID)
	if delay := p.NextTick() - now - last.Hold; delay > overdueAfter {
		t.Errorf("the next watch counts as broken %v after its hold", delay)
	}
}

// The hedge delay grows with the lateness of the last response, but stays short enough for another check to fit.
func TestHedgeDelayFollowsLastResponse(t *testing.T) {
	for _, x := range []struct{ took, want time.Duration }{
		{20 * time.Second, overdueAfter},
		{20*time.Second + 200*time.Millisecond, 400 * time.Millisecond},
		{22 * time.Second, maxLatenessDelay},
	} {
		p := New(Settings{Senders: 1}, true, 1, 1, 0)
		watch := p.Tick(0)[0]
		p.RequestSent(watch.ID)
		if _, err := p.ResponseReceived(x.took, watch.ID, Response{Generation: 1}); err != nil {
			t.Fatal(err)
		}
		if got := p.hedgeDelay(0); got != x.want {
			t.Errorf("watch answered after %v: hedge delay %v, want %v", x.took, got, x.want)
		}
	}
}
