package facts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Observation is a change in what other senders have published about a subject, as far as it
// concerns this sender. Only the fields of the subject's kind are set.
type Observation struct {
	Subject
	Remaining      Time // RequestedWait: until it ends
	OutageReported bool // Health: a sender newly reports an outage that no answer in this zone has refuted
	OutageEnded    bool // Health: no unrefuted report of an outage is left
	// TrialSpacing, of kind Health, multiplies the time between this sender's trials of the
	// endpoint, because other senders try it too. It is 1 for the trial owner.
	TrialSpacing int
	Source       string // name of the sender that published the deciding fact
	// Mark identifies the changes that this replica has received so far. The caller gives it
	// back with the outcome of a call that began later; see [Replica.ObservedOutages].
	Mark uint64
}

// reportedState is the state of a subject that Observe reported last.
type reportedState struct {
	waitUntil    Time
	mark         uint64
	inOutage     bool
	trialSpacing int
}

// otherTrialSpacing sets how rarely the other senders try an endpoint in outage: all of them
// together make one trial in the time in which the trial owner makes otherTrialSpacing. They
// go on trying in case the owner does not.
const otherTrialSpacing = 4

// trialSpacing returns the factor by which this sender spaces out its trials of an endpoint
// that some senders report in outage.
func (r *Replica) trialSpacing(now Time, s Subject) int {
	owner, n := r.trialOwner(now, s)
	if n == 0 || owner == r.own.Name {
		return 1
	}
	return otherTrialSpacing * n
}

// trialOwner returns the sender that owns the trials of an endpoint, and how many senders
// report the endpoint in outage. Of those, the owner has the highest hash of its name and
// the endpoint (rendezvous hashing): owners are spread over the endpoints, and the owner
// changes only when senders start or stop reporting the endpoint.
func (r *Replica) trialOwner(now Time, s Subject) (name string, n int) {
	best := uint64(0)
	for _, e := range r.bySubject[s] {
		if now >= e.expiry() || !e.Value.InOutage || r.refuted(s, e.dot()) {
			continue
		}
		n++
		if weight := xxhash.Sum64String(e.origin.Name + "\x00" + s.Partner + "\x00" + s.Endpoint); n == 1 || weight > best {
			name, best = e.origin.Name, weight
		}
	}
	return name, n
}

// validFromOthers lists the facts of other senders about a subject that have not expired, in
// the order of arrival.
func (r *Replica) validFromOthers(now Time, s Subject) []*entry {
	var list []*entry
	for _, e := range r.bySubject[s] {
		if now < e.expiry() && e.origin != r.own {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}

// Observe returns what has changed for some subjects since it was last called for them.
// Facts that this sender published itself are left out.
func (r *Replica) Observe(now Time, subjects []Subject) (out []Observation) {
	for _, s := range subjects {
		previous, current, observation := r.reported[s], reportedState{}, Observation{Subject: s}
		list := r.validFromOthers(now, s)
		for _, e := range list {
			switch s.Kind {
			case RequestedWait: // the longest wait decides
				if e.expiry() > current.waitUntil {
					current.waitUntil, observation.Source = e.expiry(), e.origin.Name
				}
			case Health: // in outage unless refuted by an answer in this zone
				if e.Value.InOutage && !r.refuted(s, e.dot()) {
					current.inOutage, current.mark, observation.Source = true, e.arrival, e.origin.Name
				}
			}
		}
		observation.Mark = r.lastArrival
		observation.Remaining = max(current.waitUntil-now, 0)
		observation.OutageReported = current.inOutage && current.mark > previous.mark
		observation.OutageEnded = previous.inOutage && !current.inOutage
		if s.Kind == Health {
			current.mark, current.trialSpacing = max(current.mark, previous.mark), r.trialSpacing(now, s)
			observation.TrialSpacing = current.trialSpacing
		}
		switch {
		// The same wait by another route, which may differ by up to 1 ms, or a shorter one.
		case s.Kind == RequestedWait && current.waitUntil <= previous.waitUntil+1e6:
			current.waitUntil = max(previous.waitUntil, current.waitUntil)
		case s.Kind == RequestedWait, observation.OutageReported, observation.OutageEnded,
			s.Kind == Health && current.trialSpacing != max(previous.trialSpacing, 1):
			out = append(out, observation)
		}
		if len(r.bySubject[s]) == 0 {
			delete(r.reported, s)
		} else {
			r.reported[s] = current
		}
	}
	return out
}

// refuted reports whether a sender in this zone received an answer to a call that began when
// it knew the fact. If a partner fails for one zone only, an answer in another zone proves
// nothing.
func (r *Replica) refuted(s Subject, d Dot) bool {
	for _, e := range r.bySubject[s] {
		if e.Zone == r.zone && slices.Contains(e.Value.Refutes, d) {
			return true
		}
	}
	return false
}

// ObservedOutages lists the outage facts of other senders about an endpoint that had arrived
// at the time of mark. An answer to a call that began later refutes them.
func (r *Replica) ObservedOutages(s Subject, mark uint64) (out []Dot) {
	for _, e := range r.bySubject[s] {
		if e.Value.InOutage && e.arrival <= mark && e.origin != r.own && len(out) < MaxRefutedDots {
			out = append(out, e.dot())
		}
	}
	return out
}

// OwnValue returns the value that this sender has published about a subject and the time
// until it expires; zero values if there is none.
func (r *Replica) OwnValue(now Time, s Subject) (Value, Time) {
	if e := r.own.facts[s]; e != nil && now < e.expiry() {
		return e.Value, e.expiry() - now
	}
	return Value{}, 0
}

// FactStatus describes one fact and its effect on this sender, for operators.
type FactStatus struct {
	Subject
	Origin     Origin
	Seq        uint64
	Zone       string
	MinAge     Time // bounds of the time since the observed event
	MaxAge     Time
	Remaining  Time // until its latest expiry
	Value      Value
	Effective  bool // it decides, by the rule of its kind
	Refuted    bool // a later answer in this zone has refuted it
	TrialOwner bool // its sender owns the endpoint's trials
}

// List returns the facts about a partner, or about all partners for an empty name, sorted by
// subject; at most limit of them.
func (r *Replica) List(now Time, partner string, limit int) (out []FactStatus) {
	for id, o := range r.origins {
		for s, e := range o.facts {
			if now >= e.expiry() || partner != "" && s.Partner != partner {
				continue
			}
			out = append(out, FactStatus{Subject: s, Origin: id, Seq: e.Seq, Zone: e.Zone,
				MinAge: max(now-e.latest, 0), MaxAge: max(now-e.earliest, 0), Remaining: e.expiry() - now,
				Value: e.Value, Refuted: e.Value.InOutage && r.refuted(s, Dot{id, e.Seq})})
		}
	}
	slices.SortFunc(out, func(a, b FactStatus) int {
		return cmp.Or(cmp.Compare(a.Partner, b.Partner), cmp.Compare(a.Endpoint, b.Endpoint),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Remaining, a.Remaining),
			cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	out = out[:min(len(out), limit)]
	for i := range out { // the first fact of a subject is the one that expires last
		first := i == 0 || out[i-1].Subject != out[i].Subject
		switch out[i].Kind {
		case RequestedWait:
			out[i].Effective = first
		case Health:
			out[i].Effective = out[i].Value.InOutage && !out[i].Refuted
			if owner, _ := r.trialOwner(now, out[i].Subject); out[i].Effective {
				out[i].TrialOwner = owner == out[i].Origin.Name
			}
		}
	}
	return out
}
