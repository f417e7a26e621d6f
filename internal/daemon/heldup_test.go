package daemon

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
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

// builtWithFaults is the path of the program with faults on command, built once for all tests.
var builtWithFaults = sync.OnceValues(func() (string, error) {
	path, err := built()
	if err != nil {
		return "", err
	}
	path += "-faults"
	return path, faultbuild.Build(path, "../../cmd/cometrack")
})

// A process that is held up for up to 0.15 s between reading its clock and writing sends nothing to an endpoint after
// the time of its message is up, and nothing after its notice. Messages wait for an endpoint that drains, and get it
// back when they have 20 to 260 ms left: some go out with hardly more left than a hold takes.
func TestNothingGoesOutAfterItsTime(t *testing.T) {
	const (
		cycles  = 20
		usual   = cycles // a destination that is up throughout, so that the sender knows how long calls take
		each    = 30
		wait    = 300 * time.Millisecond // of the messages for the endpoint
		slack   = 50 * time.Millisecond  // that the rules give each time limit
		longest = 150 * time.Millisecond // that the process is held up
		holds   = 0.06                   // for each write, while the messages go out
	)
	path, err := builtWithFaults()
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
	list := func(generation int64, up int) platform.List { // a destination for each cycle, and the partner stands for all
		l := platform.List{Generation: generation, Reset: true}
		for i := range cycles + 1 {
			lifecycle := "draining"
			if i == up || i == usual {
				lifecycle = "up"
			}
			l.Instances = append(l.Instances, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: to.Addr(), Zone: "a", Kind: "std",
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
		resumed <- faultbuild.Resume(x.Cmd.Process.Pid, func() time.Duration {
			return longest - rand.N(longest/5)
		}, stop)
	}()
	notices := map[string]time.Time{}
	var heard sync.WaitGroup
	heard.Go(func() {
		for {
			select {
			case n := <-p.Notices:
				notices[n.ID] = time.Now()
			case <-stop:
				return
			}
		}
	})
	ends := map[string]time.Time{} // the end of each message's time
	c := dial(t, x.addr)
	put := func(id string, hold time.Duration, dest int) {
		ends[id] = time.Now().Add(hold)
		c.send("MSG.PUT", "0000", id, fmt.Sprintf("c=safe,t=acme,d=%d,dest=%d", hold.Milliseconds(), dest), "body of "+id)
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
		controls.HoldBeforeWrites(holds)
		p.Set(func() { p.List = list(int64(cycle+2), cycle) })
		time.Sleep(time.Until(up.Add(longest)))
		controls.HoldBeforeWrites(0)
		time.Sleep(time.Until(up.Add(2 * longest)))
	}
	byhand.WaitUntil(t, "end of all", func() bool { return time.Since(ends[fmt.Sprintf("m-%d-%d", cycles-1, each-1)]) > time.Second })
	close(stop)
	heard.Wait()
	late, calls, noise := 0, to.Calls(), to.MaxSchedulingDelay() // this machine may have shown the partner a call so late
	for _, call := range calls {
		by, told := ends[call.ID], notices[call.ID]
		switch {
		case call.At.After(by.Add(slack + noise)):
			late++
			t.Errorf("%s came %v after its time was up", call.ID, call.At.Sub(by))
		case !told.IsZero() && call.At.After(told.Add(noise)):
			late++
			t.Errorf("%s came %v after its notice", call.ID, call.At.Sub(told))
		}
	}
	stood := <-resumed
	for len(x.LogLines) > 0 {
		if line := <-x.LogLines; strings.Contains(line, "violation") && noise < slack {
			t.Errorf("the program itself says: %s", line)
		}
	}
	t.Logf("%d messages, %d calls, %d of them late; held up %d times; noise %v", len(ends), len(calls), late, len(stood), noise)
	if len(calls) < 2*cycles || len(stood) < cycles/4 {
		t.Errorf("%d calls and %d holds prove nothing", len(calls), len(stood))
	}
}
