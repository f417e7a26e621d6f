// Package load plans and records a load test in an open model: each message is due at a
// planned time that does not depend on earlier replies, and latencies to acceptance and
// delivery count from that time. The package has no clock and does no I/O.
package load
