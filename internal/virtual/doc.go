// Package virtual is time as the plays of fleets have it: events happen in order,
// and nothing waits for a real clock. It imports nothing of this module, so that
// whatever decides can be played on it.
package virtual
