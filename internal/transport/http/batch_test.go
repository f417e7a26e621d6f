package httptransport

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// newBatch returns attempts of the messages m0, m1, ..., all with the same body.
func newBatch(addr string, n int, body string) []*core.Attempt {
	var out []*core.Attempt
	for i := range n {
		a := newAttempt(addr, body, byhand.Timeout)
		a.Message = &message.Message{ID: fmt.Sprint("m", i), Key: "k<\"", Body: []byte(body)}
		out = append(out, a)
	}
	return out
}

// startBatch makes a batch call in the background.
func startBatch(ctx context.Context, c *Transport, call []*core.Attempt) <-chan []core.Result {
	ch := make(chan []core.Result, 1)
	go func() { ch <- c.Batch(ctx, call) }()
	return ch
}

// batchIDs returns the IDs of the messages in a batch request, after checking their bodies and keys.
func batchIDs(t *testing.T, in *byhand.ReceivedCall, body string) string {
	t.Helper()
	var list []batchItem
	if err := json.Unmarshal([]byte(in.Body), &list); err != nil || in.Req.URL.Path != "/inbox/bulk" {
		t.Fatalf("%s: %v", in.Req.URL.Path, err)
	}
	var out []string
	for _, x := range list {
		if string(x.Body) != body || x.Key != "k<\"" {
			t.Errorf("%s was sent changed", x.ID)
		}
		out = append(out, x.ID)
	}
	return strings.Join(out, " ")
}

// Each message of a batch gets the outcome that the response gives it; one that the response leaves open may have run.
func TestBatchResponses(t *testing.T) {
	result := func(o logic.Outcome) core.Result { return core.Result{Outcome: o} }
	all := func(r core.Result) []core.Result { return []core.Result{r, r, r} }
	const ok = "HTTP/1.1 200 OK\r\n"
	list := func(head string, results ...string) string {
		var parts []string
		for i, s := range results {
			parts = append(parts, fmt.Sprintf(`{"id":"m%d","state":%q}`, i, s))
		}
		body := "[" + strings.Join(parts, ",") + "]"
		return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", ok, head, len(body), body)
	}
	wait := 300 * time.Millisecond
	for name, x := range map[string]struct {
		response string
		want     []core.Result
	}{
		"different states": {list("", "done", "failed", "busy"), []core.Result{result(logic.Completed), result(logic.Errored), result(logic.Overloaded)}},
		"ended": {list("", "void", "used_up", "done"),
			[]core.Result{{Outcome: logic.NotSent, MessageEnded: true}, result(logic.NotSent), result(logic.Completed)}},
		"requested wait and load report": {list("X-Come-Back-Ms: 300\r\nEndpoint-Load-Metrics: x1=25,x0=0.5\r\n", "done", "done", "busy"), []core.Result{
			{Outcome: logic.Completed, RequestedWait: wait, Load: []float64{0.5, 25}}, {Outcome: logic.Completed, RequestedWait: wait, Load: []float64{0.5, 25}},
			{Outcome: logic.Overloaded, RequestedWait: wait, Load: []float64{0.5, 25}}}},
		"one missing":   {list("", "done", "done"), []core.Result{result(logic.Completed), result(logic.Completed), result(logic.InvalidResponse)}},
		"unknown state": {list("", "done", "perhaps", "done"), []core.Result{result(logic.Completed), result(logic.InvalidResponse), result(logic.Completed)}},
		"no list":       {ok + "Content-Length: 2\r\n\r\n{}", all(result(logic.InvalidResponse))},
		"cut short":     {ok + "Content-Length: 40\r\n\r\n[{\"id\":\"m0\",\"state\":\"done\"}", all(result(logic.InvalidResponse))},
		"two states":    {ok + "Content-Length: 52\r\n\r\n" + `[{"id":"m0","state":"done"},{"id":"m0","state":"?"}]`, all(result(logic.InvalidResponse))},
		"refused":       {"HTTP/1.1 429 x\r\nX-Come-Back-Ms: 300\r\nContent-Length: 0\r\n\r\n", all(core.Result{Outcome: logic.Overloaded, RequestedWait: wait})},
		"error":         {"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", all(result(logic.Errored))},
		"too many":      {"HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n", all(result(logic.Overloaded))},
		"bad request":   {"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", all(result(logic.Overloaded))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := byhand.NewEndpoint(t), newTestTransport()
			c.LoadMetrics = []string{"x0", "x1"}
			got := startBatch(t.Context(), c, newBatch(e.Addr(), 3, "\x00body"))
			in := byhand.Await(t, e.Calls, "call")
			if s := batchIDs(t, in, "\x00body"); s != "m0 m1 m2" {
				t.Errorf("call with %s", s)
			}
			in.Conn.Write([]byte(x.response))
			if r := byhand.Await(t, got, "results"); !reflect.DeepEqual(r, x.want) {
				t.Errorf("got %+v, want %+v", r, x.want)
			}
			in.Done <- false
		})
	}
}

