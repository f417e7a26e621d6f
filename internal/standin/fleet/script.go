package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a time in a script's file: "250ms", "2s".
type Span time.Duration

// UnmarshalText reads what [time.ParseDuration] reads.
func (d *Span) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Span(v)
	return err
}

// Do is what an event of a script does.
type Do string

// What can be done.
const (
	Pause   Do = "pause"   // SIGSTOP
	Resume  Do = "resume"  // SIGCONT
	Kill    Do = "kill"    // SIGKILL
	Restart Do = "restart" // killed if it runs, and started from its folder
	Empty   Do = "empty"   // killed if it runs, and started with an emptied folder
	Copy    Do = "copy"    // its folder is copied as it is then
	Old     Do = "old"     // killed if it runs, and started from the copy
	Busy    Do = "busy"    // its processor is shared with a busy neighbour
	Calm    Do = "calm"    // and no more
	Link    Do = "link"    // the links From and To have the event's faults
	Reset   Do = "reset"   // streams between From and To are reset
	Heal    Do = "heal"    // all links carry all again
)

var known = []Do{Pause, Resume, Kill, Restart, Empty, Copy, Old, Busy, Calm, Link, Reset, Heal}

// Event is one fault of a script. Who, From and To are numbers of senders from 0;
// an empty From or To means all of them.
type Event struct {
	At     Span  `toml:"at" json:"at"` // since the fleet was ready
	Do     Do    `toml:"do" json:"do"`
	Who    []int `toml:"who" json:"who,omitempty"`
	From   []int `toml:"from" json:"from,omitempty"`
	To     []int `toml:"to" json:"to,omitempty"`
	Both   bool  `toml:"both" json:"both,omitempty"` // the links back too
	Delay  Span  `toml:"delay" json:"-"`
	Jitter Span  `toml:"jitter" json:"-"`
	Faults
}

// faults are those that its links are to have.
func (e *Event) faults() Faults {
	f := e.Faults
	f.Delay, f.Jitter = time.Duration(e.Delay), time.Duration(e.Jitter)
	return f
}

// Script is a play of faults over a fleet.
type Script struct {
	Senders int     `toml:"senders" json:"senders"`
	Seed    uint64  `toml:"seed" json:"seed"`
	For     Span    `toml:"for" json:"for"`
	Events  []Event `toml:"event" json:"events"`
}

// LoadScript reads a script from a TOML file.
func LoadScript(path string) (*Script, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s := &Script{}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: %s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// check says what is wrong with a script.
func (s *Script) check() error {
	if s.Senders < 1 || s.Senders > MostSenders {
		return fmt.Errorf("senders: %d is not within 1 and %d", s.Senders, MostSenders)
	}
	for i, e := range s.Events {
		at := fmt.Sprintf("event[%d]", i)
		if !slices.Contains(known, e.Do) {
			return fmt.Errorf("%s.do: %q is none of %v", at, e.Do, known)
		}
		if (e.Do == Link || e.Do == Reset || e.Do == Heal) != (len(e.Who) == 0) {
			return fmt.Errorf("%s.who: links have from and to, processes have who", at)
		}
		for _, list := range [][]int{e.Who, e.From, e.To} {
			for _, w := range list {
				if w < 0 || w >= s.Senders {
					return fmt.Errorf("%s: there is no sender %d", at, w)
				}
			}
		}
		for _, p := range []float64{e.Loss, e.Double, e.Reorder} {
			if p < 0 || p > 1 {
				return fmt.Errorf("%s: %v is no share", at, p)
			}
		}
		if e.At < 0 || e.Delay < 0 || e.Jitter < 0 || e.Rate < 0 || e.After < 0 {
			return fmt.Errorf("%s: a figure is negative", at)
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return nil
}

// DrawScript draws faults for a span, one or two a second, with all healed, awake and
// started near the end. The same seed gives the same script.
func DrawScript(seed uint64, senders int, d time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := Script{Senders: senders, Seed: seed, For: Span(d)}
	paused, dead := map[int]bool{}, map[int]bool{}
	at := time.Duration(0)
	add := func(e Event) {
		e.At = Span(at)
		s.Events = append(s.Events, e)
	}
	for {
		at += 300*time.Millisecond + time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
		if at > d-3*time.Second {
			break
		}
		i, k := rng.IntN(senders), rng.IntN(senders)
		switch rng.IntN(8) {
		case 0:
			if !dead[i] {
				add(Event{Do: Kill, Who: []int{i}})
				dead[i], paused[i] = true, false
			}
		case 1:
			if dead[i] {
				add(Event{Do: Restart, Who: []int{i}})
				dead[i] = false
			}
		case 2, 3:
			switch {
			case paused[i]:
				add(Event{Do: Resume, Who: []int{i}})
				paused[i] = false
			case !dead[i]:
				add(Event{Do: Pause, Who: []int{i}})
				paused[i] = true
			}
		case 4:
			if i != k {
				add(Event{Do: Link, From: []int{i}, To: []int{k}, Both: rng.IntN(2) == 0, Faults: Faults{Cut: true}})
			}
		case 5: // two pieces
			var a, b []int
			for x := range senders {
				if x <= min(i, senders-2) {
					a = append(a, x)
				} else {
					b = append(b, x)
				}
			}
			add(Event{Do: Link, From: a, To: b, Both: true, Faults: Faults{Cut: true}})
		case 6:
			add(Event{Do: Link, Faults: Faults{Loss: rng.Float64() / 2, Double: 0.1, Reorder: 0.1}})
		case 7:
			add(Event{Do: Heal})
		}
	}
	at = d - 2500*time.Millisecond
	add(Event{Do: Heal})
	for i := range senders {
		if paused[i] {
			add(Event{Do: Resume, Who: []int{i}})
		}
		if dead[i] {
			add(Event{Do: Restart, Who: []int{i}})
		}
	}
	return s
}
