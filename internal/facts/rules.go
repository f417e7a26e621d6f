package facts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// What holds of a subject, where senders say different things of it.

// Observation is what others have learnt, as far as this sender is to know it. Of the
// fields after Subject those of its kind are set.
type Observation struct {
	Subject
	Remaining      Time // Wait: until its end
	OutageReported bool // Health: somebody has found it out, and nobody here has had an answer since
	OutageEnded    bool // Health: that holds no longer
	// TrialSpacing, of Health, is how many times more rarely than one alone this sender is to try
	// the endpoint, as others try it too: 1 for the one whose turn it is.
	TrialSpacing int
	Source       string // who has it from the partner
	// Mark is to be given back with what this sender finds itself; see [Replica.ObservedOutages].
	Mark uint64
}

// told is what was last told of a subject.
type told struct {
	wait Time
	mark uint64
	out  bool
	turn int
}

// othersTry is how many times more rarely all others together try an endpoint that is
// out than the one whose turn it is: in case that one does not.
const othersTry = 4

// turn is how rarely this sender is to try an endpoint that some find out.
func (c *Replica) turn(now Time, s Subject) int {
	holder, n := c.holder(now, s)
	if n == 0 || holder == c.own.Name {
		return 1
	}
	return othersTry * n
}

// holder is who has the turn to try an endpoint, and how many find it out: of those the
// first by a hash of its name and the endpoint's, so that each has it for some
// endpoints, and it moves only as those who find it out come and go.
func (c *Replica) holder(now Time, s Subject) (name string, n int) {
	best := uint64(0)
	for _, e := range c.subject[s] {
		if now >= e.end() || !e.Value.InOutage || c.covered(s, e.dot()) {
			continue
		}
		n++
		if w := xxhash.Sum64String(e.from.Name + "\x00" + s.Partner + "\x00" + s.Endpoint); n == 1 || w > best {
			name, best = e.from.Name, w
		}
	}
	return name, n
}

// holds lists what others say of a subject and is not over, newest arrival last.
func (c *Replica) holds(now Time, s Subject) []*entry {
	var out []*entry
	for _, e := range c.subject[s] {
		if now < e.end() && e.from != c.own {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

// Observe is what is new of some subjects since it was last asked for. What this
// sender has told itself is left out.
func (c *Replica) Observe(now Time, subjects []Subject) (out []Observation) {
	for _, s := range subjects {
		was, is, lesson := c.told[s], told{}, Observation{Subject: s}
		list := c.holds(now, s)
		for _, e := range list {
			switch s.Kind {
			case RequestedWait: // the longest
				if e.end() > is.wait {
					is.wait, lesson.Source = e.end(), e.from.Name
				}
			case Health: // out, unless an answer since: an answer counts where it came
				if e.Value.InOutage && !c.covered(s, e.dot()) {
					is.out, is.mark, lesson.Source = true, e.arrived, e.from.Name
				}
			}
		}
		lesson.Mark = c.arrival
		lesson.Remaining = max(is.wait-now, 0)
		lesson.OutageReported = is.out && is.mark > was.mark
		lesson.OutageEnded = was.out && !is.out
		if s.Kind == Health {
			is.mark, is.turn = max(is.mark, was.mark), c.turn(now, s)
			lesson.TrialSpacing = is.turn
		}
		switch {
		case s.Kind == RequestedWait && is.wait <= was.wait+1e6: // by another way, or a shorter one
			is.wait = max(was.wait, is.wait)
		case s.Kind == RequestedWait, lesson.OutageReported, lesson.OutageEnded, s.Kind == Health && is.turn != max(was.turn, 1):
			out = append(out, lesson)
		}
		if len(c.subject[s]) == 0 {
			delete(c.told, s)
		} else {
			c.told[s] = is
		}
	}
	return out
}

// covered says whether a sender of this zone has had an answer to a call that it
// began when it knew of a fact. Where a partner is out for one zone only, an answer
// in another proves nothing.
func (c *Replica) covered(s Subject, d Dot) bool {
	for _, e := range c.subject[s] {
		if e.Zone == c.zone && slices.Contains(e.Value.Refutes, d) {
			return true
		}
	}
	return false
}

// ObservedOutages lists what others say of an endpoint being out, as far as it had arrived by
// a mark: what an answer to a call begun after that refutes.
func (c *Replica) ObservedOutages(s Subject, mark uint64) (out []Dot) {
	for _, e := range c.subject[s] {
		if e.Value.InOutage && e.arrived <= mark && e.from != c.own && len(out) < MaxRefutedDots {
			out = append(out, e.dot())
		}
	}
	return out
}

// OwnValue is what this sender itself says of a subject, and for how long that holds
// still; nothing if it says nothing.
func (c *Replica) OwnValue(now Time, s Subject) (Value, Time) {
	if e := c.own.facts[s]; e != nil && now < e.end() {
		return e.Value, e.end() - now
	}
	return Value{}, 0
}

// FactStatus is one sender's word on a subject, for operators.
type FactStatus struct {
	Subject
	Origin     Origin
	Seq        uint64
	Zone       string
	MinAge     Time // age
	MaxAge     Time
	Remaining  Time // until its end, at the latest
	Value      Value
	Effective  bool // it decides, by the rule of its kind
	Refuted    bool // an answer since, in this zone, has refuted it
	TrialOwner bool // its sender has the turn to try the endpoint
}

// List is all that is said of a partner, or of all for an empty name, by subject;
// at most so many statements.
func (c *Replica) List(now Time, partner string, most int) (out []FactStatus) {
	for id, o := range c.origins {
		for s, e := range o.facts {
			if now >= e.end() || partner != "" && s.Partner != partner {
				continue
			}
			out = append(out, FactStatus{Subject: s, Origin: id, Seq: e.Seq, Zone: e.Zone, MinAge: max(now-e.hi, 0), MaxAge: max(now-e.lo, 0),
				Remaining: e.end() - now, Value: e.Value, Refuted: e.Value.InOutage && c.covered(s, Dot{id, e.Seq})})
		}
	}
	slices.SortFunc(out, func(a, b FactStatus) int {
		return cmp.Or(cmp.Compare(a.Partner, b.Partner), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	out = out[:min(len(out), most)]
	for i := range out { // the first of a subject is the one that ends last
		first := i == 0 || out[i-1].Subject != out[i].Subject
		switch out[i].Kind {
		case RequestedWait:
			out[i].Effective = first
		case Health:
			out[i].Effective = out[i].Value.InOutage && !out[i].Refuted
			if holder, _ := c.holder(now, out[i].Subject); out[i].Effective {
				out[i].TrialOwner = holder == out[i].Origin.Name
			}
		}
	}
	return out
}
