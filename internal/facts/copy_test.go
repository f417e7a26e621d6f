package facts

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func wait(ep string) Subject   { return Subject{RequestedWait, "acme", ep} }
func health(ep string) Subject { return Subject{Health, "acme", ep} }

// world is some copies, each on a clock of its own, and what they have sent.
type world struct {
	now     Time
	copies  []*Replica
	offsets []Time
	lost    []sent
	ends    map[Dot]Time // of waits, in true time
}

type sent struct {
	delta Delta
	at    Time
}

func (w *world) local(i int) Time { return w.now + w.offsets[i] }

func newWorld(n int) *world {
	w := &world{now: 1000 * sec, ends: map[Dot]Time{}}
	for i := range n {
		w.copies = append(w.copies, New(Origin{fmt.Sprint("s", i), uint64(i + 1)}, fmt.Sprint("z", i%2), 0))
		w.offsets = append(w.offsets, Time(i)*77*sec)
	}
	return w
}

// Copies that are joined in any order, with deltas lost, doubled, late and passed on
// by others, come to be equal once each has heard each other; their sums agree; no
// wait ends earlier in any of them than it was told; and what has ended comes back
// in none.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "copies")
		w := newWorld(n)
		pick := func(name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		pull := func(from, to int) { // and lose some of it
			for _, r := range w.copies[from].Digest() {
				since := w.copies[to].Watermark(r.Origin)
				if rapid.IntRange(0, 3).Draw(t, "anew") == 0 {
					since = 0
				}
				d := w.copies[from].DeltaSince(w.local(from), r.Origin, since, rapid.IntRange(1, 400).Draw(t, "bytes"))
				w.lost = append(w.lost, sent{d, w.now})
				if rapid.Bool().Draw(t, "comes") {
					w.copies[to].Merge(w.local(to), &d, 0)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				i := pick("teller")
				span := Time(rapid.IntRange(1, 20).Draw(t, "for")) * sec
				s := Subject{Kind(rapid.IntRange(1, 2).Draw(t, "kind")), "acme", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint"))}
				if err := w.copies[i].Publish(w.local(i), s, Value{InOutage: s.Kind == Health}, 0, span); err != nil {
					t.Fatal(err)
				}
				own, seq := w.copies[i].LocalVersion()
				w.ends[Dot{own, seq}] = w.now + span
			case 2:
				pull(pick("from"), pick("to"))
			case 3:
				if len(w.lost) > 0 { // late or doubled
					x := rapid.SampledFrom(w.lost).Draw(t, "old")
					i := pick("to")
					if _, err := w.copies[i].Merge(w.local(i), &x.delta, w.now-x.at); err != nil {
						t.Fatal(err)
					}
				}
			case 4:
				w.now += Time(rapid.IntRange(0, 6).Draw(t, "later")) * sec
				i := pick("expires")
				w.copies[i].Expire(w.local(i))
			}
			for i, c := range w.copies {
				for _, list := range c.subject {
					for _, e := range list {
						if early := w.ends[e.dot()] - (e.end() - w.offsets[i]); early > 0 {
							t.Fatalf("copy %d has %v end %v early", i, e.dot(), early)
						}
					}
				}
			}
		}
		for range n + 1 {
			for i := range n {
				for k := range n {
					for _, r := range w.copies[i].Digest() {
						for range 200 {
							if lacks, _ := w.copies[k].Compare(r); !lacks {
								break
							}
							d := w.copies[i].DeltaSince(w.local(i), r.Origin, w.copies[k].Watermark(r.Origin), 500)
							if _, err := w.copies[k].Merge(w.local(k), &d, 0); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
		}
		for i := range n {
			w.copies[i].Expire(w.local(i))
		}
		for k := 1; k < n; k++ {
			a, b := w.says(0), w.says(k)
			if !slices.Equal(a, b) {
				t.Fatalf("copy 0 holds %v, copy %d %v", a, k, b)
			}
			if w.copies[k].Repairs > 0 {
				t.Fatal("equal numbers, unequal sums")
			}
		}
	})
}

// says is what a copy holds that is not over, by dot.
func (w *world) says(i int) (out []string) {
	for _, s := range w.copies[i].List(w.local(i), "", 1000) {
		if w.ends[Dot{s.Origin, s.Seq}] > w.now { // late copies may hold it a little longer
			out = append(out, fmt.Sprint(s.Subject, s.Origin, s.Seq))
		}
	}
	slices.Sort(out)
	return out
}

// exchange has all copies know all.
func (w *world) exchange() {
	for range 2 {
		for i, c := range w.copies {
			for _, r := range c.Digest() {
				for k, to := range w.copies {
					d := c.DeltaSince(w.local(i), r.Origin, to.Watermark(r.Origin), 1<<20)
					to.Merge(w.local(k), &d, 0)
				}
			}
		}
	}
}

func (w *world) learn(i int, s Subject) Observation {
	list := w.copies[i].Observe(w.local(i), []Subject{s})
	if len(list) == 0 {
		return Observation{}
	}
	return list[0]
}

// Of two waits the longer holds, whichever comes first; each is told once.
func TestWaits(t *testing.T) {
	w := newWorld(3)
	w.copies[0].Publish(w.local(0), wait("a"), Value{}, 0, 3*sec)
	w.copies[1].Publish(w.local(1), wait("a"), Value{}, 2*sec, 10*sec)
	w.exchange()
	if l := w.learn(2, wait("a")); l.Remaining != 8*sec || l.Source != "s1" {
		t.Errorf("%+v", l)
	}
	if l := w.learn(2, wait("a")); l.Remaining != 0 {
		t.Errorf("told twice: %+v", l)
	}
	if l := w.learn(1, wait("a")); l.Remaining != 3*sec { // its own it knows
		t.Errorf("%+v", l)
	}
}

// Out stands against an answer to a call that was begun before it was known, and
// against one from another zone; and is over with one that was begun after.
func TestOutAndBack(t *testing.T) {
	w := newWorld(5) // zones z0: 0, 2, 4; z1: 1, 3
	s := health("a")
	mark := w.learn(2, s).Mark
	w.copies[0].Publish(w.local(0), s, Value{InOutage: true}, 0, 60*sec)
	w.exchange()
	for i := 1; i < 5; i++ {
		if l := w.learn(i, s); !l.OutageReported || l.Source != "s0" {
			t.Fatalf("%d: %+v", i, l)
		}
	}
	w.copies[2].Publish(w.local(2), s, Value{Refutes: w.copies[2].ObservedOutages(s, mark)}, 0, 60*sec)
	w.exchange()
	if l := w.learn(4, s); l.OutageEnded {
		t.Error("an answer to a call from before has ended it")
	}
	w.copies[3].Publish(w.local(3), s, Value{Refutes: w.copies[3].ObservedOutages(s, math.MaxUint64)}, 0, 60*sec)
	w.exchange()
	if l := w.learn(1, s); !l.OutageEnded {
		t.Errorf("in the zone of the answer: %+v", l)
	}
	if l := w.learn(4, s); l.OutageEnded {
		t.Error("an answer in another zone has ended it")
	}
	w.copies[4].Publish(w.local(4), s, Value{InOutage: true}, 0, 60*sec) // found out once more, at the same time as
	w.copies[2].Publish(w.local(2), s, Value{Refutes: w.copies[2].ObservedOutages(s, math.MaxUint64)}, 0, 60*sec)
	w.exchange()
	if l := w.learn(2, s); !l.OutageReported || l.Source != "s4" {
		t.Errorf("what was found out beside the answer: %+v", l)
	}
	w.now += 61 * sec
	for i, c := range w.copies {
		lost := c.Expire(w.local(i))
		c.Observe(w.local(i), lost)
		if c.Len() != 0 || len(c.told) != 0 {
			t.Errorf("%d holds %d facts, %d told, after their ends", i, c.Len(), len(c.told))
		}
	}
}

// A fact that no sender can have made changes nothing; one of a kind that is not
// known is kept and passed on.
func TestForged(t *testing.T) {
	good := Fact{Seq: 1, Subject: wait("a"), TTL: sec}
	with := func(f func(d *Delta)) *Delta {
		d := &Delta{Origin: Origin{"x", 9}, UpTo: 1, ConsistentAt: 1, Facts: []Fact{good}}
		f(d)
		return d
	}
	fact := func(f func(*Fact)) *Delta { return with(func(d *Delta) { f(&d.Facts[0]) }) }
	for name, d := range map[string]*Delta{
		"no number":       fact(func(f *Fact) { f.Seq = 0 }),
		"no kind":         fact(func(f *Fact) { f.Subject.Kind = 0 }),
		"no partner":      fact(func(f *Fact) { f.Subject.Partner = "" }),
		"a long name":     fact(func(f *Fact) { f.Subject.Endpoint = string(make([]byte, MaxNameBytes+1)) }),
		"no end":          fact(func(f *Fact) { f.TTL = MaxTTL + 1 }),
		"over at once":    fact(func(f *Fact) { f.TTL = 0 }),
		"from the future": fact(func(f *Fact) { f.MinAge = -1 }),
		"ages crossed":    fact(func(f *Fact) { f.MinAge, f.MaxAge = 2, 1 }),
		"many covers":     fact(func(f *Fact) { f.Value.Refutes = make([]Dot, MaxRefutedDots+1) }),
		"much more":       fact(func(f *Fact) { f.Value.Opaque = make([]byte, MaxOpaqueBytes+1) }),
		"no origin":       with(func(d *Delta) { d.Origin.Name = "" }),
		"no life":         with(func(d *Delta) { d.Origin.Incarnation = 0 }),
		"over its end":    with(func(d *Delta) { d.UpTo = 0 }),
		"drawn from less": with(func(d *Delta) { d.ConsistentAt = 0 }),
		"floor over all":  with(func(d *Delta) { d.Floor = 2 }),
		"back in order":   with(func(d *Delta) { d.UpTo, d.ConsistentAt, d.Facts = 3, 3, append(d.Facts, good) }),
	} {
		c := New(Origin{"a", 1}, "", 0)
		if _, err := c.Merge(sec, d, 0); !errors.Is(err, ErrInvalid) || c.Len() != 0 || c.Watermark(d.Origin) != 0 {
			t.Errorf("%s: %v, %d facts", name, err, c.Len())
		}
	}
	a, b := New(Origin{"a", 1}, "", 0), New(Origin{"b", 1}, "", 0)
	d := fact(func(f *Fact) { f.Subject.Kind, f.Value.Opaque = 200, []byte("later") })
	if _, err := a.Merge(sec, d, 0); err != nil {
		t.Fatal(err)
	}
	on := a.DeltaSince(sec, d.Origin, 0, 1<<20)
	if _, err := b.Merge(sec, &on, 0); err != nil || b.Len() != 1 || string(on.Facts[0].Value.Opaque) != "later" {
		t.Errorf("%v, %+v", err, on)
	}
}

// Two copies that know the same numbers and differ, by a fault, are made equal.
func TestRepair(t *testing.T) {
	w := newWorld(3)
	w.copies[0].Publish(w.local(0), wait("a"), Value{}, 0, 9*sec)
	w.copies[0].Publish(w.local(0), wait("b"), Value{}, 0, 9*sec)
	w.exchange()
	own, _ := w.copies[0].LocalVersion()
	o := w.copies[1].origins[own]
	w.copies[1].remove(o, o.facts[wait("a")])
	for _, r := range w.copies[2].Digest() {
		w.copies[1].Compare(r)
	}
	w.exchange()
	if w.copies[1].Repairs != 1 || !slices.Equal(w.says(1), w.says(2)) {
		t.Errorf("%d repairs; %v, %v", w.copies[1].Repairs, w.says(1), w.says(2))
	}
}

// A copy that had a part of a later giver's facts, and then all of an earlier giver's,
// says that it is not as the origin was until it has what the part was drawn from.
// Nobody else writes a sender's own facts.
func TestDrawnFrom(t *testing.T) {
	a, b, c, d := New(Origin{"a", 1}, "", 0), New(Origin{"b", 2}, "", 0), New(Origin{"c", 3}, "", 0), New(Origin{"d", 4}, "", 0)
	own, _ := a.LocalVersion()
	pass := func(from, to *Replica, since uint64, bytes int) {
		x := from.DeltaSince(sec, own, since, bytes)
		if _, err := to.Merge(sec, &x, 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, ep := range []string{"x", "y", "z"} {
		a.Publish(sec, wait(ep), Value{}, 0, 9*sec)
	}
	pass(a, b, 0, 1<<20) // b knows 1 to 3
	a.Publish(sec, wait("x"), Value{}, 0, 9*sec)
	pass(a, c, 0, 1)     // c knows 1 to 2 as they are by now: x is told anew, as number 4
	pass(b, c, 2, 1<<20) // and 3
	if row := c.Digest()[0]; row.Watermark != 3 || row.Checksum != 0 {
		t.Errorf("%+v; its sum may not count", row)
	}
	pass(a, c, 3, 1<<20)
	pass(a, d, 0, 1<<20)
	if x, y := c.Digest()[0], d.Digest()[0]; x != y || x.Checksum == 0 {
		t.Errorf("%+v, %+v", x, y)
	}
	forged := Delta{Origin: own, UpTo: 99, ConsistentAt: 99, Facts: []Fact{{Seq: 99, Subject: wait("q"), TTL: sec}}}
	if list, _ := a.Merge(sec, &forged, 0); len(list) != 0 || a.Len() != 3 {
		t.Errorf("another has written facts of a: %v", list)
	}
}

// What one sender tells is bounded: of 10,000 changes of ten subjects ten stand, ended
// facts beneath one that lasts are dropped, and a copy refuses what it has no room for.
func TestBounds(t *testing.T) {
	c := New(Origin{"a", 1}, "", 0)
	now := sec
	c.Publish(now, Subject{RequestedWait, "long", ""}, Value{}, 0, time.Hour)
	for i := range 10_000 {
		now += time.Millisecond
		c.Publish(now, wait(fmt.Sprint(i%10)), Value{}, 0, sec)
	}
	if c.Len() != 11 || len(c.own.order) > 100 {
		t.Errorf("%d facts in %d places", c.Len(), len(c.own.order))
	}
	for i := range 3000 {
		now += 10 * time.Millisecond
		c.Publish(now, wait(fmt.Sprint("x", i)), Value{}, 0, sec)
		c.Expire(now)
	}
	if c.Len() > 1200 {
		t.Errorf("%d facts, of which about 100 hold", c.Len())
	}
	for i := range MaxOwnFacts + 10 {
		c.Publish(now, wait(fmt.Sprint("y", i)), Value{}, 0, time.Hour)
	}
	if c.Len() > MaxOwnFacts || c.Dropped == 0 {
		t.Errorf("%d facts, %d dropped", c.Len(), c.Dropped)
	}
}

// Of those who find an endpoint out one has the turn to try it, and the others try it
// a quarter as often, all together. Turns are spread over the senders, and only those of one
// that goes move. Whom the turn comes to hears of it.
func TestTurns(t *testing.T) {
	const n, endpoints = 8, 400
	w := newWorld(n)
	holders := func() (out []int) { // by endpoint
		for k := range endpoints {
			holder, others := -1, 0
			for i, c := range w.copies {
				switch turn := c.turn(w.local(i), health(fmt.Sprint(k))); {
				case turn != 1:
					others += 1000 / turn
				case holder >= 0:
					t.Fatalf("endpoint %d is the turn of %d and of %d", k, holder, i)
				default:
					holder = i
				}
			}
			if holder < 0 || others > 250 {
				t.Fatalf("endpoint %d: the turn is that of %d; all others try it %d times in a thousand", k, holder, others)
			}
			out = append(out, holder)
		}
		return out
	}
	for i, c := range w.copies {
		for k := range endpoints {
			c.Publish(w.local(i), health(fmt.Sprint(k)), Value{InOutage: true}, 0, 60*sec)
		}
	}
	w.exchange()
	before, each := holders(), make([]int, n)
	for _, i := range before {
		each[i]++
	}
	if slices.Max(each) > 2*endpoints/n || slices.Min(each) < endpoints/n/2 {
		t.Errorf("turns: %v", each)
	}
	for i, c := range w.copies {
		for k := range endpoints {
			c.Observe(w.local(i), []Subject{health(fmt.Sprint(k))})
		}
	}
	w.now += 50 * sec
	for i, c := range w.copies[1:] { // sender 0 says so no more
		for k := range endpoints {
			c.Publish(w.local(i+1), health(fmt.Sprint(k)), Value{InOutage: true}, 0, 60*sec)
		}
	}
	w.exchange()
	w.now += 11 * sec
	for k := range endpoints {
		s := health(fmt.Sprint(k))
		is := -1
		for i, c := range w.copies[1:] {
			if c.turn(w.local(i+1), s) == 1 {
				is = i + 1
			}
		}
		if before[k] != 0 && is != before[k] || is < 0 {
			t.Fatalf("endpoint %d: the turn of %d is now that of %d", k, before[k], is)
		}
		if list := w.copies[is].Observe(w.local(is), []Subject{s}); before[k] == 0 && (len(list) != 1 || list[0].TrialSpacing != 1) {
			t.Fatalf("endpoint %d: the turn has come to %d, which hears %+v", k, is, list)
		}
	}
}
