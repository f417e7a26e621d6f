package daemon

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
)

// pushedSettings turns settings into those of a deployment in which the list is pushed, with one slot and up to three
// messages per call.
func pushedSettings(settings string) string {
	return strings.NewReplacer(`"on_request"`, `"pushed"`, `"call_slots":6`, `"call_slots":1`,
		`"batch_by_kind":[1]`, `"batch_by_kind":[3]`,
		`{"how":"off","names":[]}`, `{"how":"inline","names":["x0","x1"]}`).Replace(settings)
}

// If the list is pushed, the scheduler never requests it: the sender follows its agent by itself, and goes on after the
// agent was silent or down.
func TestPushedList(t *testing.T) {
	p := discovery.New(t)
	p.EditSettings = pushedSettings
	n, _, _, e := startScenarioWith(t, p, 2)
	awaitWatch := func(from string) {
		t.Helper()
		for !strings.HasPrefix(byhand.Await(t, p.ListCalls, "watch"), "from="+from+"&") {
		}
	}
	change := func(generation int64, states ...string) {
		list := platform.List{Generation: generation, Instances: instances(e...)}
		for i, s := range states {
			list.Instances[i].Lifecycle = s
		}
		p.Set(func() { p.List, p.Silent, p.Down = list, false, false })
		awaitWatch(fmt.Sprint(generation)) // the next watch begins once the last list was passed on
	}
	awaitWatch("1")
	for i, x := range []struct {
		cut    func()
		states []string
		to     int
	}{
		{func() {}, []string{"draining", "up"}, 1},
		{func() { p.Silent = true }, []string{"up", "removed"}, 0},
		{func() { p.Down = true }, []string{"removed", "up"}, 1},
	} {
		p.Set(x.cut)
		if p.Silent || p.Down { // the request in progress fails and is retried
			awaitWatch(fmt.Sprint(i + 1))
			awaitWatch(fmt.Sprint(i + 1))
		}
		change(int64(i+2), x.states...)
		id := fmt.Sprint("m", i)
		dial(t, n.addr).put(id, "safe", "+OK")
		in := byhand.Await(t, e[x.to].Calls, "call at the listed endpoint")
		if in.ID() != id {
			t.Errorf("call with %s, want %s", in.ID(), id)
		}
		in.Reply(200)
	}
	e[0].ExpectNoCall(t)
	stopClean(t, n)
}

// Messages that one step sends to one endpoint are carried by one call on one slot, and each has its own end according
// to the response.
func TestBatchEndToEnd(t *testing.T) {
	p := discovery.New(t)
	p.EditSettings = pushedSettings
	n, c, _, e := startScenarioWith(t, p, 1)
	c.put("a", "safe", "+OK")
	first := byhand.Await(t, e[0].Calls, "call")
	for _, x := range []string{"b unsafe", "c keyed", "d unsafe", "f safe"} {
		id, class, _ := strings.Cut(x, " ")
		c.put(id, class, "+OK")
	}
	e[0].ExpectNoCall(t) // the only slot is in use
	first.Reply(200, "Endpoint-Load-Metrics: x0=0.9,x1=50")
	in := byhand.Await(t, e[0].Calls, "call with several messages")
	var list []struct{ ID, Key, Body string }
	if err := json.Unmarshal([]byte(in.Body), &list); err != nil || len(list) != 3 || in.Req.URL.Path != "/inbox/bulk" {
		t.Fatalf("%s %s: %v", in.Req.URL.Path, in.Body, err)
	}
	left := map[string]bool{"b": true, "c": true, "d": true, "f": true}
	var results []string
	failed := 0
	for _, x := range list {
		delete(left, x.ID)
		state := "done"
		if x.ID == "b" || x.ID == "d" { // an unsafe message that may have run
			state = "failed"
			failed++
		}
		results = append(results, fmt.Sprintf(`{"id":%q,"state":%q}`, x.ID, state))
	}
	answer := "[" + strings.Join(results, ",") + "]"
	fmt.Fprintf(in.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	in.Done <- true
	for range failed {
		if x := byhand.Await(t, p.Notices, "notice"); x.State != "failed" || x.ID != "b" && x.ID != "d" {
			t.Errorf("notice %+v", x)
		}
	}
	in = byhand.Await(t, e[0].Calls, "call with the remaining message")
	if !left[in.ID()] {
		t.Errorf("call with %s", in.ID())
	}
	in.Reply(200)
	stopClean(t, n)
}
