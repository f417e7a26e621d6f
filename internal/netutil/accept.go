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

// AcceptFailure is what a failed accept tells, see accept(2).
type AcceptFailure int

// The failures.
const (
	// ListenerClosed: no more connections come.
	ListenerClosed AcceptFailure = iota
	// ConnectionAborted: the connection at hand, or the call, was aborted; others wait.
	ConnectionAborted
	// NoDescriptor: this process may open no more; closing one helps.
	NoDescriptor
	// SystemExhausted: the system is short of descriptors or buffers for a moment. Closing
	// connections of one's own may not help, and would cut off clients.
	SystemExhausted
)

var acceptFailureNames = [...]string{"listener closed", "connection lost", "no descriptor", "system short"}

func (f AcceptFailure) String() string { return acceptFailureNames[f] }

// ClassifyAcceptError tells what an error of Accept means.
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
	// acceptPause is the wait before another accept where one can't succeed at once.
	acceptPause = 5 * time.Millisecond
	// lostPause keeps errors that come again and again from using up a processor.
	lostPause = time.Millisecond
	// shortFor is how long the system may be short until descriptors of one's own are given
	// back all the same.
	shortFor = 100 * time.Millisecond
)

// acceptBackoff decides what follows failed accepts of one listener. Its zero value is
// ready for use.
type acceptBackoff struct{ since time.Time }

// failed tells how long to wait before the next accept, and whether to give back a
// descriptor first.
func (b *acceptBackoff) failed(f AcceptFailure, now time.Time) (pause time.Duration, release bool) {
	switch f {
	case NoDescriptor:
		return acceptPause, true
	case SystemExhausted:
		if b.since.IsZero() {
			b.since = now
		}
		return acceptPause, now.Sub(b.since) >= shortFor
	}
	return lostPause, false
}

// accepted notes that an accept has succeeded.
func (b *acceptBackoff) accepted() { b.since = time.Time{} }

// Acceptor accepts the connections of one listener, whatever fails on the way.
type Acceptor struct {
	net.Listener
	Log     *slog.Logger // nil for none
	Release func()       // gives a descriptor back; nil where there is none to give
	backoff acceptBackoff

	drains atomic.Int32 // looks at the queue that are left until the listener is closed; 0 while it is not to be
}

const (
	// drainLooks and drainLook are how often, and for how long, a listener that is to be
	// closed looks for connections that wait to be accepted: their requests may have come.
	drainLooks = 2
	drainLook  = 10 * time.Millisecond
)

// deadliner is a listener whose accepts may be bounded, as those of package net are.
type deadliner interface{ SetDeadline(time.Time) error }

// Drain closes the listener once the connections are accepted that wait for it; what
// Accept returns until then is good. It does not wait.
func (a *Acceptor) Drain() {
	d, ok := a.Listener.(deadliner)
	if !ok || !a.drains.CompareAndSwap(0, drainLooks) {
		a.Close()
		return
	}
	if d.SetDeadline(time.Now().Add(drainLook)) != nil {
		a.Close()
	}
}

// drained says whether a listener that drains has looked for long enough, and if so
// closes it.
func (a *Acceptor) drained() bool {
	if a.drains.Add(-1) > 0 {
		a.Listener.(deadliner).SetDeadline(time.Now().Add(drainLook))
		return false
	}
	a.Close()
	return true
}

// Accept returns the next connection. Its only error is that the listener is closed.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err == nil {
			a.backoff.accepted()
			return conn, nil
		}
		if a.drains.Load() > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if a.drained() {
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
		pause, release := a.backoff.failed(failure, time.Now())
		if release && a.Release != nil {
			a.Release()
		}
		time.Sleep(pause)
	}
}
