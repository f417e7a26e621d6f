package play

import (
	"testing"
	"time"
)

const every = 100 * time.Millisecond

func options(seed uint64) Options {
	return Options{Seed: seed, Senders: 2 + int(seed%5), DigestInterval: every, Rate: 1e6, Drift: 0.01, Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Zones: 1 + int(seed%2)}
}

// Whatever is lost, cut, paused and killed: no wait ends early in a copy, none is
// drawn out by the ways that it comes by, all copies come to be equal, and one that
// returns knows what all others knew once it says so.
func TestPlays(t *testing.T) {
	for seed := range uint64(60) {
		if bad := RunRandom(options(seed), 20*time.Second).Violation(); bad != "" {
			t.Errorf("seed %d: %s", seed, bad)
		}
	}
}

// The same plays find faults that are planted.
func TestPlaysFindFaults(t *testing.T) {
	for name, plant := range map[string]func(*Options){
		"ages are left out":               func(o *Options) { o.ZeroAges = true },
		"one that returns counts at once": func(o *Options) { o.SkipCatchUp = true },
	} {
		found := 0
		for seed := range uint64(30) {
			o := options(seed)
			plant(&o)
			if RunRandom(o, 20*time.Second).Violation() != "" {
				found++
			}
		}
		if t.Logf("%s: found in %d of 30 plays", name, found); found < 10 {
			t.Errorf("%s: found in %d of 30 plays", name, found)
		}
	}
}
