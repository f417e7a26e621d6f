package facts

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of a copy.
const (
	MaxFacts      = 200_000 // of all origins; a delta that would bring more is refused
	MaxOwnFacts   = 100_000 // of this sender; the one that ends first makes room
	MaxOrigins    = 4096    // lives of which something is known
	maxExpiredOwn = 256     // ended facts among its own before those that keep them are told anew

	renewInterval   = 5 * time.Second
	originRetention = 10 * time.Minute // after its last fact has ended
)

// Never is the least time, for what has no lower bound.
const Never = Time(math.MinInt64 / 4)

// entry is a fact in a copy, with the span on this process's clock in which what it
// tells of has happened. Both ends are sure: what comes by different ways narrows it.
type entry struct {
	Fact
	origin           *originState
	earliest, latest Time
	validUntil       Time   // its end at the latest
	arrival          uint64 // number of the change by which it came
	removed          bool   // another stands in its place
	inChecksum       bool
}

// expiry is when the fact is over at the latest. A wait never ends early by it.
func (e *entry) expiry() Time { return e.validUntil }

func (e *entry) dot() Dot { return Dot{e.origin.Origin, e.Seq} }

// originState is what a copy has of one originState.
type originState struct {
	Origin
	watermark, floor uint64
	facts            map[Subject]*entry
	bySeq            []*entry // by number; dead ones are left out from time to time
	removedCount     int
	checksum         uint64 // of the facts from floor to known
	consistentAt     uint64 // up to where this was drawn from; the facts are as the origin had them once all of that is known
	lastExpiry       Time   // when the last of its facts ends
}

// Replica is one sender's copy of all that is known. It is not safe for concurrent use.
type Replica struct {
	own         *originState
	zone        string
	drift       float64
	origins     map[Origin]*originState
	bySubject   map[Subject][]*entry // what stands of each, by all origins
	factCount   int
	lastArrival uint64
	reported    map[Subject]reportedState
	nextRenewal Time

	Repairs int // origins of which two copies with the same numbers differed
	Dropped int // own facts that made room for others
}

// New makes an empty copy. Clocks of senders run at 1-drift to 1+drift of the true
// pace.
func New(own Origin, zone string, drift float64) *Replica {
	c := &Replica{zone: zone, drift: drift, origins: map[Origin]*originState{}, bySubject: map[Subject][]*entry{}, reported: map[Subject]reportedState{}}
	c.own = c.ensureOrigin(own)
	return c
}

func (c *Replica) ensureOrigin(id Origin) *originState {
	o := c.origins[id]
	if o == nil {
		o = &originState{Origin: id, facts: map[Subject]*entry{}}
		c.origins[id] = o
	}
	return o
}

// LocalVersion is this sender's origin and the number of its last fact.
func (c *Replica) LocalVersion() (Origin, uint64) { return c.own.Origin, c.own.watermark }

// Len is how many facts stand.
func (c *Replica) Len() int { return c.factCount }

// Publish writes a fact of this sender. Age is how long ago that was of which it tells.
func (c *Replica) Publish(now Time, s Subject, v Value, age, span Time) error {
	f := Fact{Seq: c.own.watermark + 1, Subject: s, Zone: c.zone, TTL: span, Value: v}
	if err := f.check(); err != nil {
		return err
	}
	if len(c.own.facts) >= MaxOwnFacts && c.own.facts[s] == nil {
		list := slices.SortedFunc(maps.Values(c.own.facts), func(a, b *entry) int { return cmp.Compare(a.expiry(), b.expiry()) })
		for _, e := range list[:MaxOwnFacts/16] {
			c.remove(c.own, e)
			c.Dropped++
		}
	}
	c.own.watermark++
	c.lastArrival++
	c.insert(c.own, &entry{Fact: f, origin: c.own, earliest: now - age, latest: now - age, validUntil: now - age + span, arrival: c.lastArrival})
	return nil
}

