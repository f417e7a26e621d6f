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

// listDelayLimit is the time within which a change must be applied after discovery has it and is reachable: 6 s, plus
// the tolerance for sockets.
const listDelayLimit = 6*time.Second + 50*time.Millisecond

// Guards against new calls to a draining endpoint because single requests for the list fail (incident of 2026-12-04).
// Discovery is up and has the change; the watch and the three requests after it fail as the case says, and the next one
// is answered.
func TestDrainIsHeededThoughCallsForTheListFail(t *testing.T) {
	second := time.Second
	for _, x := range []struct {
		name  string
		moved bool // SIGHUP changes the address of discovery at the moment of the change
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
			byhand.Await(t, p.ListCalls, "watch")

			after := platform.List{Generation: 2, Reset: true, Instances: instances(left, fresh)}
			after.Instances[0].Lifecycle = "draining"
			current := p
			if x.moved {
				current = discovery.New(t)
			}
			changed := time.Now()
			current.Set(func() { current.List, current.Fates = after, x.fates })
			if x.moved {
				proc.hup(configText(current, known))
			}
			for late := time.After(listDelayLimit); ; { // a request from the new generation on shows that the list was applied
				select {
				case q := <-current.ListCalls:
					if !strings.HasPrefix(q, "from=2&") {
						continue
					}
				case <-late:
					t.Fatalf("the change is not applied %v after discovery had it and was reachable", listDelayLimit)
				}
				break
			}
			t.Logf("applied %v after the change", time.Since(changed).Round(time.Millisecond))
			c := dial(t, proc.addr)
			for i := range 4 {
				c.put(fmt.Sprint("m-", i), "safe", "+OK")
				byhand.Await(t, fresh.Calls, "call at the endpoint that is up").Reply(200)
			}
			left.ExpectNoCall(t)
			proc.term()
			proc.awaitExit()
		})
	}
}
