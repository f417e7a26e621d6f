package logic

import (
	"testing"

	"pgregory.net/rapid"
)

// untried simulates a restart that finds messages accepted and never tried, half of them with little time
// left, at a partner in virtual time.
type untried struct {
	held    int
	took    float64 // latency in seconds; 0 for a partner that refuses connections
	listed  float64 // when the list contains it
	limit   float64 // reported calls per second; 0 for none
	senders int
	full    bool    // the pending limit equals the number of messages
	short   float64 // seconds that half of them have left
	usual   float64 // latency in seconds before the restart, from a snapshot; 0 if unknown
	fresh   float64 // new messages per second meanwhile
}

// play returns how many of them were tried, ended without a call, and delivered.
func (u untried) play(t *testing.T) (tried, given, delivered int) {
	set := base()
	set.Senders, set.Slots, set.MaxOpen, set.TrackChanges, set.Weights = max(u.senders, 1), 60, 2*u.held+200, true, WeightsNominal
	if u.full {
		set.MaxOpen = u.held
	}
	r := newRig(t, set)
	row := Endpoints{Form: ListCached, Entries: []Entry{{Endpoint: 1, Dest: 9, NominalRate: u.limit}}}
	var evs []Event
	if u.listed == 0 {
		evs = append(evs, row)
	}
	if u.usual > 0 {
		m := DestinationState{Dest: 9, SinceUsed: Second, Arrivals: 8, SinceOutage: SinceNever, Endpoints: []EndpointState{{Endpoint: 1, SinceRecovery: SinceNever, SinceSuccess: Second, SinceFailure: SinceNever, SinceIndependentSuccess: SinceNever}},
			Latencies: LatencyHistogram{Bins: []uint8{uint8(binIndex(sec(u.usual)))}, Weights: []uint16{128}, SinceSample: Second}}
		evs = append(evs, RestoreState{State: m})
	}
	old := map[string]bool{}
	for i := range u.held {
		m := r.call(i % 3)
		if m.History.Inherited = true; i%2 == 0 {
			m.Remaining = sec(u.short)
		}
		old[m.ID] = true
		evs = append(evs, m)
	}
	due, tries, came := map[Micros][]Event{}, map[string]int{}, 0.0
	for now := Micros(0); now < 16*Second; now += set.Tick {
		if u.listed > 0 && now == sec(u.listed) {
			evs = append(evs, row)
		}
		if came += u.fresh * seconds(set.Tick); came >= 1 && r.s.pending < set.MaxOpen {
			came--
			evs = append(evs, r.call(0))
		}
		evs = append(evs, due[now]...)
		if len(evs) == 0 && now%(20*set.Tick) != 0 {
			continue
		}
		for _, a := range r.s.Step(now, evs) {
			switch a := a.(type) {
			case StartAttempt:
				rep, at := answer(a.ID, a.Endpoint, tries[a.ID], Completed), now+max(sec(u.took)/set.Tick, 1)*set.Tick
				if rep.Latency = at - now; u.took == 0 {
					rep.Outcome, rep.MessageEnded = ConnectionRefused, false
				}
				due[at] = append(due[at], rep)
				if tries[a.ID]++; old[a.ID] && tries[a.ID] == 1 {
					tried++
				}
				if old[a.ID] && u.took > 0 {
					delivered++
				}
			case ReturnMessage:
				if old[a.ID] && tries[a.ID] == 0 {
					given++
				}
			case FailMessage:
				if old[a.ID] && tries[a.ID] == 0 {
					given++
				}
			}
		}
		evs = nil
	}
	return tried, given, delivered
}

