package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTimes = Timeouts{DrainGrace: 500 * time.Millisecond, StopTimeout: 3400 * time.Millisecond}

// Every pair of state and event has a stated result; "" is no change.
func TestEveryPair(t *testing.T) {
	reach := map[State][]Event{Starting: nil, Serving: {Started}, LameDuck: {Started, DrainOn}, HandingOver: {Started, HandoverRequested},
		HandedOver: {Started, HandoverRequested, HandoverCompleted}, Leaving: {Started, Terminate}}
	want := map[State][events]string{
		//             started    on           off        came            gone       taken over     terminate
		Starting:    {"serving", "", "", "", "", "", "leaving"},
		Serving:     {"", "lame duck", "", "handing over", "", "", "leaving"},
		LameDuck:    {"", "", "serving", "handing over", "", "", "leaving"},
		HandingOver: {"", "", "", "", "serving", "handed over", "leaving"},
		HandedOver:  {"", "", "", "", "", "", "leaving"},
		Leaving:     {},
	}
	at := time.Unix(1000, 0)
	for s := range states {
		for ev := range events {
			m := New(testTimes, at)
			for _, x := range reach[s] {
				m.Handle(x, at)
			}
			if m.state != s {
				t.Fatalf("%v is not reached: %v", s, m.state)
			}
			changed := m.Handle(ev, at)
			got := ""
			if changed {
				got = m.state.String()
			}
			if got != want[s][ev] {
				t.Errorf("%v, %v: %q, want %q", s, ev, got, want[s][ev])
			}
		}
	}
}

// What a view says at each time of a drain and of an end.
func TestViews(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	for _, c := range []struct {
		name   string
		events []Event
		want   map[int]Behavior
	}{
		{"drain", []Event{Started, DrainOn}, map[int]Behavior{
			0: {State: LameDuck, AcceptConnections: true, KeepAlive: true}, 499: {State: LameDuck, AcceptConnections: true, KeepAlive: true}, 500: {State: LameDuck, AcceptConnections: true}}},
		{"drain and back", []Event{Started, DrainOn, DrainOff}, map[int]Behavior{0: {State: Serving, Ready: true, AcceptConnections: true, KeepAlive: true}}},
		{"on again within the door", []Event{Started, DrainOn, DrainOff, DrainOn}, map[int]Behavior{
			0: {State: LameDuck, AcceptConnections: true, KeepAlive: true}, 500: {State: LameDuck, AcceptConnections: true}}},
		{"told to drain before it serves", []Event{DrainOn, Started}, map[int]Behavior{0: {State: LameDuck, AcceptConnections: true, KeepAlive: true}}},
		{"drained while it hands over", []Event{Started, HandoverRequested, DrainOn}, map[int]Behavior{0: {State: HandingOver, AcceptConnections: true}}},
		{"drained while it hands over in vain", []Event{Started, HandoverRequested, DrainOn, HandoverAborted}, map[int]Behavior{
			0: {State: LameDuck, AcceptConnections: true, KeepAlive: true}}},
		{"handed over", []Event{Started, HandoverRequested, HandoverCompleted}, map[int]Behavior{0: {State: HandedOver, Ready: true, ExitWhenIdle: true}}},
		{"end", []Event{Started, Terminate}, map[int]Behavior{0: {State: Leaving, ShortenDeadlines: true, AcceptConnections: true, KeepAlive: true},
			500: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true}, 3400: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true, ExitNow: true}}},
		{"end under a drain", []Event{Started, DrainOn, Terminate, DrainOff}, map[int]Behavior{0: {State: Leaving, ShortenDeadlines: true, AcceptConnections: true, KeepAlive: true},
			500: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true}}},
		{"end before it serves", []Event{Terminate, Started}, map[int]Behavior{0: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true}}},
	} {
		m := New(testTimes, at)
		for _, ev := range c.events {
			m.Handle(ev, at)
		}
		for n, want := range c.want {
			if got := m.Behavior(ms(n)); got != want {
				t.Errorf("%s after %d ms: %+v, want %+v", c.name, n, got, want)
			}
		}
	}
}

// Whatever happens: what is handed over or told to end never serves again, one that is drained never says yes,
// one that is told to end does so in time, and the view changes only by an event or when Changes says so.
func TestRandomPlays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := New(testTimes, now)
		drained, served, gone, leaving := false, false, false, time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			before, due := m.Behavior(now), m.NextChange(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if (due.IsZero() || now.Before(due)) && m.Behavior(now) != before {
				t.Fatalf("the view changed from %+v to %+v by itself", before, m.Behavior(now))
			}
			ev := Event(rapid.IntRange(-1, int(events)).Draw(t, "event"))
			m.Handle(ev, now)
			switch ev {
			case DrainOn:
				drained = true
			case DrainOff:
				drained = false
			case Terminate:
				if leaving.IsZero() {
					leaving = now
				}
			}
			v := m.Behavior(now)
			served = served || v.State == Serving
			if gone && v.State != HandedOver && v.State != Leaving {
				t.Fatalf("back from the end: %v", v.State)
			}
			gone = gone || v.State == HandedOver || v.State == Leaving
			if v.Ready && (drained || !served && v.State != HandingOver && v.State != HandedOver) {
				t.Fatalf("it says yes: %+v", v)
			}
			if (v.State == Leaving) != !leaving.IsZero() {
				t.Fatalf("%v, told to end at %v", v.State, leaving)
			}
			if !leaving.IsZero() && v.ExitNow != (now.Sub(leaving) >= testTimes.StopTimeout) {
				t.Fatalf("%v after it was told to end: %+v", now.Sub(leaving), v)
			}
		}
	})
}
