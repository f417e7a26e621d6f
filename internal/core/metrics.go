package core

import "sync/atomic"

// Metrics are the counters of a sender since its start. They are safe for concurrent use.
type Metrics struct {
	Accepted          atomic.Int64 // submitted messages that were accepted
	Rejected          atomic.Int64 // submitted messages that were rejected as busy or failed at once
	Delivered         atomic.Int64
	Returned          atomic.Int64
	Failed            atomic.Int64
	Attempts          atomic.Int64 // attempts started by the scheduler
	JournalErrors     atomic.Int64 // steps whose records could not be written
	EndsAwaitingWrite atomic.Int64 // gauge: ends that are not reported because the journal could not be written
	Pending           atomic.Int64 // gauge: pending messages held by the scheduler
}

// Counts returns the values of all metrics by their names.
func (m *Metrics) Counts() map[string]int64 {
	out := map[string]int64{}
	for name, v := range map[string]*atomic.Int64{"accepted": &m.Accepted, "turned_away": &m.Rejected,
		"delivered": &m.Delivered, "returned": &m.Returned, "failed": &m.Failed, "attempts": &m.Attempts,
		"journal_errors": &m.JournalErrors, "ends_waiting": &m.EndsAwaitingWrite, "held": &m.Pending} {
		out[name] = v.Load()
	}
	return out
}