// Merge takes what another copy has sent. Most is the most time that the delta can
// have been on its way. It returns the subjects of which something new stands. A
// delta that makes no sense, or that there is no room for, changes nothing.
func (c *Replica) Merge(now Time, d *Delta, most Time) ([]Subject, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	if d.Origin == c.own.Origin { // nobody else writes these
		return nil, nil
	}
	o := c.origins[d.Origin]
	if o == nil && len(c.origins) >= MaxOrigins || c.factCount+len(d.Facts) > MaxFacts {
		return nil, invalid("no room for %d facts of %s", len(d.Facts), d.Origin.Name)
	}
	o = c.ensureOrigin(d.Origin)
	c.raiseFloor(o, d.Floor)
	if len(d.Facts) > 0 || d.UpTo > o.watermark {
		o.consistentAt = max(o.consistentAt, d.ConsistentAt)
	}
	var changed []Subject
	for i := range d.Facts {
		f := d.Facts[i]
		if f.Seq <= o.floor {
			continue
		}
		e := &entry{Fact: f, origin: o, earliest: now - c.maxElapsed(f.MaxAge+most), latest: now - c.minElapsed(f.MinAge)}
		e.validUntil = e.latest + c.maxElapsed(f.TTL)
		e.MinAge, e.MaxAge = 0, 0
		if was := o.facts[f.Subject]; was != nil && was.Seq >= f.Seq {
			if was.Seq == f.Seq { // the same by another way
				was.earliest, was.latest, was.validUntil = max(was.earliest, e.earliest), min(was.latest, e.latest), min(was.validUntil, e.validUntil)
			}
			if was.Seq > f.Seq || was.hash() >= e.hash() { // it can differ by a fault only; then all take the same
				continue
			}
		}
		c.lastArrival++
		e.arrival = c.lastArrival
		c.insert(o, e)
		changed = append(changed, f.Subject)
	}
	if d.Since <= o.watermark && d.UpTo > o.watermark {
		c.raiseWatermark(o, d.UpTo)
	}
	return changed, nil
}

// maxElapsed and short are how maxElapsed another clock's span may have lasted by this one.
func (c *Replica) maxElapsed(d Time) Time { return Time(float64(d) * (1 + c.drift) / (1 - c.drift)) }
func (c *Replica) minElapsed(d Time) Time { return Time(float64(d) * (1 - c.drift) / (1 + c.drift)) }

