package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/traffic"
)

// accounts are the clients' and the partner's, of a run.
type accounts struct {
	mu    sync.Mutex
	taken map[string]bool // answered with +OK
	calls map[string]int  // answered with 200
	ended map[string]bool // by a notice
}

func (a *accounts) settled() (missing []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.taken {
		if a.calls[id] == 0 && !a.ended[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// serves waits until so many more messages are taken on.
func (a *accounts) serves(t *testing.T, n int) {
	t.Helper()
	count := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.taken)
	}
	from := count()
	byhand.WaitUntil(t, "messages that are taken on", func() bool { return count() >= from+n })
}

// Under load, either process is killed at one time after another of its upgrade: before it asks, in the step and
// after it. One serves again each time, every message that was taken on has its end, and none that must not run
// twice does.
func TestUpgradeKills(t *testing.T) {
	x := newPair(t)
	addr, acc := x.old.addr, &accounts{taken: map[string]bool{}, calls: map[string]int{}, ended: map[string]bool{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { // the partner and the platform
		for {
			select {
			case in := <-x.e.Calls:
				acc.mu.Lock()
				if acc.calls[in.ID()]++; acc.calls[in.ID()] > 1 && in.ID()[0] == 'u' {
					t.Errorf("%s runs twice", in.ID())
				}
				acc.mu.Unlock()
				time.AfterFunc(15*time.Millisecond, func() { in.Reply(200) }) // so that some are out at each kill
			case n := <-x.p.Notices:
				acc.mu.Lock()
				acc.ended[n.ID] = true
				acc.mu.Unlock()
			case <-stop:
				return
			}
		}
	})
	clients := make(chan struct{})
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-clients:
				return
			case <-time.After(5 * time.Millisecond):
			}
			id, class := fmt.Sprint("s", n), "safe"
			if n%2 == 1 {
				id, class = fmt.Sprint("u", n), "unsafe"
			}
			if traffic.PutRESP(addr, id, "1", class) == "+OK" {
				acc.mu.Lock()
				acc.taken[id] = true
				acc.mu.Unlock()
			}
		}
	})
	cur := x.old
	for i := range 16 {
		acc.serves(t, 4)
		started := make(chan *process, 1)
		next := launchProcess(t, x.p, x.dir, x.known, addr)
		go func() {
			if next.ready() == nil {
				started <- next
			}
			close(started)
		}()
		time.Sleep(time.Duration(i/2) * 6 * time.Millisecond) // the time of the kill is what is tried out
		if i%2 == 0 {
			cur.kill()
		} else {
			next.Cmd.Process.Kill() // its end is seen by the one that waits for it to be ready
		}
		if p := <-started; p != nil && i%2 == 0 {
			cur = p
			continue
		}
		// The successor is dead. If it had taken over, the old one ends when its calls have.
		if alive := func() bool {
			for by := time.Now().Add(byhand.Timeout); time.Now().Before(by); {
				select {
				case err := <-cur.Done:
					cur.Done <- err
					return false
				default:
				}
				if traffic.PutRESP(addr, fmt.Sprint("probe", i), "1", "safe") == "+OK" {
					return true
				}
			}
			t.Fatal("nobody serves, and nobody ends")
			return false
		}(); !alive {
			cur = launchProcess(t, x.p, x.dir, x.known, addr)
			if err := cur.ready(); err != nil {
				t.Fatal(err)
			}
		}
	}
	acc.serves(t, 4)
	close(clients)
	byhand.WaitUntil(t, "end of every message", func() bool { return len(acc.settled()) == 0 })
	cur.term()
	cur.end()
	close(stop)
	running.Wait()
	if ids := owed(t, x.dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}
