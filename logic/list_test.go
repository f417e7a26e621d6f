package logic

import "testing"

// untilAsked steps until the list is asked for, and returns when.
func untilAsked(s *Sender, now Micros, events ...Event) Micros {
	for acts := s.Step(now, events); len(only[RequestEndpoints](acts)) == 0; acts = s.Step(now, nil) {
		now += 10_000
	}
	return now
}

// However often the list could not be had, and however long the calls for it took, it is asked for again so soon
// after the last call was made that an answer comes before what is new counts as told (6 s), and before the settings
// hold this sender to what it missed: four times the time for asking, which another deployment may have short.
func TestListIsAskedForInTime(t *testing.T) {
	for _, within := range []Micros{0, Second / 2, 2 * Second, 10 * Second} {
		for _, took := range []Micros{0, Second, 3 * Second, 5 * Second} {
			for seed := range uint64(20) {
				set := base()
				set.ListOnRequest, set.ListRetryWithin = true, within
				s, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				most, took := sec(5.41), took
				if within > 0 {
					most = max(min(most, 3*within+10_000), took)
				}
				asked := untilAsked(s, 0)
				for i := range 24 {
					if i == 12 { // it is had once, and then the subscription breaks
						took = 0
						s.Step(asked, []Event{Endpoints{Form: ListDelta}})
					}
					again := untilAsked(s, asked+took, Endpoints{Form: ListFailed, Elapsed: took})
					if again-asked > most {
						t.Fatalf("asked again %.2f s after a call of %.0f s, to be asked within %.1f s", seconds(again-asked), seconds(took), seconds(within))
					}
					asked = again
				}
			}
		}
	}
}

// A whole fleet makes no more calls at a discovery that is down than it did with pauses that grew to 8 s and half as
// much again (823 and 1628 for 300 senders), not many at one time, and all have asked in time once it is back.
func TestFleetAsksADiscoveryThatIsDown(t *testing.T) {
	const senders = 300
	for _, x := range []struct {
		down Micros
		most int
	}{{8 * Second, 823}, {30 * Second, 1628}} {
		calls, last, per := 0, Micros(0), map[Micros]int{}
		for seed := range uint64(senders) {
			set := base()
			set.ListOnRequest, set.Senders, set.ListRetryWithin = true, senders, 10*Second
			s, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(0, nil)
			s.Step(0, []Event{list(2)})
			now := Second // all watches end
			for {
				now = untilAsked(s, now, Endpoints{Form: ListFailed})
				per[now/100_000]++
				if now >= Second+x.down {
					break
				}
				calls++
			}
			last = max(last, now-Second-x.down)
		}
		most := 0
		for _, n := range per {
			most = max(most, n)
		}
		t.Logf("down for %.0f s: %d calls, at most %d in 0.1 s; the last sender asks %.2f s after", seconds(x.down), calls, most, seconds(last))
		if calls > x.most || most > senders/10 || last > sec(5.41) {
			t.Errorf("want at most %d calls, %d in 0.1 s, and all to have asked after 5.4 s", x.most, senders/10)
		}
	}
}
