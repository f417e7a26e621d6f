package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// settingsWith returns the settings of cfg with other classes, each given as "name effect".
func settingsWith(cfg Config, attempts int, classes ...string) logic.Settings {
	settings := cfg.Settings
	settings.MaxTries, settings.Classes = attempts, nil
	for _, c := range classes {
		name, effect, _ := strings.Cut(c, " ")
		class := logic.Class{Name: name, Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4}
		switch effect {
		case "keyed":
			class.Effect, class.Window = logic.Keyed, 20*logic.Second
		case "unsafe":
			class.Effect = logic.Unsafe
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// A class changes its effect, is removed and is added with another effect, with and without a crash at each step.
// Messages accepted before keep the effect and the maximum number of attempts of their acceptance.
func TestPendingMessagesKeepTheirTerms(t *testing.T) {
	for crash := range 4 {
		t.Run(fmt.Sprint("crash at step ", crash), func(t *testing.T) {
			t.Parallel()
			dir, cfg := t.TempDir(), testConfig()
			cfg.Settings = settingsWith(cfg, 2, "x safe", "y unsafe")
			r := newRig(t, dir, cfg).run()
			change := 0
			changeSettings := func(set logic.Settings) {
				t.Helper()
				if change++; change-1 == crash {
					r.crash()
					cfg.Settings = set
					r = newRig(t, dir, cfg).run()
				} else if err := r.UpdateSettings(set, cfg.Zones); err != nil {
					t.Fatal(err)
				}
				cfg.Settings = set
			}
			checkClass := func(class string, want bool) {
				t.Helper()
				if err := r.Check(newMessage("c", class), testDeadline); (err == nil) != want {
					t.Errorf("class %s: %v", class, err)
				}
			}
			r.submitAndWait(newMessage("x1", "x"))
			r.submitAndWait(newMessage("y1", "y"))
			attempts := map[string]fakeAttempt{}
			for range 2 {
				attempt := byhand.Await(t, r.fakeTransport.attempts, "attempt")
				attempts[attempt.Message.ID] = attempt
			}
			// Both are rejected for overload: neither has run, and each has one attempt left.
			for _, attempt := range attempts {
				attempt.result <- Result{Outcome: logic.Overloaded, RequestedWait: 2500e6}
			}
			// until the outcomes are in the journal
			for r.stateName("x1") != StateAccepted || r.stateName("y1") != StateAccepted {
			}
			changeSettings(settingsWith(cfg, 5, "x unsafe", "y safe", "z keyed"))
			checkClass("z", true)
			changeSettings(settingsWith(cfg, 5, "y safe")) // class x is removed while a message of it is pending
			checkClass("x", false)
			changeSettings(settingsWith(cfg, 1, "x unsafe", "y safe"))
			checkClass("x", true)
			bad := settingsWith(cfg, 1, "x unsafe")
			bad.Classes[0].Deadline = 0
			if err := r.UpdateSettings(bad, cfg.Zones); err == nil {
				t.Error("a class without a deadline is accepted")
			}
			if err := r.UpdateSettings(settingsWith(cfg, 1, "x unsafe"), []string{"b", "a"}); err == nil {
				t.Error("a change of the order of zones is accepted")
			}
			checkClass("y", true) // a rejected update changes nothing
			if got := r.submitAndWait(newMessage("x1", "x")); got.Status != Accepted || !got.Duplicate {
				t.Errorf("submitted again: %+v", got)
			}
			// x1 was safe and y1 unsafe when they were accepted: after a broken connection x1 has used its two
			// attempts, and y1 may not be sent again.
			for range 2 {
				attempt := byhand.Await(t, r.fakeTransport.attempts, "second attempt")
				attempt.result <- Result{Outcome: logic.ConnectionBroken}
			}
			ends := map[string]message.End{}
			for range 2 {
				x := byhand.Await(t, r.fakeSink.added, "end")
				ends[x.ID] = x
				r.fakeSink.confirm <- x.ID
			}
			for _, id := range []string{"x1", "y1"} {
				if x := ends[id]; x.State != message.Failed || x.Attempts != 2 {
					t.Errorf("%s ended as %+v", id, x)
				}
			}
			r.shutDown()
		})
	}
}

const testDeadline = 2 * time.Second // allowed by each class

// Right after a change of settings, clients may not know it. A class that becomes safe is still treated as unsafe.
func TestSettingsOverlapIsStrict(t *testing.T) {
	cfg := testConfig()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, t.TempDir(), cfg).run()
	if err := r.UpdateSettings(settingsWith(cfg, 3, "x safe"), cfg.Zones); err != nil {
		t.Fatal(err)
	}
	r.submitAndWait(newMessage("early", "x"))
	byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.ConnectionBroken}
	if x := byhand.Await(t, r.fakeSink.added, "end"); x.ID != "early" || x.State != message.Failed {
		t.Errorf("end %+v", x)
	}
	r.fakeSink.confirm <- "early"
	r.shutDown()
}
