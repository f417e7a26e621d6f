package room

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func at(n int) time.Time { return time.Unix(1000+int64(n), 0) }

func TestPick(t *testing.T) {
	rests := func(n int) Conn { return Conn{IdleSince: at(n), Answered: true} }
	silent := func(n int) Conn { return Conn{IdleSince: at(n)} }
	begun := func(n, heard int) Conn { return Conn{IdleSince: at(n), Partial: true, LastRead: at(heard)} }
	busy := Conn{IdleSince: at(0), Busy: true}
	for _, c := range []struct {
		name  string
		conns []Conn
		most  int
		want  int
	}{
		{"nobody is there", nil, 2, -1},
		{"all are owed an answer", []Conn{busy, busy}, 2, -1},
		{"one rests", []Conn{silent(0), rests(5), busy}, 3, 1},
		{"the longest at rest", []Conn{rests(2), rests(1), rests(3)}, 3, 1},
		{"most are silent", []Conn{silent(2), rests(0), silent(1), silent(3), silent(4)}, 5, 2},
		{"half are silent", []Conn{silent(2), rests(0), silent(1), begun(0, 0)}, 4, 1},
		{"silent ones and half-sent ones", []Conn{begun(0, 0), silent(9)}, 2, 1},
		{"half-sent ones: the longest without a byte", []Conn{begun(0, 8), begun(5, 6), begun(3, 7), busy}, 4, 1},
		{"half-sent after an answer", []Conn{{IdleSince: at(0), Answered: true, Partial: true, LastRead: at(9)}, begun(8, 8)}, 2, 1},
	} {
		if got := PickVictim(c.conns, c.most); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// One goes as long as any may, never one that is owed an answer, and one that has begun a request only if all have.
func TestPickRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var conns []Conn
		idle, free := 0, 0
		for range rapid.IntRange(0, 20).Draw(t, "n") {
			c := Conn{IdleSince: at(rapid.IntRange(0, 50).Draw(t, "since")), Answered: rapid.Bool().Draw(t, "answered"),
				Partial: rapid.Bool().Draw(t, "begun"), Busy: rapid.Bool().Draw(t, "busy"), LastRead: at(rapid.IntRange(0, 50).Draw(t, "heard"))}
			if !c.Busy {
				free++
				if !c.Partial {
					idle++
				}
			}
			conns = append(conns, c)
		}
		got := PickVictim(conns, max(len(conns), 1))
		switch {
		case got < 0 != (free == 0):
			t.Fatalf("%d of %d that may go", got, free)
		case got >= 0 && conns[got].Busy:
			t.Fatal("one that is owed an answer goes")
		case got >= 0 && conns[got].Partial && idle > 0:
			t.Fatal("one that has begun a request goes before one that has not")
		}
	})
}

// Clients come, are ended to make room, and end: neither bound is passed, nobody is ended or cut off while there is a
// place, and one comes in unless all are owed an answer.
func TestPlacesRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Limits{Active: rapid.IntRange(1, 6).Draw(t, "live"), Lingering: rapid.IntRange(0, 3).Draw(t, "ending")}
		most := p.Active + max(p.Lingering, 1)
		live, ending := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // a client ends its side
				ending = max(ending-1, 0)
			case 1: // one that was told to end had asked just before
				if ending > 0 {
					live, ending = live+1, ending-1
				}
			default:
				for steps := 0; ; steps++ {
					next := p.NextAction(live, ending)
					if steps > 2*most {
						t.Fatal("no end of making room")
					}
					if next == Admit {
						live++
						break
					}
					switch {
					case next == CloseIdle && live < p.Active:
						t.Fatalf("one of %d live is ended", live)
					case next == AbortLingering && (ending == 0 || live+ending < most):
						t.Fatalf("one is cut off, %d live and %d ending", live, ending)
					}
					if next == CloseIdle {
						live--
						ending++
					} else {
						ending--
					}
				}
				if live > p.Active || live+ending > most {
					t.Fatalf("%d live and %d ending with %+v", live, ending, p)
				}
			}
		}
	})
}
