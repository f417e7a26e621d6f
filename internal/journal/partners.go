package journal

import (
	"cmp"
	"slices"
	"time"

	"cometrack/internal/store"
)

// Partner is what is known of a partner, so that a later process does not begin
// with nothing. Spans are microseconds before At. Endpoints stand by name.
type Partner struct {
	At          int64             `cbor:"1,keyasint" json:"at"`             // Unix time in microseconds
	Unhealthy   bool              `cbor:"2,keyasint,omitempty" json:"sick"` // something is out, or not warm yet
	SinceUsed   int64             `cbor:"3,keyasint,omitempty" json:"used"`
	Arrivals    int               `cbor:"4,keyasint,omitempty" json:"came,omitempty"` // messages since an outage began
	SinceOutage int64             `cbor:"5,keyasint,omitempty" json:"down,omitempty"` // since that was seen
	Limiter     PartnerLimiter    `cbor:"6,keyasint,omitempty" json:"limit"`
	Endpoints   []PartnerEndpoint `cbor:"7,keyasint,omitempty" json:"endpoints"`
	Bins        []byte            `cbor:"8,keyasint,omitempty" json:"bins,omitempty"` // of the histogram of latencies
	Weights     []uint16          `cbor:"9,keyasint,omitempty" json:"weights,omitempty"`
	Censored    uint16            `cbor:"10,keyasint,omitempty" json:"cuts,omitempty"`
	SinceSample int64             `cbor:"11,keyasint,omitempty" json:"sampled,omitempty"`
	Exact       bool              `cbor:"12,keyasint,omitempty" json:"-"` // of a handover, as are all that follow below; never stored
}

// PartnerLimiter is what is known of a limit; rates are calls a second.
type PartnerLimiter struct {
	Limit         float64 `cbor:"1,keyasint,omitempty" json:"told,omitempty"`
	Rate          float64 `cbor:"2,keyasint,omitempty" json:"pace,omitempty"`
	SinceDecrease int64   `cbor:"3,keyasint,omitempty" json:"halved,omitempty"`
	PeakRate      float64 `cbor:"4,keyasint,omitempty" json:"peak,omitempty"`

	Sent               []int64 `cbor:"5,keyasint,omitempty" json:"-"`
	Tokens             float64 `cbor:"6,keyasint,omitempty" json:"-"`
	RequestedWait      int64   `cbor:"7,keyasint,omitempty" json:"-"`
	Overloads          int     `cbor:"8,keyasint,omitempty" json:"-"`
	SinceFirstOverload int64   `cbor:"9,keyasint,omitempty" json:"-"`
	NearLimit          bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// PartnerEndpoint is what is known of one endpoint.
type PartnerEndpoint struct {
	Name                    string         `cbor:"1,keyasint" json:"name"`
	Limiter                 PartnerLimiter `cbor:"2,keyasint,omitempty" json:"limit"` // its own, where it has one
	Outage                  bool           `cbor:"3,keyasint,omitempty" json:"out,omitempty"`
	Cold                    bool           `cbor:"4,keyasint,omitempty" json:"cold,omitempty"`
	SinceRecovery           int64          `cbor:"5,keyasint,omitempty" json:"back,omitempty"`
	SinceSuccess            int64          `cbor:"6,keyasint,omitempty" json:"good,omitempty"`
	SinceFailure            int64          `cbor:"7,keyasint,omitempty" json:"bad,omitempty"`
	SinceIndependentSuccess int64          `cbor:"8,keyasint,omitempty" json:"well,omitempty"`
	TrialInterval           int64          `cbor:"9,keyasint,omitempty" json:"gap,omitempty"`
	FailureRatio            float64        `cbor:"10,keyasint,omitempty" json:"failing,omitempty"`
	Latency                 int64          `cbor:"11,keyasint,omitempty" json:"slow,omitempty"`
	Failures                int            `cbor:"12,keyasint,omitempty" json:"fails,omitempty"`
	Overloads               int            `cbor:"13,keyasint,omitempty" json:"fulls,omitempty"`
	Resets                  int            `cbor:"14,keyasint,omitempty" json:"resets,omitempty"`

	Sent          []int64 `cbor:"15,keyasint,omitempty" json:"-"`
	SinceLastSent int64   `cbor:"16,keyasint,omitempty" json:"-"`
	UntilTrial    int64   `cbor:"17,keyasint,omitempty" json:"-"`
	RequestedWait int64   `cbor:"18,keyasint,omitempty" json:"-"`
}

const (
	// partnersPart is the part of the room that what is known of partners may fill; it is kept free for that.
	partnersPart = 0.05
	// evictTo is how far it is emptied when it is full.
	evictTo = 0.9
	// mostPartner is the most bytes of one, which that of so many endpoints does not reach.
	mostPartner   = 16 << 10
	mostEndpoints = 50
	// keepSick and keepWell are how long it is kept of a partner that has not been heard of since. Of one that was
	// well the module believes nothing older than two minutes but a limit, which comes with the next answer.
	keepSick = 30 * 24 * time.Hour
	keepWell = 10 * time.Minute
	// partnersEvery is how often those whose time is up are looked for.
	partnersEvery = time.Minute
)

// trim leaves out what is known of endpoints that are well, and of the last of very
// many.
func (p *Partner) trim() {
	p.Endpoints = slices.DeleteFunc(slices.Clone(p.Endpoints), func(x PartnerEndpoint) bool { return !x.Outage && !x.Cold })
	p.Endpoints = p.Endpoints[:min(len(p.Endpoints), mostEndpoints)]
}

// known is what the journal keeps in memory of a partner: not the values, once the
// store has them and the core has had them.
type known struct {
	at    int64
	size  int64
	sick  bool
	value *Partner
}

// partners is what is known of partners, within its room.
type partners struct {
	by    map[string]*known
	dirty map[string]bool
	room  int64 // 0: nothing is kept
	bytes int64
	next  int64 // of the search for those whose time is up
}

// add takes what is known of a partner.
func (p *partners) add(name string, x *Partner, size int64) {
	p.drop(name)
	p.by[name] = &known{at: x.At, sick: x.Unhealthy, value: x, size: size}
	p.bytes += size
	p.dirty[name] = true
	if p.bytes > p.room {
		p.evict()
	}
}

func (p *partners) drop(name string) {
	if k := p.by[name]; k != nil {
		p.bytes -= k.size
		delete(p.by, name)
		p.dirty[name] = true
	}
}

// evict makes room: those that were well go before those that were not, the oldest
// first.
func (p *partners) evict() {
	names := make([]string, 0, len(p.by))
	for name := range p.by {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := p.by[a], p.by[b]
		switch {
		case x.sick && !y.sick:
			return 1
		case y.sick && !x.sick:
			return -1
		}
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(a, b))
	})
	for _, name := range names {
		if float64(p.bytes) <= evictTo*float64(p.room) {
			return
		}
		p.drop(name)
	}
}