// insert has a fact stand in the place of the one of its subject before.
func (c *Replica) insert(o *originState, e *entry) {
	if was := o.facts[e.Subject]; was != nil {
		c.remove(o, was)
	}
	o.facts[e.Subject] = e
	c.bySubject[e.Subject] = append(c.bySubject[e.Subject], e)
	c.factCount++
	if n := len(o.bySeq); n == 0 || o.bySeq[n-1].Seq < e.Seq {
		o.bySeq = append(o.bySeq, e)
	} else {
		at, _ := slices.BinarySearchFunc(o.bySeq, e.Seq, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		o.bySeq = slices.Insert(o.bySeq, at, e)
	}
	if e.Seq <= o.watermark {
		e.inChecksum, o.checksum = true, o.checksum^e.hash()
	}
	o.lastExpiry = max(o.lastExpiry, e.expiry())
}

// remove has a fact stand no longer.
func (c *Replica) remove(o *originState, e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	delete(o.facts, e.Subject)
	rest := slices.DeleteFunc(c.bySubject[e.Subject], func(x *entry) bool { return x == e })
	if c.bySubject[e.Subject] = rest; len(rest) == 0 {
		delete(c.bySubject, e.Subject)
	}
	c.factCount--
	if e.inChecksum {
		o.checksum ^= e.hash()
	}
	if o.removedCount++; o.removedCount > len(o.bySeq)/2+8 {
		o.bySeq = slices.DeleteFunc(o.bySeq, func(x *entry) bool { return x.removed })
		o.removedCount = 0
	}
}

// raiseWatermark notes that all of an origin is known up to a number.
func (c *Replica) raiseWatermark(o *originState, upTo uint64) {
	at, _ := slices.BinarySearchFunc(o.bySeq, o.watermark+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	for _, e := range o.bySeq[at:] {
		if e.Seq <= upTo && !e.removed && !e.inChecksum {
			e.inChecksum, o.checksum = true, o.checksum^e.hash()
		}
	}
	o.watermark = upTo
}

// raiseFloor takes it that all of an origin up to a number has ended.
func (c *Replica) raiseFloor(o *originState, floor uint64) {
	if floor <= o.floor {
		return
	}
	o.floor = floor
	for _, e := range slices.Clone(o.bySeq) {
		if e.Seq > floor {
			break
		}
		c.remove(o, e)
	}
	if floor > o.watermark {
		c.raiseWatermark(o, floor)
	}
}

// Expire drops what has ended, as far as no fact that stands lies beneath it; the
// rest says nothing any more, and goes later. It returns the subjects that have lost
// something.
func (c *Replica) Expire(now Time) (changed []Subject) {
	c.renew(now)
	for id, o := range c.origins {
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
		c.raiseFloor(o, floor)
		at, _ := slices.BinarySearchFunc(o.bySeq, o.watermark+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		for _, e := range slices.Clone(o.bySeq[at:]) { // ahead of a gap that may never be filled
			if !e.removed && now >= e.expiry() {
				changed = append(changed, e.Subject)
				c.remove(o, e)
			}
		}
		if o != c.own && len(o.facts) == 0 && now > o.lastExpiry+originRetention { // if it comes again, it brings nothing that stands
			delete(c.origins, id)
		}
	}
	return changed
}

// renew tells own facts anew that keep many ended ones from being dropped.
func (c *Replica) renew(now Time) {
	if now < c.nextRenewal {
		return
	}
	c.nextRenewal = now + renewInterval
	ended := 0
	for _, e := range c.own.facts {
		if now >= e.expiry() {
			ended++
		}
	}
	if live := len(c.own.facts) - ended; ended <= maxExpiredOwn || ended < live {
		return
	}
	for _, e := range slices.Clone(c.own.bySeq) {
		if e.removed || now >= e.expiry() {
			continue
		}
		again := *e
		c.own.watermark++
		again.Seq, again.removed, again.inChecksum = c.own.watermark, false, false
		c.insert(c.own, &again)
	}
}

// Digest is what this copy has, by origin in order; those of which nothing stands are
// left out.
func (c *Replica) Digest() []DigestRow {
	out := make([]DigestRow, 0, len(c.origins))
	for _, o := range c.origins {
		if len(o.facts) > 0 || o == c.own && o.watermark > 0 {
			out = append(out, o.digestRow())
		}
	}
	slices.SortFunc(out, func(a, b DigestRow) int {
		return cmp.Or(cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	return out
}

func (o *originState) digestRow() DigestRow {
	r := DigestRow{Origin: o.Origin, Watermark: o.watermark, Floor: o.floor, Checksum: o.checksum}
	if r.Highest = o.highestSeq(); r.Highest <= o.watermark {
		r.Highest = 0
	}
	if o.watermark < o.consistentAt || r.Highest > 0 { // what came ahead may have taken the place of what is summed
		r.Checksum = 0
	}
	return r
}

// highestSeq is the highest number of what stands.
func (o *originState) highestSeq() uint64 {
	for i := len(o.bySeq) - 1; i >= 0; i-- {
		if !o.bySeq[i].removed {
			return o.bySeq[i].Seq
		}
	}
	return 0
}

// OutOfOrderDeltas is what this copy has of an origin beyond what it knows whole, one fact in
// each delta, of those above a number, in about so many bytes at most. Their author
// may be gone, and nobody have what lies between.
func (c *Replica) OutOfOrderDeltas(now Time, id Origin, above uint64, bytes int) (out []Delta) {
	o := c.origins[id]
	if o == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(o.bySeq, max(above, o.watermark)+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
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

// withAges is a fact with its ages.
func (e *entry) withAges(now Time) Fact {
	f := e.Fact
	f.MinAge, f.MaxAge = max(now-e.latest, 0), max(now-e.earliest, 0)
	return f
}

// Watermark is up to where all of an origin is known.
func (c *Replica) Watermark(id Origin) uint64 {
	if o := c.origins[id]; o != nil {
		return o.watermark
	}
	return 0
}

// DeltaSince is what this copy has of an origin above a number, in about so many bytes at
// most, but at least one fact.
func (c *Replica) DeltaSince(now Time, id Origin, since uint64, bytes int) Delta {
	o := c.origins[id]
	if o == nil {
		return Delta{Origin: id, Since: since, UpTo: since, ConsistentAt: since}
	}
	d := Delta{Origin: id, Since: since, UpTo: max(o.watermark, since), Floor: min(o.floor, max(o.watermark, since))}
	at, _ := slices.BinarySearchFunc(o.bySeq, since+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
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

// Compare says of a row of another copy whether this one lacks something of that
// origin, and whether the other does. Two that know all up to the same number and
// yet differ are joined anew: this one counts as knowing nothing of what it has.
func (c *Replica) Compare(r DigestRow) (lacks, ahead bool) {
	o := c.origins[r.Origin]
	if o == nil {
		return r.Watermark > 0, false
	}
	if o != c.own && r.Floor > o.floor && r.Floor <= r.Watermark {
		c.raiseFloor(o, r.Floor)
	}
	mine := o.digestRow()
	if o != c.own && mine.Watermark == r.Watermark && mine.Floor == r.Floor && mine.Checksum != r.Checksum && mine.Checksum != 0 && r.Checksum != 0 {
		c.Repairs++
		for _, e := range o.bySeq {
			e.inChecksum = false
		}
		o.watermark, o.checksum = o.floor, 0
		return true, false
	}
	top := max(r.Watermark, r.Highest)
	return r.Watermark > o.watermark || top > max(o.watermark, o.highestSeq()), o.watermark > r.Watermark || mine.Floor > r.Floor || o.highestSeq() > top
}
