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

// reportedState is what was last reportedState of a subject.
type reportedState struct {
	waitUntil    Time
	mark         uint64
	inOutage     bool
	trialSpacing int
}

// otherTrialSpacing is how many times more rarely all others together try an endpoint that is
// out than the one whose turn it is: in case that one does not.
const otherTrialSpacing = 4

// trialSpacing is how rarely this sender is to try an endpoint that some find out.
func (c *Replica) trialSpacing(now Time, s Subject) int {
	holder, n := c.trialOwner(now, s)
	if n == 0 || holder == c.own.Name {
		return 1
	}
	return otherTrialSpacing * n
}

// trialOwner is who has the turn to try an endpoint, and how many find it out: of those the
// first by a hash of its name and the endpoint's, so that each has it for some
// endpoints, and it moves only as those who find it out come and go.
func (c *Replica) trialOwner(now Time, s Subject) (name string, n int) {
	best := uint64(0)
	for _, e := range c.bySubject[s] {
		if now >= e.expiry() || !e.Value.InOutage || c.refuted(s, e.dot()) {
			continue
		}
		n++
		if w := xxhash.Sum64String(e.origin.Name + "\x00" + s.Partner + "\x00" + s.Endpoint); n == 1 || w > best {
			name, best = e.origin.Name, w
		}
	}
	return name, n
}

// validFromOthers lists what others say of a subject and is not over, newest arrival last.
func (c *Replica) validFromOthers(now Time, s Subject) []*entry {
	var out []*entry
	for _, e := range c.bySubject[s] {
		if now < e.expiry() && e.origin != c.own {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// Observe is what is new of some subjects since it was last asked for. What this
// sender has told itself is left out.
func (c *Replica) Observe(now Time, subjects []Subject) (out []Observation) {
	for _, s := range subjects {
		previous, current, observation := c.reported[s], reportedState{}, Observation{Subject: s}
		list := c.validFromOthers(now, s)
		for _, e := range list {
			switch s.Kind {
			case RequestedWait: // the longest
				if e.expiry() > current.waitUntil {
					current.waitUntil, observation.Source = e.expiry(), e.origin.Name
				}
			case Health: // out, unless an answer since: an answer counts where it came
				if e.Value.InOutage && !c.refuted(s, e.dot()) {
					current.inOutage, current.mark, observation.Source = true, e.arrival, e.origin.Name
				}
			}
		}
		observation.Mark = c.lastArrival
		observation.Remaining = max(current.waitUntil-now, 0)
		observation.OutageReported = current.inOutage && current.mark > previous.mark
		observation.OutageEnded = previous.inOutage && !current.inOutage
		if s.Kind == Health {
			current.mark, current.trialSpacing = max(current.mark, previous.mark), c.trialSpacing(now, s)
			observation.TrialSpacing = current.trialSpacing
		}
		switch {
		case s.Kind == RequestedWait && current.waitUntil <= previous.waitUntil+1e6: // by another way, or a shorter one
			current.waitUntil = max(previous.waitUntil, current.waitUntil)
		case s.Kind == RequestedWait, observation.OutageReported, observation.OutageEnded, s.Kind == Health && current.trialSpacing != max(previous.trialSpacing, 1):
			out = append(out, observation)
		}
		if len(c.bySubject[s]) == 0 {
			delete(c.reported, s)
		} else {
			c.reported[s] = current
		}
	}
	return out
}

// refuted says whether a sender of this zone has had an answer to a call that it
// began when it knew of a fact. Where a partner is out for one zone only, an answer
// in another proves nothing.
func (c *Replica) refuted(s Subject, d Dot) bool {
	for _, e := range c.bySubject[s] {
		if e.Zone == c.zone && slices.Contains(e.Value.Refutes, d) {
			return true
		}
	}
	return false
}

// ObservedOutages lists what others say of an endpoint being out, as far as it had arrived by
// a mark: what an answer to a call begun after that refutes.
func (c *Replica) ObservedOutages(s Subject, mark uint64) (out []Dot) {
	for _, e := range c.bySubject[s] {
		if e.Value.InOutage && e.arrival <= mark && e.origin != c.own && len(out) < MaxRefutedDots {
			out = append(out, e.dot())
		}
	}
	return out
}

// OwnValue is what this sender itself says of a subject, and for how long that holds
// still; nothing if it says nothing.
func (c *Replica) OwnValue(now Time, s Subject) (Value, Time) {
	if e := c.own.facts[s]; e != nil && now < e.expiry() {
		return e.Value, e.expiry() - now
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
			if now >= e.expiry() || partner != "" && s.Partner != partner {
				continue
			}
			out = append(out, FactStatus{Subject: s, Origin: id, Seq: e.Seq, Zone: e.Zone, MinAge: max(now-e.latest, 0), MaxAge: max(now-e.earliest, 0),
				Remaining: e.expiry() - now, Value: e.Value, Refuted: e.Value.InOutage && c.refuted(s, Dot{id, e.Seq})})
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
			if holder, _ := c.trialOwner(now, out[i].Subject); out[i].Effective {
				out[i].TrialOwner = holder == out[i].Origin.Name
			}
		}
	}
	return out
}
