package logic

import (
	"testing"

	"pgregory.net/rapid"
)

func drawSettings(t *rapid.T) Settings {
	set := Settings{Senders: 1, Zones: 1, Slots: 4, MaxOpen: 10, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "tries"),
		Tick:           1000,
		RemainingIndex: -1, LimitIndex: -1, MayCancel: true, FallMultiple: 2, FallWindow: 3 * Second,
		WarmAfter: 14 * Second, ColdFrom: 0.2,
		Kinds: []Kind{{Name: "std", MaxBatch: 1}}}
	for _, name := range []string{"a", "b", "c"} {
		if len(set.Classes) == 0 || rapid.Bool().Draw(t, "has "+name) {
			set.Classes = append(set.Classes, Class{Name: name, Aim: 2 * Second, Deadline: 16 * Second, Worth: 1,
				LateWorth: 0.4,
				Effect:    Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Window: 5 * Second})
		}
	}
	return set
}

// Settings change at any time among messages and outcomes: each message ends once, is never sent more often
// than its terms allowed when it was accepted, and one that was unsafe then is never sent after it may have
// run.
func TestUpdateSettingsPlays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		type state struct {
			effect     Effect
			most, sent int
			mayRun     bool
			ended      bool
		}
		msgs, out, n, now := map[string]*state{}, []StartAttempt{}, 0, Micros(0)
		step := func(events ...Event) {
			now += Micros(rapid.IntRange(1000, 200_000).Draw(t, "us"))
			for _, a := range s.Step(now, events) {
				switch a := a.(type) {
				case StartAttempt:
					m := msgs[a.ID]
					if m.sent++; m.ended || m.sent > m.most || m.mayRun && m.effect == Unsafe {
						t.Fatalf("%s is sent: %+v", a.ID, m)
					}
					out = append(out, a)
				case ReturnMessage:
					if msgs[a.ID].ended || msgs[a.ID].mayRun {
						t.Fatalf("%s is returned: %+v", a.ID, msgs[a.ID])
					}
					msgs[a.ID].ended = true
				case FailMessage:
					if msgs[a.ID].ended {
						t.Fatalf("%s ends twice", a.ID)
					}
					msgs[a.ID].ended = true
				}
			}
		}
		step(Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1}, {Endpoint: 2, Dest: 1}}})
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				next := drawSettings(t)
				if CheckUpdate(set, next) == nil {
					set = next
				}
				step(UpdateSettings{next})
			case 1:
				n++
				id, class := string(rune('A'+n)), rapid.IntRange(0, len(set.Classes)-1).Draw(t, "class")
				msgs[id] = &state{effect: set.Classes[class].Effect, most: set.MaxAttempts}
				step(NewMessage{ID: id, Remaining: 16 * Second, Dest: 1, Tenant: -1, Class: class})
			case 2:
				if len(out) == 0 {
					step()
					continue
				}
				a := out[0]
				out = out[1:]
				m := msgs[a.ID]
				o := Outcome(rapid.IntRange(int(Completed), int(InvalidResponse)).Draw(t, "outcome"))
				m.mayRun = m.mayRun || o != Overloaded && o != ConnectionRefused && o != NotSent
				m.ended = m.ended || o == Completed
				step(AttemptResult{ID: a.ID, MessageEnded: m.ended, Endpoint: a.Endpoint, Attempt: m.sent - 1,
					Outcome: o, Latency: 1000})
			default:
				step()
			}
		}
	})
}

// The merged settings are never laxer than either of the two, whatever changes.
func TestStrictest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was, next := drawSettings(t), drawSettings(t)
		got := Strictest(was, next)
		if len(got.Classes) != len(next.Classes) || CheckUpdate(was, got) != nil {
			t.Fatalf("%+v", got.Classes)
		}
		if got.MaxAttempts > was.MaxAttempts || got.MaxAttempts > next.MaxAttempts {
			t.Fatalf("%d attempts, %d and %d allowed", got.MaxAttempts, was.MaxAttempts, next.MaxAttempts)
		}
		for i, c := range got.Classes {
			if c.Name != next.Classes[i].Name || c.Effect < next.Classes[i].Effect {
				t.Fatalf("class %d: %+v", i, c)
			}
			for _, x := range was.Classes {
				if x.Name == c.Name && c.Effect < x.Effect {
					t.Fatalf("class %s was %v and is now %v", c.Name, x.Effect, c.Effect)
				}
			}
		}
	})
}
