package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// validRun returns a run without violations: a partner with a rate, requested waits and a
// drain, with some messages retried and some in order.
func validRun(seed uint64) (calls []Call, submissions []Submission, l *Ledger) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l = &Ledger{}
	at := time.Duration(0)
	for n := range 200 {
		m := Submission{Unsafe: n%3 == 0, Partner: "p", SubmittedAt: at + 1*ms, AcceptedAt: at + 2*ms}
		if n%4 == 0 {
			m.OrderKey = fmt.Sprint("k", n%8)
		}
		submissions = append(submissions, m)
		l.Sent(n)
		l.Answered(n, true)
		endpoint := "e1"
		if at > 5*time.Second {
			endpoint = "e2"
		}
		at += 100 * ms
		if rng.IntN(4) == 0 { // rejected with a requested wait, then retried
			wait := time.Duration(1+rng.IntN(400)) * ms
			calls = append(calls, Call{Message: n, Endpoint: endpoint, ReceivedAt: at, AnsweredAt: at + 5*ms, RequestedWait: wait})
			at += 5*ms + wait + 100*ms
		}
		calls = append(calls, Call{Message: n, Endpoint: endpoint, ReceivedAt: at, AnsweredAt: at + 20*ms, Ran: true})
		if !m.Unsafe && rng.IntN(4) == 0 { // no response arrived; a safe or keyed message may run again
			at += 120 * ms
			calls = append(calls, Call{Message: n, Endpoint: endpoint, ReceivedAt: at, AnsweredAt: at + 20*ms, Ran: true})
		}
		l.End(n, Delivered)
	}
	return calls, submissions, l
}

// Check finds no violation in a valid run, and exactly the violation that is planted in it.
func TestPlantedViolations(t *testing.T) {
	ran := func(calls []Call, submissions []Submission, want func(c Call, m Submission) bool) int {
		for i, c := range calls {
			if c.Ran && i > 40 && want(c, submissions[c.Message]) {
				return i
			}
		}
		return -1
	}
	for what, plant := range map[string]func(calls []Call, submissions []Submission, l *Ledger) []Call{
		"": func(calls []Call, _ []Submission, _ *Ledger) []Call { return calls },
		"an unsafe message ran twice": func(calls []Call, submissions []Submission, _ *Ledger) []Call {
			c := calls[ran(calls, submissions, func(_ Call, m Submission) bool { return m.Unsafe })]
			c.ReceivedAt, c.AnsweredAt = c.ReceivedAt+40*ms, c.ReceivedAt+41*ms
			return append(calls, c)
		},
		"two attempts were in flight": func(calls []Call, submissions []Submission, _ *Ledger) []Call {
			c := calls[ran(calls, submissions, func(_ Call, m Submission) bool { return !m.Unsafe })]
			c.ReceivedAt = c.AnsweredAt - 1*ms
			return append(calls, c)
		},
		"after a wait of": func(calls []Call, submissions []Submission, _ *Ledger) []Call {
			for i, c := range calls {
				if c.RequestedWait > 100*ms { // the next call of this message is the one after the wait
					calls[i+1].ReceivedAt = c.AnsweredAt + c.RequestedWait - 10*ms
					break
				}
			}
			return calls
		},
		"began to drain": func(calls []Call, _ []Submission, _ *Ledger) []Call {
			for i := range calls {
				if calls[i].ReceivedAt > 9*time.Second {
					calls[i].Endpoint = "e1"
					break
				}
			}
			return calls
		},
		"which was submitted later": func(calls []Call, submissions []Submission, _ *Ledger) []Call {
			i := ran(calls, submissions, func(c Call, m Submission) bool { return m.OrderKey != "" })
			for j := i + 1; ; j++ {
				if calls[j].Ran && submissions[calls[j].Message].OrderKey == submissions[calls[i].Message].OrderKey && calls[j].Message != calls[i].Message {
					calls[i].Message, calls[j].Message = calls[j].Message, calls[i].Message
					return calls[:j+1]
				}
			}
		},
		"calls within": func(calls []Call, submissions []Submission, l *Ledger) []Call {
			for n := range 12 {
				calls = append(calls, Call{Message: 1000 + n, Endpoint: "e2", ReceivedAt: time.Hour + time.Duration(n)*ms, AnsweredAt: time.Hour + time.Duration(n)*ms})
			}
			return calls
		},
		"its client was notified that it did not": func(calls []Call, submissions []Submission, l *Ledger) []Call {
			*l.at(7) = sent | accepted | ended
			return calls
		},
		"arrived here": func(calls []Call, submissions []Submission, _ *Ledger) []Call {
			submissions[9].Partner = "q"
			return calls
		},
	} {
		for seed := range uint64(5) {
			calls, submissions, l := validRun(seed)
			calls = plant(calls, submissions, l)
			r := Rules{TransitTime: 50 * ms, DrainedAt: map[string]time.Duration{"e1": 6 * time.Second}, DrainGrace: 2 * time.Second, MaxCalls: 11, RateWindow: time.Second}
			found := r.Check("p", calls, func(n int) Submission {
				if n < len(submissions) {
					return submissions[n]
				}
				return Submission{Partner: "p"}
			}, l)
			for _, f := range found {
				if what == "" || !strings.Contains(f.What, what) {
					t.Errorf("seed %d, planted %q: found %+v", seed, what, f)
				}
			}
			if what != "" && len(found) == 0 {
				t.Errorf("seed %d: %q was not found", seed, what)
			}
		}
	}
	calls, _, l := validRun(1)
	if found := DeliveredWithoutRun(l, calls, 200); len(found) > 0 {
		t.Errorf("%v", found)
	}
	if found := DeliveredWithoutRun(l, calls[:len(calls)-9], 200); len(found) == 0 {
		t.Error("a delivery without a run was not found")
	}
}
