package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Options set a run up.
type Options struct {
	Seed    uint64
	Senders int
	Length  time.Duration // for which faults come
	Binary  string        // built by package faultbuild
	Dir     string        // for folders of the senders and their logs
	Faults  []string      // kinds to draw from; empty for all
	// Crossings has every event come at every point of the program, once in each run. The
	// program has to be built by [Build].
	Crossings bool
	// LoseFolder has senders' folders emptied at restarts: a planted fault.
	LoseFolder bool
}

// step is one fault of a script.
type step struct {
	at   time.Duration
	text string
	run  func()
}

// kindsOfFault are the faults that a script draws from.
var kindsOfFault = []string{"endpoint", "connections", "discovery", "notices", "restart", "kill series", "reload", "clock", "disk", "accept", "connect", "stall", "drain", "late", "move"}

// script draws the faults of a run.
func (f *fleet) script(o Options) []step {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	kinds := o.Faults
	if len(kinds) == 0 {
		kinds = kindsOfFault
	}
	var out []step
	at := func() time.Duration { return time.Duration(rng.Int64N(int64(o.Length))) }
	for _, kind := range kinds {
		for range f.howMany(kind, rng) {
			out = append(out, f.draw(kind, at(), rng, o)...)
		}
	}
	return out
}

// howMany faults of a kind come in a run.
func (f *fleet) howMany(kind string, rng *rand.Rand) int {
	switch kind {
	case "endpoint":
		return 2 * len(f.endpoints)
	case "restart", "kill series":
		return len(f.senders)/2 + rng.IntN(len(f.senders)/2+1)
	case "discovery":
		return 2 + rng.IntN(3)
	case "notices":
		return 1 + rng.IntN(2)
	case "connections", "drain":
		return 2 + rng.IntN(len(f.endpoints))
	case "move":
		return rng.IntN(len(f.senders)/3 + 1)
	case "clock", "stall", "late":
		return len(f.senders)
	}
	return len(f.senders)/3 + 1
}

