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
	MaxFacts    = 200_000 // of all origins; a delta that would bring more is refused
	MaxOwnFacts = 100_000 // of this sender; the one that ends first makes room
	MaxOrigins  = 4096    // lives of which something is known
	slackOwn    = 256     // ended facts among its own before those that keep them are told anew

	renewEvery = 5 * time.Second
	keepOrigin = 10 * time.Minute // after its last fact has ended
)

// Never is the least time, for what has no lower bound.
const Never = Time(math.MinInt64 / 4)

// entry is a fact in a copy, with the span on this process's clock in which what it
// tells of has happened. Both ends are sure: what comes by different ways narrows it.
type entry struct {
	Fact
	from    *origin
	lo, hi  Time
	until   Time   // its end at the latest
	arrived uint64 // number of the change by which it came
	dead    bool   // another stands in its place
	summed  bool
}

// end is when the fact is over at the latest. A wait never ends early by it.
func (e *entry) end() Time { return e.until }

func (e *entry) dot() Dot { return Dot{e.from.Origin, e.Seq} }

// origin is what a copy has of one origin.
type origin struct {
	Origin
	known, floor uint64
	facts        map[Subject]*entry
	order        []*entry // by number; dead ones are left out from time to time
	dead         int
	sum          uint64 // of the facts from floor to known
	end          uint64 // up to where this was drawn from; the facts are as the origin had them once all of that is known
	until        Time   // when the last of its facts ends
}

// Replica is one sender's copy of all that is known. It is not safe for concurrent use.
type Replica struct {
	own     *origin
	zone    string
	drift   float64
	origins map[Origin]*origin
	subject map[Subject][]*entry // what stands of each, by all origins
	count   int
	arrival uint64
	told    map[Subject]told
	renewAt Time

	Repairs int // origins of which two copies with the same numbers differed
	Dropped int // own facts that made room for others
}

// New makes an empty copy. Clocks of senders run at 1-drift to 1+drift of the true
// pace.
func New(own Origin, zone string, drift float64) *Replica {
	c := &Replica{zone: zone, drift: drift, origins: map[Origin]*origin{}, subject: map[Subject][]*entry{}, told: map[Subject]told{}}
	c.own = c.origin(own)
	return c
}

func (c *Replica) origin(id Origin) *origin {
	o := c.origins[id]
	if o == nil {
		o = &origin{Origin: id, facts: map[Subject]*entry{}}
		c.origins[id] = o
	}
	return o
}

// LocalVersion is this sender's origin and the number of its last fact.
func (c *Replica) LocalVersion() (Origin, uint64) { return c.own.Origin, c.own.known }

// Len is how many facts stand.
func (c *Replica) Len() int { return c.count }

// Publish writes a fact of this sender. Age is how long ago that was of which it tells.
func (c *Replica) Publish(now Time, s Subject, v Value, age, span Time) error {
	f := Fact{Seq: c.own.known + 1, Subject: s, Zone: c.zone, TTL: span, Value: v}
	if err := f.check(); err != nil {
		return err
	}
	if len(c.own.facts) >= MaxOwnFacts && c.own.facts[s] == nil {
		list := slices.SortedFunc(maps.Values(c.own.facts), func(a, b *entry) int { return cmp.Compare(a.end(), b.end()) })
		for _, e := range list[:MaxOwnFacts/16] {
			c.remove(c.own, e)
			c.Dropped++
		}
	}
	c.own.known++
	c.arrival++
	c.put(c.own, &entry{Fact: f, from: c.own, lo: now - age, hi: now - age, until: now - age + span, arrived: c.arrival})
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
	if o == nil && len(c.origins) >= MaxOrigins || c.count+len(d.Facts) > MaxFacts {
		return nil, forged("no room for %d facts of %s", len(d.Facts), d.Origin.Name)
	}
	o = c.origin(d.Origin)
	c.raise(o, d.Floor)
	if len(d.Facts) > 0 || d.UpTo > o.known {
		o.end = max(o.end, d.ConsistentAt)
	}
	var changed []Subject
	for i := range d.Facts {
		f := d.Facts[i]
		if f.Seq <= o.floor {
			continue
		}
		e := &entry{Fact: f, from: o, lo: now - c.long(f.MaxAge+most), hi: now - c.short(f.MinAge)}
		e.until = e.hi + c.long(f.TTL)
		e.MinAge, e.MaxAge = 0, 0
		if was := o.facts[f.Subject]; was != nil && was.Seq >= f.Seq {
			if was.Seq == f.Seq { // the same by another way
				was.lo, was.hi, was.until = max(was.lo, e.lo), min(was.hi, e.hi), min(was.until, e.until)
			}
			if was.Seq > f.Seq || was.hash() >= e.hash() { // it can differ by a fault only; then all take the same
				continue
			}
		}
		c.arrival++
		e.arrived = c.arrival
		c.put(o, e)
		changed = append(changed, f.Subject)
	}
	if d.Since <= o.known && d.UpTo > o.known {
		c.learn(o, d.UpTo)
	}
	return changed, nil
}

