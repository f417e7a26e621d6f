// Package capacity measures how what a sender needs grows with the size of what it
// carries, fits the growth, and says at which share of a target each bound is met.
//
// A [Slope] is data: what was measured, at which sizes, by which command on which
// commit. Slopes lie as JSON in docs/measurements/capacity, one file for each slope
// and commit, and the tables in docs/CAPACITY.md are printed from them.
package capacity
