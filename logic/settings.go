package logic

import "fmt"

// check says which setting makes no sense.
func check(set *Settings) error {
	bad := func(field string) error { return fmt.Errorf("settings: %s makes no sense", field) }
	switch {
	case len(set.Classes) == 0:
		return bad("Classes")
	case set.Senders < 1:
		return bad("Senders")
	case set.Zones < 0 || set.Zone < 0 || set.Zone >= max(set.Zones, 1):
		return bad("Zone")
	case set.Slots < 0:
		return bad("Slots")
	case set.MaxOpen < 0:
		return bad("MaxOpen")
	case set.MaxTries < 0:
		return bad("MaxTries")
	case set.Tick < 0:
		return bad("Tick")
	case set.Save < 0:
		return bad("Save")
	case set.MaxRetryAfter < 0:
		return bad("MaxRetryAfter")
	case set.DrainGrace < 0 || set.KeyQuiet < 0 || set.FallWindow < 0 || set.WarmAfter < 0:
		return bad("a span of the rules")
	case set.FallMultiple < 0:
		return bad("FallMultiple")
	case set.ColdFrom < 0 || set.ColdFrom > 1:
		return bad("ColdFrom")
	}
	for i, c := range set.Classes {
		if c.Deadline <= 0 || min(c.Aim, c.Window) < 0 || min(c.Worth, c.LateWorth) < 0 ||
			c.Effect < Safe || c.Effect > Unsafe {
			return bad(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, t := range set.Tenants {
		if t.QuotaRPS < 0 {
			return bad(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, k := range set.Kinds {
		if k.Batch < 0 {
			return bad(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}
