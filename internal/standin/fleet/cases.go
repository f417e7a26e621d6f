package fleet

import (
	"fmt"
	"time"
)

// Case is a script whose results can be compared between implementations of membership.
type Case struct {
	Name   string // what happens, as printed in the table of results
	Script Script
	Killed []int // senders that the script kills and does not start again, by number
}

// Cases returns the scripts, over five senders, that membership is judged by. Their seed is 0; the
// caller sets another one for each run.
func Cases() []Case {
	const n = 5
	sec := func(s float64) Duration { return Duration(s * float64(time.Second)) }
	link := func(f Faults, from, to []int) Event {
		return Event{At: sec(1), Action: SetLink, From: from, To: to, Faults: f}
	}
	heal := func(at float64) Event { return Event{At: sec(at), Action: Heal} }
	var out []Case
	add := func(name string, length float64, events ...Event) {
		out = append(out, Case{Name: name, Script: Script{Senders: n, For: sec(length), Events: events}})
	}
	for _, d := range []float64{0.2, 1, 5, 30} {
		for _, who := range [][]int{{1}, {0, 1, 2}} {
			add(fmt.Sprintf("%d paused for %v s", len(who), d), d+3, Event{At: sec(1), Action: Pause, Senders: who},
				Event{At: sec(1 + d), Action: Resume, Senders: who})
		}
	}
	add("one that suspects paused for 5 s", 10, link(Faults{Cut: true}, []int{0}, []int{1}),
		Event{At: sec(3.5), Action: Pause, Senders: []int{1}}, heal(6),
		Event{At: sec(8.5), Action: Resume, Senders: []int{1}})
	add("two beside a busy neighbour", 21, Event{At: sec(1), Action: AddBusyNeighbor, Senders: []int{0, 1}},
		Event{At: sec(20), Action: RemoveBusyNeighbor, Senders: []int{0, 1}})
	var repeated []Event
	for i := range 10 {
		repeated = append(repeated, Event{At: sec(1 + 6*float64(i)), Action: Pause, Senders: []int{1}},
			Event{At: sec(4 + 6*float64(i)), Action: Resume, Senders: []int{1}})
	}
	add("paused ten times a minute for 3 s", 62, repeated...)
	for _, p := range []float64{0.01, 0.1, 0.3, 0.5} {
		add(fmt.Sprintf("%.0f%% lost", 100*p), 41, link(Faults{Loss: p}, nil, nil), heal(40))
	}
	delayed := link(Faults{}, nil, nil)
	delayed.Delay, delayed.Jitter = Duration(200*time.Millisecond), Duration(50*time.Millisecond)
	add("200 ms late, 50 ms jitter", 31, delayed, heal(30))
	add("50% lost on one link", 31, link(Faults{Loss: 0.5}, []int{0}, []int{1}), heal(30))
	add("s0 does not reach s1", 31, link(Faults{Cut: true}, []int{0}, []int{1}), heal(30))
	add("nobody reaches s0, s0 reaches all", 31, link(Faults{Cut: true}, nil, []int{0}), heal(30))
	var ring []Event
	for i := range n {
		for k := range n {
			if k != i && k != (i+1)%n {
				ring = append(ring, link(Faults{Cut: true}, []int{i}, []int{k}))
			}
		}
	}
	add("each reaches the next only", 31, append(ring, heal(30))...)
	add("s0, s1 do not reach the rest", 31, link(Faults{Cut: true}, []int{0, 1}, []int{2, 3, 4}), heal(30))
	add("s0, s1 apart from the rest", 31, link(Faults{Cut: true}, []int{0, 1}, []int{2, 3, 4}), link(Faults{Cut: true}, []int{2, 3, 4}, []int{0, 1}), heal(30))
	add("apart for 2 s", 4, link(Faults{Cut: true}, []int{0, 1}, []int{2, 3, 4}), link(Faults{Cut: true}, []int{2, 3, 4}, []int{0, 1}), heal(3))
	add("two killed", 1, Event{At: sec(0.5), Action: Kill, Senders: []int{0, 1}})
	out[len(out)-1].Killed = []int{0, 1}
	add("two killed at 10% lost", 1, link(Faults{Loss: 0.1}, nil, nil),
		Event{At: sec(1), Action: Kill, Senders: []int{0, 1}})
	out[len(out)-1].Killed = []int{0, 1}
	all := []int{0, 1, 2, 3, 4}
	add("all killed and started at once", 2, Event{At: sec(0.5), Action: Kill, Senders: all},
		Event{At: sec(1), Action: Restart, Senders: all})
	add("one after another started again", 12, Event{At: sec(0.5), Action: Restart, Senders: []int{0}},
		Event{At: sec(2.5), Action: Restart, Senders: []int{1}},
		Event{At: sec(4.5), Action: Restart, Senders: []int{2}},
		Event{At: sec(6.5), Action: Restart, Senders: []int{3}},
		Event{At: sec(8.5), Action: Restart, Senders: []int{4}})
	add("started again with an emptied folder", 3, Event{At: sec(0.5), Action: RestartEmpty, Senders: []int{0}})
	add("started again with an old copy of its folder", 9, Event{At: sec(0.5), Action: Copy, Senders: []int{0}},
		Event{At: sec(1), Action: Restart, Senders: []int{0}},
		Event{At: sec(4), Action: Restart, Senders: []int{0}}, Event{At: sec(7), Action: RestartOld, Senders: []int{0}})
	return out
}

