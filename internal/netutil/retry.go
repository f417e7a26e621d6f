package netutil

import "time"

const (
	// admitTimeout is how long a new connection waits for a place while no other connection may be closed.
	admitTimeout = 100 * time.Millisecond
	// admitInterval is the time between two looks for a place.
	admitInterval = 2 * time.Millisecond
)

// AwaitAdmission calls admit until it reports that a new connection has a place, for admitTimeout at most or until
// stopped reports that none is admitted any more. It reports whether there was a place.
func AwaitAdmission(admit, stopped func() bool) bool {
	for giveUpAt := time.Now().Add(admitTimeout); !admit(); time.Sleep(admitInterval) {
		if stopped() || time.Now().After(giveUpAt) {
			return false
		}
	}
	return true
}
