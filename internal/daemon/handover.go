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
	askTime     = 10 * time.Second       // for a snapshot, once it has been asked for; the other process may be busy
	askPause    = 50 * time.Millisecond  // between two attempts to become the owner
	takenTime   = 2 * time.Second        // for a successor to say that it has taken a snapshot
	fencePause  = 20 * time.Millisecond  // between two looks at the lock of one that was ended
	fenceTime   = 5 * time.Second        // for the lock to come free
	dyingTime   = core.LockReleaseTime   // for that of a process whose socket has broken
	acceptRetry = 200 * time.Millisecond // after a failed accept
)

// acquire waits until this process may open the journal in dir: as the successor of the
// process that has it, or because nobody has it. It returns what open has opened.
func acquire[J any](ctx context.Context, dir string, open func() (J, error), log *slog.Logger) (kept J, in *core.Takeover, err error) {
	said := false
	for {
		in, err := ask(dir)
		switch {
		case err == nil:
			if kept, err = open(); err == nil {
				return kept, in, nil
			}
			in.Predecessor.Close()
			closeAll(in.Listeners)
		case errors.Is(err, errNobody):
			if kept, err = open(); err == nil {
				return kept, nil, nil
			}
		}
		if err != nil && !errors.Is(err, vfs.ErrLocked) && !errors.Is(err, errNotNow) {
			return kept, nil, err
		}
		if !said {
			log.Info("another process has the journal; waiting for it", "reason", err)
			said = true
		}
		select {
		case <-ctx.Done():
			return kept, nil, fmt.Errorf("told to end while another process has the journal: %w", err)
		case <-time.After(askPause):
		}
	}
}

// UntilTaken runs a daemon, made anew each time that a handover to it has broken off
// before the process before it had heard that it decides.
func UntilTaken(log *slog.Logger, run func() error) error {
	for {
		err := run()
		if !errors.Is(err, core.ErrPredecessorUnreachable) {
			return err
		}
		log.Error("the handover is asked for again", "err", err)
	}
}

var (
	errNobody = errors.New("nobody hands over")
	errNotNow = errors.New("nothing is handed over now")
)

// ask asks the process that has the journal in dir for its snapshot.
func ask(dir string) (*core.Takeover, error) {
	c, err := handover.Dial(dir, askPause)
	if err != nil {
		return nil, errNobody
	}
	in, err := askOn(c)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", errNotNow, err)
	}
	return in, nil
}

func askOn(c *handover.Conn) (*core.Takeover, error) {
	if err := c.Send(&handover.SnapshotRequest{Format: handover.Format}); err != nil {
		return nil, err
	}
	c.SetReceiveDeadline(time.Now().Add(askTime))
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
			return nil, fmt.Errorf("a snapshot of format %d with %d of %d listeners", m.Format, len(files), m.Listeners)
		}
		in := &core.Takeover{Snapshot: m, Predecessor: link{c}}
		for _, f := range files {
			ln, err := net.FileListener(f)
			if err != nil {
				closeAll(in.Listeners)
				return nil, err
			}
			in.Listeners = append(in.Listeners, ln)
		}
		c.SetReceiveDeadline(time.Time{})
		return in, nil
	case *handover.Refusal:
		return nil, errors.New(m.Reason)
	default:
		return nil, fmt.Errorf("%T in the place of a snapshot", m)
	}
}

func closeAll(list []net.Listener) {
	for _, ln := range list {
		ln.Close()
	}
}

// link is a connection as the core uses it.
type link struct{ *handover.Conn }

// ReceiveMessages tells what comes until the connection ends.
func (l link) ReceiveMessages(tell func(m any), gone func(error)) {
	for {
		m, files, err := l.Receive()
		for _, f := range files { // none is due
			f.Close()
		}
		if err != nil {
			gone(err)
			return
		}
		tell(m)
	}
}

// successor is a process that has asked.
type successor struct {
	link
	dir   string
	log   *slog.Logger
	given bool // it has been sent the snapshot, or may have been
}

