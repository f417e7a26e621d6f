package daemon

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

// shareOut gives calls what the slots can use, and some to keep, and the rest to clients;
// clients need a third for requests, and as much again as room for those that say nothing.
// The console keeps its own, and the journal has so many files open at most; they come off what calls may keep idle.
func shareOut(sockets, slots, files, console int) shares {
	if sockets <= 0 {
		sockets = defaultSockets
	}
	rest := max(sockets-otherSockets-console, 16)
	clients := rest / 2
	if need := slots + lingering; rest-files-clients < need {
		clients = max(rest-files-need, rest*2/5)
	}
	calls := max(rest-clients-files, 1)
	ending := max(clients/endingPart, leastEnding)
	return shares{clients: clients - ending, ending: ending, calls: calls, idle: max(calls*2/3, 1)}
}
