package logic

import (
	"fmt"
	"slices"
)

// validate returns an error that names the first invalid setting.
func validate(set *Settings) error {
	invalid := func(field string) error { return fmt.Errorf("settings: %s makes no sense", field) }
	switch {
	case len(set.Classes) == 0:
		return invalid("Classes")
	case set.Senders < 1:
		return invalid("Senders")
	case set.Zones < 0 || set.Zone < 0 || set.Zone >= max(set.Zones, 1):
		return invalid("Zone")
	case set.Slots < 0:
		return invalid("Slots")
	case set.MaxOpen < 0:
		return invalid("MaxOpen")
	case set.MaxAttempts < 0:
		return invalid("MaxTries") // its name in error messages
	case set.Tick < 0:
		return invalid("Tick")
	case set.BurstTime < 0:
		return invalid("Save") // its name in error messages
	case set.MaxRetryAfter < 0:
		return invalid("MaxRetryAfter")
	case set.DrainGrace < 0 || set.KeyQuiet < 0 || set.ListRetryWithin < 0 ||
		set.FallWindow < 0 || set.WarmAfter < 0:
		return invalid("a span of the rules")
	case set.FallMultiple < 0:
		return invalid("FallMultiple")
	case set.ColdFrom < 0 || set.ColdFrom > 1:
		return invalid("ColdFrom")
	}
	for i, c := range set.Classes {
		if c.Deadline <= 0 || min(c.Aim, c.Window) < 0 || min(c.Worth, c.LateWorth) < 0 ||
			c.Effect < Safe || c.Effect > Unsafe {
			return invalid(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, t := range set.Tenants {
		if t.QuotaRPS < 0 {
			return invalid(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, k := range set.Kinds {
		if k.MaxBatch < 0 {
			return invalid(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}

// CheckUpdate returns an error if the next settings cannot replace the current ones. Zones and kinds of
// destinations may be added but not removed, as their numbers are in use.
func CheckUpdate(current, next Settings) error {
	if err := validate(&next); err != nil {
		return err
	}
	switch {
	case next.Zones < current.Zones || next.Zone != current.Zone:
		return fmt.Errorf("settings: zones may be added only")
	case len(next.Kinds) < len(current.Kinds):
		return fmt.Errorf("settings: kinds of destinations may be added only")
	case next.ListOnRequest != current.ListOnRequest || next.TrackChanges != current.TrackChanges:
		return fmt.Errorf("settings: the request of lists and the tracking of changes change only at a restart")
	}
	for i, k := range current.Kinds {
		if x := next.Kinds[i]; x.Name != k.Name || x.Independent != k.Independent {
			return fmt.Errorf("settings: kind %q of destinations may not change", k.Name)
		}
	}
	return nil
}

// Strictest returns the next settings, with classes that are at least as strict as those of either settings,
// and no more attempts than either allows. They apply while it is not certain which settings a client knows.
func Strictest(current, next Settings) Settings {
	unlimited := next.MaxAttempts == 0
	if current.MaxAttempts > 0 && (unlimited || current.MaxAttempts < next.MaxAttempts) {
		next.MaxAttempts = current.MaxAttempts
	}
	next.Classes = slices.Clone(next.Classes)
	for i := range next.Classes {
		c := &next.Classes[i]
		for _, was := range current.Classes {
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
