package logic

import "testing"

// However often the list could not be had, it is asked for again before the settings hold this sender to what it missed: four
// times the time for asking, which another deployment may have short.
func TestListIsAskedForInTime(t *testing.T) {
	for _, within := range []Micros{0, Second / 2, 2 * Second, 10 * Second} {
		set := base()
		set.OnRequest, set.AskWithin = true, within
		r := newRig(t, set)
		most := 12 * Second
		if within > 0 {
			most = min(most, 3*within)
		}
		r.step(0)
		now := Micros(0)
		for range 12 {
			acts := r.s.Step(now, []Event{Endpoints{Form: ListFailed}})
			failed := now
			for len(only[Listen](acts)) == 0 {
				now += 50_000
				acts = r.s.Step(now, nil)
			}
			if now-failed > most+50_000 {
				t.Errorf("asked again after %.1f s, to be asked within %.1f s", seconds(now-failed), seconds(within))
			}
		}
	}
}
