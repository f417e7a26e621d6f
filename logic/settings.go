package logic

import (
	"fmt"
	"slices"
)

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
	case set.BurstTime < 0:
		return bad("Save")
	case set.MaxRetryAfter < 0:
		return bad("MaxRetryAfter")
	case set.DrainGrace < 0 || set.KeyQuiet < 0 || set.ListRetryWithin < 0 ||
		set.FallWindow < 0 || set.WarmAfter < 0:
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
		if k.MaxBatch < 0 {
			return bad(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}

// CheckUpdate says why other settings cannot take the place of those that hold; nil if
// they can. Zones and kinds of destinations may be added: their numbers are in use.
func CheckUpdate(held, next Settings) error {
	if err := check(&next); err != nil {
		return err
	}
	switch {
	case next.Zones < held.Zones || next.Zone != held.Zone:
		return fmt.Errorf("settings: zones may be added only")
	case len(next.Kinds) < len(held.Kinds):
		return fmt.Errorf("settings: kinds of destinations may be added only")
	case next.ListOnRequest != held.ListOnRequest || next.TrackChanges != held.TrackChanges:
		return fmt.Errorf("settings: how lists come, and whether a memory is kept, is for the next start")
	}
	for i, k := range held.Kinds {
		if x := next.Kinds[i]; x.Name != k.Name || x.Independent != k.Independent {
			return fmt.Errorf("settings: kind %q of destinations may not change", k.Name)
		}
	}
	return nil
}

// Strictest are settings in whose classes a message is held to what either says: for
// a time in which it is not sure which of them a client knows.
func Strictest(held, next Settings) Settings {
	next.Classes = slices.Clone(next.Classes)
	for i := range next.Classes {
		c := &next.Classes[i]
		for _, was := range held.Classes {
			if was.Name != c.Name {
				continue
			}
			if was.Effect == Keyed && c.Effect == Keyed {
				c.Window = min(c.Window, was.Window)
			} else if was.Effect == Keyed && c.Effect == Safe {
				c.Window = was.Window
			}
			c.Effect, c.ByZone = max(c.Effect, was.Effect), c.ByZone || was.ByZone
			c.KeepOrder = c.KeepOrder || was.KeepOrder
		}
	}
	return next
}
