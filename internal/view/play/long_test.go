package play

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// The same by command, over as many plays as PLAYS says, from FROM on.
func TestSumLong(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("PLAYS"))
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	if plays == 0 {
		t.Skip("PLAYS says how many")
	}
	var all sync.WaitGroup
	next := make(chan uint64)
	for range 6 {
		all.Go(func() {
			for seed := range next {
				o := options(seed, 2+int(seed%6))
				o.Guards = seed%2 == 0
				if w := RunRandomFaults(o, time.Minute); w.MaxSum > MaxAllowedSum {
					t.Errorf("seed %d, %d senders: the parts add up to %.3f at %v", seed, o.Senders, w.MaxSum, w.MaxSumAt)
				}
			}
		})
	}
	for seed := range uint64(plays) {
		next <- uint64(from) + seed
	}
	close(next)
	all.Wait()
}
