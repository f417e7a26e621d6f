package daemon

import (
	"log/slog"
	"syscall"
)

// The descriptors of the process are divided at the start, so that no component can use up those that another one
// needs.

const (
	reservedDescriptors = 22 // standard streams, listener, poller, discovery, notices
	defaultDescriptors  = 1024
	endingDivisor       = 16 // 1/16 of the client connections is reserved for those that are ending
	minEnding           = 4
	lingeringCalls      = 8 // abandoned calls that are not closed yet, and probes
)

// connectionLimits are the maximum numbers of connections of each kind.
type connectionLimits struct {
	clients int
	ending  int // to clients, in addition to clients: ended, but not closed yet
	calls   int // to endpoints, including idle ones
	idle    int // to endpoints, without a call
}

// descriptorLimit returns the number of descriptors that the process may open: the configured number (0: the default),
// but no more than the system allows. Dividing more than that would leave none for calls and discovery once clients
// use up theirs.
func descriptorLimit(configured int, log *slog.Logger) int {
	if configured <= 0 {
		configured = defaultDescriptors
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil || system.Cur >= uint64(configured) {
		return configured
	}
	log.Warn("the system allows fewer descriptors than are configured", "configured", configured, "allowed", system.Cur)
	return int(system.Cur)
}

// divideDescriptors gives calls as many descriptors as the slots can use, plus some for idle connections, and the rest
// to clients. Clients need a third for requests, and as much again for connections that send nothing. The descriptors
// of the console and the files of the journal are reserved; they reduce the number of idle connections to endpoints.
func divideDescriptors(descriptors, slots, files, console int) connectionLimits {
	rest := max(descriptors-reservedDescriptors-console, 16)
	clients := rest / 2
	if need := slots + lingeringCalls; rest-files-clients < need {
		clients = max(rest-files-need, rest*2/5)
	}
	calls := max(rest-clients-files, 1)
	ending := max(clients/endingDivisor, minEnding)
	return connectionLimits{clients: clients - ending, ending: ending, calls: calls, idle: max(calls*2/3, 1)}
}
