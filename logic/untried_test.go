package logic

import (
	"testing"

	"pgregory.net/rapid"
)

// untried simulates a restart that finds messages accepted and never tried, half of them with little time
// left, at a partner in virtual time.
type untried struct {
	pending int
	latency float64 // latency in seconds; 0 for a partner that refuses connections
	listed  float64 // when the list contains it
	limit   float64 // reported calls per second; 0 for none
	senders int
	full    bool    // the pending limit equals the number of messages
	short   float64 // seconds that half of them have left
	usual   float64 // latency in seconds before the restart, from a snapshot; 0 if unknown
	fresh   float64 // new messages per second meanwhile
}

// play returns how many of them were tried, ended without a call, and delivered.
func (u untried) play(t *testing.T) (tried, ended, delivered int) {
	set := base()
	set.Senders, set.Slots, set.MaxOpen, set.TrackChanges, set.Weights = max(u.senders, 1), 60, 2*u.pending+200, true,
		WeightsNominal
	if u.full {
		set.MaxOpen = u.pending
	}
	r := newRig(t, set)
	list := Endpoints{Form: ListCached, Entries: []Entry{{Endpoint: 1, Dest: 9, NominalRate: u.limit}}}
	var evs []Event
	if u.listed == 0 {
		evs = append(evs, list)
	}
	if u.usual > 0 {
		m := DestinationState{Dest: 9, SinceUsed: Second, Arrivals: 8, SinceOutage: SinceNever,
			Endpoints: []EndpointState{{Endpoint: 1, SinceRecovery: SinceNever, SinceSuccess: Second,
				SinceFailure: SinceNever, SinceIndependentSuccess: SinceNever}},
			Latencies: LatencyHistogram{Bins: []uint8{uint8(binIndex(sec(u.usual)))}, Weights: []uint16{128},
				SinceSample: Second}}
		evs = append(evs, RestoreState{State: m})
	}
	inherited := map[string]bool{}
	for i := range u.pending {
		m := r.message(i % 3)
		if m.History.Inherited = true; i%2 == 0 {
			m.Remaining = sec(u.short)
		}
		inherited[m.ID] = true
		evs = append(evs, m)
	}
	due, tries, arrivals := map[Micros][]Event{}, map[string]int{}, 0.0
	for now := Micros(0); now < 16*Second; now += set.Tick {
		if u.listed > 0 && now == sec(u.listed) {
			evs = append(evs, list)
		}
		if arrivals += u.fresh * seconds(set.Tick); arrivals >= 1 && r.s.pending < set.MaxOpen {
			arrivals--
			evs = append(evs, r.message(0))
		}
		evs = append(evs, due[now]...)
		if len(evs) == 0 && now%(20*set.Tick) != 0 {
			continue
		}
		for _, a := range r.s.Step(now, evs) {
			switch a := a.(type) {
			case StartAttempt:
				result, at := answer(a.ID, a.Endpoint, tries[a.ID], Completed),
					now+max(sec(u.latency)/set.Tick, 1)*set.Tick
				if result.Latency = at - now; u.latency == 0 {
					result.Outcome, result.MessageEnded = ConnectionRefused, false
				}
				due[at] = append(due[at], result)
				if tries[a.ID]++; inherited[a.ID] && tries[a.ID] == 1 {
					tried++
				}
				if inherited[a.ID] && u.latency > 0 {
					delivered++
				}
			case ReturnMessage:
				if inherited[a.ID] && tries[a.ID] == 0 {
					ended++
				}
			case FailMessage:
				if inherited[a.ID] && tries[a.ID] == 0 {
					ended++
				}
			}
		}
		evs = nil
	}
	return tried, ended, delivered
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
		{"1, alive", untried{pending: 1, latency: 0.02, short: 0.3, usual: 1}, 0},
		{"100, alive", untried{pending: 100, latency: 0.02, short: 0.3}, 0},
		{"100, alive, hold full", untried{pending: 100, latency: 0.02, short: 0.3, full: true}, 0},
		{"100, alive, was slow", untried{pending: 100, latency: 0.02, short: 0.3, usual: 1}, 0},
		{"100, alive, new ones come", untried{pending: 100, latency: 0.02, short: 3, limit: 25, fresh: 40}, 0},
		{"100, slow", untried{pending: 100, latency: 0.6, short: 2, usual: 0.6}, 0},
		{"100, slow, hold full", untried{pending: 100, latency: 0.6, short: 2, full: true}, 0},
		{"100, limit 30", untried{pending: 100, latency: 0.05, short: 2, limit: 30, full: true}, 0},
		{"30, 4 a second are ours", untried{pending: 30, latency: 0.05, short: 3, limit: 40, senders: 10, full: true},
			0},
		{"100, out", untried{pending: 100, short: 2}, 1},
		{"100, listed after 2 s", untried{pending: 100, latency: 0.05, short: 2.5, listed: 2, full: true, usual: 1}, 0},
		{"5000, alive", untried{pending: 5000, latency: 0.02, short: 3, full: true}, 0},
		{"5000, slow", untried{pending: 5000, latency: 0.3, short: 6, full: true}, 1},
	} {
		tried, ended, delivered := x.play(t)
		t.Logf("%-26s %5d tried, %5d ended without a call, %5d delivered", x.name, tried, ended, delivered)
		if float64(ended) > x.most*float64(x.pending) || tried+ended < x.pending {
			t.Errorf("%s: of %d %d were tried, %d ended without a call", x.name, x.pending, tried, ended)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		u := untried{pending: rapid.IntRange(1, 150).Draw(rt, "held"),
			latency: rapid.Float64Range(0.01, 0.3).Draw(rt, "took"),
			limit:   rapid.Float64Range(10, 60).Draw(rt, "limit"), senders: rapid.IntRange(1, 4).Draw(rt, "senders"),
			full: rapid.Bool().Draw(rt, "full"), usual: rapid.SampledFrom([]float64{0, 0.1, 2}).Draw(rt, "usual"),
			listed: rapid.SampledFrom([]float64{0, 1}).Draw(rt, "listed"),
			fresh:  rapid.Float64Range(0, 30).Draw(rt, "fresh")}
		rate := u.limit / float64(u.senders)
		u.short = u.listed + 0.5 + u.latency + float64(u.pending)/rate // the even share suffices for all
		if u.short > 9 {
			rt.Skip()
		}
		if tried, ended, _ := u.play(t); tried < u.pending {
			rt.Fatalf("of %d %d were tried, %d ended without a call", u.pending, tried, ended)
		}
	})
}

