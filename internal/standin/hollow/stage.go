package hollow

import "time"

// stage is senders that a play is made with, in real time or in virtual time.
type stage interface {
	size() int
	now() time.Duration               // since the stage was made
	run(d time.Duration, look func()) // lets time pass, looking every lookEvery
	start(list []int) error           // from their folders, where they were
	kill(list []int)                  // at once; their addresses refuse
	cut(from, to int, cut bool)       // what goes from one to another is lost
	parts(out []float64)              // of each rate, now; -1 for one that does not run
	counts(out []Count)               // since the first start
	believes() belief                 // once a play is over
	close()                           // ends all
}

// most is what a sum of parts may be, rounding apart.
const most = 1 + 1e-9

// total is the sum of the parts of those that run.
func total(parts []float64) (sum float64) {
	for _, p := range parts {
		sum += max(p, 0)
	}
	return sum
}
