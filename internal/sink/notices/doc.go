// Package notices is the end sink that posts to the platform how messages ended and repeats each notice
// until it is confirmed. A notice is due 0.3 s after the time of its message is up ("The rules on sockets" of
// the platform's protocol). An open connection may be silent, and all that were open at the same time may be
// silent together, so a post without an answer is repeated beside it over connections opened later.
package notices