// Transfer is [core.Successor.Transfer].
func (h *successor) Transfer(snapshot *handover.Snapshot, listeners []net.Listener) (taken bool, err error) {
	h.given = true
	s := handover.Situation{}
	var files []int
	for _, ln := range listeners {
		fd, err := descriptor(ln)
		if err != nil {
			return false, err // nothing has been sent
		}
		files = append(files, fd)
	}
	if err = h.SendWith(snapshot, files); err != nil {
		s.ConnectionLost = true
	}
	by := time.Now().Add(takenTime)
	peer := h.PeerPID()
	var brokenAt time.Time // when the lock was first found taken after the socket had broken
	for {
		switch v := handover.Decide(s); v {
		case handover.Relay:
			h.SetReceiveDeadline(time.Time{})
			return true, nil
		case handover.Resume:
			h.Close()
			return false, err
		case handover.Wait:
			h.SetReceiveDeadline(by)
			m, _, rerr := h.Receive()
			switch m := m.(type) {
			case *handover.Confirmation:
				s.Confirmed = true
			case *handover.Refusal:
				s.ConnectionLost, err = true, errors.New(m.Reason)
			default:
				s.TimedOut = errors.Is(rerr, os.ErrDeadlineExceeded)
				s.ConnectionLost = !s.TimedOut
				if err = rerr; errors.Is(rerr, io.EOF) {
					err = errors.New("the process that asked has gone")
				}
			}
		case handover.TryLock:
			s.Lock = h.tryLock()
			if s.Lock != handover.LockHeldByOther {
				continue
			}
			if brokenAt.IsZero() {
				brokenAt = time.Now()
			}
			if s.LockHeldLong = s.ConnectionLost && time.Since(brokenAt) > dyingTime && !isEnding(peer); s.LockHeldLong {
				h.log.Error("the process that asked has the journal, and its socket has broken; it decides", "err", err)
				h.Close()
				continue
			}
			time.Sleep(fencePause)
		case handover.Fence:
			pid := h.PeerPID()
			h.log.Error("the process that asked has the journal and says nothing; it is ended", "pid", pid)
			if pid > 1 && pid != os.Getpid() {
				syscall.Kill(pid, syscall.SIGKILL)
			}
			s.ConnectionLost, s.TimedOut = true, false
		}
		if time.Since(by) > fenceTime {
			return false, fmt.Errorf("another process has the journal: %w", err)
		}
	}
}

// isEnding says whether a process has ended or is about to: it has no memory left, but may
// take its time to close its files, as on a slow disk.
func isEnding(pid int) bool {
	if pid <= 0 { // not known
		return false
	}
	sizes, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	return errors.Is(err, fs.ErrNotExist) || err == nil && strings.HasPrefix(string(sizes), "0 ")
}

// tryLock looks whether the journal's lock is free. A third process that takes it
// right after is found by whoever opens the journal then.
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

// descriptor is the number of a listener's descriptor. It is good as long as the
// listener is open.
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

// serveSuccessors waits for processes that ask, until one has taken over or ctx is over.
// Without a socket nothing is handed over, and the next process starts from the
// journal once this one has ended.
func serveSuccessors(ctx context.Context, dir string, c *core.Core, log *slog.Logger) {
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
			time.Sleep(acceptRetry)
			continue
		}
		if serveSuccessor(conn, dir, c, log) {
			return
		}
	}
}

// serveSuccessor deals with one that asks, and says whether it has taken over.
func serveSuccessor(conn *handover.Conn, dir string, c *core.Core, log *slog.Logger) bool {
	conn.SetReceiveDeadline(time.Now().Add(takenTime))
	m, _, err := conn.Receive()
	asked, ok := m.(*handover.SnapshotRequest)
	switch {
	case err != nil || !ok:
		conn.Close()
		return false
	case asked.Format != handover.Format:
		err = fmt.Errorf("it asks for format %d; this process speaks %d", asked.Format, handover.Format)
	default:
		conn.SetReceiveDeadline(time.Time{})
		h := &successor{link: link{conn}, dir: dir, log: log}
		if err = c.HandOver(h); err == nil {
			return true
		}
		if h.given {
			conn.Close()
			return false
		}
	}
	log.Info("not handed over", "reason", err)
	conn.Send(&handover.Refusal{Reason: err.Error()})
	conn.Close()
	return false
}
