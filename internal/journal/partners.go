package journal

import (
	"cmp"
	"slices"
	"time"

	"cometrack/internal/store"
)

// Partner is the state of a partner's destination, from which a later process continues instead of
// starting without any. Durations are in microseconds before At. Endpoints are stored by name.
type Partner struct {
	At          int64             `cbor:"1,keyasint" json:"at"`                       // in microseconds of [Journal.Clock]
	Unhealthy   bool              `cbor:"2,keyasint,omitempty" json:"sick"`           // in outage or slow start
	SinceUsed   int64             `cbor:"3,keyasint,omitempty" json:"used"`           // since the last submission
	Arrivals    int               `cbor:"4,keyasint,omitempty" json:"came,omitempty"` // submissions since the last outage
	SinceOutage int64             `cbor:"5,keyasint,omitempty" json:"down,omitempty"` // since that outage was detected
	Limiter     PartnerLimiter    `cbor:"6,keyasint,omitempty" json:"limit"`
	Endpoints   []PartnerEndpoint `cbor:"7,keyasint,omitempty" json:"endpoints"`
	Bins        []byte            `cbor:"8,keyasint,omitempty" json:"bins,omitempty"`     // bins of the latency histogram
	Weights     []uint16          `cbor:"9,keyasint,omitempty" json:"weights,omitempty"`  // of the bins
	Censored    uint16            `cbor:"10,keyasint,omitempty" json:"cuts,omitempty"`    // weight of the censored samples
	SinceSample int64             `cbor:"11,keyasint,omitempty" json:"sampled,omitempty"` // since the last sample
	Exact       bool              `cbor:"12,keyasint,omitempty" json:"-"`                 // complete; only for a handover
}

// PartnerLimiter is the state of a rate limiter. Rates are in calls per second.
type PartnerLimiter struct {
	Limit         float64 `cbor:"1,keyasint,omitempty" json:"told,omitempty"`   // the reported limit; 0 if none
	Rate          float64 `cbor:"2,keyasint,omitempty" json:"pace,omitempty"`   // adaptive rate; 0 if it is not limited
	SinceDecrease int64   `cbor:"3,keyasint,omitempty" json:"halved,omitempty"` // since the last multiplicative decrease
	PeakRate      float64 `cbor:"4,keyasint,omitempty" json:"peak,omitempty"`   // most calls within a second

	// The fields below are only set for a handover.

	Sent               []int64 `cbor:"5,keyasint,omitempty" json:"-"`
	Tokens             float64 `cbor:"6,keyasint,omitempty" json:"-"`
	RequestedWait      int64   `cbor:"7,keyasint,omitempty" json:"-"`
	Overloads          int     `cbor:"8,keyasint,omitempty" json:"-"`
	SinceFirstOverload int64   `cbor:"9,keyasint,omitempty" json:"-"`
	NearLimit          bool    `cbor:"10,keyasint,omitempty" json:"-"`
}

// PartnerEndpoint is the state of an endpoint. Durations are in microseconds before [Partner.At].
type PartnerEndpoint struct {
	Name                    string         `cbor:"1,keyasint" json:"name"`
	Limiter                 PartnerLimiter `cbor:"2,keyasint,omitempty" json:"limit"` // its own limiter, if it has one
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

	// The fields below are only set for a handover.

	Sent          []int64 `cbor:"15,keyasint,omitempty" json:"-"`
	SinceLastSent int64   `cbor:"16,keyasint,omitempty" json:"-"`
	UntilTrial    int64   `cbor:"17,keyasint,omitempty" json:"-"`
	RequestedWait int64   `cbor:"18,keyasint,omitempty" json:"-"`
}

const (
	// partnersShare is the share of the capacity that partner states may occupy; it is kept free for them.
	partnersShare = 0.05
	// evictionTarget is the fraction of that space to which an eviction reduces the partner states.
	evictionTarget = 0.9
	// maxPartnerBytes is the maximum size of one state. A state with maxPartnerEndpoints endpoints stays below it.
	maxPartnerBytes     = 16 << 10
	maxPartnerEndpoints = 50
	// unhealthyRetention and healthyRetention are how long a state is kept without an update. Of a healthy partner the
	// module uses nothing older than two minutes except a limit, which the next answer reports again.
	unhealthyRetention = 30 * 24 * time.Hour
	healthyRetention   = 10 * time.Minute
	// partnerExpiryInterval is the interval between searches for states whose retention has ended.
	partnerExpiryInterval = time.Minute
)