// Outcome is the result of a case.
type Outcome struct {
	FalselyGone  int // reports of a sender as gone whose process was running or paused
	StateChanges int // other state changes that a sender reports of one that was not killed
	// DetectionTime is the time from the last kill until all report the senders in Case.Killed as
	// gone; 0 if there are none, or on a timeout.
	DetectionTime time.Duration
	// ConvergenceTime is the time from the end of the script, when its faults have ended, until all
	// views are equal; 0 if Case.Killed has senders, or on a timeout.
	ConvergenceTime time.Duration
}

// Play runs a case over a new fleet and observes the views throughout. The number of senders and the
// seed in opts are replaced by those of the script. patience bounds the wait for the views to
// converge, before the script and after it. A timeout before the script is an error; one after it is
// not, and leaves the time in the outcome at 0. The timeline is nil if the fleet did not start.
func (c Case) Play(opts Options, patience time.Duration) (out Outcome, timeline *Timeline, err error) {
	opts.Senders, opts.Seed = c.Script.Senders, c.Script.Seed
	f, err := Start(opts)
	if err != nil {
		return out, nil, err
	}
	defer f.Close()
	if _, ok := f.WaitUntil(patience, AllReachable); !ok {
		return out, f.Timeline, fmt.Errorf("%s: not all senders reached each other: %+v", c.Name, f.Views())
	}
	killed := map[string]bool{}
	for _, k := range c.Killed {
		killed[f.senders[k].Name] = true
	}
	watch := newStateWatch(f, killed)
	finished := make(chan struct{})
	played := make(chan error, 1)
	go func() {
		played <- f.Play(&c.Script)
		close(finished)
	}()
	f.WaitUntil(patience+c.length(), func(list []SenderView) bool {
		watch.observe(list)
		select {
		case <-finished:
			return true
		default:
			return false
		}
	})
	if err := <-played; err != nil {
		return out, f.Timeline, err
	}
	if len(killed) > 0 {
		took, ok := f.WaitUntil(patience, func(list []SenderView) bool { watch.observe(list); return allReportGone(list, killed) })
		if ok {
			out.DetectionTime = max(took+c.length()-c.lastKill(), time.Millisecond)
		}
	} else if took, ok := f.WaitUntil(patience,
		func(list []SenderView) bool { watch.observe(list); return AllReachable(list) }); ok {
		out.ConvergenceTime = max(took, time.Millisecond)
	}
	out.FalselyGone, out.StateChanges = watch.falselyGone, watch.stateChanges
	return out, f.Timeline, nil
}

// length is the duration of the script.
func (c Case) length() time.Duration { return time.Duration(c.Script.For) }

// lastKill returns when the script kills senders for the last time, from its start; 0 if it kills
// none.
func (c Case) lastKill() (at time.Duration) {
	for _, e := range c.Script.Events {
		if e.Action == Kill {
			at = time.Duration(e.At)
		}
	}
	return at
}

// allReportGone reports whether all senders that respond consider all killed ones, given by name,
// gone.
func allReportGone(list []SenderView, killed map[string]bool) bool {
	for _, x := range list {
		if !x.OK {
			continue
		}
		n := 0
		for _, o := range x.Peers {
			if killed[o.Name] && o.State == "gone" {
				n++
			}
		}
		if n < len(killed) {
			return false
		}
	}
	return true
}

// stateWatch counts the state changes that senders report of each other.
type stateWatch struct {
	f                         *Fleet
	killed                    map[string]bool     // names of senders whose states are not counted
	last                      []map[string]string // by reporter's number and name; nil before a report
	falselyGone, stateChanges int                 // as in Outcome
}

// newStateWatch returns a watch over a fleet that has reported no view yet.
func newStateWatch(f *Fleet, killed map[string]bool) *stateWatch {
	return &stateWatch{f: f, killed: killed, last: make([]map[string]string, len(f.senders))}
}

// observe counts the state changes from the previous call on. The first report of a sender about
// another is no change.
func (w *stateWatch) observe(list []SenderView) {
	running := map[string]bool{} // or paused
	for _, s := range w.f.senders {
		running[s.Name] = s.PID() != 0
	}
	for i, x := range list {
		if !x.OK {
			continue
		}
		states := map[string]string{}
		for _, o := range x.Peers {
			states[o.Name] = o.State
			if previous := w.last[i][o.Name]; previous == "" || previous == o.State || w.killed[o.Name] {
				continue
			}
			if o.State == "gone" && running[o.Name] {
				w.falselyGone++
			} else {
				w.stateChanges++
			}
		}
		w.last[i] = states
	}
}
