package poll

import (
	"testing"
	"time"
)

// Guards against a watch that is not taken for broken in time: that the one before it waited long for its news does not
// make discovery a slow one.
func TestNewsAfterALongHoldIsNotLate(t *testing.T) {
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
	if over := p.NextTick() - now - last.Hold; over > overdueAfter {
		t.Errorf("the next watch is taken for broken %v after its hold", over)
	}
}

// A discovery that answers late is given more time for a check, but not so much that no other fits.
func TestPatienceFollowsTheLastAnswer(t *testing.T) {
	for _, x := range []struct{ took, want time.Duration }{
		{20 * time.Second, overdueAfter},
		{20*time.Second + 200*time.Millisecond, 400 * time.Millisecond},
		{22 * time.Second, mostPatience},
	} {
		p := New(Settings{Senders: 1}, true, 1, 1, 0)
		watch := p.Tick(0)[0]
		p.RequestSent(watch.ID)
		if _, err := p.ResponseReceived(x.took, watch.ID, Response{Generation: 1}); err != nil {
			t.Fatal(err)
		}
		if got := p.patience(0); got != x.want {
			t.Errorf("after an answer to a watch after %v: %v, want %v", x.took, got, x.want)
		}
	}
}
