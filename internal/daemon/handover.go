package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/handover"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

const (
	snapshotTimeout  = 10 * time.Second       // from the request to the snapshot; the predecessor may be busy
	acquireInterval  = 50 * time.Millisecond  // between two attempts to acquire the journal; also the dial timeout
	confirmTimeout   = 2 * time.Second        // for a successor to send its request, and to confirm a snapshot
	lockPollInterval = 20 * time.Millisecond  // between two attempts to lock the journal
	lockTimeout      = 5 * time.Second        // for the lock to be released, after confirmTimeout
	exitTimeout      = core.LockReleaseTime   // for a process whose socket has broken to release the lock
	acceptRetryDelay = 200 * time.Millisecond // after a failed accept
)

// acquire waits until this process may open the journal in dir, either as the successor of the process that has it, or
// because no process has it. It returns the result of open, and the state of the predecessor, which is nil if there is
// none.
func acquire[J any](ctx context.Context, dir string, open func() (J, error), log *slog.Logger) (opened J,
	takeover *core.Takeover, err error) {
	logged := false
	for {
		takeover, err := requestSnapshot(dir)
		switch {
		case err == nil:
			if opened, err = open(); err == nil {
				return opened, takeover, nil
			}
			takeover.Predecessor.Close()
			closeListeners(takeover.Listeners)
		case errors.Is(err, errNoPredecessor):
			if opened, err = open(); err == nil {
				return opened, nil, nil
			}
		}
		if err != nil && !errors.Is(err, vfs.ErrLocked) && !errors.Is(err, errNotHandedOver) {
			return opened, nil, err
		}
		if !logged {
			log.Info("another process has the journal; waiting for it", "reason", err)
			logged = true
		}
		select {
		case <-ctx.Done():
			return opened, nil, fmt.Errorf("stopped while another process has the journal: %w", err)
		case <-time.After(acquireInterval):
		}
	}
}

// RetryTakeover calls run, which makes and runs a daemon, again for as long as it fails with
// [core.ErrPredecessorUnreachable]: the handover was aborted before the predecessor received the confirmation. It
// returns the result of the last call.
func RetryTakeover(log *slog.Logger, run func() error) error {
	for {
		err := run()
		if !errors.Is(err, core.ErrPredecessorUnreachable) {
			return err
		}
		log.Error("handover aborted; requesting it again", "err", err)
	}
}

var (
	errNoPredecessor = errors.New("no process offers a handover")
	errNotHandedOver = errors.New("the handover is not possible now")
)

// requestSnapshot requests a handover from the process that has the journal in dir. The error wraps errNoPredecessor
// or errNotHandedOver.
func requestSnapshot(dir string) (*core.Takeover, error) {
	c, err := handover.Dial(dir, acquireInterval)
	if err != nil {
		return nil, errNoPredecessor
	}
	takeover, err := receiveTakeover(c)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", errNotHandedOver, err)
	}
	return takeover, nil
}

// receiveTakeover requests a handover over c and receives the snapshot and the listeners.
func receiveTakeover(c *handover.Conn) (*core.Takeover, error) {
	if err := c.Send(&handover.SnapshotRequest{Format: handover.Format}); err != nil {
		return nil, err
	}
	c.SetReceiveDeadline(time.Now().Add(snapshotTimeout))
	m, files, err := c.Receive()
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	switch m := m.(type) {
	case *handover.Snapshot:
		if m.Format != handover.Format || m.Listeners != len(files) {
			return nil, fmt.Errorf("snapshot has format %d and %d of %d listeners", m.Format, len(files), m.Listeners)
		}
		takeover := &core.Takeover{Snapshot: m, Predecessor: peerConn{c}}
		for _, f := range files {
			ln, err := net.FileListener(f)
			if err != nil {
				closeListeners(takeover.Listeners)
				return nil, err
			}
			takeover.Listeners = append(takeover.Listeners, ln)
		}
		c.SetReceiveDeadline(time.Time{})
		return takeover, nil
	case *handover.Refusal:
		return nil, errors.New(m.Reason)
	default:
		return nil, fmt.Errorf("received %T instead of a snapshot", m)
	}
}

func closeListeners(list []net.Listener) {
	for _, ln := range list {
		ln.Close()
	}
}

// peerConn implements [core.Predecessor], and the link of [core.Successor], by a connection.
type peerConn struct{ *handover.Conn }

// ReceiveMessages passes received messages to handle until the connection ends, then calls closed with the error.
func (p peerConn) ReceiveMessages(handle func(m any), closed func(error)) {
	for {
		m, files, err := p.Receive()
		for _, f := range files { // none is expected after the snapshot
			f.Close()
		}
		if err != nil {
			closed(err)
			return
		}
		handle(m)
	}
}

// successor implements [core.Successor] for a process that has requested a handover.
type successor struct {
	peerConn
	dir          string
	log          *slog.Logger
	snapshotSent bool // the snapshot has been sent, or may have been
}

