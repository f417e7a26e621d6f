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

// with is the test's settings with other classes: "name effect" each.
func with(cfg Config, attempts int, classes ...string) logic.Settings {
	set := cfg.Settings
	set.MaxTries, set.Classes = attempts, nil
	for _, c := range classes {
		name, effect, _ := strings.Cut(c, " ")
		class := logic.Class{Name: name, Aim: 2 * logic.Second, Deadline: 16 * logic.Second, Worth: 1, LateWorth: 0.4}
		switch effect {
		case "keyed":
			class.Effect, class.Window = logic.Keyed, 20*logic.Second
		case "unsafe":
			class.Effect = logic.Unsafe
		}
		set.Classes = append(set.Classes, class)
	}
	return set
}

// A class changes its effect, is dropped, and comes back as another, with a crash before each step or without:
// what was taken on under it stays what it was, and the number of its attempts too.
func TestOpenMessagesKeepTheirTerms(t *testing.T) {
	for crash := range 4 {
		t.Run(fmt.Sprint("crash at step ", crash), func(t *testing.T) {
			t.Parallel()
			dir, cfg := t.TempDir(), testConfig()
			cfg.Settings = with(cfg, 2, "x safe", "y unsafe")
			r := newRig(t, dir, cfg).run()
			step := 0
			next := func(set logic.Settings) {
				t.Helper()
				if step++; step-1 == crash {
					r.kill()
					cfg.Settings = set
					r = newRig(t, dir, cfg).run()
				} else if err := r.UpdateSettings(set, cfg.Zones); err != nil {
					t.Fatal(err)
				}
				cfg.Settings = set
			}
			check := func(class string, want bool) {
				t.Helper()
				if err := r.Check(newMessage("c", class), hold); (err == nil) != want {
					t.Errorf("class %s: %v", class, err)
				}
			}
			r.put(newMessage("x1", "x"))
			r.put(newMessage("y1", "y"))
			calls := map[string]sent{}
			for range 2 {
				in := byhand.Await(t, r.hand.attempts, "attempt")
				calls[in.Message.ID] = in
			}
			// A refusal each: neither has run, and each has one attempt left.
			for _, in := range calls {
				in.result <- Result{Outcome: logic.Overloaded, RequestedWait: 2500e6}
			}
			for r.state("x1") != StateAccepted || r.state("y1") != StateAccepted { // until the outcomes are in the journal
			}
			next(with(cfg, 5, "x unsafe", "y safe", "z keyed"))
			check("z", true)
			next(with(cfg, 5, "y safe")) // x is dropped, with a message of it held
			check("x", false)
			next(with(cfg, 1, "x unsafe", "y safe"))
			check("x", true)
			bad := with(cfg, 1, "x unsafe")
			bad.Classes[0].Deadline = 0
			if err := r.UpdateSettings(bad, cfg.Zones); err == nil {
				t.Error("a class without a deadline is taken up")
			}
			if err := r.UpdateSettings(with(cfg, 1, "x unsafe"), []string{"b", "a"}); err == nil {
				t.Error("zones that change places are taken up")
			}
			check("y", true) // a refusal changes nothing
			if got := r.put(newMessage("x1", "x")); got.Status != Accepted || !got.Duplicate {
				t.Errorf("handed in again: %+v", got)
			}
			// x1 was safe and y1 unsafe when they were taken on: after a break the one is sent again no more than
			// its two attempts allow, the other never.
			for range 2 {
				in := byhand.Await(t, r.hand.attempts, "second attempt")
				in.result <- Result{Outcome: logic.ConnectionBroken}
			}
			ends := map[string]message.End{}
			for range 2 {
				x := byhand.Await(t, r.ends.told, "end")
				ends[x.ID] = x
				r.ends.confirm <- x.ID
			}
			for _, id := range []string{"x1", "y1"} {
				if x := ends[id]; x.State != message.Failed || x.Attempts != 2 {
					t.Errorf("%s ended as %+v", id, x)
				}
			}
			r.halt()
		})
	}
}

const hold = 2 * time.Second // a span that each class allows

// Right after a change clients may not know it: a class that becomes safe is still held to what it was.
func TestOverlapIsStrict(t *testing.T) {
	cfg := testConfig()
	cfg.Settings = with(cfg, 3, "x unsafe")
	r := newRig(t, t.TempDir(), cfg).run()
	if err := r.UpdateSettings(with(cfg, 3, "x safe"), cfg.Zones); err != nil {
		t.Fatal(err)
	}
	r.put(newMessage("early", "x"))
	byhand.Await(t, r.hand.attempts, "attempt").result <- Result{Outcome: logic.ConnectionBroken}
	if x := byhand.Await(t, r.ends.told, "end"); x.ID != "early" || x.State != message.Failed {
		t.Errorf("told %+v", x)
	}
	r.ends.confirm <- "early"
	r.halt()
}
