package faultbuild

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// PageVariable names the environment variable that tells a program its page of
// controls. A program without it runs with no faults.
const PageVariable = "COMETRACK_FAULT_PAGE"

const (
	pageFields     = 512
	pageFieldsText = "512"
	pageBytesText  = "4096"
	pageBytes      = 4096
)

// The fields of a page.
const (
	fieldWallSeconds = iota
	fieldHoldProbability
	fieldHoldCount
	fieldAcceptProbability
	fieldAcceptErrno
	fieldAcceptCount
	fieldWriteProbability
	fieldWriteErrno
	fieldWriteCount
	fieldSyncProbability
	fieldSyncErrno
	fieldSyncCount
	fieldConnectProbability
	fieldConnectErrno
	fieldConnectCount
	fieldHoldWriteProbability
	fieldFailNextWrite // the next write at an offset fails
	fieldBreakNext     // the connection of the next write to one is shut
	fieldArmedPoint    // the point at which an event comes, from 1; 0 for none
	fieldArmedEvent
	fieldArmedSkip // passes of the point that are let go
	fieldLateProbability
	fieldLateNotPort
	fieldPoints = 64 // from here on, how often each point was passed
)

// MaxPoints is the number of points that a page has room for.
const MaxPoints = pageFields - fieldPoints

// Controls command the faults of the processes that were started with its
// [Controls.Env], at any time.
type Controls struct {
	path string
	page *[pageFields]int64
	raw  []byte
}

// NewControls makes a page, with no faults on, in a file.
func NewControls(path string) (*Controls, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Truncate(pageBytes); err != nil {
		return nil, err
	}
	raw, err := syscall.Mmap(int(f.Fd()), 0, pageBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map the page of controls: %w", err)
	}
	return &Controls{path: path, raw: raw, page: (*[pageFields]int64)(unsafe.Pointer(&raw[0]))}, nil
}

// Close gives the page back. Nothing may be commanded after it.
func (c *Controls) Close() error { return syscall.Munmap(c.raw) }

// Env is the variable for processes that are to follow these controls.
func (c *Controls) Env() string { return PageVariable + "=" + c.path }

func (c *Controls) set(field int, value int64) { atomic.StoreInt64(&c.page[field], value) }

func (c *Controls) get(field int) int64 { return atomic.LoadInt64(&c.page[field]) }

// parts turns a probability into parts of 2^32.
func parts(probability float64) int64 { return int64(probability * (1 << 32)) }

// SetWallOffset has the wall clock be off by a span, in whole seconds. The monotonic clock
// runs on.
func (c *Controls) SetWallOffset(off time.Duration) { c.set(fieldWallSeconds, int64(off/time.Second)) }

// HoldAfterClock has the whole process stop right behind a reading of the clock, with a
// probability for each reading, until it gets SIGCONT: see [Resume].
func (c *Controls) HoldAfterClock(probability float64) {
	c.set(fieldHoldProbability, parts(probability))
}

// HoldBeforeWrites has the whole process stop right before a write to a connection, so
// that nothing can be looked at any more between the reading of the clock and the
// write, until it gets SIGCONT.
func (c *Controls) HoldBeforeWrites(probability float64) {
	c.set(fieldHoldWriteProbability, parts(probability))
}

// FailAccepts has accepts fail.
func (c *Controls) FailAccepts(probability float64, errno syscall.Errno) {
	c.set(fieldAcceptErrno, int64(errno))
	c.set(fieldAcceptProbability, parts(probability))
}

// FailWrites has writes at an offset, such as the store's, fail after half of their
// bytes.
func (c *Controls) FailWrites(probability float64, errno syscall.Errno) {
	c.set(fieldWriteErrno, int64(errno))
	c.set(fieldWriteProbability, parts(probability))
}

// FailSyncs has syncs of files and folders fail.
func (c *Controls) FailSyncs(probability float64, errno syscall.Errno) {
	c.set(fieldSyncErrno, int64(errno))
	c.set(fieldSyncProbability, parts(probability))
}

// FailConnects has connects fail.
func (c *Controls) FailConnects(probability float64, errno syscall.Errno) {
	c.set(fieldConnectErrno, int64(errno))
	c.set(fieldConnectProbability, parts(probability))
}

// DelayConnects has connects begin 0.3 to 0.9 s late, but for those to one port.
func (c *Controls) DelayConnects(probability float64, notPort int) {
	c.set(fieldLateNotPort, int64(notPort))
	c.set(fieldLateProbability, parts(probability))
}

// Counts are the faults that have come.
type Counts struct{ Holds, Accepts, Writes, Syncs, Connects int64 }

// Counts tells how many faults have come.
func (c *Controls) Counts() Counts {
	return Counts{c.get(fieldHoldCount), c.get(fieldAcceptCount), c.get(fieldWriteCount), c.get(fieldSyncCount), c.get(fieldConnectCount)}
}

// lookEvery is how often Resume looks whether a process stands.
const lookEvery = 2 * time.Millisecond

// Resume lets a process go on, each time that it has stopped itself, after what next
// says, until stop is closed or the process is gone. It returns the time for which
// the process stood each time.
func Resume(pid int, next func() time.Duration, stop <-chan struct{}) (stood []time.Duration) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			syscall.Kill(pid, syscall.SIGCONT)
			return stood
		case <-tick.C:
		}
		state, ok := processState(pid)
		if !ok {
			return stood
		}
		if state != 'T' {
			continue
		}
		from := time.Now()
		time.Sleep(next())
		syscall.Kill(pid, syscall.SIGCONT)
		stood = append(stood, time.Since(from)+lookEvery)
	}
}

// processState is the state of a process as proc(5) tells it; false once it is gone.
func processState(pid int) (byte, bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	_, rest, ok := strings.Cut(string(b), ") ")
	if !ok || rest == "" {
		return 0, false
	}
	return rest[0], rest[0] != 'Z'
}
