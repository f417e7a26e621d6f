package hollow

import "time"

// environment runs the senders of a measurement, in real or in virtual time.
type environment interface {
	size() int                        // number of senders, running or not
	now() time.Duration               // since the environment was created
	run(d time.Duration, look func()) // lets time pass, calling look every sampleInterval
	start(list []int) error           // starts senders from their state folders, at the same addresses
	kill(list []int)                  // ends senders at once; their addresses then refuse connections
	cut(from, to int, cut bool)       // sets whether the link from one sender to another loses everything
	shares(out []float64)             // stores the current share of each sender; -1 if it is not running
	counts(out []Count)               // stores the traffic of each sender since its first start
	summarizeViews() viewSummary      // called at the end of a run
	close()                           // stops all senders
}

// maxSum is the largest permitted sum of the shares, with a margin for rounding.
const maxSum = 1 + 1e-9

// sumShares adds up the shares of the running senders; those of others are -1.
func sumShares(shares []float64) (sum float64) {
	for _, p := range shares {
		sum += max(p, 0)
	}
	return sum
}
