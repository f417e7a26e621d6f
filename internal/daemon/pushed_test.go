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

// pushed turns settings into those of a deployment whose list comes by itself, with one slot and calls that
// carry three messages.
func pushed(settings string) string {
	return strings.NewReplacer(`"on_request"`, `"pushed"`, `"call_slots":6`, `"call_slots":1`, `"batch_by_kind":[1]`, `"batch_by_kind":[3]`,
		`{"how":"off","names":[]}`, `{"how":"inline","names":["x0","x1"]}`).Replace(settings)
}

// Where the list is pushed nothing asks the module to ask for it: the sender follows its agent by itself, and goes on
// after the agent was silent or away.
func TestPushedList(t *testing.T) {
	p := discovery.New(t)
	p.EditSettings = pushed
	n, _, _, e := worldWith(t, p, 2)
	asked := func(from string) {
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
		asked(fmt.Sprint(generation)) // the next watch begins once the last has been told
	}
	asked("1")
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
		if p.Silent || p.Down { // whatever it has asked, it asks again
			asked(fmt.Sprint(i + 1))
			asked(fmt.Sprint(i + 1))
		}
		change(int64(i+2), x.states...)
		id := fmt.Sprint("m", i)
		dial(t, n.addr).put(id, "safe", "+OK")
		in := byhand.Await(t, e[x.to].Calls, "call where the list says")
		if in.ID() != id {
			t.Errorf("call with %s, want %s", in.ID(), id)
		}
		in.Reply(200)
	}
	e[0].ExpectNoCall(t)
	stopClean(t, n)
}

// What one step sends to one endpoint travels as one call on one slot, and each message has its own end by the answer.
func TestBatchEndToEnd(t *testing.T) {
	p := discovery.New(t)
	p.EditSettings = pushed
	n, c, _, e := worldWith(t, p, 1)
	c.put("a", "safe", "+OK")
	first := byhand.Await(t, e[0].Calls, "call")
	for _, x := range []string{"b unsafe", "c keyed", "d unsafe", "f safe"} {
		id, class, _ := strings.Cut(x, " ")
		c.put(id, class, "+OK")
	}
	e[0].ExpectNoCall(t) // the one slot is taken
	first.Reply(200, "Endpoint-Load-Metrics: x0=0.9,x1=50")
	in := byhand.Await(t, e[0].Calls, "call with several")
	var list []struct{ ID, Key, Body string }
	if err := json.Unmarshal([]byte(in.Body), &list); err != nil || len(list) != 3 || in.Req.URL.Path != "/inbox/bulk" {
		t.Fatalf("%s %s: %v", in.Req.URL.Path, in.Body, err)
	}
	left := map[string]bool{"b": true, "c": true, "d": true, "f": true}
	var fates []string
	failed := 0
	for _, x := range list {
		delete(left, x.ID)
		state := "done"
		if x.ID == "b" || x.ID == "d" { // an unsafe one that may have run
			state = "failed"
			failed++
		}
		fates = append(fates, fmt.Sprintf(`{"id":%q,"state":%q}`, x.ID, state))
	}
	answer := "[" + strings.Join(fates, ",") + "]"
	fmt.Fprintf(in.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	in.Done <- true
	for range failed {
		if x := byhand.Await(t, p.Notices, "notice"); x.State != "failed" || x.ID != "b" && x.ID != "d" {
			t.Errorf("notice %+v", x)
		}
	}
	in = byhand.Await(t, e[0].Calls, "call with the one left")
	if !left[in.ID()] {
		t.Errorf("call with %s", in.ID())
	}
	in.Reply(200)
	stopClean(t, n)
}
