package journal

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

func partner(name string, at time.Time, sick bool) Record {
	return Record{Op: OpPartner, ID: name, Partner: &Partner{At: at.UnixMicro(), Unhealthy: sick, SinceUsed: 5, Arrivals: 3, SinceOutage: 9,
		Limiter: PartnerLimiter{Limit: 4.5, Rate: 2, SinceDecrease: 7, PeakRate: 12}, Bins: []byte{3, 40}, Weights: []uint16{1, 65535}, Censored: 8, SinceSample: 6,
		Endpoints: []PartnerEndpoint{{Name: "e-" + name, Limiter: PartnerLimiter{Rate: 1}, Outage: sick, Cold: true, SinceRecovery: 1, SinceSuccess: 2, SinceFailure: 3,
			SinceIndependentSuccess: 4, TrialInterval: 5, FailureRatio: 0.25, Latency: 6, Failures: 7, Overloads: 8, Resets: 9}}}}
}

var partnerOptions = Options{MaxBytes: 3e6, KeepPartners: true}

// What is known of partners is handed to the next process as it was, once; a new word replaces it, and what can't be
// read or is not wanted is dropped without a word against the start.
func TestPartnersOutliveTheProcess(t *testing.T) {
	fs, now := vfs.NewMem(), time.Now()
	j := openJournal(t, fs, partnerOptions)
	mustAppend(t, j, partner("a", now, true), partner("b", now, false))
	mustAppend(t, j, partner("a", now, false))
	huge := partner("huge", now, true)
	for i := range 1000 { // of which those in trouble are kept, as far as they fit
		huge.Partner.Endpoints = append(huge.Partner.Endpoints, PartnerEndpoint{Name: "0123456789", SinceSuccess: 1e9, Outage: i%10 == 0})
	}
	mustAppend(t, j, huge, partner("old", now.Add(-healthyRetention-time.Second), false), partner("old and sick", now.Add(-healthyRetention-time.Second), true))
	var b store.Batch
	b.Put(keyPartner+"odd", []byte{0xff})
	if err := j.store.Commit(&b); err != nil {
		t.Fatal(err)
	}
	if got := j.Partners(); len(got) > 0 {
		t.Errorf("known before the restart: %v", got)
	}
	j = reopen(t, j, fs)
	got := j.Partners()
	for _, want := range []Record{partner("a", now, false), partner("b", now, false), partner("old and sick", now.Add(-healthyRetention-time.Second), true)} {
		if !reflect.DeepEqual(got[want.ID], want.Partner) {
			t.Errorf("%s: %+v, want %+v", want.ID, got[want.ID], want.Partner)
		}
	}
	if h := got["huge"]; h == nil || len(h.Endpoints) != maxPartnerEndpoints || !h.Endpoints[1].Outage || len(h.Bins) != 2 {
		t.Errorf("of a huge one: %+v", h)
	}
	if len(got) != 4 || len(j.Partners()) > 0 {
		t.Errorf("%d known, then %d; want 4, and nothing twice", len(got), len(j.Partners()))
	}
	j.DropExpired(now.UnixMicro())
	j.opts.KeepPartners = false
	if j = reopen(t, j, fs); len(j.Partners()) > 0 {
		t.Error("known where it is not wanted")
	}
	j.DropExpired(now.UnixMicro())
	if n := j.Stats().Keys; n != 1 { // the record of the clock stays
		t.Errorf("%d records are left", n)
	}
	j.Close()
}

// Partners keep to their part of the room: those that were well go first. That part is free for them however many
// messages are held, and they take nothing from what is owed.
func TestPartnersKeepToTheirRoom(t *testing.T) {
	fs, now := vfs.NewMem(), time.Now()
	j := openJournal(t, fs, partnerOptions)
	held := 0
	for ; j.Reserve(2000); held++ {
		mustAppend(t, j, accept(fmt.Sprint("m", held), 2000))
	}
	room := j.partners.maxBytes
	if live := j.Stats().Live + int64(held)*reservePerMessage; held < 500 || live+room > j.Stats().Capacity {
		t.Fatalf("%d held, %d of %d bytes live, %d kept for partners", held, live, j.Stats().Capacity, room)
	}
	const sick = 100
	for i := range 2000 {
		mustAppend(t, j, partner(fmt.Sprint("p", i), now.Add(time.Duration(i)), i < sick))
		if j.partners.bytes > room {
			t.Fatalf("%d bytes of %d after %d", j.partners.bytes, room, i)
		}
	}
	if len(j.partners.byName) < 200 || len(j.partners.byName) > 1000 {
		t.Errorf("%d partners are kept", len(j.partners.byName))
	}
	for i := range sick {
		if j.partners.byName[fmt.Sprint("p", i)] == nil {
			t.Fatalf("p%d was sick and is gone", i)
		}
	}
	for i := range held { // what is held still finds room for all that becomes of it
		id := fmt.Sprint("m", i)
		mustAppend(t, j, Record{Op: OpSend, ID: id, At: 1})
		mustAppend(t, j, Record{Op: OpDone, ID: id, At: now.UnixMicro()})
	}
	j = reopen(t, j, fs) // those that were let go may be there again
	got := j.Partners()
	for i := range sick {
		if got[fmt.Sprint("p", i)] == nil {
			t.Fatalf("p%d was sick and is gone after the restart", i)
		}
	}
	if j.partners.bytes > room || len(got) < 200 {
		t.Errorf("%d partners with %d bytes of %d after the restart", len(got), j.partners.bytes, room)
	}
	j.Close()
}
