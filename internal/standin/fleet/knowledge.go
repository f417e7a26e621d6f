package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/console"
	"cometrack/internal/standin/partner"
)

// Waits counts the requested waits in the record of a partner, and the calls that came during them.
type Waits struct {
	Told   int           // requested waits, without those requested during another one
	Inside int           // calls during a wait, later than the grace period after its request
	Latest time.Duration // longest time from a request to a call during its wait, early or not; 0 for none
}

// CheckWaits searches the record of a partner for calls during a requested wait. A call with the
// status 429 has requested a wait of the given duration. A call within early, the grace period, of
// the request may already have been in flight and does not count as late.
func CheckWaits(calls []partner.Call, wait, early time.Duration) (out Waits) {
	var requestedAt, until time.Time
	for _, c := range calls {
		if c.At.Before(until) {
			delay := c.At.Sub(requestedAt)
			out.Latest = max(out.Latest, delay)
			if delay > early {
				out.Inside++
			}
		}
		if c.Status == 429 && !c.At.Before(until) { // a request during another wait does not start a new one
			out.Told++
			requestedAt, until = c.At, c.At.Add(wait)
		}
	}
	return out
}

// AllCaughtUp reports whether all senders that respond have caught up, and all their facts are
// confirmed by the other running senders.
func AllCaughtUp(list []SenderView) bool {
	running := map[string]bool{}
	for _, x := range list {
		running[x.Name] = x.OK
	}
	for _, x := range list {
		if !x.OK {
			continue
		}
		k := x.Replication
		if k == nil || k.CatchingUp {
			return false
		}
		for _, p := range k.Peers {
			if running[p.Name] && p.Lag > 0 {
				return false
			}
		}
	}
	return true
}

// Facts returns the facts about partners that each running sender holds: a set for each of these
// senders, in order of number, with each fact as a text of what identifies it, its statement
// included. Facts about to expire are left out, since clocks differ and another sender may have
// dropped them already.
func (f *Fleet) Facts() (out []map[string]bool, err error) {
	const minRemaining = 0.5 // seconds
	for _, s := range f.senders {
		if !s.Running() {
			continue
		}
		ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
		text, err := console.Request(ctx, s.Console, "GET", "/cluster/facts")
		stop()
		var report cluster.FactsReport
		if err == nil {
			err = json.Unmarshal([]byte(text), &report)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		set := map[string]bool{}
		for _, x := range report.Facts {
			if x.RemainingSeconds > minRemaining {
				set[fmt.Sprint(x.Kind, x.Partner, x.Endpoint, x.Statement, x.Origin, x.Seq)] = true
			}
		}
		out = append(out, set)
	}
	return out, nil
}

// WaitForEqualFacts waits at most d until all senders are running, have caught up and hold the same
// facts about partners. It returns the time taken and whether they agreed.
func (f *Fleet) WaitForEqualFacts(d time.Duration) (time.Duration, bool) {
	return f.WaitUntil(d, func(list []SenderView) bool {
		if !AllCaughtUp(list) {
			return false
		}
		facts, err := f.Facts()
		for i := range facts {
			if !maps.Equal(facts[0], facts[i]) {
				return false
			}
		}
		return err == nil && len(facts) == len(f.senders)
	})
}
