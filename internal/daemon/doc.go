// Package daemon puts the program together: the core with the fronts, transports,
// sources and end sinks that a configuration names.
package daemon
