package facts

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of a replica.
const (
	MaxFacts      = 200_000 // of all origins; a delta that would exceed it is refused
	MaxOwnFacts   = 100_000 // of this sender; the facts that expire first are dropped to make room
	MaxOrigins    = 4096    // incarnations of senders in the replica; deltas of further ones are refused
	maxExpiredOwn = 256     // expired own facts above which current ones that block their removal are republished

	renewInterval   = 5 * time.Second  // between checks whether own facts must be republished
	originRetention = 10 * time.Minute // after the expiry of the origin's last fact
)

// Never is earlier than any reading of a clock and stands for an event that never happened.
const Never = Time(math.MinInt64 / 4)

// entry is a fact in a replica. The observed event happened between earliest and latest on
// this process's clock; receiving the fact again by another route can narrow that interval.
type entry struct {
	Fact
	origin           *originState
	earliest, latest Time
	validUntil       Time   // latest expiry
	arrival          uint64 // number of the local change that added the fact
	removed          bool   // replaced or expired
	inChecksum       bool   // the origin's checksum covers it
}

// expiry returns the latest time at which the fact expires. It never ends a requested wait
// early.
func (e *entry) expiry() Time { return e.validUntil }

// dot returns the dot of the fact.
func (e *entry) dot() Dot { return Dot{e.origin.Origin, e.Seq} }

// originState is what a replica has received from one origin.
type originState struct {
	Origin
	watermark, floor uint64
	facts            map[Subject]*entry
	bySeq            []*entry // in order of sequence number; removed entries are purged in batches
	removedCount     int      // removed entries in bySeq
	checksum         uint64   // of the current facts from floor to watermark
	consistentAt     uint64   // see Delta.ConsistentAt; below this watermark the facts may differ from those of the origin
	lastExpiry       Time     // of the facts received so far
}

// Replica is one sender's replica of the facts of all senders. It is not safe for concurrent
// use.
type Replica struct {
	own         *originState
	zone        string
	drift       float64
	origins     map[Origin]*originState
	bySubject   map[Subject][]*entry // current facts of all origins
	factCount   int
	lastArrival uint64                    // number of the last local change
	reported    map[Subject]reportedState // what Observe returned last
	nextRenewal Time

	Repairs int // origins whose facts differed from those of a replica with the same watermark
	Dropped int // own facts removed to make room for others
}

// New returns an empty replica of the sender with origin own in a zone. The clocks of
// senders run at 1-drift to 1+drift of the true rate.
func New(own Origin, zone string, drift float64) *Replica {
	r := &Replica{zone: zone, drift: drift, origins: map[Origin]*originState{}, bySubject: map[Subject][]*entry{},
		reported: map[Subject]reportedState{}}
	r.own = r.ensureOrigin(own)
	return r
}

// ensureOrigin returns the state of an origin and creates it if there is none.
func (r *Replica) ensureOrigin(id Origin) *originState {
	o := r.origins[id]
	if o == nil {
		o = &originState{Origin: id, facts: map[Subject]*entry{}}
		r.origins[id] = o
	}
	return o
}

// LocalVersion returns this sender's origin and the sequence number of its last fact.
func (r *Replica) LocalVersion() (Origin, uint64) { return r.own.Origin, r.own.watermark }

// Len returns the number of current facts of all origins, including expired ones that have
// not been removed yet.
func (r *Replica) Len() int { return r.factCount }

// Publish adds a fact of this sender about an event that happened age ago. The fact expires
// ttl after the event. The error wraps ErrInvalid if the fact exceeds a limit.
func (r *Replica) Publish(now Time, s Subject, v Value, age, ttl Time) error {
	f := Fact{Seq: r.own.watermark + 1, Subject: s, Zone: r.zone, TTL: ttl, Value: v}
	if err := f.check(); err != nil {
		return err
	}
	if len(r.own.facts) >= MaxOwnFacts && r.own.facts[s] == nil {
		byExpiry := slices.SortedFunc(maps.Values(r.own.facts),
			func(a, b *entry) int { return cmp.Compare(a.expiry(), b.expiry()) })
		for _, e := range byExpiry[:MaxOwnFacts/16] {
			r.remove(r.own, e)
			r.Dropped++
		}
	}
	r.own.watermark++
	r.lastArrival++
	r.insert(r.own, &entry{Fact: f, origin: r.own, earliest: now - age, latest: now - age, validUntil: now - age + ttl,
		arrival: r.lastArrival})
	return nil
}