// Transfer implements [core.Successor.Transfer]. It confirms the result by the reply of the successor or by the
// journal's lock.
func (h *successor) Transfer(snapshot *handover.Snapshot, listeners []net.Listener) (taken bool, err error) {
	h.snapshotSent = true
	situation := handover.Situation{}
	var files []int
	for _, ln := range listeners {
		fd, err := descriptor(ln)
		if err != nil {
			return false, err // nothing has been sent
		}
		files = append(files, fd)
	}
	if err = h.SendWith(snapshot, files); err != nil {
		situation.ConnectionLost = true
	}
	confirmBy := time.Now().Add(confirmTimeout)
	peer := h.PeerPID()
	var brokenAt time.Time // when the lock was first found taken after the socket had broken
	for {
		switch verdict := handover.Decide(situation); verdict {
		case handover.Relay:
			h.SetReceiveDeadline(time.Time{})
			return true, nil
		case handover.Resume:
			h.Close()
			return false, err
		case handover.Wait:
			h.SetReceiveDeadline(confirmBy)
			m, _, receiveErr := h.Receive()
			switch m := m.(type) {
			case *handover.Confirmation:
				situation.Confirmed = true
			case *handover.Refusal:
				situation.ConnectionLost, err = true, errors.New(m.Reason)
			default:
				situation.TimedOut = errors.Is(receiveErr, os.ErrDeadlineExceeded)
				situation.ConnectionLost = !situation.TimedOut
				if err = receiveErr; errors.Is(receiveErr, io.EOF) {
					err = errors.New("the successor closed the connection")
				}
			}
		case handover.TryLock:
			situation.Lock = h.tryLock()
			if situation.Lock != handover.LockHeldByOther {
				continue
			}
			if brokenAt.IsZero() {
				brokenAt = time.Now()
			}
			if situation.LockHeldLong = situation.ConnectionLost && time.Since(brokenAt) > exitTimeout && !isExiting(peer); situation.LockHeldLong {
				h.log.Error("the successor has the journal, and its socket has broken; it decides from now on", "err", err)
				h.Close()
				continue
			}
			time.Sleep(lockPollInterval)
		case handover.Fence:
			pid := h.PeerPID()
			h.log.Error("the process that asked has the journal and says nothing; it is ended", "pid", pid)
			if pid > 1 && pid != os.Getpid() {
				syscall.Kill(pid, syscall.SIGKILL)
			}
			situation.ConnectionLost, situation.TimedOut = true, false
		}
		if time.Since(confirmBy) > lockTimeout {
			return false, fmt.Errorf("another process has the journal: %w", err)
		}
	}
}

// isExiting reports whether a process has exited or is exiting: it has no memory left, but may not have closed its
// files yet, for example on a slow disk.
func isExiting(pid int) bool {
	if pid <= 0 { // not known
		return false
	}
	sizes, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	return errors.Is(err, fs.ErrNotExist) || err == nil && strings.HasPrefix(string(sizes), "0 ")
}

// tryLock reports whether the journal's lock is free, and releases it at once. If a third process takes the lock right
// after that, opening the journal fails.
func (h *successor) tryLock() handover.LockState {
	fs, err := vfs.OpenDir(h.dir)
	if err != nil {
		return handover.LockHeldByOther
	}
	lock, err := store.Lock(fs)
	if err != nil {
		return handover.LockHeldByOther
	}
	lock.Close()
	return handover.LockAcquired
}

// descriptor returns the file descriptor of a listener, which is valid until the listener is closed.
func descriptor(ln net.Listener) (n int, err error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("a %T can't be handed over", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) { n = int(fd) })
	return n, err
}

// serveSuccessors handles requests for a handover until a successor has taken over or ctx is done. If it can't listen,
// no handover is possible, and the next process starts from the journal once this one has exited. The reloads get to
// know who has taken over.
func serveSuccessors(ctx context.Context, dir string, c *core.Core, reloads *reloadRelay, log *slog.Logger) {
	l, err := handover.Listen(dir)
	if err != nil {
		log.Warn("an upgrade will start from the journal", "err", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer l.Close()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			log.Warn("handover: accept", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		pid := conn.PeerPID()
		if serveSuccessor(conn, dir, c, log) {
			reloads.handedOver(pid)
			return
		}
	}
}

// serveSuccessor handles a connection that requests a handover, and reports whether the successor has taken over.
func serveSuccessor(conn *handover.Conn, dir string, c *core.Core, log *slog.Logger) bool {
	conn.SetReceiveDeadline(time.Now().Add(confirmTimeout))
	m, _, err := conn.Receive()
	request, ok := m.(*handover.SnapshotRequest)
	switch {
	case err != nil || !ok:
		conn.Close()
		return false
	case request.Format != handover.Format:
		err = fmt.Errorf("it asks for format %d; this process speaks %d", request.Format, handover.Format)
	default:
		conn.SetReceiveDeadline(time.Time{})
		h := &successor{peerConn: peerConn{conn}, dir: dir, log: log}
		if err = c.HandOver(h); err == nil {
			return true
		}
		if h.snapshotSent {
			conn.Close()
			return false
		}
	}
	log.Info("not handed over", "reason", err)
	conn.Send(&handover.Refusal{Reason: err.Error()})
	conn.Close()
	return false
}