// forget drops those whose time is up.
func (p *partners) forget(now int64) {
	if now < p.next {
		return
	}
	p.next = now + partnersEvery.Microseconds()
	for name, k := range p.by {
		keep := keepWell
		if k.sick {
			keep = keepSick
		}
		if now-k.at > keep.Microseconds() {
			p.drop(name)
		}
	}
}

// free is what is kept free for what is not there yet.
func (p *partners) free() int64 { return max(p.room-p.bytes, 0) }

// putPartner adds to a batch what the store is to have of a partner.
func (j *Journal) putPartner(b *store.Batch, name string) {
	k := j.partners.by[name]
	if k == nil {
		b.Forget(keyPartner + name)
		return
	}
	if k.value != nil {
		b.Put(keyPartner+name, encode(&j.buf, k.value))
	}
}

// applyPartner notes what is known of a partner.
func (j *Journal) applyPartner(name string, x *Partner) {
	if x == nil || j.partners.room == 0 {
		return
	}
	from := j.buf.Len()
	size := store.FrameSize(len(name)+1, len(encode(&j.buf, x)))
	j.buf.Truncate(from)
	if size > mostPartner {
		x.trim()
		size = store.FrameSize(len(name)+1, len(encode(&j.buf, x)))
		j.buf.Truncate(from)
	}
	j.partners.add(name, x, size)
}

// Partners hands over what an earlier process knew of partners, once.
func (j *Journal) Partners() map[string]*Partner {
	out := map[string]*Partner{}
	for name, k := range j.partners.by {
		if k.value != nil && !j.partners.dirty[name] {
			out[name], k.value = k.value, nil
		}
	}
	return out
}
