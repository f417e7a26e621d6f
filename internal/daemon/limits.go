package daemon

import (
	"log/slog"
	"syscall"
)

// The process's descriptors are shared out at the start, so that no side can take
// those that another needs.

const (
	otherSockets   = 20 // standard streams, listener, poller, discovery, notices
	defaultSockets = 1024
	endingPart     = 16 // one of so many places for clients is for connections that end
	leastEnding    = 4
	lingering      = 8 // calls that are given up and not closed yet, and probes
)

// shares says how many connections each side may hold.
type shares struct {
	clients int
	ending  int // of clients, beside those: ended, and not closed yet
	calls   int // to endpoints, idle ones counted
	idle    int // to endpoints, without a call
}

// descriptors is how many the process may hold: as many as its configuration says (0: no word of it), but no more
// than the system lets it. Shares of more would leave none, once clients fill theirs, for calls and discovery.
func descriptors(configured int, log *slog.Logger) int {
	if configured <= 0 {
		configured = defaultSockets
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil || system.Cur >= uint64(configured) {
		return configured
	}
	log.Warn("the system allows fewer descriptors than are configured", "configured", configured, "allowed", system.Cur)
	return int(system.Cur)
}

// shareOut gives calls what the slots can use, and some to keep, and the rest to clients;
// clients need a third for requests, and as much again as room for those that say nothing.
// The console keeps its own, and the journal has so many files open at most; they come off what calls may keep idle.
func shareOut(sockets, slots, files, console int) shares {
	rest := max(sockets-otherSockets-console, 16)
	clients := rest / 2
	if need := slots + lingering; rest-files-clients < need {
		clients = max(rest-files-need, rest*2/5)
	}
	calls := max(rest-clients-files, 1)
	ending := max(clients/endingPart, leastEnding)
	return shares{clients: clients - ending, ending: ending, calls: calls, idle: max(calls*2/3, 1)}
}
