package journal

import (
	"bytes"
	"encoding/json"
	"testing"
)

// The names of the fields are the output of `cometrack store dump`, on which operators' scripts rely: a renamed field
// must not change them.
func TestDescribeFieldNames(t *testing.T) {
	partner := &Partner{At: 1, Unhealthy: true, Arrivals: 2, SinceOutage: 3, Bins: []byte{1},
		Weights: []uint16{4}, Censored: 5, SinceSample: 6,
		Limiter: PartnerLimiter{Limit: 1, Rate: 2, SinceDecrease: 3, PeakRate: 4},
		Endpoints: []PartnerEndpoint{{Name: "e", Outage: true, Cold: true, SinceRecovery: 1, SinceSuccess: 2,
			SinceFailure: 3, SinceIndependentSuccess: 4, TrialInterval: 5, FailureRatio: 0.5, Latency: 6, Failures: 7,
			Overloads: 8, Resets: 9}}}
	terms := &Terms{Number: 3, MaxAttempts: 2,
		Classes: []ClassTerms{{Name: "safe", ByZone: true, Window: 1, KeepOrder: true}}}
	for _, c := range []struct {
		key    string
		record any
		want   string
	}{
		{"mid", &messageRecord{}, `{"what":"message","id":"id","value":{"N":0,"Accepted":0,"Deadline":0,"Class":"",` +
			`"Partner":"","Tenant":"","Key":"","Order":"","Body":null,"Terms":0,"Behind":0}}`},
		{"sid", &stateRecord{}, `{"what":"state","id":"id","value":{"N":0,"Tries":0,"Open":false,"MayRun":false,` +
			`"FirstMay":0,"FirstZone":"","End":0,"AfterMS":0,"At":0,"Digest":0,"Over":false,"Until":0,"Accepted":0,` +
			`"Deadline":0,"Class":"","Partner":"","Tenant":"","Behind":0}}`},
		{"wid", &waitRecord{}, `{"what":"wait","id":"id","value":{"Until":0}}`},
		{"pid", partner, `{"what":"partner","id":"id","value":{"at":1,"sick":true,"used":0,"came":2,"down":3,` +
			`"limit":{"told":1,"pace":2,"halved":3,"peak":4},"endpoints":[{"name":"e","limit":{},"out":true,"cold":true,` +
			`"back":1,"good":2,"bad":3,"well":4,"gap":5,"failing":0.5,"slow":6,"fails":7,"fulls":8,"resets":9}],` +
			`"bins":"AQ==","weights":[4],"cuts":5,"sampled":6}}`},
		{"c3", terms, `{"what":"terms","id":"3","value":{"n":3,"attempts":2,"classes":[{"name":"safe","aim":0,` +
			`"deadline":0,"worth":0,"late_worth":0,"effect":0,"by_zone":true,"window":1,"keep_order":true}]}}`},
		{"f", &termsInForceRecord{Configured: 4, Superseded: []supersededRecord{{3, 500}}, Newest: 4},
			`{"what":"terms in force","id":"","value":{"Configured":4,"Superseded":[{"Terms":3,"BindUntil":500}],"Newest":4}}`},
	} {
		d, err := Describe(c.key, encode(&bytes.Buffer{}, c.record))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := json.Marshal(d); err != nil || string(got) != c.want {
			t.Errorf("%s: %s, %v\nwant %s", c.key, got, err, c.want)
		}
	}
}
