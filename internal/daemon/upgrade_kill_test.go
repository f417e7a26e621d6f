package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/traffic"
)

// ledger records what the clients and the partner saw in a run.
type ledger struct {
	mu       sync.Mutex
	accepted map[string]bool // answered with +OK
	calls    map[string]int  // answered with 200
	ended    map[string]bool // by a notice
}

// unsettled returns the ids of the accepted messages without a delivery or a notice.
func (a *ledger) unsettled() (missing []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.accepted {
		if a.calls[id] == 0 && !a.ended[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// awaitAccepted waits until n more messages are accepted.
func (a *ledger) awaitAccepted(t *testing.T, n int) {
	t.Helper()
	count := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.accepted)
	}
	from := count()
	byhand.WaitUntil(t, "accepted messages", func() bool { return count() >= from+n })
}

// Under load, one of the two processes is killed at different times of its upgrade: before the request, during the
// handover and after it. Each time a process serves again, every accepted message has its end, and none that must not
// runs twice.
func TestUpgradeKills(t *testing.T) {
	x := startUpgradeScenario(t)
	addr, acc := x.old.addr, &ledger{accepted: map[string]bool{}, calls: map[string]int{}, ended: map[string]bool{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { // the partner and the platform
		for {
			select {
			case in := <-x.e.Calls:
				acc.mu.Lock()
				if acc.calls[in.ID()]++; acc.calls[in.ID()] > 1 && in.ID()[0] == 'u' {
					t.Errorf("%s ran twice", in.ID())
				}
				acc.mu.Unlock()
				time.AfterFunc(15*time.Millisecond, func() { in.Reply(200) }) // so that some calls are in flight at each kill
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
				acc.accepted[id] = true
				acc.mu.Unlock()
			}
		}
	})
	current := x.old
	for i := range 16 {
		acc.awaitAccepted(t, 4)
		started := make(chan *process, 1)
		next := launchProcess(t, x.p, x.dir, x.known, addr)
		go func() {
			if next.ready() == nil {
				started <- next
			}
			close(started)
		}()
		time.Sleep(time.Duration(i/2) * 6 * time.Millisecond) // varies the time of the kill
		if i%2 == 0 {
			current.kill()
		} else {
			next.Cmd.Process.Kill() // the goroutine that waits for its readiness sees the exit
		}
		if p := <-started; p != nil && i%2 == 0 {
			current = p
			continue
		}
		// The successor has exited. If it had taken over, the predecessor exits once its calls have ended.
		if alive := func() bool {
			for by := time.Now().Add(byhand.Timeout); time.Now().Before(by); {
				select {
				case err := <-current.Done:
					current.Done <- err
					return false
				default:
				}
				if traffic.PutRESP(addr, fmt.Sprint("probe", i), "1", "safe") == "+OK" {
					return true
				}
			}
			t.Fatal("the predecessor neither serves nor exits")
			return false
		}(); !alive {
			current = launchProcess(t, x.p, x.dir, x.known, addr)
			if err := current.ready(); err != nil {
				t.Fatal(err)
			}
		}
	}
	acc.awaitAccepted(t, 4)
	close(clients)
	byhand.WaitUntil(t, "end of every message", func() bool { return len(acc.unsettled()) == 0 })
	current.term()
	current.awaitExit()
	close(stop)
	running.Wait()
	if ids := pendingIDs(t, x.dir); ids != nil {
		t.Errorf("messages still pending: %v", ids)
	}
}
