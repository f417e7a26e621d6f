// Package drive plays a scenario of package load against a running daemon, at the
// instants that the plan says whatever has been answered.
package drive
