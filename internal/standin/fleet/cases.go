package fleet

import (
	"fmt"
	"time"
)

// Case is a play whose figures can be compared between engines.
type Case struct {
	Name   string
	Script Script
	Killed []int // those that end for good
}

// Cases are the plays that membership is judged by, over five senders.
func Cases() []Case {
	const n = 5
	sec := func(s float64) Span { return Span(s * float64(time.Second)) }
	link := func(f Faults, from, to []int) Event {
		return Event{At: sec(1), Do: Link, From: from, To: to, Faults: f}
	}
	heal := func(at float64) Event { return Event{At: sec(at), Do: Heal} }
	var out []Case
	add := func(name string, length float64, events ...Event) {
		out = append(out, Case{Name: name, Script: Script{Senders: n, For: sec(length), Events: events}})
	}
	for _, d := range []float64{0.2, 1, 5, 30} {
		for _, who := range [][]int{{1}, {0, 1, 2}} {
			add(fmt.Sprintf("%d paused for %v s", len(who), d), d+3, Event{At: sec(1), Do: Pause, Who: who}, Event{At: sec(1 + d), Do: Resume, Who: who})
		}
	}
	add("one that suspects paused for 5 s", 10, link(Faults{Cut: true}, []int{0}, []int{1}), Event{At: sec(3.5), Do: Pause, Who: []int{1}}, heal(6),
		Event{At: sec(8.5), Do: Resume, Who: []int{1}})
	add("two beside a busy neighbour", 21, Event{At: sec(1), Do: Busy, Who: []int{0, 1}}, Event{At: sec(20), Do: Calm, Who: []int{0, 1}})
	var often []Event
	for i := range 10 {
		often = append(often, Event{At: sec(1 + 6*float64(i)), Do: Pause, Who: []int{1}}, Event{At: sec(4 + 6*float64(i)), Do: Resume, Who: []int{1}})
	}
	add("paused ten times a minute for 3 s", 62, often...)
	for _, p := range []float64{0.01, 0.1, 0.3, 0.5} {
		add(fmt.Sprintf("%.0f%% lost", 100*p), 41, link(Faults{Loss: p}, nil, nil), heal(40))
	}
	late := link(Faults{}, nil, nil)
	late.Delay, late.Jitter = Span(200*time.Millisecond), Span(50*time.Millisecond)
	add("200 ms late, 50 ms jitter", 31, late, heal(30))
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
	add("two killed", 1, Event{At: sec(0.5), Do: Kill, Who: []int{0, 1}})
	out[len(out)-1].Killed = []int{0, 1}
	add("two killed at 10% lost", 1, link(Faults{Loss: 0.1}, nil, nil), Event{At: sec(1), Do: Kill, Who: []int{0, 1}})
	out[len(out)-1].Killed = []int{0, 1}
	all := []int{0, 1, 2, 3, 4}
	add("all killed and started at once", 2, Event{At: sec(0.5), Do: Kill, Who: all}, Event{At: sec(1), Do: Restart, Who: all})
	add("one after another started again", 12, Event{At: sec(0.5), Do: Restart, Who: []int{0}}, Event{At: sec(2.5), Do: Restart, Who: []int{1}},
		Event{At: sec(4.5), Do: Restart, Who: []int{2}}, Event{At: sec(6.5), Do: Restart, Who: []int{3}}, Event{At: sec(8.5), Do: Restart, Who: []int{4}})
	add("started again with an emptied folder", 3, Event{At: sec(0.5), Do: Empty, Who: []int{0}})
	add("started again with an old copy of its folder", 9, Event{At: sec(0.5), Do: Copy, Who: []int{0}}, Event{At: sec(1), Do: Restart, Who: []int{0}},
		Event{At: sec(4), Do: Restart, Who: []int{0}}, Event{At: sec(7), Do: Old, Who: []int{0}})
	return out
}

// Outcome is what came of a case.
type Outcome struct {
	Gone  int           // times that a sender that ran was taken for gone by another
	Flaps int           // other changes of what a sender believes of one that was not touched
	Known time.Duration // until all had the killed ones for gone; 0 if none were, or that did not come about
	Equal time.Duration // from the end of the faults until all views are equal; 0 if they did not become so
}

// Play plays a case over a fleet and looks at the views all the while. Patience is
// how long it waits for views to become equal.
func (c Case) Play(opts Options, patience time.Duration) (out Outcome, line *Timeline, err error) {
	opts.Senders, opts.Seed = c.Script.Senders, c.Script.Seed
	f, err := Start(opts)
	if err != nil {
		return out, nil, err
	}
	defer f.Close()
	if _, ok := f.Until(patience, AllHere); !ok {
		return out, f.Time, fmt.Errorf("%s: the senders did not meet: %+v", c.Name, f.Sees())
	}
	dead := map[string]bool{}
	for _, k := range c.Killed {
		dead[f.senders[k].Name] = true
	}
	watch := newWatch(f, dead)
	over := make(chan struct{})
	played := make(chan error, 1)
	go func() {
		played <- f.Play(&c.Script)
		close(over)
	}()
	f.Until(patience+c.length(), func(list []Seen) bool {
		watch.look(list)
		select {
		case <-over:
			return true
		default:
			return false
		}
	})
	if err := <-played; err != nil {
		return out, f.Time, err
	}
	if len(dead) > 0 {
		took, ok := f.Until(patience, func(list []Seen) bool { watch.look(list); return allGone(list, dead) })
		if ok {
			out.Known = max(took+c.length()-c.lastKill(), time.Millisecond)
		}
	} else if took, ok := f.Until(patience, func(list []Seen) bool { watch.look(list); return AllHere(list) }); ok {
		out.Equal = max(took, time.Millisecond)
	}
	out.Gone, out.Flaps = watch.gone, watch.flaps
	return out, f.Time, nil
}

func (c Case) length() time.Duration { return time.Duration(c.Script.For) }

func (c Case) lastKill() (at time.Duration) {
	for _, e := range c.Script.Events {
		if e.Do == Kill {
			at = time.Duration(e.At)
		}
	}
	return at
}

// allGone says whether all that answer take the dead for gone.
func allGone(list []Seen, dead map[string]bool) bool {
	for _, x := range list {
		if !x.OK {
			continue
		}
		n := 0
		for _, o := range x.Peers {
			if dead[o.Name] && o.State == "gone" {
				n++
			}
		}
		if n < len(dead) {
			return false
		}
	}
	return true
}

// watch counts what senders come to believe.
type watch struct {
	f           *Fleet
	dead        map[string]bool
	last        []map[string]string
	gone, flaps int
}

func newWatch(f *Fleet, dead map[string]bool) *watch {
	return &watch{f: f, dead: dead, last: make([]map[string]string, len(f.senders))}
}

func (w *watch) look(list []Seen) {
	runs := map[string]bool{} // or is paused
	for _, s := range w.f.senders {
		runs[s.Name] = s.PID() != 0
	}
	for i, x := range list {
		if !x.OK {
			continue
		}
		now := map[string]string{}
		for _, o := range x.Peers {
			now[o.Name] = o.State
			if was := w.last[i][o.Name]; was == "" || was == o.State || w.dead[o.Name] {
				continue
			}
			if o.State == "gone" && runs[o.Name] {
				w.gone++
			} else {
				w.flaps++
			}
		}
		w.last[i] = now
	}
}
