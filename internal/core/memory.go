package core

import (
	"time"

	"cometrack/internal/journal"
	"cometrack/logic"
)

const (
	// rememberStep and rememberSweep are how many partners are written down at once, with the records of a step
	// and about once a second. What is left waits for the next time.
	rememberStep  = 4
	rememberSweep = 64
)

// remember writes down what the module has news of. The records go out with those
// of the next step, or by themselves when the store forgets.
func (c *Core) remember(most int) {
	if !c.cfg.Settings.TrackChanges {
		return
	}
	for _, m := range c.sender.ChangedStates(micros(time.Since(c.start)), most) {
		if name, known := c.toJournal(m); name != "" {
			c.records = append(c.records, journal.Record{Op: journal.OpPartner, ID: name, Partner: known})
		}
	}
}

// recall hands the module what an earlier process knew of partners that are on the
// list by now. What was known of others stays for when they come.
func (c *Core) recall() {
	if len(c.past) == 0 {
		return
	}
	now := c.clock.Now()
	for name, known := range c.past {
		if c.dir.serves(name) {
			c.next = append(c.next, logic.RestoreState{Age: logic.Micros(now - known.At), State: c.toModule(name, known)})
			delete(c.past, name)
		}
	}
}

// toJournal puts names in the place of numbers; no name if the partner has none.
func (c *Core) toJournal(m logic.DestinationState) (name string, out *journal.Partner) {
	out = &journal.Partner{Exact: m.Exact, At: c.clock.Now(), Unhealthy: m.Unhealthy, SinceUsed: int64(m.SinceUsed), Arrivals: m.Arrivals, SinceOutage: int64(m.SinceOutage),
		Limiter: limitOf(m.Limiter), Bins: m.Latencies.Bins, Weights: m.Latencies.Weights, Censored: m.Latencies.Censored,
		SinceSample: int64(m.Latencies.SinceSample)}
	for _, x := range m.Endpoints {
		to, ok := c.dir.eps[x.Endpoint]
		if !ok {
			continue
		}
		name = to.partner
		out.Endpoints = append(out.Endpoints, journal.PartnerEndpoint{Name: to.name, Limiter: limitOf(x.Limiter), Outage: x.Outage, Cold: x.Cold,
			SinceRecovery: int64(x.SinceRecovery), SinceSuccess: int64(x.SinceSuccess), SinceFailure: int64(x.SinceFailure), SinceIndependentSuccess: int64(x.SinceIndependentSuccess), TrialInterval: int64(x.TrialInterval), FailureRatio: x.FailureRatio,
			Latency: int64(x.Latency), Failures: x.Failures, Overloads: x.Overloads, Resets: x.Resets,
			Sent: numbers(x.Sent), SinceLastSent: int64(x.SinceLastSent), UntilTrial: int64(x.UntilTrial), RequestedWait: int64(x.RequestedWait)})
	}
	return name, out
}

func limitOf(l logic.LimiterState) journal.PartnerLimiter {
	return journal.PartnerLimiter{Limit: l.Limit, Rate: l.Rate, SinceDecrease: int64(l.SinceDecrease), PeakRate: l.PeakRate, Sent: numbers(l.Sent),
		Tokens: l.Tokens, RequestedWait: int64(l.RequestedWait), Overloads: l.Overloads, SinceFirstOverload: int64(l.SinceFirstOverload), NearLimit: l.NearLimit}
}

func (c *Core) toModule(name string, p *journal.Partner) logic.DestinationState {
	m := logic.DestinationState{Exact: p.Exact, Dest: c.dir.partner(name).dest, Unhealthy: p.Unhealthy, SinceUsed: logic.Micros(p.SinceUsed), Arrivals: p.Arrivals,
		SinceOutage: logic.Micros(p.SinceOutage), Limiter: laneOf(p.Limiter),
		Latencies: logic.LatencyHistogram{Bins: p.Bins, Weights: p.Weights, Censored: p.Censored, SinceSample: logic.Micros(p.SinceSample)}}
	for _, x := range p.Endpoints {
		id, ok := c.dir.ids[x.Name]
		if !ok || c.dir.eps[id].partner != name {
			continue
		}
		m.Endpoints = append(m.Endpoints, logic.EndpointState{Endpoint: id, Limiter: laneOf(x.Limiter), Outage: x.Outage, Cold: x.Cold,
			SinceRecovery: logic.Micros(x.SinceRecovery), SinceSuccess: logic.Micros(x.SinceSuccess), SinceFailure: logic.Micros(x.SinceFailure), SinceIndependentSuccess: logic.Micros(x.SinceIndependentSuccess),
			TrialInterval: logic.Micros(x.TrialInterval), FailureRatio: x.FailureRatio, Latency: logic.Micros(x.Latency), Failures: x.Failures, Overloads: x.Overloads, Resets: x.Resets,
			EndpointHandover: logic.EndpointHandover{Sent: spans(x.Sent), SinceLastSent: logic.Micros(x.SinceLastSent), UntilTrial: logic.Micros(x.UntilTrial),
				RequestedWait: logic.Micros(x.RequestedWait)}})
	}
	return m
}

func laneOf(l journal.PartnerLimiter) logic.LimiterState {
	return logic.LimiterState{Limit: l.Limit, Rate: l.Rate, SinceDecrease: logic.Micros(l.SinceDecrease), PeakRate: l.PeakRate,
		LimiterHandover: logic.LimiterHandover{Sent: spans(l.Sent), Tokens: l.Tokens, RequestedWait: logic.Micros(l.RequestedWait), Overloads: l.Overloads,
			SinceFirstOverload: logic.Micros(l.SinceFirstOverload), NearLimit: l.NearLimit}}
}

func numbers(list []logic.Micros) (out []int64) {
	for _, t := range list {
		out = append(out, int64(t))
	}
	return out
}

func spans(list []int64) (out []logic.Micros) {
	for _, t := range list {
		out = append(out, logic.Micros(t))
	}
	return out
}
