package soak

import (
	"strings"
	"testing"
	"time"
)

// The judge goes by the terms that bind when a message is written: new ones bind 1.2 s after their SIGHUP, each for
// itself, and a class that is away has the terms with which it comes back.
func TestJudgeOfTerms(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	with := func(effect Effect, attempts int) terms {
		return terms{effects: map[Effect]Effect{Unsafe: effect}, attempts: attempts}
	}
	changes := []termsChange{{terms: with(Unsafe, 2)}, {at(0), with(Safe, 4)}, {at(400), with(Safe, 6)},
		{at(3000), terms{effects: map[Effect]Effect{Safe: Safe}, attempts: 6}}, {at(3400), with(Keyed, 3)}}
	for _, c := range []struct {
		written, calls int
		want           string // part of the first violation; empty for none
	}{
		{-100, 1, ""},
		{-100, 2, "ran 2 times"},
		{1100, 2, "ran 2 times"},
		{1300, 2, ""},
		{1300, 4, ""},
		{1300, 5, "4 attempts allowed"},
		{1700, 6, ""},
		{4300, 3, ""}, // the class is away
		{4300, 4, "3 attempts allowed"},
		{4700, 4, "3 attempts allowed"},
	} {
		r := newRecords()
		for _, change := range changes {
			r.addTerms(0, change)
		}
		m := &Message{ID: "m", Class: Unsafe, WrittenAt: at(c.written), Deadline: at(c.written + 1000), Answer: "+OK",
			AnsweredAt: at(c.written + 1)}
		for i := range c.calls {
			m.Calls = append(m.Calls, &Call{At: at(c.written + 10 + 20*i), Ran: true, Status: 500, AnsweredAt: at(c.written + 15 + 20*i)})
		}
		m.Notices = []Notice{{At: at(c.written + 500), State: "failed"}}
		r.addMessage(m)
		got := ""
		if violations := r.judge(start, repeatWindow, 0).Violations; len(violations) > 0 {
			got = violations[0].Rule
		}
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("written at %d, %d calls: %q, want %q", c.written, c.calls, got, c.want)
		}
	}
}
