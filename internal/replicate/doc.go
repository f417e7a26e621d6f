// Package replicate decides what copies of facts (package facts) tell each other:
// what binds goes out at once and again until it is confirmed, digests find what got
// lost, and one that comes back catches up before it counts as knowing. It has no
// clock and no I/O: time and messages are passed in, and what is to be sent comes
// out.
package replicate
