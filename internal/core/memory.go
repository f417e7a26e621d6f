package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

const (
	// rememberStep and rememberSweep are how many partners are written down at once, with the records of a step
	// and about once a second. What is left waits for the next time.
	maxSavedPerStep  = 4
	maxSavedPerSweep = 64
)

// remember writes down what the module has news of. The records go out with those
// of the next step, or by themselves when the store forgets.
func (c *Core) savePartners(most int) {
	if !c.cfg.Settings.TrackChanges {
		return
	}
	for _, m := range c.sender.ChangedStates(toMicros(time.Since(c.start)), most) {
		if name, known := c.toJournalPartner(m); name != "" {
			c.records = append(c.records, journal.Record{Op: journal.OpPartner, ID: name, Partner: known})
		}
	}
}

// recall hands the module what an earlier process knew of partners that are on the
// list by now. What was known of others stays for when they come.
func (c *Core) restorePartners() {
	if len(c.savedPartners) == 0 {
		return
	}
	now := c.clock.Now()
	for name, known := range c.savedPartners {
		if c.directory.hasEndpoint(name) {
			c.nextEvents = append(c.nextEvents, logic.RestoreState{Age: logic.Micros(now - known.At), State: c.toDestinationState(name, known)})
			delete(c.savedPartners, name)
		}
	}
}

// toJournal puts names in the place of numbers; no name if the partner has none.
func (c *Core) toJournalPartner(m logic.DestinationState) (name string, out *journal.Partner) {
	out = &journal.Partner{Exact: m.Exact, At: c.clock.Now(), Sick: m.Unhealthy, Used: int64(m.SinceUsed), Came: m.Arrivals, Down: int64(m.SinceOutage),
		Limit: toJournalLimit(m.Limiter), Bins: m.Latencies.Bins, Weights: m.Latencies.Weights, Cuts: m.Latencies.Censored,
		Sampled: int64(m.Latencies.SinceSample)}
	for _, x := range m.Endpoints {
		to, ok := c.directory.endpoints[x.Endpoint]
		if !ok {
			continue
		}
		name = to.partner
		out.Endpoints = append(out.Endpoints, journal.PartnerEndpoint{Name: to.name, Limit: toJournalLimit(x.Limiter), Out: x.Outage, Cold: x.Cold,
			Back: int64(x.SinceRecovery), Good: int64(x.SinceSuccess), Bad: int64(x.SinceFailure), Well: int64(x.SinceIndependentSuccess), Gap: int64(x.TrialInterval), Failing: x.FailureRatio,
			Slow: int64(x.Latency), Fails: x.Failures, Fulls: x.Overloads, Resets: x.Resets,
			Sent: toInt64s(x.Sent), LastSent: int64(x.SinceLastSent), Trial: int64(x.UntilTrial), Told: int64(x.RequestedWait)})
	}
	return name, out
}

func toJournalLimit(l logic.LimiterState) journal.PartnerLimit {
	return journal.PartnerLimit{Told: l.Limit, Pace: l.Rate, Halved: int64(l.SinceDecrease), Peak: l.PeakRate, Sent: toInt64s(l.Sent),
		Tokens: l.Tokens, Wait: int64(l.RequestedWait), Fulls: l.Overloads, First: int64(l.SinceFirstOverload), Spent: l.NearLimit}
}

func (c *Core) toDestinationState(name string, p *journal.Partner) logic.DestinationState {
	m := logic.DestinationState{Exact: p.Exact, Dest: c.directory.partner(name).destination, Unhealthy: p.Sick, SinceUsed: logic.Micros(p.Used), Arrivals: p.Came,
		SinceOutage: logic.Micros(p.Down), Limiter: toLimiterState(p.Limit),
		Latencies: logic.LatencyHistogram{Bins: p.Bins, Weights: p.Weights, Censored: p.Cuts, SinceSample: logic.Micros(p.Sampled)}}
	for _, x := range p.Endpoints {
		id, ok := c.directory.endpointIDs[x.Name]
		if !ok || c.directory.endpoints[id].partner != name {
			continue
		}
		m.Endpoints = append(m.Endpoints, logic.EndpointState{Endpoint: id, Limiter: toLimiterState(x.Limit), Outage: x.Out, Cold: x.Cold,
			SinceRecovery: logic.Micros(x.Back), SinceSuccess: logic.Micros(x.Good), SinceFailure: logic.Micros(x.Bad), SinceIndependentSuccess: logic.Micros(x.Well),
			TrialInterval: logic.Micros(x.Gap), FailureRatio: x.Failing, Latency: logic.Micros(x.Slow), Failures: x.Fails, Overloads: x.Fulls, Resets: x.Resets,
			EndpointHandover: logic.EndpointHandover{Sent: toMicrosList(x.Sent), SinceLastSent: logic.Micros(x.LastSent), UntilTrial: logic.Micros(x.Trial),
				RequestedWait: logic.Micros(x.Told)}})
	}
	return m
}

func toLimiterState(l journal.PartnerLimit) logic.LimiterState {
	return logic.LimiterState{Limit: l.Told, Rate: l.Pace, SinceDecrease: logic.Micros(l.Halved), PeakRate: l.Peak,
		LimiterHandover: logic.LimiterHandover{Sent: toMicrosList(l.Sent), Tokens: l.Tokens, RequestedWait: logic.Micros(l.Wait), Overloads: l.Fulls,
			SinceFirstOverload: logic.Micros(l.First), NearLimit: l.Spent}}
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