// long and short are how long another clock's span may have lasted by this one.
func (c *Replica) long(d Time) Time  { return Time(float64(d) * (1 + c.drift) / (1 - c.drift)) }
func (c *Replica) short(d Time) Time { return Time(float64(d) * (1 - c.drift) / (1 + c.drift)) }

// put has a fact stand in the place of the one of its subject before.
func (c *Replica) put(o *origin, e *entry) {
	if was := o.facts[e.Subject]; was != nil {
		c.remove(o, was)
	}
	o.facts[e.Subject] = e
	c.subject[e.Subject] = append(c.subject[e.Subject], e)
	c.count++
	if n := len(o.order); n == 0 || o.order[n-1].Seq < e.Seq {
		o.order = append(o.order, e)
	} else {
		at, _ := slices.BinarySearchFunc(o.order, e.Seq, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		o.order = slices.Insert(o.order, at, e)
	}
	if e.Seq <= o.known {
		e.summed, o.sum = true, o.sum^e.hash()
	}
	o.until = max(o.until, e.end())
}

// remove has a fact stand no longer.
func (c *Replica) remove(o *origin, e *entry) {
	if e.dead {
		return
	}
	e.dead = true
	delete(o.facts, e.Subject)
	rest := slices.DeleteFunc(c.subject[e.Subject], func(x *entry) bool { return x == e })
	if c.subject[e.Subject] = rest; len(rest) == 0 {
		delete(c.subject, e.Subject)
	}
	c.count--
	if e.summed {
		o.sum ^= e.hash()
	}
	if o.dead++; o.dead > len(o.order)/2+8 {
		o.order = slices.DeleteFunc(o.order, func(x *entry) bool { return x.dead })
		o.dead = 0
	}
}

// learn notes that all of an origin is known up to a number.
func (c *Replica) learn(o *origin, upTo uint64) {
	at, _ := slices.BinarySearchFunc(o.order, o.known+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	for _, e := range o.order[at:] {
		if e.Seq <= upTo && !e.dead && !e.summed {
			e.summed, o.sum = true, o.sum^e.hash()
		}
	}
	o.known = upTo
}

// raise takes it that all of an origin up to a number has ended.
func (c *Replica) raise(o *origin, floor uint64) {
	if floor <= o.floor {
		return
	}
	o.floor = floor
	for _, e := range slices.Clone(o.order) {
		if e.Seq > floor {
			break
		}
		c.remove(o, e)
	}
	if floor > o.known {
		c.learn(o, floor)
	}
}

// Expire drops what has ended, as far as no fact that stands lies beneath it; the
// rest says nothing any more, and goes later. It returns the subjects that have lost
// something.
func (c *Replica) Expire(now Time) (changed []Subject) {
	c.renew(now)
	for id, o := range c.origins {
		floor := o.floor
		for _, e := range o.order {
			if !e.dead && now < e.end() || e.Seq > o.known {
				break
			}
			if !e.dead {
				changed = append(changed, e.Subject)
			}
			floor = max(floor, e.Seq)
		}
		if len(o.facts) == 0 {
			floor = o.known
		}
		c.raise(o, floor)
		at, _ := slices.BinarySearchFunc(o.order, o.known+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
		for _, e := range slices.Clone(o.order[at:]) { // ahead of a gap that may never be filled
			if !e.dead && now >= e.end() {
				changed = append(changed, e.Subject)
				c.remove(o, e)
			}
		}
		if o != c.own && len(o.facts) == 0 && now > o.until+keepOrigin { // if it comes again, it brings nothing that stands
			delete(c.origins, id)
		}
	}
	return changed
}

// renew tells own facts anew that keep many ended ones from being dropped.
func (c *Replica) renew(now Time) {
	if now < c.renewAt {
		return
	}
	c.renewAt = now + renewEvery
	ended := 0
	for _, e := range c.own.facts {
		if now >= e.end() {
			ended++
		}
	}
	if live := len(c.own.facts) - ended; ended <= slackOwn || ended < live {
		return
	}
	for _, e := range slices.Clone(c.own.order) {
		if e.dead || now >= e.end() {
			continue
		}
		again := *e
		c.own.known++
		again.Seq, again.dead, again.summed = c.own.known, false, false
		c.put(c.own, &again)
	}
}

// Digest is what this copy has, by origin in order; those of which nothing stands are
// left out.
func (c *Replica) Digest() []DigestRow {
	out := make([]DigestRow, 0, len(c.origins))
	for _, o := range c.origins {
		if len(o.facts) > 0 || o == c.own && o.known > 0 {
			out = append(out, o.row())
		}
	}
	slices.SortFunc(out, func(a, b DigestRow) int {
		return cmp.Or(cmp.Compare(a.Origin.Name, b.Origin.Name), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation))
	})
	return out
}

func (o *origin) row() DigestRow {
	r := DigestRow{Origin: o.Origin, Watermark: o.known, Floor: o.floor, Checksum: o.sum}
	if r.Highest = o.top(); r.Highest <= o.known {
		r.Highest = 0
	}
	if o.known < o.end || r.Highest > 0 { // what came ahead may have taken the place of what is summed
		r.Checksum = 0
	}
	return r
}

// top is the highest number of what stands.
func (o *origin) top() uint64 {
	for i := len(o.order) - 1; i >= 0; i-- {
		if !o.order[i].dead {
			return o.order[i].Seq
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
	at, _ := slices.BinarySearchFunc(o.order, max(above, o.known)+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	for _, e := range o.order[at:] {
		if e.dead || now >= e.end() {
			continue
		}
		f := e.travels(now)
		d := Delta{Origin: id, Since: f.Seq - 1, UpTo: f.Seq, ConsistentAt: max(o.end, f.Seq), Facts: []Fact{f}}
		if bytes -= d.Size(); bytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, d)
	}
	return out
}

// travels is a fact with its ages.
func (e *entry) travels(now Time) Fact {
	f := e.Fact
	f.MinAge, f.MaxAge = max(now-e.hi, 0), max(now-e.lo, 0)
	return f
}

// Watermark is up to where all of an origin is known.
func (c *Replica) Watermark(id Origin) uint64 {
	if o := c.origins[id]; o != nil {
		return o.known
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
	d := Delta{Origin: id, Since: since, UpTo: max(o.known, since), Floor: min(o.floor, max(o.known, since))}
	at, _ := slices.BinarySearchFunc(o.order, since+1, func(x *entry, seq uint64) int { return cmp.Compare(x.Seq, seq) })
	d.ConsistentAt = max(o.end, d.UpTo)
	last := since
	for _, e := range o.order[at:] {
		if e.Seq > o.known {
			break
		}
		if e.dead || e.Seq <= o.floor {
			continue
		}
		f := e.travels(now)
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
		c.raise(o, r.Floor)
	}
	mine := o.row()
	if o != c.own && mine.Watermark == r.Watermark && mine.Floor == r.Floor && mine.Checksum != r.Checksum && mine.Checksum != 0 && r.Checksum != 0 {
		c.Repairs++
		for _, e := range o.order {
			e.summed = false
		}
		o.known, o.sum = o.floor, 0
		return true, false
	}
	top := max(r.Watermark, r.Highest)
	return r.Watermark > o.known || top > max(o.known, o.top()), o.known > r.Watermark || mine.Floor > r.Floor || o.top() > top
}
