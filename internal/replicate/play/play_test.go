package play

import (
	"testing"
	"time"
)

const digestInterval = 100 * time.Millisecond

// randomOptions returns the options of the random simulation with a seed.
func randomOptions(seed uint64) Options {
	return Options{Seed: seed, Senders: 2 + int(seed%5), DigestInterval: digestInterval, Rate: 1e6, Drift: 0.01,
		Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Zones: 1 + int(seed%2)}
}

// TestRandomFaults checks the invariants under random loss, partitions, pauses and crashes:
// no wait ends early in a replica or is extended by the routes it took, all replicas
// converge, and a process that restarts or resumes has all older facts once it has caught
// up.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		if violation := RunRandom(randomOptions(seed), 20*time.Second).Violation(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestRandomFaultsFindPlantedDefects checks that the same simulations find planted defects.
func TestRandomFaultsFindPlantedDefects(t *testing.T) {
	for name, plant := range map[string]func(*Options){
		"ages are ignored":       func(o *Options) { o.ZeroAges = true },
		"catching up is skipped": func(o *Options) { o.SkipCatchUp = true },
	} {
		found := 0
		for seed := range uint64(30) {
			o := randomOptions(seed)
			plant(&o)
			if RunRandom(o, 20*time.Second).Violation() != "" {
				found++
			}
		}
		if t.Logf("%s: found in %d of 30 runs", name, found); found < 10 {
			t.Errorf("%s: found in %d of 30 runs", name, found)
		}
	}
}
