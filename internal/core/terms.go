package core

import (
	"fmt"
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

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
	out := journal.Terms{MaxAttempts: t.settings.MaxAttempts}
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
			return &logic.Terms{MaxAttempts: t.MaxAttempts, Class: classFromJournal(c)}
		}
	}
	return nil
}

// storedClass returns the class of a stored message in the terms with a number, under which the message was accepted. If
// these are not the ones under which messages are accepted now, the scheduler needs them too; otherwise stored is nil. The
// class is nil if neither the stored nor the current terms have it.
func (c *Core) storedClass(number int64, name string) (class *logic.Class, stored *logic.Terms) {
	if number != c.terms.number {
		if stored = classTerms(c.store.Terms(number), name); stored != nil {
			return &stored.Class, stored
		}
	}
	return c.terms.class(name), nil
}

func classFromJournal(c journal.ClassTerms) logic.Class {
	return logic.Class{Name: c.Name, Aim: logic.Micros(c.Aim), Deadline: logic.Micros(c.Deadline), Worth: c.Worth,
		LateWorth: c.LateWorth, Effect: logic.Effect(c.Effect), ByZone: c.ByZone, Window: logic.Micros(c.Window),
		KeepOrder: c.KeepOrder}
}

// settingsFromJournal returns settings with the classes and the number of attempts of stored terms.
func settingsFromJournal(t journal.Terms) logic.Settings {
	settings := logic.Settings{MaxAttempts: t.MaxAttempts}
	for _, c := range t.Classes {
		settings.Classes = append(settings.Classes, classFromJournal(c))
	}
	return settings
}

// setTermsInForce accepts messages under the given terms from now on, which are the strictest of the settings and of
// those in the overlap. It is called by the loop and by New. After an error nothing has changed.
func (c *Core) setTermsInForce(accepting *terms, settings logic.Settings, overlap settingsInOverlap) error {
	inForce := journal.TermsInForce{Accepting: accepting.journalTerms(), Configured: newTerms(settings).journalTerms()}
	for _, replaced := range overlap {
		inForce.Superseded = append(inForce.Superseded, journal.SupersededTerms{
			Terms: newTerms(replaced.settings).journalTerms(), BindUntil: replaced.bindUntil})
	}
	n, err := c.store.SetTermsInForce(inForce)
	if err != nil {
		return err
	}
	accepting.number, c.terms, c.overlap = n, accepting, overlap
	c.scheduleOverlapEnd(0)
	return nil
}

// updateSettingsEvent replaces the settings.
type updateSettingsEvent struct {
	settings logic.Settings
	zones    []string
	done     chan error // buffered
}

// overlapEndEvent reports that settings in the overlap may have stopped binding.
type overlapEndEvent struct{}

// UpdateSettings replaces the settings as a whole, or returns an error and changes nothing. Pending messages keep the
// terms under which they were accepted.
func (c *Core) UpdateSettings(settings logic.Settings, zones []string) error {
	ev := updateSettingsEvent{settings: settings, zones: zones, done: make(chan error, 1)}
	return c.postAndWait(ev, ev.done)
}

// replaceSettings carries out [Core.UpdateSettings] in the loop. The settings that it replaces bind for another
// settingsOverlap beside the new ones, and beside those that still bind from earlier updates.
func (c *Core) replaceSettings(settings logic.Settings, zones []string) error {
	current := c.configuredTerms.Load().settings
	if err := logic.CheckUpdate(current, settings); err != nil {
		return err
	}
	for i, z := range c.directory.zones {
		if i >= len(zones) || zones[i] != z {
			return fmt.Errorf("settings: zone %q may not change", z)
		}
	}
	now := c.clock.Now()
	overlap := c.overlap.bindingAt(now)
	if !haveEqualTerms(current, settings) {
		overlap = overlap.add(current, now+settingsOverlap.Microseconds())
	}
	if err := c.applySettings(settings, overlap); err != nil {
		return err
	}
	c.directory.zones, c.directory.kinds = zones, settings.Kinds
	c.configuredTerms.Store(newTerms(settings))
	return nil
}

// applySettings passes the strictest of the settings and of those in the overlap to the scheduler and accepts messages
// under them. After an error nothing has changed.
func (c *Core) applySettings(settings logic.Settings, overlap settingsInOverlap) error {
	accepting := newTerms(overlap.strictest(settings))
	if err := c.setTermsInForce(accepting, settings, overlap); err != nil {
		c.log.Error("settings", "err", err)
		return err
	}
	c.nextEvents = append(c.nextEvents, logic.UpdateSettings{Settings: accepting.settings})
	return nil
}

// scheduleOverlapEnd posts an overlapEndEvent when the next settings in the overlap stop binding, or after minDelay if that
// is later. It replaces an earlier schedule.
func (c *Core) scheduleOverlapEnd(minDelay time.Duration) {
	if c.overlapTimer != nil {
		c.overlapTimer.Stop()
	}
	if until, ok := c.overlap.nextEnd(); ok {
		delay := max(time.Until(c.clock.Moment(until)), minDelay)
		c.overlapTimer = time.AfterFunc(delay, func() { c.post(overlapEndEvent{}) })
	}
}

// endOverlap drops the settings that no longer bind. If the result can't be applied, the stricter settings stay and
// it is tried again later.
func (c *Core) endOverlap() {
	overlap := c.overlap.bindingAt(c.clock.Now())
	if len(overlap) == len(c.overlap) { // posted for an earlier overlap
		c.scheduleOverlapEnd(0)
		return
	}
	if err := c.applySettings(c.configuredTerms.Load().settings, overlap); err != nil {
		c.scheduleOverlapEnd(sweepInterval)
		return
	}
	c.log.Info("replaced settings no longer bind new messages", "still_binding", len(overlap))
}
