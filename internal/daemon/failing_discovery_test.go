package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/fate"
)

// toldWithin is how long after discovery had a change and could be reached it counts as told, and the slack on sockets.
const toldWithin = 6*time.Second + 50*time.Millisecond

// Guards against new work for an endpoint that drains because single calls for the list fail (incident of 2026-12-04).
// Discovery is up and has the change; the watch and the three calls after it meet a fate, and the next is answered.
func TestDrainIsHeededThoughCallsForTheListFail(t *testing.T) {
	second := time.Second
	for _, x := range []struct {
		name  string
		moved bool // SIGHUP moves discovery in the moment of the change
		fates []fate.Response
	}{
		{"503 at once", false, slices.Repeat([]fate.Response{{Kind: fate.Unavailable}}, 4)},
		{"503 at once after SIGHUP", true, slices.Repeat([]fate.Response{{Kind: fate.Unavailable}}, 7)},
		{"503 out of a queue", false, slices.Repeat([]fate.Response{{Kind: fate.DelayedUnavailable, Delay: second}}, 4)},
		{"one of each", false, []fate.Response{{Kind: fate.Reset}, {Kind: fate.Truncated}, {Kind: fate.Stalled}, {Kind: fate.NoResponse}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			p, left, fresh := discovery.New(t), byhand.NewEndpoint(t), byhand.NewEndpoint(t)
			known := platform.List{Generation: 1, Reset: true, Instances: instances(left)}
			p.List = known
			proc := startProcess(t, p, t.TempDir(), known)
			byhand.Await(t, p.Asked, "watch")

			after := platform.List{Generation: 2, Reset: true, Instances: instances(left, fresh)}
			after.Instances[0].Lifecycle = "draining"
			at := p
			if x.moved {
				at = discovery.New(t)
			}
			changed := time.Now()
			at.Set(func() { at.List, at.Fates = after, x.fates })
			if x.moved {
				proc.hup(configText(at, known))
			}
			for late := time.After(toldWithin); ; { // the watch from the new list on shows that it has been taken
				select {
				case q := <-at.Asked:
					if !strings.HasPrefix(q, "from=2&") {
						continue
					}
				case <-late:
					t.Fatalf("the change is not in hand %v after discovery had it and could be reached", toldWithin)
				}
				break
			}
			t.Logf("in hand %v after the change", time.Since(changed).Round(time.Millisecond))
			c := dial(t, proc.addr)
			for i := range 4 {
				c.put(fmt.Sprint("m-", i), "safe", "+OK")
				byhand.Await(t, fresh.Calls, "call at the endpoint that is up").Reply(200)
			}
			left.None(t)
			proc.term()
			proc.end()
		})
	}
}
