package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"cometrack/internal/standin/silence"
)

// Options configure a run.
type Options struct {
	Seed    uint64        // of the faults, of the traffic and of the addresses
	Senders int           // number of senders, at most 80
	Length  time.Duration // faults begin within this period, and some end after it
	Binary  string        // path of the program, built by package faultbuild
	Dir     string        // folder for the state folders and logs of the senders
	Faults  []string      // kinds of faults to draw from, as in faultKinds; empty for all
	// Crossings injects every event at every point of the program once in the run. Binary must have been built by
	// [Build].
	Crossings bool
	// LoseFolder empties the senders' state folders at restarts: a planted fault, which a run has to find.
	LoseFolder bool
}

// step is the begin or the end of one fault of a script, or a fault without a length.
type step struct {
	at   time.Duration // since the start of the run
	text string        // description for Result.Script
	run  func()        // begins or ends the fault; it does not wait for a restart
}

// faultKinds are the kinds of faults that a script draws from:
//
//   - "endpoint": an endpoint has another [behavior] than healthy for a while
//   - "connections": all connections to an endpoint are closed or reset
//   - "discovery": discovery has a [discoveryFault] for a while
//   - "notices": responses to notices get lost for a while
//   - "restart": a sender gets SIGTERM, then SIGKILL, and is started again
//   - "kill series": a sender gets SIGKILL, is started again and may be killed twice more soon after a start
//   - "reload": a sender gets SIGHUP, and in one case of four SIGTERM during the reload
//   - "clock": a sender's wall clock is stepped
//   - "disk": writes and syncs of a sender's store fail for a while, and it may be killed meanwhile
//   - "accept", "connect": accepts or connects of a sender fail for a while
//   - "stall": a sender's process is held now and then before it writes to a connection
//   - "drain": an endpoint is draining or unlisted for a while
//   - "late": connects of a sender are delayed for a while
//   - "terms": a sender's classes, effects and number of attempts change by SIGHUP, up to four times in a row, and
//     the sender may be killed, stopped or upgraded right after it
//   - "silence": the open connections of a sender to the platform, or those to an endpoint, fall silent, in one
//     direction or in both
//   - "takeover", drawn only if it is named: a sender gets SIGTERM, and while it is away endpoints go and new ones of other destinations come up
//     at their addresses
//   - "signals": a sender gets SIGTERM, up to three more of SIGTERM and SIGHUP, then SIGKILL, and is started again
//   - "move": discovery of a sender moves to another address, up to three times in a row
var faultKinds = []string{"endpoint", "connections", "discovery", "notices", "restart", "kill series", "reload", "clock",
	"disk", "accept", "connect", "stall", "drain", "late", "move", "terms", "silence", "signals"}

// script draws the faults of a run and returns their steps, not in the order of time.
func (f *fleet) script(o Options) []step {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	kinds := o.Faults
	if len(kinds) == 0 {
		kinds = faultKinds
	}
	var out []step
	at := func() time.Duration { return time.Duration(rng.Int64N(int64(o.Length))) }
	for _, kind := range kinds {
		for range f.faultCount(kind, rng) {
			out = append(out, f.drawFault(kind, at(), rng, o)...)
		}
	}
	return out
}

// faultCount returns the number of faults of a kind in a run; for some kinds it is drawn.
func (f *fleet) faultCount(kind string, rng *rand.Rand) int {
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
	case "clock", "stall", "late", "terms":
		return len(f.senders)
	case "silence":
		return 3*len(f.senders) + len(f.endpoints)
	}
	return len(f.senders)/3 + 1
}

