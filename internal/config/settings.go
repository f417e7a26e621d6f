package config

import (
	"reflect"
	"slices"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/store"
	"cometrack/logic"
)

// slack is room for calls that reach a partner closer together than they were
// sent.
const slack = 0.1

// pacing is how much of a pace a quiet partner saves up, where a rate is told.
const pacing = 20 * time.Millisecond

func micros(d Duration) logic.Micros { return logic.Micros(time.Duration(d) / time.Microsecond) }

var effectOf = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

// Settings are the module's. Daemons that share partners each work as if alone
// with an even part of every rate and quota: so the parts add up whatever the
// others do.
func (f *File) Settings() logic.Settings {
	s := logic.Settings{Senders: 1, Zones: len(f.Zones), Slots: f.Limits.Slots, MaxOpen: f.Limits.OpenMessages,
		MaxTries: f.Limits.Attempts, Tick: logic.Micros(time.Millisecond / time.Microsecond), ListOnRequest: true, MayCancel: true,
		AdviseRetry: true, ExponentialDecay: true, TrackChanges: true, Weights: logic.WeightsNominal, BurstTime: logic.Micros(pacing / time.Microsecond),
		ConnIdle: micros(f.Transport.HTTP.Idle), ConnCalls: 1, MaxRetryAfter: micros(f.Limits.RetryAfter), OverQuotaWorth: 0.2,
		DrainGrace: micros(f.Rules.DrainGrace), FallMultiple: f.Rules.FallMultiple, FallWindow: micros(f.Rules.FallWindow),
		ColdFrom: f.Rules.ColdFrom, WarmAfter: micros(f.Rules.WarmAfter), KeyQuiet: micros(f.Rules.KeyQuiet),
		RemainingIndex: -1, LimitIndex: -1, PublishHealth: f.Shares()}
	for i, z := range f.Zones {
		if z == f.Zone {
			s.Zone = i
		}
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, logic.Class{Name: c.Name, Aim: micros(c.Aim), Deadline: micros(c.Deadline), Worth: c.Worth,
			LateWorth: c.LateWorth, Effect: effectOf[c.Effect], ByZone: c.ByZone, Window: micros(c.Window), KeepOrder: c.Order})
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.Name, QuotaRPS: t.Quota / float64(f.Senders)})
	}
	for _, k := range f.Kinds {
		s.Kinds = append(s.Kinds, logic.Kind{Name: k.Name, Independent: k.Routes == "apart", MaxBatch: 1})
	}
	return s
}

// Shares says whether what is learnt of partners is shared with other senders.
func (f *File) Shares() bool { return f.Cluster != nil && *f.Cluster.Facts }

// Even is the part of each rate of a sender that knows nothing of the others.
func (f *File) Even() float64 { return 1 / float64(f.Senders) }

// noRate is a rate in calls a second under which nothing goes out; 0 would mean that
// none is told.
const noRate = 1e-9

// List is the partners' endpoints as the core takes them, for a sender that may use
// a part of each rate. A partner's weight lies so far under its rate that what a
// pace saves up, and calls that bunch on their way, keep within the rate in any
// second.
func (f *File) List(part float64) core.EndpointList {
	out := core.EndpointList{Complete: true, Share: part}
	for _, p := range f.Partners {
		weight := p.Rate * part / (1 + pacing.Seconds() + slack)
		if p.Rate > 0 {
			weight = max(weight, noRate)
		}
		for _, e := range p.Endpoints {
			row := core.Endpoint{Name: e.Name, Addr: e.Address, Zone: e.Zone, Kind: p.Kind, Partner: p.Name, Weight: weight}
			if e.Drain {
				row.State = logic.Draining
			}
			out.Endpoints = append(out.Endpoints, row)
		}
	}
	return out
}

// Mode is when the journal syncs.
func (s Store) Mode() store.SyncPolicy {
	switch s.Sync {
	case "interval":
		return store.SyncInterval
	case "never":
		return store.SyncNever
	}
	return store.SyncAlways
}

// HasTokens says whether clients have to show one.
func (f *File) HasTokens() bool {
	for _, t := range f.Tenants {
		if len(t.Tokens) > 0 {
			return true
		}
	}
	return false
}

// Changed names the sections in which two files differ in what a running daemon
// does not follow.
func Changed(held, next *File) []string {
	var out []string
	a, b := *held, *next
	a.Classes, a.Rules = b.Classes, b.Rules
	a.Limits.Attempts, a.Limits.OpenMessages, a.Limits.Slots = b.Limits.Attempts, b.Limits.OpenMessages, b.Limits.Slots
	a.Limits.RetryAfter = b.Limits.RetryAfter
	a.Tenants, b.Tenants = withoutQuotas(a.Tenants), withoutQuotas(b.Tenants)
	av, bv := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range av.NumField() {
		tag := av.Type().Field(i).Tag.Get("toml")
		if tag == "" || tag == "partner" {
			continue
		}
		if !reflect.DeepEqual(av.Field(i).Interface(), bv.Field(i).Interface()) {
			out = append(out, tag)
		}
	}
	return out
}

// withoutQuotas is a list of tenants for comparison: their tokens are for the next
// start, their quotas are not.
func withoutQuotas(list []Tenant) []Tenant {
	out := slices.Clone(list)
	for i := range out {
		out[i].Quota = 0
	}
	return out
}
