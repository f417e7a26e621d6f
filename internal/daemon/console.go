package daemon

import (
	"log/slog"

	"cometrack/internal/cluster"
	"cometrack/internal/console"
	"cometrack/internal/core"
	"cometrack/internal/lifecycle"
	"cometrack/internal/permit"
)

// Console is the console of a daemon, which may have none: then its methods do nothing.
type Console struct{ served *console.Console }

// OpenConsole serves a console at an address until it is closed; there is none without
// an address.
func OpenConsole(addr string, life *lifecycle.Controller, log *slog.Logger) (*Console, error) {
	if addr == "" {
		return &Console{}, nil
	}
	c, err := console.Listen(addr, life, log)
	if err != nil {
		return nil, err
	}
	log.Info("console", "at", c.Addr().String())
	go c.Serve()
	return &Console{c}, nil
}

// Know has the console answer for what is known of other senders; nil for nothing.
func (c *Console) Know(x *cluster.Cluster) {
	if c.served != nil && x != nil {
		c.served.SetCluster(x)
	}
}

// Report has the console tell what a sender has done and refused, and what must not be.
func (c *Console) Report(metrics *core.Metrics, monitor *permit.Monitor) {
	if c.served == nil {
		return
	}
	c.served.SetMetrics(func() console.Metrics {
		refused, violations := monitor.Counts()
		return console.Metrics{Counts: metrics.Counts(), Refused: refused, Violations: violations}
	})
}

// Close ends the console.
func (c *Console) Close() {
	if c.served != nil {
		c.served.Close()
	}
}

// consoleFiles is how many descriptors the console at an address may hold.
func consoleFiles(addr string) int {
	if addr == "" {
		return 0
	}
	return console.MaxDescriptors
}
