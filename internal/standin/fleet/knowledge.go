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

// Waits counts what a partner's record says of told waits.
type Waits struct {
	Told   int           // waits, those told within another one apart
	Inside int           // calls inside one, later than a span after it was told
	Latest time.Duration // of all calls inside one, how long after it was told
}

// InWaits looks at a partner's record for calls that came within a wait. Those that
// came no later than early after it was told may have been on their way.
func InWaits(calls []partner.Call, wait, early time.Duration) (out Waits) {
	var told, until time.Time
	for _, c := range calls {
		if c.At.Before(until) {
			late := c.At.Sub(told)
			out.Latest = max(out.Latest, late)
			if late > early {
				out.Inside++
			}
		}
		if c.Status == 429 && !c.At.Before(until) { // one told within another is not counted anew
			out.Told++
			told, until = c.At, c.At.Add(wait)
		}
	}
	return out
}

// Knowing holds once all that answer have caught up, and no fact of any is
// unconfirmed by another that runs.
func Knowing(list []Seen) bool {
	runs := map[string]bool{}
	for _, x := range list {
		runs[x.Name] = x.OK
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
			if runs[p.Name] && p.Lag > 0 {
				return false
			}
		}
	}
	return true
}

// Told is what each sender that runs holds to be said of partners, but for what is
// about to end: by its clock it may be over while by another it is not.
func (f *Fleet) Told() (out []map[string]bool, err error) {
	const nearly = 0.5 // seconds
	for _, s := range f.senders {
		if !s.Running() {
			continue
		}
		ctx, stop := context.WithTimeout(context.Background(), askTime)
		text, err := console.Request(ctx, s.Console, "GET", "/cluster/facts")
		stop()
		var told cluster.FactsReport
		if err == nil {
			err = json.Unmarshal([]byte(text), &told)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		set := map[string]bool{}
		for _, x := range told.Facts {
			if x.RemainingSeconds > nearly {
				set[fmt.Sprint(x.Kind, x.Partner, x.Endpoint, x.Statement, x.Origin, x.Seq)] = true
			}
		}
		out = append(out, set)
	}
	return out, nil
}

// TellAlike waits until all senders that run hold the same to be said of partners, at
// most d; it returns how long that took and whether it came about.
func (f *Fleet) TellAlike(d time.Duration) (time.Duration, bool) {
	return f.Until(d, func(list []Seen) bool {
		if !Knowing(list) {
			return false
		}
		told, err := f.Told()
		for i := range told {
			if !maps.Equal(told[0], told[i]) {
				return false
			}
		}
		return err == nil && len(told) == len(f.senders)
	})
}
