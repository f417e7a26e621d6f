package daemon

import (
	"log/slog"

	"cometrack/internal/cluster"
	"cometrack/internal/console"
	"cometrack/internal/core"
	"cometrack/internal/lifecycle"
	"cometrack/internal/permit"
)

// Console is the optional operator console of a daemon. If no console is configured, its methods do nothing.
type Console struct{ server *console.Console }

// OpenConsole starts a console at addr, which serves until it is closed. If addr is empty, the returned Console serves
// nothing. The error is that of listening at addr.
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

// SetCluster makes the console serve the state of the cluster x. It does nothing if x is nil.
func (c *Console) SetCluster(x *cluster.Cluster) {
	if c.server != nil && x != nil {
		c.server.SetCluster(x)
	}
}

// SetMetrics makes the console serve the counters of a sender: its work, the actions that monitor denied, and the
// violations that monitor found.
func (c *Console) SetMetrics(metrics *core.Metrics, monitor *permit.Monitor) {
	if c.server == nil {
		return
	}
	c.server.SetMetrics(func() console.Metrics {
		denied, violations := monitor.Counts()
		return console.Metrics{Counts: metrics.Counts(), Refused: denied, Violations: violations}
	})
}

// Close stops the console.
func (c *Console) Close() {
	if c.server != nil {
		c.server.Close()
	}
}

// consoleDescriptors returns the number of descriptors reserved for a console at addr.
func consoleDescriptors(addr string) int {
	if addr == "" {
		return 0
	}
	return console.MaxDescriptors
}
