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
	if !c.cfg.Settings.Remember {
		return
	}
	for _, m := range c.sender.Remember(toMicros(time.Since(c.start)), most) {
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
			c.nextEvents = append(c.nextEvents, logic.Recall{Age: logic.Micros(now - known.At), Memory: c.toDestinationState(name, known)})
			delete(c.savedPartners, name)
		}
	}
}

// toJournal puts names in the place of numbers; no name if the partner has none.
func (c *Core) toJournalPartner(m logic.Memory) (name string, out *journal.Partner) {
	out = &journal.Partner{Exact: m.Exact, At: c.clock.Now(), Sick: m.Sick, Used: int64(m.Used), Came: m.Came, Down: int64(m.Down),
		Limit: toJournalLimit(m.Lane), Bins: m.Took.Bins, Weights: m.Took.Weights, Cuts: m.Took.Cuts,
		Sampled: int64(m.Took.Since)}
	for _, x := range m.Endpoints {
		to, ok := c.directory.endpoints[x.Endpoint]
		if !ok {
			continue
		}
		name = to.partner
		out.Endpoints = append(out.Endpoints, journal.PartnerEndpoint{Name: to.name, Limit: toJournalLimit(x.Lane), Out: x.Out, Cold: x.Cold,
			Back: int64(x.Back), Good: int64(x.Good), Bad: int64(x.Bad), Well: int64(x.Well), Gap: int64(x.Gap), Failing: x.Failing,
			Slow: int64(x.Slow), Fails: x.Fails, Fulls: x.Fulls, Resets: x.Resets,
			Sent: toInt64s(x.Sent), LastSent: int64(x.LastSent), Trial: int64(x.Trial), Told: int64(x.Told)})
	}
	return name, out
}

func toJournalLimit(l logic.LaneMemory) journal.PartnerLimit {
	return journal.PartnerLimit{Told: l.Limit, Pace: l.Pace, Halved: int64(l.Halved), Peak: l.Peak, Sent: toInt64s(l.Sent),
		Tokens: l.Tokens, Wait: int64(l.Wait), Fulls: l.Fulls, First: int64(l.First), Spent: l.Spent}
}

func (c *Core) toDestinationState(name string, p *journal.Partner) logic.Memory {
	m := logic.Memory{Exact: p.Exact, Dest: c.directory.partner(name).destination, Sick: p.Sick, Used: logic.Micros(p.Used), Came: p.Came,
		Down: logic.Micros(p.Down), Lane: toLimiterState(p.Limit),
		Took: logic.TookMemory{Bins: p.Bins, Weights: p.Weights, Cuts: p.Cuts, Since: logic.Micros(p.Sampled)}}
	for _, x := range p.Endpoints {
		id, ok := c.directory.endpointIDs[x.Name]
		if !ok || c.directory.endpoints[id].partner != name {
			continue
		}
		m.Endpoints = append(m.Endpoints, logic.EndpointMemory{Endpoint: id, Lane: toLimiterState(x.Limit), Out: x.Out, Cold: x.Cold,
			Back: logic.Micros(x.Back), Good: logic.Micros(x.Good), Bad: logic.Micros(x.Bad), Well: logic.Micros(x.Well),
			Gap: logic.Micros(x.Gap), Failing: x.Failing, Slow: logic.Micros(x.Slow), Fails: x.Fails, Fulls: x.Fulls, Resets: x.Resets,
			EndpointExact: logic.EndpointExact{Sent: toMicrosList(x.Sent), LastSent: logic.Micros(x.LastSent), Trial: logic.Micros(x.Trial),
				Told: logic.Micros(x.Told)}})
	}
	return m
}

func toLimiterState(l journal.PartnerLimit) logic.LaneMemory {
	return logic.LaneMemory{Limit: l.Told, Pace: l.Pace, Halved: logic.Micros(l.Halved), Peak: l.Peak,
		LaneExact: logic.LaneExact{Sent: toMicrosList(l.Sent), Tokens: l.Tokens, Wait: logic.Micros(l.Wait), Fulls: l.Fulls,
			First: logic.Micros(l.First), Spent: l.Spent}}
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
