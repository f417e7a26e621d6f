package core

import (
	"fmt"
	"log/slog"
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
	settings.MaxAttempts, settings.Classes = attempts, nil
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

// failsAfterOneAttempt checks that a message that is submitted now is not sent again after its first attempt, which may
// have run.
func (r *rig) failsAfterOneAttempt(id, class string) {
	r.t.Helper()
	if got := r.submitAndWait(newMessage(id, class)); got.Status != Accepted {
		r.t.Fatalf("submission of %s: %+v", id, got)
	}
	byhand.Await(r.t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.ConnectionBroken}
	select {
	case end := <-r.fakeSink.added:
		if end.ID != id || end.State != message.Failed || end.Attempts != 1 {
			r.t.Errorf("end %+v", end)
		}
	case attempt := <-r.fakeTransport.attempts:
		r.t.Fatalf("%s is sent again", attempt.Message.ID)
	case <-time.After(byhand.Timeout):
		r.t.Fatalf("%s has no end", id)
	}
	r.fakeSink.confirm <- id
}

// Right after changes of settings, clients may know none of them. The settings before the first change still bind: a
// later change within the overlap must not end it, or an unsafe message runs twice.
func TestOverlapOutlivesFurtherUpdates(t *testing.T) {
	type update struct {
		attempts int
		classes  []string
		refused  bool
	}
	for name, updates := range map[string][]update{
		"one update":          {{3, []string{"x safe"}, false}},
		"other attempts":      {{3, []string{"x safe"}, false}, {5, []string{"x safe"}, false}},
		"unchanged settings":  {{3, []string{"x safe"}, false}, {3, []string{"x safe"}, false}},
		"back and forth":      {{3, []string{"x safe"}, false}, {3, []string{"x unsafe"}, false}, {3, []string{"x keyed"}, false}},
		"dropped and back":    {{3, []string{"y safe"}, false}, {3, []string{"x safe"}, false}},
		"refused":             {{3, []string{"x safe"}, false}, {-1, []string{"x safe"}, true}},
		"many":                {{3, []string{"x safe"}, false}, {4, []string{"x safe"}, false}, {5, []string{"x safe"}, false}, {6, []string{"x safe"}, false}, {7, []string{"x safe"}, false}, {8, []string{"x safe"}, false}, {9, []string{"x safe"}, false}, {10, []string{"x safe"}, false}, {11, []string{"x safe"}, false}, {12, []string{"x safe"}, false}},
		"more attempts alone": {{1, []string{"x safe"}, false}, {5, []string{"x safe"}, false}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			cfg.Settings = settingsWith(cfg, 3, "x unsafe")
			r := newRig(t, t.TempDir(), cfg).run()
			for _, u := range updates {
				err := r.UpdateSettings(settingsWith(cfg, u.attempts, u.classes...), cfg.Zones)
				if (err != nil) != u.refused {
					t.Fatal(err)
				}
			}
			r.failsAfterOneAttempt("early", "x")
			r.shutDown()
		})
	}
}

// A process ends within the overlap of a change of settings, and another one continues with the new settings. Clients may
// not know of the change, so the settings before it still bind: an unsafe message must not run twice.
func TestOverlapOutlivesProcess(t *testing.T) {
	unsafe, safe := []string{"x unsafe"}, []string{"x safe"}
	type event struct {
		classes []string // for a change of settings
		crash   bool     // the process ends in the same moment
		started []string // the settings with which the next one starts
	}
	for name, events := range map[string][]event{
		"after a change":              {{classes: safe}, {crash: true, started: safe}},
		"the signal is lost":          {{crash: true, started: safe}},
		"two ends":                    {{classes: safe}, {crash: true, started: safe}, {crash: true, started: safe}},
		"two changes":                 {{classes: safe}, {classes: []string{"x safe", "y safe"}}, {crash: true, started: []string{"x safe", "y safe"}}},
		"a change after the end":      {{classes: safe}, {crash: true, started: safe}, {classes: []string{"x safe", "y safe"}}},
		"dropped, and back by a file": {{classes: []string{"y safe"}}, {crash: true, started: safe}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, cfg := t.TempDir(), testConfig()
			cfg.Settings = settingsWith(cfg, 3, unsafe...)
			r := newRig(t, dir, cfg).run()
			for _, ev := range events {
				if ev.crash {
					r.crash()
					cfg.Settings = settingsWith(cfg, 3, ev.started...)
					r = newRig(t, dir, cfg).run()
				} else if err := r.UpdateSettings(settingsWith(cfg, 3, ev.classes...), cfg.Zones); err != nil {
					t.Fatal(err)
				}
			}
			r.failsAfterOneAttempt("early", "x")
			r.shutDown()
		})
	}
}

