package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// restartPlan says how a sender's process is ended and started again. Its zero value is a SIGKILL and a start.
type restartPlan struct {
	planned   bool            // SIGTERM, and SIGKILL after killDelay at the earliest
	signals   []laterSignal   // further signals of a planned restart, in the order of time
	lifetimes []time.Duration // for each, the process is started and killed after that time, before the final start
	between   func()          // runs before the final start; nil for nothing
}

// laterSignal is a signal that a process gets some time after SIGTERM, if it has not exited.
type laterSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// String describes the signal for a script.
func (l laterSignal) String() string { return fmt.Sprintf("%v after %v", l.signal, l.after) }

// drawSignals draws up to three further signals of a planned restart.
func drawSignals(rng *rand.Rand) []laterSignal {
	var signals []laterSignal
	at := time.Duration(0)
	for range 1 + rng.IntN(3) {
		at += time.Duration(rng.Int64N(int64(killDelay / 3)))
		signals = append(signals, laterSignal{at, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(2)]})
	}
	return signals
}

// terminate sends SIGTERM and the further signals to the current process, and waits until killDelay after the first.
func (s *sender) terminate(signals []laterSignal) {
	from := time.Now()
	s.signal(syscall.SIGTERM)
	ended := false
	for _, later := range signals {
		if ended = s.endsWithin(time.Until(from.Add(later.after))); ended {
			break
		}
		s.signal(later.signal)
	}
	if ended || s.endsWithin(time.Until(from.Add(killDelay))) {
		if err := s.exitStatus(); err != nil {
			s.records.addFault("sender %d: ended with %v after SIGTERM", s.number, err)
		}
		time.Sleep(time.Until(from.Add(killDelay)))
	}
}

// restart restarts the process. It returns when the sender is ready again, or an error if a process can't be started or
// does not become ready.
func (s *sender) restart(plan restartPlan) error {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	from := time.Now()
	if plan.planned {
		s.terminate(plan.signals)
	}
	s.kill()
	s.records.clearWaits(s.number)
	for _, lifetime := range plan.lifetimes {
		time.Sleep(startDelay)
		if err := s.launch(); err != nil {
			return err
		}
		time.Sleep(lifetime)
		s.kill()
		s.records.clearWaits(s.number)
	}
	if plan.between != nil {
		plan.between()
	}
	if s.loseFolder {
		if err := os.RemoveAll(s.dir); err != nil {
			return err
		}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
	}
	time.Sleep(startDelay)
	return s.startAgain(from)
}

// startAgain starts the process of a sender that has been away since a time, and waits until it is ready.
func (s *sender) startAgain(from time.Time) error {
	started := time.Now()
	if err := s.launch(); err != nil {
		return err
	}
	if err := s.process().Ready(); err != nil {
		s.records.addFault("sender %d: %v", s.number, err)
		return err
	}
	if took := time.Since(started); took > maxReadyTime {
		s.records.addFault("sender %d: ready after %v", s.number, took)
	}
	s.records.addOutage(s.number, from, time.Now())
	return nil
}
