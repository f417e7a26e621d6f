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

// Duration is a duration in a script file: "250ms", "2s".
type Duration time.Duration

// UnmarshalText parses the format of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Action is what an event of a script does.
type Action string

// Actions of a script.
const (
	Pause              Action = "pause"   // SIGSTOP
	Resume             Action = "resume"  // SIGCONT
	Kill               Action = "kill"    // SIGKILL
	Restart            Action = "restart" // killed if it is running, and started from its state folder
	RestartEmpty       Action = "empty"   // killed if it is running, and started with an empty state folder
	Copy               Action = "copy"    // the state folder is copied as it is, for RestartOld
	RestartOld         Action = "old"     // killed if it is running, and started from the copy
	AddBusyNeighbor    Action = "busy"    // the process shares a processor with a busy loop
	RemoveBusyNeighbor Action = "calm"    // the busy loop ends
	SetLink            Action = "link"    // sets the faults of the links between From and To
	Reset              Action = "reset"   // resets the streams between From and To
	Heal               Action = "heal"    // removes the faults of all links
)

// actions are the actions that a script file may name.
var actions = []Action{Pause, Resume, Kill, Restart, RestartEmpty, Copy, RestartOld, AddBusyNeighbor,
	RemoveBusyNeighbor, SetLink, Reset, Heal}

// Event is one action of a script, on processes or on links. Senders, From and To are sender numbers
// from 0; an empty From or To means all senders.
type Event struct {
	At      Duration `toml:"at" json:"at"`               // since the start of the script
	Action  Action   `toml:"do" json:"do"`               // one of the constants of a script
	Senders []int    `toml:"who" json:"who,omitempty"`   // processes of the action; empty for one on links
	From    []int    `toml:"from" json:"from,omitempty"` // sources of the links
	To      []int    `toml:"to" json:"to,omitempty"`     // destinations of the links
	Both    bool     `toml:"both" json:"both,omitempty"` // the opposite direction too
	Delay   Duration `toml:"delay" json:"-"`             // Faults.Delay in the format of a script file
	Jitter  Duration `toml:"jitter" json:"-"`            // Faults.Jitter in that format
	Faults           // that SetLink sets, apart from Delay and Jitter; unused by other actions
}

// faults returns the faults that the links of the event get.
func (e *Event) faults() Faults {
	f := e.Faults
	f.Delay, f.Jitter = time.Duration(e.Delay), time.Duration(e.Jitter)
	return f
}

// Script is a timed sequence of faults for a fleet.
type Script struct {
	Senders int      `toml:"senders" json:"senders"` // size of the fleet
	Seed    uint64   `toml:"seed" json:"seed"`       // of the random faults of the links
	For     Duration `toml:"for" json:"for"`         // duration, or longer if an event takes long
	Events  []Event  `toml:"event" json:"events"`    // in order of At
}

// LoadScript reads a script from a TOML file. It returns an error that names the mistake for an
// unknown key or an invalid event.
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

// check validates the script and sorts its events by time.
func (s *Script) check() error {
	if s.Senders < 1 || s.Senders > MaxSenders {
		return fmt.Errorf("senders: %d is not within 1 and %d", s.Senders, MaxSenders)
	}
	for i, e := range s.Events {
		at := fmt.Sprintf("event[%d]", i)
		if !slices.Contains(actions, e.Action) {
			return fmt.Errorf("%s.do: %q is none of %v", at, e.Action, actions)
		}
		if (e.Action == SetLink || e.Action == Reset || e.Action == Heal) != (len(e.Senders) == 0) {
			return fmt.Errorf("%s.who: links have from and to, processes have who", at)
		}
		for _, list := range [][]int{e.Senders, e.From, e.To} {
			for _, w := range list {
				if w < 0 || w >= s.Senders {
					return fmt.Errorf("%s: there is no sender %d", at, w)
				}
			}
		}
		for _, p := range []float64{e.Loss, e.Duplicate, e.Reorder} {
			if p < 0 || p > 1 {
				return fmt.Errorf("%s: %v is not a share from 0 to 1", at, p)
			}
		}
		if e.At < 0 || e.Delay < 0 || e.Jitter < 0 || e.Rate < 0 || e.CutAfter < 0 {
			return fmt.Errorf("%s: negative value", at)
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return nil
}

// RandomScript draws one or two faults a second for a duration. Near the end it heals all links and
// resumes or starts all senders. The same seed gives the same script.
func RandomScript(seed uint64, senders int, d time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := Script{Senders: senders, Seed: seed, For: Duration(d)}
	paused, killed := map[int]bool{}, map[int]bool{}
	at := time.Duration(0)
	add := func(e Event) {
		e.At = Duration(at)
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
			if !killed[i] {
				add(Event{Action: Kill, Senders: []int{i}})
				killed[i], paused[i] = true, false
			}
		case 1:
			if killed[i] {
				add(Event{Action: Restart, Senders: []int{i}})
				killed[i] = false
			}
		case 2, 3:
			switch {
			case paused[i]:
				add(Event{Action: Resume, Senders: []int{i}})
				paused[i] = false
			case !killed[i]:
				add(Event{Action: Pause, Senders: []int{i}})
				paused[i] = true
			}
		case 4:
			if i != k {
				add(Event{Action: SetLink, From: []int{i}, To: []int{k}, Both: rng.IntN(2) == 0,
					Faults: Faults{Cut: true}})
			}
		case 5: // a partition in two
			var a, b []int
			for x := range senders {
				if x <= min(i, senders-2) {
					a = append(a, x)
				} else {
					b = append(b, x)
				}
			}
			add(Event{Action: SetLink, From: a, To: b, Both: true, Faults: Faults{Cut: true}})
		case 6:
			add(Event{Action: SetLink, Faults: Faults{Loss: rng.Float64() / 2, Duplicate: 0.1, Reorder: 0.1}})
		case 7:
			add(Event{Action: Heal})
		}
	}
	at = d - 2500*time.Millisecond
	add(Event{Action: Heal})
	for i := range senders {
		if paused[i] {
			add(Event{Action: Resume, Senders: []int{i}})
		}
		if killed[i] {
			add(Event{Action: Restart, Senders: []int{i}})
		}
	}
	return s
}
