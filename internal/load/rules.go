package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Call is one call as its partner recorded it. All times are of one clock, since the start of
// the run.
type Call struct {
	Message       int           // number of the message
	Endpoint      string        // that received the call
	ReceivedAt    time.Duration // when it was received completely
	AnsweredAt    time.Duration // when it was answered or abandoned
	Ran           bool          // whether the message took effect
	RequestedWait time.Duration // stated in the response, for the whole partner; 0 for none
}

// Submission is a message as its client recorded it.
type Submission struct {
	Unsafe      bool
	Partner     string
	OrderKey    string        // order key; empty for none
	SubmittedAt time.Duration // when the client submitted it
	AcceptedAt  time.Duration // when the client received the acceptance; 0 if never
}

// Rules checks the calls that partners have recorded.
type Rules struct {
	// TransitTime is how long after a response with a requested wait a call may still arrive, as
	// it may have been in transit.
	TransitTime time.Duration
	// DrainedAt is when the sender was notified that an endpoint drains, by endpoint.
	DrainedAt map[string]time.Duration
	// DrainGrace is how long after that new calls may arrive.
	DrainGrace time.Duration
	// MaxCalls is the maximum number of calls of a partner in RateWindow; 0 for no limit.
	MaxCalls   int
	RateWindow time.Duration
}

// Check returns the violations among the calls at one partner: concurrent attempts of a
// message, an unsafe message that ran twice, a call within a requested wait or to a drained
// endpoint, calls above the rate, and messages of one order key that ran out of order. The
// ledger has which messages ran according to what their clients were notified of.
func (r *Rules) Check(partner string, calls []Call, submission func(n int) Submission, l *Ledger) (out []Fault) {
	addFault := func(n int, format string, args ...any) {
		out = append(out, Fault{n, partner + ": " + fmt.Sprintf(format, args...)})
	}
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	until, requestedAt := time.Duration(0), time.Duration(0) // of the requested wait that ends last
	var withWait []Call                                      // in the order of the responses
	for _, c := range calls {
		if c.RequestedWait > 0 {
			withWait = append(withWait, c)
		}
	}
	slices.SortStableFunc(withWait, func(a, b Call) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	inFlightUntil, ran := map[int]time.Duration{}, map[int]int{}
	for i, c := range calls {
		for len(withWait) > 0 && withWait[0].AnsweredAt+r.TransitTime < c.ReceivedAt {
			if end := withWait[0].AnsweredAt + withWait[0].RequestedWait; end > until {
				until, requestedAt = end, withWait[0].AnsweredAt
			}
			withWait = withWait[1:]
		}
		m := submission(c.Message)
		if m.Partner != partner {
			addFault(c.Message, "a message of %q arrived here", m.Partner)
		}
		if c.ReceivedAt < inFlightUntil[c.Message] {
			addFault(c.Message, "two attempts were in flight at once")
		}
		inFlightUntil[c.Message] = max(inFlightUntil[c.Message], c.AnsweredAt)
		if c.ReceivedAt < until {
			addFault(c.Message, "called %v after a wait of %v was requested", c.ReceivedAt-requestedAt, until-requestedAt)
		}
		if at, ok := r.DrainedAt[c.Endpoint]; ok && c.ReceivedAt > at+r.DrainGrace {
			addFault(c.Message, "called %v after %s began to drain", c.ReceivedAt-at, c.Endpoint)
		}
		if r.MaxCalls > 0 && i >= r.MaxCalls && c.ReceivedAt-calls[i-r.MaxCalls].ReceivedAt < r.RateWindow {
			addFault(c.Message, "%d calls within %v, %d at most", r.MaxCalls+1,
				c.ReceivedAt-calls[i-r.MaxCalls].ReceivedAt, r.MaxCalls)
		}
		if c.Ran {
			if ran[c.Message]++; ran[c.Message] == 2 && m.Unsafe {
				addFault(c.Message, "an unsafe message ran twice")
			}
		}
	}
	for n := range ran {
		if may, _ := l.MayHaveRun(n); !may {
			addFault(n, "ran, though its client was notified that it did not")
		}
	}
	return append(out, r.checkOrder(partner, calls, submission)...)
}

// checkOrder finds messages that ran after a later one of their order key. A message is later
// if its client submitted it after it had received the acceptance of the earlier one. Messages
// that never ran do not count.
func (r *Rules) checkOrder(partner string, calls []Call, submission func(n int) Submission) (out []Fault) {
	type run struct {
		n     int
		first time.Duration
		Submission
	}
	byKey, seen := map[string][]run{}, map[int]bool{}
	for _, c := range calls {
		if m := submission(c.Message); c.Ran && m.OrderKey != "" && !seen[c.Message] {
			seen[c.Message] = true
			byKey[m.OrderKey] = append(byKey[m.OrderKey], run{c.Message, c.ReceivedAt, m})
		}
	}
	for key, runs := range byKey { // runs are in the order in which they first ran
		latest := time.Duration(0) // submission of a message that has run
		latestMessage := 0
		for _, x := range runs {
			if x.AcceptedAt > 0 && x.AcceptedAt < latest {
				out = append(out, Fault{x.n, fmt.Sprintf("%s: of key %s it ran after %d, which was submitted later",
					partner, key, latestMessage)})
			}
			if x.SubmittedAt > latest {
				latest, latestMessage = x.SubmittedAt, x.n
			}
		}
	}
	return out
}

// DeliveredWithoutRun returns a fault for each of the first n messages that was reported
// delivered and ran at no partner.
func DeliveredWithoutRun(l *Ledger, calls []Call, n int) (out []Fault) {
	ran := map[int]bool{}
	for _, c := range calls {
		ran[c.Message] = ran[c.Message] || c.Ran
	}
	for i := range n {
		if _, must := l.MayHaveRun(i); must && !ran[i] {
			out = append(out, Fault{i, "reported delivered, but ran at no partner"})
		}
	}
	return out
}
