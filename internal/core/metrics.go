package core

import "sync/atomic"

// Metrics count what a sender has done since it started. They may be read at any time.
type Metrics struct {
	Accepted          atomic.Int64 // messages taken on
	Rejected          atomic.Int64 // messages answered as busy or failed at once
	Delivered         atomic.Int64
	Returned          atomic.Int64
	Failed            atomic.Int64
	Attempts          atomic.Int64 // decided on by the module
	JournalErrors     atomic.Int64 // steps whose records could not be written
	EndsAwaitingWrite atomic.Int64 // now: ends that can't be told before they are written
	Pending           atomic.Int64 // now: messages that are not over
}

// Counts tells the metrics by their names.
func (m *Metrics) Counts() map[string]int64 {
	out := map[string]int64{}
	for name, v := range map[string]*atomic.Int64{"accepted": &m.Accepted, "turned_away": &m.Rejected, "delivered": &m.Delivered, "returned": &m.Returned,
		"failed": &m.Failed, "attempts": &m.Attempts, "journal_errors": &m.JournalErrors, "ends_waiting": &m.EndsAwaitingWrite, "held": &m.Pending} {
		out[name] = v.Load()
	}
	return out
}
