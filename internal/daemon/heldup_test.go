package daemon

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/faultbuild"
	"cometrack/internal/standin/partner"
)

// faultProgramPath returns the path of the program with fault injection, built once for all tests.
var faultProgramPath = sync.OnceValues(func() (string, error) {
	path, err := programPath()
	if err != nil {
		return "", err
	}
	path += "-faults"
	return path, faultbuild.Build(path, "../../cmd/cometrack")
})

// A process that is stalled for up to 0.15 s between reading its clock and writing must send nothing to an endpoint
// after the deadline of the message, and nothing after its notice. Messages wait for a draining endpoint, which comes
// back when they have 20 to 260 ms left: some are sent with hardly more time left than a stall takes.
func TestNothingGoesOutAfterItsTime(t *testing.T) {
	const (
		cycles    = 20
		usual     = cycles // a destination that is always up, from which the sender learns the latency of calls
		each      = 30
		wait      = 300 * time.Millisecond // of the messages, until the endpoint is up
		slack     = 50 * time.Millisecond  // tolerance of each time limit
		longest   = 150 * time.Millisecond // maximum stall of the process
		apart     = longest                // minimum time from the end of a stall to the next
		stallRate = 0.06                   // probability of a stall at each write, while the messages are sent
	)
	path, err := faultProgramPath()
	if err != nil {
		t.Fatal(err)
	}
	controls, err := faultbuild.NewControls(filepath.Join(t.TempDir(), "page"))
	if err != nil {
		t.Fatal(err)
	}
	defer controls.Close()
	to := startPartner(t, partner.Options{Name: "1", Latency: 2 * time.Millisecond})
	p := discovery.New(t)
	p.EditSettings = func(s string) string {
		return strings.NewReplacer(`"call_slots":6`, `"call_slots":64`, `"max_open":8`, `"max_open":256`).Replace(s)
	}
	list := func(generation int64, up int) platform.List { // a destination for each cycle, all served by one partner
		l := platform.List{Generation: generation, Reset: true}
		for i := range cycles + 1 {
			lifecycle := "draining"
			if i == up || i == usual {
				lifecycle = "up"
			}
			l.Instances = append(l.Instances, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: to.Addr(),
				Zone: "a", Kind: "std",
				Dest: int64(i), Lifecycle: lifecycle, Weight: 10000})
		}
		return l
	}
	p.List = list(1, -1)
	x := launchProgram(t, path, p, t.TempDir(), p.List, "127.0.0.1:0", controls.Env())
	if err := x.ready(); err != nil {
		t.Fatal(err)
	}
	stop, resumed := make(chan struct{}), make(chan []time.Duration, 1)
	go func() {
		var lastEnd time.Time
		resumed <- faultbuild.Resume(x.Cmd.Process.Pid, func() time.Duration {
			if time.Since(lastEnd) < apart { // it would add to the last one, before the process can read its clock
				return 0
			}
			stall := longest - rand.N(longest/5)
			lastEnd = time.Now().Add(stall)
			return stall
		}, stop)
	}()
	notices := map[string]time.Time{}
	var noticeReader sync.WaitGroup
	noticeReader.Go(func() {
		for {
			select {
			case n := <-p.Notices:
				notices[n.ID] = time.Now()
			case <-stop:
				return
			}
		}
	})
	deadlines := map[string]time.Time{} // by message id
	c := dial(t, x.addr)
	put := func(id string, timeout time.Duration, dest int) {
		deadlines[id] = time.Now().Add(timeout)
		c.send("MSG.PUT", "0000", id, fmt.Sprintf("c=safe,t=acme,d=%d,dest=%d", timeout.Milliseconds(), dest), "body of "+id)
	}
	for cycle := range cycles {
		for i := range each {
			put(fmt.Sprintf("usual-%d-%d", cycle, i), time.Minute, usual)
			c.line()
		}
		up := time.Now().Add(wait)
		for i := range each {
			id, left := fmt.Sprintf("m-%d-%d", cycle, i), 20*time.Millisecond+time.Duration(i)*240*time.Millisecond/each
			put(id, time.Until(up.Add(left)).Truncate(time.Millisecond), cycle)
		}
		for range each {
			c.line()
		}
		time.Sleep(time.Until(up))
		controls.HoldBeforeWrites(stallRate)
		p.Set(func() { p.List = list(int64(cycle+2), cycle) })
		time.Sleep(time.Until(up.Add(longest)))
		controls.HoldBeforeWrites(0)
		time.Sleep(time.Until(up.Add(2 * longest)))
	}
	byhand.WaitUntil(t, "deadline of the last message",
		func() bool { return time.Since(deadlines[fmt.Sprintf("m-%d-%d", cycles-1, each-1)]) > time.Second })
	close(stop)
	noticeReader.Wait()
	late, calls, noise := 0, to.Calls(), to.MaxSchedulingDelay() // the partner may see a call so much later on this machine
	for _, call := range calls {
		deadline, noticeAt := deadlines[call.ID], notices[call.ID]
		switch {
		case call.At.After(deadline.Add(slack + noise)):
			late++
			t.Errorf("%s was received %v after its deadline", call.ID, call.At.Sub(deadline))
		case !noticeAt.IsZero() && call.At.After(noticeAt.Add(noise)):
			late++
			t.Errorf("%s was received %v after its notice", call.ID, call.At.Sub(noticeAt))
		}
	}
	stalls := slices.DeleteFunc(<-resumed, func(d time.Duration) bool { return d < longest/2 }) // those ended at once
	for len(x.LogLines) > 0 {
		if line := <-x.LogLines; strings.Contains(line, "violation") && noise < slack {
			t.Errorf("the program logged: %s", line)
		}
	}
	t.Logf("%d messages, %d calls, %d of them late; stalled %d times; noise %v",
		len(deadlines), len(calls), late, len(stalls), noise)
	if len(calls) < 2*cycles || len(stalls) < cycles/4 {
		t.Errorf("%d calls and %d stalls are too few: the test proves nothing", len(calls), len(stalls))
	}
}
