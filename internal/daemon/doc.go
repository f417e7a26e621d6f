// Package daemon assembles the program: the core with the fronts, transports,
// sources and end sinks that a configuration names.
package daemon
