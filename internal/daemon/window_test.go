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

// A keyed class whose partner drops repeats for 1 s only, and restarts that take longer, with a first attempt whose
// outcome nobody knows: by the partner's record nothing repeats after its window, which counts from that attempt on, and
// the message ends as failed. A harmless one beside it is sent again by the same process, so it could have been.
func TestRestartOutlastsWindow(t *testing.T) {
	const (
		window = time.Second
		slack  = 50 * time.Millisecond // that the rules give each time limit
		longer = 3 * slack             // than the window, what a restart takes
	)
	for name, x := range map[string]struct {
		signal syscall.Signal
		// again is what the partner does from the restart until the window is over; -1 to start after it.
		again  partner.Mode
		unseen bool // the list does not name it until then
		twice  bool // killed once more meanwhile
	}{
		"killed, started after it":              {signal: syscall.SIGKILL, again: -1},
		"ended in order, started after it":      {signal: syscall.SIGTERM, again: -1},
		"killed, listed after it":               {signal: syscall.SIGKILL, unseen: true},
		"killed, turned away until then":        {signal: syscall.SIGKILL, again: partner.Overloaded},
		"killed, and again with the repeat out": {signal: syscall.SIGKILL, again: partner.Hanging, twice: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := startPartner(t, partner.Options{Name: "1"})
			to.SetMode(partner.Hanging)
			p, dir := discovery.New(t), t.TempDir()
			p.EditSettings = func(s string) string {
				return strings.NewReplacer(`"window_s":25`, `"window_s":1`, `"max_attempts":3`, `"max_attempts":30`).Replace(s)
			}
			known := platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{{ID: "s-0", HostPort: to.Addr(), Zone: "a", Kind: "std",
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
			over := calls("once")[0].At.Add(window)
			y.Signal(x.signal)
			y.Wait()
			if x.unseen {
				known = platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{}}
				p.Set(func() { p.Silent = true })
			}
			if x.again < 0 {
				time.Sleep(time.Until(over.Add(longer)))
			} else {
				to.SetMode(x.again)
			}
			failed := func(n discovery.Notice) {
				if n.ID != "once" || n.State != "failed" {
					t.Errorf("notice %+v", n)
				}
			}
			ended := false
			if x.again >= 0 {
				if x.twice {
					time.Sleep(time.Until(over.Add(-window * 2 / 3)))
				}
				y = startProcess(t, p, dir, known)
				if x.twice { // unless this machine was too slow for a repeat within the window
					byhand.WaitUntil(t, "repeat or end", func() bool { return len(calls("once")) > 1 || len(p.Notices) > 0 })
					if ended = len(p.Notices) > 0; ended {
						failed(<-p.Notices)
					}
					y.kill()
				}
				time.Sleep(time.Until(over.Add(longer)))
			}
			to.SetMode(partner.Healthy)
			if x.again < 0 || x.twice {
				y = startProcess(t, p, dir, known)
			}
			p.Set(func() { p.Silent, p.List.Generation = false, 2 })
			byhand.WaitUntil(t, "harmless repeat", func() bool {
				all := calls("harmless")
				return all[len(all)-1].Status == 200
			})
			if !ended {
				byhand.WaitUntil(t, "end", func() bool { all := calls("once"); return len(p.Notices) > 0 || all[len(all)-1].Status == 200 })
				select {
				case n := <-p.Notices:
					failed(n)
				default:
					t.Error("it is delivered, and was to fail")
				}
			}
			y.term()
			y.end()
			all := calls("once")
			for _, c := range all[1:] {
				if late := c.At.Sub(over); late > slack {
					t.Errorf("it repeats %v after its window", late)
				}
				if c.Key != all[0].Key {
					t.Errorf("it repeats under %q, and was sent under %q", c.Key, all[0].Key)
				}
			}
			t.Logf("%s: %d calls", name, len(all))
			if faults := to.Violations(func(string) bool { return false }); len(faults) > 0 {
				t.Error(faults)
			}
		})
	}
}
