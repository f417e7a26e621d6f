package core

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cometrack/logic"
)

// drawTerms draws settings of which each class may be missing.
func drawTerms(t *rapid.T) logic.Settings {
	settings := logic.Settings{MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts")}
	for _, name := range []string{"a", "b"} {
		if rapid.Bool().Draw(t, "has "+name) {
			settings.Classes = append(settings.Classes, logic.Class{Name: name,
				Effect:    logic.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
				Window:    logic.Micros(rapid.IntRange(1, 3).Draw(t, "window")),
				ByZone:    rapid.Bool().Draw(t, "by zone"),
				KeepOrder: rapid.Bool().Draw(t, "order")})
		}
	}
	return settings
}

// checkAsStrict checks that the terms of got are as strict as those of settings, for the classes of both.
func checkAsStrict(t *rapid.T, got, settings logic.Settings) {
	if settings.MaxAttempts > 0 && (got.MaxAttempts == 0 || got.MaxAttempts > settings.MaxAttempts) {
		t.Fatalf("%d attempts, %d allowed", got.MaxAttempts, settings.MaxAttempts)
	}
	for _, class := range settings.Classes {
		i := slices.IndexFunc(got.Classes, func(x logic.Class) bool { return x.Name == class.Name })
		if i < 0 {
			continue
		}
		applied := got.Classes[i]
		laxerWindow := applied.Effect == logic.Keyed && class.Effect == logic.Keyed && applied.Window > class.Window
		if applied.Effect < class.Effect || laxerWindow || class.ByZone && !applied.ByZone ||
			class.KeepOrder && !applied.KeepOrder {
			t.Fatalf("%+v applies while %+v binds", applied, class)
		}
	}
}

// However many updates follow one another, and whichever classes they drop and bring back, the applied settings are as
// strict as all that were replaced less than the overlap ago, and no others bind once there are few of them.
func TestStrictestOfOverlap(t *testing.T) {
	const length = 100 // of the overlap
	rapid.Check(t, func(t *rapid.T) {
		type replaced struct {
			settings logic.Settings
			until    int64
		}
		var history []replaced
		var overlap settingsInOverlap
		current, now := drawTerms(t), int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			now += int64(rapid.IntRange(0, 60).Draw(t, "pause"))
			history = append(history, replaced{current, now + length})
			overlap = overlap.bindingAt(now).add(current, now+length)
			current = drawTerms(t)
			applied := overlap.strictest(current)
			if len(overlap) > maxInOverlap {
				t.Fatalf("%d settings in the overlap", len(overlap))
			}
			for _, earlier := range history {
				if earlier.until > now {
					checkAsStrict(t, applied, earlier.settings)
				}
			}
		}
		if late := overlap.bindingAt(now + length); len(late) != 0 {
			t.Fatalf("settings bind after the overlap: %+v", late)
		}
	})
}

// Settings stop binding one by one, each at its own time.
func TestOverlapEndsOneByOne(t *testing.T) {
	unsafeClass := logic.Settings{Classes: []logic.Class{{Name: "x", Effect: logic.Unsafe}}}
	keyed := logic.Settings{Classes: []logic.Class{{Name: "x", Effect: logic.Keyed, Window: 5}}}
	safe := logic.Settings{Classes: []logic.Class{{Name: "x", Effect: logic.Safe}}}
	overlap := settingsInOverlap{}.add(unsafeClass, 100).add(keyed, 140)
	for now, want := range map[int64]logic.Effect{0: logic.Unsafe, 99: logic.Unsafe, 100: logic.Keyed, 139: logic.Keyed, 140: logic.Safe} {
		if got := overlap.bindingAt(now).strictest(safe).Classes[0].Effect; got != want {
			t.Errorf("effect %v at %d, want %v", got, now, want)
		}
	}
}
