package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/source/platform/poll"
)

// retryWithin is the longest time from a call without a response, or a failed one, to the next.
const retryWithin = 1500 * time.Millisecond

// Guards against a call that gets stuck: wherever its response stops, the next call is made soon, in parallel.
func TestSilentCallIsRetried(t *testing.T) {
	silent := func(testCall) {}
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(completeList), completeList)
	for _, x := range []struct {
		name     string
		first    func(testCall) // handles the first call
		agent    bool
		known    bool          // there is a list, so that the first call is a watch
		within   time.Duration // time limit of the second call
		complete bool          // the second call requests the complete list
	}{
		{"complete list, from the first byte", silent, false, false, retryWithin, true},
		{"complete list, after the head", func(c testCall) { c.write(responseHead) }, false, false, retryWithin, true},
		{"complete list, within it", func(c testCall) { c.write(responseHead + completeList[:40]) }, false, false, retryWithin, true},
		{"complete list, a trickle", trickle, false, false, retryWithin, true},
		{"complete list, its last byte", func(c testCall) { c.write(chunked) }, false, false, 200 * time.Millisecond, false},
		{"watch, from the first byte", silent, false, true, 20500 * time.Millisecond, false},
		{"watch, within its response", func(c testCall) { c.write(responseHead + completeList[:40]) }, false, true, retryWithin, false},
		{"watch of an agent, from the first byte", silent, true, true, retryWithin, false},
		{"watch of an agent, within its response", func(c testCall) { c.write(responseHead + completeList[:40]) }, true, true, retryWithin, false},
		{"an older generation", func(c testCall) { reply(c, `{"generation":3,"reset":false,"instances":[]}`) }, false, true, time.Second, true},
		{"an empty object", func(c testCall) { reply(c, `{}`) }, false, false, retryWithin, true},
		{"cut off", func(c testCall) { c.write(responseHead + completeList[:40]); c.conn.Close() }, false, false, retryWithin, true},
		{"indented", func(c testCall) { reply(c, strings.ReplaceAll(completeList, ",", ",\n\t  ")) }, false, false, 200 * time.Millisecond, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := List{}
				if x.known {
					known.Generation = 5
				}
				s := newDiscovery(t, known, poll.Settings{Senders: 1, Agent: x.agent}, 1, []fault{{respond: x.first}})
				calls := make(chan testCall, 16)
				s.onCall = func(c testCall) { calls <- c }
				s.follow(t)
				<-calls
				if second := <-calls; second.at > x.within || second.complete() != x.complete {
					t.Errorf("second call for %s after %v; want by %v, complete list %v", second.url, second.at, x.within, x.complete)
				}
				s.end()
			})
		})
	}
}

// trickle writes the list byte by byte.
func trickle(c testCall) {
	c.write(responseHead)
	for i := range completeList {
		if _, err := io.WriteString(c.conn, completeList[i:i+1]); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// Checks are made in parallel, with at most maxConns calls in flight however long discovery gives no response. The
// first response ends all other calls, and the watch starts within 200 ms, since a longer gap would end it.
func TestFirstResponseEndsOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unanswered := make([]fault, 60)
		s := newDiscovery(t, List{}, poll.Settings{Senders: 300}, 1, unanswered)
		s.follow(t)
		<-s.updates
		answered := time.Since(s.start)
		time.Sleep(time.Second)
		calls, open, maxOpen := s.seen()
		watch := calls[len(calls)-1]
		if len(calls) != len(unanswered)+2 || watch.hold() != 20*time.Second || watch.at-answered > 200*time.Millisecond {
			t.Errorf("%d calls; after the response at %v: %s at %v", len(calls), answered, watch.url, watch.at)
		}
		if maxOpen > maxConns || maxOpen < 2 || open != 1 {
			t.Errorf("%d calls in flight at a time, %d after the response; want 2 to %d, and 1", maxOpen, open, maxConns)
		}
		s.end()
		if n := len(s.updates); n > 4 { // a watch is answered after 20 s
			t.Errorf("%d more lists", n)
		}
	})
}
