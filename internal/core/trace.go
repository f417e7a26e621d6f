package core

import (
	"context"
	"log/slog"
	"time"

	"cometrack/logic"
)

// The trace: a line at level debug for each message taken on, each call, each
// outcome and each end, for `measure fleet` and for whoever hunts a fault. It
// costs a look at the level while it is off.

// tracing says whether anybody reads the trace.
func (c *Core) traceEnabled() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceAttempt(a *Attempt) {
	if c.traceEnabled() {
		to := c.directory.endpoints[a.Endpoint]
		c.log.Debug("call", "id", a.Message.ID, "partner", a.Message.Partner, "ep", to.name, "try", a.Number, "class", a.Message.Class,
			"left", time.Until(c.clock.Moment(a.Message.Deadline)).Milliseconds())
	}
}

func (c *Core) traceOutcome(ev attemptOutcome) {
	if c.traceEnabled() {
		a := ev.attempt
		c.log.Debug("reply", "id", a.Message.ID, "partner", a.Message.Partner, "ep", c.directory.endpoints[a.Endpoint].name, "outcome", ev.result.Outcome.String(),
			"took", ev.took.Milliseconds(), "wait", ev.result.RequestedWait.Milliseconds())
	}
}

func (c *Core) traceEnd(id string, h *pendingMessage, state string) {
	if c.traceEnabled() {
		c.log.Debug("end", "id", id, "partner", h.msg.Partner, "class", h.msg.Class, "state", state, "tries", h.attempts,
			"age", time.Since(c.clock.Moment(h.acceptedAt)).Milliseconds())
	}
}

func (c *Core) traceAccepted(call logic.NewMessage, partner, class string) {
	if c.traceEnabled() {
		c.log.Debug("taken", "id", call.ID, "partner", partner, "class", class, "left", call.Remaining/1000, "tenant", call.Tenant)
	}
}
