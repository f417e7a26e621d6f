package logic

import "testing"

// untilRequested steps until the list is requested, and returns the time.
func untilRequested(s *Sender, now Micros, events ...Event) Micros {
	for acts := s.Step(now, events); len(only[RequestEndpoints](acts)) == 0; acts = s.Step(now, nil) {
		now += 10_000
	}
	return now
}

// However often requests for the list fail and however long they take, the next one starts so soon after the
// last one started that an answer comes before a change counts as known (6 s), and within the time limit of
// the settings: four times the request interval, which may be short in another deployment.
func TestListIsRequestedInTime(t *testing.T) {
	for _, within := range []Micros{0, Second / 2, 2 * Second, 10 * Second} {
		for _, took := range []Micros{0, Second, 3 * Second, 5 * Second} {
			for seed := range uint64(20) {
				set := base()
				set.ListOnRequest, set.ListRetryWithin = true, within
				s, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				bound, took := sec(5.41), took
				if within > 0 {
					bound = max(min(bound, 3*within+10_000), took)
				}
				requestedAt := untilRequested(s, 0)
				for i := range 24 {
					if i == 12 { // one request succeeds, and then the subscription breaks
						took = 0
						s.Step(requestedAt, []Event{Endpoints{Form: ListDelta}})
					}
					next := untilRequested(s, requestedAt+took, Endpoints{Form: ListFailed, Elapsed: took})
					if next-requestedAt > bound {
						t.Fatalf("requested again %.2f s after a request of %.0f s, want within %.1f s",
							seconds(next-requestedAt), seconds(took), seconds(within))
					}
					requestedAt = next
				}
			}
		}
	}
}

// A fleet of 300 senders makes no more requests at a failed discovery than with pauses that grew to 8 s and
// half as much again (823 and 1628 requests), not many at the same time, and all have requested in time once
// it is back.
func TestFleetRequestsFromFailedDiscovery(t *testing.T) {
	const senders = 300
	for _, x := range []struct {
		down Micros
		most int
	}{{8 * Second, 823}, {30 * Second, 1628}} {
		requests, last, perInterval := 0, Micros(0), map[Micros]int{}
		for seed := range uint64(senders) {
			set := base()
			set.ListOnRequest, set.Senders, set.ListRetryWithin = true, senders, 10*Second
			s, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(0, nil)
			s.Step(0, []Event{list(2)})
			now := Second // all subscriptions end
			for {
				now = untilRequested(s, now, Endpoints{Form: ListFailed})
				perInterval[now/100_000]++
				if now >= Second+x.down {
					break
				}
				requests++
			}
			last = max(last, now-Second-x.down)
		}
		most := 0
		for _, n := range perInterval {
			most = max(most, n)
		}
		t.Logf("down for %.0f s: %d requests, at most %d in 0.1 s; the last sender requests %.2f s after",
			seconds(x.down), requests, most, seconds(last))
		if requests > x.most || most > senders/10 || last > sec(5.41) {
			t.Errorf("want at most %d requests, %d in 0.1 s, and all to have requested after 5.4 s", x.most, senders/10)
		}
	}
}
