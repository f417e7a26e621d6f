// Package replicate decides which messages replicas of facts (package facts) exchange.
// New facts are sent to all peers at once and resent until they are confirmed, digests
// find what was lost (anti-entropy), and a replica that starts or was paused catches up
// before it counts as current. The package has no clock and performs no I/O: time and
// received messages are passed in, and the messages to send are returned.
package replicate
