package daemon

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/partner"
)

// A keyed class whose partner recognizes repeats for 1 s only, and restarts that take longer, after a first attempt of
// unknown outcome: by the partner's record no repeat is sent after the window, which counts from that attempt, and the
// message fails. A safe message beside it is sent again by the same process, which shows that a repeat was possible.
func TestRestartOutlastsWindow(t *testing.T) {
	const (
		window = time.Second
		slack  = 50 * time.Millisecond // tolerance of each time limit
		longer = 3 * slack             // by which a restart outlasts the window
	)
	for name, x := range map[string]struct {
		signal syscall.Signal
		// mode is that of the partner from the restart until the window is over; -1 to restart after that.
		mode     partner.Mode
		unlisted bool // the list does not contain the partner until then
		twice    bool // killed a second time meanwhile
	}{
		"killed, started after it":            {signal: syscall.SIGKILL, mode: -1},
		"terminated, started after it":        {signal: syscall.SIGTERM, mode: -1},
		"killed, listed after it":             {signal: syscall.SIGKILL, unlisted: true},
		"killed, rejected until then":         {signal: syscall.SIGKILL, mode: partner.Overloaded},
		"killed, and again during the repeat": {signal: syscall.SIGKILL, mode: partner.Hanging, twice: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := startPartner(t, partner.Options{Name: "1"})
			to.SetMode(partner.Hanging)
			p, dir := discovery.New(t), t.TempDir()
			p.EditSettings = func(s string) string {
				return strings.NewReplacer(`"window_s":25`, `"window_s":1`, `"max_attempts":3`, `"max_attempts":30`).Replace(s)
			}
			known := platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{{ID: "s-0",
				HostPort: to.Addr(), Zone: "a", Kind: "std",
				Dest: 1, Lifecycle: "up", Weight: 100}}}
			p.List = known
			calls := func(id string) (all []partner.Call) {
				for _, c := range to.Calls() {
					if c.ID == id {
						all = append(all, c)
					}
				}
				return all
			}
			y := startProcess(t, p, dir, known)
			c := dial(t, y.addr)
			c.put("harmless", "safe", "+OK")
			c.put("once", "keyed", "+OK")
			byhand.WaitUntil(t, "first calls", func() bool { return len(calls("once")) > 0 && len(calls("harmless")) > 0 })
			windowEnd := calls("once")[0].At.Add(window)
			y.Signal(x.signal)
			y.Wait()
			if x.unlisted {
				known = platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{}}
				p.Set(func() { p.Silent = true })
			}
			if x.mode < 0 {
				time.Sleep(time.Until(windowEnd.Add(longer)))
			} else {
				to.SetMode(x.mode)
			}
			checkFailed := func(n discovery.Notice) {
				if n.ID != "once" || n.State != "failed" {
					t.Errorf("notice %+v", n)
				}
			}
			ended := false
			if x.mode >= 0 {
				if x.twice {
					time.Sleep(time.Until(windowEnd.Add(-window * 2 / 3)))
				}
				y = startProcess(t, p, dir, known)
				if x.twice { // no repeat if this machine was too slow for one within the window
					byhand.WaitUntil(t, "repeat or end", func() bool { return len(calls("once")) > 1 || len(p.Notices) > 0 })
					if ended = len(p.Notices) > 0; ended {
						checkFailed(<-p.Notices)
					}
					y.kill()
				}
				time.Sleep(time.Until(windowEnd.Add(longer)))
			}
			to.SetMode(partner.Healthy)
			if x.mode < 0 || x.twice {
				y = startProcess(t, p, dir, known)
			}
			p.Set(func() { p.Silent, p.List.Generation = false, 2 })
			byhand.WaitUntil(t, "harmless repeat", func() bool {
				all := calls("harmless")
				return all[len(all)-1].Status == 200
			})
			if !ended {
				byhand.WaitUntil(t, "end",
					func() bool { all := calls("once"); return len(p.Notices) > 0 || all[len(all)-1].Status == 200 })
				select {
				case n := <-p.Notices:
					checkFailed(n)
				default:
					t.Error("the message was delivered, want failed")
				}
			}
			y.term()
			y.awaitExit()
			all := calls("once")
			for _, c := range all[1:] {
				if late := c.At.Sub(windowEnd); late > slack {
					t.Errorf("repeated %v after the window", late)
				}
				if c.Key != all[0].Key {
					t.Errorf("repeated with key %q, first sent with %q", c.Key, all[0].Key)
				}
			}
			t.Logf("%s: %d calls", name, len(all))
			if faults := to.Violations(func(string) bool { return false }); len(faults) > 0 {
				t.Error(faults)
			}
		})
	}
}
