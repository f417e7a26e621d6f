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

func waitSubject(ep string) Subject   { return Subject{RequestedWait, "acme", ep} }
func healthSubject(ep string) Subject { return Subject{Health, "acme", ep} }

// replicaSet holds replicas, each with a clock of its own, and the deltas they have sent.
type replicaSet struct {
	now      Time
	replicas []*Replica
	offsets  []Time
	sent     []sentDelta
	ends     map[Dot]Time // of waits, in true time
}

// sentDelta is a delta and the true time at which it was sent.
type sentDelta struct {
	delta Delta
	at    Time
}

// local returns the time on the clock of replica i.
func (rs *replicaSet) local(i int) Time { return rs.now + rs.offsets[i] }

// newReplicaSet returns n replicas in two zones.
func newReplicaSet(n int) *replicaSet {
	rs := &replicaSet{now: 1000 * sec, ends: map[Dot]Time{}}
	for i := range n {
		rs.replicas = append(rs.replicas, New(Origin{fmt.Sprint("s", i), uint64(i + 1)}, fmt.Sprint("z", i%2), 0))
		rs.offsets = append(rs.offsets, Time(i)*77*sec)
	}
	return rs
}

// TestMerge merges replicas in random order, with deltas that are lost, duplicated, late or
// forwarded. The replicas must become equal, with equal checksums, once each has exchanged
// deltas with each other; no wait may end in a replica before its true end, and no expired
// fact may reappear.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "replicas")
		rs := newReplicaSet(n)
		pick := func(name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		pull := func(from, to int) { // some deltas are lost
			for _, row := range rs.replicas[from].Digest() {
				since := rs.replicas[to].Watermark(row.Origin)
				if rapid.IntRange(0, 3).Draw(t, "from start") == 0 {
					since = 0
				}
				d := rs.replicas[from].DeltaSince(rs.local(from), row.Origin, since, rapid.IntRange(1, 400).Draw(t, "bytes"))
				rs.sent = append(rs.sent, sentDelta{d, rs.now})
				if rapid.Bool().Draw(t, "arrives") {
					rs.replicas[to].Merge(rs.local(to), &d, 0)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				i := pick("publisher")
				ttl := Time(rapid.IntRange(1, 20).Draw(t, "ttl")) * sec
				s := Subject{Kind(rapid.IntRange(1, 2).Draw(t, "kind")), "acme",
					fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint"))}
				if err := rs.replicas[i].Publish(rs.local(i), s, Value{InOutage: s.Kind == Health}, 0, ttl); err != nil {
					t.Fatal(err)
				}
				own, seq := rs.replicas[i].LocalVersion()
				rs.ends[Dot{own, seq}] = rs.now + ttl
			case 2:
				pull(pick("from"), pick("to"))
			case 3:
				if len(rs.sent) > 0 { // late or duplicated
					old := rapid.SampledFrom(rs.sent).Draw(t, "old")
					i := pick("to")
					if _, err := rs.replicas[i].Merge(rs.local(i), &old.delta, rs.now-old.at); err != nil {
						t.Fatal(err)
					}
				}
			case 4:
				rs.now += Time(rapid.IntRange(0, 6).Draw(t, "advance")) * sec
				i := pick("expires")
				rs.replicas[i].Expire(rs.local(i))
			}
			for i, r := range rs.replicas {
				for _, list := range r.bySubject {
					for _, e := range list {
						if early := rs.ends[e.dot()] - (e.expiry() - rs.offsets[i]); early > 0 {
							t.Fatalf("replica %d: %v expires %v early", i, e.dot(), early)
						}
					}
				}
			}
		}
		for range n + 1 {
			for i := range n {
				for k := range n {
					for _, row := range rs.replicas[i].Digest() {
						for range 200 {
							if lacks, _ := rs.replicas[k].Compare(row); !lacks {
								break
							}
							d := rs.replicas[i].DeltaSince(rs.local(i), row.Origin, rs.replicas[k].Watermark(row.Origin), 500)
							if _, err := rs.replicas[k].Merge(rs.local(k), &d, 0); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
		}
		for i := range n {
			rs.replicas[i].Expire(rs.local(i))
		}
		for k := 1; k < n; k++ {
			a, b := rs.facts(0), rs.facts(k)
			if !slices.Equal(a, b) {
				t.Fatalf("replica 0 holds %v, replica %d holds %v", a, k, b)
			}
			if rs.replicas[k].Repairs > 0 {
				t.Fatal("equal watermarks, but different checksums")
			}
		}
	})
}

// facts lists the dots of the unexpired facts in replica i.
func (rs *replicaSet) facts(i int) (out []string) {
	for _, s := range rs.replicas[i].List(rs.local(i), "", 1000) {
		if rs.ends[Dot{s.Origin, s.Seq}] > rs.now { // a replica may keep it a little longer after late deltas
			out = append(out, fmt.Sprint(s.Subject, s.Origin, s.Seq))
		}
	}
	slices.Sort(out)
	return out
}

// exchange sends the facts of each replica to all others.
func (rs *replicaSet) exchange() {
	for range 2 {
		for i, r := range rs.replicas {
			for _, row := range r.Digest() {
				for k, to := range rs.replicas {
					d := r.DeltaSince(rs.local(i), row.Origin, to.Watermark(row.Origin), 1<<20)
					to.Merge(rs.local(k), &d, 0)
				}
			}
		}
	}
}

// observe returns the new observation of replica i about a subject.
func (rs *replicaSet) observe(i int, s Subject) Observation {
	list := rs.replicas[i].Observe(rs.local(i), []Subject{s})
	if len(list) == 0 {
		return Observation{}
	}
	return list[0]
}

// TestWaits checks that the longer of two waits decides, whichever arrives first, and that
// each is reported once.
func TestWaits(t *testing.T) {
	rs := newReplicaSet(3)
	rs.replicas[0].Publish(rs.local(0), waitSubject("a"), Value{}, 0, 3*sec)
	rs.replicas[1].Publish(rs.local(1), waitSubject("a"), Value{}, 2*sec, 10*sec)
	rs.exchange()
	if l := rs.observe(2, waitSubject("a")); l.Remaining != 8*sec || l.Source != "s1" {
		t.Errorf("%+v", l)
	}
	if l := rs.observe(2, waitSubject("a")); l.Remaining != 0 {
		t.Errorf("reported twice: %+v", l)
	}
	if l := rs.observe(1, waitSubject("a")); l.Remaining != 3*sec { // its own fact is left out
		t.Errorf("%+v", l)
	}
}

// TestOutageAndRecovery checks that an outage is not ended by an answer to a call that began
// before the outage was known, nor by an answer in another zone, and that it is ended by an
// answer in the same zone to a call that began later.
func TestOutageAndRecovery(t *testing.T) {
	rs := newReplicaSet(5) // zones z0: 0, 2, 4; z1: 1, 3
	s := healthSubject("a")
	mark := rs.observe(2, s).Mark
	rs.replicas[0].Publish(rs.local(0), s, Value{InOutage: true}, 0, 60*sec)
	rs.exchange()
	for i := 1; i < 5; i++ {
		if l := rs.observe(i, s); !l.OutageReported || l.Source != "s0" {
			t.Fatalf("%d: %+v", i, l)
		}
	}
	rs.replicas[2].Publish(rs.local(2), s, Value{Refutes: rs.replicas[2].ObservedOutages(s, mark)}, 0, 60*sec)
	rs.exchange()
	if l := rs.observe(4, s); l.OutageEnded {
		t.Error("an answer to a call that began before the report has ended the outage")
	}
	rs.replicas[3].Publish(rs.local(3), s, Value{Refutes: rs.replicas[3].ObservedOutages(s, math.MaxUint64)}, 0, 60*sec)
	rs.exchange()
	if l := rs.observe(1, s); !l.OutageEnded {
		t.Errorf("the answer has not ended the outage in its own zone: %+v", l)
	}
	if l := rs.observe(4, s); l.OutageEnded {
		t.Error("an answer in another zone has ended the outage")
	}
	// A new outage report concurrent with an answer.
	rs.replicas[4].Publish(rs.local(4), s, Value{InOutage: true}, 0, 60*sec)
	rs.replicas[2].Publish(rs.local(2), s, Value{Refutes: rs.replicas[2].ObservedOutages(s, math.MaxUint64)}, 0, 60*sec)
	rs.exchange()
	if l := rs.observe(2, s); !l.OutageReported || l.Source != "s4" {
		t.Errorf("the outage reported concurrently with the answer: %+v", l)
	}
	rs.now += 61 * sec
	for i, r := range rs.replicas {
		changed := r.Expire(rs.local(i))
		r.Observe(rs.local(i), changed)
		if r.Len() != 0 || len(r.reported) != 0 {
			t.Errorf("replica %d holds %d facts and %d reported subjects after all have expired", i, r.Len(), len(r.reported))
		}
	}
}

// TestInvalid checks that an invalid fact or delta changes nothing, and that a fact of an
// unknown kind is stored and forwarded.
func TestInvalid(t *testing.T) {
	good := Fact{Seq: 1, Subject: waitSubject("a"), TTL: sec}
	deltaWith := func(f func(d *Delta)) *Delta {
		d := &Delta{Origin: Origin{"x", 9}, UpTo: 1, ConsistentAt: 1, Facts: []Fact{good}}
		f(d)
		return d
	}
	factWith := func(f func(*Fact)) *Delta { return deltaWith(func(d *Delta) { f(&d.Facts[0]) }) }
	for name, d := range map[string]*Delta{
		"no sequence number":    factWith(func(f *Fact) { f.Seq = 0 }),
		"no kind":               factWith(func(f *Fact) { f.Subject.Kind = 0 }),
		"no partner":            factWith(func(f *Fact) { f.Subject.Partner = "" }),
		"name too long":         factWith(func(f *Fact) { f.Subject.Endpoint = string(make([]byte, MaxNameBytes+1)) }),
		"TTL too long":          factWith(func(f *Fact) { f.TTL = MaxTTL + 1 }),
		"no TTL":                factWith(func(f *Fact) { f.TTL = 0 }),
		"negative age":          factWith(func(f *Fact) { f.MinAge = -1 }),
		"MinAge above MaxAge":   factWith(func(f *Fact) { f.MinAge, f.MaxAge = 2, 1 }),
		"too many refuted dots": factWith(func(f *Fact) { f.Value.Refutes = make([]Dot, MaxRefutedDots+1) }),
		"opaque value too long": factWith(func(f *Fact) { f.Value.Opaque = make([]byte, MaxOpaqueBytes+1) }),
		"no origin":             deltaWith(func(d *Delta) { d.Origin.Name = "" }),
		"no incarnation":        deltaWith(func(d *Delta) { d.Origin.Incarnation = 0 }),
		"fact above UpTo":       deltaWith(func(d *Delta) { d.UpTo = 0 }),
		"ConsistentAt too low":  deltaWith(func(d *Delta) { d.ConsistentAt = 0 }),
		"floor above UpTo":      deltaWith(func(d *Delta) { d.Floor = 2 }),
		"facts not in order":    deltaWith(func(d *Delta) { d.UpTo, d.ConsistentAt, d.Facts = 3, 3, append(d.Facts, good) }),
	} {
		r := New(Origin{"a", 1}, "", 0)
		if _, err := r.Merge(sec, d, 0); !errors.Is(err, ErrInvalid) || r.Len() != 0 || r.Watermark(d.Origin) != 0 {
			t.Errorf("%s: %v, %d facts", name, err, r.Len())
		}
	}
	a, b := New(Origin{"a", 1}, "", 0), New(Origin{"b", 1}, "", 0)
	d := factWith(func(f *Fact) { f.Subject.Kind, f.Value.Opaque = 200, []byte("later") })
	if _, err := a.Merge(sec, d, 0); err != nil {
		t.Fatal(err)
	}
	forwarded := a.DeltaSince(sec, d.Origin, 0, 1<<20)
	if _, err := b.Merge(sec, &forwarded, 0); err != nil || b.Len() != 1 ||
		string(forwarded.Facts[0].Value.Opaque) != "later" {
		t.Errorf("%v, %+v", err, forwarded)
	}
}

// TestRepair checks that two replicas with equal watermarks that differ by a fault become
// equal again.
func TestRepair(t *testing.T) {
	rs := newReplicaSet(3)
	rs.replicas[0].Publish(rs.local(0), waitSubject("a"), Value{}, 0, 9*sec)
	rs.replicas[0].Publish(rs.local(0), waitSubject("b"), Value{}, 0, 9*sec)
	rs.exchange()
	own, _ := rs.replicas[0].LocalVersion()
	o := rs.replicas[1].origins[own]
	rs.replicas[1].remove(o, o.facts[waitSubject("a")])
	for _, r := range rs.replicas[2].Digest() {
		rs.replicas[1].Compare(r)
	}
	rs.exchange()
	if rs.replicas[1].Repairs != 1 || !slices.Equal(rs.facts(1), rs.facts(2)) {
		t.Errorf("%d repairs; %v, %v", rs.replicas[1].Repairs, rs.facts(1), rs.facts(2))
	}
}

// TestConsistentAt checks that a replica has no checksum while it mixes deltas of two
// states: some facts of a later state of the origin, then the rest from a replica with an
// earlier state, up to the watermark of the later one. It also checks that no other replica
// can write a sender's own facts.
func TestConsistentAt(t *testing.T) {
	a, b, c, d := New(Origin{"a", 1}, "", 0), New(Origin{"b", 2}, "", 0), New(Origin{"c", 3}, "", 0),
		New(Origin{"d", 4}, "", 0)
	own, _ := a.LocalVersion()
	pass := func(from, to *Replica, since uint64, bytes int) {
		delta := from.DeltaSince(sec, own, since, bytes)
		if _, err := to.Merge(sec, &delta, 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, ep := range []string{"x", "y", "z"} {
		a.Publish(sec, waitSubject(ep), Value{}, 0, 9*sec)
	}
	pass(a, b, 0, 1<<20) // b has 1 to 3
	a.Publish(sec, waitSubject("x"), Value{}, 0, 9*sec)
	pass(a, c, 0, 1)     // c has 1 to 2 of the state at 4, in which x is replaced
	pass(b, c, 2, 1<<20) // and 3 of the state at 3
	if row := c.Digest()[0]; row.Watermark != 3 || row.Checksum != 0 {
		t.Errorf("%+v; its checksum must be 0", row)
	}
	pass(a, c, 3, 1<<20)
	pass(a, d, 0, 1<<20)
	if x, y := c.Digest()[0], d.Digest()[0]; x != y || x.Checksum == 0 {
		t.Errorf("%+v, %+v", x, y)
	}
	forged := Delta{Origin: own, UpTo: 99, ConsistentAt: 99,
		Facts: []Fact{{Seq: 99, Subject: waitSubject("q"), TTL: sec}}}
	if list, _ := a.Merge(sec, &forged, 0); len(list) != 0 || a.Len() != 3 {
		t.Errorf("another replica has written facts of a: %v", list)
	}
}

// TestBounds checks that the facts of one sender are bounded: 10,000 changes of ten subjects
// leave ten facts, expired facts above one that has not expired are removed, and own facts
// beyond the limit are dropped.
func TestBounds(t *testing.T) {
	r := New(Origin{"a", 1}, "", 0)
	now := sec
	r.Publish(now, Subject{RequestedWait, "long", ""}, Value{}, 0, time.Hour)
	for i := range 10_000 {
		now += time.Millisecond
		r.Publish(now, waitSubject(fmt.Sprint(i%10)), Value{}, 0, sec)
	}
	if r.Len() != 11 || len(r.own.bySeq) > 100 {
		t.Errorf("%d facts in %d entries", r.Len(), len(r.own.bySeq))
	}
	for i := range 3000 {
		now += 10 * time.Millisecond
		r.Publish(now, waitSubject(fmt.Sprint("x", i)), Value{}, 0, sec)
		r.Expire(now)
	}
	if r.Len() > 1200 {
		t.Errorf("%d facts, of which about 100 have not expired", r.Len())
	}
	for i := range MaxOwnFacts + 10 {
		r.Publish(now, waitSubject(fmt.Sprint("y", i)), Value{}, 0, time.Hour)
	}
	if r.Len() > MaxOwnFacts || r.Dropped == 0 {
		t.Errorf("%d facts, %d dropped", r.Len(), r.Dropped)
	}
}

// TestTrialOwners checks that one of the senders that report an endpoint in outage owns its
// trials, and that all others together try it at most a quarter as often. Owners must be
// spread over the senders, change only for the endpoints of a sender that stops reporting,
// and observe that they became owners.
func TestTrialOwners(t *testing.T) {
	const n, endpoints = 8, 400
	rs := newReplicaSet(n)
	owners := func() (out []int) { // by endpoint
		for k := range endpoints {
			owner, others := -1, 0
			for i, r := range rs.replicas {
				switch spacing := r.trialSpacing(rs.local(i), healthSubject(fmt.Sprint(k))); {
				case spacing != 1:
					others += 1000 / spacing
				case owner >= 0:
					t.Fatalf("endpoint %d has two trial owners, %d and %d", k, owner, i)
				default:
					owner = i
				}
			}
			if owner < 0 || others > 250 {
				t.Fatalf("endpoint %d: owner %d; all others make %d trials per thousand of the owner", k, owner, others)
			}
			out = append(out, owner)
		}
		return out
	}
	for i, r := range rs.replicas {
		for k := range endpoints {
			r.Publish(rs.local(i), healthSubject(fmt.Sprint(k)), Value{InOutage: true}, 0, 60*sec)
		}
	}
	rs.exchange()
	before, each := owners(), make([]int, n)
	for _, i := range before {
		each[i]++
	}
	if slices.Max(each) > 2*endpoints/n || slices.Min(each) < endpoints/n/2 {
		t.Errorf("endpoints by owner: %v", each)
	}
	for i, r := range rs.replicas {
		for k := range endpoints {
			r.Observe(rs.local(i), []Subject{healthSubject(fmt.Sprint(k))})
		}
	}
	rs.now += 50 * sec
	for i, r := range rs.replicas[1:] { // sender 0 stops reporting
		for k := range endpoints {
			r.Publish(rs.local(i+1), healthSubject(fmt.Sprint(k)), Value{InOutage: true}, 0, 60*sec)
		}
	}
	rs.exchange()
	rs.now += 11 * sec
	for k := range endpoints {
		s := healthSubject(fmt.Sprint(k))
		owner := -1
		for i, r := range rs.replicas[1:] {
			if r.trialSpacing(rs.local(i+1), s) == 1 {
				owner = i + 1
			}
		}
		if before[k] != 0 && owner != before[k] || owner < 0 {
			t.Fatalf("endpoint %d: its owner was %d and is now %d", k, before[k], owner)
		}
		if list := rs.replicas[owner].Observe(rs.local(owner), []Subject{s}); before[k] == 0 &&
			(len(list) != 1 || list[0].TrialSpacing != 1) {
			t.Fatalf("endpoint %d: its new owner %d observes %+v", k, owner, list)
		}
	}
}
