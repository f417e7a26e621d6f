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
func (c *Core) tracing() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceCall(a *Attempt) {
	if c.tracing() {
		to := c.dir.eps[a.Endpoint]
		c.log.Debug("call", "id", a.Message.ID, "partner", a.Message.Partner, "ep", to.name, "try", a.Number, "class", a.Message.Class,
			"left", time.Until(c.clock.Moment(a.Message.Deadline)).Milliseconds())
	}
}

func (c *Core) traceReply(ev reply) {
	if c.tracing() {
		a := ev.attempt
		c.log.Debug("reply", "id", a.Message.ID, "partner", a.Message.Partner, "ep", c.dir.eps[a.Endpoint].name, "outcome", ev.result.Outcome.String(),
			"took", ev.took.Milliseconds(), "wait", ev.result.RequestedWait.Milliseconds())
	}
}

func (c *Core) traceEnd(id string, h *held, state string) {
	if c.tracing() {
		c.log.Debug("end", "id", id, "partner", h.msg.Partner, "class", h.msg.Class, "state", state, "tries", h.tries,
			"age", time.Since(c.clock.Moment(h.accepted)).Milliseconds())
	}
}

func (c *Core) traceTaken(call logic.NewMessage, partner, class string) {
	if c.tracing() {
		c.log.Debug("taken", "id", call.ID, "partner", partner, "class", class, "left", call.Remaining/1000, "tenant", call.Tenant)
	}
}