func (f *fleet) draw(kind string, at time.Duration, rng *rand.Rand, o Options) []step {
	s := f.senders[rng.IntN(len(f.senders))]
	e := f.endpoints[rng.IntN(len(f.endpoints))]
	length := time.Duration(500+rng.IntN(4500)) * time.Millisecond
	during := func(text string, begin, end func()) []step {
		return []step{{at, fmt.Sprintf("%s, for %v", text, length), begin}, {at + length, text + " ends", end}}
	}
	switch kind {
	case "endpoint":
		b := behavior(1 + rng.IntN(int(behaviors)-1))
		return during(fmt.Sprintf("endpoint %s is %v", e.name, b), func() { e.set(b) }, func() { e.set(well) })
	case "connections":
		reset := rng.IntN(2) == 0
		return []step{{at, fmt.Sprintf("connections to %s end, by reset %v", e.name, reset), func() { e.dropIdle(reset) }}}
	case "discovery":
		text, now := discoveryTrouble(rng)
		length *= 2
		return during(text, func() { f.platform.suffer(now) }, func() { f.platform.recover(now) })
	case "notices":
		length = min(length, 150*time.Millisecond)
		return during("answers to notices get lost", func() { f.platform.ends.setMute(true) }, func() { f.platform.ends.setMute(false) })
	case "restart":
		off := f.clockStep(rng)
		return []step{{at, fmt.Sprintf("sender %d is told to end, killed at %v, wall clock off by %v at the start", s.number, killAfter, off), func() {
			f.async(func() error { return s.restart(true, nil, func() { s.controls.SetWallOffset(off) }) })
		}}}
	case "kill series":
		var lives []time.Duration
		for range rng.IntN(3) {
			lives = append(lives, time.Duration(rng.IntN(120))*time.Millisecond)
		}
		off := f.clockStep(rng)
		return []step{{at, fmt.Sprintf("sender %d is killed, and again %v after starts, wall clock off by %v at the last", s.number, lives, off), func() {
			f.async(func() error { return s.restart(false, lives, func() { s.controls.SetWallOffset(off) }) })
		}}}
	case "reload":
		also := rng.IntN(4) == 0
		steps := []step{{at, fmt.Sprintf("sender %d gets SIGHUP", s.number), func() { f.reload(s) }}}
		if also {
			steps = append(steps, step{at + 2*time.Millisecond, fmt.Sprintf("sender %d is told to end in the middle of that", s.number), func() {
				f.async(func() error { return s.restart(true, nil, nil) })
			}})
		}
		return steps
	case "clock":
		off := f.clockStep(rng)
		return []step{{at, fmt.Sprintf("wall clock of sender %d is off by %v", s.number, off), func() { s.controls.SetWallOffset(off) }}}
	case "disk":
		length = min(length, 3*time.Second)
		probability := []float64{0.7, 1}[rng.IntN(2)]
		steps := during(fmt.Sprintf("disk of sender %d fails", s.number), func() {
			s.controls.FailWrites(probability, syscall.ENOSPC)
			s.controls.FailSyncs(probability, syscall.EIO)
		}, func() {
			s.controls.FailWrites(0, 0)
			s.controls.FailSyncs(0, 0)
		})
		if rng.IntN(2) == 0 {
			steps = append(steps, step{at + length - length/8, fmt.Sprintf("sender %d is killed while its disk fails", s.number), func() {
				f.async(func() error { return s.restart(false, nil, nil) })
			}})
		}
		return steps
	case "accept":
		errno := []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EINTR}[rng.IntN(4)]
		return during(fmt.Sprintf("accepts of sender %d fail with %v", s.number, errno), func() { s.controls.FailAccepts(0.3, errno) }, func() { s.controls.FailAccepts(0, 0) })
	case "connect":
		errno := []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EHOSTUNREACH}[rng.IntN(4)]
		return during(fmt.Sprintf("connects of sender %d fail with %v", s.number, errno), func() { s.controls.FailConnects(0.3, errno) }, func() { s.controls.FailConnects(0, 0) })
	case "stall":
		return during(fmt.Sprintf("sender %d is held up before writes", s.number), func() { s.controls.HoldBeforeWrites(0.03) }, func() { s.controls.HoldBeforeWrites(0) })
	case "late":
		return during(fmt.Sprintf("connections of sender %d come up late", s.number), s.connectLate, s.connectInTime)
	case "move":
		var steps []step
		for i := range 1 + rng.IntN(3) { // in a row, while calls are out
			steps = append(steps, step{at + time.Duration(i)*time.Duration(100+rng.IntN(900))*time.Millisecond, fmt.Sprintf("discovery of sender %d moves", s.number),
				func() { f.async(func() error { return f.move(s) }) }})
		}
		return steps
	case "drain":
		leaving := []string{"draining", "draining", unlisted}[rng.IntN(3)]
		length += 8 * time.Second * time.Duration(rng.IntN(2)) // some for longer than the change may take to count as told
		return []step{{at, fmt.Sprintf("endpoint %s is %s", e.name, leaving), func() { f.list(e, leaving) }}, {at + length, fmt.Sprintf("endpoint %s is back", e.name), func() { f.list(e, "up") }}}
	}
	return nil
}

// discoveryTrouble draws what discovery suffers.
func discoveryTrouble(rng *rand.Rand) (text string, now trouble) {
	switch rng.IntN(8) {
	case 0:
		return "discovery is away", trouble{away: true}
	case 1:
		return "discovery is silent", trouble{silent: true}
	case 2:
		return "discovery is slow", trouble{delay: 700 * time.Millisecond}
	case 3:
		turn := time.Duration(5+rng.IntN(25)) * time.Millisecond
		return fmt.Sprintf("discovery works through calls in turn, %v each", turn), trouble{turn: turn}
	}
	part := []float64{0.2, 0.35, 0.5, 0.8}[rng.IntN(4)]
	return fmt.Sprintf("%.2f of the calls for the list fail", part), trouble{flaky: part}
}

func (f *fleet) clockStep(rng *rand.Rand) time.Duration {
	if !f.clocks {
		return 0
	}
	return []time.Duration{0, -time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}[rng.IntN(5)]
}