// Merge adds the facts of a delta from another replica, which was at most maxTransit in
// transit. It returns the subjects for which a fact was added or replaced. An invalid delta,
// or one that exceeds the capacity of the replica, changes nothing and gives an error that
// wraps ErrInvalid.
func (r *Replica) Merge(now Time, d *Delta, maxTransit Time) ([]Subject, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	if d.Origin == r.own.Origin { // only this process writes its own facts
		return nil, nil
	}
	o := r.origins[d.Origin]
	if o == nil && len(r.origins) >= MaxOrigins || r.factCount+len(d.Facts) > MaxFacts {
		return nil, invalid("no room for %d facts of %s", len(d.Facts), d.Origin.Name)
	}
	o = r.ensureOrigin(d.Origin)
	r.raiseFloor(o, d.Floor)
	if len(d.Facts) > 0 || d.UpTo > o.watermark {
		o.consistentAt = max(o.consistentAt, d.ConsistentAt)
	}
	var changed []Subject
	for i := range d.Facts {
		f := d.Facts[i]
		if f.Seq <= o.floor {
			continue
		}
		e := &entry{Fact: f, origin: o, earliest: now - r.maxElapsed(f.MaxAge+maxTransit),
			latest: now - r.minElapsed(f.MinAge)}
		e.validUntil = e.latest + r.maxElapsed(f.TTL)
		e.MinAge, e.MaxAge = 0, 0
		if old := o.facts[f.Subject]; old != nil && old.Seq >= f.Seq {
			if old.Seq == f.Seq { // the same fact by another route may narrow its time bounds
				old.earliest, old.latest, old.validUntil =
					max(old.earliest, e.earliest), min(old.latest, e.latest), min(old.validUntil, e.validUntil)
			}
			// Only a fault makes two facts with one dot differ; all replicas then keep the same one.
			if old.Seq > f.Seq || old.hash() >= e.hash() {
				continue
			}
		}
		r.lastArrival++
		e.arrival = r.lastArrival
		r.insert(o, e)
		changed = append(changed, f.Subject)
	}
	if d.Since <= o.watermark && d.UpTo > o.watermark {
		r.raiseWatermark(o, d.UpTo)
	}
	return changed, nil
}

// maxElapsed returns the longest local duration that corresponds to d on another sender's
// clock.
func (r *Replica) maxElapsed(d Time) Time { return Time(float64(d) * (1 + r.drift) / (1 - r.drift)) }

// minElapsed returns the shortest local duration that corresponds to d on another sender's
// clock.
func (r *Replica) minElapsed(d Time) Time { return Time(float64(d) * (1 - r.drift) / (1 + r.drift)) }

