package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTimeouts = Timeouts{DrainGrace: 500 * time.Millisecond, StopTimeout: 3400 * time.Millisecond}

// Every pair of state and event must have the stated result; "" is no change.
func TestEveryPair(t *testing.T) {
	reach := map[State][]Event{Starting: nil, Serving: {Started}, LameDuck: {Started, DrainOn},
		HandingOver: {Started, HandoverRequested},
		HandedOver:  {Started, HandoverRequested, HandoverCompleted}, Leaving: {Started, Terminate}}
	want := map[State][events]string{
		//             started    drain on     drain off  requested       aborted    completed      terminate
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
			m := New(testTimeouts, at)
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

// The behavior must be as stated at each time of a drain and of a shutdown.
func TestBehaviors(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	for _, test := range []struct {
		name   string
		events []Event
		want   map[int]Behavior
	}{
		{"drain", []Event{Started, DrainOn}, map[int]Behavior{
			0:   {State: LameDuck, AcceptConnections: true, KeepAlive: true},
			499: {State: LameDuck, AcceptConnections: true, KeepAlive: true},
			500: {State: LameDuck, AcceptConnections: true},
		}},
		{"drain and back", []Event{Started, DrainOn, DrainOff}, map[int]Behavior{
			0: {State: Serving, Ready: true, AcceptConnections: true, KeepAlive: true},
		}},
		{"on again within the grace period", []Event{Started, DrainOn, DrainOff, DrainOn}, map[int]Behavior{
			0:   {State: LameDuck, AcceptConnections: true, KeepAlive: true},
			500: {State: LameDuck, AcceptConnections: true},
		}},
		{"drained before it serves", []Event{DrainOn, Started}, map[int]Behavior{
			0: {State: LameDuck, AcceptConnections: true, KeepAlive: true},
		}},
		{"drained during a handover", []Event{Started, HandoverRequested, DrainOn}, map[int]Behavior{
			0: {State: HandingOver, AcceptConnections: true},
		}},
		{"drained in an aborted handover", []Event{Started, HandoverRequested, DrainOn, HandoverAborted}, map[int]Behavior{
			0: {State: LameDuck, AcceptConnections: true, KeepAlive: true},
		}},
		{"handed over", []Event{Started, HandoverRequested, HandoverCompleted}, map[int]Behavior{
			0: {State: HandedOver, Ready: true, ExitWhenIdle: true},
		}},
		{"terminated", []Event{Started, Terminate}, map[int]Behavior{
			0:    {State: Leaving, ShortenDeadlines: true, AcceptConnections: true, KeepAlive: true},
			500:  {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true},
			3400: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true, ExitNow: true},
		}},
		{"terminated during a drain", []Event{Started, DrainOn, Terminate, DrainOff}, map[int]Behavior{
			0:   {State: Leaving, ShortenDeadlines: true, AcceptConnections: true, KeepAlive: true},
			500: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true},
		}},
		{"terminated before it serves", []Event{Terminate, Started}, map[int]Behavior{
			0: {State: Leaving, ShortenDeadlines: true, ExitWhenIdle: true},
		}},
	} {
		m := New(testTimeouts, at)
		for _, ev := range test.events {
			m.Handle(ev, at)
		}
		for n, want := range test.want {
			if got := m.Behavior(ms(n)); got != want {
				t.Errorf("%s after %d ms: %+v, want %+v", test.name, n, got, want)
			}
		}
	}
}

// In any sequence of events: a process that has handed over or is terminated must never serve again, a drained one
// must never report ready, a terminated one must exit in time, and the behavior may only change by an event or at the
// time of NextChange.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := New(testTimeouts, now)
		drained, served, gone, leaving := false, false, false, time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			before, change := m.Behavior(now), m.NextChange(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if (change.IsZero() || now.Before(change)) && m.Behavior(now) != before {
				t.Fatalf("the behavior changed from %+v to %+v without an event", before, m.Behavior(now))
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
			b := m.Behavior(now)
			served = served || b.State == Serving
			if gone && b.State != HandedOver && b.State != Leaving {
				t.Fatalf("in service again after its end: %v", b.State)
			}
			gone = gone || b.State == HandedOver || b.State == Leaving
			if b.Ready && (drained || !served && b.State != HandingOver && b.State != HandedOver) {
				t.Fatalf("it reports ready: %+v", b)
			}
			if (b.State == Leaving) != !leaving.IsZero() {
				t.Fatalf("%v, terminated at %v", b.State, leaving)
			}
			if !leaving.IsZero() && b.ExitNow != (now.Sub(leaving) >= testTimeouts.StopTimeout) {
				t.Fatalf("%v after it was terminated: %+v", now.Sub(leaving), b)
			}
		}
	})
}
