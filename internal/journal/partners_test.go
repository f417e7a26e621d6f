package journal

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

func partner(name string, at time.Time, unhealthy bool) Record {
	return Record{Op: OpPartner, ID: name, Partner: &Partner{At: at.UnixMicro(), Unhealthy: unhealthy,
		SinceUsed: 5, Arrivals: 3, SinceOutage: 9,
		Limiter: PartnerLimiter{Limit: 4.5, Rate: 2, SinceDecrease: 7, PeakRate: 12},
		Bins:    []byte{3, 40}, Weights: []uint16{1, 65535}, Censored: 8, SinceSample: 6,
		Endpoints: []PartnerEndpoint{{Name: "e-" + name, Limiter: PartnerLimiter{Rate: 1}, Outage: unhealthy, Cold: true,
			SinceRecovery: 1, SinceSuccess: 2, SinceFailure: 3, SinceIndependentSuccess: 4, TrialInterval: 5,
			FailureRatio: 0.25, Latency: 6, Failures: 7, Overloads: 8, Resets: 9}}}}
}

var partnerOptions = Options{MaxBytes: 3e6, KeepPartners: true}

// Partner states must be returned to the next process unchanged, and once; a newer state replaces an older one. One
// that can't be decoded, has expired or is not wanted is dropped, and must not prevent the start.
func TestPartnersOutliveProcess(t *testing.T) {
	fs, now := vfs.NewMem(), time.Now()
	j := openJournal(t, fs, partnerOptions)
	mustAppend(t, j, partner("a", now, true), partner("b", now, false))
	mustAppend(t, j, partner("a", now, false))
	huge := partner("huge", now, true)
	for i := range 1000 { // only those in outage are kept, up to maxPartnerEndpoints
		huge.Partner.Endpoints = append(huge.Partner.Endpoints,
			PartnerEndpoint{Name: "0123456789", SinceSuccess: 1e9, Outage: i%10 == 0})
	}
	mustAppend(t, j, huge, partner("old", now.Add(-healthyRetention-time.Second), false),
		partner("old and unhealthy", now.Add(-healthyRetention-time.Second), true))
	var b store.Batch
	b.Put(keyPartner+"odd", []byte{0xff})
	if err := j.store.Commit(&b); err != nil {
		t.Fatal(err)
	}
	if got := j.Partners(); len(got) > 0 {
		t.Errorf("states before the restart: %v", got)
	}
	j = reopen(t, j, fs)
	got := j.Partners()
	for _, want := range []Record{partner("a", now, false), partner("b", now, false),
		partner("old and unhealthy", now.Add(-healthyRetention-time.Second), true)} {
		if !reflect.DeepEqual(got[want.ID], want.Partner) {
			t.Errorf("%s: %+v, want %+v", want.ID, got[want.ID], want.Partner)
		}
	}
	if h := got["huge"]; h == nil || len(h.Endpoints) != maxPartnerEndpoints || !h.Endpoints[1].Outage ||
		len(h.Bins) != 2 {
		t.Errorf("state over the maximum size: %+v", h)
	}
	if len(got) != 4 || len(j.Partners()) > 0 {
		t.Errorf("%d states, then %d; want 4, then none", len(got), len(j.Partners()))
	}
	j.DropExpired(now.UnixMicro())
	j.opts.KeepPartners = false
	if j = reopen(t, j, fs); len(j.Partners()) > 0 {
		t.Error("states returned although KeepPartners is off")
	}
	j.DropExpired(now.UnixMicro())
	if n := j.Stats().Keys; n != 1 { // the record of the clock stays
		t.Errorf("%d records are left", n)
	}
	j.Close()
}

// Partner states must stay within their share of the capacity, from which healthy ones are evicted first. That share is
// free for them however many messages are pending, and they must not use the space reserved for these messages.
func TestPartnersStayWithinShare(t *testing.T) {
	fs, now := vfs.NewMem(), time.Now()
	j := openJournal(t, fs, partnerOptions)
	pending := 0
	for ; j.Reserve(2000); pending++ {
		mustAppend(t, j, accept(fmt.Sprint("m", pending), 2000))
	}
	maxBytes := j.partners.maxBytes
	if live := j.Stats().LiveBytes + int64(pending)*reservePerMessage; pending < 500 || live+maxBytes > j.Stats().Capacity {
		t.Fatalf("%d pending, %d of %d bytes live, %d kept for partners", pending, live, j.Stats().Capacity, maxBytes)
	}
	const unhealthy = 100
	for i := range 2000 {
		mustAppend(t, j, partner(fmt.Sprint("p", i), now.Add(time.Duration(i)), i < unhealthy))
		if j.partners.bytes > maxBytes {
			t.Fatalf("%d bytes of %d after %d", j.partners.bytes, maxBytes, i)
		}
	}
	if len(j.partners.byName) < 200 || len(j.partners.byName) > 1000 {
		t.Errorf("%d partners are kept", len(j.partners.byName))
	}
	for i := range unhealthy {
		if j.partners.byName[fmt.Sprint("p", i)] == nil {
			t.Fatalf("unhealthy p%d was evicted", i)
		}
	}
	for i := range pending { // the pending messages still find space for their states and ends
		id := fmt.Sprint("m", i)
		mustAppend(t, j, Record{Op: OpSend, ID: id, At: 1})
		mustAppend(t, j, Record{Op: OpDone, ID: id, At: now.UnixMicro()})
	}
	j = reopen(t, j, fs) // evicted states may be there again
	got := j.Partners()
	for i := range unhealthy {
		if got[fmt.Sprint("p", i)] == nil {
			t.Fatalf("unhealthy p%d is lost after the restart", i)
		}
	}
	if j.partners.bytes > maxBytes || len(got) < 200 {
		t.Errorf("%d partners with %d bytes of %d after the restart", len(got), j.partners.bytes, maxBytes)
	}
	j.Close()
}
