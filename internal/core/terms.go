package core

import (
	"fmt"
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// overlap is how long after new settings a message is held to the stricter of both:
// clients learn of a change late.
const overlap = 1500 * time.Millisecond

// terms are settings, as messages are taken on under them.
type terms struct {
	n       int64 // their number in the journal
	set     logic.Settings
	classes map[string]int
	tenants map[string]int
}

func newTerms(set logic.Settings) *terms {
	t := &terms{set: set, classes: map[string]int{}, tenants: map[string]int{}}
	for i, x := range set.Classes {
		t.classes[x.Name] = i
	}
	for i, x := range set.Tenants {
		t.tenants[x.Name] = i
	}
	return t
}

// class is a class by name; nil if there is none.
func (t *terms) class(name string) *logic.Class {
	if i, ok := t.classes[name]; ok {
		return &t.set.Classes[i]
	}
	return nil
}

// journalled are the terms as the journal keeps them.
func (t *terms) journalled() journal.Terms {
	out := journal.Terms{MaxAttempts: t.set.MaxTries}
	for _, c := range t.set.Classes {
		out.Classes = append(out.Classes, journal.ClassTerms{Name: c.Name, Aim: int64(c.Aim), Deadline: int64(c.Deadline), Worth: c.Worth,
			LateWorth: c.LateWorth, Effect: uint8(c.Effect), ByZone: c.ByZone, Window: int64(c.Window), KeepOrder: c.KeepOrder})
	}
	return out
}

// termsOf are the terms of a class that a message was taken on under, as the
// journal has them; nil if it does not have them.
func termsOf(t *journal.Terms, class string) *logic.Terms {
	if t == nil {
		return nil
	}
	for _, c := range t.Classes {
		if c.Name == class {
			return &logic.Terms{MaxTries: t.MaxAttempts, Class: logic.Class{Name: c.Name, Aim: logic.Micros(c.Aim), Deadline: logic.Micros(c.Deadline),
				Worth: c.Worth, LateWorth: c.LateWorth, Effect: logic.Effect(c.Effect), ByZone: c.ByZone, Window: logic.Micros(c.Window),
				KeepOrder: c.KeepOrder}}
		}
	}
	return nil
}

// setTerms takes messages on under other terms from here on. The loop, or New, calls it.
func (c *Core) setTerms(t *terms) error {
	n, rec, err := c.store.AddTerms(t.journalled())
	if err != nil {
		return err
	}
	if rec != nil {
		c.records = append(c.records, *rec)
	}
	t.n, c.terms = n, t
	return nil
}

// retuneEvent brings other settings.
type retuneEvent struct {
	set   logic.Settings
	zones []string
	done  chan error // has room; nil for the end of the overlap
	n     int        // of the change that the overlap is of
}

// UpdateSettings puts other settings in the place of those that hold, whole or not at all.
// Messages that are held keep the terms that they were taken on under.
func (c *Core) UpdateSettings(set logic.Settings, zones []string) error {
	ev := retuneEvent{set: set, zones: zones, done: make(chan error, 1)}
	return c.settle(ev, ev.done)
}

// retune is [Core.UpdateSettings] in the loop.
func (c *Core) retune(ev retuneEvent) {
	if ev.done == nil {
		if ev.n == c.retunes {
			c.follows(ev.set)
		}
		return
	}
	held := c.stated.Load().set
	err := logic.CheckUpdate(held, ev.set)
	for i, z := range c.dir.zones {
		if err == nil && (i >= len(ev.zones) || ev.zones[i] != z) {
			err = fmt.Errorf("settings: zone %q may not change", z)
		}
	}
	if err == nil {
		err = c.follows(logic.Strictest(held, ev.set))
	}
	if err == nil {
		c.dir.zones, c.dir.kinds = ev.zones, ev.set.Kinds
		c.stated.Store(newTerms(ev.set))
		c.retunes++
		last := retuneEvent{set: ev.set, n: c.retunes}
		time.AfterFunc(overlap, func() { c.post(last) })
	}
	ev.done <- err
}

// follows has the module follow settings.
func (c *Core) follows(set logic.Settings) error {
	if err := c.setTerms(newTerms(set)); err != nil {
		c.log.Error("settings", "err", err)
		return err
	}
	c.next = append(c.next, logic.UpdateSettings{Settings: set})
	return nil
}
