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

// PageVariable is the environment variable with the path of a program's page of
// controls. A program without it runs without faults.
const PageVariable = "COMETRACK_FAULT_PAGE"

// Size of a page of controls. The texts are the same numbers as source text for hooksSource.
const (
	pageFields     = 512    // 64-bit fields
	pageFieldsText = "512"  // pageFields
	pageBytesText  = "4096" // pageBytes
	pageBytes      = 4096   // bytes of pageFields, and the size of the mapping
)

// Indexes of the fields of a page. hooksSource in overlay.go uses the same numbers. A
// probability is in units of 2^-32, with 0 for no faults; an errno is the error with which
// the call fails; a count is the number of these faults so far, kept by the program.
const (
	fieldWallSeconds          = iota // added to the wall clock, in seconds
	fieldHoldProbability             // of a hold after a reading of the clock
	fieldHoldCount                   // holds after readings and before writes, without those at points
	fieldAcceptProbability           // of a failed accept
	fieldAcceptErrno                 // with which an accept fails
	fieldAcceptCount                 // failed accepts
	fieldWriteProbability            // of a failed write at an offset
	fieldWriteErrno                  // with which a write at an offset fails
	fieldWriteCount                  // failed writes at an offset, without the one of an event
	fieldSyncProbability             // of a failed sync of a file or folder
	fieldSyncErrno                   // with which a sync fails
	fieldSyncCount                   // failed syncs
	fieldConnectProbability          // of a failed connect
	fieldConnectErrno                // with which a connect fails
	fieldConnectCount                // failed and delayed connects
	fieldHoldWriteProbability        // of a hold before a write to a connection
	fieldFailNextWrite               // 1 if the next write at an offset has to fail
	fieldBreakConnection             // 1 if the next write to a connection has to shut it down first
	fieldArmedPoint                  // number of the point at which the event occurs, plus 1; 0 for none
	fieldArmedEvent                  // [Event] that occurs at the armed point
	fieldArmedSkip                   // passes of the point before the one at which the event occurs
	fieldDelayProbability            // of a delayed connect
	fieldUndelayedPort               // port to which connects are not delayed; 0 for none
	fieldSilence                     // 1 if the process has stopped itself so that its connections can be silenced
	fieldPassCounts           = 64   // first of the pass counts of the points
)

// MaxPoints is the number of points whose pass counts fit into a page.
const MaxPoints = pageFields - fieldPassCounts

// Controls turn on and off the faults of the processes that were started with
// [Controls.Env] in their environment. Its methods may be called at any time.
type Controls struct {
	path    string             // file of the page
	page    *[pageFields]int64 // mapping as fields; accessed atomically
	mapping []byte
}

// NewControls maps the page in the file at path. It creates a file without faults if there
// is none; an existing file keeps its controls and counts.
func NewControls(path string) (*Controls, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Truncate(pageBytes); err != nil {
		return nil, err
	}
	mapping, err := syscall.Mmap(int(f.Fd()), 0, pageBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map the page of fault controls: %w", err)
	}
	return &Controls{path: path, mapping: mapping, page: (*[pageFields]int64)(unsafe.Pointer(&mapping[0]))}, nil
}

// Close unmaps the page. The Controls must not be used afterwards.
func (c *Controls) Close() error { return syscall.Munmap(c.mapping) }

// Env returns the environment entry, NAME=value, for the processes to be controlled.
func (c *Controls) Env() string { return PageVariable + "=" + c.path }

// set stores the value of a field, given by its index.
func (c *Controls) set(field int, value int64) { atomic.StoreInt64(&c.page[field], value) }

// get returns the value of a field, given by its index.
func (c *Controls) get(field int) int64 { return atomic.LoadInt64(&c.page[field]) }

// fixedPoint converts a probability to units of 2^-32, as the page holds it.
func fixedPoint(probability float64) int64 { return int64(probability * (1 << 32)) }

