package logic

import (
	"fmt"
	"testing"
)

// Endpoints, destinations and order keys that nothing refers to any more are dropped; otherwise the process
// would grow as long as it runs. State with a call in flight is kept.
func TestUnusedStateIsDropped(t *testing.T) {
	set := Settings{Senders: 1, Slots: 4, MaxAttempts: 6, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", Aim: Second, Deadline: 10 * Second, Worth: 1, KeepOrder: true}}}
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Micros(0)
	for i := 1; i <= 2000; i++ {
		id, dest := EndpointID(i), int64(i/10)
		evs := []Event{Endpoints{Form: ListDelta, Entries: []Entry{{Endpoint: id, Dest: dest, State: Ready}}}}
		if i > 1 {
			evs = append(evs, Endpoints{Entries: []Entry{{Endpoint: id - 1, Dest: int64((i - 1) / 10), State: Gone}}})
		}
		name := fmt.Sprint(i)
		evs = append(evs, NewMessage{ID: name, Key: name, Remaining: 10 * Second, Dest: dest, Tenant: -1})
		sent := false
		for _, a := range s.Step(now, evs) {
			if c, ok := a.(StartAttempt); ok && c.ID == name {
				sent = true
			}
		}
		if !sent {
			t.Fatalf("message %d is not sent", i)
		}
		now += Second
		s.Step(now, []Event{AttemptResult{ID: name, MessageEnded: true, Endpoint: id, Outcome: Completed,
			Latency: Second / 10}})
		now += Second
		if len(s.endpoints) > 60 || len(s.removed) > 60 || len(s.destinations) > 20 ||
			len(s.destinationOrder) != len(s.destinations) ||
			len(s.keyQueues) > 10 || len(s.messages) > 0 {
			t.Fatalf("after %d: %d endpoints, %d removed, %d destinations, %d keys, %d messages", i, len(s.endpoints),
				len(s.removed), len(s.destinations), len(s.keyQueues), len(s.messages))
		}
	}
	s.Step(now, []Event{NewMessage{ID: "out", Remaining: 1000 * Second, Dest: 200, Tenant: -1}})
	s.Step(now, []Event{Endpoints{Entries: []Entry{{Endpoint: 2000, Dest: 200, State: Gone}}}})
	s.Step(now+2*removedRetention, nil)
	if s.endpoints[2000] == nil {
		t.Error("an endpoint with a call in flight was dropped")
	}
	s.Step(now+2*removedRetention, []Event{AttemptResult{ID: "out", MessageEnded: true, Endpoint: 2000,
		Outcome: Completed}})
	s.Step(now+3*removedRetention, nil)
	if s.endpoints[2000] != nil {
		t.Error("a removed endpoint without a call was kept")
	}
}

// Healthy endpoints send invalid responses as well: a few are no outage, several in a row are.
func TestInvalidResponsesAndOutage(t *testing.T) {
	set := Settings{Senders: 1, Slots: 4, MaxAttempts: 100, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", Aim: Second, Deadline: 10 * Second, Worth: 1}}}
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, []Event{Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1}}},
		NewMessage{ID: "a", Remaining: 10 * Second, Dest: 1, Tenant: -1}})
	for i := range outageInvalidResponses {
		if s.endpoints[1].suspect {
			t.Fatalf("in outage after %d invalid responses", i)
		}
		s.Step(Micros(i+1)*100_000, []Event{AttemptResult{ID: "a", Attempt: i, Endpoint: 1, Outcome: InvalidResponse}})
	}
	if !s.endpoints[1].suspect {
		t.Errorf("not in outage after %d invalid responses in a row", outageInvalidResponses)
	}
}

// Connections sometimes break without an outage: with answers between them the endpoint stays in use. Several
// in a row, or one followed by a refused connection, are an outage.
func TestResetsAndOutage(t *testing.T) {
	set := Settings{Senders: 1, Slots: 4, MaxAttempts: 100, Tick: 5000, MayCancel: true,
		Classes: []Class{{Name: "c", Aim: Second, Deadline: 100 * Second, Worth: 1}}}
	for _, x := range []struct {
		name     string
		outcomes []Outcome
		outage   bool
	}{
		{"with answers between", []Outcome{ConnectionBroken, ConnectionBroken, Overloaded, ConnectionBroken,
			ConnectionBroken, Overloaded, ConnectionBroken}, false},
		{"three in a row", []Outcome{ConnectionBroken, ConnectionBroken, ConnectionBroken}, true},
		{"broken, then refused", []Outcome{ConnectionBroken, ConnectionRefused}, true},
		{"refused at first", []Outcome{ConnectionRefused}, true},
		{"refused once, just after an answer", []Outcome{Completed, ConnectionRefused}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(0, []Event{Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1}}}})
			e, now := s.endpoints[1], Micros(0)
			for i, o := range x.outcomes {
				id := string(rune('a' + i))
				s.Step(now, []Event{NewMessage{ID: id, Remaining: 10 * Second, Dest: 1, Tenant: -1}})
				now += Second / 2
				s.Step(now, []Event{AttemptResult{ID: id, MessageEnded: true, Endpoint: 1, Outcome: o, Latency: 1000}})
				now += 3 * Second
				if o == Completed {
					now -= 3 * Second
				}
			}
			if e.suspect != x.outage {
				t.Errorf("outage: %v, want %v", e.suspect, x.outage)
			}
		})
	}
}
