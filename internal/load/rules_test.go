package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// clean is a run in which nothing is broken: a partner with a rate, waits and a
// drain, some messages tried again, some in order.
func clean(seed uint64) (calls []Call, handed []Handed, l *Ledger) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l = &Ledger{}
	at := time.Duration(0)
	for n := range 200 {
		m := Handed{Unsafe: n%3 == 0, Partner: "p", Sent: at + 1*ms, Accepted: at + 2*ms}
		if n%4 == 0 {
			m.Order = fmt.Sprint("k", n%8)
		}
		handed = append(handed, m)
		l.Sent(n)
		l.Answered(n, true)
		endpoint := "e1"
		if at > 5*time.Second {
			endpoint = "e2"
		}
		at += 100 * ms
		if rng.IntN(4) == 0 { // refused with a wait, then again
			wait := time.Duration(1+rng.IntN(400)) * ms
			calls = append(calls, Call{N: n, Endpoint: endpoint, At: at, Until: at + 5*ms, Wait: wait})
			at += 5*ms + wait + 100*ms
		}
		calls = append(calls, Call{N: n, Endpoint: endpoint, At: at, Until: at + 20*ms, Ran: true})
		if !m.Unsafe && rng.IntN(4) == 0 { // no answer came; a repeat does no harm
			at += 120 * ms
			calls = append(calls, Call{N: n, Endpoint: endpoint, At: at, Until: at + 20*ms, Ran: true})
		}
		l.End(n, Delivered)
	}
	return calls, handed, l
}

// In a clean run nothing is found; each breach that is planted is, and nothing else.
func TestPlantedBreaches(t *testing.T) {
	ran := func(calls []Call, handed []Handed, want func(c Call, m Handed) bool) int {
		for i, c := range calls {
			if c.Ran && i > 40 && want(c, handed[c.N]) {
				return i
			}
		}
		return -1
	}
	for what, plant := range map[string]func(calls []Call, handed []Handed, l *Ledger) []Call{
		"": func(calls []Call, _ []Handed, _ *Ledger) []Call { return calls },
		"an unsafe message ran twice": func(calls []Call, handed []Handed, _ *Ledger) []Call {
			c := calls[ran(calls, handed, func(_ Call, m Handed) bool { return m.Unsafe })]
			c.At, c.Until = c.At+40*ms, c.At+41*ms
			return append(calls, c)
		},
		"two attempts were out": func(calls []Call, handed []Handed, _ *Ledger) []Call {
			c := calls[ran(calls, handed, func(_ Call, m Handed) bool { return !m.Unsafe })]
			c.At = c.Until - 1*ms
			return append(calls, c)
		},
		"after a wait of": func(calls []Call, handed []Handed, _ *Ledger) []Call {
			for i, c := range calls {
				if c.Wait > 100*ms { // the next call of this message is the one after the wait
					calls[i+1].At = c.Until + c.Wait - 10*ms
					break
				}
			}
			return calls
		},
		"told to drain": func(calls []Call, _ []Handed, _ *Ledger) []Call {
			for i := range calls {
				if calls[i].At > 9*time.Second {
					calls[i].Endpoint = "e1"
					break
				}
			}
			return calls
		},
		"which was handed in later": func(calls []Call, handed []Handed, _ *Ledger) []Call {
			i := ran(calls, handed, func(c Call, m Handed) bool { return m.Order != "" })
			for j := i + 1; ; j++ {
				if calls[j].Ran && handed[calls[j].N].Order == handed[calls[i].N].Order && calls[j].N != calls[i].N {
					calls[i].N, calls[j].N = calls[j].N, calls[i].N
					return calls[:j+1]
				}
			}
		},
		"calls within": func(calls []Call, handed []Handed, l *Ledger) []Call {
			for n := range 12 {
				calls = append(calls, Call{N: 1000 + n, Endpoint: "e2", At: time.Hour + time.Duration(n)*ms, Until: time.Hour + time.Duration(n)*ms})
			}
			return calls
		},
		"its client was told that it did not": func(calls []Call, handed []Handed, l *Ledger) []Call {
			*l.at(7) = sent | accepted | ended
			return calls
		},
		"came here": func(calls []Call, handed []Handed, _ *Ledger) []Call {
			handed[9].Partner = "q"
			return calls
		},
	} {
		for seed := range uint64(5) {
			calls, handed, l := clean(seed)
			calls = plant(calls, handed, l)
			r := Rules{Grace: 50 * ms, Drained: map[string]time.Duration{"e1": 6 * time.Second}, DrainGrace: 2 * time.Second, Rate: 11, Window: time.Second}
			found := r.Judge("p", calls, func(n int) Handed {
				if n < len(handed) {
					return handed[n]
				}
				return Handed{Partner: "p"}
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
	calls, _, l := clean(1)
	if found := RanNowhere(l, calls, 200); len(found) > 0 {
		t.Errorf("%v", found)
	}
	if found := RanNowhere(l, calls[:len(calls)-9], 200); len(found) == 0 {
		t.Error("a delivery without a run was not found")
	}
}
