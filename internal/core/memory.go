package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

const (
	// maxSavedPerStep is the maximum number of changed partner states that are written with the records of one step.
	// The others are written later.
	maxSavedPerStep = 4
	// maxSavedPerSweep is the maximum number of changed partner states that are written with the records of one sweep,
	// about once a second. The others are written later.
	maxSavedPerSweep = 64
)

// savePartners adds records of partner states that have changed, at most limit of them. They are written with the
// records of the step or the sweep that calls it.
func (c *Core) savePartners(limit int) {
	if !c.cfg.Settings.TrackChanges {
		return
	}
	for _, state := range c.scheduler.ChangedStates(toMicros(time.Since(c.startedAt)), limit) {
		if name, saved := c.toJournalPartner(state); name != "" {
			c.records = append(c.records, journal.Record{Op: journal.OpPartner, ID: name, Partner: saved})
		}
	}
}

// restorePartners passes the saved states of partners that are listed by now to the scheduler. The other states are
// kept until their partners are listed.
func (c *Core) restorePartners() {
	if len(c.savedPartners) == 0 {
		return
	}
	now := c.clock.Now()
	for name, saved := range c.savedPartners {
		if c.directory.hasEndpoint(name) {
			c.nextEvents = append(c.nextEvents,
				logic.RestoreState{Age: logic.Micros(now - saved.At), State: c.toDestinationState(name, saved)})
			delete(c.savedPartners, name)
		}
	}
}

// toJournalPartner converts a partner state for the journal, with names in place of the scheduler's numbers. The name
// is empty if none of the endpoints is listed.
func (c *Core) toJournalPartner(state logic.DestinationState) (name string, out *journal.Partner) {
	out = &journal.Partner{Exact: state.Exact, At: c.clock.Now(), Unhealthy: state.Unhealthy, SinceUsed: int64(state.SinceUsed),
		Arrivals: state.Arrivals, SinceOutage: int64(state.SinceOutage), Limiter: toJournalLimit(state.Limiter),
		Bins: state.Latencies.Bins, Weights: state.Latencies.Weights, Censored: state.Latencies.Censored,
		SinceSample: int64(state.Latencies.SinceSample)}
	for _, endpoint := range state.Endpoints {
		listed, ok := c.directory.endpoints[endpoint.Endpoint]
		if !ok {
			continue
		}
		name = listed.partner
		out.Endpoints = append(out.Endpoints, journal.PartnerEndpoint{Name: listed.name,
			Limiter: toJournalLimit(endpoint.Limiter), Outage: endpoint.Outage, Cold: endpoint.Cold,
			SinceRecovery: int64(endpoint.SinceRecovery), SinceSuccess: int64(endpoint.SinceSuccess),
			SinceFailure: int64(endpoint.SinceFailure), SinceIndependentSuccess: int64(endpoint.SinceIndependentSuccess),
			TrialInterval: int64(endpoint.TrialInterval), FailureRatio: endpoint.FailureRatio, Latency: int64(endpoint.Latency),
			Failures: endpoint.Failures, Overloads: endpoint.Overloads, Resets: endpoint.Resets,
			Sent: toInt64s(endpoint.Sent), SinceLastSent: int64(endpoint.SinceLastSent), UntilTrial: int64(endpoint.UntilTrial),
			RequestedWait: int64(endpoint.RequestedWait)})
	}
	return name, out
}

func toJournalLimit(state logic.LimiterState) journal.PartnerLimiter {
	return journal.PartnerLimiter{Limit: state.Limit, Rate: state.Rate, SinceDecrease: int64(state.SinceDecrease),
		PeakRate: state.PeakRate, Sent: toInt64s(state.Sent), Tokens: state.Tokens, RequestedWait: int64(state.RequestedWait),
		Overloads: state.Overloads, SinceFirstOverload: int64(state.SinceFirstOverload), NearLimit: state.NearLimit}
}

// toDestinationState converts a saved partner state for the scheduler, with numbers in place of names. Endpoints that
// are not listed with the partner are left out.
func (c *Core) toDestinationState(name string, saved *journal.Partner) logic.DestinationState {
	state := logic.DestinationState{Exact: saved.Exact, Dest: c.directory.partner(name).destination, Unhealthy: saved.Unhealthy,
		SinceUsed: logic.Micros(saved.SinceUsed), Arrivals: saved.Arrivals, SinceOutage: logic.Micros(saved.SinceOutage),
		Limiter: toLimiterState(saved.Limiter),
		Latencies: logic.LatencyHistogram{Bins: saved.Bins, Weights: saved.Weights, Censored: saved.Censored,
			SinceSample: logic.Micros(saved.SinceSample)}}
	for _, endpoint := range saved.Endpoints {
		id, ok := c.directory.endpointIDs[endpoint.Name]
		if !ok || c.directory.endpoints[id].partner != name {
			continue
		}
		state.Endpoints = append(state.Endpoints, logic.EndpointState{Endpoint: id, Limiter: toLimiterState(endpoint.Limiter),
			Outage: endpoint.Outage, Cold: endpoint.Cold, SinceRecovery: logic.Micros(endpoint.SinceRecovery),
			SinceSuccess: logic.Micros(endpoint.SinceSuccess),
			SinceFailure: logic.Micros(endpoint.SinceFailure), SinceIndependentSuccess: logic.Micros(endpoint.SinceIndependentSuccess),
			TrialInterval: logic.Micros(endpoint.TrialInterval), FailureRatio: endpoint.FailureRatio, Latency: logic.Micros(endpoint.Latency),
			Failures: endpoint.Failures, Overloads: endpoint.Overloads, Resets: endpoint.Resets,
			EndpointHandover: logic.EndpointHandover{Sent: toMicrosList(endpoint.Sent),
				SinceLastSent: logic.Micros(endpoint.SinceLastSent), UntilTrial: logic.Micros(endpoint.UntilTrial),
				RequestedWait: logic.Micros(endpoint.RequestedWait)}})
	}
	return state
}

func toLimiterState(limit journal.PartnerLimiter) logic.LimiterState {
	return logic.LimiterState{Limit: limit.Limit, Rate: limit.Rate, SinceDecrease: logic.Micros(limit.SinceDecrease),
		PeakRate: limit.PeakRate,
		LimiterHandover: logic.LimiterHandover{Sent: toMicrosList(limit.Sent), Tokens: limit.Tokens,
			RequestedWait: logic.Micros(limit.RequestedWait), Overloads: limit.Overloads,
			SinceFirstOverload: logic.Micros(limit.SinceFirstOverload), NearLimit: limit.NearLimit}}
}

func toInt64s(list []logic.Micros) (out []int64) {
	for _, t := range list {
		out = append(out, int64(t))
	}
	return out
}

func toMicrosList(list []int64) (out []logic.Micros) {
	for _, t := range list {
		out = append(out, logic.Micros(t))
	}
	return out
}