// insert makes a fact the current one of its origin and subject and removes the one before.
func (r *Replica) insert(o *originState, e *entry) {
	if old := o.facts[e.Subject]; old != nil {
		r.remove(o, old)
	}
	o.facts[e.Subject] = e
	r.bySubject[e.Subject] = append(r.bySubject[e.Subject], e)
	r.factCount++
	if n := len(o.bySeq); n == 0 || o.bySeq[n-1].Seq < e.Seq {
		o.bySeq = append(o.bySeq, e)
	} else {
		at, _ := slices.BinarySearchFunc(o.bySeq, e.Seq,
			func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		o.bySeq = slices.Insert(o.bySeq, at, e)
	}
	if e.Seq <= o.watermark {
		e.inChecksum, o.checksum = true, o.checksum^e.hash()
	}
	o.lastExpiry = max(o.lastExpiry, e.expiry())
}

// remove drops a fact that was replaced or has expired.
func (r *Replica) remove(o *originState, e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	delete(o.facts, e.Subject)
	rest := slices.DeleteFunc(r.bySubject[e.Subject], func(x *entry) bool { return x == e })
	if r.bySubject[e.Subject] = rest; len(rest) == 0 {
		delete(r.bySubject, e.Subject)
	}
	r.factCount--
	if e.inChecksum {
		o.checksum ^= e.hash()
	}
	if o.removedCount++; o.removedCount > len(o.bySeq)/2+8 {
		o.bySeq = slices.DeleteFunc(o.bySeq, func(x *entry) bool { return x.removed })
		o.removedCount = 0
	}
}

// raiseWatermark records that all current facts of an origin up to a sequence number have
// been received.
func (r *Replica) raiseWatermark(o *originState, upTo uint64) {
	at, _ := slices.BinarySearchFunc(o.bySeq, o.watermark+1,
		func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	for _, e := range o.bySeq[at:] {
		if e.Seq <= upTo && !e.removed && !e.inChecksum {
			e.inChecksum, o.checksum = true, o.checksum^e.hash()
		}
	}
	o.watermark = upTo
}

// raiseFloor removes all facts of an origin up to a sequence number.
func (r *Replica) raiseFloor(o *originState, floor uint64) {
	if floor <= o.floor {
		return
	}
	o.floor = floor
	for _, e := range slices.Clone(o.bySeq) {
		if e.Seq > floor {
			break
		}
		r.remove(o, e)
	}
	if floor > o.watermark {
		r.raiseWatermark(o, floor)
	}
}

// Expire removes the expired facts of each origin below its first current one, and those
// above its watermark. Other expired facts have no effect any more and are removed later. It
// returns the subjects of which facts have expired.
func (r *Replica) Expire(now Time) (changed []Subject) {
	r.renew(now)
	for id, o := range r.origins {
		floor := o.floor
		for _, e := range o.bySeq {
			if !e.removed && now < e.expiry() || e.Seq > o.watermark {
				break
			}
			if !e.removed {
				changed = append(changed, e.Subject)
			}
			floor = max(floor, e.Seq)
		}
		if len(o.facts) == 0 {
			floor = o.watermark
		}
		r.raiseFloor(o, floor)
		at, _ := slices.BinarySearchFunc(o.bySeq, o.watermark+1,
			func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		for _, e := range slices.Clone(o.bySeq[at:]) { // above a gap that may never be filled
			if !e.removed && now >= e.expiry() {
				changed = append(changed, e.Subject)
				r.remove(o, e)
			}
		}
		// Facts of a deleted origin that arrive again have expired.
		if o != r.own && len(o.facts) == 0 && now > o.lastExpiry+originRetention {
			delete(r.origins, id)
		}
	}
	return changed
}

// renew publishes own current facts again under new sequence numbers when many expired facts
// lie above them and therefore can't be removed.
func (r *Replica) renew(now Time) {
	if now < r.nextRenewal {
		return
	}
	r.nextRenewal = now + renewInterval
	expired := 0
	for _, e := range r.own.facts {
		if now >= e.expiry() {
			expired++
		}
	}
	if live := len(r.own.facts) - expired; expired <= maxExpiredOwn || expired < live {
		return
	}
	for _, e := range slices.Clone(r.own.bySeq) {
		if e.removed || now >= e.expiry() {
			continue
		}
		renewed := *e
		r.own.watermark++
		renewed.Seq, renewed.removed, renewed.inChecksum = r.own.watermark, false, false
		r.insert(r.own, &renewed)
	}
}

// Digest returns a row for each origin, sorted by origin. It omits other origins without a
// current fact.
func (r *Replica) Digest() []DigestRow {
	out := make([]DigestRow, 0, len(r.origins))
	for _, o := range r.origins {
		if len(o.facts) > 0 || o == r.own && o.watermark > 0 {
			out = append(out, o.digestRow())
		}
	}
	slices.SortFunc(out, func(a, b DigestRow) int {
		return cmp.Or(cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	return out
}

// digestRow returns the digest row of an origin.
func (o *originState) digestRow() DigestRow {
	row := DigestRow{Origin: o.Origin, Watermark: o.watermark, Floor: o.floor, Checksum: o.checksum}
	if row.Highest = o.highestSeq(); row.Highest <= o.watermark {
		row.Highest = 0
	}
	// Facts received out of order may have replaced facts that the checksum should cover.
	if o.watermark < o.consistentAt || row.Highest > 0 {
		row.Checksum = 0
	}
	return row
}

// highestSeq returns the highest sequence number of a current fact; 0 if there is none.
func (o *originState) highestSeq() uint64 {
	for i := len(o.bySeq) - 1; i >= 0; i-- {
		if !o.bySeq[i].removed {
			return o.bySeq[i].Seq
		}
	}
	return 0
}

// OutOfOrderDeltas returns the facts of an origin above both its watermark and a sequence
// number, one fact in each delta and about as many bytes as given; at least one fact if
// there is any. Their origin may be gone, and no replica may have the facts in the gap below
// them.
func (r *Replica) OutOfOrderDeltas(now Time, id Origin, above uint64, bytes int) (out []Delta) {
	o := r.origins[id]
	if o == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(o.bySeq, max(above, o.watermark)+1,
		func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	for _, e := range o.bySeq[at:] {
		if e.removed || now >= e.expiry() {
			continue
		}
		f := e.withAges(now)
		d := Delta{Origin: id, Since: f.Seq - 1, UpTo: f.Seq, ConsistentAt: max(o.consistentAt, f.Seq), Facts: []Fact{f}}
		if bytes -= d.Size(); bytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, d)
	}
	return out
}

// withAges returns the fact with its age bounds at a time.
func (e *entry) withAges(now Time) Fact {
	f := e.Fact
	f.MinAge, f.MaxAge = max(now-e.latest, 0), max(now-e.earliest, 0)
	return f
}

// Watermark returns the sequence number up to which all current facts of an origin have been
// received.
func (r *Replica) Watermark(id Origin) uint64 {
	if o := r.origins[id]; o != nil {
		return o.watermark
	}
	return 0
}

// DeltaSince returns the current facts of an origin above the sequence number since and up to
// its watermark, the number up to which this replica has all of the origin's current facts (see
// [Replica.Watermark]). The facts take at most about the given number of bytes, but at least one
// is returned if there is any. If not all fit, UpTo of the delta is the last one's number.
func (r *Replica) DeltaSince(now Time, id Origin, since uint64, bytes int) Delta {
	o := r.origins[id]
	if o == nil {
		return Delta{Origin: id, Since: since, UpTo: since, ConsistentAt: since}
	}
	d := Delta{Origin: id, Since: since, UpTo: max(o.watermark, since), Floor: min(o.floor, max(o.watermark, since))}
	at, _ := slices.BinarySearchFunc(o.bySeq, since+1,
		func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	d.ConsistentAt = max(o.consistentAt, d.UpTo)
	last := since
	for _, e := range o.bySeq[at:] {
		if e.Seq > o.watermark {
			break
		}
		if e.removed || e.Seq <= o.floor {
			continue
		}
		f := e.withAges(now)
		if bytes -= f.size(); bytes < 0 && len(d.Facts) > 0 {
			d.UpTo = max(last, d.Floor)
			return d
		}
		d.Facts, last = append(d.Facts, f), e.Seq
	}
	return d
}

// Compare reports whether this replica lacks facts of an origin that the replica with the
// given digest row has, and whether this replica is ahead of it. Two replicas with equal
// watermarks and floors but different checksums differ by a fault: this one lowers its
// watermark to the floor, so that it receives the facts of that origin again.
func (r *Replica) Compare(remote DigestRow) (lacks, ahead bool) {
	o := r.origins[remote.Origin]
	if o == nil {
		return remote.Watermark > 0, false
	}
	if o != r.own && remote.Floor > o.floor && remote.Floor <= remote.Watermark {
		r.raiseFloor(o, remote.Floor)
	}
	local := o.digestRow()
	if o != r.own && local.Watermark == remote.Watermark && local.Floor == remote.Floor &&
		local.Checksum != remote.Checksum && local.Checksum != 0 && remote.Checksum != 0 {
		r.Repairs++
		for _, e := range o.bySeq {
			e.inChecksum = false
		}
		o.watermark, o.checksum = o.floor, 0
		return true, false
	}
	highest := max(remote.Watermark, remote.Highest)
	return remote.Watermark > o.watermark || highest > max(o.watermark, o.highestSeq()),
		o.watermark > remote.Watermark || local.Floor > remote.Floor || o.highestSeq() > highest
}
