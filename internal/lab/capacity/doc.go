// Package capacity measures how the resource use of a sender grows with the size of its
// load, fits the growth, and computes at which share of a target each bound is reached.
//
// A [Slope] is data: what was measured, at which sizes, by which command on which
// commit. Slopes are stored as JSON in docs/measurements/capacity, one file for each slope
// and commit, and the tables in docs/CAPACITY.md are generated from them.
package capacity
