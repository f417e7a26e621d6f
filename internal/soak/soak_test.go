package soak

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/standin/faultbuild"
)

// A short soak run with every kind of fault keeps all invariants, for two seeds. Long runs are started by hand
// with measure soak.
func TestShortSoak(t *testing.T) {
	const (
		senders = 6
		length  = 6 * time.Second
	)
	path := filepath.Join(t.TempDir(), "cometrack")
	if err := Build(path); err != nil { // fails if a point of measure crossings is not in the program exactly once
		t.Fatal(err)
	}
	for _, seed := range []uint64{1, 2} {
		r, err := Run(Options{Seed: seed, Senders: senders, Length: length, Binary: path, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r.Summary(seed))
		if r.Accepted < 100 || r.Delivered < 50 || r.Faults.Writes == 0 {
			t.Error("too few messages or write faults for a meaningful run")
		}
		if r.MostSockets == 0 || r.MostMemory == 0 {
			t.Error("no process was sampled for its usage")
		}
		if len(r.Violations) > 0 {
			t.Logf("seed %d, the script:\n%s", seed, strings.Join(r.Script, "\n"))
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}

// The judge reports each broken invariant in a history that has it, and none in one that has not.
func TestJudge(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	call := func(ms, over, status int) *Call {
		c := &Call{At: at(ms), Ran: status != 503 && status != 429, Status: status}
		if status == 0 {
			c.ClosedAt = at(over)
		} else {
			c.AnsweredAt = at(over)
		}
		return c
	}
	fine := func() *Message {
		return &Message{ID: "m", Effect: Unsafe, WrittenAt: at(0), Deadline: at(1000), Answer: "+OK", AnsweredAt: at(1), Calls: []*Call{call(10, 20, 200)}}
	}
	for name, x := range map[string]struct {
		change func(m *Message, r *Records)
		want   string
	}{
		"fine":       {func(*Message, *Records) {}, ""},
		"no end":     {func(m *Message, _ *Records) { m.Calls = nil }, "lost: no end"},
		"a late end": {func(m *Message, _ *Records) { m.Calls, m.Notices = nil, []Notice{{At: at(1700), State: "failed"}} }, "lost: its end"},
		"late, and being restarted": {func(m *Message, r *Records) {
			m.Calls, m.Notices, r.outages[0] = nil, []Notice{{At: at(1700), State: "failed"}}, []Interval{{at(900), at(1200)}}
		}, ""},
		"sent after its deadline": {func(m *Message, _ *Records) { m.Calls = []*Call{call(1200, 1210, 200)} }, "after its deadline"},
		"sent after its deadline, held once": {func(m *Message, r *Records) {
			m.Calls, r.stalls[0] = []*Call{call(1200, 1210, 200)}, []Interval{{at(100), at(250)}}
		}, "after its deadline"},
		"sent after its deadline, held in a row": {func(m *Message, r *Records) {
			m.Calls, r.stalls[0] = []*Call{call(1200, 1210, 200)}, []Interval{{at(100), at(250)}, {at(260), at(410)}, {at(420), at(500)}}
		}, ""},
		"sent after its notice": {func(m *Message, _ *Records) { m.Notices = []Notice{{At: at(5), State: "failed"}} }, "after its notice"},
		"returned and run": {func(m *Message, _ *Records) {
			m.Calls[0] = call(10, 20, 500)
			m.Notices = []Notice{{At: at(50), State: "returned"}}
		}, "returned after a call that ran"},
		"ran twice":       {func(m *Message, _ *Records) { m.Calls = append(m.Calls, call(100, 110, 200)) }, "ran 2 times"},
		"safe, ran twice": {func(m *Message, _ *Records) { m.Effect = Safe; m.Calls = append(m.Calls, call(100, 110, 200)) }, ""},
		"keyed, after its window": {func(m *Message, _ *Records) {
			m.Effect, m.Deadline = Keyed, at(9000)
			m.Calls = append(m.Calls, call(3000, 3010, 200))
		}, "after its window"},
		"two out": {func(m *Message, _ *Records) {
			m.Effect = Safe
			m.Calls = []*Call{call(10, 500, 0), call(100, 110, 200)}
		}, "two attempts in flight"},
		"failed and sent":   {func(m *Message, _ *Records) { m.Answer = "-ERR failed" }, "failed and sent"},
		"rejected and sent": {func(m *Message, _ *Records) { m.Answer = "-BUSY" }, "rejected and sent"},
		"returned, sent once more and rejected": {func(m *Message, _ *Records) {
			m.Answer, m.Calls, m.resentAt = "-BUSY", []*Call{call(10, 20, 503)}, at(90)
			m.Notices = []Notice{{At: at(50), State: "returned"}}
		}, ""},
		"returned, rejected and sent": {func(m *Message, _ *Records) {
			m.Answer, m.Calls, m.resentAt = "-BUSY", []*Call{call(95, 99, 503)}, at(90)
			m.Notices = []Notice{{At: at(50), State: "returned"}}
		}, "rejected and sent"},
		"closed with no answer": {func(m *Message, _ *Records) { m.Answer, m.ClosedAt = "", at(600) }, "closed with no answer"},
		"closed in crossing":    {func(m *Message, _ *Records) { m.Answer, m.ClosedAt = "", at(100) }, ""},
		"closed by a kill":      {func(m *Message, r *Records) { m.Answer, m.ClosedAt, r.kills[0] = "", at(600), []time.Time{at(599)} }, ""},
		"an answer, all right":  {func(m *Message, _ *Records) { m.rawAnswer = "+OK\r\n" }, ""},
		"one byte of an answer": {func(m *Message, _ *Records) { m.rawAnswer = ":OK\r\n" }, "none of the forms"},
		"a bare line feed":      {func(m *Message, _ *Records) { m.rawAnswer = "+OK\n" }, "none of the forms"},
		"inside a wait":         {func(m *Message, _ *Records) { m.Calls[0].InsideWait = 200 * time.Millisecond }, "inside a requested wait"},
		"inside a wait, held up": {func(m *Message, r *Records) {
			m.Calls[0].InsideWait, r.stalls[0] = 200*time.Millisecond, []Interval{{at(-250), at(5)}}
		}, ""},
		"accepted after its notice": {func(m *Message, _ *Records) {
			m.Calls, m.Notices, m.resentAt, m.AnsweredAt = nil, []Notice{{At: at(50), State: "returned"}}, at(60), at(61)
		}, "accepted 11ms after its notice"},
		"accepted before its notice": {func(m *Message, _ *Records) {
			m.Calls, m.Notices, m.resentAt, m.AnsweredAt = nil, []Notice{{At: at(70), State: "returned"}}, at(60), at(61)
		}, ""},
		"given up after a reset": {func(m *Message, _ *Records) {
			m.Effect, m.Calls, m.Notices = Safe, nil, []Notice{{At: at(90), State: "returned"}}
			m.lifetime, m.brokenAt = time.Second, at(50)
		}, "returned untried 40ms after its connection broke"},
		"returned with advice after a reset": {func(m *Message, _ *Records) {
			m.Effect, m.Calls, m.Notices = Safe, nil, []Notice{{At: at(90), State: "returned", AfterMS: 1000}}
			m.lifetime, m.brokenAt = time.Second, at(50)
		}, ""},
		"unsafe, given up after a reset": {func(m *Message, _ *Records) {
			m.Effect, m.Calls, m.Notices = Unsafe, nil, []Notice{{At: at(90), State: "returned"}}
			m.lifetime, m.brokenAt = time.Second, at(50)
		}, ""},
		"its client has left":        {func(m *Message, _ *Records) { m.Answer, m.ClientLeft, m.Calls = "", true, nil }, ""},
		"a violation of the process": {func(_ *Message, r *Records) { r.faults = []string{"violation"} }, "process"},
	} {
		r, m := newRecords(), fine()
		x.change(m, r)
		r.addMessage(m)
		var rules []string
		for _, v := range r.judge(start, repeatWindow, 0).Violations {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(rules, "; "); (x.want == "") != (got == "") || !strings.Contains(got, x.want) {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
	}
}

// A request that was read and got no response is a violation, however shortly before the end of its connection
// it was written. One that was not read, or whose connection the harness broke, is not: it only crossed the
// end of the connection.
func TestJudgeOfReads(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, x := range map[string]struct {
		read   int64
		broken bool
		kill   int // when the process was killed; 0 for never
		want   int
	}{
		"read":              {100, false, 0, 1},
		"read in part":      {99, false, 0, 1},
		"not read":          {50, false, 0, 0},
		"broken":            {100, true, 0, 0},
		"killed":            {100, false, 12, 0},
		"killed long after": {100, false, 500, 1},
	} {
		r := newRecords()
		r.addMessage(&Message{ID: "m", Effect: Safe, WrittenAt: at(10), Deadline: at(1000), ClosedAt: at(15), port: 7, dialed: at(0), requestStart: 50, requestEnd: 100})
		r.setTrace(0, []*faultbuild.Connection{{Port: 7, FirstSeen: at(5), Reads: []faultbuild.Read{{At: at(11), TotalBytes: x.read}}, Broken: x.broken}})
		if x.kill > 0 {
			r.addKill(0, at(x.kill))
		}
		if got := len(r.judge(start, repeatWindow, 0).Violations); got != x.want {
			t.Errorf("%s: %d violations, want %d", name, got, x.want)
		}
	}
}
