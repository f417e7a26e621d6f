package netutil

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// AcceptFailure is the kind of a failed accept, see accept(2).
type AcceptFailure int

// The kinds of failures.
const (
	// ListenerClosed means that no more connections can be accepted.
	ListenerClosed AcceptFailure = iota
	// ConnectionAborted means that one connection or the call was aborted. Others may be accepted.
	ConnectionAborted
	// NoDescriptor means that this process has reached its limit of file descriptors. Closing one helps.
	NoDescriptor
	// SystemExhausted means that the system has no descriptors or buffers left at the moment. Closing connections
	// of this process may not help, and cuts clients off.
	SystemExhausted
)

var acceptFailureNames = [...]string{"listener closed", "connection lost", "no descriptor", "system short"}

// String returns the name of the failure, for logs.
func (f AcceptFailure) String() string { return acceptFailureNames[f] }

// ClassifyAcceptError returns the kind of failure that an error of Accept stands for.
func ClassifyAcceptError(err error) AcceptFailure {
	switch {
	case errors.Is(err, net.ErrClosed):
		return ListenerClosed
	case errors.Is(err, syscall.EMFILE):
		return NoDescriptor
	case errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
		return SystemExhausted
	}
	return ConnectionAborted
}

const (
	// acceptPause is the wait before the next accept after a lack of descriptors or buffers.
	acceptPause = 5 * time.Millisecond
	// abortedPause is the wait after an aborted connection, so that repeated errors don't take a whole processor.
	abortedPause = time.Millisecond
	// exhaustionTolerance is how long the system may be exhausted before this process closes connections of its
	// own nevertheless.
	exhaustionTolerance = 100 * time.Millisecond
)

// acceptBackoff decides how to continue after failed accepts of one listener. Its zero value is ready for use.
type acceptBackoff struct{ exhaustedSince time.Time }

// onFailure returns how long to wait before the next accept, and whether to free a descriptor first.
func (b *acceptBackoff) onFailure(f AcceptFailure, now time.Time) (pause time.Duration, release bool) {
	switch f {
	case NoDescriptor:
		return acceptPause, true
	case SystemExhausted:
		if b.exhaustedSince.IsZero() {
			b.exhaustedSince = now
		}
		return acceptPause, now.Sub(b.exhaustedSince) >= exhaustionTolerance
	}
	return abortedPause, false
}

// onSuccess records that an accept has succeeded.
func (b *acceptBackoff) onSuccess() { b.exhaustedSince = time.Time{} }

// Acceptor accepts the connections of one listener and retries after failures.
type Acceptor struct {
	net.Listener
	Log     *slog.Logger // nil for none
	Release func()       // frees a file descriptor; nil if there is none to free
	backoff acceptBackoff

	drainRounds atomic.Int32 // rounds left until a draining listener is closed; 0 if it does not drain
}

const (
	// maxDrainRounds and drainRoundTime are how often, and how long each time, a listener that is to be closed
	// accepts connections that are still queued: their requests may have arrived.
	maxDrainRounds = 2
	drainRoundTime = 10 * time.Millisecond
)

// deadlineListener is a listener whose Accept has a deadline, as those of package net do.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Drain closes the listener once the queued connections have been accepted. Until then Accept returns them. Drain
// itself returns at once.
func (a *Acceptor) Drain() {
	d, ok := a.Listener.(deadlineListener)
	if !ok || !a.drainRounds.CompareAndSwap(0, maxDrainRounds) {
		a.Close()
		return
	}
	if d.SetDeadline(time.Now().Add(drainRoundTime)) != nil {
		a.Close()
	}
}

// endDrainRound starts the next round of a draining listener, or closes the listener after the last one. It reports
// whether the listener is closed.
func (a *Acceptor) endDrainRound() bool {
	if a.drainRounds.Add(-1) > 0 {
		a.Listener.(deadlineListener).SetDeadline(time.Now().Add(drainRoundTime))
		return false
	}
	a.Close()
	return true
}

// Accept returns the next connection. It retries after failures, so its only error is a closed listener.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err == nil {
			a.backoff.onSuccess()
			return conn, nil
		}
		if a.drainRounds.Load() > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if a.endDrainRound() {
				return nil, net.ErrClosed
			}
			continue
		}
		failure := ClassifyAcceptError(err)
		if failure == ListenerClosed {
			return nil, err
		}
		if a.Log != nil {
			a.Log.Warn("accept", "addr", a.Addr().String(), "err", err, "failure", failure.String())
		}
		pause, release := a.backoff.onFailure(failure, time.Now())
		if release && a.Release != nil {
			a.Release()
		}
		time.Sleep(pause)
	}
}
