// Package virtual provides a virtual clock for simulations: events happen in order of their
// time, and nothing waits for a real clock. The package imports nothing of this module, so
// that any package with decision logic can be simulated on it.
package virtual