// Messages that a restart finds accepted and untried are tried wherever the partner takes that many in time,
// for any restored latency, any pending limit and any new messages. The rows are those of
// docs/measurements/acceptance.md.
func TestUntried(t *testing.T) {
	for _, x := range []struct {
		name string
		untried
		most float64 // fraction that may end without a call
	}{
		{"1, alive", untried{held: 1, took: 0.02, short: 0.3, usual: 1}, 0},
		{"100, alive", untried{held: 100, took: 0.02, short: 0.3}, 0},
		{"100, alive, hold full", untried{held: 100, took: 0.02, short: 0.3, full: true}, 0},
		{"100, alive, was slow", untried{held: 100, took: 0.02, short: 0.3, usual: 1}, 0},
		{"100, alive, new ones come", untried{held: 100, took: 0.02, short: 3, limit: 25, fresh: 40}, 0},
		{"100, slow", untried{held: 100, took: 0.6, short: 2, usual: 0.6}, 0},
		{"100, slow, hold full", untried{held: 100, took: 0.6, short: 2, full: true}, 0},
		{"100, limit 30", untried{held: 100, took: 0.05, short: 2, limit: 30, full: true}, 0},
		{"30, 4 a second are ours", untried{held: 30, took: 0.05, short: 3, limit: 40, senders: 10, full: true}, 0},
		{"100, out", untried{held: 100, short: 2}, 1},
		{"100, listed after 2 s", untried{held: 100, took: 0.05, short: 2.5, listed: 2, full: true, usual: 1}, 0},
		{"5000, alive", untried{held: 5000, took: 0.02, short: 3, full: true}, 0},
		{"5000, slow", untried{held: 5000, took: 0.3, short: 6, full: true}, 1},
	} {
		tried, given, delivered := x.play(t)
		t.Logf("%-26s %5d tried, %5d given up with no call, %5d delivered", x.name, tried, given, delivered)
		if float64(given) > x.most*float64(x.held) || tried+given < x.held {
			t.Errorf("%s: of %d %d were tried, %d given up", x.name, x.held, tried, given)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		u := untried{held: rapid.IntRange(1, 150).Draw(rt, "held"), took: rapid.Float64Range(0.01, 0.3).Draw(rt, "took"),
			limit: rapid.Float64Range(10, 60).Draw(rt, "limit"), senders: rapid.IntRange(1, 4).Draw(rt, "senders"),
			full: rapid.Bool().Draw(rt, "full"), usual: rapid.SampledFrom([]float64{0, 0.1, 2}).Draw(rt, "usual"),
			listed: rapid.SampledFrom([]float64{0, 1}).Draw(rt, "listed"), fresh: rapid.Float64Range(0, 30).Draw(rt, "fresh")}
		pace := u.limit / float64(u.senders)
		u.short = u.listed + 0.5 + u.took + float64(u.held)/pace // at its even share of the limit it takes them all
		if u.short > 9 {
			rt.Skip()
		}
		if tried, given, _ := u.play(t); tried < u.held {
			rt.Fatalf("of %d %d were tried, %d given up", u.held, tried, given)
		}
	})
}

// Where a rate cannot send the pending messages in time, and their number is above half of the limit,
// messages that have just arrived are returned. Accepted ones are kept until seven tenths of their time have
// passed.
func TestTakenOnKeepsItsPlace(t *testing.T) {
	set := base()
	set.MaxOpen, set.Weights = 20, WeightsNominal
	r := newRig(t, set)
	r.step(0, Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 9, NominalRate: 4}}})
	var evs []Event
	for range 16 { // at 2 per second these take 8 s of the 10 s that they have
		evs = append(evs, r.call(0))
	}
	first := r.step(1, evs...)
	if n := len(only[ReturnMessage](first)); n != 0 {
		t.Fatalf("%d of 16 turned away at once", n)
	}
	out := only[StartAttempt](first)
	if len(out) == 0 {
		out = only[StartAttempt](r.step(1.5))
	}
	r.step(2, answer(out[0].ID, 1, 0, Overloaded)) // the rate falls to one per second
	turned := only[ReturnMessage](r.step(2.1, r.call(0)))
	if len(turned) != 1 || turned[0].ID != "m17" {
		t.Errorf("turned away %v, want the one that has just come", turned)
	}
	ended := map[string]float64{}
	for at := 2.2; at < 12; at += 0.1 {
		for _, a := range only[ReturnMessage](r.step(at)) {
			ended[a.ID] = at
		}
	}
	for id, at := range ended {
		if at < 8 {
			t.Errorf("%s was given up %.1f s after it came, of 10", id, at-1)
		}
	}
	if len(ended) == 0 {
		t.Error("none was given up")
	}
}

// A message that would arrive after its deadline is not sent, even if a restart found it untried: a call with
// 5 ms left would reach the partner too late.
func TestUntriedIsNotSentTooLate(t *testing.T) {
	for left, sent := range map[float64]int{0.03: 0, 0.2: 1} {
		r := newRig(t, base())
		m := r.call(2)
		m.Remaining, m.History.Inherited = sec(left), true
		if acts := r.step(0, list(1), m); len(only[StartAttempt](acts)) != sent || len(only[ReturnMessage](acts)) != 1-sent {
			t.Errorf("with %v s left: %v", left, acts)
		}
	}
}
