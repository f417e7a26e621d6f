package play

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Runs the check of TestShareSum for the number of seeds in the environment variable PLAYS, from FROM on.
func TestShareSumLong(t *testing.T) {
	runs, _ := strconv.Atoi(os.Getenv("PLAYS"))
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	if runs == 0 {
		t.Skip("PLAYS sets the number of runs")
	}
	var all sync.WaitGroup
	next := make(chan uint64)
	for range 6 {
		all.Go(func() {
			for seed := range next {
				o := options(seed, 2+int(seed%6))
				o.Guards = seed%2 == 0
				if w := RunRandomFaults(o, time.Minute); w.MaxSum > MaxAllowedSum {
					t.Errorf("seed %d, %d senders: the shares add up to %.3f at %v", seed, o.Senders, w.MaxSum, w.MaxSumAt)
				}
			}
		})
	}
	for seed := range uint64(runs) {
		next <- uint64(from) + seed
	}
	close(next)
	all.Wait()
}