// The overlap ends at the same time after a restart within it as without one, and a restart with the same settings begins
// none.
func TestOverlapEndsAfterRestart(t *testing.T) {
	t.Parallel()
	dir, cfg := t.TempDir(), testConfig()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, dir, cfg).run()
	began := time.Now()
	if err := r.UpdateSettings(settingsWith(cfg, 3, "x safe"), cfg.Zones); err != nil {
		t.Fatal(err)
	}
	latest := time.Now().Add(settingsOverlap)
	r.crash()
	cfg.Settings = settingsWith(cfg, 3, "x safe")
	logged, await := awaitLog(t)
	r = newRig(t, dir, cfg, logged)
	if len(r.overlap) != 1 {
		t.Fatalf("overlap %+v", r.overlap)
	}
	end := r.clock.Moment(r.overlap[0].bindUntil)
	if end.Before(began.Add(settingsOverlap-time.Millisecond)) || end.After(latest.Add(time.Millisecond)) {
		t.Errorf("the overlap ends %v after the change", end.Sub(began))
	}
	r.run()
	await("still_binding=0")
	r.shutDown()
	r = newRig(t, dir, cfg)
	if len(r.overlap) != 0 {
		t.Errorf("overlap after a restart without a change: %+v", r.overlap)
	}
	r.run().shutDown()
}

// awaitLog returns an option that logs to a channel, and a function that waits for a line that contains part.
func awaitLog(t *testing.T) (option func(*Dependencies), await func(part string)) {
	lines := make(logLines, 1024)
	option = func(deps *Dependencies) { deps.Log = slog.New(slog.NewTextHandler(lines, nil)) }
	return option, func(part string) {
		t.Helper()
		for !strings.Contains(byhand.Await(t, lines, "log line with "+part), part) {
		}
	}
}

// logLines receives the lines of a log. Lines beyond its capacity are dropped.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	select {
	case l <- string(line):
	default:
	}
	return len(line), nil
}

// Once the overlap of the last change is over, the new settings alone bind.
func TestOverlapEnds(t *testing.T) {
	t.Parallel()
	logged, await := awaitLog(t)
	cfg := testConfig()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, t.TempDir(), cfg, logged).run()
	began := time.Now()
	for _, attempts := range []int{3, 2} {
		if err := r.UpdateSettings(settingsWith(cfg, attempts, "x safe"), cfg.Zones); err != nil {
			t.Fatal(err)
		}
	}
	await("still_binding=0")
	if took := time.Since(began); took < settingsOverlap {
		t.Errorf("the earlier settings bound for %v", took)
	}
	r.submitAndWait(newMessage("late", "x"))
	byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{Outcome: logic.ConnectionBroken}
	byhand.Await(t, r.fakeTransport.attempts, "second attempt").result <- Result{Outcome: logic.Completed}
	r.fakeSink.confirm <- byhand.Await(t, r.fakeSink.added, "end").ID
	r.shutDown()
}

// An end of the overlap that can't be stored, because messages refer to too many terms, is tried again. An update that
// can't be stored changes nothing.
func TestOverlapEndIsRetried(t *testing.T) {
	t.Parallel()
	logged, await := awaitLog(t)
	cfg := testConfig()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, t.TempDir(), cfg, logged).run()
	if err := r.UpdateSettings(settingsWith(cfg, 3, "x safe"), cfg.Zones); err != nil {
		t.Fatal(err)
	}
	r.store.setTermsFull(true)
	if err := r.UpdateSettings(settingsWith(cfg, 3, "y safe"), cfg.Zones); err == nil {
		t.Error("an update that can't be stored is accepted")
	}
	r.failsAfterOneAttempt("early", "x")
	await("too many terms") // of the update
	await("too many terms") // of the end of the overlap
	r.store.setTermsFull(false)
	await("still_binding=0")
	r.shutDown()
}

// Settings change twice in one turn of the loop, around the acceptance of a message. After a crash the message still has
// the terms of its acceptance: both changes must not get the same number in the journal.
func TestUpdatesInOneTurnKeepTermsApart(t *testing.T) {
	dir, cfg := t.TempDir(), testConfig()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, dir, cfg)
	response := make(chan SubmitResponse, 1)
	updates := make(chan error, 2)
	r.post(updateSettingsEvent{settingsWith(cfg, 3, "x unsafe", "y unsafe"), cfg.Zones, updates})
	r.post(submitEvent{msg: newMessage("between", "y"), response: response})
	r.post(updateSettingsEvent{settingsWith(cfg, 2, "x unsafe"), cfg.Zones, updates})
	r.run()
	for range 2 {
		if err := byhand.Await(t, updates, "update"); err != nil {
			t.Fatal(err)
		}
	}
	if got := byhand.Await(t, response, "response"); got.Status != Accepted {
		t.Fatalf("submission: %+v", got)
	}
	byhand.Await(t, r.fakeTransport.attempts, "attempt")
	r.crash()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe", "y safe")
	r = newRig(t, dir, cfg).run()
	select {
	case end := <-r.fakeSink.added:
		if end.ID != "between" || end.State != message.Failed {
			t.Errorf("end %+v", end)
		}
	case attempt := <-r.fakeTransport.attempts:
		t.Fatalf("%s is sent again", attempt.Message.ID)
	case <-time.After(byhand.Timeout):
		t.Fatal("the message has no end")
	}
	r.fakeSink.confirm <- "between"
	r.shutDown()
}