// An attempt that may not begin is left out of the call; no call is made without any.
func TestBatchWithheld(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	call := newBatch(e.Addr(), 3, "b")
	call[1].Withhold(permit.WaitRequested)
	got := startBatch(t.Context(), c, call)
	in := byhand.Await(t, e.Calls, "call")
	if s := batchIDs(t, in, "b"); s != "m0 m2" {
		t.Errorf("call with %s", s)
	}
	in.Reply(503)
	r := byhand.Await(t, got, "results")
	if r[0].Outcome != logic.Overloaded || r[1].Outcome != logic.NotSent || r[2].Outcome != logic.Overloaded {
		t.Errorf("got %+v", r)
	}
	call = newBatch(e.Addr(), 2, "b")
	call[0].Withhold(permit.WaitRequested)
	call[1].Withhold(permit.WaitRequested)
	if r := byhand.Await(t, startBatch(t.Context(), c, call), "results"); r[0].Outcome != logic.NotSent || r[1].Outcome != logic.NotSent {
		t.Errorf("got %+v", r)
	}
	e.ExpectNoCall(t)
}

// Bodies that exceed one call go in the next call on the same slot, and are not sent after a refusal.
func TestBatchTooLarge(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	body := strings.Repeat("x", 16<<10)
	for _, second := range []string{"done", "wait", "full"} {
		got := startBatch(t.Context(), c, newBatch(e.Addr(), 5, body))
		in := byhand.Await(t, e.Calls, "first call")
		if s := batchIDs(t, in, body); s != "m0 m1" || len(in.Body) > maxBatchBytes {
			t.Errorf("first call with %s, %d bytes", s, len(in.Body))
		}
		reply := func(in *byhand.ReceivedCall, head, first, second string) {
			response := fmt.Sprintf(`[{"id":%q,"state":"done"},{"id":%q,"state":"done"}]`, first, second)
			fmt.Fprintf(in.Conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(response), response)
			in.Done <- true
		}
		reply(in, "", "m0", "m1")
		in = byhand.Await(t, e.Calls, "second call")
		if ms, _ := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms")); ms >= int(byhand.Timeout.Milliseconds()) {
			t.Errorf("the second call allows %d ms, as much as the first", ms)
		}
		if s := batchIDs(t, in, body); s != "m2 m3" {
			t.Errorf("second call with %s", s)
		}
		want := slices.Repeat([]logic.Outcome{logic.Completed}, 5)
		switch second {
		case "done":
			reply(in, "", "m2", "m3")
			byhand.Await(t, e.Calls, "third call").Reply(200)
		case "wait":
			reply(in, "X-Come-Back-Ms: 50\r\n", "m2", "m3")
			want[4] = logic.NotSent
		case "full":
			in.Reply(503)
			want[2], want[3], want[4] = logic.Overloaded, logic.Overloaded, logic.NotSent
		}
		for i, r := range byhand.Await(t, got, "results") {
			if r.Outcome != want[i] {
				t.Errorf("m%d: got %v, want %v", i, r.Outcome, want[i])
			}
		}
	}
}

// An incomplete load report is ignored, since the missing value would be taken for a limit of 0.
func TestParseLoadMetrics(t *testing.T) {
	for text, want := range map[string][]float64{"x0=0.4,x1=25": {0.4, 25}, " x1=0 , x0=1,other=7": {1, 0}, "x0=0.4": nil, "x0=0.4,x1=": nil,
		"x0=0.4,x1=-3": nil, "x0=NaN,x1=1": nil, "x0=1,x1=1e999": nil, "x0=1,x0=2,x1=3": nil, "noise": nil, "": nil} {
		header := map[string][]string{"Endpoint-Load-Metrics": {text}}
		if got := parseLoadMetrics(header, []string{"x0", "x1"}); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
		if parseLoadMetrics(header, nil) != nil {
			t.Errorf("%q was parsed although no load metrics are configured", text)
		}
	}
}

// One response covers all messages of a batch, so the call has the shortest of their timeouts; a later response counts
// for none of them.
func TestBatchHasShortestTimeout(t *testing.T) {
	e, c := byhand.NewEndpoint(t), newTestTransport()
	c.linger = time.Millisecond
	call := newBatch(e.Addr(), 2, "b")
	call[1].Timeout = 50 * time.Millisecond
	got := startBatch(t.Context(), c, call)
	in := byhand.Await(t, e.Calls, "call")
	if ms, _ := strconv.Atoi(in.Req.Header.Get("X-Expires-In-Ms")); ms < 1 || ms > 50 {
		t.Errorf("the call allows %d ms", ms)
	}
	in.AwaitEnd(t)
	for _, r := range byhand.Await(t, got, "results") {
		if r.Outcome != logic.TimedOut {
			t.Errorf("got %+v, want TimedOut", r)
		}
	}
}
