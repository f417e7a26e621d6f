package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Call is one call as the partner that it came to saw it. Times are those of one
// clock, since the start of the run.
type Call struct {
	N        int           // of the message
	Endpoint string        // where it came
	At       time.Duration // when it had come whole
	Until    time.Duration // when it was answered, or given up
	Ran      bool          // it took effect
	Wait     time.Duration // told with the answer, for the partner as a whole; 0 for none
}

// Handed is what the rules need to know of a message from its client's side.
type Handed struct {
	Unsafe   bool
	Partner  string
	Order    string        // order key; empty for none
	Sent     time.Duration // when it was handed in
	Accepted time.Duration // when its client knew that it was taken on; 0 if it never did
}

// Rules judge what partners have seen.
type Rules struct {
	// Grace is how long after a wait or a drain is told a call may still come: it may
	// have been on its way.
	Grace time.Duration
	// Drained says when the sender was told that an endpoint drains.
	Drained map[string]time.Duration
	// DrainGrace is how long after that new calls may come.
	DrainGrace time.Duration
	// Rate is the most calls of a partner in Window; 0 for no limit.
	Rate   int
	Window time.Duration
}

// Judge tells what the calls at one partner break: two attempts of a message out at
// once, an unsafe one that ran twice, a call inside a told wait, one past a drain,
// more than the rate, messages of one order key that ran out of order. The ledger says which
// messages ran or did not by the word that their clients were given.
func (r *Rules) Judge(partner string, calls []Call, handed func(n int) Handed, l *Ledger) (out []Fault) {
	bad := func(n int, format string, args ...any) {
		out = append(out, Fault{n, partner + ": " + fmt.Sprintf(format, args...)})
	}
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	until, told := time.Duration(0), time.Duration(0) // of the wait that lasts longest
	var answers []Call                                // with waits, by when they were told
	for _, c := range calls {
		if c.Wait > 0 {
			answers = append(answers, c)
		}
	}
	slices.SortStableFunc(answers, func(a, b Call) int { return cmp.Compare(a.Until, b.Until) })
	busy, ran := map[int]time.Duration{}, map[int]int{}
	for i, c := range calls {
		for len(answers) > 0 && answers[0].Until+r.Grace < c.At {
			if end := answers[0].Until + answers[0].Wait; end > until {
				until, told = end, answers[0].Until
			}
			answers = answers[1:]
		}
		m := handed(c.N)
		if m.Partner != partner {
			bad(c.N, "a message of %q came here", m.Partner)
		}
		if c.At < busy[c.N] {
			bad(c.N, "two attempts were out at once")
		}
		busy[c.N] = max(busy[c.N], c.Until)
		if c.At < until {
			bad(c.N, "called %v after a wait of %v was told", c.At-told, until-told)
		}
		if at, ok := r.Drained[c.Endpoint]; ok && c.At > at+r.DrainGrace {
			bad(c.N, "called %v after %s was told to drain", c.At-at, c.Endpoint)
		}
		if r.Rate > 0 && i >= r.Rate && c.At-calls[i-r.Rate].At < r.Window {
			bad(c.N, "%d calls within %v, %d at most", r.Rate+1, c.At-calls[i-r.Rate].At, r.Rate)
		}
		if c.Ran {
			if ran[c.N]++; ran[c.N] == 2 && m.Unsafe {
				bad(c.N, "an unsafe message ran twice")
			}
		}
	}
	for n := range ran {
		if may, _ := l.Ran(n); !may {
			bad(n, "ran, though its client was told that it did not")
		}
	}
	return append(out, r.order(partner, calls, handed)...)
}

// order finds messages that ran before an earlier one of their key did: one that its
// client knew to be taken on before the later one was handed in. One that never ran
// has no place.
func (r *Rules) order(partner string, calls []Call, handed func(n int) Handed) (out []Fault) {
	type run struct {
		n     int
		first time.Duration
		Handed
	}
	byKey, seen := map[string][]run{}, map[int]bool{}
	for _, c := range calls {
		if m := handed(c.N); c.Ran && m.Order != "" && !seen[c.N] {
			seen[c.N] = true
			byKey[m.Order] = append(byKey[m.Order], run{c.N, c.At, m})
		}
	}
	for key, runs := range byKey { // in the order in which they first ran
		latest := time.Duration(0) // hand-in of those that have run
		by := 0
		for _, x := range runs {
			if x.Accepted > 0 && x.Accepted < latest {
				out = append(out, Fault{x.n, fmt.Sprintf("%s: of key %s it ran after %d, which was handed in later", partner, key, by)})
			}
			if x.Sent > latest {
				latest, by = x.Sent, x.n
			}
		}
	}
	return out
}

// RanNowhere finds messages whose clients were told that they were delivered and
// that ran nowhere.
func RanNowhere(l *Ledger, calls []Call, n int) (out []Fault) {
	ran := map[int]bool{}
	for _, c := range calls {
		ran[c.N] = ran[c.N] || c.Ran
	}
	for i := range n {
		if _, must := l.Ran(i); must && !ran[i] {
			out = append(out, Fault{i, "delivered, and ran nowhere"})
		}
	}
	return out
}
