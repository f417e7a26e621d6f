package config

import (
	"reflect"
	"slices"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/store"
	"cometrack/logic"
)

// burstMargin is the part of a partner's rate that is left free for calls that arrive closer
// together than they were sent.
const burstMargin = 0.1

// burstTime is the time over which the rate limit of an idle partner with a configured rate
// accumulates calls, which may then go out at once.
const burstTime = 20 * time.Millisecond

// micros converts a duration to whole microseconds.
func micros(d Duration) logic.Micros { return logic.Micros(time.Duration(d) / time.Microsecond) }

// effectOf maps the effects of a file to those of package logic.
var effectOf = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

// Settings returns the settings of package logic. Each of several daemons that share partners
// is set up as a single sender with an equal share of each quota, so that the shares sum to
// the quota whatever the other senders do.
func (f *File) Settings() logic.Settings {
	s := logic.Settings{Senders: 1, Zones: len(f.Zones), Slots: f.Limits.Slots, MaxOpen: f.Limits.OpenMessages,
		MaxAttempts: f.Limits.Attempts, Tick: logic.Micros(time.Millisecond / time.Microsecond), ListOnRequest: true, MayCancel: true,
		AdviseRetry: true, ExponentialDecay: true, TrackChanges: true, Weights: logic.WeightsNominal, BurstTime: logic.Micros(burstTime / time.Microsecond),
		ConnIdle: micros(f.Transport.HTTP.Idle), ConnCalls: 1, MaxRetryAfter: micros(f.Limits.RetryAfter), OverQuotaWorth: 0.2,
		DrainGrace: micros(f.Rules.DrainGrace), FallMultiple: f.Rules.FallMultiple, FallWindow: micros(f.Rules.FallWindow),
		ColdFrom: f.Rules.ColdFrom, WarmAfter: micros(f.Rules.WarmAfter), KeyQuiet: micros(f.Rules.KeyQuiet),
		RemainingIndex: -1, LimitIndex: -1, PublishHealth: f.SharesFacts()}
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

// SharesFacts reports whether facts about partners are published to the other senders.
func (f *File) SharesFacts() bool { return f.Cluster != nil && *f.Cluster.Facts }

// EvenShare returns the share of each rate that a sender may use without a view of the others.
func (f *File) EvenShare() float64 { return 1 / float64(f.Senders) }

// minWeight is a rate in calls a second so low that in practice nothing is sent. It stands for
// 0, which would mean that no rate is configured.
const minWeight = 1e-9

// EndpointList returns the endpoints of all partners for a sender that may use the given share
// of each rate. A partner's weight is lower than its share of the rate, so that the burst after
// an idle time and calls that bunch on their way stay within the rate in each second.
func (f *File) EndpointList(share float64) core.EndpointList {
	out := core.EndpointList{Complete: true, Share: share}
	for _, p := range f.Partners {
		weight := p.Rate * share / (1 + burstTime.Seconds() + burstMargin)
		if p.Rate > 0 {
			weight = max(weight, minWeight)
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

// SyncPolicy returns when the journal syncs its files.
func (s Store) SyncPolicy() store.SyncPolicy {
	switch s.Sync {
	case "interval":
		return store.SyncInterval
	case "never":
		return store.SyncNever
	}
	return store.SyncAlways
}

// HasTokens reports whether clients must present a token.
func (f *File) HasTokens() bool {
	for _, t := range f.Tenants {
		if len(t.Tokens) > 0 {
			return true
		}
	}
	return false
}

// ChangedSections returns the sections of two files that differ in settings which a running
// daemon does not apply.
func ChangedSections(running, next *File) []string {
	var out []string
	a, b := *running, *next
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

// withoutQuotas returns the tenants without their quotas. A running daemon applies new quotas
// but no new tokens, so only the latter count as a difference.
func withoutQuotas(list []Tenant) []Tenant {
	out := slices.Clone(list)
	for i := range out {
		out[i].Quota = 0
	}
	return out
}
