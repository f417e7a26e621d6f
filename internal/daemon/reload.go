package daemon

import (
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"
)

// passOnWithin is the time before a handover within which a reload is passed on to the successor, which may have read
// its configuration before the file was replaced. It exceeds the time that a process may take from its start to the
// handover.
const passOnWithin = 10 * time.Second

// reloadRelay passes reloads on to the process that takes over: an operator may send SIGHUP only to the process that
// he knows, and the successor would go on with the configuration of its start.
type reloadRelay struct {
	log *slog.Logger

	mu           sync.Mutex
	lastReceived time.Time   // of SIGHUP; zero for none
	successor    *os.Process // nil until a process has taken over
}

// received notes that this process has got SIGHUP. It reports whether another process has taken over, which gets the
// signal instead.
func (r *reloadRelay) received() (passedOn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReceived = time.Now()
	if r.successor == nil {
		return false
	}
	r.passOn()
	return true
}

// handedOver notes that the process with a pid has taken over. A pid that is unknown, or of this process, is ignored.
func (r *reloadRelay) handedOver(pid int) {
	if pid <= 1 || pid == os.Getpid() {
		return
	}
	successor, err := os.FindProcess(pid)
	if err != nil {
		r.log.Warn("reload: the process that took over can't be signalled", "pid", pid, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.successor = successor
	if !r.lastReceived.IsZero() && time.Since(r.lastReceived) < passOnWithin {
		r.passOn()
	}
}

// passOn sends SIGHUP to the successor. The caller holds mu.
func (r *reloadRelay) passOn() {
	r.log.Info("reload: passed on to the process that took over", "pid", r.successor.Pid)
	if err := r.successor.Signal(syscall.SIGHUP); err != nil {
		r.log.Warn("reload: the process that took over can't be signalled", "pid", r.successor.Pid, "err", err)
	}
}
