package core

import (
	"cmp"
	"slices"
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

// settingsOverlap is the time for which settings still bind new messages after they were replaced, because clients
// learn of the change with a delay.
const settingsOverlap = 1500 * time.Millisecond

// maxInOverlap bounds the number of replaced settings that bind at once. Beyond it, the two that stop binding first
// are merged, and bind as long as the later of them.
const maxInOverlap = 8

// replacedSettings are settings that were replaced and still bind new messages.
type replacedSettings struct {
	settings  logic.Settings // only the terms of messages are used: the classes and the number of attempts
	bindUntil int64          // time of the core's clock
}

// settingsInOverlap are the replaced settings that still bind, in the order in which they stop binding. New messages
// are accepted under the strictest of these and the current settings. The methods do not modify their receiver.
type settingsInOverlap []replacedSettings

// overlapAtStart returns the settings that bind beside the configured ones when a process starts at now. Those that an
// earlier process had replaced bind until their time. If that process had other settings than the configured ones, the
// change counts as made now: a signal that announced it may have been lost with the process.
func overlapAtStart(stored journal.TermsInForce, configured logic.Settings, now int64) settingsInOverlap {
	latest := now + settingsOverlap.Microseconds()
	slices.SortStableFunc(stored.Superseded, func(a, b journal.SupersededTerms) int { return cmp.Compare(a.BindUntil, b.BindUntil) })
	var overlap settingsInOverlap
	for _, superseded := range stored.Superseded {
		if superseded.BindUntil > now {
			overlap = overlap.add(settingsFromJournal(superseded.Terms), min(superseded.BindUntil, latest))
		}
	}
	last := settingsFromJournal(stored.Configured)
	if len(last.Classes) > 0 && !haveEqualTerms(last, configured) {
		overlap = overlap.add(last, latest)
	}
	return overlap
}

// bindingAt returns the settings that still bind at a time.
func (o settingsInOverlap) bindingAt(now int64) settingsInOverlap {
	binding := settingsInOverlap{}
	for _, replaced := range o {
		if replaced.bindUntil > now {
			binding = append(binding, replaced)
		}
	}
	return binding
}

// add returns the settings in the overlap together with others that bind until a time no earlier than theirs.
func (o settingsInOverlap) add(settings logic.Settings, until int64) settingsInOverlap {
	out := slices.DeleteFunc(slices.Clone(o), func(replaced replacedSettings) bool {
		return haveEqualTerms(replaced.settings, settings)
	})
	out = append(out, replacedSettings{settings, until})
	if len(out) > maxInOverlap {
		out[1].settings = mergeTerms(out[0].settings, out[1].settings)
		out = out[1:]
	}
	return out
}

// strictest returns the current settings with terms as strict as those of all settings in the overlap.
func (o settingsInOverlap) strictest(current logic.Settings) logic.Settings {
	for _, replaced := range o {
		current = logic.Strictest(replaced.settings, current)
	}
	return current
}

// nextEnd returns the time at which the first of the settings stop binding; false if there are none.
func (o settingsInOverlap) nextEnd() (until int64, ok bool) {
	if len(o) == 0 {
		return 0, false
	}
	return o[0].bindUntil, true
}

// mergeTerms returns settings with the classes of both a and b, each as strict as in either.
func mergeTerms(a, b logic.Settings) logic.Settings {
	merged := logic.Strictest(a, b)
	for _, class := range a.Classes {
		if newTerms(merged).class(class.Name) == nil {
			merged.Classes = append(merged.Classes, class)
		}
	}
	return merged
}

// haveEqualTerms reports whether messages are accepted under the same terms by both settings.
func haveEqualTerms(a, b logic.Settings) bool {
	first, second := newTerms(a).journalTerms(), newTerms(b).journalTerms()
	return first.Equal(&second)
}