// trimEndpoints drops the states of healthy endpoints, and all above maxPartnerEndpoints.
func (p *Partner) trimEndpoints() {
	p.Endpoints = slices.DeleteFunc(slices.Clone(p.Endpoints),
		func(x PartnerEndpoint) bool { return !x.Outage && !x.Cold })
	p.Endpoints = p.Endpoints[:min(len(p.Endpoints), maxPartnerEndpoints)]
}

// partnerState is what the journal keeps in memory of a partner. value is nil once the store has it
// and, if it was read at the start, [Journal.Partners] has returned it.
type partnerState struct {
	updatedAt int64
	size      int64 // bytes in the store
	unhealthy bool
	value     *Partner
}

// partnerStates are the states of partners, within a limit of bytes.
type partnerStates struct {
	byName     map[string]*partnerState
	dirty      map[string]bool
	maxBytes   int64 // 0: no states are kept
	bytes      int64
	nextExpiry int64 // time of the next search for expired states
}

// add stores the state of a partner in place of an earlier one.
func (p *partnerStates) add(name string, x *Partner, size int64) {
	p.drop(name)
	p.byName[name] = &partnerState{updatedAt: x.At, unhealthy: x.Unhealthy, value: x, size: size}
	p.bytes += size
	p.dirty[name] = true
	if p.bytes > p.maxBytes {
		p.evict()
	}
}

// drop removes the state of a partner.
func (p *partnerStates) drop(name string) {
	if k := p.byName[name]; k != nil {
		p.bytes -= k.size
		delete(p.byName, name)
		p.dirty[name] = true
	}
}

// evict frees space: it drops healthy states before unhealthy ones, the oldest first.
func (p *partnerStates) evict() {
	names := make([]string, 0, len(p.byName))
	for name := range p.byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := p.byName[a], p.byName[b]
		switch {
		case x.unhealthy && !y.unhealthy:
			return 1
		case y.unhealthy && !x.unhealthy:
			return -1
		}
		return cmp.Or(cmp.Compare(x.updatedAt, y.updatedAt), cmp.Compare(a, b))
	})
	for _, name := range names {
		if float64(p.bytes) <= evictionTarget*float64(p.maxBytes) {
			return
		}
		p.drop(name)
	}
}

// expire drops states whose retention has ended.
func (p *partnerStates) expire(now int64) {
	if now < p.nextExpiry {
		return
	}
	p.nextExpiry = now + partnerExpiryInterval.Microseconds()
	for name, k := range p.byName {
		retention := healthyRetention
		if k.unhealthy {
			retention = unhealthyRetention
		}
		if now-k.updatedAt > retention.Microseconds() {
			p.drop(name)
		}
	}
}

// unused returns the number of bytes to keep free for further states.
func (p *partnerStates) unused() int64 { return max(p.maxBytes-p.bytes, 0) }

// putPartner adds the state of a partner, or its removal, to a batch.
func (j *Journal) putPartner(b *store.Batch, name string) {
	k := j.partners.byName[name]
	if k == nil {
		b.DeleteWeak(keyPartner + name)
		return
	}
	if k.value != nil {
		b.Put(keyPartner+name, encode(&j.buf, k.value))
	}
}

// applyPartner stores the state of a partner, trimmed to maxPartnerBytes.
func (j *Journal) applyPartner(name string, x *Partner) {
	if x == nil || j.partners.maxBytes == 0 {
		return
	}
	from := j.buf.Len()
	size := store.MaxFrameSize(len(name)+1, len(encode(&j.buf, x)))
	j.buf.Truncate(from)
	if size > maxPartnerBytes {
		x.trimEndpoints()
		size = store.MaxFrameSize(len(name)+1, len(encode(&j.buf, x)))
		j.buf.Truncate(from)
	}
	j.partners.add(name, x, size)
}

// Partners returns the states of partners that an earlier process stored, by name, and releases
// them: a second call does not return them again.
func (j *Journal) Partners() map[string]*Partner {
	out := map[string]*Partner{}
	for name, k := range j.partners.byName {
		if k.value != nil && !j.partners.dirty[name] {
			out[name], k.value = k.value, nil
		}
	}
	return out
}
