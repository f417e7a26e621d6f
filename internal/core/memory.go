package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

const (
	// maxSavedPerStep and maxSavedPerSweep limit how many partner states are written with the records of one step,
	// and with those of one sweep, about once a second. The others are written later.
	maxSavedPerStep  = 4
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
	out = &journal.Partner{Exact: state.Exact, At: c.clock.Now(), Sick: state.Unhealthy, Used: int64(state.SinceUsed),
		Came: state.Arrivals, Down: int64(state.SinceOutage), Limit: toJournalLimit(state.Limiter),
		Bins: state.Latencies.Bins, Weights: state.Latencies.Weights, Cuts: state.Latencies.Censored,
		Sampled: int64(state.Latencies.SinceSample)}
	for _, endpoint := range state.Endpoints {
		listed, ok := c.directory.endpoints[endpoint.Endpoint]
		if !ok {
			continue
		}
		name = listed.partner
		out.Endpoints = append(out.Endpoints, journal.PartnerEndpoint{Name: listed.name,
			Limit: toJournalLimit(endpoint.Limiter), Out: endpoint.Outage, Cold: endpoint.Cold,
			Back: int64(endpoint.SinceRecovery), Good: int64(endpoint.SinceSuccess),
			Bad: int64(endpoint.SinceFailure), Well: int64(endpoint.SinceIndependentSuccess),
			Gap: int64(endpoint.TrialInterval), Failing: endpoint.FailureRatio, Slow: int64(endpoint.Latency),
			Fails: endpoint.Failures, Fulls: endpoint.Overloads, Resets: endpoint.Resets,
			Sent: toInt64s(endpoint.Sent), LastSent: int64(endpoint.SinceLastSent), Trial: int64(endpoint.UntilTrial),
			Told: int64(endpoint.RequestedWait)})
	}
	return name, out
}

func toJournalLimit(state logic.LimiterState) journal.PartnerLimit {
	return journal.PartnerLimit{Told: state.Limit, Pace: state.Rate, Halved: int64(state.SinceDecrease),
		Peak: state.PeakRate, Sent: toInt64s(state.Sent), Tokens: state.Tokens, Wait: int64(state.RequestedWait),
		Fulls: state.Overloads, First: int64(state.SinceFirstOverload), Spent: state.NearLimit}
}

// toDestinationState converts a saved partner state for the scheduler, with numbers in place of names. Endpoints that
// are not listed with the partner are left out.
func (c *Core) toDestinationState(name string, saved *journal.Partner) logic.DestinationState {
	state := logic.DestinationState{Exact: saved.Exact, Dest: c.directory.partner(name).destination, Unhealthy: saved.Sick,
		SinceUsed: logic.Micros(saved.Used), Arrivals: saved.Came, SinceOutage: logic.Micros(saved.Down),
		Limiter: toLimiterState(saved.Limit),
		Latencies: logic.LatencyHistogram{Bins: saved.Bins, Weights: saved.Weights, Censored: saved.Cuts,
			SinceSample: logic.Micros(saved.Sampled)}}
	for _, endpoint := range saved.Endpoints {
		id, ok := c.directory.endpointIDs[endpoint.Name]
		if !ok || c.directory.endpoints[id].partner != name {
			continue
		}
		state.Endpoints = append(state.Endpoints, logic.EndpointState{Endpoint: id, Limiter: toLimiterState(endpoint.Limit),
			Outage: endpoint.Out, Cold: endpoint.Cold, SinceRecovery: logic.Micros(endpoint.Back),
			SinceSuccess: logic.Micros(endpoint.Good),
			SinceFailure: logic.Micros(endpoint.Bad), SinceIndependentSuccess: logic.Micros(endpoint.Well),
			TrialInterval: logic.Micros(endpoint.Gap), FailureRatio: endpoint.Failing, Latency: logic.Micros(endpoint.Slow),
			Failures: endpoint.Fails, Overloads: endpoint.Fulls, Resets: endpoint.Resets,
			EndpointHandover: logic.EndpointHandover{Sent: toMicrosList(endpoint.Sent),
				SinceLastSent: logic.Micros(endpoint.LastSent), UntilTrial: logic.Micros(endpoint.Trial),
				RequestedWait: logic.Micros(endpoint.Told)}})
	}
	return state
}

func toLimiterState(limit journal.PartnerLimit) logic.LimiterState {
	return logic.LimiterState{Limit: limit.Told, Rate: limit.Pace, SinceDecrease: logic.Micros(limit.Halved),
		PeakRate: limit.Peak,
		LimiterHandover: logic.LimiterHandover{Sent: toMicrosList(limit.Sent), Tokens: limit.Tokens,
			RequestedWait: logic.Micros(limit.Wait), Overloads: limit.Fulls,
			SinceFirstOverload: logic.Micros(limit.First), NearLimit: limit.Spent}}
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
