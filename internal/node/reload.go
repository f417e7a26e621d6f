package node

import (
	"context"
	"os"
)

// reloadEvent carries a configuration that was read anew.
type reloadEvent struct{ cfg *Config }

// ReloadOn makes Run read the configuration anew with load at each signal. Only the
// address of discovery and notices moves; the rest is for the next start.
func (n *Node) ReloadOn(signals <-chan os.Signal, load func() (*Config, error)) {
	n.reload, n.load = signals, load
}

// reloads passes new configurations on to the loop. One that can't be read changes nothing.
func (n *Node) reloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reload:
		}
		cfg, err := n.load()
		if err != nil {
			n.log.Error("reload: the old configuration stands", "err", err)
			continue
		}
		n.events <- reloadEvent{cfg}
	}
}

// moveTo follows discovery and notices to the address that cfg names.
func (n *Node) moveTo(work context.Context, cfg *Config) {
	if cfg.Discovery == n.disc.addr {
		n.log.Info("reload: same discovery", "addr", cfg.Discovery)
		return
	}
	n.log.Info("reload: discovery moves", "from", n.disc.addr, "to", cfg.Discovery)
	n.notices.move(cfg.Discovery)
	n.disc.move(cfg.Discovery)
	n.disc.watch(work) // at once: what it has to tell counts as told soon
}