// Where a rate cannot send the pending messages in time, and their number is above half of the limit,
// messages that have just arrived are returned. Accepted ones are kept until seven tenths of their time have
// passed.
func TestAcceptedMessagesAreNotShed(t *testing.T) {
	set := base()
	set.MaxOpen, set.Weights = 20, WeightsNominal
	r := newRig(t, set)
	r.step(0, Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 9, NominalRate: 4}}})
	var evs []Event
	for range 16 { // at 2 per second these take 8 s of the 10 s that they have
		evs = append(evs, r.message(0))
	}
	first := r.step(1, evs...)
	if n := len(only[ReturnMessage](first)); n != 0 {
		t.Fatalf("%d of 16 returned at once", n)
	}
	out := only[StartAttempt](first)
	if len(out) == 0 {
		out = only[StartAttempt](r.step(1.5))
	}
	r.step(2, answer(out[0].ID, 1, 0, Overloaded)) // the rate falls to one per second
	returned := only[ReturnMessage](r.step(2.1, r.message(0)))
	if len(returned) != 1 || returned[0].ID != "m17" {
		t.Errorf("returned %v, want the one that has just arrived", returned)
	}
	ended := map[string]float64{}
	for at := 2.2; at < 12; at += 0.1 {
		for _, a := range only[ReturnMessage](r.step(at)) {
			ended[a.ID] = at
		}
	}
	for id, at := range ended {
		if at < 8 {
			t.Errorf("%s ended %.1f s after it arrived, of 10", id, at-1)
		}
	}
	if len(ended) == 0 {
		t.Error("none ended")
	}
}

// A message that would arrive after its deadline is not sent, even if a restart found it untried: a call with
// 5 ms left would reach the partner too late.
func TestUntriedIsNotSentTooLate(t *testing.T) {
	for left, sent := range map[float64]int{0.03: 0, 0.2: 1} {
		r := newRig(t, base())
		m := r.message(2)
		m.Remaining, m.History.Inherited = sec(left), true
		if acts := r.step(0, list(1), m); len(only[StartAttempt](acts)) != sent ||
			len(only[ReturnMessage](acts)) != 1-sent {
			t.Errorf("with %v s left: %v", left, acts)
		}
	}
}
