package clock

import (
	"math"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the clock of a sender. Its times are in microseconds. It may be used by several goroutines at once.
type Clock struct {
	base   int64     // the sender's time at origin
	origin time.Time // with a monotonic reading
}

// New returns a clock that shows base, in microseconds, at origin, which must have a monotonic reading.
func New(base int64, origin time.Time) *Clock { return &Clock{base, origin} }

// Now returns the current time, in microseconds.
func (c *Clock) Now() int64 { return c.base + time.Since(c.origin).Microseconds() }

// At converts a time with a monotonic reading to microseconds of the clock.
func (c *Clock) At(t time.Time) int64 { return c.base + t.Sub(c.origin).Microseconds() }

// Moment converts microseconds of the clock to a time with a monotonic reading. Steps of the wall clock do not affect
// comparisons with other such times, or waiting for it.
func (c *Clock) Moment(us int64) time.Time {
	return c.origin.Add(time.Duration(us-c.base) * time.Microsecond)
}

// Wall converts microseconds of the clock to the time of the wall clock as it is set now. The result is for people and
// protocols; decisions must not depend on it.
func (c *Clock) Wall(us int64) time.Time {
	return c.origin.Round(0).Add(time.Duration(us-c.base)*time.Microsecond + smallestStep(c.readStep))
}

const (
	// minStep is the smallest step of the wall clock that Wall follows: smaller ones may be jitter between two readings.
	minStep = time.Millisecond
	// maxStepReadings is how often a step is read at most. The process may be held up between the two clocks of a reading.
	maxStepReadings = 3
)

// readStep reads how far the wall clock was stepped since the origin.
func (c *Clock) readStep() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(c.origin.Round(0)) - now.Sub(c.origin)
}

// smallestStep returns the smallest of some readings of a step; 0 if one of them is below minStep.
func smallestStep(read func() time.Duration) time.Duration {
	step := read()
	for range maxStepReadings - 1 {
		if step.Abs() < minStep {
			break
		}
		if again := read(); again.Abs() < step.Abs() {
			step = again
		}
	}
	if step.Abs() < minStep {
		return 0
	}
	return step
}

// Epoch relates the sender's time to a boot of the machine. It is stored with the journal.
type Epoch struct {
	BootID string // ID of the boot; empty if the system has none
	Offset int64  // sender's time minus time since the boot, in microseconds
}

// Start returns the clock of a process and the epoch to store for the next one. saved is the epoch that the previous
// process stored, nil for none. latest is the latest stored time, 0 for none. known reports whether the time that has
// passed since earlier times were stored is known; if not, the clock starts from an estimate.
func Start(saved *Epoch, latest int64) (c *Clock, epoch Epoch, known bool) {
	return start(saved, latest, readBoot())
}

// boot is a simultaneous reading of the clocks of the machine.
type boot struct {
	id     string    // of the boot; empty if it is not known
	uptime int64     // microseconds since the boot, including sleep
	moment time.Time // from time.Now
}

// readBoot reads the clocks. On a system without a boot clock or a boot ID the ID is empty.
func readBoot() boot {
	b, ok := readSimultaneously(time.Now, sinceBoot)
	if !ok {
		return b
	}
	if id, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		b.id = strings.TrimSpace(string(id))
	}
	return b
}

// sinceBoot returns the time since the boot in microseconds, including sleep; false if it can't be read.
func sinceBoot() (int64, bool) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0, false
	}
	return ts.Nano() / int64(time.Microsecond), true
}

const (
	// maxReadings is how often two clocks are read at most until both readings are within maxReadingGap. If the process
	// is stalled between them, the sender's time is off by as much from then on.
	maxReadings   = 8
	maxReadingGap = time.Millisecond
)

// readSimultaneously reads two clocks as close together as it can. ok is false if the second one can't be read.
func readSimultaneously(now func() time.Time, uptime func() (int64, bool)) (best boot, ok bool) {
	minGap := time.Duration(math.MaxInt64)
	for range maxReadings {
		before := now()
		us, ok := uptime()
		gap := now().Sub(before)
		if !ok {
			return boot{moment: before}, false
		}
		if gap < minGap {
			minGap, best = gap, boot{uptime: us, moment: before}
		}
		if minGap < maxReadingGap {
			break
		}
	}
	return best, true
}

// start implements [Start] for given readings of the clocks.
func start(saved *Epoch, latest int64, b boot) (c *Clock, epoch Epoch, known bool) {
	if saved != nil && b.id != "" && saved.BootID == b.id {
		return New(b.uptime+saved.Offset, b.moment), *saved, true
	}
	now := max(b.moment.UnixMicro(), latest)
	return New(now, b.moment), Epoch{BootID: b.id, Offset: now - b.uptime}, saved == nil && latest == 0
}
