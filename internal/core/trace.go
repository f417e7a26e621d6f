package core

import (
	"context"
	"log/slog"
	"time"

	"cometrack/logic"
)

// The trace is a log line at level debug for each accepted message, each attempt, each outcome and each end. It is read
// by `measure fleet` and helps to find faults. While it is off it costs one check of the log level.

// traceEnabled reports whether the trace is on.
func (c *Core) traceEnabled() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceAttempt(a *Attempt) {
	if c.traceEnabled() {
		endpoint := c.directory.endpoints[a.Endpoint]
		c.log.Debug("call", "id", a.Message.ID, "partner", a.Message.Partner, "ep", endpoint.name, "try", a.Number,
			"class", a.Message.Class, "left", time.Until(c.clock.Moment(a.Message.Deadline)).Milliseconds())
	}
}

func (c *Core) traceOutcome(ev attemptOutcome) {
	if c.traceEnabled() {
		a := ev.attempt
		c.log.Debug("reply", "id", a.Message.ID, "partner", a.Message.Partner,
			"ep", c.directory.endpoints[a.Endpoint].name, "outcome", ev.result.Outcome.String(),
			"took", ev.took.Milliseconds(), "wait", ev.result.RequestedWait.Milliseconds())
	}
}

func (c *Core) traceEnd(id string, p *pendingMessage, state string) {
	if c.traceEnabled() {
		c.log.Debug("end", "id", id, "partner", p.msg.Partner, "class", p.msg.Class, "state", state,
			"tries", p.attempts, "age", time.Since(c.clock.Moment(p.acceptedAt)).Milliseconds())
	}
}

func (c *Core) traceAccepted(event logic.NewMessage, partner string, class *logic.Class) {
	if c.traceEnabled() {
		c.log.Debug("taken", "id", event.ID, "partner", partner, "class", class.Name, "left", event.Remaining/1000,
			"tenant", event.Tenant, "effect", class.Effect.String(), "most", c.terms.settings.MaxAttempts)
	}
}
