// Package store is a log-structured key-value store: records in a log of segment files, with an index in memory.
// Committed batches survive the end of the process, and with syncs a crash of the machine.
package store
