package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// usageInterval is the time between two samples of what a process uses.
const usageInterval = 100 * time.Millisecond

// resourceLimits are the limits of a process, in the format of the configuration.
type resourceLimits struct {
	Cores    int `json:"cores"`     // processors that run the program at the same time
	MemoryMB int `json:"memory_mb"` // resident memory, in units of bytesPerMB
	Sockets  int `json:"sockets"`   // open sockets
	DiskMB   int `json:"disk_mb"`   // size of the state folder, in units of 1,000,000 bytes
}

// senderLimits are the limits that the configuration of each sender sets. The judge uses the same ones.
var senderLimits = resourceLimits{Cores: 1, MemoryMB: 128, Sockets: 256, DiskMB: 3}

// bytesPerMB is the unit of the limit of memory.
const bytesPerMB = 1 << 20

// peak is the highest of the sampled values and the time of its sample; zero if there is no sample.
type peak struct {
	value int
	at    time.Time
}

// add takes a sampled value into account. The first of equal values counts.
func (p *peak) add(value int, at time.Time) {
	if p.at.IsZero() || value > p.value {
		*p = peak{value, at}
	}
}

// usage is the most that one process of a sender used, by samples about every usageInterval.
type usage struct {
	sender  int
	pid     int
	sockets peak // open sockets
	memory  peak // resident set size in bytes
}

// addUsage records the usage of a process that has exited or is about to be stopped.
func (r *Records) addUsage(u usage) {
	r.withLock(func() { r.usages = append(r.usages, u) })
}

// usageSampler samples what one process uses.
type usageSampler struct {
	usage
	fdDir     string       // folder with a link for each open descriptor
	statmPath string       // file with the memory usage, in pages
	heldUntil atomic.Int64 // Unix time in ns until which the process may be held; 0 for never
}

// newUsageSampler returns the sampler of a sender's process without a sample.
func newUsageSampler(sender, pid int) *usageSampler {
	proc := fmt.Sprintf("/proc/%d", pid)
	return &usageSampler{usage: usage{sender: sender, pid: pid},
		fdDir: proc + "/fd", statmPath: proc + "/statm"}
}

// skipUntil makes the sampler take no sample before a time, until which the process is held.
func (u *usageSampler) skipUntil(at time.Time) { u.heldUntil.Store(at.UnixNano()) }

// run samples until stop is closed or the process is gone, then returns the usage.
func (u *usageSampler) run(stop <-chan struct{}) usage {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return u.usage
		case <-tick.C:
		}
		if time.Now().UnixNano() < u.heldUntil.Load() {
			continue
		}
		if err := u.sample(); err != nil {
			return u.usage
		}
	}
}

// sample takes one sample. It returns an error if the process is gone.
func (u *usageSampler) sample() error {
	at := time.Now()
	memory, err := u.residentBytes()
	if err != nil {
		return err
	}
	names, err := u.descriptors()
	if err != nil {
		return err
	}
	u.memory.add(memory, at)
	if len(names) > u.sockets.value { // else there can't be more sockets than before
		u.sockets.add(u.countSockets(names), at)
	}
	return nil
}

// errNoMemory is the error of a process without memory: it has exited and is not reaped yet.
var errNoMemory = errors.New("no resident memory")

// residentBytes returns the resident set size, which is the second field of statm, in bytes.
func (u *usageSampler) residentBytes() (int, error) {
	text, err := os.ReadFile(u.statmPath)
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, io.ErrUnexpectedEOF
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err == nil && pages == 0 {
		err = errNoMemory
	}
	return pages * os.Getpagesize(), err
}

// descriptors returns the names of the links of all open descriptors.
func (u *usageSampler) descriptors() ([]string, error) {
	dir, err := os.Open(u.fdDir)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	return dir.Readdirnames(-1)
}

// countSockets returns how many of the descriptors are sockets. Those that were closed meanwhile do not
// count.
func (u *usageSampler) countSockets(names []string) (count int) {
	for _, name := range names {
		target, err := os.Readlink(u.fdDir + "/" + name)
		if err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}