// drawFault draws one fault of a kind that begins at a time since the start of the run, and returns its
// steps. It draws the sender or endpoint that has the fault, and how long it lasts; an unknown kind has no
// steps.
func (f *fleet) drawFault(kind string, at time.Duration, rng *rand.Rand, o Options) []step {
	s := f.senders[rng.IntN(len(f.senders))]
	e := f.endpoints[rng.IntN(len(f.endpoints))]
	length := time.Duration(500+rng.IntN(4500)) * time.Millisecond
	during := func(text string, begin, end func()) []step {
		return []step{{at, fmt.Sprintf("%s, for %v", text, length), begin}, {at + length, text + " ends", end}}
	}
	switch kind {
	case "endpoint":
		b := behavior(1 + rng.IntN(int(behaviorCount)-1))
		return during(fmt.Sprintf("endpoint %s is %v", e.name, b), func() { e.set(b) }, func() { e.set(healthy) })
	case "connections":
		reset := rng.IntN(2) == 0
		return []step{{at, fmt.Sprintf("connections to %s end, by reset %v", e.name, reset),
			func() { e.dropConnections(reset) }}}
	case "discovery":
		text, now := drawDiscoveryFault(rng)
		length *= 2
		return during(text, func() { f.platform.setFault(now) }, func() { f.platform.endFault(now) })
	case "notices":
		length = min(length, 150*time.Millisecond)
		return during("responses to notices get lost", func() { f.platform.notices.setUnanswered(true) },
			func() { f.platform.notices.setUnanswered(false) })
	case "restart":
		offset := f.drawClockOffset(rng)
		return []step{{at, fmt.Sprintf("sender %d gets SIGTERM, SIGKILL after %v, wall clock offset by %v at the start",
			s.number, killDelay, offset), func() {
			f.goRestart(func() error {
				return s.restart(restartPlan{planned: true, between: func() { s.controls.SetWallOffset(offset) }})
			})
		}}}
	case "kill series":
		var lifetimes []time.Duration
		for range rng.IntN(3) {
			lifetimes = append(lifetimes, time.Duration(rng.IntN(120))*time.Millisecond)
		}
		offset := f.drawClockOffset(rng)
		return []step{{at, fmt.Sprintf("sender %d is killed, and again %v after starts, wall clock offset by %v at the last",
			s.number, lifetimes, offset), func() {
			f.goRestart(func() error {
				return s.restart(restartPlan{lifetimes: lifetimes, between: func() { s.controls.SetWallOffset(offset) }})
			})
		}}}
	case "signals":
		signals := drawSignals(rng)
		return []step{{at, fmt.Sprintf("sender %d gets SIGTERM, then %v, and SIGKILL after %v", s.number, signals, killDelay),
			func() {
				f.goRestart(func() error { return s.restart(restartPlan{planned: true, signals: signals}) })
			}}}
	case "reload":
		terminate := rng.IntN(4) == 0
		steps := []step{{at, fmt.Sprintf("sender %d gets SIGHUP", s.number), func() { f.reload(s) }}}
		if terminate {
			steps = append(steps, step{at + 2*time.Millisecond, fmt.Sprintf("sender %d gets SIGTERM during the reload",
				s.number), func() {
				f.goRestart(func() error { return s.restart(restartPlan{planned: true}) })
			}})
		}
		return steps
	case "clock":
		offset := f.drawClockOffset(rng)
		return []step{{at, fmt.Sprintf("wall clock of sender %d is offset by %v", s.number, offset),
			func() { s.controls.SetWallOffset(offset) }}}
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
			steps = append(steps, step{at + length - length/8, fmt.Sprintf("sender %d is killed while its disk fails",
				s.number), func() {
				f.goRestart(func() error { return s.restart(restartPlan{}) })
			}})
		}
		return steps
	case "accept":
		errno := []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EINTR}[rng.IntN(4)]
		return during(fmt.Sprintf("accepts of sender %d fail with %v", s.number, errno),
			func() { s.controls.FailAccepts(0.3, errno) }, func() { s.controls.FailAccepts(0, 0) })
	case "connect":
		errno := []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EHOSTUNREACH}[rng.IntN(4)]
		return during(fmt.Sprintf("connects of sender %d fail with %v", s.number, errno),
			func() { s.controls.FailConnects(0.3, errno) }, func() { s.controls.FailConnects(0, 0) })
	case "stall":
		return during(fmt.Sprintf("sender %d is held before writes", s.number),
			func() { s.controls.HoldBeforeWrites(0.03) }, func() { s.controls.HoldBeforeWrites(0) })
	case "late":
		return during(fmt.Sprintf("connections of sender %d are delayed", s.number), s.delayConnects, s.endConnectDelays)
	case "move":
		var steps []step
		for i := range 1 + rng.IntN(3) { // in a row, while calls are out
			steps = append(steps, step{at + time.Duration(i)*time.Duration(100+rng.IntN(900))*time.Millisecond,
				fmt.Sprintf("discovery of sender %d moves", s.number),
				func() { f.goRestart(func() error { return f.moveDiscovery(s) }) }})
		}
		return steps
	case "terms":
		return f.drawTermsFault(s, at, rng)
	case "silence":
		direction := []silence.Direction{silence.Both, silence.Both, silence.Received, silence.Sent}[rng.IntN(4)]
		if rng.IntN(4) == 0 {
			return []step{{at, fmt.Sprintf("connections to %s fall silent (%v)", e.name, direction),
				func() { e.ln.SilenceOpen(direction) }}}
		}
		return []step{{at, fmt.Sprintf("connections of sender %d to the platform fall silent (%v)", s.number, direction),
			func() { s.silencePlatform(direction) }}}
	case "takeover":
		return f.drawTakeover(s, at, rng)
	case "drain":
		lifecycle := []string{"draining", "draining", unlisted}[rng.IntN(3)]
		// Half of them last longer than a sender may take to learn of the change.
		length += 8 * time.Second * time.Duration(rng.IntN(2))
		return []step{{at, fmt.Sprintf("endpoint %s is %s", e.name, lifecycle), func() { f.setLifecycle(e, lifecycle) }},
			{at + length, fmt.Sprintf("endpoint %s is back", e.name), func() { f.setLifecycle(e, "up") }}}
	}
	return nil
}

// drawDiscoveryFault draws a fault of discovery and returns it with a description for the script.
func drawDiscoveryFault(rng *rand.Rand) (text string, fault discoveryFault) {
	switch rng.IntN(8) {
	case 0:
		return "discovery is unavailable", discoveryFault{unavailable: true}
	case 1:
		return "discovery is silent", discoveryFault{silent: true}
	case 2:
		return "discovery is slow", discoveryFault{delay: 700 * time.Millisecond}
	case 3:
		serviceTime := time.Duration(5+rng.IntN(25)) * time.Millisecond
		return fmt.Sprintf("discovery serves one call at a time, %v each", serviceTime),
			discoveryFault{serviceTime: serviceTime}
	}
	ratio := []float64{0.2, 0.35, 0.5, 0.8}[rng.IntN(4)]
	return fmt.Sprintf("%.2f of the calls for the list fail", ratio), discoveryFault{failureRatio: ratio}
}

// drawClockOffset draws by how much a wall clock is ahead; negative for behind, 0 if clocks are not stepped
// in this run.
func (f *fleet) drawClockOffset(rng *rand.Rand) time.Duration {
	if !f.stepsClocks {
		return 0
	}
	return []time.Duration{0, -time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}[rng.IntN(5)]
}
