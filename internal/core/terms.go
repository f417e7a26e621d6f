package core

import (
	"fmt"
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// settingsOverlap is the time after a change of settings for which the stricter of the old and the new terms apply to
// new messages, because clients learn of the change with a delay.
const settingsOverlap = 1500 * time.Millisecond

// terms are the settings under which messages are accepted. They apply to a message until it ends.
type terms struct {
	number   int64 // in the journal
	settings logic.Settings
	classes  map[string]int // index in settings.Classes by name
	tenants  map[string]int // index in settings.Tenants by name
}

func newTerms(settings logic.Settings) *terms {
	t := &terms{settings: settings, classes: map[string]int{}, tenants: map[string]int{}}
	for i, x := range settings.Classes {
		t.classes[x.Name] = i
	}
	for i, x := range settings.Tenants {
		t.tenants[x.Name] = i
	}
	return t
}

// class returns a class by its name; nil if there is none.
func (t *terms) class(name string) *logic.Class {
	if i, ok := t.classes[name]; ok {
		return &t.settings.Classes[i]
	}
	return nil
}

// journalTerms returns the terms in the form that is stored in the journal.
func (t *terms) journalTerms() journal.Terms {
	out := journal.Terms{MaxAttempts: t.settings.MaxTries}
	for _, c := range t.settings.Classes {
		out.Classes = append(out.Classes, journal.ClassTerms{Name: c.Name, Aim: int64(c.Aim),
			Deadline: int64(c.Deadline), Worth: c.Worth, LateWorth: c.LateWorth, Effect: uint8(c.Effect),
			ByZone: c.ByZone, Window: int64(c.Window), KeepOrder: c.KeepOrder})
	}
	return out
}

// classTerms returns the terms of one class from stored terms; nil if t is nil or does not have the class.
func classTerms(t *journal.Terms, class string) *logic.Terms {
	if t == nil {
		return nil
	}
	for _, c := range t.Classes {
		if c.Name == class {
			return &logic.Terms{MaxTries: t.MaxAttempts, Class: logic.Class{Name: c.Name, Aim: logic.Micros(c.Aim),
				Deadline: logic.Micros(c.Deadline), Worth: c.Worth, LateWorth: c.LateWorth,
				Effect: logic.Effect(c.Effect), ByZone: c.ByZone, Window: logic.Micros(c.Window),
				KeepOrder: c.KeepOrder}}
		}
	}
	return nil
}

// setTerms sets the terms under which messages are accepted from now on. It is called by the loop and by New.
func (c *Core) setTerms(t *terms) error {
	n, rec, err := c.store.AddTerms(t.journalTerms())
	if err != nil {
		return err
	}
	if rec != nil {
		c.records = append(c.records, *rec)
	}
	t.number, c.terms = n, t
	return nil
}

// updateSettingsEvent replaces the settings.
type updateSettingsEvent struct {
	settings logic.Settings
	zones    []string
	done     chan error // buffered; nil for the end of the overlap
	number   int        // number of the update whose overlap ends
}

// UpdateSettings replaces the settings as a whole, or returns an error and changes nothing. Pending messages keep the
// terms under which they were accepted.
func (c *Core) UpdateSettings(settings logic.Settings, zones []string) error {
	ev := updateSettingsEvent{settings: settings, zones: zones, done: make(chan error, 1)}
	return c.postAndWait(ev, ev.done)
}

// handleUpdateSettings carries out [Core.UpdateSettings] in the loop.
func (c *Core) handleUpdateSettings(ev updateSettingsEvent) {
	if ev.done == nil {
		if ev.number == c.settingsUpdates {
			c.applySettings(ev.settings)
		}
		return
	}
	current := c.clientTerms.Load().settings
	err := logic.CheckUpdate(current, ev.settings)
	for i, z := range c.directory.zones {
		if err == nil && (i >= len(ev.zones) || ev.zones[i] != z) {
			err = fmt.Errorf("settings: zone %q may not change", z)
		}
	}
	if err == nil {
		err = c.applySettings(logic.Strictest(current, ev.settings))
	}
	if err == nil {
		c.directory.zones, c.directory.kinds = ev.zones, ev.settings.Kinds
		c.clientTerms.Store(newTerms(ev.settings))
		c.settingsUpdates++
		overlapEnd := updateSettingsEvent{settings: ev.settings, number: c.settingsUpdates}
		time.AfterFunc(settingsOverlap, func() { c.post(overlapEnd) })
	}
	ev.done <- err
}

// applySettings passes settings to the scheduler and accepts messages under them.
func (c *Core) applySettings(settings logic.Settings) error {
	if err := c.setTerms(newTerms(settings)); err != nil {
		c.log.Error("settings", "err", err)
		return err
	}
	c.nextEvents = append(c.nextEvents, logic.UpdateSettings{Settings: settings})
	return nil
}
