package fleet

import (
	"time"

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
		k := x.Knowledge
		if k == nil || k.Behind {
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