// SetWallOffset shifts the wall clock by offset, truncated to whole seconds. The monotonic
// clock is not affected.
func (c *Controls) SetWallOffset(offset time.Duration) {
	c.set(fieldWallSeconds, int64(offset/time.Second))
}

// HoldAfterClock stops the whole process right after a reading of the clock, with the given
// probability for each reading, until it gets SIGCONT: see [Resume].
func (c *Controls) HoldAfterClock(probability float64) {
	c.set(fieldHoldProbability, fixedPoint(probability))
}

// HoldBeforeWrites stops the whole process right before a write to a connection, with the
// given probability for each write, until it gets SIGCONT. The program can't check
// anything between the hold and the write.
func (c *Controls) HoldBeforeWrites(probability float64) {
	c.set(fieldHoldWriteProbability, fixedPoint(probability))
}

// FailAccepts makes accepts fail with errno, with the given probability for each.
func (c *Controls) FailAccepts(probability float64, errno syscall.Errno) {
	c.set(fieldAcceptErrno, int64(errno))
	c.set(fieldAcceptProbability, fixedPoint(probability))
}

// FailWrites makes writes at an offset, such as the store's, fail with errno after half
// of their bytes, with the given probability for each.
func (c *Controls) FailWrites(probability float64, errno syscall.Errno) {
	c.set(fieldWriteErrno, int64(errno))
	c.set(fieldWriteProbability, fixedPoint(probability))
}

// FailSyncs makes syncs of files and folders fail with errno, with the given probability
// for each.
func (c *Controls) FailSyncs(probability float64, errno syscall.Errno) {
	c.set(fieldSyncErrno, int64(errno))
	c.set(fieldSyncProbability, fixedPoint(probability))
}

// FailConnects makes connects fail with errno, with the given probability for each.
func (c *Controls) FailConnects(probability float64, errno syscall.Errno) {
	c.set(fieldConnectErrno, int64(errno))
	c.set(fieldConnectProbability, fixedPoint(probability))
}

// DelayConnects delays connects by 0.3 to 0.9 s, with the given probability for each.
// Connects to exemptPort are not delayed.
func (c *Controls) DelayConnects(probability float64, exemptPort int) {
	c.set(fieldUndelayedPort, int64(exemptPort))
	c.set(fieldDelayProbability, fixedPoint(probability))
}

// Counts are the numbers of faults injected so far, by kind: holds, failed accepts, failed
// writes at an offset, failed syncs, and connects that failed or were delayed. Only faults
// with a probability are counted, not the events armed at points. A connect that is delayed
// and then fails counts twice.
type Counts struct{ Holds, Accepts, Writes, Syncs, Connects int64 }

// Counts returns the numbers of faults injected so far, in all processes that use the page.
func (c *Controls) Counts() Counts {
	return Counts{c.get(fieldHoldCount), c.get(fieldAcceptCount), c.get(fieldWriteCount), c.get(fieldSyncCount),
		c.get(fieldConnectCount)}
}

// statePollInterval is how often Resume checks whether the process is stopped.
const statePollInterval = 2 * time.Millisecond

// Resume sends SIGCONT to a process each time it has stopped itself, after the duration
// that nextHold returns, until stop is closed or the process is gone. It returns how long
// each hold lasted at most: a hold may have begun up to statePollInterval before it was
// noticed. A hold that is in progress when stop is closed ends then and is not returned.
func Resume(pid int, nextHold func() time.Duration, stop <-chan struct{}) (holds []time.Duration) {
	tick := time.NewTicker(statePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			syscall.Kill(pid, syscall.SIGCONT)
			return holds
		case <-tick.C:
		}
		state, ok := processState(pid)
		if !ok {
			return holds
		}
		if state != 'T' {
			continue
		}
		stoppedAt := time.Now()
		time.Sleep(nextHold())
		syscall.Kill(pid, syscall.SIGCONT)
		holds = append(holds, time.Since(stoppedAt)+statePollInterval)
	}
}

// processState returns the state of a process in the notation of proc(5), such as 'T' for a
// stopped one; false once the process has exited.
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
